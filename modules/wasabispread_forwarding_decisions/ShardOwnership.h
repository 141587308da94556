/*
 * Decides which VM queries which shards. This handles two loads. Searches over
 * many shards from a zone of many small VMs: a single VM would send too few
 * queries to notice that a target pauses, and would need connections to every
 * target. Searches over shards without a target in the VM's zone: a VM in a
 * zone with targets queries them and returns only the greatest records, instead
 * of every reply crossing between the zones.
 */
#pragma once

#include "Membership.h"
#include "Routing.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace wasabispread::forwarding {

struct ForwarderState;

/** A VM that may become a shard owner. */
struct ShardOwnerCandidate
{
  std::string mName;
  /** The share of a processor core that the VM has. */
  double mProcessorShare = 1;
};

/** The VM that queries a shard for this one. */
struct ShardOwner
{
  std::string mVm;
  bool mIsInOtherZone = false;
};

/** The owners of shards from the point of view of this VM. Invariant: a shard
    without an entry in mOwnerOfShard is queried by this VM itself. */
struct ShardOwnership
{
  std::unordered_map<ServiceId, ShardOwner> mOwnerOfShard;
  /** The owners to which connections were opened. */
  std::set<std::string> mConnectedOwners;
  /** The number of zones. Each zone has its own shard owners. */
  std::size_t mZoneCount = 1;
  /** Until when this VM counts as isolated because a shard owner reported that
      it is isolated itself. */
  TimePoint mIsolatedUntil{};

  bool HasOwner(ServiceId aShard) const
  {
    return mOwnerOfShard.contains(aShard);
  }

  /** The number of VMs that own shards. */
  std::size_t CountOwners() const;

  const std::string& OwnerOf(ServiceId aShard) const
  {
    return mOwnerOfShard.at(aShard).mVm;
  }
};

/** Chooses the shard owners among a zone's VMs: those with the largest
    processor share, as many as the zone's searches need; none when the zone has
    too few VMs. All VMs of a zone with the same membership choose the same
    ones. */
std::vector<std::string>
ChooseShardOwners(std::vector<ShardOwnerCandidate> aVms);

/** Whether a search over this many shards is split among shard owners, where
    there are any. */
bool
UsesShardOwners(std::size_t aShards);

/** The position in aOwners, which must not be empty, of a shard's owner. When
    owners come or go, only their own shards move. */
std::size_t
ChooseShardOwner(const std::vector<std::string>& aOwners, ServiceId aShard);

/** Recomputes the owner of each shard. */
void
RefreshShardOwnership(ForwarderState& aState, TimePoint aNow);

/** Whether this VM queries the shard's targets itself: it owns the shard, or
    the shard has no owner. */
bool
IsOwnShard(const ForwarderState& aState, ServiceId aShard);

/** Whether the shard's owner is in another zone. */
bool
IsOwnedInOtherZone(const ForwarderState& aState, ServiceId aShard);

} // namespace wasabispread::forwarding
