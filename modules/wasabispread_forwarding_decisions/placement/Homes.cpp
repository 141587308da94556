/*
 * Looks up the region of a zone.
 */
#include "../wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

bool
IsInRegions(const ForwarderState& aState,
            const ZoneName& aZone,
            const std::vector<RegionName>& aRegions)
{
  if (aRegions.empty()) {
    return true;
  }
  const auto region = aState.mPolicy.mRegionOfZone.find(aZone);
  return region != aState.mPolicy.mRegionOfZone.end() &&
         std::find(aRegions.begin(), aRegions.end(), region->second) !=
           aRegions.end();
}

} // namespace wasabispread::forwarding
