/*
 * Tests real daemons under load against targets that state that they leave, or
 * that ask for a pause, while VMs restart, freeze and lose the store.
 */
#include "TargetLoad.h"

#include <algorithm>
#include <iostream>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

constexpr Duration kPause = std::chrono::seconds(3);
TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

class TargetPauseProcessTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetPauseProcessTests);
  CPPUNIT_TEST(SendsNothingToATargetThatLeaves);
  CPPUNIT_TEST(SendsNothingDuringThePauseOfATarget);
  CPPUNIT_TEST(RefusesAtOnceWhileAllTargetsPause);
  CPPUNIT_TEST(KeepsTargetsAsideWhileVmsFail);
  CPPUNIT_TEST_SUITE_END();

public:
  void tearDown() override { mFleet.reset(); }

  void Start(std::size_t aVms)
  {
    mFleet = std::make_unique<ForwarderFleet>(aVms);
    // VMs that start together have registered after this time.
    boost::this_fiber::sleep_for(std::chrono::seconds(5));
  }

  StandInTarget& Target(const std::string& aInstance)
  {
    return mFleet->Target(aInstance);
  }

  static void Wait(Duration aTime) { boost::this_fiber::sleep_for(aTime); }

  /** Guards against requests to a target that says it leaves while its entry
      does not. */
  void SendsNothingToATargetThatLeaves()
  {
    Start(1);
    TargetLoad load(*mFleet, 1);
    TimePoint since;
    load.Run(std::chrono::seconds(6), [&] {
      Wait(std::chrono::seconds(1));
      since = Now();
      for (const char* instance : kOneOfEach) {
        Target(instance).mIsLeaving = true;
      }
    });
    std::size_t late = 0;
    for (const char* instance : kOneOfEach) {
      const std::size_t count = CountAfterDrain(Target(instance), load, since);
      std::cout << instance << " leaves: " << count
                << " requests later than the drain time" << std::endl;
      late += count;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, late);
    for (const char* path : kPaths) {
      CPPUNIT_ASSERT_MESSAGE(path, load.ServedShare(path, since) > 0.95);
    }
  }

  /** Guards against requests to a target in its pause, and against the loss of
      what the other target takes. */
  void SendsNothingDuringThePauseOfATarget()
  {
    Start(1);
    TargetLoad load(*mFleet, 1);
    TimePoint since;
    load.Run(std::chrono::seconds(8), [&] {
      Wait(std::chrono::seconds(1));
      since = Now();
      for (const char* instance : kOneOfEach) {
        Shed(instance, "3");
      }
    });
    CPPUNIT_ASSERT(PrintMostInAPause(load, since, kOneOfEach) <= kMaxInPause);
    for (const char* path : kPaths) {
      std::cout << path << " served: " << load.ServedShare(path, since)
                << std::endl;
      CPPUNIT_ASSERT_MESSAGE(path, load.ServedShare(path, since) > 0.8);
    }
  }

  /** Prints for each target how many requests arrived in one of its pauses, and
      returns the most of them. */
  template<class Instances>
  std::size_t PrintMostInAPause(const TargetLoad& aLoad,
                                TimePoint aSince,
                                const Instances& aInstances)
  {
    std::size_t all = 0;
    for (const char* instance : aInstances) {
      const std::size_t most =
        MostInAPause(Target(instance), aLoad, kPause, aSince);
      std::cout << instance << " pauses: " << most << " requests in a pause"
                << std::endl;
      all = std::max(all, most);
    }
    return all;
  }

  void Shed(const std::string& aInstance, const std::string& aPause)
  {
    Target(aInstance).mFault = TargetFault::kSheds;
    Target(aInstance).mPause = aPause;
  }

  /** Guards against requests that wait until their deadline although no target
      takes them, and against refusals of requests that run. */
  void RefusesAtOnceWhileAllTargetsPause()
  {
    constexpr Duration kAtOnce = std::chrono::milliseconds(100);
    Start(1);
    TargetLoad load(*mFleet, 1);
    TimePoint since;
    load.Run(std::chrono::seconds(6), [&] {
      Wait(std::chrono::seconds(1));
      since = Now();
      for (const char* instance : { "once-a", "once-b", "one-a", "one-b" }) {
        Target(instance).mNamesRefused = false;
        Shed(instance, "3");
      }
      Shed("shard-1-a", "3");
      Shed("shard-1-b", "3");
    });
    constexpr std::array kAll{ "once-a", "once-b",    "one-a",
                               "one-b",  "shard-1-a", "shard-1-b" };
    CPPUNIT_ASSERT(PrintMostInAPause(load, since, kAll) <= kMaxInPause);
    std::size_t refused = 0;
    for (const auto& [id, request] : load.Requests()) {
      if (request.mSent < since || request.mPath == "/search/q") {
        continue;
      }
      ++refused;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 503U, request.mStatus);
      CPPUNIT_ASSERT_MESSAGE(id, request.mTook < kAtOnce);
      const double retryAfter = std::stod(request.mRetryAfter);
      CPPUNIT_ASSERT_MESSAGE(id, retryAfter > 0 && retryAfter <= 3);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(id, std::size_t{ 0 }, mFleet->CountRuns(id));
    }
    CPPUNIT_ASSERT(refused > 100);
    // Searches lack one shard, which they can do without.
    CPPUNIT_ASSERT(load.ServedShare("/search/q", since) > 0.95);
  }

  /** Guards against VMs that forget what targets stated while they are cut off
      from the store, frozen or served by others. */
  void KeepsTargetsAsideWhileVmsFail()
  {
    constexpr std::size_t kVms = 3;
    Start(kVms);
    TargetLoad load(*mFleet, kVms);
    TimePoint since;
    Restarts restarts;
    load.Run(std::chrono::seconds(14), [&] {
      Wait(std::chrono::seconds(1));
      since = Now();
      for (const char* instance : { "one-a", "once-a", "shard-1-a" }) {
        Target(instance).mIsLeaving = true;
      }
      for (const char* instance : { "shard-2-a", "shard-3-a" }) {
        Shed(instance, "3");
      }
      Wait(std::chrono::seconds(1));
      mFleet->Store().SetVmPortState(0, VmPortState::kRefuses);
      mFleet->Daemon(1).Kill();
      restarts.emplace(1, Now());
      mFleet->StartDaemon(1);
      mFleet->Register(Target("one-a"));
      mFleet->Daemon(2).Freeze();
      Wait(std::chrono::seconds(1));
      mFleet->Daemon(2).Thaw();
      mFleet->Configure();
      mFleet->Store().Put("unrelated", "x");
      mFleet->Store().Compact();
      mFleet->Store().AbortWatches();
      Wait(std::chrono::seconds(3));
      mFleet->Store().SetVmPortState(0, VmPortState::kServes);
      mFleet->Register(Target("once-a"));
    });
    for (const char* instance : { "one-a", "once-a", "shard-1-a" }) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        instance,
        std::size_t{ 0 },
        CountAfterDrain(Target(instance), load, since, restarts));
    }
    for (const char* instance : { "shard-2-a", "shard-3-a" }) {
      CPPUNIT_ASSERT_MESSAGE(
        instance,
        MostInAPause(
          Target(instance), load, kPause, since, TimePoint::max(), restarts) <=
          kMaxInPause);
    }
    for (const char* event : { "target-put-aside", "target-taken-back" }) {
      CPPUNIT_ASSERT_MESSAGE(event, mFleet->HasLogged(0, event));
    }
  }

private:
  static constexpr std::array kOneOfEach{ "one-a", "once-a", "shard-1-a" };
  static constexpr std::array kPaths{ "/one/x", "/once/x", "/search/q" };

  std::unique_ptr<ForwarderFleet> mFleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetPauseProcessTests);
