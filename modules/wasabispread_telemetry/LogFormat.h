/*
 * Decision records as JSON objects of one line.
 */
#pragma once

#include <wasabispread_decisions/wasabispread_decisions.h>

#include <string>

namespace wasabispread {

/** One JSON object without a line end. aState supplies the names of VMs and
    services; aTime is the wall-clock time to show. */
std::string
FormatRecord(const DecisionRecord& aRecord,
             const VmState& aState,
             const std::string& aTime);

/** How severe a record is. */
LogLevel
LevelOf(const DecisionRecord& aRecord);

/** The present wall-clock time in ISO 8601, UTC, with milliseconds. */
std::string
WallClockText();

/** A line for anything that is not a decision. */
std::string
FormatMessage(LogLevel aLevel,
              const std::string& aVm,
              const std::string& aMessage,
              const std::string& aTime);

} // namespace wasabispread
