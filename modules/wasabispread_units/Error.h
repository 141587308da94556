/*
 * Typed errors whose messages name the remedy.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace wasabispread {

/** What went wrong; ToText() gives the name used in answers and logs. */
enum class ErrorKind
{
  kMalformedRequest,
  kUnknownService,
  kOperationNotOffered,
  kInvalidTimeout,
  kRequestTooLarge,
  kNotReady,
  kOverloaded,
  kTimeout,
  kTargetUnavailable,
  kOutcomeUnknown,
  kDuplicateRequest,
  kInvalidFile,
  kInvalidSettings,
  kInvalidFrame,
  kIncompatibleRelease,
  kConnectionFailed,
  kPlatformUnavailable,
  kConflict,
  kValueTooLarge,
  kUsage,
};

/** The stable name of a kind, in lower-case words joined by hyphens. */
std::string_view
ToText(ErrorKind aKind);

/** Whether the work that an error speaks of took place. */
enum class Execution
{
  kNotRun,
  kUnknown,
};

/** "no" or "unknown", as answers state it. */
std::string_view
ToText(Execution aExecution);

/** A further fact about an error, for machines to read. */
struct ErrorDetail
{
  std::string mName;
  std::string mValue;
};

/** An error: what happened, what to do about it, and whether work ran. */
struct Error
{
  ErrorKind mKind = ErrorKind::kMalformedRequest;
  std::string mMessage;
  std::string mRemedy;
  Execution mExecution = Execution::kNotRun;
  std::vector<ErrorDetail> mDetails{};
};

/** One line holding the kind, the message and the remedy. */
std::string
ToText(const Error& aError);

/** A value, or the error that stood in its way. */
template<class Value>
using Result = tl::expected<Value, Error>;

/** Wraps an error for return from a function that returns a Result. */
tl::unexpected<Error>
Fail(ErrorKind aKind,
     std::string aMessage,
     std::string aRemedy,
     Execution aExecution = Execution::kNotRun);

} // namespace wasabispread
