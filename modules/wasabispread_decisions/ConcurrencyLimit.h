/*
 * How many requests a target is given at a time, learned from what it does.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace wasabispread {

/** A limit that grows while the target keeps its pace and shrinks when it
    sheds, lets requests run out of time or slows down. A new target starts
    low, for its first requests are often slow, and its limit doubles with each
    round of answers. Slowness is judged by the median of a window of answers
    against a mean of earlier medians, so that neither stragglers nor a lucky
    first answer count. */
struct ConcurrencyLimit
{
  static constexpr std::size_t kWindow = 32;

  double mLimit = 8;
  bool mIsRamping = true;
  /** Times from sending to reply, in nanoseconds; the first mFilled count. */
  std::array<float, kWindow> mTimes{};
  std::size_t mFilled = 0;
  /** Whether the limit was reached within the window. */
  bool mWasReached = false;
  /** The last window's median, in nanoseconds; 0 before the first. */
  double mLastMedian = 0;
  /** The mean of medians, slow to change; 0 before the first. */
  double mMeanMedian = 0;
  TimePoint mReducedAt{};
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
              std::uint32_t aMost);

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
