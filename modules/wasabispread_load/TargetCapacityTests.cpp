/*
 * Tests of what a target takes well: the estimate itself, and what choosing
 * targets by it means for callers under uneven loads.
 */
#include "wasabispread_load.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;

namespace {

constexpr TimePoint kStart{ std::chrono::seconds(100) };

TimePoint
At(double aSeconds)
{
  return kStart + std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(aSeconds));
}

/** A target: its speed, how it slows down under load, and its pauses. */
struct ModelTarget
{
  /** The time of work relative to the usual one. */
  double mSlowness = 1;
  unsigned mSlots = 2;
  /** By how much work takes longer for each further request in flight from
      mSlowFrom on. */
  double mSlowedBy = 0;
  std::size_t mSlowFrom = 2;
  /** Works mEpisode times slower from mEpisodeStart on for mEpisodeLength. */
  double mEpisode = 1;
  double mEpisodeStart = 0;
  double mEpisodeLength = 0;
  /** Pauses for mPause every mPauseEvery, at an offset. */
  double mPause = 0;
  double mPauseEvery = 3.6;
  double mPauseOffset = 0;
};

/** What a rule knows when it chooses a target. */
struct Known
{
  std::size_t mInFlight = 0;
  /** The mean latency, as the latency estimates have it. */
  double mMean = 0.015;
  TargetCapacity mCapacity;
  /** The limit of the rivals that keep one. */
  double mLimit = 2;
  double mFloor = 0;
};

/** The expected time at a target; the least one is chosen. */
using Rule = std::function<double(const Known&, unsigned, TimePoint)>;

double
Assumed(const Known& aKnown, unsigned aSlots, TimePoint)
{
  return aKnown.mMean * (1 + static_cast<double>(aKnown.mInFlight) / aSlots);
}

double
Measured(const Known& aKnown, unsigned aSlots, TimePoint aNow)
{
  return aKnown.mMean *
         LoadFactor(aKnown.mCapacity, aKnown.mInFlight + 1, aSlots, aNow);
}

/** Rivals: a limit by the gradient of the latency against its floor, and one
    that rises by steps and falls by half when replies are late. A target at its
    limit is chosen last. */
double
Limited(const Known& aKnown, unsigned aSlots, TimePoint aNow)
{
  const bool isFull = static_cast<double>(aKnown.mInFlight) >= aKnown.mLimit;
  return Assumed(aKnown, aSlots, aNow) * (isFull ? 10 : 1);
}

void
LearnNothing(Known&, double)
{
}

void
LearnGradient(Known& aKnown, double aTook)
{
  aKnown.mFloor =
    aKnown.mFloor == 0 ? aTook : std::min(aKnown.mFloor * 1.002, aTook);
  const double gradient = std::clamp(aKnown.mFloor * 1.5 / aTook, 0.5, 1.0);
  aKnown.mLimit =
    std::clamp(aKnown.mLimit * (0.8 + 0.2 * gradient) + 0.1, 1.0, 8.0);
}

void
LearnByHalves(Known& aKnown, double aTook)
{
  aKnown.mLimit = aTook > 2.5 * aKnown.mMean
                    ? std::max(1.0, aKnown.mLimit / 2)
                    : std::min(8.0, aKnown.mLimit + 0.1);
}

/** A load and the targets that serve it. */
struct Scenario
{
  std::string mName;
  std::vector<ModelTarget> mTargets;
  /** Requests per second, and by how much more between mBurstStart and
      mBurstEnd. */
  double mRate = 60;
  double mBurst = 1;
  double mBurstStart = 0;
  double mBurstEnd = 0;
};

struct Outcome
{
  double mMean = 0;
  double mLate = 0;
};

/** Plays a load against the targets; callers need an answer within 60 ms, four
    times the usual work. Each target works on at most its slots; the rest waits
    there. */
