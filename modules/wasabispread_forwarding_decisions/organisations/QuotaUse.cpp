/*
 * Both sides of the messages about quota.
 */
#include "../wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** How long an answer is awaited: twice the way between zones and what a busy
    VM with a tenth of a processor core takes. */
constexpr Duration kAnswerTime = std::chrono::milliseconds(250);
/** How long a VM that did not answer is not asked. */
constexpr Duration kAvoidTime = std::chrono::milliseconds(500);
/** Interval between reports while quota is held. */
constexpr Duration kReviewInterval = std::chrono::milliseconds(250);
/** Part of the lease by which grants end before it, for the drift of clocks. */
constexpr Duration kValidMargin = std::chrono::milliseconds(200);
/** The most requests of one organisation that wait for quota. */
constexpr std::size_t kMaxWaiting = 256;
/** Retry delay while nobody grants the quota: the next claim takes seconds. */
constexpr Duration kNoGranterRetry = std::chrono::milliseconds(400);

const KnownClaim*
ClaimFor(const ForwarderState& aState, OrganisationId aOrganisation)
{
  const auto& claim =
    aState.mQuota.mClaims.mPartitions[PartitionOf(aOrganisation)].mClaim;
  return claim ? &*claim : nullptr;
}

void
ArmTimer(ForwarderState& aState, TimePoint aNow)
{
  if (!aState.mQuota.mIsTimerArmed) {
    aState.mQuota.mIsTimerArmed = true;
    aState.mTimers.Arm(aNow + kReviewInterval, ForwarderTimer::kQuota);
  }
}

QuotaDecision
UsedUp(const HeldQuota& aHeld, TimePoint aNow)
{
  return { QuotaOutcome::kUsedUp,
           std::max(aHeld.mRetryAt, aHeld.mDeniedUntil) - aNow };
}

/** How long the grants of this VM are valid. */
Duration
ValidTime(const ForwarderState& aState, TimePoint aNow)
{
  const Duration left =
    aState.mQuota.mClaims.mLease.mEnds - aNow - kValidMargin;
  return std::clamp(left, Duration::zero(), kMaxGrantTime);
}

/** The answer of this VM to one need. */
QuotaGrant
Answer(ForwarderState& aState,
       VmId aVm,
       std::uint64_t aSession,
       const QuotaNeed& aNeed,
       TimePoint aNow)
{
  QuotaPartition& partition =
    aState.mQuota.mClaims.mPartitions[PartitionOf(aNeed.mOrganisation)];
  const Organisation* organisation =
    aState.mConfiguration == nullptr || !aState.mConfiguration->mOrganisations
      ? nullptr
      : aState.mConfiguration->mOrganisations->Find(aNeed.mOrganisation);
  const bool isLimited =
    organisation != nullptr && organisation->mLimit.IsLimited();
  if (!isLimited || !IsGranting(aState, partition, aNow)) {
    return QuotaGrant{ aNeed.mOrganisation, 0, 0, {}, {} };
  }
  if (aNeed.mTerm != partition.mOwnTerm.Value()) {
    // It does not know this term yet and starts anew.
    return QuotaGrant{
      aNeed.mOrganisation, partition.mOwnTerm.Value(), 0, {}, {}
    };
  }
  const QuotaRule& rule = aState.mPolicy.mQuotaRule;
  const QuotaParts parts = DivideQuota(organisation->mLimit, rule);
  auto ledger = partition.mLedgers.find(aNeed.mOrganisation);
  if (ledger == partition.mLedgers.end()) {
    ledger =
      partition.mLedgers
        .emplace(
          aNeed.mOrganisation,
          BeginLedger(
            parts, rule, partition.mMayGrantAtOnce, partition.mOwnSince))
        .first;
  }
  const TimePoint expires =
    std::min(aState.mQuota.mClaims.mLease.mEnds, aNow + kMaxGrantTime);
  const QuotaGrant grant =
    Settle(ledger->second, parts, aVm, aSession, aNeed, expires, aNow);
  aState.mCounters.mQuotaDenied +=
    grant.mNextGrant > Duration::zero() ? 1U : 0U;
  return grant;
}

