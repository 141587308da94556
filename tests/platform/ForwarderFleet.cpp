/*
 * Writes the settings and store entries of the fleet and sends requests to its
 * daemons.
 */
#include "ForwarderFleet.h"

#include <tests/processes/FreePorts.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace wasabispread::testing {

namespace {

using Json = nlohmann::json;

constexpr Duration kRequestTimeout = std::chrono::seconds(15);
constexpr unsigned kConnections = 26;

Json
RouteEntry(const std::string& aName, const std::string& aKind)
{
  return { { "name", aName },
           { "host", "host.example" },
           { "prefix", "/" + aName + "/" },
           { "routeType", aKind },
           { "timeoutMs", 2000 },
           { "targetLatencyMs", 400 },
           { "attempts", 2 },
           { "priority", 0 } };
}

/** Versions rise by more than one. */
constexpr std::uint64_t kVersionStep = 3;

} // namespace

std::string
VersionPrefix(std::uint64_t aVersion)
{
  return "/v" + std::to_string(aVersion) + "/";
}

std::uint64_t
ForwarderFleet::VersionBefore(std::uint64_t aVersion)
{
  return aVersion - kVersionStep;
}

ForwarderFleet::ForwarderFleet(std::size_t aDaemons,
                               std::size_t aShards,
                               FleetLinks aLinks,
                               std::string aMoreSettings)
  : mFolder(MakeFolder())
  , mLinks(aLinks)
  , mMoreSettings(std::move(aMoreSettings))
  , mStore(std::make_unique<StandInStore>(TestLoop()))
  , mDaemons(aDaemons)
  , mShards(aShards)
{
  Configure();
  std::vector<std::string> services{ "one", "once" };
  for (std::size_t shard = 0; shard < mShards; ++shard) {
    services.push_back("shard-" + std::to_string(shard));
  }
  for (const std::string& service : services) {
    AddTarget(service, service + "-a");
    AddTarget(service, service + "-b");
  }
  for (std::size_t daemon = 0; daemon < aDaemons; ++daemon) {
    DaemonSetup& setup = mDaemons[daemon];
    setup.mStoreAddress = mStore->OpenVmPort();
    std::generate(setup.mPorts.begin(), setup.mPorts.end(), NextFreePort);
    if (mLinks == FleetLinks::kRelayed) {
      OpenLinks(setup);
    }
  }
  mStore->mOnPut = [this](std::string aValue) {
    return WithPeerLinks(std::move(aValue));
  };
  for (std::size_t daemon = 0; daemon < aDaemons; ++daemon) {
    StartDaemon(daemon);
  }
  for (std::size_t daemon = 0; daemon < aDaemons; ++daemon) {
    AwaitCondition([&] { return IsReady(daemon); }, "a daemon is ready");
  }
}

ForwarderFleet::~ForwarderFleet()
{
  for (DaemonSetup& setup : mDaemons) {
    setup.mProcess.Kill();
  }
  mTargets.clear();
  mStore.reset();
  std::error_code ignored;
  std::filesystem::remove_all(mFolder, ignored);
}

void
ForwarderFleet::OpenLinks(DaemonSetup& aSetup)
{
  const auto open = [](const Endpoint& aServer) {
    return std::make_unique<LinkRelay>(TestLoop(), aServer);
  };
  aSetup.mCallerLink = open(Endpoint{ "127.0.0.1", aSetup.mPorts[0] });
  aSetup.mPeerLink = open(Endpoint{ "127.0.0.1", aSetup.mPorts[2] });
  aSetup.mStoreLink = open(aSetup.mStoreAddress);
  aSetup.mStoreAddress = aSetup.mStoreLink->Address();
}

std::string
ForwarderFleet::WithPeerLinks(std::string aText) const
{
  for (const DaemonSetup& setup : mDaemons) {
    const std::string own = ToText(Endpoint{ "127.0.0.1", setup.mPorts[2] });
    const std::size_t start = aText.find("\"" + own + "\"");
    if (setup.mPeerLink && start != std::string::npos) {
      aText.replace(start + 1, own.size(), ToText(setup.mPeerLink->Address()));
    }
  }
  return aText;
}

LinkRelay&
ForwarderFleet::CallerLink(std::size_t aDaemon) const
{
  return *mDaemons.at(aDaemon).mCallerLink;
}

LinkRelay&
ForwarderFleet::PeerLink(std::size_t aDaemon) const
{
  return *mDaemons.at(aDaemon).mPeerLink;
}

