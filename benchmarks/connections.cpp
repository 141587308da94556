/*
 * Compares the policies that decide which VMs may connect to a target. Each
 * policy runs on a given deployment at several loads: in steady state, with an
 * owner killed, and while VMs disagree about which VMs are alive. Everything
 * runs in virtual time; the same seed prints the same results.
 *
 * Usage: connections DEPLOYMENT-FILE [SEED]
 */
#include <tests/support/FakeFleet.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

namespace wasabispread::testing {

namespace {

constexpr Duration kSettleTime = std::chrono::seconds(6);
constexpr Duration kWarmUp = std::chrono::seconds(5);
constexpr Duration kMeasuredTime = std::chrono::seconds(5);
constexpr Duration kTimeout = std::chrono::seconds(2);
constexpr std::size_t kVms = 8;
constexpr double kStragglerShare = 0.01;
constexpr Duration kStragglerTime = std::chrono::milliseconds(100);

/** The fault that is injected during a run. */
enum class Scenario
{
  kSteady,
  kOwnerKilled,
  kDisagreement,
  kWrongList,
};

/** One of the compared connection policies. */
struct ComparedPolicy
{
  const char* mName;
  ConnectionPolicy mPolicy;
};

/** Input of one run. */
struct RunOptions
{
  std::string mText;
  std::uint64_t mSeed = 1;
  ComparedPolicy mComparedPolicy;
  Scenario mScenario = Scenario::kSteady;
  double mLoad = 0;
};

/** Results of one run. */
struct RunResult
{
  std::vector<double> mLatencies;
  std::size_t mAsked = 0;
  std::size_t mComplete = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mConnectionsOpened = 0;
  std::uint64_t mConnectionsRefused = 0;
  double mPeakShare = 0;
  std::uint64_t mArrivals = 0;
  std::uint64_t mMessages = 0;
};

/** The services under load, with the mean service time of their targets. */
struct LoadedService
{
  const Service* mService;
  Duration mServiceTime;
};

std::vector<LoadedService>
ChooseServices(const Deployment& aDeployment)
{
  constexpr std::uint32_t kSmallCap = 25;
  constexpr std::size_t kMaxSmallServices = 2;
  constexpr Duration kQuick = std::chrono::milliseconds(10);
  constexpr Duration kSlow = std::chrono::milliseconds(100);
  std::vector<LoadedService> chosen;
  bool hasLarge = false;
  std::size_t small = 0;
  for (const Service& service : aDeployment.mServices) {
    const bool isSmall = service.mConnectionCap <= kSmallCap;
    if (!service.Offers(Operation::kSearch)) {
      continue;
    }
    if (isSmall && small < kMaxSmallServices) {
      ++small;
      chosen.push_back({ &service, kQuick });
    } else if (!isSmall && !hasLarge) {
      hasLarge = true;
      chosen.push_back({ &service, kSlow });
    }
  }
  return chosen;
}

/** Sends searches to randomly chosen VMs; the arrivals are a Poisson
 * process. */
class Callers
{
public:
  Callers(FakeFleet& aFleet,
          std::vector<VmId> aVms,
          std::string aService,
          Duration aMeanGap,
          std::uint64_t aSeed)
    : mFleet(aFleet)
    , mVms(std::move(aVms))
    , mService(std::move(aService))
    , mMeanGap(aMeanGap)
    , mRandom(aSeed)
  {
  }

  void RunUntil(TimePoint aEnd)
  {
    const double draw = -std::log(1 - mRandom.Fraction());
    const Duration gap(
      static_cast<std::int64_t>(draw * static_cast<double>(mMeanGap.count())));
    const TimePoint next = mFleet.mTimeline.Now() + gap;
    if (next > aEnd) {
      return;
    }
    mFleet.mTimeline.At(next, [this, aEnd] {
      AskOptions options;
      options.mService = mService;
      options.mTimeout = kTimeout;
      mFleet.Ask(mVms[mRandom.Below(mVms.size())], options);
      RunUntil(aEnd);
    });
  }

