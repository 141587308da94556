/*
 * The event loop around the forwarding reducer, and the effects that act on
 * sockets.
 */
#include "wasabispread_forwarding.h"

#include <ctime>
#include <optional>

#include <boost/fiber/operations.hpp>

namespace wasabispread::forwarding {

namespace {

/** How much longer a reply is awaited than the timeout that the target was
    sent. The reducer decides whether the connection is closed when that timeout
    is over; the exchange must not time out first and close it. */
constexpr Duration kLateReplyMargin = std::chrono::seconds(2);
/** The message of the answer for a caller that closed its connection; it ends
    the serving fiber's wait and is not received by anyone. */
constexpr const char* kCallerDisconnectedMessage =
  "the caller closed its connection";

/** A timer that is this late suggests that input arrived while the process did
    not run. */
constexpr Duration kLateTimer = std::chrono::milliseconds(5);
/** The most turns of reading before due timers act; a turn reads a few
    kilobytes of each reply. Input that never ends must not hold timers up. */
constexpr unsigned kMaxInputTurns = 8;

/** Builds the request that is sent to targets for a sub-search. */
ForwardedRequestPointer
RequestFrom(const SubSearch& aSearch)
{
  ForwardedRequest request;
  request.mId = aSearch.mRequestId;
  request.mTarget = aSearch.mTarget;
  request.mMessage.mMethod = aSearch.mMethod;
  request.mMessage.mTarget = aSearch.mTarget;
  request.mMessage.mBody = aSearch.mBody;
  for (const RelayedField& field : aSearch.mFields) {
    request.mMessage.mHeaders.push_back({ field.mName, field.mValue });
  }
  return std::make_shared<const ForwardedRequest>(std::move(request));
}

} // namespace

/** A connection to a target, and the request to send on it next. */
struct ForwarderRunner::TargetLink
{
  TargetLink(IoLoop& aLoop, std::shared_ptr<MemoryAccount> aMemory)
    : mConnection(aLoop, std::move(aMemory))
  {
  }

  HttpConnection mConnection;
  /** None while the connection is idle. */
  std::optional<SendRequest> mNextRequest;
  FiberEvent mWake;
  /** Set when the connection is no longer in mLinks; its fiber then ends. */
  bool mIsClosed = false;
};

ForwarderRunner::ForwarderRunner(IoLoop& aLoop,
                                 ForwarderState aState,
                                 const Endpoint& aStore,
                                 const PlatformAdapter& aAdapter,
                                 DecisionLog& aLog,
                                 std::shared_ptr<MemoryAccount> aMemory)
  : mLoop(aLoop)
  , mState(std::move(aState))
  , mAdapter(aAdapter)
  , mLog(aLog)
  , mStore(aLoop, aStore, aAdapter)
  , mMemory(std::move(aMemory))
{
}

ForwarderRunner::~ForwarderRunner() = default;

Result<std::monostate>
ForwarderRunner::Start(
  std::function<void(const CallerLimits&)> aApplyCallerLimits)
{
  mApplyCallerLimits = std::move(aApplyCallerLimits);
  auto started = StartTransport();
  if (started) {
    StartFiber([this] { RunTimers(); });
    Deliver(ForwarderStarted{});
  }
  return started;
}

Result<std::monostate>
ForwarderRunner::StartTransport()
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  VmIdentity self;
  self.mName = mState.mPolicy.mName;
  self.mId = IdFromName<VmId>(self.mName);
  self.mZone = mState.mPolicy.mZone;
  self.mIncarnation = Incarnation(static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count()));
  self.mPeerAddress = mState.mPolicy.mPeerAddress;
  PeerTransportHandlers handlers;
  handlers.mMessage =
    [this](VmId aPeer, const Endpoint& aAddress, const PeerMessage& aMessage) {
      HandlePeerMessage(aPeer, aAddress, aMessage);
    };
  handlers.mNotSent = [](VmId, const std::vector<AttemptSequence>&) {};
  // A lost routing request is not resent here: the reducer asks the next VM
  // when its timer is due.
  handlers.mLost = [this](VmId aPeer) { Deliver(VmLost{ aPeer }); };
  handlers.mLogWarning = [this](const std::string& aNote) {
    mLog.Write(
      DecisionRecord{
        RecordClass::kNotable, "peer-connection", {}, { { "note", aNote } } },
      Now());
  };
  auto transport = PeerTransport::Start(
    mLoop, self, PeerTransportLimits{}, std::move(handlers));
  if (!transport) {
    return tl::unexpected<Error>(transport.error());
  }
  mTransport = std::move(*transport);
  return std::monostate{};
}

