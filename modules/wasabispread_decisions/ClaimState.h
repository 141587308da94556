/*
 * Claims on idempotency keys that a node is making or holds.
 */
#pragma once

#include "Event.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace wasabispread {

/** A claim being made for a request that has not been sent. */
struct PendingClaim
{
  CallerRequest mRequest;
  /** The key in the store. */
  std::string mKey;
  ClaimRecord mRecord;
  /** The version that the next write replaces; 0 when none is expected. */
  std::uint64_t mExpected = 0;
  TimePoint mStarted;
  /** The request is refused when the claim is not made by this time. */
  TimePoint mDeadline;
  /** Set once the caller is answered or gone: a claim that turns out to be
      made is then released. */
  bool mIsAbandoned = false;
  std::uint32_t mFailures = 0;
};

/** A claim made, whose request is under way. */
struct HeldClaim
{
  std::string mKey;
  ClaimRecord mRecord;
  std::uint64_t mVersion = 0;
};

/** Bounds the store's writes: one allowance for each claim made. */
struct ClaimAllowance
{
  double mAvailable = 0;
  TimePoint mUpdated{};
};

/** Invariant: a caller is in at most one of mTokenOfCaller and mHeld. */
struct ClaimState
{
  std::uint64_t mNextToken = 1;
  std::unordered_map<ClaimToken, PendingClaim> mPending;
  std::unordered_map<CallerToken, ClaimToken> mTokenOfCaller;
  std::unordered_map<CallerToken, HeldClaim> mHeld;
  /** Outcomes on their way to the store. */
  std::unordered_set<ClaimToken> mOutcomeWrites;
  ClaimAllowance mAllowance;
};

} // namespace wasabispread
