/*
 * Runs daemons under the load of clients that keep their connections, while
 * stops, further signals, half-written settings, configurations, changes of
 * the targets, hold-ups, outages of the store and faults of the network
 * overlap. No request may be lost.
 *
 * WASABISPREAD_SOAK_SEEDS ("FIRST:COUNT"), WASABISPREAD_SOAK_VMS,
 * WASABISPREAD_SOAK_CLIENTS and WASABISPREAD_SOAK_SECONDS choose other runs
 * than the short one of the test suite.
 */
#include "ConnectionTrace.h"
#include "LossLoad.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <set>
#include <utility>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;
using std::chrono::milliseconds;

namespace {

/** The grace that the fleet sets. */
constexpr Duration kGrace = std::chrono::seconds(4);
constexpr std::size_t kShards = 6;
/** The exit codes of processes that the test's signals end. */
const std::set<int> kSignalEnds{ 128 + SIGHUP, 128 + SIGINT, 128 + SIGTERM };

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

std::string
Choice(const char* aVariable, const char* aDefault)
{
  const char* value = std::getenv(aVariable);
  return value == nullptr ? aDefault : value;
}

/** One run with a seed. */
class LossSoakRun
{
public:
  LossSoakRun(std::uint64_t aSeed, std::size_t aVms)
    : mSeed(aSeed)
    , mRandom(StableHash("disruptions", aSeed))
    , mFleet(aVms, kShards, FleetLinks::kRelayed)
    , mVms(aVms)
    , mLog(aVms)
    , mSettingsWritten(aVms)
    , mStopInterval(Pick(3) == 0 ? 3000 : 900)
  {
    mLog.mVersions.push_back(
      { Now(), std::chrono::seconds(2), std::chrono::seconds(15) });
  }

  LossCounts Run(std::size_t aClients, Duration aTime)
  {
    mEnd = Now() + aTime;
    std::vector<LossRequest> requests;
    std::vector<std::unique_ptr<LossClient>> clients;
    for (std::size_t client = 0; client < aClients; ++client) {
      clients.push_back(
        std::make_unique<LossClient>(mFleet, mLog, requests, client, mSeed));
    }
    const std::vector<std::function<void()>> disruptions{
      [this] { Supervise(); },
      [this] { MeasureLag(); },
      [this] { Repeat(mStopInterval, [this] { StopSome(); }); },
      [this] { RepeatOrNot(700, [this] { RewriteSettings(Pick(mVms)); }); },
      [this] { RepeatOrNot(1200, [this] { Reconfigure(); }); },
      [this] { RepeatOrNot(600, [this] { DisturbTarget(); }); },
      [this] { RepeatOrNot(600, [this] { DisturbTarget(); }); },
      [this] { RepeatOrNot(1000, [this] { HoldUp(); }); },
      [this] { RepeatOrNot(1000, [this] { HoldUp(); }); },
      [this] { RepeatOrNot(4000, [this] { HoldUpAll(); }); },
      [this] { RepeatOrNot(3000, [this] { CutOffStore(); }); },
      [this] { RepeatOrNot(300, [this] { DisturbSomeLink(); }); },
      [this] { RepeatOrNot(300, [this] { DisturbSomeLink(); }); },
    };
    RunConcurrently(aClients + disruptions.size() + mVms,
                    [&](std::size_t aFiber) {
                      if (aFiber < aClients) {
                        clients[aFiber]->Run(mEnd);
                      } else if (aFiber < aClients + disruptions.size()) {
                        disruptions[aFiber - aClients]();
                      } else {
                        SendSignals(aFiber - aClients - disruptions.size());
                      }
                    });
    std::cout << "loss soak seed " << mSeed << ": " << mLog.Stops()
              << " stops, test late by "
              << std::chrono::duration_cast<milliseconds>(mLog.mMaxLag).count()
              << " ms at most" << std::endl;
    return CountLosses(mFleet, mLog, requests, kGrace);
  }

  void KeepLogs(const std::string& aFolder) const
  {
    for (std::size_t vm = 0; vm < mVms; ++vm) {
      std::ofstream(aFolder + "/seed-" + std::to_string(mSeed) + "-vm-" +
                    std::to_string(vm) + ".log")
        << ReadWholeFile(mFleet.LogFile(vm));
    }
  }

private:
  std::size_t Pick(std::size_t aCount) { return mRandom.Below(aCount); }

  void Sleep(std::size_t aMilliseconds) const
  {
    boost::this_fiber::sleep_until(
      std::min(mEnd, Now() + milliseconds(aMilliseconds)));
  }

  /** Repeats a disruption until the end, at intervals around aMilliseconds. */
  void Repeat(std::size_t aMilliseconds, const std::function<void()>& aDisturb)
  {
    while (Now() < mEnd) {
      Sleep(aMilliseconds / 3 + Pick(aMilliseconds * 4 / 3));
      aDisturb();
    }
  }

