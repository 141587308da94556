/*
 * Many nodes in one process, driven without real time: their messages,
 * targets, platform and callers, with seeded faults.
 */
#pragma once

#include "FakePlatform.h"
#include "FakeTarget.h"
#include "Timeline.h"

#include <wasabispread_decisions/wasabispread_decisions.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wasabispread::testing {

/** Delays and losses between VMs. */
struct NetworkBehaviour
{
  Duration mWithinZone = std::chrono::microseconds(300);
  Duration mBetweenZones = std::chrono::milliseconds(4);
  /** The share of a delay that is random. */
  double mJitter = 0.2;
  /** The share of messages, 0 to 1, that arrive mRetransmission later. */
  double mLoss = 0;
  Duration mRetransmission = std::chrono::milliseconds(200);
  /** The share of messages, 0 to 1, that arrive twice. */
  double mDuplication = 0;
  /** How long a cut link takes to break. */
  Duration mBreakAfter = std::chrono::seconds(5);
};

/** A caller's request and what came of it. */
struct Exchange
{
  VmId mVm;
  CallerRequest mRequest;
  TimePoint mAsked;
  TimePoint mAnswered;
  std::optional<Outcome> mOutcome;

  /** The answer, or nullptr. */
  const Answer* AnswerOrNull() const
  {
    return mOutcome ? std::get_if<Answer>(&*mOutcome) : nullptr;
  }

  /** The error, or nullptr. */
  const Error* ErrorOrNull() const
  {
    return mOutcome ? std::get_if<Error>(&*mOutcome) : nullptr;
  }
};

/** What a test asks. */
struct AskOptions
{
  std::string mService;
  Operation mOperation = Operation::kSearch;
  std::string mKey;
  Duration mTimeout = std::chrono::seconds(1);
  std::string mRequestId;
  std::string mIdempotencyKey;
};

/** The fleet. The same seed and calls give the same history. */
class FakeFleet
{
public:
  explicit FakeFleet(std::uint64_t aSeed);

  Timeline mTimeline;
  NetworkBehaviour mNetwork;
  FakePlatform mPlatform;
  /** VMs that every VM's settings name from now on. */
  std::vector<VmRecord> mSettingsPeers;
  /** Sees each message that is sent, when set. */
  std::function<void(VmId, VmId, const PeerMessage&)> mOnMessage;
  /** Whether log records are kept for Records(). */
  bool mKeepsRecords = true;

  /** Starts a VM and puts it on the platform's list. */
  VmId AddVm(const std::string& aName, const std::string& aZone);

  /** Applies a deployment file and creates the targets it names. */
  Revision Apply(const std::string& aText);

  /** A target by name; it must be declared. */
  FakeTarget& TargetNamed(const std::string& aName);

  /** Runs for a span of time. */
  void RunFor(Duration aSpan);

  /** Asks a VM; the exchange's position is returned. */
  std::size_t Ask(VmId aVm, const AskOptions& aOptions);

  /** Asks a VM and runs until it answers, or for a minute. */
  const Exchange& AskAndWait(VmId aVm, const AskOptions& aOptions);

  /** Ends a VM at once; its links and connections break. */
  void Kill(VmId aVm);

  /** Starts a killed VM again, with nothing but its settings. Its clock may
      give it another incarnation than the next. */
  void Restart(VmId aVm, std::optional<Incarnation> aByItsClock = {});

  /** Holds back everything that happens to a VM. */
  void Pause(VmId aVm);

  /** Lets a paused VM see, late, what happened to it. */
  void Resume(VmId aVm);

  /** Asks a VM to stop. */
  void Stop(VmId aVm);

  /** Cuts or heals the links between two zones. */
  void SetCut(const std::string& aZone, const std::string& aOther, bool aIsCut);

  /** Cuts or heals a zone's way to the platform. */
  void SetPlatformCut(const std::string& aZone, bool aIsCut);

  /** Delivers an event to a VM now. */
  void Deliver(VmId aVm, Event aEvent);

  bool IsAlive(VmId aVm) const { return mNodes.at(aVm).mIsAlive; }
  bool IsPaused(VmId aVm) const { return mNodes.at(aVm).mIsPaused; }
  /** Operators' reports in the order of their ends. */
  const std::vector<ConfirmationReport>& Reports() const { return mReports; }

  const VmState& State(VmId aVm) const { return *mNodes.at(aVm).mState; }
  VmState& State(VmId aVm) { return *mNodes.at(aVm).mState; }
  const std::vector<Exchange>& Exchanges() const { return mExchanges; }
  const std::vector<ExecutionRecord>& Executions() const { return mExecutions; }
  const std::map<TargetId, std::unique_ptr<FakeTarget>>& Targets() const
  {
    return mTargets;
  }

  /** Messages and log records seen so far. */
  std::uint64_t MessagesSent() const { return mMessagesSent; }
  const std::vector<DecisionRecord>& Records() const { return mRecords; }

private:
  struct Connection
  {
    VmId mVm;
    TargetId mTarget;
  };

  struct Node
  {
    std::unique_ptr<VmState> mState;
    bool mIsAlive = true;
    bool mIsPaused = false;
    std::uint64_t mIncarnation = 1;
    std::vector<Event> mHeld;
    TimePoint mTickAt = TimePoint::max();
  };

  using ConnectionKey = std::tuple<VmId, std::uint64_t, ConnectionId>;

  void StartNode(VmId aVm,
                 const std::string& aName,
                 const ZoneName& aZone,
                 std::optional<Incarnation> aByItsClock = {});
  void DeliverTo(VmId aVm, std::uint64_t aIncarnation, Event aEvent);
  void ScheduleTick(VmId aVm);
  void Perform(VmId aVm, const Effect& aEffect);
  void PerformSend(VmId aVm, const SendToPeer& aEffect);
  void PerformOpen(VmId aVm, const OpenTargetConnection& aEffect);
  void PerformClose(VmId aVm, const CloseTargetConnection& aEffect);
  void PerformTargetSend(VmId aVm, const SendToTarget& aEffect);
  void PerformTargetCancel(VmId aVm, const SendCancelToTarget& aEffect);
  void PerformAnswer(VmId aVm, const AnswerCaller& aEffect);
  void PerformWatch(VmId aVm, const WatchConfiguration& aEffect);
  void PerformReadVms(VmId aVm);
  void PerformSwapClaim(VmId aVm, const SwapClaim& aEffect);
  void PerformReadClaim(VmId aVm, const ReadClaim& aEffect);
  void DropConnections(VmId aVm);
  bool IsCut(const ZoneName& aZone, const ZoneName& aOther) const;
  Duration DelayBetween(const ZoneName& aZone, const ZoneName& aOther);
  Duration DelayToTarget(VmId aVm, TargetId aTarget);

  Random mRandom;
  std::map<VmId, Node> mNodes;
  std::map<TargetId, std::unique_ptr<FakeTarget>> mTargets;
  std::map<TargetId, ZoneName> mTargetZones;
  std::map<Endpoint, TargetId> mTargetsByAddress;
  std::map<ConnectionKey, TargetId> mConnections;
  std::map<std::pair<VmId, VmId>, TimePoint> mLastArrival;
  std::set<std::pair<ZoneName, ZoneName>> mCuts;
  std::set<ZoneName> mPlatformCuts;
  std::vector<Exchange> mExchanges;
  std::vector<ExecutionRecord> mExecutions;
  std::vector<DecisionRecord> mRecords;
  std::vector<ConfirmationReport> mReports;
  std::uint64_t mMessagesSent = 0;
};

} // namespace wasabispread::testing
