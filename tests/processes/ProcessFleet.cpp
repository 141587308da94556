/*
 * Writes the fleet's files, starts its processes and sends requests to them.
 */
#include "ProcessFleet.h"

#include "FreePorts.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <boost/fiber/operations.hpp>
#include <stdlib.h>

namespace wasabispread::testing {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kPortsPerDaemon = 3;
constexpr unsigned kShards = 6;
constexpr Duration kCallTimeout = std::chrono::seconds(15);

std::string
ServiceText(const std::string& aName, unsigned aReplicas)
{
  std::string text = "[[service]]\nname = \"" + aName +
                     "\"\nshards = " + std::to_string(kShards) +
                     "\noperations = [\"search\", \"lookup\", \"action\"]\n"
                     "prefer = \"coverage\"\nleast_coverage = 1.0\n"
                     "max_wait = \"2s\"\nconnection_cap = 12\n"
                     "connect_time = \"1ms\"\nextra_load_percent = 10\n";
  for (unsigned shard = 0; shard < kShards; ++shard) {
    for (unsigned replica = 0; replica < aReplicas; ++replica) {
      text += "[[service.target]]\nname = \"" + aName + "-" +
              std::to_string(shard) + "-" + std::to_string(replica) +
              "\"\naddress = \"127.0.0.1:" + std::to_string(NextFreePort()) +
              "\"\nzone = \"" + kZones[(shard + replica) % kZones.size()] +
              "\"\nshards = [" + std::to_string(shard) + "]\n";
    }
  }
  return text;
}

HttpRequest
FormatTestRequest(const TestRequest& aRequest, const std::string& aRequestId)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget =
    "/v1/services/" + aRequest.mService + "/" + aRequest.mOperation;
  if (!aRequest.mKey.empty()) {
    request.mTarget += "?key=" + aRequest.mKey;
  }
  request.mHeaders = { { "X-Patience-Ms", aRequest.mTimeoutMs },
                       { "X-Request-Id", aRequestId } };
  if (!aRequest.mIdempotencyKey.empty()) {
    request.mHeaders.push_back({ "Idempotency-Key", aRequest.mIdempotencyKey });
  }
  request.mBody = "body of " + aRequestId;
  return request;
}

/** Copies a response's fields to the call. Throws std::runtime_error if it
    answers another request. */
void
ReadResponse(const HttpResponse& aResponse, HistoryCall& aCall)
{
  const Json json = Json::parse(aResponse.mBody);
  if (json.at("request_id") != aCall.mRequestId) {
    throw std::runtime_error("a response has another request's id");
  }
  if (json.contains("kind")) {
    aCall.mErrorKind = json.at("kind");
    aCall.mErrorMessage = json.at("title");
    aCall.mRan = json.at("ran");
    return;
  }
  aCall.mSnapshot = json.at("snapshot");
  aCall.mShardsAsked = json.at("coverage").at("shards");
  for (const Json& missing : json.at("coverage").at("missing")) {
    aCall.mMissing.push_back(missing.at("shard"));
    aCall.mMissingReasons += " " + missing.at("reason").get<std::string>();
  }
  for (const Json& result : json.at("results")) {
    aCall.mResults.push_back(
      { result.at("shard"), result.at("target"), result.at("body") });
  }
}

} // namespace

ProcessFleet::ProcessFleet()
  : mFolder(MakeFolder())
  , mDeploymentFile(mFolder + "/deployment.toml")
  , mPlatformPort(NextFreePort())
{
  TestLoop();
  for (std::size_t zone = 0; zone < kZones.size(); ++zone) {
    mControlPorts.push_back(NextFreePort());
    for (std::size_t port = 0; port < kPortsPerDaemon; ++port) {
      mDaemonPorts.push_back(NextFreePort());
    }
  }
  WriteFiles();
  mPlatform = ChildProcess("platform_standin",
                           { "--port", std::to_string(mPlatformPort) },
                           mFolder + "/platform.log");
  for (std::size_t zone = 0; zone < kZones.size(); ++zone) {
    mTargets.emplace_back(
      "target_standin",
      std::vector<std::string>{ "--deployment",
                                mDeploymentFile,
                                "--control-port",
                                std::to_string(mControlPorts[zone]),
                                "--zone",
                                kZones[zone],
                                "--record",
                                mFolder + "/executions" },
      mFolder + "/targets.log");
  }
  AwaitCondition(
    [this] {
      return ExchangeOnce(
               TestLoop(), PlatformAddress(), FormatVmListRead(), kCallTimeout)
        .has_value();
    },
    "the platform answers a read of the VM list");
  SetVmList({});
  for (std::size_t zone = 0; zone < kZones.size(); ++zone) {
    mDaemons.emplace_back();
    StartDaemon(zone);
  }
  const FinishedProcess applied = RunTool(
    { "apply", mDeploymentFile, "--platform", ToText(PlatformAddress()) });
  if (applied.mExitCode != 0) {
    throw std::runtime_error("apply failed: " + applied.mOutput);
  }
  for (std::size_t zone = 0; zone < kZones.size(); ++zone) {
    AwaitReady(zone);
  }
  AwaitCompleteSearches();
}