  /** As Repeat(), but some runs leave the disruption out. */
  void RepeatOrNot(std::size_t aMilliseconds,
                   const std::function<void()>& aDisturb)
  {
    if (Pick(4) != 0) {
      Repeat(aMilliseconds, aDisturb);
    }
  }

  /** Starts the daemons that have ended anew. */
  void Supervise()
  {
    while (Now() < mEnd + std::chrono::seconds(6)) {
      bool isAllOver = Now() > mEnd;
      for (std::size_t vm = 0; vm < mVms; ++vm) {
        ChildProcess& daemon = mFleet.Daemon(vm);
        if (mIsHeld.contains(vm) || mIsWriting.contains(vm) ||
            !daemon.HasEnded()) {
          isAllOver = isAllOver && !mLog.mDaemons[vm].IsStopping();
          continue;
        }
        const bool isStarting =
          !mLog.mDaemons[vm].mStarts.empty() &&
          Now() < mLog.mDaemons[vm].mStarts.back() + std::chrono::seconds(1);
        const int code = daemon.WaitForExit();
        // A signal before it is handled ends a process that does not listen
        // yet.
        if (code != 0 && !(isStarting && kSignalEnds.contains(code))) {
          constexpr std::size_t kTail = 3000;
          mLog.mDaemons[vm].mFailedEnds.push_back(
            "vm-" + std::to_string(vm) + " with " + std::to_string(code) +
            "\n" + LastBytes(mFleet.LogFile(vm), kTail));
        }
        if (Now() < mEnd) {
          mFleet.StartDaemon(vm);
          mLog.mDaemons[vm].mStarts.push_back(Now());
          mMustSignal[vm] = Pick(3) == 0;
        }
      }
      if (isAllOver) {
        return;
      }
      boost::this_fiber::sleep_for(milliseconds(5));
    }
  }

  void MeasureLag()
  {
    while (Now() < mEnd) {
      const TimePoint due = Now() + milliseconds(5);
      boost::this_fiber::sleep_until(due);
      mLog.RecordLag(Now() - due, Now());
    }
  }

  /** Lets one or two daemons stop. */
  void StopSome()
  {
    const std::size_t count = std::max<std::size_t>(1, mVms / 6) + Pick(2);
    for (std::size_t stopped = 0; stopped < count; ++stopped) {
      const std::size_t vm = Pick(mVms);
      if (!mLog.mDaemons[vm].IsStopping()) {
        mMustSignal[vm] = true;
        mMustStop[vm] = true;
        Sleep(Pick(200));
      }
    }
  }

  /** Sends a daemon series of signals. */
  void SendSignals(std::size_t aVm)
  {
    while (Now() < mEnd) {
      Sleep(5);
      if (!std::exchange(mMustSignal[aVm], false)) {
        continue;
      }
      if (std::exchange(mMustStop[aVm], false)) {
        if (Pick(3) == 0) {
          mHalfStops.insert(aVm);
          RewriteSettings(aVm);
        } else {
          Signal(aVm, 0);
        }
      }
      for (std::size_t further = Pick(8); further != 0; --further) {
        Sleep(20 + Pick(480));
        Signal(aVm, Pick(4));
      }
    }
  }

  /** Sends SIGTERM, SIGINT or SIGHUP. */
  void Signal(std::size_t aVm, std::size_t aKind)
  {
    ChildProcess& daemon = mFleet.Daemon(aVm);
    DisruptionLog::Daemon& log = mLog.mDaemons[aVm];
    if (!daemon.IsOwned() || Now() >= mEnd) {
      return;
    }
    log.mSignals.push_back(Now());
    if (aKind >= 2) {
      daemon.Reload();
      return;
    }
    if (!log.IsStopping()) {
      log.mStops.push_back(Now());
    }
    if (aKind == 0) {
      daemon.Terminate();
    } else {
      daemon.Interrupt();
    }
  }

  /** Writes half of the settings, and the rest some time later. */
  void RewriteSettings(std::size_t aVm)
  {
    if (!mIsWriting.insert(aVm).second) {
      mHalfStops.erase(aVm);
      return;
    }
    if (mSettingsWritten[aVm].empty()) {
      mSettingsWritten[aVm] = ReadWholeFile(mFleet.SettingsFile(aVm));
    }
    constexpr std::array kShares{ "1.0", "0.5", "0.25" };
    const std::string text =
      "processor_share = " + std::string(kShares.at(Pick(kShares.size()))) +
      "\n" + mSettingsWritten[aVm];
    const std::string file = mFleet.SettingsFile(aVm);
    std::ofstream(file) << text.substr(0, Pick(text.size()));
    if (Pick(2) == 0) {
      Signal(aVm, 2);
    }
    if (mHalfStops.erase(aVm) != 0) {
      Signal(aVm, 0);
    }
    boost::this_fiber::sleep_for(milliseconds(1 + Pick(60)));
    std::ofstream(file) << text;
    Signal(aVm, 2);
    mIsWriting.erase(aVm);
  }

