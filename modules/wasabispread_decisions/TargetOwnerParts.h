/*
 * What the owner's source files share; used by them alone.
 */
#pragma once

#include "Effect.h"
#include "VmState.h"

#include <optional>

namespace wasabispread {

/** How long a connection whose reply is owed is kept after its attempt. */
inline constexpr Duration kLateReplyWait = std::chrono::seconds(1);

/** The pool of a target in force, with this VM's present share; nullptr when
    no such target is declared. */
TargetPool*
FindPool(VmState& aState, TargetId aTarget, TimePoint aNow);

/** Sends queued attempts on idle connections and opens more where wanted. */
void
ServePool(VmState& aState, TargetId aTarget, TimePoint aNow, Effects& aEffects);

/** Closes a connection and forgets it. */
void
CloseConnection(VmState& aState, ConnectionId aConnection, Effects& aEffects);

/** Lets a connection take the next request, or closes it when this VM has too
    many. */
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

/** Gives a sent attempt's connection a little longer for the late reply. */
void
AwaitLateReply(VmState& aState, const HeldItem& aItem, TimePoint aNow);

/** Tells a target that a sent attempt is no longer wanted, if a connection is
    idle and nothing else waits for it. */
void
CancelAtTarget(VmState& aState,
               const AttemptId& aAttempt,
               TargetId aTarget,
               TimePoint aNow,
               Effects& aEffects);

/** Ends an attempt; the last of a batch sends the replies off. */
void
EndItem(VmState& aState,
        const AttemptId& aAttempt,
        ItemReply aReply,
        TimePoint aNow,
        Effects& aEffects);

/** Ends an attempt that did not run. */
void
RefuseItem(VmState& aState,
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

/** Gives a leaving target no new work for a while. */
void
HoldBack(VmState& aState, TargetId aTarget, TimePoint aNow, Effects& aEffects);

/** Takes in what a reply says of its target's health. */
void
ObserveHealth(VmState& aState,
              TargetId aTarget,
              const TargetReply& aReply,
              TimePoint aNow,
              Effects& aEffects);

} // namespace wasabispread
