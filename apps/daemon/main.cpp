/*
 * wasabispreadd: one VM's daemon. Reads the command line and the settings.
 */
#include "Daemon.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>

namespace wasabispread {

namespace {

constexpr int kExitUsage = 2;

/** What the command line asked for. */
struct CommandLine
{
  std::string mSettingsFile;
  bool mCheckOnly = false;
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
    "check-settings",
    options::bool_switch(&line.mCheckOnly),
    "check the settings file and exit")(
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
  if (line.mSettingsFile.empty()) {
    return Fail(
      ErrorKind::kUsage, "no settings file is named", "add --settings FILE");
  }
  return line;
}

tl::expected<DaemonSettings, Faults>
ReadSettings(const std::string& aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    return tl::unexpected<Faults>(Faults{
      Fault{ aFile, 0, 0, "the file cannot be read", "check its name" } });
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseDaemonSettings(text.str(), aFile);
}

int
Report(const Error& aError, int aExit)
{
  std::cerr << ToText(aError) << "\n";
  return aExit;
}

int
RunDaemon(const DaemonSettings& aSettings)
{
  IoLoop loop;
  LogWriter log(aSettings.mLogFile, aSettings.mLogLevel);
  Daemon daemon(loop, log, aSettings);
  const auto started = daemon.Start();
  if (!started) {
    std::quick_exit(Report(started.error(), EXIT_FAILURE));
  }
  loop.WaitForStopSignal();
  daemon.BeginStop();
  daemon.FinishStop();
  log.Flush();
  // Fibers that wait for ever hold references to this frame's objects; the
  // process ends without unwinding them.
  std::quick_exit(EXIT_SUCCESS);
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
  const auto settings = ReadSettings(line->mSettingsFile);
  if (!settings) {
    for (const Fault& fault : settings.error()) {
      std::cerr << ToText(fault) << "\n";
    }
    return kExitUsage;
  }
  if (line->mCheckOnly) {
    std::cout << line->mSettingsFile << ": no fault found\n";
    return EXIT_SUCCESS;
  }
  return RunDaemon(*settings);
}

} // namespace

} // namespace wasabispread

int
main(int aCount, char** aArguments)
{
  return wasabispread::Main(aCount, aArguments);
}