  /** Stops sending requests to a VM. */
  void StopSendingTo(VmId aVm) { std::erase(mVms, aVm); }

private:
  FakeFleet& mFleet;
  std::vector<VmId> mVms;
  std::string mService;
  Duration mMeanGap;
  Random mRandom;
};

/** Runs a fleet under load with one fault. */
class Run
{
public:
  explicit Run(const RunOptions& aOptions)
    : mOptions(aOptions)
    , mFleet(aOptions.mSeed)
    , mRandom(aOptions.mSeed + 1)
    , mDeployment(*ParseDeployment(aOptions.mText, "benchmark"))
  {
  }

  RunResult Measure()
  {
    StartFleet();
    mFleet.RunFor(kSettleTime);
    StartLoad();
    mFleet.RunFor(kWarmUp);
    const std::size_t first = mFleet.Exchanges().size();
    const std::uint64_t arrivals = CountArrivals();
    const std::uint64_t messages = mFleet.MessagesSent();
    const std::uint64_t opened = CountConnectionsOpened();
    const std::uint64_t refused = CountRefused();
    BeginFault();
    mFleet.RunFor(kMeasuredTime);
    RunResult result;
    result.mRefused = CountRefused() - refused;
    result.mArrivals = CountArrivals() - arrivals;
    result.mMessages = mFleet.MessagesSent() - messages;
    result.mConnectionsOpened = CountConnectionsOpened() - opened;
    const std::size_t last = mFleet.Exchanges().size();
    mFleet.RunFor(kTimeout);
    Collect(first, last, result);
    return result;
  }

private:
  void StartFleet()
  {
    std::set<std::string> zones;
    for (const Target& target : mDeployment.mTargets) {
      zones.insert(target.mZone.Value());
    }
    const std::vector<std::string> names(zones.begin(), zones.end());
    mFleet.mNetwork.mBetweenZones = names.size() == 4
                                      ? std::chrono::milliseconds(4)
                                      : std::chrono::milliseconds(5);
    mFleet.mPlatform.mListLag = std::chrono::seconds(1);
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      mVms.push_back(
        mFleet.AddVm("vm-" + std::to_string(vm), names[vm % names.size()]));
      mFleet.State(mVms.back()).mPlacement.mPolicy =
        mOptions.mComparedPolicy.mPolicy;
    }
    mFleet.Apply(mOptions.mText);
  }

  void StartLoad()
  {
    const TimePoint end = mFleet.mTimeline.Now() + kWarmUp + kMeasuredTime;
    for (const LoadedService& loaded : ChooseServices(mDeployment)) {
      double capacity = 0;
      for (const std::uint32_t position : loaded.mService->mTargets) {
        const Target& target = mDeployment.mTargets[position];
        TargetBehaviour& behaviour =
          mFleet.TargetNamed(target.mName).mBehaviour;
        behaviour.mServiceTime = loaded.mServiceTime;
        behaviour.mIsExponential = true;
        behaviour.mStragglerShare = kStragglerShare;
        behaviour.mStragglerTime = kStragglerTime;
        const double mean =
          (1 - kStragglerShare) *
            std::chrono::duration<double>(loaded.mServiceTime).count() +
          kStragglerShare *
            std::chrono::duration<double>(kStragglerTime).count();
        capacity += loaded.mService->mConnectionCap / mean;
      }
      const double queries =
        mOptions.mLoad * capacity / loaded.mService->mShardCount;
      const Duration gap(static_cast<std::int64_t>(1e9 / queries));
      mCallers.push_back(std::make_unique<Callers>(
        mFleet, mVms, loaded.mService->mName, gap, mRandom.Next()));
      mCallers.back()->RunUntil(end);
    }
  }

