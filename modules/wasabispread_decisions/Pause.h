/*
 * Noticing that the process stood still.
 */
#pragma once

#include "Effect.h"
#include "VmState.h"

namespace wasabispread {

/** Begins the heartbeat. */
void
StartHeartbeat(VmState& aState, TimePoint aNow);

/** Takes in the present before an event is handled. After a pause, shares are
    released when others may have taken them, and nobody counts as silent. */
void
ObservePresent(VmState& aState, TimePoint aNow, Effects& aEffects);

/** How long a message handled now may have waited unread. */
Duration
UnreadTime(const PauseState& aPause, TimePoint aNow);

} // namespace wasabispread
