/*
 * One rate limit for all calls of a VM to the platform's control interface.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <optional>

namespace wasabispread {

/** Allows one call per interval on average, and short bursts. */
struct PlatformBudget
{
  /** When the next call would be allowed if there were no bursts. */
  TimePoint mNextDue{};
};

/** Takes one call from the budget and returns nothing. When no call is left,
    takes nothing and returns the time from which one is allowed again. */
std::optional<TimePoint>
TakeCall(PlatformBudget& aBudget, TimePoint aNow);

} // namespace wasabispread
