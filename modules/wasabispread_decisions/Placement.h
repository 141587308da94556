/*
 * Which VMs own which targets, which of them an entry asks, and how many
 * connections each may hold.
 */
#pragma once

#include "ConfigurationState.h"
#include "VmState.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace wasabispread {

/** The most targets that share their owners. */
inline constexpr std::uint32_t kTargetsPerGroup = 24;

/** Sorts a deployment's targets into groups of one service and one zone. */
void
GroupTargets(ConfigurationState& aConfiguration);

/** Forgets the order of every group; for use when the groups change. */
void
ResetRankings(VmState& aState);

/** The candidates for a group in rendezvous order, best first, at least as
    many as the policy's owners while the zone has so many. They are of the
    group's own zone while that has a candidate, else of the next zone in the
    group's order of zones. The order is kept and brought up to date by what
    changed: one candidate's coming or going costs one hash a group, and a full
    ranking only where it was among the best. */
const std::vector<RankedVm>&
RankedCandidates(VmState& aState, std::uint32_t aGroup);

/** The owners of a group that can be given work, best first. */
const std::vector<VmId>&
UsableOwners(VmState& aState, std::uint32_t aGroup, TimePoint aNow);

/** The owner to send an attempt at a target to, or nothing when none can be
    reached. aSpread selects one of several equals; attempts with the same one
    go to the same owner. */
std::optional<VmId>
ChooseOwner(VmState& aState,
            std::uint32_t aTargetPosition,
            std::uint64_t aSpread,
            TimePoint aNow);

/** How many connections this VM may hold to each target of a group. */
std::uint32_t
OwnShare(VmState& aState,
         std::uint32_t aGroup,
         std::uint32_t aCap,
         TimePoint aNow);

} // namespace wasabispread
