/*
 * The outcome of a caller's request: results with their coverage, or an error.
 */
#pragma once

#include <wasabispread_config/wasabispread_config.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace wasabispread {

/** Bytes that several messages share without copying; the pointer is never null
    in use. */
using SharedBytes = std::shared_ptr<const std::string>;

/** Why an answer lacks a shard's result, or why an attempt was refused. */
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

/** A shard whose result is not in an answer. */
struct MissingShard
{
  ShardIndex mShard;
  MissingReason mReason = MissingReason::kTimeout;
};

/** The results of a request, all from one snapshot. Each shard asked is in
    exactly one of mResults and mMissing. */
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

/** How a request ended: an answer or an error. */
using Outcome = std::variant<Answer, Error>;

} // namespace wasabispread
