/*
 * Choices made for one request: its snapshot and a replica for each shard.
 */
#pragma once

#include "EntryState.h"
#include "MembershipState.h"
#include "NodeState.h"

#include <optional>

namespace wasabispread {

/** The shards that a request asks. */
std::vector<ShardIndex>
ShardsOf(const Service& aService,
         Operation aOperation,
         const std::string& aKey);

/** The version that the most of the shards asked can answer from, the newest
    among equals; 0 when no target's versions are known yet. */
SnapshotVersion
ChooseSnapshot(const EntryState& aEntry, const Query& aQuery);

/** The position in Deployment::mTargets of the replica to ask: the better of
    two drawn at random, by requests in flight, latency and zone. aExclude, if
    given, is chosen only when it is the sole replica. */
std::uint32_t
ChooseReplica(NodeState& aState,
              const Query& aQuery,
              ShardIndex aShard,
              std::optional<TargetId> aExclude,
              TimePoint aNow);

} // namespace wasabispread
