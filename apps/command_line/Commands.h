/*
 * The operators' commands, apart from those in ConfigurationCommands.h.
 */
#pragma once

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <optional>
#include <string>
#include <vector>

namespace wasabispread {

/** The result of a command, which becomes the exit code of the process. */
enum class ExitCode : int
{
  kSuccess = 0,
  /** The system refused the command, or could not be reached. */
  kFailure = 1,
  /** The command line or a file is wrong. */
  kUsage = 2,
  /** Another operator changed the configuration first. */
  kConflict = 3,
  /** It is unknown whether the change took effect. */
  kUnknown = 4,
};

/** The options given on the command line. */
struct CommandOptions
{
  std::string mCommand;
  std::string mFile;
  Endpoint mPlatform;
  Endpoint mDaemon;
  std::string mService;
  std::string mOperation = "search";
  std::string mKey;
  std::string mBody;
  std::uint32_t mTimeoutMs = 1000;
  bool mJson = false;
  /** The revision on which an applied file is based; 0 for none. */
  std::uint64_t mBaseRevision = 0;
  /** The id of an earlier apply whose outcome is to be found out; empty for a
      new change. */
  std::string mChangeId;
  /** The revision that "status" waits for; 0 for no wait. */
  std::uint64_t mRevision = 0;
  std::uint32_t mWaitMs = 20'000;
};

/** Prints an error, as JSON on standard output or as text on standard error. */
void
PrintError(const Error& aError, bool aJson);

/** Reads and checks the deployment file. Returns its text; none after printing
    why the file cannot be used. */
std::optional<std::string>
ReadCheckedFile(const CommandOptions& aOptions);

/** Checks a deployment file. */
ExitCode
RunCheck(const CommandOptions& aOptions);

/** Shows a daemon's status. */
ExitCode
RunStatus(IoLoop& aLoop, const CommandOptions& aOptions);

/** Sends one request to a service, as a caller does, and prints the answer. */
ExitCode
RunQuery(IoLoop& aLoop, const CommandOptions& aOptions);

} // namespace wasabispread
