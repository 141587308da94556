/*
 * Both sides of the messages about quota.
 */
#include "../wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <cmath>

namespace wasabispread::forwarding {

namespace {

/** How long an answer from another zone is awaited: twice the way between zones
    and what a busy VM with a tenth of a processor core takes. */
constexpr Duration kAnswerTime = std::chrono::milliseconds(250);
/** As kAnswerTime, from a VM of the zone. */
constexpr Duration kZoneAnswerTime = std::chrono::milliseconds(120);
/** How long a request waits for quota at most. */
constexpr Duration kMaxWait = std::chrono::milliseconds(300);
/** How long a granting VM, or one of the zone, that did not answer is not
    asked. */
constexpr Duration kAvoidGranter = std::chrono::milliseconds(500);
constexpr Duration kAvoidInZone = std::chrono::seconds(3);
/** Interval between reports while quota is held. */
constexpr Duration kReviewInterval = std::chrono::milliseconds(250);
/** Part of the lease by which grants end before it, for the drift of clocks. */
constexpr Duration kValidMargin = std::chrono::milliseconds(200);
/** The most requests, and VMs, that wait for one organisation's quota. */
constexpr std::size_t kMaxWaiting = 256;
/** Retry delay while nobody grants the quota: the next claim takes seconds. */
constexpr Duration kNoGranterRetry = std::chrono::milliseconds(400);
/** The time for whose needs a VM wants quota in advance from another one of the
    zone. */
constexpr double kAdvanceSeconds = 0.1;
constexpr std::uint32_t kMaxAdvance = 16;

void
Serve(ForwarderState& aState,
      OrganisationId aOrganisation,
      TimePoint aNow,
      ForwarderEffects& aEffects);

void
AskFor(ForwarderState& aState,
       OrganisationId aOrganisation,
       TimePoint aNow,
       ForwarderEffects& aEffects);

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
           std::max({ aHeld.mRetryAt, aHeld.mDeniedUntil, aNow }) - aNow,
           QuotaSource::kNone };
}

QuotaDecision
Unavailable(Duration aRetryAfter)
{
  return { QuotaOutcome::kUnavailable, aRetryAfter, QuotaSource::kNone };
}

/** How long the grants of this VM are valid. */
Duration
ValidTime(const ForwarderState& aState, TimePoint aNow)
{
  const Duration left =
    aState.mQuota.mClaims.mLease.mEnds - aNow - kValidMargin;
  return std::clamp(left, Duration::zero(), kMaxGrantTime);
}

bool
UseSpare(SpareQuota& aSpare, TimePoint aNow)
{
  if (aSpare.mCount == 0 || aNow >= aSpare.mValidUntil) {
    return false;
  }
  --aSpare.mCount;
  return true;
}

/** Adds quota that another VM of the zone gave. */
void
AddSpare(SpareQuota& aSpare,
         std::uint64_t aCount,
         TimePoint aValidUntil,
         TimePoint aNow)
{
  if (aSpare.mCount == 0 || aNow >= aSpare.mValidUntil) {
    aSpare = SpareQuota{ 0, aValidUntil, aNow };
  }
  aSpare.mValidUntil = std::min(aSpare.mValidUntil, aValidUntil);
  aSpare.mCount += aCount;
}