void
RefuseWaiting(ForwarderState& aState,
              const WaitingRequest& aRequest,
              const QuotaDecision& aDecision,
              ForwarderEffects& aEffects)
{
  aState.mQuota.mWaitingFor.erase(aRequest.mRequest->mToken);
  RefuseForQuota(aState, *aRequest.mRequest, aDecision, aEffects);
}

/** Removes and returns the waiting request that goes first: by rank, then by
    arrival. */
WaitingRequest
TakeFirst(std::vector<WaitingRequest>& aWaiting)
{
  const auto first =
    std::min_element(aWaiting.begin(),
                     aWaiting.end(),
                     [](const WaitingRequest& aLeft, const auto& aRight) {
                       return std::tie(aLeft.mRank, aLeft.mArrived) <
                              std::tie(aRight.mRank, aRight.mArrived);
                     });
  WaitingRequest taken = std::move(*first);
  aWaiting.erase(first);
  return taken;
}

/** Admits waiting requests while there is quota for them. */
void
AdmitWaiting(ForwarderState& aState,
             OrganisationId aOrganisation,
             TimePoint aNow,
             ForwarderEffects& aEffects)
{
  OrganisationQuota& quota = aState.mQuota.mOrganisations[aOrganisation];
  while (!quota.mWaiting.empty() && UseQuota(quota.mHeld, aNow)) {
    const WaitingRequest request = TakeFirst(quota.mWaiting);
    aState.mQuota.mWaitingFor.erase(request.mRequest->mToken);
    AdmitWithQuota(
      aState, request.mRequest, request.mArrived, aNow, aEffects);
  }
}

/** Refuses the waiting requests that the question covered and the answer did
    not satisfy. */
void
RefuseDenied(ForwarderState& aState,
             OrganisationId aOrganisation,
             const QuotaDecision& aDecision,
             TimePoint aAsked,
             ForwarderEffects& aEffects)
{
  OrganisationQuota& quota = aState.mQuota.mOrganisations[aOrganisation];
  std::vector<WaitingRequest> denied;
  std::erase_if(quota.mWaiting, [&](WaitingRequest& aRequest) {
    if (aRequest.mArrived > aAsked) {
      return false;
    }
    denied.push_back(std::move(aRequest));
    return true;
  });
  QuotaDecision decision = aDecision;
  const double rate = LimitOf(aState, aOrganisation).mRatePerSecond;
  const auto perRequest = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(rate > 0 ? 1 / rate : 0));
  for (const WaitingRequest& request : denied) {
    RefuseWaiting(aState, request, decision, aEffects);
    // They must not all come back at once.
    decision.mRetryAfter += perRequest;
  }
}

/** Accepts the answer to one need; true when another question is due. */
bool
AcceptAnswer(ForwarderState& aState,
             const QuotaNeed& aNeed,
             const QuotaGrant& aGrant,
             TimePoint aAsked,
             Duration aValid,
             TimePoint aNow,
             ForwarderEffects& aEffects)
{
  OrganisationQuota& quota =
    aState.mQuota.mOrganisations[aNeed.mOrganisation];
  if (aGrant.mTerm == 0) {
    RefuseDenied(aState,
                 aNeed.mOrganisation,
                 { QuotaOutcome::kUnavailable, kNoGranterRetry },
                 aAsked,
 aEffects);
    return false;
  }
  if (aGrant.mTerm != aNeed.mTerm) {
    ForgetGrants(quota.mHeld, aGrant.mTerm);
    return !quota.mWaiting.empty();
  }
  AcceptGrant(quota.mHeld, aNeed, aGrant, aAsked, aValid, aNow);
  AdmitWaiting(aState, aNeed.mOrganisation, aNow, aEffects);
  if (aGrant.mNextGrant > Duration::zero()) {
    RefuseDenied(aState,
                 aNeed.mOrganisation,
                 UsedUp(quota.mHeld, aNow),
                 aAsked,
 aEffects);
  }
  return !quota.mWaiting.empty();
}

