/*
 * A stand-in of one target on the platform, with the faults that it can
 * inject.
 */
#pragma once

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wasabispread::testing {

/** The end of the paths whose replies are large. */
inline constexpr const char* kLargeReply = "/large";

/** A request that a target ran or started to run. */
struct TargetRun
{
  std::string mRequestId;
  std::string mInstance;
  std::string mService;
  std::string mMethod;
  std::string mTarget;
  std::string mBody;
  std::vector<HttpHeader> mHeaders;
  TimePoint mStarted{};
  /** When the target had its reply; TimePoint::max() if it never had one. */
  TimePoint mFinished = TimePoint::max();
  /** Whether the caller closed the connection before the run ended. */
  bool mIsCancelled = false;
};

/** A request that reached a target. */
struct TargetArrival
{
  std::string mRequestId;
  TimePoint mTime{};
};

/** All runs of all targets of a test, in the order of their start. */
using RunLog = std::vector<TargetRun>;

/** The fault that a target shows on each request. */
enum class TargetFault : std::uint8_t
{
  kNone,
  /** Runs the request and replies with 500 and a signature. */
  kFails,
  /** Replies with 503 and states that the request did not run. */
  kSheds,
  /** Closes the connection instead of running the request. */
  kClosesBeforeRun,
  /** Runs the request and closes the connection without a reply. */
  kLosesReply,
  /** Sends half of the body and closes the connection. */
  kTruncates,
  /** Sends the first mCutAt bytes of the reply and closes or resets the
      connection. */
  kCutsReply,
  kCutsAndResets,
  /** Replies with bytes that are not valid HTTP. */
  kSendsInvalidHttp,
  /** Sends a reply to another request after the right one. */
  kSendsOtherReplyAfter,
  /** Sends a reply to another request before the right one. */
  kSendsOtherReplyFirst,
  /** Replies after it has read the header, and reads the body later. */
  kRepliesEarly,
  /** Sends a body without a length, which ends when the connection closes. */
  kSendsNoLength,
  /** As kSendsNoLength, but resets the connection after half of the body. */
  kResetsNoLength,
  /** Omits the signature from the reply. */
  kSendsNoSignature,
  /** States a gzip content encoding for a body that is not compressed. */
  kSendsContentEncoding,
  /** States an unknown transfer coding. */
  kSendsOtherCoding,
  /** Neither runs the request nor replies. */
  kNeverReplies,
  /** Sends a header field without end. */
  kSendsEndlessHead,
  /** Sends a body without a length and without end. */
  kSendsEndlessBody,
  /** Sends chunks without end, as large ones and as ones of one byte. */
  kSendsEndlessChunks,
  kSendsEndlessSmallChunks,
  /** Sends a chunk extension without end. */
  kSendsEndlessChunkHead,
  /** Sends two interim replies before the final one. */
  kSendsInterimReplies,
  /** Sends interim replies without end. */
  kSendsEndlessInterimReplies,
  /** Sends replies to other requests without end. */
  kSendsEndlessOtherReplies,
  /** States "Connection: close" in the reply and closes the connection. */
  kSaysClose,
};

/** One target: an HTTP server with a limited number of slots, queued requests
    and connections. */
class StandInTarget
{
public:
  StandInTarget(IoLoop& aLoop,
                RunLog& aRuns,
                std::string aService,
                std::string aInstance,
                std::uint16_t aPort);
  ~StandInTarget();

  StandInTarget(const StandInTarget&) = delete;
  StandInTarget& operator=(const StandInTarget&) = delete;

  const std::string& Service() const { return mService; }
  const std::string& Instance() const { return mInstance; }
  std::uint16_t Port() const { return mPort; }

  /** The connections that are open now, and the maximum at one time. */
  std::size_t Connections() const;
  std::size_t MaxConnections() const;

  /** Closes the port and every connection, as a crash does. */
  void Crash();

  TargetFault mFault = TargetFault::kNone;
  std::size_t mCutAt = 0;
  /** The time that a request occupies its slot. */
  Duration mServiceTime = std::chrono::milliseconds(3);
  /** No request in a slot finishes before this time. */
  TimePoint mPausedUntil{};
  std::size_t mSlots = 2;
  std::size_t mQueue = 16;
  std::size_t mConnectionLimit = 26;
  /** The requests per second that its replies name as its limit; 0 names
      none. It is not enforced. */
  unsigned mRequestLimit = 0;

  /** The bytes by which its replies' bodies are longer than usual. */
  std::size_t mExtraBodyBytes = 0;
  /** The bytes by which its signatures are longer than usual. */
  std::size_t mExtraSignatureBytes = 0;
  /** The length of its replies to paths that end with kLargeReply. */
  std::size_t mLargeReply = 1U << 20U;

  /** Header lines that its replies have in addition. */
  std::string mAddedFields;
  /** Whether its replies state that it leaves. */
  bool mIsLeaving = false;
  /** Whether it names the request when it turns one away. */
  bool mNamesRefused = true;
  /** The text of the pause that it asks for when it sheds a request; empty for
      none. */
  std::string mPause;

  /** The requests that named this target, also those that it shed. */
  const std::vector<TargetArrival>& Arrivals() const;

private:
  struct Server;
  struct Session;

  std::string mService;
  std::string mInstance;
  std::uint16_t mPort;
  std::shared_ptr<Server> mServer;
};

/** The unordered records of 16 bytes each with which a shard replies to a
    request, and after them a remainder that is shorter than a record. */
std::string
RecordsOf(const std::string& aService, const std::string& aRequestId);

/** The body with which a target that is not a shard replies. */
std::string
ReplyBodyOf(const std::string& aInstance, const std::string& aRequestId);

} // namespace wasabispread::testing
