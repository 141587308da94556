/*
 * The HTTP server: accepts connections and serves the requests on them.
 *
 * Only the fiber that serves a connection closes it. A stop and a timer cancel
 * what the fiber waits for; the fiber looks for input that has arrived since
 * before it gives up.
 */
#include "AsioSupport.h"
#include "TransferCoding.h"

#include "wasabispread_runtime.h"

#include <algorithm>
#include <new>
#include <set>
#include <stdexcept>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/operations.hpp>
#include <sys/resource.h>

namespace wasabispread {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using RequestParser = http::request_parser<http::string_body>;

/** The most input that is kept while a request is handled. */
constexpr std::size_t kMaxEarlyInputBytes = 16U << 10U;
/** How long after the first probe of a client the second one follows. */
constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
/** The size of the reads of a request's header and of each discarding read, and
    of the reads of its body, in bytes. */
constexpr std::size_t kHeaderReadBytes = 4096;
constexpr std::size_t kBodyReadBytes = 64U << 10U;
/** The most input that is kept because it does not make up a complete part of a
    body yet, as in a chunk header without end. */
constexpr std::size_t kMaxUnparsedBytes = 64U << 10U;
/** The longest that a whole body or response may take, in multiples of the time
    that it may make no progress. */
constexpr int kMaxTransferLimits = 12;
/** The maximum input that is read and discarded after a request was rejected,
    in bytes. Discarding it lets the client read the rejection. */
constexpr std::size_t kMaxDiscardedBytes = 64U << 20U;
/** How long a client may send nothing while its input is discarded, and how
    long it is discarded at most. A client that still sends a long body reads
    the rejection only after it. */
constexpr Duration kDiscardTimeout = std::chrono::seconds(2);
constexpr Duration kMaxDiscardTime = std::chrono::seconds(30);
/** How long a surplus connection may stay open without a request. */
constexpr Duration kSurplusIdleLimit = std::chrono::seconds(1);
/** How long a stopping server waits before it closes idle connections, since a
    request may already be on its way on one of them. */
constexpr Duration kIdleCloseDelay = std::chrono::milliseconds(200);
/** How many times the bytes of a request are counted while it is handled: it is
    held, and a copy of it is sent. */
constexpr std::size_t kCopiesOfRequest = 2;
/** When to retry a request that was refused for lack of memory, in seconds. */
constexpr const char* kMemoryRetry = "0.100";
/** How long a connection is idle at least before it is closed to make room for
    another. */
constexpr Duration kIdleBeforeMakingRoom = std::chrono::seconds(3);
/** As above, after the last answer on the connection was written. */
constexpr Duration kAnsweredBeforeMakingRoom = std::chrono::milliseconds(100);
/** How often a server checks whether connections are closed, when it stops or
    has too many; also the pause after a failed accept. */
constexpr Duration kStopPollInterval = std::chrono::milliseconds(2);

HttpRequest
FromBeast(http::request<http::string_body>&& aRequest)
{
  HttpRequest request;
  request.mMethod = std::string(aRequest.method_string());
  request.mTarget = std::string(aRequest.target());
  for (const auto& field : aRequest) {
    request.mHeaders.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  request.mBody = std::move(aRequest.body());
  return request;
}

/** What of a request and its connection decides the form of a response. */
struct ResponseForm
{
  bool mKeepAlive = false;
  bool mIsHttp10 = false;
  bool mIsToHead = false;
};

http::response<http::string_body>
ToBeast(HttpResponse&& aResponse, ResponseForm aForm)
{
  constexpr unsigned kHttp11 = 11;
  http::response<http::string_body> response;
  response.version(kHttp11);
  response.result(aResponse.mStatus);
  for (const HttpHeader& header : aResponse.mHeaders) {
    response.insert(header.mName, header.mValue);
  }
  response.keep_alive(aForm.mKeepAlive);
  if (aForm.mKeepAlive && aForm.mIsHttp10) {
    response.set(http::field::connection, "keep-alive");
  }
  const bool hasNoBody = aForm.mIsToHead ||
                         response.result() == http::status::no_content ||
                         response.result() == http::status::not_modified;
  if (!hasNoBody) {
    response.body() = std::move(aResponse.mBody);
    response.prepare_payload();
  }
  return response;
}

} // namespace

/** An open connection. */
struct ServerConnection : std::enable_shared_from_this<ServerConnection>
{
  explicit ServerConnection(Tcp::socket aSocket)
    : mSocket(std::move(aSocket))
    , mTimer(mSocket.get_executor())
  {
  }

  /** Cancels the operations of the socket at aTime unless a later call changes
      that time. A running timer is kept when the time moves later, and is set
      again only when it fires before that time. */
  void ExpireAt(TimePoint aTime)
  {
    mExpiry = aTime;
    mIsExpired = false;
    if (aTime < mTimerDue) {
      ArmTimer(aTime);
    }
  }

  /** Moves the time set by ExpireAt() later, unless it has passed. */
  void ExtendExpiry(TimePoint aTime)
  {
    if (!mIsExpired) {
      mExpiry = std::max(mExpiry, aTime);
    }
  }

  void ArmTimer(TimePoint aTime)
  {
    mTimerDue = aTime;
    mTimer.expires_at(aTime);
    mTimer.async_wait([self = shared_from_this()](error_code aError) {
      if (!aError) {
        self->HandleTimer();
      }
    });
  }

