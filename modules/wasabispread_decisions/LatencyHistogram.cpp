/*
 * Log-linear buckets whose counts are halved at intervals.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <bit>

namespace wasabispread {

namespace {

/** Latencies are counted in units of 2^14 ns, the width of the lowest
    buckets. */
constexpr unsigned kUnitBits = 14;
/** Each power of two has 2^3 buckets. */
constexpr unsigned kSubBucketBits = 3;
constexpr std::uint64_t kSubBuckets = 1U << kSubBucketBits;
constexpr std::uint32_t kMinSamples = 64;
constexpr std::uint32_t kMaxSamples = 65536;
constexpr std::uint32_t kMinSamplesToHalve = 256;
constexpr Duration kHalvingInterval = std::chrono::seconds(2);

std::size_t
BucketOf(Duration aLatency)
{
  const auto nanoseconds = std::max<std::int64_t>(0, aLatency.count());
  const std::uint64_t units =
    static_cast<std::uint64_t>(nanoseconds) >> kUnitBits;
  if (units < kSubBuckets) {
    return units;
  }
  const unsigned exponent = static_cast<unsigned>(std::bit_width(units)) - 1;
  const unsigned shift = exponent - kSubBucketBits;
  return (shift + 1) * kSubBuckets + ((units >> shift) - kSubBuckets);
}

/** The smallest latency of a bucket. */
Duration
LowerBound(std::size_t aBucket)
{
  std::uint64_t units = aBucket;
  if (aBucket >= kSubBuckets) {
    const std::uint64_t shift = aBucket / kSubBuckets - 1;
    units = (kSubBuckets + aBucket % kSubBuckets) << shift;
  }
  return Duration(static_cast<std::int64_t>(units << kUnitBits));
}

/** The latency at the given fraction, 0 to 1, of a bucket's width. */
Duration
LatencyInBucket(std::size_t aBucket, double aShare)
{
  const Duration from = LowerBound(aBucket);
  const auto width =
    static_cast<double>((LowerBound(aBucket + 1) - from).count());
  return from + Duration(static_cast<std::int64_t>(aShare * width));
}

} // namespace

void
LatencyHistogram::Add(Duration aLatency, TimePoint aNow)
{
  ++mCounts[std::min(BucketOf(aLatency), kBuckets - 1)];
  ++mTotal;
  const bool isDue =
    mTotal >= kMinSamplesToHalve && aNow - mHalved >= kHalvingInterval;
  if (mTotal < kMaxSamples && !isDue) {
    return;
  }
  mHalved = aNow;
  mTotal = 0;
  for (std::uint32_t& count : mCounts) {
    count /= 2;
    mTotal += count;
  }
}

Duration
LatencyHistogram::Quantile(double aShare) const
{
  if (mTotal < kMinSamples) {
    return Duration::zero();
  }
  const double wanted = aShare * static_cast<double>(mTotal);
  double seen = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    const double count = mCounts[bucket];
    if (count > 0 && seen + count >= wanted) {
      return LatencyInBucket(bucket, std::max(0.0, wanted - seen) / count);
    }
    seen += count;
  }
  return LowerBound(kBuckets);
}

} // namespace wasabispread
