/*
 * Compares what callers were told with what targets recorded.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wasabispread::testing {

/** One shard's result as a caller read it. */
struct HistoryResult
{
  unsigned mShard = 0;
  std::string mTarget;
  std::string mBody;
};

/** One request and what its caller was told. */
struct HistoryCall
{
  std::string mRequestId;
  std::string mOperation;
  /** Empty when none was sent. */
  std::string mIdempotencyKey;
  /** Empty after an answer, "no-response" when the connection broke. */
  std::string mErrorKind;
  std::string mErrorMessage;
  /** "no" or "unknown" after an error. */
  std::string mRan;
  std::uint64_t mSnapshot = 0;
  unsigned mShardsAsked = 0;
  std::vector<unsigned> mMissing;
  /** Why, in the same order, joined by spaces. */
  std::string mMissingReasons;
  std::vector<HistoryResult> mResults;
};

/** One execution as a target recorded it. */
struct HistoryExecution
{
  std::string mRequestId;
  std::string mTarget;
  unsigned mShard = 0;
  std::uint64_t mSnapshot = 0;
};

/** Everything wrong with a history, one line each; empty when it holds that
    each result is the caller's own and of its answer's snapshot, coverage is
    true, what was "not run" has no execution, and each action and each
    idempotency key ran at most once. */
std::vector<std::string>
CheckHistory(const std::vector<HistoryCall>& aCalls,
             const std::vector<HistoryExecution>& aExecutions);

} // namespace wasabispread::testing