void
ForwarderRunner::HandlePeerMessage(VmId aPeer,
                                   const Endpoint& aAddress,
                                   const PeerMessage& aMessage)
{
  if (const auto* request = std::get_if<RoutingRequest>(&aMessage)) {
    mTransport->Send(
      aPeer, aAddress, MakeRoutingReply(mState, *request, Now()));
  } else if (const auto* reply = std::get_if<RoutingReply>(&aMessage)) {
    PeerRouting routing;
    routing.mPeer = ToText(aAddress);
    routing.mTargets = reply->mTargets;
    routing.mSequence = reply->mSequence;
    routing.mAge = reply->mAge;
    routing.mEvacuatedZones = reply->mEvacuatedZones;
    if (!reply->mText->empty()) {
      routing.mConfiguration = mAdapter.ReadConfiguration(reply->mText);
    }
    Deliver(std::move(routing));
  } else if (const auto* changes = std::get_if<ChangesRequest>(&aMessage)) {
    Deliver(ChangesRequested{ aPeer, aAddress, *changes });
  } else if (const auto* answer = std::get_if<ChangesReply>(&aMessage)) {
    Deliver(ReadChanges(*answer));
  } else if (const auto* report = std::get_if<RevisionReport>(&aMessage)) {
    Deliver(RevisionReported{
      StoreRevision(report->mRevision), report->mAge, report->mEra });
  } else if (const auto* quota = std::get_if<QuotaRequest>(&aMessage)) {
    Deliver(QuotaRequested{ aPeer, aAddress, *quota });
  } else if (const auto* grants = std::get_if<QuotaReply>(&aMessage)) {
    Deliver(QuotaReplied{ aPeer, *grants });
  } else if (const auto* search = std::get_if<SubSearch>(&aMessage)) {
    Deliver(SubSearchArrived{ aPeer, aAddress, *search, RequestFrom(*search) });
  } else if (const auto* found = std::get_if<SubSearchReply>(&aMessage)) {
    Deliver(SubSearchReplied{ aPeer, aAddress, *found });
  } else if (const auto* cancel = std::get_if<SubSearchCancel>(&aMessage)) {
    Deliver(SubSearchCancelled{ aPeer, *cancel });
  } else if (const auto* confirm = std::get_if<SubSearchConfirm>(&aMessage)) {
    Deliver(SubSearchConfirmed{ aPeer, *confirm });
  }
}

PeerChanges
ForwarderRunner::ReadChanges(const ChangesReply& aReply) const
{
  PeerChanges changes;
  changes.mSequence = aReply.mSequence;
  changes.mIsRefused = aReply.mIsRefused;
  changes.mIsUnavailable = aReply.mIsUnavailable;
  changes.mAge = aReply.mAge;
  changes.mSoundAge = aReply.mSoundAge;
  changes.mEra = aReply.mEra;
  for (const auto& text : aReply.mTexts) {
    auto read =
      Decompress(text->mCompressed, text->mSize)
        .and_then([&](std::string aBody) {
          HttpResponse response;
          response.mBody = std::move(aBody);
          return mAdapter.ReadStoreWatch(response, mState.mStore.mRevision);
        });
    if (!read || read->mIsHistoryLost) {
      // What cannot be read is asked of the store instead.
      changes.mIsRefused = true;
      return changes;
    }
    read->mCompressedText = text;
    changes.mChanges.push_back(std::move(*read));
  }
  return changes;
}

void
ForwarderRunner::Deliver(ForwarderEvent aEvent)
{
  mEvents.push_back(std::move(aEvent));
  if (mIsReducing) {
    return;
  }
  NoticeSuspension();
  mIsReducing = true;
  while (!mEvents.empty()) {
    ForwarderEvent event = std::move(mEvents.front());
    mEvents.pop_front();
    ForwarderEffects effects = Reduce(mState, std::move(event), Now());
    for (ForwarderEffect& effect : effects) {
      std::visit([this](auto& aAlternative) { Perform(aAlternative); }, effect);
    }
  }
  mIsReducing = false;
  if (mState.NextDue() < mTimerDue) {
    mTimerWake.Notify();
  }
}

void
ForwarderRunner::NoticeSuspension()
{
  // Shorter differences come from the time between the two readings.
  constexpr Duration kLeastNoticed = std::chrono::milliseconds(20);
  timespec time{};
  if (clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
    return;
  }
  const Duration sinceBoot =
    std::chrono::seconds(time.tv_sec) + Duration(time.tv_nsec);
  const Duration ahead = sinceBoot - Now().time_since_epoch();
  if (!mBootTimeAhead) {
    mBootTimeAhead = ahead;
  }
  const Duration suspended = ahead - *mBootTimeAhead;
  if (suspended >= kLeastNoticed) {
    mBootTimeAhead = ahead;
    // Handled before the event that found it.
    mEvents.push_front(MachineSuspended{ suspended });
  }
}

