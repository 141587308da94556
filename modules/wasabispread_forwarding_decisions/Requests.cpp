/*
 * Handles arriving requests, sends their sub-requests to targets and reviews
 * them.
 */
#include "RequestSteps.h"

#include "SubSearches.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace wasabispread::forwarding {

namespace {

/** Time after which a sub-request that waits for a connection is sent to
    another target with an idle one, about as long as a handshake takes. Also
    the delay before a hedge that found no target is tried again. */
constexpr Duration kMoveAfter = std::chrono::milliseconds(8);
/** Interval at which a late sub-request of an unconfirmed sub-search is checked
    for a hedge. */
constexpr Duration kConfirmPoll = std::chrono::milliseconds(3);
/** Time after a hold-up of this process in which no hedge is sent. The targets
    get at once what arrived in the hold-up, so that all replies are late;
    hedges would double that load. */
constexpr Duration kBacklogTime = std::chrono::milliseconds(250);
/** Share of the allowance for extra attempts that hedges leave to retries after
    failures. */
constexpr double kReservedForRetries = 0.25;

void
LogRefusal(const ForwardedRequest& aRequest,
           const ForwarderState& aState,
           const Problem& aProblem,
           const RequestOwner* aOwner,
           ForwarderEffects& aEffects)
{
  const std::int64_t version =
    aState.mConfiguration == nullptr
      ? 0
      : static_cast<std::int64_t>(aState.mConfiguration->mVersion.Value());
  std::vector<RecordField> fields{ { "outcome",
                                     std::string(ToText(aProblem.mKind)) },
                                   { "reason", aProblem.mMessage },
                                   { "host", aRequest.mHost },
                                   { "path", aRequest.mTarget },
                                   { "version", version } };
  if (aOwner != nullptr) {
    fields.push_back({ "organisation", aOwner->mName });
    fields.push_back({ "limit_per_second", aOwner->mLimit.mRatePerSecond });
    fields.push_back({ "limit_burst", aOwner->mLimit.mBurst });
  }
  if (aProblem.mRetryAfter) {
    fields.push_back(
      { "retry_after_ms", ToMilliseconds(*aProblem.mRetryAfter) });
  }
  aEffects.push_back(WriteDecisionRecord{ { RecordClass::kFailure,
                                            "request-refused",
                                            aRequest.mId,
                                            std::move(fields) } });
}

/** Answers a request of which nothing was sent. aOwner is null where the owner
    is not the reason. */
void
Refuse(ForwarderState& aState,
       const ForwardedRequest& aRequest,
       Problem aProblem,
       const RequestOwner* aOwner,
       ForwarderEffects& aEffects)
{
  ++aState.mCounters.mRefused;
  aState.mCounters.mUnauthorised +=
    aProblem.mKind == ProblemKind::kUnauthorised ? 1U : 0U;
  LogRefusal(aRequest, aState, aProblem, aOwner, aEffects);
  aEffects.push_back(
    AnswerRequest{ aRequest.mToken, aRequest.mId, std::move(aProblem) });
}

/** The number of shards that an answer needs. */
std::size_t
MinShards(const Route& aRoute)
{
  return static_cast<std::size_t>(std::ceil(
    aRoute.mMinCoverage * static_cast<double>(aRoute.mShards.size())));
}

void
AddSubRequests(RequestState& aRequest, RouteState& aRouteState)
{
  std::vector<ServiceId> services = aRequest.mRoute->mShards;
  if (services.empty()) {
    services.push_back(NextPart(aRouteState.mSplit, aRequest.mRoute->mParts));
  }
  for (const ServiceId service : services) {
    SubRequest subRequest;
    subRequest.mService = service;
    aRequest.mSubRequests.push_back(std::move(subRequest));
  }
  aRequest.mPending = aRequest.mSubRequests.size();
}

/** A request that arrived, with what was found for it. */
struct Admission
{
  ForwardedRequestPointer mMessage;
  const Route* mRoute = nullptr;
  RequestOwner mOwner;
  TimePoint mArrived{};
  QuotaSource mQuotaSource = QuotaSource::kNone;
  TimePoint mQuotaTaken{};
};

RequestState&
AddRequest(ForwarderState& aState, Admission aAdmission)
{
  const ForwardedRequestPointer& message = aAdmission.mMessage;
  const Route* route = aAdmission.mRoute;
  const TimePoint arrived = aAdmission.mArrived;
  RouteState& routeState = aState.mRoutes[route->mId];
  routeState.mSoftTimeout = route->mSoftTimeout;
  if (message->mCallerTimeout) {
    routeState.mLongestCallerTimeout =
      std::max(routeState.mLongestCallerTimeout, *message->mCallerTimeout);
  }
  RequestState request;
  request.mKey = RequestKey(aState.mNextRequest++);
  request.mRequest = message;
  request.mConfiguration = aState.mConfiguration;
  request.mRoute = route;
  request.mOwner = std::move(aAdmission.mOwner);
  request.mQuotaSource = aAdmission.mQuotaSource;
  request.mQuotaTaken = aAdmission.mQuotaTaken;
  request.mArrived = arrived;
  const Duration roundTrip = aState.mPolicy.mCallerRoundTrip;
  const Duration reserve =
    ReserveForAnswer(aState.mAnswerReserve, route->mShards.size(), arrived);
  request.mDeadline =
    BeforeExit(aState.mStop, DeadlineOf(aState, *message, *route, arrived));
  request.mSoftDeadline = BeforeExit(
    aState.mStop,
    SoftDeadlineOf(*message, *route, routeState, roundTrip, reserve, arrived));
  AddSubRequests(request, routeState);
  aState.mRequestOfCaller[message->mToken] = request.mKey;
  const RequestKey key = request.mKey;
  return aState.mRequests.emplace(key, std::move(request)).first->second;
}

bool
IsKnowledgeTooOld(const ForwarderState& aState,
                  const ForwardedRequest& aRequest,
                  TimePoint aNow)
{
  const Route* route =
    aState.mConfiguration == nullptr
      ? nullptr
      : FindRoute(*aState.mConfiguration, aRequest.mHost, aRequest.mTarget);
  return route != nullptr &&
         DecideKey(aState, aRequest, *route, aNow).mVerdict ==
           KeyVerdict::kKnowledgeTooOld;
}

/** What was found for a request that CheckRequest() allows. */
Admission
Admit(const ForwarderState& aState,
      const ForwardedRequestPointer& aMessage,
      TimePoint aArrived,
      TimePoint aNow)
{
  Admission admission;
  admission.mMessage = aMessage;
  admission.mArrived = aArrived;
  admission.mRoute =
    FindRoute(*aState.mConfiguration, aMessage->mHost, aMessage->mTarget);
  assert(admission.mRoute != nullptr);
  admission.mOwner = OwnerOf(
    *aState.mConfiguration,
    *admission.mRoute,
    DecideKey(aState, *aMessage, *admission.mRoute, aNow).mOrganisation);
  return admission;
}

void
Begin(ForwarderState& aState,
      const Admission& aAdmission,
      TimePoint aNow,
      ForwarderEffects& aEffects);

/** Whether a hedge at another target could still answer in time. */
bool
IsHedgeUseful(const ForwarderState& aState,
              const RequestState& aRequest,
              const TargetState& aOther,
              TimePoint aNow)
{
  const Duration expected =
    ExpectedTime(aState, aOther, aRequest.mRoute->mId, aNow);
  const bool isForSoftDeadline =
    aRequest.mRoute->IsSearch() && aNow < aRequest.mSoftDeadline;
  const TimePoint needed = isForSoftDeadline && HasMinCoverage(aRequest)
                             ? aRequest.mSoftDeadline
                             : aRequest.mDeadline;
  return aNow + expected < needed;
}

/** Sends a late sub-request to another target too, if that may run it, can
    answer in time, and the budget allows it. */
void
Hedge(ForwarderState& aState,
      RequestState& aRequest,
      std::uint32_t aSubRequest,
      TimePoint aNow,
      ForwarderEffects& aEffects)
{
  SubRequest& subRequest = aRequest.mSubRequests[aSubRequest];
  const Route& route = *aRequest.mRoute;
  Attempt& late = subRequest.mInFlight.front();
  late.mHedgeAt = TimePoint::max();
  if (!route.IsIdempotent() || subRequest.mPossibleRuns >= route.mMaxTargets) {
    return;
  }
  if (subRequest.mPossibleRuns >= aRequest.MaxTargets()) {
    late.mHedgeAt = aNow + kConfirmPoll;
    return;
  }
  const TimePoint backlogEnds = aState.mHoldUp.mEnd + kBacklogTime;
  if (aNow < backlogEnds) {
    late.mHedgeAt = backlogEnds;
    return;
  }
  TargetState* other = ChooseTarget(
    aState, aRequest, subRequest.mService, subRequest.mTriedTargets, aNow);
  if (other == nullptr || !HasUsableIdle(aState, *other, aNow, aEffects) ||
      !IsHedgeUseful(aState, aRequest, *other, aNow)) {
    // Tried again later: a connection may be idle by then.
    late.mHedgeAt = aNow + kMoveAfter;
    return;
  }
  const bool isAllowed =
    MayStartExtraAttempt(aState.mBudgets[subRequest.mService],
                         aState.mPolicy.mExtraAttemptRule,
                         FleetSize(aState, aNow),
                         kReservedForRetries,
                         aNow);
  if (!isAllowed) {
    ++aState.mCounters.mExtraAttemptsDenied;
    LogSubRequest(aState,
                  aRequest,
                  subRequest,
                  "hedge-denied",
                  late.mTarget,
                  aNow,
                  aEffects);
    return;
  }
  ++aRequest.mHedges;
  ++aState.mCounters.mHedges;
  LogSubRequest(aState,
                aRequest,
                subRequest,
                "sub-request-hedged",
                late.mTarget,
                aNow,
                aEffects);
  CountSend(*other, aNow);
  SendSubRequest(aState, aRequest, aSubRequest, *other, aNow, aEffects);
}

/** Sends a waiting sub-request to another target that has an idle connection,
    if there is one. */
void
MoveSubRequest(ForwarderState& aState,
               RequestState& aRequest,
               std::uint32_t aSubRequest,
               TimePoint aNow,
               ForwarderEffects& aEffects)
{
  SubRequest& subRequest = aRequest.mSubRequests[aSubRequest];
  std::vector<TargetKey> excluded = subRequest.mTriedTargets;
  excluded.push_back(subRequest.mAwaitedTarget);
  TargetState* other =
    ChooseTarget(aState, aRequest, subRequest.mService, excluded, aNow);
  if (other != nullptr && HasUsableIdle(aState, *other, aNow, aEffects)) {
    subRequest.mAwaitedTarget = TargetKey{};
    CountSend(*other, aNow);
    SendSubRequest(aState, aRequest, aSubRequest, *other, aNow, aEffects);
  }
}

void
ReviewSubRequest(ForwarderState& aState,
                 RequestState& aRequest,
                 std::uint32_t aSubRequest,
                 TimePoint aNow,
                 ForwarderEffects& aEffects)
{
  SubRequest& subRequest = aRequest.mSubRequests[aSubRequest];
  if (subRequest.mStatus != SubRequestStatus::kPending) {
    return;
  }
  if (subRequest.mDispatchAt != TimePoint::max()) {
    if (aNow >= subRequest.mDispatchAt) {
      subRequest.mDispatchAt = TimePoint::max();
      if (!DispatchSubRequest(aState, aRequest, aSubRequest, aNow, aEffects)) {
        FailSubRequest(aRequest, aSubRequest);
      }
    }
  } else if (subRequest.mAwaitedTarget != TargetKey{}) {
    if (aNow >= subRequest.mWaitingSince + kMoveAfter) {
      MoveSubRequest(aState, aRequest, aSubRequest, aNow, aEffects);
    }
  } else if (subRequest.mInFlight.size() == 1 &&
             aNow >= subRequest.mInFlight.front().mHedgeAt) {
    Hedge(aState, aRequest, aSubRequest, aNow, aEffects);
  }
}

/** When the request's next step may be due. */
TimePoint
NextReview(const RequestState& aRequest, TimePoint aNow)
{
  TimePoint next = std::min(aRequest.mDeadline, NextSubSearchReview(aRequest));
  if (aRequest.mRoute->IsSearch() && aNow < aRequest.mSoftDeadline) {
    next = std::min(next, aRequest.mSoftDeadline);
  }
  for (const SubRequest& subRequest : aRequest.mSubRequests) {
    if (subRequest.mStatus != SubRequestStatus::kPending) {
      continue;
    }
    if (subRequest.mDispatchAt != TimePoint::max()) {
      next = std::min(next, subRequest.mDispatchAt);
    } else if (subRequest.mAwaitedTarget != TargetKey{}) {
      next =
        std::min(next, std::max(subRequest.mWaitingSince, aNow) + kMoveAfter);
    } else if (subRequest.mInFlight.size() == 1) {
      next = std::min(next, subRequest.mInFlight.front().mHedgeAt);
    }
  }
  return next;
}

} // namespace

