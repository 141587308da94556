/*
 * Counts of what a node did, read by the metrics exporter.
 */
#pragma once

#include <cstdint>

namespace wasabispread {

/** Totals since the start; each only rises. */
struct Counters
{
  std::uint64_t mRequests = 0;
  std::uint64_t mRequestsRefused = 0;
  std::uint64_t mAnswersComplete = 0;
  std::uint64_t mAnswersPartial = 0;
  std::uint64_t mAnswersFailed = 0;
  std::uint64_t mAttempts = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mBatchesSent = 0;
  std::uint64_t mBatchesReceived = 0;
  std::uint64_t mLateReplies = 0;
  std::uint64_t mForeignReplies = 0;
  std::uint64_t mDuplicateAttempts = 0;
  std::uint64_t mTargetRequests = 0;
  std::uint64_t mTargetConnectionsOpened = 0;
  std::uint64_t mTargetConnectionsFailed = 0;
  std::uint64_t mTargetConnectionsLost = 0;
  std::uint64_t mItemsRefused = 0;
  std::uint64_t mSnapshotMismatches = 0;
  std::uint64_t mConfigurationsAdopted = 0;
  std::uint64_t mConfigurationsRejected = 0;
  std::uint64_t mPlatformCalls = 0;
  std::uint64_t mPlatformFailures = 0;
  std::uint64_t mConfigurationsPushed = 0;
  std::uint64_t mSuspicions = 0;
  std::uint64_t mDeathsJudged = 0;
};

} // namespace wasabispread
