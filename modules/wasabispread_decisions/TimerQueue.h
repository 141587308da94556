/*
 * Timers kept in a node's state, so that waiting is data too.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

namespace wasabispread {

/** What a timer is for; its key's meaning follows from it. */
enum class TimerKind : std::uint8_t
{
  /** Key: the query. */
  kQueryDeadline,
  /** Key: the batch held by the owner. */
  kBatchDeadline,
  /** Key: the peer whose replies wait to be sent. */
  kFlushReplies,
  /** Key: the connection whose late reply is owed. */
  kLateReplyDeadline,
  /** Key: the target whose connections may be opened again. */
  kReconnect,
  /** No key. */
  kWatchConfiguration,
  /** No key. */
  kReadVmList,
  /** No key. */
  kProbeRound,
  /** Key: the VM that is suspected. */
  kSuspicionTimeout,
  /** No key. */
  kParseConfiguration,
  /** Key: the collection of confirmations. */
  kConfirmation,
  /** No key: candidates whose time is over. */
  kRefreshCandidates,
  /** Key: the owner that is passed over. */
  kProbeOwner,
  /** Key: the owner that has to answer. */
  kOwnerReplyTimeout,
  /** Key: the target whose idle connections may be closed. */
  kIdleConnections,
  /** No key: shows that the process runs. */
  kHeartbeat,
  /** Key: the query whose slow attempts may be hedged. */
  kHedge,
  /** Key: the query that may be answered early. */
  kEarlyAnswer,
  /** No key: others may now take a stopping node's connections. */
  kReleaseConnections,
  /** No key. */
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

/** Timers by due time. A timer is never taken back: whoever handles it looks
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

  /** Removes and returns a timer due at aNow or earlier, if there is one. */
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
