/*
 * A load of orders, reads and searches on real daemons, and counts of what
 * reached targets that state that they leave or that ask for a pause.
 */
#pragma once

#include "ForwarderFleet.h"

#include <functional>
#include <map>

namespace wasabispread::testing {

/** How long after a target stated that it leaves requests may still reach
    it. */
inline constexpr Duration kDrainTime = std::chrono::seconds(3);
/** The most requests of one VM that may reach a target in a pause, without
    those that were on their way. */
inline constexpr std::size_t kMaxInPause = 2;

/** A request of the load and its answer. */
struct SentRequest
{
  std::size_t mVm = 0;
  TimePoint mSent{};
  Duration mTook{};
  unsigned mStatus = 0;
  std::string mPath;
  std::string mRetryAfter;
};

/** About 100 requests a second to each VM: orders, reads and searches. */
class TargetLoad
{
public:
  TargetLoad(ForwarderFleet& aFleet, std::size_t aVms)
    : mFleet(aFleet)
    , mVms(aVms)
  {
  }

  /** Sends requests for a while; calls aDisturb meanwhile in a fiber of its
      own. */
  void Run(Duration aTime, const std::function<void()>& aDisturb);

  /** The requests by id. */
  const std::map<std::string, SentRequest>& Requests() const
  {
    return mRequests;
  }

  /** The share of a path's requests sent since a time that were served. */
  double ServedShare(const std::string& aPath, TimePoint aSince) const;

private:
  void SendOne(std::size_t aVm, const std::string& aPath);

  ForwarderFleet& mFleet;
  std::size_t mVms;
  std::map<std::string, SentRequest> mRequests;
};

/** When VMs restarted, by VM; they forget then what targets stated. */
using Restarts = std::multimap<std::size_t, TimePoint>;

/** The most requests of one VM that reached a target in one of its pauses of
    length aPause, later than half a second after it asked for the pause. It
    asks for one in each reply from aSince to aUntil. */
std::size_t
MostInAPause(const StandInTarget& aTarget,
             const TargetLoad& aLoad,
             Duration aPause,
             TimePoint aSince,
             TimePoint aUntil = TimePoint::max(),
             const Restarts& aRestarts = {});

/** The requests that reached a target although their caller sent them later
    than kDrainTime after the VM had its first answer there since aSince, or
    since the VM's restart. */
std::size_t
CountAfterDrain(const StandInTarget& aTarget,
                const TargetLoad& aLoad,
                TimePoint aSince,
                const Restarts& aRestarts = {});

} // namespace wasabispread::testing
