/*
 * Feeds events to one node's reducer and performs its effects.
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

/** The shell around a node's state. All calls come from fibers of the thread
    that runs the loop. It must outlive those fibers. */
class VmRunner
{
public:
  VmRunner(IoLoop& aLoop, VmState aState, Endpoint aPlatform, LogWriter& aLog);
  ~VmRunner();

  VmRunner(const VmRunner&) = delete;
  VmRunner& operator=(const VmRunner&) = delete;

  /** Opens the peer port and begins. */
  Result<std::monostate> Start(PeerTransportLimits aLimits);

  /** Applies an event; never blocks. */
  void Deliver(Event aEvent);

  /** Asks on a caller's behalf and blocks its fiber until the outcome, or
      until aWatch tells that the caller is gone. The request's token is set
      here. */
  Outcome ExecuteRequest(CallerRequest aRequest, const DisconnectWatch& aWatch);

  /** Asks the fleet on an operator's behalf whether a revision is in force,
      and blocks its fiber until the report. */
  ConfirmationReport ConfirmRevision(Revision aRevision);

  /** The node's present state. */
  const VmState& State() const { return mState; }

  /** The present time, as the node sees it. */
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
  std::deque<Event> mEvents;
  bool mIsReducing = false;
  FiberEvent mTimerWake;
  TimePoint mTimerDue = TimePoint::max();
  std::uint64_t mNextToken = 1;
  std::unordered_map<CallerToken, boost::fibers::promise<Outcome>> mCallers;
  std::unordered_map<CallerToken, boost::fibers::promise<ConfirmationReport>>
    mOperators;
  std::unordered_map<ConnectionId, std::shared_ptr<TargetLink>> mTargetLinks;
};

} // namespace wasabispread
