/*
 * The simulated target's queue, executions and replies.
 */
#include "FakeTarget.h"

#include <algorithm>
#include <cmath>

namespace wasabispread::testing {

FakeTarget::FakeTarget(Target aTarget,
                       std::uint32_t aConnectionCap,
                       Timeline& aTimeline,
                       Random& aRandom,
                       std::vector<ExecutionRecord>& aExecutions)
  : mTarget(std::move(aTarget))
  , mConnectionCap(aConnectionCap)
  , mTimeline(aTimeline)
  , mRandom(aRandom)
  , mExecutions(aExecutions)
{
}

bool
FakeTarget::Connect()
{
  if (!mBehaviour.mIsAlive) {
    return false;
  }
  if (mConnections >= mConnectionCap) {
    ++mRefusedConnections;
    return false;
  }
  ++mConnections;
  ++mAcceptedConnections;
  mPeakConnections = std::max(mPeakConnections, mConnections);
  return true;
}

void
FakeTarget::Disconnect()
{
  if (mConnections > 0) {
    --mConnections;
  }
}

TargetReply
FakeTarget::MakeReply(const TargetRequest& aRequest, TargetStatus aStatus)
{
  TargetReply reply;
  reply.mAttempt = ToText(aRequest.mAttempt);
  reply.mStatus = aStatus;
  reply.mHeldSnapshots = mBehaviour.mSnapshots;
  reply.mBody = std::make_shared<const std::string>();
  reply.mHealth = mBehaviour.mHealth;
  return reply;
}

std::optional<TargetStatus>
FakeTarget::ReasonToRefuse(const TargetRequest& aRequest)
{
  if (mBehaviour.mIsDraining) {
    return TargetStatus::kDraining;
  }
  if (mRandom.Fraction() < mBehaviour.mShedShare) {
    return TargetStatus::kShed;
  }
  const auto& held = mBehaviour.mSnapshots;
  const bool isHeld =
    aRequest.mSnapshot.Value() == 0 ||
    std::find(held.begin(), held.end(), aRequest.mSnapshot) != held.end();
  return isHeld ? std::nullopt
                : std::optional(TargetStatus::kSnapshotUnavailable);
}

void
FakeTarget::Serve(const TargetRequest& aRequest, TargetResponder aResponder)
{
  if (!mBehaviour.mIsAlive) {
    aResponder.mReset(true);
    return;
  }
  if (mBehaviour.mReset == ResetPoint::kBeforeRequest) {
    aResponder.mReset(false);
    return;
  }
  ++mArrivals;
  if (mBehaviour.mReset == ResetPoint::kBeforeExecution) {
    aResponder.mReset(true);
    return;
  }
  Waiting waiting{ aRequest, std::move(aResponder) };
  const bool mustWait =
    mBehaviour.mIsFrozen ||
    (mBehaviour.mWorkers != 0 && mRunning >= mBehaviour.mWorkers);
  if (mustWait) {
    mWaiting.push_back(std::move(waiting));
    return;
  }
  Execute(std::move(waiting));
}

void
FakeTarget::Cancel(const std::string& aAttempt)
{
  ++mCancels;
  const auto found = std::find_if(
    mWaiting.begin(), mWaiting.end(), [&aAttempt](const Waiting& aWaiting) {
      return ToText(aWaiting.mRequest.mAttempt) == aAttempt;
    });
  if (found == mWaiting.end()) {
    return;
  }
  const Waiting waiting = std::move(*found);
  mWaiting.erase(found);
  Respond(waiting, MakeReply(waiting.mRequest, TargetStatus::kFailed));
}

void
FakeTarget::Thaw()
{
  mBehaviour.mIsFrozen = false;
  std::deque<Waiting> waiting;
  waiting.swap(mWaiting);
  for (Waiting& each : waiting) {
    Execute(std::move(each));
  }
}

Duration
FakeTarget::DrawServiceTime()
{
  if (mRandom.Fraction() < mBehaviour.mStragglerShare) {
    return mBehaviour.mStragglerTime;
  }
  if (!mBehaviour.mIsExponential) {
    return mBehaviour.mServiceTime;
  }
  const double mean = static_cast<double>(mBehaviour.mServiceTime.count());
  return Duration(
    static_cast<std::int64_t>(-mean * std::log(1.0 - mRandom.Fraction())));
}

void
FakeTarget::Execute(Waiting aWaiting)
{
  if (const auto reason = ReasonToRefuse(aWaiting.mRequest)) {
    Respond(aWaiting, MakeReply(aWaiting.mRequest, *reason));
    return;
  }
  const SnapshotVersion snapshot = aWaiting.mRequest.mSnapshot.Value() == 0
                                     ? mBehaviour.mSnapshots.back()
                                     : aWaiting.mRequest.mSnapshot;
  mExecutions.push_back(ExecutionRecord{ aWaiting.mRequest.mRequestId,
                                         ToText(aWaiting.mRequest.mAttempt),
                                         mTarget.mId,
                                         aWaiting.mRequest.mShard,
                                         snapshot,
                                         mTimeline.Now() });
  ++mRunning;
  mTimeline.After(DrawServiceTime(),
                  [this, waiting = std::move(aWaiting), snapshot] {
                    Finish(waiting, snapshot);
                  });
}

void
FakeTarget::Finish(const Waiting& aWaiting, SnapshotVersion aSnapshot)
{
  --mRunning;
  const bool isBroken =
    !mBehaviour.mIsAlive || mBehaviour.mReset == ResetPoint::kBeforeReply;
  if (isBroken) {
    aWaiting.mResponder.mReset(true);
  } else {
    TargetReply reply = MakeReply(aWaiting.mRequest, TargetStatus::kAnswered);
    reply.mSnapshot = aSnapshot;
    reply.mBody = std::make_shared<const std::string>(
      aWaiting.mRequest.mRequestId.Value() + "/" +
      std::to_string(aWaiting.mRequest.mShard.Value()) + "@" +
      std::to_string(aSnapshot.Value()));
    Respond(aWaiting, std::move(reply));
  }
  if (!mWaiting.empty() && !mBehaviour.mIsFrozen) {
    Waiting next = std::move(mWaiting.front());
    mWaiting.pop_front();
    Execute(std::move(next));
  }
}

void
FakeTarget::Respond(const Waiting& aWaiting, TargetReply aReply)
{
  if (mBehaviour.mChangeReply) {
    mBehaviour.mChangeReply(aReply);
  }
  aWaiting.mResponder.mReply(std::move(aReply));
}

} // namespace wasabispread::testing
