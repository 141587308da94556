/*
 * Grants quota.
 */
#include "wasabispread_organisations.h"

#include <algorithm>
#include <cmath>

namespace wasabispread {

namespace {

/** The longest time that a denied request is told to wait. */
constexpr double kMaxWaitSeconds = 60;

Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::clamp(aSeconds, 0.0, kMaxWaitSeconds)));
}

bool
IsTakeover(const QuotaLedger& aLedger, TimePoint aNow)
{
  return aNow < aLedger.mTakeoverEnds;
}

double
Grantable(const QuotaLedger& aLedger, TimePoint aNow)
{
  return IsTakeover(aLedger, aNow)
           ? std::min(aLedger.mAvailable, aLedger.mSinceTakeover)
           : aLedger.mAvailable;
}

/** Adds the quota of the time since the last update. */
void
Update(QuotaLedger& aLedger, const QuotaParts& aParts, TimePoint aNow)
{
  // Grants of VMs that were not heard of ended unused or were used: they count
  // as used.
  std::erase_if(aLedger.mHoldings, [&](const auto& aEntry) {
    const QuotaHolding& holding = aEntry.second;
    if (aNow < holding.mExpires) {
      return false;
    }
    aLedger.mOutstanding -= static_cast<double>(holding.Held());
    return true;
  });
  const double added =
    aParts.mRate *
    std::chrono::duration<double>(aNow - aLedger.mUpdated).count();
  aLedger.mUpdated = aNow;
  aLedger.mAvailable = std::min(aLedger.mAvailable + added,
                                aParts.mCapacity - aLedger.mOutstanding);
  // What the VM before granted in advance may be used besides.
  const double most =
    aNow < aLedger.mOldGrantsEnd
      ? std::max(aParts.mTakeover, aParts.mCapacity - aParts.mReserve)
      : aParts.mCapacity;
  aLedger.mSinceTakeover = std::min(aLedger.mSinceTakeover + added, most);
}

void
AddBack(QuotaLedger& aLedger, std::uint64_t aCount)
{
  const auto count = static_cast<double>(aCount);
  aLedger.mOutstanding -= count;
  aLedger.mAvailable += count;
  aLedger.mSinceTakeover += count;
}

void
Grant(QuotaLedger& aLedger, QuotaHolding& aHolding, std::uint64_t aCount)
{
  const auto count = static_cast<double>(aCount);
  aHolding.mGranted += aCount;
  aLedger.mOutstanding += count;
  aLedger.mAvailable -= count;
  aLedger.mSinceTakeover -= count;
}

/** Applies the counts that a VM states. */
void
Reconcile(QuotaLedger& aLedger, QuotaHolding& aHolding, const QuotaNeed& aNeed)
{
  // Grants in an answer that did not arrive will not be used: a VM ignores an
  // answer once it has asked again.
  if (aNeed.mReceived < aHolding.mGranted) {
    const std::uint64_t lost =
      std::min(aHolding.mGranted - aNeed.mReceived, aHolding.Held());
    AddBack(aLedger, lost);
    aHolding.mGranted -= lost;
  }
  const std::uint64_t used = std::clamp(
    aNeed.mUsed, aHolding.mUsed, aHolding.mGranted - aHolding.mReturned);
  aLedger.mOutstanding -= static_cast<double>(used - aHolding.mUsed);
  aHolding.mUsed = used;
  const std::uint64_t returned =
    std::clamp(aNeed.mReturned, aHolding.mReturned, aHolding.mGranted - used);
  AddBack(aLedger, returned - aHolding.mReturned);
  aHolding.mReturned = returned;
}

/** The grants that one VM may hold in advance. */
std::uint64_t
ReserveOf(const QuotaLedger& aLedger, const QuotaParts& aParts)
{
  const auto vms = static_cast<double>(aLedger.mHoldings.size());
  return static_cast<std::uint64_t>(
    std::max(1.0, std::floor(aParts.mReserve / std::max(1.0, vms))));
}

