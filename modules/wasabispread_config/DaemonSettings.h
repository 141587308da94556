/*
 * The daemon's settings file: one VM's name, addresses and limits.
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

/** Another VM that this one may learn the configuration from at its start. */
struct PeerSettings
{
  std::string mName;
  ZoneName mZone;
  Endpoint mAddress;
};

/** How much is logged. */
enum class LogLevel : std::uint8_t
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

/** Everything a daemon is told by its settings. */
struct DaemonSettings
{
  std::string mName;
  ZoneName mZone;
  /** Where callers ask. */
  Endpoint mCallerAddress;
  /** Where operators read health, status and metrics. */
  Endpoint mOperatorAddress;
  /** Where other VMs connect. */
  Endpoint mPeerAddress;
  /** The platform's key-value store and VM list. */
  Endpoint mPlatformAddress;
  std::vector<PeerSettings> mPeers;
  LogLevel mLogLevel = LogLevel::kInfo;
  /** An empty path stands for standard error. */
  std::string mLogFile;
  /** The largest caller's body, in bytes. */
  std::uint32_t mMaxBodyBytes = 1U << 20U;
  /** The largest frame between VMs, in bytes. */
  std::uint32_t mMaxFrameBytes = 16U << 20U;
  /** How long a stopping VM still takes work, while the others learn. */
  Duration mStopNotice = std::chrono::seconds(3);
  /** Spreads the first reads of the VM list when all VMs start at once. */
  Duration mStartSpread = std::chrono::milliseconds(2500);
  /** How long every VM is given to learn of a change of the VMs; the same on
      all VMs of a deployment. */
  Duration mHoldDelay = std::chrono::milliseconds(2500);
  /** How long a stop waits for requests in flight. */
  Duration mStopWait = std::chrono::seconds(30);
};

/** Parses and checks a whole settings file; see ParseDeployment(). */
tl::expected<DaemonSettings, Faults>
ParseDaemonSettings(std::string_view aText, const std::string& aFile);

} // namespace wasabispread
