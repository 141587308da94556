/*
 * Connects VM states without a network, a clock or real targets: each message
 * arrives, each connection opens and each target answers immediately. What is
 * measured is the cost of the decisions alone.
 */
#pragma once

#include <wasabispread_decisions/wasabispread_decisions.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wasabispread::benchmarks {

/** The shape of a deployment to measure with. Every service has the same
 * shape. */
struct FleetShape
{
  unsigned mVms = 8;
  unsigned mZones = 4;
  unsigned mServices = 1;
  unsigned mShards = 490;
  unsigned mReplicas = 1;
  unsigned mConnectionCap = 100;
  unsigned mResultBytes = 64;
};

/** The availability zone that a VM or a target is in. */
std::string
ZoneOf(unsigned aOrdinal, unsigned aZones);

/** Returns the text of the shape's deployment file. */
std::string
DeploymentOf(const FleetShape& aShape);

/** Returns the name of the service at the given position. */
std::string
ServiceNameOf(unsigned aPosition);

/** Returns the VM list of a shape. */
std::vector<VmRecord>
VmsOf(const FleetShape& aShape);

/** Makes a VM adopt a deployment and advances aNow as far as that takes;
 * throws std::runtime_error if the deployment is not adopted. */
void
AdoptDeployment(VmState& aVm,
                const std::string& aText,
                std::uint64_t aRevision,
                TimePoint& aNow);

/** Returns the state of the first VM of a shape, with the VM list and a
 * deployment in force by aNow. */
VmState
MakeReadyVm(const FleetShape& aShape, const std::string& aText, TimePoint aNow);

/** Counters of events, messages, requests and answers, summed over all VMs. */
struct Traffic
{
  std::uint64_t mEvents = 0;
  std::uint64_t mPeerMessages = 0;
  std::uint64_t mTargetRequests = 0;
  std::uint64_t mAnswers = 0;
  std::uint64_t mIncomplete = 0;
  /** Time spent in Reduce(), including the time to read the clock. */
  Duration mDecisionTime{};
};

/** All VMs of a shape, ready for requests. */
class DirectFleet
{
public:
  explicit DirectFleet(const FleetShape& aShape);

  /** Sends a search for a service to a VM and runs until no event is
   * pending. */
  void Search(unsigned aVm, unsigned aService);

  /** Sends a search, but leaves each sub-request without a reply. */
  void SearchWithoutReplies(unsigned aVm, unsigned aService);

  /** Returns the counts so far. */
  const Traffic& TrafficSoFar() const { return mTraffic; }

  VmState& Vm(unsigned aVm) { return *mVmStates[aVm]; }
  unsigned VmCount() const { return static_cast<unsigned>(mVmStates.size()); }

private:
  struct Delivery
  {
    std::uint32_t mVmIndex;
    Event mEvent;
  };

  void Post(std::uint32_t aVm, Event aEvent);
  void Run();
  void RunTimers(Duration aStep);
  void Perform(std::uint32_t aVm, Effects& aEffects);
  void PerformOne(std::uint32_t aVm, Effect& aEffect);
  void Ask(unsigned aVm, unsigned aService);

  FleetShape mShape;
  TimePoint mNow{ std::chrono::hours(1) };
  std::vector<std::unique_ptr<VmState>> mVmStates;
  std::unordered_map<VmId, std::uint32_t> mVmIndexById;
  std::deque<Delivery> mQueue;
  SharedBytes mResult;
  SharedBytes mBody;
  Traffic mTraffic;
  std::uint64_t mNextToken = 1;
  bool mTargetsReply = true;
};

} // namespace wasabispread::benchmarks
