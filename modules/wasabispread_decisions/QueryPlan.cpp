/*
 * Snapshot and replica choice.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <cassert>
#include <map>

namespace wasabispread {

namespace {

/** Lower is better. */
double
ReplicaScore(const NodeState& aState, const Target& aTarget, TimePoint aNow)
{
  constexpr double kUnknownLatency = 1e6;
  constexpr double kOtherZonePenalty = 4e6;
  constexpr double kAvoidedPenalty = 1e12;
  double score = aTarget.mZone == aState.mSelf.mZone ? 0 : kOtherZonePenalty;
  const auto place = aState.mEntry.mTargets.find(aTarget.mId);
  if (place == aState.mEntry.mTargets.end()) {
    return score + kUnknownLatency;
  }
  const TargetObservation& seen = place->second;
  const double latency = seen.mLatency > 0 ? seen.mLatency : kUnknownLatency;
  score += latency * (seen.mInFlight + 1);
  return seen.mAvoidUntil > aNow ? score + kAvoidedPenalty : score;
}

bool
LacksSnapshot(const EntryState& aEntry,
              TargetId aTarget,
              SnapshotVersion aSnapshot)
{
  const auto place = aEntry.mTargets.find(aTarget);
  if (aSnapshot.Value() == 0 || place == aEntry.mTargets.end()) {
    return false;
  }
  const auto& held = place->second.mHeldSnapshots;
  return !held.empty() &&
         std::find(held.begin(), held.end(), aSnapshot) == held.end();
}

} // namespace

std::vector<ShardIndex>
ShardsOf(const Service& aService, Operation aOperation, const std::string& aKey)
{
  std::vector<ShardIndex> shards;
  if (aOperation != Operation::kSearch) {
    shards.emplace_back(
      static_cast<std::uint32_t>(StableHash(aKey) % aService.mShardCount));
    return shards;
  }
  shards.reserve(aService.mShardCount);
  for (std::uint32_t shard = 0; shard < aService.mShardCount; ++shard) {
    shards.emplace_back(shard);
  }
  return shards;
}

SnapshotVersion
ChooseSnapshot(const EntryState& aEntry, const Query& aQuery)
{
  std::map<SnapshotVersion, std::uint32_t> coverage;
  std::vector<SnapshotVersion> versions;
  for (const ShardProgress& shard : aQuery.mShards) {
    versions.clear();
    const auto& replicas =
      aQuery.mServiceRecord->mReplicas[shard.mShard.Value()];
    for (const std::uint32_t position : replicas) {
      const TargetId target = aQuery.mDeployment->mTargets[position].mId;
      const auto place = aEntry.mTargets.find(target);
      if (place != aEntry.mTargets.end()) {
        const auto& held = place->second.mHeldSnapshots;
        versions.insert(versions.end(), held.begin(), held.end());
      }
    }
    std::sort(versions.begin(), versions.end());
    const auto end = std::unique(versions.begin(), versions.end());
    for (auto version = versions.begin(); version != end; ++version) {
      ++coverage[*version];
    }
  }
  SnapshotVersion best;
  std::uint32_t bestCoverage = 0;
  for (const auto& [version, shards] : coverage) {
    if (shards >= bestCoverage) {
      best = version;
      bestCoverage = shards;
    }
  }
  return best;
}

std::uint32_t
ChooseReplica(NodeState& aState,
              const Query& aQuery,
              ShardIndex aShard,
              std::optional<TargetId> aExclude,
              TimePoint aNow)
{
  const auto& replicas = aQuery.mServiceRecord->mReplicas[aShard.Value()];
  assert(!replicas.empty());
  const auto& targets = aQuery.mDeployment->mTargets;
  constexpr std::size_t kMostCandidates = 8;
  std::uint32_t candidates[kMostCandidates];
  std::size_t count = 0;
  for (const std::uint32_t position : replicas) {
    const TargetId id = targets[position].mId;
    const bool usable =
      id != aExclude && !LacksSnapshot(aState.mEntry, id, aQuery.mSnapshot);
    if (usable && count < kMostCandidates) {
      candidates[count++] = position;
    }
  }
  if (count == 0) {
    return replicas[aState.mRandom.Below(replicas.size())];
  }
  const std::size_t first = aState.mRandom.Below(count);
  if (count == 1) {
    return candidates[first];
  }
  const std::size_t second =
    (first + 1 + aState.mRandom.Below(count - 1)) % count;
  const double firstScore =
    ReplicaScore(aState, targets[candidates[first]], aNow);
  const double secondScore =
    ReplicaScore(aState, targets[candidates[second]], aNow);
  return secondScore < firstScore ? candidates[second] : candidates[first];
}

} // namespace wasabispread
