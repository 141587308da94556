/*
 * Checks requests before anything is sent, and states when refused ones may be
 * retried.
 */
#pragma once

#include "ForwarderState.h"

namespace wasabispread::forwarding {

/** The refusal of a request that is malformed, that no route matches or that
    this forwarder cannot serve now; none when the request can proceed. */
std::optional<Problem>
CheckRequest(const ForwarderState& aState,
             const ForwardedRequest& aRequest,
             TimePoint aNow);

/** Whether the request's key lets it run, and whose it is. */
KeyDecision
DecideKey(const ForwarderState& aState,
          const ForwardedRequest& aRequest,
          const Route& aRoute,
          TimePoint aNow);

/** Whether this VM refuses requests with a key because it may not know of keys
    that were withdrawn. */
bool
RefusesKeys(const ForwarderState& aState, TimePoint aNow);

/** Retry delay for a caller that should connect to another VM, which can serve
    it at once; the load balancer assigns the new connection. */
inline constexpr Duration kOtherVmRetry = std::chrono::milliseconds(20);

/** A refusal because no target or connection is available. No part of the
    request has run. */
Problem
NotRunProblem(std::string aMessage, Duration aRetryAfter);

} // namespace wasabispread::forwarding
