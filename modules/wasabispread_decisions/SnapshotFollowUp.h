/*
 * A search under way whose shards do not all serve one version of the index.
 */
#pragma once

#include "Attempts.h"

namespace wasabispread {

/** Settles a search on one version once the results in hand tell which, or at
    once when aIsForced; shards with a result of another one are asked again
    while the budget lasts. */
void
SettleSnapshot(VmState& aState,
               QueryId aQueryId,
               Query& aQuery,
               bool aIsForced,
               TimePoint aNow,
               Outgoing& aOutgoing,
               Effects& aEffects);

/** Whether a settled search should start over on a version. */
bool
IsRestartWorthwhile(const VmState& aState,
                    const Query& aQuery,
                    const SnapshotCoverage& aOther,
                    TimePoint aNow);

/** Changes a settled search to a version that serves it better, if the rule in
    force says so. */
void
ReconsiderSnapshot(VmState& aState,
                   QueryId aQueryId,
                   Query& aQuery,
                   TimePoint aNow,
                   Outgoing& aOutgoing,
                   Effects& aEffects);

} // namespace wasabispread
