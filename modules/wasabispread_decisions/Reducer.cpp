/*
 * Passes each event to the part of the decisions that handles it.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <cassert>

namespace wasabispread {

namespace {

/** Handles an event by its type. */
struct EventHandler
{
  VmState& mState;
  TimePoint mNow;
  Effects& mEffects;

  void operator()(const Started&)
  {
    StartHeartbeat(mState, mNow);
    StartCandidates(mState, mNow);
    StartMembership(mState, mNow, mEffects);
  }

  void operator()(const CallerRequest& aEvent)
  {
    HandleCallerRequest(mState, aEvent, mNow, mEffects);
  }

  void operator()(const CallerDisconnected& aEvent)
  {
    HandleCallerDisconnected(mState, aEvent, mNow, mEffects);
  }

  void operator()(const PeerMessageReceived& aEvent)
  {
    ObservePeerMessage(mState, aEvent.mPeer);
    HandleMessage(aEvent.mPeer, aEvent.mAddress, aEvent.mMessage);
  }

  void operator()(const PeerLost& aEvent)
  {
    AvoidOwner(mState, aEvent.mPeer, AvoidanceReason::kLost, mNow, mEffects);
    HandleOwnerLost(mState, aEvent.mPeer, mNow, mEffects);
    HandlePeerConnectionLost(mState, aEvent.mPeer, mNow, mEffects);
  }

  void operator()(const AttemptsNotSent& aEvent)
  {
    HandleAttemptsNotSent(mState, aEvent, mNow, mEffects);
  }

  void operator()(const ClaimSwapped& aEvent)
  {
    HandleClaimSwapped(mState, aEvent, mNow, mEffects);
  }

  void operator()(const ClaimRead& aEvent)
  {
    HandleClaimRead(mState, aEvent, mNow, mEffects);
  }

  void operator()(const TargetConnected& aEvent)
  {
    HandleTargetConnected(mState, aEvent, mNow, mEffects);
  }

  void operator()(const TargetConnectFailed& aEvent)
  {
    HandleTargetConnectFailed(mState, aEvent, mNow, mEffects);
  }

  void operator()(const TargetConnectionLost& aEvent)
  {
    HandleTargetConnectionLost(mState, aEvent, mNow, mEffects);
  }

  void operator()(const TargetReplied& aEvent)
  {
    HandleTargetReplied(mState, aEvent, mNow, mEffects);
  }

  void operator()(const StoreWatched& aEvent)
  {
    HandleStoreWatched(mState, aEvent, mNow, mEffects);
  }

  void operator()(const VmListReceived& aEvent)
  {
    HandleVmListReceived(mState, aEvent, mNow, mEffects);
    ObserveMembers(mState, mNow, mEffects);
  }

  void operator()(const StopRequested& aEvent)
  {
    if (mState.mStopping) {
      return;
    }
    mState.mStopping = true;
    mState.mRefusingFrom = mNow + aEvent.mNotice;
    mState.mReleasingFrom =
      mNow + std::min(aEvent.mNotice, mState.mPlacement.mHoldDelay);
    AnnounceStop(mState, mNow, mEffects);
    mState.mTimers.Arm(mState.mReleasingFrom, TimerKind::kReleaseConnections);
  }

  void operator()(const OperatorConfirmationRequest& aEvent)
  {
    HandleOperatorConfirmationRequest(mState, aEvent, mNow, mEffects);
  }

  void operator()(const Tick&)
  {
    while (const auto timer = mState.mTimers.PopDue(mNow)) {
      HandleTimer(*timer);
    }
  }

  void HandleMessage(VmId aPeer,
                     const Endpoint& aAddress,
                     const PeerMessage& aMessage)
  {
    if (const auto* request = std::get_if<BatchRequest>(&aMessage)) {
      HandleBatchRequest(mState, aPeer, aAddress, *request, mNow, mEffects);
    } else if (const auto* reply = std::get_if<BatchReply>(&aMessage)) {
      ObserveOwnerReply(mState, aPeer, *reply, mNow, mEffects);
      HandleBatchReply(mState, aPeer, *reply, mNow, mEffects);
    } else if (const auto* cancel = std::get_if<BatchCancel>(&aMessage)) {
      HandleBatchCancel(mState, aPeer, *cancel, mNow, mEffects);
    } else {
      HandleControlMessage(aPeer, aAddress, aMessage);
    }
  }

  void HandleControlMessage(VmId aPeer,
                            const Endpoint& aAddress,
                            const PeerMessage& aMessage)
  {
    if (const auto* probe = std::get_if<MemberProbe>(&aMessage)) {
      HandleProbe(mState, aPeer, aAddress, *probe, mNow, mEffects);
    } else if (std::holds_alternative<MembersRequest>(aMessage)) {
      HandleMembersRequest(mState, aPeer, aAddress, mEffects);
    } else if (const auto* members = std::get_if<MembersReply>(&aMessage)) {
      HandleMembersReply(mState, *members, mNow, mEffects);
    } else if (const auto* offer = std::get_if<ConfigurationOffer>(&aMessage)) {
      HandleOffer(mState, aPeer, aAddress, *offer, mNow, mEffects);
    } else if (const auto* wanted = std::get_if<SectionsRequest>(&aMessage)) {
      HandleSectionsRequest(mState, aPeer, aAddress, *wanted, mEffects);
    } else if (const auto* sections = std::get_if<SectionsReply>(&aMessage)) {
      HandleSectionsReply(mState, *sections, mNow, mEffects);
    } else if (const auto* asked =
                 std::get_if<ConfirmationRequest>(&aMessage)) {
      HandleConfirmationRequest(
        mState, aPeer, aAddress, *asked, mNow, mEffects);
    } else if (const auto* report = std::get_if<ConfirmationReply>(&aMessage)) {
      HandleConfirmationReply(mState, aPeer, *report, mEffects);
    }
  }

