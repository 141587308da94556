/*
 * Hands each event to the part of the node that it concerns.
 */
#include "wasabispread_decisions.h"

#include <cassert>

namespace wasabispread {

namespace {

/** Dispatches events by type. */
struct EventHandler
{
  NodeState& mState;
  TimePoint mNow;
  Effects& mEffects;

  void operator()(const Started&)
  {
    StartConfiguration(mState, mEffects);
    StartMembership(mState, mEffects);
  }

  void operator()(const CallerRequest& aEvent)
  {
    HandleCallerRequest(mState, aEvent, mNow, mEffects);
  }

  void operator()(const CallerGone& aEvent)
  {
    HandleCallerGone(mState, aEvent, mEffects);
  }

  void operator()(const PeerMessageReceived& aEvent)
  {
    HandleMessage(aEvent.mPeer, aEvent.mAddress, aEvent.mMessage);
  }

  void operator()(const PeerLost& aEvent)
  {
    HandleOwnerLost(mState, aEvent.mPeer, mNow, mEffects);
  }

  void operator()(const AttemptsNotSent& aEvent)
  {
    HandleAttemptsNotSent(mState, aEvent, mNow, mEffects);
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
  }

  void operator()(const StopRequested&) { mState.mStopping = true; }

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
      HandleBatchReply(mState, aPeer, *reply, mNow, mEffects);
    } else if (const auto* cancel = std::get_if<BatchCancel>(&aMessage)) {
      HandleBatchCancel(mState, aPeer, *cancel, mNow, mEffects);
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
      case TimerKind::kReplyOwed:
        HandleReplyOwed(mState, ConnectionId(aTimer.mKey), mNow, mEffects);
        break;
      case TimerKind::kReconnect:
        HandleReconnect(mState, TargetId(aTimer.mKey), mNow, mEffects);
        break;
      case TimerKind::kWatchConfiguration:
        StartConfiguration(mState, mEffects);
        break;
      case TimerKind::kReadVmList:
        StartMembership(mState, mEffects);
        break;
    }
  }
};

} // namespace

Effects
Reduce(NodeState& aState, const Event& aEvent, TimePoint aNow)
{
  assert(aState.mLoopback.empty());
  Effects effects;
  EventHandler handler{ aState, aNow, effects };
  std::visit(handler, aEvent);
  while (!aState.mLoopback.empty()) {
    const PeerMessage message = std::move(aState.mLoopback.front());
    aState.mLoopback.pop_front();
    handler.HandleMessage(aState.mSelf.mId, aState.mSelf.mPeerAddress, message);
  }
  return effects;
}

void
SendToVm(NodeState& aState,
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
