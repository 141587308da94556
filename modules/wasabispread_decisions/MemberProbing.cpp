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
constexpr std::size_t kNeighbours = 3;
constexpr std::uint32_t kMissesToSuspect = 2;
constexpr std::uint32_t kMissesToLoseZone = 3;
constexpr Duration kSuspicionTime = std::chrono::seconds(4);
/** Without any answer for this long, this VM is cut off itself, or was
    paused, and judges nobody. */
constexpr Duration kIsolationTime = std::chrono::seconds(3);
/** One round in this many also probes a VM held dead. */
constexpr std::uint64_t kRoundsPerDeadProbe = 8;
/** News of a stop reaches all VMs in about this long. */
constexpr Duration kAnnounceTime = std::chrono::seconds(2);
constexpr Duration kDifferenceTime = std::chrono::seconds(15);
constexpr Duration kMembersInterval = std::chrono::minutes(1);

/** A VM's place on one of several rings. */
std::uint64_t
RingPlace(VmId aVm, std::uint64_t aRing)
{
  Random mixer(aVm.Value() ^ (aRing * 0x9e3779b97f4a7c15ULL));
  return mixer.Next();
}

/** The VM after another one on a ring, or no VM when there is none else. */
std::optional<VmId>
SuccessorOf(const std::vector<VmId>& aVms, VmId aVm, std::uint64_t aRing)
{
  const std::uint64_t place = RingPlace(aVm, aRing);
  std::optional<VmId> best;
  std::uint64_t bestDistance = 0;
  for (const VmId vm : aVms) {
    const std::uint64_t distance = RingPlace(vm, aRing) - place;
    if (vm != aVm && (!best || distance < bestDistance)) {
      best = vm;
      bestDistance = distance;
    }
  }
  return best;
}

/** Chooses the neighbours anew after a change of membership; those that stay
    keep their counts. */
void
ReviewNeighbours(VmState& aState)
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
  const std::size_t wanted = std::min(kNeighbours, vms.size());
  constexpr std::uint64_t kMostRings = 8;
  for (std::uint64_t ring = 0; ring < kMostRings; ++ring) {
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

bool
IsIsolated(const MembershipState& aMembership, TimePoint aNow)
{
  return aNow - aMembership.mLastAnswer > kIsolationTime;
}

void
Judge(VmState& aState,
      VmId aVm,
      MemberCondition aCondition,
      TimePoint aNow,
      Effects& aEffects)
{
  MemberNews news = NewsOf(aState.mMembership, aVm);
  news.mCondition = aCondition;
  const std::uint64_t epoch = aState.mMembership.mEpoch;
  ApplyNews(aState, news, PassOn::kYes);
  aEffects.push_back(LogDecision{ MemberConditionChanged{ aVm, aCondition } });
  ReviewMembership(aState, epoch, aNow, aEffects);
}

/** Suspects a neighbour that has missed too many probes. */
void
NoteMiss(VmState& aState,
         ProbedNeighbour& aNeighbour,
         TimePoint aNow,
         Effects& aEffects)
{
  aNeighbour.mOutstanding = 0;
  ++aNeighbour.mMisses;
  MembershipState& membership = aState.mMembership;
  const bool isSuspicious =
    aNeighbour.mMisses >= kMissesToSuspect && !IsIsolated(membership, aNow);
  const auto place = membership.mHealth.find(aNeighbour.mVm);
  const bool isAlive = place != membership.mHealth.end() &&
                       place->second.mCondition <= MemberCondition::kSuspect;
  if (!isSuspicious || !isAlive) {
    return;
  }
  const VmId vm = aNeighbour.mVm;
  const bool isNew = place->second.mCondition == MemberCondition::kAlive;
  const auto suspicion = membership.mSuspicions.find(vm);
  const bool isWaiting = suspicion != membership.mSuspicions.end() &&
                         suspicion->second.mVersion == place->second.mVersion;
  if (isWaiting) {
    return;
  }
  const TimePoint due = aNow + kSuspicionTime;
  membership.mSuspicions[vm] = Suspicion{ place->second.mVersion, due };
  aState.mTimers.Arm(due, TimerKind::kSuspicionTimeout, vm.Value());
  if (isNew) {
    ++aState.mCounters.mSuspicions;
    Judge(aState, vm, MemberCondition::kSuspect, aNow, aEffects);
  }
}

void
ProbeNeighbours(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  // Judging changes membership, but the list of neighbours only in the next
  // round.
  std::vector<ProbedNeighbour>& neighbours = aState.mMembership.mNeighbours;
  for (std::size_t index = 0; index < neighbours.size(); ++index) {
    if (neighbours[index].mOutstanding != 0) {
      NoteMiss(aState, neighbours[index], aNow, aEffects);
    }
    const VmId vm = neighbours[index].mVm;
    const VmRecord* member = FindMember(aState.mMembership, vm);
    if (member != nullptr) {
      neighbours[index].mOutstanding = aState.mMembership.mNextSequence;
      SendProbe(aState, vm, member->mPeerAddress, aNow, aEffects);
    }
  }
}

/** Probes one VM of the next other zone: the same one while it answers. */
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
  ZoneReach& reach = membership.mZoneReach[zone];
  if (reach.mOutstanding != 0) {
    ++reach.mMisses;
  }
  const auto vms = membership.mLiveByZone.find(zone);
  if (vms == membership.mLiveByZone.end()) {
    return;
  }
  const auto vm =
    SuccessorOf(vms->second, aState.mSelf.mId, kNeighbours + reach.mMisses);
  const VmRecord* member = vm ? FindMember(membership, *vm) : nullptr;
  if (member != nullptr) {
    reach.mOutstanding = membership.mNextSequence;
    reach.mProbed = *vm;
    SendProbe(aState, *vm, member->mPeerAddress, aNow, aEffects);
  }
}

