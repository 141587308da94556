/*
 * What a VM knows and holds of the quota of organisations.
 */
#pragma once

#include "QuotaClaims.h"
#include "RequestOwner.h"

namespace wasabispread::forwarding {

/** Where the quota of a request came from. */
enum class QuotaSource : std::uint8_t
{
  /** Its organisation has no limit. */
  kNone,
  /** From what this VM holds of the granting VM. */
  kHeld,
  /** From what another VM of the zone gave. */
  kSpare,
};

/** A request that waits for quota. Nothing of it was sent. */
struct WaitingRequest
{
  ForwardedRequestPointer mRequest;
  RequestOwner mOwner;
  TimePoint mArrived{};
};

/** A VM of the zone whose requests wait for quota. */
struct WaitingPeer
{
  VmId mVm;
  Endpoint mAddress;
  /** The sequence of its question. */
  std::uint64_t mSequence = 0;
  /** The requests that wait, what it wants in advance besides, and what it was
      given so far. */
  std::uint32_t mCount = 0;
  std::uint32_t mAdvance = 0;
  std::uint32_t mGiven = 0;
  TimePoint mArrived{};
  /** Until when what it was given may be used. */
  TimePoint mValidUntil = TimePoint::max();
};

/** Quota that another VM of the zone gave and that is not used yet. */
struct SpareQuota
{
  std::uint64_t mCount = 0;
  TimePoint mValidUntil{};
  /** When the oldest part of it was given. */
  TimePoint mSince{};
};

/** The question to another VM of the zone that it has not answered. */
struct ZoneQuestion
{
  /** The sequence of the question; 0 when none is unanswered. */
  std::uint64_t mSequence = 0;
  std::string mVm;
  TimePoint mAsked{};
};

/** The quota of one organisation at this VM. */
struct OrganisationQuota
{
  HeldQuota mHeld;
  SpareQuota mSpare;
  ZoneQuestion mQuestion;
  std::vector<WaitingRequest> mWaiting;
  std::vector<WaitingPeer> mPeers;
};

/** The question to a granting VM that it has not answered. */
struct QuotaQuestion
{
  /** The sequence of the question; 0 when none is unanswered. */
  std::uint64_t mSequence = 0;
  TimePoint mAsked{};
  std::vector<QuotaNeed> mNeeds;
};

/** Invariants: mWaitingFor has an entry for each waiting request, and
    mZoneQuestions one for each organisation with an unanswered question to
    another VM of the zone. */
struct QuotaState
{
  QuotaClaims mClaims;
  std::map<OrganisationId, OrganisationQuota> mOrganisations;
  /** Questions to granting VMs. */
  std::map<VmId, QuotaQuestion> mQuestions;
  /** The organisations of the questions to other VMs of the zone, by
      sequence. */
  std::unordered_map<std::uint64_t, OrganisationId> mZoneQuestions;
  /** Until when a VM is not asked, because it did not answer. */
  std::map<VmId, TimePoint> mAvoidUntil;
  /** The organisation for whose quota a caller waits. */
  std::unordered_map<CallerToken, OrganisationId> mWaitingFor;
  /** Differs between the processes that a VM runs one after the other. */
  std::uint64_t mSession = 0;
  std::uint64_t mNextSequence = 1;
  bool mIsTimerArmed = false;
};

} // namespace wasabispread::forwarding
