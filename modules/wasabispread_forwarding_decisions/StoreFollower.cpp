/*
 * Handles the results of listing and watching the store.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** Time that a watch waits for a change. It is long because each watch counts
    as a call to the store; StoreFreshness detects one whose answer was lost. */
constexpr Duration kWatchWait = std::chrono::seconds(28);
/** As kWatchWait, for a VM that was refused by the VM it asked: it then asks
    again. */
constexpr Duration kWatchWaitBesideRelay = std::chrono::seconds(1);
/** As kWatchWait, for the first watch, which only catches up. */
constexpr Duration kCatchUpWait = std::chrono::milliseconds(1);
/** Bounds of the delay before a failed call is made again. */
constexpr Duration kFirstRetry = std::chrono::milliseconds(200);
constexpr Duration kMaxRetry = std::chrono::milliseconds(800);
/** As kMaxRetry, for a VM whose relay tries more often for it. */
constexpr Duration kMaxRetryBesideRelay = std::chrono::seconds(4);
/** The largest part of the time in which a configuration has to be in force
    that passes before a failed call is made again, without its random part of
    up to half as much. The rest is for the call. */
constexpr double kMaxRetryShare = 0.4;
/** The time over which the VMs of a zone spread their calls when they hear that
    the store is available again. */
constexpr Duration kReturnSpread = std::chrono::milliseconds(600);
/** Bounds of the interval between reads: well within the seconds in which a
    configuration must be in force and a draining target may still get
    requests. */
constexpr Duration kMinInterval = std::chrono::milliseconds(800);
constexpr Duration kMaxInterval = std::chrono::milliseconds(1600);
/** Number of changes in one answer from which on there may be more, so that
    they are read at once. */
constexpr std::size_t kManyChanges = 100;
/** Number of VMs up to which the minimum interval causes little load. */
constexpr std::size_t kVmsAtMinInterval = 16;
/** Time without an answer after which a record states what is awaited. */
constexpr Duration kReportedSilence = std::chrono::seconds(4);

void
ArmFollowTimer(ForwarderState& aState, TimePoint aWhen)
{
  aState.mTimers.Arm(aWhen, ForwarderTimer::kFollowStore);
}

/** The longest delay, without its random part, before a failed call is made
    again. */
Duration
MaxRetry(const ForwarderState& aState, TimePoint aNow)
{
  if (!ChooseRelay(aState, aNow)) {
    return kMaxRetry;
  }
  const auto share = Duration(static_cast<std::int64_t>(
    kMaxRetryShare *
    static_cast<double>(aState.mPolicy.mConfigurationTime.count())));
  return std::clamp(share, kMaxRetry, kMaxRetryBesideRelay);
}

Duration
RandomPart(ForwarderState& aState, Duration aTime)
{
  return Duration(static_cast<std::int64_t>(
    aState.mRandom.Fraction() * static_cast<double>(aTime.count())));
}

void
HandleStoreReply(ForwarderState& aState,
                 TimePoint aNow,
                 ForwarderEffects& aEffects)
{
  StoreState& store = aState.mStore;
  store.mFailures = 0;
  store.mLastReply = aNow;
  if (store.IsUnavailable()) {
    aEffects.push_back(WriteDecisionRecord{
      { RecordClass::kState,
        "store-available",
        {},
        { { "unavailable_ms",
            ToMilliseconds(aNow - store.mUnavailableSince) } } } });
    store.mUnavailableSince = TimePoint::max();
    store.mAvailableAgainSince = aNow;
  }
}

void
RecordUnreadableConfiguration(ForwarderState& aState,
                              const std::string& aReason,
                              ForwarderEffects& aEffects)
{
  ++aState.mCounters.mUnreadableEntries;
  aState.mStore.mIsConfigurationUnreadable = true;
  const std::int64_t version =
    aState.mConfiguration == nullptr
      ? 0
      : static_cast<std::int64_t>(aState.mConfiguration->mVersion.Value());
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kNotable,
      "configuration-unreadable",
      {},
      { { "reason", aReason }, { "version_in_force", version } } } });
}

/** Whether a complete list of entries has a configuration, readable or not. */
bool
HasConfiguration(const std::vector<StoreChange>& aEntries)
{
  return std::any_of(
    aEntries.begin(), aEntries.end(), [](const StoreChange& aEntry) {
      return std::holds_alternative<ConfigurationChange>(aEntry) ||
             std::holds_alternative<UnreadableConfiguration>(aEntry);
    });
}

