/*
 * Targets that are put aside because of what their replies state: those that
 * leave, and those that ask for a pause.
 *
 * A target that leaves gets no further request from this VM, whatever its entry
 * in the store says. A target that asks for a pause gets none until its end.
 */
#pragma once

#include "ForwarderEffect.h"

namespace wasabispread::forwarding {

struct ForwarderState;
struct TargetState;

/** A start of a target whose replies state that it leaves. */
struct LeavingTarget
{
  TargetRecord mRecord;
  /** When its entry was removed; TimePoint::max() while the entry exists. */
  TimePoint mEntryRemovedAt = TimePoint::max();
};

/** Applies what a reply states about its target, while its connection is still
    counted as busy. May move what waits for the target, so that no reference to
    a request may be kept across the call. */
void
RecordStatedAvailability(ForwarderState& aState,
                         TargetKey aTarget,
                         const Reply& aReply,
                         TimePoint aNow,
                         ForwarderEffects& aEffects);

/** How long the target wants no request; zero when it takes requests. */
Duration
WaitForPause(const TargetState& aTarget, TimePoint aNow);

/** Whether an entry describes a start that leaves, and so must not be used. An
    entry of another start ends the memory of the one that left. */
bool
IsLeaving(ForwarderState& aState,
          const TargetRecord& aRecord,
          ForwarderEffects& aEffects);

/** Records that an instance has no entry any more. */
void
RecordEntryRemoved(ForwarderState& aState,
                   const InstanceId& aInstance,
                   TimePoint aNow);

/** Handles the timer of a pause's end. */
void
HandlePauseEnd(ForwarderState& aState,
               TargetKey aTarget,
               TimePoint aNow,
               ForwarderEffects& aEffects);

/** The number of targets that are put aside because they leave and still have
    an entry. */
std::size_t
CountLeaving(const ForwarderState& aState);

/** The number of targets that are put aside for a pause. */
std::size_t
CountPaused(const ForwarderState& aState, TimePoint aNow);

/** Whether the target gets no requests for a while: it is in a pause, or its
   zone is evacuated. */
bool
IsAside(const ForwarderState& aState,
        const TargetState& aTarget,
        TimePoint aNow);

/** Bounds how fast the load of a target that is put aside moves to the others
   of its service. */
void
MoveLoadAway(ForwarderState& aState, TargetState& aTarget, TimePoint aNow);

/** Bounds how fast the load of a target that is no longer aside comes back. */
void
TakeLoadBack(ForwarderState& aState, TargetState& aTarget, TimePoint aNow);

} // namespace wasabispread::forwarding
