/*
 * A node's part as entry: callers' requests under way.
 */
#pragma once

#include "Answer.h"
#include "Event.h"
#include "PeerMessage.h"

#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace wasabispread {

/** Identifies a request under way within one entry. */
using QueryId = StrongType<struct QueryIdTag, std::uint64_t>;

/** How far one shard of a request has come. */
enum class ShardStatus : std::uint8_t
{
  kPending,
  kAnswered,
  kMissing,
};

/** One shard of a request. */
struct ShardProgress
{
  ShardIndex mShard;
  ShardStatus mStatus = ShardStatus::kPending;
  /** Why the last attempt failed, or why the shard is missing. */
  MissingReason mReason = MissingReason::kTimeout;
  std::uint8_t mAttempts = 0;
  std::uint8_t mAttemptsInFlight = 0;
  TargetId mTarget;
  SharedBytes mBody;
};

/** A request under way. Invariant: mPending counts the shards still pending;
    mAnswered those answered. */
struct Query
{
  CallerRequest mRequest;
  ServiceId mService;
  Revision mRevision;
  /** Keeps mServiceRecord alive across changes of configuration. */
  DeploymentPointer mDeployment;
  const Service* mServiceRecord = nullptr;
  /** The one version all results come from; 0 until it is settled. */
  SnapshotVersion mSnapshot;
  TimePoint mStarted;
  /** When the answer must leave. */
  TimePoint mDeadline;
  std::vector<ShardProgress> mShards;
  /** Every attempt made, ended or not. */
  std::vector<AttemptSequence> mSequences;
  std::uint32_t mPending = 0;
  std::uint32_t mAnswered = 0;
  /** Set when a non-idempotent attempt may have run. */
  bool mMayHaveRun = false;
};

/** Where an attempt belongs. */
struct AttemptPlace
{
  QueryId mQuery;
  /** The position in Query::mShards. */
  std::uint32_t mShardPosition = 0;
  VmId mOwner;
  TargetId mTarget;
  TimePoint mSent;
};

/** What an entry has seen of a target. */
struct TargetObservation
{
  /** Mean latency, weighted towards the present, in nanoseconds; 0 before the
      first reply. */
  double mLatency = 0;
  std::uint32_t mInFlight = 0;
  /** Failures in a row. */
  std::uint32_t mFailures = 0;
  /** No work before this time, while another replica can take it. */
  TimePoint mAvoidUntil{};
  std::vector<SnapshotVersion> mHeldSnapshots;
};

/** All that an entry remembers. */
struct EntryState
{
  std::uint64_t mNextQuery = 1;
  std::uint64_t mNextAttempt = 1;
  std::unordered_map<QueryId, Query> mQueries;
  std::unordered_map<CallerToken, QueryId> mQueryOfCaller;
  std::unordered_map<AttemptSequence, AttemptPlace> mAttempts;
  std::unordered_map<TargetId, TargetObservation> mTargets;
};

} // namespace wasabispread
