/*
 * One forwarder's state, driven by hand: events in, effects out.
 */
#pragma once

#include <wasabispread_forwarding_decisions/wasabispread_forwarding_decisions.h>

#include <optional>
#include <string>
#include <vector>

namespace wasabispread::testing {

/** A request that a target got and has not answered. */
struct ReceivedRequest
{
  ConnectionId mConnection;
  std::string mInstance;
  RequestId mId;
  Duration mPatience{};
};

/** Drives a forwarder through Reduce(). Connections open at once unless their
    target is dark or refuses them; requests stay with the target until a test
    replies. */
class ForwarderHarness
{
public:
  /** Starts with the VM alone in its fleet and an empty store. */
  ForwarderHarness();

  /** Puts a configuration in force. */
  void Configure(std::vector<forwarding::Route> aRoutes,
                 std::uint64_t aVersion = 1);

  /** Registers a target under its service's name and a number. */
  void AddTarget(const std::string& aInstance,
                 const std::string& aService,
                 std::uint64_t aSequence = 1,
                 bool aIsDraining = false,
                 std::uint64_t aBorn = 1,
                 const std::string& aZone = "a");
  void RemoveTarget(const std::string& aInstance);
  void Change(forwarding::StoreChange aChange);

  /** A caller's request; returns its token. */
  CallerToken Ask(const std::string& aTarget,
                  std::optional<Duration> aPatience = std::nullopt);

  /** The requests that targets hold, in the order of sending. */
  const std::vector<ReceivedRequest>& Received() const { return mReceived; }

  /** The request last sent to a target. */
  const ReceivedRequest& At(const std::string& aInstance) const;
  bool Has(const std::string& aInstance) const;

  void Reply(const std::string& aInstance,
             forwarding::ReplyKind aKind,
             const std::string& aBody = "",
             unsigned aStatus = 200);

  /** Ends the connection under the request that a target holds. */
  void Break(const std::string& aInstance, bool aIsWritten = true);

  /** Lets time pass, with every timer at its time. */
  void RunFor(Duration aDuration);

  /** The answer to a caller, when there is one. */
  const forwarding::CallerAnswer* AnswerTo(CallerToken aToken) const;

  void Deliver(forwarding::ForwarderEvent aEvent);

  forwarding::ForwarderState mState;
  TimePoint mNow{ std::chrono::seconds(1000) };
  /** Targets that accept connections and reset them at once. */
  std::vector<std::string> mResetting;
  /** Whether no connection can be had and no target replies. */
  bool mIsDark = false;
  std::size_t mOpened = 0;
  std::vector<ConnectionId> mClosed;
  std::vector<forwarding::RequestPeerRouting> mPeersAsked;
  std::vector<forwarding::SendPeerMessage> mTold;
  std::vector<forwarding::ListStore> mLists;
  std::vector<forwarding::WatchStore> mWatches;
  std::vector<forwarding::DecisionRecord> mLines;

private:
  void Perform(forwarding::ForwarderEffect& aEffect);

  std::vector<ReceivedRequest> mReceived;
  std::vector<std::pair<CallerToken, forwarding::CallerAnswer>> mAnswers;
  std::vector<forwarding::ForwarderEvent> mPending;
  std::uint64_t mNextToken = 1;
  std::uint64_t mRevision = 1;
};

/** A route with one service. */
forwarding::Route
SingleRoute(const std::string& aService,
            forwarding::Repeatability aRepeatability,
            unsigned aMostTargets = 2);

/** A search over services "shard-0" and so on, under "/search/". */
forwarding::Route
SearchRoute(std::size_t aShards, double aLeastCoverage);

} // namespace wasabispread::testing
