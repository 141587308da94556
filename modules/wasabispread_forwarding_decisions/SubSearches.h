/*
 * Searches whose shards are queried by shard owners on other VMs: handles both
 * the VM that received the search and the shard owner.
 */
#pragma once

#include "ForwarderState.h"

namespace wasabispread::forwarding {

/** Sends the sub-requests of a new search to the owners of their shards as
    sub-searches. Sub-requests of shards that this VM queries itself are not
    changed. */
void
SendSubSearches(ForwarderState& aState,
                RequestState& aRequest,
                TimePoint aNow,
                ForwarderEffects& aEffects);

/** Opens connections to the owners of shards, so that the first search does not
    wait for the handshakes: each owner is sent a sub-search without shards,
    which it answers at once. */
void
ConnectToOwners(ForwarderState& aState,
                TimePoint aNow,
                ForwarderEffects& aEffects);

/** Queries the shards of owners that have not acknowledged their sub-search in
    time. */
void
ReviewSentSubSearches(ForwarderState& aState,
                      RequestState& aRequest,
                      TimePoint aNow,
                      ForwarderEffects& aEffects);

/** When ReviewSentSubSearches() next has something to do; TimePoint::max() if
    never. */
TimePoint
NextSubSearchReview(const RequestState& aRequest);

/** Cancels all unfinished sub-searches of a request. */
void
CancelSentSubSearches(ForwarderState& aState,
                      const RequestState& aRequest,
                      bool aIsCallerDisconnected,
                      TimePoint aNow,
                      ForwarderEffects& aEffects);

void
HandleSubSearchReplied(ForwarderState& aState,
                       const SubSearchReplied& aEvent,
                       TimePoint aNow,
                       ForwarderEffects& aEffects);

void
HandleSubSearchArrived(ForwarderState& aState,
                       const SubSearchArrived& aEvent,
                       TimePoint aNow,
                       ForwarderEffects& aEffects);

void
HandleSubSearchConfirmed(ForwarderState& aState,
                         const SubSearchConfirmed& aEvent);

void
HandleSubSearchCancelled(ForwarderState& aState,
                         const SubSearchCancelled& aEvent,
                         TimePoint aNow,
                         ForwarderEffects& aEffects);

/** Handles a broken connection to a VM: the shards of sub-searches sent to it
    are queried here, and sub-searches received from it end. */
void
HandleVmLost(ForwarderState& aState,
             const VmLost& aEvent,
             TimePoint aNow,
             ForwarderEffects& aEffects);

/** Reports new results of a received sub-search to the VM that sent it, once a
    report is due. Removes the sub-search when it is finished. */
void
ReportIfDue(ForwarderState& aState,
            RequestState& aRequest,
            TimePoint aNow,
            ForwarderEffects& aEffects);

} // namespace wasabispread::forwarding
