/*
 * The table of members, and how updates and the VM list change it.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <bit>
#include <cassert>

namespace wasabispread {

namespace {

constexpr std::size_t kMaxPendingUpdates = 256;
constexpr std::size_t kMaxMembersPerReply = 256;
/** The mean interval at which all VMs that do not watch the store together read
    the VM list. */
constexpr Duration kListIntervalPerVm = std::chrono::milliseconds(200);
constexpr Duration kMinListInterval = std::chrono::seconds(2);
constexpr Duration kMaxListInterval = std::chrono::minutes(10);

bool
IsLive(MemberCondition aCondition)
{
  return aCondition == MemberCondition::kAlive ||
         aCondition == MemberCondition::kSuspect;
}

/** A member's part of mMembersHash. It leaves out suspicions, which may end
    before their updates have reached all VMs, and versions, which are not
    always propagated. */
std::uint64_t
HashMember(VmId aVm, const MemberHealth& aHealth)
{
  if (aHealth.mCondition == MemberCondition::kDead) {
    return 0;
  }
  const bool isLeaving = aHealth.mCondition == MemberCondition::kLeaving;
  Random mixer(aVm.Value() ^ (isLeaving ? 1U : 0U));
  return mixer.Next();
}

void
CountMember(MembershipState& aMembership,
            MemberCondition aCondition,
            bool aAdds)
{
  const std::uint32_t step = aAdds ? 1U : -1U;
  if (IsLive(aCondition)) {
    aMembership.mLiveCount += step;
  } else if (aCondition == MemberCondition::kLeaving) {
    aMembership.mLeavingCount += step;
  }
}

void
SetLive(MembershipState& aMembership, const VmRecord& aVm, bool aIsLive)
{
  std::vector<VmId>& vms = aMembership.mLiveByZone[aVm.mZone];
  const auto position = std::lower_bound(vms.begin(), vms.end(), aVm.mId);
  const bool isThere = position != vms.end() && *position == aVm.mId;
  if (aIsLive == isThere) {
    return;
  }
  if (aIsLive) {
    vms.insert(position, aVm.mId);
  } else {
    vms.erase(position);
  }
  if (vms.empty()) {
    aMembership.mLiveByZone.erase(aVm.mZone);
  }
  ++aMembership.mEpoch;
}

/** Sets a member's health and updates everything derived from it. */
void
SetHealth(MembershipState& aMembership, VmId aVm, MemberHealth aHealth)
{
  MemberHealth& health = aMembership.mHealth.at(aVm);
  aMembership.mMembersHash -= HashMember(aVm, health);
  CountMember(aMembership, health.mCondition, false);
  health = aHealth;
  aMembership.mMembersHash += HashMember(aVm, health);
  CountMember(aMembership, health.mCondition, true);
  VmRecord& member = aMembership.mMembers.at(aVm);
  member.mLeaving = health.mCondition == MemberCondition::kLeaving;
  SetLive(aMembership, member, IsLive(health.mCondition));
}

void
AddMember(MembershipState& aMembership,
          const VmRecord& aRecord,
          MemberHealth aHealth)
{
  aMembership.mMembers[aRecord.mId] = aRecord;
  MemberHealth none;
  none.mCondition = MemberCondition::kDead;
  aMembership.mHealth[aRecord.mId] = none;
  SetHealth(aMembership, aRecord.mId, aHealth);
}

void
RemoveMember(MembershipState& aMembership, VmId aVm)
{
  MemberHealth health = aMembership.mHealth.at(aVm);
  health.mCondition = MemberCondition::kDead;
  SetHealth(aMembership, aVm, health);
  aMembership.mHealth.erase(aVm);
  aMembership.mMembers.erase(aVm);
}

/** Gives a member the address and the zone of its newest start. */
void
MoveMember(MembershipState& aMembership, VmRecord aRecord)
{
  VmRecord& member = aMembership.mMembers.at(aRecord.mId);
  if (member.mZone != aRecord.mZone) {
    SetLive(aMembership, member, false);
  }
  member = std::move(aRecord);
}

VmRecord
RecordFrom(const MemberUpdate& aUpdate)
{
  VmRecord record;
  record.mId = aUpdate.mVm;
  record.mName = aUpdate.mName;
  record.mZone = aUpdate.mZone;
  record.mPeerAddress = aUpdate.mPeerAddress;
  record.mLeaving = aUpdate.mCondition == MemberCondition::kLeaving;
  return record;
}

