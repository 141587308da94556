/*
 * Tests that a real daemon stays within its VM's memory whatever callers send
 * and however slowly they read, and answers the other requests meanwhile.
 */
#include "ForwarderFleet.h"

#include <tests/processes/RawConnection.h>
#include <wasabispread_forwarding_decisions/wasabispread_forwarding_decisions.h>

#include <sstream>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>

using namespace wasabispread;
using namespace wasabispread::testing;

/** Guards against a daemon that is killed for its memory, and with it all
    requests in progress. */
class ProcessMemoryTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ProcessMemoryTests);
  CPPUNIT_TEST(ServesWhileCallersDoNotReadTheirAnswers);
  CPPUNIT_TEST(ServesWhileCallersDoNotFinishTheirBodies);
  CPPUNIT_TEST(AnswersManyLargeBodiesAtOnce);
  CPPUNIT_TEST(AnswersManyCallersOfLargeReplies);
  CPPUNIT_TEST(AnswersSearchesWithLargeParts);
  CPPUNIT_TEST(SurvivesAReplyThatItCannotAllocate);
  CPPUNIT_TEST(StaysWithinItsMemoryWhenTheStoreSendsTooMuch);
  CPPUNIT_TEST(StaysWithinItsMemoryWhenAListHasNoEnd);
  CPPUNIT_TEST(StaysWithinItsMemoryWhenAnotherVmSendsTooMuch);
  CPPUNIT_TEST_SUITE_END();

public:
  /** The memory of the smallest VM. */
  static constexpr std::size_t kMaxMemoryBytes = std::size_t{ 160 } << 20U;
  /** The least memory that a VM of the deployments has. */
  static constexpr std::size_t kSmallestBytes = std::size_t{ 112 } << 20U;
  static constexpr std::size_t kBodyBytes = std::size_t{ 1 } << 20U;
  static constexpr std::size_t kReplyBytes = std::size_t{ 12 } << 20U;

  void tearDown() override { mFleet.reset(); }

  // Guards against answers of the store without end, which no account of memory
  // counts: the daemon was ended for its memory, and with it the requests of
  // all callers.
  void StaysWithinItsMemoryWhenTheStoreSendsTooMuch()
  {
    ExpectServiceWhileTheStore(VmPortState::kSendsTooMuch,
                               std::chrono::seconds(8));
  }

  // Guards against a list that is read for as long as the store goes on.
  void StaysWithinItsMemoryWhenAListHasNoEnd()
  {
    ExpectServiceWhileTheStore(VmPortState::kSendsEndlessPages,
                               std::chrono::seconds(14));
  }

  // Guards against bytes of another VM that are no frame, or a frame that is
  // never finished, on connection after connection.
  void StaysWithinItsMemoryWhenAnotherVmSendsTooMuch()
  {
    constexpr unsigned kConnections = 20;
    constexpr std::size_t kUnfinishedBytes = std::size_t{ 15 } << 20U;
    StartSmallest();
    PeerHello hello;
    hello.mVm = IdFromName<VmId>("vm-9");
    hello.mIncarnation = Incarnation(1);
    hello.mPeerAddress = Endpoint{ "127.0.0.1", 9 };
    hello.mExpectedVm = IdFromName<VmId>("vm-0");
    // A length of 16 MiB, less than which follows.
    const std::string frame = std::string("\0\0\0\1", kFrameLengthBytes) +
                              std::string(kUnfinishedBytes, 'x');
    Connections connections;
    for (unsigned count = 0; count < kConnections; ++count) {
      for (const std::string& first : { std::string(), EncodeHello(hello) }) {
        connections.push_back(
          std::make_unique<RawConnection>(mFleet->PeerEndpoint(0)));
        connections.back()->Send(first + frame);
        CountReply({ .mPath = "/once/x" });
      }
    }
    AssertServedWithin(kSmallestBytes);
  }

  void ServesWhileCallersDoNotReadTheirAnswers()
  {
    Start(4);
    Connections slow;
    for (unsigned count = 0; count < 30; ++count) {
      slow.push_back(
        std::make_unique<RawConnection>(mFleet->CallerEndpoint(0)));
      slow.back()->Send(
        Head("GET", std::string("/one/x") + kLargeReply, count) + "\r\n");
      boost::this_fiber::sleep_for(std::chrono::milliseconds(80));
      CountReply({ .mPath = "/once/x" });
    }
    AssertServedWithin(kMaxMemoryBytes);
    AwaitCondition([&] { return mFleet->HasLogged(0, "memory-short"); },
                   "what was given up is logged",
                   std::chrono::seconds(2));
  }

  void ServesWhileCallersDoNotFinishTheirBodies()
  {
    Start(4);
    const std::string body(kBodyBytes - 1, 'x');
    Connections slow;
    for (unsigned count = 0; count < 250; ++count) {
      slow.push_back(
        std::make_unique<RawConnection>(mFleet->CallerEndpoint(0)));
      slow.back()->Send(Head("POST", "/one/x", count) + "Content-Length: " +
                        std::to_string(kBodyBytes) + "\r\n\r\n" + body);
      if (count % 10 == 0) {
        CountReply({ .mPath = "/once/x" });
      }
    }
    AssertServedWithin(kMaxMemoryBytes);
  }

  void AnswersManyLargeBodiesAtOnce()
  {
    Start(4);
    for (const char* target : { "once-a", "once-b" }) {
      mFleet->Target(target).mServiceTime = std::chrono::milliseconds(300);
    }
    RunConcurrently(200, [&](std::size_t) {
      CountReply({ .mPath = "/once/x",
                   .mMethod = "POST",
                   .mBody = std::string(kBodyBytes, 'x') });
    });
    AssertServedWithin(kMaxMemoryBytes);
  }

  void AnswersManyCallersOfLargeReplies()
  {
    Start(4);
    RunConcurrently(24, [&](std::size_t) {
      CountReply({ .mPath = std::string("/one/x") + kLargeReply });
    });
    AssertServedWithin(kMaxMemoryBytes);
  }

  void AnswersSearchesWithLargeParts()
  {
    constexpr std::size_t kShards = 90;
    Start(kShards);
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      for (const char* suffix : { "-a", "-b" }) {
        mFleet->Target("shard-" + std::to_string(shard) + suffix).mLargeReply =
          900'000;
      }
    }
    RunConcurrently(6, [&](std::size_t) {
      const ForwarderReply reply =
        CountReply({ .mPath = std::string("/search/q") + kLargeReply });
      if (reply.Status() == 200 &&
          FindHeader(reply.mResponse->mHeaders, "Wasabispread-Missing-Parts") ==
            "0") {
        CPPUNIT_ASSERT_EQUAL(GreatestOf(kShards, reply.mRequestId),
                             reply.mResponse->mBody);
      }
    });
    AssertServedWithin(kMaxMemoryBytes);
  }

  void SurvivesAReplyThatItCannotAllocate()
  {
    Start(4);
    const pid_t pid = mFleet->Daemon(0).Pid();
    const rlim_t room = DataBytes(pid) + kReplyBytes / 2;
    const rlimit limit{ room, room };
    CPPUNIT_ASSERT_EQUAL(0, prlimit(pid, RLIMIT_DATA, &limit, nullptr));
    const ForwarderReply reply =
      mFleet->SendRequest({ .mPath = std::string("/one/x") + kLargeReply });
    CPPUNIT_ASSERT(!mFleet->Daemon(0).HasEnded());
    CPPUNIT_ASSERT(reply.mResponse);
    CPPUNIT_ASSERT_EQUAL(200U, mFleet->SendRequest({}).Status());
  }

