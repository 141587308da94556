/*
 * Early answers, and outcomes that report whether the request may have run.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <cassert>

namespace wasabispread {

namespace {

Answer
BuildAnswer(const Query& aQuery)
{
  Answer answer;
  answer.mService = aQuery.mService;
  answer.mRevision = aQuery.mRevision;
  answer.mSnapshot = aQuery.mSnapshot;
  answer.mShardsAsked = static_cast<std::uint32_t>(aQuery.mShards.size());
  answer.mResults.reserve(aQuery.mAnswered);
  for (const ShardProgress& shard : aQuery.mShards) {
    if (shard.mStatus == ShardStatus::kAnswered) {
      assert(shard.mSnapshot == aQuery.mSnapshot);
      answer.mResults.push_back(
        ShardResult{ shard.mShard, shard.mTarget, shard.mBody });
    } else {
      answer.mMissing.push_back(MissingShard{ shard.mShard, shard.mReason });
    }
  }
  return answer;
}

ErrorKind
KindOfFailure(MissingReason aReason)
{
  switch (aReason) {
    case MissingReason::kTimeout:
      return ErrorKind::kTimeout;
    case MissingReason::kOverloaded:
    case MissingReason::kShed:
      return ErrorKind::kOverloaded;
    default:
      return ErrorKind::kTargetUnavailable;
  }
}

/** The error of a lookup or an action without a result. */
Error
DescribeFailure(const Query& aQuery)
{
  const MissingReason reason = aQuery.mShards.front().mReason;
  const std::string cause(ToText(reason));
  if (!aQuery.mMayHaveRun) {
    return Error{ KindOfFailure(reason),
                  "no target answered (" + cause + ")",
                  "ask again, with a longer timeout if this continues",
                  Execution::kNotRun };
  }
  if (IsIdempotent(aQuery.mRequest.mOperation)) {
    return Error{ KindOfFailure(reason),
                  "a target was asked but its answer was lost (" + cause + ")",
                  "ask again, with a longer timeout if this continues",
                  Execution::kUnknown };
  }
  return Error{ ErrorKind::kOutcomeUnknown,
                "the request may have run, but its result was lost (" + cause +
                  ")",
                "check whether it ran before sending it again",
                Execution::kUnknown };
}

/** The outcome to report: an answer, or an error when a lookup or an action has
    no result. */
Outcome
BuildOutcome(const Query& aQuery)
{
  if (aQuery.mRequest.mOperation == Operation::kSearch ||
      aQuery.mAnswered != 0) {
    return BuildAnswer(aQuery);
  }
  return DescribeFailure(aQuery);
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

/** Whether a shard is missing because its target is overloaded. A refusal by a
    target that is ejected or draining doesn't count: the target has failed
    rather than being busy. */
bool
IsMissingUnderLoad(const CoordinatorState& aCoordinator,
                   const ShardProgress& aShard)
{
  const bool isRefusal = aShard.mReason == MissingReason::kShed ||
                         aShard.mReason == MissingReason::kOverloaded;
  if (aShard.mStatus != ShardStatus::kMissing || !isRefusal ||
      aShard.mAttempts == 0) {
    return false;
  }
  const auto target =
    aCoordinator.mTargets.find(aShard.mTried[aShard.mAttempts - 1].mTarget);
  return target != aCoordinator.mTargets.end() &&
         target->second.mAvailability == TargetAvailability::kInUse;
}

/** The share of a request's shards that were not refused under load. */
double
AcceptedShare(const CoordinatorState& aCoordinator, const Query& aQuery)
{
  const auto refused =
    std::count_if(aQuery.mShards.begin(),
                  aQuery.mShards.end(),
                  [&aCoordinator](const ShardProgress& aShard) {
                    return IsMissingUnderLoad(aCoordinator, aShard);
                  });
  return 1 - static_cast<double>(refused) /
               static_cast<double>(aQuery.mShards.size());
}

/** Cancels the attempts in flight at all shards of a query. */
void
CancelAttemptsInFlight(VmState& aState,
                       Query& aQuery,
                       TimePoint aNow,
                       Effects& aEffects)
{
  Outgoing outgoing;
  for (ShardProgress& shard : aQuery.mShards) {
    AbandonAttempts(aState, shard, aNow, outgoing);
  }
  SendOutgoing(aState, aQuery, outgoing, aNow, aEffects);
}

/** Changes a search to the snapshot from which the most shards have sent a
    result. */
void
SettleSnapshotAtEnd(Query& aQuery)
{
  if (aQuery.mRequest.mOperation != Operation::kSearch) {
    return;
  }
  if (aQuery.mIsSnapshotSettled && aQuery.mOtherSnapshotResults.empty()) {
    return;
  }
  const SnapshotCoverage best = BestReceivedSnapshot(aQuery);
  if (best.mShards == 0) {
    return;
  }
  const bool isBetter =
    !aQuery.mIsSnapshotSettled || best.mShards > aQuery.mAnswered;
  if (isBetter && best.mSnapshot != aQuery.mSnapshot) {
    AdoptSnapshot(aQuery, best.mSnapshot);
  }
}

QueryAnswered
DescribeAnswered(const Query& aQuery, const Outcome& aOutcome, TimePoint aNow)
{
  const Error* error = std::get_if<Error>(&aOutcome);
  QueryAnswered record;
  record.mRequestId = aQuery.mRequest.mRequestId;
  record.mSnapshot = aQuery.mSnapshot;
  record.mShardsAsked = static_cast<std::uint32_t>(aQuery.mShards.size());
  record.mShardsAnswered = aQuery.mAnswered;
  record.mElapsed = aNow - aQuery.mStarted;
  if (error != nullptr) {
    record.mError = std::string(ToText(error->mKind));
  }
  return record;
}

} // namespace