/** The answer of this VM, as the granting one, to one need. */
QuotaGrant
Answer(ForwarderState& aState,
       VmId aVm,
       std::uint64_t aSession,
       const QuotaNeed& aNeed,
       TimePoint aNow)
{
  QuotaPartition& partition =
    aState.mQuota.mClaims.mPartitions[PartitionOf(aNeed.mOrganisation)];
  const OrganisationLimit limit = LimitOf(aState, aNeed.mOrganisation);
  if (!limit.IsLimited() || !IsGranting(aState, partition, aNow)) {
    return QuotaGrant{ aNeed.mOrganisation, 0, 0, {}, {}, {} };
  }
  if (aNeed.mTerm != partition.mOwnTerm) {
    // It does not know this term yet and starts anew.
    return QuotaGrant{ aNeed.mOrganisation, partition.mOwnTerm, 0, {}, {}, {} };
  }
  const QuotaRule& rule = aState.mPolicy.mQuotaRule;
  const QuotaParts parts = DivideQuota(limit, rule);
  auto ledger = partition.mLedgers.find(aNeed.mOrganisation);
  if (ledger == partition.mLedgers.end()) {
    ledger =
      partition.mLedgers
        .emplace(aNeed.mOrganisation,
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

/** Answers another VM of the zone. */
void
AnswerPeer(const OrganisationQuota& aQuota,
           OrganisationId aOrganisation,
           const WaitingPeer& aPeer,
           const QuotaDecision& aDecision,
           TimePoint aNow,
           ForwarderEffects& aEffects)
{
  const bool isUsedUp = aDecision.mOutcome == QuotaOutcome::kUsedUp;
  const bool isAvailable = aDecision.mOutcome != QuotaOutcome::kUnavailable;
  QuotaReply reply;
  reply.mSequence = aPeer.mSequence;
  reply.mValid = aPeer.mGiven == 0
                   ? Duration::zero()
                   : std::max(Duration::zero(), aPeer.mValidUntil - aNow);
  reply.mGrants.push_back(QuotaGrant{
    aOrganisation,
    isAvailable ? std::max<std::uint64_t>(1, aQuota.mHeld.mTerm) : 0,
    aPeer.mGiven,
    isUsedUp ? std::max(Duration(1), aQuota.mHeld.mDeniedUntil - aNow)
             : Duration::zero(),
    aDecision.mRetryAfter,
    std::nullopt });
  aEffects.push_back(
    SendPeerMessage{ aPeer.mVm, aPeer.mAddress, std::move(reply) });
}

void
RefuseRequest(ForwarderState& aState,
              const WaitingRequest& aRequest,
              const QuotaDecision& aDecision,
              ForwarderEffects& aEffects)
{
  aState.mQuota.mWaitingFor.erase(aRequest.mRequest->mToken);
  RefuseForQuota(
    aState, *aRequest.mRequest, aRequest.mOwner, aDecision, aEffects);
}

/** Removes and returns the entries that arrived until aUntil. */
template<class Entry>
std::vector<Entry>
TakeArrivedUntil(std::vector<Entry>& aEntries, TimePoint aUntil)
{
  std::vector<Entry> taken;
  std::erase_if(aEntries, [&](Entry& aEntry) {
    if (aEntry.mArrived > aUntil) {
      return false;
    }
    taken.push_back(std::move(aEntry));
    return true;
  });
  return taken;
}

/** Refuses what arrived until aUntil and waits. */
void
RefuseWaiting(ForwarderState& aState,
              OrganisationId aOrganisation,
              QuotaDecision aDecision,
              TimePoint aUntil,
              TimePoint aNow,
              ForwarderEffects& aEffects)
{
  OrganisationQuota& quota = aState.mQuota.mOrganisations[aOrganisation];
  const double rate = LimitOf(aState, aOrganisation).mRatePerSecond;
  const auto perRequest = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(rate > 0 ? 1 / rate : 0));
  for (const WaitingPeer& peer : TakeArrivedUntil(quota.mPeers, aUntil)) {
    AnswerPeer(quota, aOrganisation, peer, aDecision, aNow, aEffects);
    aDecision.mRetryAfter += perRequest * (peer.mCount - peer.mGiven);
  }
  for (const WaitingRequest& request :
       TakeArrivedUntil(quota.mWaiting, aUntil)) {
    RefuseRequest(aState, request, aDecision, aEffects);
    // They must not all come back at once.
    aDecision.mRetryAfter += perRequest;
  }
}

/** Accepts the answer of the granting VM to one need. */
void
AcceptAnswer(ForwarderState& aState,
             const QuotaNeed& aNeed,
             const QuotaGrant& aGrant,
             TimePoint aAsked,
             Duration aValid,
             TimePoint aNow,
             ForwarderEffects& aEffects)
{
  const OrganisationId id = aNeed.mOrganisation;
  HeldQuota& held = aState.mQuota.mOrganisations[id].mHeld;
  if (aGrant.mTerm == 0) {
    RefuseWaiting(
      aState, id, Unavailable(kNoGranterRetry), aAsked, aNow, aEffects);
    return;
  }
  if (aGrant.mTerm != aNeed.mTerm) {
    ForgetGrants(held, aGrant.mTerm);
    return;
  }
  AcceptGrant(held, aNeed, aGrant, aAsked, aValid, aNow);
  Serve(aState, id, aNow, aEffects);
  if (aGrant.mNextGrant > Duration::zero()) {
    RefuseWaiting(aState, id, UsedUp(held, aNow), aAsked, aNow, aEffects);
  }
}

/** Whether there is something to state without a waiting request. Nothing is
    stated of an organisation without a limit; its counts are only kept. */
bool
MustReport(const ForwarderState& aState,
           OrganisationId aOrganisation,
           const HeldQuota& aHeld,
           TimePoint aNow)
{
  return LimitOf(aState, aOrganisation).IsLimited() && IsReportDue(aHeld, aNow);
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
    if (quota.mHeld.mTerm < claim->mTerm) {
      ForgetGrants(quota.mHeld, claim->mTerm);
    }
    // The timer that does this may be late.
    ReturnUnusable(quota.mHeld, aNow);
    std::uint32_t waiting = 0;
    // What waits for another VM of the zone is not asked for here too.
    if (quota.mQuestion.mSequence == 0) {
      waiting = static_cast<std::uint32_t>(quota.mWaiting.size());
    }
    for (const WaitingPeer& peer : quota.mPeers) {
      waiting += peer.mCount - peer.mGiven;
    }
    if (waiting != 0 || MustReport(aState, id, quota.mHeld, aNow)) {
      needs.push_back(NeedOf(quota.mHeld, id, waiting, aNow));
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
      AcceptAnswer(
        aState, need, grant, aNow, ValidTime(aState, aNow), aNow, aEffects);
    }
  }
}

/** Asks a granting VM unless a question is unanswered or nothing is due. */
void
AskGranter(ForwarderState& aState,
           const std::string& aVm,
           const Endpoint& aAddress,
           TimePoint aNow,
           ForwarderEffects& aEffects)
{
  const VmId vm = IdFromName<VmId>(aVm);
  QuotaQuestion& question = aState.mQuota.mQuestions[vm];
  const auto avoided = aState.mQuota.mAvoidUntil.find(vm);
  const bool isAvoided =
    avoided != aState.mQuota.mAvoidUntil.end() && aNow < avoided->second;
  if (question.mSequence != 0 || isAvoided) {
    return;
  }
  std::vector<QuotaNeed> needs = NeedsAt(aState, vm, aNow);
  if (needs.empty()) {
    return;
  }
  question.mSequence = aState.mQuota.mNextSequence++;
  question.mAsked = aNow;
  question.mNeeds = needs;
  aState.mTimers.Arm(
    aNow + kAnswerTime, ForwarderTimer::kQuotaAnswer, question.mSequence);
  aEffects.push_back(SendPeerMessage{
    vm,
    aAddress,
    QuotaRequest{
      question.mSequence, aState.mQuota.mSession, false, std::move(needs) } });
}

/** Asks another VM of the zone unless a question is unanswered. */
void
AskInZone(ForwarderState& aState,
          OrganisationId aOrganisation,
          const QuotaPath& aPath,
          TimePoint aNow,
          ForwarderEffects& aEffects)
{
  OrganisationQuota& quota = aState.mQuota.mOrganisations[aOrganisation];
  if (quota.mQuestion.mSequence != 0 || quota.mWaiting.empty()) {
    return;
  }
  quota.mQuestion =
    ZoneQuestion{ aState.mQuota.mNextSequence++, aPath.mVm, aNow };
  const std::uint64_t sequence = quota.mQuestion.mSequence;
  aState.mQuota.mZoneQuestions[sequence] = aOrganisation;
  aState.mTimers.Arm(
    aNow + kZoneAnswerTime, ForwarderTimer::kQuotaAnswer, sequence);
  QuotaNeed need;
  need.mOrganisation = aOrganisation;
  need.mWaiting = static_cast<std::uint32_t>(quota.mWaiting.size());
  need.mWanted = std::min(
    kMaxAdvance,
    static_cast<std::uint32_t>(kAdvanceSeconds * quota.mHeld.mNeedRate));
  aEffects.push_back(SendPeerMessage{
    IdFromName<VmId>(aPath.mVm),
    aPath.mAddress,
    QuotaRequest{ sequence, aState.mQuota.mSession, true, { need } } });
}

void
AskOn(ForwarderState& aState,
      OrganisationId aOrganisation,
      const QuotaPath& aPath,
      TimePoint aNow,
      ForwarderEffects& aEffects)
{
  switch (aPath.mKind) {
    case QuotaPath::Kind::kSelf:
      AskSelf(aState, aNow, aEffects);
      break;
    case QuotaPath::Kind::kGranter:
      AskGranter(aState, aPath.mVm, aPath.mAddress, aNow, aEffects);
      break;
    case QuotaPath::Kind::kZone:
      AskInZone(aState, aOrganisation, aPath, aNow, aEffects);
      break;
    case QuotaPath::Kind::kNone:
      RefuseWaiting(aState,
                    aOrganisation,
                    Unavailable(kOtherVmRetry),
                    aNow,
                    aNow,
                    aEffects);
      break;
  }
}

void
AskFor(ForwarderState& aState,
       OrganisationId aOrganisation,
       TimePoint aNow,
       ForwarderEffects& aEffects)
{
  const OrganisationQuota& quota = aState.mQuota.mOrganisations[aOrganisation];
  if (!quota.mPeers.empty()) {
    AskOn(aState,
          aOrganisation,
          PathForPeers(aState, aOrganisation, aNow),
          aNow,
          aEffects);
  }
  if (!quota.mWaiting.empty()) {
    AskOn(aState,
          aOrganisation,
          PathForRequests(aState, aOrganisation, aNow),
          aNow,
          aEffects);
  }
}

/** Gives a VM of the zone what is held; true when it has all it needs. */
bool
ServePeer(OrganisationQuota& aQuota, WaitingPeer& aPeer, TimePoint aNow)
{
  const auto give = [&] {
    if (!UseQuota(aQuota.mHeld, aNow)) {
      return false;
    }
    ++aPeer.mGiven;
    aPeer.mValidUntil = std::min(aPeer.mValidUntil, aQuota.mHeld.mValidUntil);
    return true;
  };
  while (aPeer.mGiven < aPeer.mCount) {
    if (!give()) {
      return false;
    }
  }
  // The last grant stays for the next VM that asks.
  for (std::uint32_t count = 0;
       count < aPeer.mAdvance && aQuota.mHeld.Held() > 1 && give();
       ++count) {
  }
  return true;
}

/** Removes and returns the waiting request that goes first: by rank, then by
    arrival. */
WaitingRequest
TakeFirst(std::vector<WaitingRequest>& aWaiting)
{
  const auto first = std::min_element(
    aWaiting.begin(),
    aWaiting.end(),
    [](const WaitingRequest& aLeft, const WaitingRequest& aRight) {
      return std::tie(aLeft.mOwner.mRank, aLeft.mArrived) <
             std::tie(aRight.mOwner.mRank, aRight.mArrived);
    });
  WaitingRequest taken = std::move(*first);
  aWaiting.erase(first);
  return taken;
}

/** Gives what there is to the requests and the VMs that wait. */
void
Serve(ForwarderState& aState,
      OrganisationId aOrganisation,
      TimePoint aNow,
      ForwarderEffects& aEffects)
{
  OrganisationQuota& quota = aState.mQuota.mOrganisations[aOrganisation];
  while (!quota.mPeers.empty() &&
         ServePeer(quota, quota.mPeers.front(), aNow)) {
    AnswerPeer(quota, aOrganisation, quota.mPeers.front(), {}, aNow, aEffects);
    quota.mPeers.erase(quota.mPeers.begin());
  }
  while (!quota.mWaiting.empty()) {
    QuotaSource source = QuotaSource::kHeld;
    if (UseSpare(quota.mSpare, aNow)) {
      source = QuotaSource::kSpare;
    } else if (!UseQuota(quota.mHeld, aNow)) {
      return;
    }
    const WaitingRequest request = TakeFirst(quota.mWaiting);
    aState.mQuota.mWaitingFor.erase(request.mRequest->mToken);
    AdmitWithQuota(aState, request, source, aNow, aEffects);
  }
}

void
LogNotAnswered(std::string aVm,
               TimePoint aAsked,
               TimePoint aNow,
               ForwarderEffects& aEffects)
{
  aEffects.push_back(
    WriteDecisionRecord{ { RecordClass::kNotable,
                           "quota-not-answered",
                           {},
                           { { "by", std::move(aVm) },
                             { "age_ms", ToMilliseconds(aNow - aAsked) } } } });
}

/** The organisations for which requests or VMs of the zone wait. */
std::vector<OrganisationId>
WaitingOrganisations(const ForwarderState& aState)
{
  std::vector<OrganisationId> waiting;
  for (const auto& [id, quota] : aState.mQuota.mOrganisations) {
    if (!quota.mWaiting.empty() || !quota.mPeers.empty()) {
      waiting.push_back(id);
    }
  }
  return waiting;
}

/** Asks for what waits wherever it can be had now, and refuses the rest. */
void
AskForAllThatWaits(ForwarderState& aState,
                   TimePoint aNow,
                   ForwarderEffects& aEffects)
{
  for (const OrganisationId id : WaitingOrganisations(aState)) {
    AskFor(aState, id, aNow, aEffects);
  }
}

/** Gives up a question to a granting VM: what waits for it is refused, also
    what arrived after the question and waits for the next one. */
void
GiveUpGranter(ForwarderState& aState,
              VmId aVm,
              TimePoint aNow,
              ForwarderEffects& aEffects)
{
  QuotaQuestion& question = aState.mQuota.mQuestions[aVm];
  question.mSequence = 0;
  aState.mQuota.mAvoidUntil[aVm] = aNow + kAvoidGranter;
  LogNotAnswered("granting vm", question.mAsked, aNow, aEffects);
  for (const QuotaNeed& need : std::exchange(question.mNeeds, {})) {
    RefuseWaiting(aState,
                  need.mOrganisation,
                  Unavailable(kOtherVmRetry),
                  aNow,
                  aNow,
                  aEffects);
  }
  AskForAllThatWaits(aState, aNow, aEffects);
}

/** Gives up a question to a VM of the zone: what waits takes another way,
    unless it has waited for too long. */
void
GiveUpInZone(ForwarderState& aState,
             OrganisationId aOrganisation,
             TimePoint aNow,
             ForwarderEffects& aEffects)
{
  OrganisationQuota& quota = aState.mQuota.mOrganisations[aOrganisation];
  const ZoneQuestion question = std::exchange(quota.mQuestion, {});
  aState.mQuota.mZoneQuestions.erase(question.mSequence);
  aState.mQuota.mAvoidUntil[IdFromName<VmId>(question.mVm)] =
    aNow + kAvoidInZone;
  LogNotAnswered(question.mVm, question.mAsked, aNow, aEffects);
  RefuseWaiting(aState,
                aOrganisation,
                Unavailable(kOtherVmRetry),
                aNow - kMaxWait + kZoneAnswerTime,
                aNow,
                aEffects);
  AskFor(aState, aOrganisation, aNow, aEffects);
}

/** Accepts the answer of another VM of the zone. */
void
AcceptInZone(ForwarderState& aState,
             OrganisationId aOrganisation,
             const QuotaReply& aReply,
             TimePoint aNow,
             ForwarderEffects& aEffects)
{
  OrganisationQuota& quota = aState.mQuota.mOrganisations[aOrganisation];
  const TimePoint asked = std::exchange(quota.mQuestion, {}).mAsked;
  aState.mQuota.mZoneQuestions.erase(aReply.mSequence);
  const QuotaGrant grant =
    aReply.mGrants.empty() ? QuotaGrant{} : aReply.mGrants.front();
  const TimePoint valid = asked + aReply.mValid;
  if (grant.mGranted != 0) {
    AddSpare(quota.mSpare, grant.mGranted, valid, aNow);
  }
  Serve(aState, aOrganisation, aNow, aEffects);
  if (grant.mTerm == 0) {
    RefuseWaiting(aState,
                  aOrganisation,
                  Unavailable(std::max(grant.mRetryAfter, kOtherVmRetry)),
                  asked,
                  aNow,
                  aEffects);
  } else if (grant.mNextGrant > Duration::zero()) {
    RecordDenial(quota.mHeld, grant, aNow);
    RefuseWaiting(
      aState, aOrganisation, UsedUp(quota.mHeld, aNow), asked, aNow, aEffects);
  }
  if (!quota.mWaiting.empty()) {
    AskFor(aState, aOrganisation, aNow, aEffects);
  }
}

/** Serves another VM of the zone, or lets it wait for an answer. */
void
HandlePeerNeed(ForwarderState& aState,
               const QuotaRequested& aEvent,
               const QuotaNeed& aNeed,
               TimePoint aNow,
               ForwarderEffects& aEffects)
{
  const OrganisationId id = aNeed.mOrganisation;
  const WaitingPeer peer{ aEvent.mVm,
                          aEvent.mAddress,
                          aEvent.mRequest.mSequence,
                          aNeed.mWaiting,
                          std::min(aNeed.mWanted, kMaxAdvance),
                          0,
                          aNow,
                          TimePoint::max() };
  if (!LimitOf(aState, id).IsLimited() || aState.IsStopping()) {
    AnswerPeer({}, id, peer, Unavailable(kOtherVmRetry), aNow, aEffects);
    return;
  }
  OrganisationQuota& quota = aState.mQuota.mOrganisations[id];
  for (std::uint32_t count = 0;
       count < std::min(peer.mCount + peer.mAdvance, 2 * kMaxAdvance);
       ++count) {
    CountNeed(quota.mHeld, aNow);
  }
  ArmTimer(aState, aNow);
  if (quota.mPeers.size() >= kMaxWaiting) {
    AnswerPeer(quota, id, peer, Unavailable(kOtherVmRetry), aNow, aEffects);
    return;
  }
  quota.mPeers.push_back(peer);
  Serve(aState, id, aNow, aEffects);
  if (quota.mPeers.empty()) {
    return;
  }
  if (aNow < quota.mHeld.mDeniedUntil) {
    RefuseWaiting(aState, id, UsedUp(quota.mHeld, aNow), aNow, aNow, aEffects);
    return;
  }
  AskFor(aState, id, aNow, aEffects);
}

} // namespace

