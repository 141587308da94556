/*
 * Claims on idempotency keys that this VM is making or holds.
 */
#pragma once

#include "Event.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace wasabispread {

/** A claim that is being written to the store. Its request has not been sent to
    any target yet. */
struct PendingClaim
{
  CallerRequest mRequest;
  /** The key in the store. */
  std::string mKey;
  ClaimRecord mRecord;
  /** The store version that the next write replaces; 0 when the key must not
      exist. */
  std::uint64_t mExpected = 0;
  TimePoint mStarted;
  /** The request is refused when the claim has not been made by this time. */
  TimePoint mDeadline;
  /** Set once the caller has been answered or has disconnected. If the claim
      turns out to have been made, it is then released. */
  bool mIsAbandoned = false;
  /** Failed reads of the claim so far. */
  std::uint32_t mFailures = 0;
};

/** A claim that was made and whose request is in progress. */
struct HeldClaim
{
  std::string mKey;
  ClaimRecord mRecord;
  std::uint64_t mVersion = 0;
};

/** A token bucket that limits writes to the store. One token pays for one
    claim, with the write of its outcome. */
struct ClaimAllowance
{
  double mAvailable = 0;
  TimePoint mUpdated{};
};

/** All claims of this VM. Invariant: a caller is in at most one of
    mTokenOfCaller and mHeld. */
struct ClaimState
{
  std::uint64_t mNextToken = 1;
  std::unordered_map<ClaimToken, PendingClaim> mPending;
  std::unordered_map<CallerToken, ClaimToken> mTokenOfCaller;
  std::unordered_map<CallerToken, HeldClaim> mHeld;
  /** Writes of outcomes that the store has not confirmed. */
  std::unordered_set<ClaimToken> mOutcomeWrites;
  ClaimAllowance mAllowance;
};

} // namespace wasabispread
