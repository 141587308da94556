/*
 * The entry's handling of requests and replies.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <cassert>
#include <map>

namespace wasabispread {

namespace {

constexpr Duration kMostPatience = std::chrono::minutes(10);
constexpr std::uint8_t kMostAttempts = 3;

/** The time kept back so that the answer arrives within the caller's wait. */
Duration
AnswerMargin(Duration aBudget)
{
  constexpr Duration kMostMargin = std::chrono::milliseconds(10);
  constexpr std::int64_t kBudgetDivisor = 20;
  return std::min(kMostMargin, aBudget / kBudgetDivisor);
}

void
Refuse(NodeState& aState,
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

/** The service a request may use, or why it may not. */
Result<const Service*>
CheckRequest(const NodeState& aState, const CallerRequest& aRequest)
{
  if (aState.mStopping) {
    return Fail(ErrorKind::kNotReady,
                "this VM is stopping",
                "ask another VM of the deployment");
  }
  if (aState.mConfiguration.mDeployment == nullptr) {
    return Fail(ErrorKind::kNotReady,
                "this VM has no configuration yet",
                "ask another VM, or apply a deployment file");
  }
  const Service* service = aState.mConfiguration.mDeployment->FindService(
    IdFromName<ServiceId>(aRequest.mService));
  if (service == nullptr) {
    return Fail(ErrorKind::kUnknownService,
                "no service '" + aRequest.mService + "' is declared",
                "correct the name, or declare it in the deployment file");
  }
  if (!service->Offers(aRequest.mOperation)) {
    return Fail(ErrorKind::kOperationNotOffered,
                "the service does not offer '" +
                  std::string(ToText(aRequest.mOperation)) + "'",
                "use one of its declared operations");
  }
  if (aRequest.mPatience <= Duration::zero() ||
      aRequest.mPatience > kMostPatience) {
    return Fail(ErrorKind::kInvalidPatience,
                "the patience must be above 0 and at most 10 min",
                "send a patience within that range");
  }
  return service;
}

/** Attempts to be sent, by owner. */
using Batches = std::map<VmId, std::vector<BatchItem>>;

/** Where a target of a query's deployment stands in the one in force. */
std::optional<std::uint32_t>
PositionInForce(const NodeState& aState,
                const Query& aQuery,
                std::uint32_t aPosition)
{
  const DeploymentPointer& current = aState.mConfiguration.mDeployment;
  if (aQuery.mDeployment == current) {
    return aPosition;
  }
  const TargetId target = aQuery.mDeployment->mTargets[aPosition].mId;
  const auto place = current->mTargetIndex.find(target);
  if (place == current->mTargetIndex.end()) {
    return std::nullopt;
  }
  return place->second;
}

/** Plans one more attempt at a shard; false when there is no owner. */
bool
PlanAttempt(NodeState& aState,
            QueryId aQueryId,
            Query& aQuery,
            std::uint32_t aShardPosition,
            std::optional<TargetId> aExclude,
            TimePoint aNow,
            Batches& aBatches)
{
  ShardProgress& shard = aQuery.mShards[aShardPosition];
  const std::uint32_t position =
    ChooseReplica(aState, aQuery, shard.mShard, aExclude, aNow);
  const Target& target = aQuery.mDeployment->mTargets[position];
  const auto inForce = PositionInForce(aState, aQuery, position);
  if (!inForce) {
    shard.mReason = MissingReason::kUnknownTarget;
    return false;
  }
  const OwnerGroup& group =
    aState.mConfiguration
      .mGroups[aState.mConfiguration.mGroupOfTarget[*inForce]];
  const std::vector<VmId>& owners = OwnersOf(aState.mMembership, group);
  if (owners.empty()) {
    shard.mReason = MissingReason::kNoOwner;
    return false;
  }
  const AttemptSequence sequence(aState.mEntry.mNextAttempt++);
  shard.mTarget = target.mId;
  ++shard.mAttempts;
  ++shard.mAttemptsInFlight;
  ++aState.mEntry.mTargets[target.mId].mInFlight;
  ++aState.mCounters.mAttempts;
  aQuery.mSequences.push_back(sequence);
  aState.mEntry.mAttempts.emplace(
    sequence,
    AttemptPlace{ aQueryId, aShardPosition, owners.front(), target.mId, aNow });
  aBatches[owners.front()].push_back(
    BatchItem{ sequence, target.mId, shard.mShard });
  return true;
}

void
SendBatches(NodeState& aState,
            const Query& aQuery,
            Batches& aBatches,
            TimePoint aNow,
            Effects& aEffects)
{
  for (auto& [owner, items] : aBatches) {
    const VmRecord* member = FindMember(aState.mMembership, owner);
    assert(member != nullptr);
    BatchRequest request;
    request.mIncarnation = aState.mSelf.mIncarnation;
    request.mRequestId = aQuery.mRequest.mRequestId;
    request.mService = aQuery.mService;
    request.mRevision = aQuery.mRevision;
    request.mOperation = aQuery.mRequest.mOperation;
    request.mSnapshot = aQuery.mSnapshot;
    request.mKey = aQuery.mRequest.mKey;
    request.mBody = aQuery.mRequest.mBody;
    request.mBudget = aQuery.mDeadline - aNow;
    request.mItems = std::move(items);
    ++aState.mCounters.mBatchesSent;
    SendToVm(aState, owner, member->mPeerAddress, std::move(request), aEffects);
  }
}

/** Gives up on a shard. */
void
MarkMissing(Query& aQuery, ShardProgress& aShard, MissingReason aReason)
{
  assert(aShard.mStatus == ShardStatus::kPending);
  aShard.mStatus = ShardStatus::kMissing;
  aShard.mReason = aReason;
  --aQuery.mPending;
}

/** Forgets the attempts of a request and tells their owners. */
void
CancelAttempts(NodeState& aState, QueryId aQueryId, Effects& aEffects)
{
  std::map<VmId, std::vector<AttemptSequence>> cancelled;
  auto& attempts = aState.mEntry.mAttempts;
  const Query& query = aState.mEntry.mQueries.at(aQueryId);
  const bool hasInFlight = std::any_of(
    query.mShards.begin(),
    query.mShards.end(),
    [](const ShardProgress& aShard) { return aShard.mAttemptsInFlight != 0; });
  if (!hasInFlight) {
    return;
  }
  for (const AttemptSequence sequence : query.mSequences) {
    const auto place = attempts.find(sequence);
    if (place == attempts.end()) {
      continue;
    }
    cancelled[place->second.mOwner].push_back(sequence);
    --aState.mEntry.mTargets[place->second.mTarget].mInFlight;
    attempts.erase(place);
  }
  for (auto& [owner, sequences] : cancelled) {
    const VmRecord* member = FindMember(aState.mMembership, owner);
    if (member != nullptr) {
      SendToVm(aState,
               owner,
               member->mPeerAddress,
               BatchCancel{ aState.mSelf.mIncarnation, std::move(sequences) },
               aEffects);
    }
  }
}

Answer
BuildAnswer(const Query& aQuery)
{
  Answer answer;
  answer.mService = aQuery.mService;
  answer.mRevision = aQuery.mRevision;
  answer.mSnapshot = aQuery.mSnapshot;
  answer.mShardsAsked = static_cast<std::uint32_t>(aQuery.mShards.size());
  for (const ShardProgress& shard : aQuery.mShards) {
    if (shard.mStatus == ShardStatus::kAnswered) {
      answer.mResults.push_back(
        ShardResult{ shard.mShard, shard.mTarget, shard.mBody });
    } else {
      answer.mMissing.push_back(MissingShard{ shard.mShard, shard.mReason });
    }
  }
  return answer;
}

/** The outcome to report: an answer, unless a keyed request has no result. */
Outcome
BuildOutcome(const Query& aQuery)
{
  if (aQuery.mRequest.mOperation == Operation::kSearch ||
      aQuery.mAnswered != 0) {
    return BuildAnswer(aQuery);
  }
  const MissingReason reason = aQuery.mShards.front().mReason;
  const std::string cause(ToText(reason));
  if (aQuery.mMayHaveRun) {
    return Error{ ErrorKind::kOutcomeUnknown,
                  "the request may have run, but its result is lost (" + cause +
                    ")",
                  "look up whether it ran before asking again",
                  Execution::kUnknown };
  }
  const ErrorKind kind = reason == MissingReason::kTimeout ? ErrorKind::kTimeout
                         : reason == MissingReason::kOverloaded
                           ? ErrorKind::kOverloaded
                           : ErrorKind::kTargetUnavailable;
  return Error{ kind,
                "no target answered (" + cause + ")",
                "ask again, with more patience if this lasts",
                Execution::kNotRun };
}

void
CountOutcome(Counters& aCounters, const Outcome& aOutcome)
{
  const Answer* answer = std::get_if<Answer>(&aOutcome);
  if (answer == nullptr) {
    ++aCounters.mAnswersFailed;
  } else if (answer->IsComplete()) {
    ++aCounters.mAnswersComplete;
  } else {
    ++aCounters.mAnswersPartial;
  }
}

/** Answers a request and forgets it. Shards still pending become missing for
    the reason given. */
void
FinishQuery(NodeState& aState,
            QueryId aQueryId,
            MissingReason aReason,
            TimePoint aNow,
            Effects& aEffects)
{
  Query& query = aState.mEntry.mQueries.at(aQueryId);
  for (ShardProgress& shard : query.mShards) {
    if (shard.mStatus == ShardStatus::kPending) {
      MarkMissing(query, shard, aReason);
      query.mMayHaveRun = query.mMayHaveRun || shard.mAttemptsInFlight != 0;
    }
  }
  CancelAttempts(aState, aQueryId, aEffects);
  Outcome outcome = BuildOutcome(query);
  CountOutcome(aState.mCounters, outcome);
  const Error* error = std::get_if<Error>(&outcome);
  aEffects.push_back(LogDecision{ QueryAnswered{
    query.mRequest.mRequestId,
    query.mSnapshot,
    static_cast<std::uint32_t>(query.mShards.size()),
    query.mAnswered,
    aNow - query.mStarted,
    error == nullptr ? std::string() : std::string(ToText(error->mKind)) } });
  aEffects.push_back(AnswerCaller{
    query.mRequest.mToken, query.mRequest.mRequestId, std::move(outcome) });
  aState.mEntry.mQueryOfCaller.erase(query.mRequest.mToken);
  aState.mEntry.mQueries.erase(aQueryId);
}

/** Answers when nothing is pending, or when the service would rather be early
    and has the coverage it declared. */
void
FinishIfDone(NodeState& aState,
             QueryId aQueryId,
             TimePoint aNow,
             Effects& aEffects)
{
  const Query& query = aState.mEntry.mQueries.at(aQueryId);
  const double needed = query.mServiceRecord->mLeastCoverage *
                        static_cast<double>(query.mShards.size());
  const bool isEarly =
    query.mServiceRecord->mPreference == Preference::kLatency &&
    query.mAnswered != 0 && static_cast<double>(query.mAnswered) >= needed;
  if (query.mPending == 0 || isEarly) {
    FinishQuery(aState, aQueryId, MissingReason::kEarlyAnswer, aNow, aEffects);
  }
}

/** Whether a failed attempt may be followed by another one. */
bool
MayRetry(const Query& aQuery, const ShardProgress& aShard, bool aMayHaveRun)
{
  const bool harmless =
    !aMayHaveRun || IsIdempotent(aQuery.mRequest.mOperation);
  return harmless && aShard.mAttempts < kMostAttempts;
}

/** Follows up an attempt that brought no result. */
void
HandleAttemptFailed(NodeState& aState,
                    const AttemptPlace& aPlace,
                    MissingReason aReason,
                    bool aMayHaveRun,
                    TimePoint aNow,
                    Batches& aBatches,
                    Effects& aEffects)
{
  Query& query = aState.mEntry.mQueries.at(aPlace.mQuery);
  ShardProgress& shard = query.mShards[aPlace.mShardPosition];
  query.mMayHaveRun = query.mMayHaveRun || aMayHaveRun;
  if (shard.mStatus != ShardStatus::kPending || shard.mAttemptsInFlight != 0) {
    return;
  }
  shard.mReason = aReason;
  const bool retried =
    MayRetry(query, shard, aMayHaveRun) && PlanAttempt(aState,
                                                       aPlace.mQuery,
                                                       query,
                                                       aPlace.mShardPosition,
                                                       aPlace.mTarget,
                                                       aNow,
                                                       aBatches);
  if (!retried) {
    MarkMissing(query, shard, aReason);
    return;
  }
  ++aState.mCounters.mRetries;
  aEffects.push_back(LogDecision{ AttemptRetried{ query.mRequest.mRequestId,
                                                  shard.mShard,
                                                  aPlace.mTarget,
                                                  shard.mTarget,
                                                  aReason } });
}

/** Updates what is known of a target by the end of an attempt. */
void
ObserveTarget(NodeState& aState,
              const AttemptPlace& aPlace,
              const ItemReply& aReply,
              TimePoint aNow)
{
  constexpr double kNewWeight = 0.1;
  constexpr std::uint32_t kFailuresToAvoid = 3;
  constexpr Duration kAvoidTime = std::chrono::seconds(1);
  TargetObservation& seen = aState.mEntry.mTargets[aPlace.mTarget];
  assert(seen.mInFlight > 0);
  --seen.mInFlight;
  if (!aReply.mHeldSnapshots.empty()) {
    seen.mHeldSnapshots = aReply.mHeldSnapshots;
  }
  if (aReply.mOutcome == AttemptOutcome::kAnswered) {
    const auto latency = static_cast<double>((aNow - aPlace.mSent).count());
    seen.mLatency +=
      seen.mLatency == 0 ? latency : (latency - seen.mLatency) * kNewWeight;
    seen.mFailures = 0;
    return;
  }
  if (++seen.mFailures >= kFailuresToAvoid ||
      aReply.mReason == MissingReason::kDraining) {
    seen.mAvoidUntil = aNow + kAvoidTime;
  }
}

/** Takes in an answer from a target. */
void
HandleAttemptAnswered(NodeState& aState,
                      const AttemptPlace& aPlace,
                      const ItemReply& aReply,
                      TimePoint aNow,
                      Batches& aBatches,
                      Effects& aEffects)
{
  Query& query = aState.mEntry.mQueries.at(aPlace.mQuery);
  ShardProgress& shard = query.mShards[aPlace.mShardPosition];
  if (shard.mStatus != ShardStatus::kPending) {
    return;
  }
  if (query.mSnapshot.Value() == 0) {
    query.mSnapshot = aReply.mSnapshot;
  }
  if (aReply.mSnapshot != query.mSnapshot) {
    ++aState.mCounters.mSnapshotMismatches;
    HandleAttemptFailed(aState,
                        aPlace,
                        MissingReason::kSnapshotUnavailable,
                        true,
                        aNow,
                        aBatches,
                        aEffects);
    return;
  }
  shard.mStatus = ShardStatus::kAnswered;
  shard.mTarget = aPlace.mTarget;
  shard.mBody = aReply.mBody;
  --query.mPending;
  ++query.mAnswered;
}

/** Ends one attempt. The request it belongs to is returned, if it lives. */
std::optional<QueryId>
EndAttempt(NodeState& aState,
           VmId aOwner,
           const ItemReply& aReply,
           TimePoint aNow,
           std::map<QueryId, Batches>& aBatches,
           Effects& aEffects)
{
  const auto found = aState.mEntry.mAttempts.find(aReply.mSequence);
  if (found == aState.mEntry.mAttempts.end()) {
    ++aState.mCounters.mLateReplies;
    return std::nullopt;
  }
  if (found->second.mOwner != aOwner) {
    ++aState.mCounters.mForeignReplies;
    return std::nullopt;
  }
  const AttemptPlace place = found->second;
  aState.mEntry.mAttempts.erase(found);
  ObserveTarget(aState, place, aReply, aNow);
  Query& query = aState.mEntry.mQueries.at(place.mQuery);
  --query.mShards[place.mShardPosition].mAttemptsInFlight;
  Batches& batches = aBatches[place.mQuery];
  if (aReply.mOutcome == AttemptOutcome::kAnswered) {
    HandleAttemptAnswered(aState, place, aReply, aNow, batches, aEffects);
  } else {
    HandleAttemptFailed(aState,
                        place,
                        aReply.mReason,
                        aReply.mOutcome == AttemptOutcome::kUnknown,
                        aNow,
                        batches,
                        aEffects);
  }
  return place.mQuery;
}

/** Ends attempts and follows up each request concerned. */
void
EndAttempts(NodeState& aState,
            VmId aOwner,
            const std::vector<ItemReply>& aReplies,
            TimePoint aNow,
            Effects& aEffects)
{
  std::map<QueryId, Batches> batches;
  for (const ItemReply& reply : aReplies) {
    EndAttempt(aState, aOwner, reply, aNow, batches, aEffects);
  }
  for (auto& [queryId, retries] : batches) {
    SendBatches(
      aState, aState.mEntry.mQueries.at(queryId), retries, aNow, aEffects);
    FinishIfDone(aState, queryId, aNow, aEffects);
  }
}

/** Sets up a request that passed its checks. */
Query
MakeQuery(const NodeState& aState,
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
  const Duration budget = std::min(aRequest.mPatience, aService.mMaximumWait);
  query.mDeadline = aNow + budget - AnswerMargin(budget);
  for (const ShardIndex shard :
       ShardsOf(aService, aRequest.mOperation, aRequest.mKey)) {
    query.mShards.emplace_back();
    query.mShards.back().mShard = shard;
  }
  query.mPending = static_cast<std::uint32_t>(query.mShards.size());
  if (aRequest.mOperation != Operation::kAction) {
    query.mSnapshot = ChooseSnapshot(aState.mEntry, query);
  }
  return query;
}

QueryPlanned
DescribePlan(const Query& aQuery, const Batches& aBatches, TimePoint aNow)
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
  for (const auto& [owner, items] : aBatches) {
    record.mBatches.push_back(
      PlannedBatch{ owner, static_cast<std::uint32_t>(items.size()) });
  }
  return record;
}

} // namespace

