/*
 * wasabispread: the operators' command-line tool. Parses the command line and
 * runs the command.
 */
#include "ConfigurationCommands.h"

#include <iostream>

#include <boost/program_options.hpp>

namespace wasabispread {

namespace {

constexpr const char* kUsage =
  "Usage: wasabispread COMMAND [options]\n\n"
  "Commands:\n"
  "  check FILE                 check a deployment file\n"
  "  diff FILE --platform A     show what a file would change\n"
  "  apply FILE --platform A --base-revision N\n"
  "                             put a file, based on revision N, in force\n"
  "  history --platform A       show accepted and refused changes\n"
  "  status --daemon A          show a daemon's operator status\n"
  "  status --wait N --daemon A wait until revision N is in force everywhere\n"
  "  query --daemon A --service S\n"
  "                             send a request to a daemon's caller address\n\n"
  "Exit codes: 0 success, 1 refused or unreachable, 2 wrong usage or file,\n"
  "3 another change came first, 4 unknown whether the change took effect.\n\n";

Result<Endpoint>
ParseAddress(const std::string& aText, const char* aOption)
{
  const std::size_t colon = aText.rfind(':');
  const int port =
    colon == std::string::npos ? 0 : std::atoi(aText.c_str() + colon + 1);
  constexpr int kMaxPort = 65535;
  if (port <= 0 || port > kMaxPort) {
    return Fail(ErrorKind::kUsage,
                std::string(aOption) + " needs an address and a port",
                "write it as 127.0.0.1:8080");
  }
  return Endpoint{ aText.substr(0, colon), static_cast<std::uint16_t>(port) };
}

int
Usage(const std::string& aMessage)
{
  std::cerr << "usage: " << aMessage << "; see wasabispread --help\n";
  return static_cast<int>(ExitCode::kUsage);
}

int
RunCommand(CommandOptions& aOptions,
           const std::string& aPlatform,
           const std::string& aDaemon)
{
  if (aOptions.mCommand == "check") {
    return static_cast<int>(RunCheck(aOptions));
  }
  IoLoop loop;
  const bool usesPlatform = aOptions.mCommand == "apply" ||
                            aOptions.mCommand == "diff" ||
                            aOptions.mCommand == "history";
  if (usesPlatform) {
    const auto platform = ParseAddress(aPlatform, "--platform");
    if (!platform) {
      return Usage(platform.error().mMessage);
    }
    aOptions.mPlatform = *platform;
    if (aOptions.mCommand == "diff") {
      return static_cast<int>(RunDiff(loop, aOptions));
    }
    return static_cast<int>(aOptions.mCommand == "apply"
                              ? RunApply(loop, aOptions)
                              : RunHistory(loop, aOptions));
  }
  const auto daemon = ParseAddress(aDaemon, "--daemon");
  if (!daemon) {
    return Usage(daemon.error().mMessage);
  }
  aOptions.mDaemon = *daemon;
  if (aOptions.mCommand == "status") {
    return static_cast<int>(aOptions.mRevision == 0 ? RunStatus(loop, aOptions)
                                                    : RunWait(loop, aOptions));
  }
  if (aOptions.mCommand == "query") {
    return static_cast<int>(RunQuery(loop, aOptions));
  }
  return Usage("no command '" + aOptions.mCommand + "'");
}

int
Main(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  CommandOptions command;
  std::string platform;
  std::string daemon;
  std::string output = "text";
  options::options_description description("Options");
  auto add = description.add_options();
  add("help,h", "show this text");
  add("platform", options::value(&platform), "the platform's address");
  add("daemon", options::value(&daemon), "a daemon's address");
  add("service", options::value(&command.mService), "the service to query");
  add("operation",
      options::value(&command.mOperation),
      "search, lookup or action");
  add("key", options::value(&command.mKey), "the key of a lookup or action");
  add("body", options::value(&command.mBody), "the request's body");
  add("patience-ms",
      options::value(&command.mTimeoutMs),
      "the request's timeout in milliseconds");
  add("base-revision",
      options::value(&command.mBaseRevision),
      "the revision that the file is based on; 0 when none is in force");
  add("change-id",
      options::value(&command.mChangeId),
      "the id of an earlier apply, to find out its outcome");
  add("wait", options::value(&command.mRevision), "the revision to wait for");
  add("wait-ms",
      options::value(&command.mWaitMs),
      "how long to wait for the platform or for all VMs");
  add("output", options::value(&output), "text or json");
  options::options_description hidden;
  hidden.add(description)
    .add_options()("command", options::value(&command.mCommand))(
      "file", options::value(&command.mFile));
  options::positional_options_description positions;
  positions.add("command", 1).add("file", 1);
  try {
    options::variables_map values;
    options::store(options::command_line_parser(aCount, aArguments)
                     .options(hidden)
                     .positional(positions)
                     .run(),
                   values);
    options::notify(values);
    if (values.count("help") != 0) {
      std::cout << kUsage << description;
      return static_cast<int>(ExitCode::kSuccess);
    }
  } catch (const options::error& error) {
    return Usage(error.what());
  }
  command.mJson = output == "json";
  return RunCommand(command, platform, daemon);
}

} // namespace

} // namespace wasabispread

int
main(int aCount, char** aArguments)
{
  return wasabispread::Main(aCount, aArguments);
}
