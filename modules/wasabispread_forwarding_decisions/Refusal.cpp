/*
 * Checks before a request is taken.
 */
#include "wasabispread_forwarding_decisions.h"

namespace wasabispread::forwarding {

namespace {

/** A daemon that has just started knows its routes and targets this soon. */
constexpr Duration kStartRetry = std::chrono::milliseconds(250);
/** Another VM may serve it at once; the balancer takes a new connection
    there. */
constexpr Duration kElsewhereRetry = std::chrono::milliseconds(20);
/** Targets that are missing come back by their next registration. */
constexpr Duration kNoTargetRetry = std::chrono::milliseconds(400);

} // namespace

Problem
NotRunProblem(std::string aMessage, Duration aRetryAfter)
{
  return Problem{ ProblemKind::kNotRun,
                  std::move(aMessage),
                  "repeat the request after the time given",
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
                      "\" begins the path",
                    "check the host and the path, or add a route",
                    std::nullopt };
  }
  if (aRequest.mCallerTimeout && *aRequest.mCallerTimeout <= Duration::zero()) {
    return Problem{ ProblemKind::kBadRequest,
                    "the request leaves no time for an answer",
                    "send a positive number of milliseconds",
                    std::nullopt };
  }
  if (route->IsSearch() && !CanServe(aState, *route, aNow)) {
    Problem problem = NotRunProblem(
      "too few shards have a target that can be reached", kNoTargetRetry);
    if (IsCutOff(aState, aNow)) {
      problem.mMessage = "this VM is cut off from the targets";
      problem.mRetryAfter = kElsewhereRetry;
      problem.mClosesConnection = true;
    }
    return problem;
  }
  return std::nullopt;
}

} // namespace wasabispread::forwarding
