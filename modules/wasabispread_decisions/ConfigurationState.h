/*
 * The configuration that a node has in force.
 */
#pragma once

#include "PlatformMessage.h"

#include <wasabispread_config/wasabispread_config.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace wasabispread {

/** Targets of one service in one zone that share their owners. */
struct OwnerGroup
{
  std::uint64_t mId = 0;
  ZoneName mZone;
  /** The most connections that each target of the group accepts. */
  std::uint32_t mConnectionCap = 0;
  ServiceId mService;
};

/** Invariant: mRevision only rises; mDeployment belongs to mRevision. */
struct ConfigurationState
{
  Revision mRevision;
  std::string mChangeId;
  /** Null until a first configuration is adopted. */
  DeploymentPointer mDeployment;
  /** For each target, by its position, its position in mGroups. */
  std::vector<std::uint32_t> mGroupOfTarget;
  std::vector<OwnerGroup> mGroups;
  /** The store version last seen. */
  std::uint64_t mStoreVersion = 0;
  /** Failed platform calls in a row. */
  std::uint32_t mFailures = 0;
  /** When the store last answered. */
  TimePoint mStoreSeen{};
};

} // namespace wasabispread
