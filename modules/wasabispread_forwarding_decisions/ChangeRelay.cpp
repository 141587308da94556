/*
 * Chooses the VM that is asked for changes, and handles both sides.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <tuple>

namespace wasabispread::forwarding {

namespace {

/** Minimum number of VMs in a zone that share one watch: with fewer, little is
    saved. */
constexpr std::size_t kMinVms = 4;
/** How long a VM that asks waits without a change; the answer then states that
    this VM still hears from the store. */
constexpr Duration kAnswerInterval = std::chrono::milliseconds(600);
/** How much longer than that the VM that asks waits. */
constexpr Duration kAnswerMargin = std::chrono::milliseconds(700);
/** How old the knowledge of a relay may be: the longest interval between reads
    and a check after it. */
constexpr Duration kMaxAge = std::chrono::milliseconds(1900);
/** How long a VM that failed as a relay is not asked again. */
constexpr Duration kAvoidTime = std::chrono::seconds(6);
/** How long a VM counts as asked after a request. */
constexpr Duration kAskedTime = std::chrono::seconds(3);
/** Bound of the changes kept for VMs that ask. */
constexpr std::size_t kMaxKnownBytes = 1U << 20U;
constexpr std::uint64_t kRelaySalt = 0x72656c6179;

bool
IsPresentInZone(const ForwarderState& aState, const Member& aMember)
{
  return aMember.mLeftAt == TimePoint::max() &&
         aMember.mRecord.mZone == aState.mPolicy.mZone;
}

/** Whether the VMs of this zone are enough to share one watch. */
bool
SharesWatch(const ForwarderState& aState)
{
  const auto& members = aState.mMembership.mMembers;
  const auto present =
    std::count_if(members.begin(), members.end(), [&](const auto& aMember) {
      return IsPresentInZone(aState, aMember.second);
    });
  return static_cast<std::size_t>(present) >= kMinVms;
}

/** The VM of a zone with the highest rank watches for the others. */
std::tuple<double, std::uint64_t>
RelayRank(const Member& aMember)
{
  return { aMember.mRecord.mProcessorShare,
           StableHash(aMember.mRecord.mName, kRelaySalt) };
}

/** Whether this VM can pass on changes. */
bool
IsAvailable(const ForwarderState& aState)
{
  return !aState.IsStopping() && aState.mStore.mIsLoaded &&
         !aState.mStore.mNeedsList && !aState.mStore.IsUnavailable();
}

void
SendReply(ForwarderState& aState,
          VmId aVm,
          const WaitingVm& aWaiting,
          bool aIsRefused,
          TimePoint aNow,
          ForwarderEffects& aEffects)
{
  ChangesReply reply;
  reply.mSequence = aWaiting.mSequence;
  reply.mIsRefused = aIsRefused;
  reply.mIsUnavailable = !IsAvailable(aState);
  reply.mAge = KnowledgeAge(aState, aNow);
  reply.mEra = aState.mEra.mEra;
  if (!aIsRefused) {
    reply.mSoundAge = SoundAge(aState, aNow);
  }
  if (!aIsRefused) {
    for (const KnownChanges& known : aState.mRelay.mKnown) {
      if (known.mRevision > aWaiting.mAfter) {
        reply.mTexts.push_back(known.mText);
      }
    }
  }
  aEffects.push_back(
    SendPeerMessage{ aVm, aWaiting.mAddress, std::move(reply) });
}

bool
CanAnswer(const ForwarderState& aState, const WaitingVm& aWaiting)
{
  return IsAvailable(aState) && aWaiting.mEra == aState.mEra.mEra &&
         aWaiting.mAfter >= aState.mRelay.mStart;
}

bool
HasChangesFor(const ForwarderState& aState, const WaitingVm& aWaiting)
{
  const auto& known = aState.mRelay.mKnown;
  return !known.empty() && known.back().mRevision > aWaiting.mAfter;
}

/** Follows the store itself, and does not ask the VM for a while. */
void
LeaveRelay(ForwarderState& aState,
           const char* aReason,
           TimePoint aNow,
           ForwarderEffects& aEffects)
{
  const std::string vm = aState.mRelay.mAwaited->mVm;
  aState.mRelay.mAwaited.reset();
  const auto member = aState.mMembership.mMembers.find(vm);
  if (member != aState.mMembership.mMembers.end()) {
    member->second.mAvoidAsRelayUntil = aNow + kAvoidTime;
  }
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kState,
      "relay-left",
      {},
      { { "relay", vm },
        { "reason", std::string(aReason) },
        { "knowledge_age_ms",
          ToMilliseconds(KnowledgeAge(aState, aNow)) } } } });
  FollowStoreAfterRefusal(aState, aNow, aEffects);
}

} // namespace

