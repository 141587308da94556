/*
 * Compares what requests need with what limited targets take.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <cmath>

namespace wasabispread::forwarding {

namespace {

/** How long until the limits let a request be sent to some target of the
    service; zero when they do now, or when no target could accept it
    anyway. */
Duration
WaitForService(const ForwarderState& aState, ServiceId aService, TimePoint aNow)
{
  const auto targets = aState.mTargetsOfService.find(aService);
  const auto isLimited = [&](TargetKey aKey) {
    return aState.mTargets.at(aKey).mLimit.mPerSecond.has_value();
  };
  if (targets == aState.mTargetsOfService.end() ||
      std::none_of(targets->second.begin(), targets->second.end(), isLimited)) {
    return Duration::zero();
  }
  std::optional<Duration> shortest;
  for (const TargetKey key : targets->second) {
    const TargetState& target = aState.mTargets.at(key);
    if (IsConnectable(aState, target, aNow)) {
      const Duration wait = WaitForAllowance(target.mLimit, aNow);
      shortest = std::min(wait, shortest.value_or(wait));
    }
  }
  return shortest.value_or(Duration::zero());
}

} // namespace

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

std::optional<Duration>
WaitForLimits(const ForwarderState& aState,
              const std::vector<ServiceId>& aShards,
              std::size_t aMinShards,
              TimePoint aNow)
{
  std::vector<Duration> waits;
  for (const ServiceId shard : aShards) {
    const Duration wait = WaitForService(aState, shard, aNow);
    if (wait > Duration::zero()) {
      waits.push_back(wait);
    }
  }
  const std::size_t available = aShards.size() - waits.size();
  if (available >= aMinShards || waits.empty()) {
    return std::nullopt;
  }
  std::sort(waits.begin(), waits.end());
  return waits[std::min(aMinShards - available, waits.size()) - 1];
}

std::optional<Duration>
WaitForLimits(const ForwarderState& aState, const Route& aRoute, TimePoint aNow)
{
  std::vector<ServiceId> services;
  if (!aRoute.IsSearch()) {
    // A split request may only be sent to the part whose turn it is, which is
    // decided later.
    if (aRoute.mParts.size() == 1) {
      services.push_back(aRoute.mParts.front().mService);
    }
    return WaitForLimits(aState, services, services.size(), aNow);
  }
  std::copy_if(aRoute.mShards.begin(),
               aRoute.mShards.end(),
               std::back_inserter(services),
               [&](ServiceId aShard) { return IsOwnShard(aState, aShard); });
  const std::size_t maxMissing = MaxMissingShards(aState, aRoute);
  return WaitForLimits(aState,
                       services,
                       services.size() - std::min(services.size(), maxMissing),
                       aNow);
}

} // namespace wasabispread::forwarding
