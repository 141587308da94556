/*
 * What is sent to a target and what comes back.
 */
#pragma once

#include "Answer.h"

#include <vector>

namespace wasabispread {

/** A sub-request. */
struct TargetRequest
{
  RequestId mRequestId;
  AttemptId mAttempt;
  Operation mOperation = Operation::kSearch;
  ShardIndex mShard;
  /** 0 asks for the target's newest version. */
  SnapshotVersion mSnapshot;
  std::string mKey;
  SharedBytes mBody;
  /** The time left when the request is sent. */
  Duration mBudget{};
};

/** How a target answered. */
enum class TargetStatus : std::uint8_t
{
  kAnswered,
  /** Refused under load; not run. */
  kShed,
  /** Refused because the target is leaving; not run. */
  kDraining,
  /** Refused because the version named is not held; not run. */
  kSnapshotUnavailable,
  /** Failed in a way that does not tell whether it ran. */
  kFailed,
};

/** What a target says of itself. */
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
  /** The text form of the attempt that the target says it answers. */
  std::string mAttempt;
  TargetStatus mStatus = TargetStatus::kFailed;
  SnapshotVersion mSnapshot;
  std::vector<SnapshotVersion> mHeldSnapshots;
  SharedBytes mBody;
  TargetHealth mHealth = TargetHealth::kUnknown;
};

} // namespace wasabispread
