/*
 * A forwarder's metrics in the Prometheus text format.
 */
#pragma once

#include "DecisionLog.h"

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <string>

namespace wasabispread::forwarding {

/** Formats every metric of a forwarder as of aNow. aCallers are the counters of
    the server that callers connect to, aMemory counts what it holds. */
std::string
FormatForwarderMetrics(const ForwarderState& aState,
                       const HttpServerCounters& aCallers,
                       const MemoryAccount& aMemory,
                       const DecisionLog& aLog,
                       TimePoint aNow);

} // namespace wasabispread::forwarding
