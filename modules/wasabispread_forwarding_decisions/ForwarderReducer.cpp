/*
 * Dispatches each event and each due timer to the function that handles it.
 */
#include "wasabispread_forwarding_decisions.h"

namespace wasabispread::forwarding {

namespace {

void
HandleIdle(ForwarderState& aState,
           ConnectionId aConnection,
           TimePoint aNow,
           ForwarderEffects& aEffects)
{
  const auto found = aState.mConnections.find(aConnection);
  if (found == aState.mConnections.end() ||
      found->second.mStatus != ConnectionStatus::kIdle ||
      aNow < found->second.mIdleUntil) {
    return;
  }
  const TargetKey target = found->second.mTarget;
  CloseTargetConnection(aState, aConnection, aEffects);
  EnsureConnection(aState, aState.mTargets.at(target), aNow, aEffects);
}

void
HandleReconnect(ForwarderState& aState,
                TargetKey aTarget,
                TimePoint aNow,
                ForwarderEffects& aEffects)
{
  const auto found = aState.mTargets.find(aTarget);
  if (found != aState.mTargets.end()) {
    EnsureConnection(aState, found->second, aNow, aEffects);
  }
}

/** Dispatches events by type. */
struct EventHandler
{
  ForwarderState& mState;
  TimePoint mNow;
  ForwarderEffects& mEffects;

  void operator()(ForwarderStarted)
  {
    mState.mStarted = mNow;
    mEffects.push_back(
      WriteDecisionRecord{ { RecordClass::kState,
                             "started",
                             {},
                             { { "vm", mState.mPolicy.mName },
                               { "zone", mState.mPolicy.mZone.Value() } } } });
    mState.mTimers.Arm(mNow + kStartupSettleTime,
                       ForwarderTimer::kRefreshAssignments);
    mState.mTimers.Arm(mNow + kRegistrationTime,
                       ForwarderTimer::kRefreshAssignments);
    ReportStoreSilence(mState, mNow, mEffects);
    FollowStore(mState, mNow, mEffects);
    AcquireOrRenewLease(mState, mNow, mEffects);
  }

  void operator()(const RequestArrived& aEvent)
  {
    HandleRequestArrived(mState, aEvent, mNow, mEffects);
  }

  void operator()(const ForwarderCallerDisconnected& aEvent)
  {
    HandleCallerDisconnected(mState, aEvent, mNow, mEffects);
  }

  void operator()(const AnswerWritten& aEvent)
  {
    HandleAnswerWritten(
      mState.mAnswerReserve, aEvent.mToken, mState.mHoldUp, mNow);
  }

  void operator()(const ConnectionOpened& aEvent)
  {
    HandleConnectionOpened(mState, aEvent, mNow, mEffects);
  }

  void operator()(const ConnectionRefused& aEvent)
  {
    HandleConnectionRefused(mState, aEvent, mNow, mEffects);
  }

  void operator()(const ConnectionEnded& aEvent)
  {
    HandleConnectionEnded(mState, aEvent, mNow, mEffects);
  }

  void operator()(ReplyArrived& aEvent)
  {
    HandleReplyArrived(mState, std::move(aEvent), mNow, mEffects);
  }

  void operator()(EntriesListed& aEvent)
  {
    HandleEntriesListed(mState, std::move(aEvent), mNow, mEffects);
  }

  void operator()(ChangesWatched& aEvent)
  {
    HandleChangesWatched(mState, std::move(aEvent), mNow, mEffects);
  }

  void operator()(const StoreChecked& aEvent)
  {
    HandleStoreChecked(mState, aEvent, mNow, mEffects);
  }

  void operator()(const LeaseGranted& aEvent)
  {
    HandleLeaseGranted(mState, aEvent, mNow, mEffects);
  }

  void operator()(const MemberWritten& aEvent)
  {
    HandleMemberWritten(mState, aEvent, mNow, mEffects);
  }

  void operator()(const QuotaClaimed& aEvent)
  {
    HandleQuotaClaimed(mState, aEvent.mResult, mNow, mEffects);
  }

