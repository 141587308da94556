/*
 * Failure detection: probes, suspicion, and refutation.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <optional>

namespace wasabispread {

namespace {

constexpr Duration kRoundInterval = std::chrono::seconds(1);
constexpr Duration kRoundJitter = std::chrono::milliseconds(100);
constexpr std::size_t kNeighbourCount = 3;
/** Probes in a row without an answer after which a neighbour is suspected. */
constexpr std::uint32_t kMissesToSuspect = 2;
/** Probes in a row without an answer after which a zone is unreachable. */
constexpr std::uint32_t kMissesForUnreachableZone = 3;
/** How long a suspect VM has to refute the suspicion before it is marked
    dead. */
constexpr Duration kSuspicionWait = std::chrono::seconds(4);
/** After this long without any answer, this VM is itself isolated or was
    paused, and it changes no other VM's condition. */
constexpr Duration kIsolationSilence = std::chrono::seconds(3);
/** One round in this many, on average, also probes a VM marked dead. */
constexpr std::uint64_t kRoundsPerDeadProbe = 8;
/** The time in which the announcement of a stop reaches nearly all VMs. */
constexpr Duration kAnnouncementTime = std::chrono::seconds(2);
/** How long the views of the membership must differ before all members are
    requested. */
constexpr Duration kViewDifferenceWait = std::chrono::seconds(15);
/** The minimum time between two requests for all members. */
constexpr Duration kMembersRequestInterval = std::chrono::minutes(1);

/** A VM's position on one of several hash rings. */
std::uint64_t
RingPosition(VmId aVm, std::uint64_t aRing)
{
  Random mixer(aVm.Value() ^ (aRing * 0x9e3779b97f4a7c15ULL));
  return mixer.Next();
}

/** The next VM after aVm on a ring, or none when aVms has no other VM. */
std::optional<VmId>
SuccessorOf(const std::vector<VmId>& aVms, VmId aVm, std::uint64_t aRing)
{
  const std::uint64_t position = RingPosition(aVm, aRing);
  std::optional<VmId> best;
  std::uint64_t bestDistance = 0;
  for (const VmId vm : aVms) {
    const std::uint64_t distance = RingPosition(vm, aRing) - position;
    if (vm != aVm && (!best || distance < bestDistance)) {
      best = vm;
      bestDistance = distance;
    }
  }
  return best;
}

/** Chooses the neighbours again after a change of the membership. Neighbours
    that stay keep their counts. */
void
UpdateNeighbours(VmState& aState)
{
  MembershipState& membership = aState.mMembership;
  if (membership.mNeighboursEpoch == membership.mEpoch) {
    return;
  }
  membership.mNeighboursEpoch = membership.mEpoch;
  std::vector<ProbedNeighbour> neighbours;
  const auto zone = membership.mLiveByZone.find(aState.mSelf.mZone);
  const std::vector<VmId> nobody;
  const std::vector<VmId>& vms =
    zone == membership.mLiveByZone.end() ? nobody : zone->second;
  const std::size_t wanted = std::min(kNeighbourCount, vms.size());
  constexpr std::uint64_t kMaxRings = 8;
  for (std::uint64_t ring = 0; ring < kMaxRings; ++ring) {
    const auto vm = SuccessorOf(vms, aState.mSelf.mId, ring);
    const auto isSame = [vm](const ProbedNeighbour& aNeighbour) {
      return aNeighbour.mVm == *vm;
    };
    if (!vm || neighbours.size() == wanted ||
        std::any_of(neighbours.begin(), neighbours.end(), isSame)) {
      continue;
    }
    auto& old = membership.mNeighbours;
    const auto kept = std::find_if(old.begin(), old.end(), isSame);
    neighbours.push_back(kept == old.end() ? ProbedNeighbour{ *vm, 0, 0 }
                                           : *kept);
  }
  membership.mNeighbours = std::move(neighbours);
  membership.mOtherZones.clear();
  for (const auto& [name, members] : membership.mLiveByZone) {
    if (name != aState.mSelf.mZone) {
      membership.mOtherZones.push_back(name);
    }
  }
  std::sort(membership.mOtherZones.begin(), membership.mOtherZones.end());
}

/** Whether this VM gets no answers at all, and thus cannot tell whether others
    have failed. */
