/*
 * Measures the processor time of the components of request handling and of the
 * control plane against the size of their input: frames, log lines, responses,
 * configurations and the ranking of target owners.
 */
#include <benchmarks/support/DirectFleet.h>

#include <wasabispread_telemetry/wasabispread_telemetry.h>
#include <wasabispread_wire/wasabispread_wire.h>

#include <benchmark/benchmark.h>

#include <span>

namespace wasabispread::benchmarks {

namespace {

constexpr std::size_t kResultBytes = 64;
const TimePoint kNow{ std::chrono::hours(1) };

BatchRequest
MakeBatchRequest(std::size_t aItems)
{
  BatchRequest request;
  request.mIncarnation = Incarnation(1);
  request.mRequestId = RequestId("vm-0-1700000000000000-1");
  request.mBody = std::make_shared<const std::string>("query");
  request.mBudget = std::chrono::milliseconds(170);
  for (std::size_t item = 0; item < aItems; ++item) {
    request.mItems.push_back(
      BatchItem{ AttemptSequence(item + 1),
                 TargetId(item),
                 ShardIndex(static_cast<std::uint32_t>(item)) });
  }
  return request;
}

BatchReply
MakeBatchReply(std::size_t aItems)
{
  const auto body =
    std::make_shared<const std::string>(std::string(kResultBytes, 'r'));
  BatchReply reply;
  reply.mIncarnation = Incarnation(1);
  for (std::size_t item = 0; item < aItems; ++item) {
    ItemReply itemReply;
    itemReply.mSequence = AttemptSequence(item + 1);
    itemReply.mOutcome = AttemptOutcome::kAnswered;
    itemReply.mSnapshot = SnapshotVersion(1);
    itemReply.mHeldSnapshots = { SnapshotVersion(1) };
    itemReply.mBody = body;
    reply.mItems.push_back(std::move(itemReply));
  }
  return reply;
}

void
MeasureEncoding(benchmark::State& aState, const PeerMessage& aMessage)
{
  std::size_t bytes = 0;
  for (auto _ : aState) {
    const std::string frame = EncodeMessage(aMessage);
    bytes = frame.size();
    benchmark::DoNotOptimize(frame.data());
  }
  aState.counters["frame_bytes"] = static_cast<double>(bytes);
}

void
MeasureDecoding(benchmark::State& aState, const PeerMessage& aMessage)
{
  const std::string frame = EncodeMessage(aMessage);
  const std::vector<std::uint8_t> bytes(frame.begin() + kFrameLengthBytes,
                                        frame.end());
  for (auto _ : aState) {
    auto decoded = DecodeFrame(bytes);
    benchmark::DoNotOptimize(decoded);
  }
}

void
EncodeBatch(benchmark::State& aState)
{
  MeasureEncoding(aState,
                  MakeBatchRequest(static_cast<std::size_t>(aState.range(0))));
}

void
DecodeBatch(benchmark::State& aState)
{
  MeasureDecoding(aState,
                  MakeBatchRequest(static_cast<std::size_t>(aState.range(0))));
}

void
EncodeReplies(benchmark::State& aState)
{
  MeasureEncoding(aState,
                  MakeBatchReply(static_cast<std::size_t>(aState.range(0))));
}

void
DecodeReplies(benchmark::State& aState)
{
  MeasureDecoding(aState,
                  MakeBatchReply(static_cast<std::size_t>(aState.range(0))));
}

/** Measures encoding an offer that contains a section with the given number
 * of targets, as it is pushed along a zone's tree. */
void
EncodeOffer(benchmark::State& aState)
{
  FleetShape shape;
  shape.mShards = static_cast<unsigned>(aState.range(0));
  ConfigurationOffer offer;
  offer.mIsPush = true;
  offer.mSections = SplitIntoSections(DeploymentOf(shape));
  for (const DeploymentSection& section : offer.mSections) {
    offer.mSectionHashes.push_back(section.mHash);
  }
  MeasureEncoding(aState, offer);
}

/** Measures formatting a response with the results of the given number of
 * shards. */
void
FormatAnswer(benchmark::State& aState)
{
  FleetShape shape;
  shape.mShards = static_cast<unsigned>(aState.range(0));
  const auto deployment = ParseDeployment(DeploymentOf(shape), "benchmark");
  const auto body =
    std::make_shared<const std::string>(std::string(kResultBytes, 'r'));
  Answer answer;
  answer.mService = deployment->mServices.front().mId;
  answer.mSnapshot = SnapshotVersion(1);
  answer.mShardsAsked = shape.mShards;
  for (const Target& target : deployment->mTargets) {
    answer.mResults.push_back(
      ShardResult{ target.mShards.front(), target.mId, body });
  }
  const Outcome outcome(std::move(answer));
  std::size_t bytes = 0;
  for (auto _ : aState) {
    const HttpResponse response =
      FormatOutcome(RequestId("request-1"), outcome, &*deployment);
    bytes = response.mBody.size();
  }
  aState.counters["response_bytes"] = static_cast<double>(bytes);
}

/** Measures formatting a plan's log line with the given number of batches. */
void
FormatPlanLine(benchmark::State& aState)
{
  VmIdentity self;
  self.mName = "vm-0";
  const VmState vmState = MakeVmState(std::move(self), 1);
  QueryPlanned plan;
  plan.mRequestId = RequestId("vm-0-1700000000000000-1");
  for (std::int64_t batch = 0; batch < aState.range(0); ++batch) {
    plan.mBatches.push_back(
      PlannedBatch{ VmId(static_cast<std::uint64_t>(batch)), 10 });
  }
  const DecisionRecord record(plan);
  std::size_t bytes = 0;
  for (auto _ : aState) {
    bytes = FormatRecord(record, vmState, WallClockText()).size();
  }
  aState.counters["line_bytes"] = static_cast<double>(bytes);
}

FleetShape
ShapeOfTargets(std::int64_t aTargets)
{
  FleetShape shape;
  shape.mVms = 1;
  shape.mZones = 8;
  shape.mShards = static_cast<unsigned>(aTargets);
  return shape;
}

/** Measures parsing and validating a deployment's text. */
void
ParseText(benchmark::State& aState)
{
  const std::string text = DeploymentOf(ShapeOfTargets(aState.range(0)));
  for (auto _ : aState) {
    auto deployment = ParseDeployment(text, "benchmark");
    benchmark::DoNotOptimize(deployment);
  }
}

/** Measures all events by which a VM adopts a higher revision when every
 * section of it is new. */
void
AdoptRevision(benchmark::State& aState)
{
  FleetShape shape = ShapeOfTargets(aState.range(0));
  const std::string text = DeploymentOf(shape);
  VmState vmState = MakeReadyVm(shape, text, kNow);
  TimePoint now = kNow;
  std::uint64_t revision = 1;
  for (auto _ : aState) {
    // A different first section changes every parsed part.
    std::string changed = text;
    changed.insert(0, "# " + std::to_string(++revision) + "\n");
    AdoptDeployment(vmState, changed, revision, now);
  }
}

/** Measures the same adoption when one service of eight is new. */
void
AdoptSection(benchmark::State& aState)
{
  constexpr unsigned kServices = 8;
  FleetShape shape = ShapeOfTargets(aState.range(0) / kServices);
  shape.mServices = kServices;
  const std::string text = DeploymentOf(shape);
  VmState vmState = MakeReadyVm(shape, text, kNow);
  TimePoint now = kNow;
  std::uint64_t revision = 1;
  for (auto _ : aState) {
    // Only the last section contains this comment.
    const std::string changed = text + "# " + std::to_string(++revision) + "\n";
    AdoptDeployment(vmState, changed, revision, now);
  }
}

/** A VM's state that knows the VMs of one zone and a deployment with one
 * group. */
VmState
MakeOwner(std::int64_t aVms)
{
  FleetShape shape;
  shape.mVms = static_cast<unsigned>(aVms);
  shape.mZones = 1;
  shape.mShards = 1;
  return MakeReadyVm(shape, DeploymentOf(shape), kNow);
}

/** Measures ranking the target owners of one group among the VMs of its zone
 * without a cached order. */
void
RankOwners(benchmark::State& aState)
{
  VmState vmState = MakeOwner(aState.range(0));
  for (auto _ : aState) {
    ResetRankings(vmState);
    benchmark::DoNotOptimize(RankedCandidates(vmState, 0).data());
  }
}

/** Measures looking up a group's order when the set of VMs is unchanged. */
void
RecallOwners(benchmark::State& aState)
{
  VmState vmState = MakeOwner(aState.range(0));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(RankedCandidates(vmState, 0).data());
  }
}

/** Measures the complete event by which a VM handles a VM list; one VM
 * differs in each list. */
void
ReadVms(benchmark::State& aState)
{
  FleetShape shape;
  shape.mVms = static_cast<unsigned>(aState.range(0));
  shape.mZones = 8;
  const std::vector<VmRecord> all = VmsOf(shape);
  std::vector<VmRecord> fewer = all;
  fewer.pop_back();
  VmIdentity self;
  self.mId = all.front().mId;
  self.mName = all.front().mName;
  self.mZone = all.front().mZone;
  VmState vmState = MakeVmState(std::move(self), 1);
  bool isCompleteList = false;
  for (auto _ : aState) {
    isCompleteList = !isCompleteList;
    Reduce(vmState, VmListReceived{ isCompleteList ? all : fewer }, kNow);
  }
}

/** Numbers of items that cover the sizes of a batch between two VMs. */
void
BatchSizes(benchmark::internal::Benchmark* aBenchmark)
{
  aBenchmark->Unit(benchmark::kMicrosecond)->Arg(1)->Arg(10)->Arg(24)->Arg(100);
}

void
FanOutSizes(benchmark::internal::Benchmark* aBenchmark)
{
  aBenchmark->Unit(benchmark::kMicrosecond)
    ->Arg(10)
    ->Arg(100)
    ->Arg(490)
    ->Arg(2000);
}

void
TargetSizes(benchmark::internal::Benchmark* aBenchmark)
{
  aBenchmark->Unit(benchmark::kMicrosecond)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(4000)
    ->Arg(13000);
}

void
VmSizes(benchmark::internal::Benchmark* aBenchmark)
{
  aBenchmark->Unit(benchmark::kMicrosecond)
    ->Arg(8)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(3000);
}

BENCHMARK(EncodeBatch)->Apply(BatchSizes);
BENCHMARK(DecodeBatch)->Apply(BatchSizes);
BENCHMARK(EncodeReplies)->Apply(BatchSizes);
BENCHMARK(DecodeReplies)->Apply(BatchSizes);
BENCHMARK(EncodeOffer)->Apply(FanOutSizes);
BENCHMARK(FormatAnswer)->Apply(FanOutSizes);
BENCHMARK(FormatPlanLine)->Apply(BatchSizes);
BENCHMARK(ParseText)->Apply(TargetSizes);
BENCHMARK(AdoptRevision)->Apply(TargetSizes);
BENCHMARK(AdoptSection)->Apply(TargetSizes);
BENCHMARK(RankOwners)->Apply(VmSizes);
BENCHMARK(RecallOwners)->Apply(VmSizes);
BENCHMARK(ReadVms)->Apply(VmSizes);

} // namespace

} // namespace wasabispread::benchmarks

BENCHMARK_MAIN();
