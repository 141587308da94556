/*
 * Lists, watches and what follows from their results.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** Each watch is a call that counts, so it waits long; a connection that fell
    silent is noticed by keep-alive probes. */
constexpr Duration kWatchWait = std::chrono::seconds(28);
constexpr Duration kFirstRetry = std::chrono::milliseconds(200);
constexpr Duration kMostRetry = std::chrono::milliseconds(800);
/** Well within the seconds in which a configuration must be in force and a
    leaving target may still get requests. */
constexpr Duration kLeastInterval = std::chrono::milliseconds(800);
constexpr Duration kMostInterval = std::chrono::milliseconds(1600);
/** An answer with so many changes may not hold all that there are; more are
    read at once. */
constexpr std::size_t kManyChanges = 100;
/** Up to this many VMs the least interval costs little. */
constexpr std::size_t kVmsAtLeastInterval = 16;

void
FollowLater(ForwarderState& aState, TimePoint aWhen)
{
  aState.mTimers.Arm(aWhen, ForwarderTimer::kFollowStore);
}

void
HandleFailure(ForwarderState& aState,
              const Error& aError,
              TimePoint aNow,
              ForwarderEffects& aEffects)
{
  StoreState& store = aState.mStore;
  ++aState.mCounters.mStoreFailures;
  if (!store.IsUnavailable()) {
    store.mAwaySince = aNow;
    aEffects.push_back(
      WriteDecisionRecord{ { RecordClass::kState,
                             "store-unavailable",
                             {},
                             { { "error", aError.mMessage } } } });
  }
  Duration wait = kFirstRetry;
  for (unsigned count = 0; count < store.mFailures && wait < kMostRetry;
       ++count) {
    wait *= 2;
  }
  ++store.mFailures;
  // What was missed is read as a whole: answers to a watch that lags far
  // behind hold only so many changes each.
  store.mNeedsList = true;
  const auto jitter = Duration(static_cast<std::int64_t>(
    aState.mRandom.Fraction() * static_cast<double>(wait.count()) / 2));
  FollowLater(aState, aNow + std::min(wait, kMostRetry) + jitter);
  if (!aState.mFleet.mIsAsking) {
    AskNextPeer(aState, aNow, aEffects);
  }
}

void
HandleAnswered(ForwarderState& aState,
               TimePoint aNow,
               ForwarderEffects& aEffects)
{
  StoreState& store = aState.mStore;
  store.mFailures = 0;
  store.mHeard = aNow;
  if (store.IsUnavailable()) {
    aEffects.push_back(WriteDecisionRecord{
      { RecordClass::kState,
        "store-available",
        {},
        { { "unavailable_ms", ToMilliseconds(aNow - store.mAwaySince) } } } });
    store.mAwaySince = TimePoint::max();
    store.mReturned = aNow;
  }
}

/** Applies one change of the store. */
struct ChangeHandler
{
  ForwarderState& mState;
  TimePoint mNow;
  ForwarderEffects& mEffects;

  void operator()(const ConfigurationChange& aChange)
  {
    AdoptConfiguration(mState, aChange, "store", mNow, mEffects);
  }

  void operator()(const TargetChange& aChange)
  {
    ApplyTarget(mState, aChange.mRecord, mNow, mEffects);
  }

  void operator()(const TargetRemoval& aChange)
  {
    RemoveTarget(mState, aChange.mInstance, mNow, mEffects);
  }

  void operator()(const MemberChange& aChange)
  {
    ApplyMember(mState.mFleet, aChange.mRecord);
  }

  void operator()(const MemberRemoval& aChange)
  {
    RemoveMember(mState.mFleet, aChange.mName, mNow);
  }

  void operator()(const UnreadableEntry& aChange)
  {
    ++mState.mCounters.mUnreadableEntries;
    mEffects.push_back(WriteDecisionRecord{
      { RecordClass::kState,
        "entry-unreadable",
        {},
        { { "key", aChange.mKey }, { "reason", aChange.mReason } } } });
  }
};

