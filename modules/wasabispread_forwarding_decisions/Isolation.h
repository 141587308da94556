/*
 * Detects whether this VM is isolated from the targets that it needs.
 */
#pragma once

#include "ForwarderState.h"

namespace wasabispread::forwarding {

/** Whether the service has a target that could accept a request now. */
bool
CanServe(const ForwarderState& aState, ServiceId aService, TimePoint aNow);

/** Whether enough of a search's shards, or at least one service of any other
    route, could accept a request now. For a search, only the shards that this
    VM queries itself count. */
bool
CanServe(const ForwarderState& aState, const Route& aRoute, TimePoint aNow);

/** Records that a request was sent to a target, or that the target replied or
    accepted a connection. Only targets of other zones matter. */
void
RecordSent(ForwarderState& aState, const TargetState& aTarget, TimePoint aNow);
void
RecordReceived(ForwarderState& aState,
               const TargetState& aTarget,
               TimePoint aNow);

/** Whether this VM is isolated: requests were sent to targets in other
    availability zones, none of them answers any more, and a search cannot be
    served from its own zone. This handles a zone that is partitioned from the
    others while callers still reach it: once the VM reports itself as not
    ready, the load balancer sends callers to other zones. */
bool
IsIsolated(const ForwarderState& aState, TimePoint aNow);

} // namespace wasabispread::forwarding
