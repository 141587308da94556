/*
 * A node's part as entry: takes requests, scatters, gathers and answers.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "NodeState.h"

namespace wasabispread {

/** Plans a request and sends it out, or refuses it. */
void
HandleCallerRequest(NodeState& aState,
                    const CallerRequest& aRequest,
                    TimePoint aNow,
                    Effects& aEffects);

/** Refuses a request of which nothing was sent. */
void
RefuseRequest(NodeState& aState,
              const CallerRequest& aRequest,
              Error aError,
              Effects& aEffects);

/** Plans an admitted request and sends it out. */
void
StartQuery(NodeState& aState,
           const CallerRequest& aRequest,
           const Service& aService,
           TimePoint aNow,
           Effects& aEffects);

/** Drops a request whose caller has gone. */
void
HandleCallerDisconnected(NodeState& aState,
                         const CallerDisconnected& aEvent,
                         TimePoint aNow,
                         Effects& aEffects);

/** Takes in ended attempts. */
void
HandleBatchReply(NodeState& aState,
                 VmId aOwner,
                 const BatchReply& aReply,
                 TimePoint aNow,
                 Effects& aEffects);

/** Ends the attempts that were at a VM which was lost. */
void
HandleOwnerLost(NodeState& aState,
                VmId aOwner,
                TimePoint aNow,
                Effects& aEffects);

/** Ends attempts that never left this VM as not run. */
void
HandleAttemptsNotSent(NodeState& aState,
                      const AttemptsNotSent& aEvent,
                      TimePoint aNow,
                      Effects& aEffects);

/** Answers a request with what is there. */
void
HandleQueryDeadline(NodeState& aState,
                    QueryId aQuery,
                    TimePoint aNow,
                    Effects& aEffects);

/** Hedges a request's slow attempts, and settles its snapshot. */
void
HandleHedgeDue(NodeState& aState,
               QueryId aQuery,
               TimePoint aNow,
               Effects& aEffects);

/** Answers a request early if it has the least coverage declared. */
void
HandleEarlyAnswerDue(NodeState& aState,
                     QueryId aQuery,
                     TimePoint aNow,
                     Effects& aEffects);

} // namespace wasabispread
