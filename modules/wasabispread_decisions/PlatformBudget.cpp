/*
 * The rate limit of platform calls: a generic cell rate algorithm (GCRA).
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

std::optional<TimePoint>
TakeCall(PlatformBudget& aBudget, TimePoint aNow)
{
  constexpr Duration kInterval = std::chrono::milliseconds(500);
  constexpr Duration kBurst = 4 * kInterval;
  const TimePoint allowed = aBudget.mNextDue - kBurst;
  if (aNow < allowed) {
    return allowed;
  }
  aBudget.mNextDue = std::max(aBudget.mNextDue, aNow) + kInterval;
  return std::nullopt;
}

} // namespace wasabispread
