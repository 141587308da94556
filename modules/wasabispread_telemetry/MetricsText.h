/*
 * A VM's metrics in the Prometheus text format.
 */
#pragma once

#include <wasabispread_decisions/wasabispread_decisions.h>

#include <string>

namespace wasabispread {

/** All metrics of a VM at the time aNow, in the Prometheus text format. */
std::string
FormatMetrics(const VmState& aState, TimePoint aNow);

} // namespace wasabispread
