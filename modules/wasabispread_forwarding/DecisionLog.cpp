/*
 * Allowances and the JSON form of lines.
 */
#include "wasabispread_forwarding.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace wasabispread::forwarding {

namespace {

/** A line takes some ten microseconds: the sum of the rates is well below a
    twentieth of a quarter of a core. */
constexpr LineAllowance kRoutineLines{ 40, 80 };
constexpr LineAllowance kNotableLines{ 100, 400 };
constexpr LineAllowance kFailureLines{ 200, 1000 };
constexpr LineAllowance kStateLines{ 1e9, 1e9 };
constexpr Duration kReportInterval = std::chrono::seconds(1);

} // namespace

bool
TakeLine(LineBucket& aBucket, TimePoint aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - aBucket.mFilled).count();
  aBucket.mLeft =
    std::min(aBucket.mAllowance.mBurst,
             aBucket.mLeft + seconds * aBucket.mAllowance.mPerSecond);
  aBucket.mFilled = aNow;
  if (aBucket.mLeft < 1) {
    ++aBucket.mOmitted;
    return false;
  }
  aBucket.mLeft -= 1;
  return true;
}

std::string
FormatLine(const DecisionRecord& aLine,
           const std::string& aVm,
           const std::string& aTime)
{
  nlohmann::ordered_json line;
  line["time"] = aTime;
  line["vm"] = aVm;
  line["event"] = aLine.mEvent;
  if (!aLine.mRequestId.Value().empty()) {
    line["request_id"] = aLine.mRequestId.Value();
  }
  for (const RecordField& field : aLine.mFields) {
    std::visit([&](const auto& aValue) { line[field.mName] = aValue; },
               field.mValue);
  }
  return line.dump(
    -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

DecisionLog::DecisionLog(LogWriter& aWriter, std::string aVm)
  : mWriter(aWriter)
  , mVm(std::move(aVm))
{
  const auto fill = [this](RecordClass aClass, LineAllowance aAllowance) {
    LineBucket& bucket = mBuckets.at(static_cast<std::size_t>(aClass));
    bucket.mAllowance = aAllowance;
    bucket.mLeft = aAllowance.mBurst;
  };
  fill(RecordClass::kRoutine, kRoutineLines);
  fill(RecordClass::kNotable, kNotableLines);
  fill(RecordClass::kFailure, kFailureLines);
  fill(RecordClass::kState, kStateLines);
}

void
DecisionLog::Write(const DecisionRecord& aLine, TimePoint aNow)
{
  LineBucket& bucket = mBuckets.at(static_cast<std::size_t>(aLine.mClass));
  if (TakeLine(bucket, aNow)) {
    mWriter.Write(FormatLine(aLine, mVm, WallClockText()));
  } else {
    ++mOmittedLines;
  }
  if (aNow - mReported >= kReportInterval) {
    ReportOmitted(aNow);
  }
}

void
DecisionLog::ReportOmitted(TimePoint aNow)
{
  static constexpr const char* kNames[] = {
    "routine", "notable", "failure", "state"
  };
  mReported = aNow;
  DecisionRecord report{ RecordClass::kState, "lines-omitted", {}, {} };
  for (std::size_t position = 0; position < mBuckets.size(); ++position) {
    LineBucket& bucket = mBuckets.at(position);
    if (bucket.mOmitted != 0) {
      report.mFields.push_back(
        { kNames[position], static_cast<std::int64_t>(bucket.mOmitted) });
      bucket.mOmitted = 0;
    }
  }
  if (!report.mFields.empty()) {
    mWriter.Write(FormatLine(report, mVm, WallClockText()));
  }
}

} // namespace wasabispread::forwarding
