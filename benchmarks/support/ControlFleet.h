/*
 * Runs many VMs without callers or targets in virtual time, to measure the
 * messages and platform calls of configuration and membership.
 */
#pragma once

#include "DirectFleet.h"

#include <cstdint>
#include <queue>
#include <string>
#include <vector>

namespace wasabispread::benchmarks {

/** Counters of the control plane, summed over all VMs. */
struct ControlTraffic
{
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;
  std::uint64_t mPlatformCalls = 0;
  std::uint64_t mEvents = 0;
  /** Processor time within Reduce(), in seconds. */
  double mProcessorSeconds = 0;
};

/** Returns the difference between two readings of the counters. */
ControlTraffic
operator-(const ControlTraffic& aLeft, const ControlTraffic& aRight);

/** The simulated VMs, their links and their platform. */
class ControlFleet
{
public:
  /** Starts aVms VMs at the same time, spread over the availability zones of
   * a shape, with its deployment in the store. */
  ControlFleet(unsigned aVms, const FleetShape& aDeployment);

  /** Runs the fleet for a span of virtual time. */
  void RunFor(Duration aSpan);

  /** Writes a changed deployment to the store. */
  void Apply(const FleetShape& aDeployment);

  /** Stops a VM immediately. */
  void Kill(unsigned aVm);

  /** Whether every running VM has the newest revision in force. */
  bool IsInForceEverywhere() const;

  /** Whether every running VM considers the given VM dead or has removed it. */
  bool IsKnownDead(unsigned aVm) const;

  /** Highest number of platform calls within one second so far. */
  std::uint64_t BusiestSecond() const { return mBusiestSecond; }

  const ControlTraffic& TrafficSoFar() const { return mTraffic; }

private:
  struct Delivery
  {
    TimePoint mDue;
    std::uint64_t mOrder = 0;
    std::uint32_t mVmIndex = 0;
    Event mEvent;
  };
  struct IsLater
  {
    bool operator()(const Delivery& aLeft, const Delivery& aRight) const
    {
      return std::pair(aLeft.mDue, aLeft.mOrder) >
             std::pair(aRight.mDue, aRight.mOrder);
    }
  };

  void Post(Duration aDelay, std::uint32_t aVm, Event aEvent);
  void Deliver(std::uint32_t aVm, const Event& aEvent);
  void Perform(std::uint32_t aVm, const Effect& aEffect);
  void CountPlatformCall();
  Duration DelayBetween(std::uint32_t aFrom, std::uint32_t aTo) const;

  TimePoint mNow{ std::chrono::hours(1) };
  std::uint64_t mNextOrder = 0;
  std::vector<VmRecord> mVms;
  std::vector<std::unique_ptr<VmState>> mVmStates;
  std::vector<bool> mIsAlive;
  /** Time at which each VM's next Tick is due; no second one is posted for
   * the same time. */
  std::vector<TimePoint> mNextTick;
  std::unordered_map<VmId, std::uint32_t> mVmIndexById;
  std::priority_queue<Delivery, std::vector<Delivery>, IsLater> mQueue;
  StoredConfiguration mStored;
  /** VMs whose watch of the store waits for a change. */
  std::vector<std::uint32_t> mWatchers;
  std::int64_t mSecond = 0;
  std::uint64_t mCallsInSecond = 0;
  std::uint64_t mBusiestSecond = 0;
  ControlTraffic mTraffic;
};

} // namespace wasabispread::benchmarks
