/*
 * Which VMs connect to which targets when a target cannot take them all.
 */
#pragma once

#include "ForwarderState.h"

namespace wasabispread::forwarding {

/** The part of a target's stated connections that all VMs together use: a
    target under load accepts fewer, and a VM that has just joined needs room
    before the others hear of it. */
inline constexpr double kConnectionsInUse = 0.85;

/** A target as the assignment sees it. */
struct AssignableTarget
{
  InstanceId mInstance;
  ZoneName mZone;
};

/** Whether each of a service's targets, in the order given, is one that a VM
    connects to. The load it answers: more VMs than a target takes connections.
    Every VM gets as many targets as the connections of all targets together
    allow, at least one: those of its own zone first, then others in turn, so
    that VMs spread evenly. Depends only on its arguments, so that VMs with the
    same view agree without a word.

    aVms are the names of all VMs; aMostVms is how many one target can take. */
std::vector<bool>
AssignTargets(const std::vector<AssignableTarget>& aTargets,
              const std::vector<std::string>& aVms,
              const std::string& aSelf,
              const ZoneName& aSelfZone,
              const ServiceId& aService,
              std::size_t aMostVms);

/** Brings TargetState::mIsAssigned up to date for all services. */
void
RefreshAssignments(ForwarderState& aState,
                   TimePoint aNow,
                   ForwarderEffects& aEffects);

} // namespace wasabispread::forwarding
