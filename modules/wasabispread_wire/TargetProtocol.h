/*
 * The targets' HTTP interface: formats sub-requests and parses replies.
 */
#pragma once

#include "HttpMessage.h"

#include <wasabispread_decisions/wasabispread_decisions.h>

namespace wasabispread {

/** Formats a sub-request: POST /v1/shards/SHARD/OPERATION with the headers
    X-Request-Id, X-Attempt-Id, X-Deadline-Ms (the remaining time in
    milliseconds) and X-Snapshot. */
HttpRequest
FormatTargetRequest(const TargetRequest& aRequest);

/** Formats a cancellation: POST /v1/attempts/ATTEMPT/cancel. The status of the
    response has no meaning. */
HttpRequest
FormatTargetCancel(const AttemptId& aAttempt);

/** Reads a target's response. Status 200 is an answer. The target did not run
    the request when the status is 503 (shed under load), 410 (the target is
    draining) or 409 (it does not hold the requested snapshot version). With any
    other status it is unknown whether the request ran. The header X-Health,
    "good" or "leaving", states the target's own condition. */
TargetReply
ParseTargetReply(const HttpResponse& aResponse);

} // namespace wasabispread
