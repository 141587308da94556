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
  /** The target for whose connection the leg waits; 0 when it does not. */
  TargetKey mWaitingAt;
  TimePoint mWaitingSince{};
  /** Targets that it was sent to. */
  std::vector<TargetKey> mTried;
  unsigned mSendings = 0;
  /** Targets at which it ran or may have run, those in flight included. */
  unsigned mRuns = 0;
  /** How the last sending failed. */
  ReplyKind mLastFailure = ReplyKind::kNotRun;
  /** The reply that counts, or the last failure that a target replied. */
  std::shared_ptr<const Reply> mReply;
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
};

} // namespace wasabispread::forwarding
