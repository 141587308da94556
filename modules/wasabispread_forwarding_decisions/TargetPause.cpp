/*
 * Puts targets aside and takes them back.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** How long a start that left is remembered after the removal of its entry: a
    list from an old replica, or a late write, may still name it. */
constexpr Duration kLeavingRetention = std::chrono::minutes(10);

void
LogPutAside(const ForwarderState& aState,
            const char* aEvent,
            const TargetRecord& aRecord,
            const char* aCause,
            std::optional<Duration> aFor,
            ForwarderEffects& aEffects)
{
  DecisionRecord record{ RecordClass::kState,
                         aEvent,
                         {},
                         { { "target", aRecord.mInstance.Value() },
                           { "start",
                             static_cast<std::int64_t>(aRecord.mBorn) },
                           { "service", NameOf(aState, aRecord.mService) },
                           { "cause", std::string(aCause) } } };
  if (aFor) {
    record.mFields.push_back({ "for_ms", ToMilliseconds(*aFor) });
  }
  aEffects.push_back(WriteDecisionRecord{ std::move(record) });
}

void
ForgetOldLeaving(ForwarderState& aState, TimePoint aNow)
{
  std::erase_if(aState.mLeavingTargets, [aNow](const auto& aEntry) {
    const TimePoint removed = aEntry.second.mEntryRemovedAt;
    return removed != TimePoint::max() && aNow - removed > kLeavingRetention;
  });
}

void
RecordLeaving(ForwarderState& aState,
              TargetState& aTarget,
              TimePoint aNow,
              ForwarderEffects& aEffects)
{
  const auto known = aState.mLeavingTargets.find(aTarget.mRecord.mInstance);
  if (known != aState.mLeavingTargets.end() &&
      IsSameStart(known->second.mRecord, aTarget.mRecord)) {
    return;
  }
  ForgetOldLeaving(aState, aNow);
  aState.mLeavingTargets[aTarget.mRecord.mInstance] =
    LeavingTarget{ aTarget.mRecord };
  LogPutAside(aState,
              "target-put-aside",
              aTarget.mRecord,
              "leaving",
              std::nullopt,
              aEffects);
  if (!aTarget.mIsRetired) {
    RetireTarget(aState, aTarget, aNow, aEffects);
  }
}

/** Whether a target of the service is put aside for a while. */
bool
HasTargetAside(const ForwarderState& aState, ServiceId aService, TimePoint aNow)
{
  const auto targets = aState.mTargetsOfService.find(aService);
  return targets != aState.mTargetsOfService.end() &&
         std::any_of(
           targets->second.begin(), targets->second.end(), [&](TargetKey aKey) {
             return IsAside(aState, aState.mTargets.at(aKey), aNow);
           });
}

/** The requests per second that a target of the service gets from this VM, on
    average over its targets. */
double
MeanRate(const ForwarderState& aState, ServiceId aService, TimePoint aNow)
{
  const auto targets = aState.mTargetsOfService.find(aService);
  if (targets == aState.mTargetsOfService.end() || targets->second.empty()) {
    return 0;
  }
  double total = 0;
  for (const TargetKey key : targets->second) {
    total += RateAt(aState.mTargets.at(key).mSendRate, aNow);
  }
  return total / static_cast<double>(targets->second.size());
}

void
RecordPause(ForwarderState& aState,
            TargetState& aTarget,
            Duration aPause,
            TimePoint aNow,
            ForwarderEffects& aEffects)
{
  const TimePoint until = aNow + aPause;
  const bool isLonger =
    aPause > Duration::zero() && until > aTarget.mPausedUntil;
  if (aTarget.mIsRetired || !isLonger) {
    return;
  }
  const bool isFirst = !IsAside(aState, aTarget, aNow);
  aTarget.mPausedUntil = until;
  aState.mTimers.Arm(until, ForwarderTimer::kPauseEnd, aTarget.mKey.Value());
  if (!isFirst) {
    return;
  }
  LogPutAside(
    aState, "target-put-aside", aTarget.mRecord, "pause", aPause, aEffects);
  MoveLoadAway(aState, aTarget, aNow);
  MoveWaitingSubRequests(aState, aTarget.mKey, aNow, aEffects);
}

} // namespace

bool
IsAside(const ForwarderState& aState,
        const TargetState& aTarget,
        TimePoint aNow)
{
  return WaitForPause(aTarget, aNow) > Duration::zero() ||
         IsEvacuated(aState, aTarget.mRecord.mZone);
}

