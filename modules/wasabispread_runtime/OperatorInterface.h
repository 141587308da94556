/*
 * The HTTP interface for operators.
 */
#pragma once

#include "VmRunner.h"

#include <wasabispread_wire/wasabispread_wire.h>

namespace wasabispread {

/** Responds to GET /healthz, /readyz, /metrics, /v1/status and
    /v1/confirmation; may block its fiber. */
HttpResponse
HandleOperatorRequest(VmRunner& aRunner, const HttpRequest& aRequest);

/** Whether a request is POST /v1/drain. */
bool
IsDrainRequest(const HttpRequest& aRequest);

/** The progress of a drain as JSON: whether it has begun ("draining"), whether
    it is complete ("drained"), and the number of requests in flight. */
HttpResponse
FormatDrainState(const VmRunner& aRunner);

} // namespace wasabispread
