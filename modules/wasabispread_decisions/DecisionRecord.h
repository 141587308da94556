/*
 * Records of the decisions about routing, placement, membership and
 * configuration, for the log.
 */
#pragma once

#include "Answer.h"
#include "ControlMessage.h"
#include "PlacementState.h"

#include <string>
#include <variant>
#include <vector>

namespace wasabispread {

/** How many attempts of a plan were sent to one target owner. */
struct PlannedBatch
{
  VmId mTargetOwner;
  std::uint32_t mItems = 0;
};

/** A request was planned. */
struct QueryPlanned
{
  RequestId mRequestId;
  ServiceId mService;
  Operation mOperation = Operation::kSearch;
  Revision mRevision;
  SnapshotVersion mSnapshot;
  Duration mBudget{};
  std::vector<PlannedBatch> mBatches;
  /** The number of shards for which no attempt could be planned. */
  std::uint32_t mUnroutable = 0;
};

/** A request ended. */
struct QueryAnswered
{
  RequestId mRequestId;
  SnapshotVersion mSnapshot;
  std::uint32_t mShardsAsked = 0;
  std::uint32_t mShardsAnswered = 0;
  Duration mElapsed{};
  /** The error's kind; empty when the request got an answer. */
  std::string mError;
};

/** A failed attempt was followed by one at another target, or again at the
    same. */
struct AttemptRetried
{
  RequestId mRequestId;
  ShardIndex mShard;
  TargetId mFrom;
  TargetId mTo;
  MissingReason mReason = MissingReason::kTimeout;
};

/** A request was refused before anything was sent. */
struct RequestRefused
{
  RequestId mRequestId;
  std::string mService;
  std::string mError;
};

/** A configuration was adopted. */
struct ConfigurationAdopted
{
  Revision mRevision;
  Revision mPrevious;
  std::string mChangeId;
};

/** A configuration was rejected. */
struct ConfigurationRejected
{
  Revision mRevision;
  Revision mCurrent;
  std::string mReason;
};

/** The set of VMs that may own targets changed. */
struct MembershipChanged
{
  std::uint32_t mLive = 0;
  std::uint32_t mLeaving = 0;
};

/** A VM was suspected or declared dead after unanswered probes. */
struct MemberConditionChanged
{
  VmId mVm;
  MemberCondition mCondition = MemberCondition::kSuspect;
};

/** A target owner is avoided for a while. */
struct OwnerAvoided
{
  VmId mTargetOwner;
  AvoidanceReason mReason = AvoidanceReason::kLost;
};

/** This VM's share of the connections to a group of targets changed. */
struct ShareChanged
{
  ServiceId mService;
  ZoneName mZone;
  std::uint64_t mGroup = 0;
  /** Connections to each target of the group. */
  std::uint32_t mPrevious = 0;
  std::uint32_t mShare = 0;
};

/** This VM, as a target owner, suspended a target or resumed it. A suspended
    target gets no new work. */
struct TargetWorkSuspended
{
  TargetId mTarget;
  /** False when the target was resumed. */
  bool mIsSuspended = true;
};

/** The process did not run for a while, so its view of other VMs and targets
    may be out of date. */
struct PauseDetected
{
  Duration mLength{};
};

/** One hedge: the target whose attempt is slow, and the target asked in
    addition. */
struct HedgedShard
{
  ShardIndex mShard;
  TargetId mFrom;
  TargetId mTo;
};

/** Slow shards of a request got a second attempt. */
struct AttemptsHedged
{
  RequestId mRequestId;
  /** The longest time after which an attempt of this request counts as slow. */
  Duration mDelay{};
  std::vector<HedgedShard> mHedges;
};

/** A hedge or retry was not sent because the service's budget for extra
    attempts is exhausted. */
struct ExtraAttemptBudgetExhausted
{
  RequestId mRequestId;
  ServiceId mService;
  /** The declared ratio of extra attempts to answered shards. */
  double mExtraLoad = 0;
};

/** A target failed repeatedly; it gets probes, and work only when no other
    replica can take it. */
struct TargetEjected
{
  TargetId mTarget;
  MissingReason mReason = MissingReason::kTimeout;
  std::uint32_t mFailures = 0;
};

/** An ejected target answered again and gets work. */
struct TargetRestored
{
  TargetId mTarget;
};

/** A search changed to another version of the index. */
struct SnapshotChanged
{
  RequestId mRequestId;
  SnapshotVersion mFrom;
  SnapshotVersion mTo;
  /** Number of shards that got another attempt for this reason. */
  std::uint32_t mAskedAgain = 0;
};

/** The result of a claim on an idempotency key. */
enum class ClaimDecision : std::uint8_t
{
  kMade,
  /** Another request has claimed the key. */
  kDuplicate,
  /** The store did not confirm the claim in time, or this VM's allowance of
      writes is used up. */
  kFailed,
  /** The claim was made but its request is not run, because the claim came too
      late or the service changed; it is released. */
  kReleased,
};

/** The name used in logs. */
std::string_view
ToText(ClaimDecision aDecision);

/** A claim on an idempotency key was made, refused or released. */
struct ClaimDecided
{
  RequestId mRequestId;
  std::string mService;
  ClaimDecision mDecision = ClaimDecision::kMade;
};

using DecisionRecord = std::variant<QueryPlanned,
                                    QueryAnswered,
                                    AttemptRetried,
                                    RequestRefused,
                                    ConfigurationAdopted,
                                    ConfigurationRejected,
                                    MembershipChanged,
                                    MemberConditionChanged,
                                    OwnerAvoided,
                                    ShareChanged,
                                    TargetWorkSuspended,
                                    PauseDetected,
                                    AttemptsHedged,
                                    ExtraAttemptBudgetExhausted,
                                    TargetEjected,
                                    TargetRestored,
                                    SnapshotChanged,
                                    ClaimDecided>;

} // namespace wasabispread
