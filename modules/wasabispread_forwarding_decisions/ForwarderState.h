/*
 * Everything that a forwarder remembers.
 */
#pragma once

#include "ExtraAttemptBudget.h"
#include "Membership.h"
#include "RequestState.h"
#include "ShardOwnership.h"
#include "StoreFollower.h"

#include <unordered_map>
#include <unordered_set>

namespace wasabispread::forwarding {

/** What a timer is for; its key's meaning follows from it. */
enum class ForwarderTimer : std::uint8_t
{
  /** Key: the request whose next step may be due. */
  kReview,
  /** Key: the connection whose reply nobody waits for. */
  kAbandoned,
  /** Key: the target to which a connection may be opened again. */
  kReconnect,
  /** Key: the idle connection. */
  kIdle,
  /** No key: the next call to follow the store. */
  kFollowStore,
  /** Key: the target whose entry vanished. */
  kLapse,
  /** No key: the VMs that start together have entered, or one that was
      suspected may own shards again. */
  kFleetSettled,
  /** No key. */
  kLease,
  /** No key. */
  kAskPeer,
};

/** What a forwarder is told at its start. */
struct ForwarderPolicy
{
  std::string mName;
  ZoneName mZone;
  Endpoint mPeerAddress;
  /** The part of a processor core that this VM has. */
  double mProcessorShare = 1;
  ExtraAttemptRule mExtraAttemptRule;
  /** The round trip to callers. */
  Duration mCallerRoundTrip = std::chrono::milliseconds(6);
  /** How long a target whose entry vanished while the store was away may take
      to enter again. */
  Duration mLapseGrace = std::chrono::seconds(2);
};

/** Counts that metrics show. */
struct ForwarderCounters
{
  std::uint64_t mRequests = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mAnsweredInFull = 0;
  std::uint64_t mAnsweredInPart = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mCallersDisconnected = 0;
  std::uint64_t mAttempts = 0;
  std::uint64_t mHedges = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mExtraAttemptsDenied = 0;
  std::uint64_t mSubSearches = 0;
  std::uint64_t mConnectionsOpened = 0;
  std::uint64_t mConnectionFailures = 0;
  std::uint64_t mStoreCalls = 0;
  std::uint64_t mStoreFailures = 0;
  std::uint64_t mUnreadableEntries = 0;
};

/** How new an entry is: a later start's is newer, then a higher count. */
struct EntryAge
{
  std::uint64_t mBorn = 0;
  std::uint64_t mSequence = 0;

  friend auto operator<=>(const EntryAge&, const EntryAge&) = default;
};

/** What is known of one route across versions. */
struct RouteKnowledge
{
  SplitState mSplit;
  /** The longest patience that a caller had; one with less is repeating and
      has spent the difference. */
  Duration mLongestPatience{};
  /** The latency at all targets. */
  LatencyEstimate mLatency;
};

/** A forwarder's whole state. Reduce() alone changes it. */
struct ForwarderState
{
  ForwarderPolicy mPolicy;
  Random mRandom;
  TimePoint mStarted{};
  StoreState mStore;
  FleetState mFleet;
  ShardOwnership mShardOwnership;
  RoutingPointer mConfiguration;
  /** mConfiguration as the store holds it. */
  SharedBytes mConfigurationText;
  TimePoint mConfigurationSince{};
  std::unordered_map<TargetKey, TargetState> mTargets;
  std::unordered_map<InstanceId, TargetKey> mTargetOfInstance;
  /** The targets of a service that are not retired. */
  std::unordered_map<ServiceId, std::vector<TargetKey>> mTargetsOfService;
  std::unordered_map<ConnectionId, TargetConnection> mConnections;
  std::unordered_map<RequestKey, RequestState> mRequests;
  std::unordered_map<CallerToken, RequestKey> mRequestOfCaller;
  /** Sub-searches at other VMs, by sequence. */
  std::unordered_map<std::uint64_t, SubSearchRef> mSubSearches;
  /** Sub-searches for other VMs, by VM and its sequence. */
  std::map<std::pair<VmId, std::uint64_t>, RequestKey> mSearchesForVms;
  std::unordered_map<RouteId, RouteKnowledge> mRoutes;
  std::unordered_map<ServiceId, WindowedExtraAttemptBudget> mBudgets;
  /** The services that a route of mConfiguration leads to. */
  std::unordered_set<ServiceId> mRoutedServices;
  /** The newest entry seen of each instance, also after its removal. */
  std::unordered_map<InstanceId, EntryAge> mEntryAges;
  TimerQueueOf<ForwarderTimer> mTimers;
  ForwarderCounters mCounters;
  /** When a target in another availability zone last answered or accepted a
      connection, and when one was last sent to. */
  TimePoint mHeardElsewhere{};
  TimePoint mSentElsewhere{};
  std::uint64_t mNextTarget = 1;
  std::uint64_t mNextConnection = 1;
  std::uint64_t mNextRequest = 1;
  /** Begins anywhere, so that no reply to an earlier life is taken. */
  std::uint64_t mNextSubSearch = 1;
  bool mIsStopping = false;

  /** Whether callers' requests can be served. */
  bool IsReady(TimePoint aNow) const;

  /** When a ForwarderTick is wanted; TimePoint::max() when none is. */
  TimePoint NextDue() const { return mTimers.NextDue(); }
};

/** The name of a service, or its id when no configuration names it. */
std::string
NameOf(const ForwarderState& aState, ServiceId aService);

} // namespace wasabispread::forwarding