  void HandleTimer()
  {
    mTimerDue = TimePoint::max();
    if (mExpiry == TimePoint::max()) {
      return;
    }
    if (std::chrono::steady_clock::now() < mExpiry) {
      ArmTimer(mExpiry);
    } else {
      Expire();
    }
  }

  /** Ends the operation that the fiber of the connection waits for, or the next
      one. */
  void Expire()
  {
    error_code ignored;
    mIsExpired = true;
    mSocket.cancel(ignored);
  }

  /** Ends the request that is received or the answer that is written. */
  void GiveUp()
  {
    mIsGivenUp = true;
    Expire();
  }

  /** Counts the bytes that this connection holds for aUse. */
  void CountMemory(MemoryUse aUse, std::size_t aBytes)
  {
    mMemory->Set(this, aUse, aBytes, std::chrono::steady_clock::now(), [this] {
      GiveUp();
    });
  }

  /** Whether input has arrived that was not read. */
  bool HasInput()
  {
    error_code error;
    return mSocket.available(error) != 0 && !error;
  }

  /** Reads what arrives next into mBuffer; timed_out when mExpiry passes and
      nothing has arrived. */
  error_code ReadSome(std::size_t aBytes)
  {
    while (!mIsExpired || HasInput()) {
      const IoResult read = Await([&](auto aHandler) {
        mSocket.async_read_some(mBuffer.prepare(aBytes), aHandler);
      });
      mBuffer.commit(read.mBytes);
      if (read.mError != asio::error::operation_aborted) {
        return read.mError;
      }
    }
    return asio::error::timed_out;
  }

  /** As ReadSome(), but holds no buffer while it waits: many clients may be
      waited for at once. */
  error_code ReadWithoutHolding(std::size_t aBytes)
  {
    bool isReady = false;
    while (true) {
      error_code error;
      const std::size_t arrived = mSocket.available(error);
      if (error) {
        return error;
      }
      if (isReady || arrived != 0) {
        const std::size_t bytes = std::clamp<std::size_t>(arrived, 1, aBytes);
        mBuffer.commit(mSocket.read_some(mBuffer.prepare(bytes), error));
        if (error != asio::error::would_block) {
          return error;
        }
      }
      if (mIsExpired) {
        return asio::error::timed_out;
      }
      mBuffer.shrink_to_fit();
      const IoResult waited = Await([&](auto aHandler) {
        mSocket.async_wait(Tcp::socket::wait_read, aHandler);
      });
      isReady = !waited.mError;
      if (waited.mError && waited.mError != asio::error::operation_aborted) {
        return waited.mError;
      }
    }
  }

  /** Waits until the socket accepts output or mExpiry passes. */
  error_code AwaitWritable()
  {
    if (mIsExpired) {
      return {};
    }
    mIsBlocked = true;
    const IoResult waited = Await([&](auto aHandler) {
      mSocket.async_wait(Tcp::socket::wait_write, aHandler);
    });
    mIsBlocked = false;
    return mIsExpired ? error_code{} : waited.mError;
  }

  /** Whether an answer is due that can be given now: to a request that was read
      or that waits to be read, unless the client does not read its answer. */
  bool OwesAnswer()
  {
    if (mIsBlocked) {
      return IsWritable(mSocket);
    }
    return mIsServing || (mIdleSince != TimePoint::max() && HasInput());
  }

