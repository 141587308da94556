/*
 * Both sides of a sub-search: the VM that sends it and the shard owner that
 * runs it.
 */
#include "SubSearches.h"

#include "RequestSteps.h"

#include <algorithm>
#include <map>

namespace wasabispread::forwarding {

namespace {

/** Time, beyond its usual one, within which a shard owner must acknowledge a
    sub-search. An owner in the same zone acknowledges sooner, even with a tenth
    of a processor core; a longer wait would leave too little of a search's soft
    timeout. */
constexpr Duration kAcknowledgeTime = std::chrono::milliseconds(30);
/** A timer that fires later than this shows that this VM itself was delayed. An
    acknowledgement that arrived meanwhile is read within kReplyReadTime. */
constexpr Duration kLateTimerThreshold = std::chrono::milliseconds(5);
constexpr Duration kReplyReadTime = std::chrono::milliseconds(10);
/** The largest part of the time until the soft deadline that is reserved for
    the reports of shard owners. */
constexpr double kMaxReportLead = 0.25;
/** A report that has not arrived by the time of the answer is taken to be later
    than the reserve by this factor. */
constexpr double kMissingReportFactor = 1.5;
/** How long a VM that did not answer is avoided as a shard owner; after this
    time it may have been restarted. */
constexpr Duration kAvoidTime = std::chrono::seconds(3);
/** How long a shard owner's report that it is isolated makes this VM count as
    isolated too: until the load balancer has checked this VM's readiness
    twice. */
constexpr Duration kIsolationHold = std::chrono::milliseconds(2500);

void
AvoidOwner(ForwarderState& aState,
           const std::string& aVm,
           const char* aReason,
           TimePoint aNow,
           ForwarderEffects& aEffects)
{
  const auto found = aState.mMembership.mMembers.find(aVm);
  if (found == aState.mMembership.mMembers.end() ||
      aNow < found->second.mAvoidUntil) {
    return;
  }
  found->second.mAvoidUntil = aNow + kAvoidTime;
  aState.mTimers.Arm(aNow + kAvoidTime, ForwarderTimer::kRefreshAssignments);
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kState,
      "owner-avoided",
      {},
      { { "owner", aVm }, { "reason", std::string(aReason) } } } });
  RefreshAssignments(aState, aNow, aEffects);
}

/** Queries the pending shards of a sub-search from this VM, unless they may
    already have run at as many targets as allowed. */
void
ReclaimSubSearch(ForwarderState& aState,
                 RequestState& aRequest,
                 SentSubSearch& aSubSearch,
                 bool aWasRefused,
                 TimePoint aNow,
                 ForwarderEffects& aEffects)
{
  // Until this VM confirms an acknowledgement, the owner sends a shard to one
  // target only; afterwards it may use as many as may run it.
  const unsigned maxTargets = aRequest.mRoute->mMaxTargets;
  const unsigned runsAtOwner = aSubSearch.mIsAcknowledged ? maxTargets : 1;
  aSubSearch.mIsFinished = true;
  aState.mSubSearches.erase(aSubSearch.mSequence);
  std::int64_t reassigned = 0;
  for (const std::uint32_t index : aSubSearch.mSubRequests) {
    SubRequest& subRequest = aRequest.mSubRequests[index];
    if (subRequest.mStatus != SubRequestStatus::kPending) {
      continue;
    }
    WindowedExtraAttemptBudget& budget = aState.mBudgets[subRequest.mService];
    const ExtraAttemptRule& rule = aState.mPolicy.mExtraAttemptRule;
    const bool isAllowed =
      aWasRefused ||
      MayStartExtraAttempt(budget, rule, FleetSize(aState, aNow), 0, aNow);
    subRequest.mIsAtShardOwner = false;
    subRequest.mPossibleRuns = aWasRefused ? 0 : runsAtOwner;
    if (!isAllowed || subRequest.mPossibleRuns >= maxTargets ||
        !DispatchSubRequest(aState, aRequest, index, aNow, aEffects)) {
      FailSubRequest(aRequest, index);
      continue;
    }
    ++reassigned;
    if (aWasRefused) {
      CountRequest(budget, rule, aNow);
    } else {
      CountExtraAttempt(budget, rule, aNow);
    }
  }
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kNotable,
      "sub-search-reclaimed",
      aRequest.mRequest->mId,
      { { "owner", aSubSearch.mVm },
        { "age_ms", ToMilliseconds(aNow - aRequest.mArrived) },
        { "shards", static_cast<std::int64_t>(aSubSearch.mSubRequests.size()) },
        { "reassigned", reassigned } } } });
  ArmReview(aState, aRequest, aNow);
}

