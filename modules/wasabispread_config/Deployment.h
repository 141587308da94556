/*
 * A checked deployment: services, the targets that serve them, and their
 * limits.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace wasabispread {

/** The kinds of request that a service can offer. */
enum class Operation : std::uint8_t
{
  /** Queries every shard; idempotent. */
  kSearch,
  /** Queries the shard that holds a key; idempotent. */
  kLookup,
  /** Sent to the shard that holds a key; executed at most once. */
  kAction,
};

/** The name of an operation in files, paths and logs. */
std::string_view
ToText(Operation aOperation);

/** Whether an operation may safely be executed more than once. */
constexpr bool
IsIdempotent(Operation aOperation)
{
  return aOperation != Operation::kAction;
}

/** Which of latency and coverage a service prefers. */
enum class Preference : std::uint8_t
{
  /** Responds as soon as the declared minimum coverage is reached. */
  kLatency,
  /** Waits for every shard until the deadline. */
  kCoverage,
};

/** The name of a preference in files and logs. */
std::string_view
ToText(Preference aPreference);

/** A process that serves some shards of one service. */
struct Target
{
  TargetId mId;
  std::string mName;
  ServiceId mService;
  Endpoint mAddress;
  ZoneName mZone;
  /** The shards that the target serves, sorted and without duplicates. */
  std::vector<ShardIndex> mShards;
};

/** A declared service. */
struct Service
{
  ServiceId mId;
  std::string mName;
  std::uint32_t mShardCount = 0;
  /** The operations that callers may request; sorted, never empty. */
  std::vector<Operation> mOperations;
  /** The longest time that a request may take. */
  Duration mMaximumWait{};
  Preference mPreference = Preference::kCoverage;
  /** The minimum share of shards, 0 to 1, with which a service that prefers
      latency responds early. */
  double mMinCoverage = 1.0;
  /** The maximum number of connections that each target accepts from all VMs
      together. */
  std::uint32_t mConnectionCap = 0;
  /** The time that opening a connection to a target takes. */
  Duration mConnectTime{};
  /** The maximum number of extra attempts (hedges and retries), as a share of
      the sub-requests, 0 to 1. */
  double mExtraAttemptShare = 0.0;
  /** The quantile of the observed latencies, 0 to 1, after which a hedge may be
      sent. */
  double mHedgeQuantile = 0.0;
  /** The targets of the service, as positions in Deployment::mTargets. */
  std::vector<std::uint32_t> mTargets;
  /** For each shard, the targets that serve it, as positions in
      Deployment::mTargets; no list is empty. */
  std::vector<std::vector<std::uint32_t>> mReplicas;

  /** Whether callers may request an operation. */
  bool Offers(Operation aOperation) const;
};

/** A whole deployment. Invariant: the maps hold the position of each id in the
    vectors. */
struct Deployment
{
  std::string mName;
  std::vector<Service> mServices;
  std::vector<Target> mTargets;
  std::unordered_map<ServiceId, std::uint32_t> mServiceIndex;
  std::unordered_map<TargetId, std::uint32_t> mTargetIndex;

  /** The service with an id; nullptr when there is none. */
  const Service* FindService(ServiceId aId) const;

  /** The target with an id; nullptr when there is none. */
  const Target* FindTarget(TargetId aId) const;
};

/** A shared, immutable deployment. */
using DeploymentPointer = std::shared_ptr<const Deployment>;

} // namespace wasabispread
