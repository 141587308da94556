/*
 * The VMs that may hold connections, their order for each group of targets,
 * and the owners that an entry passes over at present.
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
    for a while after it has gone, since its connections may live on. */
struct Candidate
{
  VmId mVm;
  /** When the platform's list first showed it. */
  TimePoint mListedAt{};
  bool mIsListed = true;
  bool mIsAlive = true;
  /** A leaving VM closes its connections by itself; it serves for a short
      while, for entries that have nobody else to ask. */
  bool mIsLeaving = false;
  /** Since when it is not listed, not alive or leaving; max() while it is none
      of these. */
  TimePoint mGoneSince = TimePoint::max();
};

/** One VM that came to or left the candidates of a zone. */
struct CandidateChange
{
  VmId mVm;
  bool mIsAdded = true;
};

/** The candidates of one zone. Invariant: mCandidates is sorted by VM;
    mChanges holds the steps that led up to mVersion, newest last. */
struct ZoneCandidates
{
  ZoneName mZone;
  std::vector<Candidate> mCandidates;
  std::vector<CandidateChange> mChanges;
  std::uint64_t mVersion = 0;
};

/** A VM in a group's order; a higher weight comes first. */
struct RankedVm
{
  std::uint64_t mWeight = 0;
  VmId mVm;
};

/** The head of one group's order as of one version of its zone. */
struct GroupRanking
{
  /** The position in PlacementState::mZones of the candidates' zone. */
  std::uint32_t mZone = 0;
  std::uint64_t mHomeZonesEpoch = 0;
  std::uint64_t mVersion = 0;
  std::vector<RankedVm> mBest;
  /** The owners that can be given work, best first; worked out again when one
      of the four below has changed or passed. */
  std::vector<VmId> mUsable;
  std::uint64_t mUsableVersion = 0;
  std::uint64_t mUsableEpoch = 0;
  std::uint64_t mUsableAvoidanceEpoch = 0;
  TimePoint mUsableUntil{};
};

/** Why an entry passes over an owner. */
enum class AvoidanceReason : std::uint8_t
{
  /** The connection to it broke. */
  kLost,
  /** It did not answer in time. */
  kSilent,
  /** It said that it stops. */
  kStopping,
  /** It said that it may not hold connections. */
  kNotOwner,
};

/** The name used in logs. */
std::string_view
ToText(AvoidanceReason aReason);

/** An owner that is passed over. */
struct AvoidedOwner
{
  AvoidanceReason mReason = AvoidanceReason::kLost;
  std::uint32_t mProbes = 0;
};

/** When an owner was last heard from, kept while an answer is due. */
struct AwaitedOwner
{
  TimePoint mSince{};
};

/** All that a node remembers of placement. */
struct PlacementState
{
  ConnectionPolicy mPolicy;
  /** How long every VM is given to learn of a change of the members; the same
      on all VMs of a deployment. */
  Duration mHoldDelay = std::chrono::milliseconds(2500);
  std::vector<ZoneCandidates> mZones;
  std::unordered_map<ZoneName, std::uint32_t> mZoneIndex;
  /** Members that are leaving or dead and whose time as candidates is over;
      one that lives again is no longer among them. */
  std::unordered_set<VmId> mExpiredCandidates;
  /** All candidates, sorted. */
  std::vector<VmId> mAllCandidates;
  /** MembershipState::mEpoch when the candidates were last brought in line. */
  std::uint64_t mMembersEpoch = 0;
  /** Rises when a zone gains its first candidate or loses its last. */
  std::uint64_t mHomeZonesEpoch = 1;
  /** By position in ConfigurationState::mGroups. */
  std::vector<GroupRanking> mRankings;
  /** From when this VM may hold connections; max() until the list has shown
      it. */
  TimePoint mMayConnectFrom = TimePoint::max();
  /** When the next candidate's time is over, as far as a timer is set. */
  TimePoint mRefreshAt = TimePoint::max();
  std::unordered_map<VmId, AvoidedOwner> mAvoided;
  /** Rises with each change of mAvoided. */
  std::uint64_t mAvoidanceEpoch = 1;
  std::unordered_map<VmId, AwaitedOwner> mAwaited;
};

} // namespace wasabispread