SubSearch
FormatSubSearch(const ForwarderState& aState,
                const RequestState& aRequest,
                const SentSubSearch& aSubSearch,
                TimePoint aNow)
{
  const ForwardedRequest& request = *aRequest.mRequest;
  SubSearch search;
  search.mSequence = aSubSearch.mSequence;
  search.mRequestId = request.mId;
  search.mMethod = request.mMessage.mMethod;
  search.mTarget = request.mMessage.mTarget;
  for (const HttpHeader& header : request.mMessage.mHeaders) {
    search.mFields.push_back({ header.mName, header.mValue });
  }
  if (aRequest.mOwner.mForwardsCredentials) {
    for (const HttpHeader& header : request.mCredentials) {
      search.mFields.push_back({ header.mName, header.mValue });
    }
  }
  search.mOrganisation = aRequest.mOwner.mName;
  search.mRank = aRequest.mOwner.mRank.mFirst;
  search.mRouteRank = aRequest.mOwner.mRank.mRoute;
  for (const RegionName& region : aRequest.mOwner.mRegions) {
    search.mRegions.push_back(region.Value());
  }
  search.mBody = request.mMessage.mBody;
  search.mRoute = aRequest.mRoute->mId.Value();
  for (const std::uint32_t subRequest : aSubSearch.mSubRequests) {
    search.mShards.push_back(aRequest.mSubRequests[subRequest].mService);
  }
  search.mTopRecords = static_cast<std::uint32_t>(aRequest.mRoute->mTopRecords);
  search.mMaxTargets = aRequest.mRoute->mMaxTargets;
  const Duration timeout = aRequest.mDeadline - aNow;
  search.mSoftTimeout =
    aRequest.mSoftDeadline == TimePoint::max()
      ? timeout
      : aRequest.mSoftDeadline - aNow - aSubSearch.mReportLead;
  search.mCallerTimeout = timeout;
  const std::size_t maxMissing = MaxMissingShards(aState, *aRequest.mRoute);
  search.mMinShards = static_cast<std::uint32_t>(
    search.mShards.size() - std::min(search.mShards.size(), maxMissing));
  return search;
}

/** Whether a VM lies in the regions to which the request is bound. */
bool
MayGetBody(const ForwarderState& aState,
           const std::string& aVm,
           const RequestState& aRequest)
{
  const auto member = aState.mMembership.mMembers.find(aVm);
  return member != aState.mMembership.mMembers.end() &&
         IsInRegions(
           aState, member->second.mRecord.mZone, aRequest.mOwner.mRegions);
}

/** How much earlier than the soft deadline a shard owner is asked to report, so
    that its results arrive by then. */
Duration
ReportLead(const ForwarderState& aState,
           const RequestState& aRequest,
           const std::string& aVm,
           TimePoint aNow)
{
  if (aRequest.mSoftDeadline == TimePoint::max()) {
    return Duration::zero();
  }
  const double left =
    static_cast<double>((aRequest.mSoftDeadline - aNow).count());
  return std::min(
    ReserveForReport(aState.mAnswerReserve, IsInOwnZone(aState, aVm), aNow),
    Duration(static_cast<std::int64_t>(kMaxReportLead * left)));
}

