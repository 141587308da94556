/*
 * The owner's queues, connections and replies.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <tuple>

namespace wasabispread {

namespace {

constexpr Duration kFlushDelay = std::chrono::microseconds(500);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kLateReplyWait = std::chrono::seconds(1);

void
CloseConnection(NodeState& aState, ConnectionId aConnection, Effects& aEffects)
{
  const auto place = aState.mOwner.mConnections.find(aConnection);
  assert(place != aState.mOwner.mConnections.end());
  TargetPool& pool = aState.mOwner.mPools.at(place->second.mTarget);
  std::uint32_t& count = place->second.mOpen ? pool.mOpened : pool.mOpening;
  assert(count > 0);
  --count;
  std::erase(pool.mIdle, aConnection);
  aState.mOwner.mConnections.erase(place);
  aEffects.push_back(CloseTargetConnection{ aConnection });
}

/** Puts a reply into its entry's outbox. */
void
QueueReply(NodeState& aState,
           VmId aEntry,
           const Endpoint& aAddress,
           Incarnation aIncarnation,
           ItemReply aReply,
           TimePoint aNow,
           Effects& aEffects)
{
  const auto existing = aState.mOwner.mOutboxes.find(aEntry);
  if (existing != aState.mOwner.mOutboxes.end() &&
      existing->second.mIncarnation != aIncarnation) {
    FlushReplies(aState, aEntry, aEffects);
  }
  ReplyOutbox& outbox = aState.mOwner.mOutboxes[aEntry];
  if (outbox.mItems.empty()) {
    outbox.mAddress = aAddress;
    outbox.mIncarnation = aIncarnation;
    aState.mTimers.Arm(
      aNow + kFlushDelay, TimerKind::kFlushReplies, aEntry.Value());
  }
  outbox.mItems.push_back(std::move(aReply));
}

/** Gives a sent attempt's connection a little longer for the late reply. */
void
AwaitLateReply(NodeState& aState, const HeldItem& aItem, TimePoint aNow)
{
  if (aItem.mSent) {
    aState.mTimers.Arm(
      aNow + kLateReplyWait, TimerKind::kReplyOwed, aItem.mConnection.Value());
  }
}

/** Ends an attempt; the last of a batch sends the replies off. */
void
EndItem(NodeState& aState,
        const AttemptId& aAttempt,
        ItemReply aReply,
        TimePoint aNow,
        Effects& aEffects)
{
  const auto place = aState.mOwner.mItems.find(aAttempt);
  assert(place != aState.mOwner.mItems.end());
  const BatchId batchId = place->second.mBatch;
  aState.mOwner.mItems.erase(place);
  HeldBatch& batch = aState.mOwner.mBatches.at(batchId);
  aReply.mSequence = aAttempt.mSequence;
  QueueReply(aState,
             batch.mEntry,
             batch.mEntryAddress,
             batch.mRequest.mIncarnation,
             std::move(aReply),
             aNow,
             aEffects);
  assert(batch.mOpenItems > 0);
  if (--batch.mOpenItems == 0) {
    const VmId entry = batch.mEntry;
    aState.mOwner.mBatches.erase(batchId);
    FlushReplies(aState, entry, aEffects);
  }
}

void
RefuseItem(NodeState& aState,
           const AttemptId& aAttempt,
           MissingReason aReason,
           TimePoint aNow,
           Effects& aEffects)
{
  ++aState.mCounters.mItemsRefused;
  ItemReply reply;
  reply.mOutcome = AttemptOutcome::kNotRun;
  reply.mReason = aReason;
  EndItem(aState, aAttempt, std::move(reply), aNow, aEffects);
}

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

/** The first queued attempt that is still wanted and in time. */
std::optional<AttemptId>
PopQueued(NodeState& aState,
          TargetPool& aPool,
          TimePoint aNow,
          Effects& aEffects)
{
  while (!aPool.mQueue.empty()) {
    const AttemptId attempt = aPool.mQueue.front();
    aPool.mQueue.pop_front();
    const auto place = aState.mOwner.mItems.find(attempt);
    if (place == aState.mOwner.mItems.end()) {
      continue;
    }
    // A paused process may come here long after the batch's time.
    if (aState.mOwner.mBatches.at(place->second.mBatch).mDeadline <= aNow) {
      RefuseItem(aState, attempt, MissingReason::kTimeout, aNow, aEffects);
      continue;
    }
    return attempt;
  }
  return std::nullopt;
}

