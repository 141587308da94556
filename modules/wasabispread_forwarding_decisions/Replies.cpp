/*
 * Sending legs, and what comes back.
 */
#include "RequestSteps.h"

#include <algorithm>
#include <cassert>

namespace wasabispread::forwarding {

namespace {

/** A reply that nobody waits for is still read within this time, so that its
    connection can be used again. */
constexpr Duration kAbandonedWait = std::chrono::milliseconds(400);
/** The most sendings of one leg, refusals by targets included. */
constexpr unsigned kMostSendings = 4;
/** A retry with less time left would only add load. */
constexpr Duration kLeastRetryTime = std::chrono::milliseconds(5);

/** How a sending ended without a result. */
struct SendingFailure
{
  TargetKey mTarget;
  ReplyKind mKind = ReplyKind::kInvalid;
  /** Whether no byte of it was sent. */
  bool mIsUnsent = false;
};

bool
IsWithoutEffect(const SendingFailure& aFailure)
{
  return aFailure.mIsUnsent || aFailure.mKind == ReplyKind::kNotRun ||
         aFailure.mKind == ReplyKind::kMisdirected;
}

void
Abandon(ForwarderState& aState, Leg& aLeg, TimePoint aNow)
{
  for (const Sending& sending : aLeg.mInFlight) {
    const auto connection = aState.mConnections.find(sending.mConnection);
    if (connection != aState.mConnections.end()) {
      connection->second.mAbandonAt = aNow + kAbandonedWait;
      aState.mTimers.Arm(aNow + kAbandonedWait,
                         ForwarderTimer::kAbandoned,
                         sending.mConnection.Value());
    }
  }
  aLeg.mInFlight.clear();
}

/** Removes the sending from its leg; false when nobody waits for it. */
bool
TakeSending(Leg& aLeg, ConnectionId aConnection)
{
  const auto place = std::find_if(
    aLeg.mInFlight.begin(), aLeg.mInFlight.end(), [&](const Sending& aSending) {
      return aSending.mConnection == aConnection;
    });
  if (place == aLeg.mInFlight.end()) {
    return false;
  }
  aLeg.mInFlight.erase(place);
  return true;
}

bool
MayRetry(const RequestState& aRequest,
         const Leg& aLeg,
         const SendingFailure& aFailure,
         TimePoint aNow)
{
  const bool isHarmless =
    aRequest.mRoute->IsIdempotent() || IsWithoutEffect(aFailure);
  return isHarmless && aLeg.mRuns < aRequest.MostTargets() &&
         aLeg.mAttempts < kMostSendings &&
         aNow + kLeastRetryTime < aRequest.mDeadline;
}

/** Sends the leg elsewhere; false when it may not or cannot be. */
bool
Retry(ForwarderState& aState,
      RequestState& aRequest,
      std::uint32_t aLeg,
      const SendingFailure& aFailure,
      TimePoint aNow,
      ForwarderEffects& aEffects)
{
  Leg& leg = aRequest.mLegs[aLeg];
  if (!MayRetry(aRequest, leg, aFailure, aNow)) {
    return false;
  }
  const bool isRepeat = leg.mAttempts > 0;
  if (isRepeat && !MayRepeat(aState.mBudgets[leg.mService],
                             aState.mPolicy.mExtraAttemptRule,
                             FleetSize(aState, aNow),
                             0,
                             aNow)) {
    ++aState.mCounters.mExtraAttemptsDenied;
    LogLeg(
      aState, aRequest, leg, "retry-denied", aFailure.mTarget, aNow, aEffects);
    return false;
  }
  if (!PlaceLeg(aState, aRequest, aLeg, aNow, aEffects)) {
    return false;
  }
  ++aRequest.mRetries;
  ++aState.mCounters.mRetries;
  LogLeg(aState,
         aRequest,
         leg,
         "sub-request-retried",
         aFailure.mTarget,
         aNow,
         aEffects);
  ArmReview(aState, aRequest, aNow);
  return true;
}

void
HandleSendingFailed(ForwarderState& aState,
                    RequestState& aRequest,
                    std::uint32_t aLeg,
                    const SendingFailure& aFailure,
                    TimePoint aNow,
                    ForwarderEffects& aEffects)
{
  Leg& leg = aRequest.mLegs[aLeg];
  if (IsWithoutEffect(aFailure)) {
    --leg.mRuns;
  }
  if (aFailure.mIsUnsent) {
    --leg.mAttempts;
    std::erase(leg.mTried, aFailure.mTarget);
  }
  leg.mLastFailure = aFailure.mIsUnsent ? ReplyKind::kNotRun : aFailure.mKind;
  if (leg.mStatus != LegStatus::kPending || !leg.mInFlight.empty()) {
    return;
  }
  if (!Retry(aState, aRequest, aLeg, aFailure, aNow, aEffects)) {
    LogLeg(aState,
           aRequest,
           leg,
           "sub-request-failed",
           aFailure.mTarget,
           aNow,
           aEffects);
    FailLeg(aRequest, aLeg);
  }
}

/** Learns from a reply how the target fares. */
void
ObserveReply(ForwarderState& aState,
             TargetState& aTarget,
             const TargetConnection& aConnection,
             ReplyKind aKind,
             TimePoint aNow)
{
  ObserveOutcome(aTarget, aKind != ReplyKind::kSuccess, aNow);
  if (aKind == ReplyKind::kSuccess) {
    const Duration taken = aNow - aConnection.mSent;
    Observe(LatencyOf(aTarget, aConnection.mRoute), taken, aNow);
    Observe(aState.mRoutes[aConnection.mRoute].mLatency, taken, aNow);
  }
}

RequestState*
FindRequest(ForwarderState& aState, RequestKey aKey)
{
  const auto place = aState.mRequests.find(aKey);
  return place == aState.mRequests.end() ? nullptr : &place->second;
}

void
AcceptReply(ForwarderState& aState,
            RequestState& aRequest,
            Leg& aLeg,
            std::shared_ptr<const Reply> aReply,
            TimePoint aNow)
{
  aLeg.mStatus = LegStatus::kAnswered;
  aLeg.mReply = std::move(aReply);
  aLeg.mWaitingAt = TargetKey{};
  ++aRequest.mAnswered;
  --aRequest.mPending;
  Abandon(aState, aLeg, aNow);
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

/** Lets a target's next connection come later after each failure. */
void
BackOff(ForwarderState& aState, TargetState& aTarget, TimePoint aNow)
{
  constexpr Duration kFirst = std::chrono::milliseconds(150);
  constexpr Duration kMost = std::chrono::milliseconds(1200);
  aTarget.mConnectBackoff = aTarget.mConnectBackoff == Duration::zero()
                              ? kFirst
                              : std::min(2 * aTarget.mConnectBackoff, kMost);
  aTarget.mConnectAfter = aNow + aTarget.mConnectBackoff;
  aState.mTimers.Arm(
    aTarget.mConnectAfter, ForwarderTimer::kReconnect, aTarget.mKey.Value());
}

} // namespace

void
AfterConnectionGone(ForwarderState& aState,
                    TargetKey aTarget,
                    TimePoint aNow,
                    ForwarderEffects& aEffects)
{
  const auto place = aState.mTargets.find(aTarget);
  if (place == aState.mTargets.end()) {
    return;
  }
  if (place->second.mIsRetired) {
    ForgetIfUnused(aState, aTarget);
    return;
  }
  KeepWarm(aState, place->second, aNow, aEffects);
  if (place->second.mConnections.empty()) {
    MoveWaiting(aState, aTarget, aNow, aEffects);
  }
}

void
SendLeg(ForwarderState& aState,
        RequestState& aRequest,
        std::uint32_t aLeg,
        TargetState& aTarget,
        TimePoint aNow,
        ForwarderEffects& aEffects)
{
  assert(!aTarget.mIdle.empty());
  Leg& leg = aRequest.mLegs[aLeg];
  const ConnectionId id = aTarget.mIdle.back();
  aTarget.mIdle.pop_back();
  TargetConnection& connection = aState.mConnections.at(id);
  connection.mStatus = ConnectionStatus::kBusy;
  connection.mLeg = LegRef{ aRequest.mKey, aLeg };
  connection.mRoute = aRequest.mRoute->mId;
  connection.mSent = aNow;
  connection.mAbandonAt = TimePoint::max();
  const Duration delay = HedgeDelay(aState, aTarget, aRequest.mRoute->mId);
  leg.mInFlight.push_back(Sending{ aTarget.mKey, id, aNow, aNow + delay });
  leg.mTried.push_back(aTarget.mKey);
  if (leg.mAttempts > 0) {
    CountRepeat(
      aState.mBudgets[leg.mService], aState.mPolicy.mExtraAttemptRule, aNow);
  }
  NoteSent(aState, aTarget, aNow);
  ++leg.mAttempts;
  ++leg.mRuns;
  ++aState.mCounters.mAttempts;
  aEffects.push_back(SendRequest{ id,
                                  aRequest.mRequest,
                                  aTarget.mRecord.mInstance,
                                  aRequest.mDeadline - aNow });
}

void
FailLeg(RequestState& aRequest, std::uint32_t aLeg)
{
  Leg& leg = aRequest.mLegs[aLeg];
  assert(leg.mStatus == LegStatus::kPending);
  leg.mStatus = LegStatus::kFailed;
  --aRequest.mPending;
}

std::optional<LegRef>
TakeNextWaiting(ForwarderState& aState, TargetState& aTarget)
{
  const auto isStale = [&](const LegRef& aPlace) {
    const RequestState* request = FindRequest(aState, aPlace.mRequest);
    return request == nullptr ||
           request->mLegs[aPlace.mLeg].mWaitingAt != aTarget.mKey;
  };
  std::erase_if(aTarget.mWaiting, isStale);
  const auto first = std::min_element(
    aTarget.mWaiting.begin(),
    aTarget.mWaiting.end(),
    [&](const LegRef& aLeft, const LegRef& aRight) {
      return aState.mRequests.at(aLeft.mRequest).mRoute->mPriority <
             aState.mRequests.at(aRight.mRequest).mRoute->mPriority;
    });
  if (first == aTarget.mWaiting.end()) {
    return std::nullopt;
  }
  const LegRef next = *first;
  aTarget.mWaiting.erase(first);
  return next;
}

void
HandleReplyArrived(ForwarderState& aState,
                   ReplyArrived aEvent,
                   TimePoint aNow,
                   ForwarderEffects& aEffects)
{
  const auto place = aState.mConnections.find(aEvent.mConnection);
  if (place == aState.mConnections.end()) {
    return;
  }
  place->second.mHasServed = true;
  const TargetConnection connection = place->second;
  const TargetKey targetKey = connection.mTarget;
  TargetState& target = aState.mTargets.at(targetKey);
  target.mConnectBackoff = Duration::zero();
  NoteHeard(aState, target, aNow);
  const auto reply = std::make_shared<const Reply>(std::move(aEvent.mReply));
  ObserveReply(aState, target, connection, reply->mKind, aNow);
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
                  "another instance answered",
                  aEffects);
    RetireTarget(aState, target, aNow, aEffects);
  }
  RequestState* request = FindRequest(aState, connection.mLeg.mRequest);
  if (request != nullptr &&
      TakeSending(request->mLegs[connection.mLeg.mLeg], aEvent.mConnection)) {
    const std::uint32_t index = connection.mLeg.mLeg;
    Leg& leg = request->mLegs[index];
    if (reply->mKind == ReplyKind::kSuccess) {
      AcceptReply(aState, *request, leg, reply, aNow);
    } else {
      if (reply->mKind == ReplyKind::kFailure) {
        leg.mReply = reply;
      }
      HandleSendingFailed(aState,
                          *request,
                          index,
                          SendingFailure{ targetKey, reply->mKind, false },
                          aNow,
                          aEffects);
    }
    AnswerIfDue(aState, *request, aNow, aEffects);
  }
  ServeWaiting(aState, targetKey, aNow, aEffects);
  AfterConnectionGone(aState, targetKey, aNow, aEffects);
}

