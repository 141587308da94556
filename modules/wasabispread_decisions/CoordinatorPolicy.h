/*
 * Which rule an entry follows where rules compete. The defaults are the
 * measured choices; tests and benchmarks set the others.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <cstdint>

namespace wasabispread {

/** When a slow attempt is hedged: sent once more, to another replica. */
enum class HedgeRule : std::uint8_t
{
  kNone,
  /** After CoordinatorPolicy::mFixedHedgeDelay, whatever the load it adds. */
  kFixedDelay,
  /** After the service's own high quantile, within its extra-load budget. */
  kLearnedQuantile,
};

/** When a latency-first service answers once its least coverage is in. */
enum class EarlyAnswerRule : std::uint8_t
{
  kAtOnce,
  /** Not before CoordinatorPolicy::mGraceFactor times the hedge delay, so that
      shards of ordinary speed are still taken in. */
  kLearnedGrace,
};

/** What becomes of a query whose snapshot some shards no longer hold. */
enum class SnapshotRule : std::uint8_t
{
  /** Keeps to it; the shards are declared missing. */
  kFinishOld,
  /** Asks every shard again for a newer one as soon as one is seen. */
  kRestartNew,
  /** Asks again only when another one covers more shards, the time allows it
      and the budget pays for it. */
  kBestCoverage,
};

/** The rules in force. */
struct CoordinatorPolicy
{
  HedgeRule mHedge = HedgeRule::kLearnedQuantile;
  Duration mFixedHedgeDelay = std::chrono::milliseconds(10);
  /** The most hedges of one shard of a request. */
  std::uint8_t mMaxHedges = 2;
  EarlyAnswerRule mEarlyAnswer = EarlyAnswerRule::kLearnedGrace;
  double mGraceFactor = 2.0;
  SnapshotRule mSnapshot = SnapshotRule::kBestCoverage;
  /** Whether hedges and retries draw on the extra-load budget. */
  bool mIsBudgeted = true;
  /** Whether requests that cannot be met are refused before any is sent. */
  bool mIsAdmissionChecked = true;
};

} // namespace wasabispread
