/*
 * The callers' HTTP interface: parses requests and formats answers and
 * problems.
 */
#pragma once

#include "HttpMessage.h"

#include <wasabispread_decisions/wasabispread_decisions.h>

namespace wasabispread {

/** The header that states the caller's timeout in whole milliseconds. */
inline constexpr std::string_view kCallerTimeoutHeader = "X-Patience-Ms";

/** The header that carries a caller's request id; the response repeats it. */
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";

/** The optional header that identifies an action, so that a caller can send it
    again without it running twice. */
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

/** Reads a caller's request:
    POST /v1/services/NAME/search, or POST /v1/services/NAME/lookup?key=KEY, or
    POST /v1/services/NAME/action?key=KEY. aGeneratedId becomes the request id
    when the caller sends none. kMalformedRequest or kInvalidTimeout when the
    request is invalid. */
Result<CallerRequest>
ParseCallerRequest(const HttpRequest& aRequest,
                   CallerToken aToken,
                   std::string aGeneratedId);

/** Formats the response for an outcome. aDeployment supplies the names of
    targets and services; it may be null when the outcome is an error. */
HttpResponse
FormatOutcome(const RequestId& aRequestId,
              const Outcome& aOutcome,
              const Deployment* aDeployment);

/** Formats an error as an HTTP problem (application/problem+json).
    aRequestId may be empty. */
HttpResponse
FormatProblem(const Error& aError, const std::string& aRequestId);

/** The HTTP status of an error. */
unsigned
StatusOf(ErrorKind aKind);

} // namespace wasabispread
