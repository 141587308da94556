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
  Json& mLine;

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
    mLine["event"] = "query-planned";
    mLine["request_id"] = aRecord.mRequestId.Value();
    mLine["service"] = ServiceName(aRecord.mService);
    mLine["operation"] = ToText(aRecord.mOperation);
    mLine["revision"] = aRecord.mRevision.Value();
    mLine["snapshot"] = aRecord.mSnapshot.Value();
    mLine["budget_ms"] = ToMilliseconds(aRecord.mBudget);
    mLine["unroutable"] = aRecord.mUnroutable;
    Json::array_t batches;
    batches.reserve(aRecord.mBatches.size());
    for (const PlannedBatch& batch : aRecord.mBatches) {
      Json& line = batches.emplace_back(Json::object());
      line["owner"] = VmName(batch.mTargetOwner);
      line["items"] = batch.mItems;
    }
    mLine["batches"] = std::move(batches);
  }

  void operator()(const QueryAnswered& aRecord)
  {
    mLine["event"] = "query-answered";
    mLine["request_id"] = aRecord.mRequestId.Value();
    mLine["snapshot"] = aRecord.mSnapshot.Value();
    mLine["shards"] = aRecord.mShardsAsked;
    mLine["answered"] = aRecord.mShardsAnswered;
    mLine["elapsed_ms"] = ToMilliseconds(aRecord.mElapsed);
    if (!aRecord.mError.empty()) {
      mLine["error"] = aRecord.mError;
    }
  }

  void operator()(const AttemptRetried& aRecord)
  {
    mLine["event"] = "attempt-retried";
    mLine["request_id"] = aRecord.mRequestId.Value();
    mLine["shard"] = aRecord.mShard.Value();
    mLine["from"] = TargetName(aRecord.mFrom);
    mLine["to"] = TargetName(aRecord.mTo);
    mLine["reason"] = ToText(aRecord.mReason);
  }

  void operator()(const RequestRefused& aRecord)
  {
    mLine["event"] = "request-refused";
    mLine["request_id"] = aRecord.mRequestId.Value();
    mLine["service"] = aRecord.mService;
    mLine["error"] = aRecord.mError;
  }

  void operator()(const ConfigurationAdopted& aRecord)
  {
    mLine["event"] = "configuration-adopted";
    mLine["revision"] = aRecord.mRevision.Value();
    mLine["previous"] = aRecord.mPrevious.Value();
    mLine["change_id"] = aRecord.mChangeId;
  }

  void operator()(const ConfigurationRejected& aRecord)
  {
    mLine["event"] = "configuration-rejected";
    mLine["revision"] = aRecord.mRevision.Value();
    mLine["current"] = aRecord.mCurrent.Value();
    mLine["reason"] = aRecord.mReason;
  }

  void operator()(const MembershipChanged& aRecord)
  {
    mLine["event"] = "membership-changed";
    mLine["live"] = aRecord.mLive;
    mLine["leaving"] = aRecord.mLeaving;
  }

  void operator()(const MemberConditionChanged& aRecord)
  {
    mLine["event"] = "member-condition-changed";
    mLine["member"] = VmName(aRecord.mVm);
    mLine["condition"] = ToText(aRecord.mCondition);
  }

  void operator()(const OwnerAvoided& aRecord)
  {
    mLine["event"] = "owner-avoided";
    mLine["owner"] = VmName(aRecord.mTargetOwner);
    mLine["reason"] = ToText(aRecord.mReason);
  }

  void operator()(const ShareChanged& aRecord)
  {
    mLine["event"] = "share-changed";
    mLine["service"] = ServiceName(aRecord.mService);
    mLine["zone"] = aRecord.mZone.Value();
    mLine["group"] = std::to_string(aRecord.mGroup);
    mLine["previous"] = aRecord.mPrevious;
    mLine["share"] = aRecord.mShare;
  }

  void operator()(const TargetHeldBack& aRecord)
  {
    mLine["event"] =
      aRecord.mIsHeldBack ? "target-work-suspended" : "target-work-resumed";
    mLine["target"] = TargetName(aRecord.mTarget);
  }

  void operator()(const PauseDetected& aRecord)
  {
    mLine["event"] = "pause-detected";
    mLine["length_ms"] = ToMilliseconds(aRecord.mLength);
  }

  void operator()(const AttemptsHedged& aRecord)
  {
    mLine["event"] = "attempts-hedged";
    mLine["request_id"] = aRecord.mRequestId.Value();
    mLine["after_ms"] = ToMilliseconds(aRecord.mDelay);
    mLine["hedges"] = Json::array();
    for (const HedgedShard& hedge : aRecord.mHedges) {
      mLine["hedges"].push_back({ { "shard", hedge.mShard.Value() },
                                  { "from", TargetName(hedge.mFrom) },
                                  { "to", TargetName(hedge.mTo) } });
    }
  }

  void operator()(const ExtraAttemptBudgetExhausted& aRecord)
  {
    constexpr double kPercent = 100;
    mLine["event"] = "extra-attempt-budget-exhausted";
    mLine["request_id"] = aRecord.mRequestId.Value();
    mLine["service"] = ServiceName(aRecord.mService);
    mLine["extra_load_percent"] = aRecord.mExtraLoad * kPercent;
  }

  void operator()(const TargetEjected& aRecord)
  {
    mLine["event"] = "target-ejected";
    mLine["target"] = TargetName(aRecord.mTarget);
    mLine["reason"] = ToText(aRecord.mReason);
    mLine["failures"] = aRecord.mFailures;
  }

  void operator()(const TargetRestored& aRecord)
  {
    mLine["event"] = "target-restored";
    mLine["target"] = TargetName(aRecord.mTarget);
  }

  void operator()(const SnapshotChanged& aRecord)
  {
    mLine["event"] = "snapshot-changed";
    mLine["request_id"] = aRecord.mRequestId.Value();
    mLine["from"] = aRecord.mFrom.Value();
    mLine["to"] = aRecord.mTo.Value();
    mLine["shards_queried_again"] = aRecord.mAskedAgain;
  }

  void operator()(const ClaimDecided& aRecord)
  {
    mLine["event"] = "claim-decided";
    mLine["request_id"] = aRecord.mRequestId.Value();
    mLine["service"] = aRecord.mService;
    mLine["decision"] = ToText(aRecord.mDecision);
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
