/*
 * The simulated fleet: carries out the VMs' effects and delivers the resulting
 * events with delays and faults.
 */
#include "FakeFleet.h"

#include <stdexcept>

namespace wasabispread::testing {

FakeFleet::FakeFleet(std::uint64_t aSeed)
  : mPlatform(mTimeline)
  , mRandom(aSeed)
{
}

VmId
FakeFleet::AddVm(const std::string& aName, const std::string& aZone)
{
  const VmId vm = IdFromName<VmId>(aName);
  VmRecord record;
  record.mId = vm;
  record.mName = aName;
  record.mZone = ZoneName(aZone);
  record.mPeerAddress = Endpoint{ aName, 1 };
  mPlatform.SetVm(record);
  mVms[vm] = SimulatedVm{};
  StartVm(vm, aName, record.mZone);
  return vm;
}

void
FakeFleet::StartVm(VmId aVm,
                   const std::string& aName,
                   const ZoneName& aZone,
                   std::optional<Incarnation> aIncarnation)
{
  SimulatedVm& vm = mVms.at(aVm);
  VmIdentity identity;
  identity.mId = aVm;
  identity.mName = aName;
  identity.mZone = aZone;
  identity.mIncarnation = aIncarnation.value_or(Incarnation(vm.mIncarnation));
  identity.mPeerAddress = Endpoint{ aName, 1 };
  vm.mState = std::make_unique<VmState>(
    MakeVmState(std::move(identity), mRandom.Next(), mSettingsPeers));
  vm.mIsAlive = true;
  vm.mIsPaused = false;
  vm.mHeldEvents.clear();
  vm.mTickAt = TimePoint::max();
  Deliver(aVm, Started{});
}

Revision
FakeFleet::Apply(const std::string& aText)
{
  const auto deployment = ParseDeployment(aText, "test");
  if (!deployment) {
    throw std::invalid_argument(ToText(deployment.error().front()));
  }
  for (const Target& target : deployment->mTargets) {
    const Service* service = deployment->FindService(target.mService);
    mTargetZones[target.mId] = target.mZone;
    mTargetsByAddress[target.mAddress] = target.mId;
    if (!mTargets.contains(target.mId)) {
      mTargets[target.mId] = std::make_unique<FakeTarget>(
        target, service->mConnectionCap, mTimeline, mRandom, mExecutions);
      mTargets[target.mId]->mBehaviour.mConnectTime = service->mConnectTime;
    }
  }
  return mPlatform.Apply(aText);
}

FakeTarget&
FakeFleet::TargetNamed(const std::string& aName)
{
  return *mTargets.at(IdFromName<TargetId>(aName));
}

void
FakeFleet::RunFor(Duration aSpan)
{
  mTimeline.RunUntil(mTimeline.Now() + aSpan);
}

std::size_t
FakeFleet::Ask(VmId aVm, const AskOptions& aOptions)
{
  const std::size_t position = mExchanges.size();
  CallerRequest request;
  request.mToken = CallerToken(position);
  request.mRequestId =
    RequestId(aOptions.mRequestId.empty() ? "r" + std::to_string(position)
                                          : aOptions.mRequestId);
  request.mService = aOptions.mService;
  request.mOperation = aOptions.mOperation;
  request.mKey = aOptions.mKey;
  request.mBody = std::make_shared<const std::string>("body");
  request.mTimeout = aOptions.mTimeout;
  request.mIdempotencyKey = aOptions.mIdempotencyKey;
  mExchanges.push_back(
    Exchange{ aVm, request, mTimeline.Now(), TimePoint{}, std::nullopt });
  Deliver(aVm, request);
  return position;
}

const Exchange&
FakeFleet::AskAndWait(VmId aVm, const AskOptions& aOptions)
{
  const std::size_t position = Ask(aVm, aOptions);
  mTimeline.RunUntil(
    [this, position] { return mExchanges[position].mOutcome.has_value(); },
    mTimeline.Now() + std::chrono::minutes(1));
  return mExchanges[position];
}

void
FakeFleet::Kill(VmId aVm)
{
  SimulatedVm& vm = mVms.at(aVm);
  vm.mIsAlive = false;
  ++vm.mIncarnation;
  DropConnections(aVm);
  for (const auto& [other, otherVm] : mVms) {
    if (other != aVm && otherVm.mIsAlive) {
      const Duration delay =
        DelayBetween(vm.mState->mSelf.mZone, otherVm.mState->mSelf.mZone);
      mTimeline.After(
        delay,
        [this, to = other, from = aVm, incarnation = otherVm.mIncarnation] {
          DeliverTo(to, incarnation, PeerLost{ from });
        });
    }
  }
}

void
FakeFleet::Restart(VmId aVm, std::optional<Incarnation> aIncarnation)
{
  const VmIdentity identity = mVms.at(aVm).mState->mSelf;
  StartVm(aVm, identity.mName, identity.mZone, aIncarnation);
}

void
FakeFleet::Pause(VmId aVm)
{
  mVms.at(aVm).mIsPaused = true;
}

void
FakeFleet::Resume(VmId aVm)
{
  SimulatedVm& vm = mVms.at(aVm);
  vm.mIsPaused = false;
  std::vector<Event> held;
  held.swap(vm.mHeldEvents);
  for (Event& event : held) {
    Deliver(aVm, std::move(event));
  }
  ScheduleTick(aVm);
}

void
FakeFleet::Stop(VmId aVm)
{
  Deliver(aVm, StopRequested{});
}

void
FakeFleet::SetPartitioned(const std::string& aZone,
                          const std::string& aOther,
                          bool aIsPartitioned)
{
  for (const auto& pair : { std::pair(ZoneName(aZone), ZoneName(aOther)),
                            std::pair(ZoneName(aOther), ZoneName(aZone)) }) {
    if (aIsPartitioned) {
      mPartitions.insert(pair);
    } else {
      mPartitions.erase(pair);
    }
  }
}

void
FakeFleet::SetPlatformPartitioned(const std::string& aZone, bool aIsPartitioned)
{
  if (aIsPartitioned) {
    mPlatformPartitions.insert(ZoneName(aZone));
  } else {
    mPlatformPartitions.erase(ZoneName(aZone));
  }
}

void
FakeFleet::Deliver(VmId aVm, Event aEvent)
{
  SimulatedVm& vm = mVms.at(aVm);
  if (!vm.mIsAlive) {
    return;
  }
  if (vm.mIsPaused) {
    vm.mHeldEvents.push_back(std::move(aEvent));
    return;
  }
  const Effects effects = Reduce(*vm.mState, aEvent, mTimeline.Now());
  for (const Effect& effect : effects) {
    Perform(aVm, effect);
  }
  ScheduleTick(aVm);
}

void
FakeFleet::DeliverTo(VmId aVm, std::uint64_t aIncarnation, Event aEvent)
{
  if (mVms.at(aVm).mIncarnation == aIncarnation) {
    Deliver(aVm, std::move(aEvent));
  }
}

void
FakeFleet::ScheduleTick(VmId aVm)
{
  SimulatedVm& vm = mVms.at(aVm);
  const TimePoint due = vm.mState->NextDue();
  if (due == TimePoint::max() || vm.mTickAt <= due) {
    return;
  }
  vm.mTickAt = due;
  mTimeline.At(due, [this, aVm, due, incarnation = vm.mIncarnation] {
    SimulatedVm& ticked = mVms.at(aVm);
    const bool isCurrent = ticked.mIncarnation == incarnation &&
                           ticked.mTickAt == due && ticked.mIsAlive;
    if (!isCurrent) {
      return;
    }
    ticked.mTickAt = TimePoint::max();
    if (!ticked.mIsPaused) {
      Deliver(aVm, Tick{});
    }
  });
}

void
FakeFleet::Perform(VmId aVm, const Effect& aEffect)
{
  if (const auto* send = std::get_if<SendToPeer>(&aEffect)) {
    PerformSend(aVm, *send);
  } else if (const auto* open = std::get_if<OpenTargetConnection>(&aEffect)) {
    PerformOpen(aVm, *open);
  } else if (const auto* close = std::get_if<CloseTargetConnection>(&aEffect)) {
    PerformClose(aVm, *close);
  } else if (const auto* request = std::get_if<SendToTarget>(&aEffect)) {
    PerformTargetSend(aVm, *request);
  } else if (const auto* cancel = std::get_if<SendCancelToTarget>(&aEffect)) {
    PerformTargetCancel(aVm, *cancel);
  } else if (const auto* answer = std::get_if<AnswerCaller>(&aEffect)) {
    PerformAnswer(aVm, *answer);
  } else if (const auto* watch = std::get_if<WatchConfiguration>(&aEffect)) {
    PerformWatch(aVm, *watch);
  } else if (std::holds_alternative<ReadVmList>(aEffect)) {
    PerformReadVms(aVm);
  } else if (const auto* swap = std::get_if<SwapClaim>(&aEffect)) {
    PerformSwapClaim(aVm, *swap);
  } else if (const auto* read = std::get_if<ReadClaim>(&aEffect)) {
    PerformReadClaim(aVm, *read);
  } else if (const auto* record = std::get_if<LogDecision>(&aEffect)) {
    if (mStoresRecords) {
      mRecords.push_back(record->mRecord);
    }
  } else if (const auto* report = std::get_if<AnswerConfirmation>(&aEffect)) {
    mReports.push_back(report->mReport);
  }
}

void
FakeFleet::PerformSend(VmId aVm, const SendToPeer& aEffect)
{
  ++mMessagesSent;
  if (mOnMessage) {
    mOnMessage(aVm, aEffect.mPeer, aEffect.mMessage);
  }
  const SimulatedVm& sender = mVms.at(aVm);
  const auto found = mVms.find(aEffect.mPeer);
  const auto report =
    [this, aVm, peer = aEffect.mPeer, incarnation = sender.mIncarnation] {
      DeliverTo(aVm, incarnation, PeerLost{ peer });
    };
  if (found == mVms.end() || !found->second.mIsAlive) {
    mTimeline.After(mNetwork.mBetweenZones, report);
    return;
  }
  const SimulatedVm& receiver = found->second;
  const ZoneName& from = sender.mState->mSelf.mZone;
  const ZoneName& to = receiver.mState->mSelf.mZone;
  if (IsPartitioned(from, to)) {
    mTimeline.After(mNetwork.mBreakDelay, report);
    return;
  }
  Duration delay = DelayBetween(from, to);
  if (mRandom.Fraction() < mNetwork.mLoss) {
    delay += mNetwork.mRetransmission;
  }
  // Messages from one VM to another arrive in the order of sending, as on one
  // connection.
  TimePoint& last = mLastArrival[{ aVm, aEffect.mPeer }];
  last = std::max(last, mTimeline.Now() + delay);
  PeerMessageReceived event{ aVm,
                             sender.mState->mSelf.mPeerAddress,
                             aEffect.mMessage };
  const int copies = mRandom.Fraction() < mNetwork.mDuplication ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    mTimeline.At(
      last + delay * copy,
      [this, to = aEffect.mPeer, incarnation = receiver.mIncarnation, event] {
        DeliverTo(to, incarnation, event);
      });
  }
}

