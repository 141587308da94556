/*
 * The coordinator's handling of requests and replies.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

/** A request that an event affects, with the messages to send for it. */
struct AffectedQuery
{
  QueryId mQuery;
  Outgoing mOutgoing;
};

/** The messages to send for a request; adds the request when it is not yet in
    the list. */
Outgoing&
OutgoingFor(std::vector<AffectedQuery>& aAffectedQueries, QueryId aQuery)
{
  const auto found = std::find_if(aAffectedQueries.rbegin(),
                                  aAffectedQueries.rend(),
                                  [aQuery](const AffectedQuery& aAffected) {
                                    return aAffected.mQuery == aQuery;
                                  });
  if (found != aAffectedQueries.rend()) {
    return found->mOutgoing;
  }
  aAffectedQueries.push_back(AffectedQuery{ aQuery, {} });
  return aAffectedQueries.back().mOutgoing;
}

/** Whether a failed attempt may be followed by another one. */
bool
MayRetry(const Query& aQuery, const ShardProgress& aShard, bool aMayHaveRun)
{
  constexpr int kMaxUnhedgedAttempts = 3;
  const bool isSafeToRepeat =
    !aMayHaveRun || IsIdempotent(aQuery.mRequest.mOperation);
  return isSafeToRepeat && aShard.mAttempts < kMaxAttempts &&
         aShard.mAttempts - aShard.mHedges < kMaxUnhedgedAttempts;
}

/** Whether an attempt ended without any work at a target because the target or
    its owner is leaving. Another attempt in its place is not charged to the
    budget for extra attempts. */
bool
IsReplacement(MissingReason aReason, bool aMayHaveRun)
{
  const bool isLeaving = aReason == MissingReason::kDraining ||
                         aReason == MissingReason::kStopping ||
                         aReason == MissingReason::kOwnerLost;
  return isLeaving && !aMayHaveRun;
}

/** Whether enough time is left for another attempt to bring a result. */
bool
IsTimeForRetry(const VmState& aState, const Query& aQuery, TimePoint aNow)
{
  constexpr double kFastShare = 0.1;
  const ServiceObservation& service =
    aState.mCoordinator.mServices.at(aQuery.mService);
  return aQuery.mDeadline - aNow > service.mLatency.Quantile(kFastShare);
}

/** Sends another attempt after a failed one. Returns false when none can be
    sent. */
bool
RetryAttempt(VmState& aState,
             const InFlightAttempt& aAttempt,
             MissingReason aReason,
             bool aMayHaveRun,
             TimePoint aNow,
             Outgoing& aOutgoing,
             Effects& aEffects)
{
  Query& query = aState.mCoordinator.mQueries.at(aAttempt.mQuery);
  const bool isUncharged = IsReplacement(aReason, aMayHaveRun);
  if (!isUncharged && !ChargeExtraAttempt(aState, query, aNow, aEffects)) {
    return false;
  }
  const auto target = PlanAttempt(aState,
                                  aAttempt.mQuery,
                                  query,
                                  aAttempt.mShardPosition,
                                  false,
                                  aNow,
                                  aOutgoing);
  if (!target) {
    if (!isUncharged) {
      RefundExtraAttempt(aState, query);
    }
    return false;
  }
  ++aState.mCounters.mRetries;
  aEffects.push_back(
    LogDecision{ AttemptRetried{ query.mRequest.mRequestId,
                                 query.mShards[aAttempt.mShardPosition].mShard,
                                 aAttempt.mTarget,
                                 *target,
                                 aReason } });
  return true;
}

/** Retries a shard whose last attempt in flight brought no result, or marks the
    shard as missing. */
