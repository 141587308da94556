/*
 * Real forwarding daemons on loopback, with a store and targets of this
 * process.
 */
#pragma once

#include "StandInStore.h"
#include "StandInTarget.h"

#include <tests/processes/ChildProcess.h>
#include <tests/processes/TestLoop.h>

namespace wasabispread::testing {

/** A request to a daemon. */
struct ForwarderAsk
{
  std::string mPath = "/one/x";
  std::string mMethod = "GET";
  std::string mBody;
  std::string mPatienceMs = "2000";
  std::vector<HttpHeader> mHeaders;
};

/** A request and how it ended. */
struct ForwarderAnswer
{
  std::string mRequestId;
  Result<HttpResponse> mResponse;

  unsigned Status() const { return mResponse ? mResponse->mStatus : 0; }
};

/** A store, targets and daemons. Routes: "/one/" to service "one", which may
    be repeated; "/once/" to service "once", which may not; "/search/" to the
    services "shard-0", "shard-1" and so on. Everything ends with the
   destructor. */
class ForwarderFleet
{
public:
  /** Starts the store with a configuration and two targets of each service,
      and as many daemons as told; waits until they are ready. */
  explicit ForwarderFleet(std::size_t aDaemons = 1, std::size_t aShards = 4);
  ~ForwarderFleet();

  ForwarderFleet(const ForwarderFleet&) = delete;
  ForwarderFleet& operator=(const ForwarderFleet&) = delete;

  StandInStore& Store() { return *mStore; }
  const RunLog& Runs() const { return mRuns; }
  ChildProcess& Daemon(std::size_t aDaemon)
  {
    return mDaemons.at(aDaemon).mProcess;
  }

  /** Starts a daemon, anew after its end. */
  void StartDaemon(std::size_t aDaemon);

  /** Starts a target and registers it. */
  StandInTarget& AddTarget(const std::string& aService,
                           const std::string& aInstance,
                           std::uint16_t aPort = 0);

  StandInTarget& Target(const std::string& aInstance);

  /** Writes a target's entry. */
  void Register(const StandInTarget& aTarget,
                const std::string& aState = "ready",
                const std::string& aInstance = "");

  /** Sets the behaviour of every target of a service. */
  void Misbehave(const std::string& aService, Misbehaviour aMisbehaviour);

  /** Puts the next version in force; "/one/" leads to aOneService. */
  void Configure(const std::string& aOneService = "one");

  ForwarderAnswer Ask(const ForwarderAsk& aAsk, std::size_t aDaemon = 0);
  ForwarderAnswer AskOn(HttpConnection& aConnection, const ForwarderAsk& aAsk);

  Endpoint Callers(std::size_t aDaemon) const;
  bool IsReady(std::size_t aDaemon);

  /** How often a request ran. */
  std::size_t RunsOf(const std::string& aRequestId) const;

  /** The parsed lines that a daemon logged, all starts together. */
  std::vector<nlohmann::json> Lines(std::size_t aDaemon) const;
  bool HasLogged(std::size_t aDaemon, const std::string& aEvent) const;

  std::string SettingsFile(std::size_t aDaemon) const;
  std::string LogFile(std::size_t aDaemon) const;

private:
  struct DaemonPlace
  {
    std::array<std::uint16_t, 4> mPorts{};
    Endpoint mDoor;
    ChildProcess mProcess;
  };

  std::string mFolder;
  RunLog mRuns;
  std::unique_ptr<StandInStore> mStore;
  std::vector<std::unique_ptr<StandInTarget>> mTargets;
  std::vector<DaemonPlace> mDaemons;
  std::size_t mShards;
  std::uint64_t mVersion = 0;
  std::uint64_t mSequence = 0;
  std::uint64_t mNextRequest = 1;
};

} // namespace wasabispread::testing
