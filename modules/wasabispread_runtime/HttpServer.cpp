/*
 * The HTTP server: accepts connections and serves the requests on them.
 */
#include "AsioSupport.h"
#include "TransferCoding.h"

#include "wasabispread_runtime.h"

#include <set>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/operations.hpp>

namespace wasabispread {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;

/** The size of the first read of a request and of each discarding read, in
    bytes. */
constexpr std::size_t kFirstReadBytes = 4096;
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
struct ServerConnection
{
  beast::tcp_stream mStream;
  /** Whether no request is being handled; Stop() closes idle connections. */
  bool mIsIdle = true;
  std::uint64_t mRequestsRead = 0;
};

struct HttpServer::Implementation
{
  boost::asio::ip::tcp::acceptor mAcceptor;
  HttpServerLimits mLimits;
  WatchingHttpHandler mHandler;
  std::set<std::shared_ptr<ServerConnection>> mConnections;
  bool mStopAnnounced = false;
  bool mStopping = false;
  std::size_t mPeakConnections = 0;
  HttpServerCounters mCounters;
};

namespace {

/** Writes a response and returns the error of the connection, if any. */
boost::system::error_code
WriteResponse(ServerConnection& aConnection,
              HttpResponse aResponse,
              bool aKeepAlive)
{
  auto response = ToBeast(std::move(aResponse), aKeepAlive);
  const IoResult written = Await([&](auto aHandler) {
    http::async_write(aConnection.mStream, response, aHandler);
  });
  return written.mError;
}

/** The error to send for a failed read; std::nullopt when the connection ended
    or timed out, so that no response can be sent. */
std::optional<Error>
ReadProblem(boost::system::error_code aError)
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

/** Shuts down the sending side and discards input for a limited time. Closing a
    socket with unread input would reset the connection, and the client could
    lose the last response. */
void
DiscardInput(beast::tcp_stream& aStream)
{
  boost::system::error_code ignored;
  aStream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                            ignored);
  aStream.expires_after(kDiscardTimeout);
  std::array<char, kFirstReadBytes> bytes{};
  std::size_t discarded = 0;
  while (discarded < kMaxDiscardedBytes) {
    const IoResult read = Await([&](auto aHandler) {
      aStream.async_read_some(boost::asio::buffer(bytes), aHandler);
    });
    if (read.mError) {
      return;
    }
    discarded += read.mBytes;
  }
}

/** Waits for the first bytes of a request; false when the connection ended or
    the limit passed. */
bool
AwaitRequest(ServerConnection& aConnection,
             beast::flat_buffer& aBuffer,
             Duration aIdleLimit)
{
  if (aBuffer.size() != 0) {
    return true;
  }
  aConnection.mStream.expires_after(aIdleLimit);
  const IoResult read = Await([&](auto aHandler) {
    aConnection.mStream.async_read_some(aBuffer.prepare(kFirstReadBytes),
                                        aHandler);
  });
  aBuffer.commit(read.mBytes);
  return !read.mError;
}

/** Runs the handler, which may register an action for a disconnect of the
    client. */
template<class Server>
HttpResponse
RunHandler(Server& aServer,
           ServerConnection& aConnection,
           const HttpRequest& aRequest)
{
  auto& socket = aConnection.mStream.socket();
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
    boost::system::error_code ignored;
    socket.cancel(ignored);
  }
  return response;
}

/** Serves the next request; false when the connection must be closed. */
template<class Server>
bool
ServeRequest(Server& aServer,
             ServerConnection& aConnection,
             beast::flat_buffer& aBuffer)
{
  http::request_parser<http::string_body> parser;
  parser.body_limit(aServer.mLimits.mMaxBodyBytes);
  parser.header_limit(aServer.mLimits.mMaxHeaderBytes);
  aConnection.mStream.expires_after(aServer.mLimits.mTransferLimit);
  const IoResult read = Await([&](auto aHandler) {
    http::async_read(aConnection.mStream, aBuffer, parser, aHandler);
  });
  const auto problem =
    read.mError ? ReadProblem(read.mError) : RequestProblem(parser.get());
  if (read.mError || problem) {
    if (problem) {
      aConnection.mStream.expires_after(aServer.mLimits.mTransferLimit);
      WriteResponse(aConnection, FormatProblem(*problem, ""), false);
      DiscardInput(aConnection.mStream);
    }
    return false;
  }
  const bool wantsKeepAlive = parser.keep_alive();
  HttpRequest request = FromBeast(parser.release());
  request.mIsFirstOnConnection = aConnection.mRequestsRead == 0;
  ++aConnection.mRequestsRead;
  ++aServer.mCounters.mRequestsRead;
  HttpResponse response = RunHandler(aServer, aConnection, request);
  if (response.mStatus == kNoResponse) {
    return false;
  }
  const bool keepAlive = wantsKeepAlive && response.mKeepAlive &&
                         !aServer.mStopAnnounced && !aServer.mStopping;
  aConnection.mStream.expires_after(aServer.mLimits.mTransferLimit);
  const auto whenWritten = std::move(response.mWhenWritten);
  const auto error = WriteResponse(aConnection, std::move(response), keepAlive);
  aServer.mCounters.mResponsesNotSent += error ? 1 : 0;
  if (whenWritten) {
    whenWritten(error ? error.message() : "");
  }
  return !error && keepAlive;
}