/** Applies one change of the store. */
struct ChangeHandler
{
  ForwarderState& mState;
  TimePoint mNow;
  ForwarderEffects& mEffects;

  void operator()(const ConfigurationChange& aChange)
  {
    mState.mStore.mIsConfigurationUnreadable = false;
    LogIfNotNewer(aChange);
    mState.mStore.mConfigurationVersion = aChange.mConfiguration->mVersion;
    AdoptConfiguration(mState, aChange, "store", mNow, mEffects);
  }

  void operator()(const UnreadableConfiguration& aChange)
  {
    RecordUnreadableConfiguration(mState, aChange.mReason, mEffects);
  }

  void operator()(const TargetChange& aChange)
  {
    ApplyTarget(mState, aChange, mNow, mEffects);
  }

  void operator()(const TargetRemoval& aChange)
  {
    if (!aChange.mReason.empty()) {
      ReportUnreadable("target " + aChange.mInstance.Value(), aChange.mReason);
    }
    RemoveTarget(mState, aChange.mInstance, mNow, mEffects);
  }

  void operator()(const MemberChange& aChange)
  {
    ApplyMember(mState.mMembership, aChange.mRecord);
  }

  void operator()(const MemberRemoval& aChange)
  {
    RemoveMember(mState.mMembership, aChange.mName, mNow);
  }

  void operator()(const EvacuationChange& aChange)
  {
    std::erase(mState.mEra.mEvacuations, aChange.mZone);
    if (aChange.mIsEvacuated) {
      mState.mEra.mEvacuations.push_back(aChange.mZone);
    }
    ApplyEvacuation(mState, aChange, mNow, mEffects);
  }

  void operator()(const QuotaClaimChange& aChange)
  {
    ApplyClaim(mState, aChange, mNow);
  }

  void operator()(const QuotaClaimRemoval& aChange)
  {
    RemoveClaim(mState, aChange.mPartition, mNow);
  }

  void operator()(const UnreadableEntry& aChange)
  {
    ReportUnreadable(aChange.mKey, aChange.mReason);
  }

  /** Writes a record of a configuration that is not adopted although it is
      another one than that in force; each list has it again. */
  void LogIfNotNewer(const ConfigurationChange& aChange)
  {
    if (mState.mConfiguration == nullptr) {
      return;
    }
    const ConfigurationVersion version = aChange.mConfiguration->mVersion;
    const ConfigurationVersion inForce = mState.mConfiguration->mVersion;
    const bool isOther =
      version < inForce
        ? version != mState.mStore.mConfigurationVersion
        : version == inForce && *aChange.mText != *mState.mConfigurationText;
    if (isOther) {
      mEffects.push_back(WriteDecisionRecord{
        { RecordClass::kNotable,
          "configuration-not-newer",
          {},
          { { "version", static_cast<std::int64_t>(version.Value()) },
            { "version_in_force",
              static_cast<std::int64_t>(inForce.Value()) } } } });
    }
  }

  void ReportUnreadable(const std::string& aEntry, const std::string& aReason)
  {
    ++mState.mCounters.mUnreadableEntries;
    mEffects.push_back(
      WriteDecisionRecord{ { RecordClass::kNotable,
                             "entry-unreadable",
                             {},
                             { { "key", aEntry }, { "reason", aReason } } } });
  }
};

/** Applies changes, and keeps them for VMs that ask for them. */
void
ApplyChanges(ForwarderState& aState,
             const StoreChanges& aChanges,
             TimePoint aNow,
             ForwarderEffects& aEffects)
{
  ChangeHandler handler{ aState, aNow, aEffects };
  for (const StoreChange& change : aChanges.mChanges) {
    std::visit(handler, change);
  }
  StoreState& store = aState.mStore;
  const bool isNew = aChanges.mRevision > store.mRevision;
  store.mRevision = std::max(store.mRevision, aChanges.mRevision);
  if (!isNew || aChanges.mChanges.empty()) {
    return;
  }
  auto text = aChanges.mCompressedText;
  if (text == nullptr && aChanges.mText != nullptr && IsAsked(aState, aNow)) {
    text = std::make_shared<const CompressedText>(
      CompressedText{ Compress(*aChanges.mText, CompressionLevel::kBestSpeed),
                      static_cast<std::uint32_t>(aChanges.mText->size()) });
  }
  if (text == nullptr) {
    ForgetChanges(aState.mRelay, aChanges.mRevision);
  } else {
    KeepChanges(aState, aChanges.mRevision, std::move(text), aNow, aEffects);
  }
}

