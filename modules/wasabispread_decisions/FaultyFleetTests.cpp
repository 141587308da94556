/*
 * Random faults of VMs and targets: the outcomes that callers get must agree
 * with what the targets ran.
 */
#include <tests/support/DeploymentText.h>
#include <tests/support/FakeFleet.h>

#include <map>
#include <set>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

constexpr unsigned kShards = 5;
constexpr unsigned kReplicas = 2;
constexpr unsigned kVms = 6;
constexpr double kExtraLoad = 0.05;
constexpr Duration kCallerTimeout = std::chrono::milliseconds(150);

ServiceText
FaultyService(bool aIsLatencyFirst)
{
  ServiceText service;
  service.mShards = kShards;
  service.mReplicas = kReplicas;
  service.mPreference = aIsLatencyFirst ? "latency" : "coverage";
  service.mMinCoverage = 0.6;
  return service;
}

/** A fleet of VMs under random requests and faults, with checks of the history
    that results. */
class FaultyFleet
{
public:
  FaultyFleet(std::uint64_t aSeed, bool aIsLatencyFirst)
    : mFleet(aSeed)
    , mChoices(aSeed)
  {
    const char* zones[] = { "zone-a", "zone-b", "zone-c" };
    for (unsigned vm = 0; vm < kVms; ++vm) {
      mVms.push_back(
        mFleet.AddVm("vm-" + std::to_string(vm), zones[vm % std::size(zones)]));
    }
    mFleet.Apply(DeploymentText({ FaultyService(aIsLatencyFirst) }));
    mFleet.RunFor(std::chrono::seconds(10));
  }

  void Run(int aSteps)
  {
    for (int step = 0; step < aSteps; ++step) {
      if (mChoices.Below(4) == 0) {
        InjectFault();
      }
      Ask();
      mFleet.RunFor(std::chrono::milliseconds(mChoices.Below(30)));
    }
    RepairAll();
    mFleet.RunFor(std::chrono::seconds(20));
  }

  void Check()
  {
    for (const Exchange& exchange : mFleet.Exchanges()) {
      CheckExchange(exchange);
    }
    CheckExtraAttempts();
    CheckNothingIsLeft();
  }

private:
  FakeTarget& AnyTarget()
  {
    auto target = mFleet.Targets().begin();
    std::advance(target, mChoices.Below(mFleet.Targets().size()));
    return *target->second;
  }

  void InjectFault()
  {
    TargetBehaviour& behaviour = AnyTarget().mBehaviour;
    switch (mChoices.Below(10)) {
      case 0:
        behaviour.mIsAlive = !behaviour.mIsAlive;
        break;
      case 1:
        behaviour.mIsDraining = !behaviour.mIsDraining;
        break;
      case 2:
        behaviour.mShedShare = mChoices.Fraction();
        break;
      case 3:
        behaviour.mStragglerShare = mChoices.Fraction() / 2;
        break;
      case 4:
        behaviour.mReset = static_cast<ResetPoint>(mChoices.Below(4));
        break;
      case 5:
        behaviour.mIsFrozen = true;
        break;
      case 6:
        AnyTarget().Thaw();
        break;
      case 7:
        RollOver(behaviour);
        break;
      case 8:
        Crash(mVms[mChoices.Below(kVms)]);
        break;
      default:
        behaviour.mChangeReply = [](TargetReply& aReply) {
          aReply.mAttempt += "0";
        };
        break;
    }
  }

  void RollOver(TargetBehaviour& aBehaviour)
  {
    const SnapshotVersion next(aBehaviour.mSnapshots.back().Value() + 1);
    const bool keepsOld = mChoices.Below(2) == 0;
    aBehaviour.mSnapshots =
      keepsOld ? std::vector{ aBehaviour.mSnapshots.back(), next }
               : std::vector{ next };
  }

  void Crash(VmId aVm)
  {
    if (mDown.contains(aVm)) {
      mDown.erase(aVm);
      mFleet.Restart(aVm);
      mFleet.RunFor(std::chrono::milliseconds(50));
    } else if (mDown.size() + 1 < kVms) {
      mDown.insert(aVm);
      mCrashed[aVm] = mFleet.Exchanges().size();
      mFleet.Kill(aVm);
    }
  }

  void RepairAll()
  {
    for (const VmId vm : mDown) {
      mFleet.Restart(vm);
    }
    for (const auto& [id, target] : mFleet.Targets()) {
      target->mBehaviour.mIsAlive = true;
      target->Thaw();
    }
  }

  void Ask()
  {
    const VmId vm = mVms[mChoices.Below(kVms)];
    if (mDown.contains(vm)) {
      return;
    }
    AskOptions options;
    options.mService = "catalogue";
    options.mTimeout = kCallerTimeout;
    options.mOperation = static_cast<Operation>(mChoices.Below(3));
    options.mKey = "key-" + std::to_string(mChoices.Below(20));
    mFleet.Ask(vm, options);
  }