std::optional<std::string>
ChooseRelay(const ForwarderState& aState, TimePoint aNow)
{
  if (IsAsked(aState, aNow)) {
    return std::nullopt;
  }
  if (!SharesWatch(aState)) {
    return std::nullopt;
  }
  const Member* best = nullptr;
  for (const auto& [name, member] : aState.mMembership.mMembers) {
    if (!IsPresentInZone(aState, member)) {
      continue;
    }
    if (aNow >= member.mAvoidAsRelayUntil &&
        (best == nullptr || RelayRank(member) > RelayRank(*best))) {
      best = &member;
    }
  }
  if (best == nullptr || best->mRecord.mName == aState.mPolicy.mName) {
    return std::nullopt;
  }
  return best->mRecord.mName;
}

std::vector<const Member*>
Followers(const ForwarderState& aState)
{
  std::map<ZoneName, std::vector<const Member*>> vmsOfZone;
  for (const auto& [name, member] : aState.mMembership.mMembers) {
    if (member.mLeftAt == TimePoint::max()) {
      vmsOfZone[member.mRecord.mZone].push_back(&member);
    }
  }
  std::vector<const Member*> followers;
  for (const auto& [zone, vms] : vmsOfZone) {
    if (vms.size() < kMinVms) {
      followers.insert(followers.end(), vms.begin(), vms.end());
    } else {
      followers.push_back(*std::max_element(
        vms.begin(), vms.end(), [](const Member* aLeft, const Member* aRight) {
          return RelayRank(*aLeft) < RelayRank(*aRight);
        }));
    }
  }
  return followers;
}

std::size_t
CountFollowers(const ForwarderState& aState)
{
  return Followers(aState).size();
}

bool
IsAsked(const ForwarderState& aState, TimePoint aNow)
{
  return aNow < aState.mRelay.mIsAskedUntil;
}

void
AskForChanges(ForwarderState& aState,
              const std::string& aVm,
              TimePoint aNow,
              ForwarderEffects& aEffects)
{
  ChangeRelay& relay = aState.mRelay;
  const TimePoint timeout = aNow + kAnswerInterval + kAnswerMargin;
  aState.mStore.mPendingCall = { PendingStoreCall::Kind::kRelay,
                                 aNow,
                                 kAnswerInterval };
  relay.mAwaited = AwaitedChanges{ aVm, relay.mNextSequence++, timeout };
  aState.mTimers.Arm(
    timeout, ForwarderTimer::kRelayTimeout, relay.mAwaited->mSequence);
  aEffects.push_back(
    SendPeerMessage{ IdFromName<VmId>(aVm),
                     aState.mMembership.mMembers.at(aVm).mRecord.mAddress,
                     ChangesRequest{ relay.mAwaited->mSequence,
                                     aState.mStore.mRevision.Value(),
                                     aState.mEra.mEra } });
}

void
KeepChanges(ForwarderState& aState,
            StoreRevision aRevision,
            std::shared_ptr<const CompressedText> aText,
            TimePoint aNow,
            ForwarderEffects& aEffects)
{
  ChangeRelay& relay = aState.mRelay;
  relay.mKnownBytes += aText->mCompressed.size();
  relay.mKnown.push_back({ aRevision, std::move(aText) });
  while (relay.mKnownBytes > kMaxKnownBytes && relay.mKnown.size() > 1) {
    relay.mStart = relay.mKnown.front().mRevision;
    relay.mKnownBytes -= relay.mKnown.front().mText->mCompressed.size();
    relay.mKnown.pop_front();
  }
  std::erase_if(relay.mWaiting, [&](const auto& aEntry) {
    const auto& [vm, waiting] = aEntry;
    if (!HasChangesFor(aState, waiting)) {
      return false;
    }
    SendReply(aState, vm, waiting, !CanAnswer(aState, waiting), aNow, aEffects);
    return true;
  });
}

