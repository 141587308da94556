/*
 * Decides when the store's revision is read, to whom it is reported, and when
 * a watch is replaced.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** Age of the knowledge from which on the store's revision is read. A lost
    answer is then noticed, and the changes are read, within the seconds in
    which a configuration must be in force. */
constexpr Duration kCheckInterval = std::chrono::milliseconds(800);
/** How much later each further VM reads the revision than the one before it,
    so that a report arrives first. */
constexpr Duration kCheckStagger = std::chrono::milliseconds(100);
constexpr std::size_t kMaxStaggeredVms = 8;
/** A watch that was just begun is not checked: it may deliver at once. */
constexpr Duration kMinWatchAge = std::chrono::milliseconds(200);
/** A watch that ends by itself within this time needs no check. */
constexpr Duration kMinCheckedWait = 2 * kCheckInterval;
/** How long a watch may take to deliver a revision that exists, in addition to
    the time that the read of the revision took. */
constexpr Duration kDeliveryGrace = std::chrono::milliseconds(300);
/** The most VMs that one VM reports a revision to; the others read it
    themselves and report it further. */
constexpr std::size_t kMaxReports = 32;

bool
IsWatching(const StoreState& aStore)
{
  return aStore.mPendingCall &&
         aStore.mPendingCall->mKind == PendingStoreCall::Kind::kWatch;
}

/** Whether the watch under way lasts long enough to be checked. */
bool
NeedsCheck(const ForwarderState& aState)
{
  return IsWatching(aState.mStore) && !aState.IsStopping() &&
         aState.mStore.mPendingCall->mWait >= kMinCheckedWait;
}

/** The position of this VM among those that watch the store, or their number
    when it is not one of them. */
std::size_t
OwnPosition(const ForwarderState& aState,
            const std::vector<const Member*>& aFollowers)
{
  const auto self = std::find_if(
    aFollowers.begin(), aFollowers.end(), [&](const Member* aMember) {
      return aMember->mRecord.mName == aState.mPolicy.mName;
    });
  return static_cast<std::size_t>(self - aFollowers.begin());
}

/** When this VM must ask the store itself, so that its knowledge of keys stays
    usable; TimePoint::max() when it need not. */
TimePoint
NextSoundCheck(const ForwarderState& aState)
{
  const KnowledgeRule& rule = aState.mPolicy.mKnowledgeRule;
  // No answer of the store proves anything about keys while the newest
  // configuration cannot be read.
  const bool isNeeded = rule.mIsStrict && aState.mConfiguration != nullptr &&
                        aState.mConfiguration->mOrganisations &&
                        !aState.mStore.mIsConfigurationUnreadable;
  return isNeeded ? aState.mFreshness.mSoundUntil + RefreshAge(rule)
                  : TimePoint::max();
}

TimePoint
NextCheck(const ForwarderState& aState)
{
  const std::size_t position =
    std::min(OwnPosition(aState, Followers(aState)), kMaxStaggeredVms);
  const TimePoint tooOld = aState.mFreshness.mCompleteUntil + kCheckInterval +
                           kCheckStagger * static_cast<int>(position);
  return std::max({ std::min(tooOld, NextSoundCheck(aState)),
                    aState.mStore.mPendingCall->mSince + kMinWatchAge,
                    aState.mFreshness.mCheckedAt + kCheckInterval });
}

void
ArmCheck(ForwarderState& aState, TimePoint aWhen)
{
  aState.mFreshness.mIsCheckArmed = true;
  aState.mTimers.Arm(aWhen, ForwarderTimer::kCheckStore);
}

/** Records that the store had a revision at aTime. */
void
RecordRevision(ForwarderState& aState,
               StoreRevision aRevision,
               TimePoint aTime,
               TimePoint aNow)
{
  StoreFreshness& freshness = aState.mFreshness;
  freshness.mNewestSeen = std::max(freshness.mNewestSeen, aRevision);
  if (aRevision <= aState.mStore.mRevision) {
    RecordComplete(aState, aTime);
    return;
  }
  if (IsWatching(aState.mStore)) {
    // A store that is slow now also delivers slowly.
    const Duration grace = kDeliveryGrace + 2 * (aNow - aTime);
    aState.mTimers.Arm(
      aNow + grace, ForwarderTimer::kWatchOverdue, aState.mStore.mWatchNumber);
  }
}

void
ReportRevision(const ForwarderState& aState,
               StoreRevision aRevision,
               Duration aAge,
               ForwarderEffects& aEffects)
{
  const std::vector<const Member*> followers = Followers(aState);
  const std::size_t own = OwnPosition(aState, followers);
  const std::size_t reports = std::min(followers.size(), kMaxReports);
  for (std::size_t step = 1; step <= reports; ++step) {
    const Member& member = *followers[(own + step) % followers.size()];
    if (member.mRecord.mName != aState.mPolicy.mName) {
      aEffects.push_back(SendPeerMessage{
        IdFromName<VmId>(member.mRecord.mName),
        member.mRecord.mAddress,
        RevisionReport{ aRevision.Value(), aAge, aState.mEra.mEra } });
    }
  }
}

} // namespace

Duration
SoundAge(const ForwarderState& aState, TimePoint aNow)
{
  return std::max(Duration::zero(), aNow - aState.mFreshness.mSoundUntil);
}

void
RecordSound(ForwarderState& aState, TimePoint aTime)
{
  if (aState.mStore.mIsConfigurationUnreadable) {
    // What the newest version withdrew is not applied.
    return;
  }
  TimePoint& soundUntil = aState.mFreshness.mSoundUntil;
  soundUntil = std::max(soundUntil, aTime);
}

