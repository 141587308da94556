/*
 * Claims in the platform's store, by which an action with an idempotency key
 * runs at most once whichever VM it is asked of.
 *
 * A claim is created by compare-and-swap before anything is sent. A write
 * whose reply is lost is read back. Who finds another's claim is refused, with
 * what is known of the first outcome; only a claim whose action is proven not
 * to have run may be taken over.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** How long the store keeps a claim; a repeat after that would run. */
inline constexpr Duration kClaimLifetime = std::chrono::hours(24);

/** The writes a second that all VMs together may spend on claims. */
inline constexpr double kClaimWritesPerSecond = 200;

/** Whether a request may run only under a claim. */
bool
NeedsClaim(const CallerRequest& aRequest);

/** Begins to claim an admitted request's key, or refuses the request. */
void
BeginClaim(VmState& aState,
           const CallerRequest& aRequest,
           const Service& aService,
           TimePoint aNow,
           Effects& aEffects);

/** Runs the request when its claim was made; reads back when that is open. */
void
HandleClaimSwapped(VmState& aState,
                   const ClaimSwapped& aEvent,
                   TimePoint aNow,
                   Effects& aEffects);

/** Decides by what the store holds. */
void
HandleClaimRead(VmState& aState,
                const ClaimRead& aEvent,
                TimePoint aNow,
                Effects& aEffects);

/** Refuses a request whose claim is not made in time. */
void
HandleClaimDeadline(VmState& aState, ClaimToken aToken, Effects& aEffects);

/** Reads the store again after a failed read. */
void
HandleClaimRetry(VmState& aState, ClaimToken aToken, Effects& aEffects);

/** Writes the outcome of a caller's request into its claim, if it has one. */
void
EndClaim(VmState& aState,
         CallerToken aToken,
         const Outcome& aOutcome,
         Effects& aEffects);

/** Gives up a claim whose caller is gone: released when nothing was sent,
    else left as unknown. */
void
LeaveClaim(VmState& aState, CallerToken aToken, Effects& aEffects);

} // namespace wasabispread
