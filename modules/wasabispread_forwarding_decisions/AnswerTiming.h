/*
 * Deadlines of a request, and when its answer is sent: in full, in part, or as
 * an error because too little can still arrive.
 */
#pragma once

#include "ForwarderState.h"

namespace wasabispread::forwarding {

/** When the answer must be due so that it arrives within the caller's timeout
    and the route's. aReserve is the time from then until it is written; at most
    a quarter of the caller's timeout is kept for it. */
TimePoint
DeadlineOf(const ForwardedRequest& aRequest,
           const Route& aRoute,
           Duration aCallerRoundTrip,
           Duration aReserve,
           TimePoint aNow);

/** As above, with what this VM measured, and without regard to a stop. */
TimePoint
DeadlineOf(const ForwarderState& aState,
           const ForwardedRequest& aRequest,
           const Route& aRoute,
           TimePoint aNow);

/** When an answer must be due to arrive within the route's soft timeout,
    counted from the caller's first attempt. For a caller whose soft timeout is
    already over, the time by which most shards usually have answered.
    TimePoint::max() when the route has no soft timeout. */
TimePoint
SoftDeadlineOf(const ForwardedRequest& aRequest,
               const Route& aRoute,
               const RouteState& aRouteState,
               Duration aCallerRoundTrip,
               Duration aReserve,
               TimePoint aNow);

/** Whether enough shards have answered for a successful answer. */
bool
HasMinCoverage(const RequestState& aRequest);

/** Counts a sub-request that was answered. */
void
CountAnswered(RequestState& aRequest, TimePoint aNow);

/** Whether the shards that have answered or are still pending can reach the
    route's minimum coverage. */
bool
CanReachMinCoverage(const RequestState& aRequest);

/** Whether the request should be answered now. A search waits for all shards
    until its soft deadline; from then on the minimum coverage is enough. */
bool
IsAnswerDue(const RequestState& aRequest, TimePoint aNow);

} // namespace wasabispread::forwarding
