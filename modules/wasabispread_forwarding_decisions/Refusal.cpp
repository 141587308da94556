/*
 * Checks before a request is taken.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** A daemon that has just started knows its routes and targets this soon. */
constexpr Duration kStartRetry = std::chrono::milliseconds(250);
/** Targets that are missing come back by their next registration. */
constexpr Duration kNoTargetRetry = std::chrono::milliseconds(400);

std::size_t
ServedShards(const ForwarderState& aState, const Route& aRoute)
{
  return static_cast<std::size_t>(std::count_if(
    aRoute.mShards.begin(), aRoute.mShards.end(), [&](ServiceId aShard) {
      const auto targets = aState.mTargetsOfService.find(aShard);
      return targets != aState.mTargetsOfService.end() &&
             !targets->second.empty();
    }));
}

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
CheckRequest(const ForwarderState& aState, const ForwardedRequest& aRequest)
{
  if (aState.mConfiguration == nullptr ||
      !aState.mStore.Area(StoreArea::kTargets).mIsLoaded) {
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
  if (aRequest.mPatience && *aRequest.mPatience <= Duration::zero()) {
    return Problem{ ProblemKind::kBadRequest,
                    "the request leaves no time for an answer",
                    "send a positive number of milliseconds",
                    std::nullopt };
  }
  if (route->IsSearch()) {
    const auto shards = static_cast<double>(route->mShards.size());
    const std::size_t served = ServedShards(aState, *route);
    if (served == 0 ||
        static_cast<double>(served) < route->mLeastCoverage * shards) {
      return NotRunProblem("too few shards have a target", kNoTargetRetry);
    }
  }
  return std::nullopt;
}

} // namespace wasabispread::forwarding
