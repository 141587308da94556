/*
 * Uses, extends and returns the quota that a VM holds.
 */
#include "wasabispread_organisations.h"

#include <algorithm>
#include <cmath>

namespace wasabispread {

namespace {

/** How long grants are kept without a request that needs them. Callers that
    ask rarely are then still served without a question. */
constexpr Duration kKeptUnused = std::chrono::seconds(20);
/** How long before they end grants are extended. Several questions may fail in
    this time. */
constexpr Duration kExtendBefore = std::chrono::milliseconds(3000);
/** How long nothing more is asked for after a denial, at most: the granting VM
    then decides anew. */
constexpr Duration kMaxDenial = std::chrono::milliseconds(250);
/** The time for whose needs grants are held in advance: as long as they are
    valid, so that a zone that is cut off goes on for a while. */
constexpr double kAdvanceSeconds = 4;
constexpr double kMaxWanted = 64;

/** Gives back what the granting VM does not count as held. aCounted is its
    count when it had settled aNeed. */
void
KeepAtMost(HeldQuota& aHeld, const QuotaNeed& aNeed, std::uint64_t aCounted)
{
  const std::uint64_t usedSince =
    aHeld.mUsed - std::min(aHeld.mUsed, aNeed.mUsed);
  const std::uint64_t returnedSince =
    aHeld.mReturned - std::min(aHeld.mReturned, aNeed.mReturned);
  const std::uint64_t most =
    aCounted - std::min(aCounted, usedSince + returnedSince);
  aHeld.mReturned += aHeld.Held() - std::min(aHeld.Held(), most);
}

} // namespace

void
CountNeed(HeldQuota& aHeld, TimePoint aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - aHeld.mLastNeeded).count();
  // Each request adds one per second, which halves within 0.7 seconds.
  aHeld.mNeedRate = aHeld.mNeedRate * std::exp(-std::max(0.0, seconds)) + 1;
  aHeld.mLastNeeded = aNow;
}

bool
UseQuota(HeldQuota& aHeld, TimePoint aNow)
{
  if (aHeld.Held() == 0 || aNow >= aHeld.mValidUntil) {
    return false;
  }
  ++aHeld.mUsed;
  return true;
}

void
TakeBackUse(HeldQuota& aHeld)
{
  // A use that the granting VM knows of is final there.
  if (aHeld.mUsed > aHeld.mUsedKnown) {
    --aHeld.mUsed;
  }
}

void
ReturnUnusable(HeldQuota& aHeld, TimePoint aNow)
{
  if (aNow >= aHeld.mValidUntil || aNow - aHeld.mLastNeeded >= kKeptUnused) {
    ReturnAll(aHeld);
  }
}

void
ReturnAll(HeldQuota& aHeld)
{
  aHeld.mReturned += aHeld.Held();
}

QuotaNeed
NeedOf(const HeldQuota& aHeld,
       OrganisationId aOrganisation,
       std::uint32_t aWaiting,
       TimePoint aNow)
{
  const bool isActive = aNow - aHeld.mLastNeeded < kKeptUnused;
  const double wanted =
    std::clamp(std::ceil(kAdvanceSeconds * aHeld.mNeedRate), 1.0, kMaxWanted);
  return { aOrganisation,
           aHeld.mTerm,
           aHeld.mReceived,
           aHeld.mUsed,
           aHeld.mReturned,
           aWaiting,
           isActive ? static_cast<std::uint32_t>(wanted) : 0 };
}

bool
IsReportDue(const HeldQuota& aHeld, TimePoint aNow)
{
  const bool isChanged =
    aHeld.mUsed > aHeld.mUsedKnown || aHeld.mReturned > aHeld.mReturnedKnown;
  const bool endsSoon =
    aHeld.Held() != 0 && aNow + kExtendBefore >= aHeld.mValidUntil;
  return isChanged || endsSoon;
}

void
AcceptGrant(HeldQuota& aHeld,
            const QuotaNeed& aNeed,
            const QuotaGrant& aGrant,
            TimePoint aAsked,
            Duration aValid,
            TimePoint aNow)
{
  // The answer extends what is held, but not what has ended: the granting VM
  // may have granted that again.
  ReturnUnusable(aHeld, aNow);
  aHeld.mUsedKnown = std::max(aHeld.mUsedKnown, aNeed.mUsed);
  aHeld.mReturnedKnown = std::max(aHeld.mReturnedKnown, aNeed.mReturned);
  aHeld.mReceived = std::max(aHeld.mReceived, aGrant.mGranted);
  if (aGrant.mHeld) {
    KeepAtMost(aHeld, aNeed, *aGrant.mHeld);
  }
  aHeld.mValidUntil = aAsked + aValid;
  if (aGrant.mNextGrant > Duration::zero()) {
    RecordDenial(aHeld, aGrant, aNow);
  }
}

void
RecordDenial(HeldQuota& aHeld, const QuotaGrant& aGrant, TimePoint aNow)
{
  aHeld.mDeniedUntil = aNow + std::min(aGrant.mNextGrant, kMaxDenial);
  aHeld.mRetryAt = aNow + aGrant.mRetryAfter;
}

void
ForgetGrants(HeldQuota& aHeld, std::uint64_t aTerm)
{
  aHeld.mTerm = aTerm;
  aHeld.mReceived = 0;
  aHeld.mUsed = 0;
  aHeld.mReturned = 0;
  aHeld.mUsedKnown = 0;
  aHeld.mReturnedKnown = 0;
  aHeld.mValidUntil = TimePoint{};
  aHeld.mDeniedUntil = TimePoint{};
}

} // namespace wasabispread
