/*
 * Upkeep of the owners that are passed over.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

/** Longer than a round trip between zones with one packet sent again. */
constexpr Duration kAnswerAllowance = std::chrono::milliseconds(300);
constexpr Duration kLeastProbeInterval = std::chrono::milliseconds(500);
constexpr Duration kMostProbeInterval = std::chrono::seconds(4);
constexpr Duration kStoppingAvoidance = std::chrono::seconds(10);
constexpr Duration kNotOwnerAvoidance = std::chrono::milliseconds(500);

/** How long until an avoided owner is probed or used again. */
Duration
AvoidanceTime(const AvoidedOwner& aOwner)
{
  constexpr std::uint32_t kMostDoublings = 3;
  if (aOwner.mReason == AvoidanceReason::kStopping) {
    return kStoppingAvoidance;
  }
  if (aOwner.mReason == AvoidanceReason::kNotOwner) {
    return kNotOwnerAvoidance;
  }
  const std::uint32_t doublings = std::min(aOwner.mProbes, kMostDoublings);
  return std::min(kMostProbeInterval,
                  kLeastProbeInterval * (std::int64_t{ 1 } << doublings));
}

void
EndAvoidance(PlacementState& aPlacement, VmId aVm)
{
  aPlacement.mAvoided.erase(aVm);
  ++aPlacement.mAvoidanceEpoch;
}

/** Whether a message from the owner shows that it can be used again. */
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
  const auto [place, isNew] =
    placement.mAvoided.try_emplace(aVm, AvoidedOwner{});
  place->second.mReason = aReason;
  if (!isNew) {
    return;
  }
  ++placement.mAvoidanceEpoch;
  ++aState.mCounters.mOwnersAvoided;
  aState.mTimers.Arm(
    aNow + AvoidanceTime(place->second), TimerKind::kProbeOwner, aVm.Value());
  aEffects.push_back(LogDecision{ OwnerAvoided{ aVm, aReason } });
}

void
HandleProbeOwner(VmState& aState, VmId aVm, TimePoint aNow, Effects& aEffects)
{
  PlacementState& placement = aState.mPlacement;
  const auto place = placement.mAvoided.find(aVm);
  if (place == placement.mAvoided.end()) {
    return;
  }
  const VmRecord* member = FindMember(aState.mMembership, aVm);
  if (!EndsWithMessage(place->second.mReason) || member == nullptr) {
    EndAvoidance(placement, aVm);
    return;
  }
  ++place->second.mProbes;
  aState.mTimers.Arm(
    aNow + AvoidanceTime(place->second), TimerKind::kProbeOwner, aVm.Value());
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
  const auto place = placement.mAvoided.find(aVm);
  if (place != placement.mAvoided.end() &&
      EndsWithMessage(place->second.mReason)) {
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
      aNow + kAnswerAllowance, TimerKind::kOwnerReplyTimeout, aVm.Value());
  }
}

void
HandleOwnerReplyTimeout(VmState& aState,
                        VmId aVm,
                        TimePoint aNow,
                        Effects& aEffects)
{
  const auto place = aState.mPlacement.mAwaited.find(aVm);
  if (place == aState.mPlacement.mAwaited.end()) {
    return;
  }
  // A paused process comes here before it reads the answer that has come.
  if (place->second.mSince + kAnswerAllowance > aNow) {
    return;
  }
  aState.mPlacement.mAwaited.erase(place);
  AvoidOwner(aState, aVm, AvoidanceReason::kSilent, aNow, aEffects);
}

} // namespace wasabispread
