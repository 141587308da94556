/*
 * Which target gets a request.
 */
#pragma once

#include "ForwarderState.h"

namespace wasabispread::forwarding {

/** How long a request of a route is expected to take at a target, from now on,
    with what is known: its pace, what this VM has in flight there, a silence
    that looks like a pause, failures and a recent start. */
Duration
ExpectedTime(const ForwarderState& aState,
             const TargetState& aTarget,
             RouteId aRoute,
             TimePoint aNow);

/** How long the target has owed a reply beyond what is usual for it; zero
    when it has not. Seen on any of its connections. */
Duration
OverdueBy(const ForwarderState& aState,
          const TargetState& aTarget,
          TimePoint aNow);

/** When a request just sent to the target is late enough to try another. */
Duration
HedgeDelay(const ForwarderState& aState,
           const TargetState& aTarget,
           RouteId aRoute);

/** The best target of a service among those not in aExcluded; null when there
    is none that could take a request. */
TargetState*
ChooseTarget(ForwarderState& aState,
             ServiceId aService,
             RouteId aRoute,
             const std::vector<TargetKey>& aExcluded,
             TimePoint aNow);

/** Whether the target has an idle connection, or may get another one. */
bool
CanTake(const ForwarderState& aState,
        const TargetState& aTarget,
        TimePoint aNow);

} // namespace wasabispread::forwarding
