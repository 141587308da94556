/*
 * Sends the requests of clients that keep their connections, and decides which
 * of them were lost.
 */
#include "LossLoad.h"

#include "ConnectionTrace.h"

#include <wasabispread_runtime/AsioSupport.h>

#include <algorithm>
#include <map>
#include <optional>
#include <sstream>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/operations.hpp>

namespace wasabispread::testing {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using Tcp = asio::ip::tcp;

/** The time after its last byte from which an unread request is lost. */
constexpr Duration kSlack = milliseconds(200);
/** How long a version may remain in force after a newer one is written. */
constexpr Duration kApplyTime = std::chrono::seconds(4);
/** How long clients wait beyond their deadline. */
constexpr Duration kPatience = std::chrono::seconds(5);
constexpr std::size_t kLargestBody = 80'000;
constexpr std::uint64_t kLargestReply = 64U << 20U;
constexpr std::size_t kSlowRead = 32'768;
/** A test that is late by this may have kept its clients from reading. */
constexpr Duration kMaxLag = milliseconds(100);
constexpr double kLastPartOfGrace = 5.0 / 6.0;

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

std::int64_t
WholeMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

/** The record of the link that a request passed; null without one. */
std::shared_ptr<const LinkRecord>
RecordOf(const ForwarderFleet& aFleet, const LossRequest& aRequest)
{
  return aRequest.mIsLinked ? aFleet.CallerLink(aRequest.mDaemon)
                                .Find(aRequest.mPort, aRequest.mEnded)
                            : nullptr;
}

/** Whether the link broke or silenced the connection of a request, or the
    client gave up while nothing passed. */
bool
IsEndedByLink(const ForwarderFleet& aFleet, const LossRequest& aRequest)
{
  const auto record = RecordOf(aFleet, aRequest);
  if (record != nullptr && record->mHarmed <= aRequest.mEnded) {
    return true;
  }
  if (!aRequest.mIsLinked || !aRequest.mHasGivenUp) {
    return false;
  }
  const auto& cuts = aFleet.CallerLink(aRequest.mDaemon).Cuts();
  return std::any_of(cuts.begin(), cuts.end(), [&](const LinkSpan& aCut) {
    return aCut.mFrom < aRequest.mEnded && aCut.mUntil > aRequest.mFirstByte;
  });
}

} // namespace

DisruptionLog::Version
DisruptionLog::SmallestLimits(TimePoint aTime) const
{
  Version smallest = mVersions.front();
  for (const Version& version : mVersions) {
    if (version.mTime > aTime) {
      break;
    }
    // The version before is surely replaced when this one is old enough.
    if (version.mTime + kApplyTime < aTime) {
      smallest = version;
    }
    smallest.mTimeout = std::min(smallest.mTimeout, version.mTimeout);
    smallest.mIdleTime = std::min(smallest.mIdleTime, version.mIdleTime);
  }
  return smallest;
}

std::size_t
DisruptionLog::Stops() const
{
  std::size_t stops = 0;
  for (const Daemon& daemon : mDaemons) {
    stops += daemon.mStops.size();
  }
  return stops;
}

void
DisruptionLog::RecordLag(Duration aLag, TimePoint aNow)
{
  mMaxLag = std::max(mMaxLag, aLag);
  if (aLag > kMaxLag) {
    mLastLag = aNow;
  }
}

TimePoint
GiveUpTime(TimePoint aExpiry, TimePoint aNow, TimePoint aLastLag)
{
  const TimePoint lastLag = aNow > aExpiry + kMaxLag ? aNow : aLastLag;
  return std::max(aExpiry, lastLag + kPatience);
}

struct LossClient::Connection : std::enable_shared_from_this<Connection>
{
  Connection(asio::io_context& aContext, const DisruptionLog& aLog)
    : mSocket(aContext)
    , mTimer(aContext)
    , mLog(aLog)
  {
  }

  /** Cancels what the client waits for at a time. */
  void ExpireAt(TimePoint aTime)
  {
    mIsExpired = false;
    mTimer.expires_at(aTime);
    mTimer.async_wait([self = shared_from_this(), aTime](auto aError) {
      const TimePoint now = Now();
      const TimePoint later = GiveUpTime(aTime, now, self->mLog.mLastLag);
      if (!aError && later > now) {
        self->ExpireAt(later);
      } else if (!aError) {
        self->mIsExpired = true;
        boost::system::error_code ignored;
        self->mSocket.cancel(ignored);
      }
    });
  }