/** Applies a newer update to a known member. */
void
UpdateMember(MembershipState& aMembership, const MemberUpdate& aUpdate)
{
  MemberHealth health = aMembership.mHealth.at(aUpdate.mVm);
  health.mCondition = aUpdate.mCondition;
  if (aUpdate.mVersion > health.mVersion) {
    health.mVersion = aUpdate.mVersion;
    MoveMember(aMembership, RecordFrom(aUpdate));
  }
  SetHealth(aMembership, aUpdate.mVm, health);
}

/** Whether an update is worth propagating. The first version of a VM that the
    VM list contains with the same address, zone and condition is not: the VMs
    that probe it learn the version from it, and other VMs do not need it. */
bool
ShouldPropagate(const MembershipState& aMembership, const MemberUpdate& aUpdate)
{
  const MemberHealth& health = aMembership.mHealth.at(aUpdate.mVm);
  const VmRecord& record = aMembership.mMembers.at(aUpdate.mVm);
  const bool isFirstVersion = health.mVersion == MemberVersion{} &&
                              health.mCondition == aUpdate.mCondition;
  const bool isSameLocation = record.mPeerAddress == aUpdate.mPeerAddress &&
                              record.mZone == aUpdate.mZone;
  return !isFirstVersion || !isSameLocation;
}

/** How often each VM sends an update: once to each VM that it probes or that
    probes it, and some times more, so that the update reaches all VMs with high
    probability. */
std::uint32_t
TransmissionCount(std::size_t aMembers)
{
  constexpr std::uint32_t kMinSends = 12;
  return kMinSends + static_cast<std::uint32_t>(std::bit_width(aMembers));
}

void
QueueUpdate(MembershipState& aMembership, VmId aVm)
{
  auto& pending = aMembership.mUpdates;
  std::erase_if(pending,
                [aVm](const PendingUpdate& aItem) { return aItem.mVm == aVm; });
  if (pending.size() >= kMaxPendingUpdates) {
    pending.pop_back();
  }
  const std::uint32_t sends = TransmissionCount(aMembership.mMembers.size());
  pending.push_back(PendingUpdate{ aVm, sends });
}

bool
Supersedes(const MemberUpdate& aUpdate, const MemberHealth& aHealth)
{
  return std::pair(aUpdate.mVersion, aUpdate.mCondition) >
         std::pair(aHealth.mVersion, aHealth.mCondition);
}

/** Handles an update about this VM. This VM is alive, or leaving if it is
    stopping or if the platform says so of its current version. Any other newer
    condition is refuted by a higher version. */
void
HandleUpdateOfSelf(VmState& aState, const MemberUpdate& aUpdate)
{
  MembershipState& membership = aState.mMembership;
  MemberHealth own = membership.mHealth.at(aState.mSelf.mId);
  if (!Supersedes(aUpdate, own)) {
    return;
  }
  const bool isStatedLeaving =
    aUpdate.mCondition == MemberCondition::kLeaving &&
    aUpdate.mVersion == own.mVersion;
  if (isStatedLeaving) {
    own.mCondition = MemberCondition::kLeaving;
  } else {
    own.mVersion = MemberVersion(aUpdate.mVersion.Value() + 1);
  }
  SetHealth(membership, aState.mSelf.mId, own);
  QueueUpdate(membership, aState.mSelf.mId);
}

/** Applies one VM of the VM list. */
void
ApplyListed(VmState& aState, const VmRecord& aListed)
{
  MembershipState& membership = aState.mMembership;
  const auto found = membership.mHealth.find(aListed.mId);
  if (found == membership.mHealth.end()) {
    MemberHealth health;
    health.mCondition =
      aListed.mLeaving ? MemberCondition::kLeaving : MemberCondition::kAlive;
    health.mIsListed = true;
    health.mIsListedLeaving = aListed.mLeaving;
    AddMember(membership, aListed, health);
    if (membership.mIsVmListRead) {
      QueueUpdate(membership, aListed.mId);
    }
    return;
  }
  MemberHealth health = found->second;
  const bool startsLeaving = aListed.mLeaving && !health.mIsListedLeaving;
  health.mIsListed = true;
  health.mIsListedLeaving = aListed.mLeaving;
  if (startsLeaving && health.mCondition < MemberCondition::kLeaving) {
    health.mCondition = MemberCondition::kLeaving;
    QueueUpdate(membership, aListed.mId);
  }
  SetHealth(membership, aListed.mId, health);
}

