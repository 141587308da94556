/*
 * Which target owners are avoided, and for how long.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

/** How long to wait for a reply. It is longer than a round trip between zones
    with one packet retransmitted. */
constexpr Duration kOwnerReplyWait = std::chrono::milliseconds(300);
constexpr Duration kMinProbeInterval = std::chrono::milliseconds(500);
constexpr Duration kMaxProbeInterval = std::chrono::seconds(4);
constexpr Duration kStoppingAvoidance = std::chrono::seconds(10);
constexpr Duration kNotOwnerAvoidance = std::chrono::milliseconds(500);

/** How long until an avoided target owner is probed or used again. */
Duration
AvoidanceDuration(const AvoidedOwner& aOwner)
{
  constexpr std::uint32_t kMaxDoublings = 3;
  if (aOwner.mReason == AvoidanceReason::kStopping) {
    return kStoppingAvoidance;
  }
  if (aOwner.mReason == AvoidanceReason::kNotOwner) {
    return kNotOwnerAvoidance;
  }
  const std::uint32_t doublings = std::min(aOwner.mProbes, kMaxDoublings);
  return std::min(kMaxProbeInterval,
                  kMinProbeInterval * (std::int64_t{ 1 } << doublings));
}

void
EndAvoidance(PlacementState& aPlacement, VmId aVm)
{
  aPlacement.mAvoided.erase(aVm);
  ++aPlacement.mAvoidanceEpoch;
}

/** Whether an avoidance for this reason ends with any message from the
    owner. */
bool
EndsWithMessage(AvoidanceReason aReason)
{
  return aReason == AvoidanceReason::kLost ||
         aReason == AvoidanceReason::kSilent;
}

} // namespace

std::string_view
ToText(AvoidanceReason aReason)
{
  switch (aReason) {
    case AvoidanceReason::kLost:
      return "connection-lost";
    case AvoidanceReason::kSilent:
      return "silent";
    case AvoidanceReason::kStopping:
      return "stopping";
    case AvoidanceReason::kNotOwner:
      return "not-owner";
  }
  return "unknown";
}

void
AvoidOwner(VmState& aState,
           VmId aVm,
           AvoidanceReason aReason,
           TimePoint aNow,
           Effects& aEffects)
{
  if (aVm == aState.mSelf.mId) {
    return;
  }
  PlacementState& placement = aState.mPlacement;
  const auto [found, isNew] =
    placement.mAvoided.try_emplace(aVm, AvoidedOwner{});
  found->second.mReason = aReason;
  if (!isNew) {
    return;
  }
  ++placement.mAvoidanceEpoch;
  ++aState.mCounters.mOwnersAvoided;
  aState.mTimers.Arm(aNow + AvoidanceDuration(found->second),
                     TimerKind::kProbeOwner,
                     aVm.Value());
  aEffects.push_back(LogDecision{ OwnerAvoided{ aVm, aReason } });
}

void
HandleProbeOwner(VmState& aState, VmId aVm, TimePoint aNow, Effects& aEffects)
{
  PlacementState& placement = aState.mPlacement;
  const auto found = placement.mAvoided.find(aVm);
  if (found == placement.mAvoided.end()) {
    return;
  }
  const VmRecord* member = FindMember(aState.mMembership, aVm);
  if (!EndsWithMessage(found->second.mReason) || member == nullptr) {
    EndAvoidance(placement, aVm);
    return;
  }
  ++found->second.mProbes;
  aState.mTimers.Arm(aNow + AvoidanceDuration(found->second),
                     TimerKind::kProbeOwner,
                     aVm.Value());
  BatchRequest probe;
  probe.mIncarnation = aState.mSelf.mIncarnation;
  probe.mBody = std::make_shared<const std::string>();
  SendToVm(aState, aVm, member->mPeerAddress, std::move(probe), aEffects);
}

void
ObservePeerMessage(VmState& aState, VmId aVm)
{
  PlacementState& placement = aState.mPlacement;
  if (!placement.mAwaited.empty()) {
    placement.mAwaited.erase(aVm);
  }
  if (placement.mAvoided.empty()) {
    return;
  }
  const auto found = placement.mAvoided.find(aVm);
  if (found != placement.mAvoided.end() &&
      EndsWithMessage(found->second.mReason)) {
    EndAvoidance(placement, aVm);
  }
}

void
ObserveOwnerReply(VmState& aState,
                  VmId aVm,
                  const BatchReply& aReply,
                  TimePoint aNow,
                  Effects& aEffects)
{
  for (const ItemReply& item : aReply.mItems) {
    const bool isRefusal = item.mOutcome == AttemptOutcome::kNotRun;
    if (isRefusal && item.mReason == MissingReason::kStopping) {
      AvoidOwner(aState, aVm, AvoidanceReason::kStopping, aNow, aEffects);
      return;
    }
    if (isRefusal && item.mReason == MissingReason::kNoOwner) {
      AvoidOwner(aState, aVm, AvoidanceReason::kNotOwner, aNow, aEffects);
      return;
    }
  }
}

void
ExpectOwnerReply(VmState& aState, VmId aVm, TimePoint aNow)
{
  const bool isNew =
    aState.mPlacement.mAwaited.try_emplace(aVm, AwaitedOwner{ aNow }).second;
  if (isNew) {
    aState.mTimers.Arm(
      aNow + kOwnerReplyWait, TimerKind::kOwnerReplyTimeout, aVm.Value());
  }
}

void
HandleOwnerReplyTimeout(VmState& aState,
                        VmId aVm,
                        TimePoint aNow,
                        Effects& aEffects)
{
  const auto found = aState.mPlacement.mAwaited.find(aVm);
  if (found == aState.mPlacement.mAwaited.end()) {
    return;
  }
  // The wait may have begun again since this timer was armed, after a reply or
  // a pause. After a pause, timers fire before the process reads replies that
  // have already arrived.
  if (found->second.mSince + kOwnerReplyWait > aNow) {
    return;
  }
  aState.mPlacement.mAwaited.erase(found);
  AvoidOwner(aState, aVm, AvoidanceReason::kSilent, aNow, aEffects);
}

} // namespace wasabispread