void
MoveLoadAway(ForwarderState& aState, TargetState& aTarget, TimePoint aNow)
{
  const double mean = MeanRate(aState, aTarget.mRecord.mService, aNow);
  const auto usualRate = [&](const TargetState& aAny) {
    return std::max(mean, RateAt(aAny.mSendRate, aNow));
  };
  aTarget.mRateBeforePause = usualRate(aTarget);
  aTarget.mPace = {};
  for (const TargetKey key :
       aState.mTargetsOfService[aTarget.mRecord.mService]) {
    TargetState& other = aState.mTargets.at(key);
    if (!IsAside(aState, other, aNow)) {
      BeginTakeover(other.mPace, usualRate(other), aNow);
    }
  }
}

void
TakeLoadBack(ForwarderState& aState, TargetState& aTarget, TimePoint aNow)
{
  if (!HasTargetAside(aState, aTarget.mRecord.mService, aNow)) {
    for (const TargetKey key :
         aState.mTargetsOfService[aTarget.mRecord.mService]) {
      aState.mTargets.at(key).mPace = {};
    }
  }
  BeginReturn(aTarget.mPace, aTarget.mRateBeforePause, aNow);
}

void
RecordStatedAvailability(ForwarderState& aState,
                         TargetKey aTarget,
                         const Reply& aReply,
                         TimePoint aNow,
                         ForwarderEffects& aEffects)
{
  TargetState& target = aState.mTargets.at(aTarget);
  if (aReply.mIsLeaving) {
    RecordLeaving(aState, target, aNow, aEffects);
  } else if (aReply.mWantedPause) {
    RecordPause(aState, target, *aReply.mWantedPause, aNow, aEffects);
  } else if (aReply.mKind == ReplyKind::kNotRun) {
    RecordRefusal(target.mPace, aNow);
  }
}

Duration
WaitForPause(const TargetState& aTarget, TimePoint aNow)
{
  return std::max(Duration::zero(), aTarget.mPausedUntil - aNow);
}

bool
IsLeaving(ForwarderState& aState,
          const TargetRecord& aRecord,
          ForwarderEffects& aEffects)
{
  const auto known = aState.mLeavingTargets.find(aRecord.mInstance);
  if (known == aState.mLeavingTargets.end()) {
    return false;
  }
  if (IsSameStart(known->second.mRecord, aRecord)) {
    known->second.mEntryRemovedAt = TimePoint::max();
    return true;
  }
  LogPutAside(
    aState, "target-taken-back", aRecord, "leaving", std::nullopt, aEffects);
  aState.mLeavingTargets.erase(known);
  return false;
}

void
RecordEntryRemoved(ForwarderState& aState,
                   const InstanceId& aInstance,
                   TimePoint aNow)
{
  const auto known = aState.mLeavingTargets.find(aInstance);
  if (known != aState.mLeavingTargets.end() &&
      known->second.mEntryRemovedAt == TimePoint::max()) {
    known->second.mEntryRemovedAt = aNow;
  }
}

void
HandlePauseEnd(ForwarderState& aState,
               TargetKey aTarget,
               TimePoint aNow,
               ForwarderEffects& aEffects)
{
  const auto found = aState.mTargets.find(aTarget);
  // A timer that was set before the pause was extended has no effect.
  if (found == aState.mTargets.end() || found->second.mIsRetired ||
      aNow < found->second.mPausedUntil) {
    return;
  }
  TargetState& target = found->second;
  LogPutAside(aState,
              "target-taken-back",
              target.mRecord,
              "pause",
              std::nullopt,
              aEffects);
  if (IsAside(aState, target, aNow)) {
    return;
  }
  TakeLoadBack(aState, target, aNow);
  EnsureConnection(aState, target, aNow, aEffects);
}

std::size_t
CountLeaving(const ForwarderState& aState)
{
  return static_cast<std::size_t>(
    std::count_if(aState.mLeavingTargets.begin(),
                  aState.mLeavingTargets.end(),
                  [](const auto& aEntry) {
                    return aEntry.second.mEntryRemovedAt == TimePoint::max();
                  }));
}

std::size_t
CountPaused(const ForwarderState& aState, TimePoint aNow)
{
  return static_cast<std::size_t>(std::count_if(
    aState.mTargets.begin(), aState.mTargets.end(), [aNow](const auto& aEntry) {
      return !aEntry.second.mIsRetired &&
             WaitForPause(aEntry.second, aNow) > Duration::zero();
    }));
}

} // namespace wasabispread::forwarding