/** Gives a VM that was wrongly held dead the chance to refute it. */
void
ProbeDead(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  MembershipState& membership = aState.mMembership;
  if (aState.mRandom.Below(kRoundsPerDeadProbe) != 0 ||
      membership.mDead.empty()) {
    return;
  }
  const VmId vm = membership.mDead.front();
  membership.mDead.pop_front();
  const auto place = membership.mHealth.find(vm);
  const bool isDead = place != membership.mHealth.end() &&
                      place->second.mCondition == MemberCondition::kDead;
  if (isDead) {
    membership.mDead.push_back(vm);
    const Endpoint address = membership.mMembers.at(vm).mPeerAddress;
    SendProbe(aState, vm, address, aNow, aEffects);
  }
}

void
NoteAnswer(VmState& aState, VmId aPeer, TimePoint aNow)
{
  MembershipState& membership = aState.mMembership;
  membership.mLastAnswer = aNow;
  for (ProbedNeighbour& neighbour : membership.mNeighbours) {
    if (neighbour.mVm == aPeer) {
      neighbour.mMisses = 0;
      neighbour.mOutstanding = 0;
    }
  }
  const VmRecord* member = FindMember(membership, aPeer);
  if (member != nullptr && member->mZone != aState.mSelf.mZone) {
    ZoneReach& reach = membership.mZoneReach[member->mZone];
    reach.mMisses = 0;
    reach.mOutstanding = 0;
  }
}

/** Asks for another VM's whole view when views stay apart. */
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
    membership.mDiffersSince = aNow;
    return;
  }
  const bool isDue = aNow - membership.mDiffersSince > kDifferenceTime &&
                     aNow - membership.mMembersAsked > kMembersInterval;
  if (isDue) {
    membership.mMembersAsked = aNow;
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
  probe.mUpdates = TakeNews(membership, aPeer);
  return probe;
}

} // namespace

bool
IsZoneReachable(const MembershipState& aMembership, const ZoneName& aZone)
{
  const auto place = aMembership.mZoneReach.find(aZone);
  return place == aMembership.mZoneReach.end() ||
         place->second.mMisses < kMissesToLoseZone;
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
  ReviewNeighbours(aState);
  ProbeNeighbours(aState, aNow, aEffects);
  ProbeOtherZone(aState, aNow, aEffects);
  ProbeDead(aState, aNow, aEffects);
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
  for (const MemberNews& news : aProbe.mUpdates) {
    ApplyNews(aState, news, PassOn::kYes);
  }
  if (membership.mHealth.contains(aPeer)) {
    MemberNews news = NewsOf(membership, aPeer);
    news.mVersion = aProbe.mVersion;
    news.mCondition = aProbe.mCondition;
    news.mPeerAddress = aAddress;
    ApplyNews(aState, news, PassOn::kYes);
  }
  NoteAnswer(aState, aPeer, aNow);
  CompareViews(aState, aPeer, aAddress, aProbe.mMembersHash, aNow, aEffects);
  if (!aProbe.mIsReply) {
    MemberProbe reply = MakeProbe(aState, aPeer, aNow);
    reply.mSequence = aProbe.mSequence;
    reply.mIsReply = true;
    SendToVm(aState, aPeer, aAddress, std::move(reply), aEffects);
  }
  ReviewMembership(aState, epoch, aNow, aEffects);
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
      NoteMiss(aState, neighbour, aNow, aEffects);
      break;
    }
  }
  for (auto& [zone, reach] : aState.mMembership.mZoneReach) {
    if (reach.mOutstanding != 0 && reach.mProbed == aPeer) {
      reach.mOutstanding = 0;
      ++reach.mMisses;
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
  const auto place = membership.mHealth.find(aVm);
  const bool isSuspect =
    place != membership.mHealth.end() &&
    place->second.mCondition == MemberCondition::kSuspect &&
    place->second.mVersion == version;
  if (!isSuspect || IsIsolated(membership, aNow)) {
    return;
  }
  ++aState.mCounters.mDeathsDeclared;
  membership.mDead.push_back(aVm);
  Judge(aState, aVm, MemberCondition::kDead, aNow, aEffects);
}

void
AnnounceStop(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  MembershipState& membership = aState.mMembership;
  MemberNews news = NewsOf(membership, aState.mSelf.mId);
  news.mCondition = MemberCondition::kLeaving;
  const std::uint64_t epoch = membership.mEpoch;
  ApplyNews(aState, news, PassOn::kYes);
  ReviewNeighbours(aState);
  ProbeNeighbours(aState, aNow, aEffects);
  for (std::size_t zone = 0; zone < membership.mOtherZones.size(); ++zone) {
    ProbeOtherZone(aState, aNow, aEffects);
  }
  ReviewMembership(aState, epoch, aNow, aEffects);
  aState.mIsStopAnnounced = membership.mMembers.size() == 1;
  if (!aState.mIsStopAnnounced) {
    aState.mTimers.Arm(aNow + kAnnounceTime, TimerKind::kStopAnnounced);
  }
}

} // namespace wasabispread
