/*
 * Estimates each target's latency to select the best one. The estimate handles
 * targets of unequal speed and distance, short pauses of one target, slow or
 * failing targets, targets that cannot be reached, and cold starts.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <cmath>

namespace wasabispread::forwarding {

namespace {

/** Assumed latency of a route's requests before the first sample. */
constexpr Duration kUnknownLatency = std::chrono::milliseconds(30);
/** Cost of opening a connection: a handshake between zones, and the target's
    slot that it occupies. */
constexpr Duration kConnectCost = std::chrono::milliseconds(15);
/** Cost of a failed exchange beside its own time: another exchange
    elsewhere. */
constexpr Duration kFailureCost = std::chrono::milliseconds(150);
/** Bounds of the further delay expected of a target with an overdue reply. The
    reply is expected to stay overdue for as long again: a pause lasts some
    hundred milliseconds, an outage seconds. */
constexpr Duration kMinSilence = std::chrono::milliseconds(30);
constexpr Duration kMaxSilence = std::chrono::seconds(2);
/** Factor by which a target is assumed to be slower just after its start, as
    long as nothing was measured. */
constexpr double kColdFactor = 1.6;
/** Time after which a measured latency counts half: it loses weight while the
    target gets no requests, so that a target that recovered is tried again. */
constexpr Duration kLatencyHalfLife = std::chrono::seconds(3);
/** Number of mean deviations above the mean after which an exchange is late.
    With three, about one exchange in twenty is late without a pause. */
constexpr double kLateDeviations = 3;
/** Penalty of a target in another zone, because traffic between zones is paid
    for: the target is selected when it is expected to be faster by more than
    this share of the route's soft timeout, or by the minimum. */
constexpr double kOtherZoneShare = 0.1;
constexpr Duration kMinOtherZoneCost = std::chrono::milliseconds(10);
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(4);

Duration
ToDuration(double aNanoseconds)
{
  return Duration(static_cast<std::int64_t>(aNanoseconds));
}

double
RouteMean(const ForwarderState& aState, RouteId aRoute)
{
  const auto route = aState.mRoutes.find(aRoute);
  return route == aState.mRoutes.end() || route->second.mLatency.mMean == 0
           ? static_cast<double>(kUnknownLatency.count())
           : route->second.mLatency.mMean;
}

/** The mean latency of the route's requests at the target. It approaches the
    route's mean over all targets as the last sample grows old. */
double
CurrentMean(const ForwarderState& aState,
            const TargetState& aTarget,
            RouteId aRoute,
            TimePoint aNow)
{
  const double typical = RouteMean(aState, aRoute);
  const LatencyEstimate* known = FindLatency(aTarget, aRoute);
  if (known == nullptr || known->mMean == 0) {
    return aNow < aTarget.mWarmUntil ? kColdFactor * typical : typical;
  }
  const double age = std::chrono::duration<double>(aNow - known->mSampled) /
                     std::chrono::duration<double>(kLatencyHalfLife);
  const double weight = std::exp2(-age);
  return weight * known->mMean + (1 - weight) * typical;
}

/** By how much longer than alone a request takes that is sent to the target
    now. */
double
PresentLoadFactor(const ForwarderState& aState,
                  const TargetState& aTarget,
                  TimePoint aNow)
{
  const double measured = LoadFactor(aTarget.mCapacity,
                                     aTarget.BusyCount(aState) + 1,
                                     aTarget.mRecord.mSlots,
                                     aNow);
  return aTarget.mLoad
           ? std::max(measured,
                      StatedFactor(*aTarget.mLoad, aNow - aTarget.mLoadTime))
           : measured;
}

Duration
OtherZoneCost(const ForwarderState& aState, RouteId aRoute)
{
  const auto route = aState.mRoutes.find(aRoute);
  const Duration softTimeout =
    route == aState.mRoutes.end() ? Duration{} : route->second.mSoftTimeout;
  return std::max(
    kMinOtherZoneCost,
    ToDuration(kOtherZoneShare * static_cast<double>(softTimeout.count())));
}

} // namespace

