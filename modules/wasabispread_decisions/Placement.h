/*
 * Which VMs own which targets, and how many connections each may hold.
 */
#pragma once

#include "ConfigurationState.h"
#include "MembershipState.h"

#include <cstdint>
#include <vector>

namespace wasabispread {

/** The most targets that share their owners. */
inline constexpr std::uint32_t kTargetsPerGroup = 24;

/** How many owners a group has: the first serves, the next stand by. */
inline constexpr std::size_t kOwnersPerGroup = 2;

/** Sorts a deployment's targets into groups of one service and one zone. */
void
GroupTargets(ConfigurationState& aConfiguration);

/** The live VMs that own a group, best first, by rendezvous hashing: when one
    VM comes or goes, only the groups it ranks for change. They are in the
    group's own zone while that has a live VM, else in the next zone that has
    one. Empty when no VM is live. */
const std::vector<VmId>&
OwnersOf(MembershipState& aMembership, const OwnerGroup& aGroup);

/** How many of a target's aCap connections the owner at a rank may open.
    The shares of all ranks add up to no more than the cap. A rank past the
    last stands for a VM that does not see itself as an owner. */
std::uint32_t
ConnectionShare(std::uint32_t aCap, std::size_t aRank);

/** The rank at which a VM owns a group; kOwnersPerGroup when it does not. */
std::size_t
RankOf(MembershipState& aMembership, const OwnerGroup& aGroup, VmId aVm);

} // namespace wasabispread
