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
/** Retry delay after a refusal that only another configuration can change. */
constexpr Duration kConfigurationRetry = std::chrono::seconds(5);

std::optional<Problem>
CheckOwner(ForwarderState const& aState,
           const ForwardedRequest& aRequest,
           const Route& aRoute,
           TimePoint aNow)
{
  const KeyDecision decision = DecideKey(aState, aRequest, aRoute, aNow);
  if (decision.mVerdict == KeyVerdict::kUnauthorised) {
    return Problem{ ProblemKind::kUnauthorised,
                    decision.mReason,
                    "send the key of an organisation, once, as the access "
                    "rules of this service say",
                    std::nullopt };
  }
  if (decision.mVerdict == KeyVerdict::kKnowledgeTooOld) {
    Problem problem = NotRunProblem(decision.mReason, kOtherVmRetry);
    problem.mClosesConnection = true;
    return problem;
  }
  if (decision.mVerdict == KeyVerdict::kUndecided) {
    return NotRunProblem(decision.mReason, kConfigurationRetry);
  }
  if (OwnerOf(*aState.mConfiguration, aRoute, decision.mOrganisation)
        .mHasNoRegion) {
    return NotRunProblem("the route and the organisation have no allowed "
                         "region in common",
                         kConfigurationRetry);
  }
  return std::nullopt;
}

} // namespace

KeyDecision
DecideKey(const ForwarderState& aState,
          const ForwardedRequest& aRequest,
          const Route& aRoute,
          TimePoint aNow)
{
  const auto& organisations = aState.mConfiguration->mOrganisations;
  return organisations ? CheckKey(*organisations,
                                  aRequest.mKey,
                                  aRoute.mIsPublic,
                                  SoundAge(aState, aNow),
                                  aState.mPolicy.mKnowledgeRule)
                       : KeyDecision{};
}

bool
RefusesKeys(const ForwarderState& aState, TimePoint aNow)
{
  const KnowledgeRule& rule = aState.mPolicy.mKnowledgeRule;
  return rule.mIsStrict && aState.mConfiguration != nullptr &&
         aState.mConfiguration->mOrganisations &&
         SoundAge(aState, aNow) >= UsableAge(rule);
}

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
  const bool mayHaveRoute = aState.mConfiguration->mHasUnplacedRoutes ||
                            aState.mStore.mIsConfigurationUnreadable;
  if (route == nullptr && mayHaveRoute) {
    return NotRunProblem("the request may be meant for a route that cannot be "
                         "read from the configuration",
                         kConfigurationRetry);
  }
  if (route == nullptr) {
    return Problem{ ProblemKind::kNoRoute,
                    "no route of host \"" + aRequest.mHost +
                      "\" matches the path",
                    "check the host and the path, or add a route",
                    std::nullopt };
  }
  if (route->mIsUnreadable) {
    return NotRunProblem("the route cannot be read from the configuration",
                         kConfigurationRetry);
  }
  if (auto problem = CheckOwner(aState, aRequest, *route, aNow)) {
    return problem;
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
