/*
 * The client connection on Beast.
 */
#include "AsioSupport.h"

#include "wasabispread_runtime.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace wasabispread {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::uint64_t kMostResponseBytes = 64ULL << 20U;

http::request<http::string_body>
ToBeast(const HttpRequest& aRequest, const std::string& aHost)
{
  constexpr unsigned kHttp11 = 11;
  http::request<http::string_body> request(
    http::string_to_verb(aRequest.mMethod), aRequest.mTarget, kHttp11);
  request.set(http::field::host, aHost);
  for (const HttpHeader& header : aRequest.mHeaders) {
    request.set(header.mName, header.mValue);
  }
  request.body() = aRequest.mBody;
  request.prepare_payload();
  return request;
}

HttpResponse
FromBeast(http::response<http::string_body>&& aResponse)
{
  HttpResponse response;
  response.mStatus = aResponse.result_int();
  response.mKeepAlive = aResponse.keep_alive();
  for (const auto& field : aResponse) {
    response.mHeaders.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  response.mBody = std::move(aResponse.body());
  return response;
}

tl::unexpected<Error>
ConnectionFailure(const boost::system::error_code& aError,
                  const std::string& aPeer,
                  Execution aExecution)
{
  return Fail(ErrorKind::kConnectionFailed,
              "the exchange with " + aPeer + " failed: " + aError.message(),
              "check that the process there is running and reachable",
              aExecution);
}

} // namespace

struct HttpConnection::Implementation
{
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  std::string mPeer;
  /** True while a watch on the idle connection stands. */
  std::shared_ptr<bool> mIsWatching;
};

HttpConnection::HttpConnection(IoLoop& aLoop)
  : mImplementation(std::make_unique<Implementation>(
      Implementation{ beast::tcp_stream(aLoop.Context()), {}, {}, {} }))
{
}

HttpConnection::~HttpConnection()
{
  EndWatch();
}

void
HttpConnection::WatchIdle(std::function<void()> aAction)
{
  EndWatch();
  auto isWatching = std::make_shared<bool>(true);
  mImplementation->mIsWatching = isWatching;
  mImplementation->mStream.socket().async_wait(
    boost::asio::ip::tcp::socket::wait_read,
    [isWatching, action = std::move(aAction)](auto aError) {
      if (!aError && *isWatching) {
        *isWatching = false;
        StartFiber(action);
      }
    });
}

void
HttpConnection::EndWatch()
{
  if (mImplementation->mIsWatching == nullptr) {
    return;
  }
  *mImplementation->mIsWatching = false;
  mImplementation->mIsWatching.reset();
  boost::system::error_code ignored;
  mImplementation->mStream.socket().cancel(ignored);
}

Result<std::monostate>
HttpConnection::Connect(const Endpoint& aAddress, Duration aTimeout)
{
  mImplementation->mPeer = ToText(aAddress);
  auto& stream = mImplementation->mStream;
  stream.expires_after(aTimeout);
  const IoResult connected = Await(
    [&](auto aHandler) { stream.async_connect(ToAsio(aAddress), aHandler); });
  if (connected.mError) {
    return ConnectionFailure(
      connected.mError, mImplementation->mPeer, Execution::kNotRun);
  }
  boost::system::error_code ignored;
  stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  return std::monostate{};
}

Result<HttpResponse>
HttpConnection::Exchange(const HttpRequest& aRequest, Duration aTimeout)
{
  EndWatch();
  auto& stream = mImplementation->mStream;
  if (IsClosedByPeer(stream.socket())) {
    return ConnectionFailure(boost::asio::error::eof,
                             mImplementation->mPeer,
                             Execution::kNotRun);
  }
  const auto request = ToBeast(aRequest, mImplementation->mPeer);
  stream.expires_after(aTimeout);
  const IoResult written =
    Await([&](auto aHandler) { http::async_write(stream, request, aHandler); });
  if (written.mError) {
    return ConnectionFailure(written.mError,
                             mImplementation->mPeer,
                             written.mBytes == 0 ? Execution::kNotRun
                                                 : Execution::kUnknown);
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMostResponseBytes);
  const IoResult read = Await([&](auto aHandler) {
    http::async_read(stream, mImplementation->mBuffer, parser, aHandler);
  });
  if (read.mError) {
    return ConnectionFailure(
      read.mError, mImplementation->mPeer, Execution::kUnknown);
  }
  return FromBeast(parser.release());
}

void
HttpConnection::Close()
{
  EndWatch();
  boost::system::error_code ignored;
  mImplementation->mStream.socket().shutdown(
    boost::asio::ip::tcp::socket::shutdown_both, ignored);
  mImplementation->mStream.close();
}

Result<HttpResponse>
ExchangeOnce(IoLoop& aLoop,
             const Endpoint& aAddress,
             const HttpRequest& aRequest,
             Duration aTimeout)
{
  HttpConnection connection(aLoop);
  const auto connected = connection.Connect(aAddress, aTimeout);
  if (!connected) {
    return tl::unexpected<Error>(connected.error());
  }
  return connection.Exchange(aRequest, aTimeout);
}

} // namespace wasabispread
