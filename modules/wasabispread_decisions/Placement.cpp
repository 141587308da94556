/*
 * Rendezvous order of each group's candidates, and the choice among them.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <cassert>
#include <map>

namespace wasabispread {

namespace {

/** How many of a group's best candidates are kept, so that one that leaves is
    replaced without ranking all of them. */
constexpr std::size_t kRankedKept = 6;
/** How often it is looked whether a new candidate has settled. */
constexpr Duration kSettledCheck = std::chrono::milliseconds(100);

/** The weight of a VM for a group. */
std::uint64_t
RendezvousWeight(std::uint64_t aGroup, VmId aVm)
{
  Random mixer(aGroup ^ (aVm.Value() * 0xff51afd7ed558ccdULL));
  return mixer.Next();
}

bool
ComesBefore(const RankedVm& aLeft, const RankedVm& aRight)
{
  return aLeft.mWeight != aRight.mWeight ? aLeft.mWeight > aRight.mWeight
                                         : aLeft.mVm < aRight.mVm;
}

/** The zone whose candidates a group takes; the number of zones when no zone
    has any. */
std::uint32_t
HomeOf(const PlacementState& aPlacement, const TargetGroup& aGroup)
{
  const auto own = aPlacement.mZoneIndex.find(aGroup.mZone);
  if (own != aPlacement.mZoneIndex.end() &&
      !aPlacement.mZones[own->second].mCandidates.empty()) {
    return own->second;
  }
  auto best = static_cast<std::uint32_t>(aPlacement.mZones.size());
  std::uint64_t bestWeight = 0;
  for (std::uint32_t zone = 0; zone < aPlacement.mZones.size(); ++zone) {
    const std::uint64_t weight =
      StableHash(aPlacement.mZones[zone].mZone.Value(), aGroup.mId);
    const bool isEmpty = aPlacement.mZones[zone].mCandidates.empty();
    if (!isEmpty && (best == aPlacement.mZones.size() || weight > bestWeight)) {
      best = zone;
      bestWeight = weight;
    }
  }
  return best;
}

void
RankAll(const ZoneCandidates& aZone, std::uint64_t aGroup, GroupRanking& aOrder)
{
  std::vector<RankedVm>& best = aOrder.mBest;
  best.clear();
  for (const Candidate& candidate : aZone.mCandidates) {
    best.push_back(
      RankedVm{ RendezvousWeight(aGroup, candidate.mVm), candidate.mVm });
  }
  const std::size_t kept = std::min(kRankedKept, best.size());
  std::partial_sort(best.begin(),
                    best.begin() + static_cast<std::ptrdiff_t>(kept),
                    best.end(),
                    ComesBefore);
  best.resize(kept);
  aOrder.mVersion = aZone.mVersion;
}

void
ApplyChange(std::uint64_t aGroup,
            const CandidateChange& aChange,
            std::vector<RankedVm>& aBest)
{
  const RankedVm ranked{ RendezvousWeight(aGroup, aChange.mVm), aChange.mVm };
  const auto place =
    std::lower_bound(aBest.begin(), aBest.end(), ranked, ComesBefore);
  if (!aChange.mIsAdded) {
    if (place != aBest.end() && place->mVm == aChange.mVm) {
      aBest.erase(place);
    }
    return;
  }
  // Behind the last one kept there may be others that come before it.
  if (place != aBest.end()) {
    aBest.insert(place, ranked);
    aBest.resize(std::min(aBest.size(), kRankedKept));
  }
}

/** Brings an order up to date with its zone. */
void
UpdateOrder(const ZoneCandidates& aZone,
            std::uint64_t aGroup,
            std::size_t aWanted,
            GroupRanking& aOrder)
{
  const std::uint64_t behind = aZone.mVersion - aOrder.mVersion;
  if (behind > aZone.mChanges.size()) {
    RankAll(aZone, aGroup, aOrder);
    return;
  }
  const auto first = aZone.mChanges.end() - static_cast<std::ptrdiff_t>(behind);
  for (auto change = first; change != aZone.mChanges.end(); ++change) {
    ApplyChange(aGroup, *change, aOrder.mBest);
  }
  aOrder.mVersion = aZone.mVersion;
  if (aOrder.mBest.size() < std::min(aWanted, aZone.mCandidates.size())) {
    RankAll(aZone, aGroup, aOrder);
  }
}

