/*
 * A stand-in for every target of a deployment, in one process: it listens on
 * each target's address and counts each execution. Faults are switched by HTTP
 * under /control on a port of its own.
 */
#include <wasabispread_runtime/wasabispread_runtime.h>

#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include <boost/fiber/operations.hpp>
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

namespace wasabispread {

namespace {

using Json = nlohmann::ordered_json;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kGone = 410;
constexpr unsigned kUnavailable = 503;

/** How one target behaves. */
struct TargetBehaviour
{
  Duration mServiceTime = std::chrono::milliseconds(1);
  /** The share of requests, 0 to 1, that take mStragglerTime instead. */
  double mStragglers = 0;
  Duration mStragglerTime = std::chrono::milliseconds(100);
  /** The share of requests, 0 to 1, that are shed. */
  double mShed = 0;
  bool mDraining = false;
  /** What the target says of itself; it need not be true. */
  std::string mHealth = "good";
  std::vector<std::uint64_t> mSnapshots{ 1 };
};

/** One execution of a sub-request. */
struct Execution
{
  std::string mTarget;
  std::string mShard;
  std::string mAttempt;
};

/** All targets of one deployment. */
class TargetFleet
{
public:
  TargetFleet(IoLoop& aLoop, Deployment aDeployment, std::uint64_t aSeed)
    : mLoop(aLoop)
    , mDeployment(std::move(aDeployment))
    , mRandom(aSeed)
  {
  }

  Result<std::monostate> Listen()
  {
    for (const Target& target : mDeployment.mTargets) {
      const Service& service = *mDeployment.FindService(target.mService);
      HttpServerLimits limits;
      limits.mMostConnections = service.mConnectionCap;
      limits.mConnectionDelay = service.mConnectTime;
      mBehaviours[target.mName] = TargetBehaviour{};
      auto server =
        HttpServer::Start(mLoop,
                          target.mAddress,
                          limits,
                          [this, &target](const HttpRequest& aRequest) {
                            return Serve(target, aRequest);
                          });
      if (!server) {
        return tl::unexpected<Error>(server.error());
      }
      mServers[target.mName] = std::move(*server);
    }
    return std::monostate{};
  }

  HttpResponse HandleControl(const HttpRequest& aRequest)
  {
    const HttpPath path = ParsePath(aRequest.mTarget);
    const std::string name = path.mSegments.size() > 1 ? path.mSegments[1] : "";
    if (name == "executions") {
      return DescribeExecutions(FindHeader(path.mParameters, "request_id"));
    }
    if (name == "connections") {
      return DescribeConnections();
    }
    const Json body = Json::parse(aRequest.mBody, nullptr, false);
    if (name != "behaviour" || !body.is_object()) {
      return JsonResponse(kNotFound, R"({"error":"no such control"})");
    }
    const std::string wanted = body.value("target", "*");
    for (auto& [target, behaviour] : mBehaviours) {
      if (wanted == "*" || wanted == target) {
        Change(behaviour, body);
      }
    }
    return JsonResponse(kOk, "{}");
  }

private:
  static void Change(TargetBehaviour& aBehaviour, const Json& aBody)
  {
    const auto duration = [&aBody](const char* aKey, Duration& aValue) {
      if (aBody.contains(aKey)) {
        aValue = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, std::milli>(aBody[aKey].get<double>()));
      }
    };
    duration("service_ms", aBehaviour.mServiceTime);
    duration("straggler_ms", aBehaviour.mStragglerTime);
    aBehaviour.mStragglers = aBody.value("stragglers", aBehaviour.mStragglers);
    aBehaviour.mShed = aBody.value("shed", aBehaviour.mShed);
    aBehaviour.mDraining = aBody.value("draining", aBehaviour.mDraining);
    aBehaviour.mHealth = aBody.value("health", aBehaviour.mHealth);
    aBehaviour.mSnapshots = aBody.value("snapshots", aBehaviour.mSnapshots);
  }

  static std::string HeldSnapshots(const TargetBehaviour& aBehaviour)
  {
    std::string text;
    for (const std::uint64_t version : aBehaviour.mSnapshots) {
      text += (text.empty() ? "" : ",") + std::to_string(version);
    }
    return text;
  }

