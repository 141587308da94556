/*
 * Bounds how fast the load of a target that asked for a pause moves to the
 * other targets of its service.
 *
 * A pause usually means too much load, and the other targets get as much. If
 * one of them got the whole load of the one in the pause at once, it would ask
 * for a pause next, until all do. So each of them takes a little more than
 * before at first, then more with time while it refuses nothing. What does not
 * fit is refused at once as not run. A target whose pause is over begins with a
 * part of its former load, for the same reason.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

namespace wasabispread::forwarding {

/** The rate at which requests were sent, weighted towards recent ones. */
struct SendRate
{
  /** The requests sent since mBegin, each weighted by its age as of mTime, per
      second. */
  double mWeighted = 0;
  TimePoint mTime{};
  /** When the first request was sent, or the first one after a long break. */
  TimePoint mBegin{};
};

/** A bound on the requests per second that this VM sends to a target; none when
    mUsual is 0. */
struct LoadPace
{
  /** The target's requests per second before. */
  double mUsual = 0;
  /** The bound in requests per second as of mRateTime. */
  double mRate = 0;
  TimePoint mRateTime{};
  /** The requests that could be sent at mAllowanceTime. */
  double mAllowance = 0;
  TimePoint mAllowanceTime{};
};

/** The present rate in requests per second. */
double
RateAt(const SendRate& aRate, TimePoint aNow);

/** Counts a request that is going to be sent. */
void
CountSent(SendRate& aRate, LoadPace& aPace, TimePoint aNow);

/** Bounds a target's rate because another target of its service is in a pause;
    no effect while it is bounded already. aUsualRate is its present rate in
    requests per second. */
void
BeginTakeover(LoadPace& aPace, double aUsualRate, TimePoint aNow);

/** Bounds a target's rate because its pause is over. aUsualRate is its rate
    before the pause. */
void
BeginReturn(LoadPace& aPace, double aUsualRate, TimePoint aNow);

/** Lowers the bound because the target refused a request. */
void
RecordRefusal(LoadPace& aPace, TimePoint aNow);

/** How long until the bound lets a request be sent; zero when it does now. */
Duration
WaitForPace(const LoadPace& aPace, TimePoint aNow);

} // namespace wasabispread::forwarding
