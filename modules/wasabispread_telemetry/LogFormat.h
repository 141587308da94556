/*
 * Formats decision records and messages as JSON log lines.
 */
#pragma once

#include <wasabispread_decisions/wasabispread_decisions.h>

#include <string>

namespace wasabispread {

/** Formats a record as one JSON object without a line end. aState supplies the
    names of VMs, services and targets; aTime is the wall-clock time. */
std::string
FormatRecord(const DecisionRecord& aRecord,
             const VmState& aState,
             const std::string& aTime);

/** The log level of a record. */
LogLevel
LevelOf(const DecisionRecord& aRecord);

/** The current wall-clock time in ISO 8601 format, in UTC with milliseconds. */
std::string
WallClockText();

/** Formats a log line for an event that is not a decision. */
std::string
FormatMessage(LogLevel aLevel,
              const std::string& aVm,
              const std::string& aMessage,
              const std::string& aTime);

} // namespace wasabispread