void
HandleCallerRequest(NodeState& aState,
                    const CallerRequest& aRequest,
                    TimePoint aNow,
                    Effects& aEffects)
{
  ++aState.mCounters.mRequests;
  const auto service = CheckRequest(aState, aRequest);
  if (!service) {
    Refuse(aState, aRequest, service.error(), aEffects);
    return;
  }
  const QueryId queryId(aState.mEntry.mNextQuery++);
  Query& query =
    aState.mEntry.mQueries
      .emplace(queryId, MakeQuery(aState, aRequest, **service, aNow))
      .first->second;
  aState.mEntry.mQueryOfCaller[aRequest.mToken] = queryId;
  Batches batches;
  for (std::uint32_t shard = 0; shard < query.mShards.size(); ++shard) {
    if (!PlanAttempt(
          aState, queryId, query, shard, std::nullopt, aNow, batches)) {
      MarkMissing(query, query.mShards[shard], query.mShards[shard].mReason);
    }
  }
  aEffects.push_back(LogDecision{ DescribePlan(query, batches, aNow) });
  SendBatches(aState, query, batches, aNow, aEffects);
  aState.mTimers.Arm(
    query.mDeadline, TimerKind::kQueryDeadline, queryId.Value());
  FinishIfDone(aState, queryId, aNow, aEffects);
}

