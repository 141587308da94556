/*
 * A streaming estimate of latency quantiles, in constant space and time.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace wasabispread {

/** Counts latencies in buckets an eighth of an octave wide; older ones weigh
    less and less. A quantile is off by at most an eighth. */
class LatencyHistogram
{
public:
  /** Takes in one latency. */
  void Add(Duration aLatency);

  /** The latency that a share of attempts, 0 to 1, does not exceed; zero
      while too few were taken in to tell. */
  Duration Quantile(double aShare) const;

private:
  static constexpr std::size_t kBuckets = 192;

  /** Invariant: mTotal is the sum of mCounts. */
  std::array<std::uint32_t, kBuckets> mCounts{};
  std::uint32_t mTotal = 0;
};

} // namespace wasabispread
