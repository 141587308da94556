/*
 * The targets' HTTP interface: sub-requests out, replies in.
 */
#pragma once

#include "HttpMessage.h"

#include <wasabispread_decisions/wasabispread_decisions.h>

namespace wasabispread {

/** A sub-request as HTTP: POST /v1/shards/SHARD/OPERATION with headers
    X-Request-Id, X-Attempt-Id, X-Deadline-Ms (time left) and X-Snapshot. */
HttpRequest
FormatTargetRequest(const TargetRequest& aRequest);

/** A cancellation as HTTP: POST /v1/attempts/ATTEMPT/cancel. Any response ends
    it. */
HttpRequest
FormatTargetCancel(const AttemptId& aAttempt);

/** Reads a target's response. 200 is an answer, 503 a shed request, 410 a
    draining target, 409 a version not held; each of these three did not run.
    Anything else leaves open whether it ran. X-Health, "good" or "leaving", is
    what the target says of itself. */
TargetReply
ParseTargetReply(const HttpResponse& aResponse);

} // namespace wasabispread
