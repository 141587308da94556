/*
 * The update of a latency estimate.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <cmath>

namespace wasabispread::forwarding {

void
Observe(LatencyEstimate& aEstimate, Duration aLatency, TimePoint aNow)
{
  // The gain of one sample: a dozen samples carry most of the weight.
  constexpr double kGain = 0.15;
  // Pauses last ten times a typical exchange; a tenth of one is let through.
  constexpr double kMostOfMean = 3.0;
  auto sample = static_cast<double>(aLatency.count());
  if (aEstimate.mMean == 0) {
    aEstimate.mMean = sample;
    aEstimate.mDeviation = sample / 2;
  } else {
    sample = std::min(sample, kMostOfMean * aEstimate.mMean);
    const double distance = std::abs(sample - aEstimate.mMean);
    aEstimate.mMean += kGain * (sample - aEstimate.mMean);
    aEstimate.mDeviation += kGain * (distance - aEstimate.mDeviation);
  }
  aEstimate.mSampled = aNow;
}

} // namespace wasabispread::forwarding
