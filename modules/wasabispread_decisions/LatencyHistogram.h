/*
 * A streaming estimate of latency quantiles, in constant space and time.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace wasabispread {

/** Counts latencies in buckets, eight to each power of two. Older latencies
    weigh less: all counts are halved every two seconds while enough samples
    remain, and at once when there are too many samples. A quantile is off by at
    most an eighth. */
class LatencyHistogram
{
public:
  /** Adds one latency. */
  void Add(Duration aLatency, TimePoint aNow);

  /** The latency that the given share of attempts, 0 to 1, does not exceed;
      zero while there are too few samples. */
  Duration Quantile(double aShare) const;

private:
  static constexpr std::size_t kBuckets = 192;

  /** Invariant: mTotal is the sum of mCounts. */
  std::array<std::uint32_t, kBuckets> mCounts{};
  std::uint32_t mTotal = 0;
  TimePoint mHalved{};
};

} // namespace wasabispread
