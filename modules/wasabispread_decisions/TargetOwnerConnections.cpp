/*
 * The target owner's connections. They are opened when attempts wait, kept
 * within the share, and closed when idle, broken or without a late reply for
 * too long.
 */
#include "TargetOwnerParts.h"
#include "wasabispread_decisions.h"

#include <algorithm>
#include <cassert>
#include <map>

namespace wasabispread {

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kIdleTimeout = std::chrono::seconds(30);
/** How long the accepted attempts of a coordinator that is no longer a member
    are remembered. */
constexpr Duration kCoordinatorMemory = std::chrono::minutes(5);

void
ArmIdleTimer(VmState& aState,
             TargetId aTarget,
             TargetPool& aPool,
             TimePoint aNow)
{
  if (!aPool.mHasIdleTimer) {
    aPool.mHasIdleTimer = true;
    aState.mTimers.Arm(
      aNow + kIdleTimeout, TimerKind::kIdleConnections, aTarget.Value());
  }
}

void
RemoveIdle(TargetPool& aPool, ConnectionId aConnection)
{
  std::erase_if(aPool.mIdle, [aConnection](const IdleConnection& aIdle) {
    return aIdle.mConnection == aConnection;
  });
}

/** Closes idle connections until the pool is within its share. */
void
TrimPool(VmState& aState, TargetPool& aPool, Effects& aEffects)
{
  while (aPool.Connections() > aPool.mShare && !aPool.mIdle.empty()) {
    CloseConnection(aState, aPool.mIdle.front().mConnection, aEffects);
  }
}

bool
IsUnused(const TargetPool& aPool)
{
  return aPool.Connections() == 0 && aPool.mWaiting == 0;
}

/** Updates the share of a target's pool. It becomes 0 if the target is no
    longer in force or has another address. */
void
UpdateShare(VmState& aState,
            TargetId aTarget,
            TargetPool& aPool,
            TimePoint aNow)
{
  const Deployment& deployment = *aState.mConfiguration.mDeployment;
  const Target* target = deployment.FindTarget(aTarget);
  if (target == nullptr || target->mAddress != aPool.mAddress) {
    aPool.mShare = 0;
    return;
  }
  FindPool(aState, aTarget, aNow);
}

/** Logs the changes of shares, one record per group. */
void
LogShares(const VmState& aState,
          const std::map<std::uint32_t, ShareChanged>& aChanges,
          Effects& aEffects)
{
  for (const auto& [position, change] : aChanges) {
    ShareChanged record = change;
    const TargetGroup& group = aState.mConfiguration.mGroups[position];
    record.mService = group.mService;
    record.mZone = group.mZone;
    record.mGroup = group.mId;
    aEffects.push_back(LogDecision{ std::move(record) });
  }
}

void
ForgetCoordinators(VmState& aState, TimePoint aNow)
{
  std::erase_if(
    aState.mTargetOwner.mCoordinators, [&](const auto& aCoordinator) {
      return aCoordinator.second.mLastHeard + kCoordinatorMemory < aNow &&
             FindMember(aState.mMembership, aCoordinator.first) == nullptr;
    });
}

} // namespace

TargetPool*
FindPool(VmState& aState, TargetId aTarget, TimePoint aNow)
{
  const ConfigurationState& configuration = aState.mConfiguration;
  if (configuration.mDeployment == nullptr) {
    return nullptr;
  }
  const auto found = configuration.mDeployment->mTargetIndex.find(aTarget);
  if (found == configuration.mDeployment->mTargetIndex.end()) {
    return nullptr;
  }
  const Target& target = configuration.mDeployment->mTargets[found->second];
  const std::uint32_t group = configuration.mGroupOfTarget[found->second];
  TargetPool& pool = aState.mTargetOwner.mPools[aTarget];
  if (pool.mAddress != target.mAddress) {
    pool.mAddress = target.mAddress;
  }
  pool.mShare = OwnConnectionShare(
    aState, group, configuration.mGroups[group].mConnectionCap, aNow);
  return &pool;
}

void
CloseConnection(VmState& aState, ConnectionId aConnection, Effects& aEffects)
{
  const auto found = aState.mTargetOwner.mConnections.find(aConnection);
  assert(found != aState.mTargetOwner.mConnections.end());
  TargetPool& pool = aState.mTargetOwner.mPools.at(found->second.mTarget);
  const ConnectionUse use = found->second.mUse;
  --(use == ConnectionUse::kOpening ? pool.mOpening : pool.mOpened);
  if (use == ConnectionUse::kRequest) {
    --pool.mBusy;
  }
  if (use == ConnectionUse::kIdle) {
    RemoveIdle(pool, aConnection);
  }
  aState.mTargetOwner.mConnections.erase(found);
  aEffects.push_back(CloseTargetConnection{ aConnection });
}

