/*
 * Scoring targets. The loads that the score answers: targets of unequal pace
 * and distance, short pauses of one target, slow or failing targets, targets
 * that are not reachable, and cold starts.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <cmath>

namespace wasabispread::forwarding {

namespace {

/** Of an exchange with a target of which nothing is known yet. */
constexpr Duration kUnknownLatency = std::chrono::milliseconds(30);
/** A handshake between zones and the slot that it holds. */
constexpr Duration kConnectCost = std::chrono::milliseconds(15);
/** What a failed exchange costs beside its own time: another one elsewhere. */
constexpr Duration kFailureCost = std::chrono::milliseconds(150);
/** A target that owes a reply is expected to owe it for as long again, within
    these bounds: a pause lasts some hundred milliseconds, an outage seconds. */
constexpr Duration kLeastSilence = std::chrono::milliseconds(30);
constexpr Duration kMostSilence = std::chrono::seconds(2);
/** How much slower a target is just after its start, while nothing is known
    of it. */
constexpr double kColdFactor = 1.6;
/** What is known of a target's pace counts less and less while it gets no
    requests, so that one that recovered is tried again. */
constexpr Duration kPaceHalfLife = std::chrono::seconds(3);
/** Deviations above the mean beyond which an exchange is late. With three,
    about one in twenty is late without a pause. */
constexpr double kLateDeviations = 3;
/** Bytes between zones are paid for: a target in another zone is taken when it
    is expected to be faster by more than this, a tenth of a search's aim. */
constexpr Duration kOtherZoneCost = std::chrono::milliseconds(10);
constexpr Duration kLeastHedgeDelay = std::chrono::milliseconds(4);

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

/** The mean latency, drawn towards the route's own as it grows old. */
double
PresentMean(const ForwarderState& aState,
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
                     std::chrono::duration<double>(kPaceHalfLife);
  const double weight = std::exp2(-age);
  return weight * known->mMean + (1 - weight) * typical;
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
    kLeastHedgeDelay,
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
  const double mean = PresentMean(aState, aTarget, aRoute, aNow);
  const auto slots = static_cast<double>(std::max(1U, aTarget.mRecord.mSlots));
  const auto busy = static_cast<double>(aTarget.BusyCount(aState));
  double expected = mean * (1 + busy / slots);
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
      std::clamp(overdue, kLeastSilence, kMostSilence).count());
  }
  return ToDuration(expected);
}

bool
CanTake(const ForwarderState& aState,
        const TargetState& aTarget,
        TimePoint aNow)
{
  return !aTarget.mIsRetired &&
         (!aTarget.mConnections.empty() || MayConnect(aState, aTarget, aNow));
}

TargetState*
ChooseTarget(ForwarderState& aState,
             ServiceId aService,
             RouteId aRoute,
             const std::vector<TargetKey>& aExcluded,
             TimePoint aNow)
{
  const auto ofService = aState.mTargetsOfService.find(aService);
  if (ofService == aState.mTargetsOfService.end()) {
    return nullptr;
  }
  TargetState* best = nullptr;
  Duration least = Duration::max();
  bool isBestAssigned = false;
  for (const TargetKey key : ofService->second) {
    TargetState& target = aState.mTargets.at(key);
    const bool isExcluded =
      std::find(aExcluded.begin(), aExcluded.end(), key) != aExcluded.end();
    if (isExcluded || !CanTake(aState, target, aNow)) {
      continue;
    }
    const bool isAssigned = target.mIsAssigned || !target.mIdle.empty();
    if (isBestAssigned && !isAssigned) {
      continue;
    }
    const bool isElsewhere = target.mRecord.mZone != aState.mPolicy.mZone;
    const Duration expected = ExpectedTime(aState, target, aRoute, aNow) +
                              (isElsewhere ? kOtherZoneCost : Duration::zero());
    if (expected < least || (isAssigned && !isBestAssigned)) {
      least = expected;
      best = &target;
      isBestAssigned = isAssigned;
    }
  }
  return best;
}

} // namespace wasabispread::forwarding