private:
  /** The size of the memory to which RLIMIT_DATA applies. */
  static std::size_t DataBytes(pid_t aPid)
  {
    std::istringstream status(
      ReadWholeFile("/proc/" + std::to_string(aPid) + "/status"));
    std::string word;
    std::size_t kilobytes = 0;
    while (status >> word && word != "VmData:") {
    }
    status >> kilobytes;
    return kilobytes << 10U;
  }

  using Connections = std::vector<std::unique_ptr<RawConnection>>;

  /** Starts a fleet that takes large bodies and has room at its targets. */
  /** Starts a daemon with kSmallestBytes. */
  void StartSmallest()
  {
    Start(4);
    mFleet->mMemoryMegabytes = kSmallestBytes >> 20U;
    mFleet->Daemon(0).Kill();
    mFleet->StartDaemon(0);
    AwaitCondition([&] { return mFleet->SendRequest({}).Status() == 200; },
                   "requests are served");
  }

  void ExpectServiceWhileTheStore(VmPortState aState, Duration aTime)
  {
    StartSmallest();
    mFleet->Store().SetAllVmPortStates(aState);
    mFleet->Store().AbortWatches();
    const TimePoint until = std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() < until) {
      CPPUNIT_ASSERT_EQUAL(200U, mFleet->SendRequest({}).Status());
      boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
    }
    const std::size_t peak = mFleet->Daemon(0).PeakMemoryBytes();
    CPPUNIT_ASSERT_MESSAGE("peak " + std::to_string(peak),
                           peak < kSmallestBytes);
    mFleet->Store().SetAllVmPortStates(VmPortState::kServes);
    AwaitCondition([&] { return mFleet->HasLogged(0, "store-available"); },
                   "the store is followed again");
  }

  void Start(std::size_t aShards)
  {
    mFleet = std::make_unique<ForwarderFleet>(1, aShards);
    for (const char* target : { "one-a", "one-b", "once-a", "once-b" }) {
      mFleet->Target(target).mSlots = 64;
      mFleet->Target(target).mLargeReply = kReplyBytes;
    }
    ConfigurationChoice choice;
    choice.mBodyBytes = kBodyBytes;
    choice.mTimeout = std::chrono::seconds(8);
    const std::string path = VersionPrefix(mFleet->Configure(choice)) + "x";
    AwaitCondition(
      [&] { return mFleet->SendRequest({ .mPath = path }).Status() == 200; },
      "the configuration is in force");
  }

  static std::string Head(const std::string& aMethod,
                          const std::string& aPath,
                          unsigned aNumber)
  {
    return aMethod + " " + aPath +
           " HTTP/1.1\r\nHost: host.example\r\nWasabispread-Request-Id: s" +
           std::to_string(aNumber) +
           "\r\nWasabispread-Request-Deadline-Ms: 5000\r\n";
  }

  /** The answer of all shards to a search. */
  static std::string GreatestOf(std::size_t aShards,
                                const std::string& aRequestId)
  {
    constexpr std::size_t kTopRecords = 5;
    std::string records;
    for (std::size_t shard = 0; shard < aShards; ++shard) {
      std::string part =
        RecordsOf("shard-" + std::to_string(shard), aRequestId);
      part.resize(part.size() - part.size() % forwarding::kRecordBytes);
      records += part;
    }
    return forwarding::GreatestRecords({ records }, kTopRecords);
  }

  /** Sends a request, and counts its answer. */
  ForwarderReply CountReply(ForwarderRequest aRequest)
  {
    aRequest.mTimeoutMs = "8000";
    ForwarderReply reply = mFleet->SendRequest(aRequest);
    if (!reply.mResponse) {
      ++mLost;
      mLostAlthoughRun += mFleet->CountRuns(reply.mRequestId) == 0 ? 0 : 1;
    } else if (reply.Status() == 200) {
      ++mServed;
    } else if (reply.Status() == 503) {
      ++mRefused;
      mRefusedAlthoughRun += mFleet->CountRuns(reply.mRequestId) == 0 ? 0 : 1;
      mRefusedWithoutTime +=
        FindHeader(reply.mResponse->mHeaders, "Retry-After").empty() ? 1 : 0;
    } else {
      ++mFailed;
      mLastFailure = reply.Status();
    }
    return reply;
  }

  std::string Figures()
  {
    return std::to_string(mServed) + " served, " + std::to_string(mRefused) +
           " refused (" + std::to_string(mRefusedAlthoughRun) +
           " although run, " + std::to_string(mRefusedWithoutTime) +
           " without Retry-After), " + std::to_string(mFailed) +
           " failed (last with " + std::to_string(mLastFailure) + "), " +
           std::to_string(mLost) + " lost (" +
           std::to_string(mLostAlthoughRun) + " although run), peak of " +
           std::to_string(mFleet->Daemon(0).PeakMemoryBytes() >> 20U) + " MiB";
  }

  /** Asserts that every request was answered, and the daemon serves on and has
      not used more memory. */
  void AssertServedWithin(std::size_t aMemoryBytes)
  {
    const std::string figures = Figures();
    CPPUNIT_ASSERT_MESSAGE(figures, !mFleet->Daemon(0).HasEnded());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, 0U, mLost + mFailed);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      figures, 0U, mRefusedAlthoughRun + mRefusedWithoutTime);
    CPPUNIT_ASSERT_MESSAGE(figures, mServed != 0);
    CPPUNIT_ASSERT_MESSAGE(figures,
                           mFleet->Daemon(0).PeakMemoryBytes() < aMemoryBytes);
    AwaitCondition(
      [&] {
        return mFleet->SendRequest({ .mPath = "/once/x" }).Status() == 200;
      },
      "it serves as before; " + figures,
      std::chrono::seconds(4));
  }

  std::unique_ptr<ForwarderFleet> mFleet;
  unsigned mServed = 0;
  unsigned mRefused = 0;
  unsigned mRefusedAlthoughRun = 0;
  unsigned mRefusedWithoutTime = 0;
  unsigned mFailed = 0;
  unsigned mLastFailure = 0;
  unsigned mLost = 0;
  unsigned mLostAlthoughRun = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessMemoryTests);