bool
IsLive(const MembershipState& aMembership, const ZoneName& aZone, VmId aVm)
{
  const auto live = aMembership.mLiveByZone.find(aZone);
  return live != aMembership.mLiveByZone.end() &&
         std::binary_search(live->second.begin(), live->second.end(), aVm);
}

/** Whether others have surely learned of a candidate by now. */
bool
IsSettled(const ZoneCandidates& aZone,
          VmId aVm,
          Duration aHoldDelay,
          TimePoint aNow)
{
  const auto place = std::lower_bound(
    aZone.mCandidates.begin(),
    aZone.mCandidates.end(),
    aVm,
    [](const Candidate& aLeft, VmId aRight) { return aLeft.mVm < aRight; });
  return place != aZone.mCandidates.end() && place->mVm == aVm &&
         place->mListedAt + aHoldDelay <= aNow;
}

/** Works out which owners of a group can be given work, best first. */
void
UpdateUsable(VmState& aState, std::uint32_t aGroup, TimePoint aNow)
{
  PlacementState& placement = aState.mPlacement;
  GroupRanking& order = placement.mRankings[aGroup];
  const ZoneCandidates& zone = placement.mZones[order.mZone];
  const std::size_t owners = std::min<std::size_t>(
    { placement.mPolicy.mOwners,
      aState.mConfiguration.mGroups[aGroup].mConnectionCap,
      order.mBest.size() });
  std::vector<VmId> settled;
  std::vector<VmId> unsettled;
  std::vector<VmId> doubted;
  for (std::size_t rank = 0; rank < owners; ++rank) {
    const VmId vm = order.mBest[rank].mVm;
    const VmRecord* member = FindMember(aState.mMembership, vm);
    if (member == nullptr || placement.mAvoided.contains(vm)) {
      continue;
    }
    if (!IsLive(aState.mMembership, zone.mZone, vm)) {
      doubted.push_back(vm);
    } else {
      (IsSettled(zone, vm, placement.mHoldDelay, aNow) ? settled : unsettled)
        .push_back(vm);
    }
  }
  order.mUsableUntil =
    unsettled.empty() ? TimePoint::max() : aNow + kSettledCheck;
  order.mUsable = settled.empty() ? std::move(unsettled) : std::move(settled);
  if (order.mUsable.empty()) {
    // The list or the probes may be wrong; a trial of its own tells. Not kept,
    // for members found dead are forgotten without a change of the epoch.
    order.mUsable = std::move(doubted);
    order.mUsableUntil = aNow;
  }
  order.mUsableVersion = order.mVersion;
  order.mUsableEpoch = aState.mMembership.mEpoch;
  order.mUsableAvoidanceEpoch = placement.mAvoidanceEpoch;
}

/** Whether this VM can send on its own connection to a target at once. */
bool
HasRoom(const TargetOwnerState& aOwner, TargetId aTarget)
{
  const auto pool = aOwner.mPools.find(aTarget);
  return pool == aOwner.mPools.end() || pool->second.mWaiting == 0;
}

/** Whether this VM has a connection of its own to spare. */
bool
CanSendNow(const TargetOwnerState& aOwner, TargetId aTarget)
{
  const auto pool = aOwner.mPools.find(aTarget);
  return pool == aOwner.mPools.end() ||
         (pool->second.mWaiting == 0 &&
          pool->second.mBusy < pool->second.mShare);
}

} // namespace

void
GroupTargets(ConfigurationState& aConfiguration)
{
  const Deployment& deployment = *aConfiguration.mDeployment;
  aConfiguration.mGroups.clear();
  aConfiguration.mGroupOfTarget.assign(deployment.mTargets.size(), 0);
  for (const Service& service : deployment.mServices) {
    std::map<ZoneName, std::uint32_t> targetsInZone;
    std::map<ZoneName, std::uint32_t> openGroup;
    for (const std::uint32_t position : service.mTargets) {
      const ZoneName& zone = deployment.mTargets[position].mZone;
      const std::uint32_t ordinal = targetsInZone[zone]++;
      if (ordinal % kTargetsPerGroup == 0) {
        const std::string name = service.mName + "/" + zone.Value() + "/" +
                                 std::to_string(ordinal / kTargetsPerGroup);
        openGroup[zone] =
          static_cast<std::uint32_t>(aConfiguration.mGroups.size());
        aConfiguration.mGroups.push_back(TargetGroup{
          StableHash(name), zone, service.mConnectionCap, service.mId });
      }
      aConfiguration.mGroupOfTarget[position] = openGroup[zone];
    }
  }
}

