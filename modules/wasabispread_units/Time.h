/*
 * Time as the decision code sees it: monotonic, and always an argument.
 */
#pragma once

#include <chrono>

namespace wasabispread {

/** A span of monotonic time, in nanoseconds. */
using Duration = std::chrono::nanoseconds;

/** An instant of monotonic time; comparable within one process only. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** A span in fractional milliseconds, for logs and reports. */
constexpr double
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace wasabispread
