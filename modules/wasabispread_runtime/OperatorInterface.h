/*
 * What operators read from a daemon by HTTP.
 */
#pragma once

#include "NodeRunner.h"

#include <wasabispread_wire/wasabispread_wire.h>

namespace wasabispread {

/** Answers GET /healthz, /readyz, /metrics and /v1/status. */
HttpResponse
HandleOperatorRequest(NodeRunner& aRunner, const HttpRequest& aRequest);

} // namespace wasabispread