void
ReturnConnection(VmState& aState,
                 ConnectionId aConnection,
                 TimePoint aNow,
                 Effects& aEffects)
{
  TargetConnection& connection =
    aState.mTargetOwner.mConnections.at(aConnection);
  const TargetId target = connection.mTarget;
  TargetPool& pool = aState.mTargetOwner.mPools.at(target);
  if (connection.mUse == ConnectionUse::kRequest) {
    --pool.mBusy;
  }
  connection.mUse = ConnectionUse::kIdle;
  connection.mLateReplyDeadline = TimePoint::max();
  pool.mIdle.push_back(IdleConnection{ aConnection, aNow });
  ArmIdleTimer(aState, target, pool, aNow);
  const bool isStopping = aNow >= aState.mReleasingFrom && pool.mWaiting == 0;
  if (isStopping || pool.Connections() > pool.mShare) {
    CloseConnection(aState, aConnection, aEffects);
  }
}

void
OpenConnection(VmState& aState,
               TargetId aTarget,
               TargetPool& aPool,
               Effects& aEffects)
{
  const ConnectionId connection(aState.mTargetOwner.mNextConnection++);
  TargetConnection opening;
  opening.mTarget = aTarget;
  aState.mTargetOwner.mConnections.emplace(connection, opening);
  ++aPool.mOpening;
  ++aState.mCounters.mTargetConnectionsOpened;
  aEffects.push_back(
    OpenTargetConnection{ connection, aPool.mAddress, kConnectTimeout });
}

void
AwaitLateReply(VmState& aState, const PendingAttempt& aItem, TimePoint aNow)
{
  if (!aItem.mSent) {
    return;
  }
  const auto found = aState.mTargetOwner.mConnections.find(aItem.mConnection);
  if (found != aState.mTargetOwner.mConnections.end()) {
    found->second.mLateReplyDeadline = aNow + kLateReplyWait;
    aState.mTimers.Arm(found->second.mLateReplyDeadline,
                       TimerKind::kLateReplyDeadline,
                       aItem.mConnection.Value());
  }
}

void
CancelAtTarget(VmState& aState,
               const AttemptId& aAttempt,
               TargetId aTarget,
               TimePoint aNow,
               Effects& aEffects)
{
  TargetPool& pool = aState.mTargetOwner.mPools.at(aTarget);
  if (pool.mIdle.empty() || pool.mWaiting != 0) {
    return;
  }
  const ConnectionId id = pool.mIdle.back().mConnection;
  pool.mIdle.pop_back();
  TargetConnection& connection = aState.mTargetOwner.mConnections.at(id);
  connection.mUse = ConnectionUse::kCancel;
  connection.mAttempt = aAttempt;
  connection.mLateReplyDeadline = aNow + kLateReplyWait;
  aState.mTimers.Arm(
    connection.mLateReplyDeadline, TimerKind::kLateReplyDeadline, id.Value());
  ++aState.mCounters.mTargetCancels;
  aEffects.push_back(SendCancelToTarget{ id, aAttempt });
}

void
HandleTargetConnected(VmState& aState,
                      const TargetConnected& aEvent,
                      TimePoint aNow,
                      Effects& aEffects)
{
  const auto found = aState.mTargetOwner.mConnections.find(aEvent.mConnection);
  if (found == aState.mTargetOwner.mConnections.end()) {
    return;
  }
  assert(found->second.mUse == ConnectionUse::kOpening);
  const TargetId target = found->second.mTarget;
  TargetPool& pool = aState.mTargetOwner.mPools.at(target);
  --pool.mOpening;
  ++pool.mOpened;
  pool.mConnectFailures = 0;
  ReturnConnection(aState, aEvent.mConnection, aNow, aEffects);
  ServePool(aState, target, aNow, aEffects);
}

void
HandleTargetConnectFailed(VmState& aState,
                          const TargetConnectFailed& aEvent,
                          TimePoint aNow,
                          Effects& aEffects)
{
  const auto found = aState.mTargetOwner.mConnections.find(aEvent.mConnection);
  if (found == aState.mTargetOwner.mConnections.end()) {
    return;
  }
  ++aState.mCounters.mTargetConnectionsFailed;
  const TargetId target = found->second.mTarget;
  TargetPool& pool = aState.mTargetOwner.mPools.at(target);
  --pool.mOpening;
  aState.mTargetOwner.mConnections.erase(found);
  if (pool.mConnectAfter <= aNow) {
    ++pool.mConnectFailures;
    pool.mConnectAfter =
      aNow + RetryDelay(pool.mConnectFailures, aState.mRandom);
    aState.mTimers.Arm(
      pool.mConnectAfter, TimerKind::kReconnect, target.Value());
  }
  if (pool.mOpened != 0) {
    return;
  }
  pool.mLimit = ConcurrencyLimit{};
  RefuseQueue(aState, pool, MissingReason::kTargetUnreachable, aNow, aEffects);
}

