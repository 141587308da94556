/*
 * Which VMs are there to be given work.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "NodeState.h"

namespace wasabispread {

/** Asks the platform for its VM list. */
void
StartMembership(NodeState& aState, Effects& aEffects);

/** Takes in the VM list, or waits and asks again. */
void
HandleVmListReceived(NodeState& aState,
                     const VmListReceived& aEvent,
                     TimePoint aNow,
                     Effects& aEffects);

/** Where a VM is reached, or nullptr when it is not known. */
const VmRecord*
FindMember(const MembershipState& aMembership, VmId aVm);

} // namespace wasabispread
