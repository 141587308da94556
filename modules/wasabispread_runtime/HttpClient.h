/*
 * An HTTP/1.1 client connection.
 */
#pragma once

#include "IoLoop.h"

#include <wasabispread_decisions/wasabispread_decisions.h>
#include <wasabispread_wire/wasabispread_wire.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace wasabispread {

/** The largest response body that is accepted unless a caller states less, in
    bytes. */
inline constexpr std::uint64_t kMaxResponseBytes = 64ULL << 20U;

/** Returns whether a response belongs to the request that was sent. */
using ResponseFilter = std::function<bool(const HttpResponse&)>;

/** A connection that performs one exchange (a request and its response) at a
    time. Each call blocks its fiber. The mExecution of an error states whether
    the server may have executed the request. */
class HttpConnection
{
public:
  /** aMemory, which may be null, counts the bytes of unfinished responses. */
  explicit HttpConnection(IoLoop& aLoop,
                          std::shared_ptr<MemoryAccount> aMemory = nullptr);
  ~HttpConnection();

  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /** Connects; kConnectionFailed when this fails or takes longer than
      aTimeout. */
  Result<std::monostate> Connect(const Endpoint& aAddress, Duration aTimeout);

  /** Sends a request and reads its response; aTimeout limits both together. */
  Result<HttpResponse> Exchange(HttpRequest aRequest, Duration aTimeout);

  /** As above, but fails when the body is larger than aMaxBodyBytes. */
  Result<HttpResponse> Exchange(HttpRequest aRequest,
                                Duration aTimeout,
                                std::uint64_t aMaxBodyBytes);

  /** As above, but reads and discards a few responses that aBelongs rejects.
      After any such response the connection is not kept alive. */
  Result<HttpResponse> Exchange(HttpRequest aRequest,
                                Duration aTimeout,
                                std::uint64_t aMaxBodyBytes,
                                const ResponseFilter& aBelongs);

  /** Calls aAction once in a new fiber if the server closes the connection, or
      sends data without a request, before the next exchange or Close(). */
  void WatchIdle(std::function<void()> aAction);

  /** Closes the connection; an exchange in progress fails. */
  void Close();

private:
  struct Implementation;

  std::shared_ptr<Implementation> mImplementation;
};

/** Performs one exchange on a new connection. aTimeout applies to connecting
    and to the exchange separately. */
Result<HttpResponse>
ExchangeOnce(IoLoop& aLoop,
             const Endpoint& aAddress,
             const HttpRequest& aRequest,
             Duration aTimeout,
             std::uint64_t aMaxBodyBytes = kMaxResponseBytes);

} // namespace wasabispread
