/*
 * Detects isolation from the state of the connections to targets.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** A target whose reply is overdue by this much does not count as reached:
    longer than a pause, shorter than the load balancer needs to notice. */
constexpr Duration kUnreachedAfter = std::chrono::milliseconds(500);

bool
IsReached(const ForwarderState& aState,
          const TargetState& aTarget,
          TimePoint aNow)
{
  const bool isConnected = std::any_of(
    aTarget.mConnections.begin(),
    aTarget.mConnections.end(),
    [&](ConnectionId aId) {
      return aState.mConnections.at(aId).mStatus != ConnectionStatus::kOpening;
    });
  return isConnected && OverdueBy(aState, aTarget, aNow) < kUnreachedAfter;
}

/** The VM may be isolated when nothing in any other zone has answered for this
    long after a request was sent there: longer than the pause of one target,
    and with targets in several zones unlikely by chance. */
constexpr Duration kIsolationSilence = std::chrono::milliseconds(500);

} // namespace

bool
CanServe(const ForwarderState& aState, ServiceId aService, TimePoint aNow)
{
  const auto targets = aState.mTargetsOfService.find(aService);
  return targets != aState.mTargetsOfService.end() &&
         std::any_of(
           targets->second.begin(), targets->second.end(), [&](TargetKey aKey) {
             const TargetState& target = aState.mTargets.at(aKey);
             // A connection that is being opened after a failure may fail
             // again, so it does not count.
             const bool hasFailed = target.mConnectBackoff > Duration::zero();
             const bool isPaused =
               WaitForPause(target, aNow) > Duration::zero();
             return isPaused || IsReached(aState, target, aNow) ||
                    (!hasFailed && CanAcceptRequest(aState, target, aNow));
           });
}

bool
CanServe(const ForwarderState& aState, const Route& aRoute, TimePoint aNow)
{
  if (!aRoute.IsSearch()) {
    return std::any_of(
      aRoute.mParts.begin(), aRoute.mParts.end(), [&](const SplitPart& aPart) {
        return CanServe(aState, aPart.mService, aNow);
      });
  }
  const bool areOthersSilent = AreOtherZonesSilent(aState, aNow);
  std::size_t own = 0;
  std::size_t served = 0;
  for (const ServiceId shard : aRoute.mShards) {
    if (IsOwnedInOtherZone(aState, shard)) {
      ++own;
      served += areOthersSilent ? 0 : 1;
    } else if (IsOwnShard(aState, shard)) {
      ++own;
      served += CanServe(aState, shard, aNow) ? 1 : 0;
    }
  }
  return own == 0 ||
         (served > 0 && static_cast<double>(served) >=
                          aRoute.mMinCoverage * static_cast<double>(own));
}

void
RecordSent(ForwarderState& aState, const ZoneName& aZone, TimePoint aNow)
{
  if (aZone != aState.mPolicy.mZone) {
    aState.mOtherZonesSilentSince =
      std::min(aState.mOtherZonesSilentSince, aNow);
  }
}

void
RecordReceived(ForwarderState& aState, const ZoneName& aZone)
{
  if (aZone != aState.mPolicy.mZone) {
    aState.mOtherZonesSilentSince = TimePoint::max();
  }
}

bool
AreOtherZonesSilent(const ForwarderState& aState, TimePoint aNow)
{
  return aState.mOtherZonesSilentSince != TimePoint::max() &&
         aNow - aState.mOtherZonesSilentSince > kIsolationSilence;
}

bool
IsIsolated(const ForwarderState& aState, TimePoint aNow)
{
  if (aNow < aState.mShardOwnership.mIsolatedUntil) {
    return true;
  }
  if (!AreOtherZonesSilent(aState, aNow) || aState.mConfiguration == nullptr) {
    return false;
  }
  const auto& routes = aState.mConfiguration->mRoutes;
  return std::any_of(routes.begin(), routes.end(), [&](const Route& aRoute) {
    return aRoute.IsSearch() && !CanServe(aState, aRoute, aNow);
  });
}

} // namespace wasabispread::forwarding
