/*
 * Plans a stop and applies the plan to requests.
 */
#include "RequestSteps.h"

#include <algorithm>
#include <cassert>

namespace wasabispread::forwarding {

namespace {

/** The share of the grace during which every request is accepted. */
constexpr double kAcceptAllShare = 0.5;
/** The time left unused at the end of the grace, so that the process ends
    before it is killed, and the time for writing the last answers, which only
    a process that was held up and callers that read late use up. Both are
    shorter when the grace is short. */
constexpr Duration kExitMargin = std::chrono::milliseconds(150);
constexpr Duration kAnswerMargin = std::chrono::milliseconds(350);
constexpr int kExitMarginDivisor = 12;
constexpr int kAnswerMarginDivisor = 3;
/** One over the share of the grace that is left after the longest hold-up. */
constexpr int kMinGraceDivisor = 8;

} // namespace

Duration
GraceLeft(Duration aGrace, TimePoint aNotBefore, TimePoint aNow)
{
  assert(aNotBefore <= aNow);
  return std::max(aGrace - (aNow - aNotBefore), aGrace / kMinGraceDivisor);
}

StopPlan
PlanStop(Duration aGrace, TimePoint aNow)
{
  StopPlan plan;
  plan.mAcceptAllUntil =
    aNow + Duration(static_cast<std::int64_t>(
             kAcceptAllShare * static_cast<double>(aGrace.count())));
  plan.mExit =
    aNow + aGrace - std::min(kExitMargin, aGrace / kExitMarginDivisor);
  plan.mLastAnswer =
    plan.mExit - std::min(kAnswerMargin, aGrace / kAnswerMarginDivisor);
  return plan;
}

TimePoint
BeforeExit(const std::optional<StopPlan>& aStop, TimePoint aDeadline)
{
  return aStop ? std::min(aDeadline, aStop->mLastAnswer) : aDeadline;
}

std::optional<Problem>
RefuseWhileStopping(const std::optional<StopPlan>& aStop,
                    TimePoint aDeadline,
                    TimePoint aNow)
{
  if (!aStop || aNow < aStop->mAcceptAllUntil ||
      aDeadline <= aStop->mLastAnswer) {
    return std::nullopt;
  }
  Problem problem = NotRunProblem(
    "this VM is stopping and may end before the request does", kOtherVmRetry);
  problem.mClosesConnection = true;
  return problem;
}

void
ShortenDeadlines(ForwarderState& aState, TimePoint aNow)
{
  for (auto& [key, request] : aState.mRequests) {
    request.mDeadline = BeforeExit(aState.mStop, request.mDeadline);
    request.mSoftDeadline = BeforeExit(aState.mStop, request.mSoftDeadline);
    ArmReview(aState, request, aNow);
  }
}

} // namespace wasabispread::forwarding