/** Records by how much the report of a shard owner is late. */
void
RecordReportDelay(ForwarderState& aState,
                  const std::string& aVm,
                  Duration aDelay,
                  TimePoint aNow)
{
  AnswerReserve& reserve = aState.mAnswerReserve;
  AddDelay(IsInOwnZone(aState, aVm) ? reserve.mReportInZone
                                    : reserve.mReportFromOtherZone,
           aDelay,
           aNow);
}

/** The request that sent a sub-search; null when it is over. */
RequestState*
FindRequestOf(ForwarderState& aState, const SubSearchRef& aReference)
{
  const auto request = aState.mRequests.find(aReference.mRequest);
  return request == aState.mRequests.end() ? nullptr : &request->second;
}

/** Ends a sub-search that was refused because the targets' request limits leave
    too little: no other VM could send more. */
void
HandleSubSearchOverLimits(ForwarderState& aState,
                          RequestState& aRequest,
                          SentSubSearch& aSubSearch,
                          const SubSearchReply& aReply,
                          ForwarderEffects& aEffects)
{
  aSubSearch.mIsFinished = true;
  aSubSearch.mHasNotRun = true;
  aState.mSubSearches.erase(aSubSearch.mSequence);
  aRequest.mRetryAfter =
    std::max(aReply.mRetryAfter, aRequest.mRetryAfter.value_or(Duration{}));
  for (const std::uint32_t index : aSubSearch.mSubRequests) {
    if (aRequest.mSubRequests[index].mStatus == SubRequestStatus::kPending) {
      FailSubRequest(aRequest, index);
    }
  }
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kNotable,
      "sub-search-over-limits",
      aRequest.mRequest->mId,
      { { "owner", aSubSearch.mVm },
        { "shards", static_cast<std::int64_t>(aSubSearch.mSubRequests.size()) },
        { "retry_after_ms", ToMilliseconds(aReply.mRetryAfter) } } } });
}

/** Accepts the results that a shard owner reported. */
void
AcceptSubSearchReply(RequestState& aRequest,
                     const SentSubSearch& aSubSearch,
                     const SubSearchReply& aReply,
                     TimePoint aNow)
{
  for (std::size_t part = 0; part < aReply.mShards.size(); ++part) {
    const std::uint32_t position = aReply.mShards[part];
    if (position >= aSubSearch.mSubRequests.size()) {
      continue;
    }
    SubRequest& subRequest =
      aRequest.mSubRequests[aSubSearch.mSubRequests[position]];
    if (subRequest.mStatus != SubRequestStatus::kPending) {
      continue;
    }
    Reply reply;
    reply.mKind = ReplyKind::kSuccess;
    reply.mSignature = aReply.mSignatures[part];
    subRequest.mReply = std::make_shared<const Reply>(std::move(reply));
    subRequest.mStatus = SubRequestStatus::kAnswered;
    CountAnswered(aRequest, aNow);
  }
  if (!aReply.mRecords.empty()) {
    aRequest.mSubSearchRecords.push_back(aReply.mRecords);
  }
}

void
LogReport(const RequestState& aRequest,
          TimePoint aNow,
          ForwarderEffects& aEffects)
{
  const bool isComplete = aRequest.mAnswered == aRequest.mSubRequests.size();
  aEffects.push_back(WriteDecisionRecord{
    { isComplete ? RecordClass::kRoutine : RecordClass::kFailure,
      "sub-search-answered",
      aRequest.mRequest->mId,
      { { "for_vm", ToText(aRequest.mOrigin->mAddress) },
        { "took_ms", ToMilliseconds(aNow - aRequest.mArrived) },
        { "answered", static_cast<std::int64_t>(aRequest.mAnswered) },
        { "sub_requests",
          static_cast<std::int64_t>(aRequest.mSubRequests.size()) },
        { "hedges", static_cast<std::int64_t>(aRequest.mHedges) },
        { "retries", static_cast<std::int64_t>(aRequest.mRetries) } } } });
}

