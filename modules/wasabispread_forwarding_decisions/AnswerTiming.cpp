/*
 * The times of an answer. The load they answer: searches over many shards of
 * which some pause longer than the aim allows.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** Processing, jitter and late timers on the way back to the caller. */
constexpr Duration kAnswerSlack = std::chrono::milliseconds(4);
/** For a caller whose aim is over: the part of the aim by which most shards
    have answered. */
constexpr double kLateWait = 0.6;

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
           TimePoint aNow)
{
  Duration patience = aRoute.mTimeout;
  if (aRequest.mCallerTimeout) {
    patience = std::min(
      patience, *aRequest.mCallerTimeout - aCallerRoundTrip - kAnswerSlack);
  }
  return aNow + std::max(patience, Duration::zero());
}

TimePoint
AimOf(const ForwardedRequest& aRequest,
      const Route& aRoute,
      const RouteKnowledge& aKnowledge,
      Duration aCallerRoundTrip,
      TimePoint aNow)
{
  if (aRoute.mSoftTimeout == Duration::zero()) {
    return TimePoint::max();
  }
  const Duration spent =
    aRequest.mCallerTimeout
      ? std::max(Duration::zero(),
                 aKnowledge.mLongestPatience - *aRequest.mCallerTimeout)
      : Duration::zero();
  const Duration way =
    aRequest.mIsFirstOnConnection ? 2 * aCallerRoundTrip : aCallerRoundTrip;
  const TimePoint aim = aNow + aRoute.mSoftTimeout - spent - way - kAnswerSlack;
  const bool isOver =
    aim <= aNow + Fraction(aRoute.mSoftTimeout, 1 - kLateWait);
  return isOver ? aNow + Fraction(aRoute.mSoftTimeout, kLateWait) : aim;
}

bool
HasLeastCoverage(const RequestState& aRequest)
{
  const auto shards = static_cast<double>(aRequest.mLegs.size());
  return aRequest.mAnswered > 0 && static_cast<double>(aRequest.mAnswered) >=
                                     aRequest.mRoute->mMinCoverage * shards;
}

bool
CanReachCoverage(const RequestState& aRequest)
{
  const auto shards = static_cast<double>(aRequest.mLegs.size());
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
  return !CanReachCoverage(aRequest) ||
         (aNow >= aRequest.mAimAt && HasLeastCoverage(aRequest));
}

} // namespace wasabispread::forwarding
