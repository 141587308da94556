/*
 * The timers of a VM. They are part of its state, so that a reducer can arm
 * them.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

namespace wasabispread {

/** What a timer is for. It determines the meaning of the timer's key. */
enum class TimerKind : std::uint8_t
{
  /** Key: the query. */
  kQueryDeadline,
  /** Key: the batch that the target owner has in progress. */
  kBatchDeadline,
  /** Key: the coordinator whose replies wait to be sent. */
  kFlushReplies,
  /** Key: the connection on which a late reply is awaited. */
  kLateReplyDeadline,
  /** Key: the target whose connections may be opened again. */
  kReconnect,
  /** No key. */
  kWatchConfiguration,
  /** No key. */
  kReadVmList,
  /** No key. */
  kProbeRound,
  /** Key: the suspect VM. */
  kSuspicionTimeout,
  /** No key. */
  kParseConfiguration,
  /** Key: the collection of confirmations. */
  kConfirmation,
  /** No key: removes the candidates that have been gone for long enough. */
  kRefreshCandidates,
  /** Key: the target owner that is avoided. */
  kProbeOwner,
  /** Key: the target owner from which a reply is expected. */
  kOwnerReplyTimeout,
  /** Key: the target whose idle connections may be closed. */
  kIdleConnections,
  /** No key: fires regularly, so that a pause of the process is noticed. */
  kHeartbeat,
  /** Key: the query whose slow attempts may be hedged. */
  kHedge,
  /** Key: the query that may be answered early. */
  kEarlyAnswer,
  /** No key: a stopping VM begins to close the connections to targets that it
      does not need. */
  kReleaseConnections,
  /** No key: other VMs have had time to receive the announcement of a stop. */
  kStopAnnounced,
  /** Key: the claim. */
  kClaimDeadline,
  /** Key: the claim. */
  kClaimRetry,
};

/** A timer that came due. */
template<class Kind>
struct TimerOf
{
  TimePoint mDue;
  Kind mKind{};
  std::uint64_t mKey = 0;
};

/** Timers ordered by due time. A timer cannot be cancelled: its handler checks
    whether its subject still exists. */
template<class Kind>
class TimerQueueOf
{
public:
  using Timer = TimerOf<Kind>;

  void Arm(TimePoint aDue, Kind aKind, std::uint64_t aKey = 0)
  {
    mTimers.push(Timer{ aDue, aKind, aKey });
  }

  /** Removes and returns a timer that is due at aNow or earlier, if there is
      one. */
  std::optional<Timer> PopDue(TimePoint aNow)
  {
    if (mTimers.empty() || mTimers.top().mDue > aNow) {
      return std::nullopt;
    }
    const Timer timer = mTimers.top();
    mTimers.pop();
    return timer;
  }

  /** When the next timer is due; TimePoint::max() when there is none. */
  TimePoint NextDue() const
  {
    return mTimers.empty() ? TimePoint::max() : mTimers.top().mDue;
  }

private:
  struct Later
  {
    bool operator()(const Timer& aLeft, const Timer& aRight) const
    {
      return aLeft.mDue > aRight.mDue;
    }
  };

  std::priority_queue<Timer, std::vector<Timer>, Later> mTimers;
};

using Timer = TimerOf<TimerKind>;
using TimerQueue = TimerQueueOf<TimerKind>;

} // namespace wasabispread
