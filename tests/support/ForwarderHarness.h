/*
 * Runs the forwarder's reducer without network or store: a test delivers
 * events, and the harness records the effects and simulates the targets.
 */
#pragma once

#include <wasabispread_forwarding_decisions/wasabispread_forwarding_decisions.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wasabispread::testing {

/** A request that was sent to a target and has not been answered. */
struct ReceivedRequest
{
  ConnectionId mConnection;
  std::string mInstance;
  RequestId mId;
  Duration mCallerTimeout{};
  /** What the request states beside the caller's message. */
  std::string mOrganisation;
  bool mHasCredentials = false;
};

/** The policy of the VM "vm-a" in the zone "a". */
forwarding::ForwarderPolicy
TestPolicy();

/** Passes events to Reduce() and carries out the effects. Connections open at
    once unless mRefusesAllConnections or mResetting says otherwise; requests
    stay unanswered until a test calls Reply() or Break(). */
class ForwarderHarness
{
public:
  /** Starts with an empty store and no other VM in the membership. */
  explicit ForwarderHarness(forwarding::ForwarderPolicy aPolicy = TestPolicy());

  /** Delivers a configuration as a change of the store. */
  void Configure(std::vector<forwarding::Route> aRoutes,
                 std::uint64_t aVersion = 1);

  /** As above, with organisations. */
  void Configure(std::vector<forwarding::Route> aRoutes,
                 std::optional<OrganisationDirectory> aOrganisations,
                 std::uint64_t aVersion);

  /** Registers a target of a service, or changes its record. aSequence and
      aBorn are the record's fields of the same names. */
  void AddTarget(const std::string& aInstance,
                 const std::string& aService,
                 std::uint64_t aSequence = 1,
                 bool aIsDraining = false,
                 std::uint64_t aBorn = 1,
                 const std::string& aZone = "a");
  /** Removes a target's record. */
  void RemoveTarget(const std::string& aInstance);
  /** Delivers one change of the store at the next revision. */
  void Change(forwarding::StoreChange aChange);

  /** Delivers a caller's request and returns its token. */
  CallerToken Ask(const std::string& aTarget,
                  std::optional<Duration> aCallerTimeout = std::nullopt);

  /** The unanswered requests at all targets, in the order of sending. */
  const std::vector<ReceivedRequest>& Received() const { return mReceived; }

  /** The latest unanswered request at a target; throws std::logic_error when
      there is none. */
  const ReceivedRequest& At(const std::string& aInstance) const;
  /** Whether a target has an unanswered request. */
  bool Has(const std::string& aInstance) const;

  /** Answers the request that At() returns. */
  void Reply(const std::string& aInstance,
             forwarding::ReplyKind aKind,
             const std::string& aBody = "",
             unsigned aStatus = 200);

  /** As above, for the request on one connection to the target. */
  void ReplyOn(ConnectionId aConnection,
               const std::string& aInstance,
               forwarding::ReplyKind aKind,
               const std::string& aBody = "",
               unsigned aStatus = 200);

  /** Ends the connection of the request that At() returns. aIsWritten says
      whether the request had been written to the connection. */
  void Break(const std::string& aInstance, bool aIsWritten = true);

  /** Answers the check of the store under way, if there is one, and all later
      ones with a revision. Until then no check is answered. */
  void AnswerStoreChecksWith(forwarding::StoreRevision aRevision);

  /** Advances the time and delivers a tick whenever a timer is due. */
  void RunFor(Duration aDuration);

  /** The answer to a caller, or nullptr when there is none yet. */
  const forwarding::CallerAnswer* AnswerTo(CallerToken aToken) const;

  /** Delivers an event, and then the events that its effects cause. */
  void Deliver(forwarding::ForwarderEvent aEvent);

  forwarding::ForwarderState mState;
  TimePoint mNow{ std::chrono::seconds(1000) };
  /** The key that callers' requests carry. */
  CallerKey mKey;
  /** The era of the store that Change() names. */
  std::uint64_t mEra = 0;
  /** The rate that the configuration names for cold targets. */
  double mColdRate = 0;
  /** Targets that accept connections and reset them at once. */
  std::vector<std::string> mResetting;
  /** The limits that targets name in their replies, by instance. */
  std::map<std::string, double> mRequestLimits;
  /** The targets whose replies state that they leave. */
  std::set<std::string> mLeaving;
  /** The pauses that targets ask for in their replies, by instance. */
  std::map<std::string, Duration> mWantedPauses;
  /** The loads that targets state in their replies, by instance. */
  std::map<std::string, StatedLoad> mStatedLoads;
  /** Whether each reply ends its connection. */
  bool mEndsConnections = false;
  /** Whether every attempt to connect is refused. */
  bool mRefusesAllConnections = false;
  std::size_t mOpenedConnections = 0;
  std::vector<ConnectionId> mClosed;
  std::vector<forwarding::RequestPeerRouting> mPeerRoutingRequests;
  std::vector<forwarding::SendPeerMessage> mPeerMessages;
  std::vector<forwarding::GrantLease> mLeaseGrants;
  std::vector<forwarding::RenewLease> mLeaseRenewals;
  std::vector<forwarding::ClaimQuota> mClaims;
  std::vector<forwarding::ListStore> mLists;
  std::vector<forwarding::WatchStore> mWatches;
  std::size_t mAbandonedWatches = 0;
  std::size_t mStoreChecks = 0;
  std::vector<forwarding::DecisionRecord> mDecisionRecords;

private:
  void Perform(forwarding::ForwarderEffect& aEffect);

  std::vector<ReceivedRequest> mReceived;
  std::vector<std::pair<CallerToken, forwarding::CallerAnswer>> mAnswers;
  std::vector<forwarding::ForwarderEvent> mPending;
  std::optional<forwarding::StoreRevision> mStoreRevision;
  std::uint64_t mNextToken = 1;
  std::uint64_t mRevision = 1;
};

/** A route to one service, for the paths under "/SERVICE/". */
forwarding::Route
SingleRoute(const std::string& aService,
            forwarding::Repeatability aRepeatability,
            unsigned aMaxTargets = 2);

/** A search route for the paths under "/search/"; its shards are the services
    "shard-0", "shard-1" and so on. */
forwarding::Route
SearchRoute(std::size_t aShards, double aMinCoverage);

} // namespace wasabispread::testing