  Tcp::socket mSocket;
  asio::steady_timer mTimer;
  /** When the timer fires; TimePoint::max() while it is not set. */
  TimePoint mTimerDue = TimePoint::max();
  /** When to end the operations of the socket; TimePoint::max() while there is
      no limit. */
  TimePoint mExpiry = TimePoint::max();
  bool mIsExpired = false;
  beast::flat_buffer mBuffer;
  /** When the connection became idle; TimePoint::max() while a request is
      received or handled. */
  TimePoint mIdleSince = TimePoint::max();
  /** When the wait for the client's close after the last answer began;
      TimePoint::max() before. */
  TimePoint mAnsweredSince = TimePoint::max();
  std::uint64_t mRequestsRead = 0;
  /** Whether a request was read whose answer is not written completely. */
  bool mIsServing = false;
  /** Whether an answer waits for the client to read. */
  bool mIsBlocked = false;
  /** Whether the client has left, so that nobody reads an answer. */
  bool mHasLeft = false;
  /** Whether it exceeds the limit of connections and is to be rejected. */
  bool mIsSurplus = false;
  std::shared_ptr<MemoryAccount> mMemory;
  /** Whether mMemory gave up what the connection holds. */
  bool mIsGivenUp = false;
};

struct HttpServer::Implementation
{
  Tcp::acceptor mAcceptor;
  HttpServerLimits mLimits;
  WatchingHttpHandler mHandler;
  std::set<std::shared_ptr<ServerConnection>> mConnections;
  bool mStopAnnounced = false;
  bool mStopping = false;
  /** Whether connections without a request are closed. */
  bool mClosesIdle = false;
  std::size_t mPeakConnections = 0;
  /** How many of mConnections are surplus. */
  std::size_t mSurplusConnections = 0;
  HttpServerCounters mCounters;
  std::shared_ptr<MemoryAccount> mMemory =
    std::make_shared<MemoryAccount>(kNoMemoryLimits);
};

namespace {

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

/** Writes a message and returns the error of the connection, if any; timed_out
    when the client accepts nothing for aLimit, no_memory when the message was
    given up. */
template<class Body>
error_code
WriteMessage(ServerConnection& aConnection,
             const http::response<Body>& aMessage,
             Duration aLimit)
{
  http::response_serializer<Body> serializer(aMessage);
  const TimePoint end = Now() + kMaxTransferLimits * aLimit;
  error_code error;
  bool isBlocked = false;
  while (!error && !serializer.is_done()) {
    serializer.next(error, [&](error_code& aError, const auto& aBuffers) {
      const auto written = aConnection.mSocket.write_some(aBuffers, aError);
      serializer.consume(written);
      aConnection.mMemory->Move(&aConnection, written, Now());
    });
    if (error != asio::error::would_block) {
      isBlocked = false;
      continue;
    }
    if (!isBlocked) {
      isBlocked = true;
      aConnection.ExpireAt(std::min(Now() + aLimit, end));
    } else if (aConnection.mIsExpired) {
      error = asio::error::timed_out;
      break;
    }
    error = aConnection.AwaitWritable();
    if (aConnection.mIsGivenUp) {
      error = asio::error::no_memory;
    }
  }
  aConnection.ExpireAt(TimePoint::max());
  return error;
}

/** Writes a response, or a problem in its place when one of its header fields
    is longer than Beast's fields hold. */
error_code
WriteResponse(ServerConnection& aConnection,
              HttpResponse aResponse,
              ResponseForm aForm,
              Duration aLimit)
{
  http::response<http::string_body> message;
  try {
    message = ToBeast(std::move(aResponse), aForm);
  } catch (const std::length_error&) {
    const Error problem{ ErrorKind::kOutcomeUnknown,
                         "a header field of the answer is too long",
                         "ask for an answer with shorter fields",
                         Execution::kUnknown };
    message = ToBeast(FormatProblem(problem, ""), aForm);
  }
  aConnection.mIsGivenUp = false;
  aConnection.CountMemory(MemoryUse::kAnswer, message.body().size());
  const error_code error = WriteMessage(aConnection, message, aLimit);
  aConnection.mMemory->Release(&aConnection);
  return error;
}

/** Asks the client for the body of its request (RFC 9110 10.1.1). */
error_code
WriteContinue(ServerConnection& aConnection, Duration aLimit)
{
  http::response<http::empty_body> response;
  response.result(http::status::continue_);
  return WriteMessage(aConnection, response, aLimit);
}

/** The error to send for a failed read; std::nullopt when the connection ended
    or timed out, so that no response can be sent. */
std::optional<Error>
ReadProblem(error_code aError)
{
  if (aError == asio::error::no_memory) {
    return Error{ ErrorKind::kOverloaded,
                  "this VM has no memory left for the request",
                  "retry the request after the time given" };
  }
  if (aError == http::error::body_limit) {
    return Error{ ErrorKind::kRequestTooLarge,
                  "the request's body is too large",
                  "send a smaller body" };
  }
  if (aError == http::error::header_limit) {
    return Error{ ErrorKind::kRequestTooLarge,
                  "the request's header is too large",
                  "send fewer or shorter header fields" };
  }
  if (aError == asio::error::timed_out) {
    return Error{ ErrorKind::kRequestIncomplete,
                  "the request did not arrive in time",
                  "send the request without pauses" };
  }
  if (aError == http::error::buffer_overflow) {
    return Error{ ErrorKind::kRequestTooLarge,
                  "a chunk header of the request's body is too large",
                  "send chunk headers without extensions" };
  }
  const bool isProtocolError =
    aError.category() ==
      http::make_error_code(http::error::bad_version).category() &&
    aError != http::error::end_of_stream &&
    aError != http::error::partial_message;
  if (isProtocolError) {
    return Error{ ErrorKind::kMalformedRequest,
                  "the request is not valid HTTP/1.1: " + aError.message(),
                  "correct the request" };
  }
  return std::nullopt;
}

/** The error to send for a request that does not name exactly one host, or
    whose transfer coding leaves the end of its body ambiguous; see
    HasUnknownTransferCoding(). */
std::optional<Error>
RequestProblem(const http::request<http::string_body>& aRequest)
{
  if (aRequest.version() >= 11 && aRequest.count(http::field::host) != 1) {
    return Error{ ErrorKind::kMalformedRequest,
                  "the request does not have exactly one Host field",
                  "send one Host field" };
  }
  if (!HasUnknownTransferCoding(aRequest)) {
    return std::nullopt;
  }
  return Error{ ErrorKind::kMalformedRequest,
                "the request's transfer coding is not supported",
                "send the body chunked or with its length" };
}

/** Whether a connection exceeds the limit. One that did may have room now. */
template<class Server>
bool
IsSurplus(Server& aServer, ServerConnection& aConnection)
{
  const std::size_t served =
    aServer.mConnections.size() - aServer.mSurplusConnections;
  if (aConnection.mIsSurplus && served < aServer.mLimits.mMaxConnections) {
    aConnection.mIsSurplus = false;
    --aServer.mSurplusConnections;
  }
  return aConnection.mIsSurplus;
}

/** The error to send for a request whose header was read; std::nullopt for one
    that is served. */
template<class Server>
std::optional<Error>
HeaderProblem(Server& aServer,
              ServerConnection& aConnection,
              const http::request<http::string_body>& aRequest)
{
  if (IsSurplus(aServer, aConnection)) {
    return Error{ ErrorKind::kOverloaded,
                  "too many connections are open",
                  "connect again, to another VM if there is one" };
  }
  return RequestProblem(aRequest);
}

/** Whether a client may wait for an interim response before it sends the body
    of its request. */
bool
ExpectsContinue(const http::request<http::string_body>& aRequest)
{
  return aRequest.version() >= 11 &&
         beast::iequals(aRequest[http::field::expect], "100-continue");
}

/** Shuts down the sending side and discards input until the client closes its
    side, for a limited time. Closing a socket with unread input would reset the
    connection, and the client could lose the last response. */
void
AwaitCloseByClient(ServerConnection& aConnection)
{
  error_code error;
  aConnection.mSocket.shutdown(Tcp::socket::shutdown_send, error);
  aConnection.mAnsweredSince = Now();
  const TimePoint end = aConnection.mAnsweredSince + kMaxDiscardTime;
  std::size_t discarded = 0;
  while (!error && discarded < kMaxDiscardedBytes && Now() < end) {
    aConnection.ExpireAt(std::min(Now() + kDiscardTimeout, end));
    aConnection.mBuffer.clear();
    error = aConnection.ReadSome(kHeaderReadBytes);
    discarded += aConnection.mBuffer.size();
  }
}

/** Skips empty lines before a request: some clients send one after a body. */
void
SkipEmptyLines(beast::flat_buffer& aBuffer)
{
  const std::string_view text(static_cast<const char*>(aBuffer.data().data()),
                              aBuffer.size());
  aBuffer.consume(std::min(text.size(), text.find_first_not_of("\r\n")));
}

/** Waits for the first bytes of a request; false when the connection ended, or
    is to be closed and nothing has arrived. */
template<class Server>
bool
AwaitRequest(const Server& aServer, ServerConnection& aConnection)
{
  SkipEmptyLines(aConnection.mBuffer);
  if (aConnection.mBuffer.size() != 0) {
    return true;
  }
  if (aConnection.mBuffer.capacity() > kBodyReadBytes / 2) {
    aConnection.mBuffer.shrink_to_fit();
  }
  aConnection.mIdleSince = Now();
  const Duration idleLimit =
    aConnection.mIsSurplus
      ? std::min(kSurplusIdleLimit, aServer.mLimits.mIdleLimit)
      : aServer.mLimits.mIdleLimit;
  aConnection.ExpireAt(aConnection.mIdleSince + idleLimit);
  aConnection.mIsExpired = aServer.mClosesIdle;
  error_code error;
  while (!error && aConnection.mBuffer.size() == 0) {
    error = aConnection.ReadSome(kHeaderReadBytes);
    SkipEmptyLines(aConnection.mBuffer);
  }
  aConnection.mIdleSince = TimePoint::max();
  return !error;
}

/** Counts the memory of a request that is being received, whose body takes
    aBodyBytes; false when it must be refused. */
bool
AdmitBytes(ServerConnection& aConnection, std::size_t aBodyBytes)
{
  const std::size_t bytes = aBodyBytes + aConnection.mBuffer.capacity();
  return !aConnection.mIsGivenUp &&
         aConnection.mMemory->Admit(&aConnection, bytes, Now(), [&aConnection] {
           aConnection.GiveUp();
         });
}

bool
AdmitRequest(ServerConnection& aConnection, const RequestParser& aParser)
{
  const std::size_t stated = aParser.content_length().value_or(0);
  return AdmitBytes(aConnection,
                    std::max<std::size_t>(stated, aParser.get().body().size()));
}

/** Makes room for the input in a body without a stated length, and counts it
    before it is there; false when the request must be refused. A large body
   gets a block of its own, of which only the used pages take memory. */
bool
ReserveBody(ServerConnection& aConnection,
            RequestParser& aParser,
            std::uint64_t aMaxBodyBytes)
{
  constexpr std::size_t kSmallBody = 16U << 10U;
  constexpr std::size_t kLeastBlock = 256U << 10U;
  std::string& body = aParser.get().body();
  const std::size_t needed = body.size() + aConnection.mBuffer.size();
  if (aParser.content_length()) {
    return true;
  }
  if (needed <= body.capacity()) {
    return AdmitBytes(aConnection, needed);
  }
  const std::size_t doubled = needed <= kSmallBody
                                ? 2 * needed
                                : std::max(2 * body.capacity(), kLeastBlock);
  // Both blocks exist while the body moves from one to the other.
  if (!AdmitBytes(aConnection, needed + body.size())) {
    return false;
  }
  body.reserve(std::max<std::size_t>(
    needed, std::min<std::uint64_t>(doubled, aMaxBodyBytes)));
  return true;
}

/** Reads a request, of which some bytes are in the connection's buffer, and no
    body of one that is rejected for its header: aProblem then says why. */
template<class Server>
error_code
ReadRequest(Server& aServer,
            ServerConnection& aConnection,
            RequestParser& aParser,
            std::optional<Error>& aProblem)
{
  aParser.eager(true);
  aParser.body_limit(aServer.mLimits.mMaxBodyBytes);
  aParser.header_limit(aServer.mLimits.mMaxHeaderBytes);
  const Duration bodyLimit = aServer.mLimits.mTransferLimit;
  const TimePoint start = Now();
  aConnection.mIsGivenUp = false;
  aConnection.ExpireAt(start + aServer.mLimits.mHeaderLimit);
  bool isHeaderRead = false;
  while (true) {
    if (isHeaderRead &&
        !ReserveBody(aConnection, aParser, aServer.mLimits.mMaxBodyBytes)) {
      return asio::error::no_memory;
    }
    error_code error;
    try {
      const auto used = aParser.put(aConnection.mBuffer.data(), error);
      aConnection.mBuffer.consume(used);
    } catch (const std::length_error&) {
      // Beast's fields hold at most 64 KiB.
      return http::error::header_limit;
    } catch (const std::bad_alloc&) {
      // Beast reserves the length that the request states.
      return http::error::body_limit;
    }
    if (error && error != http::error::need_more) {
      return error;
    }
    const bool isHeaderNew = !isHeaderRead && aParser.is_header_done();
    isHeaderRead = aParser.is_header_done();
    if (isHeaderNew) {
      aProblem = HeaderProblem(aServer, aConnection, aParser.get());
    }
    if (aParser.is_done() && !aProblem) {
      // The trailer may have added fields.
      aProblem = RequestProblem(aParser.get());
    }
    if (!isHeaderRead) {
      aConnection.CountMemory(MemoryUse::kIncoming, aConnection.mBuffer.size());
    } else if (!aProblem && !AdmitRequest(aConnection, aParser)) {
      return asio::error::no_memory;
    }
    if (aParser.is_done() || aProblem) {
      return {};
    }
    if (isHeaderNew && ExpectsContinue(aParser.get()) &&
        aParser.get().body().empty() && aConnection.mBuffer.size() == 0) {
      error = WriteContinue(aConnection, bodyLimit);
      if (error) {
        return error;
      }
    }
    if (isHeaderRead) {
      aConnection.ExpireAt(
        std::min(Now() + bodyLimit, start + kMaxTransferLimits * bodyLimit));
      if (aConnection.mBuffer.size() > kMaxUnparsedBytes) {
        return http::error::buffer_overflow;
      }
    }
    error = isHeaderRead ? aConnection.ReadWithoutHolding(kBodyReadBytes)
                         : aConnection.ReadSome(kHeaderReadBytes);
    aConnection.mMemory->Move(&aConnection, aConnection.mBuffer.size(), Now());
    if (error) {
      return aConnection.mIsGivenUp ? asio::error::no_memory : error;
    }
  }
}

/** What a client does while its request is handled. */
struct ClientWatch
{
  std::shared_ptr<ServerConnection> mConnection;
  /** Called once in a new fiber when the client leaves. */
  std::function<void()> mWhenLeft;
  /** Whether the client understands interim responses. */
  bool mCanProbe = false;
  bool mIsHandled = false;
};

/** Reads what has arrived, for the next request, as far as it is kept; the
    error of the connection, if any. */
error_code
KeepEarlyInput(ServerConnection& aConnection)
{
  error_code error;
  while (!error && aConnection.mBuffer.size() < kMaxEarlyInputBytes) {
    aConnection.mBuffer.commit(aConnection.mSocket.read_some(
      aConnection.mBuffer.prepare(kHeaderReadBytes), error));
  }
  return error == asio::error::would_block ? error_code{} : error;
}

void
HandleLeaving(ClientWatch& aWatch)
{
  aWatch.mConnection->mHasLeft = true;
  StartFiber(aWatch.mWhenLeft);
}

/** Sends an interim response; false when the connection does not take it. */
bool
SendProbe(ServerConnection& aConnection)
{
  constexpr std::string_view kProbe = "HTTP/1.1 100 Continue\r\n\r\n";
  error_code error;
  const std::size_t sent =
    aConnection.mSocket.write_some(asio::buffer(kProbe), error);
  if (sent != 0 && sent < kProbe.size()) {
    // No answer can follow a part of an interim response.
    aConnection.mSocket.shutdown(Tcp::socket::shutdown_both, error);
    return false;
  }
  return !error || error == asio::error::would_block;
}

/** Tells whether a client that has ended its input has left or waits for its
    answer: its host resets a connection that nobody reads from any more when
    something arrives on it. Ends when the client has left or the request was
    handled. */
void
ProbeClient(const std::shared_ptr<ClientWatch>& aWatch)
{
  ServerConnection& connection = *aWatch->mConnection;
  // The second probe notices a reset of which no event came.
  for (const Duration pause : { kProbeInterval, Duration::max() }) {
    if (!aWatch->mIsHandled && !SendProbe(connection)) {
      HandleLeaving(*aWatch);
    }
    if (aWatch->mIsHandled || connection.mHasLeft) {
      return;
    }
    connection.ExpireAt(pause == Duration::max() ? TimePoint::max()
                                                 : Now() + pause);
    const IoResult waited = Await([&](auto aHandler) {
      connection.mSocket.async_wait(Tcp::socket::wait_error, aHandler);
    });
    if (!waited.mError && !aWatch->mIsHandled && IsReset(connection.mSocket)) {
      HandleLeaving(*aWatch);
      return;
    }
  }
}

/** Waits for a reset of the connection, until the request was handled. */
void
WatchForReset(const std::shared_ptr<ClientWatch>& aWatch)
{
  aWatch->mConnection->mSocket.async_wait(
    Tcp::socket::wait_error, [aWatch](error_code aError) {
      // Urgent data also ends the wait, and would end each further one.
      if (!aError && !aWatch->mIsHandled &&
          IsReset(aWatch->mConnection->mSocket)) {
        HandleLeaving(*aWatch);
      }
    });
}

/** Waits for the client to leave, until its request was handled. Input does not
    hide the end of the connection, unless it is more than is kept. */
void
WatchClient(const std::shared_ptr<ClientWatch>& aWatch)
{
  ServerConnection& connection = *aWatch->mConnection;
  if (connection.mBuffer.size() >= kMaxEarlyInputBytes) {
    WatchForReset(aWatch);
    return;
  }
  connection.mSocket.async_wait(
    Tcp::socket::wait_read, [aWatch](error_code aError) {
      if (aError || aWatch->mIsHandled) {
        return;
      }
      const error_code error = KeepEarlyInput(*aWatch->mConnection);
      if (error == asio::error::eof && aWatch->mCanProbe) {
        StartFiber([aWatch] { ProbeClient(aWatch); });
      } else if (error == asio::error::eof) {
        // It may still read the answer that ends the work.
        StartFiber(aWatch->mWhenLeft);
      } else if (error) {
        HandleLeaving(*aWatch);
      } else {
        WatchClient(aWatch);
      }
    });
}

/** Runs the handler, which may register an action for a disconnect of the
    client. */
template<class Server>
HttpResponse
RunHandler(Server& aServer,
           ServerConnection& aConnection,
           HttpRequest&& aRequest,
           bool aCanProbe)
{
  const auto watch = std::make_shared<ClientWatch>();
  watch->mCanProbe = aCanProbe;
  const DisconnectWatch registerAction = [&](std::function<void()> aAction) {
    watch->mConnection = aConnection.shared_from_this();
    watch->mWhenLeft = std::move(aAction);
    WatchClient(watch);
  };
  HttpResponse response = aServer.mHandler(std::move(aRequest), registerAction);
  watch->mIsHandled = true;
  if (watch->mConnection != nullptr) {
    error_code ignored;
    aConnection.mSocket.cancel(ignored);
  }
  return response;
}

/** Whether the connection stays open after a response. While the server stops,
    it does if more requests have arrived, because the client would have to
    assume that they may have run. */
template<class Server>
bool
StaysOpen(const Server& aServer,
          ServerConnection& aConnection,
          const HttpResponse& aResponse)
{
  SkipEmptyLines(aConnection.mBuffer);
  const bool isClosing =
    !aResponse.mKeepAlive || aServer.mStopAnnounced || aServer.mStopping;
  return !isClosing || aConnection.mBuffer.size() != 0 ||
         aConnection.HasInput();
}

/** The response to a request that was not passed on. */
HttpResponse
FormatRejection(const Error& aProblem, bool aIsSurplus)
{
  HttpResponse response = FormatProblem(aProblem, "");
  if (aProblem.mKind == ErrorKind::kOverloaded) {
    // At once for a surplus connection: a new one may lead to another VM.
    response.mHeaders.push_back(
      { "Retry-After", aIsSurplus ? "0" : kMemoryRetry });
  }
  return response;
}

/** Why a response was not written; empty when it was. */
std::string
WriteProblem(error_code aError)
{
  if (aError == asio::error::no_memory) {
    return "given up, because answers that are not read take too much memory";
  }
  return aError ? aError.message() : "";
}

/** Serves the next request; false when the connection must be closed. */
template<class Server>
bool
ServeRequest(Server& aServer, ServerConnection& aConnection)
{
  const Duration writeLimit = aServer.mLimits.mTransferLimit;
  std::optional<RequestParser> parser(std::in_place);
  std::optional<Error> problem;
  const error_code error = ReadRequest(aServer, aConnection, *parser, problem);
  if (error) {
    problem = ReadProblem(error);
  }
  if (error || problem) {
    // What was received is not needed any more, and the client may take long to
    // read the rejection.
    parser.reset();
    aConnection.mBuffer.clear();
    aConnection.mBuffer.shrink_to_fit();
    aConnection.mMemory->Release(&aConnection);
  }
  if (problem) {
    WriteResponse(aConnection,
                  FormatRejection(*problem, aConnection.mIsSurplus),
                  {},
                  writeLimit);
    AwaitCloseByClient(aConnection);
  }
  if (error || problem) {
    return false;
  }
  aConnection.ExpireAt(TimePoint::max());
  const bool wantsKeepAlive = parser->keep_alive();
  if (ExpectsContinue(parser->get())) {
    // Whoever handles the request has its body already.
    parser->get().erase(http::field::expect);
  }
  const bool isHttp11 = parser->get().version() >= 11;
  HttpRequest request = FromBeast(parser->release());
  parser.reset();
  UseOriginForm(request);
  const bool isHead = request.mMethod == "HEAD";
  // Nothing is read on while the request is handled.
  aConnection.mBuffer.shrink_to_fit();
  aConnection.CountMemory(MemoryUse::kRequest,
                          kCopiesOfRequest * request.mBody.size());
  request.mIsFirstOnConnection = aConnection.mRequestsRead == 0;
  ++aConnection.mRequestsRead;
  ++aServer.mCounters.mRequestsRead;
  aConnection.mIsServing = true;
  HttpResponse response =
    RunHandler(aServer, aConnection, std::move(request), isHttp11);
  if (aConnection.mHasLeft && response.mWhenWritten) {
    response.mWhenWritten("");
  }
  if (aConnection.mHasLeft || response.mStatus == kNoResponse) {
    return false;
  }
  const ResponseForm form{ wantsKeepAlive &&
                             StaysOpen(aServer, aConnection, response),
                           !isHttp11,
                           isHead };
  const auto whenWritten = std::move(response.mWhenWritten);
  const error_code writeError =
    WriteResponse(aConnection, std::move(response), form, writeLimit);
  aConnection.mIsServing = false;
  aServer.mCounters.mResponsesNotSent += writeError ? 1 : 0;
  if (whenWritten) {
    whenWritten(WriteProblem(writeError));
  }
  if (!writeError && !form.mKeepAlive) {
    AwaitCloseByClient(aConnection);
  }
  return !writeError && form.mKeepAlive;
}

/** Serves the requests of one connection until it ends. */
template<class Server>
void
ServeConnection(Server& aServer, ServerConnection& aConnection)
{
  if (aServer.mLimits.mConnectionDelay > Duration::zero()) {
    boost::this_fiber::sleep_for(aServer.mLimits.mConnectionDelay);
  }
  while (AwaitRequest(aServer, aConnection) &&
         ServeRequest(aServer, aConnection)) {
  }
}

void
CloseConnection(ServerConnection& aConnection, HttpServerCounters& aCounters)
{
  error_code ignored;
  aConnection.mMemory->Release(&aConnection);
  aCounters.mClosedWithInput += aConnection.HasInput() ? 1 : 0;
  aConnection.mTimer.cancel();
  aConnection.mSocket.shutdown(Tcp::socket::shutdown_both, ignored);
  aConnection.mSocket.close(ignored);
}

/** Whether no further connection can be accepted, not even to reject its
    requests. */
template<class Server>
bool
IsFull(const Server& aServer)
{
  return aServer.mConnections.size() >=
         std::size_t{ aServer.mLimits.mMaxConnections } +
           aServer.mLimits.mMaxSurplusConnections;
}

/** Starts a fiber that serves an accepted connection, or closes the connection
    when the server is full. */
template<class Server>
void
StartConnection(const std::shared_ptr<Server>& aServer, Tcp::socket aSocket)
{
  const bool isSurplus =
    aServer->mConnections.size() >= aServer->mLimits.mMaxConnections;
  aServer->mCounters.mConnectionsRefused += isSurplus ? 1 : 0;
  if (IsFull(*aServer)) {
    return;
  }
  error_code ignored;
  aSocket.set_option(Tcp::no_delay(true), ignored);
  aSocket.non_blocking(true, ignored);
  auto connection = std::make_shared<ServerConnection>(std::move(aSocket));
  connection->mIsSurplus = isSurplus;
  aServer->mSurplusConnections += isSurplus ? 1 : 0;
  connection->mMemory = aServer->mMemory;
  aServer->mConnections.insert(connection);
  aServer->mPeakConnections =
    std::max(aServer->mPeakConnections, aServer->mConnections.size());
  StartFiber([aServer, connection] {
    ServeConnection(*aServer, *connection);
    CloseConnection(*connection, aServer->mCounters);
    aServer->mSurplusConnections -= connection->mIsSurplus ? 1 : 0;
    aServer->mConnections.erase(connection);
  });
}

/** Whether clients have as many connections as the process's descriptors and
    memory allow. */
template<class Server>
bool
HasNoRoom(const Server& aServer)
{
  std::size_t limit = aServer.mMemory->Limits().mConnections;
  rlimit descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0) {
    limit =
      std::min<std::size_t>(limit, ClientDescriptors(descriptors.rlim_cur));
  }
  return aServer.mConnections.size() >= limit;
}

/** Waits until another connection arrives, and closes the one that has been
    idle longest, if that is long enough. */
template<class Server>
void
MakeRoom(Server& aServer)
{
  Await([&](auto aHandler) {
    aServer.mAcceptor.async_wait(Tcp::acceptor::wait_read, aHandler);
  });
  if (aServer.mStopping) {
    return;
  }
  const auto longest =
    std::min_element(aServer.mConnections.begin(),
                     aServer.mConnections.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft->mIdleSince < aRight->mIdleSince;
                     });
  if (longest != aServer.mConnections.end() &&
      (*longest)->mIdleSince < Now() - kIdleBeforeMakingRoom) {
    (*longest)->Expire();
  }
  boost::this_fiber::sleep_for(kStopPollInterval);
}

