/*
 * Tests of the coordinator's rules, with one kind of fault in each test.
 */
#include <tests/support/DeploymentText.h>
#include <tests/support/FakeFleet.h>
#include <tests/support/NaiveTier.h>

#include <algorithm>
#include <set>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

constexpr unsigned kShards = 4;

AskOptions
Search(const std::string& aService = "catalogue")
{
  AskOptions options;
  options.mService = aService;
  return options;
}

AskOptions
Keyed(Operation aOperation)
{
  AskOptions options = Search();
  options.mOperation = aOperation;
  options.mKey = "order-1";
  return options;
}

/** One VM in each of three zones. */
class Fixture
{
public:
  explicit Fixture(
    const std::vector<ServiceText>& aServices = { ServiceText{} },
    std::uint64_t aSeed = 11)
    : mFleet(aSeed)
    , mText(DeploymentText(aServices))
  {
    mVm = mFleet.AddVm("vm-a", "zone-a");
    mFleet.AddVm("vm-b", "zone-b");
    mFleet.AddVm("vm-c", "zone-c");
    mFleet.Apply(mText);
    // Owners open connections only some seconds after they were listed.
    mFleet.RunFor(std::chrono::seconds(10));
  }

  /** Sends enough searches that the latencies are known. */
  void WarmUp(const std::string& aService = "catalogue")
  {
    for (int round = 0; round < 100; ++round) {
      mFleet.AskAndWait(mVm, Search(aService));
    }
  }

  TargetBehaviour& Behaviour(const std::string& aTarget)
  {
    return mFleet.TargetNamed(aTarget).mBehaviour;
  }

  const Counters& CountersOfVm() const { return mFleet.State(mVm).mCounters; }

  std::uint64_t ArrivalsAt(const std::string& aTarget)
  {
    return mFleet.TargetNamed(aTarget).Arrivals();
  }

  FakeFleet mFleet;
  std::string mText;
  VmId mVm;
};

} // namespace

class CoordinatorPolicyTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CoordinatorPolicyTests);
  CPPUNIT_TEST(HedgesSlowShardElsewhere);
  CPPUNIT_TEST(NeverHedgesActions);
  CPPUNIT_TEST(HedgesThroughAnotherOwner);
  CPPUNIT_TEST(KeepsExtraLoadWithinBudget);
  CPPUNIT_TEST(RecoversWithinSecondsOfShedding);
  CPPUNIT_TEST(PreferencesDifferOnOneFault);
  CPPUNIT_TEST(SettlesUnknownSnapshotOnBestCovered);
  CPPUNIT_TEST(PrefersNewestAmongEqualSnapshots);
  CPPUNIT_TEST(RestartsWhenAnotherSnapshotCoversMore);
  CPPUNIT_TEST(BoundsEjectionsAndRestores);
  CPPUNIT_TEST(GivesDrainingTargetNoWork);
  CPPUNIT_TEST(CancelsWhenCallerDisconnects);
  CPPUNIT_TEST(RefusesTooShortBudgetBeforeSending);
  CPPUNIT_TEST(RefusesWhileTargetsShed);
  CPPUNIT_TEST(KeepsServingWhileShardsAreFrozen);
  CPPUNIT_TEST(ReportsUnknownUnlessProvenUnsent);
  CPPUNIT_TEST(CoversAtLeastWhatNaiveTierCovers);
  CPPUNIT_TEST(LearnsQuantiles);
  CPPUNIT_TEST_SUITE_END();

