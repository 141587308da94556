/*
 * The arbitrary events, and the model that the forwarder's effects are checked
 * against.
 */
#include "ForwarderSimulation.h"

#include "ForwarderHarness.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace wasabispread::testing {

using namespace forwarding;

namespace {

constexpr std::size_t kShards = 4;
constexpr std::size_t kShownEvents = 40;
constexpr Duration kMillisecond = std::chrono::milliseconds(1);

const std::vector<std::string> kServices{ "one",     "once",    "shard-0",
                                          "shard-1", "shard-2", "shard-3" };
/** VMs in this forwarder's zone and in another one. */
const std::vector<std::string> kVms{ "vm-a", "vm-b", "vm-c", "vm-d", "vm-e" };

Error
StoreError()
{
  return Error{ ErrorKind::kPlatformUnavailable, "away", "wait" };
}

/** Whether a caller takes an answer as the statement that its request has not
    run and will not. */
bool
PromisesNotRun(const CallerAnswer& aAnswer)
{
  if (const auto* problem = std::get_if<Problem>(&aAnswer)) {
    return problem->mKind != ProblemKind::kFailed &&
           problem->mKind != ProblemKind::kTimedOut;
  }
  const auto* reply = std::get_if<ForwardedReply>(&aAnswer);
  if (reply == nullptr) {
    return false;
  }
  const unsigned status = reply->mMessage.mStatus;
  return status == 408 || status == 421 || status == 429 || status == 503;
}

ForwarderState
MakeState(std::uint64_t aSeed)
{
  ForwarderPolicy policy;
  policy.mName = kVms.front();
  policy.mZone = ZoneName("a");
  policy.mExtraAttemptRule =
    ExtraAttemptRule{ 0.2, 200, std::chrono::seconds(10) };
  return MakeForwarderState(std::move(policy), aSeed);
}

} // namespace

void
SimulationCounts::Add(const SimulationCounts& aOther)
{
  mEvents += aOther.mEvents;
  mRequests += aOther.mRequests;
  mNotRun += aOther.mNotRun;
  mTimedOut += aOther.mTimedOut;
  mFailed += aOther.mFailed;
  mReplied += aOther.mReplied;
  mSearchesAnswered += aOther.mSearchesAnswered;
  mSends += aOther.mSends;
  mSubSearches += aOther.mSubSearches;
  mLateTicks += aOther.mLateTicks;
  mStopped += aOther.mStopped;
}

std::string
SimulationCounts::Text() const
{
  return std::to_string(mEvents) + " events, " + std::to_string(mRequests) +
         " requests, " + std::to_string(mSends) + " sent, " +
         std::to_string(mReplied) + " replied, " +
         std::to_string(mSearchesAnswered) + " searches answered, " +
         std::to_string(mNotRun) + " not run, " + std::to_string(mTimedOut) +
         " timed out, " + std::to_string(mFailed) + " failed, " +
         std::to_string(mSubSearches) + " sub-searches, " +
         std::to_string(mLateTicks) + " late ticks, " +
         std::to_string(mStopped) + " in progress at a stop";
}

ForwarderSimulation::ForwarderSimulation(std::uint64_t aSeed)
  : mRandom(aSeed)
  , mState(MakeState(aSeed))
{
}

void
ForwarderSimulation::Require(bool aCondition, const std::string& aWhat) const
{
  if (aCondition) {
    return;
  }
  std::string text = aWhat + "; the last events:";
  const std::size_t first =
    mTrace.size() - std::min(kShownEvents, mTrace.size());
  for (std::size_t event = first; event < mTrace.size(); ++event) {
    text += "\n  " + mTrace[event];
  }
  throw std::logic_error(text);
}

Duration
ForwarderSimulation::AnyDuration(Duration aLongest)
{
  const double magnitude = std::pow(1000.0, mRandom.Fraction() - 1);
  return Duration(static_cast<std::int64_t>(
    magnitude * static_cast<double>(aLongest.count())));
}

template<class Container>
auto
ForwarderSimulation::AnyOf(Container& aContainer)
{
  auto position = aContainer.begin();
  std::advance(position,
               static_cast<std::ptrdiff_t>(mRandom.Below(aContainer.size())));
  return position;
}

