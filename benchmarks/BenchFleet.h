/*
 * Runs a fleet of VMs under open-loop load in virtual time and records the
 * latencies, coverage and counters that its callers observe.
 */
#pragma once

#include <tests/support/DeploymentText.h>
#include <tests/support/FakeFleet.h>
#include <tests/support/NaiveTier.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wasabispread::testing {

/** Shape, settings and load of a simulated fleet. */
struct BenchOptions
{
  std::uint64_t mSeed = 1;
  unsigned mVms = 8;
  ServiceText mService;
  Duration mBetweenZones = std::chrono::milliseconds(4);
  CoordinatorPolicy mPolicy;
  TargetBehaviour mBehaviour;
  /** Arrival rate in requests per second, summed over all VMs. */
  double mRate = 100;
  Duration mWarmUp = std::chrono::seconds(15);
  Duration mSpan = std::chrono::seconds(20);
  Duration mTimeout = std::chrono::seconds(1);
};

/** Latencies and coverage of the requests that were sent during one time
 * span. */
struct BenchResult
{
  std::vector<double> mLatencyMs;
  std::uint64_t mAsked = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mComplete = 0;
  double mCoverage = 0;
  /** Number of sub-requests sent for each shard that was asked. */
  double mSubRequestsPerShard = 0;

  /** Returns a quantile of the latencies of the answers, in milliseconds. */
  double Quantile(double aShare)
  {
    if (mLatencyMs.empty()) {
      return 0;
    }
    std::sort(mLatencyMs.begin(), mLatencyMs.end());
    const auto last = static_cast<double>(mLatencyMs.size() - 1);
    return mLatencyMs[static_cast<std::size_t>(std::floor(aShare * last))];
  }

  double MeanCoverage() const
  {
    return mAsked == 0 ? 0 : mCoverage / static_cast<double>(mAsked);
  }

  double CompleteShare() const
  {
    return mAsked == 0
             ? 0
             : static_cast<double>(mComplete) / static_cast<double>(mAsked);
  }
};

/** A simulated fleet and the load on it. */
class BenchFleet
{
public:
  explicit BenchFleet(const BenchOptions& aOptions)
    : mOptions(aOptions)
    , mFleet(aOptions.mSeed)
    , mArrivals(aOptions.mSeed + 1)
  {
    mFleet.mNetwork.mBetweenZones = aOptions.mBetweenZones;
    const auto& zones = aOptions.mService.mZones;
    for (unsigned vm = 0; vm < aOptions.mVms; ++vm) {
      mVms.push_back(
        mFleet.AddVm("vm-" + std::to_string(vm), zones[vm % zones.size()]));
      mFleet.State(mVms.back()).mCoordinator.mPolicy = aOptions.mPolicy;
    }
    const std::string text = DeploymentText({ aOptions.mService });
    mFleet.Apply(text);
    mNaive = std::make_unique<NaiveTier>(
      mFleet, *ParseDeployment(text, "bench"), aOptions.mBetweenZones);
    for (const auto& [id, target] : mFleet.Targets()) {
      target->mBehaviour = aOptions.mBehaviour;
    }
    // Target owners hold connections only some seconds after they were
    // listed.
    mFleet.RunFor(std::chrono::seconds(10));
  }

  FakeFleet& Fleet() { return mFleet; }

  /** Sends requests at the set rate for a span, waits for every answer, and
   * returns what became of the requests. */
  BenchResult Run(Duration aSpan)
  {
    const std::size_t first = mFleet.Exchanges().size();
    const std::uint64_t before = Arrivals();
    std::uint64_t asked = 0;
    const TimePoint end = mFleet.mTimeline.Now() + aSpan;
    while (mFleet.mTimeline.Now() < end) {
      AskOptions ask;
      ask.mService = mOptions.mService.mName;
      ask.mTimeout = mOptions.mTimeout;
      mFleet.Ask(mVms[mArrivals.Below(mVms.size())], ask);
      ++asked;
      mFleet.RunFor(NextGap());
    }
    mFleet.RunFor(mOptions.mTimeout);
    BenchResult result = Summarize(first);
    result.mSubRequestsPerShard = SubRequestsPerShardSince(before, asked);
    return result;
  }