/** Marks members dead that the VM list contained before and no longer does, and
    removes dead members that are not listed. */
void
ApplyRemovals(VmState& aState, const std::vector<VmRecord>& aList)
{
  MembershipState& membership = aState.mMembership;
  std::vector<VmId> listed;
  listed.reserve(aList.size());
  for (const VmRecord& vm : aList) {
    listed.push_back(vm.mId);
  }
  std::sort(listed.begin(), listed.end());
  std::vector<VmId> delisted;
  std::vector<VmId> unlistedDead;
  for (const auto& [id, health] : membership.mHealth) {
    const bool isListed = std::binary_search(listed.begin(), listed.end(), id);
    if (isListed || id == aState.mSelf.mId) {
      continue;
    }
    if (health.mIsListed) {
      delisted.push_back(id);
    } else if (health.mCondition == MemberCondition::kDead) {
      unlistedDead.push_back(id);
    }
  }
  for (const VmId vm : unlistedDead) {
    RemoveMember(membership, vm);
  }
  for (const VmId vm : delisted) {
    MemberHealth health = membership.mHealth.at(vm);
    health.mIsListed = false;
    health.mCondition = MemberCondition::kDead;
    SetHealth(membership, vm, health);
    QueueUpdate(membership, vm);
  }
}

/** How long to wait before the next read of the VM list. VMs that do not watch
    the store read it less often the more members there are. */
Duration
ListInterval(VmState& aState)
{
  if (IsStoreWatcher(aState)) {
    return kMinListInterval;
  }
  const auto members =
    static_cast<std::int64_t>(aState.mMembership.mMembers.size());
  const Duration whole = std::clamp(
    kListIntervalPerVm * members, kMinListInterval, kMaxListInterval);
  const auto half = static_cast<std::uint64_t>(whole.count()) / 2;
  return whole / 2 +
         Duration(static_cast<std::int64_t>(aState.mRandom.Below(half + 1)) *
                  2);
}

} // namespace

std::string_view
ToText(MemberCondition aCondition)
{
  switch (aCondition) {
    case MemberCondition::kAlive:
      return "live";
    case MemberCondition::kSuspect:
      return "suspect";
    case MemberCondition::kLeaving:
      return "leaving";
    case MemberCondition::kDead:
      return "dead";
  }
  return "";
}

void
StartMembership(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  MembershipState& membership = aState.mMembership;
  membership.mViewLastMatched = aNow;
  membership.mLastAnswer = aNow;
  QueueUpdate(membership, aState.mSelf.mId);
  for (const VmRecord& seed : membership.mSeeds) {
    SendProbe(aState, seed.mId, seed.mPeerAddress, aNow, aEffects);
    SendToVm(aState, seed.mId, seed.mPeerAddress, MembersRequest{}, aEffects);
  }
  const auto spread =
    static_cast<std::uint64_t>(membership.mStartSpread.count());
  const auto delay =
    Duration(static_cast<std::int64_t>(aState.mRandom.Below(spread + 1)));
  aState.mTimers.Arm(aNow + delay, TimerKind::kReadVmList);
  StartProbing(aState, aNow);
}

void
RequestVmList(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  if (const auto later = TakeCall(aState.mPlatformBudget, aNow)) {
    aState.mTimers.Arm(*later, TimerKind::kReadVmList);
    return;
  }
  ++aState.mCounters.mPlatformCalls;
  aEffects.push_back(ReadVmList{});
}

void
HandleVmListReceived(VmState& aState,
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
  membership.mKnowsOtherVms = true;
  const std::uint64_t epoch = membership.mEpoch;
  ApplyRemovals(aState, *aEvent.mResult);
  for (const VmRecord& vm : *aEvent.mResult) {
    ApplyListed(aState, vm);
  }
  membership.mIsVmListRead = true;
  HandleMembershipChange(aState, epoch, aNow, aEffects);
  aState.mTimers.Arm(aNow + ListInterval(aState), TimerKind::kReadVmList);
}

