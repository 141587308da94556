/*
 * Measures the cost of configuration and membership: messages, bytes, platform
 * calls, processor time and memory of many VM states in one process.
 */
#include <tests/support/DeploymentText.h>
#include <tests/support/FakeFleet.h>

#include <wasabispread_wire/wasabispread_wire.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <sstream>

#include <boost/program_options.hpp>

namespace wasabispread::testing {

namespace {

/** Options from the command line. */
struct Options
{
  unsigned mVmCount = 100;
  unsigned mZones = 8;
  unsigned mServices = 4;
  unsigned mTargetsPerService = 4;
  unsigned mChanges = 5;
  unsigned mIdleSeconds = 20;
  double mLoss = 0;
  bool mIsolateZone = false;
  bool mKillOne = false;
  bool mRestartAll = false;
  std::uint64_t mSeed = 1;
};

/** Totals over a time span. */
struct Totals
{
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;
  std::uint64_t mPlatformCalls = 0;
  double mProcessorSeconds = 0;
};

Totals
operator-(const Totals& aLeft, const Totals& aRight)
{
  return { aLeft.mMessages - aRight.mMessages,
           aLeft.mBytes - aRight.mBytes,
           aLeft.mPlatformCalls - aRight.mPlatformCalls,
           aLeft.mProcessorSeconds - aRight.mProcessorSeconds };
}

std::size_t
HeapBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::string
FileText(const Options& aOptions, unsigned aVariant)
{
  std::vector<ServiceText> services(aOptions.mServices);
  for (unsigned index = 0; index < aOptions.mServices; ++index) {
    services[index].mName = "service-" + std::to_string(index);
    services[index].mShards = std::max(1U, aOptions.mTargetsPerService / 2);
  }
  constexpr unsigned kWaitMs = 500;
  services.back().mMaxWaitMs = kWaitMs + aVariant;
  return DeploymentText(services);
}

/** A fleet that counts the messages and bytes it sends. */
class MeasuredFleet
{
public:
  explicit MeasuredFleet(const Options& aOptions);

  Totals TotalsSoFar() const;
  bool IsInForceEverywhere(Revision aRevision) const;
  std::size_t CountBehind(Revision aRevision) const;

