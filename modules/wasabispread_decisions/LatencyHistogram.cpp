/*
 * Log-linear buckets, halved at intervals.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <bit>

namespace wasabispread {

namespace {

constexpr unsigned kUnitBits = 14;
constexpr unsigned kSubBucketBits = 3;
constexpr std::uint64_t kSubBuckets = 1U << kSubBucketBits;
constexpr std::uint32_t kLeastSamples = 64;
constexpr std::uint32_t kHalvingTotal = 8192;

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

/** The least latency beyond a bucket. */
Duration
UpperBound(std::size_t aBucket)
{
  std::uint64_t units = aBucket + 1;
  if (aBucket >= kSubBuckets) {
    const std::uint64_t shift = aBucket / kSubBuckets - 1;
    units = (kSubBuckets + aBucket % kSubBuckets + 1) << shift;
  }
  return Duration(static_cast<std::int64_t>(units << kUnitBits));
}

} // namespace

void
LatencyHistogram::Add(Duration aLatency)
{
  ++mCounts[std::min(BucketOf(aLatency), kBuckets - 1)];
  if (++mTotal < kHalvingTotal) {
    return;
  }
  mTotal = 0;
  for (std::uint32_t& count : mCounts) {
    count /= 2;
    mTotal += count;
  }
}

Duration
LatencyHistogram::Quantile(double aShare) const
{
  if (mTotal < kLeastSamples) {
    return Duration::zero();
  }
  const double wanted = aShare * static_cast<double>(mTotal);
  std::uint64_t seen = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    seen += mCounts[bucket];
    if (seen != 0 && static_cast<double>(seen) >= wanted) {
      return UpperBound(bucket);
    }
  }
  return UpperBound(kBuckets - 1);
}

} // namespace wasabispread
