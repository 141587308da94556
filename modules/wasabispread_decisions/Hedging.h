/*
 * Hedges: a second attempt at a shard whose first is slow.
 */
#pragma once

#include "Attempts.h"

namespace wasabispread {

/** How long attempts of a service take that are not slow: its hedge_quantile,
    or a higher quantile when hedging after that one would ask for more than
    the budget allows; zero while this is not known. */
Duration
LearnedDelay(const Service& aService, const LatencyHistogram& aLatency);

/** How long an attempt of a service may take before it is hedged; zero when it
    is not. */
Duration
HedgeDelay(const EntryPolicy& aPolicy,
           const Service& aService,
           const LatencyHistogram& aLatency);

/** Whether a shard's attempt has taken long enough to be hedged. */
bool
IsHedgeDue(const Query& aQuery,
           const ShardProgress& aShard,
           const EntryPolicy& aPolicy,
           TimePoint aNow);

/** Arms a request's hedge timer, if it may be hedged; each time for a longer
    wait than before, so that a request costs a bounded number of passes. */
void
ArmHedgeTimer(NodeState& aState,
              QueryId aQueryId,
              Query& aQuery,
              TimePoint aNow);

/** Hedges the slow shards of a request while the budget lasts. */
void
HedgeSlowShards(NodeState& aState,
                QueryId aQueryId,
                Query& aQuery,
                TimePoint aNow,
                Outgoing& aOutgoing,
                Effects& aEffects);

} // namespace wasabispread
