/*
 * An HTTP/1.1 server whose handlers run in fibers.
 */
#pragma once

#include "IoLoop.h"

#include <wasabispread_decisions/wasabispread_decisions.h>
#include <wasabispread_wire/wasabispread_wire.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace wasabispread {

/** The status of a response that is not sent; the connection is closed
    instead. */
inline constexpr unsigned kNoResponse = 0;

/** Handles one request; may block its fiber. */
using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

/** Registers an action that is called once in a new fiber if the client closes
    the connection while its request is handled. A client of HTTP/1.1 that only
    shuts down its sending side has not closed it. */
using DisconnectWatch = std::function<void(std::function<void()>)>;

/** Handles one request; may block its fiber, and may register an action for the
    case that the client disconnects. */
using WatchingHttpHandler =
  std::function<HttpResponse(HttpRequest&&, const DisconnectWatch&)>;

/** Limits of a server. */
struct HttpServerLimits
{
  /** The largest body accepted, in bytes; a larger one is rejected with 413. */
  std::uint64_t mMaxBodyBytes = 1U << 20U;
  /** The largest header accepted, in bytes; a larger one is rejected with
      413. */
  std::uint32_t mMaxHeaderBytes = 16U << 10U;
  /** The maximum number of open connections that are served. */
  std::uint32_t mMaxConnections = 4096;
  /** How many further connections are accepted in order to reject their
      requests; more than these wait to be accepted. With 0, further connections
      are closed at once. */
  std::uint32_t mMaxSurplusConnections = 64;
  /** The delay between accepting a connection and reading its first request. */
  Duration mConnectionDelay{};
  /** How long a connection may stay open without a request. */
  Duration mIdleLimit = std::chrono::minutes(2);
  /** How long receiving a request's header may take, from its first byte on;
      after that the request is rejected with 408. */
  Duration mHeaderLimit = std::chrono::seconds(10);
  /** How long a client may send nothing of a request's body, or accept nothing
      of a response. A whole body or response may take twelve times as long. */
  Duration mTransferLimit = std::chrono::seconds(10);
};

/** What a server read, and what it could not answer. */
struct HttpServerCounters
{
  std::uint64_t mRequestsRead = 0;
  /** Responses that were not written completely. */
  std::uint64_t mResponsesNotSent = 0;
  /** Connections that the server closed although input was unread. */
  std::uint64_t mClosedWithInput = 0;
  /** Connections that were rejected because too many were open. */
  std::uint64_t mConnectionsRefused = 0;
};

/** Serves one address until it is stopped. */
class HttpServer
{
public:
  /** Opens the port; kConnectionFailed when it cannot. */
  static Result<std::unique_ptr<HttpServer>> Start(IoLoop& aLoop,
                                                   const Endpoint& aAddress,
                                                   HttpServerLimits aLimits,
                                                   HttpHandler aHandler);

  /** As above, for a handler that can register an action for a
      disconnect of the client. */
  static Result<std::unique_ptr<HttpServer>> Start(
    IoLoop& aLoop,
    const Endpoint& aAddress,
    HttpServerLimits aLimits,
    WatchingHttpHandler aHandler);

  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** From now on the account counts the server's requests and answers, and
      refuses requests with 503. */
  void CountMemory(std::shared_ptr<MemoryAccount> aMemory);

  /** Changes the limits; each connection applies them from its next request
      on. Idle connections stay open for the longer of both idle limits. */
  void ChangeLimits(HttpServerLimits aLimits);

  /** Continues to serve, but from now on closes each connection after its next
      response, so that clients reconnect to another VM before Stop(). */
  void AnnounceStop();

  /** Stops accepting connections, closes those on which no request has arrived
      and waits for requests in flight. Returns when all connections are closed;
      after aUntil, as soon as none closes for 2 ms and, for at most aOverrun,
      no answer is due that the client reads: after a hold-up, requests and
      replies may have arrived that are not handled yet. */
  void Stop(TimePoint aUntil, Duration aOverrun = Duration::zero());

  /** The number of open connections. */
  std::size_t ConnectionCount() const;

  /** The largest number of connections that were open at the same time. */
  std::size_t PeakConnectionCount() const;

  const HttpServerCounters& Counters() const;

private:
  struct Implementation;

  explicit HttpServer(std::shared_ptr<Implementation> aImplementation);

  std::shared_ptr<Implementation> mImplementation;
};

} // namespace wasabispread
