/*
 * Functions shared by the source files of the target owner and used only there.
 */
#pragma once

#include "Effect.h"
#include "VmState.h"

#include <optional>

namespace wasabispread {

/** How long a connection is kept for the late reply to an attempt that has
    ended. */
inline constexpr Duration kLateReplyWait = std::chrono::seconds(1);

/** The pool of a target, with this VM's current share. It is created on first
    use. Returns nullptr when the configuration in force has no such target. */
TargetPool*
FindPool(VmState& aState, TargetId aTarget, TimePoint aNow);

/** Sends queued attempts on idle connections, and opens more connections while
    attempts wait and the share allows it. */
void
ServePool(VmState& aState, TargetId aTarget, TimePoint aNow, Effects& aEffects);

/** Closes a connection and removes it from its pool. */
void
CloseConnection(VmState& aState, ConnectionId aConnection, Effects& aEffects);

/** Makes a connection idle. Closes it instead if the pool exceeds its share, or
    if this VM is stopping and no attempt waits for the target. */
void
ReturnConnection(VmState& aState,
                 ConnectionId aConnection,
                 TimePoint aNow,
                 Effects& aEffects);

/** Opens one more connection to a pool's target. */
void
OpenConnection(VmState& aState,
               TargetId aTarget,
               TargetPool& aPool,
               Effects& aEffects);

/** Keeps the connection of an attempt that was sent open for kLateReplyWait, so
    that a late reply can still arrive. */
void
AwaitLateReply(VmState& aState, const PendingAttempt& aItem, TimePoint aNow);

/** Sends a target the cancellation of an attempt, if a connection is idle and
    no attempt waits for the target. */
void
CancelAtTarget(VmState& aState,
               const AttemptId& aAttempt,
               TargetId aTarget,
               TimePoint aNow,
               Effects& aEffects);

/** Ends an attempt with a reply to its coordinator. The last attempt of a batch
    sends the collected replies. */
void
EndAttempt(VmState& aState,
           const AttemptId& aAttempt,
           ItemReply aReply,
           TimePoint aNow,
           Effects& aEffects);

/** Ends an attempt that did not run, with the reason. */
void
RefuseAttempt(VmState& aState,
              const AttemptId& aAttempt,
              MissingReason aReason,
              TimePoint aNow,
              Effects& aEffects);

/** Refuses every attempt that waits for a target. */
void
RefuseQueue(VmState& aState,
            TargetPool& aPool,
            MissingReason aReason,
            TimePoint aNow,
            Effects& aEffects);

/** Sends a target no attempts for a while, because it is leaving. */
void
SuspendTarget(VmState& aState,
              TargetId aTarget,
              TimePoint aNow,
              Effects& aEffects);

/** Suspends or resumes a target according to the health that its reply
    reports. */
void
ObserveHealth(VmState& aState,
              TargetId aTarget,
              const TargetReply& aReply,
              TimePoint aNow,
              Effects& aEffects);

} // namespace wasabispread