  void operator()(const QuotaRequested& aEvent)
  {
    HandleQuotaRequested(mState, aEvent, mNow, mEffects);
  }

  void operator()(const QuotaReplied& aEvent)
  {
    HandleQuotaReplied(mState, aEvent, mNow, mEffects);
  }

  void operator()(const MachineSuspended& aEvent)
  {
    mState.mFreshness.mSoundUntil -= aEvent.mTime;
    for (auto& [sequence, sent] : mState.mMembership.mRoutingRequests) {
      sent -= aEvent.mTime;
    }
    mState.mFreshness.mCheckedAt -= aEvent.mTime;
    if (auto& call = mState.mStore.mPendingCall) {
      call->mSince -= aEvent.mTime;
    }
    ShortenQuota(mState.mQuota, aEvent.mTime);
    mEffects.push_back(WriteDecisionRecord{
      { RecordClass::kState,
        "machine-suspended",
        {},
        { { "time_ms", ToMilliseconds(aEvent.mTime) } } } });
  }

  void operator()(const LeaseRenewed& aEvent)
  {
    HandleLeaseRenewed(mState, aEvent, mNow, mEffects);
  }

  void operator()(const PeerRouting& aEvent)
  {
    HandlePeerRouting(mState, aEvent, mNow, mEffects);
  }

  void operator()(const ChangesRequested& aEvent)
  {
    HandleChangesRequested(mState, aEvent, mNow, mEffects);
  }

  void operator()(const PeerChanges& aEvent)
  {
    HandlePeerChanges(mState, aEvent, mNow, mEffects);
  }

  void operator()(const RevisionReported& aEvent)
  {
    HandleRevisionReported(mState, aEvent, mNow, mEffects);
  }

  void operator()(const SubSearchArrived& aEvent)
  {
    HandleSubSearchArrived(mState, aEvent, mNow, mEffects);
  }

  void operator()(const SubSearchCancelled& aEvent)
  {
    HandleSubSearchCancelled(mState, aEvent, mNow, mEffects);
  }

  void operator()(const SubSearchConfirmed& aEvent)
  {
    HandleSubSearchConfirmed(mState, aEvent);
  }

  void operator()(const SubSearchReplied& aEvent)
  {
    HandleSubSearchReplied(mState, aEvent, mNow, mEffects);
  }

  void operator()(const VmLost& aEvent)
  {
    HandleVmLost(mState, aEvent, mNow, mEffects);
    HandleRelayLost(mState, aEvent.mVm, mNow, mEffects);
    HandleGranterLost(mState, aEvent.mVm, mNow, mEffects);
  }

  void operator()(const ForwarderStopRequested& aEvent)
  {
    if (mState.IsStopping()) {
      return;
    }
    mState.mStop = PlanStop(aEvent.mGrace, mNow);
    ShortenDeadlines(mState, mNow);
    RefuseWaitingVms(mState, mNow, mEffects);
    RefuseWaitingRequests(mState, mNow, mEffects);
    ReleaseQuotaClaims(mState, mEffects);
    if (mState.mMembership.mLeaseStatus == LeaseStatus::kHeld) {
      mEffects.push_back(EndLease{ mState.mMembership.mLease });
    }
    mEffects.push_back(WriteDecisionRecord{
      { RecordClass::kState,
        "stopping",
        {},
        { { "in_flight", static_cast<std::int64_t>(mState.mRequests.size()) },
          { "grace_ms", ToMilliseconds(aEvent.mGrace) } } } });
  }

  void operator()(ForwarderTick)
  {
    while (const auto timer = mState.mTimers.PopDue(mNow)) {
      HandleTimer(timer->mKind, timer->mKey);
    }
  }

