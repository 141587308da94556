/*
 * A node's part as entry: callers' requests under way, and what was seen of
 * services, targets and owners.
 */
#pragma once

#include "Admission.h"
#include "Answer.h"
#include "CoordinatorPolicy.h"
#include "Event.h"
#include "ExtraAttemptBudget.h"
#include "LatencyHistogram.h"
#include "PeerMessage.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace wasabispread {

/** Identifies a request under way within one entry. */
using QueryId = StrongType<struct QueryIdTag, std::uint64_t>;

/** The most attempts at one shard of a request, hedges included. */
inline constexpr std::uint8_t kMostAttempts = 5;

/** How far one shard of a request has come. */
enum class ShardStatus : std::uint8_t
{
  kPending,
  kAnswered,
  kMissing,
};

/** Whether a target is in the entry's own availability zone. */
enum class Distance : std::uint8_t
{
  kOwnZone,
  kOtherZone,
};

/** A duration for each distance. */
struct DelayByDistance
{
  Duration mOwnZone{};
  Duration mOtherZone{};

  Duration To(Distance aDistance) const
  {
    return aDistance == Distance::kOwnZone ? mOwnZone : mOtherZone;
  }

  Duration Longest() const { return std::max(mOwnZone, mOtherZone); }
};

/** One attempt at a shard, in flight or ended. */
struct ShardAttempt
{
  AttemptSequence mSequence;
  TargetId mTarget;
  VmId mTargetOwner;
  TimePoint mSent;
  Distance mDistance = Distance::kOwnZone;
};

/** One shard of a request. Invariant: the first mAttempts of mTried are the
    attempts made; mAttemptsInFlight of them have not ended. */
struct ShardProgress
{
  ShardIndex mShard;
  ShardStatus mStatus = ShardStatus::kPending;
  /** Why the last attempt failed, or why the shard is missing. */
  MissingReason mReason = MissingReason::kTimeout;
  std::uint8_t mAttempts = 0;
  std::uint8_t mAttemptsInFlight = 0;
  std::uint8_t mHedges = 0;
  std::array<ShardAttempt, kMostAttempts> mTried;
  /** The three below have meaning once the shard is answered. */
  TargetId mTarget;
  SnapshotVersion mSnapshot;
  SharedBytes mBody;
};

/** A shard's result from another version than the one the query asks for. */
struct SpareResult
{
  std::uint32_t mShardPosition = 0;
  TargetId mTarget;
  SnapshotVersion mSnapshot;
  SharedBytes mBody;
};

/** How many shards answered from one version. */
struct SnapshotTally
{
  SnapshotVersion mSnapshot;
  std::uint32_t mShards = 0;
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
  /** The version asked for; 0 asks each target for its newest. */
  SnapshotVersion mSnapshot;
  /** Whether results must be of mSnapshot. Until then the versions that came
      are tallied. */
  bool mIsSettled = false;
  std::uint8_t mRestarts = 0;
  std::vector<SnapshotTally> mTallies;
  std::vector<SpareResult> mSpares;
  TimePoint mStarted;
  /** When the answer must leave. */
  TimePoint mDeadline;
  /** How long an attempt may take before it is hedged; 0 is never. */
  DelayByDistance mHedgeDelay;
  std::uint8_t mHedgePasses = 0;
  /** How long an early answer is held back. */
  Duration mGrace{};
  std::vector<ShardProgress> mShards;
  std::uint32_t mPending = 0;
  std::uint32_t mAnswered = 0;
  /** Set when an attempt may have run without its result being known. */
  bool mMayHaveRun = false;
  /** Set while a shard waits to hear whether another version serves it. */
  bool mLacksSnapshot = false;
  bool mIsGraceArmed = false;
};

/** Where an attempt belongs. */
struct InFlightAttempt
{
  QueryId mQuery;
  /** The position in Query::mShards. */
  std::uint32_t mShardPosition = 0;
  VmId mTargetOwner;
  TargetId mTarget;
  TimePoint mSent;
  Distance mDistance = Distance::kOwnZone;
  bool mIsHedge = false;
};

/** Whether a target is given work. */
enum class TargetAvailability : std::uint8_t
{
  kInUse,
  /** Failed repeatedly: gets probes, and work only when no other replica can
      take it. */
  kEjected,
  /** Said that it is leaving: gets probes only. */
  kDraining,
};

/** What an entry has seen of a target. */
struct TargetObservation
{
  ServiceId mService;
  /** Mean latency, weighted towards the present, in nanoseconds; 0 before the
      first reply. */
  double mLatency = 0;
  /** The share of attempts that succeeded, weighted towards the present. */
  double mSuccess = 1;
  std::uint32_t mInFlight = 0;
  /** Failures in a row. */
  std::uint32_t mFailures = 0;
  TargetAvailability mAvailability = TargetAvailability::kInUse;
  /** When a target that is not in use may next be tried. */
  TimePoint mNextProbe{};
  Duration mProbeInterval{};
  TimePoint mLastAsked{};
  /** When mHeldSnapshots was last confirmed. */
  TimePoint mSnapshotsSeen{};
  std::vector<SnapshotVersion> mHeldSnapshots;
};

/** What an entry has seen of a service. */
struct ServiceObservation
{
  /** Latencies of attempts, all together and by distance. */
  LatencyHistogram mLatency;
  LatencyHistogram mOwnZoneLatency;
  LatencyHistogram mOtherZoneLatency;
  ExtraAttemptBudget mBudget;
  AdmissionState mAdmission;
  Revision mRevision;
  /** Targets ejected or draining, as of mRevision. */
  std::uint32_t mTargetsOutOfUse = 0;
  /** Rises when a target is seen to hold other versions than before. */
  std::uint64_t mSnapshotEpoch = 1;
  /** The choice for a whole search as of mChosenEpoch and mRevision. */
  SnapshotVersion mChosenSnapshot;
  std::uint64_t mChosenEpoch = 0;
  /** When an exhausted budget was last logged. */
  TimePoint mExhaustionLogged{};
};

/** All that an entry remembers. */
struct CoordinatorState
{
  CoordinatorPolicy mPolicy;
  std::uint64_t mNextQuery = 1;
  std::uint64_t mNextAttempt = 1;
  std::unordered_map<QueryId, Query> mQueries;
  std::unordered_map<CallerToken, QueryId> mQueryOfCaller;
  std::unordered_map<AttemptSequence, InFlightAttempt> mAttempts;
  std::unordered_map<TargetId, TargetObservation> mTargets;
  std::unordered_map<ServiceId, ServiceObservation> mServices;
};

} // namespace wasabispread
