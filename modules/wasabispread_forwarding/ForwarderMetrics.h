/*
 * A forwarder's metrics in the Prometheus text format.
 */
#pragma once

#include "DecisionLog.h"

#include <string>

namespace wasabispread::forwarding {

/** Formats every metric of a forwarder as of aNow. */
std::string
FormatForwarderMetrics(const ForwarderState& aState,
                       const DecisionLog& aLog,
                       TimePoint aNow);

} // namespace wasabispread::forwarding
