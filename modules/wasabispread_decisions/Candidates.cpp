/*
 * Maintains each zone's candidates.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

constexpr std::size_t kMaxChangesKept = 64;

/** The candidates of a zone, which is added when it is new. */
ZoneCandidates&
ZoneNamed(PlacementState& aPlacement, const ZoneName& aZone)
{
  const auto [found, isNew] = aPlacement.mZoneIndex.emplace(
    aZone, static_cast<std::uint32_t>(aPlacement.mZones.size()));
  if (isNew) {
    aPlacement.mZones.emplace_back().mZone = aZone;
  }
  return aPlacement.mZones[found->second];
}

std::vector<Candidate>::iterator
LowerBound(ZoneCandidates& aZone, VmId aVm)
{
  return std::lower_bound(
    aZone.mCandidates.begin(),
    aZone.mCandidates.end(),
    aVm,
    [](const Candidate& aLeft, VmId aRight) { return aLeft.mVm < aRight; });
}

void
RecordChange(ZoneCandidates& aZone, VmId aVm, bool aIsAdded)
{
  ++aZone.mVersion;
  aZone.mChanges.push_back(CandidateChange{ aVm, aIsAdded });
  if (aZone.mChanges.size() > kMaxChangesKept) {
    aZone.mChanges.erase(aZone.mChanges.begin());
  }
}

Candidate&
AddCandidate(PlacementState& aPlacement,
             const ZoneName& aZoneName,
             VmId aVm,
             TimePoint aNow)
{
  ZoneCandidates& zone = ZoneNamed(aPlacement, aZoneName);
  const auto position = LowerBound(zone, aVm);
  if (position != zone.mCandidates.end() && position->mVm == aVm) {
    return *position;
  }
  if (zone.mCandidates.empty()) {
    ++aPlacement.mHomeZonesEpoch;
  }
  Candidate added;
  added.mVm = aVm;
  added.mListedAt = aNow;
  RecordChange(zone, aVm, true);
  auto& allCandidates = aPlacement.mAllCandidates;
  allCandidates.insert(
    std::lower_bound(allCandidates.begin(), allCandidates.end(), aVm), aVm);
  return *zone.mCandidates.insert(position, added);
}

void
MarkAllUnlisted(VmState& aState)
{
  for (ZoneCandidates& zone : aState.mPlacement.mZones) {
    for (Candidate& candidate : zone.mCandidates) {
      candidate.mIsListed = candidate.mVm == aState.mSelf.mId;
    }
  }
}

/** The known condition of a candidate; a VM that is not a member is dead. */
MemberCondition
ConditionOf(const MembershipState& aMembership, VmId aVm)
{
  const auto health = aMembership.mHealth.find(aVm);
  return health == aMembership.mHealth.end() ? MemberCondition::kDead
                                             : health->second.mCondition;
}

void
ObserveLiveness(VmState& aState, TimePoint aNow)
{
  for (ZoneCandidates& zone : aState.mPlacement.mZones) {
    for (Candidate& candidate : zone.mCandidates) {
      const bool isSelf = candidate.mVm == aState.mSelf.mId;
      const MemberCondition condition =
        isSelf ? MemberCondition::kAlive
               : ConditionOf(aState.mMembership, candidate.mVm);
      candidate.mIsAlive = condition != MemberCondition::kDead;
      candidate.mIsLeaving = condition == MemberCondition::kLeaving;
      const bool isGone =
        !candidate.mIsListed || !candidate.mIsAlive || candidate.mIsLeaving;
      candidate.mGoneSince =
        !isGone ? TimePoint::max() : std::min(candidate.mGoneSince, aNow);
    }
  }
}

/** When other VMs may take a candidate's share; TimePoint::max() for never. */
TimePoint
ExpiryOf(const VmState& aState,
         const ZoneCandidates& aZone,
         const Candidate& aCandidate)
{
  if (aCandidate.mGoneSince == TimePoint::max()) {
    return TimePoint::max();
  }
  if (!aCandidate.mIsListed || aCandidate.mIsLeaving) {
    return aCandidate.mGoneSince + aState.mPlacement.mHoldDelay;
  }
  // A zone that cannot be reached may be partitioned while its VMs still run,
  // so the VMs of other zones do not expire.
  return aZone.mZone == aState.mSelf.mZone ? aCandidate.mGoneSince + kDeathDelay
                                           : TimePoint::max();
}

void
DropCandidate(PlacementState& aPlacement, ZoneCandidates& aZone, VmId aVm)
{
  aZone.mCandidates.erase(LowerBound(aZone, aVm));
  aPlacement.mExpiredCandidates.insert(aVm);
  RecordChange(aZone, aVm, false);
  if (aZone.mCandidates.empty()) {
    ++aPlacement.mHomeZonesEpoch;
  }
  auto& allCandidates = aPlacement.mAllCandidates;
  allCandidates.erase(
    std::lower_bound(allCandidates.begin(), allCandidates.end(), aVm));
}

} // namespace

void
StartCandidates(VmState& aState, TimePoint aNow)
{
  AddCandidate(aState.mPlacement, aState.mSelf.mZone, aState.mSelf.mId, aNow);
  aState.mPlacement.mMayConnectFrom = aNow + kUnlistedDelay;
}

void
ObserveMembers(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  PlacementState& placement = aState.mPlacement;
  const MembershipState& membership = aState.mMembership;
  placement.mMembersEpoch = membership.mEpoch;
  MarkAllUnlisted(aState);
  std::erase_if(placement.mExpiredCandidates, [&membership](VmId aVm) {
    const MemberCondition condition = ConditionOf(membership, aVm);
    return !membership.mMembers.contains(aVm) ||
           condition == MemberCondition::kAlive ||
           condition == MemberCondition::kSuspect;
  });
  for (const auto& [id, member] : membership.mMembers) {
    if (!placement.mExpiredCandidates.contains(id)) {
      AddCandidate(placement, member.mZone, id, aNow).mIsListed = true;
    }
  }
  if (membership.mHealth.at(aState.mSelf.mId).mIsListed) {
    placement.mMayConnectFrom =
      std::min(placement.mMayConnectFrom, aNow + placement.mHoldDelay);
  }
  ObserveLiveness(aState, aNow);
  RefreshCandidates(aState, aNow, aEffects);
}

void
RefreshCandidates(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  PlacementState& placement = aState.mPlacement;
  TimePoint next = TimePoint::max();
  for (ZoneCandidates& zone : placement.mZones) {
    std::vector<VmId> expired;
    for (const Candidate& candidate : zone.mCandidates) {
      const TimePoint expiry = ExpiryOf(aState, zone, candidate);
      if (expiry <= aNow) {
        expired.push_back(candidate.mVm);
      } else {
        next = std::min(next, expiry);
      }
    }
    for (const VmId vm : expired) {
      DropCandidate(placement, zone, vm);
    }
  }
  const bool isArmed =
    placement.mRefreshAt > aNow && placement.mRefreshAt <= next;
  if (next != TimePoint::max() && !isArmed) {
    placement.mRefreshAt = next;
    aState.mTimers.Arm(next, TimerKind::kRefreshCandidates);
  }
  ApplyShares(aState, aNow, aEffects);
}

void
ReleaseShares(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  aState.mPlacement.mMayConnectFrom = aNow + kUnlistedDelay;
  ApplyShares(aState, aNow, aEffects);
}

} // namespace wasabispread
