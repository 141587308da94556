/*
 * Applies the fields of a control request to a target's behaviour.
 */
#include "TargetBehaviour.h"

namespace wasabispread {

namespace {

using Json = nlohmann::ordered_json;

Duration
Milliseconds(const Json& aJson, const char* aKey, Duration aDefault)
{
  if (!aJson.contains(aKey)) {
    return aDefault;
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aJson[aKey].get<double>()));
}

ResetPoint
ResetPointNamed(const std::string& aName)
{
  if (aName == "before-execution") {
    return ResetPoint::kBeforeExecution;
  }
  return aName == "before-reply" ? ResetPoint::kBeforeReply
                                 : ResetPoint::kNever;
}

HealthReport
HealthReportNamed(const std::string& aName)
{
  if (aName == "good") {
    return HealthReport::kAlwaysGood;
  }
  return aName == "leaving" ? HealthReport::kAlwaysLeaving
                            : HealthReport::kTruthful;
}

} // namespace

void
ChangeBehaviour(TargetBehaviour& aBehaviour,
                const Json& aChange,
                Random& aRandom,
                TimePoint aNow)
{
  TargetBehaviour& changed = aBehaviour;
  changed.mServiceTime =
    Milliseconds(aChange, "service_ms", changed.mServiceTime);
  changed.mStragglerTime =
    Milliseconds(aChange, "straggler_ms", changed.mStragglerTime);
  changed.mStragglers = aChange.value("stragglers", changed.mStragglers);
  changed.mShed = aChange.value("shed", changed.mShed);
  changed.mDraining = aChange.value("draining", changed.mDraining);
  changed.mFrozen = aChange.value("frozen", changed.mFrozen);
  changed.mColdFactor = aChange.value("cold_factor", changed.mColdFactor);
  if (aChange.contains("cold_ms")) {
    changed.mColdUntil = aNow + Milliseconds(aChange, "cold_ms", Duration{});
  }
  if (aChange.contains("reset")) {
    changed.mReset = ResetPointNamed(aChange["reset"].get<std::string>());
  }
  changed.mResetShare = aChange.value("reset_share", changed.mResetShare);
  if (aChange.contains("health")) {
    changed.mHealth = HealthReportNamed(aChange["health"].get<std::string>());
  }
  changed.mHealthLag =
    Milliseconds(aChange, "health_lag_ms", changed.mHealthLag);
  if (aChange.contains("snapshots")) {
    changed.mSnapshots = aChange["snapshots"].get<std::vector<std::uint64_t>>();
    changed.mNextSnapshots.clear();
  }
  if (aChange.contains("roll_to")) {
    changed.mSnapshots = changed.SnapshotsAt(aNow);
    changed.mNextSnapshots =
      aChange["roll_to"].get<std::vector<std::uint64_t>>();
    const Duration spread = Milliseconds(aChange, "roll_spread_ms", Duration{});
    changed.mRollAt =
      aNow + std::chrono::duration_cast<Duration>(spread * aRandom.Fraction());
  }
}

} // namespace wasabispread
