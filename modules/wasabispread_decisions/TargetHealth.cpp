/*
 * Observes the latency and failures of targets, ejects failing targets and
 * restores them.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

/** The interval between probes of an ejected target; it doubles with each
    failed probe up to kMaxProbeInterval. */
constexpr Duration kFirstProbeInterval = std::chrono::milliseconds(250);
constexpr Duration kMaxProbeInterval = std::chrono::seconds(2);
/** The interval between probes of a target that is draining. */
constexpr Duration kDrainingProbeInterval = std::chrono::seconds(5);
/** The weight of a new sample in the exponentially weighted means. */
constexpr double kSmoothingFactor = 0.2;

bool
IsOutOfUse(const VmState& aState, TargetId aTarget)
{
  const auto found = aState.mCoordinator.mTargets.find(aTarget);
  return found != aState.mCoordinator.mTargets.end() &&
         found->second.mAvailability != TargetAvailability::kInUse;
}

/** Whether one more of a service's targets may be ejected. At most half of them
    are out of use at a time. */
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

/** How many failures in a row for a reason eject a target; 0 when the reason is
    no failure of the target. */
std::uint32_t
FailuresToEject(MissingReason aReason)
{
  constexpr std::uint32_t kFailureLimit = 3;
  constexpr std::uint32_t kShedLimit = 6;
  switch (aReason) {
    case MissingReason::kTargetUnreachable:
    case MissingReason::kProtocolError:
    case MissingReason::kTimeout:
      return kFailureLimit;
    case MissingReason::kShed:
      return kShedLimit;
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
             TargetAvailability aAvailability,
             MissingReason aReason,
             TimePoint aNow,
             Effects& aEffects)
{
  ServiceObservation& service =
    aState.mCoordinator.mServices[aObserved.mService];
  if (aObserved.mAvailability == TargetAvailability::kInUse) {
    ++service.mTargetsOutOfUse;
  }
  aObserved.mAvailability = aAvailability;
  ++service.mSnapshotEpoch;
  aObserved.mProbeInterval = aAvailability == TargetAvailability::kDraining
                               ? kDrainingProbeInterval
                               : kFirstProbeInterval;
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
  // Observations from the time when it was out of use must not keep attempts
  // away from it.
  aObserved.mSuccess = 1;
  aObserved.mLatency = 0;
  ++aState.mCounters.mTargetsRestored;
  aEffects.push_back(LogDecision{ TargetRestored{ aTarget } });
}

void
UpdateLatency(TargetObservation& aObserved, Duration aLatency)
{
  const auto latency = static_cast<double>(aLatency.count());
  aObserved.mLatency += aObserved.mLatency == 0
                          ? latency
                          : (latency - aObserved.mLatency) * kSmoothingFactor;
}

void
RecordLatency(ServiceObservation& aService,
              const InFlightAttempt& aAttempt,
              Duration aLatency,
              TimePoint aNow)
{
  aService.mLatency.Add(aLatency, aNow);
  if (aAttempt.mDistance == Distance::kOwnZone) {
    aService.mOwnZoneLatency.Add(aLatency, aNow);
  } else {
    aService.mOtherZoneLatency.Add(aLatency, aNow);
  }
}

void
UpdateHeldSnapshots(VmState& aState,
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
  aObserved.mSuccess -= aObserved.mSuccess * kSmoothingFactor;
  if (limit == 0) {
    return;
  }
  ++aObserved.mFailures;
  if (aObserved.mAvailability != TargetAvailability::kInUse) {
    aObserved.mProbeInterval =
      std::min(aObserved.mProbeInterval * 2,
               std::max(kMaxProbeInterval, aObserved.mProbeInterval));
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

/** Counts an attempt as ended and returns its target's observation. */
TargetObservation&
EndObservation(VmState& aState, const InFlightAttempt& aAttempt)
{
  TargetObservation& target = aState.mCoordinator.mTargets[aAttempt.mTarget];
  target.mInFlight -= std::min(target.mInFlight, 1U);
  return target;
}

/** An upper bound of the time that an attempt at a service takes when nothing
    is wrong. It is derived from the median, which a few broken targets cannot
    shift. */
Duration
MaxOrdinaryLatency(const VmState& aState, ServiceId aService)
{
  constexpr double kMedian = 0.5;
  constexpr int kMultiple = 4;
  const auto found = aState.mCoordinator.mServices.find(aService);
  return found == aState.mCoordinator.mServices.end()
           ? Duration::zero()
           : found->second.mLatency.Quantile(kMedian) * kMultiple;
}

/** Records the time so far of an attempt without an answer as a lower bound of
    its latency. aIsOfService says whether it counts for the service's latency
    too. */
void
RecordMinLatency(VmState& aState,
                 TargetObservation& aTarget,
                 const InFlightAttempt& aAttempt,
                 bool aIsOfService,
                 TimePoint aNow)
{
  const Duration elapsed = aNow - aAttempt.mSent;
  if (static_cast<double>(elapsed.count()) > aTarget.mLatency) {
    UpdateLatency(aTarget, elapsed);
  }
  // The time of a target out of use says nothing about the service's latency.
  if (aIsOfService && aTarget.mAvailability == TargetAvailability::kInUse) {
    RecordLatency(
      aState.mCoordinator.mServices[aTarget.mService], aAttempt, elapsed, aNow);
  }
}

} // namespace

ServiceObservation&
ObservedService(VmState& aState, const Service& aService)
{
  const auto [found, isNew] =
    aState.mCoordinator.mServices.try_emplace(aService.mId);
  ServiceObservation& observed = found->second;
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
            const InFlightAttempt& aAttempt,
            TimePoint aNow)
{
  TargetObservation& target = aState.mCoordinator.mTargets[aAttempt.mTarget];
  target.mService = aService;
  target.mLastAsked = aNow;
  ++target.mInFlight;
}

void
ObserveReply(VmState& aState,
             const InFlightAttempt& aAttempt,
             const ItemReply& aReply,
             TimePoint aNow,
             Effects& aEffects)
{
  TargetObservation& target = EndObservation(aState, aAttempt);
  UpdateHeldSnapshots(aState, target, aReply.mHeldSnapshots, aNow);
  if (aReply.mOutcome != AttemptOutcome::kAnswered) {
    const MissingReason reason = MissingReasonOf(aReply);
    if (reason == MissingReason::kTimeout) {
      RecordMinLatency(aState, target, aAttempt, true, aNow);
    }
    const bool isTooSoon =
      reason == MissingReason::kTimeout &&
      aNow - aAttempt.mSent <= MaxOrdinaryLatency(aState, target.mService);
    if (!isTooSoon) {
      ObserveFailure(aState, aAttempt.mTarget, target, reason, aNow, aEffects);
    }
    return;
  }
  target.mFailures = 0;
  if (target.mAvailability != TargetAvailability::kInUse) {
    Restore(aState, aAttempt.mTarget, target, aEffects);
  }
  target.mSuccess += (1 - target.mSuccess) * kSmoothingFactor;
  const Duration latency = aNow - aAttempt.mSent;
  UpdateLatency(target, latency);
  RecordLatency(
    aState.mCoordinator.mServices[target.mService], aAttempt, latency, aNow);
}

void
ObserveAbandoned(VmState& aState,
                 const InFlightAttempt& aAttempt,
                 TimePoint aNow)
{
  TargetObservation& target = EndObservation(aState, aAttempt);
  // The short time of an abandoned hedge says little about the service. That of
  // a first attempt is longer than the latency quantile after which it was
  // hedged.
  RecordMinLatency(aState, target, aAttempt, !aAttempt.mIsHedge, aNow);
}

MissingReason
MissingReasonOf(const ItemReply& aReply)
{
  const bool hasWaited = aReply.mOutcome == AttemptOutcome::kNotRun &&
                         aReply.mReason == MissingReason::kTimeout;
  return hasWaited ? MissingReason::kOverloaded : aReply.mReason;
}

} // namespace wasabispread
