/*
 * Latency, ejection with a floor, and probes.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

constexpr Duration kFirstProbe = std::chrono::milliseconds(250);
constexpr Duration kLastProbe = std::chrono::seconds(2);
constexpr Duration kDrainingProbe = std::chrono::seconds(5);
constexpr double kNewWeight = 0.2;

bool
IsOutOfUse(const VmState& aState, TargetId aTarget)
{
  const auto place = aState.mCoordinator.mTargets.find(aTarget);
  return place != aState.mCoordinator.mTargets.end() &&
         place->second.mAvailability != TargetAvailability::kInUse;
}

/** Whether one more of a service's targets may be ejected. */
bool
MayEject(const VmState& aState,
         const ServiceObservation& aObserved,
         ServiceId aService)
{
  constexpr std::size_t kFloorDivisor = 2;
  const DeploymentPointer& deployment = aState.mConfiguration.mDeployment;
  const Service* service =
    deployment == nullptr ? nullptr : deployment->FindService(aService);
  return service != nullptr &&
         aObserved.mTargetsOutOfUse < service->mTargets.size() / kFloorDivisor;
}

/** How many failures in a row eject a target; 0 when a reason says nothing
    about it. */
std::uint32_t
FailuresToEject(MissingReason aReason)
{
  constexpr std::uint32_t kBroken = 3;
  constexpr std::uint32_t kRefusing = 6;
  switch (aReason) {
    case MissingReason::kTargetUnreachable:
    case MissingReason::kProtocolError:
    case MissingReason::kTimeout:
      return kBroken;
    case MissingReason::kShed:
      return kRefusing;
    case MissingReason::kOverloaded:
    case MissingReason::kDraining:
    case MissingReason::kSnapshotUnavailable:
    case MissingReason::kOwnerLost:
    case MissingReason::kNoOwner:
    case MissingReason::kUnknownTarget:
    case MissingReason::kEarlyAnswer:
    case MissingReason::kStopping:
      break;
  }
  return 0;
}

void
TakeOutOfUse(VmState& aState,
             TargetId aTarget,
             TargetObservation& aObserved,
             TargetAvailability aStanding,
             MissingReason aReason,
             TimePoint aNow,
             Effects& aEffects)
{
  ServiceObservation& service =
    aState.mCoordinator.mServices[aObserved.mService];
  if (aObserved.mAvailability == TargetAvailability::kInUse) {
    ++service.mTargetsOutOfUse;
  }
  aObserved.mAvailability = aStanding;
  ++service.mSnapshotEpoch;
  aObserved.mProbeInterval =
    aStanding == TargetAvailability::kDraining ? kDrainingProbe : kFirstProbe;
  aObserved.mNextProbe = aNow + aObserved.mProbeInterval;
  ++aState.mCounters.mTargetsEjected;
  aEffects.push_back(
    LogDecision{ TargetEjected{ aTarget, aReason, aObserved.mFailures } });
}

void
Restore(VmState& aState,
        TargetId aTarget,
        TargetObservation& aObserved,
        Effects& aEffects)
{
  ServiceObservation& service =
    aState.mCoordinator.mServices[aObserved.mService];
  service.mTargetsOutOfUse -= std::min(service.mTargetsOutOfUse, 1U);
  aObserved.mAvailability = TargetAvailability::kInUse;
  ++service.mSnapshotEpoch;
  // What was seen while it was out of use must not keep work from it.
  aObserved.mSuccess = 1;
  aObserved.mLatency = 0;
  ++aState.mCounters.mTargetsRestored;
  aEffects.push_back(LogDecision{ TargetRestored{ aTarget } });
}

void
LearnLatency(TargetObservation& aObserved, Duration aLatency)
{
  const auto latency = static_cast<double>(aLatency.count());
  aObserved.mLatency += aObserved.mLatency == 0
                          ? latency
                          : (latency - aObserved.mLatency) * kNewWeight;
}

void
RecordLatency(ServiceObservation& aService,
              const InFlightAttempt& aPlace,
              Duration aLatency,
              TimePoint aNow)
{
  aService.mLatency.Add(aLatency, aNow);
  if (aPlace.mDistance == Distance::kOwnZone) {
    aService.mOwnZoneLatency.Add(aLatency, aNow);
  } else {
    aService.mOtherZoneLatency.Add(aLatency, aNow);
  }
}

void
LearnSnapshots(VmState& aState,
               TargetObservation& aObserved,
               const std::vector<SnapshotVersion>& aHeld,
               TimePoint aNow)
{
  if (aHeld.empty()) {
    return;
  }
  aObserved.mSnapshotsSeen = aNow;
  if (aObserved.mHeldSnapshots != aHeld) {
    aObserved.mHeldSnapshots = aHeld;
    ++aState.mCoordinator.mServices[aObserved.mService].mSnapshotEpoch;
  }
}

