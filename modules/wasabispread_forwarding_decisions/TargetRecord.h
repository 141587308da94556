/*
 * What a target says of itself when it registers.
 */
#pragma once

#include "Message.h"

#include <cstdint>

namespace wasabispread::forwarding {

/** A target's registration. */
struct TargetRecord
{
  /** The name under which it registers; a later start may have the same. */
  InstanceId mInstance;
  /** When it started, on its own clock; tells two starts under one name
      apart. 0 when it did not say. */
  std::uint64_t mBorn = 0;
  ServiceId mService;
  Endpoint mAddress;
  ZoneName mZone;
  /** Requests that it works on at a time. */
  unsigned mSlots = 1;
  /** Counts what this start wrote of itself: a lower one is older news. */
  std::uint64_t mSequence = 0;
  /** Whether it asked for no further work. */
  bool mIsDraining = false;
  /** How much longer it is slow after its start, as of its last change. */
  Duration mWarmUp{};
};

/** Identifies one start of a target within one daemon. */
using TargetKey = StrongType<struct TargetKeyTag, std::uint64_t>;

} // namespace wasabispread::forwarding
