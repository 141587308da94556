/*
 * Attempts at shards: planned, sent in batches, cancelled, and matched with
 * their replies.
 */
#pragma once

#include "CoordinatorState.h"
#include "Effect.h"
#include "VmState.h"

#include <optional>

namespace wasabispread {

/** Attempts of one request that go to one owner. */
struct OwnerBatch
{
  VmId mTargetOwner;
  std::vector<BatchItem> mItems;
};

/** Attempts that one owner shall give up. */
struct OwnerCancel
{
  VmId mTargetOwner;
  std::vector<AttemptSequence> mSequences;
};

/** What is to be sent for one request once an event is handled. */
struct Outgoing
{
  std::vector<OwnerBatch> mBatches;
  std::vector<OwnerCancel> mCancels;
};

/** Plans one more attempt at a shard and returns its target, or says why there
    is none. */
tl::expected<TargetId, MissingReason>
PlanAttempt(VmState& aState,
            QueryId aQueryId,
            Query& aQuery,
            std::uint32_t aShardPosition,
            bool aIsHedge,
            TimePoint aNow,
            Outgoing& aOutgoing);

/** Takes a token for an extra attempt of a request; false when the service's
    budget is spent, which is logged once a second. */
bool
ChargeExtraAttempt(VmState& aState,
                   const Query& aQuery,
                   TimePoint aNow,
                   Effects& aEffects);

/** Gives back the token of an extra attempt that could not be planned. */
void
RefundExtraAttempt(VmState& aState, const Query& aQuery);

/** Gives up the attempts in flight at a shard. */
void
AbandonAttempts(VmState& aState,
                ShardProgress& aShard,
                TimePoint aNow,
                Outgoing& aOutgoing);

/** Sends what was collected for a request. */
void
SendOutgoing(VmState& aState,
             const Query& aQuery,
             Outgoing& aOutgoing,
             TimePoint aNow,
             Effects& aEffects);

/** Takes the attempt that a reply ends off the books, and learns from it.
    Nothing is returned for a reply that is late, doubled or foreign; those are
    counted. */
std::optional<InFlightAttempt>
TakeEndedAttempt(VmState& aState,
                 VmId aOwner,
                 const ItemReply& aReply,
                 TimePoint aNow,
                 Effects& aEffects);

/** The attempts in flight at a VM, in the order they were made. */
std::vector<AttemptSequence>
AttemptsAt(const CoordinatorState& aEntry, VmId aOwner);

} // namespace wasabispread