/** Ends a sub-search that was received from another VM. */
void
FinishSubSearch(ForwarderState& aState,
                RequestKey aKey,
                bool aIsCallerDisconnected,
                TimePoint aNow,
                ForwarderEffects& aEffects)
{
  const auto found = aState.mRequests.find(aKey);
  if (found == aState.mRequests.end()) {
    return;
  }
  RequestState request = std::move(found->second);
  aState.mRequests.erase(found);
  aState.mReceivedSubSearches.erase(
    { request.mOrigin->mVm, request.mOrigin->mSequence });
  LogReport(request, aNow, aEffects);
  if (aIsCallerDisconnected) {
    CloseAttemptConnections(aState, request, aNow, aEffects);
  } else {
    AbandonAttempts(aState, request, aNow);
  }
}

} // namespace

void
SendSubSearches(ForwarderState& aState,
                RequestState& aRequest,
                TimePoint aNow,
                ForwarderEffects& aEffects)
{
  // A whole request may go to a service that is also a shard of a search.
  if (!aRequest.mRoute->IsSearch()) {
    return;
  }
  const bool areOthersSilent = AreOtherZonesSilent(aState, aNow);
  std::map<std::string, SentSubSearch> subSearchOfVm;
  for (std::uint32_t index = 0; index < aRequest.mSubRequests.size(); ++index) {
    SubRequest& subRequest = aRequest.mSubRequests[index];
    const bool isOwnerSilent =
      areOthersSilent && IsOwnedInOtherZone(aState, subRequest.mService);
    if (isOwnerSilent || IsOwnShard(aState, subRequest.mService) ||
        !MayGetBody(aState,
                    aState.mShardOwnership.OwnerOf(subRequest.mService),
                    aRequest)) {
      continue;
    }
    subRequest.mIsAtShardOwner = true;
    subSearchOfVm[aState.mShardOwnership.OwnerOf(subRequest.mService)]
      .mSubRequests.push_back(index);
  }
  for (auto& [vm, subSearch] : subSearchOfVm) {
    subSearch.mVm = vm;
    subSearch.mSequence = aState.mNextSubSearch++;
    subSearch.mSent = aNow;
    subSearch.mReportLead = ReportLead(aState, aRequest, vm, aNow);
    const Member& owner = aState.mMembership.mMembers.at(vm);
    subSearch.mAcknowledgeWait =
      kAcknowledgeTime +
      Duration(static_cast<std::int64_t>(owner.mAcknowledgement.mMean));
    RecordSent(aState, owner.mRecord.mZone, aNow);
    const Endpoint address = owner.mRecord.mAddress;
    aState.mSubSearches[subSearch.mSequence] =
      SubSearchRef{ aRequest.mKey, aRequest.mSentSubSearches.size() };
    aEffects.push_back(
      SendPeerMessage{ IdFromName<VmId>(vm),
                       address,
                       FormatSubSearch(aState, aRequest, subSearch, aNow) });
    ++aState.mCounters.mSubSearches;
    aRequest.mSentSubSearches.push_back(std::move(subSearch));
  }
}

void
ConnectToOwners(ForwarderState& aState,
                TimePoint aNow,
                ForwarderEffects& aEffects)
{
  if (aNow < aState.mStarted + kStartupSettleTime || aState.IsStopping()) {
    return;
  }
  ShardOwnership& ownership = aState.mShardOwnership;
  for (const auto& [shard, owner] : ownership.mOwnerOfShard) {
    if (owner.mVm == aState.mPolicy.mName ||
        !ownership.mConnectedOwners.insert(owner.mVm).second) {
      continue;
    }
    SubSearch empty;
    empty.mSequence = aState.mNextSubSearch++;
    aEffects.push_back(SendPeerMessage{
      IdFromName<VmId>(owner.mVm),
      aState.mMembership.mMembers.at(owner.mVm).mRecord.mAddress,
      std::move(empty) });
  }
}

TimePoint
NextSubSearchReview(const RequestState& aRequest)
{
  TimePoint next = TimePoint::max();
  for (const SentSubSearch& subSearch : aRequest.mSentSubSearches) {
    if (!subSearch.mIsFinished && !subSearch.mIsAcknowledged) {
      next = std::min(next, subSearch.mSent + subSearch.mAcknowledgeWait);
    }
  }
  return next;
}