  void HandleTimer(const Timer& aTimer)
  {
    switch (aTimer.mKind) {
      case TimerKind::kQueryDeadline:
        HandleQueryDeadline(mState, QueryId(aTimer.mKey), mNow, mEffects);
        break;
      case TimerKind::kBatchDeadline:
        HandleBatchDeadline(mState, BatchId(aTimer.mKey), mNow, mEffects);
        break;
      case TimerKind::kFlushReplies:
        FlushReplies(mState, VmId(aTimer.mKey), mEffects);
        break;
      case TimerKind::kLateReplyDeadline:
        HandleLateReplyDeadline(
          mState, ConnectionId(aTimer.mKey), mNow, mEffects);
        break;
      case TimerKind::kReconnect:
        HandleReconnect(mState, TargetId(aTimer.mKey), mNow, mEffects);
        break;
      case TimerKind::kWatchConfiguration:
        RequestConfiguration(mState, mNow, mEffects);
        break;
      case TimerKind::kReadVmList:
        RequestVmList(mState, mNow, mEffects);
        break;
      case TimerKind::kStopAnnounced:
        mState.mIsStopAnnounced = true;
        break;
      case TimerKind::kProbeRound:
        HandleProbeRound(mState, mNow, mEffects);
        break;
      case TimerKind::kSuspicionTimeout:
        HandleSuspicionTimeout(mState, VmId(aTimer.mKey), mNow, mEffects);
        break;
      case TimerKind::kParseConfiguration:
        ContinueParsing(mState, mNow, mEffects);
        break;
      case TimerKind::kConfirmation:
        HandleConfirmationDeadline(mState, aTimer.mKey, mEffects);
        break;
      case TimerKind::kRefreshCandidates:
        RefreshCandidates(mState, mNow, mEffects);
        break;
      case TimerKind::kProbeOwner:
        HandleProbeOwner(mState, VmId(aTimer.mKey), mNow, mEffects);
        break;
      case TimerKind::kOwnerReplyTimeout:
        HandleOwnerReplyTimeout(mState, VmId(aTimer.mKey), mNow, mEffects);
        break;
      case TimerKind::kIdleConnections:
        HandleIdleConnections(mState, TargetId(aTimer.mKey), mNow, mEffects);
        break;
      case TimerKind::kHeartbeat:
        StartHeartbeat(mState, mNow);
        break;
      case TimerKind::kReleaseConnections:
        ReleaseIdleConnections(mState, mEffects);
        break;
      case TimerKind::kClaimDeadline:
        HandleClaimDeadline(mState, ClaimToken(aTimer.mKey), mEffects);
        break;
      case TimerKind::kClaimRetry:
        HandleClaimRetry(mState, ClaimToken(aTimer.mKey), mEffects);
        break;
      case TimerKind::kHedge:
        HandleHedgeDue(mState, QueryId(aTimer.mKey), mNow, mEffects);
        break;
      case TimerKind::kEarlyAnswer:
        HandleEarlyAnswerDue(mState, QueryId(aTimer.mKey), mNow, mEffects);
        break;
    }
  }
};

/** Starts to wait for replies from each owner that is sent a cancellation: it
    has attempts to report on. */
void
AwaitCancelled(VmState& aState, const Effects& aEffects, TimePoint aNow)
{
  for (const Effect& effect : aEffects) {
    const auto* send = std::get_if<SendToPeer>(&effect);
    const bool isCancel =
      send != nullptr && std::holds_alternative<BatchCancel>(send->mMessage);
    if (isCancel) {
      ExpectOwnerReply(aState, send->mPeer, aNow);
    }
  }
}

} // namespace

Effects
Reduce(VmState& aState, const Event& aEvent, TimePoint aNow)
{
  assert(aState.mLoopback.empty());
  Effects effects;
  ObserveTime(aState, aNow, effects);
  EventHandler handler{ aState, aNow, effects };
  std::visit(handler, aEvent);
  while (!aState.mLoopback.empty()) {
    const PeerMessage message = std::move(aState.mLoopback.front());
    aState.mLoopback.pop_front();
    handler.HandleMessage(aState.mSelf.mId, aState.mSelf.mPeerAddress, message);
  }
  if (aState.mPlacement.mMembersEpoch != aState.mMembership.mEpoch) {
    ObserveMembers(aState, aNow, effects);
  }
  AwaitCancelled(aState, effects, aNow);
  return effects;
}

void
SendToVm(VmState& aState,
         VmId aPeer,
         const Endpoint& aAddress,
         PeerMessage aMessage,
         Effects& aEffects)
{
  if (aPeer == aState.mSelf.mId) {
    aState.mLoopback.push_back(std::move(aMessage));
    return;
  }
  aEffects.push_back(SendToPeer{ aPeer, aAddress, std::move(aMessage) });
}

} // namespace wasabispread
