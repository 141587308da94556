/*
 * The targets in use, from their registrations in the store.
 */
#pragma once

#include "ForwarderEffect.h"

namespace wasabispread::forwarding {

struct ForwarderState;

/** Applies a registration: a new target, a new start of a known one, or a
    change of its state. One that is not the newest changes nothing, unless
    the store still has it when the entry of a silent target would be gone. */
void
ApplyTarget(ForwarderState& aState,
            const TargetChange& aChange,
            TimePoint aNow,
            ForwarderEffects& aEffects);

/** Applies the overtaken entries that the store has had for so long that their
    targets must have written them. Called whenever the kConfirmEntries timer
    fires. */
void
ConfirmEntries(ForwarderState& aState,
               TimePoint aNow,
               ForwarderEffects& aEffects);

/** Handles the removal of a target's entry. While the store is unavailable and
    shortly after it is available again, entries of running targets also vanish
    and are written again; until that time is over, the target stays in use. */
void
RemoveTarget(ForwarderState& aState,
             const InstanceId& aInstance,
             TimePoint aNow,
             ForwarderEffects& aEffects);

/** Removes each target that the complete list of entries does not contain. */
void
RemoveTargetsMissingFrom(ForwarderState& aState,
                         const std::vector<StoreChange>& aEntries,
                         TimePoint aNow,
                         ForwarderEffects& aEffects);

/** Retires a target whose entry did not come back in time. */
void
HandleEntryMissingTimeout(ForwarderState& aState,
                          TargetKey aTarget,
                          TimePoint aNow,
                          ForwarderEffects& aEffects);

} // namespace wasabispread::forwarding