  FakeFleet mFleet;
  std::vector<VmId> mVms;
  /** Number of encoded bytes sent, by VM. */
  std::map<VmId, std::uint64_t> mBytesSent;
  std::map<std::size_t, std::pair<std::uint64_t, std::uint64_t>> mByType;

private:
  Totals mTotals;
  /** Time spent on encoding messages to count their bytes, in seconds. It is
   * not part of the work of a VM in the decision library. */
  double mEncodingSeconds = 0;
};

double
ProcessorSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

MeasuredFleet::MeasuredFleet(const Options& aOptions)
  : mFleet(aOptions.mSeed)
{
  mFleet.mNetwork.mLoss = aOptions.mLoss;
  mFleet.mStoresRecords = false;
  mFleet.mOnMessage = [this](VmId aFrom, VmId, const PeerMessage& aMessage) {
    const auto begin = std::chrono::steady_clock::now();
    const std::size_t bytes = EncodeMessage(aMessage).size();
    ++mTotals.mMessages;
    mTotals.mBytes += bytes;
    mBytesSent[aFrom] += bytes;
    auto& [count, size] = mByType[aMessage.index()];
    ++count;
    size += bytes;
    const std::chrono::duration<double> spent =
      std::chrono::steady_clock::now() - begin;
    mEncodingSeconds += spent.count();
  };
  for (unsigned index = 0; index < aOptions.mVmCount; ++index) {
    const std::string zone = "zone-" + std::to_string(index % aOptions.mZones);
    mVms.push_back(mFleet.AddVm("vm-" + std::to_string(index), zone));
  }
}

Totals
MeasuredFleet::TotalsSoFar() const
{
  Totals totals = mTotals;
  totals.mPlatformCalls = mFleet.mPlatform.Calls();
  totals.mProcessorSeconds = ProcessorSeconds() - mEncodingSeconds;
  return totals;
}

std::size_t
MeasuredFleet::CountBehind(Revision aRevision) const
{
  return static_cast<std::size_t>(
    std::count_if(mVms.begin(), mVms.end(), [this, aRevision](VmId aVm) {
      return mFleet.IsAlive(aVm) &&
             mFleet.State(aVm).mConfiguration.mRevision < aRevision;
    }));
}

bool
MeasuredFleet::IsInForceEverywhere(Revision aRevision) const
{
  return CountBehind(aRevision) == 0;
}

double
Milliseconds(Duration aSpan)
{
  return std::chrono::duration<double, std::milli>(aSpan).count();
}

void
Print(const std::string& aName, double aValue, const std::string& aUnit)
{
  std::cout << aName << " " << aValue << " " << aUnit << "\n";
}

/** Measures the time from the start of all VMs until every VM has the first
 * revision in force. */
void
MeasureStart(MeasuredFleet& aFleet, const Options& aOptions)
{
  const TimePoint begin = aFleet.mFleet.mTimeline.Now();
  const Revision first = aFleet.mFleet.mPlatform.Apply(FileText(aOptions, 0));
  const Duration step = std::chrono::milliseconds(100);
  std::uint64_t peak = 0;
  std::uint64_t before = 0;
  for (int tick = 0; tick < 600 && !aFleet.IsInForceEverywhere(first); ++tick) {
    aFleet.mFleet.RunFor(step);
    constexpr int kTicksPerSecond = 10;
    if (tick % kTicksPerSecond == kTicksPerSecond - 1) {
      const std::uint64_t calls = aFleet.mFleet.mPlatform.Calls();
      peak = std::max(peak, calls - before);
      before = calls;
    }
  }
  Print("start_everywhere",
        Milliseconds(aFleet.mFleet.mTimeline.Now() - begin),
        "ms");
  Print("start_platform_calls_peak", static_cast<double>(peak), "calls/s");
}

void
MeasureIdle(MeasuredFleet& aFleet, const Options& aOptions)
{
  const double vmCount = aOptions.mVmCount;
  const double seconds = aOptions.mIdleSeconds;
  aFleet.mBytesSent.clear();
  const auto typesBefore = aFleet.mByType;
  const Totals before = aFleet.TotalsSoFar();
  aFleet.mFleet.RunFor(std::chrono::seconds(aOptions.mIdleSeconds));
  const Totals spent = aFleet.TotalsSoFar() - before;
  std::uint64_t maximum = 0;
  for (const auto& [vm, bytes] : aFleet.mBytesSent) {
    maximum = std::max(maximum, bytes);
  }
  for (const auto& [type, now] : aFleet.mByType) {
    const auto old = typesBefore.find(type);
    const std::uint64_t count =
      now.first - (old == typesBefore.end() ? 0 : old->second.first);
    const std::uint64_t bytes =
      now.second - (old == typesBefore.end() ? 0 : old->second.second);
    std::cout << "idle_type " << type << " messages " << count << " bytes "
              << bytes << "\n";
  }
  Print("idle_messages",
        static_cast<double>(spent.mMessages) / vmCount / seconds,
        "sent/node/s");
  Print("idle_bytes",
        static_cast<double>(spent.mBytes) / vmCount / seconds,
        "B sent/node/s");
  Print("idle_bytes_most", static_cast<double>(maximum) / seconds, "B sent/s");
  Print("idle_platform_calls",
        static_cast<double>(spent.mPlatformCalls) / seconds,
        "calls/s");
  Print("idle_processor_with_fake_network",
        spent.mProcessorSeconds / vmCount / seconds * 1e6,
        "us/node/s");
}

/** Applies changes and measures how long each takes to reach every VM. */
void
MeasureChanges(MeasuredFleet& aFleet, const Options& aOptions)
{
  std::vector<double> times;
  const Totals before = aFleet.TotalsSoFar();
  const TimePoint begin = aFleet.mFleet.mTimeline.Now();
  for (unsigned change = 1; change <= aOptions.mChanges; ++change) {
    const TimePoint applied = aFleet.mFleet.mTimeline.Now();
    const Revision revision =
      aFleet.mFleet.mPlatform.Apply(FileText(aOptions, change));
    while (!aFleet.IsInForceEverywhere(revision) &&
           aFleet.mFleet.mTimeline.Now() - applied < std::chrono::minutes(1)) {
      aFleet.mFleet.RunFor(std::chrono::milliseconds(5));
    }
    times.push_back(Milliseconds(aFleet.mFleet.mTimeline.Now() - applied));
    aFleet.mFleet.RunFor(std::chrono::seconds(2));
  }
  const Totals spent = aFleet.TotalsSoFar() - before;
  std::sort(times.begin(), times.end());
  Print("change_everywhere_median", times[times.size() / 2], "ms");
  Print("change_everywhere_most", times.back(), "ms");
  const double vmCount = aOptions.mVmCount;
  Print("change_messages_with_idle",
        static_cast<double>(spent.mMessages) / vmCount / aOptions.mChanges,
        "sent/node/change");
  Print("change_bytes_with_idle",
        static_cast<double>(spent.mBytes) / vmCount / aOptions.mChanges,
        "B sent/node/change");
  Print("change_platform_calls_with_idle",
        static_cast<double>(spent.mPlatformCalls) / aOptions.mChanges,
        "calls/change");
  Print("change_span",
        Milliseconds(aFleet.mFleet.mTimeline.Now() - begin) / aOptions.mChanges,
        "ms/change");
}

/** Isolates an availability zone from the platform and from the other zones,
 * then reconnects it. */
void
MeasureZoneIsolation(MeasuredFleet& aFleet, const Options& aOptions)
{
  const auto set = [&aFleet, &aOptions](bool aIsIsolated) {
    for (unsigned zone = 1; zone < aOptions.mZones; ++zone) {
      aFleet.mFleet.SetPartitioned(
        "zone-0", "zone-" + std::to_string(zone), aIsIsolated);
    }
    aFleet.mFleet.SetPlatformPartitioned("zone-0", aIsIsolated);
  };
  set(true);
  aFleet.mFleet.RunFor(std::chrono::seconds(1));
  const Revision revision =
    aFleet.mFleet.mPlatform.Apply(FileText(aOptions, aOptions.mChanges + 1));
  aFleet.mFleet.RunFor(std::chrono::minutes(1));
  Print("cut_behind", static_cast<double>(aFleet.CountBehind(revision)), "VMs");
  const Totals before = aFleet.TotalsSoFar();
  const TimePoint healed = aFleet.mFleet.mTimeline.Now();
  set(false);
  while (!aFleet.IsInForceEverywhere(revision) &&
         aFleet.mFleet.mTimeline.Now() - healed < std::chrono::minutes(1)) {
    aFleet.mFleet.RunFor(std::chrono::milliseconds(10));
  }
  const Totals spent = aFleet.TotalsSoFar() - before;
  Print("heal_everywhere",
        Milliseconds(aFleet.mFleet.mTimeline.Now() - healed),
        "ms");
  Print("heal_messages",
        static_cast<double>(spent.mMessages) / aOptions.mVmCount,
        "sent/node");
}

/** Restarts all VMs at the same time with nothing but their settings. */
void
MeasureRestart(MeasuredFleet& aFleet, const Options& aOptions)
{
  const Revision revision =
    aFleet.mFleet.mPlatform.Apply(FileText(aOptions, aOptions.mChanges + 2));
  for (const VmId vm : aFleet.mVms) {
    aFleet.mFleet.Kill(vm);
  }
  aFleet.mFleet.RunFor(std::chrono::seconds(2));
  for (const VmId vm : aFleet.mVms) {
    aFleet.mFleet.Restart(vm);
  }
  const TimePoint begin = aFleet.mFleet.mTimeline.Now();
  std::uint64_t peak = 0;
  int seconds = 0;
  for (; seconds < 60 && !aFleet.IsInForceEverywhere(revision); ++seconds) {
    const std::uint64_t before = aFleet.mFleet.mPlatform.Calls();
    for (int tick = 0; tick < 10 && !aFleet.IsInForceEverywhere(revision);
         ++tick) {
      aFleet.mFleet.RunFor(std::chrono::milliseconds(100));
    }
    peak = std::max(peak, aFleet.mFleet.mPlatform.Calls() - before);
  }
  Print("restart_all_everywhere",
        Milliseconds(aFleet.mFleet.mTimeline.Now() - begin),
        "ms");
  Print(
    "restart_all_platform_calls_peak", static_cast<double>(peak), "calls/s");
}

/** Stops one VM and measures the time until no other VM lists it as live, so
 * that none sends it work. */
void
MeasureDeath(MeasuredFleet& aFleet, const Options& aOptions)
{
  const VmId dead = aFleet.mVms.back();
  const ZoneName zone = aFleet.mFleet.State(dead).mSelf.mZone;
  const TimePoint killed = aFleet.mFleet.mTimeline.Now();
  aFleet.mFleet.Kill(dead);
  const auto isKnown = [&aFleet, dead, &zone] {
    return std::all_of(aFleet.mVms.begin(), aFleet.mVms.end(), [&](VmId aVm) {
      const auto& live = aFleet.mFleet.State(aVm).mMembership.mLiveByZone;
      const auto vms = live.find(zone);
      return aVm == dead || vms == live.end() ||
             !std::binary_search(vms->second.begin(), vms->second.end(), dead);
    });
  };
  while (!isKnown() &&
         aFleet.mFleet.mTimeline.Now() - killed < std::chrono::minutes(1)) {
    aFleet.mFleet.RunFor(std::chrono::milliseconds(100));
  }
  Print("death_everywhere",
        Milliseconds(aFleet.mFleet.mTimeline.Now() - killed),
        "ms");
  (void)aOptions;
}

/** Measures the processor time of the steps by which one VM adopts a
 * configuration. */
void
MeasureAdoption(const Options& aOptions)
{
  ConfigurationRecord record;
  record.mRevision = Revision(1);
  record.mText = FileText(aOptions, 0);
  const std::size_t heapBefore = HeapBytes();
  VmIdentity identity;
  identity.mId = VmId(1);
  VmState state = MakeVmState(identity, 1);
  TimePoint now{ std::chrono::hours(1) };
  Reduce(state, Started{}, now);
  for (unsigned change = 0; change < 2; ++change) {
    record.mRevision = Revision(change + 1);
    record.mText = FileText(aOptions, change);
    double maximum = 0;
    double total = 0;
    const auto run = [&](const Event& aEvent) {
      const auto begin = std::chrono::steady_clock::now();
      Reduce(state, aEvent, now);
      const std::chrono::duration<double, std::milli> spent =
        std::chrono::steady_clock::now() - begin;
      maximum = std::max(maximum, spent.count());
      total += spent.count();
    };
    StoredConfiguration stored;
    stored.mStoreVersion = change + 1;
    stored.mRecord = record;
    run(StoreWatched{ stored });
    while (state.mConfiguration.mStaged) {
      now += std::chrono::milliseconds(1);
      run(Tick{});
    }
    const std::string name = change == 0 ? "adopt_first" : "adopt_change";
    Print(name + "_longest_event", maximum, "ms");
    Print(name + "_all_events", total, "ms");
  }
  const auto begin = std::chrono::steady_clock::now();
  const auto whole = ParseDeployment(record.mText, "whole");
  const std::chrono::duration<double, std::milli> spent =
    std::chrono::steady_clock::now() - begin;
  Print("parse_whole_for_comparison", spent.count(), "ms");
  Print("deployment_text", static_cast<double>(record.mText.size()), "B");
  Print("deployment_targets",
        static_cast<double>(whole ? whole->mTargets.size() : 0),
        "targets");
  const std::string compressed =
    Compress(record.mText, CompressionLevel::kBestCompression);
  Print("deployment_compressed", static_cast<double>(compressed.size()), "B");
  Print("node_memory_with_deployment",
        static_cast<double>(HeapBytes() - heapBefore),
        "B");
}

std::size_t
ResidentPages()
{
  std::ifstream stream("/proc/self/statm");
  std::size_t whole = 0;
  std::size_t resident = 0;
  stream >> whole >> resident;
  return resident;
}

int
Run(const Options& aOptions)
{
  std::cout << "nodes " << aOptions.mVmCount << " zones " << aOptions.mZones
            << " services " << aOptions.mServices << " targets/service "
            << aOptions.mTargetsPerService << " loss " << aOptions.mLoss
            << " seed " << aOptions.mSeed << "\n";
  const std::size_t heapBefore = HeapBytes();
  MeasuredFleet fleet(aOptions);
  MeasureStart(fleet, aOptions);
  fleet.mFleet.RunFor(std::chrono::seconds(30));
  MeasureIdle(fleet, aOptions);
  MeasureChanges(fleet, aOptions);
  Print("memory_with_fake_network",
        static_cast<double>(HeapBytes() - heapBefore) / aOptions.mVmCount,
        "B/node");
  if (aOptions.mIsolateZone) {
    MeasureZoneIsolation(fleet, aOptions);
  }
  if (aOptions.mRestartAll) {
    MeasureRestart(fleet, aOptions);
  }
  if (aOptions.mKillOne) {
    MeasureDeath(fleet, aOptions);
  }
  constexpr double kPageMegabytes = 4096.0 / 1e6;
  Print("process_resident",
        static_cast<double>(ResidentPages()) * kPageMegabytes,
        "MB");
  return 0;
}

} // namespace

} // namespace wasabispread::testing