Duration
HedgeDelay(const ForwarderState& aState,
           const TargetState& aTarget,
           RouteId aRoute)
{
  const LatencyEstimate* known = FindLatency(aTarget, aRoute);
  if (known == nullptr || known->mMean == 0) {
    return ToDuration(2 * RouteMean(aState, aRoute));
  }
  return std::max(
    kMinHedgeDelay,
    ToDuration(known->mMean + kLateDeviations * known->mDeviation));
}

Duration
OverdueBy(const ForwarderState& aState,
          const TargetState& aTarget,
          TimePoint aNow)
{
  Duration overdue{};
  for (const ConnectionId id : aTarget.mConnections) {
    const TargetConnection& connection = aState.mConnections.at(id);
    if (connection.mStatus == ConnectionStatus::kBusy) {
      const Duration usual = HedgeDelay(aState, aTarget, connection.mRoute);
      overdue = std::max(overdue, aNow - connection.mSent - usual);
    }
  }
  return overdue;
}

Duration
ExpectedTime(const ForwarderState& aState,
             const TargetState& aTarget,
             RouteId aRoute,
             TimePoint aNow)
{
  const double mean = CurrentMean(aState, aTarget, aRoute, aNow);
  double expected = mean * PresentLoadFactor(aState, aTarget, aNow);
  if (aTarget.mIdle.empty()) {
    const auto connections = static_cast<double>(
      std::max<std::size_t>(1, aTarget.mConnections.size()));
    expected +=
      mean * static_cast<double>(aTarget.mWaiting.size()) / connections;
    expected += static_cast<double>(kConnectCost.count());
  }
  const double failures = FailureShare(aTarget, aNow);
  expected += failures / (1 - std::min(failures, 0.9)) *
              (mean + static_cast<double>(kFailureCost.count()));
  const Duration overdue = OverdueBy(aState, aTarget, aNow);
  if (overdue > Duration::zero()) {
    expected += static_cast<double>(
      std::clamp(overdue, kMinSilence, kMaxSilence).count());
  }
  return ToDuration(expected);
}

bool
IsConnectable(const ForwarderState& aState,
              const TargetState& aTarget,
              TimePoint aNow)
{
  return !aTarget.mIsRetired && !IsEvacuated(aState, aTarget.mRecord.mZone) &&
         (!aTarget.mConnections.empty() || MayConnect(aState, aTarget, aNow));
}

bool
CanAcceptRequest(const ForwarderState& aState,
                 const TargetState& aTarget,
                 TimePoint aNow)
{
  return IsConnectable(aState, aTarget, aNow) &&
         WaitForPause(aTarget, aNow) == Duration::zero() &&
         WaitForPace(aTarget.mPace, aNow) == Duration::zero() &&
         WaitForAllowance(aTarget.mLimit, aNow) == Duration::zero() &&
         WaitForColdLimit(aTarget, aNow) == Duration::zero();
}

TargetState*
ChooseTarget(ForwarderState& aState,
             const RequestState& aRequest,
             ServiceId aService,
             const std::vector<TargetKey>& aExcluded,
             TimePoint aNow)
{
  const RouteId route = aRequest.mRoute->mId;
  const auto ofService = aState.mTargetsOfService.find(aService);
  if (ofService == aState.mTargetsOfService.end()) {
    return nullptr;
  }
  TargetState* best = nullptr;
  Duration shortest = Duration::max();
  bool isBestAssigned = false;
  for (const TargetKey key : ofService->second) {
    TargetState& target = aState.mTargets.at(key);
    const bool isExcluded =
      std::find(aExcluded.begin(), aExcluded.end(), key) != aExcluded.end();
    if (isExcluded || !CanAcceptRequest(aState, target, aNow) ||
        !IsInRegions(aState, target.mRecord.mZone, aRequest.mOwner.mRegions)) {
      continue;
    }
    const bool isAssigned = target.mIsAssigned || !target.mIdle.empty();
    if (isBestAssigned && !isAssigned) {
      continue;
    }
    const bool isInOtherZone = target.mRecord.mZone != aState.mPolicy.mZone;
    const Duration expected =
      ExpectedTime(aState, target, route, aNow) +
      (isInOtherZone ? OtherZoneCost(aState, route) : Duration::zero());
    if (expected < shortest || (isAssigned && !isBestAssigned)) {
      shortest = expected;
      best = &target;
      isBestAssigned = isAssigned;
    }
  }
  return best;
}

} // namespace wasabispread::forwarding
