/*
 * A node's part as target owner: runs entries' attempts on its connections.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** Takes in attempts from an entry: each is queued, or refused as not run. */
void
HandleBatchRequest(VmState& aState,
                   VmId aEntry,
                   const Endpoint& aEntryAddress,
                   const BatchRequest& aRequest,
                   TimePoint aNow,
                   Effects& aEffects);

/** Ends attempts that the entry no longer wants. Of what was sent already the
    target is told, and its reply is dropped. */
void
HandleBatchCancel(VmState& aState,
                  VmId aEntry,
                  const BatchCancel& aCancel,
                  TimePoint aNow,
                  Effects& aEffects);

/** Ends the attempts of a batch whose time is up. */
void
HandleBatchDeadline(VmState& aState,
                    BatchId aBatch,
                    TimePoint aNow,
                    Effects& aEffects);

/** Puts a new connection to use. */
void
HandleTargetConnected(VmState& aState,
                      const TargetConnected& aEvent,
                      TimePoint aNow,
                      Effects& aEffects);

/** Waits before the next try; refuses what waited for a connection. */
void
HandleTargetConnectFailed(VmState& aState,
                          const TargetConnectFailed& aEvent,
                          TimePoint aNow,
                          Effects& aEffects);

/** Ends the attempt that was on a connection which broke. */
void
HandleTargetConnectionLost(VmState& aState,
                           const TargetConnectionLost& aEvent,
                           TimePoint aNow,
                           Effects& aEffects);

/** Ends the attempt that a reply answers and uses the connection again. */
void
HandleTargetReplied(VmState& aState,
                    const TargetReplied& aEvent,
                    TimePoint aNow,
                    Effects& aEffects);

/** Closes connections that were idle for long; drops a pool without any. */
void
HandleIdleConnections(VmState& aState,
                      TargetId aTarget,
                      TimePoint aNow,
                      Effects& aEffects);

/** Closes a connection whose late reply did not come in time. */
void
HandleLateReplyDeadline(VmState& aState,
                        ConnectionId aConnection,
                        TimePoint aNow,
                        Effects& aEffects);

/** Opens connections again after a wait. */
void
HandleReconnect(VmState& aState,
                TargetId aTarget,
                TimePoint aNow,
                Effects& aEffects);

/** Sends an entry the replies that wait for it. */
void
FlushReplies(VmState& aState, VmId aEntry, Effects& aEffects);

/** Brings every pool in line with this VM's present shares and the targets in
    force: idle connections past the share are closed at once, busy ones as
    soon as they are idle. */
void
ApplyShares(VmState& aState, TimePoint aNow, Effects& aEffects);

/** Closes every idle connection; for use when the node stops. */
void
ReleaseIdleConnections(VmState& aState, Effects& aEffects);

/** Brings connection pools in line with a newly adopted configuration. */
void
ReconcilePools(VmState& aState, TimePoint aNow, Effects& aEffects);

} // namespace wasabispread
