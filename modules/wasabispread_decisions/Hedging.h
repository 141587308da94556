/*
 * Hedges: a second attempt at a shard whose first is slow.
 */
#pragma once

#include "Attempts.h"

namespace wasabispread {

/** How long attempts of a service take that are not slow: its hedge_quantile,
    or a higher quantile when hedging after that one would ask for more than
    the budget allows; zero while this is not known. */
DelayByDistance
LearnedDelay(const Service& aService, const ServiceObservation& aObserved);

/** How long an attempt of a service may take before it is hedged; zero when it
    is not. While nothing is learned, a part of the request's own budget. */
DelayByDistance
HedgeDelay(const CoordinatorPolicy& aPolicy,
           const Service& aService,
           const ServiceObservation& aObserved,
           Duration aBudget);

/** When a shard's attempt has taken long enough to be hedged;
    TimePoint::max() when it is not to be. */
TimePoint
NextHedge(const Query& aQuery,
          const ShardProgress& aShard,
          const CoordinatorPolicy& aPolicy);

/** Arms a request's hedge timer for its next slow shard, if it may be hedged.
    A request gets a bounded number of passes. */
void
ArmHedgeTimer(VmState& aState, QueryId aQueryId, Query& aQuery, TimePoint aNow);

/** Hedges the slow shards of a request while the budget lasts. */
void
HedgeSlowShards(VmState& aState,
                QueryId aQueryId,
                Query& aQuery,
                TimePoint aNow,
                Outgoing& aOutgoing,
                Effects& aEffects);

} // namespace wasabispread
