/*
 * Handles the steps of a request: arrival, attempts, replies, review and
 * answer.
 */
#pragma once

#include "ForwarderState.h"

namespace wasabispread::forwarding {

void
HandleRequestArrived(ForwarderState& aState,
                     const RequestArrived& aEvent,
                     TimePoint aNow,
                     ForwarderEffects& aEffects);

/** Continues a request that waited for quota and got it. */
void
AdmitWithQuota(ForwarderState& aState,
               const WaitingRequest& aRequest,
               QuotaSource aSource,
               TimePoint aNow,
               ForwarderEffects& aEffects);

/** Refuses a request that gets no quota. */
void
RefuseForQuota(ForwarderState& aState,
               const ForwardedRequest& aRequest,
               const RequestOwner& aOwner,
               const QuotaDecision& aDecision,
               ForwarderEffects& aEffects);

/** The limit of an organisation in the present configuration; none when it has
    none. */
OrganisationLimit
LimitOf(const ForwarderState& aState, OrganisationId aOrganisation);

void
HandleCallerDisconnected(ForwarderState& aState,
                         const ForwarderCallerDisconnected& aEvent,
                         TimePoint aNow,
                         ForwarderEffects& aEffects);

/** Sends a pending sub-request to the best target, or lets it wait for a
    connection; false when no target can accept it in time. */
bool
DispatchSubRequest(ForwarderState& aState,
                   RequestState& aRequest,
                   std::uint32_t aSubRequest,
                   TimePoint aNow,
                   ForwarderEffects& aEffects);

/** Performs the steps that are due: hedges, moving waiting sub-requests to
    other targets, and the answer. */
void
ReviewRequest(ForwarderState& aState,
              RequestKey aRequest,
              TimePoint aNow,
              ForwarderEffects& aEffects);

/** Sends waiting sub-requests on the target's idle connections. */
void
SendWaitingSubRequests(ForwarderState& aState,
                       TargetKey aTarget,
                       TimePoint aNow,
                       ForwarderEffects& aEffects);

/** Moves each sub-request that waits for the target to another target. */
void
MoveWaitingSubRequests(ForwarderState& aState,
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

/** Closes a connection whose reply no sub-request waits for any more, when the
    reply is late. */
void
HandleAbandoned(ForwarderState& aState,
                ConnectionId aConnection,
                TimePoint aNow,
                ForwarderEffects& aEffects);

/** Answers the caller and removes the request if an answer is due. For a
    sub-search, reports results instead. */
void
AnswerIfDue(ForwarderState& aState,
            RequestState& aRequest,
            TimePoint aNow,
            ForwarderEffects& aEffects);

} // namespace wasabispread::forwarding
