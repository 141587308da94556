/*
 * Which VMs are there to be given work: what the VM list and other VMs say.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "VmState.h"

namespace wasabispread {

/** Makes itself known to the VMs named in the settings and arranges for the
    VM list to be read. */
void
StartMembership(VmState& aState, TimePoint aNow, Effects& aEffects);

/** Reads the VM list, unless the budget of calls puts it off. */
void
RequestVmList(VmState& aState, TimePoint aNow, Effects& aEffects);

/** Takes in the VM list, or waits and asks again. The list is a source of
    names and of departures; that a VM works is seen by probes alone. */
void
HandleVmListReceived(VmState& aState,
                     const VmListReceived& aEvent,
                     TimePoint aNow,
                     Effects& aEffects);

/** Whether news goes on to others after it was taken in. */
enum class PassOn
{
  kYes,
  kNo,
};

/** Takes in news of a VM unless something newer is known; refutes it when it
    wrongly speaks of this one. */
void
ApplyNews(VmState& aState, const MemberNews& aNews, PassOn aPassOn);

/** What this node knows of a VM, which must be a member. */
MemberNews
NewsOf(const MembershipState& aMembership, VmId aVm);

/** News to send along with a message to a VM, at most kMaxUpdatesPerProbe. */
std::vector<MemberNews>
TakeNews(MembershipState& aMembership, VmId aReceiver);

/** Answers with every VM known, in messages of bounded size. */
void
HandleMembersRequest(VmState& aState,
                     VmId aPeer,
                     const Endpoint& aAddress,
                     Effects& aEffects);

/** Takes in what another VM knows. */
void
HandleMembersReply(VmState& aState,
                   const MembersReply& aReply,
                   TimePoint aNow,
                   Effects& aEffects);

/** Acts on a change of the live VMs since an epoch: logs it and reviews which
    VMs watch the store. */
void
ReviewMembership(VmState& aState,
                 std::uint64_t aEpochBefore,
                 TimePoint aNow,
                 Effects& aEffects);

/** Where a VM is reached, or nullptr when it is not known. */
const VmRecord*
FindMember(const MembershipState& aMembership, VmId aVm);

/** The most news that a probe carries. */
inline constexpr std::size_t kMaxUpdatesPerProbe = 6;

} // namespace wasabispread
