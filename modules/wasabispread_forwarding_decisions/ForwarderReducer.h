/*
 * The only function that changes a forwarder's state.
 */
#pragma once

#include "ForwarderState.h"

namespace wasabispread::forwarding {

/** The state of a forwarder that has not started. aSeed seeds its random source
    and is the first sequence of its sub-searches. */
ForwarderState
MakeForwarderState(ForwarderPolicy aPolicy, std::uint64_t aSeed);

/** Applies an event and returns the effects to perform, in this order. */
ForwarderEffects
Reduce(ForwarderState& aState, ForwarderEvent aEvent, TimePoint aNow);

} // namespace wasabispread::forwarding
