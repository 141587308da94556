/*
 * Early answers, outcomes and their truth about what ran.
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

/** The error of a keyed request without a result. */
Error
DescribeFailure(const Query& aQuery)
{
  const MissingReason reason = aQuery.mShards.front().mReason;
  const std::string cause(ToText(reason));
  if (!aQuery.mMayHaveRun) {
    return Error{ KindOfFailure(reason),
                  "no target answered (" + cause + ")",
                  "ask again, with more patience if this lasts",
                  Execution::kNotRun };
  }
  if (IsIdempotent(aQuery.mRequest.mOperation)) {
    return Error{ KindOfFailure(reason),
                  "a target was asked but its answer is lost (" + cause + ")",
                  "ask again, with more patience if this lasts",
                  Execution::kUnknown };
  }
  return Error{ ErrorKind::kOutcomeUnknown,
                "the request may have run, but its result is lost (" + cause +
                  ")",
                "look up whether it ran before asking again",
                Execution::kUnknown };
}

/** The outcome to report: an answer, unless a keyed request has no result. */
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

/** Whether a shard is missing for want of capacity. A target that is out of use
    is broken rather than busy. */
bool
IsMissingUnderLoad(const CoordinatorState& aEntry, const ShardProgress& aShard)
{
  const bool isRefusal = aShard.mReason == MissingReason::kShed ||
                         aShard.mReason == MissingReason::kOverloaded;
  if (aShard.mStatus != ShardStatus::kMissing || !isRefusal ||
      aShard.mAttempts == 0) {
    return false;
  }
  const auto target =
    aEntry.mTargets.find(aShard.mTried[aShard.mAttempts - 1].mTarget);
  return target != aEntry.mTargets.end() &&
         target->second.mAvailability == TargetAvailability::kInUse;
}

/** The share of a request's shards that were not refused under load. */
double
AcceptedShare(const CoordinatorState& aEntry, const Query& aQuery)
{
  const auto refused =
    std::count_if(aQuery.mShards.begin(),
                  aQuery.mShards.end(),
                  [&aEntry](const ShardProgress& aShard) {
                    return IsMissingUnderLoad(aEntry, aShard);
                  });
  return 1 - static_cast<double>(refused) /
               static_cast<double>(aQuery.mShards.size());
}

/** Gives up the attempts in flight and tells their owners. */
void
CloseAttempts(VmState& aState, Query& aQuery, TimePoint aNow, Effects& aEffects)
{
  Outgoing outgoing;
  for (ShardProgress& shard : aQuery.mShards) {
    AbandonAttempts(aState, shard, aNow, outgoing);
  }
  SendOutgoing(aState, aQuery, outgoing, aNow, aEffects);
}

/** Changes to the version that has the most shards in hand. */
void
SettleAtEnd(Query& aQuery)
{
  if (aQuery.mRequest.mOperation != Operation::kSearch) {
    return;
  }
  if (aQuery.mIsSettled && aQuery.mSpares.empty()) {
    return;
  }
  const SnapshotCoverage best = BestInHand(aQuery);
  if (best.mShards == 0) {
    return;
  }
  const bool isBetter = !aQuery.mIsSettled || best.mShards > aQuery.mAnswered;
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
HasLeastCoverage(const Query& aQuery)
{
  const double needed = aQuery.mServiceRecord->mMinCoverage *
                        static_cast<double>(aQuery.mShards.size());
  return aQuery.mServiceRecord->mPreference == Preference::kLatency &&
         aQuery.mIsSettled && aQuery.mAnswered != 0 &&
         static_cast<double>(aQuery.mAnswered) >= needed;
}

Duration
EarlyAnswerGrace(const CoordinatorPolicy& aPolicy,
                 Duration aLearnedDelay,
                 Duration aMedian)
{
  constexpr int kMostMedians = 4;
  if (aPolicy.mEarlyAnswer == EarlyAnswerRule::kAtOnce) {
    return Duration::zero();
  }
  const double grace =
    aPolicy.mGraceFactor * static_cast<double>(aLearnedDelay.count());
  return std::min(Duration(static_cast<std::int64_t>(grace)),
                  aMedian * kMostMedians);
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
  if (!HasLeastCoverage(query)) {
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
  SettleAtEnd(query);
  for (ShardProgress& shard : query.mShards) {
    if (shard.mStatus == ShardStatus::kPending) {
      query.mMayHaveRun = query.mMayHaveRun || shard.mAttemptsInFlight != 0;
      const bool hasAttempt = shard.mAttemptsInFlight != 0;
      MarkMissing(query, shard, hasAttempt ? aReason : shard.mReason);
    }
  }
  CloseAttempts(aState, query, aNow, aEffects);
  RecordAccepted(
    aState, query.mService, AcceptedShare(aState.mCoordinator, query), aNow);
  Outcome outcome = BuildOutcome(query);
  CountOutcome(aState.mCounters, outcome);
  aEffects.push_back(LogDecision{ DescribeAnswered(query, outcome, aNow) });
  EndClaim(aState, query.mRequest.mToken, outcome, aEffects);
  aEffects.push_back(AnswerCaller{
    query.mRequest.mToken, query.mRequest.mRequestId, std::move(outcome) });
  aState.mCoordinator.mQueryOfCaller.erase(query.mRequest.mToken);
  aState.mCoordinator.mQueries.erase(aQueryId);
}

} // namespace wasabispread
