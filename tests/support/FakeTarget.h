/*
 * A target as tests see it: its behaviour, its faults, and a record of every
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
  /** Before the request is read; the sender knows that nothing was sent. */
  kBeforeRequest,
  /** After the request is read, before it runs. */
  kBeforeExecution,
  /** After it ran, before the reply. */
  kBeforeReply,
};

/** How a target behaves; tests change it at any time. */
struct TargetBehaviour
{
  bool mIsAlive = true;
  /** Takes requests but neither runs nor answers them until thawed. */
  bool mIsFrozen = false;
  bool mIsDraining = false;
  /** What it says of itself; it need not be true. */
  TargetHealth mHealth = TargetHealth::kUnknown;
  /** How long a new connection takes, beyond the network's delay. */
  Duration mConnectTime{};
  Duration mServiceTime = std::chrono::milliseconds(1);
  /** Draws the service time from an exponential distribution. */
  bool mIsExponential = false;
  /** The share of requests, 0 to 1, that take mStragglerTime. */
  double mStragglers = 0;
  Duration mStragglerTime = std::chrono::milliseconds(100);
  /** The share of requests, 0 to 1, that are shed. */
  double mShed = 0;
  /** Requests that run at a time; 0 is no limit. */
  std::uint32_t mWorkers = 0;
  std::vector<SnapshotVersion> mSnapshots{ SnapshotVersion(1) };
  ResetPoint mReset = ResetPoint::kNever;
  /** Changes replies on their way out, when set. */
  std::function<void(TargetReply&)> mChangeReply;
};

/** One run of a sub-request. */
struct ExecutionRecord
{
  RequestId mRequestId;
  std::string mAttempt;
  TargetId mTarget;
  ShardIndex mShard;
  SnapshotVersion mSnapshot;
  TimePoint mTime;
};

/** Sends a reply back, or breaks the connection. */
struct TargetResponder
{
  std::function<void(TargetReply)> mReply;
  std::function<void(bool aRequestWritten)> mReset;
};

/** One target. */
class FakeTarget
{
public:
  FakeTarget(Target aTarget,
             std::uint32_t aConnectionCap,
             Timeline& aTimeline,
             Random& aRandom,
             std::vector<ExecutionRecord>& aExecutions);

  TargetBehaviour mBehaviour;

  /** Takes a connection unless the target is dead or its cap is reached. */
  bool Connect();

  /** Gives a connection back. */
  void Disconnect();

  /** Takes a request that has arrived. */
  void Serve(const TargetRequest& aRequest, TargetResponder aResponder);

  /** Drops a request that waits; one that runs goes on. */
  void Cancel(const std::string& aAttempt);

  /** Runs what a frozen target was given. */
  void Thaw();

  /** The most connections that were open at a time. */
  std::uint32_t PeakConnections() const { return mPeakConnections; }

  /** Connections refused because the cap was reached. */
  std::uint64_t RefusedConnections() const { return mRefusedConnections; }

  /** Connections taken. */
  std::uint64_t AcceptedConnections() const { return mAcceptedConnections; }

  /** Connections open at present. */
  std::uint32_t Connections() const { return mConnections; }

  /** Cancellations that arrived. */
  std::uint64_t Cancels() const { return mCancels; }

  /** Sub-requests that arrived, run or not. */
  std::uint64_t Arrivals() const { return mArrivals; }

private:
  struct Waiting
  {
    TargetRequest mRequest;
    TargetResponder mResponder;
  };

  TargetReply Refusal(const TargetRequest& aRequest, TargetStatus aStatus);
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
