/*
 * wasabispreadd: one VM's daemon. Reads its settings, opens its ports and runs
 * one node until it is asked to stop.
 */
#include <wasabispread_runtime/wasabispread_runtime.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/fiber/operations.hpp>
#include <boost/program_options.hpp>

namespace wasabispread {

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(2);

/** What the command line asked for. */
struct CommandLine
{
  std::string mSettingsFile;
  bool mCheckOnly = false;
  bool mShowHelp = false;
  bool mShowVersion = false;
};

Result<CommandLine>
ParseCommandLine(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  CommandLine line;
  options::options_description description("Options");
  description.add_options()("settings,s",
                            options::value<std::string>(&line.mSettingsFile),
                            "the settings file, in TOML")(
    "check-settings",
    options::bool_switch(&line.mCheckOnly),
    "check the settings file and exit")(
    "help,h", options::bool_switch(&line.mShowHelp), "show this text")(
    "version", options::bool_switch(&line.mShowVersion), "show the release");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(aCount, aArguments, description),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    return Fail(ErrorKind::kUsage, error.what(), "see wasabispreadd --help");
  }
  if (line.mShowHelp) {
    std::cout << "Usage: wasabispreadd --settings FILE\n\n" << description;
    return line;
  }
  if (line.mShowVersion) {
    std::cout << "wasabispreadd " << WASABISPREAD_RELEASE << "\n";
    return line;
  }
  if (line.mSettingsFile.empty()) {
    return Fail(
      ErrorKind::kUsage, "no settings file is named", "add --settings FILE");
  }
  return line;
}

tl::expected<DaemonSettings, Faults>
ReadSettings(const std::string& aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    return tl::unexpected<Faults>(Faults{
      Fault{ aFile, 0, 0, "the file cannot be read", "check its name" } });
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseDaemonSettings(text.str(), aFile);
}

NodeIdentity
IdentityFrom(const DaemonSettings& aSettings)
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  const auto microseconds =
    std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
  NodeIdentity identity;
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

/** Answers callers: a request becomes an event, its outcome the response. */
class CallerInterface
{
public:
  explicit CallerInterface(NodeRunner& aRunner)
    : mRunner(aRunner)
  {
  }

  HttpResponse operator()(const HttpRequest& aRequest,
                          const ClosedWatch& aWatch)
  {
    auto request =
      ParseCallerRequest(aRequest, CallerToken{}, GenerateRequestId());
    if (!request) {
      return FormatProblem(
        request.error(),
        std::string(FindHeader(aRequest.mHeaders, kRequestIdHeader)));
    }
    const RequestId id = request->mRequestId;
    // Names must come from the configuration that the request was planned by.
    const DeploymentPointer deployment =
      mRunner.State().mConfiguration.mDeployment;
    const Outcome outcome = mRunner.Ask(std::move(*request), aWatch);
    return FormatOutcome(id, outcome, deployment.get());
  }

private:
  std::string GenerateRequestId()
  {
    const NodeIdentity& self = mRunner.State().mSelf;
    return self.mName + "-" + std::to_string(self.mIncarnation.Value()) + "-" +
           std::to_string(mNextRequest++);
  }

  NodeRunner& mRunner;
  std::uint64_t mNextRequest = 1;
};

int
Report(const Error& aError, int aExit)
{
  std::cerr << ToText(aError) << "\n";
  return aExit;
}

/** Lets requests in flight finish, then returns. */
void
StopGracefully(NodeRunner& aRunner, HttpServer& aCallers, Duration aWait)
{
  const TimePoint until = NodeRunner::Now() + aWait;
  aRunner.Deliver(StopRequested{});
  aCallers.Stop(until);
  while (!aRunner.State().IsDrained() && NodeRunner::Now() < until) {
    boost::this_fiber::sleep_for(kDrainPollInterval);
  }
}

int
RunDaemon(const DaemonSettings& aSettings)
{
  IoLoop loop;
  LogWriter log(aSettings.mLogFile, aSettings.mLogLevel);
  const NodeIdentity identity = IdentityFrom(aSettings);
  const std::uint64_t seed =
    identity.mId.Value() ^ identity.mIncarnation.Value();
  NodeRunner runner(loop,
                    MakeNodeState(identity, seed, PeersFrom(aSettings)),
                    aSettings.mPlatformAddress,
                    log);
  PeerTransportLimits peerLimits;
  peerLimits.mMostFrameBytes = aSettings.mMostFrameBytes;
  const auto started = runner.Start(peerLimits);
  if (!started) {
    return Report(started.error(), kExitFailure);
  }
  HttpServerLimits callerLimits;
  callerLimits.mMostBodyBytes = aSettings.mMostBodyBytes;
  auto callers = HttpServer::Start(
    loop, aSettings.mCallerAddress, callerLimits, CallerInterface(runner));
  if (!callers) {
    return Report(callers.error(), kExitFailure);
  }
  auto operators =
    HttpServer::Start(loop,
                      aSettings.mOperatorAddress,
                      HttpServerLimits{},
                      [&runner](const HttpRequest& aRequest) {
                        return HandleOperatorRequest(runner, aRequest);
                      });
  if (!operators) {
    return Report(operators.error(), kExitFailure);
  }
  loop.WaitForStopSignal();
  StopGracefully(runner, **callers, aSettings.mStopWait);
  log.Flush();
  // Fibers that wait for ever hold references to this frame's objects; the
  // process ends without unwinding them.
  std::quick_exit(EXIT_SUCCESS);
}

int
Main(int aCount, char** aArguments)
{
  const auto line = ParseCommandLine(aCount, aArguments);
  if (!line) {
    return Report(line.error(), kExitUsage);
  }
  if (line->mShowHelp || line->mShowVersion) {
    return EXIT_SUCCESS;
  }
  const auto settings = ReadSettings(line->mSettingsFile);
  if (!settings) {
    for (const Fault& fault : settings.error()) {
      std::cerr << ToText(fault) << "\n";
    }
    return kExitUsage;
  }
  if (line->mCheckOnly) {
    std::cout << line->mSettingsFile << ": no fault found\n";
    return EXIT_SUCCESS;
  }
  return RunDaemon(*settings);
}

} // namespace

} // namespace wasabispread

int
main(int aCount, char** aArguments)
{
  return wasabispread::Main(aCount, aArguments);
}
