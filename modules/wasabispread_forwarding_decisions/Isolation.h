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
    route, could accept a request now. For a search, shards whose owner is in
    this zone do not count: only the owner knows. Those whose owner is in
    another zone can be served unless the other zones are silent. */
bool
CanServe(const ForwarderState& aState, const Route& aRoute, TimePoint aNow);

/** Records that a request was sent to a zone, or that a target or VM there
    replied or accepted a connection. Only other zones than this VM's matter. */
void
RecordSent(ForwarderState& aState, const ZoneName& aZone, TimePoint aNow);
void
RecordReceived(ForwarderState& aState, const ZoneName& aZone);

/** Whether nothing from other zones has been received for longer than a pause
    takes, though something was sent there. */
bool
AreOtherZonesSilent(const ForwarderState& aState, TimePoint aNow);

/** Whether this VM is isolated: requests were sent to targets in other
    availability zones, none of them answers any more, and a search cannot be
    served from its own zone. This handles a zone that is partitioned from the
    others while callers still reach it: once the VM reports itself as not
    ready, the load balancer sends callers to other zones. */
bool
IsIsolated(const ForwarderState& aState, TimePoint aNow);

} // namespace wasabispread::forwarding
