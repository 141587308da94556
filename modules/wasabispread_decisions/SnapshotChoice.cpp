/*
 * Counting of versions, and the change from one to another.
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
  const auto place = std::find_if(
    aTallies.begin(), aTallies.end(), [aSnapshot](const SnapshotTally& aTally) {
      return aTally.mSnapshot == aSnapshot;
    });
  if (place == aTallies.end()) {
    aTallies.push_back(SnapshotTally{ aSnapshot, 1 });
  } else {
    ++place->mShards;
  }
}

SnapshotCoverage
MostCovered(const Tallies& aTallies)
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

/** The versions that a shard can answer from, by what is known. */
void
CollectVersions(const CoordinatorState& aEntry,
                const Query& aQuery,
                std::uint32_t aShardPosition,
                std::vector<SnapshotVersion>& aVersions)
{
  aVersions.clear();
  const ShardProgress& shard = aQuery.mShards[aShardPosition];
  const auto& replicas = aQuery.mServiceRecord->mReplicas[shard.mShard.Value()];
  for (const std::uint32_t position : replicas) {
    const auto seen =
      aEntry.mTargets.find(aQuery.mDeployment->mTargets[position].mId);
    const bool isKnown =
      seen != aEntry.mTargets.end() &&
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
  for (const SpareResult& spare : aQuery.mSpares) {
    if (spare.mShardPosition == aShardPosition) {
      AddVersion(aVersions, spare.mSnapshot);
    }
  }
}

Tallies
TallyKnown(const CoordinatorState& aEntry, const Query& aQuery)
{
  Tallies tallies;
  std::vector<SnapshotVersion> versions;
  for (std::uint32_t shard = 0; shard < aQuery.mShards.size(); ++shard) {
    CollectVersions(aEntry, aQuery, shard, versions);
    for (const SnapshotVersion version : versions) {
      Tally(tallies, version);
    }
  }
  return tallies;
}

/** Moves a shard's result to the spares and makes the shard pending. */
void
SetAside(Query& aQuery, std::uint32_t aShardPosition)
{
  ShardProgress& shard = aQuery.mShards[aShardPosition];
  KeepSpare(aQuery,
            aShardPosition,
            shard.mTarget,
            shard.mSnapshot,
            std::move(shard.mBody));
  shard.mStatus = ShardStatus::kPending;
  shard.mReason = MissingReason::kSnapshotUnavailable;
  --aQuery.mAnswered;
  ++aQuery.mPending;
}

/** Turns the spares of a version into results. */
void
UseSpares(Query& aQuery, SnapshotVersion aSnapshot)
{
  std::vector<SpareResult> kept;
  for (SpareResult& spare : aQuery.mSpares) {
    ShardProgress& shard = aQuery.mShards[spare.mShardPosition];
    if (spare.mSnapshot != aSnapshot ||
        shard.mStatus == ShardStatus::kAnswered) {
      kept.push_back(std::move(spare));
      continue;
    }
    if (shard.mStatus == ShardStatus::kPending) {
      --aQuery.mPending;
    }
    shard.mStatus = ShardStatus::kAnswered;
    shard.mTarget = spare.mTarget;
    shard.mSnapshot = spare.mSnapshot;
    shard.mBody = std::move(spare.mBody);
    ++aQuery.mAnswered;
  }
  aQuery.mSpares = std::move(kept);
}

} // namespace

SnapshotCoverage
BestSnapshot(const CoordinatorState& aEntry, const Query& aQuery)
{
  return MostCovered(TallyKnown(aEntry, aQuery));
}

std::uint32_t
CoverageOf(const CoordinatorState& aEntry,
           const Query& aQuery,
           SnapshotVersion aSnapshot)
{
  for (const SnapshotTally& tally : TallyKnown(aEntry, aQuery)) {
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
  return MostCovered(aQuery.mTallies).mShards > aQuery.mShards.size() / 2;
}

void
KeepSpare(Query& aQuery,
          std::uint32_t aShardPosition,
          TargetId aTarget,
          SnapshotVersion aSnapshot,
          SharedBytes aBody)
{
  aQuery.mSpares.push_back(
    SpareResult{ aShardPosition, aTarget, aSnapshot, std::move(aBody) });
}

std::vector<std::uint32_t>
AdoptSnapshot(Query& aQuery, SnapshotVersion aSnapshot)
{
  aQuery.mSnapshot = aSnapshot;
  aQuery.mIsSettled = true;
  for (std::uint32_t shard = 0; shard < aQuery.mShards.size(); ++shard) {
    const ShardProgress& progress = aQuery.mShards[shard];
    if (progress.mStatus == ShardStatus::kAnswered &&
        progress.mSnapshot != aSnapshot) {
      SetAside(aQuery, shard);
    }
  }
  UseSpares(aQuery, aSnapshot);
  std::vector<std::uint32_t> wanted;
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
      wanted.push_back(shard);
    }
  }
  return wanted;
}

SnapshotCoverage
BestInHand(const Query& aQuery)
{
  Tallies tallies;
  for (const ShardProgress& shard : aQuery.mShards) {
    if (shard.mStatus == ShardStatus::kAnswered) {
      Tally(tallies, shard.mSnapshot);
    }
  }
  std::vector<std::pair<SnapshotVersion, std::uint32_t>> counted;
  for (const SpareResult& spare : aQuery.mSpares) {
    const std::pair key(spare.mSnapshot, spare.mShardPosition);
    const ShardProgress& shard = aQuery.mShards[spare.mShardPosition];
    const bool isDoubled =
      (shard.mStatus == ShardStatus::kAnswered &&
       shard.mSnapshot == spare.mSnapshot) ||
      std::find(counted.begin(), counted.end(), key) != counted.end();
    if (!isDoubled) {
      counted.push_back(key);
      Tally(tallies, spare.mSnapshot);
    }
  }
  return MostCovered(tallies);
}

} // namespace wasabispread
