/*
 * Hedging: a second attempt at a shard whose first attempt is slow.
 */
#pragma once

#include "Attempts.h"

namespace wasabispread {

/** The latency beyond which an attempt of a service counts as slow: its
    hedge_quantile, or a higher quantile when hedging at hedge_quantile would
    need more extra attempts than the budget allows. Zero while too few
    latencies are known. */
DelayByDistance
LearnedDelay(const Service& aService, const ServiceObservation& aObserved);

/** How long an attempt of a service may take before it is hedged; zero when it
    is not hedged. While no latencies are known, this is a fraction of the
    request's own budget. */
DelayByDistance
HedgeDelay(const CoordinatorPolicy& aPolicy,
           const Service& aService,
           const ServiceObservation& aObserved,
           Duration aBudget);

/** When the last attempt at a shard becomes due for a hedge; TimePoint::max()
    when it must not be hedged. */
TimePoint
NextHedge(const Query& aQuery,
          const ShardProgress& aShard,
          const CoordinatorPolicy& aPolicy);

/** Arms the hedge timer of an idempotent request for the first shard that will
    become due. The number of passes for a request is bounded. */
void
ArmHedgeTimer(VmState& aState, QueryId aQueryId, Query& aQuery, TimePoint aNow);

/** Sends hedges for the slow shards of a request while the budget for extra
    attempts lasts. */
void
HedgeSlowShards(VmState& aState,
                QueryId aQueryId,
                Query& aQuery,
                TimePoint aNow,
                Outgoing& aOutgoing,
                Effects& aEffects);

} // namespace wasabispread