  void HandleTimer(ForwarderTimer aKind, std::uint64_t aKey)
  {
    switch (aKind) {
      case ForwarderTimer::kReview:
        ReviewRequest(mState, RequestKey(aKey), mNow, mEffects);
        break;
      case ForwarderTimer::kAbandoned:
        HandleAbandoned(mState, ConnectionId(aKey), mNow, mEffects);
        break;
      case ForwarderTimer::kReconnect:
        HandleReconnect(mState, TargetKey(aKey), mNow, mEffects);
        break;
      case ForwarderTimer::kIdle:
        HandleIdle(mState, ConnectionId(aKey), mNow, mEffects);
        break;
      case ForwarderTimer::kFollowStore:
        if (!mState.mStore.mPendingCall) {
          FollowStore(mState, mNow, mEffects);
        }
        break;
      case ForwarderTimer::kConfirmEntries:
        ConfirmEntries(mState, mNow, mEffects);
        break;
      case ForwarderTimer::kReportSilence:
        ReportStoreSilence(mState, mNow, mEffects);
        break;
      case ForwarderTimer::kCheckStore:
        CheckStoreIfDue(mState, mNow, mEffects);
        break;
      case ForwarderTimer::kWatchOverdue:
        HandleWatchOverdue(mState, aKey, mNow, mEffects);
        break;
      case ForwarderTimer::kEntryMissing:
        HandleEntryMissingTimeout(mState, TargetKey(aKey), mNow, mEffects);
        break;
      case ForwarderTimer::kPauseEnd:
        HandlePauseEnd(mState, TargetKey(aKey), mNow, mEffects);
        break;
      case ForwarderTimer::kRefreshAssignments:
        RefreshAssignments(mState, mNow, mEffects);
        break;
      case ForwarderTimer::kLease:
        AcquireOrRenewLease(mState, mNow, mEffects);
        break;
      case ForwarderTimer::kRequestPeerRouting:
        RequestRoutingFromNextPeer(mState, mNow, mEffects);
        break;
      case ForwarderTimer::kRelayTimeout:
        HandleRelayTimeout(mState, aKey, mNow, mEffects);
        break;
      case ForwarderTimer::kQuotaClaims:
        ReviewQuotaClaims(mState, mNow, mEffects);
        break;
      case ForwarderTimer::kQuota:
        ReviewQuota(mState, mNow, mEffects);
        break;
      case ForwarderTimer::kQuotaAnswer:
        HandleQuotaAnswerDue(mState, aKey, mNow, mEffects);
        break;
      case ForwarderTimer::kEraSettled:
        HandleEraSettled(mState, mNow, mEffects);
        break;
      case ForwarderTimer::kChangesReply:
        HandleChangesReplyDue(mState, mNow, mEffects);
        break;
    }
  }
};

} // namespace

bool
ForwarderState::IsReady(TimePoint aNow) const
{
  return !IsStopping() && mConfiguration != nullptr && mStore.mIsLoaded &&
         !IsIsolated(*this, aNow) && !RefusesKeys(*this, aNow);
}

std::string
NameOf(const ForwarderState& aState, ServiceId aService)
{
  if (aState.mConfiguration != nullptr) {
    const auto service = aState.mConfiguration->mServices.find(aService);
    if (service != aState.mConfiguration->mServices.end()) {
      return service->second.mName;
    }
  }
  return std::to_string(aService.Value());
}

ForwarderState
MakeForwarderState(ForwarderPolicy aPolicy, std::uint64_t aSeed)
{
  ForwarderState state;
  state.mAnswerReserve = MakeAnswerReserve(aPolicy.mProcessorShare);
  state.mPolicy = std::move(aPolicy);
  state.mRandom = Random(aSeed);
  state.mNextSubSearch = aSeed;
  state.mQuota.mSession = aSeed;
  return state;
}

ForwarderEffects
Reduce(ForwarderState& aState, ForwarderEvent aEvent, TimePoint aNow)
{
  NoticeHoldUp(aState.mHoldUp, aState.NextDue(), aNow);
  ForwarderEffects effects;
  EventHandler handler{ aState, aNow, effects };
  std::visit(handler, aEvent);
  return effects;
}

} // namespace wasabispread::forwarding
