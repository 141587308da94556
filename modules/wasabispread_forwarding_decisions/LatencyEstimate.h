/*
 * A running estimate of how long one kind of request takes at one target.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

namespace wasabispread::forwarding {

/** Mean and mean deviation, weighted towards the present. */
struct LatencyEstimate
{
  /** In nanoseconds; 0 before the first sample. */
  double mMean = 0;
  /** The mean distance from the mean, in nanoseconds. */
  double mDeviation = 0;
  TimePoint mSampled{};
};

/** Takes in a latency. A single sample far above the mean counts as a few
    times the mean: a target's short pause says little of its pace, and a
    target that turned slow still shows after some samples. */
void
Observe(LatencyEstimate& aEstimate, Duration aLatency, TimePoint aNow);

} // namespace wasabispread::forwarding
