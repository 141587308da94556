/*
 * The callers' HTTP interface: requests in, answers and problems out.
 */
#pragma once

#include "HttpMessage.h"

#include <wasabispread_decisions/wasabispread_decisions.h>

namespace wasabispread {

/** The header that states how long a caller waits, in whole milliseconds. */
inline constexpr std::string_view kPatienceHeader = "X-Patience-Ms";

/** The header that carries a caller's request id; echoed in the response. */
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";

/** The header that names an action across repeats; optional. */
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

/** Reads a caller's request:
    POST /v1/services/NAME/search, or POST /v1/services/NAME/lookup?key=KEY, or
    POST /v1/services/NAME/action?key=KEY. aGeneratedId serves when the caller
    names no request id. */
Result<CallerRequest>
ParseCallerRequest(const HttpRequest& aRequest,
                   CallerToken aToken,
                   std::string aGeneratedId);

/** The response for an outcome. aDeployment names targets and services; it
    may be null when the outcome is an error. */
HttpResponse
FormatOutcome(const RequestId& aRequestId,
              const Outcome& aOutcome,
              const Deployment* aDeployment);

/** An error as problem JSON. */
HttpResponse
FormatProblem(const Error& aError, const std::string& aRequestId);

/** The HTTP status of an error. */
unsigned
StatusOf(ErrorKind aKind);

} // namespace wasabispread
