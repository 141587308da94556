/*
 * Which owners an entry passes over because of what it saw of them.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** Passes over an owner. One that is lost or silent is probed now and then by
    an empty batch, and used again once it is heard; any other is used again
    after a while. */
void
AvoidOwner(VmState& aState,
           VmId aVm,
           AvoidanceReason aReason,
           TimePoint aNow,
           Effects& aEffects);

/** Takes in that a message came from a VM. */
void
ObservePeerMessage(VmState& aState, VmId aVm);

/** Takes in what an owner's refusals say of the owner itself. */
void
ObserveOwnerReply(VmState& aState,
                  VmId aVm,
                  const BatchReply& aReply,
                  TimePoint aNow,
                  Effects& aEffects);

/** Probes an owner that is passed over, or uses it again. */
void
HandleProbeOwner(VmState& aState, VmId aVm, TimePoint aNow, Effects& aEffects);

/** Notes that an owner now has to answer, and sets a timer for it. */
void
ExpectOwnerReply(VmState& aState, VmId aVm, TimePoint aNow);

/** Passes over an owner that did not answer in time. */
void
HandleOwnerReplyTimeout(VmState& aState,
                        VmId aVm,
                        TimePoint aNow,
                        Effects& aEffects);

} // namespace wasabispread
