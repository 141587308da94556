/*
 * Decides when a request ends and with which outcome.
 */
#pragma once

#include "CoordinatorState.h"
#include "Effect.h"
#include "VmState.h"

namespace wasabispread {

/** Marks a pending shard as missing for the reason given. */
void
MarkMissing(Query& aQuery, ShardProgress& aShard, MissingReason aReason);

/** Whether enough shards have answered for the service's declared preference
    and minimum coverage to send an early answer. */
bool
HasMinCoverage(const Query& aQuery);

/** How long after its start an early answer is delayed, so that shards of
    ordinary speed are still included. Failing targets raise the learned delay
    but hardly change the median, a multiple of which therefore bounds the
    result. */
Duration
EarlyAnswerGrace(const CoordinatorPolicy& aPolicy,
                 Duration aLearnedDelay,
                 Duration aMedian);

/** Answers a request when no shard is pending or when an early answer is due.
    Starts a timer when an early answer will be due later. */
void
FinishIfDone(VmState& aState,
             QueryId aQueryId,
             TimePoint aNow,
             Effects& aEffects);

/** Answers a request and removes it. Shards that still have an attempt in
    flight become missing for the reason given. */
void
FinishQuery(VmState& aState,
            QueryId aQueryId,
            MissingReason aReason,
            TimePoint aNow,
            Effects& aEffects);

} // namespace wasabispread
