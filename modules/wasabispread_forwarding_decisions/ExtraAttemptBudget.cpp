/*
 * Counts requests and extra attempts in a sliding window.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

std::int64_t
SliceNumber(const ExtraAttemptRule& aRule, TimePoint aNow)
{
  const Duration slice = aRule.mWindow / WindowedExtraAttemptBudget::kSlices;
  return aNow.time_since_epoch() / slice;
}

WindowedExtraAttemptBudget::Slice&
SliceAt(WindowedExtraAttemptBudget& aBudget, std::int64_t aNumber)
{
  auto& slice =
    aBudget.mSlices[static_cast<std::size_t>(aNumber) % aBudget.mSlices.size()];
  if (slice.mNumber != aNumber) {
    slice = WindowedExtraAttemptBudget::Slice{ aNumber, 0, 0 };
  }
  return slice;
}

} // namespace

void
CountRequest(WindowedExtraAttemptBudget& aBudget,
             const ExtraAttemptRule& aRule,
             TimePoint aNow)
{
  ++SliceAt(aBudget, SliceNumber(aRule, aNow)).mRequests;
}

bool
MayStartExtraAttempt(const WindowedExtraAttemptBudget& aBudget,
                     const ExtraAttemptRule& aRule,
                     std::size_t aVms,
                     double aReservedShare,
                     TimePoint aNow)
{
  // Share of the fixed number that is used. The other half covers VMs that
  // restart and lose their counts, and the time until the others learn of a VM
  // that joins and reduce their own shares.
  constexpr double kUsableFixedShare = 0.5;
  const std::int64_t oldest =
    SliceNumber(aRule, aNow) -
    static_cast<std::int64_t>(WindowedExtraAttemptBudget::kSlices);
  double requests = 0;
  double extraAttempts = 0;
  for (const WindowedExtraAttemptBudget::Slice& slice : aBudget.mSlices) {
    if (slice.mNumber >= oldest) {
      requests += slice.mRequests;
      extraAttempts += slice.mExtraAttempts;
    }
  }
  const auto members = static_cast<double>(std::max<std::size_t>(1, aVms));
  const double allowance =
    aRule.mShare * requests + kUsableFixedShare * aRule.mFixed / members;
  return extraAttempts + 1 <= allowance * (1 - aReservedShare);
}

void
CountExtraAttempt(WindowedExtraAttemptBudget& aBudget,
                  const ExtraAttemptRule& aRule,
                  TimePoint aNow)
{
  ++SliceAt(aBudget, SliceNumber(aRule, aNow)).mExtraAttempts;
}

} // namespace wasabispread::forwarding
