/*
 * Tests of actions with idempotency keys under random faults: the action of
 * each key runs at most once, and an action that was reported as not run did
 * not run.
 */
#include <tests/support/DeploymentText.h>
#include <tests/support/FakeFleet.h>
#include <tests/support/SeededCheck.h>

#include <iterator>
#include <map>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

constexpr unsigned kVms = 5;
constexpr Duration kCallerTimeout = std::chrono::milliseconds(200);

/** Callers that repeat their actions at other VMs while VMs, targets and the
    store fail. */
class RepeatingCallers
{
public:
  explicit RepeatingCallers(std::uint64_t aSeed)
    : mFleet(aSeed)
    , mChoices(aSeed)
  {
    const char* zones[] = { "zone-a", "zone-b", "zone-c" };
    for (unsigned vm = 0; vm < kVms; ++vm) {
      mVms.push_back(
        mFleet.AddVm("vm-" + std::to_string(vm), zones[vm % std::size(zones)]));
    }
    mFleet.Apply(DeploymentText({ ServiceText{} }));
    mFleet.RunFor(std::chrono::seconds(5));
    mFleet.mNetwork.mDuplication = 0.1;
  }

  /** Each step injects or repairs a fault, or sends a new or a repeated
      action. */
  void Run(const std::vector<unsigned>& aSteps)
  {
    for (const unsigned step : aSteps) {
      if (step < kFaults) {
        InjectFault(step);
      } else {
        Ask();
      }
      mFleet.RunFor(std::chrono::microseconds(mChoices.Below(20'000)));
    }
    RepairAll();
    mFleet.RunFor(std::chrono::seconds(20));
  }

  void Check() const
  {
    std::map<std::string, unsigned> runsOfRequest;
    for (const ExecutionRecord& execution : mFleet.Executions()) {
      ++runsOfRequest[execution.mRequestId.Value()];
    }
    std::map<std::string, unsigned> runsOfKey;
    for (const Exchange& exchange : mFleet.Exchanges()) {
      const std::string& id = exchange.mRequest.mRequestId.Value();
      const unsigned runs = runsOfRequest[id];
      runsOfKey[exchange.mRequest.mIdempotencyKey] += runs;
      const Error* error = exchange.ErrorOrNull();
      if (error != nullptr && error->mExecution == Execution::kNotRun) {
        RC_ASSERT(runs == 0U);
      }
    }
    for (const auto& [key, runs] : runsOfKey) {
      RC_ASSERT(runs <= 1U);
    }
  }

  /** The number of faults; a step with a higher number sends a request. */
  static constexpr unsigned kFaults = 12;
  static constexpr unsigned kSteps = 30;

private:
  VmId AnyVm() { return mVms[mChoices.Below(mVms.size())]; }

  FakeTarget& AnyTarget()
  {
    auto target = mFleet.Targets().begin();
    std::advance(target, mChoices.Below(mFleet.Targets().size()));
    return *target->second;
  }

  void Ask()
  {
    constexpr std::uint64_t kLastKeys = 3;
    const bool isRepeat = mKeys != 0 && mChoices.Below(2) == 0;
    const std::uint64_t key =
      isRepeat ? mKeys - mChoices.Below(std::min(mKeys, kLastKeys)) : ++mKeys;
    AskOptions options;
    options.mService = "catalogue";
    options.mOperation = Operation::kAction;
    options.mKey = "order-" + std::to_string(key);
    options.mIdempotencyKey = options.mKey;
    options.mTimeout = kCallerTimeout;
    mFleet.Ask(AnyVm(), options);
  }

  void InjectFault(unsigned aFault)
  {
    static const ResetPoint kPoints[] = { ResetPoint::kNever,
                                          ResetPoint::kBeforeRequest,
                                          ResetPoint::kBeforeExecution,
                                          ResetPoint::kBeforeReply };
    TargetBehaviour& target = AnyTarget().mBehaviour;
    switch (aFault) {
      case 0:
        mFleet.Kill(AnyVm());
        break;
      case 1:
      case 2:
        Restart();
        break;
      case 3:
        mFleet.Pause(AnyVm());
        break;
      case 4:
        ResumeAll();
        break;
      case 5:
        target.mReset = kPoints[mChoices.Below(std::size(kPoints))];
        break;
      case 6:
        target.mIsAlive = !target.mIsAlive;
        break;
      case 7:
        target.mIsFrozen = true;
        break;
      case 8:
        ResumeTargets();
        break;
      case 9:
        mFleet.mPlatform.mIsUnavailable = !mFleet.mPlatform.mIsUnavailable;
        break;
      case 10:
        mFleet.mPlatform.mLoseReplies = mChoices.Fraction();
        mFleet.mPlatform.mLoseWrites = mChoices.Fraction() / 2;
        break;
      default:
        mFleet.mPlatform.mDelay =
          std::chrono::milliseconds(mChoices.Below(150));
    }
  }

  void Restart()
  {
    const VmId vm = AnyVm();
    mFleet.Kill(vm);
    mFleet.Restart(vm);
  }

  void ResumeAll()
  {
    for (const VmId vm : mVms) {
      mFleet.Resume(vm);
    }
  }

  void ResumeTargets()
  {
    for (const auto& [id, target] : mFleet.Targets()) {
      target->Thaw();
    }
  }

  void RepairAll()
  {
    mFleet.mPlatform.mIsUnavailable = false;
    mFleet.mPlatform.mLoseReplies = 0;
    mFleet.mPlatform.mLoseWrites = 0;
    ResumeAll();
    ResumeTargets();
    for (const auto& [id, target] : mFleet.Targets()) {
      target->mBehaviour = TargetBehaviour{};
    }
  }

  FakeFleet mFleet;
  Random mChoices;
  std::vector<VmId> mVms;
  std::uint64_t mKeys = 0;
};

} // namespace

/** Tests of single claims, and of random histories. */
class AtMostOnceTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AtMostOnceTests);
  CPPUNIT_TEST(RunsAnActionUnderItsClaim);
  CPPUNIT_TEST(RefusesARepeatElsewhere);
  CPPUNIT_TEST(ReadsBackALostReply);
  CPPUNIT_TEST(RefusesDuringAnOutage);
  CPPUNIT_TEST(RefusesWhenTheStoreIsSlow);
  CPPUNIT_TEST(RunsARepeatAfterNotRun);
  CPPUNIT_TEST(ReportsTheFirstRequestsStatusToARepeat);
  CPPUNIT_TEST(DoesNotRunAfterAPause);
  CPPUNIT_TEST(BoundsTheWritesToTheStore);
  CPPUNIT_TEST(FinishesClaimsBeforeItStops);
  CPPUNIT_TEST(RunsEachKeyAtMostOnceInRandomHistories);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mFleet = std::make_unique<FakeFleet>(kSeed);
    mVm = mFleet->AddVm("vm-a", "zone-a");
    mOther = mFleet->AddVm("vm-b", "zone-b");
    mFleet->AddVm("vm-c", "zone-c");
    mFleet->Apply(DeploymentText({ ServiceText{} }));
    mFleet->RunFor(std::chrono::seconds(5));
  }

  void RunsAnActionUnderItsClaim()
  {
    CPPUNIT_ASSERT(mFleet->AskAndWait(mVm, Action()).AnswerOrNull() != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mFleet->Executions().size());
    mFleet->RunFor(std::chrono::seconds(1));
    // One write for the claim and one for its outcome.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, mFleet->mPlatform.mSwaps);
  }

  void RefusesARepeatElsewhere()
  {
    mFleet->AskAndWait(mVm, Action());
    mFleet->RunFor(std::chrono::milliseconds(100));
    const Error* error = mFleet->AskAndWait(mOther, Action()).ErrorOrNull();
    ExpectDuplicate(error, "done");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mFleet->Executions().size());
  }

  void ReadsBackALostReply()
  {
    mFleet->mPlatform.mLoseReplies = 1;
    CPPUNIT_ASSERT(mFleet->AskAndWait(mVm, Action()).AnswerOrNull() != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mFleet->Executions().size());
  }

  void RefusesDuringAnOutage()
  {
    mFleet->mPlatform.mIsUnavailable = true;
    const Exchange& exchange = mFleet->AskAndWait(mVm, Action());
    ExpectNotRun(exchange, ErrorKind::kPlatformUnavailable);
    CPPUNIT_ASSERT(exchange.mAnswered - exchange.mAsked <=
                   exchange.mRequest.mTimeout);
  }

  void RefusesWhenTheStoreIsSlow()
  {
    mFleet->mPlatform.mDelay = std::chrono::milliseconds(400);
    ExpectNotRun(mFleet->AskAndWait(mVm, Action()),
                 ErrorKind::kPlatformUnavailable);
    mFleet->RunFor(std::chrono::seconds(3));
    CPPUNIT_ASSERT(mFleet->Executions().empty());
    // The claim that was made too late was released, so a repeated request
    // runs.
    mFleet->mPlatform.mDelay = std::chrono::milliseconds(3);
    CPPUNIT_ASSERT(mFleet->AskAndWait(mOther, Action()).AnswerOrNull() !=
                   nullptr);
  }

  void RunsARepeatAfterNotRun()
  {
    SetAll([](TargetBehaviour& aTarget) { aTarget.mIsDraining = true; });
    const Exchange& refused = mFleet->AskAndWait(mVm, Action());
    CPPUNIT_ASSERT(refused.ErrorOrNull() != nullptr);
    CPPUNIT_ASSERT(refused.ErrorOrNull()->mExecution == Execution::kNotRun);
    SetAll([](TargetBehaviour& aTarget) { aTarget.mIsDraining = false; });
    mFleet->RunFor(std::chrono::seconds(10));
    CPPUNIT_ASSERT(mFleet->AskAndWait(mOther, Action()).AnswerOrNull() !=
                   nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mFleet->Executions().size());
  }

  void ReportsTheFirstRequestsStatusToARepeat()
  {
    SetAll([](TargetBehaviour& aTarget) { aTarget.mIsFrozen = true; });
    mFleet->Ask(mVm, Action());
    mFleet->RunFor(std::chrono::milliseconds(50));
    ExpectDuplicate(mFleet->AskAndWait(mOther, Action()).ErrorOrNull(),
                    "pending");
    mFleet->RunFor(std::chrono::seconds(2));
    ExpectDuplicate(mFleet->AskAndWait(mOther, Action()).ErrorOrNull(),
                    "unknown");
  }

  void DoesNotRunAfterAPause()
  {
    const std::size_t position = mFleet->Ask(mVm, Action());
    mFleet->Pause(mVm);
    mFleet->RunFor(std::chrono::seconds(2));
    mFleet->Resume(mVm);
    mFleet->RunFor(std::chrono::seconds(2));
    ExpectNotRun(mFleet->Exchanges().at(position),
                 ErrorKind::kPlatformUnavailable);
    CPPUNIT_ASSERT(mFleet->Executions().empty());
  }

  void BoundsTheWritesToTheStore()
  {
    constexpr unsigned kAsked = 2000;
    std::size_t refused = 0;
    std::vector<std::size_t> asked;
    for (unsigned index = 0; index < kAsked; ++index) {
      AskOptions options = Action();
      options.mIdempotencyKey = "key-" + std::to_string(index);
      asked.push_back(mFleet->Ask(mVm, options));
      mFleet->RunFor(std::chrono::milliseconds(1));
    }
    mFleet->RunFor(std::chrono::seconds(2));
    for (const std::size_t position : asked) {
      const Error* error = mFleet->Exchanges().at(position).ErrorOrNull();
      refused += error != nullptr && error->mKind == ErrorKind::kOverloaded;
    }
    CPPUNIT_ASSERT(refused > 0);
    // This VM's third of the rate over 2 s, and as much again as a burst.
    constexpr double kSeconds = 2 + 2;
    CPPUNIT_ASSERT(static_cast<double>(mFleet->mPlatform.mSwaps) <=
                   kClaimWritesPerSecond / 3 * kSeconds + 4);
  }

  void FinishesClaimsBeforeItStops()
  {
    mFleet->Ask(mVm, Action());
    mFleet->Stop(mVm);
    CPPUNIT_ASSERT(!mFleet->State(mVm).IsDrained());
    mFleet->RunFor(std::chrono::seconds(2));
    CPPUNIT_ASSERT(mFleet->State(mVm).IsDrained());
    CPPUNIT_ASSERT(mFleet->Exchanges().back().AnswerOrNull() != nullptr);
  }

  void RunsEachKeyAtMostOnceInRandomHistories()
  {
    const bool holds =
      SeededCheck("each key runs at most once", kSeed, 150, [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto steps = *rc::gen::container<std::vector<unsigned>>(
          kStepsPerHistory, rc::gen::inRange(0U, RepeatingCallers::kSteps));
        RepeatingCallers callers(seed);
        callers.Run(steps);
        callers.Check();
      });
    CPPUNIT_ASSERT(holds);
  }

