/*
 * A running estimate of the latency of one route's requests at one target.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

namespace wasabispread::forwarding {

/** Mean and mean deviation, weighted towards recent samples. */
struct LatencyEstimate
{
  /** The mean in nanoseconds; 0 before the first sample. */
  double mMean = 0;
  /** The mean distance from the mean, in nanoseconds. */
  double mDeviation = 0;
  TimePoint mSampled{};
};

/** Adds a latency sample. A single sample far above the mean counts as a few
    times the mean: a target's short pause says little about its usual latency,
    while a target that became slow still shows after some samples. */
void
AddSample(LatencyEstimate& aEstimate, Duration aLatency, TimePoint aNow);

} // namespace wasabispread::forwarding
