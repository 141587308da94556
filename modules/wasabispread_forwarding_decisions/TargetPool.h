/*
 * The state of one target, and the connections to it.
 */
#pragma once

#include "ForwarderEffect.h"
#include "ForwarderEvent.h"
#include "LatencyEstimate.h"
#include "LoadPace.h"
#include "RequestLimit.h"
#include "TargetPause.h"

#include <deque>
#include <vector>

namespace wasabispread::forwarding {

struct ForwarderState;

/** Identifies a request in progress within one forwarder. */
using RequestKey = StrongType<struct RequestKeyTag, std::uint64_t>;

/** Refers to one sub-request: a whole request, or one shard's part of a
    search. */
struct SubRequestRef
{
  RequestKey mRequest;
  std::uint32_t mIndex = 0;

  friend bool operator==(const SubRequestRef&, const SubRequestRef&) = default;
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
  /** The sub-request in flight while the connection is busy. */
  SubRequestRef mSubRequest;
  RouteId mRoute;
  /** When the request in flight was sent, or when opening began. */
  TimePoint mSent{};
  /** How many requests of this VM were in flight at the target then, this one
      included. */
  std::size_t mInFlight = 0;
  /** Whether it has carried a reply. */
  bool mHasCarriedReply = false;
  /** When the connection is closed although a reply, which no sub-request needs
      any more, is outstanding; TimePoint::max() while a sub-request waits for
      the reply. */
  TimePoint mAbandonAt = TimePoint::max();
  /** When the idle connection is closed, before the target closes it. */
  TimePoint mIdleUntil = TimePoint::max();
  /** When the target closes it. */
  TimePoint mKeptUntil = TimePoint::max();
};

/** The latency of one route's requests at a target. */
struct RouteLatency
{
  RouteId mRoute;
  LatencyEstimate mEstimate;
};

/** One start of a target. Invariant: the connections listed are in
    ForwarderState::mConnections, each with this target; mIdle holds the idle
    ones, the one used last at the back. */
struct TargetState
{
  TargetKey mKey;
  TargetRecord mRecord;
  /** Until when it counts as slow after its start. */
  TimePoint mWarmUntil{};
  /** Whether it gets no more requests. */
  bool mIsRetired = false;
  /** Whether this VM normally connects to it. Targets that are not assigned are
      used only when none of the assigned ones is available. */
  bool mIsAssigned = true;
  /** When its entry vanished; TimePoint::max() while the entry exists. */
  TimePoint mEntryMissingSince = TimePoint::max();
  std::vector<ConnectionId> mConnections;
  std::vector<ConnectionId> mIdle;
  std::deque<SubRequestRef> mWaiting;
  std::vector<RouteLatency> mLatencies;
  /** The share of exchanges that failed, 0 to 1, weighted towards recent ones,
      as of mFailureShareTime. */
  double mFailureShare = 0;
  TimePoint mFailureShareTime{};
  /** The earliest time at which a further connection may be opened. */
  TimePoint mConnectAfter{};
  Duration mConnectBackoff{};
  RequestLimit mLimit;
  /** What the configuration allows while the target is cold. */
  RequestLimit mColdLimit;
  /** What it last stated about its load, and when. */
  std::optional<StatedLoad> mLoad;
  TimePoint mLoadTime{};
  /** How much load it takes well, as this VM measured it. */
  TargetCapacity mCapacity;
  /** Until when the target wants no request. */
  TimePoint mPausedUntil{};
  /** The requests per second that are usual for it, as of the begin of its last
      pause. */
  double mRateBeforePause = 0;
  SendRate mSendRate;
  LoadPace mPace;

  std::size_t BusyCount(const ForwarderState& aState) const;
};

/** The number of connections that this VM may have to the target. */
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

/** Closes a connection and removes it from the state. */
void
CloseTargetConnection(ForwarderState& aState,
                      ConnectionId aConnection,
                      ForwarderEffects& aEffects);

/** Whether a request can be sent to the target on an idle connection. Closes
    those whose keep-alive time is over, or nearly over while another one may be
    opened: the target may be closing them, and their timers may be late. */
bool
HasUsableIdle(ForwarderState& aState,
              TargetState& aTarget,
              TimePoint aNow,
              ForwarderEffects& aEffects);

/** Counts a request that is going to be sent to the target, against its limit
    and its pace. */
void
CountSend(TargetState& aTarget, TimePoint aNow);

/** Opens a first connection to the target if it has none and is assigned,
    routes lead to it, it is not in a pause, and the settle time after the start
    is over. */
void
EnsureConnection(ForwarderState& aState,
                 TargetState& aTarget,
                 TimePoint aNow,
                 ForwarderEffects& aEffects);

/** Opens one more connection if more sub-requests wait for the target than
    connections are opening. */
void
OpenForWaiting(ForwarderState& aState,
               TargetState& aTarget,
               TimePoint aNow,
               ForwarderEffects& aEffects);

/** Ends the use of a target. Requests in flight finish; waiting ones move to
    other targets. */
void
RetireTarget(ForwarderState& aState,
             TargetState& aTarget,
             TimePoint aNow,
             ForwarderEffects& aEffects);

/** Removes a retired target that has no connections left from the state. */
void
RemoveIfUnused(ForwarderState& aState, TargetKey aTarget);

/** Marks a connection as free for the next request, or closes it when it cannot
    be reused or its target is retired. */
void
ReleaseConnection(ForwarderState& aState,
                  ConnectionId aConnection,
                  bool aIsReusable,
                  std::optional<Duration> aKeepAlive,
                  TimePoint aNow,
                  ForwarderEffects& aEffects);

/** Removes a connection that has ended or could not be opened from the
    state. */
void
DropConnection(ForwarderState& aState, ConnectionId aConnection);

/** Records whether an exchange with the target failed. */
void
RecordOutcome(TargetState& aTarget, bool aIsFailure, TimePoint aNow);

/** The share of failures as of now: old failures lose weight. */
double
FailureShare(const TargetState& aTarget, TimePoint aNow);

/** The targets that take fewer requests of this VM well than they have slots.
 */
std::size_t
CountSlowUnderLoad(const ForwarderState& aState, TimePoint aNow);

LatencyEstimate&
LatencyOf(TargetState& aTarget, RouteId aRoute);

const LatencyEstimate*
FindLatency(const TargetState& aTarget, RouteId aRoute);

} // namespace wasabispread::forwarding
