/*
 * The VMs that may hold connections to targets, their ranking for each group of
 * targets, and the target owners that a coordinator avoids at present.
 */
#pragma once

#include "Answer.h"
#include "ConnectionPolicy.h"

#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace wasabispread {

/** A VM that may hold connections to its zone's targets. It stays a candidate
    for a while after it has left or died, since its connections may still be
    open. */
struct Candidate
{
  VmId mVm;
  /** When the platform's VM list first contained it. */
  TimePoint mListedAt{};
  bool mIsListed = true;
  bool mIsAlive = true;
  /** A leaving VM closes its connections itself. For a short while it still
      runs attempts of coordinators that can reach no other target owner. */
  bool mIsLeaving = false;
  /** Since when it has been unlisted, dead or leaving; max() while none of
      these is true. */
  TimePoint mGoneSince = TimePoint::max();
};

/** One VM that was added to the candidates of a zone or removed from them. */
struct CandidateChange
{
  VmId mVm;
  bool mIsAdded = true;
};

/** The candidates of one zone. Invariants: mCandidates is sorted by VM;
    mChanges holds the last changes up to mVersion, newest last. */
struct ZoneCandidates
{
  ZoneName mZone;
  std::vector<Candidate> mCandidates;
  std::vector<CandidateChange> mChanges;
  std::uint64_t mVersion = 0;
};

/** A VM in a group's ranking. VMs with higher weights come first. */
struct RankedVm
{
  std::uint64_t mWeight = 0;
  VmId mVm;
};

/** The best candidates of one group as of one version of its zone. */
struct GroupRanking
{
  /** The position in PlacementState::mZones of the candidates' zone. */
  std::uint32_t mZone = 0;
  /** PlacementState::mHomeZonesEpoch when mZone was chosen. */
  std::uint64_t mHomeZonesEpoch = 0;
  /** ZoneCandidates::mVersion that mBest corresponds to. */
  std::uint64_t mVersion = 0;
  /** The best candidates, best first. */
  std::vector<RankedVm> mBest;
  /** The target owners to which attempts can be sent, best first. Computed
      again when one of the three epochs below has changed or mUsableUntil has
      passed. */
  std::vector<VmId> mUsable;
  std::uint64_t mUsableVersion = 0;
  std::uint64_t mUsableEpoch = 0;
  std::uint64_t mUsableAvoidanceEpoch = 0;
  TimePoint mUsableUntil{};
};

/** Why a coordinator avoids a target owner. */
enum class AvoidanceReason : std::uint8_t
{
  /** The connection to it broke. */
  kLost,
  /** It did not reply in time. */
  kSilent,
  /** It refused an attempt because it is stopping. */
  kStopping,
  /** It refused an attempt because it may hold no connections. */
  kNotOwner,
};

/** The name of a reason in logs. */
std::string_view
ToText(AvoidanceReason aReason);

/** A target owner that is avoided. */
struct AvoidedOwner
{
  AvoidanceReason mReason = AvoidanceReason::kLost;
  /** How many probes have been sent to it. */
  std::uint32_t mProbes = 0;
};

/** A target owner from which a reply is awaited. */
struct AwaitedOwner
{
  /** Since when the reply has been awaited. */
  TimePoint mSince{};
};

/** The whole placement state of a VM. */
struct PlacementState
{
  ConnectionPolicy mPolicy;
  /** How long other VMs are given to learn of a change of the VM list before it
      affects connections. All VMs of a deployment have the same value. */
  Duration mHoldDelay = std::chrono::milliseconds(2500);
  std::vector<ZoneCandidates> mZones;
  /** The index in mZones of each zone. */
  std::unordered_map<ZoneName, std::uint32_t> mZoneIndex;
  /** Members that are leaving or dead and are no longer candidates. One that is
      alive again is removed from here. */
  std::unordered_set<VmId> mExpiredCandidates;
  /** The candidates of all zones, sorted. */
  std::vector<VmId> mAllCandidates;
  /** MembershipState::mEpoch when the candidates were last updated. */
  std::uint64_t mMembersEpoch = 0;
  /** Rises when a zone gains its first candidate or loses its last one, as this
      may change the zone that a group takes its owners from. */
  std::uint64_t mHomeZonesEpoch = 1;
  /** By position in ConfigurationState::mGroups. */
  std::vector<GroupRanking> mRankings;
  /** From when on this VM may hold connections to targets; max() before its
      start. */
  TimePoint mMayConnectFrom = TimePoint::max();
  /** When the timer is due that removes the next expired candidate; max() when
      none is armed. */
  TimePoint mRefreshAt = TimePoint::max();
  /** The target owners that are avoided at present. */
  std::unordered_map<VmId, AvoidedOwner> mAvoided;
  /** Rises with each change of mAvoided. */
  std::uint64_t mAvoidanceEpoch = 1;
  /** The target owners from which a reply is awaited. */
  std::unordered_map<VmId, AwaitedOwner> mAwaited;
};

} // namespace wasabispread