  HttpResponse Serve(const Target& aTarget, const HttpRequest& aRequest)
  {
    const TargetBehaviour& behaviour = mBehaviours.at(aTarget.mName);
    const HttpPath path = ParsePath(aRequest.mTarget);
    const bool isCancel =
      path.mSegments.size() == 4 && path.mSegments[1] == "attempts";
    if (isCancel) {
      return Cancel(path.mSegments[2]);
    }
    const std::string shard =
      path.mSegments.size() > 2 ? path.mSegments[2] : "";
    const std::string attempt(FindHeader(aRequest.mHeaders, "X-Attempt-Id"));
    const std::string wanted(FindHeader(aRequest.mHeaders, "X-Snapshot"));
    const std::uint64_t version =
      wanted.empty() || wanted == "0"
        ? behaviour.mSnapshots.back()
        : std::strtoull(wanted.c_str(), nullptr, 10);
    const auto& held = behaviour.mSnapshots;
    const bool isHeld =
      std::find(held.begin(), held.end(), version) != held.end();
    HttpResponse response;
    if (behaviour.mDraining) {
      response.mStatus = kGone;
    } else if (mRandom.Fraction() < behaviour.mShed) {
      response.mStatus = kUnavailable;
    } else if (!isHeld) {
      response.mStatus = kConflict;
    } else {
      const std::string requestId(
        FindHeader(aRequest.mHeaders, "X-Request-Id"));
      mExecutions[requestId].push_back({ aTarget.mName, shard, attempt });
      const bool isStraggler = mRandom.Fraction() < behaviour.mStragglers;
      FiberEvent& cancelled = mRunning[attempt];
      cancelled.WaitUntil(std::chrono::steady_clock::now() +
                          (isStraggler ? behaviour.mStragglerTime
                                       : behaviour.mServiceTime));
      mRunning.erase(attempt);
      response.mBody = "shard " + shard + " of " + aTarget.mName +
                       " at snapshot " + std::to_string(version);
    }
    response.mHeaders = { { "X-Attempt-Id", attempt },
                          { "X-Snapshot", std::to_string(version) },
                          { "X-Snapshots", HeldSnapshots(behaviour) },
                          { "X-Health", behaviour.mHealth } };
    return response;
  }

  /** Cuts the service time of a running attempt short. */
  HttpResponse Cancel(const std::string& aAttempt)
  {
    ++mCancels;
    const auto place = mRunning.find(aAttempt);
    if (place == mRunning.end()) {
      return JsonResponse(kNotFound, "{}");
    }
    place->second.Notify();
    return JsonResponse(kOk, "{}");
  }

  HttpResponse DescribeExecutions(std::string_view aRequestId) const
  {
    Json json = Json::object();
    for (const auto& [requestId, executions] : mExecutions) {
      if (!aRequestId.empty() && aRequestId != requestId) {
        continue;
      }
      Json list = Json::array();
      for (const Execution& execution : executions) {
        list.push_back({ { "target", execution.mTarget },
                         { "shard", execution.mShard },
                         { "attempt", execution.mAttempt } });
      }
      json[requestId] = std::move(list);
    }
    return JsonResponse(kOk, json.dump());
  }

  HttpResponse DescribeConnections() const
  {
    Json json = Json::object();
    for (const auto& [name, server] : mServers) {
      json[name] = { { "open", server->ConnectionCount() },
                     { "peak", server->PeakConnectionCount() },
                     { "refused", server->RefusedConnections() } };
    }
    return JsonResponse(kOk, json.dump());
  }

  IoLoop& mLoop;
  Deployment mDeployment;
  Random mRandom;
  std::map<std::string, TargetBehaviour> mBehaviours;
  std::map<std::string, std::unique_ptr<HttpServer>> mServers;
  std::map<std::string, std::vector<Execution>> mExecutions;
  std::map<std::string, FiberEvent> mRunning;
  std::uint64_t mCancels = 0;
};

int
Run(const std::string& aFile, const Endpoint& aControl, std::uint64_t aSeed)
{
  std::ifstream stream(aFile);
  std::ostringstream text;
  text << stream.rdbuf();
  auto deployment = ParseDeployment(text.str(), aFile);
  if (!deployment) {
    std::cerr << ToText(deployment.error().front()) << "\n";
    return 2;
  }
  IoLoop loop;
  TargetFleet fleet(loop, std::move(*deployment), aSeed);
  const auto listening = fleet.Listen();
  auto control = HttpServer::Start(
    loop, aControl, HttpServerLimits{}, [&fleet](const HttpRequest& aRequest) {
      return fleet.HandleControl(aRequest);
    });
  if (!listening || !control) {
    std::cerr << ToText(listening ? control.error() : listening.error())
              << "\n";
    return 1;
  }
  loop.WaitForStopSignal();
  std::quick_exit(EXIT_SUCCESS);
}

} // namespace

} // namespace wasabispread

int
main(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  wasabispread::Endpoint control{ "127.0.0.1", 0 };
  std::string file;
  std::uint64_t seed = 1;
  options::options_description description("Options");
  description.add_options()(
    "deployment", options::value(&file)->required(), "deployment file")(
    "control-port", options::value(&control.mPort)->required(), "port")(
    "seed", options::value(&seed), "seed of its random choices");
  options::variables_map values;
  options::store(options::parse_command_line(aCount, aArguments, description),
                 values);
  options::notify(values);
  return wasabispread::Run(file, control, seed);
}
