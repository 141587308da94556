/*
 * Watches the store, and parses and adopts the configurations read from it.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

constexpr Duration kWatchTimeout = std::chrono::seconds(20);
constexpr std::size_t kWatchersPerZone = 2;
/** How much text is parsed at a time, so that other events are handled in
    between. */
constexpr std::size_t kParseBytes = 16U << 10U;
constexpr Duration kParsePause = std::chrono::milliseconds(1);

void
ReportRejection(VmState& aState,
                Revision aRevision,
                std::string aReason,
                Effects& aEffects)
{
  ++aState.mCounters.mConfigurationsRejected;
  aEffects.push_back(LogDecision{ ConfigurationRejected{
    aRevision, aState.mConfiguration.mRevision, std::move(aReason) } });
}

std::uint64_t
WatcherWeight(VmId aVm)
{
  constexpr std::uint64_t kWatcherSeed = 0x77617463686572ULL;
  Random mixer(aVm.Value() ^ kWatcherSeed);
  return mixer.Next();
}

/** The key in ConfigurationState::mParts of a section that is parsed together
    with a first section. */
std::uint64_t
PartKey(std::uint64_t aFirst, std::uint64_t aSection)
{
  Random mixer(aFirst ^ (aSection * 0x9e3779b97f4a7c15ULL));
  return mixer.Next();
}

/** Parses the next section, or reuses the parsed part in force if neither it
    nor the first section has changed. Adds the text parsed to aBytes. */
tl::expected<DeploymentPart, Faults>
NextPart(const ConfigurationState& aConfiguration,
         const StagedConfiguration& aStaged,
         std::size_t& aBytes)
{
  const DeploymentSection& first = aStaged.mSections.front();
  const bool isOnly = aStaged.mSections.size() == 1;
  const DeploymentSection section =
    isOnly ? MakeSection({}) : aStaged.mSections[aStaged.mParts.size() + 1];
  const auto known =
    aConfiguration.mParts.find(PartKey(first.mHash, section.mHash));
  if (known != aConfiguration.mParts.end()) {
    return known->second;
  }
  aBytes += first.mText->size() + section.mText->size();
  return ParseSection(first, section);
}

/** Puts a deployment in force, with the sections that it was parsed from. */
void
Adopt(VmState& aState,
      StagedConfiguration aStaged,
      Deployment aDeployment,
      TimePoint aNow,
      Effects& aEffects)
{
  ConfigurationState& configuration = aState.mConfiguration;
  const Revision previous = configuration.mRevision;
  configuration.mRevision = aStaged.mMetadata.mRevision;
  configuration.mChangeId = aStaged.mMetadata.mChangeId;
  configuration.mMetadata = aStaged.mMetadata;
  configuration.mContentHash = ContentHash(aStaged.mHashes);
  configuration.mIsDisputed = false;
  configuration.mParts.clear();
  configuration.mSections.clear();
  const std::uint64_t first = aStaged.mHashes.front();
  const std::uint64_t empty = MakeSection({}).mHash;
  for (std::size_t part = 0; part < aStaged.mParts.size(); ++part) {
    const std::uint64_t section =
      aStaged.mHashes.size() == 1 ? empty : aStaged.mHashes[part + 1];
    configuration.mParts[PartKey(first, section)] =
      std::move(aStaged.mParts[part]);
  }
  for (DeploymentSection& section : aStaged.mSections) {
    configuration.mSections[section.mHash] = std::move(section);
  }
  configuration.mHashes = std::move(aStaged.mHashes);
  configuration.mDeployment =
    std::make_shared<const Deployment>(std::move(aDeployment));
  GroupTargets(configuration);
  ReconcilePools(aState, aNow, aEffects);
  ++aState.mCounters.mConfigurationsAdopted;
  aEffects.push_back(LogDecision{ ConfigurationAdopted{
    configuration.mRevision, previous, configuration.mChangeId } });
}

/** Ends staging because this release finds a fault in the file. */
void
RejectStaged(VmState& aState, const Faults& aFaults, Effects& aEffects)
{
  ConfigurationState& configuration = aState.mConfiguration;
  const StagedConfiguration staged = std::move(*configuration.mStaged);
  configuration.mStaged.reset();
  configuration.mRejected = { staged.mMetadata.mRevision,
                              ContentHash(staged.mHashes) };
  ReportRejection(
    aState, staged.mMetadata.mRevision, ToText(aFaults.front()), aEffects);
}

void
FinishStaged(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  ConfigurationState& configuration = aState.mConfiguration;
  auto deployment = AssembleDeployment(configuration.mStaged->mParts);
  if (!deployment) {
    RejectStaged(aState, deployment.error(), aEffects);
    return;
  }
  StagedConfiguration staged = std::move(*configuration.mStaged);
  configuration.mStaged.reset();
  Adopt(aState, std::move(staged), std::move(*deployment), aNow, aEffects);
}

} // namespace

