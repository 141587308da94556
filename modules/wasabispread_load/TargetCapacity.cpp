/*
 * Estimates the time of work by the number of requests in flight.
 */
#include "wasabispread_load.h"

#include <algorithm>
#include <cmath>

namespace wasabispread {

namespace {

/** Weight of one sample. Some samples in a row show a change, which is a second
    or less at a target that gets ten requests a second. */
constexpr double kGain = 0.2;
/** The most by which one sample can differ from the estimate, as a part of
    it. */
constexpr double kMaxStep = 1;
/** Time in which a level loses half of its weight. */
constexpr Duration kHalfLife = std::chrono::seconds(4);
/** The weight with which a level counts as much as the assumption. */
constexpr double kTrustedWeight = 3;
constexpr double kMaxWeight = 20;
/** The bounds of a factor: work is not faster under load. */
constexpr double kMaxFactor = 20;
/** How much longer work may take where a target takes its load well: about what
    is lost in the noise of measured latencies. */
constexpr double kTolerance = 1.3;

std::size_t
LevelOf(std::size_t aInFlight)
{
  return std::clamp<std::size_t>(aInFlight, 1, kLoadLevels) - 1;
}

double
WeightAt(const LoadLevel& aLevel, TimePoint aNow)
{
  if (aLevel.mWeight == 0) {
    return 0;
  }
  const double halfLives =
    std::chrono::duration<double>(aNow - aLevel.mSampled) /
    std::chrono::duration<double>(kHalfLife);
  return aLevel.mWeight * std::exp2(-std::max(0.0, halfLives));
}

/** The measured factor, as far as it is trusted, and else aAssumed. */
double
MeasuredFactor(const TargetCapacity& aCapacity,
               std::size_t aInFlight,
               double aAssumed,
               TimePoint aNow)
{
  const LoadLevel& alone = aCapacity.mLevels.front();
  const LoadLevel& loaded = aCapacity.mLevels[LevelOf(aInFlight)];
  const double trusted =
    std::min(WeightAt(alone, aNow), WeightAt(loaded, aNow));
  const double measured = std::clamp(
    loaded.mSlowness / std::max(alone.mSlowness, 1e-3), 1.0, kMaxFactor);
  // More in flight than are told apart wait longer in proportion.
  const double beyond =
    aInFlight > kLoadLevels
      ? static_cast<double>(aInFlight) / static_cast<double>(kLoadLevels)
      : 1;
  const double share = trusted / (trusted + kTrustedWeight);
  return share * measured * beyond + (1 - share) * aAssumed;
}

/** The assumption for a number of requests in flight. */
double
AssumedFactor(std::size_t aInFlight, unsigned aSlots)
{
  const auto others = static_cast<double>(aInFlight - 1);
  return 1 + others / static_cast<double>(std::max(1U, aSlots));
}

} // namespace

void
RecordWork(TargetCapacity& aCapacity,
           std::size_t aInFlight,
           double aSlowness,
           TimePoint aNow)
{
  LoadLevel& level = aCapacity.mLevels[LevelOf(aInFlight)];
  const double weight = WeightAt(level, aNow);
  const double step = std::clamp(aSlowness - level.mSlowness,
                                 -kMaxStep * level.mSlowness,
                                 kMaxStep * level.mSlowness);
  // The first samples after a break count more.
  level.mSlowness += std::max(kGain, 1 / (weight + 2)) * step;
  level.mWeight = std::min(kMaxWeight, weight + 1);
  level.mSampled = aNow;
}

double
LoadFactor(const TargetCapacity& aCapacity,
           std::size_t aInFlight,
           unsigned aSlots,
           TimePoint aNow)
{
  if (aInFlight <= 1) {
    return 1;
  }
  const double assumed = AssumedFactor(aInFlight, aSlots);
  return std::max(assumed, MeasuredFactor(aCapacity, aInFlight, assumed, aNow));
}

std::size_t
GoodConcurrency(const TargetCapacity& aCapacity,
                unsigned aSlots,
                TimePoint aNow)
{
  std::size_t good = 1;
  while (good < kLoadLevels) {
    const std::size_t next = good + 1;
    const bool isMeasured = WeightAt(aCapacity.mLevels[good], aNow) >= 1;
    // A level that was not measured may be tried up to the slots.
    const bool isGood =
      isMeasured ? MeasuredFactor(aCapacity, next, 1, aNow) <= kTolerance
                 : next <= aSlots;
    if (!isGood) {
      break;
    }
    good = next;
  }
  return good;
}

double
StatedFactor(const StatedLoad& aLoad, Duration aAge)
{
  constexpr Duration kStatedHalfLife = std::chrono::milliseconds(200);
  const double weight =
    std::exp2(-std::max(0.0,
                        std::chrono::duration<double>(aAge) /
                          std::chrono::duration<double>(kStatedHalfLife)));
  const auto present = static_cast<double>(aLoad.mRunning + aLoad.mWaiting);
  const auto slots = static_cast<double>(std::max(1U, aLoad.mSlots));
  const double factor =
    std::max(1.0, (present + 1) / slots) * std::max(1.0, aLoad.mSlowness);
  return 1 + weight * (std::min(factor, kMaxFactor) - 1);
}

} // namespace wasabispread
