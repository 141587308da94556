/*
 * Writes log lines without blocking the threads that log.
 */
#pragma once

#include <wasabispread_config/wasabispread_config.h>

#include <cstdint>
#include <memory>
#include <string>

namespace wasabispread {

/** The file name that selects standard output. */
inline constexpr const char* kStandardOutput = "-";

/** Passes lines through a bounded queue to a thread that writes them. When the
    queue is full, a line is dropped and counted. One writer per process, since
    the Boost.Log core is shared. */
class LogWriter
{
public:
  /** Appends to the file aFile, or writes to standard error when aFile is empty
      and to standard output when it is kStandardOutput. */
  LogWriter(const std::string& aFile, LogLevel aMinLevel);

  /** Writes the queued lines. */
  ~LogWriter();

  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /** Whether lines of a level are written. */
  bool IsEnabled(LogLevel aLevel) const { return aLevel >= mMinLevel; }

  /** Queues a line; never blocks. */
  void Write(const std::string& aLine);

  /** Blocks until all queued lines are written, but not longer than aLimit: the
      reader of the output may have stopped reading. Returns whether they are
      written; if not, only ending the process is possible. */
  bool Flush(Duration aLimit);

  /** The number of lines dropped since the process started. */
  static std::uint64_t DroppedLines();

private:
  struct Implementation;

  LogLevel mMinLevel;
  std::unique_ptr<Implementation> mImplementation;
};

} // namespace wasabispread
