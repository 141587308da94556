/*
 * The one function that changes a forwarder's state.
 */
#pragma once

#include "ForwarderState.h"

namespace wasabispread::forwarding {

/** A state for a forwarder that has not started. */
ForwarderState
MakeForwarderState(ForwarderPolicy aPolicy, std::uint64_t aSeed);

/** Applies an event. */
ForwarderEffects
Reduce(ForwarderState& aState, ForwarderEvent aEvent, TimePoint aNow);

} // namespace wasabispread::forwarding