private:
  static constexpr std::uint64_t kSeed = 20261204;
  static constexpr std::size_t kStepsPerHistory = 120;

  static AskOptions Action()
  {
    AskOptions options;
    options.mService = "catalogue";
    options.mOperation = Operation::kAction;
    options.mKey = "order-1";
    options.mIdempotencyKey = "key-1";
    options.mTimeout = std::chrono::milliseconds(500);
    return options;
  }

  template<class Change>
  void SetAll(Change aChange)
  {
    for (const auto& [id, target] : mFleet->Targets()) {
      aChange(target->mBehaviour);
    }
  }

  static void ExpectNotRun(const Exchange& aExchange, ErrorKind aKind)
  {
    const Error* error = aExchange.ErrorOrNull();
    CPPUNIT_ASSERT(error != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string(ToText(aKind)),
                         std::string(ToText(error->mKind)));
    CPPUNIT_ASSERT(error->mExecution == Execution::kNotRun);
  }

  static void ExpectDuplicate(const Error* aError, const std::string& aOutcome)
  {
    CPPUNIT_ASSERT(aError != nullptr);
    CPPUNIT_ASSERT(aError->mKind == ErrorKind::kDuplicateRequest);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, aError->mDetails.size());
    CPPUNIT_ASSERT_EQUAL(aOutcome, aError->mDetails[1].mValue);
  }

  std::unique_ptr<FakeFleet> mFleet;
  VmId mVm;
  VmId mOther;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTests);
