/*
 * The entry's handling of requests and replies.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

/** Requests that an event touched, with what is to be sent for each. */
struct Touched
{
  QueryId mQuery;
  Outgoing mOutgoing;
};

Outgoing&
OutgoingFor(std::vector<Touched>& aTouched, QueryId aQuery)
{
  const auto place = std::find_if(
    aTouched.rbegin(), aTouched.rend(), [aQuery](const Touched& aEntry) {
      return aEntry.mQuery == aQuery;
    });
  if (place != aTouched.rend()) {
    return place->mOutgoing;
  }
  aTouched.push_back(Touched{ aQuery, {} });
  return aTouched.back().mOutgoing;
}

/** Whether a failed attempt may be followed by another one. */
bool
MayRetry(const Query& aQuery, const ShardProgress& aShard, bool aMayHaveRun)
{
  constexpr int kMostUnhedged = 3;
  const bool isHarmless =
    !aMayHaveRun || IsIdempotent(aQuery.mRequest.mOperation);
  return isHarmless && aShard.mAttempts < kMostAttempts &&
         aShard.mAttempts - aShard.mHedges < kMostUnhedged;
}

/** Whether an attempt ended without any work at a target, since the target or
    its owner is leaving: another one in its place is no extra load. */
bool
IsReplacement(MissingReason aReason, bool aMayHaveRun)
{
  const bool isLeaving = aReason == MissingReason::kDraining ||
                         aReason == MissingReason::kStopping ||
                         aReason == MissingReason::kOwnerLost;
  return isLeaving && !aMayHaveRun;
}

/** Whether another attempt could still bring a result. */
bool
IsTimeForRetry(const VmState& aState, const Query& aQuery, TimePoint aNow)
{
  constexpr double kFastShare = 0.1;
  const ServiceObservation& service =
    aState.mCoordinator.mServices.at(aQuery.mService);
  return aQuery.mDeadline - aNow > service.mLatency.Quantile(kFastShare);
}

/** Sends another attempt after a failed one, if there is one to send. */
bool
Retry(VmState& aState,
      const InFlightAttempt& aPlace,
      MissingReason aReason,
      bool aMayHaveRun,
      TimePoint aNow,
      Outgoing& aOutgoing,
      Effects& aEffects)
{
  Query& query = aState.mCoordinator.mQueries.at(aPlace.mQuery);
  const bool isFree = IsReplacement(aReason, aMayHaveRun);
  if (!isFree && !ChargeExtraAttempt(aState, query, aNow, aEffects)) {
    return false;
  }
  const auto target = PlanAttempt(aState,
                                  aPlace.mQuery,
                                  query,
                                  aPlace.mShardPosition,
                                  false,
                                  aNow,
                                  aOutgoing);
  if (!target) {
    if (!isFree) {
      RefundExtraAttempt(aState, query);
    }
    return false;
  }
  ++aState.mCounters.mRetries;
  aEffects.push_back(
    LogDecision{ AttemptRetried{ query.mRequest.mRequestId,
                                 query.mShards[aPlace.mShardPosition].mShard,
                                 aPlace.mTarget,
                                 *target,
                                 aReason } });
  return true;
}

/** Follows up an attempt that brought no result. */
void
HandleAttemptFailed(VmState& aState,
                    const InFlightAttempt& aPlace,
                    MissingReason aReason,
                    bool aMayHaveRun,
                    TimePoint aNow,
                    Outgoing& aOutgoing,
                    Effects& aEffects)
{
  Query& query = aState.mCoordinator.mQueries.at(aPlace.mQuery);
  ShardProgress& shard = query.mShards[aPlace.mShardPosition];
  query.mMayHaveRun = query.mMayHaveRun || aMayHaveRun;
  if (shard.mStatus != ShardStatus::kPending || shard.mAttemptsInFlight != 0) {
    return;
  }
  shard.mReason = aReason;
  const bool isRetried =
    MayRetry(query, shard, aMayHaveRun) && aReason != MissingReason::kTimeout &&
    IsTimeForRetry(aState, query, aNow) &&
    Retry(aState, aPlace, aReason, aMayHaveRun, aNow, aOutgoing, aEffects);
  if (!isRetried) {
    MarkMissing(query, shard, aReason);
    query.mLacksSnapshot =
      query.mLacksSnapshot || aReason == MissingReason::kSnapshotUnavailable;
  }
}

/** Takes a result into its request; attempts still in flight at the shard are
    cancelled. */
void
AcceptResult(VmState& aState,
             const InFlightAttempt& aPlace,
             const ItemReply& aReply,
             TimePoint aNow,
             Outgoing& aOutgoing)
{
  Query& query = aState.mCoordinator.mQueries.at(aPlace.mQuery);
  ShardProgress& shard = query.mShards[aPlace.mShardPosition];
  shard.mStatus = ShardStatus::kAnswered;
  shard.mTarget = aPlace.mTarget;
  shard.mSnapshot = aReply.mSnapshot;
  shard.mBody = aReply.mBody;
  --query.mPending;
  ++query.mAnswered;
  if (query.mRequest.mOperation != Operation::kSearch) {
    query.mSnapshot = aReply.mSnapshot;
  } else if (!query.mIsSettled) {
    TallySnapshot(query, aReply.mSnapshot);
  }
  aState.mCounters.mHedgesWon += aPlace.mIsHedge ? 1 : 0;
  CreditExtraAttempts(aState.mCoordinator.mServices[query.mService].mBudget,
                      *query.mServiceRecord);
  AbandonAttempts(aState, shard, aNow, aOutgoing);
}

