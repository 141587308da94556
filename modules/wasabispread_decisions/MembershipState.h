/*
 * The VMs that a node knows of.
 */
#pragma once

#include "PlatformMessage.h"

#include <unordered_map>
#include <vector>

namespace wasabispread {

/** Invariant: mLiveByZone holds just the members that may be given work, each
    list sorted by id. */
struct MembershipState
{
  std::unordered_map<VmId, VmRecord> mMembers;
  std::unordered_map<ZoneName, std::vector<VmId>> mLiveByZone;
  /** Rises with each change of mLiveByZone; caches are keyed by it. */
  std::uint64_t mEpoch = 1;
  /** Failed reads of the VM list in a row. */
  std::uint32_t mFailures = 0;
};

} // namespace wasabispread
