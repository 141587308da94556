/*
 * The routing configuration: which requests go to which services.
 */
#pragma once

#include "Message.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wasabispread::forwarding {

/** How often a request may run. */
enum class Repeatability : std::uint8_t
{
  kIdempotent,
  kAtMostOnce,
};

/** One of the services among which a route's requests are split. */
struct SplitPart
{
  ServiceId mService;
  /** Relative to the other parts' weights; not negative. */
  double mWeight = 1;
};

/** Where requests under one host and path prefix go. Invariant: either
    mParts or mShards is empty, and the other is not. */
struct Route
{
  RouteId mId;
  std::string mName;
  std::string mHost;
  /** Begins and ends with a slash. */
  std::string mPrefix;
  Repeatability mRepeatability = Repeatability::kAtMostOnce;
  /** The longest that a caller is kept waiting. */
  Duration mTimeout{};
  /** The time within which an answer has its full use; zero when none is
      named. */
  Duration mSoftTimeout{};
  /** The most targets at which one request may run, for each shard. */
  unsigned mMaxTargets = 1;
  /** 0 goes first. */
  unsigned mPriority = 0;
  std::vector<SplitPart> mParts;
  /** The services whose targets hold one shard each, for a search. */
  std::vector<ServiceId> mShards;
  std::size_t mTopRecords = 0;
  /** The least share of shards, 0 to 1, that an answer must have. */
  double mMinCoverage = 0;

  bool IsSearch() const { return !mShards.empty(); }

  bool IsIdempotent() const
  {
    return mRepeatability == Repeatability::kIdempotent;
  }
};

/** What the configuration says of a service. */
struct ServiceRecord
{
  std::string mName;
  /** The path of a target's health check. */
  std::string mHealthPath;
  /** Connections that one target accepts from all callers together. */
  unsigned mMaxConnections = 1;
};

/** What callers may send, and how long they may take. */
struct CallerLimits
{
  std::uint32_t mHeaderBytes = 16U << 10U;
  std::uint64_t mBodyBytes = 256U << 10U;
  Duration mHeaderTime = std::chrono::seconds(3);
  Duration mIdleTime = std::chrono::seconds(15);
};

/** One version of the routing configuration. */
struct RoutingConfiguration
{
  ConfigurationVersion mVersion;
  std::vector<Route> mRoutes;
  std::unordered_map<ServiceId, ServiceRecord> mServices;
  CallerLimits mLimits;
  /** The positions in mRoutes of each host's routes, longest prefix first. */
  std::map<std::string, std::vector<std::size_t>, std::less<>> mRoutesOfHost;
};

using RoutingPointer = std::shared_ptr<const RoutingConfiguration>;

/** Fills mRoutesOfHost. */
void
IndexRoutes(RoutingConfiguration& aConfiguration);

/** The route of a host with the longest prefix that begins the path; null
    when there is none. The host's letter case and port do not matter. */
const Route*
FindRoute(const RoutingConfiguration& aConfiguration,
          std::string_view aHost,
          std::string_view aTarget);

/** How far each part of a split lags behind its weight, so that shares hold
    over few requests too. */
struct SplitState
{
  std::vector<ServiceId> mServices;
  std::vector<double> mCredit;
};

/** The next request's part: the one furthest behind its weight. A part short
    of targets keeps its share; its requests are refused, not moved. */
ServiceId
NextPart(SplitState& aState, const std::vector<SplitPart>& aParts);

} // namespace wasabispread::forwarding
