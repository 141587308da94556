/*
 * Limits how many requests a target is given at a time, based on its replies.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace wasabispread {

/** An adaptive limit on the requests in flight at a target. It grows while the
    target's latency is steady, and shrinks when the target sheds requests, lets
    them time out or becomes slower. A new target starts with a low limit,
    because its first requests are often slow; the limit doubles with each round
    of answers until the first sign of overload. Slowness is measured by
    comparing the median of a window of answers with a moving mean of earlier
    medians, so that neither single slow answers nor one fast first answer
    change the limit. */
struct ConcurrencyLimit
{
  static constexpr std::size_t kWindow = 32;

  double mLimit = 8;
  bool mIsRamping = true;
  /** Times from sending to reply, in nanoseconds; the first mFilled are
      valid. */
  std::array<float, kWindow> mTimes{};
  std::size_t mFilled = 0;
  /** Whether as many requests as the limit allows were in flight at some time
      in the current window. */
  bool mWasReached = false;
  /** The median of the last full window, in nanoseconds; 0 before the first. */
  double mLastMedian = 0;
  /** Exponential moving mean of the medians, in nanoseconds; 0 before the
      first. */
  double mMeanMedian = 0;
  /** When the limit was last reduced after an overload. */
  TimePoint mReducedAt{};
};

/** How many requests may be in flight; at least 1. */
std::uint32_t
AllowedInFlight(const ConcurrencyLimit& aLimit);

/** Records an answer that took aElapsed while aInFlight requests, this one
    included, were in flight. The limit never exceeds aMaxLimit. */
void
ObserveAnswer(ConcurrencyLimit& aLimit,
              Duration aElapsed,
              std::uint32_t aInFlight,
              std::uint32_t aMaxLimit);

/** Records that the target refused a request or let it time out. */
void
ObserveOverload(ConcurrencyLimit& aLimit, TimePoint aNow);

/** The load of a target, by which its owner decides whether to admit an
    attempt. */
struct AdmissionLoad
{
  /** Attempts that wait for the same target. */
  std::uint32_t mWaiting = 0;
  /** The maximum number of requests that the target is given at a time. */
  std::uint32_t mInFlight = 1;
  /** The mean time from sending to reply, in nanoseconds; 0 when unknown. */
  double mServiceTime = 0;
};

/** Whether an attempt is likely to be answered within its budget. While the
    expected wait is short, every attempt is admitted; beyond that, the share
    refused rises with the wait. aDraw, from 0 up to 1, is derived from the
    request: every owner computes the same value and refuses the same requests,
    so that the attempts admitted belong to complete answers. */
bool
Admits(const AdmissionLoad& aLoad, Duration aBudget, double aDraw);

/** The value, from 0 up to 1, that every owner derives from a request's id for
    Admits(). */
double
AdmissionDraw(const RequestId& aRequest);

} // namespace wasabispread
