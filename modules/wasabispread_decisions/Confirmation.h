/*
 * Asks all VMs, along trees, whether a configuration revision is in force.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** Starts to collect confirmations for an operator; AnswerConfirmation ends the
    collection. */
void
HandleOperatorConfirmationRequest(VmState& aState,
                                  const OperatorConfirmationRequest& aEvent,
                                  TimePoint aNow,
                                  Effects& aEffects);

/** Answers for this VM and asks its children in the tree. */
void
HandleConfirmationRequest(VmState& aState,
                          VmId aPeer,
                          const Endpoint& aAddress,
                          const ConfirmationRequest& aRequest,
                          TimePoint aNow,
                          Effects& aEffects);

/** Adds the report of a subtree to its collection. */
void
HandleConfirmationReply(VmState& aState,
                        VmId aPeer,
                        const ConfirmationReply& aReply,
                        Effects& aEffects);

/** Ends a collection; all VMs in subtrees that did not report count as
    unreachable. */
void
HandleConfirmationDeadline(VmState& aState,
                           std::uint64_t aId,
                           Effects& aEffects);

/** The maximum number of VMs that a report lists by name. */
inline constexpr std::size_t kMaxListedVms = 100;

} // namespace wasabispread