Outcome
Play(const Scenario& aScenario,
     const Rule& aRule,
     void (*aLearn)(Known&, double),
     std::uint32_t aSeed)
{
  constexpr double kLength = 60;
  constexpr double kWork = 0.015;
  constexpr double kNeeded = 0.06;
  std::mt19937 random(aSeed);
  std::exponential_distribution<double> gap(1);
  std::lognormal_distribution<double> work(-0.06, 0.35);
  struct End
  {
    double mTime = 0;
    std::size_t mTarget = 0;
    double mSent = 0;
    std::size_t mInFlight = 0;
    bool operator<(const End& aOther) const { return mTime > aOther.mTime; }
  };
  std::vector<Known> known(aScenario.mTargets.size());
  std::vector<std::vector<double>> slots(aScenario.mTargets.size());
  std::priority_queue<End> ends;
  double usual = kWork;
  double total = 0;
  std::size_t late = 0;
  std::size_t count = 0;
  for (std::size_t position = 0; position < slots.size(); ++position) {
    slots[position].assign(aScenario.mTargets[position].mSlots, 0);
  }
  for (double now = 0; now < kLength;) {
    const bool isBurst =
      now >= aScenario.mBurstStart && now < aScenario.mBurstEnd;
    now += gap(random) / (aScenario.mRate * (isBurst ? aScenario.mBurst : 1));
    while (!ends.empty() && ends.top().mTime <= now) {
      const End end = ends.top();
      ends.pop();
      Known& target = known[end.mTarget];
      const double took = end.mTime - end.mSent;
      --target.mInFlight;
      const double sample = std::min(took, 3 * target.mMean);
      target.mMean += 0.15 * (sample - target.mMean);
      usual += 0.05 * (std::min(took, 3 * usual) - usual);
      RecordWork(target.mCapacity, end.mInFlight, took / usual, At(end.mTime));
      aLearn(target, took);
    }
    std::size_t chosen = 0;
    double least = 1e9;
    for (std::size_t position = 0; position < known.size(); ++position) {
      const double expected =
        aRule(known[position], aScenario.mTargets[position].mSlots, At(now));
      if (expected < least) {
        least = expected;
        chosen = position;
      }
    }
    const ModelTarget& target = aScenario.mTargets[chosen];
    const std::size_t inFlight = ++known[chosen].mInFlight;
    double slowness = target.mSlowness;
    if (inFlight >= target.mSlowFrom) {
      slowness *= 1 + target.mSlowedBy *
                        static_cast<double>(inFlight - target.mSlowFrom + 1);
    }
    if (now >= target.mEpisodeStart &&
        now < target.mEpisodeStart + target.mEpisodeLength) {
      slowness *= target.mEpisode;
    }
    const auto slot =
      std::min_element(slots[chosen].begin(), slots[chosen].end());
    double start = std::max(now, *slot);
    const double phase =
      std::fmod(start + target.mPauseOffset, target.mPauseEvery);
    if (phase < target.mPause) {
      start += target.mPause - phase;
    }
    const double end = start + kWork * work(random) * slowness;
    *slot = end;
    ends.push({ end, chosen, now, inFlight });
    ++count;
    total += end - now;
    late += end - now > kNeeded ? 1U : 0U;
  }
  return { total / static_cast<double>(count),
           static_cast<double>(late) / static_cast<double>(count) };
}

