/*
 * Lists, watches and what follows from their results.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** Each watch is a call that counts, so it waits long; a connection that fell
    silent is noticed by keep-alive probes. */
constexpr Duration kWatchWait = std::chrono::seconds(20);
constexpr Duration kFirstRetry = std::chrono::milliseconds(200);
constexpr Duration kMostRetry = std::chrono::milliseconds(800);
/** Targets and VMs change often; their changes are taken in batches, well
    within the seconds after which a leaving target may get no more requests.
    Of VMs only the number matters, so their news may be older. */
constexpr Duration kTargetsInterval = std::chrono::milliseconds(800);
constexpr Duration kMembersInterval = std::chrono::seconds(3);

void
FollowLater(ForwarderState& aState, StoreArea aArea, TimePoint aWhen)
{
  aState.mTimers.Arm(
    aWhen, ForwarderTimer::kFollowArea, static_cast<std::uint64_t>(aArea));
}

void
HandleFailure(ForwarderState& aState,
              StoreArea aArea,
              const Error& aError,
              TimePoint aNow,
              ForwarderEffects& aEffects)
{
  AreaFollow& area = aState.mStore.Area(aArea);
  ++aState.mCounters.mStoreFailures;
  if (!aState.mStore.IsAway()) {
    aState.mStore.mAwaySince = aNow;
    aEffects.push_back(WriteLine{ { LineClass::kState,
                                    "store-lost",
                                    {},
                                    { { "area", std::string(ToText(aArea)) },
                                      { "error", aError.mMessage } } } });
  }
  Duration wait = kFirstRetry;
  for (unsigned count = 0; count < area.mFailures && wait < kMostRetry;
       ++count) {
    wait *= 2;
  }
  ++area.mFailures;
  const auto jitter = Duration(static_cast<std::int64_t>(
    aState.mRandom.Fraction() * static_cast<double>(wait.count()) / 2));
  FollowLater(aState, aArea, aNow + std::min(wait, kMostRetry) + jitter);
  if (!aState.mFleet.mIsAsking) {
    AskNextPeer(aState, aNow, aEffects);
  }
}

void
HandleAnswered(ForwarderState& aState,
               StoreArea aArea,
               TimePoint aNow,
               ForwarderEffects& aEffects)
{
  AreaFollow& area = aState.mStore.Area(aArea);
  area.mFailures = 0;
  area.mHeard = aNow;
  if (aState.mStore.IsAway()) {
    aEffects.push_back(WriteLine{
      { LineClass::kState,
        "store-regained",
        {},
        { { "away_ms", ToMilliseconds(aNow - aState.mStore.mAwaySince) } } } });
    aState.mStore.mAwaySince = TimePoint::max();
    aState.mStore.mReturned = aNow;
  }
}

/** Applies one change of an area. */
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
    mEffects.push_back(WriteLine{
      { LineClass::kState,
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

std::string_view
ToText(StoreArea aArea)
{
  switch (aArea) {
    case StoreArea::kConfiguration:
      return "configuration";
    case StoreArea::kTargets:
      return "targets";
    case StoreArea::kMembers:
      break;
  }
  return "members";
}

void
FollowArea(ForwarderState& aState, StoreArea aArea, ForwarderEffects& aEffects)
{
  const AreaFollow& area = aState.mStore.Area(aArea);
  ++aState.mCounters.mStoreCalls;
  if (area.mNeedsList) {
    aEffects.push_back(ListArea{ aArea });
  } else {
    aEffects.push_back(WatchArea{ aArea, area.mRevision, kWatchWait });
  }
}

void
HandleAreaListed(ForwarderState& aState,
                 AreaListed aEvent,
                 TimePoint aNow,
                 ForwarderEffects& aEffects)
{
  if (!aEvent.mResult) {
    HandleFailure(aState, aEvent.mArea, aEvent.mResult.error(), aNow, aEffects);
    return;
  }
  HandleAnswered(aState, aEvent.mArea, aNow, aEffects);
  AreaFollow& area = aState.mStore.Area(aEvent.mArea);
  const AreaContent& content = *aEvent.mResult;
  ChangeHandler handler{ aState, aNow, aEffects };
  for (const StoreChange& entry : content.mEntries) {
    std::visit(handler, entry);
  }
  if (aEvent.mArea == StoreArea::kTargets) {
    RemoveTargetsMissingFrom(aState, content.mEntries, aNow, aEffects);
  } else if (aEvent.mArea == StoreArea::kMembers) {
    RemoveMembersMissingFrom(aState.mFleet, content.mEntries, aNow);
  }
  RefreshAssignments(aState, aNow, aEffects);
  area.mIsLoaded = true;
  area.mNeedsList = false;
  area.mRevision = content.mRevision;
  FollowArea(aState, aEvent.mArea, aEffects);
}

void
HandleAreaWatched(ForwarderState& aState,
                  AreaWatched aEvent,
                  TimePoint aNow,
                  ForwarderEffects& aEffects)
{
  if (!aEvent.mResult) {
    HandleFailure(aState, aEvent.mArea, aEvent.mResult.error(), aNow, aEffects);
    return;
  }
  HandleAnswered(aState, aEvent.mArea, aNow, aEffects);
  AreaFollow& area = aState.mStore.Area(aEvent.mArea);
  const AreaChanges& changes = *aEvent.mResult;
  if (changes.mIsHistoryLost) {
    aEffects.push_back(WriteLine{
      { LineClass::kState,
        "store-history-lost",
        {},
        { { "area", std::string(ToText(aEvent.mArea)) },
          { "after", static_cast<std::int64_t>(area.mRevision.Value()) } } } });
    area.mNeedsList = true;
    FollowArea(aState, aEvent.mArea, aEffects);
    return;
  }
  ChangeHandler handler{ aState, aNow, aEffects };
  for (const StoreChange& change : changes.mChanges) {
    std::visit(handler, change);
  }
  if (!changes.mChanges.empty() && aEvent.mArea != StoreArea::kConfiguration) {
    RefreshAssignments(aState, aNow, aEffects);
  }
  area.mRevision = std::max(area.mRevision, changes.mRevision);
  if (aEvent.mArea == StoreArea::kConfiguration || changes.mChanges.empty()) {
    FollowArea(aState, aEvent.mArea, aEffects);
  } else {
    FollowLater(aState,
                aEvent.mArea,
                aNow + (aEvent.mArea == StoreArea::kTargets
                          ? kTargetsInterval
                          : kMembersInterval));
  }
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
  aEffects.push_back(
    WriteLine{ { LineClass::kState,
                 "configuration-adopted",
                 {},
                 { { "version", static_cast<std::int64_t>(version.Value()) },
                   { "before", before },
                   { "source", std::string(aSource) },
                   { "routes",
                     static_cast<std::int64_t>(
                       aState.mConfiguration->mRoutes.size()) } } } });
  RefreshAssignments(aState, aNow, aEffects);
}

} // namespace wasabispread::forwarding
