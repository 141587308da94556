/*
 * Both sides of a sub-search.
 */
#include "SubSearches.h"

#include "RequestSteps.h"

#include <algorithm>
#include <map>

namespace wasabispread::forwarding {

namespace {

/** An owner in the same zone says sooner than this that it began, even with a
    tenth of a core: longer, and too little of a search's aim would be left. */
constexpr Duration kAcknowledgeTime = std::chrono::milliseconds(30);
/** A timer that fires later than this shows that the VM was held up, and an
    answer that came meanwhile is read within the time below. */
constexpr Duration kLateTimer = std::chrono::milliseconds(5);
constexpr Duration kReadTime = std::chrono::milliseconds(10);
/** How much earlier than the aim an owner reports, so that its parts are here
    by then. */
constexpr Duration kReportLead = std::chrono::milliseconds(4);
/** A VM that did not answer is given no shards for this long; then it may
    have been restarted. */
constexpr Duration kSuspicion = std::chrono::seconds(3);
/** How long an owner's word that it is cut off holds: until the balancer has
    asked twice. */
constexpr Duration kCutOffHolds = std::chrono::milliseconds(2500);

void
Suspect(ForwarderState& aState,
        const std::string& aVm,
        const char* aReason,
        TimePoint aNow,
        ForwarderEffects& aEffects)
{
  const auto place = aState.mFleet.mMembers.find(aVm);
  if (place == aState.mFleet.mMembers.end() ||
      aNow < place->second.mSuspectUntil) {
    return;
  }
  place->second.mSuspectUntil = aNow + kSuspicion;
  aState.mTimers.Arm(aNow + kSuspicion, ForwarderTimer::kFleetSettled);
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kState,
      "owner-avoided",
      {},
      { { "owner", aVm }, { "reason", std::string(aReason) } } } });
  RefreshAssignments(aState, aNow, aEffects);
}

/** Queries a delegate's open shards from here, as far as the targets at which
    they may have run leave room. */
void
TakeBack(ForwarderState& aState,
         RequestState& aRequest,
         Delegate& aDelegate,
         bool aWasRefused,
         TimePoint aNow,
         ForwarderEffects& aEffects)
{
  // Before its word was confirmed, an owner sends a shard to one target;
  // after it, perhaps to as many as may run it.
  const unsigned most = aRequest.mRoute->mMaxTargets;
  const unsigned runsThere = aDelegate.mHasBegun ? most : 1;
  aDelegate.mIsOver = true;
  aState.mSubSearches.erase(aDelegate.mSequence);
  std::int64_t placed = 0;
  for (const std::uint32_t index : aDelegate.mLegs) {
    Leg& leg = aRequest.mLegs[index];
    if (leg.mStatus != LegStatus::kPending) {
      continue;
    }
    WindowedExtraAttemptBudget& budget = aState.mBudgets[leg.mService];
    const ExtraAttemptRule& rule = aState.mPolicy.mExtraAttemptRule;
    const bool isAllowed =
      aWasRefused || MayRepeat(budget, rule, FleetSize(aState, aNow), 0, aNow);
    leg.mIsDelegated = false;
    leg.mRuns = aWasRefused ? 0 : runsThere;
    if (!isAllowed || leg.mRuns >= most ||
        !PlaceLeg(aState, aRequest, index, aNow, aEffects)) {
      FailLeg(aRequest, index);
      continue;
    }
    ++placed;
    if (aWasRefused) {
      CountRequest(budget, rule, aNow);
    } else {
      CountRepeat(budget, rule, aNow);
    }
  }
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kNotable,
      "sub-search-reclaimed",
      aRequest.mRequest->mId,
      { { "owner", aDelegate.mVm },
        { "age_ms", ToMilliseconds(aNow - aRequest.mArrived) },
        { "shards", static_cast<std::int64_t>(aDelegate.mLegs.size()) },
        { "reassigned", placed } } } });
  ArmReview(aState, aRequest, aNow);
}