bool
IsIsolated(const MembershipState& aMembership, TimePoint aNow)
{
  return aNow - aMembership.mLastAnswer > kIsolationSilence;
}

/** Sets a member's condition, propagates and logs it. */
void
SetCondition(VmState& aState,
             VmId aVm,
             MemberCondition aCondition,
             TimePoint aNow,
             Effects& aEffects)
{
  MemberUpdate update = UpdateFor(aState.mMembership, aVm);
  update.mCondition = aCondition;
  const std::uint64_t epoch = aState.mMembership.mEpoch;
  ApplyUpdate(aState, update, Propagate::kYes);
  aEffects.push_back(LogDecision{ MemberConditionChanged{ aVm, aCondition } });
  HandleMembershipChange(aState, epoch, aNow, aEffects);
}

/** Counts a missed probe, and suspects the neighbour after too many in a
    row. */
void
HandleMissedProbe(VmState& aState,
                  ProbedNeighbour& aNeighbour,
                  TimePoint aNow,
                  Effects& aEffects)
{
  aNeighbour.mOutstandingProbe = 0;
  ++aNeighbour.mMissedProbes;
  MembershipState& membership = aState.mMembership;
  const bool isSuspicious = aNeighbour.mMissedProbes >= kMissesToSuspect &&
                            !IsIsolated(membership, aNow);
  const auto found = membership.mHealth.find(aNeighbour.mVm);
  const bool isAlive = found != membership.mHealth.end() &&
                       found->second.mCondition <= MemberCondition::kSuspect;
  if (!isSuspicious || !isAlive) {
    return;
  }
  const VmId vm = aNeighbour.mVm;
  const bool isNew = found->second.mCondition == MemberCondition::kAlive;
  const auto suspicion = membership.mSuspicions.find(vm);
  const bool isWaiting = suspicion != membership.mSuspicions.end() &&
                         suspicion->second.mVersion == found->second.mVersion;
  if (isWaiting) {
    return;
  }
  const TimePoint due = aNow + kSuspicionWait;
  membership.mSuspicions[vm] = Suspicion{ found->second.mVersion, due };
  aState.mTimers.Arm(due, TimerKind::kSuspicionTimeout, vm.Value());
  if (isNew) {
    ++aState.mCounters.mSuspicions;
    SetCondition(aState, vm, MemberCondition::kSuspect, aNow, aEffects);
  }
}

void
ProbeNeighbours(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  // A new suspicion changes the membership, but the list of neighbours is only
  // updated in the next round, so that the loop can go on.
  std::vector<ProbedNeighbour>& neighbours = aState.mMembership.mNeighbours;
  for (std::size_t index = 0; index < neighbours.size(); ++index) {
    if (neighbours[index].mOutstandingProbe != 0) {
      HandleMissedProbe(aState, neighbours[index], aNow, aEffects);
    }
    const VmId vm = neighbours[index].mVm;
    const VmRecord* member = FindMember(aState.mMembership, vm);
    if (member != nullptr) {
      neighbours[index].mOutstandingProbe = aState.mMembership.mNextSequence;
      SendProbe(aState, vm, member->mPeerAddress, aNow, aEffects);
    }
  }
}

/** Probes one VM of the next other zone. It is the same VM of that zone as long
    as it answers, and another one after each missed probe. */
void
ProbeOtherZone(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  MembershipState& membership = aState.mMembership;
  if (membership.mOtherZones.empty()) {
    return;
  }
  membership.mNextZone =
    (membership.mNextZone + 1) % membership.mOtherZones.size();
  const ZoneName& zone = membership.mOtherZones[membership.mNextZone];
  ZoneReachability& reachability = membership.mZoneReachability[zone];
  if (reachability.mOutstandingProbe != 0) {
    ++reachability.mMissedProbes;
  }
  const auto vms = membership.mLiveByZone.find(zone);
  if (vms == membership.mLiveByZone.end()) {
    return;
  }
  const auto vm = SuccessorOf(vms->second,
                              aState.mSelf.mId,
                              kNeighbourCount + reachability.mMissedProbes);
  const VmRecord* member = vm ? FindMember(membership, *vm) : nullptr;
  if (member != nullptr) {
    reachability.mOutstandingProbe = membership.mNextSequence;
    reachability.mProbed = *vm;
    SendProbe(aState, *vm, member->mPeerAddress, aNow, aEffects);
  }
}