void
OpenConnection(NodeState& aState,
               TargetId aTarget,
               TargetPool& aPool,
               Effects& aEffects)
{
  const ConnectionId connection(aState.mOwner.mNextConnection++);
  aState.mOwner.mConnections.emplace(
    connection, TargetConnection{ aTarget, false, false, {} });
  ++aPool.mOpening;
  ++aState.mCounters.mTargetConnectionsOpened;
  aEffects.push_back(
    OpenTargetConnection{ connection, aPool.mAddress, kConnectTimeout });
}

/** Sends queued attempts on idle connections and opens more where wanted. */
void
ServePool(NodeState& aState,
          TargetId aTarget,
          TimePoint aNow,
          Effects& aEffects)
{
  TargetPool& pool = aState.mOwner.mPools.at(aTarget);
  while (!pool.mIdle.empty()) {
    const auto attempt = PopQueued(aState, pool, aNow, aEffects);
    if (!attempt) {
      return;
    }
    const ConnectionId connectionId = pool.mIdle.back();
    pool.mIdle.pop_back();
    TargetConnection& connection = aState.mOwner.mConnections.at(connectionId);
    connection.mBusy = true;
    connection.mAttempt = *attempt;
    HeldItem& item = aState.mOwner.mItems.at(*attempt);
    item.mSent = true;
    item.mSentAt = aNow;
    item.mConnection = connectionId;
    ++aState.mCounters.mTargetRequests;
    const HeldBatch& batch = aState.mOwner.mBatches.at(item.mBatch);
    aEffects.push_back(SendToTarget{
      connectionId, MakeTargetRequest(batch, item, *attempt, aNow) });
  }
  if (pool.mConnectAfter > aNow) {
    return;
  }
  while (pool.mOpening < pool.mQueue.size() &&
         pool.mOpening + pool.mOpened < pool.mShare) {
    OpenConnection(aState, aTarget, pool, aEffects);
  }
}

/** The pool of a target in force, with this VM's present share. */
TargetPool*
FindPool(NodeState& aState, TargetId aTarget)
{
  const ConfigurationState& configuration = aState.mConfiguration;
  if (configuration.mDeployment == nullptr) {
    return nullptr;
  }
  const auto place = configuration.mDeployment->mTargetIndex.find(aTarget);
  if (place == configuration.mDeployment->mTargetIndex.end()) {
    return nullptr;
  }
  const Target& target = configuration.mDeployment->mTargets[place->second];
  const OwnerGroup& group =
    configuration.mGroups[configuration.mGroupOfTarget[place->second]];
  const Service* service =
    configuration.mDeployment->FindService(target.mService);
  TargetPool& pool = aState.mOwner.mPools[aTarget];
  pool.mAddress = target.mAddress;
  pool.mShare =
    ConnectionShare(service->mConnectionCap,
                    RankOf(aState.mMembership, group, aState.mSelf.mId));
  return &pool;
}

/** Why an attempt cannot be taken, if so. */
std::optional<MissingReason>
ReasonToRefuse(const TargetPool* aPool, Duration aBudget)
{
  if (aPool == nullptr) {
    return MissingReason::kUnknownTarget;
  }
  if (aPool->mShare == 0) {
    return MissingReason::kNoOwner;
  }
  const double turns = static_cast<double>(aPool->mQueue.size()) /
                       static_cast<double>(aPool->mShare);
  if (turns * aPool->mServiceTime > static_cast<double>(aBudget.count())) {
    return MissingReason::kOverloaded;
  }
  return std::nullopt;
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

void
ObserveServiceTime(TargetPool& aPool, Duration aTaken)
{
  constexpr double kNewWeight = 0.1;
  const auto taken = static_cast<double>(aTaken.count());
  aPool.mServiceTime +=
    aPool.mServiceTime == 0 ? taken : (taken - aPool.mServiceTime) * kNewWeight;
}

} // namespace

void
HandleBatchRequest(NodeState& aState,
                   VmId aEntry,
                   const Endpoint& aEntryAddress,
                   const BatchRequest& aRequest,
                   TimePoint aNow,
                   Effects& aEffects)
{
  ++aState.mCounters.mBatchesReceived;
  const BatchId batchId(aState.mOwner.mNextBatch++);
  HeldBatch& batch =
    aState.mOwner.mBatches
      .emplace(batchId,
               HeldBatch{
                 aEntry, aEntryAddress, aRequest, aNow + aRequest.mBudget, 0 })
      .first->second;
  // Counted before any item ends, so that the batch lives through the loop.
  batch.mOpenItems = 1;
  for (const BatchItem& item : aRequest.mItems) {
    const AttemptId attempt{ aEntry, aRequest.mIncarnation, item.mSequence };
    const HeldItem held{ batchId, item.mTarget, item.mShard, false, {}, {} };
    if (!aState.mOwner.mItems.emplace(attempt, held).second) {
      ++aState.mCounters.mDuplicateAttempts;
      continue;
    }
    ++batch.mOpenItems;
    TargetPool* pool = FindPool(aState, item.mTarget);
    if (const auto reason = ReasonToRefuse(pool, aRequest.mBudget)) {
      RefuseItem(aState, attempt, *reason, aNow, aEffects);
      continue;
    }
    pool->mQueue.push_back(attempt);
    ServePool(aState, item.mTarget, aNow, aEffects);
  }
  aState.mTimers.Arm(
    aNow + aRequest.mBudget, TimerKind::kBatchDeadline, batchId.Value());
  if (--batch.mOpenItems == 0) {
    aState.mOwner.mBatches.erase(batchId);
    FlushReplies(aState, aEntry, aEffects);
  }
}

