/*
 * A node's metrics in the Prometheus text format.
 */
#pragma once

#include <wasabispread_decisions/wasabispread_decisions.h>

#include <string>

namespace wasabispread {

/** Every metric of a node as of aNow. */
std::string
FormatMetrics(const VmState& aState, TimePoint aNow);

} // namespace wasabispread
