/*
 * Compares daemons with a bare Beast client loop in one run: exchanges with
 * targets per second of processor time, and the latency that a daemon adds.
 * scripts/measure-runtime starts the daemons that this program loads.
 */
#include <benchmarks/support/EchoTargets.h>
#include <benchmarks/support/HttpLoad.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace wasabispread::benchmarks {

namespace {

using Json = nlohmann::ordered_json;

/** Options from the command line. */
struct Options
{
  std::uint16_t mFirstTargetPort = 0;
  unsigned mTargets = 0;
  std::uint16_t mCallerPort = 0;
  std::vector<int> mDaemonPids;
  unsigned mCallers = 4;
  unsigned mRounds = 5;
  double mSeconds = 2;
};

/** Processor time that other processes have used so far, over all their
 * threads, in seconds. */
double
ProcessorSecondsOf(const std::vector<int>& aProcesses)
{
  constexpr unsigned kFieldsBeforeUserTime = 11;
  double ticks = 0;
  for (const int process : aProcesses) {
    std::ifstream stream("/proc/" + std::to_string(process) + "/stat");
    std::string line;
    std::getline(stream, line);
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (unsigned index = 0; index < kFieldsBeforeUserTime; ++index) {
      fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    ticks += user + system;
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/** Exchanges with targets and the processor time that they took. */
struct Rate
{
  std::uint64_t mExchanges = 0;
  double mProcessorSeconds = 0;
  std::uint64_t mFailed = 0;

  double ExchangesPerProcessorSecond() const
  {
    return static_cast<double>(mExchanges) / mProcessorSeconds;
  }
};

std::vector<std::uint16_t>
TargetPorts(const Options& aOptions)
{
  std::vector<std::uint16_t> ports;
  for (unsigned index = 0; index < aOptions.mTargets; ++index) {
    ports.push_back(
      static_cast<std::uint16_t>(aOptions.mFirstTargetPort + index));
  }
  return ports;
}

Rate
MeasureBare(const Options& aOptions)
{
  LoadPlan plan;
  plan.mPorts = TargetPorts(aOptions);
  plan.mConnections = aOptions.mTargets;
  plan.mPath = "/v1/shards/0/search";
  plan.mSeconds = aOptions.mSeconds;
  const LoadResult result = RunLoad(plan);
  return { result.mSucceeded, result.mProcessorSeconds, result.mFailed };
}

LoadPlan
CallerPlan(const Options& aOptions, const std::string& aOperation)
{
  LoadPlan plan;
  plan.mPorts = { aOptions.mCallerPort };
  plan.mConnections = aOptions.mCallers;
  plan.mPath = "/v1/services/benchmark/" + aOperation;
  plan.mSeconds = aOptions.mSeconds;
  return plan;
}

Rate
MeasureDaemons(const Options& aOptions, const EchoTargets& aTargets)
{
  const double before = ProcessorSecondsOf(aOptions.mDaemonPids);
  const std::uint64_t exchanges = aTargets.Exchanges();
  const LoadResult result = RunLoad(CallerPlan(aOptions, "search"));
  return { aTargets.Exchanges() - exchanges,
           ProcessorSecondsOf(aOptions.mDaemonPids) - before,
           result.mFailed };
}

Json
Describe(const LoadResult& aResult)
{
  constexpr double kMedian = 0.5;
  constexpr double kP99 = 0.99;
  return { { "requests", aResult.mSucceeded },
           { "failed", aResult.mFailed },
           { "median_ms", aResult.Quantile(kMedian) },
           { "p99_ms", aResult.Quantile(kP99) } };
}

/** Measures the latency through the daemons and directly, at a quarter of
 * the highest rate that the daemons reach. */
Json
MeasureLatency(const Options& aOptions)
{
  constexpr double kShareOfCapacity = 0.25;
  constexpr unsigned kOpenConnections = 64;
  const std::string lookup = "lookup?key=batch-17";
  LoadPlan through = CallerPlan(aOptions, lookup);
  through.mConnections = kOpenConnections;
  const LoadResult maximum = RunLoad(through);
  through.mRate = kShareOfCapacity * static_cast<double>(maximum.mSucceeded) /
                  aOptions.mSeconds;
  LoadPlan direct = through;
  direct.mPorts = TargetPorts(aOptions);
  direct.mPath = "/v1/shards/0/lookup";
  Json line;
  line["capacity_per_second"] =
    static_cast<double>(maximum.mSucceeded) / aOptions.mSeconds;
  line["rate_per_second"] = through.mRate;
  line["direct"] = Describe(RunLoad(direct));
  line["through"] = Describe(RunLoad(through));
  return line;
}

int
Run(const Options& aOptions)
{
  const EchoTargets targets(aOptions.mFirstTargetPort, aOptions.mTargets);
  MeasureDaemons(aOptions, targets);
  Json report;
  report["targets"] = aOptions.mTargets;
  report["daemons"] = aOptions.mDaemonPids.size();
  for (unsigned round = 0; round < aOptions.mRounds; ++round) {
    const Rate bare = MeasureBare(aOptions);
    const Rate daemons = MeasureDaemons(aOptions, targets);
    report["throughput"].push_back(
      { { "bare_per_core", bare.ExchangesPerProcessorSecond() },
        { "daemon_per_core", daemons.ExchangesPerProcessorSecond() },
        { "ratio",
          daemons.ExchangesPerProcessorSecond() /
            bare.ExchangesPerProcessorSecond() },
        { "daemon_exchanges", daemons.mExchanges },
        { "daemon_processor_seconds", daemons.mProcessorSeconds },
        { "failed", bare.mFailed + daemons.mFailed } });
  }
  for (unsigned round = 0; round < aOptions.mRounds; ++round) {
    report["latency"].push_back(MeasureLatency(aOptions));
  }
  std::cout << report.dump(2) << "\n";
  return 0;
}

} // namespace

} // namespace wasabispread::benchmarks

int
main(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  wasabispread::benchmarks::Options parsed;
  options::options_description description("Options");
  description.add_options()(
    "first-target-port",
    options::value(&parsed.mFirstTargetPort)->required(),
    "port of the first target")("targets",
                                options::value(&parsed.mTargets)->required(),
                                "number of targets")(
    "caller-port",
    options::value(&parsed.mCallerPort)->required(),
    "port on which the coordinator accepts callers")(
    "daemon-pid",
    options::value(&parsed.mDaemonPids)->required(),
    "process id of each daemon")("callers",
                                 options::value(&parsed.mCallers),
                                 "number of concurrent searches")(
    "rounds", options::value(&parsed.mRounds), "number of repetitions")(
    "seconds",
    options::value(&parsed.mSeconds),
    "duration of each phase, in seconds");
  options::variables_map values;
  options::store(options::parse_command_line(aCount, aArguments, description),
                 values);
  options::notify(values);
  return wasabispread::benchmarks::Run(parsed);
}
