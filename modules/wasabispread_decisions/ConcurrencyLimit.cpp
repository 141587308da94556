/*
 * An adaptive concurrency limit, and admission by expected wait.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <cmath>

namespace wasabispread {

namespace {

constexpr double kMinLimit = 1;
constexpr double kOverloadFactor = 0.8;
/** A median up to this many times the mean of earlier medians does not reduce
    the limit. */
constexpr double kMedianTolerance = 2;
constexpr double kMinGradient = 0.5;
constexpr double kMeanMedianWeight = 0.05;
/** The share of the budget up to which attempts may wait without any being
    refused. */
constexpr double kUnrefusedWaitShare = 0.25;

/** Returns the median of a full window and starts a new window. */
double
TakeMedian(ConcurrencyLimit& aLimit)
{
  const auto middle = aLimit.mTimes.begin() + ConcurrencyLimit::kWindow / 2;
  std::nth_element(aLimit.mTimes.begin(), middle, aLimit.mTimes.end());
  aLimit.mFilled = 0;
  return *middle;
}

void
UpdateMeanMedian(ConcurrencyLimit& aLimit)
{
  if (aLimit.mMeanMedian == 0) {
    aLimit.mMeanMedian = aLimit.mLastMedian;
    return;
  }
  aLimit.mMeanMedian +=
    (aLimit.mLastMedian - aLimit.mMeanMedian) * kMeanMedianWeight;
  // An overload raises the mean so far that the next overload would not be
  // detected; the mean is therefore bounded.
  aLimit.mMeanMedian =
    std::min(aLimit.mMeanMedian, aLimit.mLastMedian * kMedianTolerance);
}

/** Changes the limit by the ratio of the usual latency to the present one. The
    square root that is added leaves some headroom, so that the limit cannot
    stay at its minimum. */
void
ApplyGradient(ConcurrencyLimit& aLimit)
{
  const double gradient =
    std::clamp(kMedianTolerance * aLimit.mMeanMedian / aLimit.mLastMedian,
               kMinGradient,
               1.0);
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
  return static_cast<std::uint32_t>(std::max(kMinLimit, aLimit.mLimit));
}

void
ObserveAnswer(ConcurrencyLimit& aLimit,
              Duration aElapsed,
              std::uint32_t aInFlight,
              std::uint32_t aMaxLimit)
{
  aLimit.mTimes[aLimit.mFilled++] = static_cast<float>(aElapsed.count());
  const bool isReached = aInFlight >= AllowedInFlight(aLimit);
  aLimit.mWasReached = aLimit.mWasReached || isReached;
  if (isReached && aLimit.mIsRamping) {
    aLimit.mLimit += 1;
  }
  if (aLimit.mFilled == ConcurrencyLimit::kWindow) {
    aLimit.mLastMedian = TakeMedian(aLimit);
    ApplyGradient(aLimit);
    UpdateMeanMedian(aLimit);
  }
  aLimit.mLimit =
    std::max(kMinLimit, std::min<double>(aLimit.mLimit, aMaxLimit));
}

void
ObserveOverload(ConcurrencyLimit& aLimit, TimePoint aNow)
{
  constexpr Duration kMinReductionInterval = std::chrono::milliseconds(10);
  const Duration interval =
    std::max(kMinReductionInterval,
             Duration(static_cast<std::int64_t>(aLimit.mLastMedian)));
  aLimit.mIsRamping = false;
  if (aNow - aLimit.mReducedAt >= interval) {
    aLimit.mReducedAt = aNow;
    aLimit.mLimit = std::max(kMinLimit, aLimit.mLimit * kOverloadFactor);
  }
}

bool
Admits(const AdmissionLoad& aLoad, Duration aBudget, double aDraw)
{
  const double wait = static_cast<double>(aLoad.mWaiting) * aLoad.mServiceTime /
                      static_cast<double>(std::max(1U, aLoad.mInFlight));
  const double timeForWait =
    static_cast<double>(aBudget.count()) - aLoad.mServiceTime;
  if (aLoad.mWaiting == 0) {
    return aBudget > Duration::zero();
  }
  if (timeForWait <= wait) {
    return false;
  }
  const double excess =
    (wait / timeForWait - kUnrefusedWaitShare) / (1 - kUnrefusedWaitShare);
  return aDraw >= excess;
}

double
AdmissionDraw(const RequestId& aRequest)
{
  return Random(StableHash(aRequest.Value())).Fraction();
}

} // namespace wasabispread
