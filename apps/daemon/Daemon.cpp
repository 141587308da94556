/*
 * A daemon's ports, and the order of the steps of its shutdown.
 */
#include "Daemon.h"

#include "CallerInterface.h"

#include <boost/fiber/operations.hpp>

namespace wasabispread {

namespace {

constexpr Duration kDrainPollInterval = std::chrono::milliseconds(2);
constexpr Duration kDroppedLineReportInterval = std::chrono::seconds(1);

VmIdentity
IdentityFrom(const DaemonSettings& aSettings)
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  const auto microseconds =
    std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
  VmIdentity identity;
  identity.mId = IdFromName<VmId>(aSettings.mName);
  identity.mName = aSettings.mName;
  identity.mZone = aSettings.mZone;
  identity.mIncarnation = Incarnation(static_cast<std::uint64_t>(microseconds));
  identity.mPeerAddress = aSettings.mPeerAddress;
  return identity;
}

std::vector<VmRecord>
PeersFrom(const DaemonSettings& aSettings)
{
  std::vector<VmRecord> peers;
  for (const PeerSettings& peer : aSettings.mPeers) {
    VmRecord record;
    record.mId = IdFromName<VmId>(peer.mName);
    record.mName = peer.mName;
    record.mZone = peer.mZone;
    record.mPeerAddress = peer.mAddress;
    peers.push_back(std::move(record));
  }
  return peers;
}

VmState
StateFrom(const DaemonSettings& aSettings)
{
  VmIdentity identity = IdentityFrom(aSettings);
  const std::uint64_t seed =
    identity.mId.Value() ^ identity.mIncarnation.Value();
  VmState state = MakeVmState(std::move(identity), seed, PeersFrom(aSettings));
  state.mMembership.mStartSpread = aSettings.mStartSpread;
  state.mPlacement.mHoldDelay = aSettings.mHoldDelay;
  return state;
}

} // namespace

Daemon::Daemon(IoLoop& aLoop, LogWriter& aLog, const DaemonSettings& aSettings)
  : mLoop(aLoop)
  , mLog(aLog)
  , mSettings(aSettings)
  , mRunner(aLoop, StateFrom(aSettings), aSettings.mPlatformAddress, aLog)
{
}

Result<std::monostate>
Daemon::Start()
{
  PeerTransportLimits peerLimits;
  peerLimits.mMaxFrameBytes = mSettings.mMaxFrameBytes;
  const auto started = mRunner.Start(peerLimits);
  if (!started) {
    return tl::unexpected<Error>(started.error());
  }
  HttpServerLimits callerLimits;
  callerLimits.mMaxBodyBytes = mSettings.mMaxBodyBytes;
  auto callers =
    HttpServer::Start(mLoop,
                      mSettings.mCallerAddress,
                      callerLimits,
                      WatchingHttpHandler(CallerInterface(mRunner)));
  if (!callers) {
    return tl::unexpected<Error>(callers.error());
  }
  mCallers = std::move(*callers);
  auto operators = HttpServer::Start(
    mLoop,
    mSettings.mOperatorAddress,
    HttpServerLimits{},
    [this](const HttpRequest& aRequest) { return HandleOperator(aRequest); });
  if (!operators) {
    return tl::unexpected<Error>(operators.error());
  }
  mOperators = std::move(*operators);
  StartFiber([this] { ReportDroppedLines(); });
  return std::monostate{};
}

HttpResponse
Daemon::HandleOperator(const HttpRequest& aRequest)
{
  if (!IsDrainRequest(aRequest)) {
    return HandleOperatorRequest(mRunner, aRequest);
  }
  BeginStop();
  return FormatDrainState(mRunner);
}

void
Daemon::BeginStop()
{
  mRunner.Deliver(StopRequested{ mSettings.mStopNotice });
  mCallers->AnnounceStop();
}

void
Daemon::FinishStop()
{
  boost::this_fiber::sleep_until(mRunner.State().mRefusingFrom);
  const TimePoint deadline = VmRunner::Now() + mSettings.mStopWait;
  mCallers->Stop(deadline);
  while (!mRunner.State().IsDrained() && VmRunner::Now() < deadline) {
    boost::this_fiber::sleep_for(kDrainPollInterval);
  }
}

void
Daemon::ReportDroppedLines()
{
  std::uint64_t reported = 0;
  while (true) {
    boost::this_fiber::sleep_for(kDroppedLineReportInterval);
    const std::uint64_t dropped = LogWriter::DroppedLines();
    if (dropped == reported) {
      continue;
    }
    mLog.Write(FormatMessage(LogLevel::kWarning,
                             mSettings.mName,
                             std::to_string(dropped - reported) +
                               " log lines were dropped; " +
                               std::to_string(dropped) + " since the start",
                             WallClockText()));
    reported = dropped;
  }
}

} // namespace wasabispread
