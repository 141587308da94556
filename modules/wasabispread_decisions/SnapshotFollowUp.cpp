/*
 * Settling of searches on a snapshot, and their restart with another one.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

constexpr std::uint8_t kMaxRestarts = 2;

/** Sends another attempt for the query's snapshot, or marks the shard as
    missing. */
bool
RetryShard(VmState& aState,
           QueryId aQueryId,
           Query& aQuery,
           std::uint32_t aPosition,
           TimePoint aNow,
           Outgoing& aOutgoing,
           Effects& aEffects)
{
  ShardProgress& shard = aQuery.mShards[aPosition];
  const bool isCharged = shard.mAttempts < kMaxAttempts &&
                         ChargeExtraAttempt(aState, aQuery, aNow, aEffects);
  if (isCharged) {
    if (PlanAttempt(
          aState, aQueryId, aQuery, aPosition, false, aNow, aOutgoing)) {
      return true;
    }
    RefundExtraAttempt(aState, aQuery);
  }
  MarkMissing(aQuery, shard, MissingReason::kSnapshotUnavailable);
  return false;
}

/** Settles the query on a snapshot and sends attempts at the shards without a
    result from it. */
void
ChangeSnapshot(VmState& aState,
               QueryId aQueryId,
               Query& aQuery,
               SnapshotVersion aSnapshot,
               TimePoint aNow,
               Outgoing& aOutgoing,
               Effects& aEffects)
{
  SnapshotChanged record{
    aQuery.mRequest.mRequestId, aQuery.mSnapshot, aSnapshot, 0
  };
  for (const std::uint32_t position : AdoptSnapshot(aQuery, aSnapshot)) {
    if (aQuery.mShards[position].mAttemptsInFlight != 0) {
      continue;
    }
    const bool isAsked =
      RetryShard(aState, aQueryId, aQuery, position, aNow, aOutgoing, aEffects);
    record.mAskedAgain += isAsked ? 1 : 0;
  }
  if (record.mAskedAgain != 0) {
    aEffects.push_back(LogDecision{ std::move(record) });
  }
}

} // namespace

void
SettleSnapshot(VmState& aState,
               QueryId aQueryId,
               Query& aQuery,
               bool aIsForced,
               TimePoint aNow,
               Outgoing& aOutgoing,
               Effects& aEffects)
{
  if (aQuery.mIsSnapshotSettled || aQuery.mTallies.empty() ||
      !(aIsForced || IsReadyToSettle(aQuery))) {
    return;
  }
  SnapshotCoverage best = BestReceivedSnapshot(aQuery);
  const SnapshotCoverage known = BestSnapshot(aState.mCoordinator, aQuery);
  if (known.mShards > best.mShards) {
    best = known;
  }
  ChangeSnapshot(
    aState, aQueryId, aQuery, best.mSnapshot, aNow, aOutgoing, aEffects);
}

bool
IsRestartWorthwhile(const VmState& aState,
                    const Query& aQuery,
                    const SnapshotCoverage& aOther,
                    TimePoint aNow)
{
  constexpr double kMedian = 0.5;
  constexpr int kRounds = 2;
  const CoordinatorPolicy& policy = aState.mCoordinator.mPolicy;
  if (aOther.mSnapshot == aQuery.mSnapshot || aOther.mShards == 0 ||
      aQuery.mRestarts >= kMaxRestarts) {
    return false;
  }
  switch (policy.mSnapshot) {
    case SnapshotRule::kFinishOld:
      return false;
    case SnapshotRule::kRestartNew:
      return aOther.mSnapshot > aQuery.mSnapshot;
    case SnapshotRule::kBestCoverage:
      break;
  }
  const ServiceObservation& service =
    aState.mCoordinator.mServices.at(aQuery.mService);
  const bool isInTime =
    aQuery.mDeadline - aNow > service.mLatency.Quantile(kMedian) * kRounds;
  const bool isWithinBudget =
    !policy.mIsBudgeted || service.mBudget.mTokens >= aOther.mShards;
  return isInTime && isWithinBudget &&
         aOther.mShards >
           CoverageOf(aState.mCoordinator, aQuery, aQuery.mSnapshot);
}

void
ReconsiderSnapshot(VmState& aState,
                   QueryId aQueryId,
                   Query& aQuery,
                   TimePoint aNow,
                   Outgoing& aOutgoing,
                   Effects& aEffects)
{
  if (!aQuery.mMustReconsiderSnapshot) {
    return;
  }
  aQuery.mMustReconsiderSnapshot = false;
  const SnapshotCoverage best = BestSnapshot(aState.mCoordinator, aQuery);
  if (!aQuery.mIsSnapshotSettled ||
      !IsRestartWorthwhile(aState, aQuery, best, aNow)) {
    return;
  }
  ++aQuery.mRestarts;
  ++aState.mCounters.mSnapshotRestarts;
  for (ShardProgress& shard : aQuery.mShards) {
    AbandonAttempts(aState, shard, aNow, aOutgoing);
  }
  ChangeSnapshot(
    aState, aQueryId, aQuery, best.mSnapshot, aNow, aOutgoing, aEffects);
}

} // namespace wasabispread
