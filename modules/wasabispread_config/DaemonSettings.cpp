/*
 * Parses the daemon's settings file.
 */
#include "TableReader.h"

#include <algorithm>
#include <initializer_list>

namespace wasabispread {

namespace {

constexpr std::int64_t kMaxConfigurableBytes = 64LL << 20;
constexpr std::int64_t kMinConfigurableBytes = 1024;
constexpr DurationRange kStartSpreadRange{ Duration::zero(),
                                           std::chrono::minutes(1) };
constexpr DurationRange kHoldDelayRange{ std::chrono::milliseconds(500),
                                         std::chrono::minutes(1) };
constexpr DurationRange kStopNoticeRange{ Duration::zero(),
                                          std::chrono::minutes(1) };
constexpr DurationRange kStopWaitRange{ std::chrono::seconds(1),
                                        std::chrono::minutes(10) };

/** Reports an address under [listen] that an earlier key already uses. Port 0
    marks an address that could not be read, and is ignored. */
void
RejectSameAddress(TableReader& aListen,
                  const toml::table& aTable,
                  std::string_view aKey,
                  const Endpoint& aAddress,
                  std::initializer_list<Endpoint> aEarlier)
{
  const bool isUsed =
    aAddress.mPort != 0 &&
    std::find(aEarlier.begin(), aEarlier.end(), aAddress) != aEarlier.end();
  if (isUsed) {
    aListen.AddFault(*aTable.get(aKey),
                     "the address " + ToText(aAddress) + " is listed twice",
                     "give each interface an address of its own");
  }
}

void
ReadListen(TableReader& aReader,
           const std::string& aFile,
           Faults& aFaults,
           DaemonSettings& aSettings)
{
  const toml::table* table = aReader.OptionalTable("listen");
  if (table == nullptr) {
    aReader.AddTableFault("the file lacks the table [listen]", "add it");
    return;
  }
  TableReader listen(*table, aFile, "[listen]", aFaults);
  aSettings.mCallerAddress =
    listen.RequiredEndpoint("callers").value_or(Endpoint{});
  aSettings.mOperatorAddress =
    listen.RequiredEndpoint("operators").value_or(Endpoint{});
  aSettings.mPeerAddress =
    listen.RequiredEndpoint("peers").value_or(Endpoint{});
  const Endpoint& callers = aSettings.mCallerAddress;
  const Endpoint& operators = aSettings.mOperatorAddress;
  RejectSameAddress(listen, *table, "operators", operators, { callers });
  RejectSameAddress(
    listen, *table, "peers", aSettings.mPeerAddress, { callers, operators });
  listen.RejectUnknownKeys();
}

void
ReadPeer(const toml::table& aTable,
         const std::string& aFile,
         Faults& aFaults,
         DaemonSettings& aSettings)
{
  TableReader reader(aTable, aFile, "[[peer]]", aFaults);
  PeerSettings peer;
  peer.mName = reader.RequiredString("name").value_or("");
  peer.mZone = ZoneName(reader.RequiredString("zone").value_or(""));
  peer.mAddress = reader.RequiredEndpoint("address").value_or(Endpoint{});
  reader.RejectUnknownKeys();
  aSettings.mPeers.push_back(std::move(peer));
}

/** Reads the key "file" of the optional table [log]; ReadLog() reads the other
    keys. */
std::string
ReadLogFile(TableReader& aReader)
{
  const toml::table* table = aReader.OptionalTable("log");
  return table == nullptr ? "" : (*table)["file"].value_or(std::string());
}

void
ReadLimits(TableReader& aReader,
           const std::string& aFile,
           Faults& aFaults,
           DaemonSettings& aSettings)
{
  const toml::table* table = aReader.OptionalTable("limits");
  if (table == nullptr) {
    return;
  }
  constexpr IntegerRange kBytes{ kMinConfigurableBytes, kMaxConfigurableBytes };
  TableReader limits(*table, aFile, "[limits]", aFaults);
  aSettings.mMaxBodyBytes =
    static_cast<std::uint32_t>(limits.OptionalInteger("body_bytes", kBytes)
                                 .value_or(aSettings.mMaxBodyBytes));
  aSettings.mMaxFrameBytes =
    static_cast<std::uint32_t>(limits.OptionalInteger("frame_bytes", kBytes)
                                 .value_or(aSettings.mMaxFrameBytes));
  aSettings.mStopNotice =
    limits.OptionalDuration("stop_notice", kStopNoticeRange)
      .value_or(aSettings.mStopNotice);
  aSettings.mStopWait = limits.OptionalDuration("stop_wait", kStopWaitRange)
                          .value_or(aSettings.mStopWait);
  aSettings.mStartSpread =
    limits.OptionalDuration("start_spread", kStartSpreadRange)
      .value_or(aSettings.mStartSpread);
  aSettings.mHoldDelay = limits.OptionalDuration("hold_delay", kHoldDelayRange)
                           .value_or(aSettings.mHoldDelay);
  limits.RejectUnknownKeys();
}

} // namespace

tl::expected<DaemonSettings, Faults>
ParseDaemonSettings(std::string_view aText, const std::string& aFile)
{
  const auto root = ParseToml(aText, aFile);
  if (!root) {
    return tl::unexpected<Faults>(root.error());
  }
  Faults faults;
  DaemonSettings settings;
  TableReader reader(*root, aFile, "the file", faults);
  settings.mName = reader.RequiredString("name").value_or("");
  settings.mZone = ZoneName(reader.RequiredString("zone").value_or(""));
  settings.mPlatformAddress =
    reader.RequiredEndpoint("platform").value_or(Endpoint{});
  ReadListen(reader, aFile, faults, settings);
  for (const toml::table* peer : reader.Tables("peer")) {
    ReadPeer(*peer, aFile, faults, settings);
  }
  ReadLog(reader, aFile, faults, settings.mLogLevel);
  settings.mLogFile = ReadLogFile(reader);
  ReadLimits(reader, aFile, faults, settings);
  reader.RejectUnknownKeys();
  if (!faults.empty()) {
    return tl::unexpected<Faults>(std::move(faults));
  }
  return settings;
}

} // namespace wasabispread
