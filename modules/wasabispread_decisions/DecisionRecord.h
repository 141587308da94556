/*
 * One record for each routing or placement decision, for the log.
 */
#pragma once

#include "Answer.h"
#include "ControlMessage.h"
#include "PlacementState.h"

#include <string>
#include <variant>
#include <vector>

namespace wasabispread {

/** How many attempts of a plan went to one owner. */
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
  /** Shards that had no owner to ask. */
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
  /** The error's kind; empty when there is an answer. */
  std::string mError;
};

/** An attempt was sent again elsewhere. */
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

/** A configuration was not adopted. */
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

/** A VM was suspected or held dead after unanswered probes. */
struct MemberConditionChanged
{
  VmId mVm;
  MemberCondition mCondition = MemberCondition::kSuspect;
};

/** An owner is passed over. */
struct OwnerAvoided
{
  VmId mTargetOwner;
  AvoidanceReason mReason = AvoidanceReason::kLost;
};

/** This VM's share of a group's connections changed. */
struct ShareChanged
{
  ServiceId mService;
  ZoneName mZone;
  std::uint64_t mGroup = 0;
  /** Connections to each target of the group. */
  std::uint32_t mPrevious = 0;
  std::uint32_t mShare = 0;
};

/** A target gets no new work from this VM, or gets it again. */
struct TargetHeldBack
{
  TargetId mTarget;
  /** False when it is used again. */
  bool mIsHeldBack = true;
};

/** The process stood still, so that what it knew may be out of date. */
struct PauseDetected
{
  Duration mLength{};
};

/** A slow shard's second attempt. */
struct HedgedShard
{
  ShardIndex mShard;
  TargetId mFrom;
  TargetId mTo;
};

/** Slow shards of a request were asked once more. */
struct AttemptsHedged
{
  RequestId mRequestId;
  Duration mDelay{};
  std::vector<HedgedShard> mHedges;
};

/** A hedge or retry was not sent because the service's budget is spent. */
struct ExtraAttemptBudgetExhausted
{
  RequestId mRequestId;
  ServiceId mService;
  double mExtraLoad = 0;
};

/** A target gets no more work, but for probes. */
struct TargetEjected
{
  TargetId mTarget;
  MissingReason mReason = MissingReason::kTimeout;
  std::uint32_t mFailures = 0;
};

/** A target answered again and gets work. */
struct TargetRestored
{
  TargetId mTarget;
};

/** A request changed to another version of the index. */
struct SnapshotChanged
{
  RequestId mRequestId;
  SnapshotVersion mFrom;
  SnapshotVersion mTo;
  /** Shards asked again. */
  std::uint32_t mAskedAgain = 0;
};

/** What was decided about a claim on an idempotency key. */
enum class ClaimDecision : std::uint8_t
{
  kMade,
  /** Another request holds the key. */
  kDuplicate,
  /** The store did not take the claim in time, or its writes are spent. */
  kFailed,
  /** The claim was made too late and is given up. */
  kReleased,
};

/** The name used in logs. */
std::string_view
ToText(ClaimDecision aDecision);

/** A claim was decided on. */
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
                                    TargetHeldBack,
                                    PauseDetected,
                                    AttemptsHedged,
                                    ExtraAttemptBudgetExhausted,
                                    TargetEjected,
                                    TargetRestored,
                                    SnapshotChanged,
                                    ClaimDecided>;

} // namespace wasabispread
