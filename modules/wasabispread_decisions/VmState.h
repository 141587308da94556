/*
 * Everything that one node remembers.
 */
#pragma once

#include "ClaimState.h"
#include "ConfigurationState.h"
#include "ConfirmationState.h"
#include "CoordinatorState.h"
#include "Counters.h"
#include "MembershipState.h"
#include "PauseState.h"
#include "PlacementState.h"
#include "PlatformBudget.h"
#include "Random.h"
#include "TargetOwnerState.h"
#include "TimerQueue.h"

#include <deque>
#include <string>

namespace wasabispread {

/** Who a node is; fixed at its start. */
struct VmIdentity
{
  VmId mId;
  std::string mName;
  ZoneName mZone;
  Incarnation mIncarnation;
  Endpoint mPeerAddress;
};

/** A node's whole state. Reduce() alone changes it. */
struct VmState
{
  VmIdentity mSelf;
  Random mRandom;
  ConfigurationState mConfiguration;
  MembershipState mMembership;
  ConfirmationState mConfirmation;
  PlatformBudget mPlatformBudget;
  CoordinatorState mCoordinator;
  PlacementState mPlacement;
  TargetOwnerState mTargetOwner;
  PauseState mPause;
  ClaimState mClaims;
  TimerQueue mTimers;
  Counters mCounters;
  /** Messages from this node to itself, handled before Reduce() returns. */
  std::deque<PeerMessage> mLoopback;
  bool mStopping = false;
  /** When a stopping node begins to close each connection to a target that it
      does not need; not after mRefusingFrom. */
  TimePoint mReleasingFrom = TimePoint::max();
  /** Whether other VMs have had time to learn of the stop. */
  bool mIsStopAnnounced = false;
  /** When a stopping node begins to refuse requests. */
  TimePoint mRefusingFrom = TimePoint::max();

  /** Whether callers' requests can be taken. */
  bool IsReady() const;

  /** Whether a stopping node has nothing left in flight. */
  bool IsDrained() const;

  /** When a Tick is wanted; TimePoint::max() when none is. */
  TimePoint NextDue() const { return mTimers.NextDue(); }
};

/** A state for a node that has not started. aPeers are VMs that it asks for
    the configuration and the members at its start; it may be among them. */
VmState
MakeVmState(VmIdentity aSelf,
            std::uint64_t aSeed,
            const std::vector<VmRecord>& aPeers = {});

} // namespace wasabispread
