/*
 * Planning, sending, cancelling and matching of attempts.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <cassert>

namespace wasabispread {

namespace {

std::vector<BatchItem>&
ItemsFor(Outgoing& aOutgoing, VmId aOwner)
{
  auto& batches = aOutgoing.mBatches;
  const auto place = std::find_if(
    batches.rbegin(), batches.rend(), [aOwner](const OwnerBatch& aBatch) {
      return aBatch.mTargetOwner == aOwner;
    });
  if (place != batches.rend()) {
    return place->mItems;
  }
  batches.push_back(OwnerBatch{ aOwner, {} });
  return batches.back().mItems;
}

std::vector<AttemptSequence>&
CancelsFor(Outgoing& aOutgoing, VmId aOwner)
{
  auto& cancels = aOutgoing.mCancels;
  const auto place = std::find_if(
    cancels.rbegin(), cancels.rend(), [aOwner](const OwnerCancel& aCancel) {
      return aCancel.mTargetOwner == aOwner;
    });
  if (place != cancels.rend()) {
    return place->mSequences;
  }
  cancels.push_back(OwnerCancel{ aOwner, {} });
  return cancels.back().mSequences;
}

/** The time that an owner is given. It leaves enough for the owner to say, when
    its time is up, whether an attempt ran. */
Duration
OwnerBudget(const VmState& aState, Duration aLeft, const ZoneName& aOwnerZone)
{
  constexpr Duration kOwnZoneReserve = std::chrono::milliseconds(2);
  constexpr Duration kOtherZoneReserve = std::chrono::milliseconds(12);
  constexpr int kMostDivisor = 8;
  const Duration reserve =
    aOwnerZone == aState.mSelf.mZone ? kOwnZoneReserve : kOtherZoneReserve;
  return aLeft - std::min(reserve, aLeft / kMostDivisor);
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
  assert(shard.mAttempts < kMostAttempts);
  const auto position = ChooseReplica(aState, aQuery, shard, aNow);
  if (!position) {
    return tl::unexpected(position.error());
  }
  const auto owner = PickOwner(aState, aQuery, shard, *position, aNow);
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
  const InFlightAttempt place{ aQueryId, aShardPosition, *owner,  target,
                               aNow,     distance,       aIsHedge };
  ObserveSent(aState, aQuery.mService, place, aNow);
  aState.mCoordinator.mAttempts.emplace(sequence, place);
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
  if (service.mExhaustionLogged + kLogInterval <= aNow) {
    service.mExhaustionLogged = aNow;
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
    const auto attempt =
      aState.mCoordinator.mAttempts.extract(aShard.mTried[index].mSequence);
    if (attempt.empty()) {
      continue;
    }
    --aShard.mAttemptsInFlight;
    const InFlightAttempt& place = attempt.mapped();
    ObserveAbandoned(aState, place, aNow);
    CancelsFor(aOutgoing, place.mTargetOwner).push_back(attempt.key());
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
TakeEndedAttempt(VmState& aState,
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
  const InFlightAttempt place = found->second;
  aState.mCoordinator.mAttempts.erase(found);
  ObserveReply(aState, place, aReply, aNow, aEffects);
  Query& query = aState.mCoordinator.mQueries.at(place.mQuery);
  --query.mShards[place.mShardPosition].mAttemptsInFlight;
  return place;
}

std::vector<AttemptSequence>
AttemptsAt(const CoordinatorState& aEntry, VmId aOwner)
{
  std::vector<AttemptSequence> sequences;
  for (const auto& [sequence, place] : aEntry.mAttempts) {
    if (place.mTargetOwner == aOwner) {
      sequences.push_back(sequence);
    }
  }
  // The table's order depends on its history; the attempts' order does not.
  std::sort(sequences.begin(), sequences.end());
  return sequences;
}

} // namespace wasabispread
