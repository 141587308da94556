/*
 * Sends sub-requests, and handles replies and ended connections.
 */
#include "RequestSteps.h"

#include <algorithm>
#include <cassert>

namespace wasabispread::forwarding {

namespace {

/** Time for which a reply that no sub-request needs any more is still awaited,
    so that its connection can be reused. */
constexpr Duration kAbandonedWait = std::chrono::milliseconds(400);
/** Maximum number of attempts of one sub-request, including those that targets
    refused. */
constexpr unsigned kMaxAttempts = 4;
/** Minimum time before the deadline for a retry: a later one would only add
    load. */
constexpr Duration kMinRetryTime = std::chrono::milliseconds(5);

/** The largest reply to a whole request, and the largest part of a search. A
    search reads hundreds of parts at a time, of which each needs to hold no
    more than the records that the answer may take from it. */
constexpr std::uint64_t kMaxReplyBytes = 16ULL << 20U;
constexpr std::uint64_t kMaxPartBytes = 1ULL << 20U;

/** How an attempt ended without a result. */
struct AttemptFailure
{
  TargetKey mTarget;
  ReplyKind mKind = ReplyKind::kInvalid;
  /** Whether no byte of the request was sent. */
  bool mIsUnsent = false;
};

bool
HasNotRun(const AttemptFailure& aFailure)
{
  return aFailure.mIsUnsent || aFailure.mKind == ReplyKind::kNotRun ||
         aFailure.mKind == ReplyKind::kMisdirected;
}

void
Abandon(ForwarderState& aState, SubRequest& aSubRequest, TimePoint aNow)
{
  for (const Attempt& attempt : aSubRequest.mInFlight) {
    const auto connection = aState.mConnections.find(attempt.mConnection);
    if (connection != aState.mConnections.end()) {
      connection->second.mAbandonAt = aNow + kAbandonedWait;
      aState.mTimers.Arm(aNow + kAbandonedWait,
                         ForwarderTimer::kAbandoned,
                         attempt.mConnection.Value());
    }
  }
  aSubRequest.mInFlight.clear();
}

/** Removes the attempt on a connection from its sub-request; false when there
    is none, because the sub-request no longer waits for it. */
bool
RemoveAttempt(SubRequest& aSubRequest, ConnectionId aConnection)
{
  const auto found = std::find_if(aSubRequest.mInFlight.begin(),
                                  aSubRequest.mInFlight.end(),
                                  [&](const Attempt& aAttempt) {
                                    return aAttempt.mConnection == aConnection;
                                  });
  if (found == aSubRequest.mInFlight.end()) {
    return false;
  }
  aSubRequest.mInFlight.erase(found);
  return true;
}

bool
MayRetry(const RequestState& aRequest,
         const SubRequest& aSubRequest,
         const AttemptFailure& aFailure,
         TimePoint aNow)
{
  const bool isSafe = aRequest.mRoute->IsIdempotent() || HasNotRun(aFailure);
  return isSafe && aSubRequest.mPossibleRuns < aRequest.MaxTargets() &&
         aSubRequest.mAttempts < kMaxAttempts &&
         aNow + kMinRetryTime < aRequest.mDeadline;
}

/** Sends the sub-request to another target; false when it must not or cannot be
    sent. */
bool
Retry(ForwarderState& aState,
      RequestState& aRequest,
      std::uint32_t aSubRequest,
      const AttemptFailure& aFailure,
      TimePoint aNow,
      ForwarderEffects& aEffects)
{
  SubRequest& subRequest = aRequest.mSubRequests[aSubRequest];
  if (!MayRetry(aRequest, subRequest, aFailure, aNow)) {
    return false;
  }
  const bool isExtraAttempt = subRequest.mAttempts > 0;
  if (isExtraAttempt &&
      !MayStartExtraAttempt(aState.mBudgets[subRequest.mService],
                            aState.mPolicy.mExtraAttemptRule,
                            FleetSize(aState, aNow),
                            0,
                            aNow)) {
    ++aState.mCounters.mExtraAttemptsDenied;
    LogSubRequest(aState,
                  aRequest,
                  subRequest,
                  "retry-denied",
                  aFailure.mTarget,
                  aNow,
                  aEffects);
    return false;
  }
  if (!DispatchSubRequest(aState, aRequest, aSubRequest, aNow, aEffects)) {
    return false;
  }
  ++aRequest.mRetries;
  ++aState.mCounters.mRetries;
  LogSubRequest(aState,
                aRequest,
                subRequest,
                "sub-request-retried",
                aFailure.mTarget,
                aNow,
                aEffects);
  ArmReview(aState, aRequest, aNow);
  return true;
}

void
HandleAttemptFailed(ForwarderState& aState,
                    RequestState& aRequest,
                    std::uint32_t aSubRequest,
                    const AttemptFailure& aFailure,
                    TimePoint aNow,
                    ForwarderEffects& aEffects)
{
  SubRequest& subRequest = aRequest.mSubRequests[aSubRequest];
  if (HasNotRun(aFailure)) {
    --subRequest.mPossibleRuns;
  }
  if (aFailure.mIsUnsent) {
    --subRequest.mAttempts;
    std::erase(subRequest.mTriedTargets, aFailure.mTarget);
  }
  subRequest.mLastFailure =
    aFailure.mIsUnsent ? ReplyKind::kNotRun : aFailure.mKind;
  if (subRequest.mStatus != SubRequestStatus::kPending ||
      !subRequest.mInFlight.empty()) {
    return;
  }
  if (!Retry(aState, aRequest, aSubRequest, aFailure, aNow, aEffects)) {
    LogSubRequest(aState,
                  aRequest,
                  subRequest,
                  "sub-request-failed",
                  aFailure.mTarget,
                  aNow,
                  aEffects);
    FailSubRequest(aRequest, aSubRequest);
  }
}

/** Updates the target's failure share, and after a success the latency
    estimates, from a reply. */
void
RecordReply(ForwarderState& aState,
            TargetState& aTarget,
            const TargetConnection& aConnection,
            ReplyKind aKind,
            TimePoint aNow)
{
  RecordOutcome(aTarget, aKind != ReplyKind::kSuccess, aNow);
  if (aKind == ReplyKind::kSuccess) {
    const Duration taken = aNow - aConnection.mSent;
    const double usual = aState.mRoutes[aConnection.mRoute].mLatency.mMean;
    if (usual > 0) {
      RecordWork(aTarget.mCapacity,
                 aConnection.mInFlight,
                 static_cast<double>(taken.count()) / usual,
                 aNow);
    }
    AddSample(LatencyOf(aTarget, aConnection.mRoute), taken, aNow);
    AddSample(aState.mRoutes[aConnection.mRoute].mLatency, taken, aNow);
  }
}

/** Keeps what the target states about its load and its warm-up. */
void
RecordStatedLoad(ForwarderState& aState,
                 TargetState& aTarget,
                 const Reply& aReply,
                 TimePoint aNow,
                 ForwarderEffects& aEffects)
{
  aState.mCounters.mUnreadableLoads += aReply.mIsLoadUnreadable ? 1U : 0U;
  // A misdirected reply is another instance's.
  if (aReply.mKind == ReplyKind::kMisdirected) {
    return;
  }
  if (aReply.mLoad) {
    aTarget.mLoad = aReply.mLoad;
    aTarget.mLoadTime = aNow;
  }
  if (aReply.mWarmUp) {
    aTarget.mWarmUntil = aNow + *aReply.mWarmUp;
    RefreshColdLimit(aState, aTarget, aNow, aEffects);
  }
}

RequestState*
FindRequest(ForwarderState& aState, RequestKey aKey)
{
  const auto found = aState.mRequests.find(aKey);
  return found == aState.mRequests.end() ? nullptr : &found->second;
}

/** Reduces a large part of a search to the records that the answer may take
    from it, so that the parts of searches in progress take little memory. */
void
KeepGreatestRecords(Reply& aReply, const Route& aRoute)
{
  constexpr std::size_t kLargePart = 8192;
  std::string& body = aReply.mMessage.mBody;
  const std::size_t needed = aRoute.mTopRecords * kRecordBytes;
  if (aRoute.IsSearch() && body.size() > std::max(kLargePart, 2 * needed)) {
    body = GreatestRecords({ body }, aRoute.mTopRecords);
  }
}

void
AcceptReply(ForwarderState& aState,
            RequestState& aRequest,
            SubRequest& aSubRequest,
            std::shared_ptr<const Reply> aReply,
            TimePoint aNow)
{
  aSubRequest.mStatus = SubRequestStatus::kAnswered;
  aSubRequest.mReply = std::move(aReply);
  aSubRequest.mAwaitedTarget = TargetKey{};
  CountAnswered(aRequest, aNow);
  Abandon(aState, aSubRequest, aNow);
}

void
LogConnection(const ForwarderState& aState,
              const char* aEvent,
              const TargetState& aTarget,
              const char* aReason,
              ForwarderEffects& aEffects)
{
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kNotable,
      aEvent,
      {},
      { { "target", aTarget.mRecord.mInstance.Value() },
        { "service", NameOf(aState, aTarget.mRecord.mService) },
        { "reason", std::string(aReason) } } } });
}

