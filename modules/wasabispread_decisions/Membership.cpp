/*
 * The table of members, and how news and the VM list change it.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <bit>
#include <cassert>

namespace wasabispread {

namespace {

constexpr std::size_t kMostPendingNews = 256;
constexpr std::size_t kMostMembersPerReply = 256;
/** Non-watchers together read the VM list this often. */
constexpr Duration kListIntervalPerVm = std::chrono::milliseconds(200);
constexpr Duration kListInterval = std::chrono::seconds(2);
constexpr Duration kMostListInterval = std::chrono::minutes(10);

bool
IsLive(MemberCondition aCondition)
{
  return aCondition == MemberCondition::kAlive ||
         aCondition == MemberCondition::kSuspect;
}

/** A member's part of mMembersHash. Suspicions and versions are left out: the
    first come and go while the news of them travels, and the second are not
    always passed on. */
std::uint64_t
Fingerprint(VmId aVm, const MemberHealth& aHealth)
{
  if (aHealth.mCondition == MemberCondition::kDead) {
    return 0;
  }
  const bool isLeaving = aHealth.mCondition == MemberCondition::kLeaving;
  Random mixer(aVm.Value() ^ (isLeaving ? 1U : 0U));
  return mixer.Next();
}

void
Count(MembershipState& aMembership, MemberCondition aCondition, bool aAdds)
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
  const auto place = std::lower_bound(vms.begin(), vms.end(), aVm.mId);
  const bool isThere = place != vms.end() && *place == aVm.mId;
  if (aIsLive == isThere) {
    return;
  }
  if (aIsLive) {
    vms.insert(place, aVm.mId);
  } else {
    vms.erase(place);
  }
  if (vms.empty()) {
    aMembership.mLiveByZone.erase(aVm.mZone);
  }
  ++aMembership.mEpoch;
}

