/*
 * Sends the load, and evaluates what arrived at targets.
 */
#include "TargetLoad.h"

#include <algorithm>
#include <array>

#include <boost/fiber/operations.hpp>

namespace wasabispread::testing {

namespace {

/** The interval between two requests of one kind to one VM. */
constexpr Duration kInterval = std::chrono::milliseconds(30);
/** How long after a target asked for a pause requests that were on their way
    may still reach it. */
constexpr Duration kOnTheWay = std::chrono::milliseconds(500);

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

/** Whether the VM restarted after aFrom and at aTo at the latest. */
bool
HasRestarted(const Restarts& aRestarts,
             std::size_t aVm,
             TimePoint aFrom,
             TimePoint aTo)
{
  const auto [first, last] = aRestarts.equal_range(aVm);
  return std::any_of(first, last, [&](const auto& aRestart) {
    return aRestart.second >= aFrom && aRestart.second <= aTo;
  });
}

} // namespace

void
TargetLoad::Run(Duration aTime, const std::function<void()>& aDisturb)
{
  const TimePoint end = Now() + aTime;
  const std::array<const char*, 3> paths{ "/one/x", "/once/x", "/search/q" };
  RunConcurrently(mVms * paths.size() + 1, [&](std::size_t aFiber) {
    if (aFiber == mVms * paths.size()) {
      aDisturb();
      return;
    }
    TimePoint next = Now();
    while (Now() < end) {
      SendOne(aFiber % mVms, paths.at(aFiber / mVms));
      next = std::max(next + kInterval, Now());
      boost::this_fiber::sleep_until(next);
    }
  });
}

void
TargetLoad::SendOne(std::size_t aVm, const std::string& aPath)
{
  ForwarderRequest request;
  request.mPath = aPath;
  request.mTimeoutMs = "1000";
  SentRequest sent;
  sent.mVm = aVm;
  sent.mPath = aPath;
  sent.mSent = Now();
  const ForwarderReply reply = mFleet.SendRequest(request, aVm);
  sent.mTook = Now() - sent.mSent;
  sent.mStatus = reply.Status();
  if (reply.mResponse) {
    sent.mRetryAfter =
      std::string(FindHeader(reply.mResponse->mHeaders, "Retry-After"));
  }
  if (!reply.mRequestId.empty()) {
    mRequests[reply.mRequestId] = sent;
  }
}

double
TargetLoad::ServedShare(const std::string& aPath, TimePoint aSince) const
{
  double sent = 0;
  double served = 0;
  for (const auto& [id, request] : mRequests) {
    if (request.mPath == aPath && request.mSent >= aSince) {
      ++sent;
      served += request.mStatus == 200 ? 1 : 0;
    }
  }
  return sent == 0 ? 0 : served / sent;
}

std::size_t
MostInAPause(const StandInTarget& aTarget,
             const TargetLoad& aLoad,
             Duration aPause,
             TimePoint aSince,
             TimePoint aUntil,
             const Restarts& aRestarts)
{
  std::map<std::size_t, TimePoint> begins;
  std::map<std::size_t, std::size_t> counts;
  std::size_t most = 0;
  for (const TargetArrival& arrival : aTarget.Arrivals()) {
    const auto request = aLoad.Requests().find(arrival.mRequestId);
    if (arrival.mTime < aSince || request == aLoad.Requests().end()) {
      continue;
    }
    const std::size_t vm = request->second.mVm;
    const auto begin = begins.find(vm);
    const bool isInPause =
      begin != begins.end() && arrival.mTime < begin->second + aPause &&
      !HasRestarted(aRestarts, vm, begin->second, arrival.mTime);
    if (!isInPause && arrival.mTime < aUntil) {
      begins[vm] = arrival.mTime;
      counts[vm] = 0;
    } else if (isInPause && arrival.mTime >= begin->second + kOnTheWay) {
      most = std::max(most, ++counts[vm]);
    }
  }
  return most;
}

std::size_t
CountAfterDrain(const StandInTarget& aTarget,
                const TargetLoad& aLoad,
                TimePoint aSince,
                const Restarts& aRestarts)
{
  std::map<std::size_t, TimePoint> answers;
  std::size_t late = 0;
  for (const TargetArrival& arrival : aTarget.Arrivals()) {
    const auto request = aLoad.Requests().find(arrival.mRequestId);
    if (arrival.mTime < aSince || request == aLoad.Requests().end()) {
      continue;
    }
    const std::size_t vm = request->second.mVm;
    const auto answer = answers.find(vm);
    const bool isForgotten =
      answer == answers.end() ||
      HasRestarted(aRestarts, vm, answer->second, arrival.mTime);
    if (isForgotten) {
      answers[vm] = arrival.mTime;
    } else if (request->second.mSent > answer->second + kDrainTime) {
      ++late;
    }
  }
  return late;
}

} // namespace wasabispread::testing
