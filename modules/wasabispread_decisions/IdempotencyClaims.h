/*
 * Claims in the platform's store, which ensure that an action with an
 * idempotency key runs at most once, whichever VM receives the request.
 *
 * A claim is created by compare-and-swap before anything is sent. When the
 * reply to a write is lost, the claim is read back. A request that finds the
 * claim of another request is refused, and the refusal reports what is known of
 * the first request's outcome. Only a claim whose action is proven not to have
 * run may be taken over.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** How long the store keeps a claim. A request repeated after that would run
    again. */
inline constexpr Duration kClaimLifetime = std::chrono::hours(24);

/** The writes per second that all VMs together may use for claims. */
inline constexpr double kClaimWritesPerSecond = 200;

/** Whether a request may run only under a claim. */
bool
NeedsClaim(const CallerRequest& aRequest);

/** Starts to claim the idempotency key of an admitted request, or refuses the
    request. */
void
BeginClaim(VmState& aState,
           const CallerRequest& aRequest,
           const Service& aService,
           TimePoint aNow,
           Effects& aEffects);

/** Runs the request when its claim was made. Reads the claim back when the
    write failed or its result is unknown. */
void
HandleClaimSwapped(VmState& aState,
                   const ClaimSwapped& aEvent,
                   TimePoint aNow,
                   Effects& aEffects);

/** Continues a claim according to the record that the store holds. */
void
HandleClaimRead(VmState& aState,
                const ClaimRead& aEvent,
                TimePoint aNow,
                Effects& aEffects);

/** Refuses a request whose claim was not made in time. */
void
HandleClaimDeadline(VmState& aState, ClaimToken aToken, Effects& aEffects);

/** Reads the store again after a failed read. */
void
HandleClaimRetry(VmState& aState, ClaimToken aToken, Effects& aEffects);

/** Writes the outcome of a caller's request to its claim, if it holds one. */
void
CompleteClaim(VmState& aState,
              CallerToken aToken,
              const Outcome& aOutcome,
              Effects& aEffects);

/** Gives up the claim of a caller that disconnected. A claim whose request was
    not sent is released once it is made; otherwise its outcome is written as
    unknown. */
void
AbandonClaim(VmState& aState, CallerToken aToken, Effects& aEffects);

} // namespace wasabispread
