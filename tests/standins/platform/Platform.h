/*
 * The stand-in platform's HTTP interface, which counts calls and injects
 * faults.
 */
#pragma once

#include "KeyValueStore.h"

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace wasabispread {

/** The faults that are injected now. Shares range from 0 to 1. */
struct PlatformFaults
{
  /** Every call is refused. */
  bool mOutage = false;
  /** Each call is delayed by this time plus a random time up to mJitter. */
  Duration mDelay{};
  Duration mJitter{};
  /** The number of coming writes that take effect but whose reply is lost. */
  std::uint64_t mLoseWriteReplies = 0;
  /** The share of all writes that take effect but whose reply is lost. */
  double mLoseShare = 0;
};

/** A VM list and the time from which the platform returns it. */
struct VmListVersion
{
  TimePoint mVisibleFrom;
  nlohmann::ordered_json mVms = nlohmann::ordered_json::array();
};

/** The stand-in platform. All its functions are called from fibers of one
    thread. */
class Platform
{
public:
  explicit Platform(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  /** Answers one call. */
  HttpResponse Handle(const HttpRequest& aRequest);

private:
  HttpResponse HandleControl(const HttpPath& aPath,
                             const HttpRequest& aRequest);
  void ChangeFaults(const nlohmann::ordered_json& aChange);
  HttpResponse Watch(const std::string& aKey,
                     const std::vector<HttpHeader>& aParameters);
  HttpResponse Swap(const HttpPath& aPath, const HttpRequest& aRequest);
  nlohmann::ordered_json VisibleVms() const;
  bool LosesReply();

  Random mRandom;
  PlatformFaults mFaults;
  KeyValueStore mStore;
  std::map<std::string, std::uint64_t> mCalls;
  std::vector<VmListVersion> mVmLists;
};

} // namespace wasabispread
