/*
 * Finds loopback ports on which no process listens.
 */
#pragma once

#include <cstdint>

namespace wasabispread::testing {

/** Returns a free port and keeps it for this program: neither another one that
    calls this function nor an outgoing connection gets it, also while its
    server restarts, until the program ends or has taken 1000 further ports, or
    as many as a quarter of its descriptors. Servers must set SO_REUSEADDR.
    Throws std::runtime_error when no candidate is free. */
std::uint16_t
NextFreePort();

} // namespace wasabispread::testing