std::shared_ptr<ProcessFleet>
AcquireFleet()
{
  static std::shared_ptr<ProcessFleet> fleet;
  if (fleet == nullptr || !fleet->IsReusable()) {
    fleet.reset();
    fleet = std::make_shared<ProcessFleet>();
  }
  fleet->BeginTest();
  return fleet;
}

void
ProcessFleet::AwaitCompleteSearches()
{
  for (const char* service : { "stock", "solo" }) {
    TestRequest ask;
    ask.mService = service;
    for (std::size_t zone = 0; zone < kZones.size(); ++zone) {
      AwaitCondition(
        [&] {
          const HistoryCall call = Ask(zone, ask);
          return call.mErrorKind.empty() && call.mMissing.empty();
        },
        "a search is answered by all shards");
    }
  }
}

void
ProcessFleet::BeginTest()
{
  ControlAllTargets({ { "service_ms", 1 },
                      { "stragglers", 0 },
                      { "shed", 0 },
                      { "draining", false },
                      { "frozen", false },
                      { "reset", "never" },
                      { "reset_share", 1 } });
  ControlPlatform({ { "outage", false },
                    { "delay_ms", 0 },
                    { "jitter_ms", 0 },
                    { "lose_write_replies", 0 },
                    { "lose_share", 0 } });
  mFirstCall = mCalls.size();
  mFirstExecution = Executions().size();
}

bool
ProcessFleet::IsReusable() const
{
  const auto isHarmed = [](const ChildProcess& aProcess) {
    return aProcess.WasKilledOrFrozen();
  };
  return !mIsMarkedNotReusable && !mPlatform.WasKilledOrFrozen() &&
         std::none_of(mTargets.begin(), mTargets.end(), isHarmed) &&
         std::none_of(mDaemons.begin(), mDaemons.end(), isHarmed);
}

ProcessFleet::~ProcessFleet()
{
  std::error_code ignored;
  for (auto* group : { &mDaemons, &mTargets }) {
    for (ChildProcess& process : *group) {
      process.Kill();
    }
  }
  mPlatform.Kill();
  std::filesystem::remove_all(mFolder, ignored);
}

void
ProcessFleet::WriteFiles()
{
  std::ofstream(mDeploymentFile)
    << "format = 1\ndeployment = \"processes\"\n"
    << ServiceText("stock", 2) << ServiceText("solo", 1);
  for (std::size_t zone = 0; zone < kZones.size(); ++zone) {
    std::ofstream settings(SettingsFile(zone));
    settings << "name = \"vm-" << zone << "\"\nzone = \"" << kZones[zone]
             << "\"\nplatform = \"" << ToText(PlatformAddress())
             << "\"\n[listen]\ncallers = \"" << ToText(CallerAddress(zone))
             << "\"\noperators = \"" << ToText(OperatorAddress(zone))
             << "\"\npeers = \"" << ToText(PeerAddress(zone))
             << "\"\n[log]\nfile = \"" << mFolder << "/vm-" << zone
             << ".jsonl\"\n[limits]\nbody_bytes = 65536\n"
             << "start_spread = \"100ms\"\nhold_delay = \"1s\"\n"
                "stop_notice = \"2500ms\"\nstop_wait = \"10s\"\n";
  }
}

std::string
ProcessFleet::SettingsFile(std::size_t aZone) const
{
  return mFolder + "/vm-" + std::to_string(aZone) + ".toml";
}

void
ProcessFleet::StartDaemon(std::size_t aZone)
{
  mDaemons.at(aZone) = ChildProcess("wasabispreadd",
                                    { "--settings", SettingsFile(aZone) },
                                    mFolder + "/vm.log");
}

void
ProcessFleet::RestartDaemon(std::size_t aZone)
{
  StartDaemon(aZone);
  AwaitReady(aZone);
}

void
ProcessFleet::AwaitReady(std::size_t aZone)
{
  AwaitCondition(
    [this, aZone] {
      const auto status = GetOperator(aZone, "/v1/status");
      if (!status) {
        return false;
      }
      const Json json = Json::parse(status->mBody);
      return json.at("ready") == true && json.at("holds_connections") == true &&
             json.at("members").size() == kZones.size();
    },
    "a daemon is ready and lists all VMs as members");
}

Endpoint
ProcessFleet::CallerAddress(std::size_t aZone) const
{
  return { "127.0.0.1", mDaemonPorts.at(aZone * kPortsPerDaemon) };
}

Endpoint
ProcessFleet::OperatorAddress(std::size_t aZone) const
{
  return { "127.0.0.1", mDaemonPorts.at(aZone * kPortsPerDaemon + 1) };
}

Endpoint
ProcessFleet::PeerAddress(std::size_t aZone) const
{
  return { "127.0.0.1", mDaemonPorts.at(aZone * kPortsPerDaemon + 2) };
}