public:
  void HedgesSlowShardElsewhere()
  {
    Fixture fixture;
    fixture.WarmUp();
    const std::uint64_t before = fixture.CountersOfVm().mHedges;
    fixture.Behaviour("catalogue-0-0").mIsFrozen = true;
    fixture.Behaviour("catalogue-1-0").mIsFrozen = true;
    for (int round = 0; round < 3; ++round) {
      const Exchange& exchange =
        fixture.mFleet.AskAndWait(fixture.mVm, Search());
      CPPUNIT_ASSERT(exchange.AnswerOrNull()->IsComplete());
      CPPUNIT_ASSERT(exchange.mAnswered - exchange.mAsked <
                     std::chrono::milliseconds(60));
    }
    CPPUNIT_ASSERT(fixture.CountersOfVm().mHedges > before);
    CPPUNIT_ASSERT(fixture.CountersOfVm().mHedgesWon > 0U);
    CPPUNIT_ASSERT(
      fixture.mFleet.State(fixture.mVm).mCoordinator.mAttempts.empty());
  }

  void NeverHedgesActions()
  {
    Fixture fixture;
    fixture.WarmUp();
    for (const auto& [id, target] : fixture.mFleet.Targets()) {
      target->mBehaviour.mServiceTime = std::chrono::milliseconds(300);
    }
    const std::uint64_t before = fixture.CountersOfVm().mAttempts;
    const Exchange& exchange =
      fixture.mFleet.AskAndWait(fixture.mVm, Keyed(Operation::kAction));
    CPPUNIT_ASSERT(exchange.AnswerOrNull() != nullptr);
    CPPUNIT_ASSERT_EQUAL(before + 1, fixture.CountersOfVm().mAttempts);
  }

  /** Both replicas of each shard lie in one zone, and the owner that was asked
      first is paused. */
  void HedgesThroughAnotherOwner()
  {
    ServiceText service;
    service.mZones = { "zone-b" };
    Fixture fixture({ service });
    fixture.mFleet.AddVm("vm-b2", "zone-b");
    fixture.mFleet.RunFor(std::chrono::seconds(10));
    fixture.WarmUp();
    VmId first;
    for (const DecisionRecord& record : fixture.mFleet.Records()) {
      if (const auto* plan = std::get_if<QueryPlanned>(&record)) {
        first = plan->mBatches.front().mTargetOwner;
      }
    }
    fixture.mFleet.Pause(first);
    const Exchange& exchange = fixture.mFleet.AskAndWait(fixture.mVm, Search());
    CPPUNIT_ASSERT(exchange.AnswerOrNull()->IsComplete());
  }

  void KeepsExtraLoadWithinBudget()
  {
    Fixture fixture;
    fixture.WarmUp();
    constexpr int kRounds = 500;
    constexpr double kExtraLoad = 0.05;
    constexpr double kBurst = 10;
    for (const auto& [id, target] : fixture.mFleet.Targets()) {
      target->mBehaviour.mShedShare = 0.5;
    }
    const std::uint64_t before = fixture.CountersOfVm().mAttempts;
    const std::uint64_t refusedBefore = fixture.CountersOfVm().mRequestsRefused;
    for (int round = 0; round < kRounds; ++round) {
      fixture.mFleet.AskAndWait(fixture.mVm, Search());
    }
    const std::uint64_t refused =
      fixture.CountersOfVm().mRequestsRefused - refusedBefore;
    const double first =
      static_cast<double>(kRounds - refused) * double{ kShards };
    const auto sent =
      static_cast<double>(fixture.CountersOfVm().mAttempts - before);
    CPPUNIT_ASSERT(sent <= first * (1 + kExtraLoad) + kBurst);
    CPPUNIT_ASSERT(fixture.CountersOfVm().mExtraAttemptsDenied > 0U);
  }

  void RecoversWithinSecondsOfShedding()
  {
    Fixture fixture;
    fixture.WarmUp();
    const auto shed = [&](double aShare) {
      for (const auto& [id, target] : fixture.mFleet.Targets()) {
        target->mBehaviour.mShedShare = aShare;
      }
    };
    const auto askFor = [&](int aRounds) {
      for (int round = 0; round < aRounds; ++round) {
        fixture.mFleet.Ask(fixture.mVm, Search());
        fixture.mFleet.RunFor(std::chrono::milliseconds(5));
      }
    };
    shed(1);
    askFor(1000);
    shed(0);
    askFor(600);
    const std::size_t from = fixture.mFleet.Exchanges().size();
    askFor(200);
    fixture.mFleet.RunFor(std::chrono::seconds(1));
    const auto& exchanges = fixture.mFleet.Exchanges();
    for (std::size_t at = from; at < exchanges.size(); ++at) {
      const Answer* answer = exchanges[at].AnswerOrNull();
      CPPUNIT_ASSERT(answer != nullptr && answer->IsComplete());
    }
  }

  /** All targets of one shard are frozen. The service that prefers latency
      answers early without this shard; the other one waits until its
      deadline. */
  void PreferencesDifferOnOneFault()
  {
    ServiceText quick;
    quick.mName = "quick";
    quick.mPreference = "latency";
    quick.mMinCoverage = 0.7;
    ServiceText thorough;
    thorough.mName = "thorough";
    Fixture fixture({ quick, thorough });
    fixture.WarmUp("quick");
    fixture.WarmUp("thorough");
    for (const char* name :
         { "quick-2-0", "quick-2-1", "thorough-2-0", "thorough-2-1" }) {
      fixture.Behaviour(name).mIsFrozen = true;
    }
    const Exchange early =
      fixture.mFleet.AskAndWait(fixture.mVm, Search("quick"));
    const Exchange late =
      fixture.mFleet.AskAndWait(fixture.mVm, Search("thorough"));
    CheckMissing(early, MissingReason::kEarlyAnswer);
    CheckMissing(late, MissingReason::kTimeout);
    CPPUNIT_ASSERT(early.mAnswered - early.mAsked <
                   std::chrono::milliseconds(60));
    CPPUNIT_ASSERT(late.mAnswered - late.mAsked >
                   std::chrono::milliseconds(400));
    // Without faults, an early answer lacks no shard of ordinary speed.
    for (const char* name : { "quick-2-0", "quick-2-1" }) {
      fixture.mFleet.TargetNamed(name).Thaw();
    }
    fixture.mFleet.RunFor(std::chrono::seconds(5));
    fixture.WarmUp("quick");
    CPPUNIT_ASSERT(fixture.mFleet.AskAndWait(fixture.mVm, Search("quick"))
                     .AnswerOrNull()
                     ->IsComplete());
  }

  /** The coordinator knows no snapshots, and one shard also holds a newer one
      than the others. */
  void SettlesUnknownSnapshotOnBestCovered()
  {
    Fixture fixture;
    for (const char* name : { "catalogue-0-0", "catalogue-0-1" }) {
      fixture.Behaviour(name).mSnapshots = { SnapshotVersion(1),
                                             SnapshotVersion(2) };
    }
    const Answer* answer =
      fixture.mFleet.AskAndWait(fixture.mVm, Search()).AnswerOrNull();
    CPPUNIT_ASSERT(answer->IsComplete());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, answer->mSnapshot.Value());
  }

  void PrefersNewestAmongEqualSnapshots()
  {
    Fixture fixture;
    for (const auto& [id, target] : fixture.mFleet.Targets()) {
      target->mBehaviour.mSnapshots = { SnapshotVersion(1),
                                        SnapshotVersion(2) };
    }
    fixture.WarmUp();
    const Answer* answer =
      fixture.mFleet.AskAndWait(fixture.mVm, Search()).AnswerOrNull();
    CPPUNIT_ASSERT(answer->IsComplete());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, answer->mSnapshot.Value());
  }

  /** All targets change to a new snapshot at once. The coordinator gets no
      notice of it. */
  void RestartsWhenAnotherSnapshotCoversMore()
  {
    Fixture fixture;
    fixture.WarmUp();
    for (const auto& [id, target] : fixture.mFleet.Targets()) {
      target->mBehaviour.mSnapshots = { SnapshotVersion(2) };
    }
    fixture.mFleet.RunFor(std::chrono::seconds(1));
    bool isComplete = false;
    for (int round = 0; round < 4; ++round) {
      const Answer* answer =
        fixture.mFleet.AskAndWait(fixture.mVm, Search()).AnswerOrNull();
      isComplete =
        answer->IsComplete() && answer->mSnapshot == SnapshotVersion(2);
    }
    CPPUNIT_ASSERT(isComplete);
    CPPUNIT_ASSERT(fixture.CountersOfVm().mSnapshotRestarts > 0U);
  }

  void BoundsEjectionsAndRestores()
  {
    Fixture fixture;
    for (const auto& [id, target] : fixture.mFleet.Targets()) {
      target->mBehaviour.mIsAlive = false;
    }
    for (int round = 0; round < 40; ++round) {
      fixture.mFleet.AskAndWait(fixture.mVm, Search());
    }
    const auto& coordinator = fixture.mFleet.State(fixture.mVm).mCoordinator;
    const auto ejected = std::count_if(coordinator.mTargets.begin(),
                                       coordinator.mTargets.end(),
                                       [](const auto& aEntry) {
                                         return aEntry.second.mAvailability ==
                                                TargetAvailability::kEjected;
                                       });
    CPPUNIT_ASSERT(ejected > 0);
    CPPUNIT_ASSERT(ejected <= 4);
    for (const auto& [id, target] : fixture.mFleet.Targets()) {
      target->mBehaviour.mIsAlive = true;
    }
    fixture.mFleet.RunFor(std::chrono::seconds(12));
    fixture.WarmUp();
    CPPUNIT_ASSERT(fixture.mFleet.AskAndWait(fixture.mVm, Search())
                     .AnswerOrNull()
                     ->IsComplete());
    CPPUNIT_ASSERT(fixture.CountersOfVm().mTargetsRestored > 0U);
  }

  void GivesDrainingTargetNoWork()
  {
    Fixture fixture;
    fixture.WarmUp();
    fixture.Behaviour("catalogue-0-0").mIsDraining = true;
    fixture.WarmUp();
    const std::uint64_t before = fixture.ArrivalsAt("catalogue-0-0");
    for (int round = 0; round < 400; ++round) {
      fixture.mFleet.AskAndWait(fixture.mVm, Search());
    }
    CPPUNIT_ASSERT(fixture.CountersOfVm().mTargetsEjected > 0U);
    // Only probes arrive, five seconds apart.
    CPPUNIT_ASSERT(fixture.ArrivalsAt("catalogue-0-0") <= before + 2);
  }

  void CancelsWhenCallerDisconnects()
  {
    Fixture fixture;
    fixture.WarmUp();
    const std::size_t position = fixture.mFleet.Ask(fixture.mVm, Search());
    fixture.mFleet.Deliver(fixture.mVm,
                           CallerDisconnected{ CallerToken(position) });
    fixture.mFleet.RunFor(std::chrono::seconds(2));
    CPPUNIT_ASSERT(!fixture.mFleet.Exchanges()[position].mOutcome);
    CPPUNIT_ASSERT(
      fixture.mFleet.State(fixture.mVm).mCoordinator.mQueries.empty());
    CPPUNIT_ASSERT(
      fixture.mFleet.State(fixture.mVm).mCoordinator.mAttempts.empty());
    CPPUNIT_ASSERT(fixture.CountersOfVm().mCallersDisconnected == 1U);
  }

  void RefusesTooShortBudgetBeforeSending()
  {
    Fixture fixture;
    fixture.WarmUp();
    AskOptions tooShort = Search();
    tooShort.mTimeout = std::chrono::microseconds(200);
    fixture.mFleet.AskAndWait(fixture.mVm, tooShort);
    const std::uint64_t before = fixture.CountersOfVm().mAttempts;
    const Exchange& exchange = fixture.mFleet.AskAndWait(fixture.mVm, tooShort);
    CPPUNIT_ASSERT(exchange.ErrorOrNull() != nullptr);
    CPPUNIT_ASSERT(exchange.ErrorOrNull()->mExecution == Execution::kNotRun);
    CPPUNIT_ASSERT(exchange.mAnswered == exchange.mAsked);
    CPPUNIT_ASSERT_EQUAL(before, fixture.CountersOfVm().mAttempts);
  }

  void RefusesWhileTargetsShed()
  {
    Fixture fixture;
    fixture.WarmUp();
    for (const auto& [id, target] : fixture.mFleet.Targets()) {
      target->mBehaviour.mShedShare = 1;
    }
    for (int round = 0; round < 300; ++round) {
      fixture.mFleet.Ask(fixture.mVm, Search());
      fixture.mFleet.RunFor(std::chrono::milliseconds(3));
    }
    CPPUNIT_ASSERT(fixture.CountersOfVm().mRefusedOverloaded > 100U);
  }

  /** Frozen targets have failed and are not overloaded: the other shards are
      served and no request is refused. */
  void KeepsServingWhileShardsAreFrozen()
  {
    Fixture fixture;
    fixture.WarmUp();
    for (const char* name :
         { "catalogue-0-0", "catalogue-0-1", "catalogue-1-0" }) {
      fixture.Behaviour(name).mIsFrozen = true;
    }
    for (int round = 0; round < 400; ++round) {
      fixture.mFleet.Ask(fixture.mVm, Search());
      fixture.mFleet.RunFor(std::chrono::milliseconds(10));
    }
    const std::uint64_t before = fixture.CountersOfVm().mRequestsRefused;
    for (int round = 0; round < 100; ++round) {
      fixture.mFleet.Ask(fixture.mVm, Search());
      fixture.mFleet.RunFor(std::chrono::milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(before, fixture.CountersOfVm().mRequestsRefused);
    const Answer* answer =
      fixture.mFleet.AskAndWait(fixture.mVm, Search()).AnswerOrNull();
    CPPUNIT_ASSERT(answer != nullptr && answer->mResults.size() >= 2);
  }

  void ReportsUnknownUnlessProvenUnsent()
  {
    for (const Operation operation :
         { Operation::kLookup, Operation::kAction }) {
      Fixture fixture;
      for (const auto& [id, target] : fixture.mFleet.Targets()) {
        target->mBehaviour.mIsFrozen = true;
      }
      CheckExecution(fixture, operation, Execution::kUnknown);
      for (const auto& [id, target] : fixture.mFleet.Targets()) {
        target->Thaw();
        target->mBehaviour.mReset = ResetPoint::kBeforeRequest;
      }
      fixture.mFleet.RunFor(std::chrono::seconds(15));
      CheckExecution(fixture, operation, Execution::kNotRun);
    }
  }

  /** Whichever targets are dead, every shard that a tier without any policy
      gets is also in the coordinator's answer, with the same body. */
  void CoversAtLeastWhatNaiveTierCovers()
  {
    const bool held = rc::check(
      "an answer has each shard that a tier without policy gets",
      [](std::uint64_t aSeed, std::uint8_t aDead) {
        Fixture fixture({ ServiceText{} }, aSeed);
        NaiveTier naive(fixture.mFleet,
                        *ParseDeployment(fixture.mText, "test"),
                        std::chrono::milliseconds(1));
        unsigned ordinal = 0;
        for (const auto& [id, target] : fixture.mFleet.Targets()) {
          const unsigned bit = 1U << ordinal++;
          target->mBehaviour.mIsAlive = (aDead & bit) == 0;
        }
        for (int round = 0; round < 8; ++round) {
          const std::string id = "same-" + std::to_string(round);
          const auto plain =
            naive.Ask("catalogue", id, std::chrono::milliseconds(400));
          AskOptions options = Search();
          options.mRequestId = id;
          const Exchange& ours =
            fixture.mFleet.AskAndWait(fixture.mVm, options);
          fixture.mFleet.RunFor(std::chrono::milliseconds(500));
          RC_ASSERT(ours.AnswerOrNull() != nullptr);
          std::map<std::uint32_t, std::string> bodies;
          for (const ShardResult& result : ours.AnswerOrNull()->mResults) {
            bodies[result.mShard.Value()] = *result.mBody;
          }
          for (const auto& [shard, body] : plain->mBodies) {
            RC_ASSERT(bodies[shard] == body);
          }
        }
      });
    CPPUNIT_ASSERT(held);
  }

  /** The samples follow others of a far higher latency, which must no longer
      count. */
  void LearnsQuantiles()
  {
    const bool held = rc::check(
      "a learned quantile is within an eighth of the true one",
      [](std::uint64_t aSeed) {
        Random random(aSeed);
        LatencyHistogram histogram;
        TimePoint now{ std::chrono::hours(1) };
        for (int count = 0; count < 300; ++count) {
          histogram.Add(std::chrono::seconds(1), now);
        }
        std::vector<double> all;
        for (int count = 0; count < 40000; ++count) {
          now += std::chrono::milliseconds(1);
          const double milliseconds = 1 + 99 * random.Fraction();
          all.push_back(milliseconds);
          histogram.Add(Duration(static_cast<std::int64_t>(milliseconds * 1e6)),
                        now);
        }
        std::sort(all.begin(), all.end());
        for (const double share : { 0.1, 0.5, 0.95, 0.99 }) {
          const double wanted = all[static_cast<std::size_t>(share * 40000)];
          const double found = ToMilliseconds(histogram.Quantile(share));
          // Random sampling alone moves a low quantile of 2,000 values by this
          // many milliseconds.
          const double chance = 3;
          RC_ASSERT(found > wanted * 0.875 - chance);
          RC_ASSERT(found < wanted * 1.125 + chance);
        }
      });
    CPPUNIT_ASSERT(held);
  }

private:
  static void CheckMissing(const Exchange& aExchange, MissingReason aReason)
  {
    const Answer* answer = aExchange.AnswerOrNull();
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, answer->mMissing.size());
    CPPUNIT_ASSERT_EQUAL(2U, answer->mMissing.front().mShard.Value());
    CPPUNIT_ASSERT(answer->mMissing.front().mReason == aReason);
  }

  static void CheckExecution(Fixture& aFixture,
                             Operation aOperation,
                             Execution aExecution)
  {
    const Exchange& exchange =
      aFixture.mFleet.AskAndWait(aFixture.mVm, Keyed(aOperation));
    CPPUNIT_ASSERT(exchange.ErrorOrNull() != nullptr);
    CPPUNIT_ASSERT(exchange.ErrorOrNull()->mExecution == aExecution);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorPolicyTests);
