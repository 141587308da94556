/*
 * The settings file of a daemon that forwards whole requests to registered
 * targets.
 */
#pragma once

#include "DaemonSettings.h"

namespace wasabispread {

/** The settings of a forwarding daemon. */
struct ForwarderSettings
{
  std::string mName;
  ZoneName mZone;
  /** The address that serves callers. */
  Endpoint mCallerAddress;
  /** The address of the readiness check, by which the load balancer decides
      whether to send callers to this VM. */
  Endpoint mReadinessAddress;
  /** The address that accepts connections from other VMs. */
  Endpoint mPeerAddress;
  /** The address that serves metrics; they are not served when its port is
      0. */
  Endpoint mMetricsAddress;
  /** The address of the platform's key-value store. */
  Endpoint mStoreAddress;
  /** The share of a processor core that this VM has, 1 for a whole core. The
      VMs of a zone with the largest share become its shard owners, which query
      targets for the zone's other VMs. */
  double mProcessorShare = 1;
  /** The memory that the process may use. */
  std::size_t mMemoryBytes = std::size_t{ 128 } << 20U;
  LogLevel mLogLevel = LogLevel::kInfo;
  /** The budget of extra attempts (hedges and retries) of all VMs together: in
      each window, at most this share of a service's requests, plus the fixed
      number mFixedExtraAttempts. */
  double mExtraAttemptShare = 0;
  double mFixedExtraAttempts = 0;
  Duration mExtraAttemptWindow = std::chrono::seconds(10);
  /** How long the process may continue after a stop signal. */
  Duration mStopGrace = std::chrono::seconds(6);
};

/** Parses and checks a whole settings file. Reports faults as
    ParseDeployment() does. */
tl::expected<ForwarderSettings, Faults>
ParseForwarderSettings(std::string_view aText, const std::string& aFile);

} // namespace wasabispread
