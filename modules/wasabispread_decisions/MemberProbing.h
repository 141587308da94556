/*
 * Probes between VMs: who answers, who is suspected, and who is held dead.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "NodeState.h"

namespace wasabispread {

/** Arranges for the first round of probes. */
void
StartProbing(NodeState& aState, TimePoint aNow);

/** Judges the probes of the last round and sends those of the next. The VMs
    probed are a few of the own zone, the same ones while membership stays,
    and one of another zone, each zone in turn. */
void
HandleProbeRound(NodeState& aState, TimePoint aNow, Effects& aEffects);

/** Sends a VM a probe with news and the digest of the configuration. */
void
SendProbe(NodeState& aState,
          VmId aPeer,
          const Endpoint& aAddress,
          TimePoint aNow,
          Effects& aEffects);

/** Answers a probe, or takes note of an answer. */
void
HandleProbe(NodeState& aState,
            VmId aPeer,
            const Endpoint& aAddress,
            const MemberProbe& aProbe,
            TimePoint aNow,
            Effects& aEffects);

/** A broken connection counts as a probe without an answer. */
void
HandleMemberLost(NodeState& aState,
                 VmId aPeer,
                 TimePoint aNow,
                 Effects& aEffects);

/** Holds a VM dead if it has stayed suspect. */
void
HandleSuspicionEnd(NodeState& aState,
                   VmId aVm,
                   TimePoint aNow,
                   Effects& aEffects);

/** Tells others at once that this VM takes no new work. */
void
AnnounceStop(NodeState& aState, TimePoint aNow, Effects& aEffects);

} // namespace wasabispread
