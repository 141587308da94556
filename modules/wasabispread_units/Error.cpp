/*
 * Names and text forms of errors.
 */
#include "wasabispread_units.h"

namespace wasabispread {

std::string_view
ToText(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::kMalformedRequest:
      return "malformed-request";
    case ErrorKind::kUnknownService:
      return "unknown-service";
    case ErrorKind::kOperationNotOffered:
      return "operation-not-offered";
    case ErrorKind::kInvalidTimeout:
      return "invalid-patience";
    case ErrorKind::kRequestTooLarge:
      return "request-too-large";
    case ErrorKind::kRequestIncomplete:
      return "request-incomplete";
    case ErrorKind::kNotReady:
      return "not-ready";
    case ErrorKind::kOverloaded:
      return "overloaded";
    case ErrorKind::kTimeout:
      return "timeout";
    case ErrorKind::kTargetUnavailable:
      return "target-unavailable";
    case ErrorKind::kOutcomeUnknown:
      return "outcome-unknown";
    case ErrorKind::kDuplicateRequest:
      return "duplicate-request";
    case ErrorKind::kInvalidFile:
      return "invalid-file";
    case ErrorKind::kInvalidSettings:
      return "invalid-settings";
    case ErrorKind::kInvalidFrame:
      return "invalid-frame";
    case ErrorKind::kIncompatibleRelease:
      return "incompatible-release";
    case ErrorKind::kConnectionFailed:
      return "connection-failed";
    case ErrorKind::kPlatformUnavailable:
      return "platform-unavailable";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kValueTooLarge:
      return "value-too-large";
    case ErrorKind::kUsage:
      return "usage";
  }
  return "unknown-kind";
}

std::string_view
ToText(Execution aExecution)
{
  return aExecution == Execution::kNotRun ? "no" : "unknown";
}

std::string
ToText(const Error& aError)
{
  return std::string(ToText(aError.mKind)) + ": " + aError.mMessage + "; " +
         aError.mRemedy;
}

tl::unexpected<Error>
Fail(ErrorKind aKind,
     std::string aMessage,
     std::string aRemedy,
     Execution aExecution)
{
  return tl::unexpected<Error>(
    Error{ aKind, std::move(aMessage), std::move(aRemedy), aExecution, {} });
}

} // namespace wasabispread