  /** Returns the highest-ranked owner of the first target under load. */
  VmId FirstOwner()
  {
    VmState& state = mFleet.State(mVms.front());
    return RankedCandidates(state, state.mConfiguration.mGroupOfTarget[0])
      .front()
      .mVm;
  }

  void BeginFault()
  {
    switch (mOptions.mScenario) {
      case Scenario::kSteady:
        break;
      case Scenario::kOwnerKilled: {
        const VmId owner = FirstOwner();
        for (const auto& callers : mCallers) {
          callers->StopSendingTo(owner);
        }
        mFleet.Kill(owner);
        mFleet.mPlatform.RemoveVm(owner);
        break;
      }
      case Scenario::kDisagreement:
        mFleet.mPlatform.mChangeList = [this](std::vector<VmRecord>& aList) {
          aList.erase(aList.begin() +
                      static_cast<std::ptrdiff_t>(mRandom.Below(aList.size())));
        };
        break;
      case Scenario::kWrongList:
        mFleet.mPlatform.RemoveVm(FirstOwner());
        break;
    }
  }

  std::uint64_t CountArrivals() const
  {
    std::uint64_t count = 0;
    for (const auto& [id, target] : mFleet.Targets()) {
      count += target->Arrivals();
    }
    return count;
  }

  /** Number of attempts refused because there was no capacity, no share of
   * the connections or no owner that remains. */
  std::uint64_t CountRefused() const
  {
    std::uint64_t count = 0;
    for (const VmId vm : mVms) {
      const Counters& counters = mFleet.State(vm).mCounters;
      count += counters.mItemsRefused - counters.mItemsOutOfTime;
    }
    return count;
  }

  std::uint64_t CountConnectionsOpened() const
  {
    std::uint64_t count = 0;
    for (const auto& [id, target] : mFleet.Targets()) {
      count += target->AcceptedConnections();
    }
    return count;
  }

  void Collect(std::size_t aFirst, std::size_t aLast, RunResult& aResult)
  {
    for (std::size_t each = aFirst; each < aLast; ++each) {
      const Exchange& exchange = mFleet.Exchanges()[each];
      ++aResult.mAsked;
      const Answer* answer = exchange.AnswerOrNull();
      if (answer != nullptr && answer->IsComplete()) {
        ++aResult.mComplete;
      }
      if (exchange.mOutcome) {
        aResult.mLatencies.push_back(
          ToMilliseconds(exchange.mAnswered - exchange.mAsked));
      }
    }
    for (const auto& [id, target] : mFleet.Targets()) {
      const Service* service =
        mDeployment.FindService(mDeployment.FindTarget(id)->mService);
      aResult.mConnectionsRefused += target->RefusedConnections();
      aResult.mPeakShare =
        std::max(aResult.mPeakShare,
                 static_cast<double>(target->PeakConnections()) /
                   service->mConnectionCap);
    }
    std::sort(aResult.mLatencies.begin(), aResult.mLatencies.end());
  }

  RunOptions mOptions;
  FakeFleet mFleet;
  Random mRandom;
  Deployment mDeployment;
  std::vector<VmId> mVms;
  std::vector<std::unique_ptr<Callers>> mCallers;
};

double
Quantile(const std::vector<double>& aSorted, double aShare)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto position =
    static_cast<std::size_t>(aShare * static_cast<double>(aSorted.size()));
  return aSorted[std::min(position, aSorted.size() - 1)];
}

