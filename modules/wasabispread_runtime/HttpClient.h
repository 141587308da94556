/*
 * One HTTP/1.1 client connection.
 */
#pragma once

#include "IoLoop.h"

#include <wasabispread_wire/wasabispread_wire.h>

#include <functional>
#include <memory>

namespace wasabispread {

/** Tells whether a response belongs to the request that was sent. */
using ResponseFilter = std::function<bool(const HttpResponse&)>;

/** Carries one exchange at a time; each call blocks its fiber. Errors state
    in mExecution whether the other side may have acted on the request. */
class HttpConnection
{
public:
  explicit HttpConnection(IoLoop& aLoop);
  ~HttpConnection();

  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /** Connects, or fails by aTimeout. */
  Result<std::monostate> Connect(const Endpoint& aAddress, Duration aTimeout);

  /** Sends a request and reads its response, within aTimeout in all. */
  Result<HttpResponse> Exchange(const HttpRequest& aRequest, Duration aTimeout);

  /** As above; responses that aBelongs rejects are read and dropped, and the
      connection is not kept alive after any such response. */
  Result<HttpResponse> Exchange(const HttpRequest& aRequest,
                                Duration aTimeout,
                                const ResponseFilter& aBelongs);

  /** Calls aAction once, in a fiber of its own, if the other side closes the
      connection, or sends unasked, before the next exchange or Close(). */
  void WatchIdle(std::function<void()> aAction);

  /** Closes the connection; an exchange under way fails. */
  void Close();

private:
  struct Implementation;

  std::shared_ptr<Implementation> mImplementation;
};

/** One exchange on a connection of its own. */
Result<HttpResponse>
ExchangeOnce(IoLoop& aLoop,
             const Endpoint& aAddress,
             const HttpRequest& aRequest,
             Duration aTimeout);

} // namespace wasabispread