Endpoint
ProcessFleet::PlatformAddress() const
{
  return { "127.0.0.1", mPlatformPort };
}

HistoryCall
ProcessFleet::Ask(std::size_t aZone, const TestRequest& aRequest)
{
  HttpConnection connection(TestLoop());
  bool isOpen = false;
  return AskOn(connection, isOpen, aZone, aRequest);
}

HistoryCall
ProcessFleet::AskOn(HttpConnection& aConnection,
                    bool& aIsOpen,
                    std::size_t aZone,
                    const TestRequest& aRequest)
{
  HistoryCall call;
  call.mRequestId = "r" + std::to_string(mCalls.size());
  call.mOperation = aRequest.mOperation;
  call.mIdempotencyKey = aRequest.mIdempotencyKey;
  call.mErrorKind = "no-response";
  call.mRan = "unknown";
  const std::size_t position = mCalls.size();
  mCalls.push_back(call);
  Result<HttpResponse> response = Fail(ErrorKind::kConnectionFailed, "", "");
  if (!aIsOpen) {
    const auto connected =
      aConnection.Connect(CallerAddress(aZone), kCallTimeout);
    aIsOpen = connected.has_value();
  }
  if (aIsOpen) {
    response = aConnection.Exchange(
      FormatTestRequest(aRequest, call.mRequestId), kCallTimeout);
    aIsOpen = response.has_value() && response->mKeepAlive;
  }
  if (response) {
    call.mErrorKind.clear();
    call.mRan.clear();
    ReadResponse(*response, call);
  } else {
    call.mRan = ToText(response.error().mExecution);
  }
  if (!aIsOpen) {
    aConnection.Close();
  }
  mCalls[position] = call;
  return call;
}

HttpResponse
ProcessFleet::Control(const Endpoint& aAddress,
                      const std::string& aPath,
                      const Json& aBody)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = aPath;
  request.mBody = aBody.dump();
  auto response = ExchangeOnce(TestLoop(), aAddress, request, kCallTimeout);
  if (!response) {
    throw std::runtime_error("a request to a control address failed: " +
                             ToText(response.error()));
  }
  return *response;
}

void
ProcessFleet::ControlTargets(std::size_t aZone, const Json& aChange)
{
  Control(
    { "127.0.0.1", mControlPorts.at(aZone) }, "/control/behaviour", aChange);
}

void
ProcessFleet::ControlAllTargets(const Json& aChange)
{
  for (std::size_t zone = 0; zone < kZones.size(); ++zone) {
    ControlTargets(zone, aChange);
  }
}

void
ProcessFleet::ControlPlatform(const Json& aChange)
{
  Control(PlatformAddress(), "/control/faults", aChange);
}

void
ProcessFleet::SetVmList(const std::vector<std::size_t>& aLeaving)
{
  Json vms = Json::array();
  for (std::size_t zone = 0; zone < kZones.size(); ++zone) {
    const bool isLeaving =
      std::find(aLeaving.begin(), aLeaving.end(), zone) != aLeaving.end();
    vms.push_back({ { "name", "vm-" + std::to_string(zone) },
                    { "zone", kZones[zone] },
                    { "host", "127.0.0.1" },
                    { "port", PeerAddress(zone).mPort },
                    { "state", isLeaving ? "leaving" : "live" } });
  }
  Control(PlatformAddress(), "/control/vms", { { "vms", vms } });
}

FinishedProcess
ProcessFleet::RunTool(const std::vector<std::string>& aArguments)
{
  return RunToEnd("wasabispread", aArguments, mFolder + "/tool.log");
}

Result<HttpResponse>
ProcessFleet::GetOperator(std::size_t aZone, const std::string& aPath)
{
  HttpRequest request;
  request.mTarget = aPath;
  return ExchangeOnce(
    TestLoop(), OperatorAddress(aZone), request, kCallTimeout);
}

std::vector<HistoryExecution>
ProcessFleet::Executions() const
{
  std::vector<HistoryExecution> executions;
  std::istringstream lines(ReadWholeFile(mFolder + "/executions"));
  std::string line;
  while (std::getline(lines, line)) {
    const Json json = Json::parse(line);
    executions.push_back(
      { json.at("request_id"),
        json.at("target"),
        static_cast<unsigned>(std::stoul(json.at("shard").get<std::string>())),
        json.at("snapshot") });
  }
  return executions;
}

void
ProcessFleet::ExpectSoundHistory()
{
  constexpr Duration kQuietInterval = std::chrono::milliseconds(100);
  std::size_t seen = 0;
  AwaitCondition(
    [&] {
      const std::size_t before = std::exchange(seen, Executions().size());
      boost::this_fiber::sleep_for(kQuietInterval);
      return before == seen && seen != 0;
    },
    "the targets record no more executions");
  const auto violations = CheckHistory(mCalls, Executions());
  if (!violations.empty()) {
    throw std::runtime_error(
      std::to_string(violations.size()) +
      " violations of the history; the first: " + violations.front());
  }
}

} // namespace wasabispread::testing
