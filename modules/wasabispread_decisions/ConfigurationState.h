/*
 * The configuration that a VM has in force, and the one being staged.
 */
#pragma once

#include "ControlMessage.h"
#include "PlatformMessage.h"

#include <wasabispread_config/wasabispread_config.h>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wasabispread {

/** A group of targets of one service in one zone. All targets of a group have
    the same target owners. */
struct TargetGroup
{
  std::uint64_t mId = 0;
  ZoneName mZone;
  /** How many connections each target of the group accepts at most. */
  std::uint32_t mConnectionCap = 0;
  ServiceId mService;
};

/** A configuration that is being fetched or parsed. */
struct StagedConfiguration
{
  ConfigurationMetadata mMetadata;
  std::vector<std::uint64_t> mHashes;
  /** In the order of mHashes; mText is null while a section is missing. */
  std::vector<DeploymentSection> mSections;
  std::size_t mMissingSections = 0;
  /** The sections parsed so far, in order. The first section has no part of
      its own: it is parsed together with each of the others. */
  std::vector<DeploymentPart> mParts;
  /** Whether it was read from the store. It then prevails over another content
      of the same revision. */
  bool mIsFromStore = false;
  /** Whether to forward it along the tree that mRoot is the root of. */
  bool mIsPush = false;
  VmId mRoot;
  /** From this time on another offer replaces this one if sections are still
      missing. */
  TimePoint mFetchDeadline{};
};

/** The configuration in force and the state of its propagation. Invariants:
    mRevision only rises; mDeployment, mSections and mParts belong to it. */
struct ConfigurationState
{
  Revision mRevision;
  std::string mChangeId;
  ConfigurationMetadata mMetadata;
  /** Null until a first configuration is in force. */
  DeploymentPointer mDeployment;
  /** The index in mGroups of each target of mDeployment, by the target's index
      there. */
  std::vector<std::uint32_t> mGroupOfTarget;
  std::vector<TargetGroup> mGroups;

  /** The hashes of the sections in force, in their order. */
  std::vector<std::uint64_t> mHashes;
  std::uint64_t mContentHash = 0;
  /** The sections in force, by hash. */
  std::unordered_map<std::uint64_t, DeploymentSection> mSections;
  /** The parsed sections in force, by a hash of the first section and the
      section itself. */
  std::unordered_map<std::uint64_t, DeploymentPart> mParts;
  std::optional<StagedConfiguration> mStaged;
  /** The last configuration that this VM could not use. It is not fetched
      again. */
  ConfigurationDigest mRejected;
  /** Whether another VM has another content for the revision in force. The
      store is read to decide between them. */
  bool mIsDisputed = false;
  /** When such a difference was last found. */
  TimePoint mDisputedAt{};

  /** The highest store version read. */
  std::uint64_t mStoreVersion = 0;
  /** Failed platform calls in a row. */
  std::uint32_t mFailures = 0;
  /** When the store last answered this VM, or another VM as far as probes have
      reported it. */
  TimePoint mStoreLastAnswered{};
  /** Whether a call to the store is in progress. */
  bool mIsWatching = false;
  /** Whether a timer for the next call is armed. */
  bool mIsWatchArmed = false;

  /** The summary of the configuration in force that probes carry. */
  ConfigurationDigest Digest() const { return { mRevision, mContentHash }; }
};

} // namespace wasabispread