void
ApplyUpdate(VmState& aState, const MemberUpdate& aUpdate, Propagate aPropagate)
{
  MembershipState& membership = aState.mMembership;
  if (aUpdate.mVm == aState.mSelf.mId) {
    HandleUpdateOfSelf(aState, aUpdate);
    return;
  }
  const auto found = membership.mHealth.find(aUpdate.mVm);
  const bool isKnown = found != membership.mHealth.end();
  const bool isNewer = isKnown ? Supersedes(aUpdate, found->second)
                               : aUpdate.mCondition != MemberCondition::kDead;
  if (!isNewer) {
    return;
  }
  const bool shouldPropagate = !isKnown || ShouldPropagate(membership, aUpdate);
  if (isKnown) {
    UpdateMember(membership, aUpdate);
  } else {
    MemberHealth health;
    health.mVersion = aUpdate.mVersion;
    health.mCondition = aUpdate.mCondition;
    AddMember(membership, RecordFrom(aUpdate), health);
  }
  if (shouldPropagate && aPropagate == Propagate::kYes) {
    QueueUpdate(membership, aUpdate.mVm);
  }
}

MemberUpdate
UpdateFor(const MembershipState& aMembership, VmId aVm)
{
  const VmRecord& record = aMembership.mMembers.at(aVm);
  const MemberHealth& health = aMembership.mHealth.at(aVm);
  MemberUpdate update;
  update.mVm = aVm;
  update.mVersion = health.mVersion;
  update.mCondition = health.mCondition;
  update.mName = record.mName;
  update.mZone = record.mZone;
  update.mPeerAddress = record.mPeerAddress;
  return update;
}

std::vector<MemberUpdate>
TakeUpdates(MembershipState& aMembership, VmId aReceiver)
{
  std::vector<MemberUpdate> updates;
  const auto receiver = aMembership.mHealth.find(aReceiver);
  const bool isNotAlive =
    receiver != aMembership.mHealth.end() &&
    receiver->second.mCondition != MemberCondition::kAlive;
  if (isNotAlive) {
    updates.push_back(UpdateFor(aMembership, aReceiver));
  }
  auto& pending = aMembership.mUpdates;
  std::erase_if(pending, [&aMembership](const PendingUpdate& aItem) {
    return !aMembership.mMembers.contains(aItem.mVm);
  });
  const std::size_t count =
    std::min(pending.size(), kMaxUpdatesPerProbe - updates.size());
  // The updates that were sent least often go first.
  std::partial_sort(
    pending.begin(),
    pending.begin() + static_cast<std::ptrdiff_t>(count),
    pending.end(),
    [](const PendingUpdate& aLeft, const PendingUpdate& aRight) {
      return aLeft.mSendsLeft > aRight.mSendsLeft;
    });
  for (std::size_t index = 0; index < count; ++index) {
    updates.push_back(UpdateFor(aMembership, pending[index].mVm));
    --pending[index].mSendsLeft;
  }
  std::erase_if(
    pending, [](const PendingUpdate& aItem) { return aItem.mSendsLeft == 0; });
  return updates;
}

void
HandleMembersRequest(VmState& aState,
                     VmId aPeer,
                     const Endpoint& aAddress,
                     Effects& aEffects)
{
  MembersReply reply;
  for (const auto& [id, member] : aState.mMembership.mMembers) {
    reply.mMembers.push_back(UpdateFor(aState.mMembership, id));
    if (reply.mMembers.size() == kMaxMembersPerReply) {
      SendToVm(aState, aPeer, aAddress, std::move(reply), aEffects);
      reply = MembersReply{};
    }
  }
  SendToVm(aState, aPeer, aAddress, std::move(reply), aEffects);
}

void
HandleMembersReply(VmState& aState,
                   const MembersReply& aReply,
                   TimePoint aNow,
                   Effects& aEffects)
{
  const std::uint64_t epoch = aState.mMembership.mEpoch;
  aState.mMembership.mKnowsOtherVms = true;
  for (const MemberUpdate& update : aReply.mMembers) {
    ApplyUpdate(aState, update, Propagate::kNo);
  }
  HandleMembershipChange(aState, epoch, aNow, aEffects);
}

void
HandleMembershipChange(VmState& aState,
                       std::uint64_t aEpochBefore,
                       TimePoint aNow,
                       Effects& aEffects)
{
  MembershipState& membership = aState.mMembership;
  assert(membership.mMembers.size() == membership.mHealth.size());
  if (membership.mEpoch != aEpochBefore) {
    aEffects.push_back(LogDecision{
      MembershipChanged{ membership.mLiveCount, membership.mLeavingCount } });
  }
  UpdateStoreWatch(aState, aNow, aEffects);
}

const VmRecord*
FindMember(const MembershipState& aMembership, VmId aVm)
{
  const auto found = aMembership.mMembers.find(aVm);
  return found == aMembership.mMembers.end() ? nullptr : &found->second;
}

} // namespace wasabispread
