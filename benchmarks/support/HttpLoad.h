/*
 * Load over HTTP/1.1 keep-alive connections, by a bare Beast loop.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wasabispread::benchmarks {

/** What is sent, and where to. */
struct LoadPlan
{
  /** Loopback ports; connections are spread over them in turn. */
  std::vector<std::uint16_t> mPorts;
  unsigned mConnections = 1;
  /** The path posted to. */
  std::string mPath;
  double mSeconds = 1;
  /** Arrivals a second, at random times; 0 lets each connection send its next
      request as soon as it has the response to the one before. */
  double mRate = 0;
};

/** What came of it. */
struct LoadResult
{
  std::uint64_t mSucceeded = 0;
  std::uint64_t mFailed = 0;
  /** Processor time of the loop, in seconds. */
  double mProcessorSeconds = 0;
  /** From arrival to response, in milliseconds; sorted. */
  std::vector<double> mLatencies;

  /** The latency that a share of the requests kept to. */
  double Quantile(double aShare) const;
};

/** Runs the load on the calling thread. */
LoadResult
RunLoad(const LoadPlan& aPlan);

} // namespace wasabispread::benchmarks
