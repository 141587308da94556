/*
 * Membership from the platform's VM list.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

constexpr Duration kListInterval = std::chrono::seconds(2);

std::unordered_map<ZoneName, std::vector<VmId>>
LiveByZone(const MembershipState& aMembership)
{
  std::unordered_map<ZoneName, std::vector<VmId>> live;
  for (const auto& [id, member] : aMembership.mMembers) {
    if (!member.mLeaving) {
      live[member.mZone].push_back(id);
    }
  }
  for (auto& [zone, vms] : live) {
    std::sort(vms.begin(), vms.end());
  }
  return live;
}

void
AdoptMembers(NodeState& aState, Effects& aEffects)
{
  MembershipState& membership = aState.mMembership;
  auto live = LiveByZone(membership);
  if (live == membership.mLiveByZone) {
    return;
  }
  membership.mLiveByZone = std::move(live);
  ++membership.mEpoch;
  MembershipChanged record;
  for (const auto& [id, member] : membership.mMembers) {
    (member.mLeaving ? record.mLeaving : record.mLive) += 1;
  }
  aEffects.push_back(LogDecision{ record });
}

} // namespace

void
StartMembership(NodeState& aState, Effects& aEffects)
{
  ++aState.mCounters.mPlatformCalls;
  aEffects.push_back(ReadVmList{});
}

void
HandleVmListReceived(NodeState& aState,
                     const VmListReceived& aEvent,
                     TimePoint aNow,
                     Effects& aEffects)
{
  MembershipState& membership = aState.mMembership;
  if (!aEvent.mResult) {
    ++aState.mCounters.mPlatformFailures;
    ++membership.mFailures;
    const Duration delay = RetryDelay(membership.mFailures, aState.mRandom);
    aState.mTimers.Arm(aNow + delay, TimerKind::kReadVmList);
    return;
  }
  membership.mFailures = 0;
  const auto self = membership.mMembers.extract(aState.mSelf.mId);
  membership.mMembers.clear();
  for (const VmRecord& vm : *aEvent.mResult) {
    membership.mMembers[vm.mId] = vm;
  }
  // A list that lags may lack this VM or still show an earlier address.
  VmRecord own = self.mapped();
  own.mLeaving = own.mLeaving || aState.mStopping;
  membership.mMembers[own.mId] = std::move(own);
  AdoptMembers(aState, aEffects);
  aState.mTimers.Arm(aNow + kListInterval, TimerKind::kReadVmList);
}

const VmRecord*
FindMember(const MembershipState& aMembership, VmId aVm)
{
  const auto place = aMembership.mMembers.find(aVm);
  return place == aMembership.mMembers.end() ? nullptr : &place->second;
}

} // namespace wasabispread
