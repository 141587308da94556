/*
 * Simulates the links, the platform and the clock of ControlFleet.
 */
#include "ControlFleet.h"

#include <wasabispread_wire/wasabispread_wire.h>

#include <algorithm>
#include <ctime>

namespace wasabispread::benchmarks {

namespace {

constexpr Duration kWithinZone = std::chrono::microseconds(300);
constexpr Duration kBetweenZones = std::chrono::milliseconds(4);
constexpr Duration kPlatformDelay = std::chrono::milliseconds(3);
constexpr Duration kBreakTime = std::chrono::milliseconds(1);

double
ThreadSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

} // namespace

ControlTraffic
operator-(const ControlTraffic& aLeft, const ControlTraffic& aRight)
{
  return { aLeft.mMessages - aRight.mMessages,
           aLeft.mBytes - aRight.mBytes,
           aLeft.mPlatformCalls - aRight.mPlatformCalls,
           aLeft.mEvents - aRight.mEvents,
           aLeft.mProcessorSeconds - aRight.mProcessorSeconds };
}

ControlFleet::ControlFleet(unsigned aVms, const FleetShape& aDeployment)
{
  FleetShape shape = aDeployment;
  shape.mVms = aVms;
  mVms = VmsOf(shape);
  Apply(aDeployment);
  mIsAlive.assign(aVms, true);
  mTickAt.assign(aVms, TimePoint::max());
  for (const VmRecord& vm : mVms) {
    VmIdentity identity;
    identity.mId = vm.mId;
    identity.mName = vm.mName;
    identity.mZone = vm.mZone;
    identity.mIncarnation = Incarnation(1);
    identity.mPeerAddress = vm.mPeerAddress;
    const auto node = static_cast<std::uint32_t>(mNodes.size());
    mNodeOf[vm.mId] = node;
    mNodes.push_back(std::make_unique<VmState>(
      MakeVmState(std::move(identity), vm.mId.Value())));
    Post(Duration::zero(), node, Started{});
  }
}

void
ControlFleet::Apply(const FleetShape& aDeployment)
{
  ++mStored.mStoreVersion;
  ConfigurationRecord record;
  record.mRevision = Revision(mStored.mStoreVersion);
  record.mChangeId = "change-" + std::to_string(mStored.mStoreVersion);
  record.mText = DeploymentOf(aDeployment);
  mStored.mRecord = std::move(record);
  for (const std::uint32_t node : std::exchange(mWatchers, {})) {
    Post(kPlatformDelay, node, StoreWatched{ mStored });
  }
}

void
ControlFleet::Kill(unsigned aVm)
{
  mIsAlive[aVm] = false;
  std::erase(mWatchers, aVm);
  std::erase_if(mVms, [this, aVm](const VmRecord& aRecord) {
    return aRecord.mId == mNodes[aVm]->mSelf.mId;
  });
}

bool
ControlFleet::IsInForceEverywhere() const
{
  for (std::size_t node = 0; node < mNodes.size(); ++node) {
    const bool isBehind =
      mNodes[node]->mConfiguration.mRevision.Value() != mStored.mStoreVersion;
    if (mIsAlive[node] && isBehind) {
      return false;
    }
  }
  return true;
}

bool
ControlFleet::IsKnownDead(unsigned aVm) const
{
  const VmId dead = mNodes[aVm]->mSelf.mId;
  for (std::size_t node = 0; node < mNodes.size(); ++node) {
    const auto& health = mNodes[node]->mMembership.mHealth;
    const auto place = health.find(dead);
    const bool isHeldAlive = place != health.end() &&
                             place->second.mCondition != MemberCondition::kDead;
    if (mIsAlive[node] && isHeldAlive) {
      return false;
    }
  }
  return true;
}

void
ControlFleet::Post(Duration aDelay, std::uint32_t aNode, Event aEvent)
{
  mQueue.push(
    Delivery{ mNow + aDelay, mNextOrder++, aNode, std::move(aEvent) });
}

void
ControlFleet::RunFor(Duration aSpan)
{
  const TimePoint until = mNow + aSpan;
  while (!mQueue.empty() && mQueue.top().mDue <= until) {
    // The queue's top is const; the element is popped right after the move.
    Delivery next = std::move(const_cast<Delivery&>(mQueue.top()));
    mQueue.pop();
    mNow = next.mDue;
    const bool isTick = std::holds_alternative<Tick>(next.mEvent);
    const bool isStale = isTick && mTickAt[next.mNode] != mNow;
    if (mIsAlive[next.mNode] && !isStale) {
      Deliver(next.mNode, next.mEvent);
    }
  }
  mNow = until;
}

void
ControlFleet::Deliver(std::uint32_t aNode, const Event& aEvent)
{
  VmState& node = *mNodes[aNode];
  ++mTraffic.mEvents;
  const double before = ThreadSeconds();
  const Effects effects = Reduce(node, aEvent, mNow);
  mTraffic.mProcessorSeconds += ThreadSeconds() - before;
  for (const Effect& effect : effects) {
    Perform(aNode, effect);
  }
  const TimePoint due = std::max(node.NextDue(), mNow);
  const bool isDone = mTickAt[aNode] <= mNow;
  if (due != TimePoint::max() && (isDone || due < mTickAt[aNode])) {
    mTickAt[aNode] = due;
    Post(due - mNow, aNode, Tick{});
  }
}

Duration
ControlFleet::DelayBetween(std::uint32_t aFrom, std::uint32_t aTo) const
{
  return mNodes[aFrom]->mSelf.mZone == mNodes[aTo]->mSelf.mZone ? kWithinZone
                                                                : kBetweenZones;
}

void
ControlFleet::CountPlatformCall()
{
  ++mTraffic.mPlatformCalls;
  const std::int64_t second =
    std::chrono::duration_cast<std::chrono::seconds>(mNow.time_since_epoch())
      .count();
  mCallsInSecond = second == mSecond ? mCallsInSecond + 1 : 1;
  mSecond = second;
  mBusiestSecond = std::max(mBusiestSecond, mCallsInSecond);
}

void
ControlFleet::Perform(std::uint32_t aNode, const Effect& aEffect)
{
  if (const auto* send = std::get_if<SendToPeer>(&aEffect)) {
    ++mTraffic.mMessages;
    mTraffic.mBytes += EncodeMessage(send->mMessage).size();
    const std::uint32_t receiver = mNodeOf.at(send->mPeer);
    if (!mIsAlive[receiver]) {
      Post(kBreakTime, aNode, PeerLost{ send->mPeer });
      return;
    }
    const VmIdentity& self = mNodes[aNode]->mSelf;
    Post(DelayBetween(aNode, receiver),
         receiver,
         PeerMessageReceived{ self.mId, self.mPeerAddress, send->mMessage });
  } else if (const auto* watch = std::get_if<WatchConfiguration>(&aEffect)) {
    CountPlatformCall();
    if (mStored.mStoreVersion > watch->mAfterVersion) {
      Post(kPlatformDelay, aNode, StoreWatched{ mStored });
    } else {
      mWatchers.push_back(aNode);
    }
  } else if (std::holds_alternative<ReadVmList>(aEffect)) {
    CountPlatformCall();
    Post(kPlatformDelay, aNode, VmListReceived{ mVms });
  }
}

} // namespace wasabispread::benchmarks
