/*
 * The daemon's settings file: the name, addresses and limits of one VM.
 */
#pragma once

#include "Fault.h"

#include <wasabispread_units/wasabispread_units.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace wasabispread {

/** Another VM, from which this one may fetch the configuration at startup. */
struct PeerSettings
{
  std::string mName;
  ZoneName mZone;
  Endpoint mAddress;
};

/** The severity of a log line; also the minimum severity that is logged. */
enum class LogLevel : std::uint8_t
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

/** The settings of a daemon. */
struct DaemonSettings
{
  std::string mName;
  ZoneName mZone;
  /** The address that serves callers. */
  Endpoint mCallerAddress;
  /** The address that serves health, status and metrics to operators. */
  Endpoint mOperatorAddress;
  /** The address that accepts connections from other VMs. */
  Endpoint mPeerAddress;
  /** The address of the platform's key-value store and VM list. */
  Endpoint mPlatformAddress;
  std::vector<PeerSettings> mPeers;
  LogLevel mLogLevel = LogLevel::kInfo;
  /** The path of the log file; standard error when empty. */
  std::string mLogFile;
  /** The largest body of a caller's request, in bytes. */
  std::uint32_t mMaxBodyBytes = 1U << 20U;
  /** The largest frame between VMs, in bytes. */
  std::uint32_t mMaxFrameBytes = 16U << 20U;
  /** How long a stopping VM still accepts requests, so that callers and other
      VMs learn of the stop first. */
  Duration mStopNotice = std::chrono::seconds(3);
  /** The range of the random delay before the first read of the VM list, which
      spreads these reads when all VMs start at once. */
  Duration mStartSpread = std::chrono::milliseconds(2500);
  /** How long every VM is allowed to take to learn of a change of the
      membership. A VM opens connections to targets only when it has been listed
      for this time. Must be the same on all VMs of a deployment. */
  Duration mHoldDelay = std::chrono::milliseconds(2500);
  /** The longest time that a stop waits for requests in flight. */
  Duration mStopWait = std::chrono::seconds(30);
};

/** Parses and checks a whole settings file. Reports faults as
    ParseDeployment() does. */
tl::expected<DaemonSettings, Faults>
ParseDaemonSettings(std::string_view aText, const std::string& aFile);

} // namespace wasabispread
