/*
 * The target owner's replies: sends the result of each attempt to its
 * coordinator.
 */
#include "TargetOwnerParts.h"
#include "wasabispread_decisions.h"

#include <cassert>
#include <tuple>

namespace wasabispread {

namespace {

/** Puts a reply into its coordinator's outbox. */
void
QueueReply(VmState& aState,
           const PendingBatch& aBatch,
           ItemReply aReply,
           TimePoint aNow,
           Effects& aEffects)
{
  const VmId coordinator = aBatch.mCoordinator;
  const Incarnation incarnation = aBatch.mRequest.mIncarnation;
  const auto found = aState.mTargetOwner.mOutboxes.find(coordinator);
  if (found != aState.mTargetOwner.mOutboxes.end() &&
      found->second.mIncarnation != incarnation) {
    FlushReplies(aState, coordinator, aEffects);
  }
  ReplyOutbox& outbox = aState.mTargetOwner.mOutboxes[coordinator];
  if (outbox.mItems.empty()) {
    outbox.mAddress = aBatch.mCoordinatorAddress;
    outbox.mIncarnation = incarnation;
    aState.mTimers.Arm(aNow + aState.mPlacement.mPolicy.mFlushDelay,
                       TimerKind::kFlushReplies,
                       coordinator.Value());
  }
  outbox.mItems.push_back(std::move(aReply));
  if (aState.mPlacement.mPolicy.mFlushDelay == Duration::zero()) {
    FlushReplies(aState, coordinator, aEffects);
  }
}

void
CountRefusal(Counters& aCounters, MissingReason aReason)
{
  ++aCounters.mItemsRefused;
  switch (aReason) {
    case MissingReason::kOverloaded:
      ++aCounters.mItemsOverloaded;
      break;
    case MissingReason::kStopping:
      ++aCounters.mItemsStopping;
      break;
    case MissingReason::kNoOwner:
      ++aCounters.mItemsWithoutShare;
      break;
    case MissingReason::kTimeout:
      ++aCounters.mItemsOutOfTime;
      break;
    case MissingReason::kDraining:
      ++aCounters.mItemsHeldBack;
      break;
    default:
      break;
  }
}

/** The outcome of an attempt, and the reason if it failed, by the status of the
    target's reply. */
std::pair<AttemptOutcome, MissingReason>
OutcomeOf(TargetStatus aStatus)
{
  switch (aStatus) {
    case TargetStatus::kAnswered:
      return { AttemptOutcome::kAnswered, MissingReason::kTimeout };
    case TargetStatus::kShed:
      return { AttemptOutcome::kNotRun, MissingReason::kShed };
    case TargetStatus::kDraining:
      return { AttemptOutcome::kNotRun, MissingReason::kDraining };
    case TargetStatus::kSnapshotUnavailable:
      return { AttemptOutcome::kNotRun, MissingReason::kSnapshotUnavailable };
    case TargetStatus::kFailed:
      break;
  }
  return { AttemptOutcome::kUnknown, MissingReason::kProtocolError };
}

/** Updates a target's service time and concurrency limit by a reply to an
    attempt that had not ended. */
void
ObserveServiceTime(TargetPool& aPool,
                   TargetStatus aStatus,
                   Duration aTaken,
                   TimePoint aNow,
                   Counters& aCounters)
{
  constexpr double kSmoothingFactor = 0.03;
  if (aStatus == TargetStatus::kShed) {
    ++aCounters.mTargetSheds;
    ObserveOverload(aPool.mLimit, aNow);
    return;
  }
  if (aStatus != TargetStatus::kAnswered) {
    return;
  }
  const auto taken = static_cast<double>(aTaken.count());
  aPool.mServiceTime += aPool.mServiceTime == 0
                          ? taken
                          : (taken - aPool.mServiceTime) * kSmoothingFactor;
  ObserveAnswer(aPool.mLimit, aTaken, aPool.mBusy, aPool.mShare);
}

/** Ends the attempt that a reply answers. Returns whether it is the reply to
    the attempt in flight on the connection. */
bool
CompleteAttempt(VmState& aState,
                const TargetReplied& aEvent,
                const TargetConnection& aConnection,
                TimePoint aNow,
                Effects& aEffects)
{
  const AttemptId attempt = aConnection.mAttempt;
  const bool isExpected = aEvent.mReply.mAttempt == ToText(attempt);
  const auto item = aState.mTargetOwner.mItems.find(attempt);
  if (item == aState.mTargetOwner.mItems.end()) {
    ++aState.mCounters.mLateReplies;
    return isExpected;
  }
  ItemReply reply;
  if (!isExpected) {
    ++aState.mCounters.mForeignReplies;
    reply.mOutcome = AttemptOutcome::kUnknown;
    reply.mReason = MissingReason::kProtocolError;
  } else {
    ObserveServiceTime(aState.mTargetOwner.mPools.at(aConnection.mTarget),
                       aEvent.mReply.mStatus,
                       aNow - item->second.mSentAt,
                       aNow,
                       aState.mCounters);
    std::tie(reply.mOutcome, reply.mReason) = OutcomeOf(aEvent.mReply.mStatus);
    reply.mSnapshot = aEvent.mReply.mSnapshot;
    reply.mHeldSnapshots = aEvent.mReply.mHeldSnapshots;
    reply.mBody = aEvent.mReply.mBody;
  }
  EndAttempt(aState, attempt, std::move(reply), aNow, aEffects);
  return isExpected;
}

} // namespace

void
EndAttempt(VmState& aState,
           const AttemptId& aAttempt,
           ItemReply aReply,
           TimePoint aNow,
           Effects& aEffects)
{
  const auto found = aState.mTargetOwner.mItems.find(aAttempt);
  assert(found != aState.mTargetOwner.mItems.end());
  const BatchId batchId = found->second.mBatch;
  if (found->second.mIsQueued) {
    --aState.mTargetOwner.mPools.at(found->second.mTarget).mWaiting;
  }
  aState.mTargetOwner.mItems.erase(found);
  PendingBatch& batch = aState.mTargetOwner.mBatches.at(batchId);
  aReply.mSequence = aAttempt.mSequence;
  QueueReply(aState, batch, std::move(aReply), aNow, aEffects);
  assert(batch.mPendingItems > 0);
  if (--batch.mPendingItems == 0) {
    const VmId coordinator = batch.mCoordinator;
    aState.mTargetOwner.mBatches.erase(batchId);
    FlushReplies(aState, coordinator, aEffects);
  }
}

void
RefuseAttempt(VmState& aState,
              const AttemptId& aAttempt,
              MissingReason aReason,
              TimePoint aNow,
              Effects& aEffects)
{
  CountRefusal(aState.mCounters, aReason);
  ItemReply reply;
  reply.mOutcome = AttemptOutcome::kNotRun;
  reply.mReason = aReason;
  EndAttempt(aState, aAttempt, std::move(reply), aNow, aEffects);
}

void
HandleTargetReplied(VmState& aState,
                    const TargetReplied& aEvent,
                    TimePoint aNow,
                    Effects& aEffects)
{
  const auto found = aState.mTargetOwner.mConnections.find(aEvent.mConnection);
  if (found == aState.mTargetOwner.mConnections.end()) {
    return;
  }
  const TargetConnection connection = found->second;
  const TargetId target = connection.mTarget;
  bool isExpected = connection.mUse == ConnectionUse::kCancel;
  if (connection.mUse == ConnectionUse::kRequest) {
    isExpected = CompleteAttempt(aState, aEvent, connection, aNow, aEffects);
    ObserveHealth(aState, target, aEvent.mReply, aNow, aEffects);
  }
  if (isExpected && aEvent.mReusable) {
    ReturnConnection(aState, aEvent.mConnection, aNow, aEffects);
  } else {
    CloseConnection(aState, aEvent.mConnection, aEffects);
  }
  ServePool(aState, target, aNow, aEffects);
}

void
FlushReplies(VmState& aState, VmId aCoordinator, Effects& aEffects)
{
  auto outbox = aState.mTargetOwner.mOutboxes.extract(aCoordinator);
  if (outbox.empty()) {
    return;
  }
  SendToVm(aState,
           aCoordinator,
           outbox.mapped().mAddress,
           BatchReply{ outbox.mapped().mIncarnation,
                       std::move(outbox.mapped().mItems) },
           aEffects);
}

} // namespace wasabispread