void
RemoveMembersMissingFrom(MembershipState& aMembership,
                         const std::vector<StoreChange>& aEntries,
                         TimePoint aNow)
{
  for (const auto& member : aMembership.mMembers) {
    const std::string& name = member.first;
    const bool isListed = std::any_of(
      aEntries.begin(), aEntries.end(), [&](const StoreChange& aEntry) {
        const auto* change = std::get_if<MemberChange>(&aEntry);
        return change != nullptr && change->mRecord.mName == name;
      });
    if (!isListed) {
      RemoveMember(aMembership, name, aNow);
    }
  }
}

} // namespace

Duration
FollowInterval(std::size_t aVms)
{
  const auto scale = static_cast<double>(aVms) / kVmsAtMinInterval;
  const auto interval = Duration(static_cast<std::int64_t>(
    scale * static_cast<double>(kMinInterval.count())));
  return std::clamp(interval, kMinInterval, kMaxInterval);
}

namespace {

const char*
ToText(PendingStoreCall::Kind aKind)
{
  switch (aKind) {
    case PendingStoreCall::Kind::kList:
      return "list";
    case PendingStoreCall::Kind::kWatch:
      return "watch";
    case PendingStoreCall::Kind::kRelay:
      break;
  }
  return "relay";
}

} // namespace

void
ReportStoreSilence(ForwarderState& aState,
                   TimePoint aNow,
                   ForwarderEffects& aEffects)
{
  aState.mTimers.Arm(aNow + kReportedSilence, ForwarderTimer::kReportSilence);
  const StoreState& store = aState.mStore;
  const Duration silence = aNow - std::max(store.mLastReply, aState.mStarted);
  const Duration age = KnowledgeAge(aState, aNow);
  if (silence < kReportedSilence || age < kReportedSilence) {
    return;
  }
  DecisionRecord record{
    RecordClass::kState,
    "store-not-heard",
    {},
    { { "silence_ms", ToMilliseconds(silence) },
      { "knowledge_age_ms", ToMilliseconds(age) },
      { "revision", static_cast<std::int64_t>(store.mRevision.Value()) },
      { "version",
        static_cast<std::int64_t>(
          aState.mConfiguration == nullptr
            ? 0
            : aState.mConfiguration->mVersion.Value()) },
      { "call",
        store.mPendingCall ? ToText(store.mPendingCall->mKind) : "none" } }
  };
  if (store.mPendingCall) {
    record.mFields.push_back(
      { "call_age_ms", ToMilliseconds(aNow - store.mPendingCall->mSince) });
    record.mFields.push_back(
      { "call_wait_ms", ToMilliseconds(store.mPendingCall->mWait) });
  }
  aEffects.push_back(WriteDecisionRecord{ std::move(record) });
}

void
FollowStore(ForwarderState& aState, TimePoint aNow, ForwarderEffects& aEffects)
{
  const auto relay = aState.mStore.mNeedsList || aState.IsStopping()
                       ? std::nullopt
                       : ChooseRelay(aState, aNow);
  if (relay) {
    AskForChanges(aState, *relay, aNow, aEffects);
  } else {
    FollowStoreDirectly(aState, aNow, aEffects);
  }
}

namespace {

Duration
WatchWait(const ForwarderState& aState, TimePoint aNow)
{
  if (aState.mStore.mIsCatchingUp) {
    return kCatchUpWait;
  }
  return ChooseRelay(aState, aNow) ? kWatchWaitBesideRelay : kWatchWait;
}

} // namespace

void
FollowStoreDirectly(ForwarderState& aState,
                    TimePoint aNow,
                    ForwarderEffects& aEffects)
{
  ++aState.mCounters.mStoreCalls;
  StoreState& store = aState.mStore;
  store.mLastDirectCall = aNow;
  if (store.mNeedsList) {
    store.mPendingCall = { PendingStoreCall::Kind::kList, aNow, {} };
    aEffects.push_back(ListStore{ !store.mNeedsFreshList });
  } else {
    const Duration wait = WatchWait(aState, aNow);
    store.mPendingCall = { PendingStoreCall::Kind::kWatch, aNow, wait };
    ++store.mWatchNumber;
    aEffects.push_back(WatchStore{ store.mRevision, wait });
    ScheduleStoreCheck(aState, aNow);
  }
}

