/*
 * The routing configuration: which requests are sent to which services.
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

/** Whether a request may run more than once. */
enum class Repeatability : std::uint8_t
{
  kIdempotent,
  kAtMostOnce,
};

/** One of the services among which a route's requests are split. */
struct SplitPart
{
  ServiceId mService;
  /** The weight relative to the other parts' weights; not negative. */
  double mWeight = 1;
};

/** Where requests under one host and path prefix are sent. Invariant: exactly
    one of mParts and mShards is empty, or both are and mIsUnreadable is set. */
struct Route
{
  RouteId mId;
  std::string mName;
  std::string mHost;
  /** The path prefix; begins and ends with a slash. */
  std::string mPrefix;
  Repeatability mRepeatability = Repeatability::kAtMostOnce;
  /** The longest time that a caller waits for an answer. */
  Duration mTimeout{};
  /** The soft timeout: the time within which an answer has its full use; zero
      when none is configured. */
  Duration mSoftTimeout{};
  /** The maximum number of targets at which one request, or one shard's part of
      it, may run. */
  unsigned mMaxTargets = 1;
  /** The priority among waiting requests; 0 is sent first. */
  unsigned mPriority = 0;
  std::vector<SplitPart> mParts;
  /** For a search, the services whose targets hold one shard each. */
  std::vector<ServiceId> mShards;
  std::size_t mTopRecords = 0;
  /** The minimum share of shards, 0 to 1, that an answer must have. */
  double mMinCoverage = 0;
  /** Whether requests need no key. */
  bool mIsPublic = false;
  /** The regions whose targets may serve it; empty for all. */
  std::vector<RegionName> mRegions;
  /** Whether a field that decides where its requests may run cannot be read, so
      that they are refused. */
  bool mIsUnreadable = false;

  bool IsSearch() const { return !mShards.empty(); }

  bool IsIdempotent() const
  {
    return mRepeatability == Repeatability::kIdempotent;
  }
};

/** The configuration of a service. */
struct ServiceRecord
{
  std::string mName;
  /** The path of a target's health check. */
  std::string mHealthPath;
  /** Maximum number of connections that one target accepts from all its callers
      together. */
  unsigned mMaxConnections = 1;
  /** The requests per second that a cold target takes from all VMs together; 0
      when no bound is named. */
  double mColdRate = 0;
};

/** Limits on the size of callers' requests, and on the time they take. */
struct CallerLimits
{
  std::uint32_t mHeaderBytes = 16U << 10U;
  std::uint64_t mBodyBytes = 256U << 10U;
  Duration mHeaderTime = std::chrono::seconds(3);
  Duration mIdleTime = std::chrono::seconds(15);
};

/** A part of a configuration that cannot be read. */
struct UnreadablePart
{
  /** Its place in the configuration's text, such as "routes[2].service". */
  std::string mPlace;
  /** What is wrong with it, without its content, which may be a key. */
  std::string mReason;
};

/** The parts of a configuration that cannot be read. The first ones are
    listed. */
struct UnreadableParts
{
  std::vector<UnreadablePart> mListed;
  std::size_t mCount = 0;

  void Add(std::string aPlace, std::string aReason);
};

/** One version of the routing configuration. */
struct RoutingConfiguration
{
  ConfigurationVersion mVersion;
  std::vector<Route> mRoutes;
  std::unordered_map<ServiceId, ServiceRecord> mServices;
  CallerLimits mLimits;
  /** The organisations whose keys requests carry; none when requests need no
      key. */
  std::optional<OrganisationDirectory> mOrganisations;
  /** Whether there are routes whose host cannot be read. A request that no
      other route matches may be meant for one of them. */
  bool mHasUnplacedRoutes = false;
  UnreadableParts mUnreadable;
  /** The positions in mRoutes of each host's routes, longest prefix first. */
  std::map<std::string, std::vector<std::size_t>, std::less<>> mRoutesOfHost;
};

using RoutingPointer = std::shared_ptr<const RoutingConfiguration>;

/** Fills mRoutesOfHost. Of two routes with one host and prefix, the first one
    that can be read is used. */
void
IndexRoutes(RoutingConfiguration& aConfiguration);

/** The route of a host with the longest prefix of the path; null when there is
    none. The host's letter case and port do not matter. */
const Route*
FindRoute(const RoutingConfiguration& aConfiguration,
          std::string_view aHost,
          std::string_view aTarget);

/** How far each part of a split lags behind its weight, so that shares also
    hold over few requests. */
struct SplitState
{
  std::vector<ServiceId> mServices;
  std::vector<double> mCredit;
};

/** Selects the service of the next request: the part furthest behind its
    weight. A part without enough targets keeps its share: its requests are
    refused instead of being sent to other parts. */
ServiceId
NextPart(SplitState& aState, const std::vector<SplitPart>& aParts);

} // namespace wasabispread::forwarding
