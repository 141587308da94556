/*
 * A tier without any policy, to compare with: asks one replica of every shard,
 * waits for all, and answers with what came within the caller's patience.
 */
#pragma once

#include "FakeFleet.h"

#include <map>
#include <memory>
#include <vector>

namespace wasabispread::testing {

/** What the naive tier brought. */
struct NaiveAnswer
{
  TimePoint mAsked;
  TimePoint mAnswered;
  std::uint32_t mShardsAsked = 0;
  /** Bodies by shard. */
  std::map<std::uint32_t, std::string> mBodies;
  bool mIsOver = false;
};

/** Asks the targets of a fleet directly, without VMs, limits or retries. */
class NaiveTier
{
public:
  /** aHop is the way to any target, one way. */
  NaiveTier(FakeFleet& aFleet, Deployment aDeployment, Duration aHop);

  /** Asks a service; the answer fills in as the fleet's time passes. */
  std::shared_ptr<const NaiveAnswer> Ask(const std::string& aService,
                                         const std::string& aRequestId,
                                         Duration aPatience);

  /** Sub-requests sent. */
  std::uint64_t Sent() const { return mSent; }

private:
  void AskShard(const Target& aTarget,
                TargetRequest aRequest,
                const std::shared_ptr<NaiveAnswer>& aAnswer);

  FakeFleet& mFleet;
  Deployment mDeployment;
  Duration mHop;
  std::uint64_t mSent = 0;
};

} // namespace wasabispread::testing