void
HandleAttemptFailed(VmState& aState,
                    const InFlightAttempt& aAttempt,
                    MissingReason aReason,
                    bool aMayHaveRun,
                    TimePoint aNow,
                    Outgoing& aOutgoing,
                    Effects& aEffects)
{
  Query& query = aState.mCoordinator.mQueries.at(aAttempt.mQuery);
  ShardProgress& shard = query.mShards[aAttempt.mShardPosition];
  query.mMayHaveRun = query.mMayHaveRun || aMayHaveRun;
  if (shard.mStatus != ShardStatus::kPending || shard.mAttemptsInFlight != 0) {
    return;
  }
  shard.mReason = aReason;
  const bool isRetried =
    MayRetry(query, shard, aMayHaveRun) && aReason != MissingReason::kTimeout &&
    IsTimeForRetry(aState, query, aNow) &&
    RetryAttempt(
      aState, aAttempt, aReason, aMayHaveRun, aNow, aOutgoing, aEffects);
  if (!isRetried) {
    MarkMissing(query, shard, aReason);
    query.mMustReconsiderSnapshot =
      query.mMustReconsiderSnapshot ||
      aReason == MissingReason::kSnapshotUnavailable;
  }
}

/** Stores a result in its request, and cancels the attempts that are still in
    flight at the shard. */
void
AcceptResult(VmState& aState,
             const InFlightAttempt& aAttempt,
             const ItemReply& aReply,
             TimePoint aNow,
             Outgoing& aOutgoing)
{
  Query& query = aState.mCoordinator.mQueries.at(aAttempt.mQuery);
  ShardProgress& shard = query.mShards[aAttempt.mShardPosition];
  shard.mStatus = ShardStatus::kAnswered;
  shard.mTarget = aAttempt.mTarget;
  shard.mSnapshot = aReply.mSnapshot;
  shard.mBody = aReply.mBody;
  --query.mPending;
  ++query.mAnswered;
  if (query.mRequest.mOperation != Operation::kSearch) {
    query.mSnapshot = aReply.mSnapshot;
  } else if (!query.mIsSnapshotSettled) {
    TallySnapshot(query, aReply.mSnapshot);
  }
  aState.mCounters.mHedgesWon += aAttempt.mIsHedge ? 1 : 0;
  CreditExtraAttempts(aState.mCoordinator.mServices[query.mService].mBudget,
                      *query.mServiceRecord);
  AbandonAttempts(aState, shard, aNow, aOutgoing);
}

/** Stores a result in its request; a result from another snapshot than the
    settled one is set aside and counts as a failed attempt. */
void
HandleAttemptAnswered(VmState& aState,
                      const InFlightAttempt& aAttempt,
                      const ItemReply& aReply,
                      TimePoint aNow,
                      Outgoing& aOutgoing,
                      Effects& aEffects)
{
  Query& query = aState.mCoordinator.mQueries.at(aAttempt.mQuery);
  if (query.mShards[aAttempt.mShardPosition].mStatus != ShardStatus::kPending) {
    ++aState.mCounters.mLateReplies;
    return;
  }
  const bool isOtherSnapshot =
    query.mRequest.mOperation == Operation::kSearch &&
    query.mIsSnapshotSettled && aReply.mSnapshot != query.mSnapshot;
  if (!isOtherSnapshot) {
    AcceptResult(aState, aAttempt, aReply, aNow, aOutgoing);
    return;
  }
  ++aState.mCounters.mSnapshotMismatches;
  KeepOtherSnapshotResult(query,
                          aAttempt.mShardPosition,
                          aAttempt.mTarget,
                          aReply.mSnapshot,
                          aReply.mBody);
  HandleAttemptFailed(aState,
                      aAttempt,
                      MissingReason::kSnapshotUnavailable,
                      true,
                      aNow,
                      aOutgoing,
                      aEffects);
}

/** Settles the snapshot of a search, sends the messages collected, and answers
    the request if it is done. */
