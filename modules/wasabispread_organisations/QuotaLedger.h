/*
 * The balance of one organisation at the VM that grants its quota.
 */
#pragma once

#include "QuotaRule.h"

#include <map>
#include <optional>

namespace wasabispread {

/** The longest time for which grants are valid. A VM that takes over grants as
    if the other one's grants were used until they have ended. */
inline constexpr Duration kMaxGrantTime = std::chrono::seconds(4);

/** What a VM states about the quota that it holds. The counts begin with its
    first message to the granting VM and only rise, so that a lost or repeated
    message grants nothing twice. */
struct QuotaNeed
{
  OrganisationId mOrganisation;
  /** The term of the granting VM that these counts are about. */
  std::uint64_t mTerm = 0;
  /** The grants received, the ones used by requests, and the ones given back
      unused. */
  std::uint64_t mReceived = 0;
  std::uint64_t mUsed = 0;
  std::uint64_t mReturned = 0;
  /** The requests that wait for quota. */
  std::uint32_t mWaiting = 0;
  /** How many grants it would like to hold in advance. */
  std::uint32_t mWanted = 0;
};

/** The answer to a QuotaNeed. */
struct QuotaGrant
{
  OrganisationId mOrganisation;
  /** The revision of the claim under which the VM grants; 0 when it does not
      grant this organisation's quota. */
  std::uint64_t mTerm = 0;
  /** All grants so far, as QuotaNeed::mReceived counts them. */
  std::uint64_t mGranted = 0;
  /** How long until a further grant is possible; zero when none was denied. */
  Duration mNextGrant{};
  /** When the first denied request is to be tried again. Differs between VMs
      and answers, so that not all come back at once. */
  Duration mRetryAfter{};
  /** What the VM holds by the granting VM's count; none from older releases. It
      holds no more, whatever else it counts: one of the two may have begun to
      count anew. */
  std::optional<std::uint64_t> mHeld;
};

/** The grants of one VM. */
struct QuotaHolding
{
  /** The process to which they were given. */
  std::uint64_t mSession = 0;
  std::uint64_t mGranted = 0;
  std::uint64_t mUsed = 0;
  std::uint64_t mReturned = 0;
  /** When it can use none of its grants any more. */
  TimePoint mExpires{};

  std::uint64_t Held() const { return mGranted - mUsed - mReturned; }
};

/** An organisation's balance. Invariant: mOutstanding is the sum of what the
    VMs in mHoldings hold, and mAvailable + mOutstanding is at most the capacity
    when the limit was not lowered since. */
struct QuotaLedger
{
  double mAvailable = 0;
  /** What was added since the takeover and is not used; limits grants until
      mTakeoverEnds, because the VM before may have granted all it had. */
  double mSinceTakeover = 0;
  TimePoint mTakeoverEnds{};
  /** Until when grants of the VM before may be used. */
  TimePoint mOldGrantsEnd{};
  TimePoint mUpdated{};
  double mOutstanding = 0;
  std::map<VmId, QuotaHolding> mHoldings;
  /** Until when the quota is promised to requests that were denied. */
  TimePoint mPromisedUntil{};
};

/** The balance at the time of a takeover. aMayGrantAtOnce tells whether no
    other takeover happened within the window before. aExpires of Settle() must
    be at most kMaxGrantTime ahead. */
QuotaLedger
BeginLedger(const QuotaParts& aParts,
            const QuotaRule& aRule,
            bool aMayGrantAtOnce,
            TimePoint aNow);

/** Settles what a VM's process states and grants what it may have. aExpires is
    when the grants end. */
QuotaGrant
Settle(QuotaLedger& aLedger,
       const QuotaParts& aParts,
       VmId aVm,
       std::uint64_t aSession,
       const QuotaNeed& aNeed,
       TimePoint aExpires,
       TimePoint aNow);

} // namespace wasabispread
