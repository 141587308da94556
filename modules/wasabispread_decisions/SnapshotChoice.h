/*
 * Which version of the index, or snapshot, a search answers from.
 */
#pragma once

#include "CoordinatorState.h"
#include "VmState.h"

namespace wasabispread {

/** A snapshot and the number of a query's shards that can answer from it. */
struct SnapshotCoverage
{
  SnapshotVersion mSnapshot;
  std::uint32_t mShards = 0;
};

/** The snapshot from which the most of the query's shards can answer, and the
    newest of equals. Based on the snapshots that targets reported and on the
    results received; 0 when nothing is known. */
SnapshotCoverage
BestSnapshot(const CoordinatorState& aEntry, const Query& aQuery);

/** The number of the query's shards that can answer from a snapshot. */
std::uint32_t
CoverageOf(const CoordinatorState& aEntry,
           const Query& aQuery,
           SnapshotVersion aSnapshot);

/** The snapshot to ask for at first. The choice is cached for each service
    until a target is seen to hold other snapshots. */
SnapshotVersion
PlanSnapshot(VmState& aState, const Query& aQuery);

/** Counts a shard that answered from a snapshot. */
void
TallySnapshot(Query& aQuery, SnapshotVersion aSnapshot);

/** Whether the results received determine the snapshot to settle on: more than
    half of the shards answered from the same one, or no shard is pending. */
bool
IsReadyToSettle(const Query& aQuery);

/** Keeps a result from another snapshot than the one asked for. */
void
KeepOtherSnapshotResult(Query& aQuery,
                        std::uint32_t aShardPosition,
                        TargetId aTarget,
                        SnapshotVersion aSnapshot,
                        SharedBytes aBody);

/** Settles the query on a snapshot. Results from other snapshots are set aside
    in mOtherSnapshotResults, and those kept there from this snapshot become
    results. Returns the positions of the shards without a result, which are now
    pending. */
std::vector<std::uint32_t>
AdoptSnapshot(Query& aQuery, SnapshotVersion aSnapshot);

/** The snapshot from which the most shards have sent a result, and the newest
    of equals. Counts mOtherSnapshotResults too. */
SnapshotCoverage
BestReceivedSnapshot(const Query& aQuery);

} // namespace wasabispread
