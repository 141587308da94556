/*
 * The quota of one organisation that a VM holds and uses for requests.
 */
#pragma once

#include "QuotaLedger.h"

namespace wasabispread {

/** What a VM holds for an organisation. Invariant: mReceived is at least
    mUsed + mReturned. */
struct HeldQuota
{
  /** The term of the VM that gave the grants. */
  std::uint64_t mTerm = 0;
  std::uint64_t mReceived = 0;
  std::uint64_t mUsed = 0;
  std::uint64_t mReturned = 0;
  /** The values of mUsed and mReturned in the last answered question. */
  std::uint64_t mUsedKnown = 0;
  std::uint64_t mReturnedKnown = 0;
  /** Until when the grants may be used. */
  TimePoint mValidUntil{};
  /** When a request last used or needed quota. */
  TimePoint mLastNeeded{};
  /** Requests per second that needed quota, weighted towards recent ones, as of
      mLastNeeded. */
  double mNeedRate = 0;
  /** Until when no further grant is possible, and when denied requests are to
      be tried again. */
  TimePoint mDeniedUntil{};
  TimePoint mRetryAt{};

  std::uint64_t Held() const { return mReceived - mUsed - mReturned; }
};

/** Counts a request that needs quota. */
void
CountNeed(HeldQuota& aHeld, TimePoint aNow);

/** Uses one grant for a request; false when none is left. */
bool
UseQuota(HeldQuota& aHeld, TimePoint aNow);

/** Takes back the use of a grant: its request has not run and will not run. */
void
TakeBackUse(HeldQuota& aHeld);

/** Gives up grants that are not valid any more, or that have not been needed
    for a while. */
void
ReturnUnusable(HeldQuota& aHeld, TimePoint aNow);

/** What the VM states about its quota. */
QuotaNeed
NeedOf(const HeldQuota& aHeld,
       OrganisationId aOrganisation,
       std::uint32_t aWaiting,
       TimePoint aNow);

/** Whether there is something to state without a waiting request: grants were
    used, or are to be extended. */
bool
IsReportDue(const HeldQuota& aHeld, TimePoint aNow);

/** Gives back all that is held, because it may not be used any more. The counts
    go on: the granting VM may still know them. */
void
ReturnAll(HeldQuota& aHeld);

/** Accepts the answer to a question that was sent at aAsked. aValid is how long
    the grants were valid then. */
void
AcceptGrant(HeldQuota& aHeld,
            const QuotaNeed& aNeed,
            const QuotaGrant& aGrant,
            TimePoint aAsked,
            Duration aValid,
            TimePoint aNow);

/** Records that a request was denied. */
void
RecordDenial(HeldQuota& aHeld, const QuotaGrant& aGrant, TimePoint aNow);

/** Starts anew under another term: at another granting VM, or at one that was
    started again. */
void
ForgetGrants(HeldQuota& aHeld, std::uint64_t aTerm);

} // namespace wasabispread
