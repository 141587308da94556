/*
 * What operators read from a daemon by HTTP.
 */
#pragma once

#include "VmRunner.h"

#include <wasabispread_wire/wasabispread_wire.h>

namespace wasabispread {

/** Answers GET /healthz, /readyz, /metrics and /v1/status. */
HttpResponse
HandleOperatorRequest(VmRunner& aRunner, const HttpRequest& aRequest);

/** Whether a request is POST /v1/drain. */
bool
IsDrainRequest(const HttpRequest& aRequest);

/** How far a drain has come, as JSON: draining, drained, and what is still in
    flight. */
HttpResponse
FormatDrainState(const VmRunner& aRunner);

} // namespace wasabispread