/** Delays the next connection to a target, for longer after each consecutive
    failure. */
void
DelayReconnect(ForwarderState& aState, TargetState& aTarget, TimePoint aNow)
{
  constexpr Duration kFirstBackoff = std::chrono::milliseconds(150);
  constexpr Duration kMaxBackoff = std::chrono::milliseconds(1200);
  aTarget.mConnectBackoff =
    aTarget.mConnectBackoff == Duration::zero()
      ? kFirstBackoff
      : std::min(2 * aTarget.mConnectBackoff, kMaxBackoff);
  aTarget.mConnectAfter = aNow + aTarget.mConnectBackoff;
  aState.mTimers.Arm(
    aTarget.mConnectAfter, ForwarderTimer::kReconnect, aTarget.mKey.Value());
}

} // namespace

void
HandleConnectionRemoved(ForwarderState& aState,
                        TargetKey aTarget,
                        TimePoint aNow,
                        ForwarderEffects& aEffects)
{
  const auto found = aState.mTargets.find(aTarget);
  if (found == aState.mTargets.end()) {
    return;
  }
  if (found->second.mIsRetired) {
    RemoveIfUnused(aState, aTarget);
    return;
  }
  EnsureConnection(aState, found->second, aNow, aEffects);
  if (found->second.mConnections.empty()) {
    MoveWaitingSubRequests(aState, aTarget, aNow, aEffects);
  } else {
    OpenForWaiting(aState, found->second, aNow, aEffects);
  }
}

