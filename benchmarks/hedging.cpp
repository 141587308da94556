/*
 * Compares hedging rules in virtual time: no hedge, a fixed delay, and a
 * learned quantile with and without the budget for extra attempts, beside a
 * tier without any policy. Prints one table for each fault and load. Argument:
 * seconds of load.
 */
#include "BenchFleet.h"

#include <cstdlib>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

/** A hedging rule and its name in the tables. */
struct ComparedPolicy
{
  const char* mName;
  CoordinatorPolicy mPolicy;
};

CoordinatorPolicy
WithHedge(HedgeRule aRule, std::uint8_t aMaxHedges, bool aIsBudgeted)
{
  CoordinatorPolicy policy;
  policy.mHedge = aRule;
  policy.mMaxHedges = aMaxHedges;
  policy.mIsBudgeted = aIsBudgeted;
  return policy;
}

std::vector<ComparedPolicy>
ComparedPolicies()
{
  return {
    { "no hedge", WithHedge(HedgeRule::kNone, 0, true) },
    { "fixed 10 ms, no budget", WithHedge(HedgeRule::kFixedDelay, 1, false) },
    { "learned, no budget", WithHedge(HedgeRule::kLearnedQuantile, 1, false) },
    { "learned, budget, 1 hedge",
      WithHedge(HedgeRule::kLearnedQuantile, 1, true) },
    { "learned, budget, 2 hedges",
      WithHedge(HedgeRule::kLearnedQuantile, 2, true) },
  };
}

/** The shape of a deployment, taken from one of its services. */
struct Shape
{
  const char* mName;
  ServiceText mService;
  Duration mBetweenZones;
};

Shape
SrisukShape()
{
  ServiceText service;
  service.mName = "alert-desk";
  service.mHoldsAllShards = true;
  service.mZones = { "zone-a", "zone-b", "zone-c", "zone-d" };
  return { "Srisuk: 4 shards, 2 targets, cap 25",
           service,
           std::chrono::milliseconds(4) };
}

Shape
FoamlineShape()
{
  ServiceText service;
  service.mName = "catalogue";
  service.mHoldsAllShards = true;
  service.mExtraLoadPercent = 2;
  return { "Foamline: 4 shards, 2 targets, cap 25",
           service,
           std::chrono::milliseconds(5) };
}

Shape
WideShape()
{
  ServiceText service;
  service.mName = "wide";
  service.mShards = 100;
  service.mReplicas = 2;
  service.mConnectionCap = 100;
  return { "Wide: 100 shards, 2 replicas, cap 100",
           service,
           std::chrono::milliseconds(4) };
}

/** Returns the request rate that keeps the given share of the connections of
 * the first owners busy. */
double
RateAt(const Shape& aShape, double aLoad)
{
  constexpr double kFirstOwnerShare = 0.6;
  constexpr double kMeanSeconds = 0.007;
  const double targets =
    aShape.mService.mHoldsAllShards
      ? aShape.mService.mReplicas
      : aShape.mService.mReplicas * aShape.mService.mShards;
  const double connections =
    aShape.mService.mConnectionCap * kFirstOwnerShare * targets;
  return aLoad * connections / kMeanSeconds / aShape.mService.mShards;
}

BenchOptions
OptionsFor(const Shape& aShape, double aRate, double aStragglers)
{
  BenchOptions options;
  options.mService = aShape.mService;
  options.mBetweenZones = aShape.mBetweenZones;
  options.mRate = aRate;
  options.mBehaviour.mServiceTime = std::chrono::milliseconds(5);
  options.mBehaviour.mIsExponential = true;
  options.mBehaviour.mStragglerShare = aStragglers;
  options.mBehaviour.mStragglerTime = std::chrono::milliseconds(200);
  return options;
}

