/*
 * The HTTP client connection, implemented with Boost.Beast.
 */
#include "AsioSupport.h"
#include "TransferCoding.h"

#include "wasabispread_runtime.h"

#include <new>
#include <optional>
#include <stdexcept>

#include <netinet/tcp.h>

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
// The concrete executor type of io_context; the type-erased any_io_executor
// would be copied several times in each operation.
using Executor = asio::io_context::executor_type;
using Socket = asio::basic_stream_socket<Tcp, Executor>;
using ExpiryTimer =
  asio::basic_waitable_timer<std::chrono::steady_clock,
                             asio::wait_traits<std::chrono::steady_clock>,
                             Executor>;
using ResponseParser = http::response_parser<http::string_body>;

/** The most bytes that are kept because they do not make up a complete part of
    a response yet, as in a chunk header without end. */
constexpr std::size_t kMaxUnparsedBytes = 64U << 10U;
/** The most responses to other requests that are discarded in one exchange. */
constexpr unsigned kMaxOtherResponses = 4;
/** The most interim responses that are discarded before one response. */
constexpr unsigned kMaxInterimResponses = 16;
/** How much later an exchange expires while input waits that is not read, as
    after a hold-up of the process, and how often. */
constexpr Duration kLateReadTime = std::chrono::milliseconds(5);
constexpr unsigned kMaxLateReads = 200;
/** How often a response that waits for memory looks for it. */
constexpr Duration kMemoryPollInterval = std::chrono::milliseconds(5);
/** The buffer space that each read offers, in bytes. */
constexpr std::size_t kReadBytes = 4096;

http::request<http::string_body>
ToBeast(HttpRequest&& aRequest, const std::string& aHost)
{
  constexpr unsigned kHttp11 = 11;
  http::request<http::string_body> request;
  request.version(kHttp11);
  request.method_string(aRequest.mMethod);
  request.target(aRequest.mTarget);
  if (FindHeader(aRequest.mHeaders, "Host").empty()) {
    request.set(http::field::host, aHost);
  }
  for (const HttpHeader& header : aRequest.mHeaders) {
    request.insert(header.mName, header.mValue);
  }
  request.body() = std::move(aRequest.mBody);
  if (request.method() == http::verb::trace && !request.body().empty()) {
    // prepare_payload() would throw: a client should not send such a body.
    request.content_length(request.body().size());
  } else {
    request.prepare_payload();
  }
  return request;
}

/** Serializes a whole request into one string, so that a single call can write
    it. */
std::string
Serialize(const http::request<http::string_body>& aRequest)
{
  http::request_serializer<http::string_body> serializer(aRequest);
  std::string bytes;
  constexpr std::size_t kUsualHeaderBytes = 1024;
  bytes.reserve(aRequest.body().size() + kUsualHeaderBytes);
  error_code error;
  while (!error && !serializer.is_done()) {
    serializer.next(error, [&](error_code&, const auto& aBuffers) {
      std::size_t size = 0;
      for (const asio::const_buffer buffer :
           beast::buffers_range_ref(aBuffers)) {
        bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
        size += buffer.size();
      }
      serializer.consume(size);
    });
  }
  return bytes;
}

/** The bytes of a request; none when it has no method or a header field is
    longer than Beast's fields hold. */
std::optional<std::string>
RequestBytes(HttpRequest&& aRequest, const std::string& aHost)
{
  try {
    return Serialize(ToBeast(std::move(aRequest), aHost));
  } catch (const std::logic_error&) {
    return std::nullopt;
  }
}

/** Whether the final response follows this one (RFC 9110 15.2). */
bool
IsInterim(const ResponseParser& aParser)
{
  constexpr unsigned kStatusesOfAClass = 100;
  return aParser.get().result_int() / kStatusesOfAClass == 1 &&
         aParser.get().result() != http::status::switching_protocols;
}

