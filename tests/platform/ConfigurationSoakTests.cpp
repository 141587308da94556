/*
 * Runs daemons under faults of the store, signals and restarts that overlap,
 * while the configuration changes, and checks which versions are in force.
 *
 * WASABISPREAD_SOAK_SEEDS ("FIRST:COUNT") and WASABISPREAD_SOAK_VMS choose
 * other runs than the short ones of the test suite.
 */
#include "ForwarderFleet.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

constexpr Duration kFaultTime = std::chrono::seconds(8);
/** For how long the store must have been available before a version has to be
    in force in time. */
constexpr Duration kStableTime = std::chrono::seconds(4);
/** How long after its confirmation a version has to be in force. */
constexpr Duration kInForceTime = std::chrono::seconds(3);

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

Duration
Milliseconds(double aCount)
{
  return std::chrono::microseconds(static_cast<std::int64_t>(aCount * 1000));
}

ForwarderRequest
RequestOfVersion(std::uint64_t aVersion)
{
  ForwarderRequest request;
  request.mPath = VersionPrefix(aVersion) + "x";
  return request;
}

/** One run with a seed. */
class SoakRun
{
public:
  SoakRun(std::uint64_t aSeed, std::size_t aVms)
    : mRandom(aSeed)
    , mFleet(aVms)
    , mVms(aVms)
  {
  }

  void Run()
  {
    const TimePoint end = Now() + kFaultTime;
    RunConcurrently(mVms + 2, [&](std::size_t aFiber) {
      if (aFiber == mVms) {
        InjectFaults(end);
      } else if (aFiber == mVms + 1) {
        ChangeConfigurations(end);
      } else {
        UseOneConnection(aFiber, end);
      }
    });
    EndFaults();
    try {
      ExpectInForceEverywhere(kStableTime);
      ExpectInForceEverywhere(kInForceTime);
    } catch (const std::runtime_error&) {
      PrintLastRecords();
      throw;
    }
  }

private:
  double Between(double aLow, double aHigh)
  {
    return aLow + mRandom.Fraction() * (aHigh - aLow);
  }

  std::size_t Pick(std::size_t aCount)
  {
    return std::min(aCount - 1,
                    static_cast<std::size_t>(mRandom.Fraction() *
                                             static_cast<double>(aCount)));
  }

  VmPortState PickPortState()
  {
    constexpr std::array kStates{
      VmPortState::kServes,       VmPortState::kServes,
      VmPortState::kNeverReplies, VmPortState::kLosesReplies,
      VmPortState::kLosesReplies, VmPortState::kClosesConnection,
      VmPortState::kRefuses,      VmPortState::kLimits
    };
    return kStates.at(Pick(kStates.size()));
  }

  void InjectFaults(TimePoint aEnd)
  {
    while (Now() < aEnd) {
      InjectFault();
      boost::this_fiber::sleep_for(Milliseconds(Between(50, 700)));
    }
  }

  void InjectFault()
  {
    constexpr std::array kWriteFaults{ WriteFault::kNone,
                                       WriteFault::kReplyLost,
                                       WriteFault::kLost,
                                       WriteFault::kLate };
    constexpr std::size_t kKinds = 9;
    const std::size_t vm = Pick(mVms);
    StandInStore& store = mFleet.Store();
    switch (Pick(kKinds)) {
      case 0:
      case 1:
        store.SetAllVmPortStates(PickPortState());
        break;
      case 2:
        store.SetVmPortState(vm, PickPortState());
        break;
      case 3:
        store.Put("unrelated", "x");
        store.Compact();
        store.AbortWatches();
        break;
      case 4:
        store.mWriteFault = kWriteFaults.at(Pick(kWriteFaults.size()));
        break;
      case 5:
        mFleet.Daemon(vm).Reload();
        break;
      case 6:
        mFleet.Daemon(vm).Freeze();
        boost::this_fiber::sleep_for(Milliseconds(Between(100, 1500)));
        mFleet.Daemon(vm).Thaw();
        break;
      case 7:
        mFleet.Daemon(vm).Kill();
        mFleet.StartDaemon(vm);
        break;
      default:
        mFleet.Daemon(vm).Terminate();
        break;
    }
    RestartEndedDaemons();
  }

  void RestartEndedDaemons()
  {
    for (std::size_t vm = 0; vm < mVms; ++vm) {
      if (mFleet.Daemon(vm).HasEnded()) {
        mFleet.Daemon(vm).WaitForExit();
        mFleet.StartDaemon(vm);
      }
    }
  }

  void ChangeConfigurations(TimePoint aEnd)
  {
    while (Now() < aEnd) {
      mNewest = mFleet.Configure();
      boost::this_fiber::sleep_for(Milliseconds(Between(100, 700)));
    }
  }

