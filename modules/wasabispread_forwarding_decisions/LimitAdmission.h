/*
 * Decides whether the limits that targets name, and the pauses that they ask
 * for, leave enough for a request. This handles demand above what such targets
 * take: a search that could not reach its minimum coverage would use up what
 * another one needs, and reach no caller.
 */
#pragma once

#include "ForwarderState.h"

namespace wasabispread::forwarding {

/** What keeps requests from a target. */
enum class RoomCause : std::uint8_t
{
  /** The limit that it names. */
  kLimit,
  /** The pause that it asked for. */
  kPause,
  /** The bound on the load that it takes over from a target in a pause. */
  kPace,
};

/** The message for a caller. */
const char*
ToText(RoomCause aCause);

/** How long until a request can be sent. */
struct RoomWait
{
  Duration mTime{};
  RoomCause mCause = RoomCause::kLimit;
};

/** How long until a request can be sent to some target of the service; zero
    when one can be sent now, or when no target states a limit or a pause. */
RoomWait
WaitForRoom(const ForwarderState& aState, ServiceId aService, TimePoint aNow);

/** How long until a request of the route can be sent, if it cannot be sent now.
    For a search, until enough of the shards that this VM queries itself have a
    target; a less urgent search leaves what a more urgent one over the same
    shards needs. */
std::optional<RoomWait>
WaitForRoom(const ForwarderState& aState, const Route& aRoute, TimePoint aNow);

/** As above, for shards of which at least aMinShards are needed. */
std::optional<RoomWait>
WaitForRoom(const ForwarderState& aState,
            const std::vector<ServiceId>& aShards,
            std::size_t aMinShards,
            TimePoint aNow);

/** Whether a search may wait instead of being refused: the wait is for a pause,
    and leaves enough time before the deadline. */
bool
MayAwaitRoom(const ForwarderState& aState,
             RouteId aRoute,
             const RoomWait& aWait,
             TimePoint aDeadline,
             TimePoint aNow);

/** The number of a search's shards that may be missing from its answer. */
std::size_t
MaxMissingShards(const ForwarderState& aState, const Route& aRoute);

} // namespace wasabispread::forwarding
