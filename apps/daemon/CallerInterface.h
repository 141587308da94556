/*
 * The daemon's HTTP interface for callers.
 */
#pragma once

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <string>

namespace wasabispread {

/** Answers callers' HTTP requests: parses a request, has the VM's runner
    execute it and formats its outcome. */
class CallerInterface
{
public:
  explicit CallerInterface(VmRunner& aRunner)
    : mRunner(aRunner)
  {
  }

  /** Answers one request; aWatch reports that the caller closed its
      connection. */
  HttpResponse operator()(const HttpRequest& aRequest,
                          const DisconnectWatch& aWatch);

private:
  std::string GenerateRequestId();

  VmRunner& mRunner;
  std::uint64_t mNextRequest = 1;
};

} // namespace wasabispread
