/*
 * Nodes joined without network, clock or targets of substance: each message
 * arrives at once, each connection opens at once, each target answers at once.
 * What remains is the cost of the decisions.
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

/** A deployment to measure with. Every service has the same shape. */
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

/** The zone that a VM or a target is in. */
std::string
ZoneOf(unsigned aOrdinal, unsigned aZones);

/** The deployment file's text. */
std::string
DeploymentOf(const FleetShape& aShape);

/** The name of the service at a position. */
std::string
ServiceNameOf(unsigned aPosition);

/** The VM list of a shape. */
std::vector<VmRecord>
VmsOf(const FleetShape& aShape);

/** Puts a deployment's text in force at a node, for which aNow moves on;
    throws if that fails. */
void
BringIntoForce(VmState& aNode,
               const std::string& aText,
               std::uint64_t aRevision,
               TimePoint& aNow);

/** The first VM of a shape, with the VM list and a deployment in force by
    aNow. */
VmState
MakeReadyNode(const FleetShape& aShape,
              const std::string& aText,
              TimePoint aNow);

/** Counts of what crossed between nodes. */
struct Traffic
{
  std::uint64_t mEvents = 0;
  std::uint64_t mPeerMessages = 0;
  std::uint64_t mTargetRequests = 0;
  std::uint64_t mAnswers = 0;
  std::uint64_t mIncomplete = 0;
  /** Time within Reduce(), reading the clock included. */
  Duration mDeciding{};
};

/** All nodes of a shape, ready for requests. */
class DirectFleet
{
public:
  explicit DirectFleet(const FleetShape& aShape);

  /** Asks a VM to search a service and runs until everything settled. */
  void Search(unsigned aVm, unsigned aService);

  /** Asks, but leaves each sub-request without a reply. */
  void SearchWithoutReplies(unsigned aVm, unsigned aService);

  /** What crossed so far. */
  const Traffic& Seen() const { return mTraffic; }

  VmState& Node(unsigned aVm) { return *mNodes[aVm]; }
  unsigned VmCount() const { return static_cast<unsigned>(mNodes.size()); }

private:
  struct Delivery
  {
    std::uint32_t mNode;
    Event mEvent;
  };

  void Post(std::uint32_t aNode, Event aEvent);
  void Run();
  void RunTimers(Duration aStep);
  void Perform(std::uint32_t aNode, Effects& aEffects);
  void PerformOne(std::uint32_t aNode, Effect& aEffect);
  void Ask(unsigned aVm, unsigned aService);

  FleetShape mShape;
  TimePoint mNow{ std::chrono::hours(1) };
  std::vector<std::unique_ptr<VmState>> mNodes;
  std::unordered_map<VmId, std::uint32_t> mNodeOf;
  std::deque<Delivery> mQueue;
  SharedBytes mResult;
  SharedBytes mBody;
  Traffic mTraffic;
  std::uint64_t mNextToken = 1;
  bool mTargetsReply = true;
};

} // namespace wasabispread::benchmarks