std::vector<Scenario>
Scenarios()
{
  const ModelTarget usual{};
  const auto withSpeed = [](double aSlowness) {
    ModelTarget target;
    target.mSlowness = aSlowness;
    return target;
  };
  ModelTarget slowsDown;
  slowsDown.mSlowedBy = 1.5;
  ModelTarget episode;
  episode.mEpisode = 2.5;
  episode.mEpisodeStart = 20;
  episode.mEpisodeLength = 0.6;
  std::vector<ModelTarget> pausing(3);
  for (std::size_t position = 0; position < pausing.size(); ++position) {
    pausing[position].mPause = 0.15;
    pausing[position].mPauseOffset = 1.2 * static_cast<double>(position);
  }
  return {
    { "speeds 0.8 to 1.3", { withSpeed(0.8), usual, withSpeed(1.3) }, 120 },
    { "one slows down from half load on", { slowsDown, usual, usual }, 120 },
    { "two slow down from half load on", { slowsDown, slowsDown, usual }, 110 },
    { "one 2.5 times slower for 600 ms", { episode, usual, usual }, 120 },
    { "pauses of 150 ms every 3.6 s", pausing, 100 },
    { "a burst of 1.7 times",
      { slowsDown, usual, withSpeed(1.3) },
      90,
      1.7,
      20,
      30 },
  };
}

Outcome
Mean(const Scenario& aScenario,
     const Rule& aRule,
     void (*aLearn)(Known&, double))
{
  constexpr std::uint32_t kRuns = 5;
  Outcome mean;
  for (std::uint32_t seed = 1; seed <= kRuns; ++seed) {
    const Outcome one = Play(aScenario, aRule, aLearn, seed);
    mean.mMean += one.mMean / kRuns;
    mean.mLate += one.mLate / kRuns;
  }
  return mean;
}

} // namespace

class TargetCapacityTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetCapacityTests);
  CPPUNIT_TEST(AssumesSharedSlotsAtFirst);
  CPPUNIT_TEST(FindsATargetThatSlowsDownEarly);
  CPPUNIT_TEST(FindsATargetThatTakesMore);
  CPPUNIT_TEST(FollowsChanges);
  CPPUNIT_TEST(DoesNotTakeAPauseForASlowTarget);
  CPPUNIT_TEST(ForgetsWhatItDoesNotMeasure);
  CPPUNIT_TEST(BelievesAStatementForAMoment);
  CPPUNIT_TEST(ServesCallersAsWellUnderEachLoad);
  CPPUNIT_TEST_SUITE_END();