  void Reconfigure()
  {
    constexpr std::array kServices{ "one", "one", "shard-0", "shard-1" };
    constexpr std::array kTimeouts{ 2000, 2000, 1200, 3000 };
    constexpr std::array kIdleTimes{ 15000, 5000, 2500, 1500 };
    constexpr std::array kHeaderBytes{ 8192U, 4096U, 16384U };
    for (std::size_t left = Pick(4) == 0 ? 3 : 1; left != 0; --left) {
      ConfigurationChoice choice;
      choice.mOneService = kServices.at(Pick(kServices.size()));
      choice.mTimeout = milliseconds(kTimeouts.at(Pick(kTimeouts.size())));
      choice.mIdleTime = milliseconds(kIdleTimes.at(Pick(kIdleTimes.size())));
      choice.mHeaderBytes = kHeaderBytes.at(Pick(kHeaderBytes.size()));
      mLog.mVersions.push_back({ Now(), choice.mTimeout, choice.mIdleTime });
      mFleet.Configure(choice);
      Sleep(10 + Pick(100));
    }
  }

  StandInTarget& PickTarget()
  {
    const std::size_t service = Pick(kShards + 4);
    std::string name = "shard-" + std::to_string(service);
    if (service >= kShards) {
      name = service % 2 == 0 ? "one" : "once";
    }
    return mFleet.Target(name + (Pick(2) == 0 ? "-a" : "-b"));
  }

  void DisturbTarget()
  {
    StandInTarget& target = PickTarget();
    if (!mDisturbed.insert(target.Instance()).second) {
      return;
    }
    const std::size_t time = 300 + Pick(2500);
    switch (Pick(6)) {
      case 0:
        // Another target takes its place; this one stays until the end.
        mFleet.Register(target, "draining");
        Sleep(3200);
        mFleet.Store().Remove("servers/" + target.Instance());
        Sleep(Pick(500));
        mFleet.AddTarget(target.Service(), target.Instance());
        break;
      case 1:
        mFleet.Store().Remove("servers/" + target.Instance());
        Sleep(time);
        mFleet.Register(target);
        break;
      case 2:
        target.mFault = TargetFault::kRepliesEarly;
        Sleep(time);
        target.mFault = TargetFault::kNone;
        break;
      case 3:
        // Overload.
        target.mSlots = 1;
        target.mServiceTime = milliseconds(20 + Pick(200));
        Sleep(time);
        target.mSlots = 2;
        target.mServiceTime = milliseconds(3);
        break;
      default:
        target.mServiceTime = milliseconds(50 + Pick(1500));
        Sleep(time);
        target.mServiceTime = milliseconds(3);
        break;
    }
    mDisturbed.erase(target.Instance());
  }

  /** Holds up a daemon as a short processor does, or for longer. */
  void HoldUp()
  {
    std::size_t vm = Pick(mVms);
    for (std::size_t tries = 0; tries < mVms && !mLog.mDaemons[vm].IsStopping();
         ++tries) {
      vm = (vm + 1) % mVms;
    }
    const bool isLong = Pick(2) == 0;
    const DisruptionLog::Daemon& log = mLog.mDaemons[vm];
    if (isLong && log.IsStopping()) {
      // Over the moment at which a stop closes idle connections.
      boost::this_fiber::sleep_until(
        std::min(mEnd, log.mStops.back() + milliseconds(2300 + Pick(300))));
    }
    for (std::size_t left = isLong ? 1 + Pick(2) : 10 + Pick(30); left != 0;
         --left) {
      if (Now() >= mEnd || !Freeze(vm)) {
        return;
      }
      boost::this_fiber::sleep_for(milliseconds(isLong ? 100 + Pick(300) : 75));
      Thaw(vm);
      boost::this_fiber::sleep_for(milliseconds(isLong ? Pick(300) : 25));
    }
  }

  /** Holds up all daemons at the same times, as a processor does that they
      share at its limit. */
  void HoldUpAll()
  {
    for (std::size_t left = 5 + Pick(20); left != 0 && Now() < mEnd; --left) {
      std::vector<std::size_t> held;
      for (std::size_t vm = 0; vm < mVms; ++vm) {
        if (Freeze(vm)) {
          held.push_back(vm);
        }
      }
      boost::this_fiber::sleep_for(milliseconds(75));
      std::for_each(
        held.begin(), held.end(), [&](std::size_t aVm) { Thaw(aVm); });
      boost::this_fiber::sleep_for(milliseconds(25));
    }
  }