/** Puts a member's health in place and keeps all that follows from it. */
void
SetHealth(MembershipState& aMembership, VmId aVm, MemberHealth aHealth)
{
  MemberHealth& health = aMembership.mHealth.at(aVm);
  aMembership.mMembersHash -= Fingerprint(aVm, health);
  Count(aMembership, health.mCondition, false);
  health = aHealth;
  aMembership.mMembersHash += Fingerprint(aVm, health);
  Count(aMembership, health.mCondition, true);
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
RecordFrom(const MemberNews& aNews)
{
  VmRecord record;
  record.mId = aNews.mVm;
  record.mName = aNews.mName;
  record.mZone = aNews.mZone;
  record.mPeerAddress = aNews.mPeerAddress;
  record.mLeaving = aNews.mCondition == MemberCondition::kLeaving;
  return record;
}

/** Puts newer news of a member in place. */
void
UpdateMember(MembershipState& aMembership, const MemberNews& aNews)
{
  MemberHealth health = aMembership.mHealth.at(aNews.mVm);
  health.mCondition = aNews.mCondition;
  if (aNews.mVersion > health.mVersion) {
    health.mVersion = aNews.mVersion;
    MoveMember(aMembership, RecordFrom(aNews));
  }
  SetHealth(aMembership, aNews.mVm, health);
}

/** The version of a VM that the list showed, and that answers where the list
    says, is known to those who probe it; others need not hear of it. */
bool
IsWorthPassingOn(const MembershipState& aMembership, const MemberNews& aNews)
{
  const MemberHealth& health = aMembership.mHealth.at(aNews.mVm);
  const VmRecord& record = aMembership.mMembers.at(aNews.mVm);
  const bool isFirstVersion =
    health.mVersion == MemberVersion{} && health.mCondition == aNews.mCondition;
  const bool isSamePlace =
    record.mPeerAddress == aNews.mPeerAddress && record.mZone == aNews.mZone;
  return !isFirstVersion || !isSamePlace;
}

/** How often each VM repeats a piece of news: once to each VM that it probes
    or is probed by, and some more to reach all with high probability. */
std::uint32_t
SendsFor(std::size_t aMembers)
{
  constexpr std::uint32_t kLeastSends = 12;
  return kLeastSends + static_cast<std::uint32_t>(std::bit_width(aMembers));
}

void
QueueNews(MembershipState& aMembership, VmId aVm)
{
  auto& news = aMembership.mUpdates;
  std::erase_if(news,
                [aVm](const PendingNews& aItem) { return aItem.mVm == aVm; });
  if (news.size() >= kMostPendingNews) {
    news.pop_back();
  }
  const std::uint32_t sends = SendsFor(aMembership.mMembers.size());
  news.push_back(PendingNews{ aVm, sends });
}

bool
Supersedes(const MemberNews& aNews, const MemberHealth& aHealth)
{
  return std::pair(aNews.mVersion, aNews.mCondition) >
         std::pair(aHealth.mVersion, aHealth.mCondition);
}

/** Whatever others believe, this VM is alive, or leaving if it stops or the
    platform says so of its present start. */
void
AnswerNewsOfSelf(VmState& aState, const MemberNews& aNews)
{
  MembershipState& membership = aState.mMembership;
  MemberHealth own = membership.mHealth.at(aState.mSelf.mId);
  if (!Supersedes(aNews, own)) {
    return;
  }
  const bool isTold = aNews.mCondition == MemberCondition::kLeaving &&
                      aNews.mVersion == own.mVersion;
  if (isTold) {
    own.mCondition = MemberCondition::kLeaving;
  } else {
    own.mVersion = MemberVersion(aNews.mVersion.Value() + 1);
  }
  SetHealth(membership, aState.mSelf.mId, own);
  QueueNews(membership, aState.mSelf.mId);
}

/** Takes in one line of the VM list. */
void
ApplyListed(VmState& aState, const VmRecord& aListed)
{
  MembershipState& membership = aState.mMembership;
  const auto place = membership.mHealth.find(aListed.mId);
  if (place == membership.mHealth.end()) {
    MemberHealth health;
    health.mCondition =
      aListed.mLeaving ? MemberCondition::kLeaving : MemberCondition::kAlive;
    health.mIsListed = true;
    health.mIsListedLeaving = aListed.mLeaving;
    AddMember(membership, aListed, health);
    if (membership.mIsListRead) {
      QueueNews(membership, aListed.mId);
    }
    return;
  }
  MemberHealth health = place->second;
  const bool startsLeaving = aListed.mLeaving && !health.mIsListedLeaving;
  health.mIsListed = true;
  health.mIsListedLeaving = aListed.mLeaving;
  if (startsLeaving && health.mCondition < MemberCondition::kLeaving) {
    health.mCondition = MemberCondition::kLeaving;
    QueueNews(membership, aListed.mId);
  }
  SetHealth(membership, aListed.mId, health);
}

/** VMs that the list showed before and no longer does are gone. */
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
  std::vector<VmId> gone;
  std::vector<VmId> forgotten;
  for (const auto& [id, health] : membership.mHealth) {
    const bool isListed = std::binary_search(listed.begin(), listed.end(), id);
    if (isListed || id == aState.mSelf.mId) {
      continue;
    }
    if (health.mIsListed) {
      gone.push_back(id);
    } else if (health.mCondition == MemberCondition::kDead) {
      forgotten.push_back(id);
    }
  }
  for (const VmId vm : forgotten) {
    RemoveMember(membership, vm);
  }
  for (const VmId vm : gone) {
    MemberHealth health = membership.mHealth.at(vm);
    health.mIsListed = false;
    health.mCondition = MemberCondition::kDead;
    SetHealth(membership, vm, health);
    QueueNews(membership, vm);
  }
}

Duration
ListInterval(VmState& aState)
{
  if (IsWatcher(aState)) {
    return kListInterval;
  }
  const auto members =
    static_cast<std::int64_t>(aState.mMembership.mMembers.size());
  const Duration whole =
    std::clamp(kListIntervalPerVm * members, kListInterval, kMostListInterval);
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
  membership.mDiffersSince = aNow;
  membership.mLastAnswer = aNow;
  QueueNews(membership, aState.mSelf.mId);
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
  membership.mIsInformed = true;
  const std::uint64_t epoch = membership.mEpoch;
  ApplyRemovals(aState, *aEvent.mResult);
  for (const VmRecord& vm : *aEvent.mResult) {
    ApplyListed(aState, vm);
  }
  membership.mIsListRead = true;
  ReviewMembership(aState, epoch, aNow, aEffects);
  aState.mTimers.Arm(aNow + ListInterval(aState), TimerKind::kReadVmList);
}