Duration
KnowledgeAge(const ForwarderState& aState, TimePoint aNow)
{
  const TimePoint since =
    std::max(aState.mFreshness.mCompleteUntil, aState.mStarted);
  return std::max(Duration::zero(), aNow - since);
}

void
RecordComplete(ForwarderState& aState, TimePoint aTime)
{
  TimePoint& completeUntil = aState.mFreshness.mCompleteUntil;
  completeUntil = std::max(completeUntil, aTime);
}

void
ScheduleStoreCheck(ForwarderState& aState, TimePoint aNow)
{
  if (NeedsCheck(aState) && !aState.mFreshness.mIsCheckArmed) {
    ArmCheck(aState, std::max(aNow, NextCheck(aState)));
  }
}

void
CheckStoreIfDue(ForwarderState& aState,
                TimePoint aNow,
                ForwarderEffects& aEffects)
{
  StoreFreshness& freshness = aState.mFreshness;
  freshness.mIsCheckArmed = false;
  if (!NeedsCheck(aState) || freshness.mIsCheckPending) {
    return;
  }
  const TimePoint due = NextCheck(aState);
  if (aNow < due) {
    ArmCheck(aState, due);
    return;
  }
  freshness.mCheckedAt = aNow;
  freshness.mIsCheckPending = true;
  ++aState.mCounters.mStoreCalls;
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kRoutine,
      "store-check",
      {},
      { { "revision",
          static_cast<std::int64_t>(aState.mStore.mRevision.Value()) },
        { "knowledge_age_ms",
          ToMilliseconds(KnowledgeAge(aState, aNow)) } } } });
  aEffects.push_back(CheckStore{});
}

void
HandleStoreChecked(ForwarderState& aState,
                   const StoreChecked& aEvent,
                   TimePoint aNow,
                   ForwarderEffects& aEffects)
{
  const TimePoint checkedAt = aState.mFreshness.mCheckedAt;
  aState.mFreshness.mIsCheckPending = false;
  if (aEvent.mResult) {
    const EraVerdict verdict = JudgeEra(aState.mEra, aEvent.mEra);
    if (verdict == EraVerdict::kNew) {
      BeginEra(aState, aEvent.mEra, aNow, aEffects);
    }
    if (verdict != EraVerdict::kPresent) {
      ScheduleStoreCheck(aState, aNow);
      return;
    }
  }
  if (aEvent.mResult) {
    RecordRevision(aState, *aEvent.mResult, checkedAt, aNow);
    if (*aEvent.mResult <= aState.mStore.mRevision) {
      RecordSound(aState, checkedAt);
    }
    ReportRevision(aState, *aEvent.mResult, aNow - checkedAt, aEffects);
  } else if (IsWatching(aState.mStore) &&
             aState.mStore.mPendingCall->mSince <= checkedAt) {
    aEffects.push_back(AbandonWatch{});
    HandleStoreFailure(aState, aEvent.mResult.error(), aNow, aEffects);
    return;
  }
  ScheduleStoreCheck(aState, aNow);
}

void
HandleRevisionReported(ForwarderState& aState,
                       const RevisionReported& aEvent,
                       TimePoint aNow,
                       ForwarderEffects& aEffects)
{
  const EraVerdict verdict = JudgeEra(aState.mEra, aEvent.mEra);
  if (verdict == EraVerdict::kNew) {
    BeginEra(aState, aEvent.mEra, aNow, aEffects);
  }
  if (verdict != EraVerdict::kPresent) {
    return;
  }
  RecordRevision(aState, aEvent.mRevision, aNow - aEvent.mAge, aNow);
  RetryStoreAfterReport(aState, aNow);
}

void
ReportStoreReturn(const ForwarderState& aState,
                  TimePoint aNow,
                  ForwarderEffects& aEffects)
{
  const std::vector<const Member*> followers = Followers(aState);
  const std::size_t own = OwnPosition(aState, followers);
  if (aState.IsStopping() || own == followers.size()) {
    return;
  }
  for (const auto& [name, member] : aState.mMembership.mMembers) {
    const bool isTold = name != aState.mPolicy.mName &&
                        member.mLeftAt == TimePoint::max() &&
                        member.mRecord.mZone == aState.mPolicy.mZone;
    if (isTold) {
      aEffects.push_back(
        SendPeerMessage{ IdFromName<VmId>(name),
                         member.mRecord.mAddress,
                         RevisionReport{ aState.mStore.mRevision.Value(),
                                         KnowledgeAge(aState, aNow),
                                         aState.mEra.mEra } });
    }
  }
}

void
HandleWatchOverdue(ForwarderState& aState,
                   std::uint64_t aWatch,
                   TimePoint aNow,
                   ForwarderEffects& aEffects)
{
  const StoreState& store = aState.mStore;
  const StoreRevision newest = aState.mFreshness.mNewestSeen;
  if (!IsWatching(store) || store.mWatchNumber != aWatch ||
      newest <= store.mRevision) {
    return;
  }
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kState,
      "watch-abandoned",
      {},
      { { "revision", static_cast<std::int64_t>(store.mRevision.Value()) },
        { "store_revision", static_cast<std::int64_t>(newest.Value()) },
        { "watch_age_ms", ToMilliseconds(aNow - store.mPendingCall->mSince) },
        { "knowledge_age_ms",
          ToMilliseconds(KnowledgeAge(aState, aNow)) } } } });
  aEffects.push_back(AbandonWatch{});
  FollowStoreDirectly(aState, aNow, aEffects);
}

} // namespace wasabispread::forwarding
