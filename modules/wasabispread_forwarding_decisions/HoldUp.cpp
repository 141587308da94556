/*
 * Finds hold-ups by timers that are late.
 */
#include "wasabispread_forwarding_decisions.h"

namespace wasabispread::forwarding {

namespace {

/** A timer that is this late shows that the process stood still. A processor
    share of a tenth delays timers by less. */
constexpr Duration kMinHoldUp = std::chrono::milliseconds(250);

} // namespace

void
NoticeHoldUp(HoldUp& aHoldUp, TimePoint aDue, TimePoint aNow)
{
  if (aDue < aNow - kMinHoldUp) {
    aHoldUp.mEnd = aNow;
  }
}

} // namespace wasabispread::forwarding
