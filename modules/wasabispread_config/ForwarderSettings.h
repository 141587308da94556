/*
 * The settings file of a daemon that forwards whole requests to registered
 * targets.
 */
#pragma once

#include "DaemonSettings.h"

#include <map>

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
  /** Whether requests with a key are refused while this VM may not know of its
      withdrawal, and how long after the withdrawal it may still be served. */
  bool mIsStrictOnKeys = false;
  Duration mKeyWithdrawalTime = std::chrono::seconds(5);
  /** How long after it was written a configuration has to be in force. */
  Duration mConfigurationTime = std::chrono::seconds(5);
  /** How often a target writes its entry in the store. */
  Duration mTargetHeartbeat = std::chrono::milliseconds(1200);
  /** The window over which the requests of an organisation are limited, and by
      how much they may exceed the limit: by a share and by a number. */
  Duration mQuotaWindow = std::chrono::seconds(5);
  double mQuotaOverage = 0;
  double mQuotaSlack = 0;
  /** By how much the requests of a second may exceed the rate that a cold
      target takes: a factor and a number. */
  double mColdOverage = 1;
  double mColdSlack = 0;
  /** The region of each availability zone. */
  std::map<ZoneName, std::string> mRegionOfZone;
};

/** The environment variable with further settings, in the form of the file. */
inline constexpr const char* kExtraSettingsVariable =
  "WASABISPREAD_EXTRA_SETTINGS";

/** Parses and checks a whole settings file and aExtra, further settings of the
    same form. A key that stands in both is a fault. Reports faults as
    ParseDeployment() does. */
tl::expected<ForwarderSettings, Faults>
ParseForwarderSettings(std::string_view aText,
                       const std::string& aFile,
                       std::string_view aExtra = {});

} // namespace wasabispread
