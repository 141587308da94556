/*
 * Log lines as data: what was decided, from which inputs.
 */
#pragma once

#include "Message.h"

#include <string>
#include <variant>
#include <vector>

namespace wasabispread::forwarding {

/** What a line is worth when not all can be written. */
enum class RecordClass : std::uint8_t
{
  /** A request that went well. */
  kRoutine,
  /** A step out of the ordinary within a request. */
  kNotable,
  /** A request that failed, was refused or was answered in part. */
  kFailure,
  /** A change of what the process believes, or of its own state. */
  kState,
};

/** One input or outcome. */
struct RecordField
{
  const char* mName;
  std::variant<std::int64_t, double, std::string> mValue;
};

/** One line. */
struct DecisionRecord
{
  RecordClass mClass = RecordClass::kRoutine;
  /** In lower-case words joined by hyphens. */
  const char* mEvent = "";
  /** Empty when no request is concerned. */
  RequestId mRequestId;
  std::vector<RecordField> mFields;
};

} // namespace wasabispread::forwarding
