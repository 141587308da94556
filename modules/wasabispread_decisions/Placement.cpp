/*
 * Rendezvous hashing over live VMs, and the division of connection caps.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <map>

namespace wasabispread {

namespace {

/** The weight of a VM for a group. */
std::uint64_t
RendezvousWeight(std::uint64_t aGroup, VmId aVm)
{
  Random mixer(aGroup ^ (aVm.Value() * 0xff51afd7ed558ccdULL));
  return mixer.Next();
}

/** The live VMs of the group's zone, or of the best other zone. */
const std::vector<VmId>*
CandidatesFor(const MembershipState& aMembership, const OwnerGroup& aGroup)
{
  const auto own = aMembership.mLiveByZone.find(aGroup.mZone);
  if (own != aMembership.mLiveByZone.end() && !own->second.empty()) {
    return &own->second;
  }
  const std::vector<VmId>* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const auto& [zone, vms] : aMembership.mLiveByZone) {
    const std::uint64_t weight = StableHash(zone.Value(), aGroup.mId);
    if (!vms.empty() && (best == nullptr || weight > bestWeight)) {
      best = &vms;
      bestWeight = weight;
    }
  }
  return best;
}

std::vector<VmId>
RankByWeight(std::vector<VmId> aVms, std::uint64_t aGroup)
{
  const std::size_t wanted = std::min(kOwnersPerGroup, aVms.size());
  const auto heavier = [aGroup](VmId aLeft, VmId aRight) {
    return RendezvousWeight(aGroup, aLeft) > RendezvousWeight(aGroup, aRight);
  };
  const auto middle = aVms.begin() + static_cast<std::ptrdiff_t>(wanted);
  std::partial_sort(aVms.begin(), middle, aVms.end(), heavier);
  aVms.resize(wanted);
  return aVms;
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
        aConfiguration.mGroups.push_back(OwnerGroup{ StableHash(name), zone });
      }
      aConfiguration.mGroupOfTarget[position] = openGroup[zone];
    }
  }
}

const std::vector<VmId>&
OwnersOf(MembershipState& aMembership, const OwnerGroup& aGroup)
{
  RankedOwners& owners = aMembership.mOwners[aGroup.mId];
  if (owners.mEpoch != aMembership.mEpoch) {
    const std::vector<VmId>* candidates = CandidatesFor(aMembership, aGroup);
    owners.mEpoch = aMembership.mEpoch;
    owners.mVms = candidates == nullptr ? std::vector<VmId>{}
                                        : RankByWeight(*candidates, aGroup.mId);
  }
  return owners.mVms;
}

std::uint32_t
ConnectionShare(std::uint32_t aCap, std::size_t aRank)
{
  constexpr std::uint32_t kFirstSharePercent = 60;
  constexpr std::uint32_t kSecondSharePercent = 30;
  constexpr std::uint32_t kPercent = 100;
  if (aRank == 0) {
    return std::max(1U, aCap * kFirstSharePercent / kPercent);
  }
  if (aRank == 1) {
    return aCap * kSecondSharePercent / kPercent;
  }
  return 0;
}

std::size_t
RankOf(MembershipState& aMembership, const OwnerGroup& aGroup, VmId aVm)
{
  const std::vector<VmId>& owners = OwnersOf(aMembership, aGroup);
  const auto place = std::find(owners.begin(), owners.end(), aVm);
  return place == owners.end()
           ? kOwnersPerGroup
           : static_cast<std::size_t>(place - owners.begin());
}

} // namespace wasabispread
