/*
 * One daemon: its node, its ports and its stop.
 */
#pragma once

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <memory>

namespace wasabispread {

/** Runs one node on its three ports. */
class Daemon
{
public:
  /** aLoop and aLog must outlive the daemon. */
  Daemon(IoLoop& aLoop, LogWriter& aLog, const DaemonSettings& aSettings);

  /** Opens the ports and begins; kConnectionFailed when a port is taken. */
  Result<std::monostate> Start();

  /** Begins to leave: says so everywhere, and takes callers' requests for the
      notice time only. Asked twice, it goes on with the first time. */
  void BeginStop();

  /** Leaves: returns once nothing is in flight, or when the time allowed for
      it is over. */
  void FinishStop();

private:
  HttpResponse HandleOperator(const HttpRequest& aRequest);
  void ReportDroppedLines();

  IoLoop& mLoop;
  LogWriter& mLog;
  DaemonSettings mSettings;
  VmRunner mRunner;
  std::unique_ptr<HttpServer> mCallers;
  std::unique_ptr<HttpServer> mOperators;
};

} // namespace wasabispread