  /** Uses each connection until the daemon closes it. On one connection no
      older version may be in force than before. */
  void UseOneConnection(std::size_t aVm, TimePoint aEnd)
  {
    while (Now() < aEnd) {
      HttpConnection connection(TestLoop());
      std::uint64_t inForce = 0;
      bool isOpen =
        connection.Connect(mFleet.CallerEndpoint(aVm), kStableTime).has_value();
      while (isOpen && Now() < aEnd) {
        const std::uint64_t version = mNewest;
        isOpen = ExpectNoRegression(connection, version, inForce);
        boost::this_fiber::sleep_for(Milliseconds(20));
      }
      boost::this_fiber::sleep_for(Milliseconds(20));
    }
  }

  bool ExpectNoRegression(HttpConnection& aConnection,
                          std::uint64_t aVersion,
                          std::uint64_t& aInForce)
  {
    const ForwarderReply always = mFleet.SendRequestOn(aConnection, {});
    CPPUNIT_ASSERT_MESSAGE("404 for a route that every version has",
                           always.Status() != 404);
    if (!IsKept(always)) {
      return false;
    }
    const ForwarderReply newest =
      mFleet.SendRequestOn(aConnection, RequestOfVersion(aVersion));
    if (!IsKept(newest)) {
      return false;
    }
    if (newest.Status() == 200) {
      CPPUNIT_ASSERT_MESSAGE("an older version is in force again",
                             aVersion >= aInForce);
      aInForce = aVersion;
    }
    if (aInForce == 0) {
      return true;
    }
    const ForwarderReply older = mFleet.SendRequestOn(
      aConnection, RequestOfVersion(mFleet.VersionBefore(aInForce)));
    CPPUNIT_ASSERT_MESSAGE("a replaced version is in force again",
                           older.Status() != 200);
    return IsKept(older);
  }

  static bool IsKept(const ForwarderReply& aReply)
  {
    return aReply.mResponse && aReply.mResponse->mKeepAlive;
  }

  void EndFaults()
  {
    for (std::size_t vm = 0; vm < mVms; ++vm) {
      ChildProcess& daemon = mFleet.Daemon(vm);
      daemon.Thaw();
      // A daemon that was told to stop still takes its time; the next one
      // starts after it.
      if (!mFleet.IsReady(vm)) {
        daemon.Kill();
        mFleet.StartDaemon(vm);
      }
    }
    mFleet.Store().mWriteFault = WriteFault::kNone;
    mFleet.Store().SetAllVmPortStates(VmPortState::kServes);
  }

  void ExpectInForceEverywhere(Duration aTimeout)
  {
    const TimePoint end = Now() + aTimeout;
    const std::uint64_t version = mFleet.Configure();
    for (std::size_t vm = 0; vm < mVms; ++vm) {
      AwaitCondition(
        [&] {
          return mFleet.SendRequest(RequestOfVersion(version), vm).Status() ==
                 200;
        },
        "version " + std::to_string(version) + " is in force on vm-" +
          std::to_string(vm),
        std::max(Duration::zero(), end - Now()));
    }
    boost::this_fiber::sleep_until(end);
  }

  void PrintLastRecords() const
  {
    constexpr std::size_t kRecords = 40;
    for (std::size_t vm = 0; vm < mVms; ++vm) {
      const auto records = mFleet.LogRecords(vm);
      const std::size_t first =
        records.size() - std::min(kRecords, records.size());
      for (std::size_t index = first; index < records.size(); ++index) {
        std::cout << records[index].dump() << "\n";
      }
    }
  }

  Random mRandom;
  ForwarderFleet mFleet;
  std::size_t mVms;
  std::uint64_t mNewest = 0;
};

std::size_t
NumberFrom(const char* aText, std::size_t aDefault)
{
  return aText == nullptr ? aDefault : std::stoul(aText);
}

} // namespace

class ConfigurationSoakTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationSoakTests);
  CPPUNIT_TEST(KeepsTheNewestVersionInForceDespiteOverlappingFaults);
  CPPUNIT_TEST_SUITE_END();

public:
  void KeepsTheNewestVersionInForceDespiteOverlappingFaults()
  {
    // Fleets of three watch the store each, those of five share one watch.
    constexpr std::size_t kVmsWatching = 3;
    constexpr std::size_t kVmsSharing = 5;
    const char* seeds = std::getenv("WASABISPREAD_SOAK_SEEDS");
    const std::string range = seeds == nullptr ? "1:3" : seeds;
    const std::size_t first = std::stoul(range);
    const std::size_t count = std::stoul(range.substr(range.find(':') + 1));
    for (std::size_t seed = first; seed < first + count; ++seed) {
      const std::size_t vms =
        NumberFrom(std::getenv("WASABISPREAD_SOAK_VMS"),
                   seed % 2 == 0 ? kVmsWatching : kVmsSharing);
      std::cout << "soak seed " << seed << ", " << vms << " VMs" << std::endl;
      SoakRun(seed, vms).Run();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationSoakTests);
