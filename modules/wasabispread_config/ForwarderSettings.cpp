/*
 * Parses the forwarder's settings file.
 */
#include "TableReader.h"

namespace wasabispread {

namespace {

Duration
Seconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

void
ReadListen(TableReader& aReader,
           const std::string& aFile,
           Faults& aFaults,
           ForwarderSettings& aSettings)
{
  const toml::table* table = aReader.OptionalTable("listen");
  if (table == nullptr) {
    aReader.AddTableFault("the file lacks the table [listen]", "add it");
    return;
  }
  TableReader listen(*table, aFile, "[listen]", aFaults);
  aSettings.mCallerAddress =
    listen.RequiredEndpoint("callers").value_or(Endpoint{});
  aSettings.mReadinessAddress =
    listen.RequiredEndpoint("readiness").value_or(Endpoint{});
  aSettings.mPeerAddress =
    listen.RequiredEndpoint("peers").value_or(Endpoint{});
  aSettings.mMetricsAddress =
    listen.OptionalEndpoint("metrics").value_or(Endpoint{});
  listen.RejectUnknownKeys();
}

void
ReadExtraAttempts(TableReader& aReader,
                  const std::string& aFile,
                  Faults& aFaults,
                  ForwarderSettings& aSettings)
{
  constexpr double kMaxShare = 10;
  constexpr double kMaxFixed = 1e6;
  constexpr double kMinWindowSeconds = 0.1;
  constexpr double kMaxWindowSeconds = 3600;
  const toml::table* table = aReader.OptionalTable("repeats");
  if (table == nullptr) {
    return;
  }
  TableReader repeats(*table, aFile, "[repeats]", aFaults);
  aSettings.mExtraAttemptShare =
    repeats.OptionalNumber("share", 0, kMaxShare).value_or(0);
  aSettings.mFixedExtraAttempts =
    repeats.OptionalNumber("fixed", 0, kMaxFixed).value_or(0);
  const auto window = repeats.OptionalNumber(
    "window_seconds", kMinWindowSeconds, kMaxWindowSeconds);
  if (window) {
    aSettings.mExtraAttemptWindow = Seconds(*window);
  }
  repeats.RejectUnknownKeys();
}

Duration
Milliseconds(double aMilliseconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aMilliseconds));
}

void
ReadKeys(TableReader& aReader,
         const std::string& aFile,
         Faults& aFaults,
         ForwarderSettings& aSettings)
{
  constexpr double kMinWithdrawalMilliseconds = 500;
  constexpr double kMaxWithdrawalMilliseconds = 3'600'000;
  const toml::table* table = aReader.OptionalTable("keys");
  if (table == nullptr) {
    return;
  }
  TableReader keys(*table, aFile, "[keys]", aFaults);
  aSettings.mIsStrictOnKeys = keys.OptionalBoolean("strict").value_or(false);
  const auto withdrawal = keys.OptionalNumber("withdrawal_milliseconds",
                                              kMinWithdrawalMilliseconds,
                                              kMaxWithdrawalMilliseconds);
  if (withdrawal) {
    aSettings.mKeyWithdrawalTime = Milliseconds(*withdrawal);
  }
  keys.RejectUnknownKeys();
}

void
ReadConfigurationTime(TableReader& aReader,
                      const std::string& aFile,
                      Faults& aFaults,
                      ForwarderSettings& aSettings)
{
  constexpr double kMinMilliseconds = 500;
  constexpr double kMaxMilliseconds = 3'600'000;
  const toml::table* table = aReader.OptionalTable("configuration");
  if (table == nullptr) {
    return;
  }
  TableReader configuration(*table, aFile, "[configuration]", aFaults);
  const auto time = configuration.OptionalNumber(
    "apply_milliseconds", kMinMilliseconds, kMaxMilliseconds);
  if (time) {
    aSettings.mConfigurationTime = Milliseconds(*time);
  }
  configuration.RejectUnknownKeys();
}

void
ReadTargets(TableReader& aReader,
            const std::string& aFile,
            Faults& aFaults,
            ForwarderSettings& aSettings)
{
  constexpr double kMinMilliseconds = 10;
  constexpr double kMaxMilliseconds = 3'600'000;
  const toml::table* table = aReader.OptionalTable("targets");
  if (table == nullptr) {
    return;
  }
  TableReader targets(*table, aFile, "[targets]", aFaults);
  const auto heartbeat = targets.OptionalNumber(
    "heartbeat_milliseconds", kMinMilliseconds, kMaxMilliseconds);
  if (heartbeat) {
    aSettings.mTargetHeartbeat = Milliseconds(*heartbeat);
  }
  targets.RejectUnknownKeys();
}

/** The most requests by which a bound may be exceeded besides its share: more
    would limit nothing. */
constexpr double kMaxSlackRequests = 1e6;