void
AdvanceQuery(VmState& aState,
             AffectedQuery& aAffected,
             bool aIsSettlingForced,
             TimePoint aNow,
             Effects& aEffects)
{
  Query& query = aState.mCoordinator.mQueries.at(aAffected.mQuery);
  if (query.mRequest.mOperation == Operation::kSearch) {
    SettleSnapshot(aState,
                   aAffected.mQuery,
                   query,
                   aIsSettlingForced,
                   aNow,
                   aAffected.mOutgoing,
                   aEffects);
    ReconsiderSnapshot(
      aState, aAffected.mQuery, query, aNow, aAffected.mOutgoing, aEffects);
  }
  SendOutgoing(aState, query, aAffected.mOutgoing, aNow, aEffects);
  FinishIfDone(aState, aAffected.mQuery, aNow, aEffects);
}

/** Ends attempts and advances each request that they belong to. */
void
EndAttempts(VmState& aState,
            VmId aOwner,
            const std::vector<ItemReply>& aReplies,
            TimePoint aNow,
            Effects& aEffects)
{
  std::vector<AffectedQuery> affected;
  for (const ItemReply& reply : aReplies) {
    const auto attempt =
      RemoveEndedAttempt(aState, aOwner, reply, aNow, aEffects);
    if (!attempt) {
      continue;
    }
    Outgoing& outgoing = OutgoingFor(affected, attempt->mQuery);
    if (reply.mOutcome == AttemptOutcome::kAnswered) {
      HandleAttemptAnswered(aState, *attempt, reply, aNow, outgoing, aEffects);
      continue;
    }
    HandleAttemptFailed(aState,
                        *attempt,
                        MissingReasonOf(reply),
                        reply.mOutcome == AttemptOutcome::kUnknown,
                        aNow,
                        outgoing,
                        aEffects);
  }
  for (AffectedQuery& each : affected) {
    AdvanceQuery(aState, each, false, aNow, aEffects);
  }
}

/** Creates the state of a request that passed its checks. */
Query
MakeQuery(VmState& aState,
          const CallerRequest& aRequest,
          const Service& aService,
          TimePoint aNow)
{
  Query query;
  query.mRequest = aRequest;
  query.mService = aService.mId;
  query.mRevision = aState.mConfiguration.mRevision;
  query.mDeployment = aState.mConfiguration.mDeployment;
  query.mServiceRecord = &aService;
  query.mStarted = aNow;
  const Duration budget = std::min(aRequest.mTimeout, aService.mMaximumWait);
  query.mDeadline = aNow + budget - AnswerMargin(budget);
  const auto shards = ShardsOf(aService, aRequest.mOperation, aRequest.mKey);
  query.mShards.resize(shards.size());
  for (std::size_t position = 0; position < shards.size(); ++position) {
    query.mShards[position].mShard = shards[position];
  }
  query.mPending = static_cast<std::uint32_t>(query.mShards.size());
  if (aRequest.mOperation != Operation::kAction) {
    query.mSnapshot = PlanSnapshot(aState, query);
    query.mIsSnapshotSettled = query.mSnapshot.Value() != 0;
  }
  constexpr double kMedian = 0.5;
  const CoordinatorPolicy& policy = aState.mCoordinator.mPolicy;
  const ServiceObservation& service = ObservedService(aState, aService);
  query.mHedgeDelay =
    HedgeDelay(policy, aService, service, query.mDeadline - aNow);
  query.mGrace =
    EarlyAnswerGrace(policy,
                     LearnedDelay(aService, service).Longest(),
                     std::max(service.mOwnZoneLatency.Quantile(kMedian),
                              service.mOtherZoneLatency.Quantile(kMedian)));
  return query;
}

