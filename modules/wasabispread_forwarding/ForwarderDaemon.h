/*
 * A forwarding daemon's ports, the reload of its settings and its stop.
 */
#pragma once

#include "ForwarderRunner.h"

#include <wasabispread_config/wasabispread_config.h>

#include <memory>

namespace wasabispread::forwarding {

/** Runs one forwarder on its ports. */
class ForwarderDaemon
{
public:
  /** The arguments must outlive the daemon. aFile is the settings file, read
      again when it changes. */
  ForwarderDaemon(IoLoop& aLoop,
                  LogWriter& aLog,
                  const ForwarderSettings& aSettings,
                  std::string aFile,
                  const PlatformAdapter& aAdapter);

  /** Opens the ports and begins; kConnectionFailed when a port is taken. */
  Result<std::monostate> Start();

  /** Leaves: stops being ready at once, serves open connections while the
      balancer takes note, finishes what is in flight, and returns. */
  void Stop();

private:
  Result<std::unique_ptr<HttpServer>> Listen(const Endpoint& aAddress,
                                             HttpHandler aHandler);
  HttpResponse AnswerReadiness(const HttpRequest& aMessage) const;
  void LimitCallers(const CallerLimits& aLimits);
  void WatchSettings();
  void ReloadSettings();
  void ApplySettings(const std::string& aText);

  IoLoop& mLoop;
  ForwarderSettings mSettings;
  std::string mFile;
  std::string mFileText;
  const PlatformAdapter& mAdapter;
  DecisionLog mDecisionLog;
  ForwarderRunner mRunner;
  std::unique_ptr<HttpServer> mCallers;
  std::unique_ptr<HttpServer> mReadiness;
  std::unique_ptr<HttpServer> mMetrics;
};

/** A file's text; kInvalidSettings when it cannot be read. */
Result<std::string>
ReadFile(const std::string& aFile);

} // namespace wasabispread::forwarding