void
HandleBatchCancel(NodeState& aState,
                  VmId aEntry,
                  const BatchCancel& aCancel,
                  TimePoint aNow,
                  Effects& aEffects)
{
  for (const AttemptSequence sequence : aCancel.mSequences) {
    const AttemptId attempt{ aEntry, aCancel.mIncarnation, sequence };
    const auto held = aState.mOwner.mItems.find(attempt);
    if (held != aState.mOwner.mItems.end()) {
      AwaitLateReply(aState, held->second, aNow);
      RefuseItem(aState, attempt, MissingReason::kTimeout, aNow, aEffects);
    }
  }
}

void
HandleBatchDeadline(NodeState& aState,
                    BatchId aBatch,
                    TimePoint aNow,
                    Effects& aEffects)
{
  const auto place = aState.mOwner.mBatches.find(aBatch);
  if (place == aState.mOwner.mBatches.end()) {
    return;
  }
  const VmId entry = place->second.mEntry;
  const Incarnation incarnation = place->second.mRequest.mIncarnation;
  const std::vector<BatchItem> items = place->second.mRequest.mItems;
  for (const BatchItem& item : items) {
    const AttemptId attempt{ entry, incarnation, item.mSequence };
    const auto held = aState.mOwner.mItems.find(attempt);
    if (held == aState.mOwner.mItems.end() || held->second.mBatch != aBatch) {
      continue;
    }
    if (!held->second.mSent) {
      RefuseItem(aState, attempt, MissingReason::kTimeout, aNow, aEffects);
      continue;
    }
    AwaitLateReply(aState, held->second, aNow);
    ItemReply reply;
    reply.mOutcome = AttemptOutcome::kUnknown;
    reply.mReason = MissingReason::kTimeout;
    EndItem(aState, attempt, std::move(reply), aNow, aEffects);
  }
}

void
HandleTargetConnected(NodeState& aState,
                      const TargetConnected& aEvent,
                      TimePoint aNow,
                      Effects& aEffects)
{
  const auto place = aState.mOwner.mConnections.find(aEvent.mConnection);
  if (place == aState.mOwner.mConnections.end()) {
    return;
  }
  assert(!place->second.mOpen);
  place->second.mOpen = true;
  const TargetId target = place->second.mTarget;
  TargetPool& pool = aState.mOwner.mPools.at(target);
  --pool.mOpening;
  ++pool.mOpened;
  pool.mConnectFailures = 0;
  pool.mIdle.push_back(aEvent.mConnection);
  ServePool(aState, target, aNow, aEffects);
}

void
HandleTargetConnectFailed(NodeState& aState,
                          const TargetConnectFailed& aEvent,
                          TimePoint aNow,
                          Effects& aEffects)
{
  const auto place = aState.mOwner.mConnections.find(aEvent.mConnection);
  if (place == aState.mOwner.mConnections.end()) {
    return;
  }
  ++aState.mCounters.mTargetConnectionsFailed;
  const TargetId target = place->second.mTarget;
  TargetPool& pool = aState.mOwner.mPools.at(target);
  --pool.mOpening;
  aState.mOwner.mConnections.erase(place);
  ++pool.mConnectFailures;
  pool.mConnectAfter = aNow + RetryDelay(pool.mConnectFailures, aState.mRandom);
  aState.mTimers.Arm(pool.mConnectAfter, TimerKind::kReconnect, target.Value());
  if (pool.mOpened != 0) {
    return;
  }
  std::deque<AttemptId> waiting;
  waiting.swap(pool.mQueue);
  for (const AttemptId& attempt : waiting) {
    if (aState.mOwner.mItems.contains(attempt)) {
      RefuseItem(
        aState, attempt, MissingReason::kTargetUnreachable, aNow, aEffects);
    }
  }
}

