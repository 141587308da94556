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

namespace wasabispread {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using RequestParser = http::request_parser<http::string_body>;

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
/** How long input is discarded after a request was rejected. */
constexpr Duration kDiscardTimeout = std::chrono::seconds(2);
/** How long a stopping server waits before it closes idle connections, since a
    request may already be on its way on one of them. */
constexpr Duration kIdleCloseDelay = std::chrono::milliseconds(200);
/** How often a stopping server checks whether all connections are closed; also
    the pause after a failed accept. */
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

http::response<http::string_body>
ToBeast(HttpResponse&& aResponse, bool aKeepAlive)
{
  constexpr unsigned kHttp11 = 11;
  http::response<http::string_body> response;
  response.version(kHttp11);
  response.result(aResponse.mStatus);
  for (const HttpHeader& header : aResponse.mHeaders) {
    response.insert(header.mName, header.mValue);
  }
  response.body() = std::move(aResponse.mBody);
  response.keep_alive(aKeepAlive);
  response.prepare_payload();
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
  std::uint64_t mRequestsRead = 0;
  /** Whether a request was read whose answer is not written completely. */
  bool mIsServing = false;
  /** Whether an answer waits for the client to read. */
  bool mIsBlocked = false;
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
  HttpServerCounters mCounters;
};

namespace {

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

/** Writes a response and returns the error of the connection, if any; timed_out
    when the client accepts nothing for aLimit. */
error_code
WriteResponse(ServerConnection& aConnection,
              HttpResponse aResponse,
              bool aKeepAlive,
              Duration aLimit)
{
  const auto response = ToBeast(std::move(aResponse), aKeepAlive);
  http::response_serializer<http::string_body> serializer(response);
  const TimePoint end = Now() + kMaxTransferLimits * aLimit;
  error_code error;
  bool isBlocked = false;
  while (!error && !serializer.is_done()) {
    serializer.next(error, [&](error_code& aError, const auto& aBuffers) {
      serializer.consume(aConnection.mSocket.write_some(aBuffers, aError));
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
  }
  aConnection.ExpireAt(TimePoint::max());
  return error;
}

/** The error to send for a failed read; std::nullopt when the connection ended
    or timed out, so that no response can be sent. */
std::optional<Error>
ReadProblem(error_code aError)
{
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

/** Shuts down the sending side and discards input until the client closes its
    side, for a limited time. Closing a socket with unread input would reset the
    connection, and the client could lose the last response. */
void
AwaitCloseByClient(ServerConnection& aConnection)
{
  error_code error;
  aConnection.mSocket.shutdown(Tcp::socket::shutdown_send, error);
  aConnection.ExpireAt(Now() + kDiscardTimeout);
  std::size_t discarded = 0;
  while (!error && !aConnection.mIsExpired && discarded < kMaxDiscardedBytes) {
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
  aConnection.ExpireAt(aConnection.mIdleSince + aServer.mLimits.mIdleLimit);
  aConnection.mIsExpired = aServer.mClosesIdle;
  error_code error;
  while (!error && aConnection.mBuffer.size() == 0) {
    error = aConnection.ReadSome(kHeaderReadBytes);
    SkipEmptyLines(aConnection.mBuffer);
  }
  aConnection.mIdleSince = TimePoint::max();
  return !error;
}

/** Reads a request, of which some bytes are in the connection's buffer. */
template<class Server>
error_code
ReadRequest(const Server& aServer,
            ServerConnection& aConnection,
            RequestParser& aParser)
{
  aParser.eager(true);
  aParser.body_limit(aServer.mLimits.mMaxBodyBytes);
  aParser.header_limit(aServer.mLimits.mMaxHeaderBytes);
  const Duration bodyLimit = aServer.mLimits.mTransferLimit;
  const TimePoint start = Now();
  aConnection.ExpireAt(start + aServer.mLimits.mHeaderLimit);
  while (true) {
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
    if (aParser.is_done()) {
      return {};
    }
    if (aParser.is_header_done()) {
      aConnection.ExpireAt(
        std::min(Now() + bodyLimit, start + kMaxTransferLimits * bodyLimit));
      if (aConnection.mBuffer.size() > kMaxUnparsedBytes) {
        return http::error::buffer_overflow;
      }
    }
    error = aConnection.ReadSome(aParser.is_header_done() ? kBodyReadBytes
                                                          : kHeaderReadBytes);
    if (error) {
      return error;
    }
  }
}

/** Runs the handler, which may register an action for a disconnect of the
    client. */
template<class Server>
HttpResponse
RunHandler(Server& aServer,
           ServerConnection& aConnection,
           const HttpRequest& aRequest)
{
  auto& socket = aConnection.mSocket;
  const auto isHandled = std::make_shared<bool>(false);
  bool isWatched = false;
  const DisconnectWatch watch = [&](std::function<void()> aAction) {
    isWatched = true;
    socket.async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [&socket, isHandled, action = std::move(aAction)](auto aError) {
        if (!aError && !*isHandled && IsClosedByPeer(socket)) {
          StartFiber(action);
        }
      });
  };
  HttpResponse response = aServer.mHandler(aRequest, watch);
  *isHandled = true;
  if (isWatched) {
    error_code ignored;
    socket.cancel(ignored);
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
  const bool isClosing =
    !aResponse.mKeepAlive || aServer.mStopAnnounced || aServer.mStopping;
  return !isClosing || aConnection.mBuffer.size() != 0 ||
         aConnection.HasInput();
}

/** Serves the next request; false when the connection must be closed. */
template<class Server>
bool
ServeRequest(Server& aServer, ServerConnection& aConnection)
{
  const Duration writeLimit = aServer.mLimits.mTransferLimit;
  RequestParser parser;
  const error_code error = ReadRequest(aServer, aConnection, parser);
  const auto problem =
    error ? ReadProblem(error) : RequestProblem(parser.get());
  if (error || problem) {
    if (problem) {
      WriteResponse(
        aConnection, FormatProblem(*problem, ""), false, writeLimit);
      AwaitCloseByClient(aConnection);
    }
    return false;
  }
  aConnection.ExpireAt(TimePoint::max());
  const bool wantsKeepAlive = parser.keep_alive();
  HttpRequest request = FromBeast(parser.release());
  request.mIsFirstOnConnection = aConnection.mRequestsRead == 0;
  ++aConnection.mRequestsRead;
  ++aServer.mCounters.mRequestsRead;
  aConnection.mIsServing = true;
  HttpResponse response = RunHandler(aServer, aConnection, request);
  if (response.mStatus == kNoResponse) {
    return false;
  }
  if (request.mMethod == "HEAD") {
    response.mBody.clear();
  }
  const bool keepAlive =
    wantsKeepAlive && StaysOpen(aServer, aConnection, response);
  const auto whenWritten = std::move(response.mWhenWritten);
  const error_code writeError =
    WriteResponse(aConnection, std::move(response), keepAlive, writeLimit);
  aConnection.mIsServing = false;
  aServer.mCounters.mResponsesNotSent += writeError ? 1 : 0;
  if (whenWritten) {
    whenWritten(writeError ? writeError.message() : "");
  }
  if (!writeError && !keepAlive) {
    AwaitCloseByClient(aConnection);
  }
  return !writeError && keepAlive;
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
  aCounters.mClosedWithInput += aConnection.HasInput() ? 1 : 0;
  aConnection.mTimer.cancel();
  aConnection.mSocket.shutdown(Tcp::socket::shutdown_both, ignored);
  aConnection.mSocket.close(ignored);
}

/** Starts a fiber that serves an accepted connection, or closes the connection
    when too many are open. */
template<class Server>
void
StartConnection(const std::shared_ptr<Server>& aServer, Tcp::socket aSocket)
{
  if (aServer->mConnections.size() >= aServer->mLimits.mMaxConnections) {
    ++aServer->mCounters.mConnectionsRefused;
    return;
  }
  error_code ignored;
  aSocket.set_option(Tcp::no_delay(true), ignored);
  aSocket.non_blocking(true, ignored);
  auto connection = std::make_shared<ServerConnection>(std::move(aSocket));
  aServer->mConnections.insert(connection);
  aServer->mPeakConnections =
    std::max(aServer->mPeakConnections, aServer->mConnections.size());
  StartFiber([aServer, connection] {
    ServeConnection(*aServer, *connection);
    CloseConnection(*connection, aServer->mCounters);
    aServer->mConnections.erase(connection);
  });
}

/** Accepts connections until the server stops. */
template<class Server>
void
AcceptConnections(std::shared_ptr<Server> aServer)
{
  while (!aServer->mStopping) {
    Tcp::socket socket(aServer->mAcceptor.get_executor());
    const IoResult accepted = Await([&](auto aHandler) {
      aServer->mAcceptor.async_accept(socket, aHandler);
    });
    if (!accepted.mError) {
      StartConnection(aServer, std::move(socket));
    } else if (!aServer->mStopping) {
      boost::this_fiber::sleep_for(kStopPollInterval);
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

/** Accepts the connections that wait in the kernel's backlog; closing the
    listening socket would reset them. While accepting fails, as it does without
    a free descriptor, it closes idle connections and waits for others to end,
    until aUntil. */
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
