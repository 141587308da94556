/*
 * Steps shared by the files that handle requests. Private to this module.
 */
#pragma once

#include "wasabispread_forwarding_decisions.h"

namespace wasabispread::forwarding {

/** Sends a leg on one of the target's idle connections, of which there must
    be one. */
void
SendLeg(ForwarderState& aState,
        RequestState& aRequest,
        std::uint32_t aLeg,
        TargetState& aTarget,
        TimePoint aNow,
        ForwarderEffects& aEffects);

/** Closes the connections of all sendings, so that the targets stop. */
void
CloseSendings(ForwarderState& aState,
              const RequestState& aRequest,
              TimePoint aNow,
              ForwarderEffects& aEffects);

/** Ends a pending leg without a result. */
void
FailLeg(RequestState& aRequest, std::uint32_t aLeg);

/** Sets the timer for the request's next step. */
void
ArmReview(ForwarderState& aState, RequestState& aRequest, TimePoint aNow);

/** After a connection is gone: opens another, or lets legs that waited for it
    wait elsewhere; forgets a retired target. */
void
AfterConnectionGone(ForwarderState& aState,
                    TargetKey aTarget,
                    TimePoint aNow,
                    ForwarderEffects& aEffects);

/** Takes the waiting leg that goes first: by the route's priority, then by
    arrival. None when no leg waits any more. */
std::optional<LegRef>
TakeNextWaiting(ForwarderState& aState, TargetState& aTarget);

/** Gives up every sending without a result; replies that still come are read
    and dropped. */
void
AbandonSendings(ForwarderState& aState, RequestState& aRequest, TimePoint aNow);

/** Logs a step of one leg, with the target that gave rise to it. */
void
LogLeg(const ForwarderState& aState,
       const RequestState& aRequest,
       const Leg& aLeg,
       const char* aEvent,
       TargetKey aTarget,
       TimePoint aNow,
       ForwarderEffects& aEffects);

} // namespace wasabispread::forwarding
