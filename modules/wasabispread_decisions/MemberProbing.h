/*
 * Probes between VMs: who answers, who is suspected, and who is held dead.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** Arranges for the first round of probes. */
void
StartProbing(VmState& aState, TimePoint aNow);

/** Judges the probes of the last round and sends those of the next. The VMs
    probed are a few of the own zone, the same ones while membership stays,
    and one of another zone, each zone in turn. */
void
HandleProbeRound(VmState& aState, TimePoint aNow, Effects& aEffects);

/** Sends a VM a probe with news and the digest of the configuration. */
void
SendProbe(VmState& aState,
          VmId aPeer,
          const Endpoint& aAddress,
          TimePoint aNow,
          Effects& aEffects);

/** Answers a probe, or takes note of an answer. */
void
HandleProbe(VmState& aState,
            VmId aPeer,
            const Endpoint& aAddress,
            const MemberProbe& aProbe,
            TimePoint aNow,
            Effects& aEffects);

/** A broken connection counts as a probe without an answer. */
void
HandlePeerConnectionLost(VmState& aState,
                         VmId aPeer,
                         TimePoint aNow,
                         Effects& aEffects);

/** Holds a VM dead if it has stayed suspect. */
void
HandleSuspicionTimeout(VmState& aState,
                       VmId aVm,
                       TimePoint aNow,
                       Effects& aEffects);

/** Tells others at once that this VM takes no new work. */
void
AnnounceStop(VmState& aState, TimePoint aNow, Effects& aEffects);

} // namespace wasabispread
