/*
 * Additive increase, multiplicative decrease, and admission by expected wait.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <cmath>

namespace wasabispread {

namespace {

constexpr double kLeastLimit = 1;
constexpr double kOverloadCut = 0.8;
/** A median may be this many times the long-term one without any cut. */
constexpr double kTolerance = 2;
constexpr double kLeastGradient = 0.5;
constexpr double kLongTermWeight = 0.05;
/** The share of the budget that attempts may wait without any being refused. */
constexpr double kFreeWait = 0.25;

/** The median of a full window. */
double
TakeMedian(ConcurrencyLimit& aLimit)
{
  const auto middle = aLimit.mTimes.begin() + ConcurrencyLimit::kWindow / 2;
  std::nth_element(aLimit.mTimes.begin(), middle, aLimit.mTimes.end());
  aLimit.mFilled = 0;
  return *middle;
}

void
UpdateLongTerm(ConcurrencyLimit& aLimit)
{
  if (aLimit.mMeanMedian == 0) {
    aLimit.mMeanMedian = aLimit.mLastMedian;
    return;
  }
  aLimit.mMeanMedian +=
    (aLimit.mLastMedian - aLimit.mMeanMedian) * kLongTermWeight;
  // After an overload the long-term median is too high to notice the next.
  aLimit.mMeanMedian =
    std::min(aLimit.mMeanMedian, aLimit.mLastMedian * kTolerance);
}

/** Moves the limit by how much slower than usual the target has become. Some
    room above is always kept, so that the limit never sticks at its least. */
void
FollowGradient(ConcurrencyLimit& aLimit)
{
  const double gradient = std::clamp(
    kTolerance * aLimit.mMeanMedian / aLimit.mLastMedian, kLeastGradient, 1.0);
  if (gradient < 1) {
    aLimit.mIsRamping = false;
  }
  if (gradient < 1 || aLimit.mWasReached) {
    aLimit.mLimit = aLimit.mLimit * gradient + std::sqrt(aLimit.mLimit);
  }
  aLimit.mWasReached = false;
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
              std::uint32_t aMost)
{
  aLimit.mTimes[aLimit.mFilled++] = static_cast<float>(aTaken.count());
  const bool isReached = aInFlight >= AllowedInFlight(aLimit);
  aLimit.mWasReached = aLimit.mWasReached || isReached;
  if (isReached && aLimit.mIsRamping) {
    aLimit.mLimit += 1;
  }
  if (aLimit.mFilled == ConcurrencyLimit::kWindow) {
    aLimit.mLastMedian = TakeMedian(aLimit);
    FollowGradient(aLimit);
    UpdateLongTerm(aLimit);
  }
  aLimit.mLimit = std::max(kLeastLimit, std::min<double>(aLimit.mLimit, aMost));
}

void
ObserveOverload(ConcurrencyLimit& aLimit, TimePoint aNow)
{
  constexpr Duration kLeastCutInterval = std::chrono::milliseconds(10);
  const Duration interval = std::max(
    kLeastCutInterval, Duration(static_cast<std::int64_t>(aLimit.mLastMedian)));
  aLimit.mIsRamping = false;
  if (aNow - aLimit.mReducedAt >= interval) {
    aLimit.mReducedAt = aNow;
    aLimit.mLimit = std::max(kLeastLimit, aLimit.mLimit * kOverloadCut);
  }
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
