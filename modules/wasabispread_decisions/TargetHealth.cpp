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
constexpr Duration kOwnerAvoidance = std::chrono::seconds(1);
constexpr double kNewWeight = 0.2;

bool
IsOutOfUse(const NodeState& aState, TargetId aTarget)
{
  const auto place = aState.mEntry.mTargets.find(aTarget);
  return place != aState.mEntry.mTargets.end() &&
         place->second.mStanding != TargetStanding::kInUse;
}

/** Whether one more of a service's targets may be ejected. */
bool
MayEject(const NodeState& aState,
         const ServiceObservation& aObserved,
         ServiceId aService)
{
  constexpr std::size_t kFloorDivisor = 2;
  const DeploymentPointer& deployment = aState.mConfiguration.mDeployment;
  const Service* service =
    deployment == nullptr ? nullptr : deployment->FindService(aService);
  return service != nullptr &&
         aObserved.mOutOfUse < service->mTargets.size() / kFloorDivisor;
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
TakeOutOfUse(NodeState& aState,
             TargetId aTarget,
             TargetObservation& aObserved,
             TargetStanding aStanding,
             MissingReason aReason,
             TimePoint aNow,
             Effects& aEffects)
{
  ServiceObservation& service = aState.mEntry.mServices[aObserved.mService];
  if (aObserved.mStanding == TargetStanding::kInUse) {
    ++service.mOutOfUse;
  }
  aObserved.mStanding = aStanding;
  ++service.mSnapshotEpoch;
  aObserved.mProbeInterval =
    aStanding == TargetStanding::kDraining ? kDrainingProbe : kFirstProbe;
  aObserved.mNextProbe = aNow + aObserved.mProbeInterval;
  ++aState.mCounters.mTargetsEjected;
  aEffects.push_back(
    LogDecision{ TargetEjected{ aTarget, aReason, aObserved.mFailures } });
}

void
Restore(NodeState& aState,
        TargetId aTarget,
        TargetObservation& aObserved,
        Effects& aEffects)
{
  ServiceObservation& service = aState.mEntry.mServices[aObserved.mService];
  service.mOutOfUse -= std::min(service.mOutOfUse, 1U);
  aObserved.mStanding = TargetStanding::kInUse;
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
              const AttemptPlace& aPlace,
              Duration aLatency)
{
  aService.mLatency.Add(aLatency);
  if (aPlace.mDistance == Distance::kOwnZone) {
    aService.mOwnZoneLatency.Add(aLatency);
  } else {
    aService.mOtherZoneLatency.Add(aLatency);
  }
}

void
LearnSnapshots(NodeState& aState,
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
    ++aState.mEntry.mServices[aObserved.mService].mSnapshotEpoch;
  }
}

