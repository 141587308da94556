/*
 * The health of targets as a coordinator derives it from the results of its own
 * attempts. It does not use the health that targets report.
 */
#pragma once

#include "CoordinatorState.h"
#include "Effect.h"
#include "VmState.h"

namespace wasabispread {

/** The observation of a service, which is created on first use. Counts the
    targets out of use again after a change of the configuration. */
ServiceObservation&
ObservedService(VmState& aState, const Service& aService);

/** Records that an attempt was sent to a target. */
void
ObserveSent(VmState& aState,
            ServiceId aService,
            const InFlightAttempt& aAttempt,
            TimePoint aNow);

/** Updates a target's observation by the reply that ended an attempt. */
void
ObserveReply(VmState& aState,
             const InFlightAttempt& aAttempt,
             const ItemReply& aReply,
             TimePoint aNow,
             Effects& aEffects);

/** Why an attempt failed. An attempt that timed out before it was sent counts
    as overload, not as a timeout of the target. */
MissingReason
MissingReasonOf(const ItemReply& aReply);

/** Records that an attempt was abandoned; its latency is at least the time so
    far. This is not a failure of the target: a target owner that works reports
    in time when the target does not answer. */
void
ObserveAbandoned(VmState& aState,
                 const InFlightAttempt& aAttempt,
                 TimePoint aNow);

} // namespace wasabispread
