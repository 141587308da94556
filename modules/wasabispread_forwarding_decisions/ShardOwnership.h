/*
 * Which VM of a zone queries which shards. The load it answers: searches over
 * many shards from a zone of many small VMs, of which each alone would see too
 * few of them to know which targets pause, and would need connections to every
 * target.
 */
#pragma once

#include "Membership.h"
#include "Routing.h"

#include <unordered_map>
#include <vector>

namespace wasabispread::forwarding {

struct ForwarderState;

/** A VM that may own shards. */
struct OwnerCandidate
{
  std::string mName;
  /** The part of a processor core that it has. */
  double mProcessorShare = 1;
};

/** Who owns shards in this VM's zone. Invariant: mOwners is empty exactly when
    each VM queries all shards itself; mOwnerOf holds every shard of the routes
    that are delegated, with a position in mOwners. */
struct ShardOwnership
{
  std::vector<std::string> mOwners;
  std::unordered_map<ServiceId, std::size_t> mOwnerOf;
  /** The number of zones: each has owners of its own. */
  std::size_t mZones = 1;
  /** Until when this VM counts as cut off, because an owner said so. */
  TimePoint mCutOffUntil{};

  bool Covers(ServiceId aShard) const { return mOwnerOf.contains(aShard); }

  const std::string& OwnerOf(ServiceId aShard) const
  {
    return mOwners[mOwnerOf.at(aShard)];
  }
};

/** The owners among a zone's VMs: those with most processor, as many as the
    zone's searches need; none when the zone has too few VMs. All VMs of the
    zone that know the same members choose the same. */
std::vector<std::string>
ChooseOwners(std::vector<OwnerCandidate> aVms);

/** Whether a search over so many shards is delegated where owners exist. */
bool
IsWorthDelegating(std::size_t aShards);

/** The position of a shard's owner; there must be one. A change among the
   owners moves only the shards of those that came or went. */
std::size_t
ChooseOwner(const std::vector<std::string>& aOwners, ServiceId aShard);

/** Chooses the owners and the delegated shards anew. */
void
RefreshDelegation(ForwarderState& aState, TimePoint aNow);

/** Whether this VM queries the shard's targets as a rule. */
bool
IsOwn(const ForwarderState& aState, ServiceId aShard);

} // namespace wasabispread::forwarding