void
ObserveFailure(VmState& aState,
               TargetId aTarget,
               TargetObservation& aObserved,
               MissingReason aReason,
               TimePoint aNow,
               Effects& aEffects)
{
  if (aReason == MissingReason::kDraining) {
    if (aObserved.mAvailability != TargetAvailability::kDraining) {
      TakeOutOfUse(aState,
                   aTarget,
                   aObserved,
                   TargetAvailability::kDraining,
                   aReason,
                   aNow,
                   aEffects);
    }
    return;
  }
  const std::uint32_t limit = FailuresToEject(aReason);
  if (limit == 0 && aReason != MissingReason::kOverloaded) {
    return;
  }
  aObserved.mSuccess -= aObserved.mSuccess * kNewWeight;
  if (limit == 0) {
    return;
  }
  ++aObserved.mFailures;
  if (aObserved.mAvailability != TargetAvailability::kInUse) {
    aObserved.mProbeInterval =
      std::min(aObserved.mProbeInterval * 2,
               std::max(kLastProbe, aObserved.mProbeInterval));
    return;
  }
  const ServiceObservation& service =
    aState.mCoordinator.mServices[aObserved.mService];
  if (aObserved.mFailures >= limit &&
      MayEject(aState, service, aObserved.mService)) {
    TakeOutOfUse(aState,
                 aTarget,
                 aObserved,
                 TargetAvailability::kEjected,
                 aReason,
                 aNow,
                 aEffects);
  }
}

/** Counts an attempt as ended. */
TargetObservation&
EndObserved(VmState& aState, const InFlightAttempt& aPlace)
{
  TargetObservation& target = aState.mCoordinator.mTargets[aPlace.mTarget];
  target.mInFlight -= std::min(target.mInFlight, 1U);
  return target;
}

/** More than an attempt at a service takes when nothing is wrong. Derived from
    the median, which a few broken targets cannot move. */
Duration
OrdinaryMost(const VmState& aState, ServiceId aService)
{
  constexpr double kMedian = 0.5;
  constexpr int kMultiple = 4;
  const auto place = aState.mCoordinator.mServices.find(aService);
  return place == aState.mCoordinator.mServices.end()
           ? Duration::zero()
           : place->second.mLatency.Quantile(kMedian) * kMultiple;
}

/** Takes in a latency that would have been longer than the time so far. */
void
RecordAtLeast(VmState& aState,
              TargetObservation& aTarget,
              const InFlightAttempt& aPlace,
              bool aIsOfService,
              TimePoint aNow)
{
  const Duration elapsed = aNow - aPlace.mSent;
  if (static_cast<double>(elapsed.count()) > aTarget.mLatency) {
    LearnLatency(aTarget, elapsed);
  }
  // A broken target's time says nothing about the service's speed.
  if (aIsOfService && aTarget.mAvailability == TargetAvailability::kInUse) {
    RecordLatency(
      aState.mCoordinator.mServices[aTarget.mService], aPlace, elapsed, aNow);
  }
}

} // namespace

ServiceObservation&
ObservedService(VmState& aState, const Service& aService)
{
  const auto [place, isNew] =
    aState.mCoordinator.mServices.try_emplace(aService.mId);
  ServiceObservation& observed = place->second;
  if (isNew) {
    observed.mBudget = MakeExtraAttemptBudget(aService);
  }
  if (observed.mRevision != aState.mConfiguration.mRevision) {
    observed.mRevision = aState.mConfiguration.mRevision;
    const auto& targets = aState.mConfiguration.mDeployment->mTargets;
    observed.mTargetsOutOfUse = static_cast<std::uint32_t>(
      std::count_if(aService.mTargets.begin(),
                    aService.mTargets.end(),
                    [&](std::uint32_t aPosition) {
                      return IsOutOfUse(aState, targets[aPosition].mId);
                    }));
    ++observed.mSnapshotEpoch;
  }
  return observed;
}

void
ObserveSent(VmState& aState,
            ServiceId aService,
            const InFlightAttempt& aPlace,
            TimePoint aNow)
{
  TargetObservation& target = aState.mCoordinator.mTargets[aPlace.mTarget];
  target.mService = aService;
  target.mLastAsked = aNow;
  ++target.mInFlight;
}

void
ObserveReply(VmState& aState,
             const InFlightAttempt& aPlace,
             const ItemReply& aReply,
             TimePoint aNow,
             Effects& aEffects)
{
  TargetObservation& target = EndObserved(aState, aPlace);
  LearnSnapshots(aState, target, aReply.mHeldSnapshots, aNow);
  if (aReply.mOutcome != AttemptOutcome::kAnswered) {
    const MissingReason reason = MissingReasonOf(aReply);
    if (reason == MissingReason::kTimeout) {
      RecordAtLeast(aState, target, aPlace, true, aNow);
    }
    const bool isTooSoon =
      reason == MissingReason::kTimeout &&
      aNow - aPlace.mSent <= OrdinaryMost(aState, target.mService);
    if (!isTooSoon) {
      ObserveFailure(aState, aPlace.mTarget, target, reason, aNow, aEffects);
    }
    return;
  }
  target.mFailures = 0;
  if (target.mAvailability != TargetAvailability::kInUse) {
    Restore(aState, aPlace.mTarget, target, aEffects);
  }
  target.mSuccess += (1 - target.mSuccess) * kNewWeight;
  const Duration latency = aNow - aPlace.mSent;
  LearnLatency(target, latency);
  RecordLatency(
    aState.mCoordinator.mServices[target.mService], aPlace, latency, aNow);
}

void
ObserveAbandoned(VmState& aState, const InFlightAttempt& aPlace, TimePoint aNow)
{
  TargetObservation& target = EndObserved(aState, aPlace);
  // A hedge's time so far says little; a first attempt's tells that it is
  // beyond the quantile that the hedge waited for.
  RecordAtLeast(aState, target, aPlace, !aPlace.mIsHedge, aNow);
}

MissingReason
MissingReasonOf(const ItemReply& aReply)
{
  const bool hasWaited = aReply.mOutcome == AttemptOutcome::kNotRun &&
                         aReply.mReason == MissingReason::kTimeout;
  return hasWaited ? MissingReason::kOverloaded : aReply.mReason;
}

} // namespace wasabispread
