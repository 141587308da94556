/*
 * What a caller is told: results with their coverage, or an error.
 */
#pragma once

#include <wasabispread_config/wasabispread_config.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace wasabispread {

/** Bytes that many messages share without copying; never null in use. */
using SharedBytes = std::shared_ptr<const std::string>;

/** Why a shard's result is not in an answer, or why an attempt was refused. */
enum class MissingReason : std::uint8_t
{
  kTimeout,
  kTargetUnreachable,
  kOverloaded,
  kShed,
  kDraining,
  kSnapshotUnavailable,
  kOwnerLost,
  kNoOwner,
  kUnknownTarget,
  kProtocolError,
  kEarlyAnswer,
  kStopping,
};

/** The name used in answers, logs and metrics. */
std::string_view
ToText(MissingReason aReason);

/** One shard's result. */
struct ShardResult
{
  ShardIndex mShard;
  TargetId mTarget;
  SharedBytes mBody;
};

/** A shard that an answer lacks. */
struct MissingShard
{
  ShardIndex mShard;
  MissingReason mReason = MissingReason::kTimeout;
};

/** The results of a request, all from one snapshot. Each shard asked is
    either in mResults or in mMissing, never in both. */
struct Answer
{
  ServiceId mService;
  Revision mRevision;
  SnapshotVersion mSnapshot;
  std::uint32_t mShardsAsked = 0;
  std::vector<ShardResult> mResults;
  std::vector<MissingShard> mMissing;

  /** Whether every shard asked has answered. */
  bool IsComplete() const { return mMissing.empty(); }
};

/** An answer, or the error in its place. */
using Outcome = std::variant<Answer, Error>;

} // namespace wasabispread
