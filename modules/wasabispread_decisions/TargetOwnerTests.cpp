/*
 * Tests of the target owner: admission, leaving targets, stops, pauses, network
 * partitions, and that an action runs at most once.
 */
#include <tests/support/DeploymentText.h>
#include <tests/support/FakeFleet.h>
#include <tests/support/OverloadRun.h>

#include <algorithm>
#include <map>
#include <set>

#include <rapidcheck.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

class TargetOwnerTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetOwnerTests);
  CPPUNIT_TEST(ReplayWindowAcceptsEachSequenceOnce);
  CPPUNIT_TEST(KeepsGoodputAtTwiceTheCapacity);
  CPPUNIT_TEST(ActionsRunAtMostOnceUnderFaults);
  CPPUNIT_TEST(DuplicateFramesRunOnce);
  CPPUNIT_TEST(SendsNoExpiredAttemptAfterAPause);
  CPPUNIT_TEST(PlannedStopFailsNoRequest);
  CPPUNIT_TEST(LeavingTargetGetsNoNewAttempts);
  CPPUNIT_TEST(TargetOwnerSuspendsALeavingTarget);
  CPPUNIT_TEST(RemovedTargetIsDrainedAndForgotten);
  CPPUNIT_TEST(IgnoresAWrongReportOfLeaving);
  CPPUNIT_TEST(SendsCancellationsToTargets);
  CPPUNIT_TEST(ClosesAConnectionWithoutALateReply);
  CPPUNIT_TEST(ClosesIdleConnections);
  CPPUNIT_TEST(PartitionedZoneServesItsTargetsAtOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { Start(kSeed); }

  void ReplayWindowAcceptsEachSequenceOnce()
  {
    const bool holds = rc::check([] {
      ReplayWindow window;
      std::set<std::uint64_t> taken;
      std::uint64_t newest = 0;
      for (int step = 0; step < 300; ++step) {
        const auto back = *rc::gen::inRange<std::uint64_t>(0, 9000);
        const std::uint64_t sequence = newest + 2000 - std::min(back, newest);
        const bool isAccepted = window.Accept(AttemptSequence(sequence));
        RC_ASSERT(!isAccepted || taken.insert(sequence).second);
        RC_ASSERT(isAccepted || taken.contains(sequence) ||
                  sequence + 8192 <= newest);
        newest = std::max(newest, sequence);
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  void KeepsGoodputAtTwiceTheCapacity()
  {
    constexpr double kKeptShare = 0.9;
    double peak = 0;
    double naivePeak = 0;
    OverloadOptions options;
    for (const double load : { 0.4, 0.8, 0.9, 1.0, 1.2, 2.0 }) {
      options.mLoad = load;
      options.mIsNaive = false;
      peak = std::max(peak, MeasureGoodput(options));
      options.mIsNaive = true;
      naivePeak = std::max(naivePeak, MeasureGoodput(options));
    }
    CPPUNIT_ASSERT(MeasureGoodput(options) < naivePeak / 2);
    options.mIsNaive = false;
    CPPUNIT_ASSERT(MeasureGoodput(options) >= kKeptShare * peak);
  }

  void ActionsRunAtMostOnceUnderFaults()
  {
    const bool holds = rc::check([this] {
      Start(*rc::gen::inRange<std::uint64_t>(1, 1000000));
      mFleet->mNetwork.mDuplication = 0.2;
      mFleet->mNetwork.mLoss = 0.05;
      for (int step = 0; step < 30; ++step) {
        Ask(*rc::gen::inRange<std::size_t>(0, mVms.size()), Operation::kAction);
        CauseFault(*rc::gen::inRange(0, 12), *rc::gen::inRange(0, 6));
        mFleet->RunFor(std::chrono::microseconds(*rc::gen::inRange(0, 20000)));
      }
      Heal();
      mFleet->RunFor(std::chrono::seconds(10));
      CheckActions();
    });
    CPPUNIT_ASSERT(holds);
  }

  void DuplicateFramesRunOnce()
  {
    mFleet->mNetwork.mDuplication = 1;
    for (int round = 0; round < 50; ++round) {
      Ask(0, Operation::kAction);
      mFleet->RunFor(std::chrono::milliseconds(20));
    }
    mFleet->RunFor(std::chrono::seconds(2));
    CheckActions();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 50 }, mFleet->Executions().size());
  }

  void SendsNoExpiredAttemptAfterAPause()
  {
    Load(300);
    mFleet->RunFor(std::chrono::seconds(1));
    for (const VmId vm : mVms) {
      if (vm != mVms[0]) {
        mFleet->Pause(vm);
      }
    }
    for (int round = 0; round < 20; ++round) {
      Ask(0, Operation::kAction);
    }
    // This is longer than the requests' timeout and too short for the VM to
    // lose its share.
    mFleet->RunFor(std::chrono::milliseconds(1500));
    const std::size_t before = mFleet->Executions().size();
    for (const VmId vm : mVms) {
      mFleet->Resume(vm);
    }
    mFleet->RunFor(std::chrono::seconds(3));
    CPPUNIT_ASSERT_EQUAL(before, mFleet->Executions().size());
  }

  void PlannedStopFailsNoRequest()
  {
    Random random(kSeed);
    for (int round = 0; round < 1500; ++round) {
      if (round == 500) {
        mFleet->Stop(mVms[1]);
      }
      std::size_t vm = random.Below(mVms.size());
      vm = round >= 500 && vm == 1 ? 2 : vm;
      Ask(vm, round % 2 == 0 ? Operation::kSearch : Operation::kAction);
      mFleet->RunFor(std::chrono::milliseconds(1));
    }
    mFleet->RunFor(std::chrono::seconds(2));
    for (const Exchange& exchange : mFleet->Exchanges()) {
      const Answer* answer = exchange.AnswerOrNull();
      CPPUNIT_ASSERT(answer != nullptr && answer->IsComplete());
    }
    CPPUNIT_ASSERT(mFleet->State(mVms[1]).IsDrained());
    CPPUNIT_ASSERT(mFleet->State(mVms[1]).mTargetOwner.mConnections.empty());
  }

  void LeavingTargetGetsNoNewAttempts()
  {
    FakeTarget& target = mFleet->TargetNamed("catalogue-0-0");
    Load(200);
    target.mBehaviour.mIsDraining = true;
    Load(200);
    const std::uint64_t before = target.Arrivals();
    Load(2000);
    // Each target owner sends one trial request after each suspension of five
    // seconds.
    CPPUNIT_ASSERT(target.Arrivals() - before <= 4);
    target.mBehaviour.mIsDraining = false;
    Load(6000);
    CPPUNIT_ASSERT(target.Arrivals() - before > 100);
  }

  /** A target is also suspended when coordinators go on sending attempts after
      its refusals. */
  void TargetOwnerSuspendsALeavingTarget()
  {
    FakeTarget& target = mFleet->TargetNamed("catalogue-0-0");
    target.mBehaviour.mIsDraining = true;
    const VmId owner = RankedCandidates(mFleet->State(mVms[0]), 0)[0].mVm;
    for (std::uint64_t sequence = 1; sequence <= 400; ++sequence) {
      BatchRequest batch;
      batch.mIncarnation = Incarnation(1);
      batch.mRequestId = RequestId(std::to_string(sequence));
      batch.mBody = std::make_shared<const std::string>();
      batch.mBudget = std::chrono::seconds(1);
      batch.mItems = { BatchItem{ AttemptSequence(sequence),
                                  IdFromName<TargetId>("catalogue-0-0"),
                                  ShardIndex(0) } };
      mFleet->Deliver(
        owner, PeerMessageReceived{ VmId(1), Endpoint{ "other", 1 }, batch });
      mFleet->RunFor(std::chrono::milliseconds(10));
    }
    CPPUNIT_ASSERT(target.Arrivals() > 0);
    CPPUNIT_ASSERT(target.Arrivals() <= 2);
  }

  void RemovedTargetIsDrainedAndForgotten()
  {
    FakeTarget& target = mFleet->TargetNamed("catalogue-0-0");
    Load(200);
    ServiceText service;
    service.mShards = 3;
    mFleet->Apply(DeploymentText({ service }));
    Load(1500);
    const FakeTarget& removed = mFleet->TargetNamed("catalogue-3-0");
    const std::uint64_t before = removed.Arrivals();
    Load(1000);
    CPPUNIT_ASSERT_EQUAL(before, removed.Arrivals());
    CPPUNIT_ASSERT_EQUAL(0U, removed.Connections());
    CPPUNIT_ASSERT(target.Arrivals() > 0);
    for (const VmId vm : mVms) {
      CPPUNIT_ASSERT(!mFleet->State(vm).mTargetOwner.mPools.contains(
        IdFromName<TargetId>("catalogue-3-0")));
    }
  }

  void IgnoresAWrongReportOfLeaving()
  {
    FakeTarget& target = mFleet->TargetNamed("catalogue-0-0");
    Load(100);
    target.mBehaviour.mHealth = TargetHealth::kLeaving;
    Load(100);
    const std::uint64_t before = target.Arrivals();
    Load(2000);
    CPPUNIT_ASSERT(target.Arrivals() - before <= 4);
    Load(30000);
    CPPUNIT_ASSERT(target.Arrivals() - before > 100);
  }

  void SendsCancellationsToTargets()
  {
    Load(100);
    for (const auto& [id, target] : mFleet->Targets()) {
      target->mBehaviour.mIsFrozen = true;
    }
    for (int round = 0; round < 4; ++round) {
      const std::size_t position = Ask(0, Operation::kSearch);
      mFleet->RunFor(std::chrono::milliseconds(10));
      mFleet->Deliver(
        mVms[0],
        CallerDisconnected{ mFleet->Exchanges()[position].mRequest.mToken });
    }
    mFleet->RunFor(std::chrono::milliseconds(100));
    std::uint64_t cancels = 0;
    for (const auto& [id, target] : mFleet->Targets()) {
      cancels += target->Cancels();
    }
    CPPUNIT_ASSERT(cancels > 0);
  }

  void ClosesAConnectionWithoutALateReply()
  {
    Load(100);
    FakeTarget& target = mFleet->TargetNamed("catalogue-0-0");
    const std::uint32_t open = target.Connections();
    CPPUNIT_ASSERT(open > 0);
    for (const auto& [id, each] : mFleet->Targets()) {
      each->mBehaviour.mIsFrozen = true;
    }
    for (int round = 0; round < 8; ++round) {
      Ask(0, Operation::kSearch);
    }
    mFleet->RunFor(std::chrono::milliseconds(2500));
    for (const VmId vm : mVms) {
      for (const auto& [id, connection] :
           mFleet->State(vm).mTargetOwner.mConnections) {
        CPPUNIT_ASSERT(connection.mUse == ConnectionUse::kIdle);
      }
    }
  }

  void ClosesIdleConnections()
  {
    Load(200);
    mFleet->RunFor(std::chrono::seconds(70));
    for (const auto& [id, target] : mFleet->Targets()) {
      CPPUNIT_ASSERT_EQUAL(0U, target->Connections());
    }
    for (const VmId vm : mVms) {
      CPPUNIT_ASSERT(mFleet->State(vm).mTargetOwner.mPools.empty());
    }
  }

  void PartitionedZoneServesItsTargetsAtOnce()
  {
    Load(500);
    SetZonePartitioned(true);
    for (int round = 0; round < 300; ++round) {
      Ask(0, Operation::kSearch);
      mFleet->RunFor(std::chrono::milliseconds(10));
    }
    mFleet->RunFor(std::chrono::seconds(1));
    const Exchange& exchange = mFleet->AskAndWait(mVms[0], Search());
    const Answer* answer = exchange.AnswerOrNull();
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT(!answer->mResults.empty());
    CPPUNIT_ASSERT(exchange.mAnswered - exchange.mAsked <
                   std::chrono::milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 },
                         answer->mResults.size() + answer->mMissing.size());
    SetZonePartitioned(false);
    mFleet->RunFor(std::chrono::seconds(10));
    const Answer* healed = mFleet->AskAndWait(mVms[0], Search()).AnswerOrNull();
    CPPUNIT_ASSERT(healed != nullptr && healed->IsComplete());
  }

private:
  static constexpr std::uint64_t kSeed = 5;

  void Start(std::uint64_t aSeed)
  {
    mFleet = std::make_unique<FakeFleet>(aSeed);
    mVms.clear();
    for (const char* name : { "vm-1", "vm-2" }) {
      for (const char* zone : { "zone-a", "zone-b", "zone-c" }) {
        mVms.push_back(mFleet->AddVm(std::string(name) + zone, zone));
      }
    }
    mFleet->Apply(DeploymentText({ ServiceText{} }));
    mFleet->RunFor(std::chrono::seconds(8));
  }

  static AskOptions Search()
  {
    AskOptions options;
    options.mService = "catalogue";
    return options;
  }

  std::size_t Ask(std::size_t aVm, Operation aOperation)
  {
    AskOptions options = Search();
    options.mOperation = aOperation;
    options.mKey = "key-" + std::to_string(mFleet->Exchanges().size());
    return mFleet->Ask(mVms[aVm], options);
  }

  /** Sends searches one millisecond apart, from each VM in turn. */
  void Load(int aSearches)
  {
    for (int search = 0; search < aSearches; ++search) {
      Ask(static_cast<std::size_t>(search) % mVms.size(), Operation::kSearch);
      mFleet->RunFor(std::chrono::milliseconds(1));
    }
  }

  void SetZonePartitioned(bool aIsPartitioned)
  {
    mFleet->SetPartitioned("zone-a", "zone-b", aIsPartitioned);
    mFleet->SetPartitioned("zone-a", "zone-c", aIsPartitioned);
    mFleet->SetPlatformPartitioned("zone-a", aIsPartitioned);
  }

  void CauseFault(int aKind, int aWhich)
  {
    const VmId vm = mVms[static_cast<std::size_t>(aWhich)];
    auto target = mFleet->Targets().begin();
    std::advance(target, aWhich);
    TargetBehaviour& behaviour = target->second->mBehaviour;
    switch (aKind) {
      case 0:
        mFleet->Kill(vm);
        break;
      case 1:
        mFleet->Restart(vm);
        break;
      case 2:
        mFleet->Pause(vm);
        break;
      case 3:
        mFleet->Resume(vm);
        break;
      case 4:
        behaviour.mReset = ResetPoint::kBeforeReply;
        break;
      case 5:
        behaviour.mReset = ResetPoint::kBeforeRequest;
        break;
      case 6:
        behaviour.mReset = ResetPoint::kNever;
        break;
      case 7:
        behaviour.mIsFrozen = true;
        break;
      case 8:
        target->second->Thaw();
        break;
      case 9:
        SetZonePartitioned(true);
        break;
      case 10:
        SetZonePartitioned(false);
        break;
      default:
        break;
    }
  }

  void Heal()
  {
    SetZonePartitioned(false);
    for (const VmId vm : mVms) {
      mFleet->Resume(vm);
    }
    for (const auto& [id, target] : mFleet->Targets()) {
      target->mBehaviour.mReset = ResetPoint::kNever;
      target->Thaw();
    }
  }

  /** Checks that no action ran twice, and that none ran which was reported as
      not run. */
  void CheckActions() const
  {
    std::map<std::string, int> runs;
    for (const ExecutionRecord& execution : mFleet->Executions()) {
      ++runs[execution.mRequestId.Value()];
    }
    for (const Exchange& exchange : mFleet->Exchanges()) {
      const int count = runs[exchange.mRequest.mRequestId.Value()];
      RC_ASSERT(count <= 1);
      const Error* error = exchange.ErrorOrNull();
      const bool saysNotRun =
        error != nullptr && error->mExecution == Execution::kNotRun;
      RC_ASSERT(!saysNotRun || count == 0);
    }
  }

  std::unique_ptr<FakeFleet> mFleet;
  std::vector<VmId> mVms;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetOwnerTests);
