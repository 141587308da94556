/*
 * A node's part as entry: takes requests, scatters, gathers and answers.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** Plans a request and sends it out, or refuses it. */
void
HandleCallerRequest(VmState& aState,
                    const CallerRequest& aRequest,
                    TimePoint aNow,
                    Effects& aEffects);

/** Refuses a request of which nothing was sent. */
void
RefuseRequest(VmState& aState,
              const CallerRequest& aRequest,
              Error aError,
              Effects& aEffects);

/** Plans an admitted request and sends it out. */
void
StartQuery(VmState& aState,
           const CallerRequest& aRequest,
           const Service& aService,
           TimePoint aNow,
           Effects& aEffects);

/** Drops a request whose caller has gone. */
void
HandleCallerDisconnected(VmState& aState,
                         const CallerDisconnected& aEvent,
                         TimePoint aNow,
                         Effects& aEffects);

/** Takes in ended attempts. */
void
HandleBatchReply(VmState& aState,
                 VmId aOwner,
                 const BatchReply& aReply,
                 TimePoint aNow,
                 Effects& aEffects);

/** Ends the attempts that were at a VM which was lost. */
void
HandleOwnerLost(VmState& aState,
                VmId aOwner,
                TimePoint aNow,
                Effects& aEffects);

/** Ends attempts that never left this VM as not run. */
void
HandleAttemptsNotSent(VmState& aState,
                      const AttemptsNotSent& aEvent,
                      TimePoint aNow,
                      Effects& aEffects);

/** Answers a request with what is there. */
void
HandleQueryDeadline(VmState& aState,
                    QueryId aQuery,
                    TimePoint aNow,
                    Effects& aEffects);

/** Hedges a request's slow attempts, and settles its snapshot. */
void
HandleHedgeDue(VmState& aState,
               QueryId aQuery,
               TimePoint aNow,
               Effects& aEffects);

/** Answers a request early if it has the least coverage declared. */
void
HandleEarlyAnswerDue(VmState& aState,
                     QueryId aQuery,
                     TimePoint aNow,
                     Effects& aEffects);

} // namespace wasabispread