HttpResponse
ForwarderRunner::Serve(HttpRequest&& aMessage, const DisconnectWatch& aWatch)
{
  auto request = mAdapter.ReadRequest(std::move(aMessage));
  if (!request) {
    mLog.Write(DecisionRecord{ RecordClass::kFailure,
                               "request-rejected",
                               {},
                               { { "reason", request.error().mMessage } } },
               Now());
    return mAdapter.WriteAnswer({},
                                Problem{ ProblemKind::kBadRequest,
                                         request.error().mMessage,
                                         request.error().mRemedy,
                                         std::nullopt });
  }
  request->mToken = CallerToken(mNextToken++);
  const CallerToken token = request->mToken;
  const RequestId id = request->mId;
  auto future = mCallers[token].get_future();
  Deliver(RequestArrived{
    std::make_shared<const ForwardedRequest>(std::move(*request)) });
  if (mCallers.contains(token)) {
    aWatch([this, token] { HandleCallerDisconnect(token); });
  }
  HttpResponse response = mAdapter.WriteAnswer(id, future.get());
  response.mWhenWritten = [this, token, id](const std::string& aError) {
    Deliver(AnswerWritten{ token });
    if (!aError.empty()) {
      mLog.Write(DecisionRecord{ RecordClass::kFailure,
                                 "answer-not-sent",
                                 id,
                                 { { "reason", aError } } },
                 Now());
    }
  };
  return response;
}

void
ForwarderRunner::HandleCallerDisconnect(CallerToken aToken)
{
  Deliver(ForwarderCallerDisconnected{ aToken });
  auto caller = mCallers.extract(aToken);
  if (!caller.empty()) {
    caller.mapped().set_value(
      Problem{ ProblemKind::kFailed,
               kCallerDisconnectedMessage,
               "keep the connection open until the answer",
               std::nullopt });
  }
}

void
ForwarderRunner::Perform(AnswerRequest& aEffect)
{
  auto caller = mCallers.extract(aEffect.mToken);
  if (!caller.empty()) {
    caller.mapped().set_value(std::move(aEffect.mAnswer));
  }
}

void
ForwarderRunner::Perform(OpenConnection& aEffect)
{
  auto link = std::make_shared<TargetLink>(mLoop, mMemory);
  mLinks[aEffect.mConnection] = link;
  StartFiber(
    [this, link, opening = aEffect] { RunTargetLink(opening, *link); });
}

void
ForwarderRunner::Perform(CloseConnection& aEffect)
{
  const auto position = mLinks.find(aEffect.mConnection);
  if (position == mLinks.end()) {
    return;
  }
  const std::shared_ptr<TargetLink> link = position->second;
  mLinks.erase(position);
  link->mIsClosed = true;
  link->mConnection.Close();
  link->mWake.Notify();
}

void
ForwarderRunner::Perform(SendRequest& aEffect)
{
  TargetLink& link = *mLinks.at(aEffect.mConnection);
  link.mNextRequest = std::move(aEffect);
  link.mWake.Notify();
}

void
ForwarderRunner::Perform(ListStore& aEffect)
{
  StartFiber(
    [this, list = aEffect] { Deliver(EntriesListed{ mStore.List(list) }); });
}

void
ForwarderRunner::Perform(WatchStore& aEffect)
{
  StartFiber([this, watch = aEffect, abandoned = mAbandonedWatches] {
    auto changes = mStore.Watch(watch);
    if (abandoned == mAbandonedWatches) {
      Deliver(ChangesWatched{ std::move(changes) });
    }
  });
}

void
ForwarderRunner::Perform(AbandonWatch&)
{
  ++mAbandonedWatches;
  mStore.AbandonWatch();
}

void
ForwarderRunner::Perform(CheckStore&)
{
  StartFiber([this] { Deliver(mStore.ReadRevision()); });
}

void
ForwarderRunner::Perform(GrantLease& aEffect)
{
  StartFiber([this, grant = aEffect] {
    Deliver(LeaseGranted{ mStore.Grant(grant), grant.mPurpose });
  });
}

void
ForwarderRunner::Perform(WriteMember& aEffect)
{
  StartFiber([this, lease = aEffect.mLease] {
    Deliver(MemberWritten{ mStore.PutMember(lease, Self()) });
  });
}

MemberRecord
ForwarderRunner::Self() const
{
  const ForwarderPolicy& policy = mState.mPolicy;
  return MemberRecord{
    policy.mName, policy.mZone, policy.mPeerAddress, policy.mProcessorShare
  };
}

