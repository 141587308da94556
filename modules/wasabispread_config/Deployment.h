/*
 * A checked deployment: which targets serve what, and under which limits.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace wasabispread {

/** What a caller may ask of a service. */
enum class Operation : std::uint8_t
{
  /** Asks every shard; idempotent. */
  kSearch,
  /** Asks the one shard that holds a key; idempotent. */
  kLookup,
  /** Asks the one shard that holds a key; runs at most once. */
  kAction,
};

/** The name used in files, paths and logs. */
std::string_view
ToText(Operation aOperation);

/** Whether asking twice does no harm. */
constexpr bool
IsIdempotent(Operation aOperation)
{
  return aOperation != Operation::kAction;
}

/** What a service gives up first when time runs short. */
enum class Preference : std::uint8_t
{
  /** Answers as soon as the declared least coverage is in. */
  kLatency,
  /** Waits for every shard until the time allowed is spent. */
  kCoverage,
};

/** The name used in files and logs. */
std::string_view
ToText(Preference aPreference);

/** A process that answers for some shards of one service. */
struct Target
{
  TargetId mId;
  std::string mName;
  ServiceId mService;
  Endpoint mAddress;
  ZoneName mZone;
  /** Sorted, without repetition. */
  std::vector<ShardIndex> mShards;
};

/** A declared service. */
struct Service
{
  ServiceId mId;
  std::string mName;
  std::uint32_t mShardCount = 0;
  /** Never empty; sorted. */
  std::vector<Operation> mOperations;
  /** The longest a request may wait. */
  Duration mMaximumWait{};
  Preference mPreference = Preference::kCoverage;
  /** The share of shards, 0 to 1, that lets a latency-first service answer
      early. */
  double mMinCoverage = 1.0;
  /** The most connections that each target accepts, from all VMs together. */
  std::uint32_t mConnectionCap = 0;
  /** How long a new connection to a target takes. */
  Duration mConnectTime{};
  /** The most hedges and retries, as a share of sub-requests, 0 to 1. */
  double mExtraAttemptShare = 0.0;
  /** The latency quantile, 0 to 1, after which a hedge may be sent. */
  double mHedgeQuantile = 0.0;
  /** Positions in Deployment::mTargets. */
  std::vector<std::uint32_t> mTargets;
  /** For each shard, positions in Deployment::mTargets; never empty. */
  std::vector<std::vector<std::uint32_t>> mReplicas;

  /** Whether callers may ask for an operation. */
  bool Offers(Operation aOperation) const;
};

/** A whole deployment. The maps index the vectors. */
struct Deployment
{
  std::string mName;
  std::vector<Service> mServices;
  std::vector<Target> mTargets;
  std::unordered_map<ServiceId, std::uint32_t> mServiceIndex;
  std::unordered_map<TargetId, std::uint32_t> mTargetIndex;

  /** The service with an id, or nullptr. */
  const Service* FindService(ServiceId aId) const;

  /** The target with an id, or nullptr. */
  const Target* FindTarget(TargetId aId) const;
};

/** A deployment shared by those that hold it; never changed once shared. */
using DeploymentPointer = std::shared_ptr<const Deployment>;

} // namespace wasabispread
