/*
 * The VMs that share targets, and this VM's own entry among them.
 */
#pragma once

#include "ForwarderEffect.h"
#include "ForwarderEvent.h"

#include <map>

namespace wasabispread::forwarding {

struct ForwarderState;

/** After a start, connections that no request asks for wait this long: VMs that
    start together enter within it, and with all of them known each connects
    to its own targets only. */
inline constexpr Duration kFleetSettleTime = std::chrono::milliseconds(1200);

/** A VM as the store showed it. */
struct Member
{
  MemberRecord mRecord;
  /** When its entry was removed; TimePoint::max() while it is there. */
  TimePoint mLeft = TimePoint::max();
  /** Until when it is given no shards, because it did not answer. */
  TimePoint mSuspectUntil{};
};

/** How far this VM's own entry has come. */
enum class LeaseStatus : std::uint8_t
{
  kNone,
  /** A call is under way, or its repeat waits for a timer. */
  kPending,
  kHeld,
};

/** What is known of the VMs. */
struct FleetState
{
  std::map<std::string, Member> mMembers;
  LeaseStatus mLeaseStatus = LeaseStatus::kNone;
  LeaseId mLease;
  /** The member asked last for its configuration. */
  std::string mLastAsked;
  bool mIsAsking = false;
};

/** By how many VMs the limits that all of them share are divided. */
std::size_t
FleetSize(const ForwarderState& aState, TimePoint aNow);

void
ApplyMember(FleetState& aFleet, const MemberRecord& aRecord);

void
RemoveMember(FleetState& aFleet, const std::string& aName, TimePoint aNow);

/** Begins to enter this VM; also at each due time of kLease. */
void
PursueLease(ForwarderState& aState, TimePoint aNow, ForwarderEffects& aEffects);

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

/** Asks another VM for configuration and targets while the store does not
    answer this VM. */
void
AskNextPeer(ForwarderState& aState, TimePoint aNow, ForwarderEffects& aEffects);

void
HandlePeerRouting(ForwarderState& aState,
                  const PeerRouting& aEvent,
                  TimePoint aNow,
                  ForwarderEffects& aEffects);

/** What another VM is told that knows the configuration up to a version. */
RoutingReply
MakeRoutingReply(const ForwarderState& aState, std::uint64_t aKnownVersion);

} // namespace wasabispread::forwarding
