/*
 * Zones whose targets get no requests because operators ask for it.
 *
 * This handles a zone that is about to be worked on, or whose targets became
 * cold: their load moves to the other zones' targets step by step, what does
 * not fit is refused at once, and it comes back step by step. The zone's VMs go
 * on serving their callers.
 */
#pragma once

#include "../ForwarderEffect.h"
#include "../ForwarderEvent.h"

#include <map>

namespace wasabispread::forwarding {

struct ForwarderState;

/** The evacuated zones, and since when this VM knows of each. */
using Evacuations = std::map<ZoneName, TimePoint>;

bool
IsEvacuated(const ForwarderState& aState, const ZoneName& aZone);

void
ApplyEvacuation(ForwarderState& aState,
                const EvacuationChange& aChange,
                TimePoint aNow,
                ForwarderEffects& aEffects);

/** Ends the evacuations that are not among aZones, and begins the others. */
void
SetEvacuations(ForwarderState& aState,
               const std::vector<ZoneName>& aZones,
               TimePoint aNow,
               ForwarderEffects& aEffects);

/** The zones that a list of the store's entries evacuates. */
std::vector<ZoneName>
EvacuatedZones(const std::vector<StoreChange>& aEntries);

} // namespace wasabispread::forwarding
