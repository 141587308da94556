/*
 * Following the store: one list and then watches.
 */
#pragma once

#include "ForwarderEffect.h"
#include "ForwarderEvent.h"

namespace wasabispread::forwarding {

struct ForwarderState;

/** What is known of the store. Invariant: at most one call to follow it is
    under way. */
struct StoreState
{
  /** Whether its content was read once. */
  bool mIsLoaded = false;
  /** Whether the next call is a list, not a watch. */
  bool mNeedsList = true;
  /** Everything up to here is known. */
  StoreRevision mRevision;
  /** When the store last answered a call to follow it. */
  TimePoint mHeard{};
  /** Calls that failed in a row. */
  unsigned mFailures = 0;
  /** Since when calls fail; TimePoint::max() while they do not. */
  TimePoint mAwaySince = TimePoint::max();
  /** When calls were answered again after failures; far in the past when
      they never failed. */
  TimePoint mReturned{};

  bool IsUnavailable() const { return mAwaySince != TimePoint::max(); }
};

/** How long changes may gather before they are read. One read takes them all,
    and reads of all VMs count: the more VMs, the longer the interval. */
Duration
FollowInterval(std::size_t aVms);

/** The next call to follow the store. */
void
FollowStore(ForwarderState& aState, ForwarderEffects& aEffects);

void
HandleEntriesListed(ForwarderState& aState,
                    EntriesListed aEvent,
                    TimePoint aNow,
                    ForwarderEffects& aEffects);

void
HandleChangesWatched(ForwarderState& aState,
                     ChangesWatched aEvent,
                     TimePoint aNow,
                     ForwarderEffects& aEffects);

/** Takes a configuration from the store or from another VM; an older or the
    same version changes nothing. */
void
AdoptConfiguration(ForwarderState& aState,
                   const ConfigurationChange& aChange,
                   std::string_view aSource,
                   TimePoint aNow,
                   ForwarderEffects& aEffects);

} // namespace wasabispread::forwarding