void
ForgetChanges(ChangeRelay& aRelay, StoreRevision aRevision)
{
  aRelay.mKnown.clear();
  aRelay.mKnownBytes = 0;
  aRelay.mStart = aRevision;
}

void
RefuseWaitingVms(ForwarderState& aState,
                 TimePoint aNow,
                 ForwarderEffects& aEffects)
{
  for (const auto& [vm, waiting] : aState.mRelay.mWaiting) {
    SendReply(aState, vm, waiting, true, aNow, aEffects);
  }
  aState.mRelay.mWaiting.clear();
}

void
HandleChangesReplyDue(ForwarderState& aState,
                      TimePoint aNow,
                      ForwarderEffects& aEffects)
{
  std::erase_if(aState.mRelay.mWaiting, [&](const auto& aEntry) {
    const auto& [vm, waiting] = aEntry;
    if (aNow < waiting.mAnswerAt) {
      return false;
    }
    SendReply(aState, vm, waiting, !CanAnswer(aState, waiting), aNow, aEffects);
    return true;
  });
}

void
HandleChangesRequested(ForwarderState& aState,
                       const ChangesRequested& aEvent,
                       TimePoint aNow,
                       ForwarderEffects& aEffects)
{
  aState.mRelay.mIsAskedUntil = aNow + kAskedTime;
  const WaitingVm waiting{ aEvent.mAddress,
                           aEvent.mRequest.mSequence,
                           StoreRevision(aEvent.mRequest.mAfter),
                           aEvent.mRequest.mEra,
                           aNow + kAnswerInterval };
  if (!CanAnswer(aState, waiting) || HasChangesFor(aState, waiting)) {
    SendReply(
      aState, aEvent.mVm, waiting, !CanAnswer(aState, waiting), aNow, aEffects);
    return;
  }
  aState.mRelay.mWaiting[aEvent.mVm] = waiting;
  aState.mTimers.Arm(waiting.mAnswerAt, ForwarderTimer::kChangesReply);
}

void
HandlePeerChanges(ForwarderState& aState,
                  const PeerChanges& aEvent,
                  TimePoint aNow,
                  ForwarderEffects& aEffects)
{
  ChangeRelay& relay = aState.mRelay;
  if (!relay.mAwaited || relay.mAwaited->mSequence != aEvent.mSequence) {
    return;
  }
  const EraVerdict verdict = JudgeEra(aState.mEra, aEvent.mEra);
  if (verdict == EraVerdict::kNew) {
    BeginEra(aState, aEvent.mEra, aNow, aEffects);
    return;
  }
  if (aEvent.mIsUnavailable) {
    LeaveRelay(aState, "unavailable", aNow, aEffects);
    return;
  }
  if (aEvent.mIsRefused || verdict == EraVerdict::kUnusable) {
    relay.mAwaited.reset();
    FollowStoreAfterRefusal(aState, aNow, aEffects);
    return;
  }
  if (aEvent.mAge > kMaxAge) {
    LeaveRelay(aState, "its knowledge is too old", aNow, aEffects);
    return;
  }
  relay.mAwaited.reset();
  const auto asked = std::exchange(aState.mStore.mPendingCall, std::nullopt);
  ApplyRelayedChanges(aState, aEvent.mChanges, aNow, aEffects);
  RecordComplete(aState, aNow - aEvent.mAge);
  if (asked && aEvent.mSoundAge) {
    // The age was stated after the question was sent.
    RecordSound(aState, asked->mSince - *aEvent.mSoundAge);
  }
  FollowStore(aState, aNow, aEffects);
}

void
HandleRelayTimeout(ForwarderState& aState,
                   std::uint64_t aSequence,
                   TimePoint aNow,
                   ForwarderEffects& aEffects)
{
  const auto& awaited = aState.mRelay.mAwaited;
  if (awaited && awaited->mSequence == aSequence) {
    LeaveRelay(aState, "no answer in time", aNow, aEffects);
  }
}

void
HandleRelayLost(ForwarderState& aState,
                VmId aVm,
                TimePoint aNow,
                ForwarderEffects& aEffects)
{
  const auto& awaited = aState.mRelay.mAwaited;
  if (awaited && IdFromName<VmId>(awaited->mVm) == aVm) {
    LeaveRelay(aState, "connection broke", aNow, aEffects);
  }
}

} // namespace wasabispread::forwarding
