/*
 * Placement: which VMs own which targets, which of them a coordinator sends its
 * attempts to, and how many connections each may hold.
 */
#pragma once

#include "ConfigurationState.h"
#include "VmState.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace wasabispread {

/** How many targets a group has at most. */
inline constexpr std::uint32_t kTargetsPerGroup = 24;

/** Divides the targets of the deployment in force into groups. All targets of a
    group belong to one service and one zone. */
void
GroupTargets(ConfigurationState& aConfiguration);

/** Discards the cached rankings of all groups, when the groups have changed. */
void
ResetRankings(VmState& aState);

/** The best candidates of a group in rendezvous order, best first. There are at
    least as many as the policy has owners, if the zone has that many. They are
    from the group's own zone if it has candidates, else from the zone that
    comes first in the group's rendezvous order of zones. The ranking is cached
    and updated by the changes since: a candidate that comes or goes costs one
    hash per group, and a full ranking only where it was among the best. */
const std::vector<RankedVm>&
RankedCandidates(VmState& aState, std::uint32_t aGroup);

/** The target owners of a group to which attempts can be sent, best first. */
const std::vector<VmId>&
UsableOwners(VmState& aState, std::uint32_t aGroup, TimePoint aNow);

/** The target owner to send an attempt to, or nothing when none can be reached.
    aSelector selects one of several equal owners; attempts with the same
    aSelector go to the same owner. */
std::optional<VmId>
ChooseOwner(VmState& aState,
            std::uint32_t aTargetPosition,
            std::uint64_t aSelector,
            TimePoint aNow);

/** How many connections this VM may hold to each target of a group. aCap is the
    number that each target accepts from all VMs together. */
std::uint32_t
OwnConnectionShare(VmState& aState,
                   std::uint32_t aGroup,
                   std::uint32_t aCap,
                   TimePoint aNow);

} // namespace wasabispread
