/*
 * Delivers events to the forwarder's reducer and simulates connections and
 * targets.
 */
#include "ForwarderHarness.h"

#include <algorithm>
#include <stdexcept>

namespace wasabispread::testing {

using namespace forwarding;

ForwarderPolicy
TestPolicy()
{
  ForwarderPolicy policy;
  policy.mName = "vm-a";
  policy.mZone = ZoneName("a");
  policy.mExtraAttemptRule =
    ExtraAttemptRule{ 0.2, 200, std::chrono::seconds(10) };
  return policy;
}

ForwarderHarness::ForwarderHarness(ForwarderPolicy aPolicy)
{
  mState = MakeForwarderState(std::move(aPolicy), 1);
  Deliver(ForwarderStarted{});
  Deliver(EntriesListed{ StoreContent{ {}, StoreRevision(mRevision) } });
  Deliver(ChangesWatched{ StoreChanges{ {}, StoreRevision(mRevision) } });
  RunFor(std::chrono::seconds(6));
}

void
ForwarderHarness::Configure(std::vector<Route> aRoutes, std::uint64_t aVersion)
{
  Configure(std::move(aRoutes), std::nullopt, aVersion);
}

void
ForwarderHarness::Configure(std::vector<Route> aRoutes,
                            std::optional<OrganisationDirectory> aOrganisations,
                            std::uint64_t aVersion)
{
  RoutingConfiguration configuration;
  configuration.mOrganisations = std::move(aOrganisations);
  configuration.mVersion = ConfigurationVersion(aVersion);
  configuration.mRoutes = std::move(aRoutes);
  for (const Route& route : configuration.mRoutes) {
    const auto add = [&](ServiceId aService) {
      constexpr unsigned kConnections = 26;
      configuration.mServices[aService] =
        ServiceRecord{ "service", "/health", kConnections, mColdRate };
    };
    std::for_each(route.mShards.begin(), route.mShards.end(), add);
    for (const SplitPart& part : route.mParts) {
      add(part.mService);
    }
  }
  IndexRoutes(configuration);
  Change(ConfigurationChange{
    std::make_shared<const RoutingConfiguration>(std::move(configuration)),
    std::make_shared<const std::string>("text") });
}

void
ForwarderHarness::AddTarget(const std::string& aInstance,
                            const std::string& aService,
                            std::uint64_t aSequence,
                            bool aIsDraining,
                            std::uint64_t aBorn,
                            const std::string& aZone)
{
  TargetRecord record;
  record.mInstance = InstanceId(aInstance);
  record.mBorn = aBorn;
  record.mSequence = aSequence;
  record.mService = IdFromName<ServiceId>(aService);
  record.mAddress = Endpoint{ aInstance, 1 };
  record.mZone = ZoneName(aZone);
  record.mSlots = 2;
  record.mIsDraining = aIsDraining;
  Change(TargetChange{ record });
}

void
ForwarderHarness::RemoveTarget(const std::string& aInstance)
{
  Change(TargetRemoval{ InstanceId(aInstance) });
}

void
ForwarderHarness::Change(StoreChange aChange)
{
  StoreChanges changes;
  changes.mChanges.push_back(std::move(aChange));
  changes.mRevision = StoreRevision(++mRevision);
  changes.mEra = mEra;
  Deliver(ChangesWatched{ std::move(changes) });
}

CallerToken
ForwarderHarness::Ask(const std::string& aTarget,
                      std::optional<Duration> aCallerTimeout)
{
  ForwardedRequest request;
  request.mToken = CallerToken(mNextToken++);
  request.mId = RequestId("r-" + std::to_string(request.mToken.Value()));
  request.mHost = "host";
  request.mTarget = aTarget;
  request.mCallerTimeout = aCallerTimeout;
  request.mKey = mKey;
  if (mKey.mForm != KeyForm::kAbsent) {
    request.mCredentials.push_back({ "Credentials", mKey.mText });
  }
  const CallerToken token = request.mToken;
  Deliver(RequestArrived{
    std::make_shared<const ForwardedRequest>(std::move(request)) });
  return token;
}

bool
ForwarderHarness::Has(const std::string& aInstance) const
{
  return std::any_of(
    mReceived.begin(), mReceived.end(), [&](const ReceivedRequest& aRequest) {
      return aRequest.mInstance == aInstance;
    });
}

const ReceivedRequest&
ForwarderHarness::At(const std::string& aInstance) const
{
  const auto found = std::find_if(
    mReceived.rbegin(), mReceived.rend(), [&](const ReceivedRequest& aRequest) {
      return aRequest.mInstance == aInstance;
    });
  if (found == mReceived.rend()) {
    throw std::logic_error("no unanswered request at " + aInstance);
  }
  return *found;
}

void
ForwarderHarness::Reply(const std::string& aInstance,
                        ReplyKind aKind,
                        const std::string& aBody,
                        unsigned aStatus)
{
  ReplyOn(At(aInstance).mConnection, aInstance, aKind, aBody, aStatus);
}

void
ForwarderHarness::ReplyOn(ConnectionId aConnection,
                          const std::string& aInstance,
                          ReplyKind aKind,
                          const std::string& aBody,
                          unsigned aStatus)
{
  std::erase_if(mReceived, [&](const ReceivedRequest& aRequest) {
    return aRequest.mConnection == aConnection;
  });
  forwarding::Reply reply;
  reply.mKind = aKind;
  reply.mSignature = "proof of " + aInstance;
  reply.mIsReusable = !mEndsConnections;
  const auto limit = mRequestLimits.find(aInstance);
  if (limit != mRequestLimits.end()) {
    reply.mRequestLimit = limit->second;
  }
  reply.mIsLeaving = mLeaving.contains(aInstance);
  const auto pause = mWantedPauses.find(aInstance);
  if (pause != mWantedPauses.end()) {
    reply.mWantedPause = pause->second;
  }
  const auto load = mStatedLoads.find(aInstance);
  if (load != mStatedLoads.end()) {
    reply.mLoad = load->second;
  }
  reply.mMessage.mStatus = aStatus;
  reply.mMessage.mBody = aBody;
  Deliver(ReplyArrived{ aConnection, std::move(reply) });
}

void
ForwarderHarness::Break(const std::string& aInstance, bool aIsWritten)
{
  const ConnectionId connection = At(aInstance).mConnection;
  std::erase_if(mReceived, [&](const ReceivedRequest& aRequest) {
    return aRequest.mConnection == connection;
  });
  Deliver(ConnectionEnded{ connection, aIsWritten });
}

void
ForwarderHarness::AnswerStoreChecksWith(StoreRevision aRevision)
{
  mStoreRevision = aRevision;
  if (mState.mFreshness.mIsCheckPending) {
    Deliver(StoreChecked{ aRevision });
  }
}

void
ForwarderHarness::RunFor(Duration aDuration)
{
  const TimePoint until = mNow + aDuration;
  while (mState.NextDue() <= until) {
    mNow = std::max(mNow, mState.NextDue());
    Deliver(ForwarderTick{});
  }
  mNow = until;
}

const CallerAnswer*
ForwarderHarness::AnswerTo(CallerToken aToken) const
{
  for (const auto& [token, answer] : mAnswers) {
    if (token == aToken) {
      return &answer;
    }
  }
  return nullptr;
}

void
ForwarderHarness::Deliver(ForwarderEvent aEvent)
{
  mPending.push_back(std::move(aEvent));
  // The bound makes a test fail instead of hanging when events and effects
  // cause one another without end.
  constexpr std::size_t kMaxEvents = 10'000;
  for (std::size_t done = 0; done < mPending.size(); ++done) {
    if (done == kMaxEvents) {
      throw std::logic_error("events cause one another without end");
    }
    const ForwarderEvent event = mPending[done];
    ForwarderEffects effects = Reduce(mState, event, mNow);
    for (ForwarderEffect& effect : effects) {
      Perform(effect);
    }
  }
  mPending.clear();
}

void
ForwarderHarness::Perform(ForwarderEffect& aEffect)
{
  if (const auto* open = std::get_if<OpenConnection>(&aEffect)) {
    ++mOpenedConnections;
    if (mRefusesAllConnections) {
      mPending.push_back(ConnectionRefused{ open->mConnection });
      return;
    }
    mPending.push_back(ConnectionOpened{ open->mConnection });
    const bool isReset =
      std::find(mResetting.begin(), mResetting.end(), open->mAddress.mHost) !=
      mResetting.end();
    if (isReset) {
      mPending.push_back(ConnectionEnded{ open->mConnection, false });
    }
  } else if (const auto* close = std::get_if<CloseConnection>(&aEffect)) {
    mClosed.push_back(close->mConnection);
    std::erase_if(mReceived, [&](const ReceivedRequest& aRequest) {
      return aRequest.mConnection == close->mConnection;
    });
  } else if (const auto* send = std::get_if<SendRequest>(&aEffect)) {
    mReceived.push_back(ReceivedRequest{ send->mConnection,
                                         send->mInstance.Value(),
                                         send->mRequest->mId,
                                         send->mCallerTimeout,
                                         send->mOrganisation,
                                         send->mForwardsCredentials });
  } else if (auto* answer = std::get_if<AnswerRequest>(&aEffect)) {
    mAnswers.emplace_back(answer->mToken, std::move(answer->mAnswer));
  } else if (const auto* request = std::get_if<RequestPeerRouting>(&aEffect)) {
    mPeerRoutingRequests.push_back(*request);
  } else if (const auto* message = std::get_if<SendPeerMessage>(&aEffect)) {
    mPeerMessages.push_back(*message);
  } else if (const auto* grant = std::get_if<GrantLease>(&aEffect)) {
    mLeaseGrants.push_back(*grant);
  } else if (const auto* renewal = std::get_if<RenewLease>(&aEffect)) {
    mLeaseRenewals.push_back(*renewal);
  } else if (const auto* claim = std::get_if<ClaimQuota>(&aEffect)) {
    mClaims.push_back(*claim);
  } else if (const auto* list = std::get_if<ListStore>(&aEffect)) {
    mLists.push_back(*list);
  } else if (const auto* watch = std::get_if<WatchStore>(&aEffect)) {
    mWatches.push_back(*watch);
  } else if (std::holds_alternative<AbandonWatch>(aEffect)) {
    ++mAbandonedWatches;
  } else if (std::holds_alternative<CheckStore>(aEffect)) {
    ++mStoreChecks;
    if (mStoreRevision) {
      mPending.push_back(StoreChecked{ *mStoreRevision });
    }
  } else if (const auto* write = std::get_if<WriteDecisionRecord>(&aEffect)) {
    mDecisionRecords.push_back(write->mRecord);
  }
}

Route
SingleRoute(const std::string& aService,
            Repeatability aRepeatability,
            unsigned aMaxTargets)
{
  Route route;
  route.mName = "route of " + aService;
  route.mId = IdFromName<RouteId>(route.mName);
  route.mHost = "host";
  route.mPrefix = "/" + aService + "/";
  route.mRepeatability = aRepeatability;
  route.mTimeout = std::chrono::seconds(2);
  route.mSoftTimeout = std::chrono::milliseconds(400);
  route.mMaxTargets = aMaxTargets;
  route.mParts.push_back(SplitPart{ IdFromName<ServiceId>(aService), 1 });
  return route;
}

Route
SearchRoute(std::size_t aShards, double aMinCoverage)
{
  Route route;
  route.mName = "search";
  route.mId = IdFromName<RouteId>(route.mName);
  route.mHost = "host";
  route.mPrefix = "/search/";
  route.mRepeatability = Repeatability::kIdempotent;
  route.mTimeout = std::chrono::seconds(1);
  route.mSoftTimeout = std::chrono::milliseconds(120);
  route.mMaxTargets = 2;
  route.mTopRecords = 3;
  route.mMinCoverage = aMinCoverage;
  for (std::size_t shard = 0; shard < aShards; ++shard) {
    route.mShards.push_back(
      IdFromName<ServiceId>("shard-" + std::to_string(shard)));
  }
  return route;
}

} // namespace wasabispread::testing
