/*
 * Tests of searches over shards: coverage, deadlines, hedges, configuration
 * versions and isolation.
 */
#include <tests/support/ForwarderHarness.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

namespace {

std::string
Record(char aLetter)
{
  return std::string(kRecordBytes, aLetter);
}

} // namespace

/** Four shards with two targets each: "s0-a", "s0-b" and so on. */
class SearchTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SearchTests);
  CPPUNIT_TEST(MergesEveryShard);
  CPPUNIT_TEST(AnswersInPartAtTheSoftDeadline);
  CPPUNIT_TEST(WaitsPastTheSoftDeadlineForTheMinimumCoverage);
  CPPUNIT_TEST(HedgesAPausedShardBeforeTheSoftDeadline);
  CPPUNIT_TEST(AvoidsATargetWithAnOverdueReply);
  CPPUNIT_TEST(CountsShardsOfOneConfigurationVersion);
  CPPUNIT_TEST(RefusesWhenTooFewShardsHaveTargets);
  CPPUNIT_TEST(FailsImmediatelyWhenCoverageCannotBeReached);
  CPPUNIT_TEST(RefusesSearchesAndIsNotReadyWhenIsolated);
  CPPUNIT_TEST(SelectsAnotherZoneOnlyWhenItIsFaster);
  CPPUNIT_TEST_SUITE_END();

