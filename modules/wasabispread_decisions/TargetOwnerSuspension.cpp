/*
 * Suspends targets that are leaving: they get no attempts for a while, then one
 * trial request at a time.
 *
 * A refusal by the target suspends it at once, whatever it reports about
 * itself. A report of leaving suspends it too, until the target has answered so
 * many requests that the report must be late or wrong.
 */
#include "TargetOwnerParts.h"
#include "wasabispread_decisions.h"

namespace wasabispread {

namespace {

constexpr Duration kSuspensionTime = std::chrono::seconds(5);
/** The number of answered trial requests after which a report of leaving is
    ignored. */
constexpr std::uint32_t kAnswersToIgnoreReport = 3;

void
ResumeTarget(TargetId aTarget, TargetPool& aPool, Effects& aEffects)
{
  aPool.mIsSuspended = false;
  aPool.mLimit = ConcurrencyLimit{};
  aEffects.push_back(LogDecision{ TargetWorkSuspended{ aTarget, false } });
}

} // namespace

void
SuspendTarget(VmState& aState,
              TargetId aTarget,
              TimePoint aNow,
              Effects& aEffects)
{
  TargetPool& pool = aState.mTargetOwner.mPools.at(aTarget);
  pool.mSuspendedUntil = aNow + kSuspensionTime;
  if (!pool.mIsSuspended) {
    pool.mIsSuspended = true;
    aEffects.push_back(LogDecision{ TargetWorkSuspended{ aTarget, true } });
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
    SuspendTarget(aState, aTarget, aNow, aEffects);
    return;
  }
  if (aReply.mStatus != TargetStatus::kAnswered) {
    return;
  }
  const bool saysLeaving = aReply.mHealth == TargetHealth::kLeaving;
  // Requests sent before the suspension are still answered. Their answers do
  // not show that the target accepts requests again.
  const bool isTrial = pool.mIsSuspended && pool.mSuspendedUntil <= aNow;
  if (!saysLeaving) {
    pool.mAnswersWhileLeaving = 0;
    if (isTrial) {
      ResumeTarget(aTarget, pool, aEffects);
    }
    return;
  }
  if (pool.mAnswersWhileLeaving >= kAnswersToIgnoreReport) {
    if (isTrial) {
      ResumeTarget(aTarget, pool, aEffects);
    }
    return;
  }
  if (isTrial) {
    ++pool.mAnswersWhileLeaving;
  }
  if (!pool.mIsSuspended || isTrial) {
    SuspendTarget(aState, aTarget, aNow, aEffects);
  }
}

} // namespace wasabispread
