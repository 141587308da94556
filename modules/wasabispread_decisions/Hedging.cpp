/*
 * When hedges are sent, and for which shards.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

constexpr std::uint8_t kMaxPasses = 12;
constexpr int kPassesPerDelay = 4;

} // namespace

DelayByDistance
LearnedDelay(const Service& aService, const ServiceObservation& aObserved)
{
  // The rest of the budget is reserved for retries.
  constexpr double kHedgedShareOfBudget = 0.8;
  constexpr double kHighestShare = 0.999;
  const double affordable =
    1 - kHedgedShareOfBudget * aService.mExtraAttemptShare;
  const double share =
    std::min(kHighestShare, std::max(aService.mHedgeQuantile, affordable));
  return DelayByDistance{ aObserved.mOwnZoneLatency.Quantile(share),
                          aObserved.mOtherZoneLatency.Quantile(share) };
}

DelayByDistance
HedgeDelay(const CoordinatorPolicy& aPolicy,
           const Service& aService,
           const ServiceObservation& aObserved,
           Duration aBudget)
{
  constexpr int kUnknownLatencyDivisor = 4;
  switch (aPolicy.mHedge) {
    case HedgeRule::kNone:
      return {};
    case HedgeRule::kFixedDelay:
      return { aPolicy.mFixedHedgeDelay, aPolicy.mFixedHedgeDelay };
    case HedgeRule::kLearnedQuantile:
      break;
  }
  if (aService.mExtraAttemptShare <= 0) {
    return {};
  }
  DelayByDistance delay = LearnedDelay(aService, aObserved);
  for (Duration* each : { &delay.mOwnZone, &delay.mOtherZone }) {
    if (*each == Duration::zero()) {
      *each = aBudget / kUnknownLatencyDivisor;
    }
  }
  return delay;
}

TimePoint
NextHedge(const Query& aQuery,
          const ShardProgress& aShard,
          const CoordinatorPolicy& aPolicy)
{
  if (aShard.mStatus != ShardStatus::kPending ||
      aShard.mAttemptsInFlight == 0 || aShard.mAttempts >= kMaxAttempts ||
      aShard.mHedges >= aPolicy.mMaxHedges) {
    return TimePoint::max();
  }
  const ShardAttempt& last = aShard.mTried[aShard.mAttempts - 1];
  const Duration delay = aQuery.mHedgeDelay.To(last.mDistance);
  return delay > Duration::zero() ? last.mSent + delay : TimePoint::max();
}

void
ArmHedgeTimer(VmState& aState, QueryId aQueryId, Query& aQuery, TimePoint aNow)
{
  if (!IsIdempotent(aQuery.mRequest.mOperation)) {
    return;
  }
  TimePoint due = TimePoint::max();
  for (const ShardProgress& shard : aQuery.mShards) {
    due = std::min(due, NextHedge(aQuery, shard, aState.mCoordinator.mPolicy));
  }
  // Each pass waits longer than the one before it, so that the cost for a
  // request is bounded.
  const Duration spacing =
    aQuery.mHedgeDelay.Longest() / kPassesPerDelay * aQuery.mHedgePasses;
  due = due == TimePoint::max() ? due : std::max(due, aNow + spacing);
  if (due < aQuery.mDeadline && aQuery.mHedgePasses < kMaxPasses) {
    ++aQuery.mHedgePasses;
    aState.mTimers.Arm(due, TimerKind::kHedge, aQueryId.Value());
  }
}

void
HedgeSlowShards(VmState& aState,
                QueryId aQueryId,
                Query& aQuery,
                TimePoint aNow,
                Outgoing& aOutgoing,
                Effects& aEffects)
{
  AttemptsHedged record;
  record.mRequestId = aQuery.mRequest.mRequestId;
  record.mDelay = aQuery.mHedgeDelay.Longest();
  const CoordinatorPolicy& policy = aState.mCoordinator.mPolicy;
  for (std::uint32_t position = 0; position < aQuery.mShards.size();
       ++position) {
    ShardProgress& shard = aQuery.mShards[position];
    if (NextHedge(aQuery, shard, policy) > aNow) {
      continue;
    }
    if (!ChargeExtraAttempt(aState, aQuery, aNow, aEffects)) {
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
