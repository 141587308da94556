/*
 * How much time a VM keeps in reserve before an answer is due. A VM with a
 * small processor share takes a noticeable part of a soft timeout to notice
 * that an answer is due, to merge many parts and to write the answer; so does
 * a shard owner that reports its results. The reserve is a high quantile of
 * the delays that this VM measured. This handles searches over many shards on
 * small or busy VMs.
 *
 * A reserve that leaves no time for a search would also end its measurement.
 * So delays count for a limited time, and what this VM did not do because its
 * process stood still is not measured: no reserve helps against that.
 */
#pragma once

#include "HoldUp.h"
#include "Message.h"

#include <unordered_map>
#include <vector>

namespace wasabispread::forwarding {

struct MeasuredDelay
{
  Duration mDelay{};
  TimePoint mMeasured{};
};

/** The last delays measured. Invariant: mNext is the position of the oldest one
    once the window is full. */
struct DelayWindow
{
  /** What is assumed where too few delays were measured lately. */
  Duration mEstimate{};
  std::vector<MeasuredDelay> mDelays;
  std::size_t mNext = 0;
};

/** A window that holds only an estimate, as if it had been measured. */
DelayWindow
MakeDelayWindow(Duration aEstimate);

void
AddDelay(DelayWindow& aWindow, Duration aDelay, TimePoint aNow);

/** The delay that nine of ten do not exceed of those measured in the last half
    minute. */
Duration
HighDelay(const DelayWindow& aWindow, TimePoint aNow);

/** An answer in part that was handed to the runtime but is not written yet. */
struct UnwrittenAnswer
{
  /** When it was due. */
  TimePoint mDue{};
  std::size_t mParts = 0;
};

/** The delays measured by one VM. */
struct AnswerReserve
{
  /** From the time when an answer was due until it was written, per unit of
      work; see WorkUnits(). */
  DelayWindow mAnswerPerUnit;
  /** By how much the reports of shard owners arrive later than they were asked
      for: those in this VM's zone, and those in other zones. */
  DelayWindow mReportInZone;
  DelayWindow mReportFromOtherZone;
  std::unordered_map<CallerToken, UnwrittenAnswer> mUnwritten;
};

/** The reserve of a VM that has not measured anything yet, estimated from its
    share of a processor core. */
AnswerReserve
MakeAnswerReserve(double aProcessorShare);

/** The time to reserve for merging and writing an answer of this many parts,
    and for jitter on the way to the caller. */
Duration
ReserveForAnswer(const AnswerReserve& aReserve,
                 std::size_t aParts,
                 TimePoint aNow);

/** The time to reserve for the report of a shard owner. */
Duration
ReserveForReport(const AnswerReserve& aReserve, bool aIsInZone, TimePoint aNow);

/** Records that an answer in part was due at aDue; AnswerWritten ends the
    measurement. */
void
StartAnswerMeasurement(AnswerReserve& aReserve,
                       CallerToken aToken,
                       std::size_t aParts,
                       TimePoint aDue);

/** Records that an answer was written. The time of aHoldUp is not measured. */
void
HandleAnswerWritten(AnswerReserve& aReserve,
                    CallerToken aToken,
                    const HoldUp& aHoldUp,
                    TimePoint aNow);

} // namespace wasabispread::forwarding
