/*
 * Start, settings reload and shutdown of a forwarding daemon.
 */
#include "wasabispread_forwarding.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <boost/fiber/operations.hpp>

namespace wasabispread::forwarding {

namespace {

constexpr Duration kStopPollInterval = std::chrono::milliseconds(5);
/** The share of the stop's grace during which new connections are accepted: the
    load balancer needs some seconds to direct them to other VMs. */
constexpr double kListeningShare = 0.6;
/** The time between two checks of the settings file for changes. */
constexpr Duration kSettingsPollInterval = std::chrono::seconds(2);
/** The longest that the process waits for events. The grace of a stop counts
    from before the wait in which its signal came. */
constexpr Duration kMaxWait = std::chrono::milliseconds(250);
/** How long a stop that was held up beyond its end waits for the answers that
    are due. */
constexpr Duration kMaxOverrun = std::chrono::seconds(1);
/** The size of each read of a file. */
constexpr std::size_t kReadBytes = 16U << 10U;

ForwarderPolicy
PolicyFrom(const ForwarderSettings& aSettings)
{
  ForwarderPolicy policy;
  policy.mName = aSettings.mName;
  policy.mZone = aSettings.mZone;
  policy.mPeerAddress = aSettings.mPeerAddress;
  policy.mProcessorShare = aSettings.mProcessorShare;
  policy.mExtraAttemptRule = ExtraAttemptRule{ aSettings.mExtraAttemptShare,
                                               aSettings.mFixedExtraAttempts,
                                               aSettings.mExtraAttemptWindow };
  policy.mKnowledgeRule =
    KnowledgeRule{ aSettings.mIsStrictOnKeys, aSettings.mKeyWithdrawalTime };
  policy.mTargetHeartbeat = aSettings.mTargetHeartbeat;
  policy.mConfigurationTime = aSettings.mConfigurationTime;
  policy.mQuotaRule = QuotaRule{ aSettings.mQuotaWindow,
                                 aSettings.mQuotaOverage,
                                 aSettings.mQuotaSlack };
  policy.mColdRule = ColdRule{ aSettings.mColdOverage, aSettings.mColdSlack };
  for (const auto& [zone, region] : aSettings.mRegionOfZone) {
    policy.mRegionOfZone[zone] = RegionName(region);
  }
  return policy;
}

std::uint64_t
SeedFrom(const ForwarderSettings& aSettings)
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return StableHash(aSettings.mName,
                    static_cast<std::uint64_t>(sinceEpoch.count()));
}

} // namespace

std::string
ExtraSettings()
{
  const char* const text = std::getenv(kExtraSettingsVariable);
  return text == nullptr ? std::string() : std::string(text);
}

Result<std::string>
ReadFile(const std::string& aFile, std::size_t aMaxBytes)
{
  std::error_code ignored;
  std::ifstream stream;
  // Opening a pipe would block the process.
  if (std::filesystem::is_regular_file(aFile, ignored)) {
    stream.open(aFile);
  }
  if (!stream.is_open()) {
    return Fail(ErrorKind::kInvalidSettings,
                "the file " + aFile + " cannot be read",
                "check its name, its type and its read permission");
  }
  std::string text;
  std::string part(kReadBytes, '\0');
  while (stream && text.size() <= aMaxBytes) {
    stream.read(part.data(), static_cast<std::streamsize>(part.size()));
    text.append(part, 0, static_cast<std::size_t>(stream.gcount()));
  }
  if (text.size() > aMaxBytes) {
    return Fail(ErrorKind::kInvalidSettings,
                "the file " + aFile + " is larger than " +
                  std::to_string(aMaxBytes) + " bytes",
                "give it only the settings, or only the configuration");
  }
  return text;
}

