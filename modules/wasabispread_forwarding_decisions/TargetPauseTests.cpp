/*
 * Tests of targets that state that they leave or that ask for a pause.
 */
#include <tests/support/ForwarderHarness.h>

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

namespace {

constexpr Duration kPause = std::chrono::seconds(3);

} // namespace

class TargetPauseTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetPauseTests);
  CPPUNIT_TEST(SendsNothingToATargetThatLeaves);
  CPPUNIT_TEST(KeepsALeavingTargetAsideWhateverTheStoreSays);
  CPPUNIT_TEST(UsesANewStartOfATargetThatLeft);
  CPPUNIT_TEST(FinishesAndMovesTheWorkOfALeavingTarget);
  CPPUNIT_TEST(RefusesAtOnceWhenAllTargetsLeave);
  CPPUNIT_TEST(SendsNothingDuringAPause);
  CPPUNIT_TEST(KeepsToTheLatestEndOfSeveralPauses);
  CPPUNIT_TEST(IgnoresAPauseOfNoLength);
  CPPUNIT_TEST(RefusesAtOnceUntilTheFirstPauseEnds);
  CPPUNIT_TEST(AnswersSearchesWithoutShardsInAPause);
  CPPUNIT_TEST(WaitsForAPauseOnlyWhenTheMinimumCoverageNeedsIt);
  CPPUNIT_TEST(RefusesSearchesThatAPauseOutlasts);
  CPPUNIT_TEST(RefusesSubSearchesThatAPauseOutlasts);
  CPPUNIT_TEST(MovesALoadThatAskedForAPauseStepByStep);
  CPPUNIT_TEST(LogsWhenATargetIsPutAsideAndTakenBack);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mForwarder = std::make_unique<ForwarderHarness>();
    Configure(1);
    for (const char* service : { "orders", "reads", "shard-0", "shard-1" }) {
      mForwarder->AddTarget(service + std::string("-a"), service);
      mForwarder->AddTarget(service + std::string("-b"), service);
    }
    mForwarder->RunFor(std::chrono::milliseconds(100));
  }

  void Configure(std::uint64_t aVersion)
  {
    mForwarder->Configure({ SingleRoute("orders", Repeatability::kAtMostOnce),
                            SingleRoute("reads", Repeatability::kIdempotent),
                            SearchRoute(2, 0.5) },
                          aVersion);
  }

  /** Answers all requests in flight: with a success, or by asking for a pause
      where mWantedPauses says so. */
  void AnswerAll()
  {
    const auto received = mForwarder->Received();
    for (const ReceivedRequest& request : received) {
      const bool isPausing =
        mForwarder->mWantedPauses.contains(request.mInstance);
      mForwarder->Reply(request.mInstance,
                        isPausing ? ReplyKind::kNotRun : ReplyKind::kSuccess,
                        std::string(16, 'a'),
                        isPausing ? 503 : 200);
    }
  }

  /** Sends a request and answers it until it ends; returns the targets that
      received it. */
  std::set<std::string> Use(const std::string& aPath)
  {
    std::set<std::string> used;
    const CallerToken token = mForwarder->Ask(aPath);
    while (mForwarder->AnswerTo(token) == nullptr &&
           !mForwarder->Received().empty()) {
      for (const ReceivedRequest& request : mForwarder->Received()) {
        used.insert(request.mInstance);
      }
      AnswerAll();
    }
    mForwarder->RunFor(std::chrono::milliseconds(5));
    return used;
  }

  /** Uses a path until a target has received a request, and returns the targets
      that did. */
  std::set<std::string> UseUntil(const std::string& aPath,
                                 const std::string& aInstance)
  {
    std::set<std::string> used;
    for (unsigned count = 0; count < 200 && !used.contains(aInstance);
         ++count) {
      used.merge(Use(aPath));
      mForwarder->RunFor(std::chrono::milliseconds(50));
    }
    return used;
  }

  std::set<std::string> UseOften(const std::string& aPath, unsigned aTimes = 60)
  {
    std::set<std::string> used;
    for (unsigned count = 0; count < aTimes; ++count) {
      used.merge(Use(aPath));
      mForwarder->RunFor(std::chrono::milliseconds(50));
    }
    return used;
  }

  /** Guards against first and second sends to a target that leaves. */
  void SendsNothingToATargetThatLeaves()
  {
    for (const char* service : { "orders", "reads" }) {
      const std::string leaving = service + std::string("-a");
      const std::string path = "/" + std::string(service) + "/x";
      mForwarder->mLeaving.insert(leaving);
      CPPUNIT_ASSERT(UseUntil(path, leaving).contains(leaving));
      CPPUNIT_ASSERT(!UseOften(path).contains(leaving));
      // A second send may not reach it either.
      mForwarder->Ask(path);
      mForwarder->Reply(
        service + std::string("-b"), ReplyKind::kNotRun, "", 503);
      CPPUNIT_ASSERT(!mForwarder->Has(leaving));
    }
    mForwarder->mLeaving.insert("shard-0-a");
    CPPUNIT_ASSERT(UseUntil("/search/q", "shard-0-a").contains("shard-0-a"));
    CPPUNIT_ASSERT(!UseOften("/search/q").contains("shard-0-a"));
  }

  /** Guards against a leaving target that is used again because of what is
      known of its entry. */
  void KeepsALeavingTargetAsideWhateverTheStoreSays()
  {
    mForwarder->mLeaving.insert("reads-a");
    UseUntil("/reads/x", "reads-a");
    const auto expectAside = [&](const char* aWhat) {
      CPPUNIT_ASSERT_MESSAGE(aWhat,
                             !UseOften("/reads/x", 20).contains("reads-a"));
    };
    mForwarder->AddTarget("reads-a", "reads", 7);
    expectAside("its entry is written again");
    mForwarder->RemoveTarget("reads-a");
    expectAside("its entry is removed");
    mForwarder->AddTarget("reads-a", "reads", 8);
    expectAside("its entry is written late");
    Configure(2);
    expectAside("a new configuration");
    StoreChanges lost;
    lost.mIsHistoryLost = true;
    mForwarder->Deliver(ChangesWatched{ std::move(lost) });
    StoreContent listed;
    for (const auto& [key, target] : mForwarder->mState.mTargets) {
      listed.mEntries.push_back(TargetChange{ target.mRecord });
    }
    TargetRecord stale;
    stale.mInstance = InstanceId("reads-a");
    stale.mBorn = 1;
    stale.mSequence = 8;
    stale.mService = IdFromName<ServiceId>("reads");
    stale.mAddress = Endpoint{ "reads-a", 1 };
    stale.mZone = ZoneName("a");
    listed.mEntries.push_back(TargetChange{ stale });
    listed.mRevision = StoreRevision(1000);
    mForwarder->Deliver(EntriesListed{ std::move(listed) });
    expectAside("a list after a compaction");
  }

  void UsesANewStartOfATargetThatLeft()
  {
    mForwarder->mLeaving.insert("reads-a");
    UseUntil("/reads/x", "reads-a");
    mForwarder->mLeaving.clear();
    mForwarder->AddTarget("reads-a", "reads", 1, false, 2);
    mForwarder->RemoveTarget("reads-b");
    CPPUNIT_ASSERT(Use("/reads/x").contains("reads-a"));
  }

  void FinishesAndMovesTheWorkOfALeavingTarget()
  {
    mForwarder->RemoveTarget("orders-b");
    const CallerToken first = mForwarder->Ask("/orders/1");
    CPPUNIT_ASSERT(mForwarder->Has("orders-a"));
    const ConnectionId connection = mForwarder->At("orders-a").mConnection;
    const CallerToken second = mForwarder->Ask("/orders/2");
    mForwarder->AddTarget("orders-c", "orders");
    mForwarder->mLeaving.insert("orders-a");
    // The reply to one of the two states that the target leaves.
    mForwarder->Reply("orders-a", ReplyKind::kSuccess);
    const bool isFirstOpen = mForwarder->AnswerTo(first) == nullptr;
    CPPUNIT_ASSERT(isFirstOpen != (mForwarder->AnswerTo(second) == nullptr));
    CPPUNIT_ASSERT(mForwarder->Has("orders-a") || mForwarder->Has("orders-c"));
    while (!mForwarder->Received().empty()) {
      AnswerAll();
    }
    for (const CallerToken token : { first, second }) {
      CPPUNIT_ASSERT(
        std::holds_alternative<ForwardedReply>(*mForwarder->AnswerTo(token)));
    }
    CPPUNIT_ASSERT(!mForwarder->mState.mConnections.contains(connection));
  }

  void RefusesAtOnceWhenAllTargetsLeave()
  {
    mForwarder->mLeaving = { "orders-a", "orders-b" };
    UseUntil("/orders/x", "orders-a");
    UseUntil("/orders/x", "orders-b");
    ExpectRefusal("/orders/y", Duration(1), std::chrono::seconds(1));
  }

  /** Checks that a request is refused as not run, without being sent, and that
      the time to wait is within bounds. */
  void ExpectRefusal(const std::string& aPath, Duration aMin, Duration aMax)
  {
    const CallerToken token = mForwarder->Ask(aPath);
    const CallerAnswer* answer = mForwarder->AnswerTo(token);
    CPPUNIT_ASSERT(answer != nullptr);
    const auto& problem = std::get<Problem>(*answer);
    CPPUNIT_ASSERT(problem.mKind == ProblemKind::kNotRun);
    CPPUNIT_ASSERT(problem.mRetryAfter.has_value());
    CPPUNIT_ASSERT(*problem.mRetryAfter >= aMin);
    CPPUNIT_ASSERT(*problem.mRetryAfter <= aMax);
    CPPUNIT_ASSERT(mForwarder->Received().empty());
  }

  void SendsNothingDuringAPause()
  {
    for (const char* service : { "orders", "reads" }) {
      const std::string paused = service + std::string("-a");
      const std::string path = "/" + std::string(service) + "/x";
      mForwarder->mWantedPauses[paused] = kPause;
      CPPUNIT_ASSERT(UseUntil(path, paused).contains(paused));
      const TimePoint end = mForwarder->mNow + kPause;
      mForwarder->mWantedPauses.clear();
      while (mForwarder->mNow < end - std::chrono::milliseconds(200)) {
        CPPUNIT_ASSERT(!Use(path).contains(paused));
        mForwarder->RunFor(std::chrono::milliseconds(20));
      }
      // A late request is not sent to it beside the other target.
      mForwarder->Ask(path);
      mForwarder->RunFor(std::chrono::milliseconds(100));
      CPPUNIT_ASSERT(!mForwarder->Has(paused));
      AnswerAll();
      mForwarder->RunFor(kPause);
      mForwarder->RemoveTarget(service + std::string("-b"));
      CPPUNIT_ASSERT(Use(path).contains(paused));
    }
  }

  void KeepsToTheLatestEndOfSeveralPauses()
  {
    mForwarder->RemoveTarget("orders-b");
    mForwarder->Ask("/orders/1");
    mForwarder->Ask("/orders/2");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, mForwarder->Received().size());
    mForwarder->mWantedPauses["orders-a"] = kPause;
    mForwarder->Reply("orders-a", ReplyKind::kNotRun, "", 503);
    mForwarder->mWantedPauses["orders-a"] = std::chrono::seconds(1);
    mForwarder->Reply("orders-a", ReplyKind::kNotRun, "", 503);
    mForwarder->RunFor(kPause - std::chrono::milliseconds(10));
    ExpectRefusal("/orders/3", Duration(1), std::chrono::milliseconds(10));
    mForwarder->RunFor(std::chrono::milliseconds(10));
    mForwarder->Ask("/orders/4");
    CPPUNIT_ASSERT(mForwarder->Has("orders-a"));
  }

  void IgnoresAPauseOfNoLength()
  {
    mForwarder->mWantedPauses["orders-a"] = Duration::zero();
    UseUntil("/orders/x", "orders-a");
    CPPUNIT_ASSERT_EQUAL(0U, CountRecords("target-put-aside"));
    CPPUNIT_ASSERT(PausedUntil("orders-a") <= mForwarder->mNow);
  }

  /** Guards against requests that wait until their deadline, and against a time
      to retry at which there is no place yet. */
  void RefusesAtOnceUntilTheFirstPauseEnds()
  {
    mForwarder->mWantedPauses["orders-a"] = kPause;
    mForwarder->mWantedPauses["orders-b"] = 2 * kPause;
    UseUntil("/orders/x", "orders-a");
    UseUntil("/orders/x", "orders-b");
    const TimePoint a = PausedUntil("orders-a");
    const TimePoint b = PausedUntil("orders-b");
    CPPUNIT_ASSERT(a > mForwarder->mNow && b > mForwarder->mNow);
    const Duration first = std::min(a, b) - mForwarder->mNow;
    ExpectRefusal("/orders/y", first, first);
  }

  TimePoint PausedUntil(const std::string& aInstance)
  {
    const TargetKey key =
      mForwarder->mState.mTargetOfInstance.at(InstanceId(aInstance));
    return mForwarder->mState.mTargets.at(key).mPausedUntil;
  }

  /** Lets both targets of a shard ask for a pause. */
  void PauseShard(const std::string& aShard, Duration aPause)
  {
    mForwarder->mWantedPauses[aShard + "-a"] = aPause;
    mForwarder->mWantedPauses[aShard + "-b"] = aPause;
    UseUntil("/search/q", aShard + "-a");
    UseUntil("/search/q", aShard + "-b");
    mForwarder->mWantedPauses.clear();
    CPPUNIT_ASSERT(PausedUntil(aShard + "-a") > mForwarder->mNow);
    CPPUNIT_ASSERT(PausedUntil(aShard + "-b") > mForwarder->mNow);
  }

  void AnswersSearchesWithoutShardsInAPause()
  {
    PauseShard("shard-0", kPause);
    const CallerToken token = mForwarder->Ask("/search/q");
    AnswerAll();
    const CallerAnswer* answer = mForwarder->AnswerTo(token);
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         std::get<SearchAnswer>(*answer).mMissingShards);
  }

  void WaitsForAPauseOnlyWhenTheMinimumCoverageNeedsIt()
  {
    mForwarder->Configure({ SearchRoute(2, 1) }, 2);
    PauseShard("shard-0", std::chrono::milliseconds(1500));
    mForwarder->RunFor(PausedUntil("shard-0-a") - mForwarder->mNow -
                       std::chrono::milliseconds(300));
    const CallerToken token = mForwarder->Ask("/search/q");
    AnswerAll();
    CPPUNIT_ASSERT(mForwarder->AnswerTo(token) == nullptr);
    CPPUNIT_ASSERT(mForwarder->Received().empty());
    mForwarder->RunFor(std::chrono::milliseconds(301));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mForwarder->Received().size());
    AnswerAll();
    CPPUNIT_ASSERT(
      std::holds_alternative<SearchAnswer>(*mForwarder->AnswerTo(token)));
  }

  void RefusesSearchesThatAPauseOutlasts()
  {
    mForwarder->Configure({ SearchRoute(2, 1) }, 2);
    PauseShard("shard-0", kPause);
    ExpectRefusal("/search/q", std::chrono::seconds(1), kPause);
  }

  /** Guards against an owner that keeps a sub-search until its deadline. */
  void RefusesSubSearchesThatAPauseOutlasts()
  {
    PauseShard("shard-0", kPause);
    SubSearch search;
    search.mSequence = 5;
    search.mRequestId = RequestId("r");
    search.mShards = { IdFromName<ServiceId>("shard-0") };
    search.mMaxTargets = 2;
    search.mTopRecords = 3;
    search.mMinShards = 1;
    search.mSoftTimeout = std::chrono::milliseconds(100);
    search.mCallerTimeout = std::chrono::seconds(1);
    ForwardedRequest request;
    request.mId = search.mRequestId;
    mForwarder->Deliver(
      SubSearchArrived{ VmId(7),
                        Endpoint{ "10.0.0.7", 1 },
                        search,
                        std::make_shared<const ForwardedRequest>(request) });
    const auto& reply =
      std::get<SubSearchReply>(mForwarder->mPeerMessages.back().mMessage);
    CPPUNIT_ASSERT(reply.mIsRefused);
    CPPUNIT_ASSERT(reply.mRetryAfter > std::chrono::seconds(1));
  }

  /** Guards against the load of a target that asked for a pause going to the
      next one at once, which then asks for one too. */
  void MovesALoadThatAskedForAPauseStepByStep()
  {
    constexpr Duration kInterval = std::chrono::milliseconds(10);
    constexpr unsigned kPerSecond = 100;
    const auto countAt = [&](const std::string& aInstance, unsigned aRequests) {
      unsigned count = 0;
      for (unsigned sent = 0; sent < aRequests; ++sent) {
        mForwarder->Ask("/reads/x");
        count += mForwarder->Has(aInstance) ? 1 : 0;
        AnswerAll();
        mForwarder->RunFor(kInterval);
      }
      return count;
    };
    countAt("reads-b", 3 * kPerSecond);
    mForwarder->mWantedPauses["reads-a"] = std::chrono::seconds(10);
    UseUntil("/reads/x", "reads-a");
    const unsigned inFirst = countAt("reads-b", kPerSecond);
    const unsigned inSecond = countAt("reads-b", kPerSecond);
    const unsigned inThird = countAt("reads-b", kPerSecond);
    // Half of the load is usual for each of the two targets.
    CPPUNIT_ASSERT(inFirst >= kPerSecond / 2);
    CPPUNIT_ASSERT(inFirst <= kPerSecond * 9 / 10);
    CPPUNIT_ASSERT(inSecond >= inFirst);
    CPPUNIT_ASSERT_EQUAL(kPerSecond, inThird);
  }

  void LogsWhenATargetIsPutAsideAndTakenBack()
  {
    mForwarder->mWantedPauses["orders-a"] = kPause;
    UseUntil("/orders/x", "orders-a");
    mForwarder->mWantedPauses.clear();
    mForwarder->mLeaving.insert("reads-a");
    UseUntil("/reads/x", "reads-a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         CountPaused(mForwarder->mState, mForwarder->mNow));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, CountLeaving(mForwarder->mState));
    mForwarder->RunFor(2 * kPause);
    mForwarder->AddTarget("reads-a", "reads", 1, false, 2);
    CPPUNIT_ASSERT_EQUAL(2U, CountRecords("target-put-aside"));
    CPPUNIT_ASSERT_EQUAL(2U, CountRecords("target-taken-back"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, CountLeaving(mForwarder->mState));
  }

  unsigned CountRecords(const std::string& aEvent) const
  {
    const auto& records = mForwarder->mDecisionRecords;
    return static_cast<unsigned>(
      std::count_if(records.begin(),
                    records.end(),
                    [&](const forwarding::DecisionRecord& aRecord) {
                      return aRecord.mEvent == aEvent;
                    }));
  }

private:
  std::unique_ptr<ForwarderHarness> mForwarder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetPauseTests);
