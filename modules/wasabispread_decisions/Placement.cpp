/*
 * Ranks each group's candidates by rendezvous hashing and chooses among them.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <cassert>
#include <map>

namespace wasabispread {

namespace {

/** How many of a group's best candidates are cached, so that one that leaves is
    replaced without ranking all candidates. */
constexpr std::size_t kMaxRankedVms = 6;
/** The interval of the checks whether a new candidate has settled. */
constexpr Duration kSettledCheckInterval = std::chrono::milliseconds(100);

/** The rendezvous weight of a VM for a group. */
std::uint64_t
RendezvousWeight(std::uint64_t aGroup, VmId aVm)
{
  Random mixer(aGroup ^ (aVm.Value() * 0xff51afd7ed558ccdULL));
  return mixer.Next();
}

bool
RanksHigher(const RankedVm& aLeft, const RankedVm& aRight)
{
  return aLeft.mWeight != aRight.mWeight ? aLeft.mWeight > aRight.mWeight
                                         : aLeft.mVm < aRight.mVm;
}

/** The index of the zone whose candidates own a group; the number of zones when
    no zone has candidates. */
std::uint32_t
FindHomeZone(const PlacementState& aPlacement, const TargetGroup& aGroup)
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
RankAll(const ZoneCandidates& aZone,
        std::uint64_t aGroup,
        GroupRanking& aRanking)
{
  std::vector<RankedVm>& best = aRanking.mBest;
  best.clear();
  for (const Candidate& candidate : aZone.mCandidates) {
    best.push_back(
      RankedVm{ RendezvousWeight(aGroup, candidate.mVm), candidate.mVm });
  }
  const std::size_t kept = std::min(kMaxRankedVms, best.size());
  std::partial_sort(best.begin(),
                    best.begin() + static_cast<std::ptrdiff_t>(kept),
                    best.end(),
                    RanksHigher);
  best.resize(kept);
  aRanking.mVersion = aZone.mVersion;
}

void
ApplyChange(std::uint64_t aGroup,
            const CandidateChange& aChange,
            std::vector<RankedVm>& aBest)
{
  const RankedVm ranked{ RendezvousWeight(aGroup, aChange.mVm), aChange.mVm };
  const auto position =
    std::lower_bound(aBest.begin(), aBest.end(), ranked, RanksHigher);
  if (!aChange.mIsAdded) {
    if (position != aBest.end() && position->mVm == aChange.mVm) {
      aBest.erase(position);
    }
    return;
  }
  // After the last cached candidate there may be others, not cached, that rank
  // higher than the added one.
  if (position != aBest.end()) {
    aBest.insert(position, ranked);
    aBest.resize(std::min(aBest.size(), kMaxRankedVms));
  }
}

/** Updates a ranking to the current version of its zone. */
void
UpdateRanking(const ZoneCandidates& aZone,
              std::uint64_t aGroup,
              std::size_t aWanted,
              GroupRanking& aRanking)
{
  const std::uint64_t missedChanges = aZone.mVersion - aRanking.mVersion;
  if (missedChanges > aZone.mChanges.size()) {
    RankAll(aZone, aGroup, aRanking);
    return;
  }
  const auto first =
    aZone.mChanges.end() - static_cast<std::ptrdiff_t>(missedChanges);
  for (auto change = first; change != aZone.mChanges.end(); ++change) {
    ApplyChange(aGroup, *change, aRanking.mBest);
  }
  aRanking.mVersion = aZone.mVersion;
  if (aRanking.mBest.size() < std::min(aWanted, aZone.mCandidates.size())) {
    RankAll(aZone, aGroup, aRanking);
  }
}

bool
IsLive(const MembershipState& aMembership, const ZoneName& aZone, VmId aVm)
{
  const auto live = aMembership.mLiveByZone.find(aZone);
  return live != aMembership.mLiveByZone.end() &&
         std::binary_search(live->second.begin(), live->second.end(), aVm);
}

/** Whether a candidate has been listed for long enough that all VMs know it. */
bool
IsSettled(const ZoneCandidates& aZone,
          VmId aVm,
          Duration aHoldDelay,
          TimePoint aNow)
{
  const auto found = std::lower_bound(
    aZone.mCandidates.begin(),
    aZone.mCandidates.end(),
    aVm,
    [](const Candidate& aLeft, VmId aRight) { return aLeft.mVm < aRight; });
  return found != aZone.mCandidates.end() && found->mVm == aVm &&
         found->mListedAt + aHoldDelay <= aNow;
}

/** Computes to which target owners of a group attempts can be sent, best
    first. */
