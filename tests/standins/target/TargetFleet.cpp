/*
 * Serves sub-requests and injects the configured faults.
 */
#include "TargetFleet.h"

#include <algorithm>

#include <boost/fiber/operations.hpp>

namespace wasabispread {

namespace {

using Json = nlohmann::ordered_json;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kGone = 410;
constexpr unsigned kUnavailable = 503;
constexpr Duration kThawPoll = std::chrono::milliseconds(2);
constexpr Duration kStopLimit = std::chrono::seconds(10);

std::string
JoinVersions(const std::vector<std::uint64_t>& aVersions)
{
  std::string text;
  for (const std::uint64_t version : aVersions) {
    text += (text.empty() ? "" : ",") + std::to_string(version);
  }
  return text;
}

/** The health report of a target, which may be outdated or false. */
std::string
ReportedHealth(const FleetTarget& aTarget)
{
  const TargetBehaviour& behaviour = aTarget.mBehaviour;
  switch (behaviour.mHealth) {
    case HealthReport::kAlwaysGood:
      return "good";
    case HealthReport::kAlwaysLeaving:
      return "leaving";
    case HealthReport::kTruthful:
      break;
  }
  const bool hasLagged =
    VmRunner::Now() >= aTarget.mDrainingSince + behaviour.mHealthLag;
  return behaviour.mDraining == hasLagged ? "leaving" : "good";
}

} // namespace

TargetFleet::TargetFleet(IoLoop& aLoop, FleetOptions aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
  , mLog(mOptions.mRecordFile)
{
}

Result<std::monostate>
TargetFleet::Listen()
{
  for (const Target& target : mOptions.mDeployment.mTargets) {
    if (!mOptions.mZone.empty() && target.mZone.Value() != mOptions.mZone) {
      continue;
    }
    const Service& service = *mOptions.mDeployment.FindService(target.mService);
    HttpServerLimits limits;
    limits.mMaxConnections = service.mConnectionCap;
    limits.mMaxSurplusConnections = 0;
    limits.mConnectionDelay = service.mConnectTime;
    limits.mIdleLimit = mOptions.mIdleLimit;
    FleetTarget& fleetTarget = mTargets[target.mName];
    fleetTarget.mTarget = &target;
    auto server = HttpServer::Start(
      mLoop,
      target.mAddress,
      limits,
      WatchingHttpHandler([this, &fleetTarget](const HttpRequest& aRequest,
                                               const DisconnectWatch& aWatch) {
        return Serve(fleetTarget, aRequest, aWatch);
      }));
    if (!server) {
      return tl::unexpected<Error>(server.error());
    }
    fleetTarget.mServer = std::move(*server);
  }
  return std::monostate{};
}

void
TargetFleet::Stop()
{
  constexpr Duration kNotice = std::chrono::seconds(1);
  for (auto& [name, target] : mTargets) {
    target.mBehaviour.mDraining = true;
  }
  boost::this_fiber::sleep_for(kNotice);
  const TimePoint until = VmRunner::Now() + kStopLimit;
  for (auto& [name, target] : mTargets) {
    target.mServer->Stop(until);
  }
}

void
TargetFleet::Change(const std::string& aTarget, const Json& aChange)
{
  for (auto& [name, target] : mTargets) {
    if (aTarget == "*" || aTarget == name) {
      const bool wasDraining = target.mBehaviour.mDraining;
      ChangeBehaviour(target.mBehaviour, aChange, mRandom, VmRunner::Now());
      if (target.mBehaviour.mDraining != wasDraining) {
        target.mDrainingSince = VmRunner::Now();
      }
    }
  }
}

std::string
TargetFleet::DescribeConnections() const
{
  Json json = Json::object();
  for (const auto& [name, target] : mTargets) {
    json[name] = { { "open", target.mServer->ConnectionCount() },
                   { "peak", target.mServer->PeakConnectionCount() },
                   { "refused",
                     target.mServer->Counters().mConnectionsRefused } };
  }
  return json.dump();
}

HttpResponse
TargetFleet::Cancel(FleetTarget& aTarget, const std::string& aAttempt)
{
  const auto fleetTarget = aTarget.mAttempts.find(aAttempt);
  if (fleetTarget == aTarget.mAttempts.end()) {
    return JsonResponse(kNotFound, "{}");
  }
  mLog.CountCancelled();
  fleetTarget->second->Notify();
  return JsonResponse(kOk, "{}");
}

unsigned
TargetFleet::ReasonToRefuse(const FleetTarget& aTarget, std::uint64_t aVersion)
{
  const TargetBehaviour& behaviour = aTarget.mBehaviour;
  if (behaviour.mDraining) {
    return kGone;
  }
  if (mRandom.Fraction() < behaviour.mShed) {
    return kUnavailable;
  }
  const auto& held = behaviour.SnapshotsAt(VmRunner::Now());
  const bool isHeld =
    std::find(held.begin(), held.end(), aVersion) != held.end();
  return isHeld ? kOk : kConflict;
}

Duration
TargetFleet::DrawServiceTime(const TargetBehaviour& aBehaviour)
{
  const bool isStraggler = mRandom.Fraction() < aBehaviour.mStragglers;
  const Duration time =
    isStraggler ? aBehaviour.mStragglerTime : aBehaviour.mServiceTime;
  if (VmRunner::Now() >= aBehaviour.mColdUntil) {
    return time;
  }
  return std::chrono::duration_cast<Duration>(time * aBehaviour.mColdFactor);
}

HttpResponse
TargetFleet::Run(FleetTarget& aTarget,
                 const RecordedExecution& aExecution,
                 const DisconnectWatch& aWatch)
{
  const auto isCancelled = std::make_shared<bool>(false);
  const auto wake = std::make_shared<FiberEvent>();
  aTarget.mAttempts[aExecution.mAttempt] = wake;
  aWatch([isCancelled, wake] {
    *isCancelled = true;
    wake->Notify();
  });
  mLog.Add(aExecution);
  wake->WaitUntil(VmRunner::Now() + DrawServiceTime(aTarget.mBehaviour));
  aTarget.mAttempts.erase(aExecution.mAttempt);
  HttpResponse response;
  if (*isCancelled) {
    mLog.CountCancelled();
    response.mStatus = kNoResponse;
    return response;
  }
  const bool isReset = aTarget.mBehaviour.mReset == ResetPoint::kBeforeReply &&
                       mRandom.Fraction() < aTarget.mBehaviour.mResetShare;
  if (isReset) {
    response.mStatus = kNoResponse;
  }
  response.mBody = aExecution.mRequestId + " at shard " + aExecution.mShard +
                   " of " + aExecution.mTarget + " at snapshot " +
                   std::to_string(aExecution.mSnapshot);
  return response;
}

HttpResponse
TargetFleet::Serve(FleetTarget& aTarget,
                   const HttpRequest& aRequest,
                   const DisconnectWatch& aWatch)
{
  const HttpPath path = ParsePath(aRequest.mTarget);
  if (path.mSegments.size() < 3) {
    return JsonResponse(kBadRequest, "{}");
  }
  const bool isCancel =
    path.mSegments.size() == 4 && path.mSegments[1] == "attempts";
  if (isCancel) {
    return Cancel(aTarget, path.mSegments[2]);
  }
  while (aTarget.mBehaviour.mFrozen) {
    boost::this_fiber::sleep_for(kThawPoll);
  }
  const TargetBehaviour& behaviour = aTarget.mBehaviour;
  const bool isReset = behaviour.mReset == ResetPoint::kBeforeExecution &&
                       mRandom.Fraction() < behaviour.mResetShare;
  HttpResponse response;
  if (isReset) {
    response.mStatus = kNoResponse;
    return response;
  }
  const std::string wanted(FindHeader(aRequest.mHeaders, "X-Snapshot"));
  const std::string held = JoinVersions(behaviour.SnapshotsAt(VmRunner::Now()));
  const std::uint64_t version =
    wanted.empty() || wanted == "0"
      ? behaviour.SnapshotsAt(VmRunner::Now()).back()
      : std::strtoull(wanted.c_str(), nullptr, 10);
  const RecordedExecution execution{
    std::string(FindHeader(aRequest.mHeaders, "X-Request-Id")),
    aTarget.mTarget->mName,
    path.mSegments[2],
    std::string(FindHeader(aRequest.mHeaders, "X-Attempt-Id")),
    version
  };
  response.mStatus = ReasonToRefuse(aTarget, version);
  if (response.mStatus == kOk) {
    response = Run(aTarget, execution, aWatch);
  }
  response.mHeaders = { { "X-Attempt-Id", execution.mAttempt },
                        { "X-Snapshot", std::to_string(version) },
                        { "X-Snapshots", held },
                        { "X-Health", ReportedHealth(aTarget) } };
  return response;
}

} // namespace wasabispread