void
CompareStragglers(const Shape& aShape,
                  double aRate,
                  const std::string& aLoad,
                  double aStragglers,
                  Duration aSpan)
{
  constexpr double kPercent = 100;
  const std::string title = std::string(aShape.mName) + ", load " + aLoad +
                            ", stragglers " +
                            std::to_string(aStragglers * kPercent) + "%";
  PrintHeading(title.c_str());
  BenchOptions options = OptionsFor(aShape, aRate, aStragglers);
  BenchFleet naive(options);
  PrintRow("naive", naive.RunNaive(aSpan));
  for (const ComparedPolicy& compared : ComparedPolicies()) {
    options.mPolicy = compared.mPolicy;
    BenchFleet fleet(options);
    fleet.Run(options.mWarmUp);
    PrintRow(compared.mName, fleet.Run(aSpan));
  }
}

/** Compares the rules while one target answers ten times slower than the
 * others. */
void
CompareSlowTarget(const Shape& aShape, double aRate, Duration aSpan)
{
  PrintHeading(
    (std::string(aShape.mName) + ", one target 10 times slower").c_str());
  BenchOptions options = OptionsFor(aShape, aRate, 0);
  const auto slowDownTarget = [&](BenchFleet& aFleet) {
    aFleet.Fleet()
      .TargetNamed(aShape.mService.mName + "-0-0")
      .mBehaviour.mServiceTime = std::chrono::milliseconds(50);
  };
  BenchFleet naive(options);
  slowDownTarget(naive);
  PrintRow("naive", naive.RunNaive(aSpan));
  for (const ComparedPolicy& compared : ComparedPolicies()) {
    options.mPolicy = compared.mPolicy;
    BenchFleet fleet(options);
    slowDownTarget(fleet);
    fleet.Run(options.mWarmUp);
    PrintRow(compared.mName, fleet.Run(aSpan));
  }
}

/** Compares the rules while half of all targets reject every request, and
 * after they recover. */
void
CompareShedding(const Shape& aShape, double aRate)
{
  for (const ComparedPolicy& compared : ComparedPolicies()) {
    BenchOptions options = OptionsFor(aShape, aRate, 0);
    options.mPolicy = compared.mPolicy;
    BenchFleet fleet(options);
    fleet.Run(options.mWarmUp);
    PrintHeading(
      (std::string(aShape.mName) + ", half shedding: " + compared.mName)
        .c_str());
    PrintRow("before", fleet.Run(std::chrono::seconds(5)));
    const auto setShedShare = [&](double aShare) {
      unsigned ordinal = 0;
      for (const auto& [id, target] : fleet.Fleet().Targets()) {
        target->mBehaviour.mShedShare = ordinal++ % 2 == 0 ? aShare : 0;
      }
    };
    setShedShare(1);
    PrintRow("first second of the fault", fleet.Run(std::chrono::seconds(1)));
    PrintRow("rest of the fault", fleet.Run(std::chrono::seconds(10)));
    setShedShare(0);
    PrintRow("first second after", fleet.Run(std::chrono::seconds(1)));
    PrintRow("third second on", fleet.Run(std::chrono::seconds(5)));
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  constexpr int kDefaultSeconds = 20;
  const int seconds = aCount > 1 ? std::atoi(aArguments[1]) : kDefaultSeconds;
  const Duration span = std::chrono::seconds(seconds);
  constexpr double kManyStragglers = 0.05;
  constexpr double kFewStragglers = 0.01;
  constexpr double kQuarterLoad = 0.25;
  for (const Shape& shape : { SrisukShape(), FoamlineShape() }) {
    for (const double load : { 0.3, 0.6, 0.9 }) {
      CompareStragglers(
        shape, RateAt(shape, load), std::to_string(load), kFewStragglers, span);
    }
    CompareStragglers(shape,
                      RateAt(shape, kQuarterLoad),
                      std::to_string(kQuarterLoad),
                      kManyStragglers,
                      span);
    CompareSlowTarget(shape, RateAt(shape, kQuarterLoad), span);
    CompareShedding(shape, RateAt(shape, kQuarterLoad));
  }
  constexpr double kWideRate = 50;
  CompareStragglers(
    WideShape(), kWideRate, "50 a second", kFewStragglers, span);
  return 0;
}
