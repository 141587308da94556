/*
 * Counting of shards by snapshot, and the change to another snapshot.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <cassert>

namespace wasabispread {

namespace {

using Tallies = std::vector<SnapshotTally>;

void
Tally(Tallies& aTallies, SnapshotVersion aSnapshot)
{
  const auto found = std::find_if(
    aTallies.begin(), aTallies.end(), [aSnapshot](const SnapshotTally& aTally) {
      return aTally.mSnapshot == aSnapshot;
    });
  if (found == aTallies.end()) {
    aTallies.push_back(SnapshotTally{ aSnapshot, 1 });
  } else {
    ++found->mShards;
  }
}

/** The snapshot with the most shards, and the newest of equals. */
SnapshotCoverage
BestCovered(const Tallies& aTallies)
{
  SnapshotCoverage best;
  for (const SnapshotTally& tally : aTallies) {
    const bool isBetter =
      tally.mShards > best.mShards ||
      (tally.mShards == best.mShards && tally.mSnapshot > best.mSnapshot);
    if (isBetter) {
      best = SnapshotCoverage{ tally.mSnapshot, tally.mShards };
    }
  }
  return best;
}

void
AddVersion(std::vector<SnapshotVersion>& aVersions, SnapshotVersion aVersion)
{
  if (std::find(aVersions.begin(), aVersions.end(), aVersion) ==
      aVersions.end()) {
    aVersions.push_back(aVersion);
  }
}

/** Collects the snapshots that a shard can answer from: those that its usable
    replicas reported and those of the results received. */
void
CollectVersions(const CoordinatorState& aCoordinator,
                const Query& aQuery,
                std::uint32_t aShardPosition,
                std::vector<SnapshotVersion>& aVersions)
{
  aVersions.clear();
  const ShardProgress& shard = aQuery.mShards[aShardPosition];
  const auto& replicas = aQuery.mServiceRecord->mReplicas[shard.mShard.Value()];
  for (const std::uint32_t position : replicas) {
    const auto seen =
      aCoordinator.mTargets.find(aQuery.mDeployment->mTargets[position].mId);
    const bool isKnown =
      seen != aCoordinator.mTargets.end() &&
      seen->second.mAvailability == TargetAvailability::kInUse;
    if (isKnown) {
      for (const SnapshotVersion version : seen->second.mHeldSnapshots) {
        AddVersion(aVersions, version);
      }
    }
  }
  if (shard.mStatus == ShardStatus::kAnswered) {
    AddVersion(aVersions, shard.mSnapshot);
  }
  for (const OtherSnapshotResult& result : aQuery.mOtherSnapshotResults) {
    if (result.mShardPosition == aShardPosition) {
      AddVersion(aVersions, result.mSnapshot);
    }
  }
}

Tallies
TallyKnown(const CoordinatorState& aCoordinator, const Query& aQuery)
{
  Tallies tallies;
  std::vector<SnapshotVersion> versions;
  for (std::uint32_t shard = 0; shard < aQuery.mShards.size(); ++shard) {
    CollectVersions(aCoordinator, aQuery, shard, versions);
    for (const SnapshotVersion version : versions) {
      Tally(tallies, version);
    }
  }
  return tallies;
}

/** Sets a shard's result aside as that of another snapshot and makes the shard
    pending. */
void
MoveToOtherSnapshotResults(Query& aQuery, std::uint32_t aShardPosition)
{
  ShardProgress& shard = aQuery.mShards[aShardPosition];
  KeepOtherSnapshotResult(aQuery,
                          aShardPosition,
                          shard.mTarget,
                          shard.mSnapshot,
                          std::move(shard.mBody));
  shard.mStatus = ShardStatus::kPending;
  shard.mReason = MissingReason::kSnapshotUnavailable;
  --aQuery.mAnswered;
  ++aQuery.mPending;
}

/** Turns the results that were set aside from the given snapshot into results
    of the query. */
void
UseOtherSnapshotResults(Query& aQuery, SnapshotVersion aSnapshot)
{
  std::vector<OtherSnapshotResult> kept;
  for (OtherSnapshotResult& result : aQuery.mOtherSnapshotResults) {
    ShardProgress& shard = aQuery.mShards[result.mShardPosition];
    if (result.mSnapshot != aSnapshot ||
        shard.mStatus == ShardStatus::kAnswered) {
      kept.push_back(std::move(result));
      continue;
    }
    if (shard.mStatus == ShardStatus::kPending) {
      --aQuery.mPending;
    }
    shard.mStatus = ShardStatus::kAnswered;
    shard.mTarget = result.mTarget;
    shard.mSnapshot = result.mSnapshot;
    shard.mBody = std::move(result.mBody);
    ++aQuery.mAnswered;
  }
  aQuery.mOtherSnapshotResults = std::move(kept);
}

} // namespace

