/*
 * Additive increase, multiplicative decrease, and admission by expected wait.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

constexpr double kLeastLimit = 1;
/** A median this many times the best one shows a queue at the target. */
constexpr double kSlowFactor = 3;
constexpr double kSlowCut = 0.9;
constexpr double kShedCut = 0.8;
constexpr double kMedianStep = 1.02;
/** How fast the best median gives way to a target that stays slower. */
constexpr double kBestDrift = 1.0005;
/** The share of the budget that attempts may wait without any being refused. */
constexpr double kFreeWait = 0.25;

void
Cut(ConcurrencyLimit& aLimit, double aFactor, TimePoint aNow)
{
  constexpr Duration kLeastCutInterval = std::chrono::milliseconds(10);
  const Duration interval = std::max(
    kLeastCutInterval, Duration(static_cast<std::int64_t>(aLimit.mTypical)));
  aLimit.mIsRamping = false;
  if (aNow - aLimit.mCutAt < interval) {
    return;
  }
  aLimit.mCutAt = aNow;
  aLimit.mLimit = std::max(kLeastLimit, aLimit.mLimit * aFactor);
}

void
UpdateMedian(ConcurrencyLimit& aLimit, double aTaken)
{
  if (aLimit.mTypical == 0) {
    aLimit.mTypical = aTaken;
  } else if (aTaken > aLimit.mTypical) {
    aLimit.mTypical *= kMedianStep;
  } else {
    aLimit.mTypical /= kMedianStep;
  }
  const bool isBest =
    aLimit.mBest == 0 || aLimit.mTypical < aLimit.mBest * kBestDrift;
  aLimit.mBest = isBest ? aLimit.mTypical : aLimit.mBest * kBestDrift;
}

} // namespace

std::uint32_t
AllowedInFlight(const ConcurrencyLimit& aLimit)
{
  return static_cast<std::uint32_t>(std::max(kLeastLimit, aLimit.mLimit));
}

void
ObserveAnswer(ConcurrencyLimit& aLimit,
              Duration aTaken,
              std::uint32_t aInFlight,
              std::uint32_t aMost,
              TimePoint aNow)
{
  UpdateMedian(aLimit, static_cast<double>(aTaken.count()));
  if (aLimit.mTypical > aLimit.mBest * kSlowFactor) {
    Cut(aLimit, kSlowCut, aNow);
    return;
  }
  if (aInFlight >= AllowedInFlight(aLimit)) {
    aLimit.mLimit += aLimit.mIsRamping ? 1 : 1 / aLimit.mLimit;
    aLimit.mLimit =
      std::max(kLeastLimit, std::min<double>(aLimit.mLimit, aMost));
  }
}

void
ObserveOverload(ConcurrencyLimit& aLimit, TimePoint aNow)
{
  Cut(aLimit, kShedCut, aNow);
}

bool
Admits(const AdmissionLoad& aLoad, Duration aBudget, double aDraw)
{
  const double wait = static_cast<double>(aLoad.mWaiting) * aLoad.mServiceTime /
                      static_cast<double>(std::max(1U, aLoad.mInFlight));
  const double room = static_cast<double>(aBudget.count()) - aLoad.mServiceTime;
  if (aLoad.mWaiting == 0) {
    return aBudget > Duration::zero();
  }
  if (room <= wait) {
    return false;
  }
  const double excess = (wait / room - kFreeWait) / (1 - kFreeWait);
  return aDraw >= excess;
}

double
AdmissionDraw(const RequestId& aRequest)
{
  return Random(StableHash(aRequest.Value())).Fraction();
}

} // namespace wasabispread