void
ArmReview(ForwarderState& aState, RequestState& aRequest, TimePoint aNow)
{
  const TimePoint next = NextReview(aRequest, aNow);
  if (next < aRequest.mReviewAt) {
    aRequest.mReviewAt = next;
    aState.mTimers.Arm(next, ForwarderTimer::kReview, aRequest.mKey.Value());
  }
}

void
HandleRequestArrived(ForwarderState& aState,
                     const RequestArrived& aEvent,
                     TimePoint aNow,
                     ForwarderEffects& aEffects)
{
  ++aState.mCounters.mRequests;
  const ForwardedRequest& message = *aEvent.mRequest;
  if (auto problem = CheckRequest(aState, message, aNow)) {
    aState.mCounters.mKnowledgeTooOld +=
      IsKnowledgeTooOld(aState, message, aNow) ? 1U : 0U;
    Refuse(aState, message, std::move(*problem), nullptr, aEffects);
    return;
  }
  Admission admission = Admit(aState, aEvent.mRequest, aNow, aNow);
  const QuotaDecision quota =
    TakeQuota(aState,
              WaitingRequest{ aEvent.mRequest, admission.mOwner, aNow },
              aNow,
              aEffects);
  if (quota.mOutcome == QuotaOutcome::kGranted) {
    admission.mQuotaSource = quota.mSource;
    admission.mQuotaTaken = aNow;
    Begin(aState, admission, aNow, aEffects);
  } else if (quota.mOutcome == QuotaOutcome::kWaits) {
    ++aState.mCounters.mWaitedForQuota;
  } else {
    RefuseForQuota(aState, message, admission.mOwner, quota, aEffects);
  }
}

