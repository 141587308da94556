/*
 * Computes the deadlines of a request. The soft deadline handles searches over
 * many shards of which some pause for longer than the soft timeout allows: they
 * are answered in part.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** The largest part of a timeout or soft timeout that is kept in reserve. What
    is left must be enough to ask the targets: only answers show that the
    reserve is too large. */
constexpr double kMaxReserve = 0.25;
/** Part of the soft timeout that is granted to a caller whose soft timeout is
    already over: by then most shards have answered. */
constexpr double kLateCallerWait = 0.6;

Duration
Fraction(Duration aDuration, double aPart)
{
  return Duration(
    static_cast<std::int64_t>(aPart * static_cast<double>(aDuration.count())));
}

} // namespace

TimePoint
DeadlineOf(const ForwardedRequest& aRequest,
           const Route& aRoute,
           Duration aCallerRoundTrip,
           Duration aReserve,
           TimePoint aNow)
{
  Duration timeout = aRoute.mTimeout;
  if (aRequest.mCallerTimeout) {
    const Duration stated = *aRequest.mCallerTimeout;
    const Duration reserve = std::min(aReserve, Fraction(stated, kMaxReserve));
    timeout = std::min(timeout, stated - aCallerRoundTrip - reserve);
  }
  return aNow + std::max(timeout, Duration::zero());
}

TimePoint
DeadlineOf(const ForwarderState& aState,
           const ForwardedRequest& aRequest,
           const Route& aRoute,
           TimePoint aNow)
{
  return DeadlineOf(
    aRequest,
    aRoute,
    aState.mPolicy.mCallerRoundTrip,
    ReserveForAnswer(aState.mAnswerReserve, aRoute.mShards.size(), aNow),
    aNow);
}

TimePoint
SoftDeadlineOf(const ForwardedRequest& aRequest,
               const Route& aRoute,
               const RouteState& aRouteState,
               Duration aCallerRoundTrip,
               Duration aReserve,
               TimePoint aNow)
{
  if (aRoute.mSoftTimeout == Duration::zero()) {
    return TimePoint::max();
  }
  const Duration spent =
    aRequest.mCallerTimeout
      ? std::max(Duration::zero(),
                 aRouteState.mLongestCallerTimeout - *aRequest.mCallerTimeout)
      : Duration::zero();
  const Duration callerDelay =
    aRequest.mIsFirstOnConnection ? 2 * aCallerRoundTrip : aCallerRoundTrip;
  const Duration reserve =
    std::min(aReserve, Fraction(aRoute.mSoftTimeout, kMaxReserve));
  const TimePoint softDeadline =
    aNow + aRoute.mSoftTimeout - spent - callerDelay - reserve;
  const bool isOver =
    softDeadline <= aNow + Fraction(aRoute.mSoftTimeout, 1 - kLateCallerWait);
  return isOver ? aNow + Fraction(aRoute.mSoftTimeout, kLateCallerWait)
                : softDeadline;
}

bool
HasMinCoverage(const RequestState& aRequest)
{
  const auto shards = static_cast<double>(aRequest.mSubRequests.size());
  return aRequest.mAnswered > 0 && static_cast<double>(aRequest.mAnswered) >=
                                     aRequest.mRoute->mMinCoverage * shards;
}

void
CountAnswered(RequestState& aRequest, TimePoint aNow)
{
  ++aRequest.mAnswered;
  --aRequest.mPending;
  if (aRequest.mMinCoverageAt == TimePoint::max() && HasMinCoverage(aRequest)) {
    aRequest.mMinCoverageAt = aNow;
  }
}

bool
CanReachMinCoverage(const RequestState& aRequest)
{
  const auto shards = static_cast<double>(aRequest.mSubRequests.size());
  const auto reachable =
    static_cast<double>(aRequest.mAnswered + aRequest.mPending);
  return reachable > 0 && reachable >= aRequest.mRoute->mMinCoverage * shards;
}

bool
IsAnswerDue(const RequestState& aRequest, TimePoint aNow)
{
  if (aRequest.mPending == 0 || aNow >= aRequest.mDeadline) {
    return true;
  }
  if (!aRequest.mRoute->IsSearch()) {
    return false;
  }
  return !CanReachMinCoverage(aRequest) ||
         (aNow >= aRequest.mSoftDeadline && HasMinCoverage(aRequest));
}

} // namespace wasabispread::forwarding