  /** Sends the same load to a tier without any request policy. */
  BenchResult RunNaive(Duration aSpan)
  {
    const std::uint64_t before = Arrivals();
    std::vector<std::shared_ptr<const NaiveAnswer>> answers;
    const TimePoint end = mFleet.mTimeline.Now() + aSpan;
    while (mFleet.mTimeline.Now() < end) {
      answers.push_back(mNaive->Ask(mOptions.mService.mName,
                                    "n" + std::to_string(answers.size()),
                                    mOptions.mTimeout));
      mFleet.RunFor(NextGap());
    }
    mFleet.RunFor(mOptions.mTimeout);
    BenchResult result;
    for (const auto& answer : answers) {
      ++result.mAsked;
      const double share = static_cast<double>(answer->mBodies.size()) /
                           static_cast<double>(answer->mShardsAsked);
      result.mCoverage += share;
      result.mComplete += share == 1 ? 1 : 0;
      result.mLatencyMs.push_back(
        ToMilliseconds(answer->mAnswered - answer->mAsked));
    }
    result.mSubRequestsPerShard =
      SubRequestsPerShardSince(before, answers.size());
    return result;
  }

  /** Returns the value of a counter, summed over all VMs. */
  std::uint64_t Sum(std::uint64_t Counters::*aCounter) const
  {
    std::uint64_t sum = 0;
    for (const VmId vm : mVms) {
      sum += mFleet.State(vm).mCounters.*aCounter;
    }
    return sum;
  }

private:
  std::uint64_t Arrivals() const
  {
    std::uint64_t arrivals = 0;
    for (const auto& [id, target] : mFleet.Targets()) {
      arrivals += target->Arrivals();
    }
    return arrivals;
  }

  double SubRequestsPerShardSince(std::uint64_t aBefore,
                                  std::uint64_t aAsked) const
  {
    const double shards =
      static_cast<double>(aAsked) * mOptions.mService.mShards;
    return static_cast<double>(Arrivals() - aBefore) / shards;
  }

  Duration NextGap()
  {
    const double seconds =
      -std::log(1.0 - mArrivals.Fraction()) / mOptions.mRate;
    constexpr double kNanoseconds = 1e9;
    return Duration(static_cast<std::int64_t>(seconds * kNanoseconds));
  }

  BenchResult Summarize(std::size_t aFirst) const
  {
    BenchResult result;
    const auto& exchanges = mFleet.Exchanges();
    for (std::size_t index = aFirst; index < exchanges.size(); ++index) {
      const Exchange& exchange = exchanges[index];
      ++result.mAsked;
      const Answer* answer = exchange.AnswerOrNull();
      if (answer == nullptr) {
        ++result.mRefused;
        continue;
      }
      result.mCoverage += static_cast<double>(answer->mResults.size()) /
                          static_cast<double>(answer->mShardsAsked);
      result.mComplete += answer->IsComplete() ? 1 : 0;
      result.mLatencyMs.push_back(
        ToMilliseconds(exchange.mAnswered - exchange.mAsked));
    }
    return result;
  }

  BenchOptions mOptions;
  FakeFleet mFleet;
  Random mArrivals;
  std::vector<VmId> mVms;
  std::unique_ptr<NaiveTier> mNaive;
};

/** Prints the heading of the table to which PrintRow() adds rows. */
inline void
PrintHeading(const char* aTitle)
{
  std::printf("\n%s\n%-34s %8s %8s %8s %9s %9s %8s %8s\n",
              aTitle,
              "rule",
              "p50 ms",
              "p99 ms",
              "p99.9",
              "coverage",
              "complete",
              "refused",
              "load");
}

/** Prints the results of one rule as a table row. */
inline void
PrintRow(const std::string& aName, BenchResult aResult)
{
  constexpr double kMedian = 0.5;
  constexpr double kP99 = 0.99;
  constexpr double kP999 = 0.999;
  std::printf("%-34s %8.1f %8.1f %8.1f %9.4f %9.4f %8llu %8.3f\n",
              aName.c_str(),
              aResult.Quantile(kMedian),
              aResult.Quantile(kP99),
              aResult.Quantile(kP999),
              aResult.MeanCoverage(),
              aResult.CompleteShare(),
              static_cast<unsigned long long>(aResult.mRefused),
              aResult.mSubRequestsPerShard);
}

} // namespace wasabispread::testing
