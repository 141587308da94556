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

} // namespace

tl::expected<ForwarderSettings, Faults>
ParseForwarderSettings(std::string_view aText, const std::string& aFile)
{
  constexpr double kMinGraceSeconds = 0.5;
  constexpr double kMaxGraceSeconds = 3600;
  const auto root = ParseToml(aText, aFile);
  if (!root) {
    return tl::unexpected<Faults>(root.error());
  }
  Faults faults;
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
  ReadLog(reader, aFile, faults, settings.mLogLevel);
  reader.RejectUnknownKeys();
  if (!faults.empty()) {
    return tl::unexpected<Faults>(std::move(faults));
  }
  return settings;
}

} // namespace wasabispread