/** Accepts connections until the server stops. */
template<class Server>
void
AcceptConnections(std::shared_ptr<Server> aServer)
{
  while (!aServer->mStopping) {
    if (aServer->mLimits.mMaxSurplusConnections != 0 && IsFull(*aServer)) {
      boost::this_fiber::sleep_for(kStopPollInterval);
      continue;
    }
    if (HasNoRoom(*aServer)) {
      MakeRoom(*aServer);
      continue;
    }
    Tcp::socket socket(aServer->mAcceptor.get_executor());
    const IoResult accepted = Await([&](auto aHandler) {
      aServer->mAcceptor.async_accept(socket, aHandler);
    });
    if (!accepted.mError) {
      StartConnection(aServer, std::move(socket));
    } else if (!aServer->mStopping) {
      MakeRoom(*aServer);
    }
  }
}

/** Ends the waits of the connections on which no request has arrived. */
template<class Server>
void
ExpireIdle(Server& aServer)
{
  for (const auto& connection : aServer.mConnections) {
    if (connection->mIdleSince != TimePoint::max()) {
      connection->Expire();
    }
  }
}

/** Whether an answer is due on some connection. */
template<class Server>
bool
OwesAnswer(const Server& aServer)
{
  return std::any_of(
    aServer.mConnections.begin(),
    aServer.mConnections.end(),
    [](const auto& aConnection) { return aConnection->OwesAnswer(); });
}

