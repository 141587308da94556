/*
 * Tests of connections between VMs that go silent without a reset, over a link
 * that loses their bytes.
 */
#include "LinkRelay.h"

#include <tests/processes/FreePorts.h>
#include <tests/processes/TestLoop.h>

#include <algorithm>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;
using std::chrono::milliseconds;

namespace {

/** Service must be back within the time after which the platform takes a VM to
    be in touch again. */
constexpr Duration kStable = milliseconds(4000);

const VmId kReceiver = IdFromName<VmId>("vm-b");

VmIdentity
Identity(const std::string& aName, std::uint64_t aIncarnation)
{
  VmIdentity identity;
  identity.mName = aName;
  identity.mId = IdFromName<VmId>(aName);
  identity.mZone = ZoneName("a");
  identity.mIncarnation = Incarnation(aIncarnation);
  identity.mPeerAddress = Endpoint{ "127.0.0.1", NextFreePort() };
  return identity;
}

/** What a VM received and lost. */
struct Traffic
{
  std::vector<std::uint64_t> mReceived;
  std::size_t mLost = 0;
};

/** One VM's transport and its traffic, which outlives the transport's fibers.
 */
struct Vm
{
  explicit Vm(const std::string& aName, std::uint64_t aIncarnation = 1)
    : mIdentity(Identity(aName, aIncarnation))
  {
    PeerTransportHandlers handlers;
    handlers.mMessage =
      [traffic = mTraffic](VmId, const Endpoint&, PeerMessage aMessage) {
        if (const auto* confirm = std::get_if<SubSearchConfirm>(&aMessage)) {
          traffic->mReceived.push_back(confirm->mSequence);
        }
      };
    handlers.mNotSent = [](VmId, const std::vector<AttemptSequence>&) {};
    handlers.mLost = [traffic = mTraffic](VmId) { ++traffic->mLost; };
    auto transport = PeerTransport::Start(
      TestLoop(), mIdentity, PeerTransportLimits{}, std::move(handlers));
    CPPUNIT_ASSERT(transport.has_value());
    mTransport = std::move(*transport);
  }

  void Send(const Endpoint& aAddress, std::uint64_t aSequence) const
  {
    mTransport->Send(kReceiver, aAddress, SubSearchConfirm{ aSequence });
  }

  bool HasReceived(std::uint64_t aSequence) const
  {
    const auto& received = mTraffic->mReceived;
    return std::find(received.begin(), received.end(), aSequence) !=
           received.end();
  }

  VmIdentity mIdentity;
  std::shared_ptr<Traffic> mTraffic = std::make_shared<Traffic>();
  std::unique_ptr<PeerTransport> mTransport;
};

} // namespace

class PeerConnectionTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerConnectionTests);
  CPPUNIT_TEST(ReplacesSilentConnections);
  CPPUNIT_TEST(ReplacesConnectionsThatAreSilentInOneDirection);
  CPPUNIT_TEST(KeepsConnectionsThatAreSlow);
  CPPUNIT_TEST(SendsNothingOnIdleConnections);
  CPPUNIT_TEST(DropsWhatIsUnreadOnAReplacedConnection);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mSender = std::make_unique<Vm>("vm-a");
    mReceiver = std::make_unique<Vm>("vm-b");
    mLink = std::make_unique<LinkRelay>(TestLoop(),
                                        mReceiver->mIdentity.mPeerAddress);
  }

  void tearDown() override
  {
    mSender.reset();
    mReceiver.reset();
    mLink.reset();
  }

  // Guards against a connection that goes silent and is used for good: each
  // question about quota and each sub-search on it is lost.
  void ReplacesSilentConnections()
  {
    for (std::size_t round = 1; round <= 2; ++round) {
      ExpectPasses(10 * round);
      mLink->SilenceOpen();
      ExpectLossAndNewConnection(round);
    }
  }

  // Guards against a silence that the bytes of the other direction hide.
  void ReplacesConnectionsThatAreSilentInOneDirection()
  {
    std::size_t round = 0;
    for (const auto direction :
         { LinkDirection::kToServer, LinkDirection::kToClient }) {
      ++round;
      ExpectPasses(10 * round);
      mLink->SilenceOpen(direction);
      ExpectLossAndNewConnection(round);
    }
  }

  // Guards against a connection that is given up because many bytes take long.
  void KeepsConnectionsThatAreSlow()
  {
    ExpectPasses(1);
    constexpr std::size_t kBytesPerSecond = 40'000;
    mLink->LimitRate(kBytesPerSecond);
    SubSearch search;
    search.mBody = std::string(4 * kBytesPerSecond, 'x');
    mSender->mTransport->Send(kReceiver, mLink->Address(), search);
    mSender->Send(mLink->Address(), 2);
    AwaitCondition([&] { return mReceiver->HasReceived(2); },
                   "the last message");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mSender->mTraffic->mLost);
  }

  // Guards against traffic that grows with the number of VMs.
  void SendsNothingOnIdleConnections()
  {
    ExpectPasses(1);
    boost::this_fiber::sleep_for(milliseconds(1500));
    const std::size_t before = BytesPassed();
    boost::this_fiber::sleep_for(milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(before, BytesPassed());
  }

  // Guards against a message of a connection that was given up that arrives
  // after those of the next one.
  void DropsWhatIsUnreadOnAReplacedConnection()
  {
    ExpectPasses(1);
    mLink->Hold(LinkDirection::kToServer,
                std::chrono::steady_clock::now() + milliseconds(1000));
    mSender->Send(mLink->Address(), 2);
    // The end of the link ends the connection's fibers; else the program would
    // wait for them at its end.
    LinkRelay otherLink(TestLoop(), mReceiver->mIdentity.mPeerAddress);
    Vm later("vm-a", 2);
    later.Send(otherLink.Address(), 3);
    AwaitCondition([&] { return mReceiver->HasReceived(3); }, "the message");
    boost::this_fiber::sleep_for(milliseconds(1500));
    CPPUNIT_ASSERT(!mReceiver->HasReceived(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mSender->mTraffic->mLost);
  }

private:
  void ExpectPasses(std::uint64_t aSequence)
  {
    mSender->Send(mLink->Address(), aSequence);
    AwaitCondition([&] { return mReceiver->HasReceived(aSequence); },
                   "a message");
  }

  /** One message finds out that the connection is silent; the next one takes
      another. */
  void ExpectLossAndNewConnection(std::size_t aLosses)
  {
    mSender->Send(mLink->Address(), 10 * aLosses + 1);
    AwaitCondition([&] { return mSender->mTraffic->mLost == aLosses; },
                   "the loss of the connection",
                   kStable);
    ExpectPasses(10 * aLosses + 2);
  }

  std::size_t BytesPassed() const
  {
    const auto record = mLink->Last();
    return record->mBytesToServer + record->mBytesToClient;
  }

  std::unique_ptr<Vm> mSender;
  std::unique_ptr<Vm> mReceiver;
  std::unique_ptr<LinkRelay> mLink;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerConnectionTests);
