/*
 * Knows how old this VM's knowledge of the store is, and detects a watch whose
 * answer was lost.
 *
 * A watch without an answer looks the same whether nothing changes or its
 * answer was lost. The store's present revision tells them apart: a watch that
 * has not delivered a revision which exists is not going to. One VM at a time
 * reads that revision and reports it to the other VMs that watch, so that the
 * calls to the store do not grow with the fleet. No VM is elected: each one
 * reads the revision itself when nobody reported it in time.
 */
#pragma once

#include "ForwarderEffect.h"
#include "ForwarderEvent.h"

namespace wasabispread::forwarding {

struct ForwarderState;

/** What this VM knows about the age of its knowledge. */
struct StoreFreshness
{
  /** All changes that the store had up to this time are applied. It only
      rises. */
  TimePoint mCompleteUntil{};
  /** As mCompleteUntil, but beyond doubt: counted from when the question was
      sent whose answer shows it. An answer may arrive long after it was given.
      The epoch while nothing is known. */
  TimePoint mSoundUntil{};
  /** The newest revision that the store is known to have; it may be above the
      one up to which changes are applied. */
  StoreRevision mNewestSeen;
  /** When the last check was made. */
  TimePoint mCheckedAt{};
  bool mIsCheckPending = false;
  /** Whether a kCheckStore timer is armed. */
  bool mIsCheckArmed = false;
};

/** How old this VM's knowledge of the store may be. */
Duration
KnowledgeAge(const ForwarderState& aState, TimePoint aNow);

/** Records that all changes that the store had at aTime are applied. */
void
RecordComplete(ForwarderState& aState, TimePoint aTime);

/** How old this VM's knowledge of the store is at most, beyond doubt. */
Duration
SoundAge(const ForwarderState& aState, TimePoint aNow);

/** Records that all changes that the store had at aTime are applied, where
    aTime is before the question was sent whose answer shows it. Does nothing
    while the newest configuration cannot be read. */
void
RecordSound(ForwarderState& aState, TimePoint aTime);

/** Sees to it that the watch that was just begun is checked. */
void
ScheduleStoreCheck(ForwarderState& aState, TimePoint aNow);

/** Reads the store's revision if the knowledge of it has become too old.
    Called whenever the kCheckStore timer fires. */
void
CheckStoreIfDue(ForwarderState& aState,
                TimePoint aNow,
                ForwarderEffects& aEffects);

/** Handles the store's revision, or abandons the watch when the store does not
    answer. */
void
HandleStoreChecked(ForwarderState& aState,
                   const StoreChecked& aEvent,
                   TimePoint aNow,
                   ForwarderEffects& aEffects);

/** Handles the store's revision that another VM read. */
void
HandleRevisionReported(ForwarderState& aState,
                       const RevisionReported& aEvent,
                       TimePoint aNow,
                       ForwarderEffects& aEffects);

/** Tells the VMs of the zone that the store is available again, if this VM
    watches for them: they try it less often themselves. */
void
ReportStoreReturn(const ForwarderState& aState,
                  TimePoint aNow,
                  ForwarderEffects& aEffects);

/** Replaces the watch aWatch if it has still not delivered a revision that the
    store is known to have. */
void
HandleWatchOverdue(ForwarderState& aState,
                   std::uint64_t aWatch,
                   TimePoint aNow,
                   ForwarderEffects& aEffects);

} // namespace wasabispread::forwarding
