/*
 * Asking the whole fleet, along trees, whether a revision is in force.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** Begins to ask on an operator's behalf; ends in AnswerConfirmation. */
void
HandleOperatorConfirmationRequest(VmState& aState,
                                  const OperatorConfirmationRequest& aEvent,
                                  TimePoint aNow,
                                  Effects& aEffects);

/** Answers for this VM and asks those below it in the tree. */
void
HandleConfirmationRequest(VmState& aState,
                          VmId aPeer,
                          const Endpoint& aAddress,
                          const ConfirmationRequest& aRequest,
                          TimePoint aNow,
                          Effects& aEffects);

/** Adds what a part of the tree confirms. */
void
HandleConfirmationReply(VmState& aState,
                        VmId aPeer,
                        const ConfirmationReply& aReply,
                        Effects& aEffects);

/** Ends a collection; the VMs under those that did not answer count as
    unreachable. */
void
HandleConfirmationDeadline(VmState& aState,
                           std::uint64_t aId,
                           Effects& aEffects);

/** The most VMs that a report names. */
inline constexpr std::size_t kMostListedVms = 100;

} // namespace wasabispread