/** Takes a result into its request, unless it is of another snapshot. */
void
HandleAttemptAnswered(VmState& aState,
                      const InFlightAttempt& aPlace,
                      const ItemReply& aReply,
                      TimePoint aNow,
                      Outgoing& aOutgoing,
                      Effects& aEffects)
{
  Query& query = aState.mCoordinator.mQueries.at(aPlace.mQuery);
  if (query.mShards[aPlace.mShardPosition].mStatus != ShardStatus::kPending) {
    ++aState.mCounters.mLateReplies;
    return;
  }
  const bool isOther = query.mRequest.mOperation == Operation::kSearch &&
                       query.mIsSettled && aReply.mSnapshot != query.mSnapshot;
  if (!isOther) {
    AcceptResult(aState, aPlace, aReply, aNow, aOutgoing);
    return;
  }
  ++aState.mCounters.mSnapshotMismatches;
  KeepSpare(query,
            aPlace.mShardPosition,
            aPlace.mTarget,
            aReply.mSnapshot,
            aReply.mBody);
  HandleAttemptFailed(aState,
                      aPlace,
                      MissingReason::kSnapshotUnavailable,
                      true,
                      aNow,
                      aOutgoing,
                      aEffects);
}

/** Settles snapshots, sends what was collected, and answers if it is time. */
void
FollowUp(VmState& aState,
         Touched& aTouched,
         bool aIsSettlingForced,
         TimePoint aNow,
         Effects& aEffects)
{
  Query& query = aState.mCoordinator.mQueries.at(aTouched.mQuery);
  if (query.mRequest.mOperation == Operation::kSearch) {
    SettleSnapshot(aState,
                   aTouched.mQuery,
                   query,
                   aIsSettlingForced,
                   aNow,
                   aTouched.mOutgoing,
                   aEffects);
    ReconsiderSnapshot(
      aState, aTouched.mQuery, query, aNow, aTouched.mOutgoing, aEffects);
  }
  SendOutgoing(aState, query, aTouched.mOutgoing, aNow, aEffects);
  FinishIfDone(aState, aTouched.mQuery, aNow, aEffects);
}

/** Ends attempts and follows up each request concerned. */
void
EndAttempts(VmState& aState,
            VmId aOwner,
            const std::vector<ItemReply>& aReplies,
            TimePoint aNow,
            Effects& aEffects)
{
  std::vector<Touched> touched;
  for (const ItemReply& reply : aReplies) {
    const auto place = TakeEndedAttempt(aState, aOwner, reply, aNow, aEffects);
    if (!place) {
      continue;
    }
    Outgoing& outgoing = OutgoingFor(touched, place->mQuery);
    if (reply.mOutcome == AttemptOutcome::kAnswered) {
      HandleAttemptAnswered(aState, *place, reply, aNow, outgoing, aEffects);
      continue;
    }
    HandleAttemptFailed(aState,
                        *place,
                        MissingReasonOf(reply),
                        reply.mOutcome == AttemptOutcome::kUnknown,
                        aNow,
                        outgoing,
                        aEffects);
  }
  for (Touched& each : touched) {
    FollowUp(aState, each, false, aNow, aEffects);
  }
}

/** Sets up a request that passed its checks. */
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
    query.mIsSettled = query.mSnapshot.Value() != 0;
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
  constexpr int kSettlingDivisor = 4;
  aState.mTimers.Arm(
    aQuery.mDeadline, TimerKind::kQueryDeadline, aQueryId.Value());
  if (aQuery.mHedgeDelay.Longest() > Duration::zero()) {
    ArmHedgeTimer(aState, aQueryId, aQuery, aNow);
  } else if (!aQuery.mIsSettled &&
             aQuery.mRequest.mOperation == Operation::kSearch) {
    const Duration wait = (aQuery.mDeadline - aNow) / kSettlingDivisor;
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
  LeaveClaim(aState, aEvent.mToken, aEffects);
  const auto place = aState.mCoordinator.mQueryOfCaller.find(aEvent.mToken);
  if (place == aState.mCoordinator.mQueryOfCaller.end()) {
    return;
  }
  ++aState.mCounters.mCallersDisconnected;
  const QueryId queryId = place->second;
  Query& query = aState.mCoordinator.mQueries.at(queryId);
  Outgoing outgoing;
  for (ShardProgress& shard : query.mShards) {
    AbandonAttempts(aState, shard, aNow, outgoing);
  }
  SendOutgoing(aState, query, outgoing, aNow, aEffects);
  aState.mCoordinator.mQueryOfCaller.erase(place);
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
       AttemptsAt(aState.mCoordinator, aOwner)) {
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
  const auto place = aState.mCoordinator.mQueries.find(aQuery);
  // A paused process may come here after the deadline.
  if (place == aState.mCoordinator.mQueries.end() ||
      place->second.mDeadline <= aNow) {
    return;
  }
  Query& query = place->second;
  Touched touched{ aQuery, {} };
  if (query.mHedgeDelay.Longest() > Duration::zero()) {
    HedgeSlowShards(aState, aQuery, query, aNow, touched.mOutgoing, aEffects);
    ArmHedgeTimer(aState, aQuery, query, aNow);
  }
  FollowUp(aState, touched, true, aNow, aEffects);
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