void
HandleStoreFailure(ForwarderState& aState,
                   const Error& aError,
                   TimePoint aNow,
                   ForwarderEffects& aEffects)
{
  StoreState& store = aState.mStore;
  store.mPendingCall.reset();
  store.mLastFailure = aNow;
  ++aState.mCounters.mStoreFailures;
  if (!store.IsUnavailable()) {
    store.mUnavailableSince = aNow;
    aEffects.push_back(
      WriteDecisionRecord{ { RecordClass::kState,
                             "store-unavailable",
                             {},
                             { { "error", aError.mMessage } } } });
  }
  RefuseWaitingVms(aState, aNow, aEffects);
  const Duration maxRetry = MaxRetry(aState, aNow);
  Duration wait = kFirstRetry;
  for (unsigned count = 0; count < store.mFailures && wait < maxRetry;
       ++count) {
    wait = std::min(2 * wait, maxRetry);
  }
  ++store.mFailures;
  // Missed changes are read by listing all entries, because the answers to a
  // watch that lags far behind hold only a limited number of changes each.
  store.mNeedsList = true;
  ArmFollowTimer(aState, aNow + wait + RandomPart(aState, wait / 2));
  if (!aState.mMembership.mIsAskingPeers) {
    RequestRoutingFromNextPeer(aState, aNow, aEffects);
  }
}

void
HandleEntriesListed(ForwarderState& aState,
                    EntriesListed aEvent,
                    TimePoint aNow,
                    ForwarderEffects& aEffects)
{
  const auto listed = std::exchange(aState.mStore.mPendingCall, std::nullopt);
  if (!aEvent.mResult) {
    HandleStoreFailure(aState, aEvent.mResult.error(), aNow, aEffects);
    return;
  }
  const StoreContent& content = *aEvent.mResult;
  StoreState& store = aState.mStore;
  const EraVerdict verdict = JudgeEra(aState.mEra, content.mEra);
  if (verdict == EraVerdict::kUnusable) {
    store.mNeedsFreshList = true;
    HandleUnusableEra(aState, content.mEra, aNow, aEffects);
    return;
  }
  if (verdict == EraVerdict::kNew) {
    BeginEra(aState, content.mEra, aNow, aEffects);
    return;
  }
  if (store.mIsLoaded && content.mRevision < store.mRevision) {
    // The entries are older than what is known already. A second list is
    // awaited: a store that went back without saying so stays behind.
    const bool wasFresh = std::exchange(store.mNeedsFreshList, true);
    if (wasFresh) {
      ArmFollowTimer(aState, aNow + kMaxRetry);
    } else {
      FollowStoreDirectly(aState, aNow, aEffects);
    }
    return;
  }
  if (store.IsUnavailable()) {
    // Before the list is applied: VMs whose leases ended in the outage are not
    // in it.
    ReportStoreReturn(aState, aNow, aEffects);
  }
  HandleStoreReply(aState, aNow, aEffects);
  const bool isFresh = listed && store.mNeedsFreshList;
  if (isFresh) {
    RecordComplete(aState, listed->mSince);
  }
  const bool isFirst = !store.mIsLoaded;
  ChangeHandler handler{ aState, aNow, aEffects };
  for (const StoreChange& entry : content.mEntries) {
    std::visit(handler, entry);
  }
  RemoveClaimsMissingFrom(aState, content.mEntries, aNow);
  if (std::exchange(aState.mEra.mIsFirstList, false)) {
    KeepUnconfirmed(aState, content.mEntries, aNow);
  } else {
    if (aState.mConfiguration != nullptr &&
        !HasConfiguration(content.mEntries)) {
      RecordUnreadableConfiguration(
        aState, "the store has no configuration", aEffects);
    }
    RemoveMembersMissingFrom(aState.mMembership, content.mEntries, aNow);
    SetEvacuations(aState, EvacuatedZones(content.mEntries), aNow, aEffects);
  }
  RemoveTargetsMissingFrom(aState, content.mEntries, aNow, aEffects);
  RefreshAssignments(aState, aNow, aEffects);
  if (isFresh && content.mRevision == content.mNewestRevision) {
    RecordSound(aState, listed->mSince);
  }
  store.mNeedsList = false;
  store.mNeedsFreshList = false;
  store.mRevision = content.mRevision;
  store.mNewestListed = content.mNewestRevision;
  ForgetChanges(aState.mRelay, content.mRevision);
  // The entries may be old: a target that left since must not be used again.
  store.mIsCatchingUp = isFirst || content.mRevision < content.mNewestRevision;
  if (store.mIsCatchingUp) {
    FollowStoreDirectly(aState, aNow, aEffects);
  } else {
    FollowStore(aState, aNow, aEffects);
  }
}

