/*
 * Which version of the index a search answers from.
 */
#pragma once

#include "CoordinatorState.h"
#include "VmState.h"

namespace wasabispread {

/** A version and how many of a query's shards can answer from it. */
struct SnapshotCoverage
{
  SnapshotVersion mSnapshot;
  std::uint32_t mShards = 0;
};

/** The version that the most of the shards asked can answer from, the newest
    among equals, by what targets said they hold and by the results in hand;
    0 when nothing is known. */
SnapshotCoverage
BestSnapshot(const CoordinatorState& aEntry, const Query& aQuery);

/** How many of the shards asked can answer from a version. */
std::uint32_t
CoverageOf(const CoordinatorState& aEntry,
           const Query& aQuery,
           SnapshotVersion aSnapshot);

/** The version to ask for at first. Kept for each service until a target is
    seen to hold other versions, so that planning does not work it out anew. */
SnapshotVersion
PlanSnapshot(VmState& aState, const Query& aQuery);

/** Notes that a shard answered from a version. */
void
TallySnapshot(Query& aQuery, SnapshotVersion aSnapshot);

/** Whether results in hand tell which version to settle on: one has more than
    half of the shards, or every shard has ended. */
bool
IsReadyToSettle(const Query& aQuery);

/** Keeps a result of another version than the one asked for. */
void
KeepSpare(Query& aQuery,
          std::uint32_t aShardPosition,
          TargetId aTarget,
          SnapshotVersion aSnapshot,
          SharedBytes aBody);

/** Makes a version the query's own. Results of other versions become spares,
    spares of this one become results. Returns the positions of the shards
    that have none and are now pending. */
std::vector<std::uint32_t>
AdoptSnapshot(Query& aQuery, SnapshotVersion aSnapshot);

/** Of the versions in hand, results and spares, the one with the most shards,
    the newest among equals. */
SnapshotCoverage
BestInHand(const Query& aQuery);

} // namespace wasabispread
