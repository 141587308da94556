/*
 * Spreading a configuration between VMs: pushed along a tree within a zone,
 * and mended by comparing digests.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** How many VMs each VM passes a configuration on to. */
inline constexpr std::size_t kTreeWidth = 4;

/** The VMs below one in the tree over sorted VMs that another one roots.
    Empty when it is not among them. */
std::vector<VmId>
ChildrenInTree(const std::vector<VmId>& aVms, VmId aRoot, VmId aVm);

/** Begins to put a stored configuration in force, if it is newer. */
void
StageRecord(VmState& aState,
            const ConfigurationRecord& aRecord,
            TimePoint aNow,
            Effects& aEffects);

/** Compares another VM's configuration with the own one: offers a newer one,
    and looks at the store when one revision has two contents. */
void
HandleDigest(VmState& aState,
             VmId aPeer,
             const Endpoint& aAddress,
             const MemberProbe& aProbe,
             TimePoint aNow,
             Effects& aEffects);

/** Stages a newer configuration and asks for the sections that it lacks. */
void
HandleOffer(VmState& aState,
            VmId aPeer,
            const Endpoint& aAddress,
            const ConfigurationOffer& aOffer,
            TimePoint aNow,
            Effects& aEffects);

/** Answers with the sections asked for. */
void
HandleSectionsRequest(VmState& aState,
                      VmId aPeer,
                      const Endpoint& aAddress,
                      const SectionsRequest& aRequest,
                      Effects& aEffects);

/** Takes sections into the staged configuration. */
void
HandleSectionsReply(VmState& aState,
                    const SectionsReply& aReply,
                    TimePoint aNow,
                    Effects& aEffects);

} // namespace wasabispread
