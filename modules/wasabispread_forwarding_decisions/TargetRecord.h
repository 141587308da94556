/*
 * A target's registration as its entry in the store states it.
 */
#pragma once

#include "Message.h"

#include <cstdint>

namespace wasabispread::forwarding {

/** A target's registration. */
struct TargetRecord
{
  /** The name under which the target registers; a later start may use the
      same. */
  InstanceId mInstance;
  /** The time of its start, from its own clock; distinguishes two starts under
      one name. 0 when it was not stated. */
  std::uint64_t mBorn = 0;
  ServiceId mService;
  Endpoint mAddress;
  ZoneName mZone;
  /** The number of requests that it works on concurrently. */
  unsigned mSlots = 1;
  /** Counts the entries that this start has written; an entry with a lower
      count is older. */
  std::uint64_t mSequence = 0;
  /** Whether it is draining and gets no further requests. */
  bool mIsDraining = false;
  /** How much longer it is slow after its start, as of its last change. */
  Duration mWarmUp{};
};

/** Whether two records describe the same start of a target. */
inline bool
IsSameStart(const TargetRecord& aLeft, const TargetRecord& aRight)
{
  return aLeft.mBorn == aRight.mBorn && aLeft.mAddress == aRight.mAddress &&
         aLeft.mService == aRight.mService;
}

/** Identifies one start of a target within one daemon. */
using TargetKey = StrongType<struct TargetKeyTag, std::uint64_t>;

} // namespace wasabispread::forwarding
