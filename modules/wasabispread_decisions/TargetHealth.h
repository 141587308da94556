/*
 * What an entry concludes from its own exchanges about targets and owners. A
 * target's own reports are not consulted.
 */
#pragma once

#include "Effect.h"
#include "EntryState.h"
#include "NodeState.h"

namespace wasabispread {

/** The observation of a service, made on first use. Targets out of use are
    counted again when the configuration changed. */
ServiceObservation&
ObservedService(NodeState& aState, const Service& aService);

/** Counts an attempt as in flight. */
void
ObserveSent(NodeState& aState,
            ServiceId aService,
            const AttemptPlace& aPlace,
            TimePoint aNow);

/** Takes in the reply that ended an attempt. */
void
ObserveReply(NodeState& aState,
             const AttemptPlace& aPlace,
             const ItemReply& aReply,
             TimePoint aNow,
             Effects& aEffects);

/** Takes in that an attempt was given up; its latency is at least the time it
    took so far. aIsTimeout: its target had all the time there was. */
void
ObserveAbandoned(NodeState& aState,
                 const AttemptPlace& aPlace,
                 bool aIsTimeout,
                 TimePoint aNow,
                 Effects& aEffects);

/** Takes in that the connection to an owner broke. */
void
ObserveOwnerLost(NodeState& aState, VmId aOwner, TimePoint aNow);

/** Whether an owner broke off, or has been silent too long with attempts in
    flight. */
bool
IsOwnerSuspected(const EntryState& aEntry, VmId aOwner, TimePoint aNow);

} // namespace wasabispread
