/*
 * The owner's replies: what came of each attempt, back to its entry.
 */
#include "TargetOwnerParts.h"
#include "wasabispread_decisions.h"

#include <cassert>
#include <tuple>

namespace wasabispread {

namespace {

/** Puts a reply into its entry's outbox. */
void
QueueReply(VmState& aState,
           const HeldBatch& aBatch,
           ItemReply aReply,
           TimePoint aNow,
           Effects& aEffects)
{
  const VmId entry = aBatch.mCoordinator;
  const Incarnation incarnation = aBatch.mRequest.mIncarnation;
  const auto existing = aState.mTargetOwner.mOutboxes.find(entry);
  if (existing != aState.mTargetOwner.mOutboxes.end() &&
      existing->second.mIncarnation != incarnation) {
    FlushReplies(aState, entry, aEffects);
  }
  ReplyOutbox& outbox = aState.mTargetOwner.mOutboxes[entry];
  if (outbox.mItems.empty()) {
    outbox.mAddress = aBatch.mEntryAddress;
    outbox.mIncarnation = incarnation;
    aState.mTimers.Arm(aNow + aState.mPlacement.mPolicy.mFlushDelay,
                       TimerKind::kFlushReplies,
                       entry.Value());
  }
  outbox.mItems.push_back(std::move(aReply));
  if (aState.mPlacement.mPolicy.mFlushDelay == Duration::zero()) {
    FlushReplies(aState, entry, aEffects);
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

/** The outcome that a target's status amounts to. */
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

/** Learns a target's pace from a reply to an attempt still wanted. */
void
ObservePace(TargetPool& aPool,
            TargetStatus aStatus,
            Duration aTaken,
            TimePoint aNow,
            Counters& aCounters)
{
  constexpr double kNewWeight = 0.03;
  if (aStatus == TargetStatus::kShed) {
    ++aCounters.mTargetSheds;
    ObserveOverload(aPool.mLimit, aNow);
    return;
  }
  if (aStatus != TargetStatus::kAnswered) {
    return;
  }
  const auto taken = static_cast<double>(aTaken.count());
  aPool.mServiceTime +=
    aPool.mServiceTime == 0 ? taken : (taken - aPool.mServiceTime) * kNewWeight;
  ObserveAnswer(aPool.mLimit, aTaken, aPool.mBusy, aPool.mShare);
}

/** Ends the attempt that a reply is for; true when it is the reply due. */
bool
TakeReply(VmState& aState,
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
    ObservePace(aState.mTargetOwner.mPools.at(aConnection.mTarget),
                aEvent.mReply.mStatus,
                aNow - item->second.mSentAt,
                aNow,
                aState.mCounters);
    std::tie(reply.mOutcome, reply.mReason) = OutcomeOf(aEvent.mReply.mStatus);
    reply.mSnapshot = aEvent.mReply.mSnapshot;
    reply.mHeldSnapshots = aEvent.mReply.mHeldSnapshots;
    reply.mBody = aEvent.mReply.mBody;
  }
  EndItem(aState, attempt, std::move(reply), aNow, aEffects);
  return isExpected;
}

} // namespace

void
EndItem(VmState& aState,
        const AttemptId& aAttempt,
        ItemReply aReply,
        TimePoint aNow,
        Effects& aEffects)
{
  const auto place = aState.mTargetOwner.mItems.find(aAttempt);
  assert(place != aState.mTargetOwner.mItems.end());
  const BatchId batchId = place->second.mBatch;
  if (place->second.mIsQueued) {
    --aState.mTargetOwner.mPools.at(place->second.mTarget).mWaiting;
  }
  aState.mTargetOwner.mItems.erase(place);
  HeldBatch& batch = aState.mTargetOwner.mBatches.at(batchId);
  aReply.mSequence = aAttempt.mSequence;
  QueueReply(aState, batch, std::move(aReply), aNow, aEffects);
  assert(batch.mOpenItems > 0);
  if (--batch.mOpenItems == 0) {
    const VmId entry = batch.mCoordinator;
    aState.mTargetOwner.mBatches.erase(batchId);
    FlushReplies(aState, entry, aEffects);
  }
}

void
RefuseItem(VmState& aState,
           const AttemptId& aAttempt,
           MissingReason aReason,
           TimePoint aNow,
           Effects& aEffects)
{
  CountRefusal(aState.mCounters, aReason);
  ItemReply reply;
  reply.mOutcome = AttemptOutcome::kNotRun;
  reply.mReason = aReason;
  EndItem(aState, aAttempt, std::move(reply), aNow, aEffects);
}

void
HandleTargetReplied(VmState& aState,
                    const TargetReplied& aEvent,
                    TimePoint aNow,
                    Effects& aEffects)
{
  const auto place = aState.mTargetOwner.mConnections.find(aEvent.mConnection);
  if (place == aState.mTargetOwner.mConnections.end()) {
    return;
  }
  const TargetConnection connection = place->second;
  const TargetId target = connection.mTarget;
  bool isExpected = connection.mUse == ConnectionUse::kCancel;
  if (connection.mUse == ConnectionUse::kRequest) {
    isExpected = TakeReply(aState, aEvent, connection, aNow, aEffects);
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
FlushReplies(VmState& aState, VmId aEntry, Effects& aEffects)
{
  auto outbox = aState.mTargetOwner.mOutboxes.extract(aEntry);
  if (outbox.empty()) {
    return;
  }
  SendToVm(aState,
           aEntry,
           outbox.mapped().mAddress,
           BatchReply{ outbox.mapped().mIncarnation,
                       std::move(outbox.mapped().mItems) },
           aEffects);
}

} // namespace wasabispread