  Tcp::socket mSocket;
  asio::steady_timer mTimer;
  const DisruptionLog& mLog;
  bool mIsExpired = false;
  /** Whether an answer told that the connection closes. */
  bool mIsClosing = false;
  std::uint16_t mPort = 0;
  std::size_t mBytesSent = 0;
  boost::beast::flat_buffer mBuffer;
};

LossClient::LossClient(ForwarderFleet& aFleet,
                       const DisruptionLog& aLog,
                       std::vector<LossRequest>& aRequests,
                       std::size_t aNumber,
                       std::uint64_t aSeed)
  : mFleet(aFleet)
  , mLog(aLog)
  , mRequests(aRequests)
  , mNumber(aNumber)
  , mPrefix("l" + std::to_string(aSeed) + "-" + std::to_string(aNumber) + "-")
  , mRandom(StableHash("client", aSeed * 1000 + aNumber))
  , mDaemon(aNumber % aLog.mDaemons.size())
{
}

void
LossClient::Run(TimePoint aEnd)
{
  while (Now() < aEnd) {
    if (!mConnection && !Connect()) {
      mDaemon = Pick(mLog.mDaemons.size());
      boost::this_fiber::sleep_for(milliseconds(10 + Pick(40)));
      continue;
    }
    Idle(aEnd);
    // Half of the clients look whether the connection is closed.
    if (mNumber % 2 == 0 && IsClosedByPeer(mConnection->mSocket)) {
      mConnection.reset();
      continue;
    }
    SendNext();
  }
  mConnection.reset();
}

bool
LossClient::Connect()
{
  auto connection = std::make_shared<Connection>(TestLoop().Context(), mLog);
  connection->ExpireAt(Now() + std::chrono::seconds(1));
  const bool isRefused =
    AwaitConnect(connection->mSocket, ServerEndpoint()).mError.failed();
  connection->mTimer.cancel();
  if (isRefused) {
    return false;
  }
  boost::system::error_code ignored;
  connection->mPort = connection->mSocket.local_endpoint(ignored).port();
  connection->mSocket.set_option(Tcp::no_delay(true));
  if (mNumber % 5 == 0) {
    connection->mSocket.set_option(
      asio::socket_base::receive_buffer_size(static_cast<int>(kSlowRead)));
  }
  mConnection = std::move(connection);
  return true;
}

Endpoint
LossClient::ServerEndpoint() const
{
  return UsesLink() ? mFleet.CallerLink(mDaemon).Address()
                    : mFleet.CallerEndpoint(mDaemon);
}

std::string
LossClient::Trace() const
{
  const std::uint16_t port = mConnection->mPort;
  const std::uint16_t daemonPort = mFleet.CallerEndpoint(mDaemon).mPort;
  std::string text = "  vm-" + std::to_string(mDaemon) + " was " +
                     DescribeProcess(mFleet.Daemon(mDaemon).Pid()) + "\n" +
                     DescribeConnection(port, ServerEndpoint().mPort);
  if (UsesLink()) {
    const auto record = mFleet.CallerLink(mDaemon).Find(port, Now());
    text += record == nullptr
              ? "  the link has not accepted the connection\n"
              : DescribeConnection(record->mOnwardPort, daemonPort);
  }
  return text;
}

void
LossClient::Idle(TimePoint aEnd)
{
  constexpr Duration kStep = milliseconds(40);
  const std::uint64_t choice = Pick(40);
  const Duration limit =
    mLog.SmallestLimits(Now()).mIdleTime * 4 / 5; // NOLINT: four fifths
  Duration time = milliseconds(5 + Pick(80));
  if (choice == 39) {
    time = Duration(static_cast<std::int64_t>(Pick(limit.count())));
  } else if (choice >= 34) {
    time = milliseconds(100 + Pick(1200));
  }
  const TimePoint until = std::min(Now() + std::min(time, limit), aEnd);
  const DisruptionLog::Daemon& daemon = mLog.mDaemons[mDaemon];
  const bool awaitsStop = Pick(4) == 0;
  while (Now() < until) {
    if (awaitsStop && daemon.IsStopping()) {
      // Around the moment at which a stop closes idle connections.
      const TimePoint moment =
        daemon.mStops.back() + milliseconds(2350 + Pick(450));
      if (moment > Now()) {
        boost::this_fiber::sleep_until(std::min(moment, Now() + limit));
        return;
      }
    }
    boost::this_fiber::sleep_until(std::min(until, Now() + kStep));
  }
}

LossRequest
LossClient::Describe(const std::string& aKind, const std::string& aPath)
{
  LossRequest request;
  request.mId = mPrefix + std::to_string(++mNext);
  request.mKind = aKind;
  request.mPath = aPath;
  request.mDaemon = mDaemon;
  request.mDeadline =
    Pick(8) == 0 ? milliseconds(100) : milliseconds(500 + 250 * Pick(9));
  return request;
}

