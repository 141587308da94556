/*
 * One budget for all of a node's control calls to the platform.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <optional>

namespace wasabispread {

/** Allows a call each interval on average, and a few at once. */
struct PlatformBudget
{
  /** When the next call would be due if there were no burst. */
  TimePoint mNext{};
};

/** Takes one call from the budget. When there is none left, nothing is taken
    and the time to ask again is returned. */
std::optional<TimePoint>
TakeCall(PlatformBudget& aBudget, TimePoint aNow);

} // namespace wasabispread