QuotaDecision
TakeQuota(ForwarderState& aState,
          const WaitingRequest& aRequest,
          TimePoint aNow,
          ForwarderEffects& aEffects)
{
  const RequestOwner& owner = aRequest.mOwner;
  if (!owner.mLimit.IsLimited()) {
    return {};
  }
  OrganisationQuota& quota = aState.mQuota.mOrganisations[owner.mId];
  CountNeed(quota.mHeld, aNow);
  ArmTimer(aState, aNow);
  if (quota.mWaiting.empty()) {
    if (UseSpare(quota.mSpare, aNow)) {
      return { QuotaOutcome::kGranted, {}, QuotaSource::kSpare };
    }
    if (quota.mPeers.empty() && UseQuota(quota.mHeld, aNow)) {
      return { QuotaOutcome::kGranted, {}, QuotaSource::kHeld };
    }
  }
  if (aNow < quota.mHeld.mDeniedUntil) {
    return UsedUp(quota.mHeld, aNow);
  }
  const QuotaPath path = PathForRequests(aState, owner.mId, aNow);
  if (path.mKind == QuotaPath::Kind::kNone) {
    return Unavailable(ClaimFor(aState, owner.mId) == nullptr ? kNoGranterRetry
                                                              : kOtherVmRetry);
  }
  if (quota.mWaiting.size() >= kMaxWaiting) {
    return Unavailable(kOtherVmRetry);
  }
  quota.mWaiting.push_back(aRequest);
  aState.mQuota.mWaitingFor[aRequest.mRequest->mToken] = owner.mId;
  AskOn(aState, owner.mId, path, aNow, aEffects);
  return { QuotaOutcome::kWaits, {}, QuotaSource::kNone };
}

