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
constexpr Duration kConnectionLossDelay = std::chrono::milliseconds(1);

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
  mNextTick.assign(aVms, TimePoint::max());
  for (const VmRecord& vm : mVms) {
    VmIdentity identity;
    identity.mId = vm.mId;
    identity.mName = vm.mName;
    identity.mZone = vm.mZone;
    identity.mIncarnation = Incarnation(1);
    identity.mPeerAddress = vm.mPeerAddress;
    const auto vmIndex = static_cast<std::uint32_t>(mVmStates.size());
    mVmIndexById[vm.mId] = vmIndex;
    mVmStates.push_back(std::make_unique<VmState>(
      MakeVmState(std::move(identity), vm.mId.Value())));
    Post(Duration::zero(), vmIndex, Started{});
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
  for (const std::uint32_t vmIndex : std::exchange(mWatchers, {})) {
    Post(kPlatformDelay, vmIndex, StoreWatched{ mStored });
  }
}

void
ControlFleet::Kill(unsigned aVm)
{
  mIsAlive[aVm] = false;
  std::erase(mWatchers, aVm);
  std::erase_if(mVms, [this, aVm](const VmRecord& aRecord) {
    return aRecord.mId == mVmStates[aVm]->mSelf.mId;
  });
}

bool
ControlFleet::IsInForceEverywhere() const
{
  for (std::size_t vmIndex = 0; vmIndex < mVmStates.size(); ++vmIndex) {
    const bool isBehind =
      mVmStates[vmIndex]->mConfiguration.mRevision.Value() !=
      mStored.mStoreVersion;
    if (mIsAlive[vmIndex] && isBehind) {
      return false;
    }
  }
  return true;
}

bool
ControlFleet::IsKnownDead(unsigned aVm) const
{
  const VmId dead = mVmStates[aVm]->mSelf.mId;
  for (std::size_t vmIndex = 0; vmIndex < mVmStates.size(); ++vmIndex) {
    const auto& health = mVmStates[vmIndex]->mMembership.mHealth;
    const auto found = health.find(dead);
    const bool isConsideredAlive =
      found != health.end() &&
      found->second.mCondition != MemberCondition::kDead;
    if (mIsAlive[vmIndex] && isConsideredAlive) {
      return false;
    }
  }
  return true;
}

void
ControlFleet::Post(Duration aDelay, std::uint32_t aVm, Event aEvent)
{
  mQueue.push(Delivery{ mNow + aDelay, mNextOrder++, aVm, std::move(aEvent) });
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
    const bool isStale = isTick && mNextTick[next.mVmIndex] != mNow;
    if (mIsAlive[next.mVmIndex] && !isStale) {
      Deliver(next.mVmIndex, next.mEvent);
    }
  }
  mNow = until;
}

void
ControlFleet::Deliver(std::uint32_t aVm, const Event& aEvent)
{
  VmState& vmState = *mVmStates[aVm];
  ++mTraffic.mEvents;
  const double before = ThreadSeconds();
  const Effects effects = Reduce(vmState, aEvent, mNow);
  mTraffic.mProcessorSeconds += ThreadSeconds() - before;
  for (const Effect& effect : effects) {
    Perform(aVm, effect);
  }
  const TimePoint due = std::max(vmState.NextDue(), mNow);
  const bool isTickPast = mNextTick[aVm] <= mNow;
  if (due != TimePoint::max() && (isTickPast || due < mNextTick[aVm])) {
    mNextTick[aVm] = due;
    Post(due - mNow, aVm, Tick{});
  }
}

Duration
ControlFleet::DelayBetween(std::uint32_t aFrom, std::uint32_t aTo) const
{
  return mVmStates[aFrom]->mSelf.mZone == mVmStates[aTo]->mSelf.mZone
           ? kWithinZone
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
ControlFleet::Perform(std::uint32_t aVm, const Effect& aEffect)
{
  if (const auto* send = std::get_if<SendToPeer>(&aEffect)) {
    ++mTraffic.mMessages;
    mTraffic.mBytes += EncodeMessage(send->mMessage).size();
    const std::uint32_t receiver = mVmIndexById.at(send->mPeer);
    if (!mIsAlive[receiver]) {
      Post(kConnectionLossDelay, aVm, PeerLost{ send->mPeer });
      return;
    }
    const VmIdentity& self = mVmStates[aVm]->mSelf;
    Post(DelayBetween(aVm, receiver),
         receiver,
         PeerMessageReceived{ self.mId, self.mPeerAddress, send->mMessage });
  } else if (const auto* watch = std::get_if<WatchConfiguration>(&aEffect)) {
    CountPlatformCall();
    if (mStored.mStoreVersion > watch->mAfterVersion) {
      Post(kPlatformDelay, aVm, StoreWatched{ mStored });
    } else {
      mWatchers.push_back(aVm);
    }
  } else if (std::holds_alternative<ReadVmList>(aEffect)) {
    CountPlatformCall();
    Post(kPlatformDelay, aVm, VmListReceived{ mVms });
  }
}

} // namespace wasabispread::benchmarks