int
main(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  wasabispread::testing::Options values;
  bool adoption = false;
  options::options_description description("Options");
  auto add = description.add_options();
  add("help", "show this text");
  add("nodes", options::value(&values.mVmCount), "number of VMs");
  add("zones", options::value(&values.mZones), "availability zones");
  add("services",
      options::value(&values.mServices),
      "number of declared services");
  add("targets-per-service",
      options::value(&values.mTargetsPerService),
      "number of targets of each service");
  add("changes",
      options::value(&values.mChanges),
      "number of configuration changes to apply");
  add("idle-seconds",
      options::value(&values.mIdleSeconds),
      "length of the idle phase, in seconds");
  add("loss",
      options::value(&values.mLoss),
      "share of messages that are lost, 0 to 1");
  add("cut-zone",
      options::bool_switch(&values.mIsolateZone),
      "isolate one availability zone, then reconnect it");
  add("kill-one", options::bool_switch(&values.mKillOne), "stop one VM");
  add("restart-all",
      options::bool_switch(&values.mRestartAll),
      "restart all VMs at the same time");
  add("seed", options::value(&values.mSeed), "seed");
  add("adoption",
      options::bool_switch(&adoption),
      "measure only how one VM adopts the deployment");
  options::variables_map map;
  options::store(options::parse_command_line(aCount, aArguments, description),
                 map);
  options::notify(map);
  if (map.count("help") != 0) {
    std::cout << description;
    return 0;
  }
  if (adoption) {
    wasabispread::testing::MeasureAdoption(values);
    return 0;
  }
  return wasabispread::testing::Run(values);
}