/** The log record of a request that was planned. */
QueryPlanned
DescribePlan(const Query& aQuery, const Outgoing& aOutgoing, TimePoint aNow)
{
  QueryPlanned record;
  record.mRequestId = aQuery.mRequest.mRequestId;
  record.mService = aQuery.mService;
  record.mOperation = aQuery.mRequest.mOperation;
  record.mRevision = aQuery.mRevision;
  record.mSnapshot = aQuery.mSnapshot;
  record.mBudget = aQuery.mDeadline - aNow;
  record.mUnroutable =
    static_cast<std::uint32_t>(aQuery.mShards.size()) - aQuery.mPending;
  for (const OwnerBatch& batch : aOutgoing.mBatches) {
    record.mBatches.push_back(PlannedBatch{
      batch.mTargetOwner, static_cast<std::uint32_t>(batch.mItems.size()) });
  }
  return record;
}

/** Arms the timers of a request that was just sent. */
void
ArmQueryTimers(VmState& aState, QueryId aQueryId, Query& aQuery, TimePoint aNow)
{
  constexpr int kSettlingDelayDivisor = 4;
  aState.mTimers.Arm(
    aQuery.mDeadline, TimerKind::kQueryDeadline, aQueryId.Value());
  if (aQuery.mHedgeDelay.Longest() > Duration::zero()) {
    ArmHedgeTimer(aState, aQueryId, aQuery, aNow);
  } else if (!aQuery.mIsSnapshotSettled &&
             aQuery.mRequest.mOperation == Operation::kSearch) {
    const Duration wait = (aQuery.mDeadline - aNow) / kSettlingDelayDivisor;
    aState.mTimers.Arm(aNow + wait, TimerKind::kHedge, aQueryId.Value());
  }
}

} // namespace

void
RefuseRequest(VmState& aState,
              const CallerRequest& aRequest,
              Error aError,
              Effects& aEffects)
{
  ++aState.mCounters.mRequestsRefused;
  aEffects.push_back(
    LogDecision{ RequestRefused{ aRequest.mRequestId,
                                 aRequest.mService,
                                 std::string(ToText(aError.mKind)) } });
  aEffects.push_back(
    AnswerCaller{ aRequest.mToken, aRequest.mRequestId, std::move(aError) });
}

void
StartQuery(VmState& aState,
           const CallerRequest& aRequest,
           const Service& aService,
           TimePoint aNow,
           Effects& aEffects)
{
  const QueryId queryId(aState.mCoordinator.mNextQuery++);
  Query& query =
    aState.mCoordinator.mQueries
      .emplace(queryId, MakeQuery(aState, aRequest, aService, aNow))
      .first->second;
  aState.mCoordinator.mQueryOfCaller[aRequest.mToken] = queryId;
  Outgoing outgoing;
  for (std::uint32_t shard = 0; shard < query.mShards.size(); ++shard) {
    const auto target =
      PlanAttempt(aState, queryId, query, shard, false, aNow, outgoing);
    if (!target) {
      MarkMissing(query, query.mShards[shard], target.error());
    }
  }
  aEffects.push_back(LogDecision{ DescribePlan(query, outgoing, aNow) });
  SendOutgoing(aState, query, outgoing, aNow, aEffects);
  ArmQueryTimers(aState, queryId, query, aNow);
  FinishIfDone(aState, queryId, aNow, aEffects);
}

void
HandleCallerRequest(VmState& aState,
                    const CallerRequest& aRequest,
                    TimePoint aNow,
                    Effects& aEffects)
{
  ++aState.mCounters.mRequests;
  const auto service = CheckRequest(aState, aRequest, aNow);
  if (!service) {
    RefuseRequest(aState, aRequest, service.error(), aEffects);
    return;
  }
  if (auto error = CheckAdmission(aState, **service, aRequest, aNow)) {
    RefuseRequest(aState, aRequest, std::move(*error), aEffects);
    return;
  }
  if (NeedsClaim(aRequest)) {
    BeginClaim(aState, aRequest, **service, aNow, aEffects);
    return;
  }
  StartQuery(aState, aRequest, **service, aNow, aEffects);
}

