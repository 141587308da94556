/*
 * A request under way.
 */
#pragma once

#include "Routing.h"
#include "TargetPool.h"

#include <memory>
#include <optional>
#include <vector>

namespace wasabispread::forwarding {

enum class LegStatus : std::uint8_t
{
  kPending,
  kAnswered,
  kFailed,
};

/** One sending of a leg. */
struct Sending
{
  TargetKey mTarget;
  ConnectionId mConnection;
  TimePoint mSent{};
  /** When another target is tried beside this one. */
  TimePoint mHedgeAt{};
};

/** The whole of a request, or one shard of a search. */
struct Leg
{
  ServiceId mService;
  LegStatus mStatus = LegStatus::kPending;
  /** Sendings without a result yet. */
  std::vector<Sending> mInFlight;
  /** Whether another VM queries it. */
  bool mIsDelegated = false;
  /** The target for whose connection the leg waits; 0 when it does not. */
  TargetKey mWaitingAt;
  TimePoint mWaitingSince{};
  /** Targets that it was sent to. */
  std::vector<TargetKey> mTried;
  unsigned mAttempts = 0;
  /** Targets at which it ran or may have run, those in flight included. */
  unsigned mRuns = 0;
  /** How the last sending failed. */
  ReplyKind mLastFailure = ReplyKind::kNotRun;
  /** The reply that counts, or the last failure that a target replied. */
  std::shared_ptr<const Reply> mReply;
};

/** Legs of a search that another VM queries. */
struct Delegate
{
  std::string mVm;
  std::uint64_t mSequence = 0;
  /** Positions in RequestState::mLegs. */
  std::vector<std::uint32_t> mLegs;
  TimePoint mSent{};
  /** Whether the VM said that it began. */
  bool mHasBegun = false;
  /** Whether nothing more is expected from it. */
  bool mIsOver = false;
};

/** The VM for which this one queries some shards. */
struct SubSearchOrigin
{
  VmId mVm;
  Endpoint mAddress;
  std::uint64_t mSequence = 0;
  /** Whether that VM knows that the work began. */
  bool mIsConfirmed = false;
  /** Of each leg, whether its result was sent. */
  std::vector<bool> mIsReported;
};

/** Where a sub-search belongs. */
struct SubSearchRef
{
  RequestKey mRequest;
  /** Position in RequestState::mDelegates. */
  std::size_t mDelegate = 0;
};

/** A request under way. Invariant: mAnswered and mPending count the legs in
    these states. */
struct RequestState
{
  RequestKey mKey;
  ForwardedRequestPointer mRequest;
  /** Keeps mRoute alive across changes of configuration. */
  RoutingPointer mConfiguration;
  const Route* mRoute = nullptr;
  /** What mRoute points to when it is part of no configuration. */
  std::shared_ptr<const Route> mOwnRoute;
  /** None for a caller's request. */
  std::optional<SubSearchOrigin> mOrigin;
  std::vector<Delegate> mDelegates;
  /** The greatest records of the shards that each delegate reported. */
  std::vector<std::string> mDelegatedRecords;
  TimePoint mArrived{};
  /** When a partial answer is due. */
  TimePoint mAimAt{};
  /** When the answer must leave. */
  TimePoint mDeadline{};
  std::vector<Leg> mLegs;
  std::size_t mAnswered = 0;
  std::size_t mPending = 0;
  unsigned mHedges = 0;
  unsigned mRetries = 0;
  /** When the earliest timer for this request fires. */
  TimePoint mReviewAt = TimePoint::max();

  /** The most targets at which one leg may run. For an unconfirmed sub-search
      it is one, since the VM that asked may be sending the leg itself. */
  unsigned MostTargets() const
  {
    return mOrigin && !mOrigin->mIsConfirmed ? 1 : mRoute->mMaxTargets;
  }
};

} // namespace wasabispread::forwarding
