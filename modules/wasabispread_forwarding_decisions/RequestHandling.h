/*
 * The steps of a request: arrival, sending, replies, review and answer.
 */
#pragma once

#include "ForwarderState.h"

namespace wasabispread::forwarding {

void
HandleRequestArrived(ForwarderState& aState,
                     const RequestArrived& aEvent,
                     TimePoint aNow,
                     ForwarderEffects& aEffects);

void
HandleCallerLeft(ForwarderState& aState,
                 const ForwarderCallerDisconnected& aEvent,
                 TimePoint aNow,
                 ForwarderEffects& aEffects);

/** Sends a pending leg to the best target, or lets it wait for a connection;
    false when no target could take it. */
bool
PlaceLeg(ForwarderState& aState,
         RequestState& aRequest,
         std::uint32_t aLeg,
         TimePoint aNow,
         ForwarderEffects& aEffects);

/** Takes the steps that are due: hedges, moves of waiting legs, the answer. */
void
ReviewRequest(ForwarderState& aState,
              RequestKey aRequest,
              TimePoint aNow,
              ForwarderEffects& aEffects);

/** Lets waiting legs use the target's idle connections. */
void
ServeWaiting(ForwarderState& aState,
             TargetKey aTarget,
             TimePoint aNow,
             ForwarderEffects& aEffects);

/** Finds another place for each leg that waits for the target. */
void
MoveWaiting(ForwarderState& aState,
            TargetKey aTarget,
            TimePoint aNow,
            ForwarderEffects& aEffects);

void
HandleReplyArrived(ForwarderState& aState,
                   ReplyArrived aEvent,
                   TimePoint aNow,
                   ForwarderEffects& aEffects);

void
HandleConnectionOpened(ForwarderState& aState,
                       const ConnectionOpened& aEvent,
                       TimePoint aNow,
                       ForwarderEffects& aEffects);

void
HandleConnectionRefused(ForwarderState& aState,
                        const ConnectionRefused& aEvent,
                        TimePoint aNow,
                        ForwarderEffects& aEffects);

void
HandleConnectionEnded(ForwarderState& aState,
                      const ConnectionEnded& aEvent,
                      TimePoint aNow,
                      ForwarderEffects& aEffects);

/** Closes a connection whose reply nobody waits for any more. */
void
HandleAbandoned(ForwarderState& aState,
                ConnectionId aConnection,
                TimePoint aNow,
                ForwarderEffects& aEffects);

/** Answers the caller if the request is decided, and forgets it. */
void
AnswerIfDue(ForwarderState& aState,
            RequestState& aRequest,
            TimePoint aNow,
            ForwarderEffects& aEffects);

} // namespace wasabispread::forwarding
