/*
 * Finds loopback ports on which no process listens.
 */
#pragma once

#include <cstdint>

namespace wasabispread::testing {

/** Returns a free port below the range from which the system takes the local
    ports of outgoing connections. Successive calls return different ports until
    the range of candidates wraps around. Throws std::runtime_error when no
    candidate is free. */
std::uint16_t
NextFreePort();

} // namespace wasabispread::testing
