/*
 * Compares what requests need with what restricted targets take.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <cmath>

namespace wasabispread::forwarding {

namespace {

/** Whether the target states anything that may keep requests from it. */
bool
HasRestriction(const TargetState& aTarget, TimePoint aNow)
{
  return aTarget.mLimit.mPerSecond.has_value() ||
         aTarget.mColdLimit.mPerSecond.has_value() ||
         WaitForPause(aTarget, aNow) > Duration::zero() ||
         WaitForPace(aTarget.mPace, aNow) > Duration::zero();
}

bool
IsShorter(const RoomWait& aLeft, const RoomWait& aRight)
{
  return aLeft.mTime < aRight.mTime;
}

RoomWait
WaitForTarget(const TargetState& aTarget, TimePoint aNow)
{
  const RoomWait waits[] = {
    { WaitForAllowance(aTarget.mLimit, aNow), RoomCause::kLimit },
    { WaitForColdLimit(aTarget, aNow), RoomCause::kLimit },
    { WaitForPace(aTarget.mPace, aNow), RoomCause::kPace },
    { WaitForPause(aTarget, aNow), RoomCause::kPause }
  };
  return *std::max_element(std::begin(waits), std::end(waits), IsShorter);
}

} // namespace

const char*
ToText(RoomCause aCause)
{
  switch (aCause) {
    case RoomCause::kLimit:
      return "the targets' request limits are used up";
    case RoomCause::kPause:
      return "the targets asked for a pause";
    case RoomCause::kPace:
      break;
  }
  return "the targets take over load from others that asked for a pause";
}

RoomWait
WaitForRoom(const ForwarderState& aState, ServiceId aService, TimePoint aNow)
{
  const auto targets = aState.mTargetsOfService.find(aService);
  const auto isRestricted = [&](TargetKey aKey) {
    return HasRestriction(aState.mTargets.at(aKey), aNow);
  };
  if (targets == aState.mTargetsOfService.end() ||
      std::none_of(
        targets->second.begin(), targets->second.end(), isRestricted)) {
    return {};
  }
  std::optional<RoomWait> shortest;
  for (const TargetKey key : targets->second) {
    const TargetState& target = aState.mTargets.at(key);
    const bool isPaused = WaitForPause(target, aNow) > Duration::zero();
    if (isPaused || IsConnectable(aState, target, aNow)) {
      const RoomWait wait = WaitForTarget(target, aNow);
      shortest = std::min(wait, shortest.value_or(wait), IsShorter);
    }
  }
  return shortest.value_or(RoomWait{});
}

std::size_t
MaxMissingShards(const ForwarderState& aState, const Route& aRoute)
{
  double coverage = aRoute.mMinCoverage;
  for (const Route& other : aState.mConfiguration->mRoutes) {
    if (other.mPriority <= aRoute.mPriority &&
        other.mShards == aRoute.mShards) {
      coverage = std::max(coverage, other.mMinCoverage);
    }
  }
  const auto shards = static_cast<double>(aRoute.mShards.size());
  return aRoute.mShards.size() - static_cast<std::size_t>(std::clamp(
                                   std::ceil(coverage * shards), 0.0, shards));
}

std::optional<RoomWait>
WaitForRoom(const ForwarderState& aState,
            const std::vector<ServiceId>& aShards,
            std::size_t aMinShards,
            TimePoint aNow)
{
  std::vector<RoomWait> waits;
  for (const ServiceId shard : aShards) {
    const RoomWait wait = WaitForRoom(aState, shard, aNow);
    if (wait.mTime > Duration::zero()) {
      waits.push_back(wait);
    }
  }
  const std::size_t available = aShards.size() - waits.size();
  if (available >= aMinShards || waits.empty()) {
    return std::nullopt;
  }
  std::sort(waits.begin(), waits.end(), IsShorter);
  return waits[std::min(aMinShards - available, waits.size()) - 1];
}

std::optional<RoomWait>
WaitForRoom(const ForwarderState& aState, const Route& aRoute, TimePoint aNow)
{
  std::vector<ServiceId> services;
  if (!aRoute.IsSearch()) {
    // A split request may only be sent to the part whose turn it is, which is
    // decided later.
    if (aRoute.mParts.size() == 1) {
      services.push_back(aRoute.mParts.front().mService);
    }
    return WaitForRoom(aState, services, services.size(), aNow);
  }
  std::copy_if(aRoute.mShards.begin(),
               aRoute.mShards.end(),
               std::back_inserter(services),
               [&](ServiceId aShard) { return IsOwnShard(aState, aShard); });
  const std::size_t maxMissing = MaxMissingShards(aState, aRoute);
  return WaitForRoom(aState,
                     services,
                     services.size() - std::min(services.size(), maxMissing),
                     aNow);
}

bool
MayAwaitRoom(const ForwarderState& aState,
             RouteId aRoute,
             const RoomWait& aWait,
             TimePoint aDeadline,
             TimePoint aNow)
{
  // Some replies take longer than the mean.
  constexpr double kMeans = 2;
  const auto route = aState.mRoutes.find(aRoute);
  const double mean =
    route == aState.mRoutes.end() ? 0 : route->second.mLatency.mMean;
  return aWait.mCause == RoomCause::kPause &&
         aNow + aWait.mTime +
             Duration(static_cast<std::int64_t>(kMeans * mean)) <
           aDeadline;
}

} // namespace wasabispread::forwarding