ForwarderDaemon::ForwarderDaemon(IoLoop& aLoop,
                                 LogWriter& aLog,
                                 const ForwarderSettings& aSettings,
                                 std::string aFile,
                                 const PlatformAdapter& aAdapter)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mFile(std::move(aFile))
  , mAdapter(aAdapter)
  , mDecisionLog(aLog, aSettings.mName)
  , mMemory(
      std::make_shared<MemoryAccount>(LimitsOfProcess(aSettings.mMemoryBytes)))
  , mRunner(aLoop,
            MakeForwarderState(PolicyFrom(aSettings), SeedFrom(aSettings)),
            aSettings.mStoreAddress,
            aAdapter,
            mDecisionLog,
            mMemory)
{
}

Result<std::unique_ptr<HttpServer>>
ForwarderDaemon::Listen(const Endpoint& aAddress, HttpHandler aHandler)
{
  return HttpServer::Start(
    mLoop, aAddress, HttpServerLimits{}, std::move(aHandler));
}

Result<std::monostate>
ForwarderDaemon::Start()
{
  auto callers = HttpServer::Start(
    mLoop,
    mSettings.mCallerAddress,
    HttpServerLimits{},
    WatchingHttpHandler(
      [this](HttpRequest&& aMessage, const DisconnectWatch& aWatch) {
        return mRunner.Serve(std::move(aMessage), aWatch);
      }));
  if (!callers) {
    return tl::unexpected<Error>(callers.error());
  }
  mCallers = std::move(*callers);
  mCallers->CountMemory(mMemory);
  auto readiness =
    Listen(mSettings.mReadinessAddress, [this](const HttpRequest& aMessage) {
      return AnswerReadiness(aMessage);
    });
  if (!readiness) {
    return tl::unexpected<Error>(readiness.error());
  }
  mReadiness = std::move(*readiness);
  if (mSettings.mMetricsAddress.mPort != 0) {
    auto metrics =
      Listen(mSettings.mMetricsAddress, [this](const HttpRequest&) {
        HttpResponse response;
        response.mHeaders.push_back(
          { "Content-Type", "text/plain; version=0.0.4" });
        response.mBody = FormatForwarderMetrics(mRunner.State(),
                                                mCallers->Counters(),
                                                *mMemory,
                                                mDecisionLog,
                                                ForwarderRunner::Now());
        return response;
      });
    if (!metrics) {
      return tl::unexpected<Error>(metrics.error());
    }
    mMetrics = std::move(*metrics);
  }
  auto started = mRunner.Start(
    [this](const CallerLimits& aLimits) { ApplyCallerLimits(aLimits); });
  if (!started) {
    return started;
  }
  if (const auto text = ReadFile(mFile)) {
    mFileText = *text;
  }
  StartFiber([this] { WatchSettings(); });
  StartFiber([this] { LimitWaits(); });
  mLoop.OnReloadSignal([this] { ReloadSettings(); });
  return std::monostate{};
}

HttpResponse
ForwarderDaemon::AnswerReadiness(const HttpRequest& aMessage) const
{
  constexpr unsigned kOk = 200;
  constexpr unsigned kNotFound = 404;
  constexpr unsigned kUnavailable = 503;
  HttpResponse response;
  if (!mAdapter.IsReadinessCheck(aMessage)) {
    response.mStatus = kNotFound;
  } else {
    response.mStatus =
      mRunner.State().IsReady(ForwarderRunner::Now()) ? kOk : kUnavailable;
  }
  return response;
}

void
ForwarderDaemon::ApplyCallerLimits(const CallerLimits& aLimits)
{
  HttpServerLimits limits;
  limits.mMaxBodyBytes = aLimits.mBodyBytes;
  limits.mMaxHeaderBytes = aLimits.mHeaderBytes;
  limits.mHeaderLimit = aLimits.mHeaderTime;
  limits.mIdleLimit = aLimits.mIdleTime;
  mCallers->ChangeLimits(limits);
}

void
ForwarderDaemon::WatchSettings()
{
  while (true) {
    boost::this_fiber::sleep_for(kSettingsPollInterval);
    ReloadSettings();
  }
}

