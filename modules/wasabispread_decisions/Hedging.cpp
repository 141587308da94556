/*
 * When hedges are sent, and for which shards.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

Duration
LearnedDelay(const Service& aService, const LatencyHistogram& aLatency)
{
  // The rest of the budget is left for retries.
  constexpr double kHedgedShareOfBudget = 0.75;
  constexpr double kHighestShare = 0.999;
  const double affordable = 1 - kHedgedShareOfBudget * aService.mExtraLoad;
  return aLatency.Quantile(
    std::min(kHighestShare, std::max(aService.mHedgeQuantile, affordable)));
}

Duration
HedgeDelay(const EntryPolicy& aPolicy,
           const Service& aService,
           const LatencyHistogram& aLatency)
{
  switch (aPolicy.mHedge) {
    case HedgeRule::kNone:
      return Duration::zero();
    case HedgeRule::kFixedDelay:
      return aPolicy.mFixedHedgeDelay;
    case HedgeRule::kLearnedQuantile:
      break;
  }
  return aService.mExtraLoad > 0 ? LearnedDelay(aService, aLatency)
                                 : Duration::zero();
}

bool
IsHedgeDue(const Query& aQuery,
           const ShardProgress& aShard,
           const EntryPolicy& aPolicy,
           TimePoint aNow)
{
  if (aShard.mStatus != ShardStatus::kPending ||
      aShard.mAttemptsInFlight == 0 || aShard.mAttempts >= kMostAttempts ||
      aShard.mHedges >= aPolicy.mMostHedges) {
    return false;
  }
  const ShardAttempt& last = aShard.mTried[aShard.mAttempts - 1];
  return aNow - last.mSent >= aQuery.mHedgeDelay;
}

void
ArmHedgeTimer(NodeState& aState,
              QueryId aQueryId,
              Query& aQuery,
              TimePoint aNow)
{
  constexpr std::uint8_t kMostPasses = 8;
  const TimePoint due = aNow + aQuery.mHedgeDelay * (1 + aQuery.mHedgePasses);
  const bool isWanted = aQuery.mHedgeDelay > Duration::zero() &&
                        due < aQuery.mDeadline &&
                        aQuery.mHedgePasses < kMostPasses &&
                        IsIdempotent(aQuery.mRequest.mOperation);
  if (isWanted) {
    ++aQuery.mHedgePasses;
    aState.mTimers.Arm(due, TimerKind::kHedge, aQueryId.Value());
  }
}

void
HedgeSlowShards(NodeState& aState,
                QueryId aQueryId,
                Query& aQuery,
                TimePoint aNow,
                Outgoing& aOutgoing,
                Effects& aEffects)
{
  AttemptsHedged record;
  record.mRequestId = aQuery.mRequest.mRequestId;
  record.mDelay = aQuery.mHedgeDelay;
  const EntryPolicy& policy = aState.mEntry.mPolicy;
  for (std::uint32_t position = 0; position < aQuery.mShards.size();
       ++position) {
    ShardProgress& shard = aQuery.mShards[position];
    if (!IsHedgeDue(aQuery, shard, policy, aNow)) {
      continue;
    }
    if (!PayForExtraAttempt(aState, aQuery, aNow, aEffects)) {
      break;
    }
    const TargetId from = shard.mTried[shard.mAttempts - 1].mTarget;
    const auto target =
      PlanAttempt(aState, aQueryId, aQuery, position, true, aNow, aOutgoing);
    if (!target) {
      RefundExtraAttempt(aState, aQuery);
      continue;
    }
    ++shard.mHedges;
    ++aState.mCounters.mHedges;
    record.mHedges.push_back(HedgedShard{ shard.mShard, from, *target });
  }
  if (!record.mHedges.empty()) {
    aEffects.push_back(LogDecision{ std::move(record) });
  }
}

} // namespace wasabispread