void
FakeFleet::PerformOpen(VmId aVm, const OpenTargetConnection& aEffect)
{
  const std::uint64_t incarnation = mVms.at(aVm).mIncarnation;
  const ConnectionId connection = aEffect.mConnection;
  const auto fail = [this, aVm, incarnation, connection] {
    DeliverTo(aVm, incarnation, TargetConnectFailed{ connection });
  };
  const auto found = mTargetsByAddress.find(aEffect.mAddress);
  if (found == mTargetsByAddress.end()) {
    mTimeline.After(mNetwork.mWithinZone, fail);
    return;
  }
  const TargetId target = found->second;
  if (IsPartitioned(mVms.at(aVm).mState->mSelf.mZone,
                    mTargetZones.at(target))) {
    mTimeline.After(aEffect.mTimeout, fail);
    return;
  }
  mTimeline.After(DelayToTarget(aVm, target) * 2 +
                    mTargets.at(target)->mBehaviour.mConnectTime,
                  [this, aVm, incarnation, connection, target, fail] {
                    const SimulatedVm& vm = mVms.at(aVm);
                    const bool isCurrent =
                      vm.mIsAlive && vm.mIncarnation == incarnation;
                    if (!isCurrent || !mTargets.at(target)->Connect()) {
                      fail();
                      return;
                    }
                    mConnections[{ aVm, incarnation, connection }] = target;
                    DeliverTo(aVm, incarnation, TargetConnected{ connection });
                  });
}

