/*
 * One daemon: its VM runner, its ports and its shutdown.
 */
#pragma once

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <memory>

namespace wasabispread {

/** Runs one VM on its three ports: for callers, operators and other VMs. */
class Daemon
{
public:
  /** aLoop and aLog must outlive the daemon. */
  Daemon(IoLoop& aLoop, LogWriter& aLog, const DaemonSettings& aSettings);

  /** Opens the ports and starts the VM; kConnectionFailed when a port is in
      use. */
  Result<std::monostate> Start();

  /** Begins the shutdown: announces it to the other VMs and to callers, whose
      requests are accepted for the notice time only. A second call does not
      extend that time. */
  void BeginStop();

  /** Completes the shutdown: returns when no request is in flight any more, or
      when the stop wait is over. */
  void FinishStop();

private:
  /** Answers an operator's request; a drain request begins the shutdown. */
  HttpResponse HandleOperator(const HttpRequest& aRequest);
  /** Reports dropped log lines in the log, at intervals, and never returns. */
  void ReportDroppedLines();

  IoLoop& mLoop;
  LogWriter& mLog;
  DaemonSettings mSettings;
  VmRunner mRunner;
  std::unique_ptr<HttpServer> mCallers;
  std::unique_ptr<HttpServer> mOperators;
};

} // namespace wasabispread
