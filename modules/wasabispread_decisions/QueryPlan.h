/*
 * Choices made for one request: its shards, a replica for each, and the owner
 * that asks it.
 */
#pragma once

#include "CoordinatorState.h"
#include "MembershipState.h"
#include "VmState.h"

#include <optional>

namespace wasabispread {

/** The shards that a request asks. */
std::vector<ShardIndex>
ShardsOf(const Service& aService,
         Operation aOperation,
         const std::string& aKey);

/** The position in Deployment::mTargets of the replica to ask next, or why
    none is worth asking. Of two drawn at random the better by requests in
    flight, latency, success and zone is taken. Replicas asked before come next,
    then ejected ones; one known to lack the query's snapshot, or to be
    draining, is never asked. A hedge goes to a replica that is not ejected and
    was not asked, or to one of several that were. Idempotent first attempts
    now and then probe a replica out of use. */
tl::expected<std::uint32_t, MissingReason>
ChooseReplica(VmState& aState,
              const Query& aQuery,
              const ShardProgress& aShard,
              TimePoint aNow);

/** The VM that shall run an attempt at a target, or why there is none. An
    owner that was asked for the shard already is passed over while there is
    another. */
tl::expected<VmId, MissingReason>
PickOwner(VmState& aState,
          const Query& aQuery,
          const ShardProgress& aShard,
          std::uint32_t aTargetPosition,
          TimePoint aNow);

} // namespace wasabispread
