/*
 * Which VM is asked for an organisation's quota.
 */
#pragma once

#include "QuotaState.h"

namespace wasabispread::forwarding {

/** The way to an organisation's quota. */
struct QuotaPath
{
  enum class Kind : std::uint8_t
  {
    /** No VM grants it, or none that answers. */
    kNone,
    /** This VM grants it. */
    kSelf,
    /** The VM that grants it is asked; this VM holds quota of it. */
    kGranter,
    /** Another VM of the zone is asked. */
    kZone,
  };

  Kind mKind = Kind::kNone;
  std::string mVm;
  Endpoint mAddress;
};

/** The claim of the VM that grants the organisation's quota; null when there is
    none. */
const KnownClaim*
ClaimFor(const ForwarderState& aState, OrganisationId aOrganisation);

/** The way to the quota for other VMs' requests. It does not lead to another VM
    of the zone, so that VMs with different views do not ask each other. */
QuotaPath
PathForPeers(const ForwarderState& aState,
             OrganisationId aOrganisation,
             TimePoint aNow);

/** The way to the quota for this VM's requests. */
QuotaPath
PathForRequests(const ForwarderState& aState,
                OrganisationId aOrganisation,
                TimePoint aNow);

} // namespace wasabispread::forwarding
