/*
 * Handling of a search whose shards do not all answer from the same snapshot.
 */
#pragma once

#include "Attempts.h"

namespace wasabispread {

/** Settles a search on one snapshot once the results received determine it, or
    at once when aIsForced. Shards with a result from another snapshot are asked
    again while the budget for extra attempts lasts. */
void
SettleSnapshot(VmState& aState,
               QueryId aQueryId,
               Query& aQuery,
               bool aIsForced,
               TimePoint aNow,
               Outgoing& aOutgoing,
               Effects& aEffects);

/** Whether a settled search should start again with another snapshot. */
bool
IsRestartWorthwhile(const VmState& aState,
                    const Query& aQuery,
                    const SnapshotCoverage& aOther,
                    TimePoint aNow);

/** Changes a settled search to a snapshot that covers more shards, or to a
    newer one, if the snapshot rule in force allows it. */
void
ReconsiderSnapshot(VmState& aState,
                   QueryId aQueryId,
                   Query& aQuery,
                   TimePoint aNow,
                   Outgoing& aOutgoing,
                   Effects& aEffects);

} // namespace wasabispread
