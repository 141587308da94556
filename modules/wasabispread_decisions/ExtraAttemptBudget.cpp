/*
 * The token bucket for extra attempts.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

double
MaxExtraAttemptTokens(const Service& aService)
{
  constexpr double kMinBurst = 10;
  constexpr double kBurstRequests = 4;
  if (aService.mExtraAttemptShare <= 0) {
    return 0;
  }
  const double extraPerRequest =
    aService.mExtraAttemptShare * static_cast<double>(aService.mShardCount);
  return std::max(kMinBurst, kBurstRequests * extraPerRequest);
}

ExtraAttemptBudget
MakeExtraAttemptBudget(const Service& aService)
{
  return ExtraAttemptBudget{ MaxExtraAttemptTokens(aService) };
}

void
CreditExtraAttempts(ExtraAttemptBudget& aBudget, const Service& aService)
{
  aBudget.mTokens = std::min(aBudget.mTokens + aService.mExtraAttemptShare,
                             MaxExtraAttemptTokens(aService));
}

bool
TakeExtraAttemptToken(ExtraAttemptBudget& aBudget)
{
  if (aBudget.mTokens < 1) {
    return false;
  }
  aBudget.mTokens -= 1;
  return true;
}

} // namespace wasabispread
