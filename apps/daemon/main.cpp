/*
 * wasabispreadd: the daemon of one VM. Reads the command line and the settings
 * file and runs the daemon, or the forwarder when --forward is given.
 */
#include "Daemon.h"

#include <platform/platform.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>

#include <boost/program_options.hpp>
#include <malloc.h>
#include <sys/resource.h>

namespace wasabispread {

namespace {

constexpr int kExitUsage = 2;
/** How long the last log lines may take. */
constexpr Duration kFlushLimit = std::chrono::milliseconds(100);

/** The most further stop signals that are logged. */
constexpr unsigned kMaxIgnoredSignals = 10;

/** The options given on the command line. */
struct CommandLine
{
  std::string mSettingsFile;
  /** The configuration to check; empty when the daemon is to run. */
  std::string mConfigurationFile;
  bool mCheckOnly = false;
  bool mForwards = false;
  bool mShowHelp = false;
  bool mShowVersion = false;
};

Result<CommandLine>
ParseCommandLine(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  CommandLine line;
  options::options_description description("Options");
  description.add_options()("settings,s",
                            options::value<std::string>(&line.mSettingsFile),
                            "the settings file, in TOML")(
    "forward",
    options::bool_switch(&line.mForwards),
    "forward whole requests to the targets that register on the platform")(
    "check-settings",
    options::bool_switch(&line.mCheckOnly),
    "check the settings file and exit")(
    "check-configuration",
    options::value<std::string>(&line.mConfigurationFile),
    "tell which parts of a routing configuration, in JSON, cannot be read, "
    "and exit")(
    "help,h", options::bool_switch(&line.mShowHelp), "show this text")(
    "version", options::bool_switch(&line.mShowVersion), "show the release");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(aCount, aArguments, description),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    return Fail(ErrorKind::kUsage, error.what(), "see wasabispreadd --help");
  }
  if (line.mShowHelp) {
    std::cout << "Usage: wasabispreadd --settings FILE\n\n" << description;
    return line;
  }
  if (line.mShowVersion) {
    std::cout << "wasabispreadd " << WASABISPREAD_RELEASE << "\n";
    return line;
  }
  if (line.mSettingsFile.empty() && line.mConfigurationFile.empty()) {
    return Fail(
      ErrorKind::kUsage, "no settings file was given", "add --settings FILE");
  }
  return line;
}

/** Reads a settings file and parses it with aParse. */
template<class Settings>
tl::expected<Settings, Faults>
ReadSettings(const std::string& aFile,
             tl::expected<Settings, Faults> (*aParse)(std::string_view,
                                                      const std::string&))
{
  const auto text = forwarding::ReadFile(aFile);
  if (!text) {
    return tl::unexpected<Faults>(Faults{
      Fault{ aFile, 0, 0, text.error().mMessage, text.error().mRemedy } });
  }
  return aParse(*text, aFile);
}

tl::expected<ForwarderSettings, Faults>
ParseWithExtraSettings(std::string_view aText, const std::string& aFile)
{
  return ParseForwarderSettings(aText, aFile, forwarding::ExtraSettings());
}

int
ReportFaults(const Faults& aFaults)
{
  for (const Fault& fault : aFaults) {
    std::cerr << ToText(fault) << "\n";
  }
  return kExitUsage;
}

/** Prints an error and returns aExit, the exit code. */
int
Report(const Error& aError, int aExit)
{
  std::cerr << ToText(aError) << "\n";
  return aExit;
}

/** Prints what VMs put aside of a routing configuration, before it is written
    to the store. Returns the exit code. */
int
CheckConfiguration(const std::string& aFile)
{
  // Above what the store takes for one value.
  constexpr std::size_t kMaxBytes = 4U << 20U;
  auto text = forwarding::ReadFile(aFile, kMaxBytes);
  if (!text) {
    return Report(text.error(), kExitUsage);
  }
  const auto read = platform::MakeAdapter()->ReadConfiguration(
    std::make_shared<const std::string>(std::move(*text)));
  if (!read) {
    return ReportFaults(
      { Fault{ aFile, 0, 0, read.error().mMessage, read.error().mRemedy } });
  }
  const forwarding::UnreadableParts& parts = read->mConfiguration->mUnreadable;
  for (const forwarding::UnreadablePart& part : parts.mListed) {
    std::cerr << aFile << ": " << part.mPlace << " " << part.mReason << "\n";
  }
  if (parts.mCount > parts.mListed.size()) {
    std::cerr << aFile << ": " << parts.mCount - parts.mListed.size()
              << " more parts\n";
  }
  if (parts.mCount > 0) {
    return kExitUsage;
  }
  std::cout << aFile << ": no fault found\n";
  return EXIT_SUCCESS;
}

/** Calls aLog with each further stop signal and the time since this call, at
    most kMaxIgnoredSignals times. */
void
LogIgnoredSignals(
  IoLoop& aLoop,
  std::function<void(int aSignal, std::chrono::milliseconds aSinceFirst)> aLog)
{
  const auto first = std::chrono::steady_clock::now();
  aLoop.OnFurtherStopSignal([first,
                             log = std::move(aLog),
                             left = kMaxIgnoredSignals](int aSignal) mutable {
    if (left > 0) {
      --left;
      log(aSignal,
          std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - first));
    }
  });
}

