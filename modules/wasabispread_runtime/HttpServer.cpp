/*
 * The server's accept loop and its connections.
 */
#include "AsioSupport.h"

#include "wasabispread_runtime.h"

#include <set>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/operations.hpp>

namespace wasabispread {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr Duration kIdleLimit = std::chrono::minutes(2);
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
    response.set(header.mName, header.mValue);
  }
  response.body() = std::move(aResponse.mBody);
  response.keep_alive(aKeepAlive);
  response.prepare_payload();
  return response;
}

} // namespace

/** A connection that a stop may have to close. */
struct ServerConnection
{
  beast::tcp_stream mStream;
  bool mIsIdle = true;
};

struct HttpServer::Implementation
{
  boost::asio::ip::tcp::acceptor mAcceptor;
  HttpServerLimits mLimits;
  HttpHandler mHandler;
  std::set<std::shared_ptr<ServerConnection>> mConnections;
  bool mStopping = false;
  std::size_t mPeakConnections = 0;
  std::uint64_t mRefusedConnections = 0;
};

namespace {

/** Writes a response; false when the connection broke. */
bool
WriteResponse(ServerConnection& aConnection,
              HttpResponse aResponse,
              bool aKeepAlive)
{
  auto response = ToBeast(std::move(aResponse), aKeepAlive);
  const IoResult written = Await([&](auto aHandler) {
    http::async_write(aConnection.mStream, response, aHandler);
  });
  return !written.mError;
}

/** The problem that a failed read deserves, if the caller can still read. */
std::optional<Error>
ReadProblem(boost::system::error_code aError)
{
  if (aError == http::error::body_limit) {
    return Error{ ErrorKind::kRequestTooLarge,
                  "the request's body is too large",
                  "send a smaller body" };
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

/** Serves one connection until it ends. */
template<class Server>
void
ServeConnection(Server& aServer, ServerConnection& aConnection)
{
  if (aServer.mLimits.mConnectionDelay > Duration::zero()) {
    boost::this_fiber::sleep_for(aServer.mLimits.mConnectionDelay);
  }
  beast::flat_buffer buffer;
  while (!aServer.mStopping) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(aServer.mLimits.mMostBodyBytes);
    aConnection.mStream.expires_after(kIdleLimit);
    const IoResult read = Await([&](auto aHandler) {
      http::async_read(aConnection.mStream, buffer, parser, aHandler);
    });
    if (read.mError) {
      if (const auto problem = ReadProblem(read.mError)) {
        WriteResponse(aConnection, FormatProblem(*problem, ""), false);
      }
      return;
    }
    aConnection.mIsIdle = false;
    const bool wantsMore = parser.keep_alive();
    HttpResponse response = aServer.mHandler(FromBeast(parser.release()));
    const bool keepAlive =
      wantsMore && response.mKeepAlive && !aServer.mStopping;
    aConnection.mStream.expires_after(kIdleLimit);
    if (!WriteResponse(aConnection, std::move(response), keepAlive) ||
        !keepAlive) {
      return;
    }
    aConnection.mIsIdle = true;
  }
}

void
CloseStream(beast::tcp_stream& aStream)
{
  boost::system::error_code ignored;
  aStream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both,
                            ignored);
  aStream.close();
}

/** Accepts connections until the acceptor closes. */
template<class Server>
void
AcceptConnections(std::shared_ptr<Server> aServer)
{
  while (!aServer->mStopping) {
    boost::asio::ip::tcp::socket socket(aServer->mAcceptor.get_executor());
    const IoResult accepted = Await([&](auto aHandler) {
      aServer->mAcceptor.async_accept(socket, aHandler);
    });
    if (aServer->mStopping) {
      return;
    }
    if (accepted.mError) {
      boost::this_fiber::sleep_for(kStopPollInterval);
      continue;
    }
    if (aServer->mConnections.size() >= aServer->mLimits.mMostConnections) {
      ++aServer->mRefusedConnections;
      continue;
    }
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    auto connection = std::make_shared<ServerConnection>(
      ServerConnection{ beast::tcp_stream(std::move(socket)) });
    aServer->mConnections.insert(connection);
    aServer->mPeakConnections =
      std::max(aServer->mPeakConnections, aServer->mConnections.size());
    StartFiber([aServer, connection] {
      ServeConnection(*aServer, *connection);
      CloseStream(connection->mStream);
      aServer->mConnections.erase(connection);
    });
  }
}

} // namespace

Result<std::unique_ptr<HttpServer>>
HttpServer::Start(IoLoop& aLoop,
                  const Endpoint& aAddress,
                  HttpServerLimits aLimits,
                  HttpHandler aHandler)
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
HttpServer::Stop(TimePoint aUntil)
{
  mImplementation->mStopping = true;
  boost::system::error_code ignored;
  mImplementation->mAcceptor.close(ignored);
  for (const auto& connection : mImplementation->mConnections) {
    if (connection->mIsIdle) {
      CloseStream(connection->mStream);
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

std::uint64_t
HttpServer::RefusedConnections() const
{
  return mImplementation->mRefusedConnections;
}

} // namespace wasabispread
