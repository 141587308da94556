/*
 * Plans attempts at shards, sends them in batches, cancels them and matches
 * them with their replies. Each attempt is run by a target owner, the VM whose
 * connections to the target the others use.
 */
#pragma once

#include "CoordinatorState.h"
#include "Effect.h"
#include "VmState.h"

#include <optional>

namespace wasabispread {

/** Attempts of one request that are sent to the same target owner. */
struct OwnerBatch
{
  VmId mTargetOwner;
  std::vector<BatchItem> mItems;
};

/** Attempts that one target owner is asked to cancel. */
struct OwnerCancel
{
  VmId mTargetOwner;
  std::vector<AttemptSequence> mSequences;
};

/** Batches and cancellations collected for one request while an event is
    handled, and sent at its end. */
struct Outgoing
{
  std::vector<OwnerBatch> mBatches;
  std::vector<OwnerCancel> mCancels;
};

/** Adds an attempt at a shard to aOutgoing and returns its target, or the
    reason why no attempt can be made. */
tl::expected<TargetId, MissingReason>
PlanAttempt(VmState& aState,
            QueryId aQueryId,
            Query& aQuery,
            std::uint32_t aShardPosition,
            bool aIsHedge,
            TimePoint aNow,
            Outgoing& aOutgoing);

/** Takes a token for an extra attempt, a hedge or a retry, from the service's
    budget. Returns false when the budget is exhausted; this is logged at most
    once a second for each service. */
bool
ChargeExtraAttempt(VmState& aState,
                   const Query& aQuery,
                   TimePoint aNow,
                   Effects& aEffects);

/** Returns the token of an extra attempt that could not be planned. */
void
RefundExtraAttempt(VmState& aState, const Query& aQuery);

/** Cancels the attempts in flight at a shard. */
void
AbandonAttempts(VmState& aState,
                ShardProgress& aShard,
                TimePoint aNow,
                Outgoing& aOutgoing);

/** Sends the batches and cancellations collected for a request, and empties
    aOutgoing. */
void
SendOutgoing(VmState& aState,
             const Query& aQuery,
             Outgoing& aOutgoing,
             TimePoint aNow,
             Effects& aEffects);

/** Removes the attempt that a reply ends from the attempts in flight, updates
    the statistics of its target and returns it. Returns nothing for a reply
    that is late or a duplicate, or comes from another VM than the attempt's
    owner; these replies are counted. */
std::optional<InFlightAttempt>
RemoveEndedAttempt(VmState& aState,
                   VmId aOwner,
                   const ItemReply& aReply,
                   TimePoint aNow,
                   Effects& aEffects);

/** The attempts in flight at a target owner, in the order in which they were
    made. */
std::vector<AttemptSequence>
AttemptsInFlightAt(const CoordinatorState& aEntry, VmId aOwner);

} // namespace wasabispread
