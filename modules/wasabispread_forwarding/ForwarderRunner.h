/*
 * Feeds events to one forwarder's reducer and performs its effects.
 */
#pragma once

#include "DecisionLog.h"
#include "StoreClient.h"

#include <deque>
#include <memory>
#include <unordered_map>

#include <boost/fiber/future.hpp>

namespace wasabispread::forwarding {

/** The shell around a forwarder's state. All calls come from fibers of the
    thread that runs the loop. It must outlive those fibers. */
class ForwarderRunner
{
public:
  ForwarderRunner(IoLoop& aLoop,
                  ForwarderState aState,
                  const Endpoint& aStore,
                  const PlatformAdapter& aAdapter,
                  DecisionLog& aLog);
  ~ForwarderRunner();

  ForwarderRunner(const ForwarderRunner&) = delete;
  ForwarderRunner& operator=(const ForwarderRunner&) = delete;

  /** Opens the peer port and begins. aLimitCallers is called with each change
      of the limits. */
  Result<std::monostate> Start(
    std::function<void(const CallerLimits&)> aLimitCallers);

  /** Applies an event; never blocks. */
  void Deliver(ForwarderEvent aEvent);

  /** Answers a caller's request, blocking its fiber; aWatch tells that the
      caller is gone. */
  HttpResponse Serve(const HttpRequest& aMessage,
                     const DisconnectWatch& aWatch);

  const ForwarderState& State() const { return mState; }

  /** Puts a changed rule for repeats in force. */
  void ChangeRepeatRule(const ExtraAttemptRule& aRule)
  {
    mState.mPolicy.mExtraAttemptRule = aRule;
  }

  /** The present time, as the forwarder sees it. */
  static TimePoint Now() { return std::chrono::steady_clock::now(); }

private:
  struct TargetLink;

  void Perform(AnswerRequest& aEffect);
  void Perform(OpenConnection& aEffect);
  void Perform(CloseConnection& aEffect);
  void Perform(SendRequest& aEffect);
  void Perform(ListStore& aEffect);
  void Perform(WatchStore& aEffect);
  void Perform(GrantLease& aEffect);
  void Perform(WriteMember& aEffect);
  void Perform(RenewLease& aEffect);
  void Perform(EndLease& aEffect);
  void Perform(RequestPeerRouting& aEffect);
  void Perform(SendPeerMessage& aEffect);
  void Perform(LimitCallers& aEffect);
  void Perform(WriteDecisionRecord& aEffect);

  Result<std::monostate> StartTransport();
  void HandlePeerMessage(VmId aPeer,
                         const Endpoint& aAddress,
                         const PeerMessage& aMessage);
  void DropCaller(CallerToken aToken);
  void RunTimers();
  void RunTargetLink(const OpenConnection& aOpening, TargetLink& aLink);
  void RunExchange(ConnectionId aConnection, TargetLink& aLink);
  void LoseIdleConnection(ConnectionId aConnection);

  IoLoop& mLoop;
  ForwarderState mState;
  const PlatformAdapter& mAdapter;
  DecisionLog& mLog;
  StoreClient mStore;
  std::unique_ptr<PeerTransport> mTransport;
  std::function<void(const CallerLimits&)> mLimitCallers;
  std::deque<ForwarderEvent> mEvents;
  bool mIsReducing = false;
  FiberEvent mTimerWake;
  TimePoint mTimerDue = TimePoint::max();
  std::uint64_t mNextToken = 1;
  std::unordered_map<CallerToken, boost::fibers::promise<CallerAnswer>>
    mCallers;
  std::unordered_map<ConnectionId, std::shared_ptr<TargetLink>> mLinks;
};

} // namespace wasabispread::forwarding
