/*
 * The limit on requests that a target in need names in its replies.
 */
#pragma once

#include "ForwarderEffect.h"

#include <optional>

namespace wasabispread::forwarding {

struct ForwarderState;
struct TargetState;

/** A target's limit as its last reply named it. */
struct RequestLimit
{
  /** The requests per second that it takes from all VMs together; none when it
      names no limit. */
  std::optional<double> mPerSecond;
};

/** Records the limit that a reply names, or that it names none. */
void
RecordLimit(ForwarderState& aState,
            TargetState& aTarget,
            const Reply& aReply,
            TimePoint aNow,
            ForwarderEffects& aEffects);

} // namespace wasabispread::forwarding