OrganisationLimit
LimitOf(const ForwarderState& aState, OrganisationId aOrganisation)
{
  if (aState.mConfiguration == nullptr ||
      !aState.mConfiguration->mOrganisations) {
    return {};
  }
  const Organisation* organisation =
    aState.mConfiguration->mOrganisations->Find(aOrganisation);
  return organisation == nullptr ? OrganisationLimit{} : organisation->mLimit;
}

void
RefuseForQuota(ForwarderState& aState,
               const ForwardedRequest& aRequest,
               const RequestOwner& aOwner,
               const QuotaDecision& aDecision,
               ForwarderEffects& aEffects)
{
  if (aDecision.mOutcome == QuotaOutcome::kUsedUp) {
    ++aState.mCounters.mOverQuota;
    Refuse(aState,
           aRequest,
           Problem{ ProblemKind::kOverQuota,
                    "the quota of the caller's organisation is used up",
                    "retry the request after the time given",
                    aDecision.mRetryAfter },
           &aOwner,
           aEffects);
    return;
  }
  ++aState.mCounters.mQuotaUnavailable;
  Problem problem = NotRunProblem("no VM grants the quota of the caller's "
                                  "organisation now",
                                  aDecision.mRetryAfter);
  // Another VM may hold quota, or reach the VM that grants it.
  problem.mClosesConnection = true;
  Refuse(aState, aRequest, std::move(problem), &aOwner, aEffects);
}

