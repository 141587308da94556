/*
 * One record for each routing or placement decision, for the log.
 */
#pragma once

#include "Answer.h"
#include "ControlMessage.h"

#include <string>
#include <variant>
#include <vector>

namespace wasabispread {

/** How many attempts of a plan went to one owner. */
struct PlannedBatch
{
  VmId mOwner;
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
struct MemberJudged
{
  VmId mVm;
  MemberCondition mCondition = MemberCondition::kSuspect;
};

using DecisionRecord = std::variant<QueryPlanned,
                                    QueryAnswered,
                                    AttemptRetried,
                                    RequestRefused,
                                    ConfigurationAdopted,
                                    ConfigurationRejected,
                                    MembershipChanged,
                                    MemberJudged>;

} // namespace wasabispread
