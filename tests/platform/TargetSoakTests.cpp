/*
 * Runs daemons under load while targets leave, ask for pauses, crash and start
 * again, and while signals, restarts, faults of the store and changes of the
 * configuration overlap.
 *
 * WASABISPREAD_SOAK_SEEDS ("FIRST:COUNT") and WASABISPREAD_SOAK_VMS choose
 * other runs than the short one of the test suite.
 */
#include "TargetLoad.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

constexpr Duration kFaultTime = std::chrono::seconds(12);
constexpr Duration kPause = std::chrono::seconds(2);

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

/** One run with a seed. */
class TargetSoakRun
{
public:
  TargetSoakRun(std::uint64_t aSeed, std::size_t aVms)
    : mRandom(aSeed)
    , mFleet(aVms)
    , mVms(aVms)
    , mLoad(mFleet, aVms)
  {
  }

  void Run()
  {
    mLoad.Run(kFaultTime, [&] {
      const TimePoint end = Now() + kFaultTime - std::chrono::seconds(1);
      while (Now() < end) {
        InjectFault();
        boost::this_fiber::sleep_for(
          std::chrono::milliseconds(100 + Pick(600)));
      }
    });
    CheckTargets();
    CheckOrders();
    EndFaults();
    for (std::size_t vm = 0; vm < mVms; ++vm) {
      AwaitCondition([&] { return mFleet.SendRequest({}, vm).Status() == 200; },
                     "a VM serves after the faults");
    }
  }

private:
  struct LeavingSpan
  {
    const StandInTarget* mTarget = nullptr;
    TimePoint mSince{};
  };

  struct PauseSpan
  {
    const StandInTarget* mTarget = nullptr;
    TimePoint mSince{};
    TimePoint mUntil{};
  };

  std::size_t Pick(std::size_t aCount)
  {
    return std::min(aCount - 1,
                    static_cast<std::size_t>(mRandom.Fraction() *
                                             static_cast<double>(aCount)));
  }

  std::string PickTarget()
  {
    constexpr std::array kServices{ "one",     "once",    "shard-0",
                                    "shard-1", "shard-2", "shard-3" };
    return kServices.at(Pick(kServices.size())) +
           std::string(Pick(2) == 0 ? "-a" : "-b");
  }

  void InjectFault()
  {
    constexpr std::size_t kKinds = 11;
    constexpr std::array kStates{ VmPortState::kServes,
                                  VmPortState::kServes,
                                  VmPortState::kNeverReplies,
                                  VmPortState::kLosesReplies,
                                  VmPortState::kRefuses };
    const std::size_t vm = Pick(mVms);
    StandInStore& store = mFleet.Store();
    switch (Pick(kKinds)) {
      case 0:
      case 1:
        Leave(PickTarget());
        break;
      case 2:
      case 3:
        Pause(PickTarget());
        break;
      case 4:
        RestartTarget(PickTarget());
        break;
      case 5:
        store.SetVmPortState(vm, kStates.at(Pick(kStates.size())));
        break;
      case 6:
        store.Put("unrelated", "x");
        store.Compact();
        store.AbortWatches();
        break;
      case 7:
        mFleet.Configure();
        break;
      case 8:
        mFleet.Daemon(vm).Freeze();
        boost::this_fiber::sleep_for(
          std::chrono::milliseconds(100 + Pick(1000)));
        mFleet.Daemon(vm).Thaw();
        break;
      case 9:
        Restart(vm, false);
        break;
      default:
        Restart(vm, true);
        break;
    }
    for (std::size_t ended = 0; ended < mVms; ++ended) {
      if (mFleet.Daemon(ended).HasEnded()) {
        mFleet.Daemon(ended).WaitForExit();
        mRestarts.emplace(ended, Now());
        mFleet.StartDaemon(ended);
      }
    }
  }

  void Restart(std::size_t aVm, bool aIsStop)
  {
    if (aIsStop) {
      // Requests continue to arrive until the process is gone.
      mFleet.Daemon(aVm).Terminate();
      mFleet.Daemon(aVm).Reload();
      return;
    }
    mFleet.Daemon(aVm).Kill();
    mRestarts.emplace(aVm, Now());
    mFleet.StartDaemon(aVm);
  }