void
HandleConnectionOpened(ForwarderState& aState,
                       const ConnectionOpened& aEvent,
                       TimePoint aNow,
                       ForwarderEffects& aEffects)
{
  const auto place = aState.mConnections.find(aEvent.mConnection);
  if (place == aState.mConnections.end()) {
    return;
  }
  const TargetKey targetKey = place->second.mTarget;
  NoteHeard(aState, aState.mTargets.at(targetKey), aNow);
  ReleaseConnection(
    aState, aEvent.mConnection, true, std::nullopt, aNow, aEffects);
  ServeWaiting(aState, targetKey, aNow, aEffects);
}

void
HandleConnectionRefused(ForwarderState& aState,
                        const ConnectionRefused& aEvent,
                        TimePoint aNow,
                        ForwarderEffects& aEffects)
{
  const auto place = aState.mConnections.find(aEvent.mConnection);
  if (place == aState.mConnections.end()) {
    return;
  }
  ++aState.mCounters.mConnectionFailures;
  const TargetKey targetKey = place->second.mTarget;
  TargetState& target = aState.mTargets.at(targetKey);
  DropConnection(aState, aEvent.mConnection);
  ObserveOutcome(target, true, aNow);
  LogConnection(
    aState, "connection-refused", target, "connect failed", aEffects);
  BackOff(aState, target, aNow);
  AfterConnectionGone(aState, targetKey, aNow, aEffects);
}

