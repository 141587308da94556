/*
 * A whole deployment of real processes on loopback: the platform, the targets
 * of each zone, and one daemon in each zone.
 */
#pragma once

#include "ChildProcess.h"
#include "HistoryChecker.h"
#include "TestLoop.h"

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <memory>
#include <span>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace wasabispread::testing {

/** The zones, and with them the positions of daemons and target processes. */
inline const std::vector<std::string> kZones{ "zone-a", "zone-b", "zone-c" };

/** What a caller asks. */
struct ProcessAsk
{
  /** "stock" has two replicas of each of 6 shards in different zones; "solo"
      has one of each of 6. */
  std::string mService = "stock";
  std::string mOperation = "search";
  std::string mKey;
  std::string mIdempotencyKey;
  std::string mPatienceMs = "1000";
};

/** A port and three processes in each of three zones. Everything is killed by
    the destructor; its folder is removed. */
class ProcessFleet
{
public:
  /** Starts everything, applies the file, and waits until all is ready and
      each zone's daemon holds its targets. */
  ProcessFleet();
  ~ProcessFleet();

  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  ChildProcess& Platform() { return mPlatform; }
  ChildProcess& Targets(std::size_t aZone) { return mTargets.at(aZone); }
  ChildProcess& Daemon(std::size_t aZone) { return mDaemons.at(aZone); }

  /** Starts a daemon again after its end. */
  void RestartDaemon(std::size_t aZone);

  /** Waits until a daemon is ready and knows all three. */
  void AwaitReady(std::size_t aZone);

  Endpoint CallerAddress(std::size_t aZone) const;
  Endpoint OperatorAddress(std::size_t aZone) const;
  Endpoint PeerAddress(std::size_t aZone) const;
  Endpoint PlatformAddress() const;

  /** Asks a daemon on a connection of its own; the call is part of the
      history. */
  HistoryCall Ask(std::size_t aZone, const ProcessAsk& aAsk);

  /** Asks on a connection that is kept, and opened when needed. */
  HistoryCall AskOn(HttpConnection& aConnection,
                    bool& aIsOpen,
                    std::size_t aZone,
                    const ProcessAsk& aAsk);

  /** Switches faults of the targets of one zone, or of the platform. */
  void ControlTargets(std::size_t aZone, const nlohmann::json& aChange);
  void ControlAllTargets(const nlohmann::json& aChange);
  void ControlPlatform(const nlohmann::json& aChange);

  /** Shows VMs on the platform's list; those named leave. */
  void ShowVms(const std::vector<std::size_t>& aLeaving);

  /** Runs the operators' tool. */
  FinishedProcess RunTool(const std::vector<std::string>& aArguments);

  /** A GET of a daemon's operator address. */
  Result<HttpResponse> GetOperator(std::size_t aZone, const std::string& aPath);

  /** Every execution recorded so far, also by processes since killed. */
  std::vector<HistoryExecution> Executions() const;

  /** Every request asked since the present test began. */
  std::span<const HistoryCall> Calls() const
  {
    return std::span(mCalls).subspan(mFirstCall);
  }

  /** Whether anything was executed since the present test began. */
  bool HasExecuted() const { return Executions().size() > mFirstExecution; }

  /** Begins another test: every fault is switched off. */
  void BeginTest();

  /** Whether another test may use the fleet: no process was harmed. */
  bool IsReusable() const;

  /** Keeps other tests from using the fleet. */
  void UseUp() { mIsUsedUp = true; }

  /** Waits until no execution is added, then fails unless the history is
      sound; then nothing is left to be checked again. */
  void ExpectSoundHistory();

  const std::string& Folder() const { return mFolder; }
  const std::string& DeploymentFile() const { return mDeploymentFile; }

private:
  void AwaitOwners();
  void WriteFiles();
  void StartDaemon(std::size_t aZone);
  std::string SettingsFile(std::size_t aZone) const;
  HttpResponse Control(const Endpoint& aAddress,
                       const std::string& aPath,
                       const nlohmann::json& aBody);

  std::string mFolder;
  std::string mDeploymentFile;
  std::uint16_t mPlatformPort = 0;
  std::vector<std::uint16_t> mControlPorts;
  /** Three of each daemon: callers, operators, peers. */
  std::vector<std::uint16_t> mDaemonPorts;
  ChildProcess mPlatform;
  std::vector<ChildProcess> mTargets;
  std::vector<ChildProcess> mDaemons;
  std::vector<HistoryCall> mCalls;
  std::size_t mFirstCall = 0;
  std::size_t mFirstExecution = 0;
  bool mIsUsedUp = false;
};

/** The fleet of the test before, if it is reusable, or else a new one. */
std::shared_ptr<ProcessFleet>
AcquireFleet();

} // namespace wasabispread::testing
