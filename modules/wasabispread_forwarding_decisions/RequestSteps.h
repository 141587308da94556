/*
 * Functions shared by the files that handle requests. Private to this module.
 */
#pragma once

#include "wasabispread_forwarding_decisions.h"

namespace wasabispread::forwarding {

/** Sends a sub-request on one of the target's idle connections, of which there
    must be at least one. */
void
SendSubRequest(ForwarderState& aState,
               RequestState& aRequest,
               std::uint32_t aSubRequest,
               TargetState& aTarget,
               TimePoint aNow,
               ForwarderEffects& aEffects);

/** Closes the connections of all attempts in flight, so that the targets stop
    working on them. */
void
CloseAttemptConnections(ForwarderState& aState,
                        const RequestState& aRequest,
                        TimePoint aNow,
                        ForwarderEffects& aEffects);

/** Marks a pending sub-request as failed. */
void
FailSubRequest(RequestState& aRequest, std::uint32_t aSubRequest);

/** Decides about sub-requests for which no target takes a request now. For a
    search that needs more shards than the others, those whose targets' pause
    ends in time wait for it, as few as possible; the rest fail. */
void
AwaitPausesOrFail(const ForwarderState& aState,
                  RequestState& aRequest,
                  const std::vector<std::uint32_t>& aSubRequests,
                  std::size_t aMinShards,
                  TimePoint aNow);

/** Arms the timer for the request's next step. */
void
ArmReview(ForwarderState& aState, RequestState& aRequest, TimePoint aNow);

/** Called after a connection to a target is removed: opens another one if
    needed, moves sub-requests that waited for it to other targets when the
    target has none left, and removes a retired target without connections. */
void
HandleConnectionRemoved(ForwarderState& aState,
                        TargetKey aTarget,
                        TimePoint aNow,
                        ForwarderEffects& aEffects);

/** Removes and returns the next waiting sub-request: by rank, then by arrival.
 * None when none waits any more. */
std::optional<SubRequestRef>
TakeNextWaitingSubRequest(ForwarderState& aState, TargetState& aTarget);

/** Stops waiting for the replies of all attempts in flight. Replies that still
    arrive are read and ignored. */
void
AbandonAttempts(ForwarderState& aState, RequestState& aRequest, TimePoint aNow);

/** Logs a step of one sub-request, with the target that caused it. */
void
LogSubRequest(const ForwarderState& aState,
              const RequestState& aRequest,
              const SubRequest& aSubRequest,
              const char* aEvent,
              TargetKey aTarget,
              TimePoint aNow,
              ForwarderEffects& aEffects);

} // namespace wasabispread::forwarding
