/*
 * A real process that a test starts, signals and stops.
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

  /** Starts a program from the build folder; its output goes to aLogFile. */
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aLogFile);

  ~ChildProcess() { Kill(); }

  ChildProcess(ChildProcess&& aOther) noexcept
    : mPid(aOther.mPid)
    , mWasKilledOrFrozen(aOther.mWasKilledOrFrozen)
  {
    aOther.mPid = 0;
  }
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;

  /** Whether the process has been started and its exit not yet collected. */
  bool IsOwned() const { return mPid != 0; }

  /** The process's id; 0 when there is none. */
  pid_t Pid() const { return mPid; }

  /** Whether a test has killed, terminated or frozen the process. */
  bool WasKilledOrFrozen() const { return mWasKilledOrFrozen; }

  /** Sends SIGKILL and returns once the process has ended. */
  void Kill();

  /** Sends SIGTERM without waiting for the end. */
  void Terminate();

  /** Sends SIGINT without waiting for the end. */
  void Interrupt();

  /** Sends SIGHUP, which makes the process reload its settings. */
  void Reload() const;

  /** Sends SIGSTOP: the process is suspended until Thaw(). */
  void Freeze();

  /** Sends SIGCONT: the process resumes. */
  void Thaw() const;

  /** The most memory that the running process has used, in bytes; 0 when it
      is not known. */
  std::size_t PeakMemoryBytes() const;

  /** Whether the process has ended; stores its exit code for WaitForExit(). */
  bool HasEnded();

  /** Waits at most one minute for the end and returns the exit code, or 128
     plus the signal's number if a signal ended the process. */
  int WaitForExit();

private:
  pid_t mPid = 0;
  int mExitCode = -1;
  bool mWasKilledOrFrozen = false;
};

/** The exit code and the output of a process that has ended. */
struct FinishedProcess
{
  int mExitCode = -1;
  std::string mOutput;
};

/** Runs a program from the build folder to its end, with its output in
    aLogFile. */
FinishedProcess
RunToEnd(const std::string& aProgram,
         const std::vector<std::string>& aArguments,
         const std::string& aLogFile);

/** Returns the whole text of a file. */
std::string
ReadWholeFile(const std::string& aFile);

} // namespace wasabispread::testing
