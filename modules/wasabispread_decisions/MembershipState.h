/*
 * The VMs that a node knows of.
 */
#pragma once

#include "ControlMessage.h"
#include "PlatformMessage.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace wasabispread {

/** What is held of one VM beside its record. */
struct MemberHealth
{
  MemberVersion mVersion;
  MemberCondition mCondition = MemberCondition::kAlive;
  /** Whether the VM list showed it, and as leaving, when last read here. */
  bool mIsListed = false;
  bool mIsListedLeaving = false;
};

/** News still to be passed on. */
struct PendingNews
{
  VmId mVm;
  std::uint32_t mSendsLeft = 0;
};

/** A VM in the same zone whose answers this one watches. */
struct ProbedNeighbour
{
  VmId mVm;
  /** Probes in a row without an answer. */
  std::uint32_t mMisses = 0;
  /** The unanswered probe; 0 when there is none. */
  std::uint64_t mOutstanding = 0;
};

/** A VM suspected here: until when it may refute, and at which version. */
struct Suspicion
{
  MemberVersion mVersion;
  TimePoint mDue;
};

/** Whether anybody in another zone answers. */
struct ZoneReach
{
  /** Probes in a row, to differing VMs, without an answer. */
  std::uint32_t mMisses = 0;
  std::uint64_t mOutstanding = 0;
  VmId mProbed;
};

/** Invariants: mLiveByZone holds just the members that may be given work
    (alive or suspect), each list sorted by id; mHealth and mMembers have the
    same keys; this VM is always among them. */
struct MembershipState
{
  std::unordered_map<VmId, VmRecord> mMembers;
  std::unordered_map<VmId, MemberHealth> mHealth;
  std::unordered_map<ZoneName, std::vector<VmId>> mLiveByZone;
  /** Rises with each change of mLiveByZone; caches are keyed by it. */
  std::uint64_t mEpoch = 1;
  /** Failed reads of the VM list in a row. */
  std::uint32_t mFailures = 0;

  std::uint32_t mLiveCount = 1;
  std::uint32_t mLeavingCount = 0;
  /** The sum of a hash of each member's version and condition. */
  std::uint64_t mMembersHash = 0;
  /** Since when every view heard of has differed from this one. */
  TimePoint mDiffersSince{};
  TimePoint mMembersAsked{};
  std::vector<PendingNews> mUpdates;
  /** VMs that this one suspects. */
  std::unordered_map<VmId, Suspicion> mSuspicions;
  /** VMs that this one held dead, probed now and then. */
  std::deque<VmId> mDead;

  /** As of mNeighboursEpoch. */
  std::vector<ProbedNeighbour> mNeighbours;
  std::uint64_t mNeighboursEpoch = 0;
  std::unordered_map<ZoneName, ZoneReach> mZoneReach;
  std::vector<ZoneName> mOtherZones;
  std::size_t mNextZone = 0;
  std::uint64_t mNextSequence = 1;
  /** When any VM last answered a probe. */
  TimePoint mLastAnswer{};
  /** Spreads the first reads of the list when all VMs start at once. */
  Duration mStartSpread = std::chrono::milliseconds(2500);
  /** VMs named in the settings, asked first after a start. */
  std::vector<VmRecord> mSeeds;
  /** Whether the VM list or another VM has told of the others. */
  bool mIsInformed = false;
  bool mIsListRead = false;
  /** Whether this VM watches the store, as of mWatchersEpoch. */
  bool mIsWatcher = false;
  std::uint64_t mWatchersEpoch = 0;
};

/** Whether a zone's VMs answer this one; true of its own zone. */
bool
IsZoneReachable(const MembershipState& aMembership, const ZoneName& aZone);

} // namespace wasabispread
