/*
 * Assigns targets to VMs when a target cannot accept connections from all of
 * them.
 */
#pragma once

#include "ForwarderState.h"

namespace wasabispread::forwarding {

/** Share of a target's stated connections that all VMs together use. The rest
    is a reserve: a target under load accepts fewer, and a VM that has just
    joined needs connections before the others learn of it. */
inline constexpr double kUsableConnectionShare = 0.85;

/** The properties of a target on which the assignment depends. */
struct AssignableTarget
{
  InstanceId mInstance;
  ZoneName mZone;
};

/** Returns, for each of a service's targets in the order given, whether this VM
    connects to it. This handles fleets with more VMs than a target accepts
    connections. Every VM gets as many targets as the connections of all targets
    together allow, and at least one: first those of its own zone, then others
    in an order rotated by the VM's rank, so that VMs spread evenly. Depends
    only on its arguments, so that VMs with the same membership agree without
    exchanging messages.

    aVms are the names of all VMs; aMaxVms is how many VMs one target can
    serve. */
std::vector<bool>
AssignTargets(const std::vector<AssignableTarget>& aTargets,
              const std::vector<std::string>& aVms,
              const std::string& aSelf,
              const ZoneName& aSelfZone,
              const ServiceId& aService,
              std::size_t aMaxVms);

/** Recomputes shard ownership and TargetState::mIsAssigned for all services,
    closes idle connections to targets that are no longer assigned and opens a
    first connection to those that are. */
void
RefreshAssignments(ForwarderState& aState,
                   TimePoint aNow,
                   ForwarderEffects& aEffects);

} // namespace wasabispread::forwarding