/** Ends the wait for the client's close on connections whose last answer was
    written some time ago. */
template<class Server>
void
ExpireAnswered(Server& aServer)
{
  for (const auto& connection : aServer.mConnections) {
    if (connection->mAnsweredSince < Now() - kAnsweredBeforeMakingRoom) {
      connection->Expire();
    }
  }
}

/** Accepts the connections that wait in the kernel's backlog; closing the
    listening socket would reset them. While accepting fails, as it does without
    a free descriptor, it closes idle and answered connections and waits for
    others to end, until aUntil. */
template<class Server>
void
AcceptPending(const std::shared_ptr<Server>& aServer, TimePoint aUntil)
{
  error_code error;
  aServer->mAcceptor.non_blocking(true, error);
  while (error != asio::error::would_block) {
    Tcp::socket socket(aServer->mAcceptor.get_executor());
    aServer->mAcceptor.accept(socket, error);
    if (!error) {
      StartConnection(aServer, std::move(socket));
    } else if (error != asio::error::would_block) {
      if (Now() >= aUntil) {
        return;
      }
      ExpireIdle(*aServer);
      ExpireAnswered(*aServer);
      boost::this_fiber::sleep_for(kStopPollInterval);
    }
  }
}

} // namespace

Result<std::unique_ptr<HttpServer>>
HttpServer::Start(IoLoop& aLoop,
                  const Endpoint& aAddress,
                  HttpServerLimits aLimits,
                  HttpHandler aHandler)
{
  return Start(
    aLoop,
    aAddress,
    aLimits,
    WatchingHttpHandler([handler = std::move(aHandler)](
                          const HttpRequest& aRequest, const DisconnectWatch&) {
      return handler(aRequest);
    }));
}

