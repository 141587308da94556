/*
 * Computes the bound of a target's rate over time.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <cmath>

namespace wasabispread::forwarding {

namespace {

/** The time over which a rate is averaged. */
constexpr Duration kAveragingTime = std::chrono::seconds(2);
/** The least part of kAveragingTime from which a rate is computed. */
constexpr double kMinAveraged = 0.25;
/** A weighted rate below this means that hardly any request was sent for
    several times kAveragingTime. */
constexpr double kNegligibleRate = 0.01;
/** The least usual rate, in requests per second: a target that was hardly used
    may take some requests. */
constexpr double kMinUsualRate = 2;
/** The bound at the begin, as a multiple of the usual rate. */
constexpr double kTakeoverFactor = 1.25;
constexpr double kReturnFactor = 0.5;
/** How much the bound rises in a second, as a multiple of the usual rate: the
    load of one of two targets is taken over in 1.5 s. */
constexpr double kRisePerSecond = 0.5;
/** The factor by which a refusal lowers the bound. */
constexpr double kRefusalFactor = 0.75;
/** The bound ends when it has risen to this multiple of the usual rate. */
constexpr double kEndFactor = 4;
/** The requests that may be sent at once after a break, as a time of the
    bound, and at least. */
constexpr double kBurstSeconds = 0.2;
constexpr double kMinBurst = 2;

double
SecondsBetween(TimePoint aFrom, TimePoint aTo)
{
  return std::max(0.0, std::chrono::duration<double>(aTo - aFrom).count());
}

/** The time between two moments as a multiple of kAveragingTime. */
double
AveragingTimes(TimePoint aFrom, TimePoint aTo)
{
  return SecondsBetween(aFrom, aTo) /
         std::chrono::duration<double>(kAveragingTime).count();
}

double
WeightedAt(const SendRate& aRate, TimePoint aNow)
{
  return aRate.mWeighted * std::exp(-AveragingTimes(aRate.mTime, aNow));
}

double
BoundAt(const LoadPace& aPace, TimePoint aNow)
{
  return aPace.mRate +
         aPace.mUsual * kRisePerSecond * SecondsBetween(aPace.mRateTime, aNow);
}

bool
IsBounded(const LoadPace& aPace, TimePoint aNow)
{
  return aPace.mUsual > 0 && BoundAt(aPace, aNow) < kEndFactor * aPace.mUsual;
}

double
AllowanceAt(const LoadPace& aPace, TimePoint aNow)
{
  const double bound = BoundAt(aPace, aNow);
  return std::min(std::max(kMinBurst, kBurstSeconds * bound),
                  aPace.mAllowance +
                    bound * SecondsBetween(aPace.mAllowanceTime, aNow));
}

void
Begin(LoadPace& aPace, double aUsualRate, double aFactor, TimePoint aNow)
{
  aPace.mUsual = std::max(kMinUsualRate, aUsualRate);
  aPace.mRate = aFactor * aPace.mUsual;
  aPace.mRateTime = aNow;
  aPace.mAllowance = kMinBurst;
  aPace.mAllowanceTime = aNow;
}

} // namespace

double
RateAt(const SendRate& aRate, TimePoint aNow)
{
  // Corrects for the time before the first request, during which none was sent.
  const double elapsed =
    std::max(kMinAveraged, AveragingTimes(aRate.mBegin, aNow));
  return WeightedAt(aRate, aNow) / (1 - std::exp(-elapsed));
}

void
CountSent(SendRate& aRate, LoadPace& aPace, TimePoint aNow)
{
  const double before = WeightedAt(aRate, aNow);
  if (before < kNegligibleRate) {
    aRate.mBegin = aNow;
  }
  aRate.mWeighted =
    before + 1 / std::chrono::duration<double>(kAveragingTime).count();
  aRate.mTime = aNow;
  if (IsBounded(aPace, aNow)) {
    aPace.mAllowance = AllowanceAt(aPace, aNow) - 1;
    aPace.mAllowanceTime = aNow;
  }
}

void
BeginTakeover(LoadPace& aPace, double aUsualRate, TimePoint aNow)
{
  if (!IsBounded(aPace, aNow)) {
    Begin(aPace, aUsualRate, kTakeoverFactor, aNow);
  }
}

void
BeginReturn(LoadPace& aPace, double aUsualRate, TimePoint aNow)
{
  Begin(aPace, aUsualRate, kReturnFactor, aNow);
}

void
RecordRefusal(LoadPace& aPace, TimePoint aNow)
{
  if (IsBounded(aPace, aNow)) {
    aPace.mRate =
      std::max(kMinUsualRate, kRefusalFactor * BoundAt(aPace, aNow));
    aPace.mRateTime = aNow;
  }
}

Duration
WaitForPace(const LoadPace& aPace, TimePoint aNow)
{
  if (!IsBounded(aPace, aNow)) {
    return Duration::zero();
  }
  const double missing = 1 - AllowanceAt(aPace, aNow);
  if (missing <= 0) {
    return Duration::zero();
  }
  return std::max(
    Duration(1),
    std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(missing / BoundAt(aPace, aNow))));
}

} // namespace wasabispread::forwarding
