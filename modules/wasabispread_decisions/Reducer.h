/*
 * The one entrance to a node's decisions.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** Applies an event to a node at a time, which must not precede that of the
    event before, and returns what is to be done. The cost does not grow with
    the fleet. */
Effects
Reduce(VmState& aState, const Event& aEvent, TimePoint aNow);

/** Sends a message to a VM, or back to this node when it is the VM named. */
void
SendToVm(VmState& aState,
         VmId aPeer,
         const Endpoint& aAddress,
         PeerMessage aMessage,
         Effects& aEffects);

} // namespace wasabispread
