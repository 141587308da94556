/*
 * The event loop around the reducer, and its effects on sockets.
 */
#include "wasabispread_runtime.h"

#include <optional>

namespace wasabispread {

namespace {

constexpr Duration kPlatformTimeout = std::chrono::seconds(2);
/** A target's reply is waited for this much longer than its deadline, so that
    the connection can be used again. */
constexpr Duration kLateReplyTimeout = std::chrono::seconds(2);

/** What to send on a connection to a target, and how long to wait. */
struct TargetExchange
{
  HttpRequest mRequest;
  Duration mTimeout{};
};

} // namespace

/** A connection to a target and the request to send on it next. */
struct VmRunner::TargetLink
{
  explicit TargetLink(IoLoop& aLoop)
    : mConnection(aLoop)
  {
  }

  HttpConnection mConnection;
  std::optional<TargetExchange> mNext;
  FiberEvent mWake;
  bool mIsClosed = false;
};

VmRunner::VmRunner(IoLoop& aLoop,
                   VmState aState,
                   Endpoint aPlatform,
                   LogWriter& aLog)
  : mLoop(aLoop)
  , mState(std::move(aState))
  , mPlatform(std::move(aPlatform))
  , mLog(aLog)
{
}

VmRunner::~VmRunner() = default;

Result<std::monostate>
VmRunner::Start(PeerTransportLimits aLimits)
{
  PeerTransportHandlers handlers;
  handlers.mMessage =
    [this](VmId aPeer, const Endpoint& aAddress, PeerMessage aMessage) {
      Deliver(PeerMessageReceived{ aPeer, aAddress, std::move(aMessage) });
    };
  handlers.mNotSent = [this](VmId aPeer,
                             std::vector<AttemptSequence> aAttempts) {
    Deliver(AttemptsNotSent{ aPeer, std::move(aAttempts) });
  };
  handlers.mLost = [this](VmId aPeer) { Deliver(PeerLost{ aPeer }); };
  handlers.mLogWarning = [this](const std::string& aNote) {
    mLog.Write(FormatMessage(
      LogLevel::kWarning, mState.mSelf.mName, aNote, WallClockText()));
  };
  auto transport =
    PeerTransport::Start(mLoop, mState.mSelf, aLimits, std::move(handlers));
  if (!transport) {
    return tl::unexpected<Error>(transport.error());
  }
  mTransport = std::move(*transport);
  StartFiber([this] { RunTimers(); });
  Deliver(Started{});
  return std::monostate{};
}

void
VmRunner::Deliver(Event aEvent)
{
  mEvents.push_back(std::move(aEvent));
  if (mIsReducing) {
    return;
  }
  mIsReducing = true;
  while (!mEvents.empty()) {
    const Event event = std::move(mEvents.front());
    mEvents.pop_front();
    Effects effects = Reduce(mState, event, Now());
    for (Effect& effect : effects) {
      Perform(effect);
    }
  }
  mIsReducing = false;
  if (mState.NextDue() < mTimerDue) {
    mTimerWake.Notify();
  }
}

void
VmRunner::HandleCallerDisconnected(CallerToken aToken)
{
  Deliver(CallerDisconnected{ aToken });
  auto caller = mCallers.extract(aToken);
  if (!caller.empty()) {
    caller.mapped().set_value(Error{ ErrorKind::kOutcomeUnknown,
                                     "the caller closed its connection",
                                     "keep the connection open while waiting",
                                     Execution::kUnknown });
  }
}

Outcome
VmRunner::ExecuteRequest(CallerRequest aRequest, const DisconnectWatch& aWatch)
{
  aRequest.mToken = CallerToken(mNextToken++);
  const CallerToken token = aRequest.mToken;
  auto future = mCallers[token].get_future();
  aWatch([this, token] { HandleCallerDisconnected(token); });
  Deliver(std::move(aRequest));
  return future.get();
}

ConfirmationReport
VmRunner::ConfirmRevision(Revision aRevision)
{
  const CallerToken token(mNextToken++);
  auto future = mOperators[token].get_future();
  Deliver(OperatorConfirmationRequest{ token, aRevision });
  ConfirmationReport report = future.get();
  mOperators.erase(token);
  return report;
}

void
VmRunner::Perform(Effect& aEffect)
{
  std::visit([this](auto& aPart) { Perform(aPart); }, aEffect);
}

void
VmRunner::Perform(AnswerCaller& aEffect)
{
  auto caller = mCallers.extract(aEffect.mToken);
  if (!caller.empty()) {
    caller.mapped().set_value(std::move(aEffect.mOutcome));
  }
}

void
VmRunner::Perform(SendToPeer& aEffect)
{
  mTransport->Send(aEffect.mPeer, aEffect.mAddress, aEffect.mMessage);
}

void
VmRunner::Perform(OpenTargetConnection& aEffect)
{
  auto link = std::make_shared<TargetLink>(mLoop);
  mTargetLinks[aEffect.mConnection] = link;
  StartFiber([this, link, opening = aEffect] {
    RunTargetLink(opening.mConnection, opening, *link);
  });
}

void
VmRunner::Perform(CloseTargetConnection& aEffect)
{
  const auto place = mTargetLinks.find(aEffect.mConnection);
  if (place == mTargetLinks.end()) {
    return;
  }
  const std::shared_ptr<TargetLink> link = place->second;
  mTargetLinks.erase(place);
  link->mIsClosed = true;
  link->mConnection.Close();
  link->mWake.Notify();
}

void
VmRunner::Perform(SendToTarget& aEffect)
{
  TargetLink& link = *mTargetLinks.at(aEffect.mConnection);
  link.mNext = TargetExchange{ FormatTargetRequest(aEffect.mRequest),
                               aEffect.mRequest.mBudget + kLateReplyTimeout };
  link.mWake.Notify();
}

void
VmRunner::Perform(SendCancelToTarget& aEffect)
{
  TargetLink& link = *mTargetLinks.at(aEffect.mConnection);
  link.mNext =
    TargetExchange{ FormatTargetCancel(aEffect.mAttempt), kLateReplyTimeout };
  link.mWake.Notify();
}

void
VmRunner::Perform(WatchConfiguration& aEffect)
{
  StartFiber([this, effect = aEffect] {
    const HttpRequest request =
      FormatStoreWatch(kConfigurationKey, effect.mAfterVersion, effect.mWait);
    const auto response =
      ExchangeOnce(mLoop, mPlatform, request, effect.mWait + kPlatformTimeout);
    Deliver(StoreWatched{ response.and_then(ParseStoredConfiguration) });
  });
}

void
VmRunner::Perform(ReadVmList&)
{
  StartFiber([this] {
    const auto response =
      ExchangeOnce(mLoop, mPlatform, FormatVmListRead(), kPlatformTimeout);
    Deliver(VmListReceived{ response.and_then(ParseVmList) });
  });
}

void
VmRunner::Perform(SwapClaim& aEffect)
{
  StartFiber([this, effect = aEffect] {
    const auto response =
      ExchangeOnce(mLoop, mPlatform, FormatClaimSwap(effect), kPlatformTimeout);
    Deliver(ClaimSwapped{ effect.mToken, response.and_then(ParseStoreSwap) });
  });
}

void
VmRunner::Perform(ReadClaim& aEffect)
{
  StartFiber([this, effect = aEffect] {
    const auto response = ExchangeOnce(
      mLoop, mPlatform, FormatStoreRead(effect.mKey), kPlatformTimeout);
    Deliver(ClaimRead{ effect.mToken, response.and_then(ParseStoredClaim) });
  });
}

void
VmRunner::Perform(LogDecision& aEffect)
{
  if (mLog.IsEnabled(LevelOf(aEffect.mRecord))) {
    mLog.Write(FormatRecord(aEffect.mRecord, mState, WallClockText()));
  }
}

void
VmRunner::Perform(AnswerConfirmation& aEffect)
{
  const auto place = mOperators.find(aEffect.mToken);
  if (place != mOperators.end()) {
    place->second.set_value(std::move(aEffect.mReport));
  }
}

void
VmRunner::RunTimers()
{
  while (true) {
    mTimerDue = mState.NextDue();
    mTimerWake.WaitUntil(mTimerDue);
    if (mState.NextDue() <= Now()) {
      Deliver(Tick{});
    }
  }
}

void
VmRunner::RunTargetLink(ConnectionId aConnection,
                        const OpenTargetConnection& aOpening,
                        TargetLink& aLink)
{
  const auto connected =
    aLink.mConnection.Connect(aOpening.mAddress, aOpening.mTimeout);
  if (aLink.mIsClosed) {
    return;
  }
  if (!connected) {
    mTargetLinks.erase(aConnection);
    Deliver(TargetConnectFailed{ aConnection });
    return;
  }
  Deliver(TargetConnected{ aConnection });
  while (!aLink.mIsClosed) {
    if (!aLink.mNext) {
      aLink.mConnection.WatchIdle(
        [this, aConnection] { HandleIdleConnectionClosed(aConnection); });
      aLink.mWake.Wait();
      continue;
    }
    const TargetExchange exchange = std::move(*aLink.mNext);
    aLink.mNext.reset();
    const auto response =
      aLink.mConnection.Exchange(exchange.mRequest, exchange.mTimeout);
    if (!aLink.mIsClosed) {
      DeliverTargetResult(aConnection, response);
    }
  }
}

void
VmRunner::HandleIdleConnectionClosed(ConnectionId aConnection)
{
  const auto place = mTargetLinks.find(aConnection);
  // With a request waiting to be written, the write itself finds the end.
  if (place != mTargetLinks.end() && !place->second->mNext) {
    Deliver(TargetConnectionLost{ aConnection, false });
  }
}

void
VmRunner::DeliverTargetResult(ConnectionId aConnection,
                              const Result<HttpResponse>& aResponse)
{
  if (aResponse) {
    Deliver(TargetReplied{
      aConnection, ParseTargetReply(*aResponse), aResponse->mKeepAlive });
    return;
  }
  const bool mayBeWritten = aResponse.error().mExecution == Execution::kUnknown;
  Deliver(TargetConnectionLost{ aConnection, mayBeWritten });
}

} // namespace wasabispread
