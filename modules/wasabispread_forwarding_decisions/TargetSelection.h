/*
 * Selects the target of a request.
 */
#pragma once

#include "ForwarderState.h"

namespace wasabispread::forwarding {

/** How long a request of a route is expected to take at a target if it is sent
    now. Takes into account the latency measured so far, what this VM has in
    flight there, overdue replies that suggest a pause, failures, and a recent
    start. */
Duration
ExpectedTime(const ForwarderState& aState,
             const TargetState& aTarget,
             RouteId aRoute,
             TimePoint aNow);

/** By how much the target's most overdue reply, on any of its connections,
    exceeds the latency that is usual for it; zero when none does. */
Duration
OverdueBy(const ForwarderState& aState,
          const TargetState& aTarget,
          TimePoint aNow);

/** How long after a request was sent to the target it is late enough to hedge
    it at another target. */
Duration
HedgeDelay(const ForwarderState& aState,
           const TargetState& aTarget,
           RouteId aRoute);

/** The target of a service with the lowest expected time among those not in
    aExcluded and in the regions of aRequest; null when none can accept it.
    Targets assigned to this VM come first. */
TargetState*
ChooseTarget(ForwarderState& aState,
             const RequestState& aRequest,
             ServiceId aService,
             const std::vector<TargetKey>& aExcluded,
             TimePoint aNow);

/** Whether the target has a connection, or may get one now. */
bool
IsConnectable(const ForwarderState& aState,
              const TargetState& aTarget,
              TimePoint aNow);

/** Whether the target is connectable, is not in a pause, and its limit and its
    pace let this VM send a request now. */
bool
CanAcceptRequest(const ForwarderState& aState,
                 const TargetState& aTarget,
                 TimePoint aNow);

} // namespace wasabispread::forwarding
