/*
 * A stand-in for the targets of a deployment, in one process: it listens on
 * each target's address and records each execution. Faults are set by HTTP
 * requests under /control on a separate port.
 */
#include "TargetFleet.h"

#include <cstdlib>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>

namespace wasabispread {

namespace {

using Json = nlohmann::ordered_json;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr int kExitUsage = 2;

HttpResponse
HandleControl(TargetFleet& aFleet, const HttpRequest& aRequest)
{
  const HttpPath path = ParsePath(aRequest.mTarget);
  const std::string name = path.mSegments.size() > 1 ? path.mSegments[1] : "";
  if (name == "executions") {
    return JsonResponse(
      kOk,
      aFleet.Executions().Describe(FindHeader(path.mParameters, "request_id")));
  }
  if (name == "counts") {
    return JsonResponse(kOk, aFleet.Executions().DescribeCounts());
  }
  if (name == "connections") {
    return JsonResponse(kOk, aFleet.DescribeConnections());
  }
  const Json body = Json::parse(aRequest.mBody, nullptr, false);
  if (name != "behaviour" || !body.is_object()) {
    return JsonResponse(kNotFound, R"({"error":"no such control"})");
  }
  aFleet.Change(body.value("target", "*"), body);
  return JsonResponse(kOk, "{}");
}

int
Run(FleetOptions aOptions, const Endpoint& aControl)
{
  IoLoop loop;
  TargetFleet fleet(loop, std::move(aOptions));
  const auto listening = fleet.Listen();
  auto control = HttpServer::Start(
    loop, aControl, HttpServerLimits{}, [&fleet](const HttpRequest& aRequest) {
      return HandleControl(fleet, aRequest);
    });
  if (!listening || !control) {
    std::cerr << ToText(listening ? control.error() : listening.error())
              << "\n";
    return EXIT_FAILURE;
  }
  loop.WaitForStopSignal();
  fleet.Stop();
  std::quick_exit(EXIT_SUCCESS);
}

int
Main(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  Endpoint control{ "127.0.0.1", 0 };
  FleetOptions fleet;
  std::string file;
  std::int64_t idleMs = 120'000;
  options::options_description description("Options");
  auto add = description.add_options();
  add("deployment", options::value(&file)->required(), "deployment file");
  add("control-port", options::value(&control.mPort)->required(), "port");
  add("seed",
      options::value(&fleet.mSeed),
      "seed of the random number generator");
  add("zone", options::value(&fleet.mZone), "only the targets of one zone");
  add("record",
      options::value(&fleet.mRecordFile),
      "file to which executions are written");
  add("idle-ms",
      options::value(&idleMs),
      "milliseconds after which an idle connection is closed");
  options::variables_map values;
  options::store(options::parse_command_line(aCount, aArguments, description),
                 values);
  options::notify(values);
  fleet.mIdleLimit = std::chrono::milliseconds(idleMs);
  std::ifstream stream(file);
  std::ostringstream text;
  text << stream.rdbuf();
  auto deployment = ParseDeployment(text.str(), file);
  if (!deployment) {
    std::cerr << ToText(deployment.error().front()) << "\n";
    return kExitUsage;
  }
  fleet.mDeployment = std::move(*deployment);
  return Run(std::move(fleet), control);
}

} // namespace

} // namespace wasabispread

int
main(int aCount, char** aArguments)
{
  return wasabispread::Main(aCount, aArguments);
}
