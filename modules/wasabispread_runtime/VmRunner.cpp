/*
 * The event loop around the reducer, and the I/O of each effect.
 */
#include "wasabispread_runtime.h"

#include <optional>

namespace wasabispread {

namespace {

/** The timeout of a call to the platform, in addition to the wait that the call
    itself requests. */
constexpr Duration kPlatformTimeout = std::chrono::seconds(2);
/** How long to wait for a target's reply after its deadline. Once the late
    reply is read, the connection can be reused. */
constexpr Duration kLateReplyTimeout = std::chrono::seconds(2);

/** A request to send on a connection to a target, and its timeout. */
struct TargetExchange
{
  HttpRequest mRequest;
  Duration mTimeout{};
};

} // namespace

/** A connection to a target, served by a fiber of its own, and the next request
    to send on it. */
struct VmRunner::TargetLink
{
  explicit TargetLink(IoLoop& aLoop)
    : mConnection(aLoop)
  {
  }

  HttpConnection mConnection;
  std::optional<TargetExchange> mNextExchange;
  /** Set when mNextExchange or mIsClosed changes. */
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
  const auto found = mTargetLinks.find(aEffect.mConnection);
  if (found == mTargetLinks.end()) {
    return;
  }
  const std::shared_ptr<TargetLink> link = found->second;
  mTargetLinks.erase(found);
  link->mIsClosed = true;
  link->mConnection.Close();
  link->mWake.Notify();
}

void
VmRunner::Perform(SendToTarget& aEffect)
{
  TargetLink& link = *mTargetLinks.at(aEffect.mConnection);
  link.mNextExchange =
    TargetExchange{ FormatTargetRequest(aEffect.mRequest),
                    aEffect.mRequest.mBudget + kLateReplyTimeout };
  link.mWake.Notify();
}

void
VmRunner::Perform(SendCancelToTarget& aEffect)
{
  TargetLink& link = *mTargetLinks.at(aEffect.mConnection);
  link.mNextExchange =
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
  const auto found = mOperators.find(aEffect.mToken);
  if (found != mOperators.end()) {
    found->second.set_value(std::move(aEffect.mReport));
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
    if (!aLink.mNextExchange) {
      aLink.mConnection.WatchIdle(
        [this, aConnection] { HandleIdleConnectionClosed(aConnection); });
      aLink.mWake.Wait();
      continue;
    }
    const TargetExchange exchange = std::move(*aLink.mNextExchange);
    aLink.mNextExchange.reset();
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
  const auto found = mTargetLinks.find(aConnection);
  // When a request is about to be written, the failing exchange reports the
  // loss.
  if (found != mTargetLinks.end() && !found->second->mNextExchange) {
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
