/*
 * Chooses shard owners by processor share and hash.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <map>
#include <set>

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

std::size_t
ShardOwnership::CountOwners() const
{
  std::set<std::string> owners;
  for (const auto& [shard, owner] : mOwnerOfShard) {
    owners.insert(owner.mVm);
  }
  return owners.size();
}

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

namespace {

/** The VMs of each zone that may own shards, in the order of their names. */
using VmsOfZone = std::map<ZoneName, std::vector<ShardOwnerCandidate>>;

VmsOfZone
PresentVms(const ForwarderState& aState, TimePoint aNow)
{
  VmsOfZone vms;
  for (const auto& [name, member] : aState.mMembership.mMembers) {
    if (member.mLeftAt == TimePoint::max() && aNow >= member.mAvoidUntil) {
      vms[member.mRecord.mZone].push_back(
        { name, member.mRecord.mProcessorShare });
    }
  }
  return vms;
}

std::set<ZoneName>
ZonesOfTargets(const ForwarderState& aState, ServiceId aShard)
{
  std::set<ZoneName> zones;
  const auto targets = aState.mTargetsOfService.find(aShard);
  if (targets != aState.mTargetsOfService.end()) {
    for (const TargetKey key : targets->second) {
      const ZoneName& zone = aState.mTargets.at(key).mRecord.mZone;
      if (!IsEvacuated(aState, zone)) {
        zones.insert(zone);
      }
    }
  }
  return zones;
}

/** The zones, other than this VM's, that have VMs and targets of the most
    shards of a route. */
std::vector<ZoneName>
BestOtherZones(const ForwarderState& aState,
               const Route& aRoute,
               const VmsOfZone& aVms)
{
  std::map<ZoneName, std::size_t> shardsOfZone;
  std::size_t most = 0;
  for (const ServiceId shard : aRoute.mShards) {
    for (const ZoneName& zone : ZonesOfTargets(aState, shard)) {
      if (zone != aState.mPolicy.mZone && aVms.contains(zone)) {
        most = std::max(most, ++shardsOfZone[zone]);
      }
    }
  }
  std::vector<ZoneName> best;
  for (const auto& [zone, shards] : shardsOfZone) {
    if (shards == most) {
      best.push_back(zone);
    }
  }
  return best;
}

/** This VM's position among the VMs of all zones but aExcluded. */
std::size_t
PositionOutside(const ForwarderState& aState,
                const std::vector<ZoneName>& aExcluded)
{
  std::size_t position = 0;
  for (const auto& [name, member] : aState.mMembership.mMembers) {
    const bool isExcluded =
      std::find(aExcluded.begin(), aExcluded.end(), member.mRecord.mZone) !=
      aExcluded.end();
    if (member.mLeftAt == TimePoint::max() && !isExcluded &&
        name < aState.mPolicy.mName) {
      ++position;
    }
  }
  return position;
}

/** Assigns the shards of a route to owners in this VM's zone or in another. */
struct RouteOwners
{
  /** The owners in this VM's zone; empty when each VM queries for itself. */
  std::vector<std::string> mOwnZone;
  /** The zone that queries shards without a target in this VM's zone, and the
      VMs there that share this VM's searches. */
  ZoneName mOtherZone;
  std::vector<std::string> mOtherOwners;
};

RouteOwners
ChooseRouteOwners(const ForwarderState& aState,
                  const Route& aRoute,
                  const VmsOfZone& aVms)
{
  RouteOwners owners;
  const bool isSplit = UsesShardOwners(aRoute.mShards.size());
  const auto own = aVms.find(aState.mPolicy.mZone);
  if (isSplit && own != aVms.end()) {
    owners.mOwnZone = ChooseShardOwners(own->second);
  }
  const std::vector<ZoneName> zones = BestOtherZones(aState, aRoute, aVms);
  if (zones.empty()) {
    return owners;
  }
  // VMs without targets in their zones take turns, so that the other zones and
  // their VMs get equal shares of the searches.
  const std::size_t position = PositionOutside(aState, zones);
  owners.mOtherZone = zones[position % zones.size()];
  const auto& vms = aVms.at(owners.mOtherZone);
  if (isSplit) {
    owners.mOtherOwners = ChooseShardOwners(vms);
  }
  if (owners.mOtherOwners.empty()) {
    owners.mOtherOwners.push_back(
      vms[position / zones.size() % vms.size()].mName);
  }
  return owners;
}

} // namespace

void
RefreshShardOwnership(ForwarderState& aState, TimePoint aNow)
{
  ShardOwnership& ownership = aState.mShardOwnership;
  const VmsOfZone vms = PresentVms(aState, aNow);
  std::set<ZoneName> zones{ aState.mPolicy.mZone };
  for (const auto& [name, member] : aState.mMembership.mMembers) {
    zones.insert(member.mRecord.mZone);
  }
  ownership.mZoneCount = zones.size();
  ownership.mOwnerOfShard.clear();
  if (aState.mConfiguration == nullptr) {
    return;
  }
  for (const Route& route : aState.mConfiguration->mRoutes) {
    if (!route.IsSearch()) {
      continue;
    }
    const RouteOwners owners = ChooseRouteOwners(aState, route, vms);
    for (const ServiceId shard : route.mShards) {
      const std::set<ZoneName> targetZones = ZonesOfTargets(aState, shard);
      const bool isInOtherZone = !targetZones.contains(aState.mPolicy.mZone) &&
                                 !owners.mOtherOwners.empty() &&
                                 targetZones.contains(owners.mOtherZone);
      const auto& candidates =
        isInOtherZone ? owners.mOtherOwners : owners.mOwnZone;
      if (!candidates.empty()) {
        ownership.mOwnerOfShard.emplace(
          shard,
          ShardOwner{ candidates[ChooseShardOwner(candidates, shard)],
                      isInOtherZone });
      }
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

bool
IsOwnedInOtherZone(const ForwarderState& aState, ServiceId aShard)
{
  const auto& owners = aState.mShardOwnership.mOwnerOfShard;
  const auto owner = owners.find(aShard);
  return owner != owners.end() && owner->second.mIsInOtherZone;
}

} // namespace wasabispread::forwarding
