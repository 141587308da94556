/*
 * How many requests a target is given at a time, learned from what it does.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <cstdint>

namespace wasabispread {

/** A limit that grows while the target keeps its pace and shrinks when it
    sheds or slows down. A new target starts low, for its first requests are
    often slow, and its limit doubles with each round of answers. */
struct ConcurrencyLimit
{
  double mLimit = 4;
  bool mIsRamping = true;
  /** The median time from sending to reply, in nanoseconds; 0 before the
      first. */
  double mTypical = 0;
  /** The least median of late, in nanoseconds. */
  double mBest = 0;
  TimePoint mCutAt{};
};

/** How many requests may be in flight; at least 1. */
std::uint32_t
AllowedInFlight(const ConcurrencyLimit& aLimit);

/** Takes in an answer that took aTaken while aInFlight requests, this one
    included, were in flight. The limit never grows past aMost. */
void
ObserveAnswer(ConcurrencyLimit& aLimit,
              Duration aTaken,
              std::uint32_t aInFlight,
              std::uint32_t aMost,
              TimePoint aNow);

/** Takes in that the target refused a request or let it run out of time. */
void
ObserveOverload(ConcurrencyLimit& aLimit, TimePoint aNow);

/** What an owner weighs before it takes in an attempt. */
struct AdmissionLoad
{
  /** Attempts that wait for the same target. */
  std::uint32_t mWaiting = 0;
  /** Requests that the target is given at a time. */
  std::uint32_t mInFlight = 1;
  /** The mean time from sending to reply, in nanoseconds; 0 when unknown. */
  double mServiceTime = 0;
};

/** Whether an attempt can be answered within its budget. While the wait is
    short every attempt is admitted; beyond that the share refused rises with
    the wait. aDraw, from 0 up to 1, is the request's own: every owner that
    draws it from the request refuses the same requests, so that the attempts
    admitted belong to whole answers. */
bool
Admits(const AdmissionLoad& aLoad, Duration aBudget, double aDraw);

/** The draw that belongs to a request. */
double
AdmissionDraw(const RequestId& aRequest);

} // namespace wasabispread