/** The needs that are to be stated to a granting VM: where a request waits or a
    report is due. */
std::vector<QuotaNeed>
NeedsAt(ForwarderState& aState, VmId aVm, TimePoint aNow)
{
  std::vector<QuotaNeed> needs;
  for (auto& [id, quota] : aState.mQuota.mOrganisations) {
    const KnownClaim* claim = ClaimFor(aState, id);
    if (claim == nullptr || IdFromName<VmId>(claim->mVm) != aVm) {
      continue;
    }
    if (quota.mHeld.mTerm < claim->mTerm.Value()) {
      ForgetGrants(quota.mHeld, claim->mTerm.Value());
    }
    if (!quota.mWaiting.empty() || IsReportDue(quota.mHeld, aNow)) {
      needs.push_back(
        NeedOf(quota.mHeld,
               id,
               static_cast<std::uint32_t>(quota.mWaiting.size()),
               aNow));
    }
  }
  return needs;
}

/** Settles the needs of this VM with itself. */
void
AskSelf(ForwarderState& aState, TimePoint aNow, ForwarderEffects& aEffects)
{
  const VmId self = IdFromName<VmId>(aState.mPolicy.mName);
  // A second pass follows when the first one learned the term.
  for (unsigned pass = 0; pass < 2; ++pass) {
    for (const QuotaNeed& need : NeedsAt(aState, self, aNow)) {
      const QuotaGrant grant =
        Answer(aState, self, aState.mQuota.mSession, need, aNow);
      AcceptAnswer(aState,
                   need,
                   grant,
                   aNow,
                   ValidTime(aState, aNow),
                   aNow,
                   aEffects);
    }
  }
}

/** Asks a granting VM unless a question is unanswered or nothing is due. */
void
Ask(ForwarderState& aState,
    const std::string& aVm,
    const Endpoint& aAddress,
    TimePoint aNow,
    ForwarderEffects& aEffects)
{
  if (aVm == aState.mPolicy.mName) {
    AskSelf(aState, aNow, aEffects);
    return;
  }
  const VmId vm = IdFromName<VmId>(aVm);
  QuotaQuestion& question = aState.mQuota.mQuestions[vm];
  if (question.mSequence != 0 || aNow < question.mAvoidUntil) {
    return;
  }
  std::vector<QuotaNeed> needs = NeedsAt(aState, vm, aNow);
  if (needs.empty()) {
    return;
  }
  question.mSequence = aState.mQuota.mNextSequence++;
  question.mAsked = aNow;
  aState.mTimers.Arm(aNow + kAnswerTime,
                     ForwarderTimer::kQuotaAnswer,
                     question.mSequence);
  question.mNeeds = needs;
  aEffects.push_back(SendPeerMessage{ vm,
                                      aAddress,
                                      QuotaRequest{ question.mSequence,
                                                    aState.mQuota.mSession,
                                                    std::move(needs) } });
}

/** Gives up a question: what waits for its answer is refused. */
void
GiveUpQuestion(ForwarderState& aState,
               VmId aVm,
               TimePoint aNow,
               ForwarderEffects& aEffects)
{
  QuotaQuestion& question = aState.mQuota.mQuestions[aVm];
  question.mSequence = 0;
  question.mAvoidUntil = aNow + kAvoidTime;
  aEffects.push_back(
    WriteDecisionRecord{ { RecordClass::kNotable,
                           "quota-not-answered",
                           {},
                           { { "age_ms",
                               ToMilliseconds(aNow - question.mAsked) } } } });
  for (const QuotaNeed& need : std::exchange(question.mNeeds, {})) {
    RefuseDenied(aState,
                 need.mOrganisation,
                 { QuotaOutcome::kUnavailable, kOtherVmRetry },
                 aNow,
 aEffects);
  }
}

} // namespace