void
ForwarderSimulation::Deliver(ForwarderEvent aEvent, const std::string& aName)
{
  ++mCounts.mEvents;
  mTrace.push_back(std::to_string(ToMilliseconds(mNow.time_since_epoch())) +
                   " " + aName);
  const bool isTick = std::holds_alternative<ForwarderTick>(aEvent);
  ForwarderEffects effects = Reduce(mState, std::move(aEvent), mNow);
  for (ForwarderEffect& effect : effects) {
    std::visit([this](auto& aEffect) { Apply(aEffect); }, effect);
  }
  if (isTick) {
    CheckTimes();
  }
  for (const auto& [key, request] : mState.mRequests) {
    Require(request.mReviewAt <= request.mDeadline &&
              mState.NextDue() <= request.mReviewAt,
            "no timer reviews " + request.mRequest->mId.Value() +
              " at its deadline");
  }
}

void
ForwarderSimulation::CheckTimes() const
{
  for (const auto& [id, request] : mRequests) {
    Require(request.mIsOver || mNow < request.mDeadline,
            id + " is not answered after a tick past its deadline");
  }
}

void
ForwarderSimulation::Tick()
{
  Deliver(ForwarderTick{}, "tick");
}

void
ForwarderSimulation::PassTime()
{
  const TimePoint until =
    mNow + AnyDuration(Chance(0.03) ? std::chrono::seconds(6)
                                    : std::chrono::milliseconds(60));
  const bool isHeldUp = Chance(0.3);
  while (!isHeldUp && mState.NextDue() <= until) {
    mNow = std::max(mNow, mState.NextDue());
    Tick();
  }
  mNow = until;
  mCounts.mLateTicks += isHeldUp && mState.NextDue() < until ? 1 : 0;
}

void
ForwarderSimulation::Apply(AnswerRequest& aEffect)
{
  const auto caller = mWaitingCallers.find(aEffect.mToken);
  Require(caller != mWaitingCallers.end(),
          "an answer to a caller that does not wait");
  Request& request = mRequests.at(caller->second);
  Require(aEffect.mRequestId.Value() == caller->second,
          "an answer of another request");
  mTrace.push_back("    answer " + caller->second);
  request.mIsOver = true;
  request.mIsPromisedNotRun = PromisesNotRun(aEffect.mAnswer);
  Require(!request.mIsPromisedNotRun || request.mPossibleRuns == 0,
          caller->second + " may have run and its caller is told otherwise");
  mWaitingCallers.erase(caller);
  mUnwritten.insert(aEffect.mToken);
  if (const auto* problem = std::get_if<Problem>(&aEffect.mAnswer)) {
    ++(problem->mKind == ProblemKind::kTimedOut ? mCounts.mTimedOut
       : problem->mKind == ProblemKind::kFailed ? mCounts.mFailed
                                                : mCounts.mNotRun);
  } else {
    ++(std::holds_alternative<SearchAnswer>(aEffect.mAnswer)
         ? mCounts.mSearchesAnswered
         : mCounts.mReplied);
  }
}

void
ForwarderSimulation::Apply(OpenConnection& aEffect)
{
  const bool isNew =
    mConnections.emplace(aEffect.mConnection, Connection{}).second;
  Require(isNew, "a connection is opened twice");
}

void
ForwarderSimulation::Apply(CloseConnection& aEffect)
{
  mTrace.push_back("    close " + std::to_string(aEffect.mConnection.Value()));
  Require(mConnections.erase(aEffect.mConnection) == 1,
          "a connection is closed that is not open");
}

void
ForwarderSimulation::Apply(SendRequest& aEffect)
{
  ++mCounts.mSends;
  const std::string& id = aEffect.mRequest->mId.Value();
  mTrace.push_back("    send " + id + " on " +
                   std::to_string(aEffect.mConnection.Value()));
  const auto connection = mConnections.find(aEffect.mConnection);
  Require(connection != mConnections.end() && connection->second.mIsOpen,
          id + " is sent on a connection that is not open");
  Require(connection->second.mRequest.empty(),
          id + " is sent on a connection that is in use");
  Require(mNow < connection->second.mKeptUntil,
          id + " is sent after the connection's keep-alive time");
  Request& request = mRequests.at(id);
  Require(mNow < request.mDeadline && aEffect.mCallerTimeout.count() > 0,
          id + " is sent at or after its deadline");
  Require(mNow + aEffect.mCallerTimeout <= request.mDeadline,
          id + " is sent with more time than its caller has");
  Require(!request.mIsOver, id + " is sent after its end");
  Require(request.mIsIdempotent || request.mPossibleRuns == 0,
          id + " may run twice");
  ++request.mPossibleRuns;
  connection->second.mRequest = id;
}

