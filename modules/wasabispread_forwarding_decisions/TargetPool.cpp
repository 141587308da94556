/*
 * Opening, keeping and closing connections to targets.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <cmath>

namespace wasabispread::forwarding {

namespace {

/** Longer than a round trip between zones plus the wait for a slot; a target
    that takes longer is tried again later. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds(1000);
/** The part of the stated keep-alive time after which an idle connection is
    closed here, so that no request meets the target's own close. */
constexpr double kKeepAliveInUse = 0.8;
/** How fast a failure fades, and how much of the share one outcome is. */
constexpr double kOutcomeGain = 0.25;
/** The part of a target's connections for the owners of its shard, one in each
    zone; the rest is for VMs that stand in for an owner. */
constexpr double kOwnersPart = 0.6;
constexpr Duration kFailureHalfLife = std::chrono::milliseconds(1500);

void
RemoveId(std::vector<ConnectionId>& aIds, ConnectionId aId)
{
  aIds.erase(std::remove(aIds.begin(), aIds.end(), aId), aIds.end());
}

} // namespace

std::size_t
TargetState::BusyCount(const ForwarderState& aState) const
{
  return static_cast<std::size_t>(std::count_if(
    mConnections.begin(), mConnections.end(), [&](ConnectionId aId) {
      return aState.mConnections.at(aId).mStatus == ConnectionStatus::kBusy;
    }));
}

