/*
 * Chooses the VM of the zone that holds quota for all VMs there.
 */
#include "../wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <tuple>

namespace wasabispread::forwarding {

namespace {

/** VMs of a zone per VM that holds quota for them. */
constexpr std::size_t kVmsPerHolder = 12;
/** Minimum number of VMs in a zone that share a holder: with fewer, each holds
    quota itself. */
constexpr std::size_t kMinVms = 4;
constexpr std::uint64_t kHolderSalt = 0x686f6c6465;

bool
IsAvoided(const ForwarderState& aState, const std::string& aVm, TimePoint aNow)
{
  const auto& avoided = aState.mQuota.mAvoidUntil;
  if (avoided.empty()) {
    return false;
  }
  const auto found = avoided.find(IdFromName<VmId>(aVm));
  return found != avoided.end() && aNow < found->second;
}

/** The VM of this zone that holds the partition's quota for the others; null
    when the zone has too few VMs. */
const Member*
HolderInZone(const ForwarderState& aState,
             std::uint32_t aPartition,
             TimePoint aNow)
{
  std::vector<const Member*> members;
  for (const auto& [name, member] : aState.mMembership.mMembers) {
    if (member.mLeftAt == TimePoint::max() &&
        member.mRecord.mZone == aState.mPolicy.mZone &&
        !IsAvoided(aState, name, aNow)) {
      members.push_back(&member);
    }
  }
  if (members.size() < kMinVms) {
    return nullptr;
  }
  const auto rank = [](const Member* aMember) {
    return std::tuple(-aMember->mRecord.mProcessorShare,
                      StableHash(aMember->mRecord.mName, kHolderSalt));
  };
  const auto holders = static_cast<std::ptrdiff_t>(
    std::max<std::size_t>(1, members.size() / kVmsPerHolder));
  std::partial_sort(members.begin(),
                    members.begin() + holders,
                    members.end(),
                    [&](const Member* aLeft, const Member* aRight) {
                      return rank(aLeft) < rank(aRight);
                    });
  return *std::min_element(
    members.begin(),
    members.begin() + holders,
    [&](const Member* aLeft, const Member* aRight) {
      return StableHash(aLeft->mRecord.mName, aPartition) <
             StableHash(aRight->mRecord.mName, aPartition);
    });
}

} // namespace

const KnownClaim*
ClaimFor(const ForwarderState& aState, OrganisationId aOrganisation)
{
  const auto& claim =
    aState.mQuota.mClaims.mPartitions[PartitionOf(aOrganisation)].mClaim;
  return claim ? &*claim : nullptr;
}

QuotaPath
PathForPeers(const ForwarderState& aState,
             OrganisationId aOrganisation,
             TimePoint aNow)
{
  const KnownClaim* claim = ClaimFor(aState, aOrganisation);
  if (claim == nullptr) {
    return {};
  }
  if (claim->mVm == aState.mPolicy.mName) {
    return { QuotaPath::Kind::kSelf, claim->mVm, claim->mAddress };
  }
  if (IsAvoided(aState, claim->mVm, aNow)) {
    return {};
  }
  return { QuotaPath::Kind::kGranter, claim->mVm, claim->mAddress };
}

QuotaPath
PathForRequests(const ForwarderState& aState,
                OrganisationId aOrganisation,
                TimePoint aNow)
{
  QuotaPath direct = PathForPeers(aState, aOrganisation, aNow);
  if (direct.mKind == QuotaPath::Kind::kSelf) {
    return direct;
  }
  if (direct.mKind == QuotaPath::Kind::kGranter &&
      IsInOwnZone(aState, direct.mVm)) {
    return { QuotaPath::Kind::kZone, direct.mVm, direct.mAddress };
  }
  const Member* holder = HolderInZone(aState, PartitionOf(aOrganisation), aNow);
  if (holder == nullptr || holder->mRecord.mName == aState.mPolicy.mName) {
    return direct;
  }
  // The holder may have quota even while nobody reaches the granting VM.
  return { QuotaPath::Kind::kZone,
           holder->mRecord.mName,
           holder->mRecord.mAddress };
}

} // namespace wasabispread::forwarding
