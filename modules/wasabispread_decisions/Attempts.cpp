/*
 * Plans, sends and cancels attempts, and matches them with their replies.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <cassert>

namespace wasabispread {

namespace {

/** The attempts collected for an owner; adds an empty batch when there is
    none. */
std::vector<BatchItem>&
ItemsFor(Outgoing& aOutgoing, VmId aOwner)
{
  auto& batches = aOutgoing.mBatches;
  const auto found = std::find_if(
    batches.rbegin(), batches.rend(), [aOwner](const OwnerBatch& aBatch) {
      return aBatch.mTargetOwner == aOwner;
    });
  if (found != batches.rend()) {
    return found->mItems;
  }
  batches.push_back(OwnerBatch{ aOwner, {} });
  return batches.back().mItems;
}

/** The cancellations collected for an owner; adds an empty list when there is
    none. */
std::vector<AttemptSequence>&
CancelsFor(Outgoing& aOutgoing, VmId aOwner)
{
  auto& cancels = aOutgoing.mCancels;
  const auto found = std::find_if(
    cancels.rbegin(), cancels.rend(), [aOwner](const OwnerCancel& aCancel) {
      return aCancel.mTargetOwner == aOwner;
    });
  if (found != cancels.rend()) {
    return found->mSequences;
  }
  cancels.push_back(OwnerCancel{ aOwner, {} });
  return cancels.back().mSequences;
}

/** The time that a target owner is given for an attempt. It is shorter than the
    time left, so that the owner can still report, when its time is over,
    whether the attempt ran. */
Duration
OwnerBudget(const VmState& aState, Duration aLeft, const ZoneName& aOwnerZone)
{
  constexpr Duration kOwnZoneReserve = std::chrono::milliseconds(2);
  constexpr Duration kOtherZoneReserve = std::chrono::milliseconds(12);
  constexpr int kReserveDivisor = 8;
  const Duration reserve =
    aOwnerZone == aState.mSelf.mZone ? kOwnZoneReserve : kOtherZoneReserve;
  return aLeft - std::min(reserve, aLeft / kReserveDivisor);
}

BatchRequest
MakeBatchRequest(const VmState& aState,
                 const Query& aQuery,
                 const VmRecord& aOwner,
                 TimePoint aNow)
{
  BatchRequest request;
  request.mIncarnation = aState.mSelf.mIncarnation;
  request.mRequestId = aQuery.mRequest.mRequestId;
  request.mService = aQuery.mService;
  request.mRevision = aQuery.mRevision;
  request.mOperation = aQuery.mRequest.mOperation;
  request.mSnapshot = aQuery.mSnapshot;
  request.mKey = aQuery.mRequest.mKey;
  request.mBody = aQuery.mRequest.mBody;
  request.mBudget = OwnerBudget(aState, aQuery.mDeadline - aNow, aOwner.mZone);
  return request;
}

} // namespace

tl::expected<TargetId, MissingReason>
PlanAttempt(VmState& aState,
            QueryId aQueryId,
            Query& aQuery,
            std::uint32_t aShardPosition,
            bool aIsHedge,
            TimePoint aNow,
            Outgoing& aOutgoing)
{
  ShardProgress& shard = aQuery.mShards[aShardPosition];
  assert(shard.mAttempts < kMaxAttempts);
  const auto position = ChooseReplica(aState, aQuery, shard, aNow);
  if (!position) {
    return tl::unexpected(position.error());
  }
  const auto owner =
    ChooseOwnerForAttempt(aState, aQuery, shard, *position, aNow);
  if (!owner) {
    return tl::unexpected(owner.error());
  }
  const Target& record = aQuery.mDeployment->mTargets[*position];
  const TargetId target = record.mId;
  const Distance distance = record.mZone == aState.mSelf.mZone
                              ? Distance::kOwnZone
                              : Distance::kOtherZone;
  const AttemptSequence sequence(aState.mCoordinator.mNextAttempt++);
  shard.mTried[shard.mAttempts++] =
    ShardAttempt{ sequence, target, *owner, aNow, distance };
  ++shard.mAttemptsInFlight;
  ++aState.mCounters.mAttempts;
  const InFlightAttempt attempt{ aQueryId, aShardPosition, *owner,  target,
                                 aNow,     distance,       aIsHedge };
  ObserveSent(aState, aQuery.mService, attempt, aNow);
  aState.mCoordinator.mAttempts.emplace(sequence, attempt);
  ItemsFor(aOutgoing, *owner)
    .push_back(BatchItem{ sequence, target, shard.mShard });
  return target;
}

