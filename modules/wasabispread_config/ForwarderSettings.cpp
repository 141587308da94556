/*
 * The forwarder's settings file: its keys and their ranges.
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
ReadRepeats(TableReader& aReader,
            const std::string& aFile,
            Faults& aFaults,
            ForwarderSettings& aSettings)
{
  constexpr double kMostShare = 10;
  constexpr double kMostFixed = 1e6;
  constexpr double kLeastWindow = 0.1;
  constexpr double kMostWindow = 3600;
  const toml::table* table = aReader.OptionalTable("repeats");
  if (table == nullptr) {
    return;
  }
  TableReader repeats(*table, aFile, "[repeats]", aFaults);
  aSettings.mRepeatShare =
    repeats.OptionalNumber("share", 0, kMostShare).value_or(0);
  aSettings.mFixedRepeats =
    repeats.OptionalNumber("fixed", 0, kMostFixed).value_or(0);
  const auto window =
    repeats.OptionalNumber("window_seconds", kLeastWindow, kMostWindow);
  if (window) {
    aSettings.mRepeatWindow = Seconds(*window);
  }
  repeats.RejectUnknownKeys();
}

} // namespace

tl::expected<ForwarderSettings, Faults>
ParseForwarderSettings(std::string_view aText, const std::string& aFile)
{
  constexpr double kLeastGrace = 0.5;
  constexpr double kMostGrace = 3600;
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
  constexpr double kLeastProcessor = 0.01;
  constexpr double kMostProcessor = 1024;
  settings.mProcessorShare =
    reader.OptionalNumber("processor_share", kLeastProcessor, kMostProcessor)
      .value_or(settings.mProcessorShare);
  const auto grace =
    reader.OptionalNumber("stop_grace_seconds", kLeastGrace, kMostGrace);
  if (grace) {
    settings.mStopGrace = Seconds(*grace);
  }
  ReadListen(reader, aFile, faults, settings);
  ReadRepeats(reader, aFile, faults, settings);
  ReadLog(reader, aFile, faults, settings.mLogLevel);
  reader.RejectUnknownKeys();
  if (!faults.empty()) {
    return tl::unexpected<Faults>(std::move(faults));
  }
  return settings;
}

} // namespace wasabispread
