/*
 * Measures the processor time of a search's decisions, at the coordinator and
 * at every target owner, from the caller's request to the answer, without
 * input or output.
 */
#include <benchmarks/support/DirectFleet.h>

#include <benchmark/benchmark.h>

namespace wasabispread::benchmarks {

namespace {

constexpr unsigned kVms = 4;
constexpr unsigned kFanOut = 490;
constexpr unsigned kWarmUpSearches = 20;

/** Sends searches to the first service repeatedly. */
void
MeasureSearches(benchmark::State& aState, const FleetShape& aShape)
{
  DirectFleet fleet(aShape);
  for (unsigned warmUp = 0; warmUp < kWarmUpSearches; ++warmUp) {
    fleet.Search(0, 0);
  }
  const Traffic before = fleet.TrafficSoFar();
  for (auto _ : aState) {
    fleet.Search(0, 0);
  }
  const auto searches =
    static_cast<double>(fleet.TrafficSoFar().mAnswers - before.mAnswers);
  const auto perSearch = [searches](std::uint64_t aCount) {
    return static_cast<double>(aCount) / searches;
  };
  aState.counters["events"] =
    perSearch(fleet.TrafficSoFar().mEvents - before.mEvents);
  aState.counters["peer_messages"] =
    perSearch(fleet.TrafficSoFar().mPeerMessages - before.mPeerMessages);
  aState.counters["sub_requests"] =
    perSearch(fleet.TrafficSoFar().mTargetRequests - before.mTargetRequests);
  const std::chrono::duration<double, std::micro> decisionTime =
    fleet.TrafficSoFar().mDecisionTime - before.mDecisionTime;
  aState.counters["decisions_us"] = decisionTime.count() / searches;
  if (fleet.TrafficSoFar().mIncomplete != 0) {
    aState.SkipWithError("an answer was incomplete");
  }
}

/** Measures the cost against the number of targets that one search asks. */
void
SearchByFanOut(benchmark::State& aState)
{
  FleetShape shape;
  shape.mVms = kVms;
  shape.mShards = static_cast<unsigned>(aState.range(0));
  MeasureSearches(aState, shape);
}

/** Measures the cost against the number of targets that the deployment
 * declares; one search asks at most 490 of them. */
void
SearchByKnownTargets(benchmark::State& aState)
{
  const auto known = static_cast<unsigned>(aState.range(0));
  FleetShape shape;
  shape.mVms = kVms;
  shape.mShards = kFanOut;
  shape.mServices = known / kFanOut;
  MeasureSearches(aState, shape);
}

/** Measures the cost against the number of VMs in the fleet. */
void
SearchByVms(benchmark::State& aState)
{
  FleetShape shape;
  shape.mVms = static_cast<unsigned>(aState.range(0));
  shape.mZones = 8;
  MeasureSearches(aState, shape);
}

BENCHMARK(SearchByFanOut)
  ->Unit(benchmark::kMicrosecond)
  ->Arg(10)
  ->Arg(100)
  ->Arg(490)
  ->Arg(2000);
BENCHMARK(SearchByKnownTargets)
  ->Unit(benchmark::kMicrosecond)
  ->Arg(490)
  ->Arg(980)
  ->Arg(3920)
  ->Arg(12740);
BENCHMARK(SearchByVms)
  ->Unit(benchmark::kMicrosecond)
  ->Arg(8)
  ->Arg(100)
  ->Arg(300);

} // namespace

} // namespace wasabispread::benchmarks

BENCHMARK_MAIN();
