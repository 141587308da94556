/*
 * Propagates a configuration between VMs. It is pushed along a tree of the VMs
 * of a zone; VMs that the push missed find out by comparing digests.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** To how many VMs each VM of the tree forwards a configuration. */
inline constexpr std::size_t kTreeFanOut = 4;

/** The children of aVm in the tree that spans aVms, which are sorted, with
    aRoot at its root. Empty when aVm is not among aVms. */
std::vector<VmId>
ChildrenInTree(const std::vector<VmId>& aVms, VmId aRoot, VmId aVm);

/** Stages a configuration read from the store if it is newer than the one in
    force, or has another content for the same revision. */
void
StageRecord(VmState& aState,
            const ConfigurationRecord& aRecord,
            TimePoint aNow,
            Effects& aEffects);

/** Compares another VM's configuration with the own one. Offers the own one if
    it is newer; reads the store if one revision has two contents. */
void
HandleDigest(VmState& aState,
             VmId aPeer,
             const Endpoint& aAddress,
             const MemberProbe& aProbe,
             TimePoint aNow,
             Effects& aEffects);

/** Stages an offered configuration if it is newer, and asks the sender for the
    sections that this VM does not have. */
void
HandleOffer(VmState& aState,
            VmId aPeer,
            const Endpoint& aAddress,
            const ConfigurationOffer& aOffer,
            TimePoint aNow,
            Effects& aEffects);

/** Replies with the requested sections that this VM has. */
void
HandleSectionsRequest(VmState& aState,
                      VmId aPeer,
                      const Endpoint& aAddress,
                      const SectionsRequest& aRequest,
                      Effects& aEffects);

/** Adds the received sections to the staged configuration. */
void
HandleSectionsReply(VmState& aState,
                    const SectionsReply& aReply,
                    TimePoint aNow,
                    Effects& aEffects);

} // namespace wasabispread