bool
ChargeExtraAttempt(VmState& aState,
                   const Query& aQuery,
                   TimePoint aNow,
                   Effects& aEffects)
{
  constexpr Duration kLogInterval = std::chrono::seconds(1);
  if (!aState.mCoordinator.mPolicy.mIsBudgeted) {
    return true;
  }
  ServiceObservation& service = aState.mCoordinator.mServices[aQuery.mService];
  if (TakeExtraAttemptToken(service.mBudget)) {
    return true;
  }
  ++aState.mCounters.mExtraAttemptsDenied;
  if (service.mBudgetExhaustionLogged + kLogInterval <= aNow) {
    service.mBudgetExhaustionLogged = aNow;
    aEffects.push_back(LogDecision{ ExtraAttemptBudgetExhausted{
      aQuery.mRequest.mRequestId,
      aQuery.mService,
      aQuery.mServiceRecord->mExtraAttemptShare } });
  }
  return false;
}

void
RefundExtraAttempt(VmState& aState, const Query& aQuery)
{
  if (aState.mCoordinator.mPolicy.mIsBudgeted) {
    aState.mCoordinator.mServices[aQuery.mService].mBudget.mTokens += 1;
  }
}

void
AbandonAttempts(VmState& aState,
                ShardProgress& aShard,
                TimePoint aNow,
                Outgoing& aOutgoing)
{
  for (std::uint8_t index = 0;
       index < aShard.mAttempts && aShard.mAttemptsInFlight != 0;
       ++index) {
    const auto node =
      aState.mCoordinator.mAttempts.extract(aShard.mTried[index].mSequence);
    if (node.empty()) {
      continue;
    }
    --aShard.mAttemptsInFlight;
    const InFlightAttempt& attempt = node.mapped();
    ObserveAbandoned(aState, attempt, aNow);
    CancelsFor(aOutgoing, attempt.mTargetOwner).push_back(node.key());
  }
}

void
SendOutgoing(VmState& aState,
             const Query& aQuery,
             Outgoing& aOutgoing,
             TimePoint aNow,
             Effects& aEffects)
{
  for (OwnerCancel& cancel : aOutgoing.mCancels) {
    const VmRecord* member =
      FindMember(aState.mMembership, cancel.mTargetOwner);
    if (member != nullptr) {
      SendToVm(
        aState,
        cancel.mTargetOwner,
        member->mPeerAddress,
        BatchCancel{ aState.mSelf.mIncarnation, std::move(cancel.mSequences) },
        aEffects);
    }
  }
  for (OwnerBatch& batch : aOutgoing.mBatches) {
    const VmRecord* member = FindMember(aState.mMembership, batch.mTargetOwner);
    assert(member != nullptr);
    BatchRequest request = MakeBatchRequest(aState, aQuery, *member, aNow);
    request.mItems = std::move(batch.mItems);
    ++aState.mCounters.mBatchesSent;
    SendToVm(aState,
             batch.mTargetOwner,
             member->mPeerAddress,
             std::move(request),
             aEffects);
  }
  aOutgoing = Outgoing{};
}

std::optional<InFlightAttempt>
RemoveEndedAttempt(VmState& aState,
                   VmId aOwner,
                   const ItemReply& aReply,
                   TimePoint aNow,
                   Effects& aEffects)
{
  const auto found = aState.mCoordinator.mAttempts.find(aReply.mSequence);
  if (found == aState.mCoordinator.mAttempts.end()) {
    ++aState.mCounters.mLateReplies;
    return std::nullopt;
  }
  if (found->second.mTargetOwner != aOwner) {
    ++aState.mCounters.mForeignReplies;
    return std::nullopt;
  }
  const InFlightAttempt attempt = found->second;
  aState.mCoordinator.mAttempts.erase(found);
  ObserveReply(aState, attempt, aReply, aNow, aEffects);
  Query& query = aState.mCoordinator.mQueries.at(attempt.mQuery);
  --query.mShards[attempt.mShardPosition].mAttemptsInFlight;
  return attempt;
}

std::vector<AttemptSequence>
AttemptsInFlightAt(const CoordinatorState& aCoordinator, VmId aOwner)
{
  std::vector<AttemptSequence> sequences;
  for (const auto& [sequence, attempt] : aCoordinator.mAttempts) {
    if (attempt.mTargetOwner == aOwner) {
      sequences.push_back(sequence);
    }
  }
  // The order of an unordered map depends on its history. Sorting makes the
  // order of the attempts reproducible.
  std::sort(sequences.begin(), sequences.end());
  return sequences;
}

} // namespace wasabispread
