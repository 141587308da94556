/*
 * Every target of a deployment, or those of one zone, in one process.
 */
#pragma once

#include "ExecutionLog.h"
#include "TargetBehaviour.h"

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <map>
#include <memory>
#include <string>

namespace wasabispread {

/** What a fleet is made of. */
struct FleetOptions
{
  Deployment mDeployment;
  /** Only targets of this zone; all when empty. */
  std::string mZone;
  std::uint64_t mSeed = 1;
  /** Where executions are written; nowhere when empty. */
  std::string mRecordFile;
  /** How long a connection may be idle. */
  Duration mIdleLimit = std::chrono::minutes(2);
};

/** One target: its behaviour, its server and what it reports. */
struct FleetTarget
{
  const Target* mTarget = nullptr;
  TargetBehaviour mBehaviour;
  std::unique_ptr<HttpServer> mServer;
  /** When it last began or ceased to drain. */
  TimePoint mDrainingSince{};
  /** The attempts that run, by id. */
  std::map<std::string, std::shared_ptr<FiberEvent>> mAttempts;
};

/** The targets. All calls come from fibers of one thread. */
class TargetFleet
{
public:
  TargetFleet(IoLoop& aLoop, FleetOptions aOptions);

  /** Opens each target's port. */
  Result<std::monostate> Listen();

  /** Takes no new work, finishes what runs, and returns. */
  void Stop();

  /** Changes one target's behaviour, or with "*" that of all. */
  void Change(const std::string& aTarget,
              const nlohmann::ordered_json& aChange);

  /** Open, peak and refused connections of each target, as JSON. */
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
