/*
 * The regions to which a request is bound: only targets there may serve it, and
 * only VMs there, besides the one that its caller reached, may get its body.
 */
#pragma once

#include "../Routing.h"

namespace wasabispread::forwarding {

struct ForwarderState;

/** Whether a zone lies in one of the regions; true when none is named. A zone
    whose region is not known lies in none. */
bool
IsInRegions(const ForwarderState& aState,
            const ZoneName& aZone,
            const std::vector<RegionName>& aRegions);

} // namespace wasabispread::forwarding
