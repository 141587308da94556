/*
 * The settings file of a daemon that forwards whole requests to registered
 * targets.
 */
#pragma once

#include "DaemonSettings.h"

namespace wasabispread {

/** Everything such a daemon is told by its settings. */
struct ForwarderSettings
{
  std::string mName;
  ZoneName mZone;
  /** Where callers ask. */
  Endpoint mCallerAddress;
  /** Where the balancer asks whether this VM takes callers. */
  Endpoint mReadinessAddress;
  /** Where other VMs ask. */
  Endpoint mPeerAddress;
  /** Where metrics are read; a port of 0 stands for nowhere. */
  Endpoint mMetricsAddress;
  /** The platform's key-value store. */
  Endpoint mStoreAddress;
  /** The part of a processor core that this VM has; VMs with more take more of
      the work that a fleet shares. */
  double mProcessorShare = 1;
  LogLevel mLogLevel = LogLevel::kInfo;
  /** All VMs together send at most this share of a service's requests a
      second time, plus a fixed number, in each window. */
  double mExtraAttemptShare = 0;
  double mFixedExtraAttempts = 0;
  Duration mExtraAttemptWindow = std::chrono::seconds(10);
  /** How long after a stop signal the process may go on. */
  Duration mStopGrace = std::chrono::seconds(6);
};

/** Parses and checks a whole settings file; see ParseDeployment(). */
tl::expected<ForwarderSettings, Faults>
ParseForwarderSettings(std::string_view aText, const std::string& aFile);

} // namespace wasabispread