void
AdmitWithQuota(ForwarderState& aState,
               const WaitingRequest& aRequest,
               QuotaSource aSource,
               TimePoint aNow,
               ForwarderEffects& aEffects)
{
  // The configuration may have changed while it waited.
  const ForwardedRequest& message = *aRequest.mRequest;
  if (auto problem = CheckRequest(aState, message, aNow)) {
    TakeBackQuota(aState, aRequest.mOwner.mId, aSource, aNow, aNow);
    Refuse(aState, message, std::move(*problem), nullptr, aEffects);
    return;
  }
  Admission admission =
    Admit(aState, aRequest.mRequest, aRequest.mArrived, aNow);
  admission.mQuotaSource = aSource;
  admission.mQuotaTaken = aNow;
  Begin(aState, admission, aNow, aEffects);
}

namespace {

void
Begin(ForwarderState& aState,
      const Admission& aAdmission,
      TimePoint aNow,
      ForwarderEffects& aEffects)
{
  RequestState& request = AddRequest(aState, aAdmission);
  SendSubSearches(aState, request, aNow, aEffects);
  std::vector<std::uint32_t> undispatched;
  for (std::uint32_t subRequest = 0; subRequest < request.mSubRequests.size();
       ++subRequest) {
    if (request.mSubRequests[subRequest].mIsAtShardOwner) {
      continue;
    }
    CountRequest(aState.mBudgets[request.mSubRequests[subRequest].mService],
                 aState.mPolicy.mExtraAttemptRule,
                 aNow);
    if (!DispatchSubRequest(aState, request, subRequest, aNow, aEffects)) {
      undispatched.push_back(subRequest);
    }
  }
  AwaitPausesOrFail(
    aState, request, undispatched, MinShards(*request.mRoute), aNow);
  ArmReview(aState, request, aNow);
  AnswerIfDue(aState, request, aNow, aEffects);
}

} // namespace

