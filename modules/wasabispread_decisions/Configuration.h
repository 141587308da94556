/*
 * Adopting configurations: only ever a higher revision.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** Whether this VM is one of the few of its zone that watch the store. */
bool
IsWatcher(VmState& aState);

/** Begins to watch the store when this VM should and does not. */
void
ReviewWatching(VmState& aState, TimePoint aNow, Effects& aEffects);

/** Asks the store for anything newer than what was seen, unless this VM need
    not, or the budget of calls puts it off. */
void
RequestConfiguration(VmState& aState, TimePoint aNow, Effects& aEffects);

/** Stages what a watch brought, or waits and asks again. */
void
HandleStoreWatched(VmState& aState,
                   const StoreWatched& aEvent,
                   TimePoint aNow,
                   Effects& aEffects);

/** Parses some of the staged configuration; puts it in force after the last
    part, or rejects it, and logs either way. */
void
ContinueParsing(VmState& aState, TimePoint aNow, Effects& aEffects);

/** How long to wait after aFailures failed calls in a row: doubling from
    1 s to 10 s, with half of it random. */
Duration
RetryDelay(std::uint32_t aFailures, Random& aRandom);

} // namespace wasabispread
