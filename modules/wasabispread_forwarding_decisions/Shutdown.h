/*
 * The course of a planned stop: which requests are still accepted, and when the
 * last ones are answered.
 */
#pragma once

#include "Message.h"

#include <optional>

namespace wasabispread::forwarding {

struct ForwarderState;

/** When a stop takes which step. Invariant: mAcceptAllUntil <= mLastAnswer <=
    mExit. */
struct StopPlan
{
  /** Until when every request is accepted: the load balancer needs some time to
      direct callers to other VMs. */
  TimePoint mAcceptAllUntil{};
  /** When the requests that are still in progress are answered, so that no
      connection closes without an answer. */
  TimePoint mLastAnswer{};
  /** When the process ends even if answers are not written yet. */
  TimePoint mExit{};
};

/** What is left of a stop's grace when the signal is handled at aNow. It was
    not sent before aNotBefore, but may have been at any time since; the grace
    counts from there. A small part is left in any case. */
Duration
GraceLeft(Duration aGrace, TimePoint aNotBefore, TimePoint aNow);

/** Divides the time that the stop may take. */
StopPlan
PlanStop(Duration aGrace, TimePoint aNow);

/** Ends a deadline before the process ends. */
TimePoint
BeforeExit(const std::optional<StopPlan>& aStop, TimePoint aDeadline);

/** The refusal of a request that may need longer than the stop leaves; none
    when it is accepted. A request that is refused has not run, so that its
    caller can send it to another VM. aDeadline is the request's own. */
std::optional<Problem>
RefuseWhileStopping(const std::optional<StopPlan>& aStop,
                    TimePoint aDeadline,
                    TimePoint aNow);

/** Lets the requests in progress be answered before the process ends. */
void
ShortenDeadlines(ForwarderState& aState, TimePoint aNow);

} // namespace wasabispread::forwarding