LinkRelay&
ForwarderFleet::StoreLink(std::size_t aDaemon) const
{
  return *mDaemons.at(aDaemon).mStoreLink;
}

LinkRelay&
ForwarderFleet::TargetLink(const StandInTarget& aTarget) const
{
  return *mTargetLinks.at(aTarget.Port());
}

std::string
ForwarderFleet::SettingsFile(std::size_t aDaemon) const
{
  return mFolder + "/vm-" + std::to_string(aDaemon) + ".toml";
}

std::string
ForwarderFleet::LogFile(std::size_t aDaemon) const
{
  return mFolder + "/vm-" + std::to_string(aDaemon) + ".log";
}

void
ForwarderFleet::StartDaemon(std::size_t aDaemon)
{
  DaemonSetup& setup = mDaemons.at(aDaemon);
  const auto address = [&](std::size_t aPort) {
    return "\"127.0.0.1:" + std::to_string(setup.mPorts.at(aPort)) + "\"\n";
  };
  std::ofstream(SettingsFile(aDaemon))
    << "name = \"vm-" << aDaemon << "\"\nzone = \"zone-a\"\nstore = \""
    << ToText(setup.mStoreAddress)
    << "\"\nmemory_megabytes = " << mMemoryMegabytes
    << "\nstop_grace_seconds = 4\n[listen]\ncallers = " << address(0)
    << "readiness = " << address(1) << "peers = " << address(2)
    << "[repeats]\nshare = 0.2\nfixed = 200\nwindow_seconds = 10\n"
    << mMoreSettings;
  setup.mProcess =
    ChildProcess("wasabispreadd",
                 { "--forward", "--settings", SettingsFile(aDaemon) },
                 LogFile(aDaemon));
}

StandInTarget&
ForwarderFleet::AddTarget(const std::string& aService,
                          const std::string& aInstance,
                          std::uint16_t aPort)
{
  mTargets.push_back(
    std::make_unique<StandInTarget>(TestLoop(),
                                    mRuns,
                                    aService,
                                    aInstance,
                                    aPort == 0 ? NextFreePort() : aPort));
  if (mLinks == FleetLinks::kRelayed) {
    const std::uint16_t port = mTargets.back()->Port();
    mTargetLinks[port] =
      std::make_unique<LinkRelay>(TestLoop(), Endpoint{ "127.0.0.1", port });
  }
  Register(*mTargets.back());
  return *mTargets.back();
}

StandInTarget&
ForwarderFleet::Target(const std::string& aInstance)
{
  const auto position =
    std::find_if(mTargets.rbegin(), mTargets.rend(), [&](const auto& aTarget) {
      return aTarget->Instance() == aInstance;
    });
  if (position == mTargets.rend()) {
    throw std::logic_error("no target is named " + aInstance);
  }
  return **position;
}

void
ForwarderFleet::Register(const StandInTarget& aTarget,
                         const std::string& aState,
                         const std::string& aInstance)
{
  const auto link = mTargetLinks.find(aTarget.Port());
  const Endpoint address = link == mTargetLinks.end()
                             ? Endpoint{ "127.0.0.1", aTarget.Port() }
                             : link->second->Address();
  const auto zone = mZones.find(aTarget.Instance());
  const Json entry{ { "service", aTarget.Service() },
                    { "address", ToText(address) },
                    { "zone", zone == mZones.end() ? "zone-a" : zone->second },
                    { "version", "1" },
                    { "slots", aTarget.mSlots },
                    { "state", aState },
                    { "warmupLeftMs", 0 },
                    { "seq", ++mSequence },
                    { "born", 1 } };
  mStore->Put("servers/" + (aInstance.empty() ? aTarget.Instance() : aInstance),
              entry.dump());
}

void
ForwarderFleet::SetFault(const std::string& aService, TargetFault aFault)
{
  for (const auto& target : mTargets) {
    if (target->Service() == aService) {
      target->mFault = aFault;
    }
  }
}

std::uint64_t
ForwarderFleet::Configure(const std::string& aOneService)
{
  ConfigurationChoice choice;
  choice.mOneService = aOneService;
  return Configure(choice);
}