void
TakeBackQuota(ForwarderState& aState,
              OrganisationId aOrganisation,
              QuotaSource aSource,
              TimePoint aTaken,
              TimePoint aNow)
{
  const auto quota = aState.mQuota.mOrganisations.find(aOrganisation);
  if (quota == aState.mQuota.mOrganisations.end()) {
    return;
  }
  if (aSource == QuotaSource::kHeld) {
    TakeBackUse(quota->second.mHeld);
    return;
  }
  // What was given earlier than the rest may have ended.
  SpareQuota& spare = quota->second.mSpare;
  if (aSource == QuotaSource::kSpare && aTaken >= spare.mSince &&
      aNow < spare.mValidUntil) {
    ++spare.mCount;
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
RefuseWaitingRequests(ForwarderState& aState,
                      TimePoint aNow,
                      ForwarderEffects& aEffects)
{
  std::vector<OrganisationId> organisations;
  for (const auto& [id, quota] : aState.mQuota.mOrganisations) {
    organisations.push_back(id);
  }
  for (const OrganisationId id : organisations) {
    RefuseWaiting(aState, id, Unavailable(kOtherVmRetry), aNow, aNow, aEffects);
  }
}

void
HandleQuotaRequested(ForwarderState& aState,
                     const QuotaRequested& aEvent,
                     TimePoint aNow,
                     ForwarderEffects& aEffects)
{
  if (aEvent.mRequest.mIsForZone) {
    for (const QuotaNeed& need : aEvent.mRequest.mNeeds) {
      HandlePeerNeed(aState, aEvent, need, aNow, aEffects);
    }
    return;
  }
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
  const QuotaReply& reply = aEvent.mReply;
  const auto inZone = aState.mQuota.mZoneQuestions.find(reply.mSequence);
  if (inZone != aState.mQuota.mZoneQuestions.end()) {
    AcceptInZone(aState, inZone->second, reply, aNow, aEffects);
    return;
  }
  const auto found = aState.mQuota.mQuestions.find(aEvent.mVm);
  if (found == aState.mQuota.mQuestions.end() ||
      found->second.mSequence != reply.mSequence) {
    // The grants of an answer that came too late are not used.
    return;
  }
  const TimePoint asked = found->second.mAsked;
  found->second.mSequence = 0;
  const std::vector<QuotaNeed> needs = std::exchange(found->second.mNeeds, {});
  for (std::size_t position = 0;
       position < std::min(needs.size(), reply.mGrants.size());
       ++position) {
    const QuotaGrant& grant = reply.mGrants[position];
    if (grant.mOrganisation == needs[position].mOrganisation) {
      AcceptAnswer(
        aState, needs[position], grant, asked, reply.mValid, aNow, aEffects);
    }
  }
  for (const QuotaNeed& need : needs) {
    AskFor(aState, need.mOrganisation, aNow, aEffects);
  }
}

void
ReviewQuota(ForwarderState& aState, TimePoint aNow, ForwarderEffects& aEffects)
{
  QuotaState& quota = aState.mQuota;
  quota.mIsTimerArmed = false;
  std::erase_if(quota.mAvoidUntil,
                [aNow](const auto& aEntry) { return aNow >= aEntry.second; });
  bool isAnyHeld = false;
  for (auto& [id, organisation] : quota.mOrganisations) {
    ReturnUnusable(organisation.mHeld, aNow);
    isAnyHeld = isAnyHeld || organisation.mHeld.Held() != 0 ||
                !organisation.mWaiting.empty() ||
                !organisation.mPeers.empty() ||
                MustReport(aState, id, organisation.mHeld, aNow);
  }
  std::map<std::string, Endpoint> granters;
  for (const QuotaPartition& partition : quota.mClaims.mPartitions) {
    if (partition.mClaim) {
      granters[partition.mClaim->mVm] = partition.mClaim->mAddress;
    }
  }
  for (const auto& [vm, address] : granters) {
    if (vm == aState.mPolicy.mName) {
      AskSelf(aState, aNow, aEffects);
    } else {
      AskGranter(aState, vm, address, aNow, aEffects);
    }
  }
  // The claim may have gone meanwhile.
  AskForAllThatWaits(aState, aNow, aEffects);
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
  const auto inZone = aState.mQuota.mZoneQuestions.find(aSequence);
  if (inZone != aState.mQuota.mZoneQuestions.end()) {
    GiveUpInZone(aState, inZone->second, aNow, aEffects);
    return;
  }
  const auto question = std::find_if(
    aState.mQuota.mQuestions.begin(),
    aState.mQuota.mQuestions.end(),
    [&](const auto& aEntry) { return aEntry.second.mSequence == aSequence; });
  if (question != aState.mQuota.mQuestions.end()) {
    GiveUpGranter(aState, question->first, aNow, aEffects);
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
    GiveUpGranter(aState, aVm, aNow, aEffects);
  }
  std::vector<OrganisationId> asked;
  for (const auto& [sequence, organisation] : aState.mQuota.mZoneQuestions) {
    const auto& vm = aState.mQuota.mOrganisations[organisation].mQuestion.mVm;
    if (IdFromName<VmId>(vm) == aVm) {
      asked.push_back(organisation);
    }
  }
  for (const OrganisationId organisation : asked) {
    GiveUpInZone(aState, organisation, aNow, aEffects);
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
    quota.mSpare.mValidUntil -= aTime;
    quota.mQuestion.mAsked -= aTime;
  }
  for (auto& [vm, question] : aQuota.mQuestions) {
    question.mAsked -= aTime;
  }
}

} // namespace wasabispread::forwarding