Duration
RetryDelay(std::uint32_t aFailures, Random& aRandom)
{
  constexpr Duration kMinDelay = std::chrono::seconds(1);
  constexpr Duration kMaxDelay = std::chrono::seconds(10);
  constexpr std::uint32_t kMaxDoublings = 6;
  const std::uint32_t doublings = std::min(aFailures, kMaxDoublings);
  const Duration whole =
    std::min(kMaxDelay, kMinDelay * (std::int64_t{ 1 } << doublings));
  const Duration half = whole / 2;
  const auto jitter = static_cast<std::int64_t>(
    aRandom.Below(static_cast<std::uint64_t>(half.count()) + 1));
  return half + Duration(jitter);
}

bool
IsStoreWatcher(VmState& aState)
{
  MembershipState& membership = aState.mMembership;
  if (membership.mWatchersEpoch == membership.mEpoch) {
    return membership.mIsStoreWatcher;
  }
  membership.mWatchersEpoch = membership.mEpoch;
  const std::uint64_t own = WatcherWeight(aState.mSelf.mId);
  const auto vms = membership.mLiveByZone.find(aState.mSelf.mZone);
  const bool hasOthers = vms != membership.mLiveByZone.end();
  std::size_t heavier = 0;
  if (hasOthers) {
    for (const VmId vm : vms->second) {
      heavier += WatcherWeight(vm) > own ? 1U : 0U;
    }
  }
  membership.mIsStoreWatcher = heavier < kWatchersPerZone;
  return membership.mIsStoreWatcher;
}

void
UpdateStoreWatch(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  const ConfigurationState& configuration = aState.mConfiguration;
  const bool isBusy = configuration.mIsWatching || configuration.mIsWatchArmed;
  if (!isBusy && aState.mMembership.mKnowsOtherVms) {
    RequestConfiguration(aState, aNow, aEffects);
  }
}

void
RequestConfiguration(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  ConfigurationState& configuration = aState.mConfiguration;
  configuration.mIsWatchArmed = false;
  const bool isWanted = IsStoreWatcher(aState) || configuration.mIsDisputed;
  if (!isWanted || configuration.mIsWatching) {
    return;
  }
  if (const auto later = TakeCall(aState.mPlatformBudget, aNow)) {
    configuration.mIsWatchArmed = true;
    aState.mTimers.Arm(*later, TimerKind::kWatchConfiguration);
    return;
  }
  ++aState.mCounters.mPlatformCalls;
  configuration.mIsWatching = true;
  const std::uint64_t after =
    configuration.mIsDisputed ? 0 : configuration.mStoreVersion;
  aEffects.push_back(WatchConfiguration{ after, kWatchTimeout });
}

void
HandleStoreWatched(VmState& aState,
                   const StoreWatched& aEvent,
                   TimePoint aNow,
                   Effects& aEffects)
{
  ConfigurationState& configuration = aState.mConfiguration;
  configuration.mIsWatching = false;
  if (!aEvent.mResult) {
    ++aState.mCounters.mPlatformFailures;
    ++configuration.mFailures;
    const Duration delay = RetryDelay(configuration.mFailures, aState.mRandom);
    configuration.mIsWatchArmed = true;
    aState.mTimers.Arm(aNow + delay, TimerKind::kWatchConfiguration);
    return;
  }
  configuration.mFailures = 0;
  configuration.mStoreLastAnswered = aNow;
  const StoredConfiguration& stored = *aEvent.mResult;
  if (stored.mRecord && stored.mRecord->mRevision < configuration.mRevision) {
    ReportRejection(
      aState,
      stored.mRecord->mRevision,
      "the store returned an older revision than the one in force",
      aEffects);
  }
  configuration.mIsDisputed = false;
  if (stored.mRecord) {
    StageRecord(aState, *stored.mRecord, aNow, aEffects);
  }
  const bool isCurrent = stored.mStoreVersion >= configuration.mStoreVersion;
  configuration.mStoreVersion =
    std::max(configuration.mStoreVersion, stored.mStoreVersion);
  if (isCurrent) {
    RequestConfiguration(aState, aNow, aEffects);
    return;
  }
  // A store that returns an older version does so at once, without waiting for
  // a change. Without this delay it would be queried in a tight loop.
  const Duration delay = RetryDelay(++configuration.mFailures, aState.mRandom);
  configuration.mIsWatchArmed = true;
  aState.mTimers.Arm(aNow + delay, TimerKind::kWatchConfiguration);
}

void
ContinueParsing(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  ConfigurationState& configuration = aState.mConfiguration;
  if (!configuration.mStaged || configuration.mStaged->mMissingSections != 0) {
    return;
  }
  StagedConfiguration& staged = *configuration.mStaged;
  const std::size_t wanted =
    std::max<std::size_t>(1, staged.mSections.size() - 1);
  std::size_t bytes = 0;
  while (staged.mParts.size() < wanted && bytes < kParseBytes) {
    auto part = NextPart(configuration, staged, bytes);
    if (!part) {
      RejectStaged(aState, part.error(), aEffects);
      return;
    }
    staged.mParts.push_back(std::move(*part));
  }
  if (staged.mParts.size() == wanted && bytes < kParseBytes) {
    FinishStaged(aState, aNow, aEffects);
    return;
  }
  aState.mTimers.Arm(aNow + kParsePause, TimerKind::kParseConfiguration);
}

} // namespace wasabispread
