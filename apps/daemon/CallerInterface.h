/*
 * What callers ask a daemon by HTTP.
 */
#pragma once

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <string>

namespace wasabispread {

/** Answers callers: a request becomes an event, its outcome the response. */
class CallerInterface
{
public:
  explicit CallerInterface(VmRunner& aRunner)
    : mRunner(aRunner)
  {
  }

  /** Answers one request; aWatch tells when its caller is gone. */
  HttpResponse operator()(const HttpRequest& aRequest,
                          const DisconnectWatch& aWatch);

private:
  std::string GenerateRequestId();

  VmRunner& mRunner;
  std::uint64_t mNextRequest = 1;
};

} // namespace wasabispread
