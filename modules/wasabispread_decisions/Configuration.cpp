/*
 * The configuration's way from the store into force.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

constexpr Duration kWatchWait = std::chrono::seconds(20);

void
Reject(NodeState& aState,
       Revision aRevision,
       std::string aReason,
       Effects& aEffects)
{
  ++aState.mCounters.mConfigurationsRejected;
  aEffects.push_back(LogDecision{ ConfigurationRejected{
    aRevision, aState.mConfiguration.mRevision, std::move(aReason) } });
}

} // namespace

Duration
RetryDelay(std::uint32_t aFailures, Random& aRandom)
{
  constexpr Duration kLeastDelay = std::chrono::milliseconds(200);
  constexpr Duration kMostDelay = std::chrono::seconds(10);
  constexpr std::uint32_t kMostDoublings = 6;
  const std::uint32_t doublings = std::min(aFailures, kMostDoublings);
  const Duration whole =
    std::min(kMostDelay, kLeastDelay * (std::int64_t{ 1 } << doublings));
  const Duration half = whole / 2;
  const auto jitter = static_cast<std::int64_t>(
    aRandom.Below(static_cast<std::uint64_t>(half.count()) + 1));
  return half + Duration(jitter);
}

void
StartConfiguration(NodeState& aState, Effects& aEffects)
{
  ++aState.mCounters.mPlatformCalls;
  aEffects.push_back(
    WatchConfiguration{ aState.mConfiguration.mStoreVersion, kWatchWait });
}

void
HandleStoreWatched(NodeState& aState,
                   const StoreWatched& aEvent,
                   TimePoint aNow,
                   Effects& aEffects)
{
  ConfigurationState& configuration = aState.mConfiguration;
  if (!aEvent.mResult) {
    ++aState.mCounters.mPlatformFailures;
    ++configuration.mFailures;
    const Duration delay = RetryDelay(configuration.mFailures, aState.mRandom);
    aState.mTimers.Arm(aNow + delay, TimerKind::kWatchConfiguration);
    return;
  }
  configuration.mFailures = 0;
  configuration.mStoreSeen = aNow;
  const StoredConfiguration& stored = *aEvent.mResult;
  const bool isNews = stored.mStoreVersion > configuration.mStoreVersion;
  configuration.mStoreVersion =
    std::max(configuration.mStoreVersion, stored.mStoreVersion);
  if (stored.mRecord && isNews) {
    AdoptConfiguration(aState, *stored.mRecord, aNow, aEffects);
  }
  StartConfiguration(aState, aEffects);
}

void
AdoptConfiguration(NodeState& aState,
                   const ConfigurationRecord& aRecord,
                   TimePoint aNow,
                   Effects& aEffects)
{
  ConfigurationState& configuration = aState.mConfiguration;
  if (aRecord.mRevision <= configuration.mRevision) {
    Reject(aState, aRecord.mRevision, "not newer", aEffects);
    return;
  }
  auto deployment = ParseDeployment(aRecord.mText, "stored");
  if (!deployment) {
    Reject(
      aState, aRecord.mRevision, ToText(deployment.error().front()), aEffects);
    return;
  }
  const Revision previous = configuration.mRevision;
  configuration.mRevision = aRecord.mRevision;
  configuration.mChangeId = aRecord.mChangeId;
  configuration.mDeployment =
    std::make_shared<const Deployment>(std::move(*deployment));
  GroupTargets(configuration);
  ReconcilePools(aState, aNow, aEffects);
  ++aState.mCounters.mConfigurationsAdopted;
  aEffects.push_back(LogDecision{
    ConfigurationAdopted{ aRecord.mRevision, previous, aRecord.mChangeId } });
}

} // namespace wasabispread