Result<std::unique_ptr<HttpServer>>
HttpServer::Start(IoLoop& aLoop,
                  const Endpoint& aAddress,
                  HttpServerLimits aLimits,
                  WatchingHttpHandler aHandler)
{
  auto acceptor = Listen(aLoop.Context(), aAddress);
  if (!acceptor) {
    return tl::unexpected<Error>(acceptor.error());
  }
  auto implementation = std::make_shared<Implementation>(
    Implementation{ std::move(*acceptor), aLimits, std::move(aHandler), {} });
  StartFiber([implementation] { AcceptConnections(implementation); });
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(implementation)));
}

HttpServer::HttpServer(std::shared_ptr<Implementation> aImplementation)
  : mImplementation(std::move(aImplementation))
{
}

HttpServer::~HttpServer()
{
  mImplementation->mStopping = true;
  error_code ignored;
  mImplementation->mAcceptor.close(ignored);
}

void
HttpServer::CountMemory(std::shared_ptr<MemoryAccount> aMemory)
{
  mImplementation->mMemory = std::move(aMemory);
}

void
HttpServer::ChangeLimits(HttpServerLimits aLimits)
{
  mImplementation->mLimits = aLimits;
  for (const auto& connection : mImplementation->mConnections) {
    if (connection->mIdleSince != TimePoint::max()) {
      connection->ExtendExpiry(connection->mIdleSince + aLimits.mIdleLimit);
    }
  }
}

