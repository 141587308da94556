/*
 * The VMs that share targets, and this VM's own entry among them in the store.
 */
#pragma once

#include "ForwarderEffect.h"
#include "ForwarderEvent.h"
#include "LatencyEstimate.h"

#include <map>

namespace wasabispread::forwarding {

struct ForwarderState;

/** Delay after a start before connections are opened that no request needs. VMs
    that start together register within it, and once it knows all of them, each
    connects only to the targets assigned to it. */
inline constexpr Duration kStartupSettleTime = std::chrono::milliseconds(1200);

/** Time after a start within which VMs that started together register. */
inline constexpr Duration kRegistrationTime = std::chrono::seconds(5);

/** A VM as its entry in the store describes it. */
struct Member
{
  MemberRecord mRecord;
  /** When its entry was removed; TimePoint::max() while the entry exists. */
  TimePoint mLeftAt = TimePoint::max();
  /** Until when it owns no shards because it failed to answer a sub-search. */
  TimePoint mAvoidUntil{};
  /** Whether its entry is missing since the store came back from a copy. */
  bool mIsUnconfirmed = false;
  /** Until when it is not asked for changes in the store. */
  TimePoint mAvoidAsRelayUntil{};
  /** How long it takes to acknowledge a sub-search. */
  LatencyEstimate mAcknowledgement;
};

/** The state of this VM's lease, under which its entry is stored. */
enum class LeaseStatus : std::uint8_t
{
  kNone,
  /** A call to the store is under way, or its retry waits for a timer. */
  kPending,
  kHeld,
};

/** The VMs known to this one, its own lease, and its routing requests to
    others. */
struct MembershipState
{
  std::map<std::string, Member> mMembers;
  LeaseStatus mLeaseStatus = LeaseStatus::kNone;
  LeaseId mLease;
  /** When the lease is renewed next; TimePoint::max() while a call that
      concerns it is under way. */
  TimePoint mRenewAt = TimePoint::max();
  /** The member that was last asked for its routing. */
  std::string mLastAskedPeer;
  bool mIsAskingPeers = false;
  /** When the last routing requests were sent, by sequence. */
  std::map<std::uint64_t, TimePoint> mRoutingRequests;
  std::uint64_t mNextRoutingRequest = 1;
};

/** The number of VMs among which limits that all of them share are divided. */
std::size_t
FleetSize(const ForwarderState& aState, TimePoint aNow);

/** The least number of VMs by which limits are divided: more than one while VMs
    that started together with this one may not have registered yet. */
std::size_t
MinFleetSize(const ForwarderState& aState, TimePoint aNow);

/** Whether limits are divided by a VM too: it is present, or left so recently
    that it may be restarting. */
bool
SharesLimits(const Member& aMember, TimePoint aNow);

/** Whether a VM is known and in the zone of this one. */
bool
IsInOwnZone(const ForwarderState& aState, const std::string& aVm);

void
ApplyMember(MembershipState& aMembership, const MemberRecord& aRecord);

void
RemoveMember(MembershipState& aMembership,
             const std::string& aName,
             TimePoint aNow);

/** Asks the store for a lease, or renews the one held. Called at the start and
    whenever the kLease timer fires. */
void
AcquireOrRenewLease(ForwarderState& aState,
                    TimePoint aNow,
                    ForwarderEffects& aEffects);

void
HandleLeaseGranted(ForwarderState& aState,
                   const LeaseGranted& aEvent,
                   TimePoint aNow,
                   ForwarderEffects& aEffects);

void
HandleMemberWritten(ForwarderState& aState,
                    const MemberWritten& aEvent,
                    TimePoint aNow,
                    ForwarderEffects& aEffects);

void
HandleLeaseRenewed(ForwarderState& aState,
                   const LeaseRenewed& aEvent,
                   TimePoint aNow,
                   ForwarderEffects& aEffects);

/** Asks the next VM for its configuration and targets, and arms the timer for
    the one after it, while the store is unavailable to this VM. */
void
RequestRoutingFromNextPeer(ForwarderState& aState,
                           TimePoint aNow,
                           ForwarderEffects& aEffects);

void
HandlePeerRouting(ForwarderState& aState,
                  const PeerRouting& aEvent,
                  TimePoint aNow,
                  ForwarderEffects& aEffects);

/** The answer to another VM: the configuration if it is newer than the version
    that the VM has, and all targets in use unless the store is unavailable to
    this VM too. */
RoutingReply
MakeRoutingReply(const ForwarderState& aState,
                 const RoutingRequest& aRequest,
                 TimePoint aNow);

} // namespace wasabispread::forwarding