void
ReviewSentSubSearches(ForwarderState& aState,
                      RequestState& aRequest,
                      TimePoint aNow,
                      ForwarderEffects& aEffects)
{
  for (SentSubSearch& subSearch : aRequest.mSentSubSearches) {
    if (subSearch.mIsFinished || subSearch.mIsAcknowledged ||
        aNow < subSearch.mSent + subSearch.mAcknowledgeWait) {
      continue;
    }
    if (aNow >
        subSearch.mSent + subSearch.mAcknowledgeWait + kLateTimerThreshold) {
      // This VM itself was delayed; the acknowledgement may have arrived and
      // not been read yet.
      subSearch.mSent = aNow - subSearch.mAcknowledgeWait + kReplyReadTime;
      continue;
    }
    AvoidOwner(
      aState, subSearch.mVm, "no acknowledgement in time", aNow, aEffects);
    const auto member = aState.mMembership.mMembers.find(subSearch.mVm);
    if (member != aState.mMembership.mMembers.end()) {
      aEffects.push_back(
        SendPeerMessage{ IdFromName<VmId>(subSearch.mVm),
                         member->second.mRecord.mAddress,
                         SubSearchCancel{ subSearch.mSequence, true } });
    }
    ReclaimSubSearch(aState, aRequest, subSearch, false, aNow, aEffects);
  }
}

