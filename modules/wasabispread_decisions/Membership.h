/*
 * The members of the fleet and their conditions, as the platform's VM list and
 * the updates of other VMs state them.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** Announces this VM to the VMs named in the settings, and arms the timers of
    the first read of the VM list and of the first probes. */
void
StartMembership(VmState& aState, TimePoint aNow, Effects& aEffects);

/** Asks the platform for the VM list. Arms a timer instead when the budget of
    platform calls is used up. */
void
RequestVmList(VmState& aState, TimePoint aNow, Effects& aEffects);

/** Applies the VM list; after a failed call, waits and asks again. The list
    states which VMs exist and which are leaving. Only probes show whether a VM
    works. */
void
HandleVmListReceived(VmState& aState,
                     const VmListReceived& aEvent,
                     TimePoint aNow,
                     Effects& aEffects);

/** Whether an update is propagated to other VMs after it was applied. */
enum class Propagate
{
  kYes,
  kNo,
};

/** Applies an update of a VM unless the state known is as new. An update that
    states a wrong condition of this VM is refuted by a higher version. */
void
ApplyUpdate(VmState& aState, const MemberUpdate& aUpdate, Propagate aPropagate);

/** An update with the state known of a VM, which must be a member. */
MemberUpdate
UpdateFor(const MembershipState& aMembership, VmId aVm);

/** The updates to send in a probe to a VM, at most kMaxUpdatesPerProbe. Counts
    each as sent once more. */
std::vector<MemberUpdate>
TakeUpdates(MembershipState& aMembership, VmId aReceiver);

/** Replies with all known members, in messages of bounded size. */
void
HandleMembersRequest(VmState& aState,
                     VmId aPeer,
                     const Endpoint& aAddress,
                     Effects& aEffects);

/** Applies the members that another VM knows. */
void
HandleMembersReply(VmState& aState,
                   const MembersReply& aReply,
                   TimePoint aNow,
                   Effects& aEffects);

/** Logs a change of the live VMs since an epoch, and starts watching the store
    if this VM now should. */
void
HandleMembershipChange(VmState& aState,
                       std::uint64_t aEpochBefore,
                       TimePoint aNow,
                       Effects& aEffects);

/** The record of a VM with its address, or nullptr when it is no member. */
const VmRecord*
FindMember(const MembershipState& aMembership, VmId aVm);

/** How many updates a probe carries at most. */
inline constexpr std::size_t kMaxUpdatesPerProbe = 6;

} // namespace wasabispread
