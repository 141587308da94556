/*
 * The budget of platform calls: a generic cell rate algorithm.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

std::optional<TimePoint>
TakeCall(PlatformBudget& aBudget, TimePoint aNow)
{
  constexpr Duration kInterval = std::chrono::milliseconds(500);
  constexpr Duration kBurst = 4 * kInterval;
  const TimePoint allowed = aBudget.mNext - kBurst;
  if (aNow < allowed) {
    return allowed;
  }
  aBudget.mNext = std::max(aBudget.mNext, aNow) + kInterval;
  return std::nullopt;
}

} // namespace wasabispread
