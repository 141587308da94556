/*
 * Formats the fields of each kind of log line.
 */
#include "wasabispread_telemetry.h"

#include <ctime>

#include <nlohmann/json.hpp>

namespace wasabispread {

namespace {

using Json = nlohmann::ordered_json;

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/** Adds the fields that are specific to one kind of record to a line. An id
    without a known name is written as its number. */
struct FieldWriter
{
  const VmState& mState;
  Json& mJson;

  std::string VmName(VmId aVm) const
  {
    const VmRecord* member = FindMember(mState.mMembership, aVm);
    return member == nullptr ? std::to_string(aVm.Value()) : member->mName;
  }

  std::string ServiceName(ServiceId aService) const
  {
    const DeploymentPointer& deployment = mState.mConfiguration.mDeployment;
    const Service* service =
      deployment == nullptr ? nullptr : deployment->FindService(aService);
    return service == nullptr ? std::to_string(aService.Value())
                              : service->mName;
  }

  std::string TargetName(TargetId aTarget) const
  {
    const DeploymentPointer& deployment = mState.mConfiguration.mDeployment;
    const Target* target =
      deployment == nullptr ? nullptr : deployment->FindTarget(aTarget);
    return target == nullptr ? std::to_string(aTarget.Value()) : target->mName;
  }

  void operator()(const QueryPlanned& aRecord)
  {
    mJson["event"] = "query-planned";
    mJson["request_id"] = aRecord.mRequestId.Value();
    mJson["service"] = ServiceName(aRecord.mService);
    mJson["operation"] = ToText(aRecord.mOperation);
    mJson["revision"] = aRecord.mRevision.Value();
    mJson["snapshot"] = aRecord.mSnapshot.Value();
    mJson["budget_ms"] = ToMilliseconds(aRecord.mBudget);
    mJson["unroutable"] = aRecord.mUnroutable;
    Json::array_t batches;
    batches.reserve(aRecord.mBatches.size());
    for (const PlannedBatch& batch : aRecord.mBatches) {
      Json& line = batches.emplace_back(Json::object());
      line["owner"] = VmName(batch.mTargetOwner);
      line["items"] = batch.mItems;
    }
    mJson["batches"] = std::move(batches);
  }

  void operator()(const QueryAnswered& aRecord)
  {
    mJson["event"] = "query-answered";
    mJson["request_id"] = aRecord.mRequestId.Value();
    mJson["snapshot"] = aRecord.mSnapshot.Value();
    mJson["shards"] = aRecord.mShardsAsked;
    mJson["answered"] = aRecord.mShardsAnswered;
    mJson["elapsed_ms"] = ToMilliseconds(aRecord.mElapsed);
    if (!aRecord.mError.empty()) {
      mJson["error"] = aRecord.mError;
    }
  }

  void operator()(const AttemptRetried& aRecord)
  {
    mJson["event"] = "attempt-retried";
    mJson["request_id"] = aRecord.mRequestId.Value();
    mJson["shard"] = aRecord.mShard.Value();
    mJson["from"] = TargetName(aRecord.mFrom);
    mJson["to"] = TargetName(aRecord.mTo);
    mJson["reason"] = ToText(aRecord.mReason);
  }

  void operator()(const RequestRefused& aRecord)
  {
    mJson["event"] = "request-refused";
    mJson["request_id"] = aRecord.mRequestId.Value();
    mJson["service"] = aRecord.mService;
    mJson["error"] = aRecord.mError;
  }

  void operator()(const ConfigurationAdopted& aRecord)
  {
    mJson["event"] = "configuration-adopted";
    mJson["revision"] = aRecord.mRevision.Value();
    mJson["previous"] = aRecord.mPrevious.Value();
    mJson["change_id"] = aRecord.mChangeId;
  }

  void operator()(const ConfigurationRejected& aRecord)
  {
    mJson["event"] = "configuration-rejected";
    mJson["revision"] = aRecord.mRevision.Value();
    mJson["current"] = aRecord.mCurrent.Value();
    mJson["reason"] = aRecord.mReason;
  }

  void operator()(const MembershipChanged& aRecord)
  {
    mJson["event"] = "membership-changed";
    mJson["live"] = aRecord.mLive;
    mJson["leaving"] = aRecord.mLeaving;
  }

  void operator()(const MemberConditionChanged& aRecord)
  {
    mJson["event"] = "member-condition-changed";
    mJson["member"] = VmName(aRecord.mVm);
    mJson["condition"] = ToText(aRecord.mCondition);
  }