void
HttpServer::AnnounceStop()
{
  mImplementation->mStopAnnounced = true;
}

void
HttpServer::Stop(TimePoint aUntil, Duration aOverrun)
{
  mImplementation->mStopping = true;
  error_code ignored;
  const TimePoint now = Now();
  AcceptPending(mImplementation, now + (aUntil - now) / 2);
  mImplementation->mAcceptor.close(ignored);
  boost::this_fiber::sleep_for(kIdleCloseDelay);
  mImplementation->mClosesIdle = true;
  ExpireIdle(*mImplementation);
  // After a hold-up that went past aUntil, answers may be due that are not
  // written yet.
  TimePoint latest = TimePoint::max();
  bool isEnding = false;
  while (!isEnding && !mImplementation->mConnections.empty()) {
    const std::size_t open = mImplementation->mConnections.size();
    const bool isLate = Now() >= aUntil;
    if (isLate) {
      latest = std::min(latest, Now() + aOverrun);
    }
    boost::this_fiber::sleep_for(kStopPollInterval);
    isEnding = isLate && mImplementation->mConnections.size() >= open &&
               (Now() >= latest || !OwesAnswer(*mImplementation));
  }
}

std::size_t
HttpServer::ConnectionCount() const
{
  return mImplementation->mConnections.size();
}

std::size_t
HttpServer::PeakConnectionCount() const
{
  return mImplementation->mPeakConnections;
}

const HttpServerCounters&
HttpServer::Counters() const
{
  return mImplementation->mCounters;
}

} // namespace wasabispread