void
HandleCallerGone(NodeState& aState, const CallerGone& aEvent, Effects& aEffects)
{
  const auto place = aState.mEntry.mQueryOfCaller.find(aEvent.mToken);
  if (place == aState.mEntry.mQueryOfCaller.end()) {
    return;
  }
  const QueryId queryId = place->second;
  CancelAttempts(aState, queryId, aEffects);
  aState.mEntry.mQueryOfCaller.erase(place);
  aState.mEntry.mQueries.erase(queryId);
}

void
HandleBatchReply(NodeState& aState,
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
HandleOwnerLost(NodeState& aState,
                VmId aOwner,
                TimePoint aNow,
                Effects& aEffects)
{
  std::vector<ItemReply> replies;
  for (const auto& [sequence, place] : aState.mEntry.mAttempts) {
    if (place.mOwner == aOwner) {
      ItemReply reply;
      reply.mSequence = sequence;
      reply.mOutcome = AttemptOutcome::kUnknown;
      reply.mReason = MissingReason::kOwnerLost;
      replies.push_back(std::move(reply));
    }
  }
  // The table's order depends on its history; the attempts' order does not.
  std::sort(replies.begin(),
            replies.end(),
            [](const ItemReply& aLeft, const ItemReply& aRight) {
              return aLeft.mSequence < aRight.mSequence;
            });
  EndAttempts(aState, aOwner, replies, aNow, aEffects);
}

void
HandleAttemptsNotSent(NodeState& aState,
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
HandleQueryDeadline(NodeState& aState,
                    QueryId aQuery,
                    TimePoint aNow,
                    Effects& aEffects)
{
  if (aState.mEntry.mQueries.contains(aQuery)) {
    FinishQuery(aState, aQuery, MissingReason::kTimeout, aNow, aEffects);
  }
}

} // namespace wasabispread
