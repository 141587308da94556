/*
 * Offers of configurations and the sections that travel with them.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

constexpr Duration kSectionsWait = std::chrono::seconds(2);
constexpr Duration kDisputeInterval = std::chrono::seconds(15);
constexpr Duration kDisputeSpread = std::chrono::seconds(5);

/** Whether a configuration would be an advance over what is in force, staged
    or known to be unusable. */
bool
IsWanted(const ConfigurationState& aConfiguration,
         ConfigurationDigest aDigest,
         bool aIsFromStore,
         TimePoint aNow)
{
  const ConfigurationDigest own = aConfiguration.Digest();
  const bool settles = aIsFromStore && aDigest.mRevision == own.mRevision &&
                       aDigest.mContentHash != own.mContentHash;
  if (aDigest.mRevision <= own.mRevision && !settles) {
    return false;
  }
  if (aDigest == aConfiguration.mRejected) {
    return false;
  }
  if (!aConfiguration.mStaged) {
    return true;
  }
  const StagedConfiguration& staged = *aConfiguration.mStaged;
  const bool isOverdue = staged.mMissing != 0 && staged.mGiveUp <= aNow;
  const bool settlesStaged =
    aIsFromStore && !staged.mIsFromStore &&
    aDigest.mRevision == staged.mMetadata.mRevision &&
    aDigest.mContentHash != ContentHash(staged.mHashes);
  return aDigest.mRevision > staged.mMetadata.mRevision || isOverdue ||
         settlesStaged;
}

/** Puts sections where they belong; others are dropped. */
void
Fill(StagedConfiguration& aStaged,
     const std::vector<DeploymentSection>& aSections)
{
  for (const DeploymentSection& section : aSections) {
    for (std::size_t index = 0; index < aStaged.mHashes.size(); ++index) {
      DeploymentSection& place = aStaged.mSections[index];
      const bool fits =
        place.mText == nullptr && aStaged.mHashes[index] == section.mHash;
      if (fits) {
        place = section;
        --aStaged.mMissing;
      }
    }
  }
}

/** A staged configuration with the sections that are in force already. */
StagedConfiguration
Stage(const ConfigurationState& aConfiguration,
      const ConfigurationMetadata& aHead,
      std::vector<std::uint64_t> aHashes)
{
  StagedConfiguration staged;
  staged.mMetadata = aHead;
  staged.mHashes = std::move(aHashes);
  staged.mSections.resize(staged.mHashes.size());
  staged.mMissing = staged.mHashes.size();
  for (std::size_t index = 0; index < staged.mHashes.size(); ++index) {
    const auto held = aConfiguration.mSections.find(staged.mHashes[index]);
    if (held != aConfiguration.mSections.end()) {
      staged.mSections[index] = held->second;
      --staged.mMissing;
    }
  }
  return staged;
}

ConfigurationOffer
OfferOf(const ConfigurationState& aConfiguration)
{
  ConfigurationOffer offer;
  offer.mMetadata = aConfiguration.mMetadata;
  offer.mSectionHashes = aConfiguration.mHashes;
  return offer;
}

/** Passes the staged configuration on along the tree, with the sections that
    differ from those in force here. */
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

/** Goes on with a staged configuration once it has all of its sections. */
void
AdvanceStaged(VmState& aState, TimePoint aNow, Effects& aEffects)
{
  if (aState.mConfiguration.mStaged->mMissing != 0) {
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
  const auto place = std::lower_bound(aVms.begin(), aVms.end(), aVm);
  if (place == aVms.end() || *place != aVm) {
    return children;
  }
  const auto root = static_cast<std::size_t>(
    std::lower_bound(aVms.begin(), aVms.end(), aRoot) - aVms.begin());
  const std::size_t count = aVms.size();
  const auto own = static_cast<std::size_t>(place - aVms.begin());
  const std::size_t position = (own + count - root % count) % count;
  for (std::size_t child = 1; child <= kTreeWidth; ++child) {
    const std::size_t below = position * kTreeWidth + child;
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
  if (!IsWanted(configuration, digest, true, aNow)) {
    return;
  }
  const ConfigurationMetadata head{
    aRecord.mRevision, aRecord.mChangeId, aRecord.mAuthor, aRecord.mTime
  };
  StagedConfiguration staged = Stage(configuration, head, std::move(hashes));
  Fill(staged, sections);
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
    SendToVm(aState, aPeer, aAddress, OfferOf(configuration), aEffects);
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
      "another VM holds this revision with another content; the store "
      "decides" } });
    // All VMs may see it at once; their looks at the store are spread.
    const auto delay = Duration(static_cast<std::int64_t>(aState.mRandom.Below(
      static_cast<std::uint64_t>(kDisputeSpread.count()))));
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
      !IsWanted(configuration, digest, false, aNow)) {
    return;
  }
  StagedConfiguration staged =
    Stage(configuration, aOffer.mMetadata, aOffer.mSectionHashes);
  Fill(staged, aOffer.mSections);
  staged.mIsPush = aOffer.mIsPush;
  staged.mRoot = aOffer.mRoot;
  staged.mGiveUp = aNow + kSectionsWait;
  configuration.mStaged = std::move(staged);
  if (configuration.mStaged->mMissing != 0) {
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
    const auto held = configuration.mSections.find(hash);
    if (held != configuration.mSections.end()) {
      reply.mSections.push_back(held->second);
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
    configuration.mStaged && configuration.mStaged->mMissing != 0 &&
    configuration.mStaged->mMetadata.mRevision == aReply.mRevision;
  if (!isAwaited) {
    return;
  }
  Fill(*configuration.mStaged, aReply.mSections);
  AdvanceStaged(aState, aNow, aEffects);
}

} // namespace wasabispread