int
RunDaemon(const DaemonSettings& aSettings)
{
  IoLoop loop;
  loop.CatchStopSignals();
  LogWriter log(aSettings.mLogFile, aSettings.mLogLevel);
  Daemon daemon(loop, log, aSettings);
  const auto started = daemon.Start();
  if (!started) {
    std::quick_exit(Report(started.error(), EXIT_FAILURE));
  }
  loop.WaitForStopSignal();
  LogIgnoredSignals(
    loop, [&](int aSignal, std::chrono::milliseconds aSinceFirst) {
      log.Write(FormatMessage(LogLevel::kWarning,
                              aSettings.mName,
                              "ignored signal " + std::to_string(aSignal) +
                                ", " + std::to_string(aSinceFirst.count()) +
                                " ms after the stop began",
                              WallClockText()));
    });
  daemon.BeginStop();
  daemon.FinishStop();
  log.Flush(kFlushLimit);
  // Some fibers never end and hold references to this function's local objects.
  // quick_exit() ends the process without destroying these objects.
  std::quick_exit(EXIT_SUCCESS);
}

int
RunForwarder(const ForwarderSettings& aSettings, const std::string& aFile)
{
  IoLoop loop;
  loop.CatchStopSignals();
  LogWriter log(kStandardOutput, aSettings.mLogLevel);
  const auto adapter = platform::MakeAdapter();
  forwarding::ForwarderDaemon daemon(loop, log, aSettings, aFile, *adapter);
  const auto started = daemon.Start();
  if (!started) {
    std::quick_exit(Report(started.error(), EXIT_FAILURE));
  }
  const TimePoint notBefore = loop.WaitForStopSignal();
  LogIgnoredSignals(loop,
                    [&](int aSignal, std::chrono::milliseconds aSinceFirst) {
                      const forwarding::DecisionRecord record{
                        forwarding::RecordClass::kState,
                        "stop-signal-ignored",
                        {},
                        { { "signal", std::int64_t{ aSignal } },
                          { "after_ms", std::int64_t{ aSinceFirst.count() } } }
                      };
                      log.Write(forwarding::FormatDecisionRecord(
                        record, aSettings.mName, WallClockText()));
                    });
  daemon.Stop(notBefore);
  log.Flush(kFlushLimit);
  // Ends without destroying local objects, for the reason given in RunDaemon().
  std::quick_exit(EXIT_SUCCESS);
}

/** Prints the faults of invalid settings; otherwise calls aRun, unless only a
    check was requested. Returns the exit code. */
template<class Settings, class Function>
int
CheckAndRun(const CommandLine& aLine,
            const tl::expected<Settings, Faults>& aSettings,
            Function aRun)
{
  if (!aSettings) {
    return ReportFaults(aSettings.error());
  }
  if (aLine.mCheckOnly) {
    std::cout << aLine.mSettingsFile << ": no fault found\n";
    return EXIT_SUCCESS;
  }
  return aRun(*aSettings);
}

/** Allows as many descriptors as the operators' hard limit does: the soft limit
    is often 1024, less than the connections that callers may open. */
void
RaiseDescriptorLimit()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

/** Makes the allocator return large blocks to the system at once. It would
    otherwise keep freed bodies, and give later ones memory that was used
    before. */
void
ReturnLargeBlocks()
{
  // Small enough for the blocks of large bodies, which would leave holes
  // between others, and larger than what is read at once.
  constexpr int kLargeBlock = 192 << 10;
  constexpr int kKeptAtTheEnd = 4 << 20;
  mallopt(M_MMAP_THRESHOLD, kLargeBlock);
  mallopt(M_TRIM_THRESHOLD, kKeptAtTheEnd);
}

int
Main(int aCount, char** aArguments)
{
  const auto line = ParseCommandLine(aCount, aArguments);
  if (!line) {
    return Report(line.error(), kExitUsage);
  }
  if (line->mShowHelp || line->mShowVersion) {
    return EXIT_SUCCESS;
  }
  if (!line->mConfigurationFile.empty()) {
    return CheckConfiguration(line->mConfigurationFile);
  }
  if (line->mForwards) {
    return CheckAndRun(*line,
                       ReadSettings<ForwarderSettings>(line->mSettingsFile,
                                                       ParseWithExtraSettings),
                       [&](const ForwarderSettings& aSettings) {
                         return RunForwarder(aSettings, line->mSettingsFile);
                       });
  }
  return CheckAndRun(
    *line, ReadSettings(line->mSettingsFile, ParseDaemonSettings), RunDaemon);
}

} // namespace

} // namespace wasabispread

int
main(int aCount, char** aArguments)
{
  // Until the daemon handles SIGHUP, the settings are not read yet, and there
  // is nothing to reload.
  std::signal(SIGHUP, SIG_IGN);
  // Output that has lost its reader, or a log file that may not grow, must not
  // end the process.
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
  wasabispread::RaiseDescriptorLimit();
  wasabispread::ReturnLargeBlocks();
  return wasabispread::Main(aCount, aArguments);
}