void
ForwarderSimulation::Apply(SendPeerMessage& aEffect)
{
  if (const auto* reply = std::get_if<SubSearchReply>(&aEffect.mMessage)) {
    const auto request =
      mRequests.find("sub-" + std::to_string(reply->mSequence));
    Require(request != mRequests.end(), "a reply to an unknown sub-search");
    Require(!request->second.mIsOver || !reply->mIsLast,
            "a sub-search ends twice");
    request->second.mIsOver =
      request->second.mIsOver || reply->mIsLast || reply->mIsRefused;
  }
  mCounts.mSubSearches +=
    std::holds_alternative<SubSearch>(aEffect.mMessage) ? 1 : 0;
  mPeerMessages.push_back(std::move(aEffect));
}

void
ForwarderSimulation::Apply(RequestPeerRouting& aEffect)
{
  mStoreCalls.emplace_back(aEffect);
}

void
ForwarderSimulation::Apply(AbandonWatch& /*aEffect*/)
{
  std::erase_if(mStoreCalls, [](const ForwarderEffect& aCall) {
    return std::holds_alternative<WatchStore>(aCall);
  });
}

template<class Effect>
void
ForwarderSimulation::Apply(Effect& aEffect)
{
  mStoreCalls.emplace_back(std::move(aEffect));
}

void
ForwarderSimulation::Ask()
{
  const std::vector<std::string> paths{ "/one/x",  "/one/x",    "/once/x",
                                        "/once/x", "/search/x", "/none/x" };
  ForwardedRequest request;
  request.mToken = CallerToken(mNextToken++);
  request.mId = RequestId("r-" + std::to_string(request.mToken.Value()));
  request.mHost = "host";
  request.mTarget = *AnyOf(paths);
  request.mIsFirstOnConnection = Chance(0.5);
  if (Chance(0.7)) {
    request.mCallerTimeout = AnyDuration(std::chrono::seconds(3)) +
                             (Chance(0.7) ? 200 * kMillisecond : Duration());
  }
  Request model;
  const Route* route =
    mState.mConfiguration == nullptr
      ? nullptr
      : FindRoute(*mState.mConfiguration, request.mHost, request.mTarget);
  if (route != nullptr) {
    model.mIsIdempotent = route->IsIdempotent();
    model.mDeadline =
      mNow + std::min(route->mTimeout,
                      request.mCallerTimeout.value_or(route->mTimeout));
    model.mDeadline = BeforeExit(mState.mStop, model.mDeadline);
  }
  const std::string id = request.mId.Value();
  const std::string name = "ask " + id + " " + request.mTarget;
  mRequests[id] = model;
  mWaitingCallers[request.mToken] = id;
  ++mCounts.mRequests;
  Deliver(RequestArrived{ std::make_shared<const ForwardedRequest>(
            std::move(request)) },
          name);
  Require(route != nullptr || mRequests[id].mIsOver,
          id + " without a route is not answered at once");
}

void
ForwarderSimulation::LeaveCaller()
{
  if (mWaitingCallers.empty()) {
    return;
  }
  const auto caller = AnyOf(mWaitingCallers);
  const CallerToken token = caller->first;
  const std::string id = caller->second;
  mRequests.at(id).mIsOver = true;
  mWaitingCallers.erase(caller);
  Deliver(ForwarderCallerDisconnected{ token }, "caller leaves " + id);
}

void
ForwarderSimulation::WriteAnswer()
{
  if (!mUnwritten.empty()) {
    const auto token = AnyOf(mUnwritten);
    const AnswerWritten event{ *token };
    mUnwritten.erase(token);
    Deliver(event, "answer written");
  }
}

void
ForwarderSimulation::EndOpening()
{
  std::vector<ConnectionId> opening;
  for (const auto& [id, connection] : mConnections) {
    if (!connection.mIsOpen) {
      opening.push_back(id);
    }
  }
  if (opening.empty()) {
    return;
  }
  const ConnectionId id = *AnyOf(opening);
  if (Chance(0.75)) {
    mConnections[id].mIsOpen = true;
    Deliver(ConnectionOpened{ id }, "opened " + std::to_string(id.Value()));
  } else {
    mConnections.erase(id);
    Deliver(ConnectionRefused{ id }, "refused " + std::to_string(id.Value()));
  }
}