void
SendSubRequest(ForwarderState& aState,
               RequestState& aRequest,
               std::uint32_t aSubRequest,
               TargetState& aTarget,
               TimePoint aNow,
               ForwarderEffects& aEffects)
{
  assert(!aTarget.mIdle.empty());
  assert(aNow < aRequest.mDeadline);
  SubRequest& subRequest = aRequest.mSubRequests[aSubRequest];
  const ConnectionId id = aTarget.mIdle.back();
  aTarget.mIdle.pop_back();
  TargetConnection& connection = aState.mConnections.at(id);
  connection.mStatus = ConnectionStatus::kBusy;
  connection.mSubRequest = SubRequestRef{ aRequest.mKey, aSubRequest };
  connection.mRoute = aRequest.mRoute->mId;
  connection.mSent = aNow;
  connection.mInFlight = aTarget.BusyCount(aState);
  connection.mAbandonAt = TimePoint::max();
  const Duration delay = HedgeDelay(aState, aTarget, aRequest.mRoute->mId);
  subRequest.mInFlight.push_back(
    Attempt{ aTarget.mKey, id, aNow, aNow + delay });
  subRequest.mTriedTargets.push_back(aTarget.mKey);
  if (subRequest.mAttempts > 0) {
    CountExtraAttempt(aState.mBudgets[subRequest.mService],
                      aState.mPolicy.mExtraAttemptRule,
                      aNow);
  }
  RecordSent(aState, aTarget.mRecord.mZone, aNow);
  ++subRequest.mAttempts;
  ++subRequest.mPossibleRuns;
  ++aState.mCounters.mAttempts;
  aEffects.push_back(
    SendRequest{ id,
                 aRequest.mRequest,
                 aTarget.mRecord.mInstance,
                 aRequest.mDeadline - aNow,
                 aRequest.mRoute->IsSearch() ? kMaxPartBytes : kMaxReplyBytes,
                 aRequest.mOwner.mName,
                 aRequest.mOwner.mForwardsCredentials });
}

