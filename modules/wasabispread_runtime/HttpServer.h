/*
 * An HTTP/1.1 server whose handlers run in fibers.
 */
#pragma once

#include "IoLoop.h"

#include <wasabispread_wire/wasabispread_wire.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace wasabispread {

/** A response of this status ends the connection without a reply. */
inline constexpr unsigned kNoResponse = 0;

/** Answers one request; may block its fiber. */
using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

/** Has an action called once, in a fiber of its own, if the other side closes
    the connection while its request is handled. */
using DisconnectWatch = std::function<void(std::function<void()>)>;

/** Answers one request and may watch whether its caller is still there. */
using WatchingHttpHandler =
  std::function<HttpResponse(const HttpRequest&, const DisconnectWatch&)>;

/** Limits of a server. */
struct HttpServerLimits
{
  /** The largest body taken, in bytes; a larger one is answered by 413. */
  std::uint64_t mMaxBodyBytes = 1U << 20U;
  /** The largest header taken, in bytes; a larger one is answered by 413. */
  std::uint32_t mMaxHeaderBytes = 16U << 10U;
  /** The most connections at a time; further ones are closed at once. */
  std::uint32_t mMaxConnections = 4096;
  /** How long a new connection waits before its first request is read. */
  Duration mConnectionDelay{};
  /** How long a connection may be open without a request. */
  Duration mIdleLimit = std::chrono::minutes(2);
  /** How long a request may take to arrive, and a response to leave. */
  Duration mTransferLimit = std::chrono::seconds(10);
};

/** Serves one address until stopped. */
class HttpServer
{
public:
  /** Opens the port; kConnectionFailed when it cannot. */
  static Result<std::unique_ptr<HttpServer>> Start(IoLoop& aLoop,
                                                   const Endpoint& aAddress,
                                                   HttpServerLimits aLimits,
                                                   HttpHandler aHandler);

  /** As above, for a handler that watches its callers. */
  static Result<std::unique_ptr<HttpServer>> Start(
    IoLoop& aLoop,
    const Endpoint& aAddress,
    HttpServerLimits aLimits,
    WatchingHttpHandler aHandler);

  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Changes the limits, from each connection's next request on. */
  void ChangeLimits(HttpServerLimits aLimits);

  /** Goes on serving, but each response from now on ends its connection, so
      that callers go elsewhere before Stop(). */
  void AnnounceStop();

  /** Takes no new connection, closes idle ones, and lets each request in
      flight finish; returns when all have, or at aUntil. */
  void Stop(TimePoint aUntil);

  /** The connections open at present. */
  std::size_t ConnectionCount() const;

  /** The most connections that were open at a time. */
  std::size_t PeakConnectionCount() const;

  /** Connections closed at once because too many were open. */
  std::uint64_t RefusedConnectionCount() const;

private:
  struct Implementation;

  explicit HttpServer(std::shared_ptr<Implementation> aImplementation);

  std::shared_ptr<Implementation> mImplementation;
};

} // namespace wasabispread