Reply
ForwarderSimulation::AnyReply()
{
  Reply reply;
  const std::vector<ReplyKind> failed{ ReplyKind::kNotRun,
                                       ReplyKind::kNotRun,
                                       ReplyKind::kFailure,
                                       ReplyKind::kInvalid };
  const std::vector<unsigned> failures{ 500, 503, 429, 404 };
  reply.mKind = Chance(0.6)    ? ReplyKind::kSuccess
                : Chance(0.03) ? ReplyKind::kMisdirected
                               : *AnyOf(failed);
  reply.mSignature = "signature";
  reply.mIsReusable = Chance(0.8);
  reply.mMessage.mStatus =
    reply.mKind == ReplyKind::kSuccess ? 200 : *AnyOf(failures);
  reply.mMessage.mBody = std::string(kRecordBytes, 'x');
  if (Chance(0.7)) {
    reply.mKeepAlive =
      Chance(0.1) ? Duration::zero() : AnyDuration(std::chrono::seconds(5));
  }
  if (Chance(0.02)) {
    reply.mRequestLimit = 500 * mRandom.Fraction();
  }
  if (Chance(0.03)) {
    reply.mWantedPause = AnyDuration(std::chrono::seconds(2));
  }
  reply.mIsLeaving = Chance(0.005);
  return reply;
}

void
ForwarderSimulation::DeliverReply(ConnectionId aConnection, Reply aReply)
{
  Connection& connection = mConnections.at(aConnection);
  const std::string id = std::exchange(connection.mRequest, "");
  const bool hasNotRun = aReply.mKind == ReplyKind::kNotRun ||
                         aReply.mKind == ReplyKind::kMisdirected;
  mRequests.at(id).mPossibleRuns -= hasNotRun ? 1 : 0;
  connection.mKeptUntil =
    aReply.mKeepAlive ? mNow + *aReply.mKeepAlive : TimePoint::max();
  const std::string name = "reply " + std::string(ToText(aReply.mKind)) +
                           " to " + id + " on " +
                           std::to_string(aConnection.Value());
  Deliver(ReplyArrived{ aConnection, std::move(aReply) }, name);
}

void
ForwarderSimulation::DeliverEnd(ConnectionId aConnection, bool aIsWritten)
{
  const std::string id = mConnections.at(aConnection).mRequest;
  if (!id.empty() && !aIsWritten) {
    --mRequests.at(id).mPossibleRuns;
  }
  mConnections.erase(aConnection);
  Deliver(ConnectionEnded{ aConnection, aIsWritten },
          std::string(aIsWritten ? "lost " : "ended ") +
            std::to_string(aConnection.Value()) + " with " + id);
}

void
ForwarderSimulation::ReplyOrEnd()
{
  std::vector<ConnectionId> busy;
  for (const auto& [id, connection] : mConnections) {
    if (!connection.mRequest.empty()) {
      busy.push_back(id);
    }
  }
  if (busy.empty()) {
    return;
  }
  const ConnectionId id = *AnyOf(busy);
  if (Chance(0.85)) {
    DeliverReply(id, AnyReply());
  } else {
    DeliverEnd(id, Chance(0.5));
  }
}

void
ForwarderSimulation::EndIdle()
{
  std::vector<ConnectionId> idle;
  for (const auto& [id, connection] : mConnections) {
    if (connection.mIsOpen && connection.mRequest.empty()) {
      idle.push_back(id);
    }
  }
  if (!idle.empty()) {
    DeliverEnd(*AnyOf(idle), false);
  }
}

TargetRecord
ForwarderSimulation::AnyTarget()
{
  TargetRecord record;
  const std::string service = *AnyOf(kServices);
  const std::string name = service + "-" + std::to_string(mRandom.Below(4));
  const auto known = mTargets.find(name);
  record.mInstance = InstanceId(name);
  record.mService = IdFromName<ServiceId>(service);
  record.mAddress = Endpoint{ name, 1 };
  record.mZone =
    ZoneName(service == "shard-2" || service == "shard-3" ? "b" : "a");
  record.mSlots = 2;
  record.mBorn = known == mTargets.end() ? 1 : known->second.mBorn;
  record.mBorn += Chance(0.1) ? 1 : 0;
  record.mSequence = mChanges.size();
  record.mIsDraining = Chance(0.1);
  return record;
}