SubSearch
FormatSubSearch(const RequestState& aRequest,
                const Delegate& aDelegate,
                TimePoint aNow)
{
  const ForwardedRequest& request = *aRequest.mRequest;
  SubSearch search;
  search.mSequence = aDelegate.mSequence;
  search.mRequestId = request.mId;
  search.mMethod = request.mMessage.mMethod;
  search.mTarget = request.mMessage.mTarget;
  for (const HttpHeader& header : request.mMessage.mHeaders) {
    search.mFields.push_back({ header.mName, header.mValue });
  }
  search.mBody = request.mMessage.mBody;
  search.mRoute = aRequest.mRoute->mId.Value();
  for (const std::uint32_t leg : aDelegate.mLegs) {
    search.mShards.push_back(aRequest.mLegs[leg].mService);
  }
  search.mTopRecords = static_cast<std::uint32_t>(aRequest.mRoute->mTopRecords);
  search.mMaxTargets = aRequest.mRoute->mMaxTargets;
  const Duration patience = aRequest.mDeadline - aNow;
  search.mSoftTimeout = aRequest.mAimAt == TimePoint::max()
                          ? patience
                          : aRequest.mAimAt - aNow - kReportLead;
  search.mCallerTimeout = patience;
  return search;
}

/** The request behind a delegate's sequence; null when it is over. */
RequestState*
FindAsker(ForwarderState& aState, const SubSearchRef& aPlace)
{
  const auto request = aState.mRequests.find(aPlace.mRequest);
  return request == aState.mRequests.end() ? nullptr : &request->second;
}

/** Takes what an owner found. */
void
AcceptParts(RequestState& aRequest,
            const Delegate& aDelegate,
            const SubSearchReply& aReply)
{
  for (std::size_t part = 0; part < aReply.mShards.size(); ++part) {
    const std::uint32_t position = aReply.mShards[part];
    if (position >= aDelegate.mLegs.size()) {
      continue;
    }
    Leg& leg = aRequest.mLegs[aDelegate.mLegs[position]];
    if (leg.mStatus != LegStatus::kPending) {
      continue;
    }
    Reply reply;
    reply.mKind = ReplyKind::kSuccess;
    reply.mSignature = aReply.mSignatures[part];
    leg.mReply = std::make_shared<const Reply>(std::move(reply));
    leg.mStatus = LegStatus::kAnswered;
    ++aRequest.mAnswered;
    --aRequest.mPending;
  }
  if (!aReply.mRecords.empty()) {
    aRequest.mDelegatedRecords.push_back(aReply.mRecords);
  }
}

void
LogReport(const RequestState& aRequest,
          TimePoint aNow,
          ForwarderEffects& aEffects)
{
  const bool isComplete = aRequest.mAnswered == aRequest.mLegs.size();
  aEffects.push_back(WriteDecisionRecord{
    { isComplete ? RecordClass::kRoutine : RecordClass::kFailure,
      "sub-search-answered",
      aRequest.mRequest->mId,
      { { "for_vm", ToText(aRequest.mOrigin->mAddress) },
        { "took_ms", ToMilliseconds(aNow - aRequest.mArrived) },
        { "answered", static_cast<std::int64_t>(aRequest.mAnswered) },
        { "sub_requests", static_cast<std::int64_t>(aRequest.mLegs.size()) },
        { "hedges", static_cast<std::int64_t>(aRequest.mHedges) },
        { "retries", static_cast<std::int64_t>(aRequest.mRetries) } } } });
}

/** Ends the work for another VM. */
void
EndSubSearch(ForwarderState& aState,
             RequestKey aKey,
             bool aIsCallerGone,
             TimePoint aNow,
             ForwarderEffects& aEffects)
{
  const auto place = aState.mRequests.find(aKey);
  if (place == aState.mRequests.end()) {
    return;
  }
  RequestState request = std::move(place->second);
  aState.mRequests.erase(place);
  aState.mSearchesForVms.erase(
    { request.mOrigin->mVm, request.mOrigin->mSequence });
  LogReport(request, aNow, aEffects);
  if (aIsCallerGone) {
    CloseSendings(aState, request, aNow, aEffects);
  } else {
    AbandonSendings(aState, request, aNow);
  }
}

} // namespace

