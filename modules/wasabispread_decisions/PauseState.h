/*
 * When the process last handled an event, and its last pause.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

namespace wasabispread {

/** A heartbeat timer ensures frequent events, so that a long gap between two
    events means that the process was paused. */
struct PauseState
{
  /** When the last event was handled. */
  TimePoint mLastSeen{};
  /** When the last pause was detected, and its length. */
  TimePoint mResumedAt{};
  Duration mLength{};
};

} // namespace wasabispread