  std::vector<ExecutionRecord> ExecutionsOf(const RequestId& aRequest) const
  {
    std::vector<ExecutionRecord> found;
    for (const ExecutionRecord& record : mFleet.Executions()) {
      if (record.mRequestId == aRequest) {
        found.push_back(record);
      }
    }
    return found;
  }

  void CheckExchange(const Exchange& aExchange)
  {
    const auto runs = ExecutionsOf(aExchange.mRequest.mRequestId);
    if (aExchange.mRequest.mOperation == Operation::kAction) {
      RC_ASSERT(runs.size() <= 1);
    }
    if (!aExchange.mOutcome) {
      // A caller may remain unanswered only when the VM that it asked has
      // crashed.
      RC_ASSERT(mCrashed.contains(aExchange.mVm));
      return;
    }
    RC_ASSERT(aExchange.mAnswered - aExchange.mAsked <= kCallerTimeout);
    if (const Error* error = aExchange.ErrorOrNull()) {
      RC_ASSERT(error->mExecution == Execution::kUnknown || runs.empty());
      RC_ASSERT(!error->mRemedy.empty());
      return;
    }
    CheckAnswer(aExchange, *aExchange.AnswerOrNull(), runs);
  }

  void CheckAnswer(const Exchange& aExchange,
                   const Answer& aAnswer,
                   const std::vector<ExecutionRecord>& aRuns)
  {
    std::set<ShardIndex> named;
    for (const ShardResult& result : aAnswer.mResults) {
      RC_ASSERT(named.insert(result.mShard).second);
      RC_ASSERT(*result.mBody == aExchange.mRequest.mRequestId.Value() + "/" +
                                   std::to_string(result.mShard.Value()) + "@" +
                                   std::to_string(aAnswer.mSnapshot.Value()));
      RC_ASSERT(std::any_of(
        aRuns.begin(), aRuns.end(), [&](const ExecutionRecord& aRun) {
          return aRun.mTarget == result.mTarget &&
                 aRun.mShard == result.mShard &&
                 aRun.mSnapshot == aAnswer.mSnapshot;
        }));
    }
    for (const MissingShard& missing : aAnswer.mMissing) {
      RC_ASSERT(named.insert(missing.mShard).second);
    }
    const bool isSearch = aExchange.mRequest.mOperation == Operation::kSearch;
    RC_ASSERT(named.size() == (isSearch ? kShards : 1));
    RC_ASSERT(aAnswer.mShardsAsked == named.size());
  }

  void CheckExtraAttempts()
  {
    constexpr double kBurst = 10;
    std::uint64_t planned = 0;
    for (const DecisionRecord& record : mFleet.Records()) {
      if (const auto* plan = std::get_if<QueryPlanned>(&record)) {
        for (const PlannedBatch& batch : plan->mBatches) {
          planned += batch.mItems;
        }
      }
    }
    double starts = 0;
    double attempts = 0;
    for (const VmId vm : mVms) {
      // A restarted VM has new counters and a new, full budget.
      starts += mCrashed.contains(vm) ? 0 : 1;
      attempts += mCrashed.contains(vm)
                    ? 0
                    : static_cast<double>(mFleet.State(vm).mCounters.mAttempts);
    }
    RC_ASSERT(attempts <= static_cast<double>(planned) * (1 + kExtraLoad) +
                            kBurst * starts);
  }

  void CheckNothingIsLeft()
  {
    for (const VmId vm : mVms) {
      const CoordinatorState& coordinator = mFleet.State(vm).mCoordinator;
      RC_ASSERT(coordinator.mQueries.empty());
      RC_ASSERT(coordinator.mAttempts.empty());
      RC_ASSERT(coordinator.mQueryOfCaller.empty());
      for (const auto& [id, target] : coordinator.mTargets) {
        RC_ASSERT(target.mInFlight == 0U);
      }
    }
  }

  FakeFleet mFleet;
  Random mChoices;
  std::vector<VmId> mVms;
  std::set<VmId> mDown;
  std::map<VmId, std::size_t> mCrashed;
};

} // namespace

class FaultyFleetTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FaultyFleetTests);
  CPPUNIT_TEST(OutcomesMatchExecutions);
  CPPUNIT_TEST_SUITE_END();

public:
  void OutcomesMatchExecutions()
  {
    // rapidcheck prints its seed and the shrunk case when this fails.
    const bool held =
      rc::check("answers agree with what targets ran", [](std::uint64_t aSeed) {
        const auto steps = *rc::gen::inRange(1, 120);
        FaultyFleet fleet(aSeed, aSeed % 2 == 0);
        fleet.Run(steps);
        fleet.Check();
      });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultyFleetTests);
