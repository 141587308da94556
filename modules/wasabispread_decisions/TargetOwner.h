/*
 * The target owner: runs the attempts of coordinators on its connections to
 * targets.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** Queues each attempt of a coordinator's batch, or refuses it as not run. A
    batch without attempts is a probe and is answered at once. */
void
HandleBatchRequest(VmState& aState,
                   VmId aCoordinator,
                   const Endpoint& aCoordinatorAddress,
                   const BatchRequest& aRequest,
                   TimePoint aNow,
                   Effects& aEffects);

/** Ends attempts that the coordinator no longer wants. For an attempt already
    sent, a cancellation is sent to the target and the late reply is dropped. */
void
HandleBatchCancel(VmState& aState,
                  VmId aCoordinator,
                  const BatchCancel& aCancel,
                  TimePoint aNow,
                  Effects& aEffects);

/** Ends the attempts of a batch at its deadline. */
void
HandleBatchDeadline(VmState& aState,
                    BatchId aBatch,
                    TimePoint aNow,
                    Effects& aEffects);

/** Sends queued attempts on a new connection. */
void
HandleTargetConnected(VmState& aState,
                      const TargetConnected& aEvent,
                      TimePoint aNow,
                      Effects& aEffects);

/** Arms a timer for the next try. Refuses the attempts that wait for the target
    if no connection to it is open. */
void
HandleTargetConnectFailed(VmState& aState,
                          const TargetConnectFailed& aEvent,
                          TimePoint aNow,
                          Effects& aEffects);

/** Ends the attempt that was in flight on a broken connection. */
void
HandleTargetConnectionLost(VmState& aState,
                           const TargetConnectionLost& aEvent,
                           TimePoint aNow,
                           Effects& aEffects);

/** Ends the attempt that a reply answers, and keeps the connection for further
    requests if it is reusable. */
void
HandleTargetReplied(VmState& aState,
                    const TargetReplied& aEvent,
                    TimePoint aNow,
                    Effects& aEffects);

/** Closes connections to a target that have been idle for too long, and removes
    its pool once it has no connections and no waiting attempts. */
void
HandleIdleConnections(VmState& aState,
                      TargetId aTarget,
                      TimePoint aNow,
                      Effects& aEffects);

/** Closes a connection on which a late reply did not arrive in time. */
void
HandleLateReplyDeadline(VmState& aState,
                        ConnectionId aConnection,
                        TimePoint aNow,
                        Effects& aEffects);

/** Opens connections again after the wait that follows a failed connect. */
void
HandleReconnect(VmState& aState,
                TargetId aTarget,
                TimePoint aNow,
                Effects& aEffects);

/** Sends a coordinator the replies collected for it. */
void
FlushReplies(VmState& aState, VmId aCoordinator, Effects& aEffects);

/** Updates every pool to this VM's current shares and to the targets in force.
    Idle connections beyond the share are closed at once, busy ones as soon as
    they are idle. */
void
ApplyShares(VmState& aState, TimePoint aNow, Effects& aEffects);

/** Closes every idle connection, when this VM stops. */
void
ReleaseIdleConnections(VmState& aState, Effects& aEffects);

/** Updates rankings and connection pools after a new configuration was put in
    force. */
void
ReconcilePools(VmState& aState, TimePoint aNow, Effects& aEffects);

} // namespace wasabispread
