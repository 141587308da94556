/*
 * Begins and ends evacuations.
 */
#include "../wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

std::vector<TargetKey>
TargetsIn(const ForwarderState& aState, const ZoneName& aZone)
{
  std::vector<TargetKey> keys;
  for (const auto& [key, target] : aState.mTargets) {
    if (!target.mIsRetired && target.mRecord.mZone == aZone) {
      keys.push_back(key);
    }
  }
  return keys;
}

void
LogEvacuation(const ForwarderState& aState,
              const char* aEvent,
              const ZoneName& aZone,
              std::size_t aTargets,
              Duration aFor,
              ForwarderEffects& aEffects,
              TimePoint aNow)
{
  const auto& regions = aState.mPolicy.mRegionOfZone;
  const bool isKnown = regions.empty() || regions.contains(aZone);
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kState,
      aEvent,
      {},
      { { "zone", aZone.Value() },
        { "zone_is_known", std::string(isKnown ? "yes" : "no") },
        { "targets", static_cast<std::int64_t>(aTargets) },
        { "for_ms", ToMilliseconds(aFor) },
        { "knowledge_age_ms",
          ToMilliseconds(KnowledgeAge(aState, aNow)) } } } });
}

void
BeginEvacuation(ForwarderState& aState,
                const ZoneName& aZone,
                TimePoint aNow,
                ForwarderEffects& aEffects)
{
  const std::vector<TargetKey> targets = TargetsIn(aState, aZone);
  aState.mEvacuations[aZone] = aNow;
  LogEvacuation(
    aState, "zone-evacuated", aZone, targets.size(), {}, aEffects, aNow);
  for (const TargetKey key : targets) {
    MoveLoadAway(aState, aState.mTargets.at(key), aNow);
  }
  // Only now do no waiting requests move to another target of the zone.
  for (const TargetKey key : targets) {
    if (aState.mTargets.contains(key)) {
      MoveWaitingSubRequests(aState, key, aNow, aEffects);
    }
  }
  RefreshAssignments(aState, aNow, aEffects);
}

void
EndEvacuation(ForwarderState& aState,
              const ZoneName& aZone,
              TimePoint aNow,
              ForwarderEffects& aEffects)
{
  const Duration lasted = aNow - aState.mEvacuations.at(aZone);
  aState.mEvacuations.erase(aZone);
  const std::vector<TargetKey> targets = TargetsIn(aState, aZone);
  LogEvacuation(
    aState, "zone-taken-back", aZone, targets.size(), lasted, aEffects, aNow);
  for (const TargetKey key : targets) {
    TakeLoadBack(aState, aState.mTargets.at(key), aNow);
  }
  RefreshAssignments(aState, aNow, aEffects);
}

} // namespace

bool
IsEvacuated(const ForwarderState& aState, const ZoneName& aZone)
{
  return !aState.mEvacuations.empty() && aState.mEvacuations.contains(aZone);
}

void
ApplyEvacuation(ForwarderState& aState,
                const EvacuationChange& aChange,
                TimePoint aNow,
                ForwarderEffects& aEffects)
{
  const bool isKnown = aState.mEvacuations.contains(aChange.mZone);
  if (aChange.mIsEvacuated && !isKnown) {
    BeginEvacuation(aState, aChange.mZone, aNow, aEffects);
  } else if (!aChange.mIsEvacuated && isKnown) {
    EndEvacuation(aState, aChange.mZone, aNow, aEffects);
  }
}

void
SetEvacuations(ForwarderState& aState,
               const std::vector<ZoneName>& aZones,
               TimePoint aNow,
               ForwarderEffects& aEffects)
{
  std::vector<ZoneName> ended;
  for (const auto& [zone, since] : aState.mEvacuations) {
    if (std::find(aZones.begin(), aZones.end(), zone) == aZones.end()) {
      ended.push_back(zone);
    }
  }
  for (const ZoneName& zone : ended) {
    EndEvacuation(aState, zone, aNow, aEffects);
  }
  for (const ZoneName& zone : aZones) {
    ApplyEvacuation(aState, EvacuationChange{ zone, true }, aNow, aEffects);
  }
}

std::vector<ZoneName>
EvacuatedZones(const std::vector<StoreChange>& aEntries)
{
  std::vector<ZoneName> zones;
  for (const StoreChange& entry : aEntries) {
    if (const auto* change = std::get_if<EvacuationChange>(&entry)) {
      zones.push_back(change->mZone);
    }
  }
  return zones;
}

} // namespace wasabispread::forwarding
