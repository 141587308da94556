/*
 * The whole state of one VM's daemon.
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

/** The identity of a VM, which does not change while its daemon runs. */
struct VmIdentity
{
  VmId mId;
  std::string mName;
  ZoneName mZone;
  Incarnation mIncarnation;
  Endpoint mPeerAddress;
};

/** The whole state of a VM. Only Reduce() changes it. */
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
  /** Messages from this VM to itself, which are handled before Reduce()
      returns. */
  std::deque<PeerMessage> mLoopback;
  bool mStopping = false;
  /** When a stopping VM begins to close each connection to a target that it
      does not need; no later than mRefusingFrom. */
  TimePoint mReleasingFrom = TimePoint::max();
  /** Whether other VMs have had time to receive the announcement of the
      stop. */
  bool mIsStopAnnounced = false;
  /** When a stopping VM begins to refuse requests of callers and attempts of
      other VMs. */
  TimePoint mRefusingFrom = TimePoint::max();

  /** Whether requests of callers are accepted. */
  bool IsReady() const;

  /** Whether a stopping VM has announced its stop and has no request left in
      progress. */
  bool IsDrained() const;

  /** When the next Tick is needed; TimePoint::max() when none is. */
  TimePoint NextDue() const { return mTimers.NextDue(); }
};

/** The state of a VM that has not started. aPeers are the VMs that it asks for
    the configuration and the members when it starts; it may be among them. */
VmState
MakeVmState(VmIdentity aSelf,
            std::uint64_t aSeed,
            const std::vector<VmRecord>& aPeers = {});

} // namespace wasabispread
