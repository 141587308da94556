/*
 * Clients that keep their connections and go on using them while daemons stop,
 * and the evaluation of what became of each request.
 */
#pragma once

#include "ForwarderFleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace wasabispread::testing {

/** What the disruptions of a run did, and when. */
struct DisruptionLog
{
  struct Daemon
  {
    /** The first stop signal of each stop, and all signals. */
    std::vector<TimePoint> mStops;
    std::vector<TimePoint> mSignals;
    std::vector<TimePoint> mStarts;
    /** The ends other than with exit code 0, each with what is known of it. */
    std::vector<std::string> mFailedEnds;
    /** The spans in which the daemon stood still. */
    std::vector<std::pair<TimePoint, TimePoint>> mHolds;

    bool IsStopping() const
    {
      return !mStops.empty() &&
             (mStarts.empty() || mStarts.back() < mStops.back());
    }
  };

  struct Version
  {
    TimePoint mTime{};
    Duration mTimeout{};
    Duration mIdleTime{};
  };

  explicit DisruptionLog(std::size_t aDaemons)
    : mDaemons(aDaemons)
  {
  }

  /** The smallest limits of the versions that may be in force at a time. */
  Version SmallestLimits(TimePoint aTime) const;

  std::size_t Stops() const;

  /** Records how late the test itself was at a time. */
  void RecordLag(Duration aLag, TimePoint aNow);

  std::vector<Daemon> mDaemons;
  std::vector<Version> mVersions;
  /** The longest time that the test itself was late since its start. */
  Duration mMaxLag{};
  /** When the test was last so late that its clients may have been kept from
      reading. */
  TimePoint mLastLag{};
};

/** When a client that was to give up at aExpiry gives up, at the time aNow.
    Later than aExpiry if the test was held up itself. */
TimePoint
GiveUpTime(TimePoint aExpiry, TimePoint aNow, TimePoint aLastLag);

/** A request and what the client saw of it. */
struct LossRequest
{
  std::string mId;
  std::string mKind;
  std::string mPath;
  std::size_t mDaemon = 0;
  TimePoint mFirstByte{};
  /** When the last byte was sent; TimePoint::max() if it was not. */
  TimePoint mLastByte = TimePoint::max();
  TimePoint mEnded{};
  Duration mDeadline{};
  /** 0 without a complete answer. */
  unsigned mStatus = 0;
  /** Whether an answer had told the client before that the connection closes.
   */
  bool mIsAfterClose = false;
  /** Whether the client gave up; otherwise a request without an answer ended
      with its connection. */
  bool mHasGivenUp = false;
  /** The client's port, and the bytes that it had sent from there in all. */
  std::uint16_t mPort = 0;
  std::size_t mBytesSent = 0;
  /** Whether the connection passes the daemon's link. */
  bool mIsLinked = false;
  /** What the system told of the connection when the client gave up. */
  std::string mTrace;
};

/** One client. It replaces its connection only once that is closed. */
class LossClient
{
public:
  LossClient(ForwarderFleet& aFleet,
             const DisruptionLog& aLog,
             std::vector<LossRequest>& aRequests,
             std::size_t aNumber,
             std::uint64_t aSeed);

  /** Sends requests until a time. */
  void Run(TimePoint aEnd);

private:
  struct Connection;

  std::uint64_t Pick(std::uint64_t aCount) { return mRandom.Below(aCount); }
  bool Connect();
  /** Half of the clients use the links of the daemons. */
  bool UsesLink() const { return mNumber % 4 >= 2; }
  Endpoint ServerEndpoint() const;
  /** What the system tells of the connection and the daemon. */
  std::string Trace() const;
  /** Waits before the next request, on an idle connection. */
  void Idle(TimePoint aEnd);
  LossRequest Describe(const std::string& aKind, const std::string& aPath);
  std::string Format(const LossRequest& aRequest, std::size_t aBodyBytes);
  void SendNext();
  void Exchange(std::vector<LossRequest> aRequests,
                const std::string& aText,
                std::size_t aPiece);
  /** Reads an answer; 0 when the connection ended or the time was up. */
  unsigned Receive(bool aIsSlow);

  ForwarderFleet& mFleet;
  const DisruptionLog& mLog;
  std::vector<LossRequest>& mRequests;
  std::size_t mNumber;
  /** The start of the ids of its requests, which differs between runs. */
  std::string mPrefix;
  Random mRandom;
  std::size_t mDaemon;
  std::uint64_t mNext = 0;
  std::shared_ptr<Connection> mConnection;
};

/** What became of the requests of a run. */
struct LossCounts
{
  std::size_t mSent = 0;
  std::size_t mServed = 0;
  /** Answered with another status than 200. */
  std::size_t mRefused = 0;
  /** Ended without an answer, in the ways that the rule allows: crossed a
      close, or reached their deadline or the end of the grace. */
  std::size_t mCrossed = 0;
  /** Never begun, and sent although the answer before said "close". */
  std::size_t mAfterClose = 0;
  std::size_t mLate = 0;
  std::size_t mGraceEnded = 0;
  /** The client's own link did not pass the request or its answer. */
  std::size_t mLinkEnded = 0;
  /** The client waited in vain, on an open connection. */
  std::vector<std::string> mSilent;
  /** Lost requests, orders that ran twice and requests that ran although the
      answer promises that they did not, each with what is known of it. */
  std::vector<std::string> mLost;
  std::vector<std::string> mTwice;
  std::vector<std::string> mBrokenPromises;
  /** Daemons that ended by themselves. */
  std::vector<std::string> mFailedEnds;

  bool IsSound() const
  {
    return mSilent.empty() && mLost.empty() && mTwice.empty() &&
           mBrokenPromises.empty() && mFailedEnds.empty();
  }
};

/** Evaluates the requests of a run whose daemons have aGrace to stop. */
LossCounts
CountLosses(const ForwarderFleet& aFleet,
            const DisruptionLog& aLog,
            const std::vector<LossRequest>& aRequests,
            Duration aGrace);

} // namespace wasabispread::testing
