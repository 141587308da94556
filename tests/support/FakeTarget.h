/*
 * A simulated target with settable behaviour and faults. It records every
 * execution.
 */
#pragma once

#include "Timeline.h"

#include <wasabispread_decisions/wasabispread_decisions.h>

#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace wasabispread::testing {

/** At which step of an exchange a target breaks the connection. */
enum class ResetPoint
{
  kNever,
  /** Before the request is read; the reset reports it as not written. */
  kBeforeRequest,
  /** After the request is read, before it is executed. */
  kBeforeExecution,
  /** After the execution, before the reply. */
  kBeforeReply,
};

/** How a target behaves. Tests may change it at any time. */
struct TargetBehaviour
{
  bool mIsAlive = true;
  /** Queues requests without executing or answering them until Thaw(). */
  bool mIsFrozen = false;
  bool mIsDraining = false;
  /** The health that its replies state, whether it is true or not. */
  TargetHealth mHealth = TargetHealth::kUnknown;
  /** How long a new connection takes, beyond the network's delay. */
  Duration mConnectTime{};
  Duration mServiceTime = std::chrono::milliseconds(1);
  /** Draws the service time from an exponential distribution. */
  bool mIsExponential = false;
  /** The share of requests, 0 to 1, that take mStragglerTime. */
  double mStragglerShare = 0;
  Duration mStragglerTime = std::chrono::milliseconds(100);
  /** The share of requests, 0 to 1, that are refused with kShed. */
  double mShedShare = 0;
  /** How many requests are executed at a time; 0 means no limit. */
  std::uint32_t mWorkers = 0;
  std::vector<SnapshotVersion> mSnapshots{ SnapshotVersion(1) };
  ResetPoint mReset = ResetPoint::kNever;
  /** If set, is called on each reply before it is sent and may change it. */
  std::function<void(TargetReply&)> mChangeReply;
};

/** One execution of a sub-request. */
struct ExecutionRecord
{
  RequestId mRequestId;
  std::string mAttempt;
  TargetId mTarget;
  ShardIndex mShard;
  SnapshotVersion mSnapshot;
  TimePoint mTime;
};

/** How a target answers a request: with a reply, or by a reset of the
    connection. */
struct TargetResponder
{
  std::function<void(TargetReply)> mReply;
  std::function<void(bool aRequestWritten)> mReset;
};

/** One simulated target. */
class FakeTarget
{
public:
  FakeTarget(Target aTarget,
             std::uint32_t aConnectionCap,
             Timeline& aTimeline,
             Random& aRandom,
             std::vector<ExecutionRecord>& aExecutions);

  TargetBehaviour mBehaviour;

  /** Accepts a connection unless the target is dead or has reached its cap;
      returns whether it did. */
  bool Connect();

  /** Closes one open connection. */
  void Disconnect();

  /** Handles a request that has arrived: executes, queues, refuses or resets
      it. */
  void Serve(const TargetRequest& aRequest, TargetResponder aResponder);

  /** Answers a queued request with kFailed; an execution that has begun goes
      on. */
  void Cancel(const std::string& aAttempt);

  /** Ends mIsFrozen and executes the queued requests. */
  void Thaw();

  /** The largest number of connections that were open at the same time. */
  std::uint32_t PeakConnections() const { return mPeakConnections; }

  /** Connections refused because the cap was reached. */
  std::uint64_t RefusedConnections() const { return mRefusedConnections; }

  /** Connections accepted so far. */
  std::uint64_t AcceptedConnections() const { return mAcceptedConnections; }

  /** Connections that are open now. */
  std::uint32_t Connections() const { return mConnections; }

  /** Cancellations that arrived. */
  std::uint64_t Cancels() const { return mCancels; }

  /** Sub-requests that were read, whether executed or not. */
  std::uint64_t Arrivals() const { return mArrivals; }

private:
  struct Waiting
  {
    TargetRequest mRequest;
    TargetResponder mResponder;
  };

  TargetReply MakeReply(const TargetRequest& aRequest, TargetStatus aStatus);
  std::optional<TargetStatus> ReasonToRefuse(const TargetRequest& aRequest);
  void Execute(Waiting aWaiting);
  void Finish(const Waiting& aWaiting, SnapshotVersion aSnapshot);
  void Respond(const Waiting& aWaiting, TargetReply aReply);
  Duration DrawServiceTime();

  Target mTarget;
  std::uint32_t mConnectionCap;
  Timeline& mTimeline;
  Random& mRandom;
  std::vector<ExecutionRecord>& mExecutions;
  std::uint32_t mConnections = 0;
  std::uint32_t mPeakConnections = 0;
  std::uint32_t mRunning = 0;
  std::uint64_t mArrivals = 0;
  std::uint64_t mRefusedConnections = 0;
  std::uint64_t mAcceptedConnections = 0;
  std::uint64_t mCancels = 0;
  std::deque<Waiting> mWaiting;
};

} // namespace wasabispread::testing
