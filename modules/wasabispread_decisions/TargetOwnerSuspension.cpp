/*
 * Targets that are leaving: no new work, then one trial at a time.
 *
 * A refusal that the node itself saw counts at once and outweighs any report.
 * A report of leaving counts too, until the target has answered enough
 * requests to show that its report lags or is wrong.
 */
#include "TargetOwnerParts.h"
#include "wasabispread_decisions.h"

namespace wasabispread {

namespace {

constexpr Duration kHoldTime = std::chrono::seconds(5);
/** Answers after which a report of leaving is taken as wrong. */
constexpr std::uint32_t kAnswersToDistrust = 3;

void
EndTrial(TargetId aTarget, TargetPool& aPool, Effects& aEffects)
{
  aPool.mIsOnTrial = false;
  aPool.mLimit = ConcurrencyLimit{};
  aEffects.push_back(LogDecision{ TargetHeldBack{ aTarget, false } });
}

} // namespace

void
HoldBack(VmState& aState, TargetId aTarget, TimePoint aNow, Effects& aEffects)
{
  TargetPool& pool = aState.mTargetOwner.mPools.at(aTarget);
  pool.mHeldUntil = aNow + kHoldTime;
  if (!pool.mIsOnTrial) {
    pool.mIsOnTrial = true;
    aEffects.push_back(LogDecision{ TargetHeldBack{ aTarget, true } });
  }
  RefuseQueue(aState, pool, MissingReason::kDraining, aNow, aEffects);
}

void
ObserveHealth(VmState& aState,
              TargetId aTarget,
              const TargetReply& aReply,
              TimePoint aNow,
              Effects& aEffects)
{
  TargetPool& pool = aState.mTargetOwner.mPools.at(aTarget);
  if (aReply.mStatus == TargetStatus::kDraining) {
    pool.mAnswersWhileLeaving = 0;
    HoldBack(aState, aTarget, aNow, aEffects);
    return;
  }
  if (aReply.mStatus != TargetStatus::kAnswered) {
    return;
  }
  const bool saysLeaving = aReply.mHealth == TargetHealth::kLeaving;
  // Requests sent before the hold are still answered and prove nothing.
  const bool isTrial = pool.mIsOnTrial && pool.mHeldUntil <= aNow;
  if (!saysLeaving) {
    pool.mAnswersWhileLeaving = 0;
    if (isTrial) {
      EndTrial(aTarget, pool, aEffects);
    }
    return;
  }
  if (pool.mAnswersWhileLeaving >= kAnswersToDistrust) {
    if (isTrial) {
      EndTrial(aTarget, pool, aEffects);
    }
    return;
  }
  if (isTrial) {
    ++pool.mAnswersWhileLeaving;
  }
  if (!pool.mIsOnTrial || isTrial) {
    HoldBack(aState, aTarget, aNow, aEffects);
  }
}

} // namespace wasabispread