void
HandleCallerDisconnected(VmState& aState,
                         const CallerDisconnected& aEvent,
                         TimePoint aNow,
                         Effects& aEffects)
{
  AbandonClaim(aState, aEvent.mToken, aEffects);
  const auto found = aState.mCoordinator.mQueryOfCaller.find(aEvent.mToken);
  if (found == aState.mCoordinator.mQueryOfCaller.end()) {
    return;
  }
  ++aState.mCounters.mCallersDisconnected;
  const QueryId queryId = found->second;
  Query& query = aState.mCoordinator.mQueries.at(queryId);
  Outgoing outgoing;
  for (ShardProgress& shard : query.mShards) {
    AbandonAttempts(aState, shard, aNow, outgoing);
  }
  SendOutgoing(aState, query, outgoing, aNow, aEffects);
  aState.mCoordinator.mQueryOfCaller.erase(found);
  aState.mCoordinator.mQueries.erase(queryId);
}

void
HandleBatchReply(VmState& aState,
                 VmId aOwner,
                 const BatchReply& aReply,
                 TimePoint aNow,
                 Effects& aEffects)
{
  if (aReply.mIncarnation != aState.mSelf.mIncarnation) {
    ++aState.mCounters.mForeignReplies;
    return;
  }
  EndAttempts(aState, aOwner, aReply.mItems, aNow, aEffects);
}

void
HandleOwnerLost(VmState& aState, VmId aOwner, TimePoint aNow, Effects& aEffects)
{
  std::vector<ItemReply> replies;
  for (const AttemptSequence sequence :
       AttemptsInFlightAt(aState.mCoordinator, aOwner)) {
    ItemReply reply;
    reply.mSequence = sequence;
    reply.mOutcome = AttemptOutcome::kUnknown;
    reply.mReason = MissingReason::kOwnerLost;
    replies.push_back(std::move(reply));
  }
  EndAttempts(aState, aOwner, replies, aNow, aEffects);
}

void
HandleAttemptsNotSent(VmState& aState,
                      const AttemptsNotSent& aEvent,
                      TimePoint aNow,
                      Effects& aEffects)
{
  std::vector<ItemReply> replies;
  for (const AttemptSequence sequence : aEvent.mAttempts) {
    ItemReply reply;
    reply.mSequence = sequence;
    reply.mOutcome = AttemptOutcome::kNotRun;
    reply.mReason = MissingReason::kOwnerLost;
    replies.push_back(std::move(reply));
  }
  EndAttempts(aState, aEvent.mPeer, replies, aNow, aEffects);
}

void
HandleQueryDeadline(VmState& aState,
                    QueryId aQuery,
                    TimePoint aNow,
                    Effects& aEffects)
{
  if (aState.mCoordinator.mQueries.contains(aQuery)) {
    FinishQuery(aState, aQuery, MissingReason::kTimeout, aNow, aEffects);
  }
}

void
HandleHedgeDue(VmState& aState,
               QueryId aQuery,
               TimePoint aNow,
               Effects& aEffects)
{
  const auto found = aState.mCoordinator.mQueries.find(aQuery);
  // After a pause of the process, the timer may fire later than the deadline.
  if (found == aState.mCoordinator.mQueries.end() ||
      found->second.mDeadline <= aNow) {
    return;
  }
  Query& query = found->second;
  AffectedQuery affected{ aQuery, {} };
  if (query.mHedgeDelay.Longest() > Duration::zero()) {
    HedgeSlowShards(aState, aQuery, query, aNow, affected.mOutgoing, aEffects);
    ArmHedgeTimer(aState, aQuery, query, aNow);
  }
  AdvanceQuery(aState, affected, true, aNow, aEffects);
}

void
HandleEarlyAnswerDue(VmState& aState,
                     QueryId aQuery,
                     TimePoint aNow,
                     Effects& aEffects)
{
  if (aState.mCoordinator.mQueries.contains(aQuery)) {
    FinishIfDone(aState, aQuery, aNow, aEffects);
  }
}

} // namespace wasabispread