void
ObserveFailure(NodeState& aState,
               TargetId aTarget,
               TargetObservation& aObserved,
               MissingReason aReason,
               TimePoint aNow,
               Effects& aEffects)
{
  if (aReason == MissingReason::kDraining) {
    if (aObserved.mStanding != TargetStanding::kDraining) {
      TakeOutOfUse(aState,
                   aTarget,
                   aObserved,
                   TargetStanding::kDraining,
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
  if (aObserved.mStanding != TargetStanding::kInUse) {
    aObserved.mProbeInterval =
      std::min(aObserved.mProbeInterval * 2,
               std::max(kLastProbe, aObserved.mProbeInterval));
    return;
  }
  const ServiceObservation& service =
    aState.mEntry.mServices[aObserved.mService];
  if (aObserved.mFailures >= limit &&
      MayEject(aState, service, aObserved.mService)) {
    TakeOutOfUse(aState,
                 aTarget,
                 aObserved,
                 TargetStanding::kEjected,
                 aReason,
                 aNow,
                 aEffects);
  }
}

/** Counts an attempt as ended. */
TargetObservation&
EndObserved(NodeState& aState, const AttemptPlace& aPlace)
{
  TargetObservation& target = aState.mEntry.mTargets[aPlace.mTarget];
  target.mInFlight -= std::min(target.mInFlight, 1U);
  return target;
}

/** More than an attempt at a service takes when nothing is wrong. */
Duration
OrdinaryMost(const NodeState& aState, ServiceId aService)
{
  constexpr double kHighShare = 0.95;
  const auto place = aState.mEntry.mServices.find(aService);
  return place == aState.mEntry.mServices.end()
           ? Duration::zero()
           : place->second.mLatency.Quantile(kHighShare) * 2;
}

/** Prefers the other owner for a while when this one answers nothing. */
void
AvoidSilentOwner(OwnerObservation& aOwner, Duration aOrdinary, TimePoint aNow)
{
  constexpr Duration kLeastSilence = std::chrono::milliseconds(100);
  const Duration limit = std::max(kLeastSilence, aOrdinary);
  if (aOwner.mUnansweredSince != TimePoint{} &&
      aNow - aOwner.mUnansweredSince > limit) {
    aOwner.mAvoidUntil = aNow + kOwnerAvoidance;
    aOwner.mUnansweredSince = TimePoint{};
  }
}

} // namespace

ServiceObservation&
ObservedService(NodeState& aState, const Service& aService)
{
  const auto [place, isNew] = aState.mEntry.mServices.try_emplace(aService.mId);
  ServiceObservation& observed = place->second;
  if (isNew) {
    observed.mBudget = MakeExtraLoadBudget(aService);
  }
  if (observed.mRevision != aState.mConfiguration.mRevision) {
    observed.mRevision = aState.mConfiguration.mRevision;
    const auto& targets = aState.mConfiguration.mDeployment->mTargets;
    observed.mOutOfUse = static_cast<std::uint32_t>(
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
ObserveSent(NodeState& aState,
            ServiceId aService,
            const AttemptPlace& aPlace,
            TimePoint aNow)
{
  TargetObservation& target = aState.mEntry.mTargets[aPlace.mTarget];
  target.mService = aService;
  target.mLastAsked = aNow;
  ++target.mInFlight;
  OwnerObservation& owner = aState.mEntry.mOwners[aPlace.mOwner];
  if (owner.mUnansweredSince == TimePoint{}) {
    owner.mUnansweredSince = aNow;
  }
}

void
ObserveReply(NodeState& aState,
             const AttemptPlace& aPlace,
             const ItemReply& aReply,
             TimePoint aNow,
             Effects& aEffects)
{
  TargetObservation& target = EndObserved(aState, aPlace);
  OwnerObservation& owner = aState.mEntry.mOwners[aPlace.mOwner];
  if (aReply.mReason != MissingReason::kOwnerLost) {
    owner.mUnansweredSince = TimePoint{};
  }
  LearnSnapshots(aState, target, aReply.mHeldSnapshots, aNow);
  if (aReply.mOutcome != AttemptOutcome::kAnswered) {
    if (aReply.mReason == MissingReason::kNoOwner) {
      owner.mAvoidUntil = aNow + kOwnerAvoidance;
    }
    ObserveFailure(
      aState, aPlace.mTarget, target, aReply.mReason, aNow, aEffects);
    return;
  }
  target.mFailures = 0;
  if (target.mStanding != TargetStanding::kInUse) {
    Restore(aState, aPlace.mTarget, target, aEffects);
  }
  target.mSuccess += (1 - target.mSuccess) * kNewWeight;
  const Duration latency = aNow - aPlace.mSent;
  LearnLatency(target, latency);
  RecordLatency(aState.mEntry.mServices[target.mService], aPlace, latency);
}

void
ObserveAbandoned(NodeState& aState,
                 const AttemptPlace& aPlace,
                 bool aIsTimeout,
                 TimePoint aNow,
                 Effects& aEffects)
{
  TargetObservation& target = EndObserved(aState, aPlace);
  const Duration elapsed = aNow - aPlace.mSent;
  if (static_cast<double>(elapsed.count()) > target.mLatency) {
    LearnLatency(target, elapsed);
  }
  // A hedge's time so far says little; a first attempt's tells that it is
  // beyond the quantile that the hedge waited for.
  if (!aPlace.mIsHedge) {
    RecordLatency(aState.mEntry.mServices[target.mService], aPlace, elapsed);
  }
  if (!aIsTimeout) {
    return;
  }
  const Duration ordinary = OrdinaryMost(aState, target.mService);
  AvoidSilentOwner(aState.mEntry.mOwners[aPlace.mOwner], ordinary, aNow);
  if (elapsed > ordinary &&
      !IsOwnerSuspected(aState.mEntry, aPlace.mOwner, aNow)) {
    ObserveFailure(
      aState, aPlace.mTarget, target, MissingReason::kTimeout, aNow, aEffects);
  }
}

void
ObserveOwnerLost(NodeState& aState, VmId aOwner, TimePoint aNow)
{
  aState.mEntry.mOwners[aOwner].mAvoidUntil = aNow + kOwnerAvoidance;
}

bool
IsOwnerSuspected(const EntryState& aEntry, VmId aOwner, TimePoint aNow)
{
  const auto place = aEntry.mOwners.find(aOwner);
  return place != aEntry.mOwners.end() && place->second.mAvoidUntil > aNow;
}

} // namespace wasabispread