  /** Makes a daemon stand still; false when it does already. */
  bool Freeze(std::size_t aVm)
  {
    if (!mFleet.Daemon(aVm).IsOwned() || !mIsHeld.insert(aVm).second) {
      return false;
    }
    mFleet.Daemon(aVm).Freeze();
    mLog.mDaemons[aVm].mHolds.emplace_back(Now(), TimePoint::max());
    return true;
  }

  void Thaw(std::size_t aVm)
  {
    mFleet.Daemon(aVm).Thaw();
    mIsHeld.erase(aVm);
    mLog.mDaemons[aVm].mHolds.back().second = Now();
  }

  void DisturbSomeLink()
  {
    const std::size_t vm = Pick(mVms);
    const std::array links{ &mFleet.CallerLink(vm),
                            &mFleet.PeerLink(vm),
                            &mFleet.StoreLink(vm),
                            &mFleet.TargetLink(PickTarget()) };
    LinkRelay& link = *links.at(Pick(links.size()));
    if (mDisturbedLinks.insert(&link).second) {
      DisturbLink(link, mRandom, mEnd);
      mDisturbedLinks.erase(&link);
    }
  }

  void CutOffStore()
  {
    constexpr std::array kStates{ VmPortState::kNeverReplies,
                                  VmPortState::kClosesConnection,
                                  VmPortState::kRefuses };
    const VmPortState state = kStates.at(Pick(kStates.size()));
    const std::size_t vm = Pick(mVms);
    if (Pick(2) == 0) {
      mFleet.Store().SetAllVmPortStates(state);
    } else {
      mFleet.Store().SetVmPortState(vm, state);
    }
    Sleep(500 + Pick(2500));
    mFleet.Store().SetAllVmPortStates(VmPortState::kServes);
  }

  std::uint64_t mSeed;
  Random mRandom;
  ForwarderFleet mFleet;
  std::size_t mVms;
  DisruptionLog mLog;
  std::vector<std::string> mSettingsWritten;
  /** Some runs let daemons live long enough for a renewal of their lease. */
  std::size_t mStopInterval;
  TimePoint mEnd{};
  std::map<std::size_t, bool> mMustSignal;
  std::map<std::size_t, bool> mMustStop;
  /** The daemons that are to stop while their settings are half-written. */
  std::set<std::size_t> mHalfStops;
  std::set<std::size_t> mIsWriting;
  std::set<std::size_t> mIsHeld;
  std::set<std::string> mDisturbed;
  std::set<const LinkRelay*> mDisturbedLinks;
};

void
Print(const char* aWhat, const std::vector<std::string>& aCases)
{
  for (const std::string& text : aCases) {
    std::cout << aWhat << ": " << text << std::flush;
  }
}

} // namespace

class LossSoakTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LossSoakTests);
  CPPUNIT_TEST(LosesNoRequestDespiteOverlappingDisruptions);
  CPPUNIT_TEST_SUITE_END();

public:
  void LosesNoRequestDespiteOverlappingDisruptions()
  {
    const std::string range = Choice("WASABISPREAD_SOAK_SEEDS", "1:2");
    const std::size_t vms = std::stoul(Choice("WASABISPREAD_SOAK_VMS", "3"));
    const std::size_t clients =
      std::stoul(Choice("WASABISPREAD_SOAK_CLIENTS", "60"));
    const std::chrono::seconds time(
      std::stoul(Choice("WASABISPREAD_SOAK_SECONDS", "13")));
    const std::string folder = Choice("WASABISPREAD_SOAK_LOGS", "");
    const std::size_t first = std::stoul(range);
    const std::size_t count = std::stoul(range.substr(range.find(':') + 1));
    std::size_t failed = 0;
    for (std::size_t seed = first; seed < first + count; ++seed) {
      LossSoakRun run(seed, vms);
      const LossCounts counts = run.Run(clients, time);
      std::cout << "loss soak seed " << seed << ": sent " << counts.mSent
                << ", served " << counts.mServed << ", refused "
                << counts.mRefused << ", crossed a close " << counts.mCrossed
                << ", sent after \"close\" " << counts.mAfterClose << ", late "
                << counts.mLate << ", ended by the grace " << counts.mGraceEnded
                << ", ended by the link " << counts.mLinkEnded << ", silent "
                << counts.mSilent.size() << ", lost " << counts.mLost.size()
                << ", twice " << counts.mTwice.size() << ", broken promises "
                << counts.mBrokenPromises.size() << std::endl;
      Print("silent", counts.mSilent);
      Print("lost", counts.mLost);
      Print("twice", counts.mTwice);
      Print("broken promise", counts.mBrokenPromises);
      Print("ended by itself", counts.mFailedEnds);
      const bool isFailed = !counts.IsSound();
      failed += isFailed ? 1 : 0;
      if (isFailed && !folder.empty()) {
        run.KeepLogs(folder);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, failed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LossSoakTests);
