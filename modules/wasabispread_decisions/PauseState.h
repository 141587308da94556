/*
 * Whether the process was stopped for a while.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

namespace wasabispread {

/** A heartbeat timer makes events frequent, so that a gap between two shows a
    pause. */
struct PauseState
{
  /** When the last event was handled. */
  TimePoint mLastSeen{};
  /** When the last pause was noticed, and how long it was. */
  TimePoint mResumedAt{};
  Duration mLength{};
};

} // namespace wasabispread