void
FakeFleet::PerformClose(VmId aVm, const CloseTargetConnection& aEffect)
{
  const auto connection = mConnections.extract(
    { aVm, mVms.at(aVm).mIncarnation, aEffect.mConnection });
  if (!connection.empty()) {
    mTargets.at(connection.mapped())->Disconnect();
  }
}

void
FakeFleet::PerformTargetSend(VmId aVm, const SendToTarget& aEffect)
{
  const std::uint64_t incarnation = mVms.at(aVm).mIncarnation;
  const ConnectionKey key{ aVm, incarnation, aEffect.mConnection };
  const TargetId target = mConnections.at(key);
  const auto back = [this, aVm, incarnation, key, target](const Event& aEvent) {
    if (IsPartitioned(mVms.at(aVm).mState->mSelf.mZone,
                      mTargetZones.at(target))) {
      return;
    }
    mTimeline.After(DelayToTarget(aVm, target),
                    [this, aVm, incarnation, key, aEvent] {
                      if (mConnections.contains(key)) {
                        DeliverTo(aVm, incarnation, aEvent);
                      }
                    });
  };
  TargetResponder responder;
  responder.mReply = [back, id = aEffect.mConnection](TargetReply aReply) {
    back(TargetReplied{ id, std::move(aReply), true });
  };
  responder.mReset = [back, id = aEffect.mConnection](bool aWritten) {
    back(TargetConnectionLost{ id, aWritten });
  };
  if (IsPartitioned(mVms.at(aVm).mState->mSelf.mZone,
                    mTargetZones.at(target))) {
    return;
  }
  mTimeline.After(DelayToTarget(aVm, target),
                  [this, target, request = aEffect.mRequest, responder] {
                    mTargets.at(target)->Serve(request, responder);
                  });
}

