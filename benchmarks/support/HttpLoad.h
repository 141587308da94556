/*
 * Generates load over HTTP/1.1 keep-alive connections with a bare Beast loop.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wasabispread::benchmarks {

/** What to send, and where to send it. */
struct LoadPlan
{
  /** Loopback ports; the connections are assigned to them in turn. */
  std::vector<std::uint16_t> mPorts;
  unsigned mConnections = 1;
  /** Path of the POST requests. */
  std::string mPath;
  double mSeconds = 1;
  /** Arrivals per second, at random times; 0 makes each connection send its
   * next request as soon as it has received the response to the previous
   * one. */
  double mRate = 0;
};

/** Results of a load run. */
struct LoadResult
{
  std::uint64_t mSucceeded = 0;
  std::uint64_t mFailed = 0;
  /** Processor time that the loop used, in seconds. */
  double mProcessorSeconds = 0;
  /** Times from arrival to response, in milliseconds, sorted. */
  std::vector<double> mLatencies;

  /** Returns the latency that the given share of the requests did not
   * exceed. */
  double Quantile(double aShare) const;
};

/** Runs the load on the calling thread. */
LoadResult
RunLoad(const LoadPlan& aPlan);

} // namespace wasabispread::benchmarks