std::string
LossClient::Format(const LossRequest& aRequest, std::size_t aBodyBytes)
{
  const std::size_t padding = Pick(8) == 0 ? Pick(3000) : 0;
  return (aBodyBytes == 0 ? "GET " : "POST ") + aRequest.mPath +
         " HTTP/1.1\r\nHost: host.example\r\nWasabispread-Request-Id: " +
         aRequest.mId + "\r\nWasabispread-Request-Deadline-Ms: " +
         std::to_string(WholeMilliseconds(aRequest.mDeadline)) +
         "\r\nX-Padding: " + std::string(padding, 'p') +
         "\r\nContent-Length: " + std::to_string(aBodyBytes) + "\r\n\r\n" +
         std::string(aBodyBytes, 'b');
}

void
LossClient::SendNext()
{
  const std::uint64_t choice = Pick(20);
  if (choice < 6) {
    const LossRequest read = Describe("read", "/one/x");
    Exchange({ read }, Format(read, 0), kLargestBody);
  } else if (choice < 10) {
    const LossRequest order = Describe("order", "/once/x");
    Exchange({ order }, Format(order, 1 + Pick(500)), kLargestBody);
  } else if (choice < 14) {
    const LossRequest search = Describe("search", "/search/q");
    Exchange({ search }, Format(search, 0), kLargestBody);
  } else if (choice < 16) {
    const LossRequest body =
      Describe("body", Pick(2) == 0 ? "/one/x" : "/once/x");
    const std::size_t bytes = 1000 + Pick(kLargestBody - 1000);
    Exchange({ body }, Format(body, bytes), 1 + bytes / (1 + Pick(6)));
  } else if (choice < 17) {
    const LossRequest large = Describe("large", "/one/large");
    Exchange({ large }, Format(large, 0), kLargestBody);
  } else {
    const LossRequest first =
      Describe("pipelined", Pick(2) == 0 ? "/one/x" : "/search/q");
    const LossRequest second = Describe("pipelined", "/once/x");
    const std::string text = Format(first, 0) + Format(second, 1 + Pick(100));
    Exchange({ first, second }, text, Pick(2) == 0 ? kLargestBody : 100);
  }
}

void
LossClient::Exchange(std::vector<LossRequest> aRequests,
                     const std::string& aText,
                     std::size_t aPiece)
{
  const TimePoint start = Now();
  mConnection->ExpireAt(start + aRequests.back().mDeadline + kPatience);
  bool isOpen = true;
  for (std::size_t sent = 0; isOpen && sent < aText.size();) {
    if (sent != 0) {
      boost::this_fiber::sleep_for(milliseconds(1 + Pick(15)));
    }
    const auto piece = std::string_view(aText).substr(sent, aPiece);
    isOpen =
      !Await([&](auto aHandler) {
         asio::async_write(mConnection->mSocket, asio::buffer(piece), aHandler);
       }).mError;
    sent += piece.size();
    mConnection->mBytesSent += piece.size();
  }
  const TimePoint sent = Now();
  const bool wasClosing = mConnection->mIsClosing;
  for (LossRequest& request : aRequests) {
    request.mFirstByte = start;
    request.mIsAfterClose = wasClosing;
    if (isOpen) {
      request.mLastByte = sent;
      request.mStatus = Receive(request.mKind == "large");
      isOpen = request.mStatus != 0;
    } else if (&request != &aRequests.front() &&
               aRequests.front().mLastByte != TimePoint::max()) {
      request.mLastByte = sent;
    }
    request.mHasGivenUp = request.mStatus == 0 && mConnection->mIsExpired;
    request.mEnded = Now();
    request.mPort = mConnection->mPort;
    request.mBytesSent = mConnection->mBytesSent;
    request.mIsLinked = UsesLink();
    if (request.mHasGivenUp && !IsEndedByLink(mFleet, request)) {
      request.mTrace = Trace();
    }
    mRequests.push_back(request);
  }
  mConnection->mTimer.cancel();
  if (!isOpen) {
    mConnection.reset();
  }
}

unsigned
LossClient::Receive(bool aIsSlow)
{
  http::response_parser<http::string_body> parser;
  parser.body_limit(kLargestReply);
  mConnection->mBuffer.reserve(kSlowRead);
  IoResult read;
  while (!read.mError && !parser.is_done() && !mConnection->mIsExpired) {
    read = Await([&](auto aHandler) {
      http::async_read_some(
        mConnection->mSocket, mConnection->mBuffer, parser, aHandler);
    });
    if (aIsSlow && !parser.is_done()) {
      boost::this_fiber::sleep_for(milliseconds(5 + Pick(20)));
    }
  }
  mConnection->mIsClosing = parser.is_done() && !parser.keep_alive();
  return parser.is_done() && !parser.need_eof() ? parser.get().result_int() : 0;
}