void
FakeFleet::PerformTargetCancel(VmId aVm, const SendCancelToTarget& aEffect)
{
  const std::uint64_t incarnation = mVms.at(aVm).mIncarnation;
  const ConnectionKey key{ aVm, incarnation, aEffect.mConnection };
  const TargetId target = mConnections.at(key);
  if (IsPartitioned(mVms.at(aVm).mState->mSelf.mZone,
                    mTargetZones.at(target))) {
    return;
  }
  const Duration delay = DelayToTarget(aVm, target);
  mTimeline.After(delay, [this, target, text = ToText(aEffect.mAttempt)] {
    mTargets.at(target)->Cancel(text);
  });
  mTimeline.After(
    delay * 2, [this, aVm, incarnation, key, id = aEffect.mConnection] {
      if (mConnections.contains(key)) {
        DeliverTo(aVm, incarnation, TargetReplied{ id, {}, true });
      }
    });
}

void
FakeFleet::PerformAnswer(VmId, const AnswerCaller& aEffect)
{
  Exchange& exchange = mExchanges.at(aEffect.mToken.Value());
  if (exchange.mOutcome) {
    throw std::logic_error("a caller was answered twice");
  }
  exchange.mOutcome = aEffect.mOutcome;
  exchange.mAnswered = mTimeline.Now();
}