/** Serves the requests of one connection until it ends. */
template<class Server>
void
ServeConnection(Server& aServer, ServerConnection& aConnection)
{
  if (aServer.mLimits.mConnectionDelay > Duration::zero()) {
    boost::this_fiber::sleep_for(aServer.mLimits.mConnectionDelay);
  }
  beast::flat_buffer buffer;
  while (AwaitRequest(aConnection, buffer, aServer.mLimits.mIdleLimit)) {
    aConnection.mIsIdle = false;
    if (!ServeRequest(aServer, aConnection, buffer)) {
      return;
    }
    aConnection.mIsIdle = true;
  }
}

void
CloseStream(beast::tcp_stream& aStream, HttpServerCounters& aCounters)
{
  boost::system::error_code ignored;
  const bool hasInput =
    aStream.socket().is_open() && aStream.socket().available(ignored) != 0;
  aCounters.mClosedWithInput += hasInput ? 1 : 0;
  aStream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both,
                            ignored);
  aStream.close();
}

/** Starts a fiber that serves an accepted connection, or closes the connection
    when too many are open. */
template<class Server>
void
StartConnection(const std::shared_ptr<Server>& aServer,
                boost::asio::ip::tcp::socket aSocket)
{
  if (aServer->mConnections.size() >= aServer->mLimits.mMaxConnections) {
    ++aServer->mCounters.mConnectionsRefused;
    return;
  }
  boost::system::error_code ignored;
  aSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  auto connection = std::make_shared<ServerConnection>(
    ServerConnection{ beast::tcp_stream(std::move(aSocket)) });
  aServer->mConnections.insert(connection);
  aServer->mPeakConnections =
    std::max(aServer->mPeakConnections, aServer->mConnections.size());
  StartFiber([aServer, connection] {
    ServeConnection(*aServer, *connection);
    CloseStream(connection->mStream, aServer->mCounters);
    aServer->mConnections.erase(connection);
  });
}

/** Accepts connections until the server stops. */
template<class Server>
void
AcceptConnections(std::shared_ptr<Server> aServer)
{
  while (!aServer->mStopping) {
    boost::asio::ip::tcp::socket socket(aServer->mAcceptor.get_executor());
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

/** Accepts the connections that wait in the kernel's backlog; closing the
    listening socket would reset them. */
template<class Server>
void
AcceptPending(const std::shared_ptr<Server>& aServer)
{
  boost::system::error_code error;
  aServer->mAcceptor.non_blocking(true, error);
  while (!error) {
    boost::asio::ip::tcp::socket socket(aServer->mAcceptor.get_executor());
    aServer->mAcceptor.accept(socket, error);
    if (!error) {
      StartConnection(aServer, std::move(socket));
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
  boost::system::error_code ignored;
  mImplementation->mAcceptor.close(ignored);
}

void
HttpServer::ChangeLimits(HttpServerLimits aLimits)
{
  mImplementation->mLimits = aLimits;
}

void
HttpServer::AnnounceStop()
{
  mImplementation->mStopAnnounced = true;
}

void
HttpServer::Stop(TimePoint aUntil)
{
  mImplementation->mStopping = true;
  boost::system::error_code ignored;
  AcceptPending(mImplementation);
  mImplementation->mAcceptor.close(ignored);
  if (!mImplementation->mConnections.empty()) {
    boost::this_fiber::sleep_for(kIdleCloseDelay);
  }
  for (const auto& connection : mImplementation->mConnections) {
    if (connection->mIsIdle) {
      CloseStream(connection->mStream, mImplementation->mCounters);
    }
  }
  while (!mImplementation->mConnections.empty() &&
         std::chrono::steady_clock::now() < aUntil) {
    boost::this_fiber::sleep_for(kStopPollInterval);
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