void
ForwarderDaemon::LimitWaits()
{
  while (true) {
    boost::this_fiber::sleep_for(kMaxWait);
    LogShortMemory();
  }
}

void
ForwarderDaemon::ReloadSettings()
{
  const auto text = ReadFile(mFile);
  if (!text) {
    mDecisionLog.Write(DecisionRecord{ RecordClass::kState,
                                       "settings-unreadable",
                                       {},
                                       { { "error", text.error().mMessage } } },
                       ForwarderRunner::Now());
  } else if (*text != mFileText) {
    mFileText = *text;
    ApplySettings(*text);
  }
}

void
ForwarderDaemon::ApplySettings(const std::string& aText)
{
  DecisionRecord record{ RecordClass::kState, "settings-reloaded", {}, {} };
  const auto settings = ParseForwarderSettings(aText, mFile, ExtraSettings());
  if (!settings) {
    record.mEvent = "settings-rejected";
    for (const Fault& fault : settings.error()) {
      record.mFields.push_back({ "fault", ToText(fault) });
    }
  } else {
    mRunner.ChangeExtraAttemptRule(PolicyFrom(*settings).mExtraAttemptRule);
    mSettings.mStopGrace = settings->mStopGrace;
    mMemory->ChangeLimits(LimitsOfProcess(settings->mMemoryBytes),
                          ForwarderRunner::Now());
  }
  mDecisionLog.Write(record, ForwarderRunner::Now());
}

void
ForwarderDaemon::LogShortMemory()
{
  const MemoryLosses losses = mMemory->Losses();
  if (losses == mLoggedLosses) {
    return;
  }
  const auto since = [&](std::uint64_t MemoryLosses::*aCount) {
    return static_cast<std::int64_t>(losses.*aCount - mLoggedLosses.*aCount);
  };
  mDecisionLog.Write(
    DecisionRecord{
      RecordClass::kState,
      "memory-short",
      {},
      { { "requests_refused", since(&MemoryLosses::mRequestsRefused) },
        { "answers_given_up", since(&MemoryLosses::mAnswersGivenUp) },
        { "replies_given_up", since(&MemoryLosses::mRepliesGivenUp) },
        { "held_bytes", static_cast<std::int64_t>(mMemory->UsedBytes()) },
        { "peak_bytes", static_cast<std::int64_t>(mMemory->PeakBytes()) } } },
    ForwarderRunner::Now());
  mLoggedLosses = losses;
}

void
ForwarderDaemon::Stop(TimePoint aNotBefore)
{
  const TimePoint stopStart = ForwarderRunner::Now();
  const Duration grace = GraceLeft(mSettings.mStopGrace, aNotBefore, stopStart);
  mRunner.Deliver(ForwarderStopRequested{ grace });
  const TimePoint exit = mRunner.State().mStop->mExit;
  mCallers->AnnounceStop();
  const auto listeningTime = Duration(static_cast<std::int64_t>(
    kListeningShare * static_cast<double>(grace.count())));
  boost::this_fiber::sleep_until(stopStart + listeningTime);
  mCallers->Stop(exit, kMaxOverrun);
  while (!mRunner.State().mRequests.empty() && ForwarderRunner::Now() < exit) {
    boost::this_fiber::sleep_for(kStopPollInterval);
  }
  mDecisionLog.Write(
    DecisionRecord{
      RecordClass::kState,
      "stopped",
      {},
      { { "took_ms", ToMilliseconds(ForwarderRunner::Now() - stopStart) },
        { "in_flight",
          static_cast<std::int64_t>(mRunner.State().mRequests.size()) },
        { "connections",
          static_cast<std::int64_t>(mCallers->ConnectionCount()) },
        { "answers_not_sent",
          static_cast<std::int64_t>(mCallers->Counters().mResponsesNotSent) },
        { "closed_with_input",
          static_cast<std::int64_t>(
            mCallers->Counters().mClosedWithInput) } } },
    ForwarderRunner::Now());
}

} // namespace wasabispread::forwarding
