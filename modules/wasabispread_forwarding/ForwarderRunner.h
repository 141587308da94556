/*
 * The runtime of one forwarder: passes events to the reducer and performs the
 * effects that it returns.
 */
#pragma once

#include "DecisionLog.h"
#include "StoreClient.h"

#include <deque>
#include <memory>
#include <unordered_map>

#include <boost/fiber/future.hpp>

namespace wasabispread::forwarding {

/** The runtime around a forwarder's state. Its functions may only be called
    from fibers of the thread that runs the loop, and it must outlive these
    fibers. */
class ForwarderRunner
{
public:
  /** aLoop, aAdapter and aLog must outlive the runner. aStore is the address of
      the platform's store. aMemory counts the replies of targets. */
  ForwarderRunner(IoLoop& aLoop,
                  ForwarderState aState,
                  const Endpoint& aStore,
                  const PlatformAdapter& aAdapter,
                  DecisionLog& aLog,
                  std::shared_ptr<MemoryAccount> aMemory);
  ~ForwarderRunner();

  ForwarderRunner(const ForwarderRunner&) = delete;
  ForwarderRunner& operator=(const ForwarderRunner&) = delete;

  /** Opens the peer port and starts the forwarder. aApplyCallerLimits is
      called with each change of the limits. */
  Result<std::monostate> Start(
    std::function<void(const CallerLimits&)> aApplyCallerLimits);

  /** Passes an event to the reducer and performs its effects; never blocks. An
      event that is delivered while another one is being applied is queued and
      applied after it. */
  void Deliver(ForwarderEvent aEvent);

  /** Answers a caller's request; blocks the calling fiber until the answer is
      known. aWatch reports that the caller closed its connection. */
  HttpResponse Serve(HttpRequest&& aMessage, const DisconnectWatch& aWatch);

  const ForwarderState& State() const { return mState; }

  /** Puts a changed limit on extra attempts in force. */
  void ChangeExtraAttemptRule(const ExtraAttemptRule& aRule)
  {
    mState.mPolicy.mExtraAttemptRule = aRule;
  }

  /** The present time of the clock that the forwarder's decisions use. */
  static TimePoint Now() { return std::chrono::steady_clock::now(); }

private:
  struct TargetLink;

  /** Tells the reducer when the machine was suspended: the steady clock does
     not count that time. */
  void NoticeSuspension();
  /** This VM's entry in the store. */
  MemberRecord Self() const;

  void Perform(AnswerRequest& aEffect);
  void Perform(OpenConnection& aEffect);
  void Perform(CloseConnection& aEffect);
  void Perform(SendRequest& aEffect);
  void Perform(ListStore& aEffect);
  void Perform(WatchStore& aEffect);
  void Perform(AbandonWatch& aEffect);
  void Perform(CheckStore& aEffect);
  void Perform(GrantLease& aEffect);
  void Perform(WriteMember& aEffect);
  void Perform(ClaimQuota& aEffect);
  void Perform(RenewLease& aEffect);
  void Perform(EndLease& aEffect);
  void Perform(RequestPeerRouting& aEffect);
  void Perform(SendPeerMessage& aEffect);
  void Perform(LimitCallers& aEffect);
  void Perform(WriteDecisionRecord& aEffect);

  /** Opens the port for messages of other VMs. */
  Result<std::monostate> StartTransport();
  /** Reads the changes of the store that another VM passed on. */
  PeerChanges ReadChanges(const ChangesReply& aReply) const;
  /** Delivers another VM's message to the reducer; ignores those of other
      parts. */
  void HandlePeerMessage(VmId aPeer,
                         const Endpoint& aAddress,
                         const PeerMessage& aMessage);
  /** Cancels the request of a caller that closed its connection, and ends the
      wait of the fiber that serves it. */
  void HandleCallerDisconnect(CallerToken aToken);
  /** Delivers a ForwarderTick whenever the state's next timer is due. */
  void RunTimers();
  /** Handles input that has arrived but is unread, as after this process was
      held up. Otherwise a due timer would give up a request whose reply is
      there. Polling here is safe: completed operations only wake fibers. */
  void HandleArrivedInput();
  /** Connects to a target and runs exchanges until the connection ends. */
  void RunTargetLink(const OpenConnection& aOpening, TargetLink& aLink);
  /** Sends the next request of a connection and delivers the target's reply, or
      the end of the connection. */
  void RunExchange(ConnectionId aConnection, TargetLink& aLink);
  /** Drops a connection that the target closed, or on which it sent
      unexpected data, between two requests. */
  void HandleIdleConnectionClosed(ConnectionId aConnection);

  IoLoop& mLoop;
  ForwarderState mState;
  const PlatformAdapter& mAdapter;
  DecisionLog& mLog;
  StoreClient mStore;
  std::shared_ptr<MemoryAccount> mMemory;
  std::unique_ptr<PeerTransport> mTransport;
  std::function<void(const CallerLimits&)> mApplyCallerLimits;
  /** Events that were delivered but not applied yet. */
  std::deque<ForwarderEvent> mEvents;
  /** Whether Deliver() is applying an event, further up the call stack. */
  bool mIsReducing = false;
  FiberEvent mTimerWake;
  /** The time until which RunTimers() waits. */
  TimePoint mTimerDue = TimePoint::max();
  /** The number of watches abandoned so far. */
  std::uint64_t mAbandonedWatches = 0;
  std::uint64_t mNextToken = 1;
  /** By how much the time since the machine's start, with suspensions, was
      ahead of the steady clock; none before the first event. */
  std::optional<Duration> mBootTimeAhead;
  /** The promises on whose answers the fibers in Serve() wait. */
  std::unordered_map<CallerToken, boost::fibers::promise<CallerAnswer>>
    mCallers;
  std::unordered_map<ConnectionId, std::shared_ptr<TargetLink>> mLinks;
};

} // namespace wasabispread::forwarding
