/*
 * A forwarding daemon: its ports, the reload of its settings and its shutdown.
 */
#pragma once

#include "ForwarderRunner.h"

#include <wasabispread_config/wasabispread_config.h>

#include <memory>

namespace wasabispread::forwarding {

/** Runs one forwarder: opens its caller, readiness and metrics ports, applies
    changes of the settings file and shuts down within the stop's grace. */
class ForwarderDaemon
{
public:
  /** aLoop, aLog and aAdapter must outlive the daemon. aFile is the settings
      file, which is read again when it changes. */
  ForwarderDaemon(IoLoop& aLoop,
                  LogWriter& aLog,
                  const ForwarderSettings& aSettings,
                  std::string aFile,
                  const PlatformAdapter& aAdapter);

  /** Opens the ports and starts the forwarder; kConnectionFailed when the
      caller, readiness or metrics port is in use. A failure to open the peer
      port is not returned. */
  Result<std::monostate> Start();

  /** Shuts down, with a grace that counts from aNotBefore, a time before the
      signal was sent. The readiness check fails at once; connections are
      accepted for a while longer, until the load balancer has noticed; then the
      requests in flight are finished. Returns when none is left and callers
      have closed their connections, at the latest when the grace is nearly
      over; a caller that does not read its answer does not delay it longer. */
  void Stop(TimePoint aNotBefore);

private:
  /** Starts an HTTP server with default limits. */
  Result<std::unique_ptr<HttpServer>> Listen(const Endpoint& aAddress,
                                             HttpHandler aHandler);
  HttpResponse AnswerReadiness(const HttpRequest& aMessage) const;
  /** Puts the configuration's limits in force on the caller port. */
  void ApplyCallerLimits(const CallerLimits& aLimits);
  void WatchSettings();
  /** Lets the process wait for kMaxWait at most; logs a shortage of memory. */
  void LimitWaits();
  /** Applies the settings file if its text has changed. */
  void ReloadSettings();
  void ApplySettings(const std::string& aText);
  /** Records what was refused or given up for lack of memory since the last
      call. */
  void LogShortMemory();

  IoLoop& mLoop;
  ForwarderSettings mSettings;
  std::string mFile;
  /** The text of the settings file when it was last read. */
  std::string mFileText;
  const PlatformAdapter& mAdapter;
  DecisionLog mDecisionLog;
  std::shared_ptr<MemoryAccount> mMemory;
  MemoryLosses mLoggedLosses;
  ForwarderRunner mRunner;
  std::unique_ptr<HttpServer> mCallers;
  std::unique_ptr<HttpServer> mReadiness;
  std::unique_ptr<HttpServer> mMetrics;
};

/** The further settings that the environment holds; empty when there are
    none. */
std::string
ExtraSettings();

/** The largest settings file that is read, in bytes. */
inline constexpr std::size_t kMaxSettingsBytes = 256U << 10U;

/** Returns a file's text; kInvalidSettings when it cannot be read, is no
    regular file or has more than aMaxBytes. Does not block on pipes. */
Result<std::string>
ReadFile(const std::string& aFile, std::size_t aMaxBytes = kMaxSettingsBytes);

} // namespace wasabispread::forwarding
