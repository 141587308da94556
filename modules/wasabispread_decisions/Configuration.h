/*
 * Reads the configuration from the platform's store, parses it and puts it in
 * force. The revision in force only ever rises.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** Whether this VM is one of the few VMs of its zone that watch the store. */
bool
IsStoreWatcher(VmState& aState);

/** Starts watching the store if this VM should watch it and does not yet. */
void
UpdateStoreWatch(VmState& aState, TimePoint aNow, Effects& aEffects);

/** Asks the store for a configuration newer than the last one read. Does
    nothing when this VM does not watch the store and no content is in dispute.
    Arms a timer instead when the budget of platform calls is used up. */
void
RequestConfiguration(VmState& aState, TimePoint aNow, Effects& aEffects);

/** Stages the configuration that a watch returned. After a failed call, waits
    and asks again. */
void
HandleStoreWatched(VmState& aState,
                   const StoreWatched& aEvent,
                   TimePoint aNow,
                   Effects& aEffects);

/** Parses the next sections of the staged configuration. After the last one,
    puts the configuration in force or rejects it, and logs which. */
void
ContinueParsing(VmState& aState, TimePoint aNow, Effects& aEffects);

/** How long to wait after aFailures failed calls in a row. The wait doubles
    from 1 s up to 10 s; half of it is random. */
Duration
RetryDelay(std::uint32_t aFailures, Random& aRandom);

} // namespace wasabispread
