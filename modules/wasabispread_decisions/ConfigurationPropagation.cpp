/*
 * Offers configurations to other VMs and exchanges their sections.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

constexpr Duration kSectionsTimeout = std::chrono::seconds(2);
constexpr Duration kDisputeInterval = std::chrono::seconds(15);
constexpr Duration kDisputeJitter = std::chrono::seconds(5);

/** Whether to stage a configuration. It must be newer than the one in force and
    the one staged, and not known to be unusable. A configuration read from the
    store also replaces another content of the same revision, and any newer one
    replaces a staged one whose missing sections are overdue. */
bool
ShouldStage(const ConfigurationState& aConfiguration,
            ConfigurationDigest aDigest,
            bool aIsFromStore,
            TimePoint aNow)
{
  const ConfigurationDigest own = aConfiguration.Digest();
  const bool prevails = aIsFromStore && aDigest.mRevision == own.mRevision &&
                        aDigest.mContentHash != own.mContentHash;
  if (aDigest.mRevision <= own.mRevision && !prevails) {
    return false;
  }
  if (aDigest == aConfiguration.mRejected) {
    return false;
  }
  if (!aConfiguration.mStaged) {
    return true;
  }
  const StagedConfiguration& staged = *aConfiguration.mStaged;
  const bool isOverdue =
    staged.mMissingSections != 0 && staged.mFetchDeadline <= aNow;
  const bool prevailsOverStaged =
    aIsFromStore && !staged.mIsFromStore &&
    aDigest.mRevision == staged.mMetadata.mRevision &&
    aDigest.mContentHash != ContentHash(staged.mHashes);
  return aDigest.mRevision > staged.mMetadata.mRevision || isOverdue ||
         prevailsOverStaged;
}

/** Fills in the missing sections of a staged configuration by their hashes, and
    ignores all other sections. */
void
AddSections(StagedConfiguration& aStaged,
            const std::vector<DeploymentSection>& aSections)
{
  for (const DeploymentSection& section : aSections) {
    for (std::size_t index = 0; index < aStaged.mHashes.size(); ++index) {
      DeploymentSection& slot = aStaged.mSections[index];
      const bool fits =
        slot.mText == nullptr && aStaged.mHashes[index] == section.mHash;
      if (fits) {
        slot = section;
        --aStaged.mMissingSections;
      }
    }
  }
}

/** Makes a staged configuration with those sections that are already in
    force. */
StagedConfiguration
Stage(const ConfigurationState& aConfiguration,
      const ConfigurationMetadata& aMetadata,
      std::vector<std::uint64_t> aHashes)
{
  StagedConfiguration staged;
  staged.mMetadata = aMetadata;
  staged.mHashes = std::move(aHashes);
  staged.mSections.resize(staged.mHashes.size());
  staged.mMissingSections = staged.mHashes.size();
  for (std::size_t index = 0; index < staged.mHashes.size(); ++index) {
    const auto found = aConfiguration.mSections.find(staged.mHashes[index]);
    if (found != aConfiguration.mSections.end()) {
      staged.mSections[index] = found->second;
      --staged.mMissingSections;
    }
  }
  return staged;
}

ConfigurationOffer
MakeOffer(const ConfigurationState& aConfiguration)
{
  ConfigurationOffer offer;
  offer.mMetadata = aConfiguration.mMetadata;
  offer.mSectionHashes = aConfiguration.mHashes;
  return offer;
}

/** Forwards the staged configuration along the tree if it was pushed, with the
    sections that differ from those in force on this VM. */
