/*
 * What is known of one target, and the connections to it.
 */
#pragma once

#include "ForwarderEffect.h"
#include "ForwarderEvent.h"
#include "LatencyEstimate.h"

#include <deque>
#include <vector>

namespace wasabispread::forwarding {

struct ForwarderState;

/** Identifies a request under way within one forwarder. */
using RequestKey = StrongType<struct RequestKeyTag, std::uint64_t>;

/** One leg of a request: its whole, or one shard of a search. */
struct LegRef
{
  RequestKey mRequest;
  std::uint32_t mLeg = 0;

  friend bool operator==(const LegRef&, const LegRef&) = default;
};

enum class ConnectionStatus : std::uint8_t
{
  kOpening,
  kIdle,
  kBusy,
};

/** A connection to a target. */
struct TargetConnection
{
  ConnectionId mId;
  TargetKey mTarget;
  ConnectionStatus mStatus = ConnectionStatus::kOpening;
  /** The leg in flight while busy. */
  LegRef mLeg;
  RouteId mRoute;
  /** When the request in flight was sent, or the opening began. */
  TimePoint mSent{};
  /** Whether it ever carried a reply. */
  bool mHasServed = false;
  /** When a reply that nobody waits for is given up; TimePoint::max() while
      a leg waits for it. */
  TimePoint mAbandonAt = TimePoint::max();
  /** When an idle connection is closed, before the target closes it. */
  TimePoint mIdleUntil = TimePoint::max();
};

/** The latency of one route's requests at a target. */
struct RouteLatency
{
  RouteId mRoute;
  LatencyEstimate mEstimate;
};

/** One start of a target. Invariant: the connections named are in
    ForwarderState::mConnections, each with this target; mIdle are the idle
    ones, the one used last at the back. */
struct TargetState
{
  TargetKey mKey;
  TargetRecord mRecord;
  /** Until when it is slow after its start. */
  TimePoint mWarmUntil{};
  /** Whether it gets no more requests. */
  bool mIsRetired = false;
  /** Whether this VM connects to it as a rule; others only when none of its
      own can be had. */
  bool mIsAssigned = true;
  /** When its entry vanished; TimePoint::max() while it is there. */
  TimePoint mMissingSince = TimePoint::max();
  std::vector<ConnectionId> mConnections;
  std::vector<ConnectionId> mIdle;
  std::deque<LegRef> mWaiting;
  std::vector<RouteLatency> mLatencies;
  /** The share of exchanges that failed, 0 to 1, weighted towards the
      present, as of mFailureSeen. */
  double mFailureShare = 0;
  TimePoint mFailureSeen{};
  /** No connection is opened before this time. */
  TimePoint mConnectAfter{};
  Duration mConnectBackoff{};

  std::size_t BusyCount(const ForwarderState& aState) const;
};

/** The connections that this VM may have to the target. */
std::size_t
ConnectionShare(const ForwarderState& aState,
                const TargetState& aTarget,
                TimePoint aNow);

/** Whether a further connection may be opened now. */
bool
MayConnect(const ForwarderState& aState,
           const TargetState& aTarget,
           TimePoint aNow);

void
OpenTargetConnection(ForwarderState& aState,
                     TargetState& aTarget,
                     TimePoint aNow,
                     ForwarderEffects& aEffects);

/** Closes a connection and forgets it. */
void
CloseTargetConnection(ForwarderState& aState,
                      ConnectionId aConnection,
                      ForwarderEffects& aEffects);

/** Opens a first connection to the target if it is in use and has none. */
void
KeepWarm(ForwarderState& aState,
         TargetState& aTarget,
         TimePoint aNow,
         ForwarderEffects& aEffects);

/** Ends a target's use; requests in flight finish. */
void
RetireTarget(ForwarderState& aState,
             TargetState& aTarget,
             TimePoint aNow,
             ForwarderEffects& aEffects);

/** Forgets a retired target that has no connections left. */
void
ForgetIfUnused(ForwarderState& aState, TargetKey aTarget);

/** Marks a connection as free for the next request, or closes it. */
void
ReleaseConnection(ForwarderState& aState,
                  ConnectionId aConnection,
                  bool aIsReusable,
                  std::optional<Duration> aKeepAlive,
                  TimePoint aNow,
                  ForwarderEffects& aEffects);

/** Forgets a connection that has ended or could not be had. */
void
DropConnection(ForwarderState& aState, ConnectionId aConnection);

/** Counts an exchange as failed or not. */
void
ObserveOutcome(TargetState& aTarget, bool aIsFailure, TimePoint aNow);

/** The share of failures as of now: old failures fade. */
double
FailureShare(const TargetState& aTarget, TimePoint aNow);

LatencyEstimate&
LatencyOf(TargetState& aTarget, RouteId aRoute);

const LatencyEstimate*
FindLatency(const TargetState& aTarget, RouteId aRoute);

} // namespace wasabispread::forwarding