void
FailSubRequest(RequestState& aRequest, std::uint32_t aSubRequest)
{
  SubRequest& subRequest = aRequest.mSubRequests[aSubRequest];
  assert(subRequest.mStatus == SubRequestStatus::kPending);
  subRequest.mStatus = SubRequestStatus::kFailed;
  --aRequest.mPending;
}

std::optional<SubRequestRef>
TakeNextWaitingSubRequest(ForwarderState& aState, TargetState& aTarget)
{
  const auto isStale = [&](const SubRequestRef& aReference) {
    const RequestState* request = FindRequest(aState, aReference.mRequest);
    return request == nullptr ||
           request->mSubRequests[aReference.mIndex].mAwaitedTarget !=
             aTarget.mKey;
  };
  std::erase_if(aTarget.mWaiting, isStale);
  const auto first = std::min_element(
    aTarget.mWaiting.begin(),
    aTarget.mWaiting.end(),
    [&](const SubRequestRef& aLeft, const SubRequestRef& aRight) {
      return aState.mRequests.at(aLeft.mRequest).mOwner.mRank <
             aState.mRequests.at(aRight.mRequest).mOwner.mRank;
    });
  if (first == aTarget.mWaiting.end()) {
    return std::nullopt;
  }
  const SubRequestRef next = *first;
  aTarget.mWaiting.erase(first);
  return next;
}

void
HandleReplyArrived(ForwarderState& aState,
                   ReplyArrived aEvent,
                   TimePoint aNow,
                   ForwarderEffects& aEffects)
{
  const auto found = aState.mConnections.find(aEvent.mConnection);
  if (found == aState.mConnections.end()) {
    return;
  }
  found->second.mHasCarriedReply = true;
  const TargetConnection connection = found->second;
  const TargetKey targetKey = connection.mTarget;
  TargetState& target = aState.mTargets.at(targetKey);
  target.mConnectBackoff = Duration::zero();
  RecordReceived(aState, target.mRecord.mZone);
  RequestState* request = FindRequest(aState, connection.mSubRequest.mRequest);
  if (request != nullptr && aEvent.mReply.mKind == ReplyKind::kSuccess) {
    KeepGreatestRecords(aEvent.mReply, *request->mRoute);
  }
  const auto reply = std::make_shared<const Reply>(std::move(aEvent.mReply));
  RecordReply(aState, target, connection, reply->mKind, aNow);
  RecordStatedLoad(aState, target, *reply, aNow, aEffects);
  RecordLimit(aState, target, *reply, aNow, aEffects);
  RecordStatedAvailability(aState, targetKey, *reply, aNow, aEffects);
  ReleaseConnection(aState,
                    aEvent.mConnection,
                    reply->mIsReusable,
                    reply->mKeepAlive,
                    aNow,
                    aEffects);
  if (reply->mKind == ReplyKind::kMisdirected && !target.mIsRetired) {
    LogConnection(aState,
                  "target-misdirected",
                  target,
                  "another instance has the address",
                  aEffects);
    RetireTarget(aState, target, aNow, aEffects);
  }
  request = FindRequest(aState, connection.mSubRequest.mRequest);
  if (request != nullptr &&
      RemoveAttempt(request->mSubRequests[connection.mSubRequest.mIndex],
                    aEvent.mConnection)) {
    const std::uint32_t index = connection.mSubRequest.mIndex;
    SubRequest& subRequest = request->mSubRequests[index];
    if (reply->mKind == ReplyKind::kSuccess) {
      AcceptReply(aState, *request, subRequest, reply, aNow);
    } else {
      if (reply->mKind == ReplyKind::kFailure) {
        subRequest.mReply = reply;
      }
      HandleAttemptFailed(aState,
                          *request,
                          index,
                          AttemptFailure{ targetKey, reply->mKind, false },
                          aNow,
                          aEffects);
    }
    AnswerIfDue(aState, *request, aNow, aEffects);
  }
  SendWaitingSubRequests(aState, targetKey, aNow, aEffects);
  HandleConnectionRemoved(aState, targetKey, aNow, aEffects);
}

