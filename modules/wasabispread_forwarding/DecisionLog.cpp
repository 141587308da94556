/*
 * The rate limits of the record classes and the JSON form of records.
 */
#include "wasabispread_forwarding.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace wasabispread::forwarding {

namespace {

/** Rate limits in records per second, and bursts in records. Writing one record
    takes about ten microseconds, so all limited classes together use well below
    a twentieth of a quarter of a core. kStateLimit is never reached. */
constexpr RecordRateLimit kRoutineLimit{ 40, 80 };
constexpr RecordRateLimit kNotableLimit{ 100, 400 };
constexpr RecordRateLimit kFailureLimit{ 200, 1000 };
constexpr RecordRateLimit kStateLimit{ 1e9, 1e9 };
/** The shortest time between two "lines-omitted" records. */
constexpr Duration kOmittedReportInterval = std::chrono::seconds(1);

} // namespace

bool
TakeToken(RecordTokenBucket& aBucket, TimePoint aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - aBucket.mRefilledAt).count();
  aBucket.mTokens =
    std::min(aBucket.mLimit.mBurst,
             aBucket.mTokens + seconds * aBucket.mLimit.mPerSecond);
  aBucket.mRefilledAt = aNow;
  if (aBucket.mTokens < 1) {
    ++aBucket.mOmitted;
    return false;
  }
  aBucket.mTokens -= 1;
  return true;
}

std::string
FormatDecisionRecord(const DecisionRecord& aRecord,
                     const std::string& aVm,
                     const std::string& aTime)
{
  nlohmann::ordered_json json;
  json["time"] = aTime;
  json["vm"] = aVm;
  json["event"] = aRecord.mEvent;
  if (!aRecord.mRequestId.Value().empty()) {
    json["request_id"] = aRecord.mRequestId.Value();
  }
  for (const RecordField& field : aRecord.mFields) {
    std::visit([&](const auto& aValue) { json[field.mName] = aValue; },
               field.mValue);
  }
  return json.dump(
    -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

DecisionLog::DecisionLog(LogWriter& aWriter, std::string aVm)
  : mWriter(aWriter)
  , mVm(std::move(aVm))
{
  const auto fill = [this](RecordClass aClass, RecordRateLimit aLimit) {
    RecordTokenBucket& bucket = mBuckets.at(static_cast<std::size_t>(aClass));
    bucket.mLimit = aLimit;
    bucket.mTokens = aLimit.mBurst;
  };
  fill(RecordClass::kRoutine, kRoutineLimit);
  fill(RecordClass::kNotable, kNotableLimit);
  fill(RecordClass::kFailure, kFailureLimit);
  fill(RecordClass::kState, kStateLimit);
}

void
DecisionLog::Write(const DecisionRecord& aRecord, TimePoint aNow)
{
  RecordTokenBucket& bucket =
    mBuckets.at(static_cast<std::size_t>(aRecord.mClass));
  if (TakeToken(bucket, aNow)) {
    mWriter.Write(FormatDecisionRecord(aRecord, mVm, WallClockText()));
  } else {
    ++mOmittedLines;
  }
  if (aNow - mReportedAt >= kOmittedReportInterval) {
    ReportOmittedLines(aNow);
  }
}

void
DecisionLog::ReportOmittedLines(TimePoint aNow)
{
  static constexpr const char* kNames[] = {
    "routine", "notable", "failure", "state"
  };
  mReportedAt = aNow;
  DecisionRecord report{ RecordClass::kState, "lines-omitted", {}, {} };
  for (std::size_t position = 0; position < mBuckets.size(); ++position) {
    RecordTokenBucket& bucket = mBuckets.at(position);
    if (bucket.mOmitted != 0) {
      report.mFields.push_back(
        { kNames[position], static_cast<std::int64_t>(bucket.mOmitted) });
      bucket.mOmitted = 0;
    }
  }
  if (!report.mFields.empty()) {
    mWriter.Write(FormatDecisionRecord(report, mVm, WallClockText()));
  }
}

} // namespace wasabispread::forwarding
