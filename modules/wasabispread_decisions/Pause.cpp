/*
 * The heartbeat, and the reaction to a pause.
 */
#include "wasabispread_decisions.h"

namespace wasabispread {

namespace {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(250);
/** A gap between events that exceeds the heartbeat interval by more than this
    is a pause. */
constexpr Duration kPauseTolerance = std::chrono::milliseconds(250);
/** How long after a pause a message that is handled may have been received
    during the pause. */
constexpr Duration kBacklogTime = std::chrono::milliseconds(100);

} // namespace

void
StartHeartbeat(VmState& aState, TimePoint aNow)
{
  aState.mTimers.Arm(aNow + kHeartbeatInterval, TimerKind::kHeartbeat);
}

void
ObserveTime(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  PauseState& pause = aState.mPause;
  const Duration gap = aNow - pause.mLastSeen;
  const bool isFirst = pause.mLastSeen == TimePoint{};
  pause.mLastSeen = aNow;
  if (isFirst || gap <= kHeartbeatInterval + kPauseTolerance) {
    return;
  }
  pause.mResumedAt = aNow;
  pause.mLength = gap;
  ++aState.mCounters.mPauses;
  aEffects.push_back(LogDecision{ PauseDetected{ gap } });
  aState.mPlacement.mAwaited.clear();
  if (gap >= aState.mPlacement.mHoldDelay) {
    ReleaseShares(aState, aNow, aEffects);
  }
}

Duration
UnreadTime(const PauseState& aPause, TimePoint aNow)
{
  const bool isBacklog = aPause.mLength != Duration::zero() &&
                         aNow - aPause.mResumedAt <= kBacklogTime;
  return isBacklog ? aPause.mLength : Duration::zero();
}

} // namespace wasabispread
