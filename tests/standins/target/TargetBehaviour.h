/*
 * The behaviour of one stand-in target, and its change at run time.
 */
#pragma once

#include <wasabispread_decisions/wasabispread_decisions.h>

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace wasabispread {

/** The step of an exchange at which a target closes its connection. */
enum class ResetPoint : std::uint8_t
{
  kNever,
  /** After the request was read and before it runs. */
  kBeforeExecution,
  /** After the request ran and before the reply is sent. */
  kBeforeReply,
};

/** What a target reports as its own health. */
enum class HealthReport : std::uint8_t
{
  kTruthful,
  /** Always reports that it serves, whatever its state. */
  kAlwaysGood,
  /** Always reports that it is leaving, whatever its state. */
  kAlwaysLeaving,
};

/** One target's behaviour. Shares range from 0 to 1. */
struct TargetBehaviour
{
  Duration mServiceTime = std::chrono::milliseconds(1);
  double mStragglers = 0;
  Duration mStragglerTime = std::chrono::milliseconds(100);
  double mShed = 0;
  bool mDraining = false;
  /** Accepts requests but runs none while this is set. */
  bool mFrozen = false;
  /** Until this time each request takes mColdFactor times as long. */
  TimePoint mColdUntil{};
  double mColdFactor = 1;
  ResetPoint mReset = ResetPoint::kNever;
  double mResetShare = 1;
  HealthReport mHealth = HealthReport::kTruthful;
  /** How old the state in a report is. */
  Duration mHealthLag{};
  /** In ascending order; the last version is the newest. */
  std::vector<std::uint64_t> mSnapshots{ 1 };
  /** The versions that replace the former ones at mRollAt, if any. */
  std::vector<std::uint64_t> mNextSnapshots;
  TimePoint mRollAt{};

  /** Returns the versions that the target holds at a time. */
  const std::vector<std::uint64_t>& SnapshotsAt(TimePoint aNow) const
  {
    const bool hasRolled = !mNextSnapshots.empty() && aNow >= mRollAt;
    return hasRolled ? mNextSnapshots : mSnapshots;
  }
};

/** Applies the fields that a control request names and keeps the others. */
void
ChangeBehaviour(TargetBehaviour& aBehaviour,
                const nlohmann::ordered_json& aChange,
                Random& aRandom,
                TimePoint aNow);

} // namespace wasabispread
