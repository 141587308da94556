/*
 * What a VM knows and holds of the quota of organisations.
 */
#pragma once

#include "QuotaClaims.h"
#include "RequestOwner.h"

namespace wasabispread::forwarding {

/** A request that waits for quota. Nothing of it was sent. */
struct WaitingRequest
{
  ForwardedRequestPointer mRequest;
  TimePoint mArrived{};
  RequestRank mRank;
};

/** The quota of one organisation at this VM. */
struct OrganisationQuota
{
  HeldQuota mHeld;
  std::vector<WaitingRequest> mWaiting;
};

/** The question to a granting VM that it has not answered. */
struct QuotaQuestion
{
  /** The sequence of the question; 0 when none is unanswered. */
  std::uint64_t mSequence = 0;
  TimePoint mAsked{};
  std::vector<QuotaNeed> mNeeds;
  /** Until when the VM is not asked, because it did not answer. */
  TimePoint mAvoidUntil{};
};

/** Invariant: mWaitingFor has an entry for each waiting request. */
struct QuotaState
{
  QuotaClaims mClaims;
  std::map<OrganisationId, OrganisationQuota> mOrganisations;
  std::map<VmId, QuotaQuestion> mQuestions;
  /** The organisation for whose quota a caller waits. */
  std::unordered_map<CallerToken, OrganisationId> mWaitingFor;
  /** Differs between the processes that a VM runs one after the other. */
  std::uint64_t mSession = 0;
  std::uint64_t mNextSequence = 1;
  bool mIsTimerArmed = false;
};

} // namespace wasabispread::forwarding