void
HandleConnectionOpened(ForwarderState& aState,
                       const ConnectionOpened& aEvent,
                       TimePoint aNow,
                       ForwarderEffects& aEffects)
{
  const auto found = aState.mConnections.find(aEvent.mConnection);
  if (found == aState.mConnections.end()) {
    return;
  }
  const TargetKey targetKey = found->second.mTarget;
  RecordReceived(aState, aState.mTargets.at(targetKey).mRecord.mZone);
  ReleaseConnection(
    aState, aEvent.mConnection, true, std::nullopt, aNow, aEffects);
  SendWaitingSubRequests(aState, targetKey, aNow, aEffects);
}

void
HandleConnectionRefused(ForwarderState& aState,
                        const ConnectionRefused& aEvent,
                        TimePoint aNow,
                        ForwarderEffects& aEffects)
{
  const auto found = aState.mConnections.find(aEvent.mConnection);
  if (found == aState.mConnections.end()) {
    return;
  }
  ++aState.mCounters.mConnectionFailures;
  const TargetKey targetKey = found->second.mTarget;
  TargetState& target = aState.mTargets.at(targetKey);
  DropConnection(aState, aEvent.mConnection);
  RecordOutcome(target, true, aNow);
  LogConnection(aState,
                "connection-refused",
                target,
                "connection could not be opened",
                aEffects);
  DelayReconnect(aState, target, aNow);
  HandleConnectionRemoved(aState, targetKey, aNow, aEffects);
}

void
HandleConnectionEnded(ForwarderState& aState,
                      const ConnectionEnded& aEvent,
                      TimePoint aNow,
                      ForwarderEffects& aEffects)
{
  const auto found = aState.mConnections.find(aEvent.mConnection);
  if (found == aState.mConnections.end()) {
    return;
  }
  const TargetConnection connection = found->second;
  const TargetKey targetKey = connection.mTarget;
  TargetState& target = aState.mTargets.at(targetKey);
  DropConnection(aState, aEvent.mConnection);
  if (!connection.mHasCarriedReply) {
    // A target resets connections beyond its limit just after it accepts them;
    // reconnecting at once would repeat this without end.
    DelayReconnect(aState, target, aNow);
  }
  if (connection.mStatus == ConnectionStatus::kBusy) {
    if (aEvent.mIsRequestWritten) {
      RecordOutcome(target, true, aNow);
      LogConnection(aState,
                    "connection-lost",
                    target,
                    "connection ended during an exchange",
                    aEffects);
    }
    RequestState* request =
      FindRequest(aState, connection.mSubRequest.mRequest);
    if (request != nullptr &&
        RemoveAttempt(request->mSubRequests[connection.mSubRequest.mIndex],
                      aEvent.mConnection)) {
      HandleAttemptFailed(aState,
                          *request,
                          connection.mSubRequest.mIndex,
                          AttemptFailure{ targetKey,
                                          ReplyKind::kInvalid,
                                          !aEvent.mIsRequestWritten },
                          aNow,
                          aEffects);
      AnswerIfDue(aState, *request, aNow, aEffects);
    }
  }
  HandleConnectionRemoved(aState, targetKey, aNow, aEffects);
}

void
HandleAbandoned(ForwarderState& aState,
                ConnectionId aConnection,
                TimePoint aNow,
                ForwarderEffects& aEffects)
{
  const auto found = aState.mConnections.find(aConnection);
  if (found == aState.mConnections.end() || aNow < found->second.mAbandonAt) {
    return;
  }
  const TargetKey targetKey = found->second.mTarget;
  TargetState& target = aState.mTargets.at(targetKey);
  RecordOutcome(target, true, aNow);
  LogConnection(aState,
                "connection-closed",
                target,
                "no reply within the timeout",
                aEffects);
  CloseTargetConnection(aState, aConnection, aEffects);
  HandleConnectionRemoved(aState, targetKey, aNow, aEffects);
}

void
AbandonAttempts(ForwarderState& aState, RequestState& aRequest, TimePoint aNow)
{
  for (SubRequest& subRequest : aRequest.mSubRequests) {
    Abandon(aState, subRequest, aNow);
  }
}

} // namespace wasabispread::forwarding
