/*
 * What an entry concludes from its own exchanges about targets. A target's own
 * reports are not consulted.
 */
#pragma once

#include "CoordinatorState.h"
#include "Effect.h"
#include "VmState.h"

namespace wasabispread {

/** The observation of a service, made on first use. Targets out of use are
    counted again when the configuration changed. */
ServiceObservation&
ObservedService(VmState& aState, const Service& aService);

/** Counts an attempt as in flight. */
void
ObserveSent(VmState& aState,
            ServiceId aService,
            const InFlightAttempt& aPlace,
            TimePoint aNow);

/** Takes in the reply that ended an attempt. */
void
ObserveReply(VmState& aState,
             const InFlightAttempt& aPlace,
             const ItemReply& aReply,
             TimePoint aNow,
             Effects& aEffects);

/** Why an attempt failed. One that waited its whole time without being sent is
    a sign of load, not of a slow target. */
MissingReason
MissingReasonOf(const ItemReply& aReply);

/** Takes in that an attempt was given up; its latency is at least the time it
    took so far. That is no failure of the target: an owner that is there says
    in time when the target is not. */
void
ObserveAbandoned(VmState& aState,
                 const InFlightAttempt& aPlace,
                 TimePoint aNow);

} // namespace wasabispread