QuotaDecision
TakeQuota(ForwarderState& aState,
          const RequestOwner& aOwner,
          const WaitingRequest& aRequest,
          TimePoint aNow,
          ForwarderEffects& aEffects)
{
  if (!aOwner.mLimit.IsLimited()) {
    return {};
  }
  OrganisationQuota& quota = aState.mQuota.mOrganisations[aOwner.mId];
  CountNeed(quota.mHeld, aNow);
  ArmTimer(aState, aNow);
  if (quota.mWaiting.empty() && UseQuota(quota.mHeld, aNow)) {
    return {};
  }
  if (aNow < quota.mHeld.mDeniedUntil) {
    return UsedUp(quota.mHeld, aNow);
  }
  const KnownClaim* claim = ClaimFor(aState, aOwner.mId);
  if (claim == nullptr) {
    return { QuotaOutcome::kUnavailable, kNoGranterRetry };
  }
  const auto question =
    aState.mQuota.mQuestions.find(IdFromName<VmId>(claim->mVm));
  const bool isAvoided = question != aState.mQuota.mQuestions.end() &&
                         aNow < question->second.mAvoidUntil;
  if (isAvoided || quota.mWaiting.size() >= kMaxWaiting) {
    return { QuotaOutcome::kUnavailable, kOtherVmRetry };
  }
  quota.mWaiting.push_back(aRequest);
  aState.mQuota.mWaitingFor[aRequest.mRequest->mToken] = aOwner.mId;
  const KnownClaim granter = *claim;
  Ask(aState, granter.mVm, granter.mAddress, aNow, aEffects);
  return { QuotaOutcome::kWaits, {} };
}

void
TakeBackQuota(ForwarderState& aState, const RequestOwner& aOwner)
{
  const auto quota = aState.mQuota.mOrganisations.find(aOwner.mId);
  if (aOwner.mLimit.IsLimited() &&
      quota != aState.mQuota.mOrganisations.end()) {
    TakeBackUse(quota->second.mHeld);
  }
}

bool
RemoveWaitingRequest(ForwarderState& aState, CallerToken aCaller)
{
  const auto waiting = aState.mQuota.mWaitingFor.find(aCaller);
  if (waiting == aState.mQuota.mWaitingFor.end()) {
    return false;
  }
  std::erase_if(aState.mQuota.mOrganisations[waiting->second].mWaiting,
                [&](const WaitingRequest& aRequest) {
                  return aRequest.mRequest->mToken == aCaller;
                });
  aState.mQuota.mWaitingFor.erase(waiting);
  return true;
}

void
RefuseWaitingRequests(ForwarderState& aState, ForwarderEffects& aEffects)
{
  for (auto& [id, quota] : aState.mQuota.mOrganisations) {
    for (const WaitingRequest& request : std::exchange(quota.mWaiting, {})) {
      RefuseWaiting(aState,
                    request,
                    { QuotaOutcome::kUnavailable, kOtherVmRetry },
                    aEffects);
    }
  }
}

void
HandleQuotaRequested(ForwarderState& aState,
                     const QuotaRequested& aEvent,
                     TimePoint aNow,
                     ForwarderEffects& aEffects)
{
  QuotaReply reply;
  reply.mSequence = aEvent.mRequest.mSequence;
  reply.mValid = ValidTime(aState, aNow);
  for (const QuotaNeed& need : aEvent.mRequest.mNeeds) {
    reply.mGrants.push_back(
      Answer(aState, aEvent.mVm, aEvent.mRequest.mSession, need, aNow));
  }
  aEffects.push_back(
    SendPeerMessage{ aEvent.mVm, aEvent.mAddress, std::move(reply) });
}

