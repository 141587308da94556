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
  constexpr double kTakeoverShare = 0.4;
  const double window = Seconds(aRule.mWindow);
  const double most = MaxInWindow(aLimit, aRule);
  const double surplus =
    most - aLimit.mRatePerSecond * window - aLimit.mBurst;
  QuotaParts parts;
  parts.mReserve = kReserveShare * surplus;
  parts.mTakeover = kTakeoverShare * surplus;
  // Less than one request could never be granted.
  parts.mCapacity = std::min(
    most, std::max(1.0, aLimit.mBurst + parts.mReserve));
  parts.mTakeover = std::min(parts.mTakeover, most - parts.mCapacity);
  const double rest = most - parts.mCapacity - parts.mTakeover;
  parts.mRate = std::min(aLimit.mRatePerSecond, rest / window);
  return parts;
}

} // namespace wasabispread