void
ForwarderSimulation::ChangeConfiguration()
{
  RoutingConfiguration configuration;
  configuration.mVersion = ConfigurationVersion(++mVersion);
  std::vector<Route> routes{ SingleRoute("one", Repeatability::kIdempotent),
                             SingleRoute("once", Repeatability::kAtMostOnce),
                             SearchRoute(kShards, Chance(0.5) ? 1 : 0.5) };
  for (Route& route : routes) {
    route.mTimeout = 20 * kMillisecond + AnyDuration(std::chrono::seconds(4));
    if (Chance(0.9)) {
      configuration.mRoutes.push_back(route);
    }
  }
  for (const std::string& service : kServices) {
    configuration.mServices[IdFromName<ServiceId>(service)] = ServiceRecord{
      service, "/health", 1 + static_cast<unsigned>(mRandom.Below(12))
    };
  }
  IndexRoutes(configuration);
  mConfiguration = ConfigurationChange{
    std::make_shared<const RoutingConfiguration>(std::move(configuration)),
    std::make_shared<const std::string>("text")
  };
  mChanges.emplace_back(*mConfiguration);
}

void
ForwarderSimulation::ChangeStore()
{
  if (mConfiguration == std::nullopt || Chance(0.15)) {
    ChangeConfiguration();
  } else if (Chance(0.15)) {
    const std::string vm = *AnyOf(kVms);
    if (Chance(0.3) && mMembers.erase(vm) == 1) {
      mChanges.emplace_back(MemberRemoval{ vm });
    } else {
      mMembers[vm] = MemberRecord{
        vm, ZoneName(vm < "vm-c" ? "a" : "b"), Endpoint{ vm, 1 }, 0.5
      };
      mChanges.emplace_back(MemberChange{ mMembers[vm] });
    }
  } else if (!mTargets.empty() && Chance(0.1)) {
    const auto target = AnyOf(mTargets);
    mChanges.emplace_back(TargetRemoval{ InstanceId(target->first) });
    mTargets.erase(target);
  } else {
    const TargetRecord record = AnyTarget();
    mTargets[record.mInstance.Value()] = record;
    mChanges.emplace_back(TargetChange{ record });
  }
}

void
ForwarderSimulation::AnswerStore()
{
  if (mStoreCalls.empty()) {
    return;
  }
  const auto position = AnyOf(mStoreCalls);
  const ForwarderEffect call = std::move(*position);
  mStoreCalls.erase(position);
  const StoreRevision revision(mChanges.size());
  const bool isAway = Chance(0.05);
  const tl::unexpected<Error> away(StoreError());
  if (std::holds_alternative<ListStore>(call)) {
    StoreContent content;
    content.mRevision = revision;
    content.mNewestRevision = revision;
    if (mConfiguration) {
      content.mEntries.emplace_back(*mConfiguration);
    }
    for (const auto& [name, record] : mTargets) {
      content.mEntries.emplace_back(TargetChange{ record });
    }
    for (const auto& [name, record] : mMembers) {
      content.mEntries.emplace_back(MemberChange{ record });
    }
    Deliver(isAway ? EntriesListed{ away } : EntriesListed{ content },
            isAway ? "list fails" : "list");
  } else if (const auto* watch = std::get_if<WatchStore>(&call)) {
    StoreChanges changes;
    changes.mRevision = revision;
    changes.mIsHistoryLost = Chance(0.03);
    changes.mChanges.assign(
      mChanges.begin() + static_cast<std::ptrdiff_t>(watch->mAfter.Value()),
      mChanges.end());
    Deliver(isAway ? ChangesWatched{ away } : ChangesWatched{ changes },
            isAway ? "watch fails" : "watch");
  } else if (std::holds_alternative<CheckStore>(call)) {
    Deliver(isAway ? StoreChecked{ away } : StoreChecked{ revision }, "check");
  } else if (std::holds_alternative<GrantLease>(call)) {
    Deliver(isAway ? LeaseGranted{ away } : LeaseGranted{ LeaseId(1) },
            "lease");
  } else if (std::holds_alternative<WriteMember>(call)) {
    Deliver(isAway ? MemberWritten{ away } : MemberWritten{ std::monostate{} },
            "member");
  } else if (std::holds_alternative<RenewLease>(call)) {
    Deliver(isAway ? LeaseRenewed{ away } : LeaseRenewed{ Chance(0.9) },
            "renewal");
  } else if (const auto* routing = std::get_if<RequestPeerRouting>(&call)) {
    PeerRouting answer{ routing->mPeer, std::nullopt, {} };
    for (const auto& [name, record] : mTargets) {
      if (!record.mIsDraining) {
        answer.mTargets.push_back(RegisteredTarget{ name,
                                                    record.mBorn,
                                                    record.mSequence,
                                                    record.mService,
                                                    record.mAddress,
                                                    record.mZone,
                                                    record.mSlots });
      }
    }
    if (mConfiguration) {
      answer.mConfiguration = *mConfiguration;
    }
    Deliver(answer, "peer routing");
  }
}

