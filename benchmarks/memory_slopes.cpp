/*
 * Measures the memory of a VM's state, in bytes, against the number of objects
 * it holds. Each benchmark runs once; its counter is the result and its time
 * has no meaning.
 */
#include <benchmarks/support/DirectFleet.h>
#include <benchmarks/support/HeapCount.h>

#include <wasabispread_platform/wasabispread_platform.h>

#include <benchmark/benchmark.h>

namespace wasabispread::benchmarks {

namespace {

constexpr unsigned kRequestsHeld = 50;
const TimePoint kNow{ std::chrono::hours(1) };

/** The state of a VM in zone-0 that knows the VMs and the deployment of a
 * shape. */
VmState
MakeVm(const FleetShape& aShape, const std::string& aText)
{
  return MakeReadyVm(aShape, aText, kNow);
}

/** Reports the number of bytes by which aGrow increases the use of the heap,
 * divided by aParts. */
template<class Grow>
void
ReportGrowth(benchmark::State& aState, double aParts, Grow aGrow)
{
  for (auto _ : aState) {
    const std::size_t before = gHeapBytes;
    aGrow();
    aState.counters["bytes"] =
      static_cast<double>(gHeapBytes - before) / aParts;
  }
}

/** Advances the time and reads the VM list at each step, until connections
 * are divided in full; returns the time reached. */
TimePoint
Settle(VmState& aVm, const FleetShape& aShape)
{
  constexpr Duration kStep = std::chrono::milliseconds(500);
  constexpr unsigned kSteps = 240;
  TimePoint now = kNow;
  for (unsigned step = 0; step < kSteps; ++step) {
    now += kStep;
    Reduce(aVm, Tick{}, now);
    Reduce(aVm, VmListReceived{ VmsOf(aShape) }, now);
  }
  return now;
}

/** A shape with two VMs in one zone. */
FleetShape
SmallShape(unsigned aShards)
{
  FleetShape shape;
  shape.mVms = 2;
  shape.mZones = 1;
  shape.mShards = aShards;
  return shape;
}

CallerRequest
MakeSearch(std::uint64_t aToken)
{
  CallerRequest request;
  request.mToken = CallerToken(aToken);
  request.mRequestId =
    RequestId("vm-0-1700000000000000-" + std::to_string(aToken));
  request.mService = ServiceNameOf(0);
  request.mBody = std::make_shared<const std::string>("query");
  request.mTimeout = std::chrono::seconds(1);
  return request;
}

/** Measures one search in flight at the coordinator against the number of
 * targets it asks. */
void
EntryBytesOfSearch(benchmark::State& aState)
{
  FleetShape shape = SmallShape(static_cast<unsigned>(aState.range(0)));
  VmState vmState = MakeVm(shape, DeploymentOf(shape));
  // This VM no longer ranks as a target owner, so it sends every batch to other
  // VMs.
  vmState.mSelf.mId = IdFromName<VmId>("entry");
  Reduce(vmState, MakeSearch(0), kNow);
  ReportGrowth(aState, kRequestsHeld, [&vmState] {
    for (unsigned request = 1; request <= kRequestsHeld; ++request) {
      Reduce(vmState, MakeSearch(request), kNow);
    }
  });
}

/** Measures one batch in flight at the target owner against its number of
 * items. */
void
OwnerBytesOfBatch(benchmark::State& aState)
{
  const auto items = static_cast<unsigned>(aState.range(0));
  FleetShape shape = SmallShape(items);
  shape.mVms = 1;
  VmState vmState = MakeVm(shape, DeploymentOf(shape));
  const TimePoint now = Settle(vmState, shape);
  const VmId coordinator = IdFromName<VmId>("entry");
  const Endpoint address{ "10.2.0.1", 7000 };
  std::uint64_t sequence = 1;
  const auto receiveBatch = [&] {
    BatchRequest batch;
    batch.mIncarnation = Incarnation(1);
    batch.mRequestId = RequestId("vm-0-1700000000000000-1");
    batch.mService = IdFromName<ServiceId>(ServiceNameOf(0));
    batch.mRevision = Revision(1);
    batch.mBody = std::make_shared<const std::string>("query");
    batch.mBudget = std::chrono::milliseconds(170);
    for (const Target& target : vmState.mConfiguration.mDeployment->mTargets) {
      batch.mItems.push_back(BatchItem{
        AttemptSequence(sequence++), target.mId, target.mShards.front() });
    }
    Reduce(vmState,
           PeerMessageReceived{ coordinator, address, std::move(batch) },
           now);
  };
  receiveBatch();
  ReportGrowth(aState, kRequestsHeld, [&receiveBatch] {
    for (unsigned request = 0; request < kRequestsHeld; ++request) {
      receiveBatch();
    }
  });
}

/** Measures a deployment in force against its number of targets. */
void
BytesOfTargets(benchmark::State& aState)
{
  FleetShape shape = SmallShape(static_cast<unsigned>(aState.range(0)));
  const std::string text = DeploymentOf(shape);
  std::unique_ptr<VmState> vmState;
  ReportGrowth(aState, 1, [&] {
    vmState = std::make_unique<VmState>(MakeVm(shape, text));
  });
  aState.counters["text_bytes"] = static_cast<double>(text.size());
  ConfigurationRecord record;
  record.mRevision = Revision(1);
  record.mText = text;
  aState.counters["stored_bytes"] =
    static_cast<double>(EncodeConfiguration(record).size());
}

/** Measures a deployment in force against its number of services, of ten
 * targets each. */
void
BytesOfServices(benchmark::State& aState)
{
  FleetShape shape = SmallShape(10);
  shape.mServices = static_cast<unsigned>(aState.range(0));
  const std::string text = DeploymentOf(shape);
  std::unique_ptr<VmState> vmState;
  ReportGrowth(aState, 1, [&] {
    vmState = std::make_unique<VmState>(MakeVm(shape, text));
  });
}

/** Measures what a coordinator records about targets against the number of
 * targets it asked. */
void
BytesOfObservations(benchmark::State& aState)
{
  FleetShape shape = SmallShape(static_cast<unsigned>(aState.range(0)));
  DirectFleet fleet(shape);
  ReportGrowth(aState, 1, [&fleet] { fleet.Search(0, 0); });
}

/** Measures the VM list against its number of VMs. */
void
BytesOfMembers(benchmark::State& aState)
{
  FleetShape shape;
  shape.mVms = 1;
  shape.mShards = 1;
  VmState vmState = MakeVm(shape, DeploymentOf(shape));
  shape.mVms = static_cast<unsigned>(aState.range(0));
  shape.mZones = 8;
  std::vector<VmRecord> vms = VmsOf(shape);
  ReportGrowth(
    aState, 1, [&] { Reduce(vmState, VmListReceived{ vms }, kNow); });
}

BENCHMARK(EntryBytesOfSearch)
  ->Iterations(1)
  ->Arg(10)
  ->Arg(100)
  ->Arg(490)
  ->Arg(2000);
BENCHMARK(OwnerBytesOfBatch)
  ->Iterations(1)
  ->Arg(10)
  ->Arg(24)
  ->Arg(100)
  ->Arg(490);
BENCHMARK(BytesOfTargets)
  ->Iterations(1)
  ->Arg(100)
  ->Arg(1000)
  ->Arg(4000)
  ->Arg(13000);
BENCHMARK(BytesOfServices)->Iterations(1)->Arg(1)->Arg(10)->Arg(30)->Arg(100);
BENCHMARK(BytesOfObservations)
  ->Iterations(1)
  ->Arg(100)
  ->Arg(1000)
  ->Arg(4000)
  ->Arg(13000);
BENCHMARK(BytesOfMembers)
  ->Iterations(1)
  ->Arg(100)
  ->Arg(300)
  ->Arg(1000)
  ->Arg(3000);

} // namespace

} // namespace wasabispread::benchmarks

BENCHMARK_MAIN();
