/*
 * Following the store: one list and then watches for each area.
 */
#pragma once

#include "ForwarderEffect.h"
#include "ForwarderEvent.h"

#include <array>

namespace wasabispread::forwarding {

struct ForwarderState;

/** How an area is followed. Invariant: at most one call is under way. */
struct AreaFollow
{
  /** Whether its content was read once. */
  bool mIsLoaded = false;
  /** Whether the next call is a list, not a watch. */
  bool mNeedsList = true;
  /** Everything up to here is known. */
  StoreRevision mRevision;
  /** When the store last answered a call for this area. */
  TimePoint mHeard{};
  /** Calls that failed in a row. */
  unsigned mFailures = 0;
};

/** What is known of the store. */
struct StoreState
{
  std::array<AreaFollow, kStoreAreas> mAreas;
  /** Since when calls fail; TimePoint::max() while they do not. */
  TimePoint mAwaySince = TimePoint::max();
  /** When calls were answered again after failures; far in the past when
      they never failed. */
  TimePoint mReturned{};

  AreaFollow& Area(StoreArea aArea)
  {
    return mAreas[static_cast<std::size_t>(aArea)];
  }

  const AreaFollow& Area(StoreArea aArea) const
  {
    return mAreas[static_cast<std::size_t>(aArea)];
  }

  bool IsAway() const { return mAwaySince != TimePoint::max(); }
};

/** The next call for an area. */
void
FollowArea(ForwarderState& aState, StoreArea aArea, ForwarderEffects& aEffects);

void
HandleAreaListed(ForwarderState& aState,
                 AreaListed aEvent,
                 TimePoint aNow,
                 ForwarderEffects& aEffects);

void
HandleAreaWatched(ForwarderState& aState,
                  AreaWatched aEvent,
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
