/*
 * Counts of what a VM did, read by the metrics exporter.
 */
#pragma once

#include <cstdint>

namespace wasabispread {

/** Totals since the start of the process; no count ever decreases. */
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
  std::uint64_t mDeathsDeclared = 0;
  std::uint64_t mItemsOverloaded = 0;
  std::uint64_t mItemsStopping = 0;
  std::uint64_t mItemsWithoutShare = 0;
  std::uint64_t mItemsOutOfTime = 0;
  std::uint64_t mItemsHeldBack = 0;
  std::uint64_t mTargetSheds = 0;
  std::uint64_t mTargetCancels = 0;
  std::uint64_t mTargetConnectionsClosedIdle = 0;
  std::uint64_t mOwnersAvoided = 0;
  std::uint64_t mPauses = 0;
  std::uint64_t mHedges = 0;
  std::uint64_t mHedgesWon = 0;
  std::uint64_t mExtraAttemptsDenied = 0;
  std::uint64_t mEarlyAnswers = 0;
  std::uint64_t mRefusedOverloaded = 0;
  std::uint64_t mRefusedBudget = 0;
  std::uint64_t mTargetsEjected = 0;
  std::uint64_t mTargetsRestored = 0;
  std::uint64_t mProbes = 0;
  std::uint64_t mSnapshotRestarts = 0;
  std::uint64_t mCallersDisconnected = 0;
  std::uint64_t mClaimsMade = 0;
  std::uint64_t mClaimsDuplicate = 0;
  std::uint64_t mClaimsFailed = 0;
  std::uint64_t mClaimsReleased = 0;
};

} // namespace wasabispread
