/*
 * Whose request it is, and what follows from that: its rank and the regions
 * whose targets may serve it.
 */
#pragma once

#include "../Routing.h"

#include <compare>

namespace wasabispread::forwarding {

/** The order in which requests are sent, refused and left out. A lower rank
    goes first. */
struct RequestRank
{
  /** The organisation's rank, or the route's where it has none. */
  unsigned mFirst = 0;
  unsigned mRoute = 0;

  friend auto operator<=>(const RequestRank&, const RequestRank&) = default;
};

/** The organisation of a request and what follows from it. */
struct RequestOwner
{
  /** Empty when the request belongs to no organisation. */
  std::string mName;
  OrganisationId mId;
  OrganisationLimit mLimit;
  RequestRank mRank;
  /** The regions whose targets may serve it; empty for all. */
  std::vector<RegionName> mRegions;
  /** Whether the route and the organisation have no region in common. */
  bool mHasNoRegion = false;
  /** Whether the key may go on to targets: only where the configuration has no
      organisations, so that the field means something else. */
  bool mForwardsCredentials = false;
};

/** The owner of a request on a route; aOrganisation may be null. */
RequestOwner
OwnerOf(const RoutingConfiguration& aConfiguration,
        const Route& aRoute,
        const Organisation* aOrganisation);

} // namespace wasabispread::forwarding
