/*
 * Runs real forwarding daemons on loopback, with a stand-in store and stand-in
 * targets in the process of the test.
 */
#pragma once

#include "LinkRelay.h"
#include "StandInStore.h"
#include "StandInTarget.h"

#include <tests/processes/ChildProcess.h>
#include <tests/processes/TestLoop.h>

namespace wasabispread::testing {

/** A request that a test sends to a daemon. */
struct ForwarderRequest
{
  std::string mPath = "/one/x";
  std::string mMethod = "GET";
  std::string mBody;
  std::string mTimeoutMs = "2000";
  std::vector<HttpHeader> mHeaders;
};

/** What a version of the configuration sets. */
struct ConfigurationChoice
{
  /** The service to which the route "/one/" leads. */
  std::string mOneService = "one";
  Duration mTimeout = std::chrono::seconds(2);
  Duration mIdleTime = std::chrono::seconds(15);
  unsigned mHeaderBytes = 8192;
  unsigned mBodyBytes = 100000;
  /** The organisations; null when the configuration names none. */
  nlohmann::json mOrganisations = nullptr;
};

/** The id of a request and its response or error. */
struct ForwarderReply
{
  std::string mRequestId;
  Result<HttpResponse> mResponse;

  unsigned Status() const { return mResponse ? mResponse->mStatus : 0; }
};

/** The prefix of the route that only this version of the configuration has. */
std::string
VersionPrefix(std::uint64_t aVersion);

/** Whether the parts of a fleet reach each other directly or over links that a
    test can disturb. */
enum class FleetLinks : std::uint8_t
{
  kDirect,
  kRelayed,
};

/** A store, targets and daemons. Routes: "/one/" to service "one", whose
    requests are idempotent; "/once/" to service "once", whose requests are
    not; "/search/" to the services "shard-0", "shard-1" and so on. The
    destructor kills the daemons and ends the targets and the store. */
class ForwarderFleet
{
public:
  /** Starts the store with a configuration, two targets of each service and
      aDaemons daemons, and waits until the daemons are ready. aMoreSettings are
      tables at the end of the daemons' settings. */
  explicit ForwarderFleet(std::size_t aDaemons = 1,
                          std::size_t aShards = 4,
                          FleetLinks aLinks = FleetLinks::kDirect,
                          std::string aMoreSettings = "");
  ~ForwarderFleet();

  ForwarderFleet(const ForwarderFleet&) = delete;
  ForwarderFleet& operator=(const ForwarderFleet&) = delete;

  /** The memory of the VMs whose daemons are started from now on. */
  std::size_t mMemoryMegabytes = 160;
  /** The availability zones of targets that are not in "zone-a", by name; in
      effect from the next Register(). */
  std::map<std::string, std::string> mZones;

  StandInStore& Store() { return *mStore; }
  const RunLog& Runs() const { return mRuns; }
  ChildProcess& Daemon(std::size_t aDaemon)
  {
    return mDaemons.at(aDaemon).mProcess;
  }

  /** Starts a daemon, or restarts it after it ended. */
  void StartDaemon(std::size_t aDaemon);

  /** Starts a target and writes its entry to the store. */
  StandInTarget& AddTarget(const std::string& aService,
                           const std::string& aInstance,
                           std::uint16_t aPort = 0);

  /** The target of this name that was started last. */
  StandInTarget& Target(const std::string& aInstance);

  /** Writes a target's entry to the store. */
  void Register(const StandInTarget& aTarget,
                const std::string& aState = "ready",
                const std::string& aInstance = "");

  /** Sets the fault of every target of a service. */
  void SetFault(const std::string& aService, TargetFault aFault);

  /** Writes the next configuration version to the store and returns it; its
      route "/one/" leads to aOneService, and its own route to "one". */
  std::uint64_t Configure(const std::string& aOneService = "one");
  std::uint64_t Configure(const ConfigurationChoice& aChoice);

  /** The version that was written before this one. */
  static std::uint64_t VersionBefore(std::uint64_t aVersion);

  ForwarderReply SendRequest(const ForwarderRequest& aRequest,
                             std::size_t aDaemon = 0);
  ForwarderReply SendRequestOn(HttpConnection& aConnection,
                               const ForwarderRequest& aRequest);

  Endpoint CallerEndpoint(std::size_t aDaemon) const;
  /** The address at which a daemon accepts connections of other VMs. */
  Endpoint PeerEndpoint(std::size_t aDaemon) const;

  /** The links of a fleet with kRelayed: the one of the callers that use it,
      the one on which other daemons connect to this one, and the one to the
      store. */
  LinkRelay& CallerLink(std::size_t aDaemon) const;
  LinkRelay& PeerLink(std::size_t aDaemon) const;
  LinkRelay& StoreLink(std::size_t aDaemon) const;
  /** The link of all daemons to a target. */
  LinkRelay& TargetLink(const StandInTarget& aTarget) const;
  bool IsReady(std::size_t aDaemon);

  /** How many times a request ran or started to run, on all targets. */
  std::size_t CountRuns(const std::string& aRequestId) const;

  /** The records that all starts of a daemon logged, parsed from its log
      file. */
  std::vector<nlohmann::json> LogRecords(std::size_t aDaemon) const;
  bool HasLogged(std::size_t aDaemon, const std::string& aEvent) const;

  std::string SettingsFile(std::size_t aDaemon) const;
  std::string LogFile(std::size_t aDaemon) const;

private:
  struct DaemonSetup
  {
    std::array<std::uint16_t, 4> mPorts{};
    Endpoint mStoreAddress;
    ChildProcess mProcess;
    std::unique_ptr<LinkRelay> mCallerLink;
    std::unique_ptr<LinkRelay> mPeerLink;
    std::unique_ptr<LinkRelay> mStoreLink;
  };

  void OpenLinks(DaemonSetup& aSetup);
  /** The text with the peers' addresses replaced by those of their links. */
  std::string WithPeerLinks(std::string aText) const;

  std::string mFolder;
  FleetLinks mLinks;
  std::string mMoreSettings;
  RunLog mRuns;
  std::unique_ptr<StandInStore> mStore;
  std::vector<std::unique_ptr<StandInTarget>> mTargets;
  /** By the target's port. */
  std::map<std::uint16_t, std::unique_ptr<LinkRelay>> mTargetLinks;
  std::vector<DaemonSetup> mDaemons;
  std::size_t mShards;
  std::uint64_t mVersion = 0;
  std::uint64_t mSequence = 0;
  std::uint64_t mNextRequest = 1;
};

} // namespace wasabispread::testing
