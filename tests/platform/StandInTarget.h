/*
 * A stand-in of one target on the platform, with the ways in which it may
 * misbehave.
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

/** A request that a target ran, or began to run. */
struct TargetRun
{
  std::string mRequestId;
  std::string mInstance;
  std::string mService;
  std::string mMethod;
  std::string mTarget;
  std::string mBody;
  std::vector<HttpHeader> mHeaders;
  TimePoint mBegan{};
  /** Whether its caller closed the connection before its end. */
  bool mIsDropped = false;
};

/** Everything that all targets of a test ran. */
using RunLog = std::vector<TargetRun>;

/** How a target treats requests. */
enum class Misbehaviour : std::uint8_t
{
  kNone,
  /** Runs it and replies with 500 and a proof. */
  kFails,
  /** 503 that states that it did not run. */
  kSheds,
  /** Closes the connection instead of running it. */
  kBreaks,
  /** Runs it and closes the connection. */
  kLosesReply,
  /** Sends half of the body and closes. */
  kTruncates,
  /** Sends bytes that are no HTTP. */
  kGarbles,
  /** Sends a reply to another request after the right one. */
  kAddsReply,
  /** Sends a reply to another request before the right one. */
  kRepliesLate,
  /** Replies once it has the header, and reads the body later. */
  kRepliesEarly,
  /** Sends a body that ends with the connection. */
  kSendsNoLength,
  /** As kSendsNoLength, but resets the connection half-way. */
  kResetsNoLength,
  /** Leaves out its proof. */
  kSendsNoProof,
  /** Says that the body is compressed. */
  kEncodes,
  /** Names a transfer coding of its own. */
  kSendsOtherCoding,
  /** Neither runs it nor replies. */
  kIsSilent,
};

/** One target: an HTTP server with slots, a queue and a limit of
    connections. */
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

  /** Connections open at present, and the most at a time. */
  std::size_t Connections() const;
  std::size_t MostConnections() const;

  /** Closes its port and every connection, as a crash does. */
  void Crash();

  Misbehaviour mMisbehaviour = Misbehaviour::kNone;
  /** How long a request takes in its slot. */
  Duration mWork = std::chrono::milliseconds(3);
  /** Nothing is begun or finished before this time. */
  TimePoint mPausedUntil{};
  std::size_t mSlots = 2;
  std::size_t mQueue = 16;
  std::size_t mConnectionLimit = 26;

private:
  struct Server;
  struct Session;

  std::string mService;
  std::string mInstance;
  std::uint16_t mPort;
  std::shared_ptr<Server> mServer;
};

/** The records that a shard replies with to a request, unordered, 16 bytes
    each. */
std::string
RecordsOf(const std::string& aService, const std::string& aRequestId);

/** The body that a target of a plain service replies with. */
std::string
ReplyBodyOf(const std::string& aInstance, const std::string& aRequestId);

} // namespace wasabispread::testing
