/*
 * The platform's HTTP interface, with counted calls and faults.
 */
#pragma once

#include "KeyValueStore.h"

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace wasabispread {

/** Faults in force. Shares run from 0 to 1. */
struct PlatformFaults
{
  /** Every call is refused. */
  bool mOutage = false;
  /** Each call takes this much longer, and up to mJitter more. */
  Duration mDelay{};
  Duration mJitter{};
  /** This many coming writes take effect, but their reply is lost. */
  std::uint64_t mLoseWriteReplies = 0;
  /** The share of all writes whose reply is lost after the effect. */
  double mLoseShare = 0;
};

/** A VM list as it was set at some time. */
struct VmListEdition
{
  TimePoint mShownFrom;
  nlohmann::ordered_json mVms = nlohmann::ordered_json::array();
};

/** The platform. All calls come from fibers of one thread. */
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
  nlohmann::ordered_json ShownVms() const;
  bool LosesReply();

  Random mRandom;
  PlatformFaults mFaults;
  KeyValueStore mStore;
  std::map<std::string, std::uint64_t> mCalls;
  std::vector<VmListEdition> mVmLists;
};

} // namespace wasabispread
