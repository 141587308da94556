/*
 * The state of the coordinator: callers' requests in progress, and what was
 * observed of services, targets and target owners.
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

/** Identifies a request in progress within one coordinator. */
using QueryId = StrongType<struct QueryIdTag, std::uint64_t>;

/** The maximum number of attempts at one shard of a request, with hedges. */
inline constexpr std::uint8_t kMaxAttempts = 5;

/** The status of one shard of a request. */
enum class ShardStatus : std::uint8_t
{
  kPending,
  kAnswered,
  kMissing,
};

/** Whether a target is in the coordinator's own availability zone. */
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

/** One shard of a request. Invariant: the first mAttempts elements of mTried
    are the attempts made; mAttemptsInFlight of them have not ended. */
struct ShardProgress
{
  ShardIndex mShard;
  ShardStatus mStatus = ShardStatus::kPending;
  /** Why the last attempt failed, or why the shard is missing. */
  MissingReason mReason = MissingReason::kTimeout;
  std::uint8_t mAttempts = 0;
  std::uint8_t mAttemptsInFlight = 0;
  std::uint8_t mHedges = 0;
  std::array<ShardAttempt, kMaxAttempts> mTried;
  /** The three members below are valid once the shard is answered. */
  TargetId mTarget;
  SnapshotVersion mSnapshot;
  SharedBytes mBody;
};

/** A shard's result from another snapshot than the one that the query asks for.
    It is kept in case the query changes to that snapshot. */
struct OtherSnapshotResult
{
  std::uint32_t mShardPosition = 0;
  TargetId mTarget;
  SnapshotVersion mSnapshot;
  SharedBytes mBody;
};

/** How many shards answered from one snapshot. */
struct SnapshotTally
{
  SnapshotVersion mSnapshot;
  std::uint32_t mShards = 0;
};

/** A request in progress. Invariant: mPending is the number of shards with the
    status kPending, mAnswered that of shards with kAnswered. */
struct Query
{
  CallerRequest mRequest;
  ServiceId mService;
  Revision mRevision;
  /** Keeps mServiceRecord valid when the configuration changes. */
  DeploymentPointer mDeployment;
  const Service* mServiceRecord = nullptr;
  /** The snapshot asked for; 0 asks each target for its newest. */
  SnapshotVersion mSnapshot;
  /** Whether all results must come from mSnapshot. Until then, mTallies counts
      the snapshots of the results received. */
  bool mIsSnapshotSettled = false;
  std::uint8_t mRestarts = 0;
  std::vector<SnapshotTally> mTallies;
  std::vector<OtherSnapshotResult> mOtherSnapshotResults;
  TimePoint mStarted;
  /** When the answer must be sent. */
  TimePoint mDeadline;
  /** How long an attempt may take before it is hedged; 0 disables hedging. */
  DelayByDistance mHedgeDelay;
  /** How often the hedge timer was armed. */
  std::uint8_t mHedgePasses = 0;
  /** How long after the start an early answer is delayed. */
  Duration mGrace{};
  std::vector<ShardProgress> mShards;
  std::uint32_t mPending = 0;
  std::uint32_t mAnswered = 0;
  /** Set when an attempt may have run although its result is unknown. */
  bool mMayHaveRun = false;
  /** Set when a shard became missing because its replicas lack mSnapshot, until
      ReconsiderSnapshot() has looked for a better snapshot. */
  bool mMustReconsiderSnapshot = false;
  /** Whether the timer for an early answer is armed. */
  bool mIsGraceArmed = false;
};

/** An attempt in flight and the shard of the query that it belongs to. */
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

/** Whether the coordinator sends work to a target. */
enum class TargetAvailability : std::uint8_t
{
  kInUse,
  /** Failed repeatedly: gets probes, and work only when no other replica can
      take it. */
  kEjected,
  /** Announced that it is shutting down: gets probes only. */
  kDraining,
};

/** What the coordinator has observed of a target. */
struct TargetObservation
{
  ServiceId mService;
  /** Mean latency, weighted towards the present, in nanoseconds; 0 before the
      first reply. */
  double mLatency = 0;
  /** The share of attempts that succeeded, weighted towards the present. */
  double mSuccess = 1;
  std::uint32_t mInFlight = 0;
  /** Consecutive failures. */
  std::uint32_t mFailures = 0;
  TargetAvailability mAvailability = TargetAvailability::kInUse;
  /** When a target that is ejected or draining may next be probed. */
  TimePoint mNextProbe{};
  Duration mProbeInterval{};
  TimePoint mLastAsked{};
  /** When mHeldSnapshots was last confirmed. */
  TimePoint mSnapshotsSeen{};
  std::vector<SnapshotVersion> mHeldSnapshots;
};

/** What the coordinator has observed of a service. */
struct ServiceObservation
{
  /** Latencies of attempts: of all, and by distance. */
  LatencyHistogram mLatency;
  LatencyHistogram mOwnZoneLatency;
  LatencyHistogram mOtherZoneLatency;
  ExtraAttemptBudget mBudget;
  AdmissionState mAdmission;
  Revision mRevision;
  /** The number of targets that are ejected or draining, for the configuration
      mRevision. */
  std::uint32_t mTargetsOutOfUse = 0;
  /** Increases when a target is seen to hold other snapshots than before. */
  std::uint64_t mSnapshotEpoch = 1;
  /** The snapshot chosen for searches of the whole service when mSnapshotEpoch
      was mChosenEpoch. */
  SnapshotVersion mChosenSnapshot;
  std::uint64_t mChosenEpoch = 0;
  /** When an exhausted budget for extra attempts was last logged. */
  TimePoint mBudgetExhaustionLogged{};
};

/** The whole state of the coordinator. */
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
