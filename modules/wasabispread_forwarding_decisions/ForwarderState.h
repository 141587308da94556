/*
 * The whole state of a forwarder.
 */
#pragma once

#include "AnswerReserve.h"
#include "ChangeRelay.h"
#include "ExtraAttemptBudget.h"
#include "HoldUp.h"
#include "Membership.h"
#include "RequestState.h"
#include "ShardOwnership.h"
#include "Shutdown.h"
#include "StoreFollower.h"
#include "StoreFreshness.h"
#include "organisations/QuotaState.h"
#include "placement/Evacuation.h"
#include "store/EntryOrder.h"
#include "store/StoreEra.h"

#include <unordered_map>
#include <unordered_set>

namespace wasabispread::forwarding {

/** What a timer is for. The meaning of its key follows from it. */
enum class ForwarderTimer : std::uint8_t
{
  /** Key: the request whose next step may be due. */
  kReview,
  /** Key: the connection with a request whose reply is not needed any more. */
  kAbandoned,
  /** Key: the target to which a connection may be opened again. */
  kReconnect,
  /** Key: the idle connection. */
  kIdle,
  /** No key: the next call to follow the store is due. */
  kFollowStore,
  /** No key: reports if the store has not answered for a while. */
  kReportSilence,
  /** No key: the store's revision is read if the knowledge is too old. */
  kCheckStore,
  /** Key: the watch that should have delivered a revision by now. */
  kWatchOverdue,
  /** Key: the target whose entry is missing from the store. */
  kEntryMissing,
  /** No key: overtaken entries that the store still has are confirmed. */
  kConfirmEntries,
  /** Key: the target that takes requests again. */
  kPauseEnd,
  /** No key: assignments are computed again, because VMs that started together
      have registered or an avoided VM may own shards again. */
  kRefreshAssignments,
  /** No key: the lease is requested again or renewed. */
  kLease,
  /** No key: the next VM is asked for its routing. */
  kRequestPeerRouting,
  /** Key: the sequence of the request for changes that was not answered. */
  kRelayTimeout,
  /** No key: a VM that waits for changes gets an answer without any. */
  kChangesReply,
  /** No key: claims to grant quota are written or renewed. */
  kQuotaClaims,
  /** No key: used quota is reported and held quota extended. */
  kQuota,
  /** Key: the sequence of the question for quota that was not answered. */
  kQuotaAnswer,
  /** No key: what is missing since the store came back from a copy is gone. */
  kEraSettled,
};

/** The settings that a forwarder gets at its start. */
struct ForwarderPolicy
{
  std::string mName;
  ZoneName mZone;
  Endpoint mPeerAddress;
  /** The share of a processor core that this VM has. */
  double mProcessorShare = 1;
  ExtraAttemptRule mExtraAttemptRule;
  /** Round-trip time to callers. */
  Duration mCallerRoundTrip = std::chrono::milliseconds(6);
  /** How long a target may take to register again whose entry vanished while
      the store was unavailable. */
  Duration mReregistrationGrace = std::chrono::seconds(2);
  /** How often a target writes its entry; the store removes the entry of one
      that is silent for three times as long. */
  Duration mTargetHeartbeat = std::chrono::milliseconds(1200);
  KnowledgeRule mKnowledgeRule;
  /** How long after it was written a configuration has to be in force. */
  Duration mConfigurationTime = std::chrono::seconds(5);
  QuotaRule mQuotaRule;
  ColdRule mColdRule;
  /** The region of each zone. */
  std::map<ZoneName, RegionName> mRegionOfZone;
};

/** Counters that are exported as metrics. */
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
  /** Requests rejected for their key, and refused because the knowledge of keys
      was too old. */
  std::uint64_t mUnauthorised = 0;
  std::uint64_t mKnowledgeTooOld = 0;
  /** Requests refused because their organisation's quota was used up, or
      because nobody granted any. */
  std::uint64_t mOverQuota = 0;
  std::uint64_t mQuotaUnavailable = 0;
  /** Requests that waited for quota. */
  std::uint64_t mWaitedForQuota = 0;
  /** Answers of this VM that denied quota. */
  std::uint64_t mQuotaDenied = 0;
  /** Statements of targets about their load that could not be read. */
  std::uint64_t mUnreadableLoads = 0;
};

