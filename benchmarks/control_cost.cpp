/*
 * Measures the traffic, platform calls and processor time of the control plane
 * against the number of VMs of a fleet. All VMs run in one process and in
 * virtual time. Each benchmark runs once; its counters are the results.
 */
#include <benchmarks/support/ControlFleet.h>
#include <benchmarks/support/HeapCount.h>

#include <benchmark/benchmark.h>

namespace wasabispread::benchmarks {

namespace {

constexpr unsigned kZones = 8;
constexpr Duration kSettling = std::chrono::seconds(60);
constexpr unsigned kIdleSeconds = 20;
constexpr Duration kStep = std::chrono::milliseconds(20);
constexpr unsigned kMaxSteps = 3000;

FleetShape
DeploymentShape()
{
  FleetShape shape;
  shape.mZones = kZones;
  shape.mServices = 8;
  shape.mShards = 10;
  return shape;
}

/** Returns the same deployment with one more service, so that one section is
 * new. */
FleetShape
ChangedShape()
{
  FleetShape shape = DeploymentShape();
  shape.mServices = 9;
  return shape;
}

/** Runs the fleet until aIsDone returns true, and returns the virtual time
 * that this took, in seconds. */
template<class IsDone>
double
StepUntil(ControlFleet& aFleet, IsDone aIsDone)
{
  unsigned steps = 0;
  while (!aIsDone() && steps < kMaxSteps) {
    aFleet.RunFor(kStep);
    ++steps;
  }
  return steps * std::chrono::duration<double>(kStep).count();
}

/** Reports the counters of one phase, divided by the number of VMs where
 * that applies. */
void
Report(benchmark::State& aState,
       const std::string& aPhase,
       const ControlTraffic& aTraffic,
       double aVms,
       double aSeconds)
{
  const double share = 1.0 / (aVms * aSeconds);
  auto& counters = aState.counters;
  counters[aPhase + "_messages"] =
    static_cast<double>(aTraffic.mMessages) * share;
  counters[aPhase + "_bytes"] = static_cast<double>(aTraffic.mBytes) * share;
  counters[aPhase + "_platform_calls"] =
    static_cast<double>(aTraffic.mPlatformCalls) / aSeconds;
  counters[aPhase + "_processor_us"] = aTraffic.mProcessorSeconds * 1e6 * share;
}

/** Measures the start of a fleet, an idle phase, a change of configuration
 * and the loss of a VM. Results of the idle phase are per VM and second,
 * its platform calls per second for the whole fleet. Results of the other
 * phases are per VM and occurrence, their platform calls per occurrence for
 * the whole fleet. */
void
Control(benchmark::State& aState)
{
  const auto vms = static_cast<unsigned>(aState.range(0));
  const double count = vms;
  for (auto _ : aState) {
    const std::size_t heap = gHeapBytes;
    ControlFleet fleet(vms, DeploymentShape());
    ControlTraffic before = fleet.TrafficSoFar();
    aState.counters["start_seconds"] =
      StepUntil(fleet, [&fleet] { return fleet.IsInForceEverywhere(); });
    fleet.RunFor(kSettling);
    Report(aState, "start", fleet.TrafficSoFar() - before, count, 1);
    aState.counters["start_busiest_second"] =
      static_cast<double>(fleet.BusiestSecond());
    aState.counters["bytes_per_node"] =
      static_cast<double>(gHeapBytes - heap) / count;

    before = fleet.TrafficSoFar();
    fleet.RunFor(std::chrono::seconds(kIdleSeconds));
    const ControlTraffic idle = fleet.TrafficSoFar() - before;
    Report(aState, "idle", idle, count, kIdleSeconds);
    aState.counters["idle_event_us"] =
      idle.mProcessorSeconds * 1e6 / static_cast<double>(idle.mEvents);

    before = fleet.TrafficSoFar();
    fleet.Apply(ChangedShape());
    const double spread =
      StepUntil(fleet, [&fleet] { return fleet.IsInForceEverywhere(); });
    aState.counters["change_seconds"] = spread;
    Report(aState, "change", fleet.TrafficSoFar() - before, count, 1);

    before = fleet.TrafficSoFar();
    fleet.Kill(vms / 2);
    const double known =
      StepUntil(fleet, [&] { return fleet.IsKnownDead(vms / 2); });
    aState.counters["loss_seconds"] = known;
    Report(aState, "loss", fleet.TrafficSoFar() - before, count, known);
  }
}

BENCHMARK(Control)
  ->Unit(benchmark::kMillisecond)
  ->Iterations(1)
  ->Arg(100)
  ->Arg(300)
  ->Arg(1000)
  ->Arg(1500);

} // namespace

} // namespace wasabispread::benchmarks

BENCHMARK_MAIN();