void
ForwarderRunner::Perform(ClaimQuota& aEffect)
{
  StartFiber([this, claims = aEffect] {
    Deliver(QuotaClaimed{ mStore.Claim(claims, Self()) });
  });
}

void
ForwarderRunner::Perform(RenewLease& aEffect)
{
  StartFiber([this, renewal = aEffect] {
    Deliver(LeaseRenewed{ mStore.Renew(renewal), renewal.mPurpose });
  });
}

void
ForwarderRunner::Perform(EndLease& aEffect)
{
  StartFiber([this, lease = aEffect.mLease] { mStore.End(lease); });
}

void
ForwarderRunner::Perform(RequestPeerRouting& aEffect)
{
  mTransport->Send(
    IdFromName<VmId>(aEffect.mPeer),
    aEffect.mAddress,
    RoutingRequest{ aEffect.mKnownVersion.Value(), aEffect.mSequence });
}

void
ForwarderRunner::Perform(SendPeerMessage& aEffect)
{
  std::visit(
    [&](auto& aMessage) {
      mTransport->Send(aEffect.mVm, aEffect.mAddress, std::move(aMessage));
    },
    aEffect.mMessage);
}

void
ForwarderRunner::Perform(LimitCallers& aEffect)
{
  mApplyCallerLimits(aEffect.mLimits);
}

void
ForwarderRunner::Perform(WriteDecisionRecord& aEffect)
{
  mLog.Write(aEffect.mRecord, Now());
}

void
ForwarderRunner::RunTimers()
{
  while (true) {
    mTimerDue = mState.NextDue();
    mTimerWake.WaitUntil(mTimerDue);
    if (mTimerDue <= Now() - kLateTimer) {
      HandleArrivedInput();
    }
    if (mState.NextDue() <= Now()) {
      Deliver(ForwarderTick{});
    }
  }
}

void
ForwarderRunner::HandleArrivedInput()
{
  for (unsigned turn = 0; turn < kMaxInputTurns && mLoop.HandleArrived() != 0;
       ++turn) {
    boost::this_fiber::yield();
  }
}

void
ForwarderRunner::RunTargetLink(const OpenConnection& aOpening,
                               TargetLink& aLink)
{
  const ConnectionId id = aOpening.mConnection;
  const auto connected =
    aLink.mConnection.Connect(aOpening.mAddress, aOpening.mTimeout);
  if (aLink.mIsClosed) {
    return;
  }
  if (!connected) {
    mLinks.erase(id);
    Deliver(ConnectionRefused{ id });
    return;
  }
  Deliver(ConnectionOpened{ id });
  while (!aLink.mIsClosed) {
    if (aLink.mNextRequest) {
      RunExchange(id, aLink);
    } else {
      aLink.mConnection.WatchIdle(
        [this, id] { HandleIdleConnectionClosed(id); });
      aLink.mWake.Wait();
    }
  }
}

void
ForwarderRunner::RunExchange(ConnectionId aConnection, TargetLink& aLink)
{
  const SendRequest send = std::move(*aLink.mNextRequest);
  aLink.mNextRequest.reset();
  auto response = aLink.mConnection.Exchange(
    mAdapter.WriteTargetRequest(send),
    send.mCallerTimeout + kLateReplyMargin,
    send.mMaxReplyBytes,
    [&](const HttpResponse& aResponse) {
      return mAdapter.IsReplyTo(aResponse, send.mRequest->mId);
    });
  if (aLink.mIsClosed) {
    return;
  }
  if (response) {
    const bool isReusable = response->mKeepAlive;
    Reply reply = mAdapter.ReadReply(std::move(*response));
    reply.mIsReusable = reply.mIsReusable && isReusable;
    Deliver(ReplyArrived{ aConnection, std::move(reply) });
    return;
  }
  mLinks.erase(aConnection);
  aLink.mIsClosed = true;
  Deliver(ConnectionEnded{
    aConnection, response.error().mExecution == Execution::kUnknown });
}

void
ForwarderRunner::HandleIdleConnectionClosed(ConnectionId aConnection)
{
  const auto position = mLinks.find(aConnection);
  // If a request is waiting to be sent, sending it detects the closed
  // connection.
  if (position == mLinks.end() || position->second->mNextRequest) {
    return;
  }
  const std::shared_ptr<TargetLink> link = position->second;
  mLinks.erase(position);
  link->mIsClosed = true;
  link->mConnection.Close();
  link->mWake.Notify();
  Deliver(ConnectionEnded{ aConnection, false });
}

} // namespace wasabispread::forwarding
