/*
 * Which VMs may hold connections, derived from the known members and their
 * liveness.
 *
 * A VM may still hold connections after other VMs have come to regard it as
 * gone. A VM therefore counts as a candidate as soon as it is listed, but opens
 * connections itself only after it has been listed for
 * PlacementState::mHoldDelay. Other VMs keep counting it until
 * PlacementState::mHoldDelay after it left the list, or until kDeathDelay after
 * it was found dead. As a result, shares shrink at once and grow late.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** How long a listed VM must have been dead before other VMs take its share. */
inline constexpr Duration kDeathDelay = std::chrono::seconds(10);

/** How long a VM that has not appeared in any VM list waits before it holds
    connections. */
inline constexpr Duration kUnlistedDelay = std::chrono::seconds(10);

/** Adds this VM as the only candidate. */
void
StartCandidates(VmState& aState, TimePoint aNow);

/** Updates the candidates from the known members. Must be called after each
    change of the live members and after each reading of the VM list. */
void
ObserveMembers(VmState& aState, TimePoint aNow, Effects& aEffects);

/** Removes the candidates that have expired, and applies the shares that change
    as a result. */
void
RefreshCandidates(VmState& aState, TimePoint aNow, Effects& aEffects);

/** Gives up this VM's shares until a VM list shows it again. Called after a
    pause in which other VMs may have taken these shares. */
void
ReleaseShares(VmState& aState, TimePoint aNow, Effects& aEffects);

} // namespace wasabispread