std::uint64_t
ForwarderFleet::Configure(const ConfigurationChoice& aChoice)
{
  const std::string& oneService = aChoice.mOneService;
  const auto milliseconds = [](Duration aTime) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  };
  mVersion += kVersionStep;
  Json own = RouteEntry("own", "idempotent");
  own["prefix"] = VersionPrefix(mVersion);
  own["service"] = "one";
  Json one = RouteEntry("one", "idempotent");
  one["service"] = oneService;
  Json once = RouteEntry("once", "non_idempotent");
  once["service"] = "once";
  Json search = RouteEntry("search", "idempotent");
  search["gather"] = Json::array();
  search["topK"] = 5;
  search["minCoverage"] = 0.5;
  for (Json* route : { &own, &one, &once, &search }) {
    (*route)["timeoutMs"] = milliseconds(aChoice.mTimeout);
  }
  Json services = Json::array();
  const auto add = [&](const std::string& aName) {
    services.push_back({ { "name", aName },
                         { "healthPath", "/health" },
                         { "maxConns", kConnections } });
  };
  for (std::size_t shard = 0; shard < mShards; ++shard) {
    search["gather"].push_back("shard-" + std::to_string(shard));
    add("shard-" + std::to_string(shard));
  }
  add("one");
  add("once");
  if (oneService != "one" && oneService != "once") {
    add(oneService);
  }
  Json configuration{
    { "version", mVersion },
    { "routes", { one, once, search, own } },
    { "services", services },
    { "limits",
      { { "maxHeaderBytes", aChoice.mHeaderBytes },
        { "maxBodyBytes", aChoice.mBodyBytes },
        { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", milliseconds(aChoice.mIdleTime) } } }
  };
  if (!aChoice.mOrganisations.is_null()) {
    configuration["tenants"] = aChoice.mOrganisations;
  }
  mStore->Put("op/config", configuration.dump());
  return mVersion;
}

ForwarderReply
ForwarderFleet::SendRequestOn(HttpConnection& aConnection,
                              const ForwarderRequest& aRequest)
{
  const std::string id = "r" + std::to_string(mNextRequest++);
  HttpRequest request;
  request.mMethod = aRequest.mMethod;
  request.mTarget = aRequest.mPath;
  request.mBody = aRequest.mBody;
  request.mHeaders = aRequest.mHeaders;
  request.mHeaders.push_back({ "Host", "host.example" });
  request.mHeaders.push_back({ "Wasabispread-Request-Id", id });
  request.mHeaders.push_back(
    { "Wasabispread-Request-Deadline-Ms", aRequest.mTimeoutMs });
  return { id, aConnection.Exchange(request, kRequestTimeout) };
}

ForwarderReply
ForwarderFleet::SendRequest(const ForwarderRequest& aRequest,
                            std::size_t aDaemon)
{
  HttpConnection connection(TestLoop());
  auto connected = connection.Connect(CallerEndpoint(aDaemon), kRequestTimeout);
  if (!connected) {
    return { "", tl::unexpected<Error>(connected.error()) };
  }
  return SendRequestOn(connection, aRequest);
}

Endpoint
ForwarderFleet::CallerEndpoint(std::size_t aDaemon) const
{
  return { "127.0.0.1", mDaemons.at(aDaemon).mPorts[0] };
}

Endpoint
ForwarderFleet::PeerEndpoint(std::size_t aDaemon) const
{
  return { "127.0.0.1", mDaemons.at(aDaemon).mPorts[2] };
}

bool
ForwarderFleet::IsReady(std::size_t aDaemon)
{
  HttpRequest request;
  request.mTarget = "/-/ready";
  const auto reply =
    ExchangeOnce(TestLoop(),
                 Endpoint{ "127.0.0.1", mDaemons.at(aDaemon).mPorts[1] },
                 request,
                 std::chrono::seconds(1));
  return reply && reply->mStatus == 200;
}

std::size_t
ForwarderFleet::CountRuns(const std::string& aRequestId) const
{
  return static_cast<std::size_t>(
    std::count_if(mRuns.begin(), mRuns.end(), [&](const TargetRun& aRun) {
      return aRun.mRequestId == aRequestId;
    }));
}

std::vector<nlohmann::json>
ForwarderFleet::LogRecords(std::size_t aDaemon) const
{
  std::vector<Json> lines;
  std::istringstream text(ReadWholeFile(LogFile(aDaemon)));
  for (std::string line; std::getline(text, line);) {
    Json json = Json::parse(line, nullptr, false);
    if (json.is_object()) {
      lines.push_back(std::move(json));
    }
  }
  return lines;
}

bool
ForwarderFleet::HasLogged(std::size_t aDaemon, const std::string& aEvent) const
{
  const auto lines = LogRecords(aDaemon);
  return std::any_of(lines.begin(), lines.end(), [&](const Json& aLine) {
    return aLine.value("event", "") == aEvent;
  });
}

} // namespace wasabispread::testing