void
ApplyNews(VmState& aState, const MemberNews& aNews, PassOn aPassOn)
{
  MembershipState& membership = aState.mMembership;
  if (aNews.mVm == aState.mSelf.mId) {
    AnswerNewsOfSelf(aState, aNews);
    return;
  }
  const auto place = membership.mHealth.find(aNews.mVm);
  const bool isKnown = place != membership.mHealth.end();
  const bool isOfUse = isKnown ? Supersedes(aNews, place->second)
                               : aNews.mCondition != MemberCondition::kDead;
  if (!isOfUse) {
    return;
  }
  const bool isNews = !isKnown || IsWorthPassingOn(membership, aNews);
  if (isKnown) {
    UpdateMember(membership, aNews);
  } else {
    MemberHealth health;
    health.mVersion = aNews.mVersion;
    health.mCondition = aNews.mCondition;
    AddMember(membership, RecordFrom(aNews), health);
  }
  if (isNews && aPassOn == PassOn::kYes) {
    QueueNews(membership, aNews.mVm);
  }
}

MemberNews
NewsOf(const MembershipState& aMembership, VmId aVm)
{
  const VmRecord& record = aMembership.mMembers.at(aVm);
  const MemberHealth& health = aMembership.mHealth.at(aVm);
  MemberNews news;
  news.mVm = aVm;
  news.mVersion = health.mVersion;
  news.mCondition = health.mCondition;
  news.mName = record.mName;
  news.mZone = record.mZone;
  news.mPeerAddress = record.mPeerAddress;
  return news;
}

std::vector<MemberNews>
TakeNews(MembershipState& aMembership, VmId aReceiver)
{
  std::vector<MemberNews> taken;
  const auto receiver = aMembership.mHealth.find(aReceiver);
  const bool isMisjudged =
    receiver != aMembership.mHealth.end() &&
    receiver->second.mCondition != MemberCondition::kAlive;
  if (isMisjudged) {
    taken.push_back(NewsOf(aMembership, aReceiver));
  }
  auto& news = aMembership.mUpdates;
  std::erase_if(news, [&aMembership](const PendingNews& aItem) {
    return !aMembership.mMembers.contains(aItem.mVm);
  });
  const std::size_t count =
    std::min(news.size(), kMaxUpdatesPerProbe - taken.size());
  // What was sent least often goes first.
  std::partial_sort(news.begin(),
                    news.begin() + static_cast<std::ptrdiff_t>(count),
                    news.end(),
                    [](const PendingNews& aLeft, const PendingNews& aRight) {
                      return aLeft.mSendsLeft > aRight.mSendsLeft;
                    });
  for (std::size_t index = 0; index < count; ++index) {
    taken.push_back(NewsOf(aMembership, news[index].mVm));
    --news[index].mSendsLeft;
  }
  std::erase_if(news,
                [](const PendingNews& aItem) { return aItem.mSendsLeft == 0; });
  return taken;
}

void
HandleMembersRequest(VmState& aState,
                     VmId aPeer,
                     const Endpoint& aAddress,
                     Effects& aEffects)
{
  MembersReply reply;
  for (const auto& [id, member] : aState.mMembership.mMembers) {
    reply.mMembers.push_back(NewsOf(aState.mMembership, id));
    if (reply.mMembers.size() == kMostMembersPerReply) {
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
  aState.mMembership.mIsInformed = true;
  for (const MemberNews& news : aReply.mMembers) {
    ApplyNews(aState, news, PassOn::kNo);
  }
  ReviewMembership(aState, epoch, aNow, aEffects);
}

void
ReviewMembership(VmState& aState,
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
  ReviewWatching(aState, aNow, aEffects);
}

const VmRecord*
FindMember(const MembershipState& aMembership, VmId aVm)
{
  const auto place = aMembership.mMembers.find(aVm);
  return place == aMembership.mMembers.end() ? nullptr : &place->second;
}

} // namespace wasabispread
