/*
 * Finds out how many requests at a time a target takes without working slower,
 * and how much slower it works beyond that.
 *
 * Targets of one service differ in speed, and some slow down long before all
 * their slots are busy. So nothing is configured: the time that work takes is
 * measured for each number of requests in flight, relative to what it usually
 * takes for the same kind of request. A target's speed alone is the business of
 * the latency estimates; this is about the load on top of it.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <array>
#include <cstddef>

namespace wasabispread {

/** What was measured with one number of requests in flight. */
struct LoadLevel
{
  /** The time that work takes, relative to the usual time of its kind. */
  double mSlowness = 1;
  /** The number of samples, weighted towards recent ones, as of mSampled. */
  double mWeight = 0;
  TimePoint mSampled{};
};

/** The most requests in flight that are told apart. */
inline constexpr std::size_t kLoadLevels = 8;

/** What one VM found out about a target. Invariant: mLevels[n] is about n + 1
    requests of this VM in flight, the measured one included. */
struct TargetCapacity
{
  std::array<LoadLevel, kLoadLevels> mLevels;
};

/** Records how long a request took that was sent as the aInFlight-th one in
    flight: aSlowness times as long as requests of its kind usually do. One
    sample moves the estimate by a part of it at most, so that a pause of the
    target is not taken for a slow target. */
void
RecordWork(TargetCapacity& aCapacity,
           std::size_t aInFlight,
           double aSlowness,
           TimePoint aNow);

/** By how much longer than alone a request takes that is sent as the
    aInFlight-th one in flight. What is not known is assumed: nothing up to the
    first request, and the slots shared equally beyond. The assumption returns
    while nothing is measured, so that a target that recovered is tried again.
    The result is never below it: requests in flight may also mean that the
    target pauses, which shows only later. */
double
LoadFactor(const TargetCapacity& aCapacity,
           std::size_t aInFlight,
           unsigned aSlots,
           TimePoint aNow);

/** The most requests in flight with which work takes hardly longer than alone;
    at least one. */
std::size_t
GoodConcurrency(const TargetCapacity& aCapacity,
                unsigned aSlots,
                TimePoint aNow);

/** What a target states about its load, for all its callers together. */
struct StatedLoad
{
  /** The requests that it works on, and those that wait. */
  unsigned mRunning = 0;
  unsigned mWaiting = 0;
  /** The requests that it works on concurrently. */
  unsigned mSlots = 1;
  /** How long work takes there now, relative to the usual time. */
  double mSlowness = 1;
};

/** By how much longer than usual a request takes that is sent to a target that
    stated its load aAge ago. The statement loses its meaning within a second:
    the load changes many times in it. */
double
StatedFactor(const StatedLoad& aLoad, Duration aAge);

} // namespace wasabispread