void
ForwarderSimulation::ReplyToSubSearch(const SendPeerMessage& aMessage,
                                      const SubSearch& aSearch)
{
  SubSearchReply reply;
  reply.mSequence = aSearch.mSequence;
  reply.mIsRefused = Chance(0.15);
  if (reply.mIsRefused && Chance(0.5)) {
    reply.mRetryAfter = AnyDuration(std::chrono::seconds(1));
  }
  reply.mIsIsolated = Chance(0.05);
  reply.mIsLast = !reply.mIsRefused && Chance(0.4);
  for (std::uint32_t shard = 0;
       !reply.mIsRefused && shard < aSearch.mShards.size();
       ++shard) {
    if (Chance(0.6)) {
      reply.mShards.push_back(shard);
      reply.mSignatures.emplace_back("signature");
    }
  }
  const bool isOver = reply.mIsRefused || reply.mIsLast;
  Deliver(SubSearchReplied{ aMessage.mVm, aMessage.mAddress, reply },
          "sub-search reply");
  if (!isOver) {
    mPeerMessages.push_back(aMessage);
  }
}

void
ForwarderSimulation::AnswerPeer()
{
  if (mPeerMessages.empty()) {
    return;
  }
  const auto position = AnyOf(mPeerMessages);
  const SendPeerMessage message = std::move(*position);
  mPeerMessages.erase(position);
  if (const auto* search = std::get_if<SubSearch>(&message.mMessage)) {
    ReplyToSubSearch(message, *search);
  } else if (const auto* changes =
               std::get_if<ChangesRequest>(&message.mMessage)) {
    PeerChanges answer;
    answer.mSequence = changes->mSequence;
    answer.mIsRefused = Chance(0.3);
    answer.mIsUnavailable = Chance(0.1);
    answer.mAge = AnyDuration(std::chrono::seconds(3));
    Deliver(answer, "peer changes");
  }
}

void
ForwarderSimulation::SendFromPeer()
{
  const Endpoint address{ "vm", 1 };
  if (!mPeerSearches.empty() && Chance(0.5)) {
    const auto [vm, sequence] = *AnyOf(mPeerSearches);
    if (Chance(0.5)) {
      Deliver(SubSearchConfirmed{ vm, SubSearchConfirm{ sequence } },
              "sub-search confirmed");
    } else {
      mRequests.at("sub-" + std::to_string(sequence)).mIsOver = true;
      Deliver(
        SubSearchCancelled{ vm, SubSearchCancel{ sequence, Chance(0.5) } },
        "sub-search cancelled");
    }
    return;
  }
  if (Chance(0.2)) {
    Deliver(ChangesRequested{ IdFromName<VmId>(*AnyOf(kVms)),
                              address,
                              ChangesRequest{ mNextToken++, 0 } },
            "changes requested");
    return;
  }
  SubSearch search;
  search.mSequence = mNextToken++;
  search.mRoute = IdFromName<RouteId>("search").Value();
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    if (Chance(0.5)) {
      search.mShards.push_back(
        IdFromName<ServiceId>("shard-" + std::to_string(shard)));
    }
  }
  search.mTopRecords = 3;
  search.mMaxTargets = 2;
  search.mSoftTimeout = AnyDuration(std::chrono::milliseconds(200));
  search.mCallerTimeout =
    Chance(0.1) ? Duration::zero() : AnyDuration(std::chrono::seconds(2));
  search.mMinShards = static_cast<std::uint32_t>(mRandom.Below(3));
  ForwardedRequest request;
  const std::string id = "sub-" + std::to_string(search.mSequence);
  request.mId = RequestId(id);
  const VmId vm = IdFromName<VmId>(*AnyOf(kVms));
  Request model;
  model.mIsIdempotent = true;
  model.mDeadline = mNow + search.mCallerTimeout;
  mRequests[id] = model;
  mPeerSearches.emplace_back(vm, search.mSequence);
  Deliver(SubSearchArrived{ vm,
                            address,
                            search,
                            std::make_shared<const ForwardedRequest>(
                              std::move(request)) },
          "sub-search arrives " + id);
}