  void operator()(const OwnerAvoided& aRecord)
  {
    mJson["event"] = "owner-avoided";
    mJson["owner"] = VmName(aRecord.mTargetOwner);
    mJson["reason"] = ToText(aRecord.mReason);
  }

  void operator()(const ShareChanged& aRecord)
  {
    mJson["event"] = "share-changed";
    mJson["service"] = ServiceName(aRecord.mService);
    mJson["zone"] = aRecord.mZone.Value();
    mJson["group"] = std::to_string(aRecord.mGroup);
    mJson["previous"] = aRecord.mPrevious;
    mJson["share"] = aRecord.mShare;
  }

  void operator()(const TargetWorkSuspended& aRecord)
  {
    mJson["event"] =
      aRecord.mIsSuspended ? "target-work-suspended" : "target-work-resumed";
    mJson["target"] = TargetName(aRecord.mTarget);
  }

  void operator()(const PauseDetected& aRecord)
  {
    mJson["event"] = "pause-detected";
    mJson["length_ms"] = ToMilliseconds(aRecord.mLength);
  }

  void operator()(const AttemptsHedged& aRecord)
  {
    mJson["event"] = "attempts-hedged";
    mJson["request_id"] = aRecord.mRequestId.Value();
    mJson["after_ms"] = ToMilliseconds(aRecord.mDelay);
    mJson["hedges"] = Json::array();
    for (const HedgedShard& hedge : aRecord.mHedges) {
      mJson["hedges"].push_back({ { "shard", hedge.mShard.Value() },
                                  { "from", TargetName(hedge.mFrom) },
                                  { "to", TargetName(hedge.mTo) } });
    }
  }

  void operator()(const ExtraAttemptBudgetExhausted& aRecord)
  {
    constexpr double kPercent = 100;
    mJson["event"] = "extra-attempt-budget-exhausted";
    mJson["request_id"] = aRecord.mRequestId.Value();
    mJson["service"] = ServiceName(aRecord.mService);
    mJson["extra_load_percent"] = aRecord.mExtraLoad * kPercent;
  }

  void operator()(const TargetEjected& aRecord)
  {
    mJson["event"] = "target-ejected";
    mJson["target"] = TargetName(aRecord.mTarget);
    mJson["reason"] = ToText(aRecord.mReason);
    mJson["failures"] = aRecord.mFailures;
  }

  void operator()(const TargetRestored& aRecord)
  {
    mJson["event"] = "target-restored";
    mJson["target"] = TargetName(aRecord.mTarget);
  }

  void operator()(const SnapshotChanged& aRecord)
  {
    mJson["event"] = "snapshot-changed";
    mJson["request_id"] = aRecord.mRequestId.Value();
    mJson["from"] = aRecord.mFrom.Value();
    mJson["to"] = aRecord.mTo.Value();
    mJson["shards_queried_again"] = aRecord.mAskedAgain;
  }

  void operator()(const ClaimDecided& aRecord)
  {
    mJson["event"] = "claim-decided";
    mJson["request_id"] = aRecord.mRequestId.Value();
    mJson["service"] = aRecord.mService;
    mJson["decision"] = ToText(aRecord.mDecision);
  }
};

std::string_view
LevelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "";
}

} // namespace

std::string
FormatRecord(const DecisionRecord& aRecord,
             const VmState& aState,
             const std::string& aTime)
{
  Json line;
  line["time"] = aTime;
  line["level"] = LevelName(LevelOf(aRecord));
  line["vm"] = aState.mSelf.mName;
  std::visit(FieldWriter{ aState, line }, aRecord);
  return Dump(line);
}

LogLevel
LevelOf(const DecisionRecord& aRecord)
{
  const bool isWarning =
    std::holds_alternative<ConfigurationRejected>(aRecord) ||
    std::holds_alternative<ExtraAttemptBudgetExhausted>(aRecord) ||
    std::holds_alternative<TargetEjected>(aRecord);
  return isWarning ? LogLevel::kWarning : LogLevel::kInfo;
}

std::string
WallClockText()
{
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      now.time_since_epoch())
      .count() %
    1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char date[32];
  char text[48];
  std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(
    text, sizeof text, "%s.%03dZ", date, static_cast<int>(milliseconds));
  return text;
}

std::string
FormatMessage(LogLevel aLevel,
              const std::string& aVm,
              const std::string& aMessage,
              const std::string& aTime)
{
  Json line;
  line["time"] = aTime;
  line["level"] = LevelName(aLevel);
  line["vm"] = aVm;
  line["event"] = "message";
  line["message"] = aMessage;
  return Dump(line);
}

} // namespace wasabispread