void
CancelSentSubSearches(ForwarderState& aState,
                      const RequestState& aRequest,
                      bool aIsCallerDisconnected,
                      TimePoint aNow,
                      ForwarderEffects& aEffects)
{
  for (const SentSubSearch& subSearch : aRequest.mSentSubSearches) {
    if (subSearch.mIsFinished) {
      continue;
    }
    if (!aIsCallerDisconnected && subSearch.mIsAcknowledged &&
        !subSearch.mHasReported) {
      RecordReportDelay(aState,
                        subSearch.mVm,
                        Duration(static_cast<std::int64_t>(
                          kMissingReportFactor *
                          static_cast<double>(subSearch.mReportLead.count()))),
                        aNow);
    }
    aState.mSubSearches.erase(subSearch.mSequence);
    const auto member = aState.mMembership.mMembers.find(subSearch.mVm);
    if (member != aState.mMembership.mMembers.end()) {
      aEffects.push_back(SendPeerMessage{
        IdFromName<VmId>(subSearch.mVm),
        member->second.mRecord.mAddress,
        SubSearchCancel{ subSearch.mSequence, aIsCallerDisconnected } });
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
  const auto found = aState.mSubSearches.find(reply.mSequence);
  if (found == aState.mSubSearches.end()) {
    return;
  }
  const SubSearchRef reference = found->second;
  RequestState* request = FindRequestOf(aState, reference);
  if (request == nullptr) {
    aState.mSubSearches.erase(found);
    return;
  }
  SentSubSearch& subSearch = request->mSentSubSearches[reference.mIndex];
  const auto owner = aState.mMembership.mMembers.find(subSearch.mVm);
  if (owner != aState.mMembership.mMembers.end()) {
    RecordReceived(aState, owner->second.mRecord.mZone);
    if (!subSearch.mIsAcknowledged) {
      AddSample(owner->second.mAcknowledgement, aNow - subSearch.mSent, aNow);
    }
  }
  if (reply.mIsIsolated && IsInOwnZone(aState, subSearch.mVm)) {
    aState.mShardOwnership.mIsolatedUntil = aNow + kIsolationHold;
  }
  if (reply.mIsRefused && reply.mRetryAfter > Duration::zero()) {
    HandleSubSearchOverLimits(aState, *request, subSearch, reply, aEffects);
    AnswerIfDue(aState, *request, aNow, aEffects);
    return;
  }
  if (reply.mIsRefused) {
    AvoidOwner(aState, subSearch.mVm, "sub-search refused", aNow, aEffects);
    ReclaimSubSearch(aState, *request, subSearch, true, aNow, aEffects);
    AnswerIfDue(aState, *request, aNow, aEffects);
    return;
  }
  if (!subSearch.mIsAcknowledged) {
    subSearch.mIsAcknowledged = true;
    aEffects.push_back(SendPeerMessage{
      aEvent.mVm, aEvent.mAddress, SubSearchConfirm{ reply.mSequence } });
  }
  const bool isSoftReport =
    !reply.mIsLast && !reply.mShards.empty() && !subSearch.mHasReported;
  if (isSoftReport) {
    subSearch.mHasReported = true;
    const TimePoint asked = std::max(
      request->mSoftDeadline - subSearch.mReportLead, aState.mHoldUp.mEnd);
    RecordReportDelay(aState, subSearch.mVm, aNow - asked, aNow);
  }
  AcceptSubSearchReply(*request, subSearch, reply, aNow);
  if (reply.mIsLast) {
    subSearch.mIsFinished = true;
    aState.mSubSearches.erase(reply.mSequence);
    for (const std::uint32_t index : subSearch.mSubRequests) {
      if (request->mSubRequests[index].mStatus == SubRequestStatus::kPending) {
        FailSubRequest(*request, index);
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
  SubSearchReply acknowledgement;
  acknowledgement.mSequence = search.mSequence;
  acknowledgement.mIsRefused = aState.IsStopping() || !aState.mStore.mIsLoaded;
  acknowledgement.mIsIsolated =
    !acknowledgement.mIsRefused && IsIsolated(aState, aNow);
  const auto wait =
    WaitForRoom(aState, search.mShards, search.mMinShards, aNow);
  const bool mayWait = wait && MayAwaitRoom(aState,
                                            RouteId(search.mRoute),
                                            *wait,
                                            aNow + search.mCallerTimeout,
                                            aNow);
  if (wait && !mayWait && !acknowledgement.mIsRefused) {
    acknowledgement.mIsRefused = true;
    acknowledgement.mRetryAfter = wait->mTime;
  }
  aEffects.push_back(
    SendPeerMessage{ aEvent.mVm, aEvent.mAddress, acknowledgement });
  if (acknowledgement.mIsRefused) {
    return;
  }
  auto route = std::make_shared<Route>();
  route->mId = RouteId(search.mRoute);
  route->mName = "sub-search of another VM";
  route->mRepeatability = Repeatability::kIdempotent;
  route->mMaxTargets = search.mMaxTargets;
  route->mTopRecords = search.mTopRecords;
  route->mShards = search.mShards;
  route->mPriority = search.mRouteRank;
  RequestState request;
  request.mOwner.mName = search.mOrganisation;
  request.mOwner.mRank = { search.mRank, search.mRouteRank };
  for (const std::string& region : search.mRegions) {
    request.mOwner.mRegions.emplace_back(region);
  }
  request.mKey = RequestKey(aState.mNextRequest++);
  request.mRequest = aEvent.mRequest;
  request.mConfiguration = aState.mConfiguration;
  request.mOwnRoute = route;
  request.mRoute = route.get();
  request.mArrived = aNow;
  request.mSoftDeadline = aNow + search.mSoftTimeout;
  request.mDeadline = aNow + search.mCallerTimeout;
  request.mOrigin =
    SubSearchOrigin{ aEvent.mVm, aEvent.mAddress, search.mSequence, false, {} };
  for (const ServiceId shard : search.mShards) {
    SubRequest subRequest;
    subRequest.mService = shard;
    request.mSubRequests.push_back(std::move(subRequest));
    CountRequest(
      aState.mBudgets[shard], aState.mPolicy.mExtraAttemptRule, aNow);
  }
  request.mPending = request.mSubRequests.size();
  request.mOrigin->mIsReported.resize(request.mSubRequests.size());
  const RequestKey key = request.mKey;
  aState.mReceivedSubSearches[{ aEvent.mVm, search.mSequence }] = key;
  RequestState& added =
    aState.mRequests.emplace(key, std::move(request)).first->second;
  std::vector<std::uint32_t> undispatched;
  for (std::uint32_t subRequest = 0; subRequest < added.mSubRequests.size();
       ++subRequest) {
    if (!DispatchSubRequest(aState, added, subRequest, aNow, aEffects)) {
      undispatched.push_back(subRequest);
    }
  }
  AwaitPausesOrFail(aState, added, undispatched, search.mMinShards, aNow);
  ArmReview(aState, added, aNow);
  AnswerIfDue(aState, added, aNow, aEffects);
}

void
HandleSubSearchConfirmed(ForwarderState& aState,
                         const SubSearchConfirmed& aEvent)
{
  const auto found =
    aState.mReceivedSubSearches.find({ aEvent.mVm, aEvent.mConfirm.mSequence });
  if (found != aState.mReceivedSubSearches.end()) {
    aState.mRequests.at(found->second).mOrigin->mIsConfirmed = true;
  }
}

void
HandleSubSearchCancelled(ForwarderState& aState,
                         const SubSearchCancelled& aEvent,
                         TimePoint aNow,
                         ForwarderEffects& aEffects)
{
  const auto found =
    aState.mReceivedSubSearches.find({ aEvent.mVm, aEvent.mCancel.mSequence });
  if (found != aState.mReceivedSubSearches.end()) {
    FinishSubSearch(aState,
                    found->second,
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
  std::erase_if(aState.mShardOwnership.mConnectedOwners,
                [&](const std::string& aVm) {
                  return IdFromName<VmId>(aVm) == aEvent.mVm;
                });
  std::vector<RequestKey> receivedFromIt;
  for (const auto& [origin, key] : aState.mReceivedSubSearches) {
    if (origin.first == aEvent.mVm) {
      receivedFromIt.push_back(key);
    }
  }
  for (const RequestKey key : receivedFromIt) {
    FinishSubSearch(aState, key, true, aNow, aEffects);
  }
  std::vector<SubSearchRef> sentToIt;
  for (const auto& [sequence, reference] : aState.mSubSearches) {
    const RequestState* request = FindRequestOf(aState, reference);
    if (request != nullptr &&
        IdFromName<VmId>(request->mSentSubSearches[reference.mIndex].mVm) ==
          aEvent.mVm) {
      sentToIt.push_back(reference);
    }
  }
  for (const SubSearchRef& reference : sentToIt) {
    RequestState* request = FindRequestOf(aState, reference);
    if (request == nullptr ||
        request->mSentSubSearches[reference.mIndex].mIsFinished) {
      continue;
    }
    SentSubSearch& subSearch = request->mSentSubSearches[reference.mIndex];
    AvoidOwner(aState, subSearch.mVm, "connection broke", aNow, aEffects);
    ReclaimSubSearch(aState, *request, subSearch, false, aNow, aEffects);
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
  if (!isOver && aNow < aRequest.mSoftDeadline) {
    return;
  }
  SubSearchReply reply;
  reply.mSequence = origin.mSequence;
  reply.mIsLast = isOver;
  std::vector<std::string_view> bodies;
  for (std::uint32_t index = 0; index < aRequest.mSubRequests.size(); ++index) {
    const SubRequest& subRequest = aRequest.mSubRequests[index];
    if (subRequest.mStatus == SubRequestStatus::kAnswered &&
        !origin.mIsReported[index]) {
      origin.mIsReported[index] = true;
      reply.mShards.push_back(index);
      reply.mSignatures.push_back(subRequest.mReply->mSignature);
      bodies.push_back(subRequest.mReply->mMessage.mBody);
    }
  }
  if (!isOver && reply.mShards.empty()) {
    return;
  }
  reply.mRecords = GreatestRecords(bodies, aRequest.mRoute->mTopRecords);
  aEffects.push_back(
    SendPeerMessage{ origin.mVm, origin.mAddress, std::move(reply) });
  if (isOver) {
    FinishSubSearch(aState, aRequest.mKey, false, aNow, aEffects);
  }
}

} // namespace wasabispread::forwarding
