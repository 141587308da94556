/*
 * The targets that may be used, from their registrations.
 */
#pragma once

#include "ForwarderEffect.h"

namespace wasabispread::forwarding {

struct ForwarderState;

/** Takes in a registration: a new target, a new start of a known one, or a
    change of its state. */
void
ApplyTarget(ForwarderState& aState,
            const TargetRecord& aRecord,
            TimePoint aNow,
            ForwarderEffects& aEffects);

/** Takes in that a target's entry is gone. While the store is away and
    shortly after its return, entries also vanish that come back: the target
    stays in use until that time is over. */
void
RemoveTarget(ForwarderState& aState,
             const InstanceId& aInstance,
             TimePoint aNow,
             ForwarderEffects& aEffects);

/** Removes each target that the whole list of entries does not name. */
void
RemoveTargetsMissingFrom(ForwarderState& aState,
                         const std::vector<StoreChange>& aEntries,
                         TimePoint aNow,
                         ForwarderEffects& aEffects);

/** Takes a target out of use whose entry did not come back in time. */
void
HandleLapseOver(ForwarderState& aState,
                TargetKey aTarget,
                TimePoint aNow,
                ForwarderEffects& aEffects);

} // namespace wasabispread::forwarding