void
DelegateLegs(ForwarderState& aState,
             RequestState& aRequest,
             TimePoint aNow,
             ForwarderEffects& aEffects)
{
  if (!IsWorthDelegating(aRequest.mLegs.size())) {
    return;
  }
  std::map<std::string, Delegate> delegates;
  for (std::uint32_t index = 0; index < aRequest.mLegs.size(); ++index) {
    Leg& leg = aRequest.mLegs[index];
    if (IsOwn(aState, leg.mService)) {
      continue;
    }
    leg.mIsDelegated = true;
    delegates[aState.mShardOwnership.OwnerOf(leg.mService)].mLegs.push_back(
      index);
  }
  for (auto& [vm, delegate] : delegates) {
    delegate.mVm = vm;
    delegate.mSequence = aState.mNextSubSearch++;
    delegate.mSent = aNow;
    const Endpoint address = aState.mFleet.mMembers.at(vm).mRecord.mAddress;
    aState.mSubSearches[delegate.mSequence] =
      SubSearchRef{ aRequest.mKey, aRequest.mDelegates.size() };
    aEffects.push_back(
      SendPeerMessage{ IdFromName<VmId>(vm),
                       address,
                       FormatSubSearch(aRequest, delegate, aNow) });
    ++aState.mCounters.mSubSearches;
    aRequest.mDelegates.push_back(std::move(delegate));
  }
}

TimePoint
NextDelegateReview(const RequestState& aRequest)
{
  TimePoint next = TimePoint::max();
  for (const Delegate& delegate : aRequest.mDelegates) {
    if (!delegate.mIsOver && !delegate.mHasBegun) {
      next = std::min(next, delegate.mSent + kAcknowledgeTime);
    }
  }
  return next;
}

void
ReviewDelegates(ForwarderState& aState,
                RequestState& aRequest,
                TimePoint aNow,
                ForwarderEffects& aEffects)
{
  for (Delegate& delegate : aRequest.mDelegates) {
    if (delegate.mIsOver || delegate.mHasBegun ||
        aNow < delegate.mSent + kAcknowledgeTime) {
      continue;
    }
    if (aNow > delegate.mSent + kAcknowledgeTime + kLateTimer) {
      // This VM was held up itself; the answer may wait to be read.
      delegate.mSent = aNow - kAcknowledgeTime + kReadTime;
      continue;
    }
    Suspect(aState, delegate.mVm, "no answer in time", aNow, aEffects);
    const auto member = aState.mFleet.mMembers.find(delegate.mVm);
    if (member != aState.mFleet.mMembers.end()) {
      aEffects.push_back(
        SendPeerMessage{ IdFromName<VmId>(delegate.mVm),
                         member->second.mRecord.mAddress,
                         SubSearchCancel{ delegate.mSequence, true } });
    }
    TakeBack(aState, aRequest, delegate, false, aNow, aEffects);
  }
}

void
CancelDelegates(ForwarderState& aState,
                const RequestState& aRequest,
                bool aIsCallerGone,
                ForwarderEffects& aEffects)
{
  for (const Delegate& delegate : aRequest.mDelegates) {
    if (delegate.mIsOver) {
      continue;
    }
    aState.mSubSearches.erase(delegate.mSequence);
    const auto member = aState.mFleet.mMembers.find(delegate.mVm);
    if (member != aState.mFleet.mMembers.end()) {
      aEffects.push_back(SendPeerMessage{
        IdFromName<VmId>(delegate.mVm),
        member->second.mRecord.mAddress,
        SubSearchCancel{ delegate.mSequence, aIsCallerGone } });
    }
  }
}

