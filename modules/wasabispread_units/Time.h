/*
 * Monotonic time. Decision code takes the present time as an argument and never
 * reads a clock.
 */
#pragma once

#include <chrono>

namespace wasabispread {

/** A duration of monotonic time, in nanoseconds. */
using Duration = std::chrono::nanoseconds;

/** A point in monotonic time; comparable only within one process. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** A duration in fractional milliseconds, for logs and reports. */
constexpr double
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace wasabispread
