/*
 * The requests to a target and its replies.
 */
#pragma once

#include "Answer.h"

#include <vector>

namespace wasabispread {

/** A request for one shard, sent to one target. */
struct TargetRequest
{
  RequestId mRequestId;
  AttemptId mAttempt;
  Operation mOperation = Operation::kSearch;
  ShardIndex mShard;
  /** The snapshot version to answer from; 0 asks for the target's newest
      one. */
  SnapshotVersion mSnapshot;
  std::string mKey;
  SharedBytes mBody;
  /** The time left for the reply when the request is sent. */
  Duration mBudget{};
};

/** The status of a target's reply. */
enum class TargetStatus : std::uint8_t
{
  kAnswered,
  /** Refused under load; not run. */
  kShed,
  /** Refused because the target is leaving; not run. */
  kDraining,
  /** Refused because the target does not have the requested version; not
      run. */
  kSnapshotUnavailable,
  /** Failed in a way that leaves open whether it ran. */
  kFailed,
};

/** The health that a target reports about itself. */
enum class TargetHealth : std::uint8_t
{
  kUnknown,
  kGood,
  /** It is about to leave. */
  kLeaving,
};

/** A target's reply. */
struct TargetReply
{
  /** The text form of the attempt that the target states it answers. */
  std::string mAttempt;
  TargetStatus mStatus = TargetStatus::kFailed;
  SnapshotVersion mSnapshot;
  std::vector<SnapshotVersion> mHeldSnapshots;
  SharedBytes mBody;
  TargetHealth mHealth = TargetHealth::kUnknown;
};

} // namespace wasabispread
