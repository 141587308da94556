/*
 * The rules that a coordinator follows where alternatives exist. Tests and
 * benchmarks also set others than the defaults.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <cstdint>

namespace wasabispread {

/** When a slow attempt is hedged: sent once more, to another replica. */
enum class HedgeRule : std::uint8_t
{
  kNone,
  /** After CoordinatorPolicy::mFixedHedgeDelay, however many extra attempts
      result. */
  kFixedDelay,
  /** After a high quantile of the service's own latencies, within its budget
      for extra attempts. */
  kLearnedQuantile,
};

/** When a service that prefers latency answers, once its minimum coverage is
    reached. */
enum class EarlyAnswerRule : std::uint8_t
{
  kAtOnce,
  /** Not before CoordinatorPolicy::mGraceFactor times the hedge delay after the
      start, so that shards of ordinary speed are still included. */
  kLearnedGrace,
};

/** How a search continues when some shards no longer hold its snapshot. */
enum class SnapshotRule : std::uint8_t
{
  /** It keeps its snapshot; these shards are reported as missing. */
  kFinishOld,
  /** It asks every shard again for a newer snapshot as soon as one is seen. */
  kRestartNew,
  /** It asks again only when another snapshot covers more shards, enough time
      is left and the budget for extra attempts allows it. */
  kBestCoverage,
};

/** The rules in force. */
struct CoordinatorPolicy
{
  HedgeRule mHedge = HedgeRule::kLearnedQuantile;
  Duration mFixedHedgeDelay = std::chrono::milliseconds(10);
  /** The maximum number of hedges of one shard of a request. */
  std::uint8_t mMaxHedges = 2;
  EarlyAnswerRule mEarlyAnswer = EarlyAnswerRule::kLearnedGrace;
  double mGraceFactor = 2.0;
  SnapshotRule mSnapshot = SnapshotRule::kBestCoverage;
  /** Whether hedges and retries are limited by the budget for extra
      attempts. */
  bool mIsBudgeted = true;
  /** Whether requests that cannot be met are refused before any is sent. */
  bool mIsAdmissionChecked = true;
};

} // namespace wasabispread
