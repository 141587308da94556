/*
 * Opens, keeps and closes connections to targets.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <cmath>

namespace wasabispread::forwarding {

namespace {

/** Time within which a connection must open: longer than a round trip between
    zones plus the wait for a slot. A target that takes longer is tried again
    later. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds(1000);
/** Share of the stated keep-alive time after which an idle connection is closed
    by this VM, so that no request is sent while the target closes it. */
constexpr double kUsableKeepAliveShare = 0.8;
/** Weight of one outcome in the share of failures. */
constexpr double kOutcomeGain = 0.25;
/** Share of a target's connections for the owners of its shard, one in each
    zone. The rest is for VMs that query the shard in place of an owner. */
constexpr double kShardOwnersShare = 0.6;
/** Time after which a failure counts half. */
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
  unsigned maxConnections = 1;
  if (aState.mConfiguration != nullptr) {
    const auto& services = aState.mConfiguration->mServices;
    const auto service = services.find(aTarget.mRecord.mService);
    maxConnections =
      service == services.end() ? 1 : service->second.mMaxConnections;
  }
  const ServiceId service = aTarget.mRecord.mService;
  if (aState.mShardOwnership.HasOwner(service) &&
      !IsOwnShard(aState, service)) {
    return 1;
  }
  const double vms =
    aState.mShardOwnership.HasOwner(service)
      ? static_cast<double>(aState.mShardOwnership.mZoneCount) /
          kShardOwnersShare
      : static_cast<double>(FleetSize(aState, aNow));
  const double share =
    kUsableConnectionShare * static_cast<double>(maxConnections) / vms;
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

bool
HasUsableIdle(ForwarderState& aState,
              TargetState& aTarget,
              TimePoint aNow,
              ForwarderEffects& aEffects)
{
  const bool mayReconnect = aNow >= aTarget.mConnectAfter;
  std::vector<ConnectionId> overdue;
  for (const ConnectionId id : aTarget.mIdle) {
    const TargetConnection& connection = aState.mConnections.at(id);
    if (aNow >=
        (mayReconnect ? connection.mIdleUntil : connection.mKeptUntil)) {
      overdue.push_back(id);
    }
  }
  for (const ConnectionId id : overdue) {
    CloseTargetConnection(aState, id, aEffects);
  }
  if (!overdue.empty()) {
    EnsureConnection(aState, aTarget, aNow, aEffects);
  }
  return !aTarget.mIdle.empty();
}

void
CountSend(TargetState& aTarget, TimePoint aNow)
{
  TakeAllowance(aTarget.mLimit, aNow);
  TakeAllowance(aTarget.mColdLimit, aNow);
  CountSent(aTarget.mSendRate, aTarget.mPace, aNow);
}

void
EnsureConnection(ForwarderState& aState,
                 TargetState& aTarget,
                 TimePoint aNow,
                 ForwarderEffects& aEffects)
{
  const bool isWanted =
    aNow >= aState.mStarted + kStartupSettleTime &&
    aTarget.mConnections.empty() && aTarget.mIsAssigned &&
    WaitForPause(aTarget, aNow) == Duration::zero() &&
    !IsEvacuated(aState, aTarget.mRecord.mZone) &&
    aState.mRoutedServices.contains(aTarget.mRecord.mService);
  if (isWanted && MayConnect(aState, aTarget, aNow)) {
    OpenTargetConnection(aState, aTarget, aNow, aEffects);
  }
}

void
OpenForWaiting(ForwarderState& aState,
               TargetState& aTarget,
               TimePoint aNow,
               ForwarderEffects& aEffects)
{
  const auto opening = aTarget.mConnections.size() - aTarget.BusyCount(aState) -
                       aTarget.mIdle.size();
  if (opening < aTarget.mWaiting.size() && MayConnect(aState, aTarget, aNow)) {
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
  MoveWaitingSubRequests(aState, key, aNow, aEffects);
  RemoveIfUnused(aState, key);
}

void
RemoveIfUnused(ForwarderState& aState, TargetKey aTarget)
{
  const auto found = aState.mTargets.find(aTarget);
  if (found == aState.mTargets.end() || !found->second.mIsRetired ||
      !found->second.mConnections.empty()) {
    return;
  }
  const auto instance =
    aState.mTargetOfInstance.find(found->second.mRecord.mInstance);
  if (instance != aState.mTargetOfInstance.end() &&
      instance->second == aTarget) {
    aState.mTargetOfInstance.erase(instance);
  }
  aState.mTargets.erase(found);
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
  connection.mSubRequest = SubRequestRef{};
  connection.mAbandonAt = TimePoint::max();
  connection.mIdleUntil = TimePoint::max();
  connection.mKeptUntil = TimePoint::max();
  if (aKeepAlive) {
    const auto use = Duration(static_cast<std::int64_t>(
      kUsableKeepAliveShare * static_cast<double>(aKeepAlive->count())));
    connection.mIdleUntil = aNow + use;
    connection.mKeptUntil = aNow + *aKeepAlive;
    aState.mTimers.Arm(
      connection.mIdleUntil, ForwarderTimer::kIdle, aConnection.Value());
  }
  target.mIdle.push_back(aConnection);
}

void
DropConnection(ForwarderState& aState, ConnectionId aConnection)
{
  const auto found = aState.mConnections.find(aConnection);
  if (found == aState.mConnections.end()) {
    return;
  }
  TargetState& target = aState.mTargets.at(found->second.mTarget);
  RemoveId(target.mConnections, aConnection);
  RemoveId(target.mIdle, aConnection);
  aState.mConnections.erase(found);
}

void
RecordOutcome(TargetState& aTarget, bool aIsFailure, TimePoint aNow)
{
  const double share = FailureShare(aTarget, aNow);
  aTarget.mFailureShare = share + kOutcomeGain * ((aIsFailure ? 1 : 0) - share);
  aTarget.mFailureShareTime = aNow;
}

double
FailureShare(const TargetState& aTarget, TimePoint aNow)
{
  if (aTarget.mFailureShare == 0) {
    return 0;
  }
  const double halfLives =
    std::chrono::duration<double>(aNow - aTarget.mFailureShareTime) /
    std::chrono::duration<double>(kFailureHalfLife);
  return aTarget.mFailureShare * std::exp2(-halfLives);
}

std::size_t
CountSlowUnderLoad(const ForwarderState& aState, TimePoint aNow)
{
  return static_cast<std::size_t>(std::count_if(
    aState.mTargets.begin(), aState.mTargets.end(), [&](const auto& aEntry) {
      const TargetState& target = aEntry.second;
      return GoodConcurrency(target.mCapacity, target.mRecord.mSlots, aNow) <
             std::min<std::size_t>(target.mRecord.mSlots, kLoadLevels);
    }));
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
