/*
 * Many nodes without callers or targets, driven in virtual time: what they
 * say to one another and to the platform about configuration and membership.
 */
#pragma once

#include "DirectFleet.h"

#include <cstdint>
#include <queue>
#include <string>
#include <vector>

namespace wasabispread::benchmarks {

/** What control did, summed over all nodes. */
struct ControlTraffic
{
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;
  std::uint64_t mPlatformCalls = 0;
  std::uint64_t mEvents = 0;
  /** Processor time within Reduce(), in seconds. */
  double mProcessorSeconds = 0;
};

/** The difference between two readings. */
ControlTraffic
operator-(const ControlTraffic& aLeft, const ControlTraffic& aRight);

/** The nodes, their links and their platform. */
class ControlFleet
{
public:
  /** Starts aVms nodes at one time, over the availability zones of a shape,
      with its deployment in the store. */
  ControlFleet(unsigned aVms, const FleetShape& aDeployment);

  /** Runs for a span of virtual time. */
  void RunFor(Duration aSpan);

  /** Puts a changed deployment into the store. */
  void Apply(const FleetShape& aDeployment);

  /** Ends a node at once. */
  void Kill(unsigned aVm);

  /** Whether every living node has the newest revision in force. */
  bool IsInForceEverywhere() const;

  /** Whether every living node holds another one dead, or has dropped it. */
  bool IsKnownDead(unsigned aVm) const;

  /** The platform's calls in its busiest second so far. */
  std::uint64_t BusiestSecond() const { return mBusiestSecond; }

  const ControlTraffic& Seen() const { return mTraffic; }

private:
  struct Delivery
  {
    TimePoint mDue;
    std::uint64_t mOrder = 0;
    std::uint32_t mNode = 0;
    Event mEvent;
  };
  struct Later
  {
    bool operator()(const Delivery& aLeft, const Delivery& aRight) const
    {
      return std::pair(aLeft.mDue, aLeft.mOrder) >
             std::pair(aRight.mDue, aRight.mOrder);
    }
  };

  void Post(Duration aDelay, std::uint32_t aNode, Event aEvent);
  void Deliver(std::uint32_t aNode, const Event& aEvent);
  void Perform(std::uint32_t aNode, const Effect& aEffect);
  void CountPlatformCall();
  Duration DelayBetween(std::uint32_t aFrom, std::uint32_t aTo) const;

  TimePoint mNow{ std::chrono::hours(1) };
  std::uint64_t mNextOrder = 0;
  std::vector<VmRecord> mVms;
  std::vector<std::unique_ptr<VmState>> mNodes;
  std::vector<bool> mIsAlive;
  /** When each node's next Tick is due; nothing is posted twice for it. */
  std::vector<TimePoint> mTickAt;
  std::unordered_map<VmId, std::uint32_t> mNodeOf;
  std::priority_queue<Delivery, std::vector<Delivery>, Later> mQueue;
  StoredConfiguration mStored;
  /** Nodes whose watch waits for a change. */
  std::vector<std::uint32_t> mWatchers;
  std::int64_t mSecond = 0;
  std::uint64_t mCallsInSecond = 0;
  std::uint64_t mBusiestSecond = 0;
  ControlTraffic mTraffic;
};

} // namespace wasabispread::benchmarks
