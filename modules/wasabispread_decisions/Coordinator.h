/*
 * The coordinator: takes callers' requests, sends attempts for their shards,
 * gathers the results and answers.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** Plans a request and sends its attempts, or refuses it. */
void
HandleCallerRequest(VmState& aState,
                    const CallerRequest& aRequest,
                    TimePoint aNow,
                    Effects& aEffects);

/** Answers a request with an error before anything of it was sent. */
void
RefuseRequest(VmState& aState,
              const CallerRequest& aRequest,
              Error aError,
              Effects& aEffects);

/** Plans an admitted request and sends its attempts. */
void
StartQuery(VmState& aState,
           const CallerRequest& aRequest,
           const Service& aService,
           TimePoint aNow,
           Effects& aEffects);

/** Cancels and removes a request whose caller disconnected. */
void
HandleCallerDisconnected(VmState& aState,
                         const CallerDisconnected& aEvent,
                         TimePoint aNow,
                         Effects& aEffects);

/** Handles the results of attempts that a target owner reports. */
void
HandleBatchReply(VmState& aState,
                 VmId aOwner,
                 const BatchReply& aReply,
                 TimePoint aNow,
                 Effects& aEffects);

/** Ends the attempts in flight at a VM whose connection was lost; whether they
    ran is unknown. */
void
HandleOwnerLost(VmState& aState,
                VmId aOwner,
                TimePoint aNow,
                Effects& aEffects);

/** Ends attempts that never left this VM, with the outcome that they did not
    run. */
void
HandleAttemptsNotSent(VmState& aState,
                      const AttemptsNotSent& aEvent,
                      TimePoint aNow,
                      Effects& aEffects);

/** Answers a request at its deadline with the results received so far. */
void
HandleQueryDeadline(VmState& aState,
                    QueryId aQuery,
                    TimePoint aNow,
                    Effects& aEffects);

/** Hedges a request's slow attempts, and settles the search on one snapshot. */
void
HandleHedgeDue(VmState& aState,
               QueryId aQuery,
               TimePoint aNow,
               Effects& aEffects);

/** Answers a request early if it has the minimum coverage that its service
    declares. */
void
HandleEarlyAnswerDue(VmState& aState,
                     QueryId aQuery,
                     TimePoint aNow,
                     Effects& aEffects);

} // namespace wasabispread
