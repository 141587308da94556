/*
 * Log records as data: what was decided, from which inputs.
 */
#pragma once

#include "Message.h"

#include <string>
#include <variant>
#include <vector>

namespace wasabispread::forwarding {

/** The class of a record. Each class has its own allowance of log lines, so
    that frequent records do not displace rare ones. */
enum class RecordClass : std::uint8_t
{
  /** A request that succeeded. */
  kRoutine,
  /** An unusual step within a request, such as a hedge or a retry. */
  kNotable,
  /** A request that failed, was refused or was answered in part. */
  kFailure,
  /** A change of the process's own state, or of what it knows of others. */
  kState,
};

/** One input or outcome of a decision. */
struct RecordField
{
  const char* mName;
  std::variant<std::int64_t, double, std::string> mValue;
};

/** One log record. */
struct DecisionRecord
{
  RecordClass mClass = RecordClass::kRoutine;
  /** The event's name: lower-case words joined by hyphens. */
  const char* mEvent = "";
  /** The request that the record is about; empty when there is none. */
  RequestId mRequestId;
  std::vector<RecordField> mFields;
};

} // namespace wasabispread::forwarding
