/*
 * Requests that are refused before anything was sent, and when they should
 * come back.
 */
#pragma once

#include "ForwarderState.h"

namespace wasabispread::forwarding {

/** The refusal of a request that is wrong or leads nowhere, or that this
    forwarder cannot serve now; none for one that can go on. */
std::optional<Problem>
CheckRequest(const ForwarderState& aState,
             const ForwardedRequest& aRequest,
             TimePoint aNow);

/** A refusal for want of targets or room. Nothing of the request has run. */
Problem
NotRunProblem(std::string aMessage, Duration aRetryAfter);

} // namespace wasabispread::forwarding