void
RemoveMembersMissingFrom(FleetState& aFleet,
                         const std::vector<StoreChange>& aEntries,
                         TimePoint aNow)
{
  for (const auto& member : aFleet.mMembers) {
    const std::string& name = member.first;
    const bool isListed = std::any_of(
      aEntries.begin(), aEntries.end(), [&](const StoreChange& aEntry) {
        const auto* change = std::get_if<MemberChange>(&aEntry);
        return change != nullptr && change->mRecord.mName == name;
      });
    if (!isListed) {
      RemoveMember(aFleet, name, aNow);
    }
  }
}

} // namespace

Duration
FollowInterval(std::size_t aVms)
{
  const auto fleets = static_cast<double>(aVms) / kVmsAtLeastInterval;
  const auto interval = Duration(static_cast<std::int64_t>(
    fleets * static_cast<double>(kLeastInterval.count())));
  return std::clamp(interval, kLeastInterval, kMostInterval);
}

void
FollowStore(ForwarderState& aState, ForwarderEffects& aEffects)
{
  ++aState.mCounters.mStoreCalls;
  if (aState.mStore.mNeedsList) {
    aEffects.push_back(ListStore{});
  } else {
    aEffects.push_back(WatchStore{ aState.mStore.mRevision, kWatchWait });
  }
}

void
HandleEntriesListed(ForwarderState& aState,
                    EntriesListed aEvent,
                    TimePoint aNow,
                    ForwarderEffects& aEffects)
{
  if (!aEvent.mResult) {
    HandleFailure(aState, aEvent.mResult.error(), aNow, aEffects);
    return;
  }
  HandleAnswered(aState, aNow, aEffects);
  const StoreContent& content = *aEvent.mResult;
  ChangeHandler handler{ aState, aNow, aEffects };
  for (const StoreChange& entry : content.mEntries) {
    std::visit(handler, entry);
  }
  RemoveTargetsMissingFrom(aState, content.mEntries, aNow, aEffects);
  RemoveMembersMissingFrom(aState.mFleet, content.mEntries, aNow);
  RefreshAssignments(aState, aNow, aEffects);
  aState.mStore.mIsLoaded = true;
  aState.mStore.mNeedsList = false;
  aState.mStore.mRevision = content.mRevision;
  // VMs that start together enter one by one: read them in one go.
  FollowLater(aState, aNow + FollowInterval(aState.mFleet.mMembers.size()));
}

void
HandleChangesWatched(ForwarderState& aState,
                     ChangesWatched aEvent,
                     TimePoint aNow,
                     ForwarderEffects& aEffects)
{
  if (!aEvent.mResult) {
    HandleFailure(aState, aEvent.mResult.error(), aNow, aEffects);
    return;
  }
  HandleAnswered(aState, aNow, aEffects);
  StoreState& store = aState.mStore;
  const StoreChanges& changes = *aEvent.mResult;
  if (changes.mIsHistoryLost) {
    aEffects.push_back(WriteDecisionRecord{
      { RecordClass::kState,
        "store-history-lost",
        {},
        { { "after",
            static_cast<std::int64_t>(store.mRevision.Value()) } } } });
    store.mNeedsList = true;
    FollowStore(aState, aEffects);
    return;
  }
  ChangeHandler handler{ aState, aNow, aEffects };
  for (const StoreChange& change : changes.mChanges) {
    std::visit(handler, change);
  }
  store.mRevision = std::max(store.mRevision, changes.mRevision);
  if (changes.mChanges.empty()) {
    FollowStore(aState, aEffects);
    return;
  }
  RefreshAssignments(aState, aNow, aEffects);
  if (changes.mChanges.size() >= kManyChanges) {
    FollowStore(aState, aEffects);
    return;
  }
  FollowLater(aState, aNow + FollowInterval(aState.mFleet.mMembers.size()));
}

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
  const auto before =
    aState.mConfiguration == nullptr
      ? std::int64_t{ 0 }
      : static_cast<std::int64_t>(aState.mConfiguration->mVersion.Value());
  aState.mConfiguration = aChange.mConfiguration;
  aState.mConfigurationText = aChange.mText;
  aState.mConfigurationSince = aNow;
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
        { "previous", before },
        { "source", std::string(aSource) },
        { "routes",
          static_cast<std::int64_t>(
            aState.mConfiguration->mRoutes.size()) } } } });
  RefreshAssignments(aState, aNow, aEffects);
}

} // namespace wasabispread::forwarding
