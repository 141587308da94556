/*
 * Decides whether the limits that targets name leave enough for a request. This
 * handles demand above what limited targets take: a search that could not reach
 * its minimum coverage would use up what another one needs, and reach no
 * caller.
 */
#pragma once

#include "ForwarderState.h"

namespace wasabispread::forwarding {

/** How long until the limits let a request of the route be sent, if it cannot
    be sent now. For a search, until enough of the shards that this VM queries
    itself have a target; a less urgent search leaves what a more urgent one
    over the same shards needs. */
std::optional<Duration>
WaitForLimits(const ForwarderState& aState,
              const Route& aRoute,
              TimePoint aNow);

/** As above, for shards of which at least aMinShards are needed. */
std::optional<Duration>
WaitForLimits(const ForwarderState& aState,
              const std::vector<ServiceId>& aShards,
              std::size_t aMinShards,
              TimePoint aNow);

/** The number of a search's shards that may be missing from its answer. */
std::size_t
MaxMissingShards(const ForwarderState& aState, const Route& aRoute);

} // namespace wasabispread::forwarding
