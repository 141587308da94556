/*
 * A real process that a test starts, signals and ends.
 */
#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace wasabispread::testing {

/** Owns one process; its destructor kills it and waits for its end. Processes
    still alive when the test program crashes are killed too. */
class ChildProcess
{
public:
  ChildProcess() = default;

  /** Starts a program of the build folder; its output goes to aLogFile. */
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aLogFile);

  ~ChildProcess() { Kill(); }

  ChildProcess(ChildProcess&& aOther) noexcept
    : mPid(aOther.mPid)
    , mIsHarmed(aOther.mIsHarmed)
  {
    aOther.mPid = 0;
  }
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;

  /** Whether it has been started and not yet been waited for. */
  bool IsOwned() const { return mPid != 0; }

  /** Whether it was killed, told to stop or frozen since its start. */
  bool IsHarmed() const { return mIsHarmed; }

  /** SIGKILL; returns once the process has ended. */
  void Kill();

  /** SIGTERM, without waiting. */
  void Terminate();

  /** SIGHUP: the process reads its settings again. */
  void Reload() const;

  /** SIGSTOP: the process does nothing until thawed. */
  void Freeze();

  /** SIGCONT. */
  void Thaw() const;

  /** Whether the process has ended; its exit code is kept. */
  bool HasEnded();

  /** Waits for the end, at most a minute, and returns the exit code; 128 and
      the signal's number after a signal. */
  int WaitForExit();

private:
  pid_t mPid = 0;
  int mExitCode = -1;
  bool mIsHarmed = false;
};

/** Runs a program to its end; its output and its exit code. */
struct FinishedProcess
{
  int mExitCode = -1;
  std::string mOutput;
};

FinishedProcess
RunToEnd(const std::string& aProgram,
         const std::vector<std::string>& aArguments,
         const std::string& aLogFile);

/** A file's whole text. */
std::string
ReadWholeFile(const std::string& aFile);

} // namespace wasabispread::testing
