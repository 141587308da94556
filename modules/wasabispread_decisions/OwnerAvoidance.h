/*
 * The target owners that a coordinator avoids because they failed or refused
 * its attempts.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** Avoids a target owner. One whose connection broke or that did not reply is
    probed with empty batches and used again after any message from it; any
    other is used again after a fixed time. */
void
AvoidOwner(VmState& aState,
           VmId aVm,
           AvoidanceReason aReason,
           TimePoint aNow,
           Effects& aEffects);

/** Records that a message arrived from a VM: no reply is awaited any more, and
    an avoidance for lack of messages ends. */
void
ObservePeerMessage(VmState& aState, VmId aVm);

/** Avoids a target owner if its refusals say that it is stopping or that it may
    hold no connections. */
void
ObserveOwnerReply(VmState& aState,
                  VmId aVm,
                  const BatchReply& aReply,
                  TimePoint aNow,
                  Effects& aEffects);

/** Probes an avoided target owner, or ends the avoidance. */
void
HandleProbeOwner(VmState& aState, VmId aVm, TimePoint aNow, Effects& aEffects);

/** Records that a reply is now awaited from a target owner, and arms a timer
    for it. */
void
ExpectOwnerReply(VmState& aState, VmId aVm, TimePoint aNow);

/** Avoids a target owner that did not reply in time. */
void
HandleOwnerReplyTimeout(VmState& aState,
                        VmId aVm,
                        TimePoint aNow,
                        Effects& aEffects);

} // namespace wasabispread
