/*
 * Compares the rules for early answers and for snapshots in virtual time.
 * Argument: seconds of load.
 */
#include "BenchFleet.h"

#include <cstdlib>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

/** Options for one service with 20 shards and 1% stragglers. */
BenchOptions
WideOptions()
{
  BenchOptions options;
  options.mService.mShards = 20;
  options.mRate = 100;
  options.mBehaviour.mServiceTime = std::chrono::milliseconds(5);
  options.mBehaviour.mIsExponential = true;
  options.mBehaviour.mStragglerShare = 0.01;
  options.mBehaviour.mStragglerTime = std::chrono::milliseconds(200);
  return options;
}

void
CompareEarlyAnswers(const char* aFault, bool aIsFrozen, Duration aSpan)
{
  struct Rule
  {
    const char* mName;
    const char* mPreference;
    EarlyAnswerRule mRule;
    double mFactor;
  };
  const Rule rules[] = {
    { "coverage first", "coverage", EarlyAnswerRule::kAtOnce, 0 },
    { "latency first, at once", "latency", EarlyAnswerRule::kAtOnce, 0 },
    { "latency first, 1 delay", "latency", EarlyAnswerRule::kLearnedGrace, 1 },
    { "latency first, 2 delays", "latency", EarlyAnswerRule::kLearnedGrace, 2 },
  };
  PrintHeading(aFault);
  for (const Rule& rule : rules) {
    BenchOptions options = WideOptions();
    options.mService.mPreference = rule.mPreference;
    options.mService.mMinCoverage = 0.8;
    options.mPolicy.mEarlyAnswer = rule.mRule;
    options.mPolicy.mGraceFactor = rule.mFactor;
    BenchFleet fleet(options);
    fleet.Run(options.mWarmUp);
    if (aIsFrozen) {
      for (const char* name : { "catalogue-3-0", "catalogue-3-1" }) {
        fleet.Fleet().TargetNamed(name).mBehaviour.mIsFrozen = true;
      }
    }
    PrintRow(rule.mName, fleet.Run(aSpan));
  }
}

/** Replaces the snapshot versions target by target while requests continue. */
void
CompareSnapshots(const char* aTitle,
                 bool aKeepsOld,
                 double aExtra,
                 Duration aSpan)
{
  struct Rule
  {
    const char* mName;
    SnapshotRule mRule;
  };
  const Rule rules[] = {
    { "finish on the old", SnapshotRule::kFinishOld },
    { "restart on the new", SnapshotRule::kRestartNew },
    { "restart if it covers more", SnapshotRule::kBestCoverage },
  };
  PrintHeading(aTitle);
  for (const Rule& rule : rules) {
    BenchOptions options = WideOptions();
    options.mService.mExtraLoadPercent = aExtra;
    options.mBehaviour.mStragglerShare = 0;
    options.mPolicy.mSnapshot = rule.mRule;
    BenchFleet fleet(options);
    fleet.Run(options.mWarmUp);
    FakeFleet& inner = fleet.Fleet();
    const auto count = static_cast<int>(inner.Targets().size());
    const Duration step = aSpan / (count * 2);
    for (std::uint64_t version = 2; version <= 3; ++version) {
      Duration at = aSpan / 2 * static_cast<int>(version - 2);
      for (const auto& [id, target] : inner.Targets()) {
        at += step;
        inner.mTimeline.After(
          at, [&behaviour = target->mBehaviour, version, aKeepsOld] {
            behaviour.mSnapshots = { SnapshotVersion(version) };
            if (aKeepsOld) {
              behaviour.mSnapshots.insert(behaviour.mSnapshots.begin(),
                                          SnapshotVersion(version - 1));
            }
          });
      }
    }
    PrintRow(rule.mName, fleet.Run(aSpan));
    std::printf(
      "%-34s %llu restarts\n",
      "",
      static_cast<unsigned long long>(fleet.Sum(&Counters::mSnapshotRestarts)));
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  constexpr int kDefaultSeconds = 20;
  const int seconds = aCount > 1 ? std::atoi(aArguments[1]) : kDefaultSeconds;
  const Duration span = std::chrono::seconds(seconds);
  CompareEarlyAnswers("20 shards, least coverage 0.8, all well", false, span);
  CompareEarlyAnswers("the same, both targets of a shard frozen", true, span);
  CompareSnapshots("20 shards, targets keep two versions", true, 5, span);
  CompareSnapshots("20 shards, targets keep one version", false, 5, span);
  CompareSnapshots(
    "20 shards, targets keep one version, extra load 100%", false, 100, span);
  return 0;
}
