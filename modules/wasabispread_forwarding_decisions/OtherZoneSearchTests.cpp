/*
 * Tests of searches over shards whose targets are all in other zones: a VM
 * there queries them.
 */
#include <tests/support/ForwarderHarness.h>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

namespace {

constexpr std::size_t kShards = 10;

std::string
ShardName(std::size_t aShard)
{
  return "shard-" + std::to_string(aShard);
}

std::vector<SubSearch>
SentSubSearches(const ForwarderHarness& aForwarder)
{
  std::vector<SubSearch> sent;
  for (const SendPeerMessage& message : aForwarder.mPeerMessages) {
    if (const auto* search = std::get_if<SubSearch>(&message.mMessage)) {
      sent.push_back(*search);
    }
  }
  return sent;
}

} // namespace

class OtherZoneSearchTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OtherZoneSearchTests);
  CPPUNIT_TEST(ConnectsToOwnersBeforeTheFirstSearch);
  CPPUNIT_TEST(SendsOneSubSearchToAVmOfTheTargetsZone);
  CPPUNIT_TEST(QueriesShardsWithTargetsInItsOwnZone);
  CPPUNIT_TEST(KeepsWholeRequestsToShardServices);
  CPPUNIT_TEST(SpreadsVmsOverTheZonesWithTargets);
  CPPUNIT_TEST(QueriesTargetsItselfWhenNoVmThereAcknowledges);
  CPPUNIT_TEST(IsNotReadyWhileTheOtherZonesAreSilent);
  CPPUNIT_TEST(StaysReadyWhenItAsksAfterAQuietTime);
  CPPUNIT_TEST(IgnoresThatAVmOfAnotherZoneIsIsolated);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mForwarder = std::make_unique<ForwarderHarness>();
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      AddTarget(shard, "b");
      AddTarget(shard, "c");
    }
    AddMember("vm-a", "a");
    AddMember("vm-b1", "b");
    AddMember("vm-b2", "b");
    AddMember("vm-c1", "c");
    mForwarder->Configure(
      { SearchRoute(kShards, 0.9),
        SingleRoute(ShardName(0), Repeatability::kIdempotent) });
    mForwarder->RunFor(std::chrono::seconds(2));
    mConnecting = SentSubSearches(*mForwarder);
    mForwarder->mPeerMessages.clear();
  }

  void ConnectsToOwnersBeforeTheFirstSearch()
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mConnecting.size());
    CPPUNIT_ASSERT(mConnecting.front().mShards.empty());
    mForwarder->Deliver(SubSearchArrived{
      IdFromName<VmId>("vm-b1"),
      Endpoint{ "vm-b1", 1 },
      mConnecting.front(),
      std::make_shared<const ForwardedRequest>(ForwardedRequest{}) });
    CPPUNIT_ASSERT(!mForwarder->mPeerMessages.empty());
    CPPUNIT_ASSERT(mForwarder->mState.mRequests.empty());
  }

  void SendsOneSubSearchToAVmOfTheTargetsZone()
  {
    const CallerToken token = mForwarder->Ask("/search/x");
    CPPUNIT_ASSERT(mForwarder->Received().empty());
    const auto sent = SentSubSearches(*mForwarder);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, sent.size());
    CPPUNIT_ASSERT_EQUAL(kShards, sent.front().mShards.size());
    SubSearchReply reply;
    reply.mIsLast = true;
    for (std::uint32_t shard = 0; shard < kShards; ++shard) {
      reply.mShards.push_back(shard);
      reply.mSignatures.push_back("proof of " + ShardName(shard));
    }
    DeliverReply(reply);
    const auto* answer = std::get_if<SearchAnswer>(mForwarder->AnswerTo(token));
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT_EQUAL(kShards, answer->mSignatures.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, answer->mMissingShards);
  }

  void QueriesShardsWithTargetsInItsOwnZone()
  {
    AddTarget(3, "a");
    mForwarder->Ask("/search/x");
    CPPUNIT_ASSERT(mForwarder->Has(ShardName(3) + "-in-a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mForwarder->Received().size());
    CPPUNIT_ASSERT_EQUAL(kShards - 1,
                         SentSubSearches(*mForwarder).front().mShards.size());
  }

  void KeepsWholeRequestsToShardServices()
  {
    const CallerToken token = mForwarder->Ask("/" + ShardName(0) + "/x");
    CPPUNIT_ASSERT(SentSubSearches(*mForwarder).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mForwarder->Received().size());
    mForwarder->Reply(
      mForwarder->Received().front().mInstance, ReplyKind::kSuccess, "body");
    const auto* answer =
      std::get_if<ForwardedReply>(mForwarder->AnswerTo(token));
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), answer->mMessage.mBody);
  }

  void SpreadsVmsOverTheZonesWithTargets()
  {
    std::set<std::string> owners;
    for (const char* name : { "vm-a", "vm-a2", "vm-a3", "vm-a4" }) {
      AddMember(name, "a");
    }
    for (const char* name : { "vm-a", "vm-a2", "vm-a3", "vm-a4" }) {
      mForwarder->mState.mPolicy.mName = name;
      RefreshShardOwnership(mForwarder->mState, mForwarder->mNow);
      owners.insert(mForwarder->mState.mShardOwnership.OwnerOf(
        IdFromName<ServiceId>(ShardName(0))));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, owners.size());
  }

  void QueriesTargetsItselfWhenNoVmThereAcknowledges()
  {
    for (int search = 0; search < 3; ++search) {
      mForwarder->Ask("/search/x");
      mForwarder->RunFor(std::chrono::milliseconds(60));
    }
    CPPUNIT_ASSERT(!mForwarder->Received().empty());
    const std::size_t sent = SentSubSearches(*mForwarder).size();
    const CallerToken token = mForwarder->Ask("/search/x");
    CPPUNIT_ASSERT_EQUAL(sent, SentSubSearches(*mForwarder).size());
    mForwarder->RunFor(std::chrono::milliseconds(10));
    while (mForwarder->AnswerTo(token) == nullptr) {
      CPPUNIT_ASSERT(!mForwarder->Received().empty());
      mForwarder->Reply(mForwarder->Received().back().mInstance,
                        ReplyKind::kSuccess);
    }
    CPPUNIT_ASSERT(
      std::holds_alternative<SearchAnswer>(*mForwarder->AnswerTo(token)));
  }

  void IsNotReadyWhileTheOtherZonesAreSilent()
  {
    mForwarder->mRefusesAllConnections = true;
    mForwarder->Ask("/search/x");
    CPPUNIT_ASSERT(mForwarder->mState.IsReady(mForwarder->mNow));
    mForwarder->RunFor(std::chrono::milliseconds(700));
    CPPUNIT_ASSERT(!mForwarder->mState.IsReady(mForwarder->mNow));
  }

  void StaysReadyWhenItAsksAfterAQuietTime()
  {
    mForwarder->Ask("/search/x");
    DeliverReply(SubSearchReply{});
    mForwarder->RunFor(std::chrono::seconds(10));
    mForwarder->Ask("/search/x");
    CPPUNIT_ASSERT(mForwarder->mState.IsReady(mForwarder->mNow));
  }

  void IgnoresThatAVmOfAnotherZoneIsIsolated()
  {
    mForwarder->Ask("/search/x");
    SubSearchReply reply;
    reply.mIsIsolated = true;
    DeliverReply(reply);
    CPPUNIT_ASSERT(mForwarder->mState.IsReady(mForwarder->mNow));
  }

private:
  void AddTarget(std::size_t aShard, const std::string& aZone)
  {
    mForwarder->AddTarget(ShardName(aShard) + "-in-" + aZone,
                          ShardName(aShard),
                          1,
                          false,
                          1,
                          aZone);
  }

  void AddMember(const std::string& aName, const std::string& aZone)
  {
    mForwarder->Change(
      MemberChange{ { aName, ZoneName(aZone), Endpoint{ aName, 1 }, 0.25 } });
  }

  /** Delivers a reply to the sub-search sent last. */
  void DeliverReply(SubSearchReply aReply)
  {
    const SendPeerMessage& message = mForwarder->mPeerMessages.back();
    aReply.mSequence = std::get<SubSearch>(message.mMessage).mSequence;
    mForwarder->Deliver(
      SubSearchReplied{ message.mVm, message.mAddress, std::move(aReply) });
  }

  std::unique_ptr<ForwarderHarness> mForwarder;
  /** The sub-searches sent before the first search. */
  std::vector<SubSearch> mConnecting;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OtherZoneSearchTests);
