/*
 * Measures delays in fixed windows and takes their quantile.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <cassert>

namespace wasabispread::forwarding {

namespace {

/** Number of delays in a window. */
constexpr std::size_t kWindowSize = 32;
/** Number of delays for which an estimate counts until as many are measured. */
constexpr std::size_t kEstimateWeight = 8;
/** Time for which a measured delay counts. */
constexpr Duration kMaxDelayAge = std::chrono::seconds(30);
/** Share of the delays that the reserve covers. */
constexpr double kCoveredShare = 0.9;
/** Work of an answer that does not depend on its parts, in parts. */
constexpr std::size_t kFixedWork = 20;
/** Estimated processor time per unit of work. */
constexpr Duration kEstimatedUnit = std::chrono::microseconds(10);
/** Estimated processor time to ask for a report, make it and read it. */
constexpr Duration kEstimatedReport = std::chrono::microseconds(1000);
/** Network jitter on the way to the caller, and between VMs. */
constexpr Duration kJitter = std::chrono::milliseconds(4);

Duration
Scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<std::int64_t>(
    aFactor * static_cast<double>(aDuration.count())));
}

std::int64_t
WorkUnits(std::size_t aParts)
{
  return static_cast<std::int64_t>(kFixedWork + aParts);
}

} // namespace

DelayWindow
MakeDelayWindow(Duration aEstimate)
{
  DelayWindow window;
  window.mEstimate = aEstimate;
  return window;
}

void
AddDelay(DelayWindow& aWindow, Duration aDelay, TimePoint aNow)
{
  const MeasuredDelay measured{ std::max(Duration::zero(), aDelay), aNow };
  if (aWindow.mDelays.size() < kWindowSize) {
    aWindow.mDelays.push_back(measured);
    return;
  }
  aWindow.mDelays[aWindow.mNext] = measured;
  aWindow.mNext = (aWindow.mNext + 1) % kWindowSize;
}

Duration
HighDelay(const DelayWindow& aWindow, TimePoint aNow)
{
  std::vector<Duration> delays;
  for (const MeasuredDelay& measured : aWindow.mDelays) {
    if (aNow - measured.mMeasured < kMaxDelayAge) {
      delays.push_back(measured.mDelay);
    }
  }
  const std::size_t estimates =
    std::min(kEstimateWeight, kWindowSize - delays.size());
  delays.insert(delays.end(), estimates, aWindow.mEstimate);
  const auto position = static_cast<std::ptrdiff_t>(
    kCoveredShare * static_cast<double>(delays.size() - 1));
  std::nth_element(delays.begin(), delays.begin() + position, delays.end());
  return delays[static_cast<std::size_t>(position)];
}

AnswerReserve
MakeAnswerReserve(double aProcessorShare)
{
  const double slowdown = 1 / std::clamp(aProcessorShare, 0.01, 1.0);
  AnswerReserve reserve;
  reserve.mAnswerPerUnit = MakeDelayWindow(Scaled(kEstimatedUnit, slowdown));
  reserve.mReportInZone = MakeDelayWindow(Scaled(kEstimatedReport, slowdown));
  reserve.mReportFromOtherZone = reserve.mReportInZone;
  return reserve;
}

Duration
ReserveForAnswer(const AnswerReserve& aReserve,
                 std::size_t aParts,
                 TimePoint aNow)
{
  return kJitter + WorkUnits(aParts) * HighDelay(aReserve.mAnswerPerUnit, aNow);
}

Duration
ReserveForReport(const AnswerReserve& aReserve, bool aIsInZone, TimePoint aNow)
{
  return kJitter + HighDelay(aIsInZone ? aReserve.mReportInZone
                                       : aReserve.mReportFromOtherZone,
                             aNow);
}

void
StartAnswerMeasurement(AnswerReserve& aReserve,
                       CallerToken aToken,
                       std::size_t aParts,
                       TimePoint aDue)
{
  aReserve.mUnwritten[aToken] = UnwrittenAnswer{ aDue, aParts };
}

void
HandleAnswerWritten(AnswerReserve& aReserve,
                    CallerToken aToken,
                    const HoldUp& aHoldUp,
                    TimePoint aNow)
{
  const auto found = aReserve.mUnwritten.find(aToken);
  if (found == aReserve.mUnwritten.end()) {
    return;
  }
  const TimePoint due = std::max(found->second.mDue, aHoldUp.mEnd);
  AddDelay(aReserve.mAnswerPerUnit,
           (aNow - due) / WorkUnits(found->second.mParts),
           aNow);
  aReserve.mUnwritten.erase(found);
}

} // namespace wasabispread::forwarding
