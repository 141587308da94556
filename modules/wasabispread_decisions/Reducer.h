/*
 * The entry point to a VM's decisions.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** Applies an event to a VM's state and returns the effects to carry out. aNow
    must not be earlier than at the event before. The cost does not grow with
    the number of VMs. */
Effects
Reduce(VmState& aState, const Event& aEvent, TimePoint aNow);

/** Sends a message to a VM. A message to this VM itself is handled within the
    same call of Reduce(). */
void
SendToVm(VmState& aState,
         VmId aPeer,
         const Endpoint& aAddress,
         PeerMessage aMessage,
         Effects& aEffects);

} // namespace wasabispread
