/*
 * Updates a latency estimate.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <cmath>

namespace wasabispread::forwarding {

void
AddSample(LatencyEstimate& aEstimate, Duration aLatency, TimePoint aNow)
{
  // Weight of one sample: the last dozen samples carry most of the weight.
  constexpr double kGain = 0.15;
  // Upper bound of a sample, as a multiple of the mean. A pause lasts about ten
  // times a typical exchange; about a tenth of it is admitted.
  constexpr double kMaxOfMean = 3.0;
  auto sample = static_cast<double>(aLatency.count());
  if (aEstimate.mMean == 0) {
    aEstimate.mMean = sample;
    aEstimate.mDeviation = sample / 2;
  } else {
    sample = std::min(sample, kMaxOfMean * aEstimate.mMean);
    const double distance = std::abs(sample - aEstimate.mMean);
    aEstimate.mMean += kGain * (sample - aEstimate.mMean);
    aEstimate.mDeviation += kGain * (distance - aEstimate.mDeviation);
  }
  aEstimate.mSampled = aNow;
}

} // namespace wasabispread::forwarding
