/*
 * Adopting configurations: only ever a higher revision.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "NodeState.h"

namespace wasabispread {

/** Asks the store for anything newer than what was seen. */
void
StartConfiguration(NodeState& aState, Effects& aEffects);

/** Adopts what a watch brought, or waits and asks again. */
void
HandleStoreWatched(NodeState& aState,
                   const StoreWatched& aEvent,
                   TimePoint aNow,
                   Effects& aEffects);

/** Adopts a configuration when its revision is higher than the one in force
    and its text is valid; logs either way. */
void
AdoptConfiguration(NodeState& aState,
                   const ConfigurationRecord& aRecord,
                   TimePoint aNow,
                   Effects& aEffects);

/** How long to wait after aFailures failed calls in a row: doubling from
    200 ms to 10 s, with half of it random. */
Duration
RetryDelay(std::uint32_t aFailures, Random& aRandom);

} // namespace wasabispread
