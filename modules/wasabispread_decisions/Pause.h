/*
 * Detection of pauses, in which the process did not run.
 */
#pragma once

#include "Effect.h"
#include "VmState.h"

namespace wasabispread {

/** Arms the heartbeat timer. */
void
StartHeartbeat(VmState& aState, TimePoint aNow);

/** Checks the time since the last event, before an event is handled. After a
    pause, replies that were awaited from owners are no longer regarded as
    overdue; if the pause was so long that other VMs may have taken this VM's
    shares, the shares are released. */
void
ObserveTime(VmState& aState, TimePoint aNow, Effects& aEffects);

/** How long a message that is handled now may have waited unread. */
Duration
UnreadTime(const PauseState& aPause, TimePoint aNow);

} // namespace wasabispread
