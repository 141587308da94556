/*
 * Typed errors with a message and a remedy.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace wasabispread {

/** What went wrong. ToText() gives the name used in responses and logs. */
enum class ErrorKind
{
  kMalformedRequest,
  kUnknownService,
  kOperationNotOffered,
  kInvalidTimeout,
  kRequestTooLarge,
  kRequestIncomplete,
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

/** The name of a kind, in lower-case words joined by hyphens. Callers match it,
    so it never changes. */
std::string_view
ToText(ErrorKind aKind);

/** Whether the request or write that failed may have been executed. */
enum class Execution
{
  /** It was certainly not executed. */
  kNotRun,
  /** It may have been executed. */
  kUnknown,
};

/** "no" or "unknown": the value used in responses. */
std::string_view
ToText(Execution aExecution);

/** An additional machine-readable field of an error response. */
struct ErrorDetail
{
  std::string mName;
  std::string mValue;
};

/** An error: what happened, how to correct it, and whether the failed request
    may have been executed. */
struct Error
{
  ErrorKind mKind = ErrorKind::kMalformedRequest;
  std::string mMessage;
  std::string mRemedy;
  Execution mExecution = Execution::kNotRun;
  std::vector<ErrorDetail> mDetails{};
};

/** One line with the kind, the message and the remedy. */
std::string
ToText(const Error& aError);

/** A value, or the error that explains why there is none. */
template<class Value>
using Result = tl::expected<Value, Error>;

/** Wraps an error for return from a function that returns a Result. */
tl::unexpected<Error>
Fail(ErrorKind aKind,
     std::string aMessage,
     std::string aRemedy,
     Execution aExecution = Execution::kNotRun);

} // namespace wasabispread