/** Whether a response has a status that is none of a final response. */
bool
HasUnusableStatus(const ResponseParser& aParser)
{
  constexpr unsigned kFirstFinalStatus = 200;
  return aParser.get().result_int() < kFirstFinalStatus;
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

/** Enables TCP keep-alive probes, so that the kernel detects a peer that
    disappeared without closing the connection, as after a network partition or
    a power failure. */
void
EnableKeepAlive(Socket& aSocket)
{
  constexpr int kIdleSeconds = 1;
  constexpr int kIntervalSeconds = 1;
  constexpr int kProbes = 3;
  using Idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using Interval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using Count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  error_code ignored;
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  aSocket.set_option(Idle(kIdleSeconds), ignored);
  aSocket.set_option(Interval(kIntervalSeconds), ignored);
  aSocket.set_option(Count(kProbes), ignored);
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

/** The socket and its pending operations. Once connected, a read is always
    pending: during an exchange it receives the response, and between exchanges
    it detects that the connection closes. The handlers of pending operations
    keep this object alive. */
struct HttpConnection::Implementation
  : std::enable_shared_from_this<HttpConnection::Implementation>
{
  explicit Implementation(asio::io_context& aContext)
    : mSocket(aContext)
    , mTimer(aContext)
  {
  }

  /** Closes the socket at aTime, or soon after it when input waits unread,
      unless a later call changes that time. To save timer operations, a running
      timer is kept when the time moves later, and is set again only when it
      fires before that time. */
  void ExpireAt(TimePoint aTime)
  {
    mExpiry = aTime;
    mLateReads = 0;
    if (aTime < mTimerDue) {
      ArmTimer(aTime);
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
    const TimePoint now = std::chrono::steady_clock::now();
    if (now >= mExpiry && mLateReads < kMaxLateReads && HasUnreadInput()) {
      ++mLateReads;
      mExpiry = now + kLateReadTime;
    }
    if (now < mExpiry) {
      ArmTimer(mExpiry);
    } else {
      CloseSocket();
    }
  }

  /** Whether input, or its end, has arrived that the fiber of the exchange has
      not handled yet. */
  bool HasUnreadInput()
  {
    error_code error;
    return mIsConnected && (!mIsReading || mSocket.available(error) != 0 ||
                            IsClosedByPeer(mSocket));
  }

  void CloseSocket()
  {
    error_code ignored;
    mSocket.shutdown(Tcp::socket::shutdown_both, ignored);
    mSocket.close(ignored);
  }

  void StartRead()
  {
    mIsReading = true;
    mSocket.async_read_some(
      mBuffer.prepare(kReadBytes),
      [self = shared_from_this()](error_code aError, std::size_t aBytes) {
        self->HandleRead(aError, aBytes);
      });
  }

  void HandleRead(const error_code& aError, std::size_t aBytes)
  {
    mIsReading = false;
    mReadError = aError;
    mBuffer.commit(aBytes);
    mReadDone.Notify();
    if (mIdleAction) {
      StartFiber(std::exchange(mIdleAction, nullptr));
    }
  }

  /** Whether no further exchange is possible on the connection. */
  bool IsUnusable() { return !mIsReading || IsClosedByPeer(mSocket); }

  /** Writes as much as the socket accepts without blocking. The rest is written
      while the response is read, since a server may respond before it has read
      the whole request. */
  IoResult StartWrite(std::string aBytes)
  {
    IoResult result;
    result.mBytes = mSocket.write_some(asio::buffer(aBytes), result.mError);
    if (result.mError == asio::error::would_block) {
      result.mError = {};
    }
    if (!result.mError && result.mBytes < aBytes.size()) {
      mIsWriting = true;
      mOutgoing = std::move(aBytes);
      asio::async_write(
        mSocket,
        asio::buffer(mOutgoing) + result.mBytes,
        [self = shared_from_this()](error_code aError, std::size_t) {
          // A failed write also ends the pending read.
          self->mIsWriting = false;
          self->mOutgoing = {};
          self->mWriteError = aError;
        });
    }
    return result;
  }

  /** Counts the bytes that this connection holds. */
  void CountMemory(const ResponseParser& aParser)
  {
    if (mMemory != nullptr) {
      mMemory->Set(this,
                   MemoryUse::kReply,
                   aParser.get().body().size() + mBuffer.size(),
                   std::chrono::steady_clock::now(),
                   [self = weak_from_this()] {
                     if (const auto connection = self.lock()) {
                       connection->CloseSocket();
                     }
                   });
    }
  }

  /** Waits while the account leaves no room for more of a response. */
  void AwaitMemory() const
  {
    while (mMemory != nullptr && mSocket.is_open() &&
           !mMemory->MayRead(this, std::chrono::steady_clock::now())) {
      boost::this_fiber::sleep_for(kMemoryPollInterval);
    }
  }

  /** Parses the buffer and returns how many bytes were used. */
  std::size_t Parse(ResponseParser& aParser, error_code& aError) const
  {
    try {
      return aParser.put(mBuffer.data(), aError);
    } catch (const std::length_error&) {
      // Beast stores fields of less than 64 KiB only; a trailer may have more.
      aError = http::error::header_limit;
      return 0;
    } catch (const std::bad_alloc&) {
      // Beast reserves the length that the response states.
      aError = http::error::body_limit;
      return 0;
    }
  }

  /** Reads until the response is complete. The buffer is modified only while no
      read is pending, since a pending read writes into it. */
  error_code Read(ResponseParser& aParser, std::uint64_t aMaxBodyBytes)
  {
    error_code error;
    bool needsMore = mBuffer.size() == 0;
    while (!aParser.is_done()) {
      if (!mIsReading && needsMore) {
        AwaitMemory();
        StartRead();
      }
      while (mIsReading) {
        mReadDone.Wait();
      }
      if (mReadError == asio::error::eof && mWriteError) {
        // The write was told of the reset, and the read of an end only.
        return mWriteError;
      }
      if (mReadError == asio::error::eof && aParser.got_some()) {
        aParser.put_eof(error);
        return aParser.is_done() ? error_code{} : mReadError;
      }
      if (mReadError) {
        return mReadError;
      }
      mBuffer.consume(Parse(aParser, error));
      if (error && error != http::error::need_more) {
        return error;
      }
      // Beast forgets that the stated length is above the limit when a part of
      // the body arrives with the head.
      if (aParser.is_header_done() && !aParser.is_done() &&
          aParser.content_length().value_or(0) > aMaxBodyBytes) {
        return http::error::body_limit;
      }
      CountMemory(aParser);
      if (!aParser.is_done() && mBuffer.size() > kMaxUnparsedBytes) {
        return http::error::buffer_overflow;
      }
      needsMore = true;
    }
    return {};
  }

  /** Ends an exchange: starts a read, which detects that the peer closes the
      idle connection. */
  void WatchForClose()
  {
    ExpireAt(TimePoint::max());
    if (!mIsReading && !mReadError) {
      StartRead();
    }
  }

  Socket mSocket;
  ExpiryTimer mTimer;
  /** When the timer fires; TimePoint::max() while it is not set. */
  TimePoint mTimerDue = TimePoint::max();
  /** When to close the socket; TimePoint::max() between exchanges. */
  TimePoint mExpiry = TimePoint::max();
  /** How often the expiry was moved because input waited. */
  unsigned mLateReads = 0;
  bool mIsConnected = false;
  beast::flat_buffer mBuffer;
  bool mIsReading = false;
  /** Whether a part of mOutgoing is not written yet. */
  bool mIsWriting = false;
  std::string mOutgoing;
  /** Why a part of mOutgoing could not be written, if it could not. */
  error_code mWriteError;
  /** The result of the last completed read; valid while no read is pending. */
  error_code mReadError;
  FiberEvent mReadDone;
  std::string mPeer;
  std::function<void()> mIdleAction;
  /** May be null. */
  std::shared_ptr<MemoryAccount> mMemory;
};

HttpConnection::HttpConnection(IoLoop& aLoop,
                               std::shared_ptr<MemoryAccount> aMemory)
  : mImplementation(std::make_shared<Implementation>(aLoop.Context()))
{
  mImplementation->mMemory = std::move(aMemory);
}

HttpConnection::~HttpConnection()
{
  Close();
}

void
HttpConnection::WatchIdle(std::function<void()> aAction)
{
  if (mImplementation->mIsReading) {
    mImplementation->mIdleAction = std::move(aAction);
  } else {
    StartFiber(std::move(aAction));
  }
}

Result<std::monostate>
HttpConnection::Connect(const Endpoint& aAddress, Duration aTimeout)
{
  Implementation& connection = *mImplementation;
  connection.mPeer = ToText(aAddress);
  connection.ExpireAt(std::chrono::steady_clock::now() + aTimeout);
  const IoResult connected = AwaitConnect(connection.mSocket, aAddress);
  connection.ExpireAt(TimePoint::max());
  if (connected.mError) {
    return ConnectionFailure(
      connected.mError, connection.mPeer, Execution::kNotRun);
  }
  error_code ignored;
  connection.mSocket.set_option(Tcp::no_delay(true), ignored);
  EnableKeepAlive(connection.mSocket);
  connection.mSocket.non_blocking(true, ignored);
  connection.mIsConnected = true;
  connection.StartRead();
  return std::monostate{};
}

Result<HttpResponse>
HttpConnection::Exchange(HttpRequest aRequest, Duration aTimeout)
{
  return Exchange(std::move(aRequest), aTimeout, kMaxResponseBytes);
}

Result<HttpResponse>
HttpConnection::Exchange(HttpRequest aRequest,
                         Duration aTimeout,
                         std::uint64_t aMaxBodyBytes)
{
  return Exchange(std::move(aRequest),
                  aTimeout,
                  aMaxBodyBytes,
                  [](const auto&) { return true; });
}

Result<HttpResponse>
HttpConnection::Exchange(HttpRequest aRequest,
                         Duration aTimeout,
                         std::uint64_t aMaxBodyBytes,
                         const ResponseFilter& aBelongs)
{
  Implementation& connection = *mImplementation;
  connection.mIdleAction = nullptr;
  if (connection.IsUnusable()) {
    return ConnectionFailure(
      asio::error::eof, connection.mPeer, Execution::kNotRun);
  }
  const bool isHead = aRequest.mMethod == "HEAD";
  auto bytes = RequestBytes(std::move(aRequest), connection.mPeer);
  if (!bytes) {
    return ConnectionFailure(
      http::error::header_limit, connection.mPeer, Execution::kNotRun);
  }
  connection.ExpireAt(std::chrono::steady_clock::now() + aTimeout);
  const IoResult written = connection.StartWrite(std::move(*bytes));
  if (written.mError) {
    return ConnectionFailure(written.mError,
                             connection.mPeer,
                             written.mBytes == 0 ? Execution::kNotRun
                                                 : Execution::kUnknown);
  }
  bool canKeepAlive = true;
  for (unsigned others = 0; others <= kMaxOtherResponses; ++others) {
    std::optional<ResponseParser> parser;
    error_code failure;
    unsigned interim = 0;
    do {
      parser.emplace();
      parser->eager(true);
      parser->body_limit(aMaxBodyBytes);
      parser->skip(isHead);
      failure = connection.Read(*parser, aMaxBodyBytes);
    } while (!failure && IsInterim(*parser) &&
             interim++ < kMaxInterimResponses);
    if (!failure && HasUnknownTransferCoding(parser->get())) {
      failure = http::error::bad_transfer_encoding;
    }
    if (!failure && HasUnusableStatus(*parser)) {
      failure = http::error::bad_status;
    }
    if (connection.mMemory != nullptr) {
      connection.mMemory->Release(&connection);
    }
    if (failure) {
      connection.ExpireAt(TimePoint::max());
      return ConnectionFailure(failure, connection.mPeer, Execution::kUnknown);
    }
    HttpResponse response = FromBeast(parser->release());
    // Bytes after the response would be read as the next response, and the rest
    // of an incompletely written request would run into the next request.
    canKeepAlive = canKeepAlive && connection.mBuffer.size() == 0 &&
                   !connection.mIsWriting && !connection.mWriteError;
    if (aBelongs(response)) {
      connection.WatchForClose();
      response.mKeepAlive = response.mKeepAlive && canKeepAlive;
      return response;
    }
    canKeepAlive = false;
    if (!response.mKeepAlive) {
      connection.ExpireAt(TimePoint::max());
      return ConnectionFailure(
        asio::error::eof, connection.mPeer, Execution::kUnknown);
    }
  }
  connection.ExpireAt(TimePoint::max());
  return ConnectionFailure(
    http::error::unexpected_body, connection.mPeer, Execution::kUnknown);
}

void
HttpConnection::Close()
{
  mImplementation->mIdleAction = nullptr;
  if (mImplementation->mMemory != nullptr) {
    mImplementation->mMemory->Release(mImplementation.get());
  }
  mImplementation->mTimer.cancel();
  mImplementation->CloseSocket();
}

Result<HttpResponse>
ExchangeOnce(IoLoop& aLoop,
             const Endpoint& aAddress,
             const HttpRequest& aRequest,
             Duration aTimeout,
             std::uint64_t aMaxBodyBytes)
{
  HttpConnection connection(aLoop);
  const auto connected = connection.Connect(aAddress, aTimeout);
  if (!connected) {
    return tl::unexpected<Error>(connected.error());
  }
  return connection.Exchange(aRequest, aTimeout, aMaxBodyBytes);
}

} // namespace wasabispread