void
GrantInAdvance(QuotaLedger& aLedger,
               const QuotaParts& aParts,
               QuotaHolding& aHolding,
               const QuotaNeed& aNeed,
               std::uint64_t aForWaiting,
               TimePoint aNow)
{
  const std::uint64_t wanted =
    std::min<std::uint64_t>(aNeed.mWanted, ReserveOf(aLedger, aParts));
  // What is not reserve stays for VMs whose requests wait.
  const double kept = std::max(1.0, aParts.mCapacity - aParts.mReserve);
  while (aHolding.Held() - aForWaiting < wanted &&
         aLedger.mOutstanding + 1 <= aParts.mReserve &&
         Grantable(aLedger, aNow) - 1 >= kept) {
    Grant(aLedger, aHolding, 1);
  }
}

} // namespace

QuotaLedger
BeginLedger(const QuotaParts& aParts,
            const QuotaRule& aRule,
            bool aMayGrantAtOnce,
            TimePoint aNow)
{
  QuotaLedger ledger;
  ledger.mAvailable = aParts.mCapacity;
  ledger.mSinceTakeover = aMayGrantAtOnce ? aParts.mTakeover : 0;
  ledger.mTakeoverEnds = aNow + aRule.mWindow + kMaxGrantTime;
  ledger.mOldGrantsEnd = aNow + kMaxGrantTime;
  ledger.mUpdated = aNow;
  return ledger;
}

QuotaGrant
Settle(QuotaLedger& aLedger,
       const QuotaParts& aParts,
       VmId aVm,
       std::uint64_t aSession,
       const QuotaNeed& aNeed,
       TimePoint aExpires,
       TimePoint aNow)
{
  Update(aLedger, aParts, aNow);
  const auto [position, isNew] = aLedger.mHoldings.try_emplace(aVm);
  QuotaHolding& holding = position->second;
  if (isNew || holding.mSession != aSession) {
    // What an earlier process held counts as used. A process that is not known
    // here starts with what it states and holds nothing.
    aLedger.mOutstanding -= static_cast<double>(holding.Held());
    holding.mSession = aSession;
    holding.mGranted = aNeed.mReceived;
    holding.mUsed = std::min(aNeed.mUsed, aNeed.mReceived);
    holding.mReturned = aNeed.mReceived - holding.mUsed;
  } else {
    Reconcile(aLedger, holding, aNeed);
  }
  holding.mExpires = aExpires;
  const auto forWaiting = std::min<std::uint64_t>(
    aNeed.mWaiting,
    static_cast<std::uint64_t>(std::max(0.0, Grantable(aLedger, aNow))));
  Grant(aLedger, holding, forWaiting);
  GrantInAdvance(aLedger, aParts, holding, aNeed, forWaiting, aNow);
  QuotaGrant grant{ aNeed.mOrganisation, aNeed.mTerm, holding.mGranted, {}, {},
                    holding.Held() };
  const std::uint64_t denied = aNeed.mWaiting - forWaiting;
  if (denied == 0) {
    return grant;
  }
  const double missing = std::max(0.0, 1 - Grantable(aLedger, aNow));
  const double perGrant = aParts.mRate > 0 ? 1 / aParts.mRate : kMaxWaitSeconds;
  // Zero would say that nothing was denied.
  grant.mNextGrant = std::max<Duration>(std::chrono::milliseconds(1),
                                        FromSeconds(missing * perGrant));
  aLedger.mPromisedUntil =
    std::max(aLedger.mPromisedUntil, aNow + grant.mNextGrant);
  grant.mRetryAfter = aLedger.mPromisedUntil - aNow;
  aLedger.mPromisedUntil =
    std::min(aLedger.mPromisedUntil +
               FromSeconds(perGrant * static_cast<double>(denied)),
             aNow + FromSeconds(kMaxWaitSeconds));
  return grant;
}

} // namespace wasabispread
