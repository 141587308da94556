/*
 * Starts processes, waits for their ends, and kills those still alive when the
 * test program crashes.
 */
#include "ChildProcess.h"

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace wasabispread::testing {

namespace {

constexpr std::size_t kMaxChildren = 256;
constexpr int kSignalExitBase = 128;
constexpr auto kExitPollInterval = std::chrono::milliseconds(2);
constexpr auto kExitTimeout = std::chrono::minutes(1);

/** The pids of processes whose exit has not been collected; 0 marks a free
    slot. */
std::array<std::atomic<pid_t>, kMaxChildren> gChildren;

void
KillChildrenAndReraise(int aSignal)
{
  for (const auto& child : gChildren) {
    if (child != 0) {
      kill(child, SIGKILL);
    }
  }
  std::signal(aSignal, SIG_DFL);
  std::raise(aSignal);
}

void
InstallCrashHandlers()
{
  for (const int signal : { SIGABRT, SIGSEGV, SIGTERM, SIGINT, SIGALRM }) {
    std::signal(signal, KillChildrenAndReraise);
  }
}

void
RegisterChild(pid_t aPid)
{
  static const bool installed = (InstallCrashHandlers(), true);
  static_cast<void>(installed);
  for (auto& child : gChildren) {
    pid_t free = 0;
    if (child.compare_exchange_strong(free, aPid)) {
      return;
    }
  }
  throw std::runtime_error(
    "more than 256 processes at a time; raise kMaxChildren");
}

void
UnregisterChild(pid_t aPid)
{
  for (auto& child : gChildren) {
    pid_t expected = aPid;
    child.compare_exchange_strong(expected, 0);
  }
}

pid_t
Spawn(const std::string& aProgram,
      const std::vector<std::string>& aArguments,
      const std::string& aLogFile)
{
  const std::string path = std::string(WASABISPREAD_PROGRAMS) + "/" + aProgram;
  std::vector<char*> arguments{ const_cast<char*>(path.c_str()) };
  for (const std::string& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr mode_t kOwnerOnly = 0600;
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   aLogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   kOwnerOnly);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // The test program itself may run stand-ins that listen on sockets. Closing
  // all descriptors above stderr keeps a child from inheriting those sockets
  // and holding them open.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t pid = 0;
  const int error = posix_spawn(
    &pid, path.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start " + path);
  }
  return pid;
}

} // namespace

ChildProcess::ChildProcess(const std::string& aProgram,
                           const std::vector<std::string>& aArguments,
                           const std::string& aLogFile)
  : mPid(Spawn(aProgram, aArguments, aLogFile))
{
  RegisterChild(mPid);
}

ChildProcess&
ChildProcess::operator=(ChildProcess&& aOther) noexcept
{
  Kill();
  mPid = aOther.mPid;
  mWasKilledOrFrozen = aOther.mWasKilledOrFrozen;
  aOther.mPid = 0;
  return *this;
}

void
ChildProcess::Kill()
{
  mWasKilledOrFrozen = true;
  if (mPid == 0) {
    return;
  }
  kill(mPid, SIGKILL);
  waitpid(mPid, nullptr, 0);
  UnregisterChild(mPid);
  mPid = 0;
}

void
ChildProcess::Terminate()
{
  mWasKilledOrFrozen = true;
  if (mPid != 0) {
    kill(mPid, SIGTERM);
  }
}

void
ChildProcess::Interrupt()
{
  mWasKilledOrFrozen = true;
  if (mPid != 0) {
    kill(mPid, SIGINT);
  }
}

void
ChildProcess::Reload() const
{
  if (mPid != 0) {
    kill(mPid, SIGHUP);
  }
}

void
ChildProcess::Freeze()
{
  mWasKilledOrFrozen = true;
  if (mPid != 0) {
    kill(mPid, SIGSTOP);
  }
}

void
ChildProcess::Thaw() const
{
  if (mPid != 0) {
    kill(mPid, SIGCONT);
  }
}

std::size_t
ChildProcess::PeakMemoryBytes() const
{
  std::ifstream status("/proc/" + std::to_string(mPid) + "/status");
  std::string word;
  while (status >> word) {
    std::size_t kilobytes = 0;
    if (word == "VmHWM:" && status >> kilobytes) {
      return kilobytes * 1024;
    }
  }
  return 0;
}

bool
ChildProcess::HasEnded()
{
  if (mPid == 0) {
    return true;
  }
  int status = 0;
  if (waitpid(mPid, &status, WNOHANG) != mPid) {
    return false;
  }
  mExitCode = WIFEXITED(status) ? WEXITSTATUS(status)
                                : kSignalExitBase + WTERMSIG(status);
  UnregisterChild(mPid);
  mPid = 0;
  return true;
}

int
ChildProcess::WaitForExit()
{
  const auto until = std::chrono::steady_clock::now() + kExitTimeout;
  while (!HasEnded()) {
    if (std::chrono::steady_clock::now() > until) {
      throw std::runtime_error("a process did not end within one minute");
    }
    std::this_thread::sleep_for(kExitPollInterval);
  }
  return mExitCode;
}

FinishedProcess
RunToEnd(const std::string& aProgram,
         const std::vector<std::string>& aArguments,
         const std::string& aLogFile)
{
  std::remove(aLogFile.c_str());
  ChildProcess process(aProgram, aArguments, aLogFile);
  FinishedProcess finished;
  finished.mExitCode = process.WaitForExit();
  finished.mOutput = ReadWholeFile(aLogFile);
  return finished;
}

std::string
ReadWholeFile(const std::string& aFile)
{
  std::ifstream stream(aFile);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

} // namespace wasabispread::testing