void
HandleSubSearchReplied(ForwarderState& aState,
                       const SubSearchReplied& aEvent,
                       TimePoint aNow,
                       ForwarderEffects& aEffects)
{
  const SubSearchReply& reply = aEvent.mReply;
  const auto place = aState.mSubSearches.find(reply.mSequence);
  if (place == aState.mSubSearches.end()) {
    return;
  }
  const SubSearchRef reference = place->second;
  RequestState* request = FindAsker(aState, reference);
  if (request == nullptr) {
    aState.mSubSearches.erase(place);
    return;
  }
  Delegate& delegate = request->mDelegates[reference.mDelegate];
  if (reply.mIsIsolated) {
    aState.mShardOwnership.mCutOffUntil = aNow + kCutOffHolds;
  }
  if (reply.mIsRefused) {
    Suspect(aState, delegate.mVm, "it refused", aNow, aEffects);
    TakeBack(aState, *request, delegate, true, aNow, aEffects);
    AnswerIfDue(aState, *request, aNow, aEffects);
    return;
  }
  if (!delegate.mHasBegun) {
    delegate.mHasBegun = true;
    aEffects.push_back(SendPeerMessage{
      aEvent.mVm, aEvent.mAddress, SubSearchConfirm{ reply.mSequence } });
  }
  AcceptParts(*request, delegate, reply);
  if (reply.mIsLast) {
    delegate.mIsOver = true;
    aState.mSubSearches.erase(reply.mSequence);
    for (const std::uint32_t index : delegate.mLegs) {
      if (request->mLegs[index].mStatus == LegStatus::kPending) {
        FailLeg(*request, index);
      }
    }
  }
  AnswerIfDue(aState, *request, aNow, aEffects);
}

void
HandleSubSearchArrived(ForwarderState& aState,
                       const SubSearchArrived& aEvent,
                       TimePoint aNow,
                       ForwarderEffects& aEffects)
{
  const SubSearch& search = aEvent.mSearch;
  SubSearchReply began;
  began.mSequence = search.mSequence;
  began.mIsRefused = aState.mIsStopping || !aState.mStore.mIsLoaded;
  began.mIsIsolated = !began.mIsRefused && IsCutOff(aState, aNow);
  aEffects.push_back(SendPeerMessage{ aEvent.mVm, aEvent.mAddress, began });
  if (began.mIsRefused) {
    return;
  }
  auto route = std::make_shared<Route>();
  route->mId = RouteId(search.mRoute);
  route->mName = "of another VM";
  route->mRepeatability = Repeatability::kIdempotent;
  route->mMaxTargets = search.mMaxTargets;
  route->mTopRecords = search.mTopRecords;
  route->mShards = search.mShards;
  RequestState request;
  request.mKey = RequestKey(aState.mNextRequest++);
  request.mRequest = aEvent.mRequest;
  request.mConfiguration = aState.mConfiguration;
  request.mOwnRoute = route;
  request.mRoute = route.get();
  request.mArrived = aNow;
  request.mAimAt = aNow + search.mSoftTimeout;
  request.mDeadline = aNow + search.mCallerTimeout;
  request.mOrigin =
    SubSearchOrigin{ aEvent.mVm, aEvent.mAddress, search.mSequence, false, {} };
  for (const ServiceId shard : search.mShards) {
    Leg leg;
    leg.mService = shard;
    request.mLegs.push_back(std::move(leg));
    CountRequest(
      aState.mBudgets[shard], aState.mPolicy.mExtraAttemptRule, aNow);
  }
  request.mPending = request.mLegs.size();
  request.mOrigin->mIsReported.resize(request.mLegs.size());
  const RequestKey key = request.mKey;
  aState.mSearchesForVms[{ aEvent.mVm, search.mSequence }] = key;
  RequestState& added =
    aState.mRequests.emplace(key, std::move(request)).first->second;
  for (std::uint32_t leg = 0; leg < added.mLegs.size(); ++leg) {
    if (!PlaceLeg(aState, added, leg, aNow, aEffects)) {
      FailLeg(added, leg);
    }
  }
  ArmReview(aState, added, aNow);
  AnswerIfDue(aState, added, aNow, aEffects);
}

