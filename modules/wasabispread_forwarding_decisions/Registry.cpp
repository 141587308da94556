/*
 * Applies registrations in their order, and removes targets whose entries
 * were removed.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** The heartbeats of silence after which the store removes a target's entry,
    and one more for the way of the last write. */
constexpr int kHeartbeatsBeforeRemoval = 3 + 1;

TargetState*
FindTarget(ForwarderState& aState, const InstanceId& aInstance)
{
  const auto key = aState.mTargetOfInstance.find(aInstance);
  if (key == aState.mTargetOfInstance.end()) {
    return nullptr;
  }
  const auto target = aState.mTargets.find(key->second);
  return target == aState.mTargets.end() ? nullptr : &target->second;
}

void
LogTarget(const ForwarderState& aState,
          const char* aEvent,
          const TargetRecord& aRecord,
          ForwarderEffects& aEffects)
{
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kState,
      aEvent,
      {},
      { { "target", aRecord.mInstance.Value() },
        { "service", NameOf(aState, aRecord.mService) },
        { "address", ToText(aRecord.mAddress) },
        { "zone", aRecord.mZone.Value() },
        { "sequence", static_cast<std::int64_t>(aRecord.mSequence) } } } });
}

void
AddTarget(ForwarderState& aState,
          const TargetRecord& aRecord,
          TimePoint aNow,
          ForwarderEffects& aEffects)
{
  const TargetKey key(aState.mNextTarget++);
  TargetState target;
  target.mKey = key;
  target.mRecord = aRecord;
  target.mWarmUntil = aNow + aRecord.mWarmUp;
  aState.mTargetOfInstance[aRecord.mInstance] = key;
  aState.mTargetsOfService[aRecord.mService].push_back(key);
  // Connections are opened after all changes were applied and targets were
  // assigned.
  target.mIsAssigned = false;
  TargetState& added =
    aState.mTargets.emplace(key, std::move(target)).first->second;
  RefreshColdLimit(aState, added, aNow, aEffects);
  LogTarget(aState, "target-added", aRecord, aEffects);
}

/** Applies the newest entry of an instance. */
void
ApplyNewest(ForwarderState& aState,
            const TargetRecord& aRecord,
            TimePoint aNow,
            ForwarderEffects& aEffects)
{
  TargetState* known = FindTarget(aState, aRecord.mInstance);
  const bool isInUse = known != nullptr && !known->mIsRetired;
  if (isInUse && !IsSameStart(known->mRecord, aRecord)) {
    LogTarget(aState, "target-replaced", known->mRecord, aEffects);
    RetireTarget(aState, *known, aNow, aEffects);
    known = nullptr;
  }
  if (aRecord.mIsDraining) {
    if (known != nullptr && !known->mIsRetired) {
      LogTarget(aState, "target-draining", aRecord, aEffects);
      RetireTarget(aState, *known, aNow, aEffects);
    }
    return;
  }
  if (IsLeaving(aState, aRecord, aEffects)) {
    return;
  }
  if (known == nullptr || known->mIsRetired) {
    AddTarget(aState, aRecord, aNow, aEffects);
    return;
  }
  known->mEntryMissingSince = TimePoint::max();
  if (aRecord.mWarmUp != known->mRecord.mWarmUp) {
    known->mWarmUntil = aNow + aRecord.mWarmUp;
  }
  known->mRecord = aRecord;
  RefreshColdLimit(aState, *known, aNow, aEffects);
}

Duration
HeartbeatOf(const ForwarderState& aState)
{
  return aState.mPolicy.mTargetHeartbeat;
}

EntryVersion
VersionOf(const TargetRecord& aRecord)
{
  return { aRecord.mBorn, aRecord.mSequence };
}

void
ArmConfirmation(ForwarderState& aState, TimePoint aWhen)
{
  aState.mTimers.Arm(aWhen, ForwarderTimer::kConfirmEntries);
}

/** Keeps an overtaken entry until it is confirmed. */
void
HandleOvertaken(ForwarderState& aState,
                const TargetRecord& aRecord,
                TimePoint aNow,
                ForwarderEffects& aEffects)
{
  const TargetState* target = FindTarget(aState, aRecord.mInstance);
  if (aRecord.mIsDraining && target != nullptr &&
      IsSameStart(target->mRecord, aRecord)) {
    // Whenever it was written: a start that drains does so until its end.
    aState.mOvertakenEntries.erase(aRecord.mInstance);
    ApplyNewest(aState, aRecord, aNow, aEffects);
    return;
  }
  const bool isFirst = aState.mOvertakenEntries.empty();
  OvertakenEntry& known = aState.mOvertakenEntries[aRecord.mInstance];
  const bool isSame = known.mSince != TimePoint{} &&
                      IsSameStart(known.mRecord, aRecord) &&
                      known.mRecord.mIsDraining == aRecord.mIsDraining;
  known = { aRecord, isSame ? known.mSince : aNow };
  if (isFirst) {
    ArmConfirmation(aState,
                    aNow + kHeartbeatsBeforeRemoval * HeartbeatOf(aState));
  }
}

} // namespace