namespace {

using Runs = std::multimap<std::string, const TargetRun*>;

/** The last of some times that is not later than a time. */
std::optional<TimePoint>
LastBefore(const std::vector<TimePoint>& aTimes, TimePoint aTime)
{
  const auto next = std::upper_bound(aTimes.begin(), aTimes.end(), aTime);
  return next == aTimes.begin() ? std::nullopt
                                : std::optional<TimePoint>(*(next - 1));
}

/** Whether the grace of a stop ended the request while a target was still at
    work on it, so that the request does not count. */
bool
IsEndedByGrace(const LossRequest& aRequest,
               const Runs& aRuns,
               const DisruptionLog::Daemon& aDaemon,
               Duration aGrace)
{
  const auto stop = LastBefore(aDaemon.mStops, aRequest.mEnded);
  if (!stop || aRequest.mFirstByte > *stop + aGrace / 2 ||
      aRequest.mEnded < *stop + aGrace / 2) {
    return false;
  }
  const TimePoint lastPart =
    *stop + Duration(static_cast<std::int64_t>(
              kLastPartOfGrace * static_cast<double>(aGrace.count())));
  const auto [first, last] = aRuns.equal_range(aRequest.mId);
  return std::any_of(first, last, [&](const auto& aRun) {
    return aRun.second->mFinished > lastPart;
  });
}

std::string
SinceText(const std::vector<TimePoint>& aTimes, TimePoint aTime)
{
  const auto time = LastBefore(aTimes, aTime);
  return time ? std::to_string(WholeMilliseconds(aTime - *time)) : "never";
}

/** A request that got no answer, with its times as the daemon saw them. */
LossRequest
AsDaemonSaw(const ForwarderFleet& aFleet, const LossRequest& aRequest)
{
  LossRequest request = aRequest;
  const auto record = RecordOf(aFleet, aRequest);
  if (record != nullptr && aRequest.mStatus == 0) {
    request.mEnded = std::min(request.mEnded, record->mServerEnd);
    request.mLastByte = record->mBytesToServer < request.mBytesSent
                          ? TimePoint::max()
                          : record->mLastToServer;
  }
  return request;
}

std::string
ExplainLink(const LinkRecord& aRecord, const LossRequest& aRequest)
{
  std::ostringstream text;
  const auto since = [&](TimePoint aTime) {
    return aTime == TimePoint::max()
             ? std::string("never")
             : std::to_string(WholeMilliseconds(aTime - aRequest.mFirstByte));
  };
  text << "  link: accepted " << since(aRecord.mAccepted)
       << " ms after the first byte, " << aRecord.mBytesToServer << " of "
       << aRequest.mBytesSent << " bytes to the daemon until "
       << since(aRecord.mLastToServer) << " ms, " << aRecord.mBytesToClient
       << " from it, closed by it at " << since(aRecord.mServerEnd) << " ms, "
       << aRecord.mHarm << " at " << since(aRecord.mHarmed) << " ms\n";
  return text.str();
}

/** What is known of a request. */
std::string
Explain(const ForwarderFleet& aFleet,
        const DisruptionLog& aLog,
        const LossRequest& aRequest,
        const Runs& aRuns)
{
  const DisruptionLog::Daemon& daemon = aLog.mDaemons[aRequest.mDaemon];
  const bool isHeld = std::any_of(
    daemon.mHolds.begin(), daemon.mHolds.end(), [&](const auto& aHold) {
      return aHold.first < aRequest.mEnded &&
             aHold.second > aRequest.mFirstByte;
    });
  std::ostringstream text;
  text << aRequest.mKind << " " << aRequest.mPath << " " << aRequest.mId
       << " on vm-" << aRequest.mDaemon << ": status " << aRequest.mStatus
       << ", sent in "
       << WholeMilliseconds(aRequest.mLastByte - aRequest.mFirstByte)
       << " ms, ended "
       << WholeMilliseconds(aRequest.mEnded - aRequest.mLastByte)
       << " ms after its last byte, sent "
       << SinceText(daemon.mStops, aRequest.mLastByte) << " and ended "
       << SinceText(daemon.mStops, aRequest.mEnded) << " ms after the stop, "
       << SinceText(daemon.mSignals, aRequest.mEnded)
       << " ms after the last signal, "
       << SinceText(daemon.mStarts, aRequest.mEnded)
       << " ms after the start, deadline "
       << WholeMilliseconds(aRequest.mDeadline) << " ms, "
       << (aRequest.mIsAfterClose ? "after \"close\", " : "")
       << (isHeld ? "held up" : "not held up") << ", test late by "
       << WholeMilliseconds(aLog.mMaxLag) << " ms at most\n";
  const auto [first, last] = aRuns.equal_range(aRequest.mId);
  for (auto run = first; run != last; ++run) {
    const TargetRun& begun = *run->second;
    text << "  run by " << begun.mInstance << " "
         << WholeMilliseconds(begun.mStarted - aRequest.mLastByte)
         << " ms after the last byte, "
         << (begun.mFinished == TimePoint::max()
               ? std::string("not finished")
               : "finished " + std::to_string(WholeMilliseconds(
                                 begun.mFinished - aRequest.mLastByte)))
         << (begun.mIsCancelled ? ", cancelled\n" : "\n");
  }
  text << "  port " << aRequest.mPort << "\n" << aRequest.mTrace;
  if (const auto record = RecordOf(aFleet, aRequest)) {
    text << ExplainLink(*record, aRequest);
  }
  std::istringstream records(ReadWholeFile(aFleet.LogFile(aRequest.mDaemon)));
  for (std::string line; std::getline(records, line);) {
    if (line.find("\"" + aRequest.mId + "\"") != std::string::npos ||
        line.find("\"stopped\"") != std::string::npos) {
      text << "  " << line << "\n";
    }
  }
  return text.str();
}

/** Whether a daemon has logged anything of a request. */
bool
HasRecord(const ForwarderFleet& aFleet, const LossRequest& aRequest)
{
  return ReadWholeFile(aFleet.LogFile(aRequest.mDaemon))
           .find("\"" + aRequest.mId + "\"") != std::string::npos;
}

/** Whether the connection ended before or soon after the whole request had
    arrived. */
bool
IsCrossed(const LossRequest& aRequest)
{
  return aRequest.mLastByte == TimePoint::max() ||
         aRequest.mEnded <= aRequest.mLastByte + kSlack;
}

/** Whether an answer promises that the request did not run. */
bool
IsPromise(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

} // namespace

LossCounts
CountLosses(const ForwarderFleet& aFleet,
            const DisruptionLog& aLog,
            const std::vector<LossRequest>& aRequests,
            Duration aGrace)
{
  Runs runs;
  for (const TargetRun& run : aFleet.Runs()) {
    runs.emplace(run.mRequestId, &run);
  }
  LossCounts counts;
  for (const DisruptionLog::Daemon& daemon : aLog.mDaemons) {
    counts.mFailedEnds.insert(counts.mFailedEnds.end(),
                              daemon.mFailedEnds.begin(),
                              daemon.mFailedEnds.end());
  }
  for (const LossRequest& sent : aRequests) {
    if (sent.mLastByte == TimePoint::max()) {
      continue;
    }
    const LossRequest request = AsDaemonSaw(aFleet, sent);
    const std::size_t begun = runs.count(request.mId);
    const auto explain = [&] { return Explain(aFleet, aLog, request, runs); };
    ++counts.mSent;
    if (begun > 1 && request.mPath == "/once/x") {
      counts.mTwice.push_back(explain());
    }
    if (request.mStatus != 0) {
      ++(request.mStatus == 200 ? counts.mServed : counts.mRefused);
      if (begun != 0 && IsPromise(request.mStatus)) {
        counts.mBrokenPromises.push_back(explain());
      }
    } else if (IsEndedByLink(aFleet, sent)) {
      ++counts.mLinkEnded;
    } else if (request.mHasGivenUp) {
      counts.mSilent.push_back(explain());
    } else if (begun == 0 && IsCrossed(request)) {
      ++counts.mCrossed;
    } else if (begun == 0 && request.mIsAfterClose &&
               !HasRecord(aFleet, request)) {
      // Callers respect "close"; the daemon has not read this request.
      ++counts.mAfterClose;
    } else if (request.mEnded >= request.mFirstByte + request.mDeadline ||
               request.mEnded >=
                 request.mLastByte +
                   aLog.SmallestLimits(request.mLastByte).mTimeout) {
      ++counts.mLate;
    } else if (IsEndedByGrace(
                 request, runs, aLog.mDaemons[request.mDaemon], aGrace)) {
      ++counts.mGraceEnded;
    } else {
      counts.mLost.push_back(explain());
    }
  }
  return counts;
}

} // namespace wasabispread::testing