void
HandleSubSearchConfirmed(ForwarderState& aState,
                         const SubSearchConfirmed& aEvent)
{
  const auto place =
    aState.mSearchesForVms.find({ aEvent.mVm, aEvent.mConfirm.mSequence });
  if (place != aState.mSearchesForVms.end()) {
    aState.mRequests.at(place->second).mOrigin->mIsConfirmed = true;
  }
}

void
HandleSubSearchCancelled(ForwarderState& aState,
                         const SubSearchCancelled& aEvent,
                         TimePoint aNow,
                         ForwarderEffects& aEffects)
{
  const auto place =
    aState.mSearchesForVms.find({ aEvent.mVm, aEvent.mCancel.mSequence });
  if (place != aState.mSearchesForVms.end()) {
    EndSubSearch(aState,
                 place->second,
                 aEvent.mCancel.mIsCallerDisconnected,
                 aNow,
                 aEffects);
  }
}

void
HandleVmLost(ForwarderState& aState,
             const VmLost& aEvent,
             TimePoint aNow,
             ForwarderEffects& aEffects)
{
  std::vector<RequestKey> forIt;
  for (const auto& [origin, key] : aState.mSearchesForVms) {
    if (origin.first == aEvent.mVm) {
      forIt.push_back(key);
    }
  }
  for (const RequestKey key : forIt) {
    EndSubSearch(aState, key, true, aNow, aEffects);
  }
  std::vector<SubSearchRef> atIt;
  for (const auto& [sequence, reference] : aState.mSubSearches) {
    const RequestState* request = FindAsker(aState, reference);
    if (request != nullptr &&
        IdFromName<VmId>(request->mDelegates[reference.mDelegate].mVm) ==
          aEvent.mVm) {
      atIt.push_back(reference);
    }
  }
  for (const SubSearchRef& reference : atIt) {
    RequestState* request = FindAsker(aState, reference);
    if (request == nullptr ||
        request->mDelegates[reference.mDelegate].mIsOver) {
      continue;
    }
    Delegate& delegate = request->mDelegates[reference.mDelegate];
    Suspect(aState, delegate.mVm, "its connection broke", aNow, aEffects);
    TakeBack(aState, *request, delegate, false, aNow, aEffects);
    AnswerIfDue(aState, *request, aNow, aEffects);
  }
}

void
ReportIfDue(ForwarderState& aState,
            RequestState& aRequest,
            TimePoint aNow,
            ForwarderEffects& aEffects)
{
  SubSearchOrigin& origin = *aRequest.mOrigin;
  const bool isOver = aRequest.mPending == 0 || aNow >= aRequest.mDeadline;
  if (!isOver && aNow < aRequest.mAimAt) {
    return;
  }
  SubSearchReply reply;
  reply.mSequence = origin.mSequence;
  reply.mIsLast = isOver;
  std::vector<std::string_view> bodies;
  for (std::uint32_t index = 0; index < aRequest.mLegs.size(); ++index) {
    const Leg& leg = aRequest.mLegs[index];
    if (leg.mStatus == LegStatus::kAnswered && !origin.mIsReported[index]) {
      origin.mIsReported[index] = true;
      reply.mShards.push_back(index);
      reply.mSignatures.push_back(leg.mReply->mSignature);
      bodies.push_back(leg.mReply->mMessage.mBody);
    }
  }
  if (!isOver && reply.mShards.empty()) {
    return;
  }
  reply.mRecords = GreatestRecords(bodies, aRequest.mRoute->mTopRecords);
  aEffects.push_back(
    SendPeerMessage{ origin.mVm, origin.mAddress, std::move(reply) });
  if (isOver) {
    EndSubSearch(aState, aRequest.mKey, false, aNow, aEffects);
  }
}

} // namespace wasabispread::forwarding