void
UpdateUsable(VmState& aState, std::uint32_t aGroup, TimePoint aNow)
{
  PlacementState& placement = aState.mPlacement;
  GroupRanking& ranking = placement.mRankings[aGroup];
  const ZoneCandidates& zone = placement.mZones[ranking.mZone];
  const std::size_t owners = std::min<std::size_t>(
    { placement.mPolicy.mOwners,
      aState.mConfiguration.mGroups[aGroup].mConnectionCap,
      ranking.mBest.size() });
  std::vector<VmId> settled;
  std::vector<VmId> unsettled;
  std::vector<VmId> notLive;
  for (std::size_t rank = 0; rank < owners; ++rank) {
    const VmId vm = ranking.mBest[rank].mVm;
    const VmRecord* member = FindMember(aState.mMembership, vm);
    if (member == nullptr || placement.mAvoided.contains(vm)) {
      continue;
    }
    if (!IsLive(aState.mMembership, zone.mZone, vm)) {
      notLive.push_back(vm);
    } else {
      (IsSettled(zone, vm, placement.mHoldDelay, aNow) ? settled : unsettled)
        .push_back(vm);
    }
  }
  ranking.mUsableUntil =
    unsettled.empty() ? TimePoint::max() : aNow + kSettledCheckInterval;
  ranking.mUsable = settled.empty() ? std::move(unsettled) : std::move(settled);
  if (ranking.mUsable.empty()) {
    // The VM list or the probes may be wrong, so these owners are tried. The
    // result is not cached, because dead members are removed without a change
    // of the epoch.
    ranking.mUsable = std::move(notLive);
    ranking.mUsableUntil = aNow;
  }
  ranking.mUsableVersion = ranking.mVersion;
  ranking.mUsableEpoch = aState.mMembership.mEpoch;
  ranking.mUsableAvoidanceEpoch = placement.mAvoidanceEpoch;
}

/** Whether no attempt waits for a connection of this VM to a target. */
bool
HasEmptyQueue(const TargetOwnerState& aOwner, TargetId aTarget)
{
  const auto pool = aOwner.mPools.find(aTarget);
  return pool == aOwner.mPools.end() || pool->second.mWaiting == 0;
}

/** Whether this VM may send to a target at once on a connection of its own. */
bool
HasUnusedConnection(const TargetOwnerState& aOwner, TargetId aTarget)
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
  GroupRanking& ranking = placement.mRankings[aGroup];
  const TargetGroup& group = aState.mConfiguration.mGroups[aGroup];
  if (ranking.mHomeZonesEpoch != placement.mHomeZonesEpoch) {
    const std::uint32_t home = FindHomeZone(placement, group);
    const bool isNewHome =
      ranking.mHomeZonesEpoch == 0 || home != ranking.mZone;
    ranking.mHomeZonesEpoch = placement.mHomeZonesEpoch;
    ranking.mZone = home;
    if (home == placement.mZones.size()) {
      ranking.mBest.clear();
      ranking.mHomeZonesEpoch = 0;
      return ranking.mBest;
    }
    if (isNewHome) {
      RankAll(placement.mZones[home], group.mId, ranking);
    }
  }
  const ZoneCandidates& zone = placement.mZones[ranking.mZone];
  if (ranking.mVersion != zone.mVersion) {
    UpdateRanking(zone, group.mId, placement.mPolicy.mOwners, ranking);
  }
  return ranking.mBest;
}

const std::vector<VmId>&
UsableOwners(VmState& aState, std::uint32_t aGroup, TimePoint aNow)
{
  static const std::vector<VmId> kNone;
  if (RankedCandidates(aState, aGroup).empty()) {
    return kNone;
  }
  const GroupRanking& ranking = aState.mPlacement.mRankings[aGroup];
  const bool isCurrent =
    ranking.mUsableVersion == ranking.mVersion &&
    ranking.mUsableEpoch == aState.mMembership.mEpoch &&
    ranking.mUsableAvoidanceEpoch == aState.mPlacement.mAvoidanceEpoch &&
    aNow < ranking.mUsableUntil;
  if (!isCurrent) {
    UpdateUsable(aState, aGroup, aNow);
  }
  return ranking.mUsable;
}

std::optional<VmId>
ChooseOwner(VmState& aState,
            std::uint32_t aTargetPosition,
            std::uint64_t aSelector,
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
      HasUnusedConnection(aState.mTargetOwner, target)) {
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
  if (isOwner && HasEmptyQueue(aState.mTargetOwner, target)) {
    return self;
  }
  return usable[aSelector % usable.size()];
}

std::uint32_t
OwnConnectionShare(VmState& aState,
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
  ConnectionRank connectionRank;
  connectionRank.mRank = static_cast<std::size_t>(rank - ranked.begin());
  connectionRank.mRankedVms = ranked.size();
  connectionRank.mPosition =
    static_cast<std::size_t>(position - placement.mAllCandidates.begin());
  connectionRank.mVms = placement.mAllCandidates.size();
  return ConnectionShare(placement.mPolicy, aCap, connectionRank);
}

} // namespace wasabispread
