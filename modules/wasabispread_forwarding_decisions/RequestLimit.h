/*
 * Keeps to the limit on requests that a target in need names in its replies.
 * The limit is one for all VMs together, and may be less than one request a
 * second for each.
 *
 * The VMs that query the target share it without messages: from the membership
 * each one computes the same senders, and gets an equal part of the rate. No
 * more VMs become senders than the limit has room for when each sends one
 * request at once. The others send rarely, only to learn whether the limit
 * still holds.
 */
#pragma once

#include "ForwarderEffect.h"

#include <optional>

namespace wasabispread::forwarding {

struct ForwarderState;
struct TargetState;

/** By how much the requests of a second may exceed the rate that a cold target
    takes from all VMs: by a factor and by a number. */
struct ColdRule
{
  double mOverage = 1;
  double mSlack = 0;
};

/** A target's limit as its last reply named it, and this VM's part of it. */
struct RequestLimit
{
  /** The requests per second that it takes from all VMs together; none when it
      names no limit. */
  std::optional<double> mPerSecond;
  /** The requests per second that this VM may send. */
  double mRate = 0;
  /** The most requests that this VM may send at once after a pause. */
  double mCapacity = 1;
  /** The requests that this VM could send at mAllowanceTime; negative after
      requests that were sent before the limit was known. */
  double mAllowance = 0;
  TimePoint mAllowanceTime{};
};

/** Records the limit that a reply names, or that it names none. */
void
RecordLimit(ForwarderState& aState,
            TargetState& aTarget,
            const Reply& aReply,
            TimePoint aNow,
            ForwarderEffects& aEffects);

/** Recomputes this VM's part of a target's limit. */
void
RefreshLimit(ForwarderState& aState, TargetState& aTarget, TimePoint aNow);

/** Recomputes this VM's part of the rate that the configuration names for the
    target while it is cold, and logs when it begins to hold. */
void
RefreshColdLimit(ForwarderState& aState,
                 TargetState& aTarget,
                 TimePoint aNow,
                 ForwarderEffects& aEffects);

/** How many targets are cold and get no more than the named rate. */
std::size_t
CountCold(const ForwarderState& aState, TimePoint aNow);

/** How long until the target's limit lets this VM send a request; zero when it
    may send one now. */
Duration
WaitForAllowance(const RequestLimit& aLimit, TimePoint aNow);

/** As WaitForAllowance(), for the limit of a cold target; zero once it is
    warm. */
Duration
WaitForColdLimit(const TargetState& aTarget, TimePoint aNow);

/** Counts a request that is going to be sent. */
void
TakeAllowance(RequestLimit& aLimit, TimePoint aNow);

} // namespace wasabispread::forwarding