void
AwaitPausesOrFail(const ForwarderState& aState,
                  RequestState& aRequest,
                  const std::vector<std::uint32_t>& aSubRequests,
                  std::size_t aMinShards,
                  TimePoint aNow)
{
  std::vector<std::pair<Duration, std::uint32_t>> waits;
  for (const std::uint32_t index : aSubRequests) {
    const RoomWait wait =
      WaitForRoom(aState, aRequest.mSubRequests[index].mService, aNow);
    const bool mayWait =
      aRequest.mRoute->IsSearch() &&
      MayAwaitRoom(
        aState, aRequest.mRoute->mId, wait, aRequest.mDeadline, aNow);
    if (mayWait) {
      waits.emplace_back(wait.mTime, index);
    } else {
      FailSubRequest(aRequest, index);
    }
  }
  std::sort(waits.begin(), waits.end());
  // The shards that do not wait come first, then those with short pauses.
  std::size_t expected = aRequest.mAnswered + aRequest.mPending - waits.size();
  for (const auto& [wait, index] : waits) {
    if (expected < aMinShards) {
      aRequest.mSubRequests[index].mDispatchAt = aNow + wait;
      ++expected;
    } else {
      FailSubRequest(aRequest, index);
    }
  }
}

void
HandleCallerDisconnected(ForwarderState& aState,
                         const ForwarderCallerDisconnected& aEvent,
                         TimePoint aNow,
                         ForwarderEffects& aEffects)
{
  if (RemoveWaitingRequest(aState, aEvent.mToken)) {
    ++aState.mCounters.mCallersDisconnected;
    return;
  }
  const auto found = aState.mRequestOfCaller.find(aEvent.mToken);
  if (found == aState.mRequestOfCaller.end()) {
    return;
  }
  ++aState.mCounters.mCallersDisconnected;
  const RequestKey key = found->second;
  aState.mRequestOfCaller.erase(found);
  RequestState request = std::move(aState.mRequests.at(key));
  aState.mRequests.erase(key);
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kNotable,
      "caller-disconnected",
      request.mRequest->mId,
      { { "route", request.mRoute->mName },
        { "pending", static_cast<std::int64_t>(request.mPending) } } } });
  // Closing the connection makes a target stop its work. A request that may run
  // only once is left to finish.
  if (!request.mRoute->IsIdempotent()) {
    AbandonAttempts(aState, request, aNow);
    return;
  }
  CancelSentSubSearches(aState, request, true, aNow, aEffects);
  CloseAttemptConnections(aState, request, aNow, aEffects);
}

void
CloseAttemptConnections(ForwarderState& aState,
                        const RequestState& aRequest,
                        TimePoint aNow,
                        ForwarderEffects& aEffects)
{
  for (const SubRequest& subRequest : aRequest.mSubRequests) {
    for (const Attempt& attempt : subRequest.mInFlight) {
      CloseTargetConnection(aState, attempt.mConnection, aEffects);
      HandleConnectionRemoved(aState, attempt.mTarget, aNow, aEffects);
    }
  }
}