void
FakeFleet::PerformWatch(VmId aVm, const WatchConfiguration& aEffect)
{
  const std::uint64_t incarnation = mVms.at(aVm).mIncarnation;
  const ZoneName zone = mVms.at(aVm).mState->mSelf.mZone;
  const auto deliver =
    [this, aVm, incarnation, zone](Result<StoredConfiguration> aResult) {
      if (mPlatformPartitions.contains(zone)) {
        aResult = Fail(ErrorKind::kPlatformUnavailable,
                       "the zone is partitioned from the platform",
                       "wait");
      }
      DeliverTo(aVm, incarnation, StoreWatched{ std::move(aResult) });
    };
  mPlatform.Watch(aEffect, deliver);
}

void
FakeFleet::PerformReadVms(VmId aVm)
{
  const std::uint64_t incarnation = mVms.at(aVm).mIncarnation;
  const ZoneName zone = mVms.at(aVm).mState->mSelf.mZone;
  const auto deliver =
    [this, aVm, incarnation, zone](Result<std::vector<VmRecord>> aResult) {
      if (mPlatformPartitions.contains(zone)) {
        aResult = Fail(ErrorKind::kPlatformUnavailable,
                       "the zone is partitioned from the platform",
                       "wait");
      }
      DeliverTo(aVm, incarnation, VmListReceived{ std::move(aResult) });
    };
  mPlatform.ReadVms(deliver);
}

void
FakeFleet::PerformSwapClaim(VmId aVm, const SwapClaim& aEffect)
{
  const std::uint64_t incarnation = mVms.at(aVm).mIncarnation;
  mPlatform.Swap(
    aEffect,
    [this, aVm, incarnation, token = aEffect.mToken](
      Result<std::uint64_t> aResult) {
      DeliverTo(aVm, incarnation, ClaimSwapped{ token, std::move(aResult) });
    });
}

void
FakeFleet::PerformReadClaim(VmId aVm, const ReadClaim& aEffect)
{
  const std::uint64_t incarnation = mVms.at(aVm).mIncarnation;
  mPlatform.Read(
    aEffect,
    [this, aVm, incarnation, token = aEffect.mToken](
      Result<StoredClaim> aResult) {
      DeliverTo(aVm, incarnation, ClaimRead{ token, std::move(aResult) });
    });
}

void
FakeFleet::DropConnections(VmId aVm)
{
  std::erase_if(mConnections, [this, aVm](const auto& aEntry) {
    if (std::get<VmId>(aEntry.first) != aVm) {
      return false;
    }
    mTargets.at(aEntry.second)->Disconnect();
    return true;
  });
}

bool
FakeFleet::IsPartitioned(const ZoneName& aZone, const ZoneName& aOther) const
{
  return mPartitions.contains({ aZone, aOther });
}

Duration
FakeFleet::DelayBetween(const ZoneName& aZone, const ZoneName& aOther)
{
  const Duration base =
    aZone == aOther ? mNetwork.mWithinZone : mNetwork.mBetweenZones;
  const double factor = 1.0 + mNetwork.mJitter * mRandom.Fraction();
  return Duration(
    static_cast<std::int64_t>(static_cast<double>(base.count()) * factor));
}

Duration
FakeFleet::DelayToTarget(VmId aVm, TargetId aTarget)
{
  return DelayBetween(mVms.at(aVm).mState->mSelf.mZone,
                      mTargetZones.at(aTarget));
}

} // namespace wasabispread::testing