public:
  static constexpr std::size_t kShards = 4;

  void setUp() override
  {
    mForwarder = std::make_unique<ForwarderHarness>();
    mForwarder->Configure({ SearchRoute(kShards, 0.5) });
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      const std::string service = "shard-" + std::to_string(shard);
      const std::string name = "s" + std::to_string(shard);
      mForwarder->AddTarget(name + "-a", service);
      mForwarder->AddTarget(name + "-b", service);
    }
    mForwarder->RunFor(std::chrono::seconds(1));
    LearnLatencies();
  }

  /** Lets the forwarder measure that each target answers within 10 ms. */
  void LearnLatencies()
  {
    for (int search = 0; search < 30; ++search) {
      mForwarder->Ask("/search/1");
      mForwarder->RunFor(std::chrono::milliseconds(10));
      ReplyAll();
      mForwarder->RunFor(std::chrono::milliseconds(20));
    }
  }

  void ReplyAll(const std::string& aExcept = "")
  {
    const std::vector<ReceivedRequest> received = mForwarder->Received();
    for (const ReceivedRequest& request : received) {
      const std::string shard = request.mInstance.substr(0, 2);
      if (shard != aExcept) {
        mForwarder->Reply(
          request.mInstance, ReplyKind::kSuccess, Record(shard[1]));
      }
    }
  }

  const SearchAnswer* AnswerTo(CallerToken aCaller) const
  {
    const CallerAnswer* answer = mForwarder->AnswerTo(aCaller);
    return answer == nullptr ? nullptr : std::get_if<SearchAnswer>(answer);
  }

  /** Traffic between zones is paid for: a target in another zone is not
      selected to save a few milliseconds, but it is when the near one became
      slow. */
  void SelectsAnotherZoneOnlyWhenItIsFaster()
  {
    using std::chrono::milliseconds;
    const auto choose = [](Duration aNear, Duration aFar) {
      ForwarderHarness forwarder;
      Route route = SingleRoute("s", Repeatability::kIdempotent);
      route.mSoftTimeout = milliseconds(100);
      forwarder.Configure({ route });
      forwarder.AddTarget("far", "s", 1, false, 1, "b");
      forwarder.AddTarget("near", "s");
      forwarder.RunFor(std::chrono::seconds(1));
      for (auto& [key, target] : forwarder.mState.mTargets) {
        const bool isNear = target.mRecord.mInstance.Value() == "near";
        AddSample(
          LatencyOf(target, route.mId), isNear ? aNear : aFar, forwarder.mNow);
      }
      forwarder.Ask("/s/1");
      return forwarder.Received().front().mInstance;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("near"),
                         choose(milliseconds(20), milliseconds(15)));
    CPPUNIT_ASSERT_EQUAL(std::string("far"),
                         choose(milliseconds(40), milliseconds(15)));
  }

  void MergesEveryShard()
  {
    const CallerToken caller = mForwarder->Ask("/search/1");
    ReplyAll();
    const SearchAnswer* answer = AnswerTo(caller);
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT_EQUAL(kShards, answer->mSignatures.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, answer->mMissingShards);
    CPPUNIT_ASSERT_EQUAL(Record('3') + Record('2') + Record('1'),
                         answer->mRecords);
  }

  void AnswersInPartAtTheSoftDeadline()
  {
    const CallerToken caller = mForwarder->Ask("/search/1");
    ReplyAll("s3");
    CPPUNIT_ASSERT(AnswerTo(caller) == nullptr);
    mForwarder->RunFor(std::chrono::milliseconds(120));
    const SearchAnswer* answer = AnswerTo(caller);
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, answer->mSignatures.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, answer->mMissingShards);
  }

  void WaitsPastTheSoftDeadlineForTheMinimumCoverage()
  {
    const CallerToken caller = mForwarder->Ask("/search/1");
    mForwarder->Reply(mForwarder->Received().front().mInstance,
                      ReplyKind::kSuccess);
    mForwarder->RunFor(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT(mForwarder->AnswerTo(caller) == nullptr);
    mForwarder->Reply(mForwarder->Received().front().mInstance,
                      ReplyKind::kSuccess);
    CPPUNIT_ASSERT(AnswerTo(caller) != nullptr);
  }

  void HedgesAPausedShardBeforeTheSoftDeadline()
  {
    const CallerToken caller = mForwarder->Ask("/search/1");
    ReplyAll("s3");
    mForwarder->RunFor(std::chrono::milliseconds(60));
    CPPUNIT_ASSERT(mForwarder->Has("s3-a"));
    CPPUNIT_ASSERT(mForwarder->Has("s3-b"));
    mForwarder->Reply(mForwarder->Received().back().mInstance,
                      ReplyKind::kSuccess,
                      Record('3'));
    const SearchAnswer* answer = AnswerTo(caller);
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, answer->mMissingShards);
  }

  void AvoidsATargetWithAnOverdueReply()
  {
    mForwarder->Ask("/search/1");
    ReplyAll("s3");
    mForwarder->RunFor(std::chrono::milliseconds(60));
    const std::string late = mForwarder->Received().front().mInstance;
    mForwarder->Ask("/search/1");
    CPPUNIT_ASSERT(mForwarder->Received().back().mInstance != late);
  }

  /** A new configuration moves shards to other services while a search is in
      progress. */
  void CountsShardsOfOneConfigurationVersion()
  {
    const CallerToken before = mForwarder->Ask("/search/1");
    mForwarder->Configure({ SearchRoute(2, 0.5) }, 2);
    const CallerToken after = mForwarder->Ask("/search/1");
    ReplyAll();
    CPPUNIT_ASSERT_EQUAL(kShards, AnswerTo(before)->mSignatures.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, AnswerTo(after)->mSignatures.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, AnswerTo(after)->mMissingShards);
  }

  void RefusesWhenTooFewShardsHaveTargets()
  {
    for (const char* name : { "s0", "s1", "s2" }) {
      mForwarder->RemoveTarget(std::string(name) + "-a");
      mForwarder->RemoveTarget(std::string(name) + "-b");
    }
    const CallerToken caller = mForwarder->Ask("/search/1");
    const auto* problem = std::get_if<Problem>(mForwarder->AnswerTo(caller));
    CPPUNIT_ASSERT(problem != nullptr);
    CPPUNIT_ASSERT(problem->mKind == ProblemKind::kNotRun);
    CPPUNIT_ASSERT(mForwarder->Received().empty());
  }

  void FailsImmediatelyWhenCoverageCannotBeReached()
  {
    const CallerToken caller = mForwarder->Ask("/search/1");
    // Both targets of three shards fail.
    for (int round = 0; round < 2; ++round) {
      const std::vector<ReceivedRequest> received = mForwarder->Received();
      for (const ReceivedRequest& request : received) {
        if (request.mInstance.substr(0, 2) != "s3" &&
            mForwarder->Has(request.mInstance)) {
          mForwarder->Reply(request.mInstance, ReplyKind::kFailure, "", 500);
        }
      }
    }
    const auto* answer = mForwarder->AnswerTo(caller);
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT(std::get<Problem>(*answer).mKind == ProblemKind::kFailed);
  }

  /** Guards against sending a search that cannot succeed: when the VM's zone is
      partitioned from the zone of all targets, a search was sent to the shards
      that still had a connection, and failed. */
  void RefusesSearchesAndIsNotReadyWhenIsolated()
  {
    mForwarder->mState.mPolicy.mZone = ZoneName("elsewhere");
    CPPUNIT_ASSERT(mForwarder->mState.IsReady(mForwarder->mNow));
    mForwarder->mRefusesAllConnections = true;
    for (int search = 0; search < 4; ++search) {
      mForwarder->Ask("/search/1");
      mForwarder->RunFor(std::chrono::milliseconds(500));
    }
    CPPUNIT_ASSERT(!mForwarder->mState.IsReady(mForwarder->mNow));
    const CallerToken caller = mForwarder->Ask("/search/1");
    const CallerAnswer* answer = mForwarder->AnswerTo(caller);
    CPPUNIT_ASSERT(answer != nullptr);
    const Problem& problem = std::get<Problem>(*answer);
    CPPUNIT_ASSERT(problem.mKind == ProblemKind::kNotRun);
    CPPUNIT_ASSERT(problem.mClosesConnection);
    mForwarder->mRefusesAllConnections = false;
    mForwarder->RunFor(std::chrono::seconds(3));
    CPPUNIT_ASSERT(mForwarder->mState.IsReady(mForwarder->mNow));
    CPPUNIT_ASSERT(mForwarder->AnswerTo(mForwarder->Ask("/search/1")) ==
                   nullptr);
  }

private:
  std::unique_ptr<ForwarderHarness> mForwarder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SearchTests);