void
HandleTargetConnectionLost(VmState& aState,
                           const TargetConnectionLost& aEvent,
                           TimePoint aNow,
                           Effects& aEffects)
{
  const auto found = aState.mTargetOwner.mConnections.find(aEvent.mConnection);
  if (found == aState.mTargetOwner.mConnections.end()) {
    return;
  }
  ++aState.mCounters.mTargetConnectionsLost;
  const TargetConnection connection = found->second;
  CloseConnection(aState, aEvent.mConnection, aEffects);
  const bool hasItem = connection.mUse == ConnectionUse::kRequest &&
                       aState.mTargetOwner.mItems.contains(connection.mAttempt);
  if (hasItem) {
    ItemReply reply;
    reply.mOutcome = aEvent.mRequestWritten ? AttemptOutcome::kUnknown
                                            : AttemptOutcome::kNotRun;
    reply.mReason = MissingReason::kTargetUnreachable;
    EndAttempt(aState, connection.mAttempt, std::move(reply), aNow, aEffects);
  }
  ServePool(aState, connection.mTarget, aNow, aEffects);
}

void
HandleLateReplyDeadline(VmState& aState,
                        ConnectionId aConnection,
                        TimePoint aNow,
                        Effects& aEffects)
{
  const auto found = aState.mTargetOwner.mConnections.find(aConnection);
  if (found == aState.mTargetOwner.mConnections.end() ||
      found->second.mLateReplyDeadline > aNow) {
    return;
  }
  const TargetId target = found->second.mTarget;
  CloseConnection(aState, aConnection, aEffects);
  ServePool(aState, target, aNow, aEffects);
}

void
HandleReconnect(VmState& aState,
                TargetId aTarget,
                TimePoint aNow,
                Effects& aEffects)
{
  if (aState.mTargetOwner.mPools.contains(aTarget)) {
    ServePool(aState, aTarget, aNow, aEffects);
  }
}

void
HandleIdleConnections(VmState& aState,
                      TargetId aTarget,
                      TimePoint aNow,
                      Effects& aEffects)
{
  const auto found = aState.mTargetOwner.mPools.find(aTarget);
  if (found == aState.mTargetOwner.mPools.end()) {
    return;
  }
  TargetPool& pool = found->second;
  pool.mHasIdleTimer = false;
  while (!pool.mIdle.empty() &&
         pool.mIdle.front().mSince + kIdleTimeout <= aNow) {
    ++aState.mCounters.mTargetConnectionsClosedIdle;
    CloseConnection(aState, pool.mIdle.front().mConnection, aEffects);
  }
  if (IsUnused(pool)) {
    aState.mTargetOwner.mPools.erase(found);
    return;
  }
  ArmIdleTimer(aState, aTarget, pool, aNow);
}

void
ApplyShares(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  if (aState.mConfiguration.mDeployment == nullptr) {
    return;
  }
  const ConfigurationState& configuration = aState.mConfiguration;
  std::map<std::uint32_t, ShareChanged> changes;
  std::vector<TargetId> targets;
  for (const auto& [id, pool] : aState.mTargetOwner.mPools) {
    targets.push_back(id);
  }
  // The order of the hash table depends on its history; sorted, the effects are
  // the same in each run.
  std::sort(targets.begin(), targets.end());
  for (const TargetId id : targets) {
    TargetPool& pool = aState.mTargetOwner.mPools.at(id);
    const std::uint32_t previous = pool.mShare;
    UpdateShare(aState, id, pool, aNow);
    TrimPool(aState, pool, aEffects);
    const auto found = configuration.mDeployment->mTargetIndex.find(id);
    if (found == configuration.mDeployment->mTargetIndex.end()) {
      RefuseQueue(aState, pool, MissingReason::kUnknownTarget, aNow, aEffects);
      if (IsUnused(pool)) {
        aState.mTargetOwner.mPools.erase(id);
      }
      continue;
    }
    if (previous != pool.mShare) {
      changes[configuration.mGroupOfTarget[found->second]] =
        ShareChanged{ {}, {}, 0, previous, pool.mShare };
      ServePool(aState, id, aNow, aEffects);
    }
  }
  LogShares(aState, changes, aEffects);
  ForgetCoordinators(aState, aNow);
}

void
ReleaseIdleConnections(VmState& aState, Effects& aEffects)
{
  std::vector<ConnectionId> idle;
  for (const auto& [id, connection] : aState.mTargetOwner.mConnections) {
    if (connection.mUse == ConnectionUse::kIdle) {
      idle.push_back(id);
    }
  }
  std::sort(idle.begin(), idle.end());
  for (const ConnectionId connection : idle) {
    CloseConnection(aState, connection, aEffects);
  }
}

void
ReconcilePools(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  ResetRankings(aState);
  ApplyShares(aState, aNow, aEffects);
}

} // namespace wasabispread
