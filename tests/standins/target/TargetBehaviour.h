/*
 * How one target behaves, and how that is changed at run time.
 */
#pragma once

#include <wasabispread_decisions/wasabispread_decisions.h>

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace wasabispread {

/** At which step of an exchange a target ends its connection. */
enum class ResetPoint : std::uint8_t
{
  kNever,
  /** The request was read and did not run. */
  kBeforeExecution,
  /** The request ran; its reply is lost. */
  kBeforeReply,
};

/** What a target says of its own health. */
enum class HealthReport : std::uint8_t
{
  kTruthful,
  /** Always serving. */
  kAlwaysGood,
  /** Always leaving. */
  kAlwaysLeaving,
};

/** One target's behaviour. Shares run from 0 to 1. */
struct TargetBehaviour
{
  Duration mServiceTime = std::chrono::milliseconds(1);
  double mStragglers = 0;
  Duration mStragglerTime = std::chrono::milliseconds(100);
  double mShed = 0;
  bool mDraining = false;
  /** Takes requests but runs none until thawed. */
  bool mFrozen = false;
  /** Until this time each request takes mColdFactor as long. */
  TimePoint mColdUntil{};
  double mColdFactor = 1;
  ResetPoint mReset = ResetPoint::kNever;
  double mResetShare = 1;
  HealthReport mHealth = HealthReport::kTruthful;
  /** How old a report is. */
  Duration mHealthLag{};
  /** Rising; the last one is the newest. */
  std::vector<std::uint64_t> mSnapshots{ 1 };
  /** The versions held from mRollAt on, if any. */
  std::vector<std::uint64_t> mNextSnapshots;
  TimePoint mRollAt{};

  /** The versions held at a time. */
  const std::vector<std::uint64_t>& SnapshotsAt(TimePoint aNow) const
  {
    const bool hasRolled = !mNextSnapshots.empty() && aNow >= mRollAt;
    return hasRolled ? mNextSnapshots : mSnapshots;
  }
};

/** Applies the fields that a control request names; the others stay. */
void
ChangeBehaviour(TargetBehaviour& aBehaviour,
                const nlohmann::ordered_json& aChange,
                Random& aRandom,
                TimePoint aNow);

} // namespace wasabispread
