/*
 * The owner's intake: what is admitted, how long it waits, and when it is sent.
 */
#include "TargetOwnerParts.h"
#include "wasabispread_decisions.h"

#include <algorithm>
#include <cassert>
#include <optional>

namespace wasabispread {

namespace {

TargetRequest
MakeTargetRequest(const HeldBatch& aBatch,
                  const HeldItem& aItem,
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

/** The first queued attempt that is still wanted and can still be answered in
    time. */
std::optional<AttemptId>
PopQueued(VmState& aState, TargetPool& aPool, TimePoint aNow, Effects& aEffects)
{
  const Duration fastest(
    static_cast<std::int64_t>(aPool.mLimit.mLastMedian / 4));
  while (!aPool.mQueue.empty()) {
    const AttemptId attempt = aPool.mQueue.front();
    aPool.mQueue.pop_front();
    const auto place = aState.mTargetOwner.mItems.find(attempt);
    if (place == aState.mTargetOwner.mItems.end()) {
      continue;
    }
    // A paused process may come here long after the batch's time.
    const TimePoint deadline =
      aState.mTargetOwner.mBatches.at(place->second.mBatch).mDeadline;
    if (deadline <= aNow + fastest) {
      RefuseItem(aState, attempt, MissingReason::kTimeout, aNow, aEffects);
      continue;
    }
    place->second.mIsQueued = false;
    --aPool.mWaiting;
    return attempt;
  }
  return std::nullopt;
}

/** Sends an attempt on the connection idle for the shortest time. */
void
SendItem(VmState& aState,
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
  HeldItem& item = aState.mTargetOwner.mItems.at(aAttempt);
  item.mSent = true;
  item.mSentAt = aNow;
  item.mConnection = connectionId;
  ++aState.mCounters.mTargetRequests;
  const HeldBatch& batch = aState.mTargetOwner.mBatches.at(item.mBatch);
  aEffects.push_back(SendToTarget{
    connectionId, MakeTargetRequest(batch, item, aAttempt, aNow) });
}

/** How many requests may be in flight to a target at present. */
std::uint32_t
InFlightAllowed(const TargetPool& aPool, TimePoint aNow)
{
  if (aPool.mHeldUntil > aNow) {
    return 0;
  }
  if (aPool.mIsOnTrial) {
    return 1;
  }
  return std::min(AllowedInFlight(aPool.mLimit), aPool.mShare);
}

/** Why an attempt cannot be taken, if so. */
std::optional<MissingReason>
ReasonToRefuse(const VmState& aState,
               const HeldBatch& aBatch,
               const TargetPool* aPool,
               double aDraw,
               TimePoint aNow)
{
  // Until then its place as owner passes to others, who need time for it.
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
  const bool isHeldBack =
    allowed == 0 || (aPool->mIsOnTrial && aPool->mBusy + aPool->mWaiting != 0);
  if (isHeldBack) {
    return MissingReason::kDraining;
  }
  const AdmissionLoad load{ aPool->mWaiting, allowed, aPool->mServiceTime };
  if (!Admits(load, aBatch.mDeadline - aNow, aDraw)) {
    return MissingReason::kOverloaded;
  }
  return std::nullopt;
}

/** The record of an entry's attempts; nullptr when the batch comes from an
    earlier start of it. */
CoordinatorRecord*
RecordFor(TargetOwnerState& aOwner,
          VmId aEntry,
          Incarnation aIncarnation,
          TimePoint aNow)
{
  CoordinatorRecord& record = aOwner.mCoordinators[aEntry];
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
TakeItem(VmState& aState,
         BatchId aBatchId,
         const BatchItem& aItem,
         double aDraw,
         TimePoint aNow,
         Effects& aEffects)
{
  HeldBatch& batch = aState.mTargetOwner.mBatches.at(aBatchId);
  const AttemptId attempt{ batch.mCoordinator,
                           batch.mRequest.mIncarnation,
                           aItem.mSequence };
  HeldItem held;
  held.mBatch = aBatchId;
  held.mTarget = aItem.mTarget;
  held.mShard = aItem.mShard;
  const auto place = aState.mTargetOwner.mItems.emplace(attempt, held).first;
  ++batch.mOpenItems;
  TargetPool* pool = FindPool(aState, aItem.mTarget, aNow);
  if (const auto reason = ReasonToRefuse(aState, batch, pool, aDraw, aNow)) {
    RefuseItem(aState, attempt, *reason, aNow, aEffects);
    return;
  }
  place->second.mIsQueued = true;
  pool->mQueue.push_back(attempt);
  ++pool->mWaiting;
  ServePool(aState, aItem.mTarget, aNow, aEffects);
}

/** Answers an entry that probes whether this VM can be reached. */
void
AnswerProbe(VmState& aState,
            VmId aEntry,
            const Endpoint& aEntryAddress,
            Incarnation aIncarnation,
            Effects& aEffects)
{
  SendToVm(
    aState, aEntry, aEntryAddress, BatchReply{ aIncarnation, {} }, aEffects);
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
      RefuseItem(aState, attempt, aReason, aNow, aEffects);
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
    SendItem(aState, *attempt, pool, aNow, aEffects);
  }
  if (pool.mShare == 0 && pool.mWaiting != 0) {
    RefuseQueue(aState, pool, MissingReason::kNoOwner, aNow, aEffects);
  }
  if (pool.mConnectAfter > aNow) {
    return;
  }
  const std::uint32_t most = std::min(allowed, pool.mShare);
  while (pool.mOpening < pool.mWaiting && pool.Connections() < most) {
    OpenConnection(aState, aTarget, pool, aEffects);
  }
}

void
HandleBatchRequest(VmState& aState,
                   VmId aEntry,
                   const Endpoint& aEntryAddress,
                   const BatchRequest& aRequest,
                   TimePoint aNow,
                   Effects& aEffects)
{
  ++aState.mCounters.mBatchesReceived;
  CoordinatorRecord* record =
    RecordFor(aState.mTargetOwner, aEntry, aRequest.mIncarnation, aNow);
  if (record == nullptr) {
    aState.mCounters.mDuplicateAttempts += aRequest.mItems.size();
    return;
  }
  if (aRequest.mItems.empty()) {
    AnswerProbe(aState, aEntry, aEntryAddress, aRequest.mIncarnation, aEffects);
    return;
  }
  const BatchId batchId(aState.mTargetOwner.mNextBatch++);
  const Duration budget = aRequest.mBudget - UnreadTime(aState.mPause, aNow);
  HeldBatch& batch =
    aState.mTargetOwner.mBatches
      .emplace(batchId,
               HeldBatch{ aEntry, aEntryAddress, aRequest, aNow + budget, 0 })
      .first->second;
  const double draw = AdmissionDraw(aRequest.mRequestId);
  // Counted before any item ends, so that the batch lives through the loop.
  batch.mOpenItems = 1;
  for (const BatchItem& item : aRequest.mItems) {
    if (!record->mWindow.Accept(item.mSequence)) {
      ++aState.mCounters.mDuplicateAttempts;
      continue;
    }
    TakeItem(aState, batchId, item, draw, aNow, aEffects);
  }
  aState.mTimers.Arm(
    batch.mDeadline, TimerKind::kBatchDeadline, batchId.Value());
  if (--batch.mOpenItems == 0) {
    aState.mTargetOwner.mBatches.erase(batchId);
    FlushReplies(aState, aEntry, aEffects);
  }
}

void
HandleBatchCancel(VmState& aState,
                  VmId aEntry,
                  const BatchCancel& aCancel,
                  TimePoint aNow,
                  Effects& aEffects)
{
  for (const AttemptSequence sequence : aCancel.mSequences) {
    const AttemptId attempt{ aEntry, aCancel.mIncarnation, sequence };
    const auto place = aState.mTargetOwner.mItems.find(attempt);
    if (place == aState.mTargetOwner.mItems.end()) {
      continue;
    }
    const HeldItem held = place->second;
    if (!held.mSent) {
      RefuseItem(aState, attempt, MissingReason::kTimeout, aNow, aEffects);
      continue;
    }
    AwaitLateReply(aState, held, aNow);
    ItemReply reply;
    reply.mOutcome = AttemptOutcome::kUnknown;
    reply.mReason = MissingReason::kTimeout;
    EndItem(aState, attempt, std::move(reply), aNow, aEffects);
    CancelAtTarget(aState, attempt, held.mTarget, aNow, aEffects);
  }
}

void
HandleBatchDeadline(VmState& aState,
                    BatchId aBatch,
                    TimePoint aNow,
                    Effects& aEffects)
{
  const auto place = aState.mTargetOwner.mBatches.find(aBatch);
  if (place == aState.mTargetOwner.mBatches.end()) {
    return;
  }
  const VmId entry = place->second.mCoordinator;
  const Incarnation incarnation = place->second.mRequest.mIncarnation;
  const std::vector<BatchItem> items = place->second.mRequest.mItems;
  for (const BatchItem& item : items) {
    const AttemptId attempt{ entry, incarnation, item.mSequence };
    const auto held = aState.mTargetOwner.mItems.find(attempt);
    if (held == aState.mTargetOwner.mItems.end() ||
        held->second.mBatch != aBatch) {
      continue;
    }
    if (!held->second.mSent) {
      RefuseItem(aState, attempt, MissingReason::kTimeout, aNow, aEffects);
      continue;
    }
    AwaitLateReply(aState, held->second, aNow);
    ObserveOverload(aState.mTargetOwner.mPools.at(held->second.mTarget).mLimit,
                    aNow);
    ItemReply reply;
    reply.mOutcome = AttemptOutcome::kUnknown;
    reply.mReason = MissingReason::kTimeout;
    EndItem(aState, attempt, std::move(reply), aNow, aEffects);
  }
}

} // namespace wasabispread
