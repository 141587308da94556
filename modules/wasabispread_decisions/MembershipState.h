/*
 * The members of the fleet that a VM knows of, and the state of its probes.
 */
#pragma once

#include "ControlMessage.h"
#include "PlatformMessage.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace wasabispread {

/** The condition of one member. */
struct MemberHealth
{
  MemberVersion mVersion;
  MemberCondition mCondition = MemberCondition::kAlive;
  /** Whether the VM list contained it, and as leaving, when this VM last read
      the list. */
  bool mIsListed = false;
  bool mIsListedLeaving = false;
};

/** An update that is still to be propagated. */
struct PendingUpdate
{
  VmId mVm;
  /** In how many more probes to send it. */
  std::uint32_t mSendsLeft = 0;
};

/** A VM of the same zone that this VM probes in each round. */
struct ProbedNeighbour
{
  VmId mVm;
  /** Probes in a row without an answer. */
  std::uint32_t mMissedProbes = 0;
  /** The sequence of the unanswered probe; 0 when there is none. */
  std::uint64_t mOutstandingProbe = 0;
};

/** A VM that this VM suspects. It is marked dead at mDue unless its version has
    risen above mVersion by then. */
struct Suspicion
{
  MemberVersion mVersion;
  TimePoint mDue;
};

/** The state of the probes to another zone. */
struct ZoneReachability
{
  /** Probes in a row, to different VMs, without an answer. */
  std::uint32_t mMissedProbes = 0;
  /** The sequence of the unanswered probe; 0 when there is none. */
  std::uint64_t mOutstandingProbe = 0;
  /** The VM that was probed last. */
  VmId mProbed;
};

/** The membership as this VM knows it. Invariants: mLiveByZone holds exactly
    the members that may be given work (alive or suspect), each list sorted by
    id; mHealth and mMembers have the same keys; this VM is always among
    them. */
struct MembershipState
{
  std::unordered_map<VmId, VmRecord> mMembers;
  std::unordered_map<VmId, MemberHealth> mHealth;
  std::unordered_map<ZoneName, std::vector<VmId>> mLiveByZone;
  /** Rises with each change of mLiveByZone, which invalidates caches. */
  std::uint64_t mEpoch = 1;
  /** Failed reads of the VM list in a row. */
  std::uint32_t mFailures = 0;

  std::uint32_t mLiveCount = 1;
  std::uint32_t mLeavingCount = 0;
  /** The sum of one hash for each member that is not dead. The hash depends on
      the member's id and on whether it is leaving. */
  std::uint64_t mMembersHash = 0;
  /** When a probe last carried a hash equal to mMembersHash. */
  TimePoint mViewLastMatched{};
  /** When this VM last asked another one for all of its members. */
  TimePoint mMembersRequestedAt{};
  std::vector<PendingUpdate> mUpdates;
  /** The VMs that this VM suspects. */
  std::unordered_map<VmId, Suspicion> mSuspicions;
  /** The VMs that this VM has marked dead. They are probed now and then, so
      that one that still runs can refute it. */
  std::deque<VmId> mDeadVms;

  /** The VMs of the own zone to probe, as of mNeighboursEpoch. */
  std::vector<ProbedNeighbour> mNeighbours;
  std::uint64_t mNeighboursEpoch = 0;
  std::unordered_map<ZoneName, ZoneReachability> mZoneReachability;
  std::vector<ZoneName> mOtherZones;
  std::size_t mNextZone = 0;
  std::uint64_t mNextSequence = 1;
  /** When any VM last answered a probe. */
  TimePoint mLastAnswer{};
  /** The longest random wait before the first read of the VM list. It spreads
      the calls when all VMs start at once. */
  Duration mStartSpread = std::chrono::milliseconds(2500);
  /** The VMs named in the settings, which are asked first after a start. */
  std::vector<VmRecord> mSeeds;
  /** Whether the VM list or another VM's members have been received. */
  bool mKnowsOtherVms = false;
  /** Whether the VM list has been read since the start. */
  bool mIsVmListRead = false;
  /** Whether this VM watches the store, as of mWatchersEpoch. */
  bool mIsStoreWatcher = false;
  std::uint64_t mWatchersEpoch = 0;
};

/** Whether the VMs of a zone answer this VM. Always true of its own zone. */
bool
IsZoneReachable(const MembershipState& aMembership, const ZoneName& aZone);

} // namespace wasabispread