public:
  static void Feed(TargetCapacity& aCapacity,
                   std::size_t aInFlight,
                   double aSlowness,
                   unsigned aSamples,
                   double& aTime)
  {
    for (unsigned sample = 0; sample < aSamples; ++sample) {
      aTime += 0.05;
      RecordWork(aCapacity, aInFlight, aSlowness, At(aTime));
    }
  }

  void AssumesSharedSlotsAtFirst()
  {
    const TargetCapacity unknown;
    CPPUNIT_ASSERT_EQUAL(1.0, LoadFactor(unknown, 1, 2, At(0)));
    CPPUNIT_ASSERT_EQUAL(1.5, LoadFactor(unknown, 2, 2, At(0)));
    CPPUNIT_ASSERT_EQUAL(2.0, LoadFactor(unknown, 3, 2, At(0)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, GoodConcurrency(unknown, 2, At(0)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, GoodConcurrency(unknown, 0, At(0)));
  }

  void FindsATargetThatSlowsDownEarly()
  {
    TargetCapacity capacity;
    double time = 0;
    Feed(capacity, 1, 1, 20, time);
    Feed(capacity, 2, 2.5, 20, time);
    CPPUNIT_ASSERT(LoadFactor(capacity, 2, 4, At(time)) > 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         GoodConcurrency(capacity, 4, At(time)));
  }

  void FindsATargetThatTakesMore()
  {
    TargetCapacity capacity;
    double time = 0;
    for (std::size_t inFlight = 1; inFlight <= 4; ++inFlight) {
      Feed(capacity, inFlight, 1, 20, time);
    }
    CPPUNIT_ASSERT(GoodConcurrency(capacity, 2, At(time)) >= 3);
  }

  /** Within a second at 20 requests a second. */
  void FollowsChanges()
  {
    TargetCapacity capacity;
    double time = 0;
    Feed(capacity, 1, 1, 20, time);
    Feed(capacity, 2, 1, 20, time);
    const double before = LoadFactor(capacity, 2, 2, At(time));
    Feed(capacity, 2, 3, 10, time);
    Feed(capacity, 1, 1, 10, time);
    const double after = LoadFactor(capacity, 2, 2, At(time));
    CPPUNIT_ASSERT_EQUAL(1.5, before);
    CPPUNIT_ASSERT(after > 2);
    Feed(capacity, 2, 1, 15, time);
    CPPUNIT_ASSERT(LoadFactor(capacity, 2, 2, At(time)) < 1.6);
  }

  void DoesNotTakeAPauseForASlowTarget()
  {
    TargetCapacity capacity;
    double time = 0;
    Feed(capacity, 1, 1, 20, time);
    Feed(capacity, 2, 1.1, 20, time);
    // Both requests in flight met the same pause.
    Feed(capacity, 2, 12, 1, time);
    CPPUNIT_ASSERT_EQUAL(1.5, LoadFactor(capacity, 2, 2, At(time)));
    CPPUNIT_ASSERT_EQUAL(1.0, LoadFactor(capacity, 1, 2, At(time)));
  }

  void ForgetsWhatItDoesNotMeasure()
  {
    TargetCapacity capacity;
    double time = 0;
    Feed(capacity, 1, 1, 20, time);
    Feed(capacity, 2, 8, 20, time);
    CPPUNIT_ASSERT(LoadFactor(capacity, 2, 2, At(time)) > 5);
    CPPUNIT_ASSERT(LoadFactor(capacity, 2, 2, At(time + 30)) < 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                         GoodConcurrency(capacity, 2, At(time + 60)));
  }

  void BelievesAStatementForAMoment()
  {
    using std::chrono::milliseconds;
    CPPUNIT_ASSERT_EQUAL(1.0, StatedFactor({ 0, 0, 2, 1 }, {}));
    CPPUNIT_ASSERT_EQUAL(2.0, StatedFactor({ 2, 1, 2, 1 }, {}));
    CPPUNIT_ASSERT_EQUAL(2.5, StatedFactor({ 0, 0, 2, 2.5 }, {}));
    const double later = StatedFactor({ 2, 1, 2, 1 }, milliseconds(200));
    CPPUNIT_ASSERT(later > 1.4 && later < 1.6);
    CPPUNIT_ASSERT(StatedFactor({ 9, 9, 1, 9 }, milliseconds(2000)) < 1.05);
    CPPUNIT_ASSERT(StatedFactor({ 9, 9, 0, 0 }, {}) >= 1);
  }

  /** The loads of the design note, with the rivals side by side. Callers are
      served no worse than with today's rule under any of them, and better where
      targets slow down early. */
  void ServesCallersAsWellUnderEachLoad()
  {
    const bool isShown = std::getenv("WASABISPREAD_SHOW_RIVALS") != nullptr;
    for (const Scenario& scenario : Scenarios()) {
      const Outcome today = Mean(scenario, Assumed, LearnNothing);
      const Outcome measured = Mean(scenario, Measured, LearnNothing);
      if (isShown) {
        const Outcome gradient = Mean(scenario, Limited, LearnGradient);
        const Outcome halves = Mean(scenario, Limited, LearnByHalves);
        std::printf("%-34s %5.1f %5.2f%% | %5.1f %5.2f%% | %5.1f %5.2f%% | "
                    "%5.1f %5.2f%%\n",
                    scenario.mName.c_str(),
                    1e3 * today.mMean,
                    100 * today.mLate,
                    1e3 * gradient.mMean,
                    100 * gradient.mLate,
                    1e3 * halves.mMean,
                    100 * halves.mLate,
                    1e3 * measured.mMean,
                    100 * measured.mLate);
      }
      CPPUNIT_ASSERT_MESSAGE(scenario.mName,
                             measured.mLate <= today.mLate * 1.05 + 0.002);
      if (scenario.mName == "one slows down from half load on") {
        CPPUNIT_ASSERT(measured.mMean < today.mMean);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetCapacityTests);
