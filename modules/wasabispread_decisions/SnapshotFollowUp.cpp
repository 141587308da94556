/*
 * Settling and restarting of searches.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

constexpr std::uint8_t kMostRestarts = 2;

/** Asks a shard for the query's version, or declares it missing. */
bool
AskAgain(VmState& aState,
         QueryId aQueryId,
         Query& aQuery,
         std::uint32_t aPosition,
         TimePoint aNow,
         Outgoing& aOutgoing,
         Effects& aEffects)
{
  ShardProgress& shard = aQuery.mShards[aPosition];
  const bool isPaid = shard.mAttempts < kMostAttempts &&
                      ChargeExtraAttempt(aState, aQuery, aNow, aEffects);
  if (isPaid) {
    if (PlanAttempt(
          aState, aQueryId, aQuery, aPosition, false, aNow, aOutgoing)) {
      return true;
    }
    RefundExtraAttempt(aState, aQuery);
  }
  MarkMissing(aQuery, shard, MissingReason::kSnapshotUnavailable);
  return false;
}

/** Makes a version the query's own and asks the shards that lack it. */
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
      AskAgain(aState, aQueryId, aQuery, position, aNow, aOutgoing, aEffects);
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
  if (aQuery.mIsSettled || aQuery.mTallies.empty() ||
      !(aIsForced || IsReadyToSettle(aQuery))) {
    return;
  }
  SnapshotCoverage best = BestInHand(aQuery);
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
      aQuery.mRestarts >= kMostRestarts) {
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
  const bool isPaid =
    !policy.mIsBudgeted || service.mBudget.mTokens >= aOther.mShards;
  return isInTime && isPaid &&
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
  if (!aQuery.mLacksSnapshot) {
    return;
  }
  aQuery.mLacksSnapshot = false;
  const SnapshotCoverage best = BestSnapshot(aState.mCoordinator, aQuery);
  if (!aQuery.mIsSettled || !IsRestartWorthwhile(aState, aQuery, best, aNow)) {
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
