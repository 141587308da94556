/*
 * When a request ends, and with what.
 */
#pragma once

#include "CoordinatorState.h"
#include "Effect.h"
#include "VmState.h"

namespace wasabispread {

/** Gives up on a shard. */
void
MarkMissing(Query& aQuery, ShardProgress& aShard, MissingReason aReason);

/** Whether enough shards have answered for the service's declared preference
    to let the answer go early. */
bool
HasLeastCoverage(const Query& aQuery);

/** How long after its start an early answer is held back, so that shards of
    ordinary speed are still taken in. Broken targets raise the learned delay
    but hardly the median, which therefore bounds it. */
Duration
EarlyAnswerGrace(const CoordinatorPolicy& aPolicy,
                 Duration aLearnedDelay,
                 Duration aMedian);

/** Answers when nothing is pending, or when the answer may go early; arms a
    timer when it may go later. */
void
FinishIfDone(VmState& aState,
             QueryId aQueryId,
             TimePoint aNow,
             Effects& aEffects);

/** Answers a request and forgets it. Shards still pending become missing for
    the reason given. */
void
FinishQuery(VmState& aState,
            QueryId aQueryId,
            MissingReason aReason,
            TimePoint aNow,
            Effects& aEffects);

} // namespace wasabispread