void
HandleConnectionEnded(ForwarderState& aState,
                      const ConnectionEnded& aEvent,
                      TimePoint aNow,
                      ForwarderEffects& aEffects)
{
  const auto place = aState.mConnections.find(aEvent.mConnection);
  if (place == aState.mConnections.end()) {
    return;
  }
  const TargetConnection connection = place->second;
  const TargetKey targetKey = connection.mTarget;
  TargetState& target = aState.mTargets.at(targetKey);
  DropConnection(aState, aEvent.mConnection);
  if (!connection.mHasServed) {
    // The target resets connections beyond its limit just after it accepts
    // them; asking again at once would never end.
    BackOff(aState, target, aNow);
  }
  if (connection.mStatus == ConnectionStatus::kBusy) {
    if (aEvent.mIsRequestWritten) {
      ObserveOutcome(target, true, aNow);
      LogConnection(aState,
                    "connection-lost",
                    target,
                    "ended during an exchange",
                    aEffects);
    }
    RequestState* request = FindRequest(aState, connection.mLeg.mRequest);
    if (request != nullptr &&
        TakeSending(request->mLegs[connection.mLeg.mLeg], aEvent.mConnection)) {
      HandleSendingFailed(aState,
                          *request,
                          connection.mLeg.mLeg,
                          SendingFailure{ targetKey,
                                          ReplyKind::kInvalid,
                                          !aEvent.mIsRequestWritten },
                          aNow,
                          aEffects);
      AnswerIfDue(aState, *request, aNow, aEffects);
    }
  }
  AfterConnectionGone(aState, targetKey, aNow, aEffects);
}

void
HandleAbandoned(ForwarderState& aState,
                ConnectionId aConnection,
                TimePoint aNow,
                ForwarderEffects& aEffects)
{
  const auto place = aState.mConnections.find(aConnection);
  if (place == aState.mConnections.end() || aNow < place->second.mAbandonAt) {
    return;
  }
  const TargetKey targetKey = place->second.mTarget;
  TargetState& target = aState.mTargets.at(targetKey);
  ObserveOutcome(target, true, aNow);
  LogConnection(
    aState, "connection-closed", target, "no reply in time", aEffects);
  CloseTargetConnection(aState, aConnection, aEffects);
  AfterConnectionGone(aState, targetKey, aNow, aEffects);
}

void
AbandonSendings(ForwarderState& aState, RequestState& aRequest, TimePoint aNow)
{
  for (Leg& leg : aRequest.mLegs) {
    Abandon(aState, leg, aNow);
  }
}

} // namespace wasabispread::forwarding
