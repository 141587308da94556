/*
 * Compares the answers that callers received with the executions that targets
 * recorded.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wasabispread::testing {

/** One shard's result as a caller received it. */
struct HistoryResult
{
  unsigned mShard = 0;
  std::string mTarget;
  std::string mBody;
};

/** One request and the answer or error that its caller received. */
struct HistoryCall
{
  std::string mRequestId;
  std::string mOperation;
  /** Empty when the request had none. */
  std::string mIdempotencyKey;
  /** Empty after an answer, "no-response" when the connection broke. */
  std::string mErrorKind;
  std::string mErrorMessage;
  /** Whether the request ran: "no" or "unknown" after an error. */
  std::string mRan;
  std::uint64_t mSnapshot = 0;
  unsigned mShardsAsked = 0;
  std::vector<unsigned> mMissing;
  /** The reasons for mMissing, in the same order, separated by spaces. */
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

/** Returns one line for each violation in a history. The history is free of
    violations if each result belongs to its caller's request and to the
   answer's snapshot, each answer lists each shard once as a result or as
   missing, a request reported as "not run" has no execution, and each action
   and each idempotency key ran at most once. */
std::vector<std::string>
CheckHistory(const std::vector<HistoryCall>& aCalls,
             const std::vector<HistoryExecution>& aExecutions);

} // namespace wasabispread::testing
