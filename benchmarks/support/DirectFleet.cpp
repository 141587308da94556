/*
 * Delivers events between the VMs of a DirectFleet.
 */
#include "DirectFleet.h"

#include <stdexcept>

namespace wasabispread::benchmarks {

namespace {

constexpr Duration kStep = std::chrono::microseconds(1);
constexpr Duration kFlushWait = std::chrono::milliseconds(1);
constexpr Duration kAdoptionTime = std::chrono::seconds(10);
constexpr Duration kSettlingStep = std::chrono::milliseconds(500);
constexpr unsigned kSettlingSteps = 240;
constexpr unsigned kPortsPerHost = 60000;

} // namespace

std::string
ZoneOf(unsigned aOrdinal, unsigned aZones)
{
  return "zone-" + std::to_string(aOrdinal % aZones);
}

std::string
ServiceNameOf(unsigned aPosition)
{
  return "service-" + std::to_string(aPosition);
}

std::string
DeploymentOf(const FleetShape& aShape)
{
  std::string text = "format = 1\ndeployment = \"benchmark\"\n";
  unsigned ordinal = 0;
  for (unsigned service = 0; service < aShape.mServices; ++service) {
    const std::string name = ServiceNameOf(service);
    text += "[[service]]\nname = \"" + name +
            "\"\nshards = " + std::to_string(aShape.mShards) +
            "\noperations = [\"search\", \"lookup\", \"action\"]\n"
            "prefer = \"coverage\"\nleast_coverage = 1.0\n"
            "max_wait = \"180ms\"\nconnection_cap = " +
            std::to_string(aShape.mConnectionCap) +
            "\nextra_load_percent = 5\n";
    for (unsigned shard = 0; shard < aShape.mShards; ++shard) {
      for (unsigned replica = 0; replica < aShape.mReplicas; ++replica) {
        const unsigned host = ordinal / kPortsPerHost;
        const unsigned port = ordinal % kPortsPerHost + 1;
        text += "[[service.target]]\nname = \"" + name + "-" +
                std::to_string(shard) + "-" + std::to_string(replica) +
                "\"\naddress = \"10.0.0." + std::to_string(host + 1) + ":" +
                std::to_string(port) + "\"\nzone = \"" +
                ZoneOf(shard + replica, aShape.mZones) + "\"\nshards = [" +
                std::to_string(shard) + "]\n";
        ++ordinal;
      }
    }
  }
  return text;
}

std::vector<VmRecord>
VmsOf(const FleetShape& aShape)
{
  std::vector<VmRecord> vms;
  for (unsigned vm = 0; vm < aShape.mVms; ++vm) {
    VmRecord record;
    record.mName = "vm-" + std::to_string(vm);
    record.mId = IdFromName<VmId>(record.mName);
    record.mZone = ZoneName(ZoneOf(vm, aShape.mZones));
    record.mPeerAddress = Endpoint{ "10.1." + std::to_string(vm / 250) + "." +
                                      std::to_string(vm % 250 + 1),
                                    7000 };
    vms.push_back(std::move(record));
  }
  return vms;
}

void
AdoptDeployment(VmState& aVm,
                const std::string& aText,
                std::uint64_t aRevision,
                TimePoint& aNow)
{
  ConfigurationRecord record;
  record.mRevision = Revision(aRevision);
  record.mText = aText;
  Reduce(aVm,
         StoreWatched{ StoredConfiguration{ aRevision, std::move(record) } },
         aNow);
  // A long text is parsed in parts, one part per timer.
  constexpr unsigned kMaxParts = 10000;
  for (unsigned part = 0; part < kMaxParts; ++part) {
    if (aVm.mConfiguration.mRevision == Revision(aRevision)) {
      return;
    }
    aNow = std::max(aNow, aVm.NextDue());
    Reduce(aVm, Tick{}, aNow);
  }
  throw std::runtime_error("the benchmark's deployment was not adopted");
}

namespace {

VmState
MakeUnstartedVm(const VmRecord& aVm)
{
  VmIdentity identity;
  identity.mId = aVm.mId;
  identity.mName = aVm.mName;
  identity.mZone = aVm.mZone;
  identity.mIncarnation = Incarnation(1);
  identity.mPeerAddress = aVm.mPeerAddress;
  return MakeVmState(std::move(identity), aVm.mId.Value());
}

} // namespace

VmState
MakeReadyVm(const FleetShape& aShape, const std::string& aText, TimePoint aNow)
{
  const std::vector<VmRecord> vms = VmsOf(aShape);
  VmState vmState = MakeUnstartedVm(vms.front());
  TimePoint now = aNow - kAdoptionTime;
  Reduce(vmState, Started{}, now);
  Reduce(vmState, VmListReceived{ vms }, now);
  AdoptDeployment(vmState, aText, 1, now);
  return vmState;
}

DirectFleet::DirectFleet(const FleetShape& aShape)
  : mShape(aShape)
  , mResult(std::make_shared<const std::string>(aShape.mResultBytes, 'r'))
  , mBody(std::make_shared<const std::string>("query"))
{
  const std::vector<VmRecord> vms = VmsOf(aShape);
  const std::string text = DeploymentOf(aShape);
  TimePoint latest = mNow;
  for (const VmRecord& vm : vms) {
    mVmIndexById[vm.mId] = static_cast<std::uint32_t>(mVmStates.size());
    mVmStates.push_back(std::make_unique<VmState>(MakeUnstartedVm(vm)));
    VmState& vmState = *mVmStates.back();
    Reduce(vmState, Started{}, mNow);
    Reduce(vmState, VmListReceived{ vms }, mNow);
    TimePoint now = mNow;
    AdoptDeployment(vmState, text, 1, now);
    latest = std::max(latest, now);
  }
  mNow = latest;
  // Connections are divided in full only once the VM list has been stable.
  for (unsigned step = 0; step < kSettlingSteps; ++step) {
    RunTimers(kSettlingStep);
  }
}

void
DirectFleet::Post(std::uint32_t aVm, Event aEvent)
{
  mQueue.push_back(Delivery{ aVm, std::move(aEvent) });
}

void
DirectFleet::Run()
{
  while (!mQueue.empty()) {
    const Delivery delivery = std::move(mQueue.front());
    mQueue.pop_front();
    ++mTraffic.mEvents;
    const auto before = std::chrono::steady_clock::now();
    Effects effects =
      Reduce(*mVmStates[delivery.mVmIndex], delivery.mEvent, mNow);
    mTraffic.mDecisionTime += std::chrono::steady_clock::now() - before;
    Perform(delivery.mVmIndex, effects);
  }
}

void
DirectFleet::RunTimers(Duration aStep)
{
  mNow += aStep;
  for (std::uint32_t vmIndex = 0; vmIndex < mVmStates.size(); ++vmIndex) {
    if (mVmStates[vmIndex]->NextDue() <= mNow) {
      Post(vmIndex, Tick{});
    }
  }
  Run();
}

void
DirectFleet::Perform(std::uint32_t aVm, Effects& aEffects)
{
  for (Effect& effect : aEffects) {
    PerformOne(aVm, effect);
  }
}

void
DirectFleet::PerformOne(std::uint32_t aVm, Effect& aEffect)
{
  if (auto* send = std::get_if<SendToPeer>(&aEffect)) {
    ++mTraffic.mPeerMessages;
    const VmIdentity& self = mVmStates[aVm]->mSelf;
    Post(mVmIndexById.at(send->mPeer),
         PeerMessageReceived{
           self.mId, self.mPeerAddress, std::move(send->mMessage) });
  } else if (auto* open = std::get_if<OpenTargetConnection>(&aEffect)) {
    Post(aVm, TargetConnected{ open->mConnection });
  } else if (auto* request = std::get_if<SendToTarget>(&aEffect)) {
    ++mTraffic.mTargetRequests;
    if (mTargetsReply) {
      TargetReply reply;
      reply.mAttempt = ToText(request->mRequest.mAttempt);
      reply.mStatus = TargetStatus::kAnswered;
      reply.mSnapshot = SnapshotVersion(1);
      reply.mHeldSnapshots = { SnapshotVersion(1) };
      reply.mBody = mResult;
      Post(aVm, TargetReplied{ request->mConnection, std::move(reply), true });
    }
  } else if (std::holds_alternative<ReadVmList>(aEffect)) {
    Post(aVm, VmListReceived{ VmsOf(mShape) });
  } else if (auto* answer = std::get_if<AnswerCaller>(&aEffect)) {
    ++mTraffic.mAnswers;
    const Answer* whole = std::get_if<Answer>(&answer->mOutcome);
    if (whole == nullptr || !whole->IsComplete()) {
      ++mTraffic.mIncomplete;
    }
  }
}

void
DirectFleet::Ask(unsigned aVm, unsigned aService)
{
  CallerRequest request;
  request.mToken = CallerToken(mNextToken++);
  request.mRequestId =
    RequestId("request-" + std::to_string(request.mToken.Value()));
  request.mService = ServiceNameOf(aService);
  request.mOperation = Operation::kSearch;
  request.mBody = mBody;
  request.mTimeout = std::chrono::seconds(1);
  Post(aVm, std::move(request));
  Run();
  mNow += kStep;
}

void
DirectFleet::Search(unsigned aVm, unsigned aService)
{
  mTargetsReply = true;
  const std::uint64_t answered = mTraffic.mAnswers;
  Ask(aVm, aService);
  while (mTraffic.mAnswers == answered) {
    RunTimers(kFlushWait);
  }
}

void
DirectFleet::SearchWithoutReplies(unsigned aVm, unsigned aService)
{
  mTargetsReply = false;
  Ask(aVm, aService);
}

} // namespace wasabispread::benchmarks
