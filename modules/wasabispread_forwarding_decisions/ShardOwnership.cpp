/*
 * Chooses shard owners by processor share and hash.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** Minimum number of VMs in a zone with shard owners, and the minimum number of
    owners. With fewer VMs, each sees enough searches itself to notice
    pauses. */
constexpr std::size_t kMinVms = 4;
/** VMs per shard owner: a quarter of a zone's processors serves the queries,
    the rest the callers. */
constexpr std::size_t kVmsPerOwner = 4;
/** Maximum number of shard owners: with more, the frames between VMs would cost
    more than the exchanges with targets that they save. */
constexpr std::size_t kMaxOwners = 12;
/** Minimum number of shards of a search that uses shard owners: a smaller one
    costs less than the messages to the owners. */
constexpr std::size_t kMinShards = 40;

} // namespace

std::vector<std::string>
ChooseShardOwners(std::vector<ShardOwnerCandidate> aVms)
{
  if (aVms.size() < kMinVms) {
    return {};
  }
  std::sort(
    aVms.begin(), aVms.end(), [](const auto& aLeft, const auto& aRight) {
      const std::uint64_t left = StableHash(aLeft.mName, 0);
      const std::uint64_t right = StableHash(aRight.mName, 0);
      return std::tie(aRight.mProcessorShare, left, aLeft.mName) <
             std::tie(aLeft.mProcessorShare, right, aRight.mName);
    });
  const std::size_t count =
    std::clamp(aVms.size() / kVmsPerOwner, kMinVms, kMaxOwners);
  std::vector<std::string> owners;
  for (std::size_t index = 0; index < count; ++index) {
    owners.push_back(std::move(aVms[index].mName));
  }
  return owners;
}

bool
UsesShardOwners(std::size_t aShards)
{
  return aShards >= kMinShards;
}

std::size_t
ChooseShardOwner(const std::vector<std::string>& aOwners, ServiceId aShard)
{
  const auto owner = std::max_element(
    aOwners.begin(), aOwners.end(), [&](const auto& aLeft, const auto& aRight) {
      return StableHash(aLeft, aShard.Value()) <
             StableHash(aRight, aShard.Value());
    });
  return static_cast<std::size_t>(owner - aOwners.begin());
}

void
RefreshShardOwnership(ForwarderState& aState, TimePoint aNow)
{
  ShardOwnership& ownership = aState.mShardOwnership;
  std::vector<ShardOwnerCandidate> candidates;
  std::unordered_set<ZoneName> zones{ aState.mPolicy.mZone };
  for (const auto& [name, member] : aState.mMembership.mMembers) {
    const bool isPresent = member.mLeftAt == TimePoint::max() &&
                           aNow >= member.mAvoidUntil &&
                           member.mRecord.mZone == aState.mPolicy.mZone;
    zones.insert(member.mRecord.mZone);
    if (isPresent) {
      candidates.push_back({ name, member.mRecord.mProcessorShare });
    }
  }
  ownership.mOwners = ChooseShardOwners(std::move(candidates));
  ownership.mZoneCount = zones.size();
  ownership.mOwnerOfShard.clear();
  if (aState.mConfiguration == nullptr || ownership.mOwners.empty()) {
    return;
  }
  for (const Route& route : aState.mConfiguration->mRoutes) {
    if (!UsesShardOwners(route.mShards.size())) {
      continue;
    }
    for (const ServiceId shard : route.mShards) {
      ownership.mOwnerOfShard.emplace(
        shard, ChooseShardOwner(ownership.mOwners, shard));
    }
  }
}

bool
IsOwnShard(const ForwarderState& aState, ServiceId aShard)
{
  const ShardOwnership& ownership = aState.mShardOwnership;
  return !ownership.HasOwner(aShard) ||
         ownership.OwnerOf(aShard) == aState.mPolicy.mName;
}

} // namespace wasabispread::forwarding
