/*
 * The choices made for one request: its shards, a replica for each, and the
 * target owner that sends the attempt.
 */
#pragma once

#include "CoordinatorState.h"
#include "MembershipState.h"
#include "VmState.h"

#include <optional>

namespace wasabispread {

/** The shards that a request asks: all for a search, else the one that holds
    the key. */
std::vector<ShardIndex>
ShardsOf(const Service& aService,
         Operation aOperation,
         const std::string& aKey);

/** Returns the position in Deployment::mTargets of the replica to ask next, or
    the reason why there is none. Draws two usable replicas at random and takes
    the better one by requests in flight, latency, success and zone. Replicas
    that were already asked for the shard are used only when there are no
    others, then ejected ones, then ones whose last report, some time ago,
    lacked the query's snapshot. A replica that recently reported not to hold
    the snapshot, or is draining, is not asked. A hedge goes to a replica that
    is not ejected and was not asked before, or to one that was asked if several
    were. Before all this, the first attempt of an idempotent request
    occasionally probes a replica that is ejected or draining. */
tl::expected<std::uint32_t, MissingReason>
ChooseReplica(VmState& aState,
              const Query& aQuery,
              const ShardProgress& aShard,
              TimePoint aNow);

/** Returns the VM that sends an attempt to a target, or the reason why there is
    none. An owner that was already asked for the shard is skipped while there
    is another. */
tl::expected<VmId, MissingReason>
ChooseOwnerForAttempt(VmState& aState,
                      const Query& aQuery,
                      const ShardProgress& aShard,
                      std::uint32_t aTargetPosition,
                      TimePoint aNow);

} // namespace wasabispread