void
ResetRankings(VmState& aState)
{
  aState.mPlacement.mRankings.assign(aState.mConfiguration.mGroups.size(),
                                     GroupRanking{});
}

const std::vector<RankedVm>&
RankedCandidates(VmState& aState, std::uint32_t aGroup)
{
  PlacementState& placement = aState.mPlacement;
  assert(aGroup < placement.mRankings.size());
  GroupRanking& order = placement.mRankings[aGroup];
  const TargetGroup& group = aState.mConfiguration.mGroups[aGroup];
  if (order.mHomeZonesEpoch != placement.mHomeZonesEpoch) {
    const std::uint32_t home = HomeOf(placement, group);
    const bool isNewHome = order.mHomeZonesEpoch == 0 || home != order.mZone;
    order.mHomeZonesEpoch = placement.mHomeZonesEpoch;
    order.mZone = home;
    if (home == placement.mZones.size()) {
      order.mBest.clear();
      order.mHomeZonesEpoch = 0;
      return order.mBest;
    }
    if (isNewHome) {
      RankAll(placement.mZones[home], group.mId, order);
    }
  }
  const ZoneCandidates& zone = placement.mZones[order.mZone];
  if (order.mVersion != zone.mVersion) {
    UpdateOrder(zone, group.mId, placement.mPolicy.mOwners, order);
  }
  return order.mBest;
}

const std::vector<VmId>&
UsableOwners(VmState& aState, std::uint32_t aGroup, TimePoint aNow)
{
  static const std::vector<VmId> kNone;
  if (RankedCandidates(aState, aGroup).empty()) {
    return kNone;
  }
  const GroupRanking& order = aState.mPlacement.mRankings[aGroup];
  const bool isCurrent =
    order.mUsableVersion == order.mVersion &&
    order.mUsableEpoch == aState.mMembership.mEpoch &&
    order.mUsableAvoidanceEpoch == aState.mPlacement.mAvoidanceEpoch &&
    aNow < order.mUsableUntil;
  if (!isCurrent) {
    UpdateUsable(aState, aGroup, aNow);
  }
  return order.mUsable;
}

std::optional<VmId>
ChooseOwner(VmState& aState,
            std::uint32_t aTargetPosition,
            std::uint64_t aSpread,
            TimePoint aNow)
{
  const ConnectionPolicy& policy = aState.mPlacement.mPolicy;
  const VmId self = aState.mSelf.mId;
  const TargetId target =
    aState.mConfiguration.mDeployment->mTargets[aTargetPosition].mId;
  if (policy.mSharing == ConnectionSharing::kSplit) {
    return self;
  }
  if (policy.mSharing == ConnectionSharing::kBorrowing &&
      CanSendNow(aState.mTargetOwner, target)) {
    return self;
  }
  const std::uint32_t group =
    aState.mConfiguration.mGroupOfTarget[aTargetPosition];
  const std::vector<VmId>& usable = UsableOwners(aState, group, aNow);
  if (usable.empty()) {
    return std::nullopt;
  }
  const bool isOwner =
    std::find(usable.begin(), usable.end(), self) != usable.end();
  if (isOwner && HasRoom(aState.mTargetOwner, target)) {
    return self;
  }
  return usable[aSpread % usable.size()];
}

std::uint32_t
OwnShare(VmState& aState,
         std::uint32_t aGroup,
         std::uint32_t aCap,
         TimePoint aNow)
{
  PlacementState& placement = aState.mPlacement;
  if (aNow < placement.mMayConnectFrom) {
    return 0;
  }
  const VmId self = aState.mSelf.mId;
  const std::vector<RankedVm>& ranked = RankedCandidates(aState, aGroup);
  const auto rank =
    std::find_if(ranked.begin(), ranked.end(), [self](const RankedVm& aVm) {
      return aVm.mVm == self;
    });
  const auto position = std::lower_bound(
    placement.mAllCandidates.begin(), placement.mAllCandidates.end(), self);
  ConnectionRank standing;
  standing.mRank = static_cast<std::size_t>(rank - ranked.begin());
  standing.mRankedVms = ranked.size();
  standing.mPosition =
    static_cast<std::size_t>(position - placement.mAllCandidates.begin());
  standing.mVms = placement.mAllCandidates.size();
  return ConnectionShare(placement.mPolicy, aCap, standing);
}

} // namespace wasabispread