/** Now and then probes a VM marked dead, so that it can refute this if it is
    alive. */
void
ProbeDeadVm(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  MembershipState& membership = aState.mMembership;
  if (aState.mRandom.Below(kRoundsPerDeadProbe) != 0 ||
      membership.mDeadVms.empty()) {
    return;
  }
  const VmId vm = membership.mDeadVms.front();
  membership.mDeadVms.pop_front();
  const auto found = membership.mHealth.find(vm);
  const bool isDead = found != membership.mHealth.end() &&
                      found->second.mCondition == MemberCondition::kDead;
  if (isDead) {
    membership.mDeadVms.push_back(vm);
    const Endpoint address = membership.mMembers.at(vm).mPeerAddress;
    SendProbe(aState, vm, address, aNow, aEffects);
  }
}

void
HandleProbeAnswer(VmState& aState, VmId aPeer, TimePoint aNow)
{
  MembershipState& membership = aState.mMembership;
  membership.mLastAnswer = aNow;
  for (ProbedNeighbour& neighbour : membership.mNeighbours) {
    if (neighbour.mVm == aPeer) {
      neighbour.mMissedProbes = 0;
      neighbour.mOutstandingProbe = 0;
    }
  }
  const VmRecord* member = FindMember(membership, aPeer);
  if (member != nullptr && member->mZone != aState.mSelf.mZone) {
    ZoneReachability& reachability =
      membership.mZoneReachability[member->mZone];
    reachability.mMissedProbes = 0;
    reachability.mOutstandingProbe = 0;
  }
}

/** Requests all members that another VM knows if the views of the membership
    have differed for long. */
void
CompareViews(VmState& aState,
             VmId aPeer,
             const Endpoint& aAddress,
             std::uint64_t aHash,
             TimePoint aNow,
             Effects& aEffects)
{
  MembershipState& membership = aState.mMembership;
  if (aHash == membership.mMembersHash) {
    membership.mViewLastMatched = aNow;
    return;
  }
  const bool isDue =
    aNow - membership.mViewLastMatched > kViewDifferenceWait &&
    aNow - membership.mMembersRequestedAt > kMembersRequestInterval;
  if (isDue) {
    membership.mMembersRequestedAt = aNow;
    SendToVm(aState, aPeer, aAddress, MembersRequest{}, aEffects);
  }
}

MemberProbe
MakeProbe(VmState& aState, VmId aPeer, TimePoint aNow)
{
  MembershipState& membership = aState.mMembership;
  const MemberHealth& own = membership.mHealth.at(aState.mSelf.mId);
  MemberProbe probe;
  probe.mVersion = own.mVersion;
  probe.mCondition = own.mCondition;
  probe.mConfiguration = aState.mConfiguration.Digest();
  probe.mStoreAge = aNow - aState.mConfiguration.mStoreLastAnswered;
  probe.mMembersHash = membership.mMembersHash;
  probe.mUpdates = TakeUpdates(membership, aPeer);
  return probe;
}

} // namespace

bool
IsZoneReachable(const MembershipState& aMembership, const ZoneName& aZone)
{
  const auto found = aMembership.mZoneReachability.find(aZone);
  return found == aMembership.mZoneReachability.end() ||
         found->second.mMissedProbes < kMissesForUnreachableZone;
}

void
StartProbing(VmState& aState, TimePoint aNow)
{
  const auto delay = Duration(static_cast<std::int64_t>(
    aState.mRandom.Below(static_cast<std::uint64_t>(kRoundInterval.count()))));
  aState.mTimers.Arm(aNow + delay, TimerKind::kProbeRound);
}

void
HandleProbeRound(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  UpdateNeighbours(aState);
  ProbeNeighbours(aState, aNow, aEffects);
  ProbeOtherZone(aState, aNow, aEffects);
  ProbeDeadVm(aState, aNow, aEffects);
  const auto jitter =
    Duration(static_cast<std::int64_t>(aState.mRandom.Below(
      static_cast<std::uint64_t>(2 * kRoundJitter.count())))) -
    kRoundJitter;
  aState.mTimers.Arm(aNow + kRoundInterval + jitter, TimerKind::kProbeRound);
}