void
ApplyTarget(ForwarderState& aState,
            const TargetChange& aChange,
            TimePoint aNow,
            ForwarderEffects& aEffects)
{
  const TargetRecord& record = aChange.mRecord;
  const EntryOrder order = RecordEntry(aState.mEntryHistories[record.mInstance],
                                       VersionOf(record),
                                       aChange.mRevision);
  if (order == EntryOrder::kNewest) {
    aState.mOvertakenEntries.erase(record.mInstance);
    ApplyNewest(aState, record, aNow, aEffects);
  } else if (order == EntryOrder::kOvertaken) {
    HandleOvertaken(aState, record, aNow, aEffects);
  }
}

void
ConfirmEntries(ForwarderState& aState,
               TimePoint aNow,
               ForwarderEffects& aEffects)
{
  const Duration silence = kHeartbeatsBeforeRemoval * HeartbeatOf(aState);
  std::vector<TargetRecord> confirmed;
  for (const auto& [instance, entry] : aState.mOvertakenEntries) {
    // What the store had at that time is known.
    if (aState.mFreshness.mCompleteUntil >= entry.mSince + silence) {
      confirmed.push_back(entry.mRecord);
    }
  }
  for (const TargetRecord& record : confirmed) {
    aState.mOvertakenEntries.erase(record.mInstance);
    ConfirmEntry(aState.mEntryHistories[record.mInstance], VersionOf(record));
    LogTarget(aState, "target-confirmed", record, aEffects);
    ApplyNewest(aState, record, aNow, aEffects);
  }
  if (!confirmed.empty()) {
    RefreshAssignments(aState, aNow, aEffects);
  }
  if (!aState.mOvertakenEntries.empty()) {
    ArmConfirmation(aState, aNow + HeartbeatOf(aState));
  }
}

void
RemoveTarget(ForwarderState& aState,
             const InstanceId& aInstance,
             TimePoint aNow,
             ForwarderEffects& aEffects)
{
  RecordEntryRemoved(aState, aInstance, aNow);
  aState.mOvertakenEntries.erase(aInstance);
  TargetState* target = FindTarget(aState, aInstance);
  if (target == nullptr || target->mIsRetired) {
    return;
  }
  const TimePoint graceEnd = aState.mStore.mAvailableAgainSince == TimePoint{}
                               ? TimePoint{}
                               : aState.mStore.mAvailableAgainSince +
                                   aState.mPolicy.mReregistrationGrace;
  if (aNow < graceEnd) {
    target->mEntryMissingSince = aNow;
    LogTarget(aState, "target-entry-missing", target->mRecord, aEffects);
    aState.mTimers.Arm(
      graceEnd, ForwarderTimer::kEntryMissing, target->mKey.Value());
    return;
  }
  LogTarget(aState, "target-removed", target->mRecord, aEffects);
  RetireTarget(aState, *target, aNow, aEffects);
}

void
RemoveTargetsMissingFrom(ForwarderState& aState,
                         const std::vector<StoreChange>& aEntries,
                         TimePoint aNow,
                         ForwarderEffects& aEffects)
{
  std::unordered_set<InstanceId> listed;
  for (const StoreChange& entry : aEntries) {
    if (const auto* change = std::get_if<TargetChange>(&entry)) {
      listed.insert(change->mRecord.mInstance);
    }
  }
  std::erase_if(aState.mOvertakenEntries, [&](const auto& aEntry) {
    return !listed.contains(aEntry.first);
  });
  std::vector<InstanceId> missing;
  for (const auto& [key, target] : aState.mTargets) {
    if (!target.mIsRetired && target.mEntryMissingSince == TimePoint::max() &&
        !listed.contains(target.mRecord.mInstance)) {
      missing.push_back(target.mRecord.mInstance);
    }
  }
  for (const auto& [instance, leaving] : aState.mLeavingTargets) {
    if (!listed.contains(instance)) {
      missing.push_back(instance);
    }
  }
  for (const InstanceId& instance : missing) {
    RemoveTarget(aState, instance, aNow, aEffects);
  }
}

void
HandleEntryMissingTimeout(ForwarderState& aState,
                          TargetKey aTarget,
                          TimePoint aNow,
                          ForwarderEffects& aEffects)
{
  const auto found = aState.mTargets.find(aTarget);
  if (found == aState.mTargets.end() || found->second.mIsRetired ||
      found->second.mEntryMissingSince == TimePoint::max()) {
    return;
  }
  LogTarget(aState, "target-removed", found->second.mRecord, aEffects);
  RetireTarget(aState, found->second, aNow, aEffects);
}

} // namespace wasabispread::forwarding
