/*
 * Combines what the route and the organisation demand.
 */
#include "../wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

RequestOwner
OwnerOf(const RoutingConfiguration& aConfiguration,
        const Route& aRoute,
        const Organisation* aOrganisation)
{
  RequestOwner owner;
  owner.mForwardsCredentials = !aConfiguration.mOrganisations;
  owner.mRank = { aRoute.mPriority, aRoute.mPriority };
  owner.mRegions = aRoute.mRegions;
  if (aOrganisation == nullptr) {
    return owner;
  }
  owner.mName = aOrganisation->mName;
  owner.mId = aOrganisation->mId;
  owner.mLimit = aOrganisation->mLimit;
  owner.mRank.mFirst = aOrganisation->mRank.value_or(aRoute.mPriority);
  const std::vector<RegionName>& homes = aOrganisation->mRegions;
  if (owner.mRegions.empty()) {
    owner.mRegions = homes;
  } else if (!homes.empty()) {
    std::erase_if(owner.mRegions, [&](const RegionName& aRegion) {
      return std::find(homes.begin(), homes.end(), aRegion) == homes.end();
    });
    owner.mHasNoRegion = owner.mRegions.empty();
  }
  return owner;
}

} // namespace wasabispread::forwarding
