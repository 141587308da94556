/*
 * A baseline tier without any policy: it queries one replica of each shard,
 * waits for all, and answers with the replies that arrived within the caller's
 * timeout.
 */
#pragma once

#include "FakeFleet.h"

#include <map>
#include <memory>
#include <vector>

namespace wasabispread::testing {

/** The naive tier's answer to one request. */
struct NaiveAnswer
{
  TimePoint mAsked;
  TimePoint mAnswered;
  std::uint32_t mShardsAsked = 0;
  /** Bodies by shard. */
  std::map<std::uint32_t, std::string> mBodies;
  bool mIsOver = false;
};

/** Queries the targets of a fleet directly, without VMs, limits or retries. */
class NaiveTier
{
public:
  /** aHop is the one-way network delay to any target. */
  NaiveTier(FakeFleet& aFleet, Deployment aDeployment, Duration aHop);

  /** Queries a service; the answer fills in as the fleet's simulated time
      advances. */
  std::shared_ptr<const NaiveAnswer> Ask(const std::string& aService,
                                         const std::string& aRequestId,
                                         Duration aTimeout);

  /** The number of sub-requests sent. */
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