bool
DispatchSubRequest(ForwarderState& aState,
                   RequestState& aRequest,
                   std::uint32_t aSubRequest,
                   TimePoint aNow,
                   ForwarderEffects& aEffects)
{
  // Its caller is answered now and cannot use what it would run for.
  if (aNow >= aRequest.mDeadline) {
    return false;
  }
  SubRequest& subRequest = aRequest.mSubRequests[aSubRequest];
  const RouteId route = aRequest.mRoute->mId;
  TargetState* target = ChooseTarget(
    aState, aRequest, subRequest.mService, subRequest.mTriedTargets, aNow);
  if (target == nullptr) {
    return false;
  }
  if (HasUsableIdle(aState, *target, aNow, aEffects)) {
    CountSend(*target, aNow);
    SendSubRequest(aState, aRequest, aSubRequest, *target, aNow, aEffects);
    return true;
  }
  if (!IsConnectable(aState, *target, aNow)) {
    // Its last connection was closed just now: another target may take it.
    return DispatchSubRequest(aState, aRequest, aSubRequest, aNow, aEffects);
  }
  const bool isInTime =
    aNow + ExpectedTime(aState, *target, route, aNow) < aRequest.mDeadline;
  if (!isInTime) {
    return false;
  }
  CountSend(*target, aNow);
  subRequest.mAwaitedTarget = target->mKey;
  subRequest.mWaitingSince = aNow;
  target->mWaiting.push_back(SubRequestRef{ aRequest.mKey, aSubRequest });
  OpenForWaiting(aState, *target, aNow, aEffects);
  return true;
}

void
ReviewRequest(ForwarderState& aState,
              RequestKey aRequest,
              TimePoint aNow,
              ForwarderEffects& aEffects)
{
  const auto found = aState.mRequests.find(aRequest);
  if (found == aState.mRequests.end() || aNow < found->second.mReviewAt) {
    return;
  }
  RequestState& request = found->second;
  request.mReviewAt = TimePoint::max();
  // A sub-search continues after its first report.
  const bool isOver =
    request.mOrigin ? aNow >= request.mDeadline : IsAnswerDue(request, aNow);
  if (!isOver) {
    ReviewSentSubSearches(aState, request, aNow, aEffects);
    for (std::uint32_t subRequest = 0; subRequest < request.mSubRequests.size();
         ++subRequest) {
      ReviewSubRequest(aState, request, subRequest, aNow, aEffects);
    }
    ArmReview(aState, request, aNow);
  }
  AnswerIfDue(aState, request, aNow, aEffects);
}

void
SendWaitingSubRequests(ForwarderState& aState,
                       TargetKey aTarget,
                       TimePoint aNow,
                       ForwarderEffects& aEffects)
{
  const auto found = aState.mTargets.find(aTarget);
  if (found == aState.mTargets.end()) {
    return;
  }
  TargetState& target = found->second;
  while (HasUsableIdle(aState, target, aNow, aEffects)) {
    const auto next = TakeNextWaitingSubRequest(aState, target);
    if (!next) {
      return;
    }
    RequestState& request = aState.mRequests.at(next->mRequest);
    if (aNow >= request.mDeadline) {
      AnswerIfDue(aState, request, aNow, aEffects);
      continue;
    }
    request.mSubRequests[next->mIndex].mAwaitedTarget = TargetKey{};
    SendSubRequest(aState, request, next->mIndex, target, aNow, aEffects);
    ArmReview(aState, request, aNow);
  }
}

void
MoveWaitingSubRequests(ForwarderState& aState,
                       TargetKey aTarget,
                       TimePoint aNow,
                       ForwarderEffects& aEffects)
{
  std::deque<SubRequestRef> waiting;
  waiting.swap(aState.mTargets.at(aTarget).mWaiting);
  for (const SubRequestRef& reference : waiting) {
    const auto request = aState.mRequests.find(reference.mRequest);
    if (request == aState.mRequests.end()) {
      continue;
    }
    SubRequest& subRequest = request->second.mSubRequests[reference.mIndex];
    if (subRequest.mStatus != SubRequestStatus::kPending ||
        subRequest.mAwaitedTarget != aTarget) {
      continue;
    }
    subRequest.mAwaitedTarget = TargetKey{};
    if (!DispatchSubRequest(
          aState, request->second, reference.mIndex, aNow, aEffects)) {
      FailSubRequest(request->second, reference.mIndex);
    }
    ArmReview(aState, request->second, aNow);
    AnswerIfDue(aState, request->second, aNow, aEffects);
  }
}

} // namespace wasabispread::forwarding