void
Print(const RunOptions& aOptions, const RunResult& aResult)
{
  const auto asked = static_cast<double>(aResult.mAsked);
  std::printf("| %s | %.0f%% | %.1f | %.1f | %.1f | %.2f%% | %llu | %llu | "
              "%llu | %.0f%% | %.2f | %.2f |\n",
              aOptions.mComparedPolicy.mName,
              aOptions.mLoad * 100,
              Quantile(aResult.mLatencies, 0.5),
              Quantile(aResult.mLatencies, 0.99),
              Quantile(aResult.mLatencies, 0.999),
              100 * static_cast<double>(aResult.mComplete) / asked,
              static_cast<unsigned long long>(aResult.mRefused),
              static_cast<unsigned long long>(aResult.mConnectionsOpened),
              static_cast<unsigned long long>(aResult.mConnectionsRefused),
              aResult.mPeakShare * 100,
              static_cast<double>(aResult.mArrivals) / asked,
              static_cast<double>(aResult.mMessages) / asked);
  std::fflush(stdout);
}

std::vector<ComparedPolicy>
ComparedPolicies()
{
  std::vector<ComparedPolicy> policies;
  ConnectionPolicy policy;
  policy.mSharing = ConnectionSharing::kSplit;
  policies.push_back({ "split", policy });
  policy.mSharing = ConnectionSharing::kOwners;
  const char* names[] = { "1 owner", "2 owners", "3 owners" };
  for (std::uint32_t owners = 1; owners <= 3; ++owners) {
    policy.mOwners = owners;
    policies.push_back({ names[owners - 1], policy });
  }
  policy.mSharing = ConnectionSharing::kBorrowing;
  policy.mOwners = 2;
  policies.push_back({ "borrowing", policy });
  return policies;
}

/** Runs the chosen policy with replies delayed by different times. */
std::vector<ComparedPolicy>
FlushDelayPolicies()
{
  std::vector<ComparedPolicy> policies;
  ConnectionPolicy policy;
  policy.mFlushDelay = Duration::zero();
  policies.push_back({ "no delay", policy });
  policy.mFlushDelay = std::chrono::microseconds(500);
  policies.push_back({ "0.5 ms", policy });
  policy.mFlushDelay = std::chrono::milliseconds(2);
  policies.push_back({ "2 ms", policy });
  return policies;
}

void
PrintHeader(const char* aTitle)
{
  std::printf("\n%s\n\n| policy | load | p50 ms | p99 ms | p99.9 ms | "
              "complete | refusals | opened | dials refused | peak of cap | "
              "sub-requests | messages |\n"
              "|---|---|---|---|---|---|---|---|---|---|---|---|\n",
              aTitle);
}

void
Compare(RunOptions aOptions, const std::vector<ComparedPolicy>& aPolicies)
{
  for (const double load : { 0.3, 0.6, 0.9 }) {
    for (const ComparedPolicy& comparedPolicy : aPolicies) {
      aOptions.mLoad = load;
      aOptions.mComparedPolicy = comparedPolicy;
      Print(aOptions, Run(aOptions).Measure());
    }
  }
}

} // namespace

} // namespace wasabispread::testing

int
main(int aCount, char** aArguments)
{
  using namespace wasabispread::testing;
  if (aCount < 2) {
    std::cerr << "usage: connections DEPLOYMENT-FILE [SEED]\n";
    return 2;
  }
  std::ifstream stream(aArguments[1]);
  std::ostringstream text;
  text << stream.rdbuf();
  RunOptions options;
  options.mText = text.str();
  options.mSeed =
    aCount > 2 ? std::strtoull(aArguments[2], nullptr, 10) : options.mSeed;
  const std::pair<Scenario, const char*> scenarios[] = {
    { Scenario::kSteady, "Steady state" },
    { Scenario::kOwnerKilled, "An owner is killed" },
    { Scenario::kDisagreement, "Each reading of the VM list lacks one VM" },
    { Scenario::kWrongList, "The VM list lacks an owner that is running" },
  };
  for (const auto& [scenario, title] : scenarios) {
    PrintHeader(title);
    options.mScenario = scenario;
    Compare(options, ComparedPolicies());
  }
  PrintHeader("Replies delayed to be sent with others to the same coordinator");
  options.mScenario = Scenario::kSteady;
  Compare(options, FlushDelayPolicies());
  return 0;
}
