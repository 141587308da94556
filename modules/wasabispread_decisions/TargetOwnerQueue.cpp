/*
 * The target owner's queues: which attempts are admitted, and when they are
 * sent or time out.
 */
#include "TargetOwnerParts.h"
#include "wasabispread_decisions.h"

#include <algorithm>
#include <cassert>
#include <optional>

namespace wasabispread {

namespace {

TargetRequest
MakeTargetRequest(const PendingBatch& aBatch,
                  const PendingAttempt& aItem,
                  const AttemptId& aAttempt,
                  TimePoint aNow)
{
  TargetRequest request;
  request.mRequestId = aBatch.mRequest.mRequestId;
  request.mAttempt = aAttempt;
  request.mOperation = aBatch.mRequest.mOperation;
  request.mShard = aItem.mShard;
  request.mSnapshot = aBatch.mRequest.mSnapshot;
  request.mKey = aBatch.mRequest.mKey;
  request.mBody = aBatch.mRequest.mBody;
  request.mBudget = aBatch.mDeadline - aNow;
  return request;
}

/** Removes the first queued attempt that is still wanted and can still be
    answered in time. Refuses those before it that cannot. */
std::optional<AttemptId>
PopQueued(VmState& aState, TargetPool& aPool, TimePoint aNow, Effects& aEffects)
{
  const Duration fastest(
    static_cast<std::int64_t>(aPool.mLimit.mLastMedian / 4));
  while (!aPool.mQueue.empty()) {
    const AttemptId attempt = aPool.mQueue.front();
    aPool.mQueue.pop_front();
    const auto found = aState.mTargetOwner.mItems.find(attempt);
    if (found == aState.mTargetOwner.mItems.end()) {
      continue;
    }
    // After a pause of the process the batch's deadline may be long past.
    const TimePoint deadline =
      aState.mTargetOwner.mBatches.at(found->second.mBatch).mDeadline;
    if (deadline <= aNow + fastest) {
      RefuseAttempt(aState, attempt, MissingReason::kTimeout, aNow, aEffects);
      continue;
    }
    found->second.mIsQueued = false;
    --aPool.mWaiting;
    return attempt;
  }
  return std::nullopt;
}

/** Sends an attempt on the connection that was used last. */
void
SendAttempt(VmState& aState,
            const AttemptId& aAttempt,
            TargetPool& aPool,
            TimePoint aNow,
            Effects& aEffects)
{
  const ConnectionId connectionId = aPool.mIdle.back().mConnection;
  aPool.mIdle.pop_back();
  TargetConnection& connection =
    aState.mTargetOwner.mConnections.at(connectionId);
  connection.mUse = ConnectionUse::kRequest;
  connection.mAttempt = aAttempt;
  ++aPool.mBusy;
  PendingAttempt& item = aState.mTargetOwner.mItems.at(aAttempt);
  item.mSent = true;
  item.mSentAt = aNow;
  item.mConnection = connectionId;
  ++aState.mCounters.mTargetRequests;
  const PendingBatch& batch = aState.mTargetOwner.mBatches.at(item.mBatch);
  aEffects.push_back(SendToTarget{
    connectionId, MakeTargetRequest(batch, item, aAttempt, aNow) });
}

/** How many requests may currently be in flight to a target. */
std::uint32_t
InFlightAllowed(const TargetPool& aPool, TimePoint aNow)
{
  if (aPool.mSuspendedUntil > aNow) {
    return 0;
  }
  if (aPool.mIsSuspended) {
    return 1;
  }
  return std::min(AllowedInFlight(aPool.mLimit), aPool.mShare);
}

/** Why an attempt must be refused, or nothing when it can be queued. */
std::optional<MissingReason>
ReasonToRefuse(const VmState& aState,
               const PendingBatch& aBatch,
               const TargetPool* aPool,
               double aDraw,
               TimePoint aNow)
{
  // Before that time a stopping VM still accepts attempts, because other VMs
  // need time to take over as target owners.
  if (aNow >= aState.mRefusingFrom && aBatch.mCoordinator != aState.mSelf.mId) {
    return MissingReason::kStopping;
  }
  if (aBatch.mDeadline <= aNow) {
    return MissingReason::kTimeout;
  }
  if (aPool == nullptr) {
    return MissingReason::kUnknownTarget;
  }
  if (aPool->mShare == 0) {
    return MissingReason::kNoOwner;
  }
  const std::uint32_t allowed = InFlightAllowed(*aPool, aNow);
  const bool isSuspended =
    allowed == 0 ||
    (aPool->mIsSuspended && aPool->mBusy + aPool->mWaiting != 0);
  if (isSuspended) {
    return MissingReason::kDraining;
  }
  const AdmissionLoad load{ aPool->mWaiting, allowed, aPool->mServiceTime };
  if (!Admits(load, aBatch.mDeadline - aNow, aDraw)) {
    return MissingReason::kOverloaded;
  }
  return std::nullopt;
}

/** The record of a coordinator's attempts, created on first use. Returns
    nullptr when the batch is from an earlier incarnation of the coordinator. */
CoordinatorRecord*
FindCoordinatorRecord(TargetOwnerState& aOwner,
                      VmId aCoordinator,
                      Incarnation aIncarnation,
                      TimePoint aNow)
{
  CoordinatorRecord& record = aOwner.mCoordinators[aCoordinator];
  if (aIncarnation < record.mIncarnation) {
    return nullptr;
  }
  if (aIncarnation > record.mIncarnation) {
    record = CoordinatorRecord{};
    record.mIncarnation = aIncarnation;
  }
  record.mLastHeard = aNow;
  return &record;
}

/** Queues one attempt, or refuses it. */
void
AdmitAttempt(VmState& aState,
             BatchId aBatchId,
             const BatchItem& aItem,
             double aDraw,
             TimePoint aNow,
             Effects& aEffects)
{
  PendingBatch& batch = aState.mTargetOwner.mBatches.at(aBatchId);
  const AttemptId attempt{ batch.mCoordinator,
                           batch.mRequest.mIncarnation,
                           aItem.mSequence };
  PendingAttempt pending;
  pending.mBatch = aBatchId;
  pending.mTarget = aItem.mTarget;
  pending.mShard = aItem.mShard;
  const auto added = aState.mTargetOwner.mItems.emplace(attempt, pending).first;
  ++batch.mPendingItems;
  TargetPool* pool = FindPool(aState, aItem.mTarget, aNow);
  if (const auto reason = ReasonToRefuse(aState, batch, pool, aDraw, aNow)) {
    RefuseAttempt(aState, attempt, *reason, aNow, aEffects);
    return;
  }
  added->second.mIsQueued = true;
  pool->mQueue.push_back(attempt);
  ++pool->mWaiting;
  ServePool(aState, aItem.mTarget, aNow, aEffects);
}

/** Replies to a coordinator that probes whether this VM can be reached. */
void
AnswerOwnerProbe(VmState& aState,
                 VmId aCoordinator,
                 const Endpoint& aCoordinatorAddress,
                 Incarnation aIncarnation,
                 Effects& aEffects)
{
  SendToVm(aState,
           aCoordinator,
           aCoordinatorAddress,
           BatchReply{ aIncarnation, {} },
           aEffects);
}

} // namespace

void
RefuseQueue(VmState& aState,
            TargetPool& aPool,
            MissingReason aReason,
            TimePoint aNow,
            Effects& aEffects)
{
  std::deque<AttemptId> waiting;
  waiting.swap(aPool.mQueue);
  for (const AttemptId& attempt : waiting) {
    if (aState.mTargetOwner.mItems.contains(attempt)) {
      RefuseAttempt(aState, attempt, aReason, aNow, aEffects);
    }
  }
}

void
ServePool(VmState& aState, TargetId aTarget, TimePoint aNow, Effects& aEffects)
{
  TargetPool& pool = aState.mTargetOwner.mPools.at(aTarget);
  const std::uint32_t allowed = InFlightAllowed(pool, aNow);
  while (!pool.mIdle.empty() && pool.mBusy < allowed) {
    const auto attempt = PopQueued(aState, pool, aNow, aEffects);
    if (!attempt) {
      return;
    }
    SendAttempt(aState, *attempt, pool, aNow, aEffects);
  }
  if (pool.mShare == 0 && pool.mWaiting != 0) {
    RefuseQueue(aState, pool, MissingReason::kNoOwner, aNow, aEffects);
  }
  if (pool.mConnectAfter > aNow) {
    return;
  }
  const std::uint32_t maxConnections = std::min(allowed, pool.mShare);
  while (pool.mOpening < pool.mWaiting && pool.Connections() < maxConnections) {
    OpenConnection(aState, aTarget, pool, aEffects);
  }
}

void
HandleBatchRequest(VmState& aState,
                   VmId aCoordinator,
                   const Endpoint& aCoordinatorAddress,
                   const BatchRequest& aRequest,
                   TimePoint aNow,
                   Effects& aEffects)
{
  ++aState.mCounters.mBatchesReceived;
  CoordinatorRecord* record = FindCoordinatorRecord(
    aState.mTargetOwner, aCoordinator, aRequest.mIncarnation, aNow);
  if (record == nullptr) {
    aState.mCounters.mDuplicateAttempts += aRequest.mItems.size();
    return;
  }
  if (aRequest.mItems.empty()) {
    AnswerOwnerProbe(aState,
                     aCoordinator,
                     aCoordinatorAddress,
                     aRequest.mIncarnation,
                     aEffects);
    return;
  }
  const BatchId batchId(aState.mTargetOwner.mNextBatch++);
  const Duration budget = aRequest.mBudget - UnreadTime(aState.mPause, aNow);
  PendingBatch& batch =
    aState.mTargetOwner.mBatches
      .emplace(
        batchId,
        PendingBatch{
          aCoordinator, aCoordinatorAddress, aRequest, aNow + budget, 0 })
      .first->second;
  const double draw = AdmissionDraw(aRequest.mRequestId);
  // One more than the attempts queued, so that the batch is not removed before
  // the loop has ended.
  batch.mPendingItems = 1;
  for (const BatchItem& item : aRequest.mItems) {
    if (!record->mWindow.Accept(item.mSequence)) {
      ++aState.mCounters.mDuplicateAttempts;
      continue;
    }
    AdmitAttempt(aState, batchId, item, draw, aNow, aEffects);
  }
  aState.mTimers.Arm(
    batch.mDeadline, TimerKind::kBatchDeadline, batchId.Value());
  if (--batch.mPendingItems == 0) {
    aState.mTargetOwner.mBatches.erase(batchId);
    FlushReplies(aState, aCoordinator, aEffects);
  }
}

void
HandleBatchCancel(VmState& aState,
                  VmId aCoordinator,
                  const BatchCancel& aCancel,
                  TimePoint aNow,
                  Effects& aEffects)
{
  for (const AttemptSequence sequence : aCancel.mSequences) {
    const AttemptId attempt{ aCoordinator, aCancel.mIncarnation, sequence };
    const auto found = aState.mTargetOwner.mItems.find(attempt);
    if (found == aState.mTargetOwner.mItems.end()) {
      continue;
    }
    const PendingAttempt pending = found->second;
    if (!pending.mSent) {
      RefuseAttempt(aState, attempt, MissingReason::kTimeout, aNow, aEffects);
      continue;
    }
    AwaitLateReply(aState, pending, aNow);
    ItemReply reply;
    reply.mOutcome = AttemptOutcome::kUnknown;
    reply.mReason = MissingReason::kTimeout;
    EndAttempt(aState, attempt, std::move(reply), aNow, aEffects);
    CancelAtTarget(aState, attempt, pending.mTarget, aNow, aEffects);
  }
}

void
HandleBatchDeadline(VmState& aState,
                    BatchId aBatch,
                    TimePoint aNow,
                    Effects& aEffects)
{
  const auto found = aState.mTargetOwner.mBatches.find(aBatch);
  if (found == aState.mTargetOwner.mBatches.end()) {
    return;
  }
  const VmId coordinator = found->second.mCoordinator;
  const Incarnation incarnation = found->second.mRequest.mIncarnation;
  const std::vector<BatchItem> items = found->second.mRequest.mItems;
  for (const BatchItem& item : items) {
    const AttemptId attempt{ coordinator, incarnation, item.mSequence };
    const auto pending = aState.mTargetOwner.mItems.find(attempt);
    if (pending == aState.mTargetOwner.mItems.end() ||
        pending->second.mBatch != aBatch) {
      continue;
    }
    if (!pending->second.mSent) {
      RefuseAttempt(aState, attempt, MissingReason::kTimeout, aNow, aEffects);
      continue;
    }
    AwaitLateReply(aState, pending->second, aNow);
    ObserveOverload(
      aState.mTargetOwner.mPools.at(pending->second.mTarget).mLimit, aNow);
    ItemReply reply;
    reply.mOutcome = AttemptOutcome::kUnknown;
    reply.mReason = MissingReason::kTimeout;
    EndAttempt(aState, attempt, std::move(reply), aNow, aEffects);
  }
}

} // namespace wasabispread