void
HandleChangesWatched(ForwarderState& aState,
                     ChangesWatched aEvent,
                     TimePoint aNow,
                     ForwarderEffects& aEffects)
{
  const auto watched = std::exchange(aState.mStore.mPendingCall, std::nullopt);
  if (!aEvent.mResult) {
    HandleStoreFailure(aState, aEvent.mResult.error(), aNow, aEffects);
    return;
  }
  HandleStoreReply(aState, aNow, aEffects);
  StoreState& store = aState.mStore;
  const StoreChanges& changes = *aEvent.mResult;
  const EraVerdict verdict = JudgeEra(aState.mEra, changes.mEra);
  if (verdict == EraVerdict::kNew) {
    // Changes after a revision of another era look complete and are not.
    BeginEra(aState, changes.mEra, aNow, aEffects);
    return;
  }
  if (verdict == EraVerdict::kUnusable) {
    HandleUnusableEra(aState, changes.mEra, aNow, aEffects);
    return;
  }
  if (changes.mIsHistoryLost) {
    aEffects.push_back(WriteDecisionRecord{
      { RecordClass::kState,
        "store-history-lost",
        {},
        { { "after",
            static_cast<std::int64_t>(store.mRevision.Value()) } } } });
    store.mNeedsList = true;
    store.mNeedsFreshList = true;
    // A store that has no history for the revision that it has just listed
    // would be listed without a pause.
    if (aNow - store.mLastHistoryLost < 2 * kMaxInterval) {
      ArmFollowTimer(aState, aNow + kMaxInterval);
    } else {
      FollowStoreDirectly(aState, aNow, aEffects);
    }
    store.mLastHistoryLost = aNow;
    return;
  }
  ApplyChanges(aState, changes, aNow, aEffects);
  RecordComplete(aState, aNow);
  // An answer with many changes may not hold all of them.
  if (watched && changes.mChanges.size() < kManyChanges &&
      store.mRevision >= store.mNewestListed) {
    RecordSound(aState, watched->mSince);
  }
  if (store.mIsCatchingUp) {
    const bool isBehind = store.mRevision < store.mNewestListed ||
                          changes.mChanges.size() >= kManyChanges;
    if (isBehind) {
      RefreshAssignments(aState, aNow, aEffects);
      FollowStoreDirectly(aState, aNow, aEffects);
      return;
    }
    store.mIsCatchingUp = false;
    store.mIsLoaded = true;
    RefreshAssignments(aState, aNow, aEffects);
    // VMs that start together register one after another; their entries are
    // read together after the interval.
    ArmFollowTimer(aState, aNow + FollowInterval(CountFollowers(aState)));
    return;
  }
  if (changes.mChanges.empty()) {
    FollowStore(aState, aNow, aEffects);
    return;
  }
  RefreshAssignments(aState, aNow, aEffects);
  if (changes.mChanges.size() >= kManyChanges || ChooseRelay(aState, aNow)) {
    FollowStore(aState, aNow, aEffects);
    return;
  }
  ArmFollowTimer(aState, aNow + FollowInterval(CountFollowers(aState)));
}

void
FollowStoreAfterRefusal(ForwarderState& aState,
                        TimePoint aNow,
                        ForwarderEffects& aEffects)
{
  const TimePoint next =
    aState.mStore.mLastDirectCall + FollowInterval(CountFollowers(aState));
  if (aNow < next) {
    aState.mStore.mPendingCall.reset();
    ArmFollowTimer(aState, next);
  } else {
    FollowStoreDirectly(aState, aNow, aEffects);
  }
}

void
RetryStoreSooner(ForwarderState& aState,
                 TimePoint aNow,
                 ForwarderEffects& aEffects)
{
  const StoreState& store = aState.mStore;
  if (store.IsUnavailable() && !store.mPendingCall &&
      aNow - store.mLastFailure >= kMaxRetry) {
    FollowStoreDirectly(aState, aNow, aEffects);
  }
}

void
RetryStoreAfterReport(ForwarderState& aState, TimePoint aNow)
{
  const StoreState& store = aState.mStore;
  if (store.IsUnavailable() && !store.mPendingCall) {
    const TimePoint when = std::max(aNow, store.mLastFailure + kMaxRetry);
    ArmFollowTimer(aState, when + RandomPart(aState, kReturnSpread));
  }
}

