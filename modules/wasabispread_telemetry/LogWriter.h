/*
 * Writes log lines without ever holding up the request path.
 */
#pragma once

#include <wasabispread_config/wasabispread_config.h>

#include <cstdint>
#include <memory>
#include <string>

namespace wasabispread {

/** Stands for standard output in place of a file's path. */
inline constexpr const char* kStandardOutput = "-";

/** Lines go through a bounded queue to a thread that writes them. When the
    queue is full, a line is dropped and counted. One writer per process. */
class LogWriter
{
public:
  /** Writes to a file; to standard error when aFile is empty, or to standard
      output for kStandardOutput. */
  LogWriter(const std::string& aFile, LogLevel aMinLevel);

  /** Writes what is queued. */
  ~LogWriter();

  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /** Whether lines of a level are written at all. */
  bool IsEnabled(LogLevel aLevel) const { return aLevel >= mMinLevel; }

  /** Queues a line. */
  void Write(const std::string& aLine);

  /** Waits until the queue is written. */
  void Flush();

  /** Lines dropped since the start. */
  static std::uint64_t DroppedLines();

private:
  struct Implementation;

  LogLevel mMinLevel;
  std::unique_ptr<Implementation> mImplementation;
};

} // namespace wasabispread