void
HandleTargetConnectionLost(NodeState& aState,
                           const TargetConnectionLost& aEvent,
                           TimePoint aNow,
                           Effects& aEffects)
{
  const auto place = aState.mOwner.mConnections.find(aEvent.mConnection);
  if (place == aState.mOwner.mConnections.end()) {
    return;
  }
  ++aState.mCounters.mTargetConnectionsLost;
  const TargetConnection connection = place->second;
  CloseConnection(aState, aEvent.mConnection, aEffects);
  const bool hasItem =
    connection.mBusy && aState.mOwner.mItems.contains(connection.mAttempt);
  if (hasItem) {
    ItemReply reply;
    reply.mOutcome = aEvent.mRequestWritten ? AttemptOutcome::kUnknown
                                            : AttemptOutcome::kNotRun;
    reply.mReason = MissingReason::kTargetUnreachable;
    EndItem(aState, connection.mAttempt, std::move(reply), aNow, aEffects);
  }
  ServePool(aState, connection.mTarget, aNow, aEffects);
}

void
HandleTargetReplied(NodeState& aState,
                    const TargetReplied& aEvent,
                    TimePoint aNow,
                    Effects& aEffects)
{
  const auto place = aState.mOwner.mConnections.find(aEvent.mConnection);
  if (place == aState.mOwner.mConnections.end()) {
    return;
  }
  TargetConnection& connection = place->second;
  const TargetId target = connection.mTarget;
  const AttemptId attempt = connection.mAttempt;
  const bool isExpected =
    connection.mBusy && aEvent.mReply.mAttempt == ToText(attempt);
  connection.mBusy = false;
  const auto item = aState.mOwner.mItems.find(attempt);
  if (item == aState.mOwner.mItems.end()) {
    ++aState.mCounters.mLateReplies;
  } else if (!isExpected) {
    ++aState.mCounters.mForeignReplies;
    ItemReply reply;
    reply.mOutcome = AttemptOutcome::kUnknown;
    reply.mReason = MissingReason::kProtocolError;
    EndItem(aState, attempt, std::move(reply), aNow, aEffects);
  } else {
    ObserveServiceTime(aState.mOwner.mPools.at(target),
                       aNow - item->second.mSentAt);
    ItemReply reply;
    std::tie(reply.mOutcome, reply.mReason) = OutcomeOf(aEvent.mReply.mStatus);
    reply.mSnapshot = aEvent.mReply.mSnapshot;
    reply.mHeldSnapshots = aEvent.mReply.mHeldSnapshots;
    reply.mBody = aEvent.mReply.mBody;
    EndItem(aState, attempt, std::move(reply), aNow, aEffects);
  }
  if (isExpected && aEvent.mReusable) {
    aState.mOwner.mPools.at(target).mIdle.push_back(aEvent.mConnection);
  } else {
    CloseConnection(aState, aEvent.mConnection, aEffects);
  }
  ServePool(aState, target, aNow, aEffects);
}

void
HandleReplyOwed(NodeState& aState,
                ConnectionId aConnection,
                TimePoint aNow,
                Effects& aEffects)
{
  const auto place = aState.mOwner.mConnections.find(aConnection);
  const bool isOwed = place != aState.mOwner.mConnections.end() &&
                      place->second.mBusy &&
                      !aState.mOwner.mItems.contains(place->second.mAttempt);
  if (!isOwed) {
    return;
  }
  const TargetId target = place->second.mTarget;
  CloseConnection(aState, aConnection, aEffects);
  ServePool(aState, target, aNow, aEffects);
}

void
HandleReconnect(NodeState& aState,
                TargetId aTarget,
                TimePoint aNow,
                Effects& aEffects)
{
  if (aState.mOwner.mPools.contains(aTarget)) {
    ServePool(aState, aTarget, aNow, aEffects);
  }
}

void
FlushReplies(NodeState& aState, VmId aEntry, Effects& aEffects)
{
  auto outbox = aState.mOwner.mOutboxes.extract(aEntry);
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

void
ReconcilePools(NodeState& aState, Effects& aEffects)
{
  std::vector<ConnectionId> stale;
  for (const auto& [id, connection] : aState.mOwner.mConnections) {
    const Target* target =
      aState.mConfiguration.mDeployment->FindTarget(connection.mTarget);
    const TargetPool& pool = aState.mOwner.mPools.at(connection.mTarget);
    const bool isGone = target == nullptr || target->mAddress != pool.mAddress;
    if (isGone && !connection.mBusy) {
      stale.push_back(id);
    }
  }
  std::sort(stale.begin(), stale.end());
  for (const ConnectionId connection : stale) {
    CloseConnection(aState, connection, aEffects);
  }
}

} // namespace wasabispread