void
PushStaged(VmState& aState, Effects& aEffects)
{
  const StagedConfiguration& staged = *aState.mConfiguration.mStaged;
  const auto zone = aState.mMembership.mLiveByZone.find(aState.mSelf.mZone);
  if (!staged.mIsPush || zone == aState.mMembership.mLiveByZone.end()) {
    return;
  }
  ConfigurationOffer offer;
  offer.mMetadata = staged.mMetadata;
  offer.mSectionHashes = staged.mHashes;
  offer.mIsPush = true;
  offer.mRoot = staged.mRoot;
  for (const DeploymentSection& section : staged.mSections) {
    if (!aState.mConfiguration.mSections.contains(section.mHash)) {
      offer.mSections.push_back(section);
    }
  }
  const auto children =
    ChildrenInTree(zone->second, staged.mRoot, aState.mSelf.mId);
  for (const VmId child : children) {
    const Endpoint& address =
      aState.mMembership.mMembers.at(child).mPeerAddress;
    ++aState.mCounters.mConfigurationsPushed;
    SendToVm(aState, child, address, offer, aEffects);
  }
}

/** Forwards and parses a staged configuration once it has all its sections. */
void
AdvanceStaged(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  if (aState.mConfiguration.mStaged->mMissingSections != 0) {
    return;
  }
  PushStaged(aState, aEffects);
  ContinueParsing(aState, aNow, aEffects);
}

std::vector<std::uint64_t>
MissingHashes(const StagedConfiguration& aStaged)
{
  std::vector<std::uint64_t> missing;
  for (std::size_t index = 0; index < aStaged.mHashes.size(); ++index) {
    if (aStaged.mSections[index].mText == nullptr) {
      missing.push_back(aStaged.mHashes[index]);
    }
  }
  return missing;
}

} // namespace

std::vector<VmId>
ChildrenInTree(const std::vector<VmId>& aVms, VmId aRoot, VmId aVm)
{
  std::vector<VmId> children;
  const auto found = std::lower_bound(aVms.begin(), aVms.end(), aVm);
  if (found == aVms.end() || *found != aVm) {
    return children;
  }
  const auto root = static_cast<std::size_t>(
    std::lower_bound(aVms.begin(), aVms.end(), aRoot) - aVms.begin());
  const std::size_t count = aVms.size();
  const auto own = static_cast<std::size_t>(found - aVms.begin());
  const std::size_t position = (own + count - root % count) % count;
  for (std::size_t child = 1; child <= kTreeFanOut; ++child) {
    const std::size_t below = position * kTreeFanOut + child;
    if (below < count) {
      children.push_back(aVms[(below + root) % count]);
    }
  }
  return children;
}

void
StageRecord(VmState& aState,
            const ConfigurationRecord& aRecord,
            TimePoint aNow,
            Effects& aEffects)
{
  ConfigurationState& configuration = aState.mConfiguration;
  if (aRecord.mRevision < configuration.mRevision) {
    return;
  }
  const auto sections = SplitIntoSections(aRecord.mText);
  std::vector<std::uint64_t> hashes;
  hashes.reserve(sections.size());
  for (const DeploymentSection& section : sections) {
    hashes.push_back(section.mHash);
  }
  const ConfigurationDigest digest{ aRecord.mRevision, ContentHash(hashes) };
  if (!ShouldStage(configuration, digest, true, aNow)) {
    return;
  }
  const ConfigurationMetadata metadata{
    aRecord.mRevision, aRecord.mChangeId, aRecord.mAuthor, aRecord.mTime
  };
  StagedConfiguration staged =
    Stage(configuration, metadata, std::move(hashes));
  AddSections(staged, sections);
  staged.mIsFromStore = true;
  staged.mIsPush = true;
  staged.mRoot = aState.mSelf.mId;
  configuration.mStaged = std::move(staged);
  AdvanceStaged(aState, aNow, aEffects);
}