void
HandleQuotaReplied(ForwarderState& aState,
                   const QuotaReplied& aEvent,
                   TimePoint aNow,
                   ForwarderEffects& aEffects)
{
  const auto found = aState.mQuota.mQuestions.find(aEvent.mVm);
  if (found == aState.mQuota.mQuestions.end() ||
      found->second.mSequence != aEvent.mReply.mSequence) {
    // The grants of an answer that came too late are not used.
    return;
  }
  const TimePoint asked = found->second.mAsked;
  found->second.mSequence = 0;
  const std::vector<QuotaNeed> needs =
    std::exchange(found->second.mNeeds, {});
  bool isMoreDue = false;
  for (std::size_t position = 0;
       position < std::min(needs.size(), aEvent.mReply.mGrants.size());
       ++position) {
    const QuotaGrant& grant = aEvent.mReply.mGrants[position];
    if (grant.mOrganisation == needs[position].mOrganisation) {
      isMoreDue = AcceptAnswer(aState,
                               needs[position],
                               grant,
                               asked,
                               aEvent.mReply.mValid,
                               aNow,
                               aEffects) ||
                  isMoreDue;
    }
  }
  if (!isMoreDue) {
    return;
  }
  for (const QuotaPartition& partition : aState.mQuota.mClaims.mPartitions) {
    if (partition.mClaim &&
        IdFromName<VmId>(partition.mClaim->mVm) == aEvent.mVm) {
      const KnownClaim granter = *partition.mClaim;
      Ask(aState, granter.mVm, granter.mAddress, aNow, aEffects);
      return;
    }
  }
}

void
ReviewQuota(ForwarderState& aState,
            TimePoint aNow,
            ForwarderEffects& aEffects)
{
  QuotaState& quota = aState.mQuota;
  quota.mIsTimerArmed = false;
  bool isAnyHeld = false;
  for (auto& [id, organisation] : quota.mOrganisations) {
    ReturnUnusable(organisation.mHeld, aNow);
    isAnyHeld = isAnyHeld || organisation.mHeld.Held() != 0 ||
                !organisation.mWaiting.empty() ||
                IsReportDue(organisation.mHeld, aNow);
  }
  std::map<std::string, Endpoint> granters;
  for (const QuotaPartition& partition : quota.mClaims.mPartitions) {
    if (partition.mClaim) {
      granters[partition.mClaim->mVm] = partition.mClaim->mAddress;
    }
  }
  for (const auto& [vm, address] : granters) {
    Ask(aState, vm, address, aNow, aEffects);
  }
  if (isAnyHeld) {
    ArmTimer(aState, aNow);
  }
}

void
HandleQuotaAnswerDue(ForwarderState& aState,
                     std::uint64_t aSequence,
                     TimePoint aNow,
                     ForwarderEffects& aEffects)
{
  const auto question =
    std::find_if(aState.mQuota.mQuestions.begin(),
                 aState.mQuota.mQuestions.end(),
                 [&](const auto& aEntry) {
                   return aEntry.second.mSequence == aSequence;
                 });
  if (question != aState.mQuota.mQuestions.end()) {
    GiveUpQuestion(aState, question->first, aNow, aEffects);
  }
}

void
HandleGranterLost(ForwarderState& aState,
                  VmId aVm,
                  TimePoint aNow,
                  ForwarderEffects& aEffects)
{
  const auto question = aState.mQuota.mQuestions.find(aVm);
  if (question != aState.mQuota.mQuestions.end() &&
      question->second.mSequence != 0) {
    GiveUpQuestion(aState, aVm, aNow, aEffects);
  }
}

void
ShortenQuota(QuotaState& aQuota, Duration aTime)
{
  QuotaLease& lease = aQuota.mClaims.mLease;
  lease.mEnds -= aTime;
  if (lease.mAsked) {
    *lease.mAsked -= aTime;
  }
  for (auto& [id, quota] : aQuota.mOrganisations) {
    quota.mHeld.mValidUntil -= aTime;
  }
  for (auto& [vm, question] : aQuota.mQuestions) {
    question.mAsked -= aTime;
  }
}

} // namespace wasabispread::forwarding
