/*
 * When to answer: in full, in part, or not any more.
 */
#pragma once

#include "ForwarderState.h"

namespace wasabispread::forwarding {

/** When the answer must leave so that it arrives within the caller's patience
    and the route's timeout. */
TimePoint
DeadlineOf(const ForwardedRequest& aRequest,
           const Route& aRoute,
           Duration aCallerRoundTrip,
           TimePoint aNow);

/** When an answer must leave to arrive within the route's aim, counted from
    the caller's first attempt. For a caller whose aim is over already: when
    most answers are in. */
TimePoint
AimOf(const ForwardedRequest& aRequest,
      const Route& aRoute,
      const RouteKnowledge& aKnowledge,
      Duration aCallerRoundTrip,
      TimePoint aNow);

/** Whether enough shards have answered for a success. */
bool
HasLeastCoverage(const RequestState& aRequest);

/** Whether the least coverage can still be reached. */
bool
CanReachCoverage(const RequestState& aRequest);

/** Whether the request should be answered now. A search waits for all shards
    until its aim; from then on the least coverage is enough. */
bool
IsAnswerDue(const RequestState& aRequest, TimePoint aNow);

} // namespace wasabispread::forwarding
