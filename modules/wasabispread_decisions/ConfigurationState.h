/*
 * The configuration that a node has in force, and one on its way there.
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

/** Targets of one service in one zone that share their owners. */
struct TargetGroup
{
  std::uint64_t mId = 0;
  ZoneName mZone;
  /** The most connections that each target of the group accepts. */
  std::uint32_t mConnectionCap = 0;
  ServiceId mService;
};

/** A configuration that is being fetched or parsed. */
struct StagedConfiguration
{
  ConfigurationMetadata mMetadata;
  std::vector<std::uint64_t> mHashes;
  /** By position; mText is null while a section is missing. */
  std::vector<DeploymentSection> mSections;
  std::size_t mMissing = 0;
  /** Sections parsed so far, without the first; filled in order. */
  std::vector<DeploymentPart> mParts;
  /** Whether the store itself gave it, so that it prevails over another
      content of the same revision. */
  bool mIsFromStore = false;
  bool mIsPush = false;
  VmId mRoot;
  /** When the sections asked for are no longer waited for. */
  TimePoint mGiveUp{};
};

/** Invariant: mRevision only rises; mDeployment, mSections and mParts belong
    to it. */
struct ConfigurationState
{
  Revision mRevision;
  std::string mChangeId;
  ConfigurationMetadata mMetadata;
  /** Null until a first configuration is adopted. */
  DeploymentPointer mDeployment;
  /** For each target, by its position, its position in mGroups. */
  std::vector<std::uint32_t> mGroupOfTarget;
  std::vector<TargetGroup> mGroups;

  std::vector<std::uint64_t> mHashes;
  std::uint64_t mContentHash = 0;
  /** The sections in force, by hash. */
  std::unordered_map<std::uint64_t, DeploymentSection> mSections;
  /** The parsed sections in force, by hash. */
  std::unordered_map<std::uint64_t, DeploymentPart> mParts;
  std::optional<StagedConfiguration> mStaged;
  /** A revision that could not be used, so that it is not fetched again. */
  ConfigurationDigest mRejected;
  /** Another content of the revision in force was seen; the store decides. */
  bool mIsDisputed = false;
  /** When that was last seen. */
  TimePoint mDisputedAt{};

  /** The store version last seen. */
  std::uint64_t mStoreVersion = 0;
  /** Failed platform calls in a row. */
  std::uint32_t mFailures = 0;
  /** When the store last answered, here or to a VM that this one heard of. */
  TimePoint mStoreLastAnswered{};
  bool mIsWatching = false;
  bool mIsWatchArmed = false;

  /** What other VMs are told. */
  ConfigurationDigest Digest() const { return { mRevision, mContentHash }; }
};

} // namespace wasabispread
