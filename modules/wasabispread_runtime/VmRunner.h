/*
 * Feeds events to a VM's reducer and performs the effects that it returns.
 */
#pragma once

#include "FiberEvent.h"
#include "HttpClient.h"
#include "HttpServer.h"
#include "IoLoop.h"
#include "PeerTransport.h"

#include <wasabispread_decisions/wasabispread_decisions.h>
#include <wasabispread_telemetry/wasabispread_telemetry.h>

#include <deque>
#include <memory>
#include <unordered_map>

#include <boost/fiber/future.hpp>

namespace wasabispread {

/** Owns a VM's state and connects the reducer to sockets, timers, the platform
    and the log. Call it only from fibers of the thread that runs aLoop. It must
    outlive those fibers. */
class VmRunner
{
public:
  VmRunner(IoLoop& aLoop, VmState aState, Endpoint aPlatform, LogWriter& aLog);
  ~VmRunner();

  VmRunner(const VmRunner&) = delete;
  VmRunner& operator=(const VmRunner&) = delete;

  /** Opens the peer port and starts the reducer; kConnectionFailed when the
      port cannot be opened. */
  Result<std::monostate> Start(PeerTransportLimits aLimits);

  /** Reduces an event and performs its effects; never blocks. An event
      delivered while another one is processed is queued behind it. */
  void Deliver(Event aEvent);

  /** Executes a caller's request. Blocks the calling fiber until the outcome is
      known, or until aWatch reports that the caller disconnected. Sets the
      request's token. */
  Outcome ExecuteRequest(CallerRequest aRequest, const DisconnectWatch& aWatch);

  /** Asks all VMs whether they use a revision of the configuration. Blocks the
      calling fiber until the report is complete. */
  ConfirmationReport ConfirmRevision(Revision aRevision);

  /** The VM's current state. */
  const VmState& State() const { return mState; }

  /** The current time, as passed to the reducer. */
  static TimePoint Now() { return std::chrono::steady_clock::now(); }

private:
  struct TargetLink;

  void Perform(Effect& aEffect);
  void Perform(AnswerCaller& aEffect);
  void Perform(SendToPeer& aEffect);
  void Perform(OpenTargetConnection& aEffect);
  void Perform(CloseTargetConnection& aEffect);
  void Perform(SendToTarget& aEffect);
  void Perform(SendCancelToTarget& aEffect);
  void Perform(WatchConfiguration& aEffect);
  void Perform(ReadVmList& aEffect);
  void Perform(SwapClaim& aEffect);
  void Perform(ReadClaim& aEffect);
  void Perform(LogDecision& aEffect);
  void Perform(AnswerConfirmation& aEffect);

  void HandleCallerDisconnected(CallerToken aToken);
  void RunTimers();
  void RunTargetLink(ConnectionId aConnection,
                     const OpenTargetConnection& aOpening,
                     TargetLink& aLink);
  void HandleIdleConnectionClosed(ConnectionId aConnection);
  void DeliverTargetResult(ConnectionId aConnection,
                           const Result<HttpResponse>& aResponse);

  IoLoop& mLoop;
  VmState mState;
  Endpoint mPlatform;
  LogWriter& mLog;
  std::unique_ptr<PeerTransport> mTransport;
  /** Events that are not reduced yet. */
  std::deque<Event> mEvents;
  /** Whether Deliver() is running, further up the call stack. */
  bool mIsReducing = false;
  /** Wakes the timer fiber when an earlier deadline was set. */
  FiberEvent mTimerWake;
  /** The time until which the timer fiber sleeps. */
  TimePoint mTimerDue = TimePoint::max();
  std::uint64_t mNextToken = 1;
  std::unordered_map<CallerToken, boost::fibers::promise<Outcome>> mCallers;
  std::unordered_map<CallerToken, boost::fibers::promise<ConfirmationReport>>
    mOperators;
  std::unordered_map<ConnectionId, std::shared_ptr<TargetLink>> mTargetLinks;
};

} // namespace wasabispread