void
ReadQuota(TableReader& aReader,
          const std::string& aFile,
          Faults& aFaults,
          ForwarderSettings& aSettings)
{
  constexpr double kMinWindowSeconds = 1;
  constexpr double kMaxWindowSeconds = 3600;
  constexpr double kMaxQuotaOverage = 10;
  const toml::table* table = aReader.OptionalTable("quota");
  if (table == nullptr) {
    return;
  }
  TableReader quota(*table, aFile, "[quota]", aFaults);
  const auto window = quota.OptionalNumber(
    "window_seconds", kMinWindowSeconds, kMaxWindowSeconds);
  if (window) {
    aSettings.mQuotaWindow = Seconds(*window);
  }
  aSettings.mQuotaOverage =
    quota.OptionalNumber("overage", 0, kMaxQuotaOverage).value_or(0);
  aSettings.mQuotaSlack =
    quota.OptionalNumber("slack", 0, kMaxSlackRequests).value_or(0);
  quota.RejectUnknownKeys();
}

void
ReadColdTargets(TableReader& aReader,
                const std::string& aFile,
                Faults& aFaults,
                ForwarderSettings& aSettings)
{
  constexpr double kMaxColdFactor = 100;
  const toml::table* table = aReader.OptionalTable("cold_targets");
  if (table == nullptr) {
    return;
  }
  TableReader cold(*table, aFile, "[cold_targets]", aFaults);
  aSettings.mColdOverage =
    cold.OptionalNumber("overage", 1, kMaxColdFactor).value_or(1);
  aSettings.mColdSlack =
    cold.OptionalNumber("slack", 0, kMaxSlackRequests).value_or(0);
  cold.RejectUnknownKeys();
}

void
ReadRegions(TableReader& aReader,
            const std::string& aFile,
            Faults& aFaults,
            ForwarderSettings& aSettings)
{
  const toml::table* table = aReader.OptionalTable("regions");
  if (table == nullptr) {
    return;
  }
  TableReader regions(*table, aFile, "[regions]", aFaults);
  for (const auto& [zone, region] : *table) {
    const std::string name(zone.str());
    aSettings.mRegionOfZone[ZoneName(name)] =
      regions.RequiredString(name).value_or("");
  }
}

/** Adds the settings of aExtra to those of the file. */
void
AddExtraSettings(toml::table& aRoot, std::string_view aExtra, Faults& aFaults)
{
  const auto extra = ParseToml(aExtra, kExtraSettingsVariable);
  if (!extra) {
    aFaults.insert(aFaults.end(), extra.error().begin(), extra.error().end());
    return;
  }
  TableReader reader(*extra, kExtraSettingsVariable, "the variable", aFaults);
  for (const auto& [key, value] : *extra) {
    if (!aRoot.insert(key, value).second) {
      reader.AddFault(value,
                      "the key \"" + std::string(key.str()) +
                        "\" is in the settings file too",
                      "remove it from one of them");
    }
  }
}

} // namespace

tl::expected<ForwarderSettings, Faults>
ParseForwarderSettings(std::string_view aText,
                       const std::string& aFile,
                       std::string_view aExtra)
{
  constexpr double kMinGraceSeconds = 0.5;
  constexpr double kMaxGraceSeconds = 3600;
  auto root = ParseToml(aText, aFile);
  if (!root) {
    return tl::unexpected<Faults>(root.error());
  }
  Faults faults;
  AddExtraSettings(*root, aExtra, faults);
  ForwarderSettings settings;
  TableReader reader(*root, aFile, "the file", faults);
  settings.mName = reader.RequiredString("name").value_or("");
  settings.mZone = ZoneName(reader.RequiredString("zone").value_or(""));
  settings.mStoreAddress =
    reader.RequiredEndpoint("store").value_or(Endpoint{});
  constexpr double kMinProcessorShare = 0.01;
  constexpr double kMaxProcessorShare = 1024;
  settings.mProcessorShare =
    reader
      .OptionalNumber("processor_share", kMinProcessorShare, kMaxProcessorShare)
      .value_or(settings.mProcessorShare);
  constexpr double kMinMemoryMegabytes = 16;
  constexpr double kMaxMemoryMegabytes = 1 << 20;
  const auto memory = reader.OptionalNumber(
    "memory_megabytes", kMinMemoryMegabytes, kMaxMemoryMegabytes);
  if (memory) {
    settings.mMemoryBytes = static_cast<std::size_t>(*memory) << 20U;
  }
  const auto grace = reader.OptionalNumber(
    "stop_grace_seconds", kMinGraceSeconds, kMaxGraceSeconds);
  if (grace) {
    settings.mStopGrace = Seconds(*grace);
  }
  ReadListen(reader, aFile, faults, settings);
  ReadExtraAttempts(reader, aFile, faults, settings);
  ReadKeys(reader, aFile, faults, settings);
  ReadConfigurationTime(reader, aFile, faults, settings);
  ReadTargets(reader, aFile, faults, settings);
  ReadQuota(reader, aFile, faults, settings);
  ReadColdTargets(reader, aFile, faults, settings);
  ReadRegions(reader, aFile, faults, settings);
  ReadLog(reader, aFile, faults, settings.mLogLevel);
  reader.RejectUnknownKeys();
  if (!faults.empty()) {
    return tl::unexpected<Faults>(std::move(faults));
  }
  return settings;
}

} // namespace wasabispread
