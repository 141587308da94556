/*
 * Arrival, placing and review of requests.
 */
#include "RequestSteps.h"

#include "SubSearches.h"

#include <algorithm>
#include <cassert>

namespace wasabispread::forwarding {

namespace {

/** A leg that waits for a connection looks for a free one elsewhere after
    this time, about a handshake's. */
constexpr Duration kMoveAfter = std::chrono::milliseconds(8);
/** How soon a late leg of an unconfirmed sub-search is looked at again. */
constexpr Duration kConfirmPoll = std::chrono::milliseconds(3);
/** The part of the allowance for repeats that hedges leave to retries after
    failures. */
constexpr double kKeptForRetries = 0.25;

void
LogRefusal(const RequestArrived& aEvent,
           const ForwarderState& aState,
           const Problem& aProblem,
           ForwarderEffects& aEffects)
{
  const std::int64_t version =
    aState.mConfiguration == nullptr
      ? 0
      : static_cast<std::int64_t>(aState.mConfiguration->mVersion.Value());
  std::vector<RecordField> fields{ { "outcome",
                                     std::string(ToText(aProblem.mKind)) },
                                   { "reason", aProblem.mMessage },
                                   { "host", aEvent.mRequest->mHost },
                                   { "path", aEvent.mRequest->mTarget },
                                   { "version", version } };
  if (aProblem.mRetryAfter) {
    fields.push_back(
      { "retry_after_ms", ToMilliseconds(*aProblem.mRetryAfter) });
  }
  aEffects.push_back(WriteDecisionRecord{ { RecordClass::kFailure,
                                            "request-refused",
                                            aEvent.mRequest->mId,
                                            std::move(fields) } });
}

void
AddLegs(RequestState& aRequest, RouteKnowledge& aKnowledge)
{
  std::vector<ServiceId> services = aRequest.mRoute->mShards;
  if (services.empty()) {
    services.push_back(NextPart(aKnowledge.mSplit, aRequest.mRoute->mParts));
  }
  for (const ServiceId service : services) {
    Leg leg;
    leg.mService = service;
    aRequest.mLegs.push_back(std::move(leg));
  }
  aRequest.mPending = aRequest.mLegs.size();
}

RequestState&
AddRequest(ForwarderState& aState,
           const ForwardedRequestPointer& aMessage,
           TimePoint aNow)
{
  const Route* route =
    FindRoute(*aState.mConfiguration, aMessage->mHost, aMessage->mTarget);
  assert(route != nullptr);
  RouteKnowledge& knowledge = aState.mRoutes[route->mId];
  if (aMessage->mCallerTimeout) {
    knowledge.mLongestPatience =
      std::max(knowledge.mLongestPatience, *aMessage->mCallerTimeout);
  }
  RequestState request;
  request.mKey = RequestKey(aState.mNextRequest++);
  request.mRequest = aMessage;
  request.mConfiguration = aState.mConfiguration;
  request.mRoute = route;
  request.mArrived = aNow;
  const Duration roundTrip = aState.mPolicy.mCallerRoundTrip;
  request.mDeadline = DeadlineOf(*aMessage, *route, roundTrip, aNow);
  request.mAimAt = AimOf(*aMessage, *route, knowledge, roundTrip, aNow);
  AddLegs(request, knowledge);
  aState.mRequestOfCaller[aMessage->mToken] = request.mKey;
  const RequestKey key = request.mKey;
  return aState.mRequests.emplace(key, std::move(request)).first->second;
}

/** Whether a hedge at another target could still be of use. */
bool
IsHedgeUseful(const ForwarderState& aState,
              const RequestState& aRequest,
              const TargetState& aOther,
              TimePoint aNow)
{
  const Duration expected =
    ExpectedTime(aState, aOther, aRequest.mRoute->mId, aNow);
  const bool isForAim = aRequest.mRoute->IsSearch() && aNow < aRequest.mAimAt;
  const TimePoint needed = isForAim && HasLeastCoverage(aRequest)
                             ? aRequest.mAimAt
                             : aRequest.mDeadline;
  return aNow + expected < needed;
}

/** Tries another target beside the one that is late. */
void
Hedge(ForwarderState& aState,
      RequestState& aRequest,
      std::uint32_t aLeg,
      TimePoint aNow,
      ForwarderEffects& aEffects)
{
  Leg& leg = aRequest.mLegs[aLeg];
  const Route& route = *aRequest.mRoute;
  Sending& late = leg.mInFlight.front();
  late.mHedgeAt = TimePoint::max();
  if (!route.IsIdempotent() || leg.mRuns >= route.mMaxTargets) {
    return;
  }
  if (leg.mRuns >= aRequest.MostTargets()) {
    late.mHedgeAt = aNow + kConfirmPoll;
    return;
  }
  TargetState* other =
    ChooseTarget(aState, leg.mService, route.mId, leg.mTried, aNow);
  if (other == nullptr || other->mIdle.empty() ||
      !IsHedgeUseful(aState, aRequest, *other, aNow)) {
    // Looked at again after a moment: a connection may be free by then.
    late.mHedgeAt = aNow + kMoveAfter;
    return;
  }
  const bool isAllowed = MayRepeat(aState.mBudgets[leg.mService],
                                   aState.mPolicy.mExtraAttemptRule,
                                   FleetSize(aState, aNow),
                                   kKeptForRetries,
                                   aNow);
  if (!isAllowed) {
    ++aState.mCounters.mExtraAttemptsDenied;
    LogLeg(aState, aRequest, leg, "hedge-denied", late.mTarget, aNow, aEffects);
    return;
  }
  ++aRequest.mHedges;
  ++aState.mCounters.mHedges;
  LogLeg(
    aState, aRequest, leg, "sub-request-hedged", late.mTarget, aNow, aEffects);
  SendLeg(aState, aRequest, aLeg, *other, aNow, aEffects);
}

/** Takes a waiting leg to another target that can have it at once. */
void
MoveLeg(ForwarderState& aState,
        RequestState& aRequest,
        std::uint32_t aLeg,
        TimePoint aNow,
        ForwarderEffects& aEffects)
{
  Leg& leg = aRequest.mLegs[aLeg];
  std::vector<TargetKey> excluded = leg.mTried;
  excluded.push_back(leg.mWaitingAt);
  TargetState* other =
    ChooseTarget(aState, leg.mService, aRequest.mRoute->mId, excluded, aNow);
  if (other != nullptr && !other->mIdle.empty()) {
    leg.mWaitingAt = TargetKey{};
    SendLeg(aState, aRequest, aLeg, *other, aNow, aEffects);
  }
}

void
ReviewLeg(ForwarderState& aState,
          RequestState& aRequest,
          std::uint32_t aLeg,
          TimePoint aNow,
          ForwarderEffects& aEffects)
{
  Leg& leg = aRequest.mLegs[aLeg];
  if (leg.mStatus != LegStatus::kPending) {
    return;
  }
  if (leg.mWaitingAt != TargetKey{}) {
    if (aNow >= leg.mWaitingSince + kMoveAfter) {
      MoveLeg(aState, aRequest, aLeg, aNow, aEffects);
    }
  } else if (leg.mInFlight.size() == 1 &&
             aNow >= leg.mInFlight.front().mHedgeAt) {
    Hedge(aState, aRequest, aLeg, aNow, aEffects);
  }
}

/** When the request's next step may be due. */
TimePoint
NextReview(const RequestState& aRequest, TimePoint aNow)
{
  TimePoint next = std::min(aRequest.mDeadline, NextDelegateReview(aRequest));
  if (aRequest.mRoute->IsSearch() && aNow < aRequest.mAimAt) {
    next = std::min(next, aRequest.mAimAt);
  }
  for (const Leg& leg : aRequest.mLegs) {
    if (leg.mStatus != LegStatus::kPending) {
      continue;
    }
    if (leg.mWaitingAt != TargetKey{}) {
      next = std::min(next, std::max(leg.mWaitingSince, aNow) + kMoveAfter);
    } else if (leg.mInFlight.size() == 1) {
      next = std::min(next, leg.mInFlight.front().mHedgeAt);
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
  if (auto problem = CheckRequest(aState, *aEvent.mRequest, aNow)) {
    ++aState.mCounters.mRefused;
    LogRefusal(aEvent, aState, *problem, aEffects);
    aEffects.push_back(AnswerRequest{
      aEvent.mRequest->mToken, aEvent.mRequest->mId, std::move(*problem) });
    return;
  }
  RequestState& request = AddRequest(aState, aEvent.mRequest, aNow);
  DelegateLegs(aState, request, aNow, aEffects);
  for (std::uint32_t leg = 0; leg < request.mLegs.size(); ++leg) {
    if (request.mLegs[leg].mIsDelegated) {
      continue;
    }
    CountRequest(aState.mBudgets[request.mLegs[leg].mService],
                 aState.mPolicy.mExtraAttemptRule,
                 aNow);
    if (!PlaceLeg(aState, request, leg, aNow, aEffects)) {
      FailLeg(request, leg);
    }
  }
  ArmReview(aState, request, aNow);
  AnswerIfDue(aState, request, aNow, aEffects);
}

void
HandleCallerLeft(ForwarderState& aState,
                 const ForwarderCallerDisconnected& aEvent,
                 TimePoint aNow,
                 ForwarderEffects& aEffects)
{
  const auto place = aState.mRequestOfCaller.find(aEvent.mToken);
  if (place == aState.mRequestOfCaller.end()) {
    return;
  }
  ++aState.mCounters.mCallersDisconnected;
  const RequestKey key = place->second;
  aState.mRequestOfCaller.erase(place);
  RequestState request = std::move(aState.mRequests.at(key));
  aState.mRequests.erase(key);
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kNotable,
      "caller-disconnected",
      request.mRequest->mId,
      { { "route", request.mRoute->mName },
        { "pending", static_cast<std::int64_t>(request.mPending) } } } });
  // Closing the connection makes a target drop the work; an action that may
  // run once only is left to finish.
  if (!request.mRoute->IsIdempotent()) {
    AbandonSendings(aState, request, aNow);
    return;
  }
  CancelDelegates(aState, request, true, aEffects);
  CloseSendings(aState, request, aNow, aEffects);
}

void
CloseSendings(ForwarderState& aState,
              const RequestState& aRequest,
              TimePoint aNow,
              ForwarderEffects& aEffects)
{
  for (const Leg& leg : aRequest.mLegs) {
    for (const Sending& sending : leg.mInFlight) {
      CloseTargetConnection(aState, sending.mConnection, aEffects);
      AfterConnectionGone(aState, sending.mTarget, aNow, aEffects);
    }
  }
}

bool
PlaceLeg(ForwarderState& aState,
         RequestState& aRequest,
         std::uint32_t aLeg,
         TimePoint aNow,
         ForwarderEffects& aEffects)
{
  Leg& leg = aRequest.mLegs[aLeg];
  const RouteId route = aRequest.mRoute->mId;
  TargetState* target =
    ChooseTarget(aState, leg.mService, route, leg.mTried, aNow);
  if (target == nullptr) {
    return false;
  }
  if (!target->mIdle.empty()) {
    SendLeg(aState, aRequest, aLeg, *target, aNow, aEffects);
    return true;
  }
  const bool isInTime =
    aNow + ExpectedTime(aState, *target, route, aNow) < aRequest.mDeadline;
  if (!isInTime) {
    return false;
  }
  leg.mWaitingAt = target->mKey;
  leg.mWaitingSince = aNow;
  target->mWaiting.push_back(LegRef{ aRequest.mKey, aLeg });
  const auto opening = target->mConnections.size() - target->BusyCount(aState) -
                       target->mIdle.size();
  if (opening < target->mWaiting.size() && MayConnect(aState, *target, aNow)) {
    OpenTargetConnection(aState, *target, aNow, aEffects);
  }
  return true;
}

void
ReviewRequest(ForwarderState& aState,
              RequestKey aRequest,
              TimePoint aNow,
              ForwarderEffects& aEffects)
{
  const auto place = aState.mRequests.find(aRequest);
  if (place == aState.mRequests.end() || aNow < place->second.mReviewAt) {
    return;
  }
  RequestState& request = place->second;
  request.mReviewAt = TimePoint::max();
  // A sub-search goes on after its first report.
  if (request.mOrigin || !IsAnswerDue(request, aNow)) {
    ReviewDelegates(aState, request, aNow, aEffects);
    for (std::uint32_t leg = 0; leg < request.mLegs.size(); ++leg) {
      ReviewLeg(aState, request, leg, aNow, aEffects);
    }
    ArmReview(aState, request, aNow);
  }
  AnswerIfDue(aState, request, aNow, aEffects);
}

void
ServeWaiting(ForwarderState& aState,
             TargetKey aTarget,
             TimePoint aNow,
             ForwarderEffects& aEffects)
{
  const auto place = aState.mTargets.find(aTarget);
  if (place == aState.mTargets.end()) {
    return;
  }
  TargetState& target = place->second;
  while (!target.mIdle.empty()) {
    const auto next = TakeNextWaiting(aState, target);
    if (!next) {
      return;
    }
    RequestState& request = aState.mRequests.at(next->mRequest);
    request.mLegs[next->mLeg].mWaitingAt = TargetKey{};
    SendLeg(aState, request, next->mLeg, target, aNow, aEffects);
    ArmReview(aState, request, aNow);
  }
}

void
MoveWaiting(ForwarderState& aState,
            TargetKey aTarget,
            TimePoint aNow,
            ForwarderEffects& aEffects)
{
  std::deque<LegRef> waiting;
  waiting.swap(aState.mTargets.at(aTarget).mWaiting);
  for (const LegRef& place : waiting) {
    const auto request = aState.mRequests.find(place.mRequest);
    if (request == aState.mRequests.end()) {
      continue;
    }
    Leg& leg = request->second.mLegs[place.mLeg];
    if (leg.mStatus != LegStatus::kPending || leg.mWaitingAt != aTarget) {
      continue;
    }
    leg.mWaitingAt = TargetKey{};
    if (!PlaceLeg(aState, request->second, place.mLeg, aNow, aEffects)) {
      FailLeg(request->second, place.mLeg);
    }
    ArmReview(aState, request->second, aNow);
    AnswerIfDue(aState, request->second, aNow, aEffects);
  }
}

} // namespace wasabispread::forwarding
