/*
 * Loopback ports that no one listens on.
 */
#pragma once

#include <cstdint>

namespace wasabispread::testing {

/** A port below the system's own range for outgoing connections. Each call
    gives another; throws when there is none left. */
std::uint16_t
NextFreePort();

} // namespace wasabispread::testing
