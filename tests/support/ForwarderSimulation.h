/*
 * Runs the forwarder's reducer on arbitrary events in an arbitrary order, with
 * arbitrary gaps of time, and checks after each one what must hold in all of
 * them.
 */
#pragma once

#include <wasabispread_decisions/wasabispread_decisions.h>
#include <wasabispread_forwarding_decisions/wasabispread_forwarding_decisions.h>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace wasabispread::testing {

/** What a run did, to show that it reached the cases. */
struct SimulationCounts
{
  std::size_t mEvents = 0;
  std::size_t mRequests = 0;
  std::size_t mNotRun = 0;
  std::size_t mTimedOut = 0;
  std::size_t mFailed = 0;
  std::size_t mReplied = 0;
  std::size_t mSearchesAnswered = 0;
  std::size_t mSends = 0;
  std::size_t mSubSearches = 0;
  std::size_t mLateTicks = 0;
  /** The requests in progress when a stop began. */
  std::size_t mStopped = 0;

  void Add(const SimulationCounts& aOther);
  std::string Text() const;
};

/** One run. All choices follow from the seed. */
class ForwarderSimulation
{
public:
  explicit ForwarderSimulation(std::uint64_t aSeed);

  /** Delivers aSteps arbitrary events, then lets everything end, and checks
      that nothing is left over. Throws std::logic_error, with the last events,
      when a check fails. */
  void Run(std::size_t aSteps);

  const SimulationCounts& Counts() const { return mCounts; }

private:
  /** A caller's request, or the part of a search for another VM. */
  struct Request
  {
    bool mIsIdempotent = false;
    /** The latest time of its answer, without what the forwarder reserves. */
    TimePoint mDeadline = TimePoint::max();
    bool mIsOver = false;
    bool mIsPromisedNotRun = false;
    /** Attempts that run, or may have run. */
    std::size_t mPossibleRuns = 0;
  };

  struct Connection
  {
    bool mIsOpen = false;
    /** The request in flight; empty while there is none. */
    std::string mRequest;
    /** When the target closes the idle connection. */
    TimePoint mKeptUntil = TimePoint::max();
  };

  using Perform = void (ForwarderSimulation::*)();

  void Require(bool aCondition, const std::string& aWhat) const;
  bool Chance(double aShare) { return mRandom.Fraction() < aShare; }
  /** A duration of any magnitude up to aLongest; short ones are as frequent as
      long ones. */
  Duration AnyDuration(Duration aLongest);
  template<class Container>
  auto AnyOf(Container& aContainer);

  void Deliver(forwarding::ForwarderEvent aEvent, const std::string& aName);
  void Tick();
  void PassTime();
  void CheckTimes() const;
  void CheckNothingIsLeft() const;

  void Apply(forwarding::AnswerRequest& aEffect);
  void Apply(forwarding::OpenConnection& aEffect);
  void Apply(forwarding::CloseConnection& aEffect);
  void Apply(forwarding::SendRequest& aEffect);
  void Apply(forwarding::SendPeerMessage& aEffect);
  void Apply(forwarding::RequestPeerRouting& aEffect);
  void Apply(forwarding::AbandonWatch& aEffect);
  /** Calls to the store, and effects without an event that follows. */
  template<class Effect>
  void Apply(Effect& aEffect);

  void Ask();
  void LeaveCaller();
  void WriteAnswer();
  void EndOpening();
  void ReplyOrEnd();
  void EndIdle();
  void ChangeStore();
  void AnswerStore();
  void AnswerPeer();
  void SendFromPeer();
  void LosePeer();
  void Stop();

  forwarding::Reply AnyReply();
  forwarding::TargetRecord AnyTarget();
  void ChangeConfiguration();
  void ReplyToSubSearch(const forwarding::SendPeerMessage& aMessage,
                        const SubSearch& aSearch);
  void DeliverReply(ConnectionId aConnection, forwarding::Reply aReply);
  void DeliverEnd(ConnectionId aConnection, bool aIsWritten);
  void EndAll();

  Random mRandom;
  forwarding::ForwarderState mState;
  TimePoint mNow{ std::chrono::seconds(1000) };
  std::vector<std::string> mTrace;
  std::map<std::string, Request> mRequests;
  std::map<CallerToken, std::string> mWaitingCallers;
  std::set<CallerToken> mUnwritten;
  std::map<ConnectionId, Connection> mConnections;
  std::deque<forwarding::ForwarderEffect> mStoreCalls;
  std::deque<forwarding::SendPeerMessage> mPeerMessages;
  std::vector<std::pair<VmId, std::uint64_t>> mPeerSearches;
  /** All changes of the store; the revision is their number. */
  std::vector<forwarding::StoreChange> mChanges;
  std::map<std::string, forwarding::TargetRecord> mTargets;
  std::map<std::string, forwarding::MemberRecord> mMembers;
  std::optional<forwarding::ConfigurationChange> mConfiguration;
  std::uint64_t mVersion = 0;
  std::uint64_t mNextToken = 1;
  bool mIsStopping = false;
  SimulationCounts mCounts;
};

} // namespace wasabispread::testing