SnapshotCoverage
BestSnapshot(const CoordinatorState& aCoordinator, const Query& aQuery)
{
  return BestCovered(TallyKnown(aCoordinator, aQuery));
}

std::uint32_t
CoverageOf(const CoordinatorState& aCoordinator,
           const Query& aQuery,
           SnapshotVersion aSnapshot)
{
  for (const SnapshotTally& tally : TallyKnown(aCoordinator, aQuery)) {
    if (tally.mSnapshot == aSnapshot) {
      return tally.mShards;
    }
  }
  return 0;
}

SnapshotVersion
PlanSnapshot(VmState& aState, const Query& aQuery)
{
  if (aQuery.mRequest.mOperation != Operation::kSearch) {
    return BestSnapshot(aState.mCoordinator, aQuery).mSnapshot;
  }
  ServiceObservation& service = ObservedService(aState, *aQuery.mServiceRecord);
  if (service.mChosenEpoch != service.mSnapshotEpoch) {
    service.mChosenEpoch = service.mSnapshotEpoch;
    service.mChosenSnapshot =
      BestSnapshot(aState.mCoordinator, aQuery).mSnapshot;
  }
  return service.mChosenSnapshot;
}

void
TallySnapshot(Query& aQuery, SnapshotVersion aSnapshot)
{
  Tally(aQuery.mTallies, aSnapshot);
}

bool
IsReadyToSettle(const Query& aQuery)
{
  if (aQuery.mPending == 0) {
    return true;
  }
  return BestCovered(aQuery.mTallies).mShards > aQuery.mShards.size() / 2;
}

void
KeepOtherSnapshotResult(Query& aQuery,
                        std::uint32_t aShardPosition,
                        TargetId aTarget,
                        SnapshotVersion aSnapshot,
                        SharedBytes aBody)
{
  aQuery.mOtherSnapshotResults.push_back(OtherSnapshotResult{
    aShardPosition, aTarget, aSnapshot, std::move(aBody) });
}

std::vector<std::uint32_t>
AdoptSnapshot(Query& aQuery, SnapshotVersion aSnapshot)
{
  aQuery.mSnapshot = aSnapshot;
  aQuery.mIsSnapshotSettled = true;
  for (std::uint32_t shard = 0; shard < aQuery.mShards.size(); ++shard) {
    const ShardProgress& progress = aQuery.mShards[shard];
    if (progress.mStatus == ShardStatus::kAnswered &&
        progress.mSnapshot != aSnapshot) {
      MoveToOtherSnapshotResults(aQuery, shard);
    }
  }
  UseOtherSnapshotResults(aQuery, aSnapshot);
  std::vector<std::uint32_t> pendingShards;
  for (std::uint32_t shard = 0; shard < aQuery.mShards.size(); ++shard) {
    ShardProgress& progress = aQuery.mShards[shard];
    const bool wasMissing =
      progress.mStatus == ShardStatus::kMissing &&
      progress.mReason == MissingReason::kSnapshotUnavailable;
    if (wasMissing) {
      progress.mStatus = ShardStatus::kPending;
      ++aQuery.mPending;
    }
    if (progress.mStatus == ShardStatus::kPending) {
      pendingShards.push_back(shard);
    }
  }
  return pendingShards;
}

SnapshotCoverage
BestReceivedSnapshot(const Query& aQuery)
{
  Tallies tallies;
  for (const ShardProgress& shard : aQuery.mShards) {
    if (shard.mStatus == ShardStatus::kAnswered) {
      Tally(tallies, shard.mSnapshot);
    }
  }
  std::vector<std::pair<SnapshotVersion, std::uint32_t>> counted;
  for (const OtherSnapshotResult& result : aQuery.mOtherSnapshotResults) {
    const std::pair key(result.mSnapshot, result.mShardPosition);
    const ShardProgress& shard = aQuery.mShards[result.mShardPosition];
    const bool isDuplicate =
      (shard.mStatus == ShardStatus::kAnswered &&
       shard.mSnapshot == result.mSnapshot) ||
      std::find(counted.begin(), counted.end(), key) != counted.end();
    if (!isDuplicate) {
      counted.push_back(key);
      Tally(tallies, result.mSnapshot);
    }
  }
  return BestCovered(tallies);
}

} // namespace wasabispread
