/*
 * Checks a request before it is accepted.
 */
#include "wasabispread_forwarding_decisions.h"

namespace wasabispread::forwarding {

namespace {

/** Retry delay after a start: a daemon that has just started knows its routes
    and targets within about this time. */
constexpr Duration kStartRetry = std::chrono::milliseconds(250);
/** Retry delay while targets are missing: they come back with their next
    registration. */
constexpr Duration kNoTargetRetry = std::chrono::milliseconds(400);

} // namespace

Problem
NotRunProblem(std::string aMessage, Duration aRetryAfter)
{
  return Problem{ ProblemKind::kNotRun,
                  std::move(aMessage),
                  "retry the request after the time given",
                  aRetryAfter };
}

std::optional<Problem>
CheckRequest(const ForwarderState& aState,
             const ForwardedRequest& aRequest,
             TimePoint aNow)
{
  if (aState.mConfiguration == nullptr || !aState.mStore.mIsLoaded) {
    return NotRunProblem("this VM has no configuration or no targets yet",
                         kStartRetry);
  }
  const Route* route =
    FindRoute(*aState.mConfiguration, aRequest.mHost, aRequest.mTarget);
  if (route == nullptr) {
    return Problem{ ProblemKind::kNoRoute,
                    "no route of host \"" + aRequest.mHost +
                      "\" matches the path",
                    "check the host and the path, or add a route",
                    std::nullopt };
  }
  if (aRequest.mCallerTimeout && *aRequest.mCallerTimeout <= Duration::zero()) {
    return Problem{ ProblemKind::kBadRequest,
                    "the stated timeout leaves no time for an answer",
                    "state a timeout of at least one millisecond",
                    std::nullopt };
  }
  if (route->IsSearch() && !CanServe(aState, *route, aNow)) {
    Problem problem = NotRunProblem(
      "too few shards have a target that can be reached", kNoTargetRetry);
    if (IsIsolated(aState, aNow)) {
      problem.mMessage = "this VM is isolated from the targets";
      problem.mRetryAfter = kOtherVmRetry;
      problem.mClosesConnection = true;
    }
    return problem;
  }
  const TimePoint deadline = DeadlineOf(aState, aRequest, *route, aNow);
  if (auto problem = RefuseWhileStopping(aState.mStop, deadline, aNow)) {
    return problem;
  }
  const auto wait = WaitForRoom(aState, *route, aNow);
  const bool mayWait = wait && route->IsSearch() &&
                       MayAwaitRoom(aState, route->mId, *wait, deadline, aNow);
  if (wait && !mayWait) {
    return NotRunProblem(ToText(wait->mCause), wait->mTime);
  }
  return std::nullopt;
}

} // namespace wasabispread::forwarding
