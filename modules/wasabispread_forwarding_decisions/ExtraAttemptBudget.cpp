/*
 * Counting requests and repeats in a sliding window.
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
MayRepeat(const WindowedExtraAttemptBudget& aBudget,
          const ExtraAttemptRule& aRule,
          std::size_t aMembers,
          double aKeptBack,
          TimePoint aNow)
{
  // A VM that restarts forgets what it spent, and a joining VM shrinks the
  // others' parts only once they hear of it: half of the fixed number covers
  // that.
  constexpr double kFixedInUse = 0.5;
  const std::int64_t oldest =
    SliceNumber(aRule, aNow) -
    static_cast<std::int64_t>(WindowedExtraAttemptBudget::kSlices);
  double requests = 0;
  double repeats = 0;
  for (const WindowedExtraAttemptBudget::Slice& slice : aBudget.mSlices) {
    if (slice.mNumber >= oldest) {
      requests += slice.mRequests;
      repeats += slice.mRepeats;
    }
  }
  const auto members = static_cast<double>(std::max<std::size_t>(1, aMembers));
  const double allowance =
    aRule.mShare * requests + kFixedInUse * aRule.mFixed / members;
  return repeats + 1 <= allowance * (1 - aKeptBack);
}

void
CountRepeat(WindowedExtraAttemptBudget& aBudget,
            const ExtraAttemptRule& aRule,
            TimePoint aNow)
{
  ++SliceAt(aBudget, SliceNumber(aRule, aNow)).mRepeats;
}

} // namespace wasabispread::forwarding
