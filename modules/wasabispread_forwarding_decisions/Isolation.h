/*
 * Whether this VM is cut off from the targets that it needs.
 */
#pragma once

#include "ForwarderState.h"

namespace wasabispread::forwarding {

/** Whether the service has a target that could take a request now. */
bool
CanServe(const ForwarderState& aState, ServiceId aService, TimePoint aNow);

/** Whether enough of a search's shards, or a part of any other route, could
    take a request now. */
bool
CanServe(const ForwarderState& aState, const Route& aRoute, TimePoint aNow);

/** Notes that a target was sent to, or that it answered. */
void
NoteSent(ForwarderState& aState, const TargetState& aTarget, TimePoint aNow);
void
NoteHeard(ForwarderState& aState, const TargetState& aTarget, TimePoint aNow);

/** Whether this VM is cut off: targets in other availability zones were asked
    and none answers any more, and a search cannot be served from its own zone.
    The load it answers: a zone that is partitioned from the others while
    callers still reach it; a VM that says so lets the balancer send them to
    other zones. */
bool
IsCutOff(const ForwarderState& aState, TimePoint aNow);

} // namespace wasabispread::forwarding