void
MarkMissing(Query& aQuery, ShardProgress& aShard, MissingReason aReason)
{
  assert(aShard.mStatus == ShardStatus::kPending);
  aShard.mStatus = ShardStatus::kMissing;
  aShard.mReason = aReason;
  --aQuery.mPending;
}

bool
HasMinCoverage(const Query& aQuery)
{
  const double needed = aQuery.mServiceRecord->mMinCoverage *
                        static_cast<double>(aQuery.mShards.size());
  return aQuery.mServiceRecord->mPreference == Preference::kLatency &&
         aQuery.mIsSnapshotSettled && aQuery.mAnswered != 0 &&
         static_cast<double>(aQuery.mAnswered) >= needed;
}

Duration
EarlyAnswerGrace(const CoordinatorPolicy& aPolicy,
                 Duration aLearnedDelay,
                 Duration aMedian)
{
  constexpr int kMaxGraceMedians = 4;
  if (aPolicy.mEarlyAnswer == EarlyAnswerRule::kAtOnce) {
    return Duration::zero();
  }
  const double grace =
    aPolicy.mGraceFactor * static_cast<double>(aLearnedDelay.count());
  return std::min(Duration(static_cast<std::int64_t>(grace)),
                  aMedian * kMaxGraceMedians);
}

void
FinishIfDone(VmState& aState,
             QueryId aQueryId,
             TimePoint aNow,
             Effects& aEffects)
{
  Query& query = aState.mCoordinator.mQueries.at(aQueryId);
  if (query.mPending == 0) {
    FinishQuery(aState, aQueryId, MissingReason::kEarlyAnswer, aNow, aEffects);
    return;
  }
  if (!HasMinCoverage(query)) {
    return;
  }
  const TimePoint due = query.mStarted + query.mGrace;
  if (due <= aNow) {
    ++aState.mCounters.mEarlyAnswers;
    FinishQuery(aState, aQueryId, MissingReason::kEarlyAnswer, aNow, aEffects);
    return;
  }
  if (!query.mIsGraceArmed && due < query.mDeadline) {
    query.mIsGraceArmed = true;
    aState.mTimers.Arm(due, TimerKind::kEarlyAnswer, aQueryId.Value());
  }
}

void
FinishQuery(VmState& aState,
            QueryId aQueryId,
            MissingReason aReason,
            TimePoint aNow,
            Effects& aEffects)
{
  Query& query = aState.mCoordinator.mQueries.at(aQueryId);
  SettleSnapshotAtEnd(query);
  for (ShardProgress& shard : query.mShards) {
    if (shard.mStatus == ShardStatus::kPending) {
      query.mMayHaveRun = query.mMayHaveRun || shard.mAttemptsInFlight != 0;
      const bool hasAttempt = shard.mAttemptsInFlight != 0;
      MarkMissing(query, shard, hasAttempt ? aReason : shard.mReason);
    }
  }
  CancelAttemptsInFlight(aState, query, aNow, aEffects);
  RecordAccepted(
    aState, query.mService, AcceptedShare(aState.mCoordinator, query), aNow);
  Outcome outcome = BuildOutcome(query);
  CountOutcome(aState.mCounters, outcome);
  aEffects.push_back(LogDecision{ DescribeAnswered(query, outcome, aNow) });
  CompleteClaim(aState, query.mRequest.mToken, outcome, aEffects);
  aEffects.push_back(AnswerCaller{
    query.mRequest.mToken, query.mRequest.mRequestId, std::move(outcome) });
  aState.mCoordinator.mQueryOfCaller.erase(query.mRequest.mToken);
  aState.mCoordinator.mQueries.erase(aQueryId);
}

} // namespace wasabispread