  /** The target states that it leaves, and nothing else tells of it. */
  void Leave(const std::string& aInstance)
  {
    StandInTarget& target = mFleet.Target(aInstance);
    if (!target.mIsLeaving) {
      target.mIsLeaving = true;
      mLeaving.push_back({ &target, Now() });
    }
    mFleet.Register(target);
  }

  void Pause(const std::string& aInstance)
  {
    StandInTarget& target = mFleet.Target(aInstance);
    if (target.mFault != TargetFault::kNone) {
      return;
    }
    target.mFault = TargetFault::kSheds;
    target.mPause = "2";
    const TimePoint since = Now();
    boost::this_fiber::sleep_for(std::chrono::milliseconds(200 + Pick(800)));
    target.mFault = TargetFault::kNone;
    mPauses.push_back({ &target, since, Now() });
  }

  /** Starts a target anew under its id, at another address. */
  void RestartTarget(const std::string& aInstance)
  {
    mFleet.Target(aInstance).Crash();
    mFleet.AddTarget(mFleet.Target(aInstance).Service(), aInstance);
  }

  void CheckTargets() const
  {
    for (const LeavingSpan& leaving : mLeaving) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        leaving.mTarget->Instance() + " leaves",
        std::size_t{ 0 },
        CountAfterDrain(*leaving.mTarget, mLoad, leaving.mSince, mRestarts));
    }
    for (const PauseSpan& pause : mPauses) {
      CPPUNIT_ASSERT_MESSAGE(pause.mTarget->Instance() + " pauses",
                             MostInAPause(*pause.mTarget,
                                          mLoad,
                                          kPause,
                                          pause.mSince,
                                          pause.mUntil,
                                          mRestarts) <= kMaxInPause);
    }
  }

  /** No order ran twice, and none ran that was called not run. */
  void CheckOrders() const
  {
    for (const auto& [id, request] : mLoad.Requests()) {
      if (request.mPath != "/once/x") {
        continue;
      }
      const std::size_t runs = mFleet.CountRuns(id);
      CPPUNIT_ASSERT_MESSAGE(id, runs <= 1);
      CPPUNIT_ASSERT_MESSAGE(id, request.mStatus != 503 || runs == 0);
    }
  }

  void EndFaults()
  {
    mFleet.Store().SetAllVmPortStates(VmPortState::kServes);
    for (std::size_t vm = 0; vm < mVms; ++vm) {
      mFleet.Daemon(vm).Thaw();
      if (!mFleet.IsReady(vm)) {
        mFleet.Daemon(vm).Kill();
        mFleet.StartDaemon(vm);
      }
    }
    mFleet.AddTarget("one", "one-c");
  }

  Random mRandom;
  ForwarderFleet mFleet;
  std::size_t mVms;
  TargetLoad mLoad;
  Restarts mRestarts;
  std::vector<LeavingSpan> mLeaving;
  std::vector<PauseSpan> mPauses;
};

} // namespace

class TargetSoakTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetSoakTests);
  CPPUNIT_TEST(KeepsToWhatTargetsStateDespiteOverlappingFaults);
  CPPUNIT_TEST_SUITE_END();

public:
  void KeepsToWhatTargetsStateDespiteOverlappingFaults()
  {
    const char* seeds = std::getenv("WASABISPREAD_SOAK_SEEDS");
    const char* vms = std::getenv("WASABISPREAD_SOAK_VMS");
    const std::string range = seeds == nullptr ? "1:2" : seeds;
    const std::size_t first = std::stoul(range);
    const std::size_t count = std::stoul(range.substr(range.find(':') + 1));
    for (std::size_t seed = first; seed < first + count; ++seed) {
      std::cout << "target soak seed " << seed << std::endl;
      TargetSoakRun(seed, vms == nullptr ? 3 : std::stoul(vms)).Run();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetSoakTests);
