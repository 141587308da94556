/*
 * The forwarder's log: JSON lines, bounded in volume.
 */
#pragma once

#include <wasabispread_forwarding_decisions/wasabispread_forwarding_decisions.h>
#include <wasabispread_telemetry/wasabispread_telemetry.h>

#include <array>
#include <string>

namespace wasabispread::forwarding {

/** How many lines of a class are written: a rate and a burst. */
struct LineAllowance
{
  double mPerSecond = 0;
  double mBurst = 0;
};

/** Lines of one class that may still be written. */
struct LineBucket
{
  LineAllowance mAllowance;
  double mLeft = 0;
  TimePoint mFilled{};
  /** Lines left out since the last report. */
  std::uint64_t mOmitted = 0;
};

/** Takes one line from the bucket; false when it is empty. */
bool
TakeLine(LineBucket& aBucket, TimePoint aNow);

/** One line as a JSON object, without a line end. aTime is the wall-clock time
    to show. */
std::string
FormatLine(const DecisionRecord& aLine,
           const std::string& aVm,
           const std::string& aTime);

/** Writes lines of each class up to its allowance. Lines that explain a failure
    have the largest one, and changes of state are always written. What is left
    out is counted, and the counts are written. */
class DecisionLog
{
public:
  DecisionLog(LogWriter& aWriter, std::string aVm);

  void Write(const DecisionRecord& aLine, TimePoint aNow);

  /** Lines left out since the start. */
  std::uint64_t OmittedLines() const { return mOmittedLines; }

private:
  void ReportOmitted(TimePoint aNow);

  LogWriter& mWriter;
  std::string mVm;
  std::array<LineBucket, 4> mBuckets;
  TimePoint mReported{};
  std::uint64_t mOmittedLines = 0;
};

} // namespace wasabispread::forwarding
