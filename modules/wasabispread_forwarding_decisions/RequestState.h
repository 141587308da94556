/*
 * The state of a request in progress.
 */
#pragma once

#include "Routing.h"
#include "TargetPool.h"
#include "organisations/QuotaState.h"

#include <memory>
#include <optional>
#include <vector>

namespace wasabispread::forwarding {

enum class SubRequestStatus : std::uint8_t
{
  kPending,
  kAnswered,
  kFailed,
};

/** One attempt of a sub-request: it was sent once to one target. */
struct Attempt
{
  TargetKey mTarget;
  ConnectionId mConnection;
  TimePoint mSent{};
  /** When a hedge to another target is due. */
  TimePoint mHedgeAt{};
};

/** A whole request, or one shard's part of a search. */
struct SubRequest
{
  ServiceId mService;
  SubRequestStatus mStatus = SubRequestStatus::kPending;
  /** Attempts without a result yet. */
  std::vector<Attempt> mInFlight;
  /** Whether a shard owner on another VM queries it. */
  bool mIsAtShardOwner = false;
  /** The target for whose connection the sub-request waits; 0 when it does not
      wait. */
  TargetKey mAwaitedTarget;
  TimePoint mWaitingSince{};
  /** When the pause ends for which the sub-request waits; TimePoint::max() when
      it does not wait for one. */
  TimePoint mDispatchAt = TimePoint::max();
  /** The targets that it was sent to. */
  std::vector<TargetKey> mTriedTargets;
  unsigned mAttempts = 0;
  /** The number of targets at which it ran or may have run, including those
      with an attempt in flight. */
  unsigned mPossibleRuns = 0;
  /** How the last attempt failed. */
  ReplyKind mLastFailure = ReplyKind::kNotRun;
  /** The successful reply, or the last failure that a target replied. */
  std::shared_ptr<const Reply> mReply;
};

/** The sub-requests of a search that a shard owner on another VM queries. */
struct SentSubSearch
{
  std::string mVm;
  std::uint64_t mSequence = 0;
  /** The positions in RequestState::mSubRequests. */
  std::vector<std::uint32_t> mSubRequests;
  TimePoint mSent{};
  /** How long its acknowledgement is awaited. */
  Duration mAcknowledgeWait{};
  /** Whether that VM acknowledged that it has begun. */
  bool mIsAcknowledged = false;
  /** How much earlier than the soft deadline it was asked to report. */
  Duration mReportLead{};
  bool mHasReported = false;
  /** Whether no more results are expected from it. */
  bool mIsFinished = false;
  /** Whether the VM stated that it did not begin. */
  bool mHasNotRun = false;
};

/** The VM for which this one, as a shard owner, queries shards. */
struct SubSearchOrigin
{
  VmId mVm;
  Endpoint mAddress;
  std::uint64_t mSequence = 0;
  /** Whether that VM confirmed that it knows the work has begun. */
  bool mIsConfirmed = false;
  /** For each sub-request, whether its result was reported. */
  std::vector<bool> mIsReported;
};

/** Refers to a sub-search that a request sent. */
struct SubSearchRef
{
  RequestKey mRequest;
  /** The position in RequestState::mSentSubSearches. */
  std::size_t mIndex = 0;
};

/** A request in progress. Invariant: mAnswered and mPending count the
    sub-requests in these states. */
struct RequestState
{
  RequestKey mKey;
  ForwardedRequestPointer mRequest;
  /** Keeps mRoute alive when the configuration changes. */
  RoutingPointer mConfiguration;
  const Route* mRoute = nullptr;
  /** The route that mRoute points to when it is not part of a configuration, as
      for a sub-search. */
  std::shared_ptr<const Route> mOwnRoute;
  /** Whose request it is. */
  RequestOwner mOwner;
  QuotaSource mQuotaSource = QuotaSource::kNone;
  TimePoint mQuotaTaken{};
  /** The origin of a sub-search; none for a caller's request. */
  std::optional<SubSearchOrigin> mOrigin;
  std::vector<SentSubSearch> mSentSubSearches;
  /** The greatest records that shard owners on other VMs reported. */
  std::vector<std::string> mSubSearchRecords;
  TimePoint mArrived{};
  /** When an answer in part is sent if the minimum coverage is reached. */
  TimePoint mSoftDeadline{};
  /** When the answer must be sent. */
  TimePoint mDeadline{};
  /** When the minimum coverage was reached; TimePoint::max() until then. */
  TimePoint mMinCoverageAt = TimePoint::max();
  std::vector<SubRequest> mSubRequests;
  std::size_t mAnswered = 0;
  std::size_t mPending = 0;
  /** When a request that did not run is worth another try, as another VM
      stated. */
  std::optional<Duration> mRetryAfter;
  unsigned mHedges = 0;
  unsigned mRetries = 0;
  /** When the earliest timer of this request fires. */
  TimePoint mReviewAt = TimePoint::max();

  /** The maximum number of targets at which one sub-request may run. It is 1
      for an unconfirmed sub-search, because the VM that sent it may query the
      shard itself too. */
  unsigned MaxTargets() const
  {
    return mOrigin && !mOrigin->mIsConfirmed ? 1 : mRoute->mMaxTargets;
  }
};

} // namespace wasabispread::forwarding
