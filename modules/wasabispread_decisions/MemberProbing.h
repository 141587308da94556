/*
 * Failure detection by probes between VMs: decides which members are suspect
 * and which are dead.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** Arms the timer of the first round of probes. */
void
StartProbing(VmState& aState, TimePoint aNow);

/** Evaluates the probes of the last round and sends those of the next. A round
    probes a few VMs of the own zone, which stay the same while the membership
    does not change, and one VM of another zone, each zone in turn. */
void
HandleProbeRound(VmState& aState, TimePoint aNow, Effects& aEffects);

/** Sends a VM a probe, which carries membership updates and the digest of the
    configuration in force. */
void
SendProbe(VmState& aState,
          VmId aPeer,
          const Endpoint& aAddress,
          TimePoint aNow,
          Effects& aEffects);

/** Applies what a probe states. Replies to it unless it is itself a reply. */
void
HandleProbe(VmState& aState,
            VmId aPeer,
            const Endpoint& aAddress,
            const MemberProbe& aProbe,
            TimePoint aNow,
            Effects& aEffects);

/** Counts a broken connection as a probe without an answer. */
void
HandlePeerConnectionLost(VmState& aState,
                         VmId aPeer,
                         TimePoint aNow,
                         Effects& aEffects);

/** Marks a VM dead if it is still suspect when its suspicion times out. */
void
HandleSuspicionTimeout(VmState& aState,
                       VmId aVm,
                       TimePoint aNow,
                       Effects& aEffects);

/** Announces at once to other VMs that this VM takes no new requests. */
void
AnnounceStop(VmState& aState, TimePoint aNow, Effects& aEffects);

} // namespace wasabispread