/** What is kept for a route across versions of the configuration. */
struct RouteState
{
  SplitState mSplit;
  /** The longest timeout that a caller stated. A caller that states a shorter
      one is taken to be retrying, with the difference already spent. */
  Duration mLongestCallerTimeout{};
  /** The soft timeout in the configuration that was used last. */
  Duration mSoftTimeout{};
  /** The latency of the route's requests over all targets. */
  LatencyEstimate mLatency;
};

/** A forwarder's whole state. Only Reduce() changes it. */
struct ForwarderState
{
  ForwarderPolicy mPolicy;
  Random mRandom;
  TimePoint mStarted{};
  StoreState mStore;
  EraState mEra;
  StoreFreshness mFreshness;
  ChangeRelay mRelay;
  MembershipState mMembership;
  ShardOwnership mShardOwnership;
  QuotaState mQuota;
  Evacuations mEvacuations;
  RoutingPointer mConfiguration;
  /** The text of mConfiguration as it is in the store. */
  SharedBytes mConfigurationText;
  TimePoint mConfigurationSince{};
  std::unordered_map<TargetKey, TargetState> mTargets;
  std::unordered_map<InstanceId, TargetKey> mTargetOfInstance;
  /** The targets of each service that are not retired. */
  std::unordered_map<ServiceId, std::vector<TargetKey>> mTargetsOfService;
  std::unordered_map<ConnectionId, TargetConnection> mConnections;
  std::unordered_map<RequestKey, RequestState> mRequests;
  std::unordered_map<CallerToken, RequestKey> mRequestOfCaller;
  /** Sub-searches sent to other VMs, by sequence. */
  std::unordered_map<std::uint64_t, SubSearchRef> mSubSearches;
  /** Sub-searches received from other VMs, by VM and its sequence. */
  std::map<std::pair<VmId, std::uint64_t>, RequestKey> mReceivedSubSearches;
  std::unordered_map<RouteId, RouteState> mRoutes;
  std::unordered_map<ServiceId, WindowedExtraAttemptBudget> mBudgets;
  /** The services to which routes of mConfiguration lead. */
  std::unordered_set<ServiceId> mRoutedServices;
  /** What is known of each instance's entries, kept after their removal. */
  std::unordered_map<InstanceId, EntryHistory> mEntryHistories;
  /** The entries that were overtaken and may be confirmed. */
  std::unordered_map<InstanceId, OvertakenEntry> mOvertakenEntries;
  /** The starts of targets that stated that they leave. */
  std::unordered_map<InstanceId, LeavingTarget> mLeavingTargets;
  AnswerReserve mAnswerReserve;
  HoldUp mHoldUp;
  TimerQueueOf<ForwarderTimer> mTimers;
  ForwarderCounters mCounters;
  /** Since when nothing was received from other availability zones although
      something was sent there; TimePoint::max() while nothing is awaited. */
  TimePoint mOtherZonesSilentSince = TimePoint::max();
  std::uint64_t mNextTarget = 1;
  std::uint64_t mNextConnection = 1;
  std::uint64_t mNextRequest = 1;
  /** Starts at the process's seed, so that no reply to a sub-search of an
      earlier process is accepted. */
  std::uint64_t mNextSubSearch = 1;
  /** None before a stop was requested. */
  std::optional<StopPlan> mStop;

  bool IsStopping() const { return mStop.has_value(); }

  /** Whether callers' requests can be served. */
  bool IsReady(TimePoint aNow) const;

  /** When the next ForwarderTick is due; TimePoint::max() when none is. */
  TimePoint NextDue() const { return mTimers.NextDue(); }
};

/** The name of a service, or its id when the configuration does not name it. */
std::string
NameOf(const ForwarderState& aState, ServiceId aService);

} // namespace wasabispread::forwarding