void
ForwarderSimulation::LosePeer()
{
  const VmId vm = IdFromName<VmId>(*AnyOf(kVms));
  Deliver(VmLost{ vm }, "vm lost");
  for (const auto& [origin, sequence] : mPeerSearches) {
    if (origin == vm) {
      mRequests.at("sub-" + std::to_string(sequence)).mIsOver = true;
    }
  }
}

void
ForwarderSimulation::Stop()
{
  if (mIsStopping || !Chance(0.04)) {
    return;
  }
  mIsStopping = true;
  const Duration grace = AnyDuration(std::chrono::seconds(6));
  // Known to the model first: the event answers what is over.
  const StopPlan plan = PlanStop(grace, mNow);
  for (auto& [id, request] : mRequests) {
    request.mDeadline = BeforeExit(plan, request.mDeadline);
  }
  mCounts.mStopped += mState.mRequests.size();
  Deliver(ForwarderStopRequested{ grace }, "stop");
}

void
ForwarderSimulation::EndAll()
{
  for (unsigned round = 0; round < 200; ++round) {
    const TimePoint due =
      std::min(mState.NextDue(), mNow + std::chrono::seconds(1));
    mNow = std::max(mNow, due);
    Tick();
  }
  mNow += std::chrono::minutes(2);
  Tick();
  while (!mUnwritten.empty()) {
    WriteAnswer();
  }
  for (unsigned round = 0; round < 1000; ++round) {
    ReplyOrEnd();
    EndOpening();
  }
}

void
ForwarderSimulation::CheckNothingIsLeft() const
{
  Require(mWaitingCallers.empty(), "a caller waits at the end");
  Require(mState.mRequests.empty(), "a request is left");
  Require(mState.mRequestOfCaller.empty(), "a caller is left");
  Require(mState.mSubSearches.empty(), "a sent sub-search is left");
  Require(mState.mReceivedSubSearches.empty(), "a received one is left");
  Require(mState.mAnswerReserve.mUnwritten.empty(), "an answer is left");
  Require(mState.mConnections.size() == mConnections.size(),
          "connections are left");
  for (const auto& [id, connection] : mState.mConnections) {
    Require(mConnections.contains(id), "a closed connection is left");
    Require(mState.mTargets.contains(connection.mTarget),
            "a connection without a target is left");
  }
  for (const auto& [key, target] : mState.mTargets) {
    Require(!target.mIsRetired || !target.mConnections.empty(),
            "a retired target is left");
    Require(target.mWaiting.empty() || !target.mConnections.empty(),
            "a sub-request waits at a target without connections");
  }
}

void
ForwarderSimulation::Run(std::size_t aSteps)
{
  const std::vector<std::pair<Perform, std::size_t>> choices{
    { &ForwarderSimulation::Ask, 20 },
    { &ForwarderSimulation::LeaveCaller, 1 },
    { &ForwarderSimulation::WriteAnswer, 6 },
    { &ForwarderSimulation::EndOpening, 12 },
    { &ForwarderSimulation::ReplyOrEnd, 18 },
    { &ForwarderSimulation::EndIdle, 1 },
    { &ForwarderSimulation::ChangeStore, 3 },
    { &ForwarderSimulation::AnswerStore, 16 },
    { &ForwarderSimulation::AnswerPeer, 8 },
    { &ForwarderSimulation::SendFromPeer, 3 },
    { &ForwarderSimulation::LosePeer, 1 },
    { &ForwarderSimulation::Stop, 1 },
    { &ForwarderSimulation::PassTime, 16 },
    { &ForwarderSimulation::Tick, 5 },
  };
  std::vector<Perform> weighted;
  for (const auto& [perform, weight] : choices) {
    weighted.insert(weighted.end(), weight, perform);
  }
  for (unsigned change = 0; change < 60; ++change) {
    ChangeStore();
  }
  Deliver(ForwarderStarted{}, "start");
  for (unsigned call = 0; call < 10; ++call) {
    AnswerStore();
    PassTime();
  }
  for (std::size_t step = 0; step < aSteps; ++step) {
    (this->*(*AnyOf(weighted)))();
  }
  EndAll();
  CheckNothingIsLeft();
}

} // namespace wasabispread::testing
