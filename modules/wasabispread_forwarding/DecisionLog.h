/*
 * Writes the forwarder's decision records as JSON lines, at a limited rate.
 */
#pragma once

#include <wasabispread_forwarding_decisions/wasabispread_forwarding_decisions.h>
#include <wasabispread_telemetry/wasabispread_telemetry.h>

#include <array>
#include <string>

namespace wasabispread::forwarding {

/** How many records of a class are written: a rate and a burst. */
struct RecordRateLimit
{
  /** Records per second. */
  double mPerSecond = 0;
  /** The maximum number of records that are written at once after a pause. */
  double mBurst = 0;
};

/** The token bucket that limits the records of one class. */
struct RecordTokenBucket
{
  RecordRateLimit mLimit;
  double mTokens = 0;
  TimePoint mRefilledAt{};
  /** Records that were not written since the last "lines-omitted" record. */
  std::uint64_t mOmitted = 0;
};

/** Refills the bucket up to aNow and takes one token. Returns false, and counts
    an omitted record, when no whole token is left. */
bool
TakeToken(RecordTokenBucket& aBucket, TimePoint aNow);

/** Formats a record as one JSON object without a line end. aVm is the name of
    this VM, aTime the wall-clock time that the record states. */
std::string
FormatDecisionRecord(const DecisionRecord& aRecord,
                     const std::string& aVm,
                     const std::string& aTime);

/** Writes records of each class up to its rate limit. Of the limited classes,
    failures have the highest limit; changes of state are always written.
    Omitted records are counted, and the counts are written to the log. */
class DecisionLog
{
public:
  /** aWriter must outlive the log. aVm is the name of this VM. */
  DecisionLog(LogWriter& aWriter, std::string aVm);

  void Write(const DecisionRecord& aRecord, TimePoint aNow);

  /** The number of records omitted since the start. */
  std::uint64_t OmittedLines() const { return mOmittedLines; }

private:
  void ReportOmittedLines(TimePoint aNow);

  LogWriter& mWriter;
  std::string mVm;
  std::array<RecordTokenBucket, 4> mBuckets;
  TimePoint mReportedAt{};
  std::uint64_t mOmittedLines = 0;
};

} // namespace wasabispread::forwarding