void
HandleDigest(VmState& aState,
             VmId aPeer,
             const Endpoint& aAddress,
             const MemberProbe& aProbe,
             TimePoint aNow,
             Effects& aEffects)
{
  ConfigurationState& configuration = aState.mConfiguration;
  const ConfigurationDigest theirs = aProbe.mConfiguration;
  configuration.mStoreLastAnswered =
    std::max(configuration.mStoreLastAnswered, aNow - aProbe.mStoreAge);
  if (theirs.mRevision < configuration.mRevision) {
    SendToVm(aState, aPeer, aAddress, MakeOffer(configuration), aEffects);
    return;
  }
  const bool differs = theirs.mRevision == configuration.mRevision &&
                       theirs.mContentHash != configuration.mContentHash;
  if (differs && aNow - configuration.mDisputedAt > kDisputeInterval) {
    configuration.mIsDisputed = true;
    configuration.mDisputedAt = aNow;
    ++aState.mCounters.mConfigurationsRejected;
    aEffects.push_back(LogDecision{ ConfigurationRejected{
      theirs.mRevision,
      configuration.mRevision,
      "another VM has a different content for this revision; the store's "
      "content applies" } });
    // All VMs may find the difference at once, so the calls to the store are
    // spread over time.
    const auto delay = Duration(static_cast<std::int64_t>(aState.mRandom.Below(
      static_cast<std::uint64_t>(kDisputeJitter.count()))));
    aState.mTimers.Arm(aNow + delay, TimerKind::kWatchConfiguration);
  }
}

void
HandleOffer(VmState& aState,
            VmId aPeer,
            const Endpoint& aAddress,
            const ConfigurationOffer& aOffer,
            TimePoint aNow,
            Effects& aEffects)
{
  ConfigurationState& configuration = aState.mConfiguration;
  const ConfigurationDigest digest{ aOffer.mMetadata.mRevision,
                                    ContentHash(aOffer.mSectionHashes) };
  if (aOffer.mSectionHashes.empty() ||
      !ShouldStage(configuration, digest, false, aNow)) {
    return;
  }
  StagedConfiguration staged =
    Stage(configuration, aOffer.mMetadata, aOffer.mSectionHashes);
  AddSections(staged, aOffer.mSections);
  staged.mIsPush = aOffer.mIsPush;
  staged.mRoot = aOffer.mRoot;
  staged.mFetchDeadline = aNow + kSectionsTimeout;
  configuration.mStaged = std::move(staged);
  if (configuration.mStaged->mMissingSections != 0) {
    SendToVm(aState,
             aPeer,
             aAddress,
             SectionsRequest{ aOffer.mMetadata.mRevision,
                              MissingHashes(*configuration.mStaged) },
             aEffects);
  }
  AdvanceStaged(aState, aNow, aEffects);
}

void
HandleSectionsRequest(VmState& aState,
                      VmId aPeer,
                      const Endpoint& aAddress,
                      const SectionsRequest& aRequest,
                      Effects& aEffects)
{
  const ConfigurationState& configuration = aState.mConfiguration;
  SectionsReply reply;
  reply.mRevision = aRequest.mRevision;
  for (const std::uint64_t hash : aRequest.mHashes) {
    const auto found = configuration.mSections.find(hash);
    if (found != configuration.mSections.end()) {
      reply.mSections.push_back(found->second);
    } else if (configuration.mStaged) {
      for (const DeploymentSection& section :
           configuration.mStaged->mSections) {
        if (section.mText != nullptr && section.mHash == hash) {
          reply.mSections.push_back(section);
          break;
        }
      }
    }
  }
  SendToVm(aState, aPeer, aAddress, std::move(reply), aEffects);
}

void
HandleSectionsReply(VmState& aState,
                    const SectionsReply& aReply,
                    TimePoint aNow,
                    Effects& aEffects)
{
  ConfigurationState& configuration = aState.mConfiguration;
  const bool isAwaited =
    configuration.mStaged && configuration.mStaged->mMissingSections != 0 &&
    configuration.mStaged->mMetadata.mRevision == aReply.mRevision;
  if (!isAwaited) {
    return;
  }
  AddSections(*configuration.mStaged, aReply.mSections);
  AdvanceStaged(aState, aNow, aEffects);
}

} // namespace wasabispread
