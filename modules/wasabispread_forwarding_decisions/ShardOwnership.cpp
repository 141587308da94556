/*
 * The choice of owners.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** With fewer VMs in a zone, each sees enough searches by itself. */
constexpr std::size_t kLeastVms = 4;
/** One owner for so many VMs: a quarter of a zone's processor serves the
    queries, the rest the callers. */
constexpr std::size_t kVmsPerOwner = 4;
/** More owners than this would make the frames between VMs cost more than the
    exchanges that they save. */
constexpr std::size_t kMostOwners = 12;
/** A search over fewer shards costs less than handing it on. */
constexpr std::size_t kLeastShards = 40;

} // namespace

std::vector<std::string>
ChooseOwners(std::vector<OwnerCandidate> aVms)
{
  if (aVms.size() < kLeastVms) {
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
    std::clamp(aVms.size() / kVmsPerOwner, kLeastVms, kMostOwners);
  std::vector<std::string> owners;
  for (std::size_t index = 0; index < count; ++index) {
    owners.push_back(std::move(aVms[index].mName));
  }
  return owners;
}

bool
IsWorthDelegating(std::size_t aShards)
{
  return aShards >= kLeastShards;
}

std::size_t
ChooseOwner(const std::vector<std::string>& aOwners, ServiceId aShard)
{
  const auto owner = std::max_element(
    aOwners.begin(), aOwners.end(), [&](const auto& aLeft, const auto& aRight) {
      return StableHash(aLeft, aShard.Value()) <
             StableHash(aRight, aShard.Value());
    });
  return static_cast<std::size_t>(owner - aOwners.begin());
}

void
RefreshDelegation(ForwarderState& aState, TimePoint aNow)
{
  ShardOwnership& delegation = aState.mShardOwnership;
  std::vector<OwnerCandidate> candidates;
  std::unordered_set<ZoneName> zones{ aState.mPolicy.mZone };
  for (const auto& [name, member] : aState.mFleet.mMembers) {
    const bool isPresent = member.mLeft == TimePoint::max() &&
                           aNow >= member.mSuspectUntil &&
                           member.mRecord.mZone == aState.mPolicy.mZone;
    zones.insert(member.mRecord.mZone);
    if (isPresent) {
      candidates.push_back({ name, member.mRecord.mProcessorShare });
    }
  }
  delegation.mOwners = ChooseOwners(std::move(candidates));
  delegation.mZones = zones.size();
  delegation.mOwnerOf.clear();
  if (aState.mConfiguration == nullptr || delegation.mOwners.empty()) {
    return;
  }
  for (const Route& route : aState.mConfiguration->mRoutes) {
    if (!IsWorthDelegating(route.mShards.size())) {
      continue;
    }
    for (const ServiceId shard : route.mShards) {
      delegation.mOwnerOf.emplace(shard,
                                  ChooseOwner(delegation.mOwners, shard));
    }
  }
}

bool
IsOwn(const ForwarderState& aState, ServiceId aShard)
{
  const ShardOwnership& delegation = aState.mShardOwnership;
  return !delegation.Covers(aShard) ||
         delegation.OwnerOf(aShard) == aState.mPolicy.mName;
}

} // namespace wasabispread::forwarding