void
SendProbe(VmState& aState,
          VmId aPeer,
          const Endpoint& aAddress,
          TimePoint aNow,
          Effects& aEffects)
{
  MemberProbe probe = MakeProbe(aState, aPeer, aNow);
  probe.mSequence = aState.mMembership.mNextSequence++;
  SendToVm(aState, aPeer, aAddress, std::move(probe), aEffects);
}

void
HandleProbe(VmState& aState,
            VmId aPeer,
            const Endpoint& aAddress,
            const MemberProbe& aProbe,
            TimePoint aNow,
            Effects& aEffects)
{
  MembershipState& membership = aState.mMembership;
  const std::uint64_t epoch = membership.mEpoch;
  for (const MemberUpdate& update : aProbe.mUpdates) {
    ApplyUpdate(aState, update, Propagate::kYes);
  }
  if (membership.mHealth.contains(aPeer)) {
    MemberUpdate update = UpdateFor(membership, aPeer);
    update.mVersion = aProbe.mVersion;
    update.mCondition = aProbe.mCondition;
    update.mPeerAddress = aAddress;
    ApplyUpdate(aState, update, Propagate::kYes);
  }
  HandleProbeAnswer(aState, aPeer, aNow);
  CompareViews(aState, aPeer, aAddress, aProbe.mMembersHash, aNow, aEffects);
  if (!aProbe.mIsReply) {
    MemberProbe reply = MakeProbe(aState, aPeer, aNow);
    reply.mSequence = aProbe.mSequence;
    reply.mIsReply = true;
    SendToVm(aState, aPeer, aAddress, std::move(reply), aEffects);
  }
  HandleMembershipChange(aState, epoch, aNow, aEffects);
  HandleDigest(aState, aPeer, aAddress, aProbe, aNow, aEffects);
}

void
HandlePeerConnectionLost(VmState& aState,
                         VmId aPeer,
                         TimePoint aNow,
                         Effects& aEffects)
{
  for (ProbedNeighbour& neighbour : aState.mMembership.mNeighbours) {
    if (neighbour.mVm == aPeer) {
      HandleMissedProbe(aState, neighbour, aNow, aEffects);
      break;
    }
  }
  for (auto& [zone, reachability] : aState.mMembership.mZoneReachability) {
    if (reachability.mOutstandingProbe != 0 && reachability.mProbed == aPeer) {
      reachability.mOutstandingProbe = 0;
      ++reachability.mMissedProbes;
    }
  }
}

void
HandleSuspicionTimeout(VmState& aState,
                       VmId aVm,
                       TimePoint aNow,
                       Effects& aEffects)
{
  MembershipState& membership = aState.mMembership;
  const auto suspicion = membership.mSuspicions.find(aVm);
  if (suspicion == membership.mSuspicions.end() ||
      suspicion->second.mDue > aNow) {
    return;
  }
  const MemberVersion version = suspicion->second.mVersion;
  membership.mSuspicions.erase(suspicion);
  const auto found = membership.mHealth.find(aVm);
  const bool isSuspect =
    found != membership.mHealth.end() &&
    found->second.mCondition == MemberCondition::kSuspect &&
    found->second.mVersion == version;
  if (!isSuspect || IsIsolated(membership, aNow)) {
    return;
  }
  ++aState.mCounters.mDeathsDeclared;
  membership.mDeadVms.push_back(aVm);
  SetCondition(aState, aVm, MemberCondition::kDead, aNow, aEffects);
}

void
AnnounceStop(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  MembershipState& membership = aState.mMembership;
  MemberUpdate update = UpdateFor(membership, aState.mSelf.mId);
  update.mCondition = MemberCondition::kLeaving;
  const std::uint64_t epoch = membership.mEpoch;
  ApplyUpdate(aState, update, Propagate::kYes);
  UpdateNeighbours(aState);
  ProbeNeighbours(aState, aNow, aEffects);
  for (std::size_t zone = 0; zone < membership.mOtherZones.size(); ++zone) {
    ProbeOtherZone(aState, aNow, aEffects);
  }
  HandleMembershipChange(aState, epoch, aNow, aEffects);
  aState.mIsStopAnnounced = membership.mMembers.size() == 1;
  if (!aState.mIsStopAnnounced) {
    aState.mTimers.Arm(aNow + kAnnouncementTime, TimerKind::kStopAnnounced);
  }
}

} // namespace wasabispread
