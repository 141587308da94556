/*
 * Measures the goodput of a small simulated fleet under a load that is a
 * multiple of its targets' capacity, either of the real coordinators or of the
 * naive tier. Each target runs a few requests at a time.
 */
#pragma once

#include "DeploymentText.h"
#include "FakeFleet.h"
#include "NaiveTier.h"

#include <cmath>
#include <cstdint>
#include <string>

namespace wasabispread::testing {

/** The settings of one run. */
struct OverloadOptions
{
  std::uint64_t mSeed = 1;
  /** Load as a multiple of what the targets can run. */
  double mLoad = 1;
  bool mIsNaive = false;
  Duration mTimeout = std::chrono::milliseconds(200);
};

/** Runs the load and returns the complete answers that arrived in time, as a
    fraction of the targets' capacity. */
inline double
MeasureGoodput(const OverloadOptions& aOptions)
{
  constexpr std::uint32_t kWorkers = 4;
  constexpr Duration kServiceTime = std::chrono::milliseconds(5);
  constexpr Duration kSettle = std::chrono::seconds(6);
  constexpr Duration kRamp = std::chrono::seconds(2);
  constexpr Duration kSpan = std::chrono::seconds(3);
  constexpr Duration kHop = std::chrono::milliseconds(1);
  ServiceText service;
  service.mMaxWaitMs = 200;
  service.mExtraLoadPercent = 0;
  FakeFleet fleet(aOptions.mSeed);
  std::vector<VmId> vms;
  for (const char* zone : { "zone-a", "zone-b", "zone-c" }) {
    vms.push_back(fleet.AddVm(std::string("vm-1-") + zone, zone));
    vms.push_back(fleet.AddVm(std::string("vm-2-") + zone, zone));
  }
  const std::string text = DeploymentText({ service });
  fleet.Apply(text);
  for (const auto& [id, target] : fleet.Targets()) {
    target->mBehaviour.mWorkers = kWorkers;
    target->mBehaviour.mServiceTime = kServiceTime;
    target->mBehaviour.mIsExponential = true;
  }
  NaiveTier naive(fleet, *ParseDeployment(text, "overload"), kHop);
  fleet.RunFor(kSettle);
  const double capacity = service.mReplicas * kWorkers /
                          std::chrono::duration<double>(kServiceTime).count();
  Random random(aOptions.mSeed);
  std::vector<std::shared_ptr<const NaiveAnswer>> answers;
  const TimePoint counted = fleet.mTimeline.Now() + kRamp;
  const TimePoint end = counted + kSpan;
  while (fleet.mTimeline.Now() < end) {
    const double gap =
      -std::log(1 - random.Fraction()) / (capacity * aOptions.mLoad);
    fleet.RunFor(
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)));
    if (aOptions.mIsNaive) {
      answers.push_back(
        naive.Ask(service.mName, std::to_string(answers.size()), kSpan));
      continue;
    }
    AskOptions ask;
    ask.mService = service.mName;
    ask.mTimeout = aOptions.mTimeout;
    fleet.Ask(vms[random.Below(vms.size())], ask);
  }
  fleet.RunFor(kSpan);
  std::uint64_t good = 0;
  for (const Exchange& exchange : fleet.Exchanges()) {
    const Answer* answer = exchange.AnswerOrNull();
    const bool isGood = answer != nullptr && answer->IsComplete() &&
                        exchange.mAsked >= counted && exchange.mAsked < end;
    good += isGood ? 1 : 0;
  }
  for (const auto& answer : answers) {
    const bool isGood =
      answer->mIsOver && answer->mBodies.size() == answer->mShardsAsked &&
      answer->mAnswered - answer->mAsked <= aOptions.mTimeout &&
      answer->mAsked >= counted && answer->mAsked < end;
    good += isGood ? 1 : 0;
  }
  return static_cast<double>(good) /
         (capacity * std::chrono::duration<double>(kSpan).count());
}

} // namespace wasabispread::testing
