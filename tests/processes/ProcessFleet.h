/*
 * Runs a deployment of real processes on loopback: the platform's stand-in and,
 * in each of three zones, one daemon and one process with the zone's targets.
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

/** The zones' names. A zone's index here is also the index of its daemon and
    of its target process. */
inline const std::vector<std::string> kZones{ "zone-a", "zone-b", "zone-c" };

/** The fields of a caller's request. */
struct TestRequest
{
  /** "stock" has 6 shards with two replicas each, in different zones; "solo"
      has 6 shards with one replica each. */
  std::string mService = "stock";
  std::string mOperation = "search";
  std::string mKey;
  std::string mIdempotencyKey;
  std::string mTimeoutMs = "1000";
};

/** Owns the platform's process, and a target process and a daemon in each of
    three zones. The destructor kills them and removes their folder. */
class ProcessFleet
{
public:
  /** Starts all processes, applies the deployment file, and waits until every
      daemon is ready and answers from all shards of both services. */
  ProcessFleet();
  ~ProcessFleet();

  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  ChildProcess& Platform() { return mPlatform; }
  ChildProcess& Targets(std::size_t aZone) { return mTargets.at(aZone); }
  ChildProcess& Daemon(std::size_t aZone) { return mDaemons.at(aZone); }

  /** Starts a daemon again after its end. */
  void RestartDaemon(std::size_t aZone);

  /** Waits until a daemon is ready, holds connections and lists all three VMs
      as members. */
  void AwaitReady(std::size_t aZone);

  Endpoint CallerAddress(std::size_t aZone) const;
  Endpoint OperatorAddress(std::size_t aZone) const;
  Endpoint PeerAddress(std::size_t aZone) const;
  Endpoint PlatformAddress() const;

  /** Sends a request to a daemon on a new connection and returns the call,
      which also becomes part of the history. */
  HistoryCall Ask(std::size_t aZone, const TestRequest& aRequest);

  /** Sends a request on a connection that stays open between calls. aIsOpen
      is read and updated; the connection is opened when it is false. */
  HistoryCall AskOn(HttpConnection& aConnection,
                    bool& aIsOpen,
                    std::size_t aZone,
                    const TestRequest& aRequest);

  /** Changes the behaviour and faults of the targets of one zone, of all
      targets, or of the platform. */
  void ControlTargets(std::size_t aZone, const nlohmann::json& aChange);
  void ControlAllTargets(const nlohmann::json& aChange);
  void ControlPlatform(const nlohmann::json& aChange);

  /** Sets the platform's list to the three VMs; those of the zones in aLeaving
      get the state "leaving". */
  void SetVmList(const std::vector<std::size_t>& aLeaving);

  /** Runs the operators' command line tool to its end. */
  FinishedProcess RunTool(const std::vector<std::string>& aArguments);

  /** Sends a GET request to a daemon's operator address. */
  Result<HttpResponse> GetOperator(std::size_t aZone, const std::string& aPath);

  /** Every execution recorded so far, including those by processes that have
      been killed since. */
  std::vector<HistoryExecution> Executions() const;

  /** The requests sent since the current test began. */
  std::span<const HistoryCall> Calls() const
  {
    return std::span(mCalls).subspan(mFirstCall);
  }

  /** Whether a target has executed anything since the current test began. */
  bool HasExecuted() const { return Executions().size() > mFirstExecution; }

  /** Begins another test: switches off every fault and empties Calls(). */
  void BeginTest();

  /** Whether another test may use the fleet: no process was killed,
      terminated or frozen, and MarkNotReusable() was not called. */
  bool IsReusable() const;

  /** Makes the next test start a new fleet. */
  void MarkNotReusable() { mIsMarkedNotReusable = true; }

  /** Waits until the targets have executed something and record no more
      executions for 100 ms, then checks the whole history of the fleet.
      Throws std::runtime_error with the first violation. */
  void ExpectSoundHistory();

  const std::string& Folder() const { return mFolder; }
  const std::string& DeploymentFile() const { return mDeploymentFile; }

private:
  void AwaitCompleteSearches();
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
  /** Three for each daemon in turn: for callers, operators and peers. */
  std::vector<std::uint16_t> mDaemonPorts;
  ChildProcess mPlatform;
  std::vector<ChildProcess> mTargets;
  std::vector<ChildProcess> mDaemons;
  std::vector<HistoryCall> mCalls;
  std::size_t mFirstCall = 0;
  std::size_t mFirstExecution = 0;
  bool mIsMarkedNotReusable = false;
};

/** Returns the previous test's fleet if it is reusable, or else a new one. */
std::shared_ptr<ProcessFleet>
AcquireFleet();

} // namespace wasabispread::testing