std::size_t
ConnectionShare(const ForwarderState& aState,
                const TargetState& aTarget,
                TimePoint aNow)
{
  unsigned most = 1;
  if (aState.mConfiguration != nullptr) {
    const auto& services = aState.mConfiguration->mServices;
    const auto service = services.find(aTarget.mRecord.mService);
    most = service == services.end() ? 1 : service->second.mMaxConnections;
  }
  const ServiceId service = aTarget.mRecord.mService;
  if (aState.mShardOwnership.Covers(service) && !IsOwn(aState, service)) {
    return 1;
  }
  const double vms =
    aState.mShardOwnership.Covers(service)
      ? static_cast<double>(aState.mShardOwnership.mZones) / kOwnersPart
      : static_cast<double>(FleetSize(aState, aNow));
  const double share = kConnectionsInUse * static_cast<double>(most) / vms;
  return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

bool
MayConnect(const ForwarderState& aState,
           const TargetState& aTarget,
           TimePoint aNow)
{
  return !aTarget.mIsRetired && aNow >= aTarget.mConnectAfter &&
         aTarget.mConnections.size() < ConnectionShare(aState, aTarget, aNow);
}

void
OpenTargetConnection(ForwarderState& aState,
                     TargetState& aTarget,
                     TimePoint aNow,
                     ForwarderEffects& aEffects)
{
  const ConnectionId id(aState.mNextConnection++);
  TargetConnection connection;
  connection.mId = id;
  connection.mTarget = aTarget.mKey;
  connection.mSent = aNow;
  aState.mConnections.emplace(id, connection);
  aTarget.mConnections.push_back(id);
  ++aState.mCounters.mConnectionsOpened;
  aEffects.push_back(
    OpenConnection{ id, aTarget.mRecord.mAddress, kConnectTimeout });
}

void
CloseTargetConnection(ForwarderState& aState,
                      ConnectionId aConnection,
                      ForwarderEffects& aEffects)
{
  aEffects.push_back(CloseConnection{ aConnection });
  DropConnection(aState, aConnection);
}

void
KeepWarm(ForwarderState& aState,
         TargetState& aTarget,
         TimePoint aNow,
         ForwarderEffects& aEffects)
{
  const bool isWanted =
    aNow >= aState.mStarted + kFleetSettleTime &&
    aTarget.mConnections.empty() && aTarget.mIsAssigned &&
    aState.mRoutedServices.contains(aTarget.mRecord.mService);
  if (isWanted && MayConnect(aState, aTarget, aNow)) {
    OpenTargetConnection(aState, aTarget, aNow, aEffects);
  }
}

void
RetireTarget(ForwarderState& aState,
             TargetState& aTarget,
             TimePoint aNow,
             ForwarderEffects& aEffects)
{
  const TargetKey key = aTarget.mKey;
  aTarget.mIsRetired = true;
  auto& ofService = aState.mTargetsOfService[aTarget.mRecord.mService];
  ofService.erase(std::remove(ofService.begin(), ofService.end(), key),
                  ofService.end());
  const std::vector<ConnectionId> connections = aTarget.mConnections;
  for (const ConnectionId id : connections) {
    if (aState.mConnections.at(id).mStatus != ConnectionStatus::kBusy) {
      CloseTargetConnection(aState, id, aEffects);
    }
  }
  MoveWaiting(aState, key, aNow, aEffects);
  ForgetIfUnused(aState, key);
}

void
ForgetIfUnused(ForwarderState& aState, TargetKey aTarget)
{
  const auto place = aState.mTargets.find(aTarget);
  if (place == aState.mTargets.end() || !place->second.mIsRetired ||
      !place->second.mConnections.empty()) {
    return;
  }
  const auto instance =
    aState.mTargetOfInstance.find(place->second.mRecord.mInstance);
  if (instance != aState.mTargetOfInstance.end() &&
      instance->second == aTarget) {
    aState.mTargetOfInstance.erase(instance);
  }
  aState.mTargets.erase(place);
}

void
ReleaseConnection(ForwarderState& aState,
                  ConnectionId aConnection,
                  bool aIsReusable,
                  std::optional<Duration> aKeepAlive,
                  TimePoint aNow,
                  ForwarderEffects& aEffects)
{
  TargetConnection& connection = aState.mConnections.at(aConnection);
  TargetState& target = aState.mTargets.at(connection.mTarget);
  if (!aIsReusable || target.mIsRetired) {
    CloseTargetConnection(aState, aConnection, aEffects);
    return;
  }
  connection.mStatus = ConnectionStatus::kIdle;
  connection.mLeg = LegRef{};
  connection.mAbandonAt = TimePoint::max();
  connection.mIdleUntil = TimePoint::max();
  if (aKeepAlive) {
    const auto use = Duration(static_cast<std::int64_t>(
      kKeepAliveInUse * static_cast<double>(aKeepAlive->count())));
    connection.mIdleUntil = aNow + use;
    aState.mTimers.Arm(
      connection.mIdleUntil, ForwarderTimer::kIdle, aConnection.Value());
  }
  target.mIdle.push_back(aConnection);
}

void
DropConnection(ForwarderState& aState, ConnectionId aConnection)
{
  const auto place = aState.mConnections.find(aConnection);
  if (place == aState.mConnections.end()) {
    return;
  }
  TargetState& target = aState.mTargets.at(place->second.mTarget);
  RemoveId(target.mConnections, aConnection);
  RemoveId(target.mIdle, aConnection);
  aState.mConnections.erase(place);
}

void
ObserveOutcome(TargetState& aTarget, bool aIsFailure, TimePoint aNow)
{
  const double share = FailureShare(aTarget, aNow);
  aTarget.mFailureShare = share + kOutcomeGain * ((aIsFailure ? 1 : 0) - share);
  aTarget.mFailureSeen = aNow;
}

double
FailureShare(const TargetState& aTarget, TimePoint aNow)
{
  if (aTarget.mFailureShare == 0) {
    return 0;
  }
  const double halfLives =
    std::chrono::duration<double>(aNow - aTarget.mFailureSeen) /
    std::chrono::duration<double>(kFailureHalfLife);
  return aTarget.mFailureShare * std::exp2(-halfLives);
}

LatencyEstimate&
LatencyOf(TargetState& aTarget, RouteId aRoute)
{
  for (RouteLatency& latency : aTarget.mLatencies) {
    if (latency.mRoute == aRoute) {
      return latency.mEstimate;
    }
  }
  aTarget.mLatencies.push_back(RouteLatency{ aRoute, {} });
  return aTarget.mLatencies.back().mEstimate;
}

const LatencyEstimate*
FindLatency(const TargetState& aTarget, RouteId aRoute)
{
  for (const RouteLatency& latency : aTarget.mLatencies) {
    if (latency.mRoute == aRoute) {
      return &latency.mEstimate;
    }
  }
  return nullptr;
}

} // namespace wasabispread::forwarding
