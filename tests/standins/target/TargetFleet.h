/*
 * Runs every target of a deployment, or those of one zone, in one process.
 */
#pragma once

#include "ExecutionLog.h"
#include "TargetBehaviour.h"

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <map>
#include <memory>
#include <string>

namespace wasabispread {

/** The settings of a target fleet. */
struct FleetOptions
{
  Deployment mDeployment;
  /** Runs only the targets of this zone, or all targets when empty. */
  std::string mZone;
  std::uint64_t mSeed = 1;
  /** The file to which executions are written; none when empty. */
  std::string mRecordFile;
  /** The time after which an idle connection is closed. */
  Duration mIdleLimit = std::chrono::minutes(2);
};

/** One target: its behaviour, its server and what it reports. */
struct FleetTarget
{
  const Target* mTarget = nullptr;
  TargetBehaviour mBehaviour;
  std::unique_ptr<HttpServer> mServer;
  /** When the target last started or stopped draining. */
  TimePoint mDrainingSince{};
  /** The attempts that are running, by id. */
  std::map<std::string, std::shared_ptr<FiberEvent>> mAttempts;
};

/** The targets of one process. All its functions are called from fibers of
    one thread. */
class TargetFleet
{
public:
  TargetFleet(IoLoop& aLoop, FleetOptions aOptions);

  /** Starts to listen on each target's port. */
  Result<std::monostate> Listen();

  /** Accepts no new requests and returns when the running ones have finished.
   */
  void Stop();

  /** Changes the behaviour of one target, or of all targets with "*". */
  void Change(const std::string& aTarget,
              const nlohmann::ordered_json& aChange);

  /** Returns the open, peak and refused connections of each target as JSON. */
  std::string DescribeConnections() const;

  const ExecutionLog& Executions() const { return mLog; }

private:
  HttpResponse Serve(FleetTarget& aTarget,
                     const HttpRequest& aRequest,
                     const DisconnectWatch& aWatch);
  HttpResponse Run(FleetTarget& aTarget,
                   const RecordedExecution& aExecution,
                   const DisconnectWatch& aWatch);
  HttpResponse Cancel(FleetTarget& aTarget, const std::string& aAttempt);
  unsigned ReasonToRefuse(const FleetTarget& aTarget, std::uint64_t aVersion);
  Duration DrawServiceTime(const TargetBehaviour& aBehaviour);

  IoLoop& mLoop;
  FleetOptions mOptions;
  Random mRandom;
  ExecutionLog mLog;
  std::map<std::string, FleetTarget> mTargets;
};

} // namespace wasabispread
