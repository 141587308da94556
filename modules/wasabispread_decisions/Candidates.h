/*
 * Which VMs may hold connections, from the members known and their liveness.
 *
 * A VM's connections may outlive what others believe of it. So a VM counts as
 * a candidate as soon as it is listed, holds connections itself only after it
 * has been listed for PlacementState::mHoldDelay, and goes on counting for
 * others until PlacementState::mHoldDelay after it left the list, or
 * kDeathDelay after it was found dead. Shares therefore shrink at once and grow
 * late.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** How long a listed VM must be dead before others take its share. */
inline constexpr Duration kDeathDelay = std::chrono::seconds(10);

/** How long a VM that no list ever showed waits before it holds connections. */
inline constexpr Duration kUnlistedDelay = std::chrono::seconds(10);

/** Makes this VM the one candidate known. */
void
StartCandidates(VmState& aState, TimePoint aNow);

/** Brings the candidates in line with the members known. To be called after
    each change of the live members and each reading of the VM list. */
void
ObserveMembers(VmState& aState, TimePoint aNow, Effects& aEffects);

/** Drops the candidates whose time is over, and applies changed shares. */
void
RefreshCandidates(VmState& aState, TimePoint aNow, Effects& aEffects);

/** Takes this VM's shares away until a list shows it again; for use after a
    pause in which others may have taken them. */
void
ReleaseShares(VmState& aState, TimePoint aNow, Effects& aEffects);

} // namespace wasabispread