void
ApplyRelayedChanges(ForwarderState& aState,
                    const std::vector<StoreChanges>& aChanges,
                    TimePoint aNow,
                    ForwarderEffects& aEffects)
{
  aState.mStore.mLastReply = aNow;
  bool isChanged = false;
  for (const StoreChanges& changes : aChanges) {
    ApplyChanges(aState, changes, aNow, aEffects);
    isChanged = isChanged || !changes.mChanges.empty();
  }
  if (isChanged) {
    RefreshAssignments(aState, aNow, aEffects);
  }
}

namespace {

/** Gives up the quota of organisations that have no limit in the new
    configuration. What this VM counted of it is kept: a granting VM that did
    not learn of that configuration counts on, and the counts of one session
    only rise. */
void
GiveUpQuotaWithoutLimit(ForwarderState& aState)
{
  for (auto& [id, quota] : aState.mQuota.mOrganisations) {
    if (!LimitOf(aState, id).IsLimited()) {
      ReturnAll(quota.mHeld);
      quota.mSpare = {};
    }
  }
  for (QuotaPartition& partition : aState.mQuota.mClaims.mPartitions) {
    std::erase_if(partition.mLedgers, [&](const auto& aEntry) {
      return !LimitOf(aState, aEntry.first).IsLimited();
    });
  }
}

/** Writes a record when requests need no key from now on. */
void
LogKeysAbolished(const RoutingPointer& aPrevious,
                 const RoutingConfiguration& aNext,
                 ForwarderEffects& aEffects)
{
  if (aPrevious != nullptr && aPrevious->mOrganisations &&
      !aNext.mOrganisations) {
    aEffects.push_back(WriteDecisionRecord{
      { RecordClass::kState,
        "organisations-removed",
        {},
        { { "version", static_cast<std::int64_t>(aNext.mVersion.Value()) },
          { "effect", std::string("requests need no key") } } } });
  }
}

/** Writes a record for each listed part of a configuration that cannot be
    read. */
void
LogUnreadableParts(const RoutingConfiguration& aConfiguration,
                   ForwarderEffects& aEffects)
{
  for (const UnreadablePart& part : aConfiguration.mUnreadable.mListed) {
    aEffects.push_back(WriteDecisionRecord{
      { RecordClass::kState,
        "configuration-part-unreadable",
        {},
        { { "version",
            static_cast<std::int64_t>(aConfiguration.mVersion.Value()) },
          { "part", part.mPlace },
          { "reason", part.mReason } } } });
  }
}

} // namespace

void
AdoptConfiguration(ForwarderState& aState,
                   const ConfigurationChange& aChange,
                   std::string_view aSource,
                   TimePoint aNow,
                   ForwarderEffects& aEffects)
{
  const ConfigurationVersion version = aChange.mConfiguration->mVersion;
  if (aState.mConfiguration != nullptr &&
      version <= aState.mConfiguration->mVersion) {
    return;
  }
  const auto previous =
    aState.mConfiguration == nullptr
      ? std::int64_t{ 0 }
      : static_cast<std::int64_t>(aState.mConfiguration->mVersion.Value());
  LogKeysAbolished(aState.mConfiguration, *aChange.mConfiguration, aEffects);
  aState.mConfiguration = aChange.mConfiguration;
  aState.mStore.mIsConfigurationUnreadable = false;
  aState.mConfigurationText = aChange.mText;
  aState.mConfigurationSince = aNow;
  GiveUpQuotaWithoutLimit(aState);
  aState.mRoutedServices.clear();
  for (const Route& route : aState.mConfiguration->mRoutes) {
    aState.mRoutedServices.insert(route.mShards.begin(), route.mShards.end());
    for (const SplitPart& part : route.mParts) {
      aState.mRoutedServices.insert(part.mService);
    }
  }
  aEffects.push_back(LimitCallers{ aState.mConfiguration->mLimits });
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kState,
      "configuration-adopted",
      {},
      { { "version", static_cast<std::int64_t>(version.Value()) },
        { "previous", previous },
        { "source", std::string(aSource) },
        { "routes",
          static_cast<std::int64_t>(aState.mConfiguration->mRoutes.size()) },
        { "unreadable_parts",
          static_cast<std::int64_t>(
            aState.mConfiguration->mUnreadable.mCount) } } } });
  LogUnreadableParts(*aState.mConfiguration, aEffects);
  RefreshAssignments(aState, aNow, aEffects);
}

} // namespace wasabispread::forwarding
