/*
 * Simulates a fleet of VMs in one process and in simulated time: messages
 * between VMs, targets, the platform and callers, with faults drawn from a
 * seed.
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

/** Delays, losses and duplicates of messages between VMs. */
struct NetworkBehaviour
{
  Duration mWithinZone = std::chrono::microseconds(300);
  Duration mBetweenZones = std::chrono::milliseconds(4);
  /** The largest random addition to a delay, as a share of the delay. */
  double mJitter = 0.2;
  /** The share of messages, 0 to 1, that arrive mRetransmission later. */
  double mLoss = 0;
  Duration mRetransmission = std::chrono::milliseconds(200);
  /** The share of messages, 0 to 1, that arrive twice. */
  double mDuplication = 0;
  /** Time until the sender of a message learns that a partitioned link is
      broken. */
  Duration mBreakDelay = std::chrono::seconds(5);
};

/** A caller's request and its outcome. */
struct Exchange
{
  VmId mVm;
  CallerRequest mRequest;
  TimePoint mAsked;
  TimePoint mAnswered;
  std::optional<Outcome> mOutcome;

  /** The answer, or nullptr if there is none. */
  const Answer* AnswerOrNull() const
  {
    return mOutcome ? std::get_if<Answer>(&*mOutcome) : nullptr;
  }

  /** The error, or nullptr if there is none. */
  const Error* ErrorOrNull() const
  {
    return mOutcome ? std::get_if<Error>(&*mOutcome) : nullptr;
  }
};

/** The fields of a request that a test sends. */
struct AskOptions
{
  std::string mService;
  Operation mOperation = Operation::kSearch;
  std::string mKey;
  Duration mTimeout = std::chrono::seconds(1);
  std::string mRequestId;
  std::string mIdempotencyKey;
};

/** A simulated fleet. The same seed and the same calls give the same run. */
class FakeFleet
{
public:
  explicit FakeFleet(std::uint64_t aSeed);

  Timeline mTimeline;
  NetworkBehaviour mNetwork;
  FakePlatform mPlatform;
  /** The peers in the settings of VMs that are started from now on. */
  std::vector<VmRecord> mSettingsPeers;
  /** If set, is called with sender, receiver and message for each message
      that is sent. */
  std::function<void(VmId, VmId, const PeerMessage&)> mOnMessage;
  /** Whether log records are kept for Records(). */
  bool mStoresRecords = true;

  /** Starts a VM and adds it to the platform's list of VMs. */
  VmId AddVm(const std::string& aName, const std::string& aZone);

  /** Applies the text of a deployment file and creates the targets that it
      declares. Throws std::invalid_argument if the text is invalid. */
  Revision Apply(const std::string& aText);

  /** The target of this name, which an applied file must declare. */
  FakeTarget& TargetNamed(const std::string& aName);

  /** Advances the simulated time. */
  void RunFor(Duration aSpan);

  /** Sends a request to a VM and returns its position in Exchanges(). */
  std::size_t Ask(VmId aVm, const AskOptions& aOptions);

  /** Sends a request to a VM and advances the time until the answer, at most
      one minute. */
  const Exchange& AskAndWait(VmId aVm, const AskOptions& aOptions);

  /** Ends a VM at once: its connections to targets are closed, and the other
      VMs are notified that they lost this peer. */
  void Kill(VmId aVm);

  /** Starts a killed VM again, with no state but its settings. Without
      aIncarnation the incarnation is the next higher number; with it, the
      given one, as from a clock that was set wrongly. */
  void Restart(VmId aVm, std::optional<Incarnation> aIncarnation = {});

  /** Pauses a VM: its events are kept until Resume(). */
  void Pause(VmId aVm);

  /** Resumes a paused VM and delivers the kept events. */
  void Resume(VmId aVm);

  /** Delivers a stop request to a VM. */
  void Stop(VmId aVm);

  /** Starts or ends a partition of the network between two zones. */
  void SetPartitioned(const std::string& aZone,
                      const std::string& aOther,
                      bool aIsPartitioned);

  /** Makes the platform unreachable or reachable from a zone. */
  void SetPlatformPartitioned(const std::string& aZone, bool aIsPartitioned);

  /** Delivers an event to a VM now. */
  void Deliver(VmId aVm, Event aEvent);

  bool IsAlive(VmId aVm) const { return mVms.at(aVm).mIsAlive; }
  bool IsPaused(VmId aVm) const { return mVms.at(aVm).mIsPaused; }
  /** The confirmation reports to operators, in the order of completion. */
  const std::vector<ConfirmationReport>& Reports() const { return mReports; }

  const VmState& State(VmId aVm) const { return *mVms.at(aVm).mState; }
  VmState& State(VmId aVm) { return *mVms.at(aVm).mState; }
  const std::vector<Exchange>& Exchanges() const { return mExchanges; }
  const std::vector<ExecutionRecord>& Executions() const { return mExecutions; }
  const std::map<TargetId, std::unique_ptr<FakeTarget>>& Targets() const
  {
    return mTargets;
  }

  /** Number of messages that VMs sent to each other so far. */
  std::uint64_t MessagesSent() const { return mMessagesSent; }
  /** Decision records so far, if mStoresRecords was set. */
  const std::vector<DecisionRecord>& Records() const { return mRecords; }

private:
  struct Connection
  {
    VmId mVm;
    TargetId mTarget;
  };

  struct SimulatedVm
  {
    std::unique_ptr<VmState> mState;
    bool mIsAlive = true;
    bool mIsPaused = false;
    std::uint64_t mIncarnation = 1;
    std::vector<Event> mHeldEvents;
    TimePoint mTickAt = TimePoint::max();
  };

  using ConnectionKey = std::tuple<VmId, std::uint64_t, ConnectionId>;

  void StartVm(VmId aVm,
               const std::string& aName,
               const ZoneName& aZone,
               std::optional<Incarnation> aIncarnation = {});
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
  bool IsPartitioned(const ZoneName& aZone, const ZoneName& aOther) const;
  Duration DelayBetween(const ZoneName& aZone, const ZoneName& aOther);
  Duration DelayToTarget(VmId aVm, TargetId aTarget);

  Random mRandom;
  std::map<VmId, SimulatedVm> mVms;
  std::map<TargetId, std::unique_ptr<FakeTarget>> mTargets;
  std::map<TargetId, ZoneName> mTargetZones;
  std::map<Endpoint, TargetId> mTargetsByAddress;
  std::map<ConnectionKey, TargetId> mConnections;
  std::map<std::pair<VmId, VmId>, TimePoint> mLastArrival;
  std::set<std::pair<ZoneName, ZoneName>> mPartitions;
  std::set<ZoneName> mPlatformPartitions;
  std::vector<Exchange> mExchanges;
  std::vector<ExecutionRecord> mExecutions;
  std::vector<DecisionRecord> mRecords;
  std::vector<ConfirmationReport> mReports;
  std::uint64_t mMessagesSent = 0;
};

} // namespace wasabispread::testing
