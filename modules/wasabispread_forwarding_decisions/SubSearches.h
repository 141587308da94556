/*
 * Searches whose shards other VMs of the zone query: what the VM that took the
 * search does, and what an owner of shards does.
 */
#pragma once

#include "ForwarderState.h"

namespace wasabispread::forwarding {

/** Hands the legs of a new search to the owners of their shards; the legs of
    this VM's own shards are left. */
void
DelegateLegs(ForwarderState& aState,
             RequestState& aRequest,
             TimePoint aNow,
             ForwarderEffects& aEffects);

/** Queries the shards of owners that have not said in time that they began. */
void
ReviewDelegates(ForwarderState& aState,
                RequestState& aRequest,
                TimePoint aNow,
                ForwarderEffects& aEffects);

/** When ReviewDelegates() has something to do; TimePoint::max() if never. */
TimePoint
NextDelegateReview(const RequestState& aRequest);

/** Tells the owners that no result is wanted any more. */
void
CancelDelegates(ForwarderState& aState,
                const RequestState& aRequest,
                bool aIsCallerGone,
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

/** A VM is gone: its work for this one is done here, this VM's work for it
    ends. */
void
HandleVmLost(ForwarderState& aState,
             const VmLost& aEvent,
             TimePoint aNow,
             ForwarderEffects& aEffects);

/** For a sub-search: tells the VM that asked what is new, once it is due.
    Forgets the sub-search when it is over. */
void
ReportIfDue(ForwarderState& aState,
            RequestState& aRequest,
            TimePoint aNow,
            ForwarderEffects& aEffects);

} // namespace wasabispread::forwarding
