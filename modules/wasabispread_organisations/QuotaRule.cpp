/*
 * Divides up the bound on an organisation's requests.
 */
#include "wasabispread_organisations.h"

#include <algorithm>

namespace wasabispread {

namespace {

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

double
MaxInWindow(const OrganisationLimit& aLimit, const QuotaRule& aRule)
{
  const double usual =
    aLimit.mRatePerSecond * Seconds(aRule.mWindow) + aLimit.mBurst;
  return usual * (1 + aRule.mOverage) + aRule.mSlack;
}

QuotaParts
DivideQuota(const OrganisationLimit& aLimit, const QuotaRule& aRule)
{
  // The rest of the surplus stays unused.
  constexpr double kReserveShare = 0.5;
  constexpr double kTakeoverShare = 0.15;
  constexpr double kUnusedShare = 0.05;
  const double window = Seconds(aRule.mWindow);
  const double perWindow = aLimit.mRatePerSecond * window + aLimit.mBurst;
  const double most = MaxInWindow(aLimit, aRule);
  const double surplus = most - perWindow;
  QuotaParts parts;
  parts.mReserve = kReserveShare * surplus;
  parts.mTakeover = kTakeoverShare * surplus;
  const double usable = most - parts.mTakeover - kUnusedShare * surplus;
  // Less than one request could never be granted, and a burst must fit.
  const double leastCapacity =
    std::min(usable, std::max({ 1.0, aLimit.mBurst, parts.mReserve }));
  // The burst is renewed with each window.
  parts.mRate =
    std::min(perWindow, std::max(0.0, usable - leastCapacity)) / window;
  parts.mCapacity = usable - parts.mRate * window;
  return parts;
}

} // namespace wasabispread
