/*
 * Generates the text of deployment files for tests.
 */
#pragma once

#include <string>
#include <vector>

namespace wasabispread::testing {

/** The settings of one service, with the same number of replicas for each
    shard. */
struct ServiceText
{
  std::string mName = "catalogue";
  unsigned mShards = 4;
  unsigned mReplicas = 2;
  std::vector<std::string> mZones{ "zone-a", "zone-b", "zone-c" };
  std::string mOperations = R"(["search", "lookup", "action"])";
  std::string mPreference = "coverage";
  double mMinCoverage = 1.0;
  unsigned mMaxWaitMs = 500;
  unsigned mConnectionCap = 25;
  double mExtraLoadPercent = 5;
  /** If true, the service has mReplicas targets in all, named NAME-0-R, each
      of which holds every shard. */
  bool mHoldsAllShards = false;
};

/** Returns the text of a deployment file. Target NAME-S-R is replica R of
    shard S; replicas of one shard are in different zones as long as there are
    enough zones. */
inline std::string
DeploymentText(const std::vector<ServiceText>& aServices)
{
  std::string text = "format = 1\ndeployment = \"test\"\n";
  unsigned port = 1;
  unsigned host = 1;
  for (const ServiceText& service : aServices) {
    text += "[[service]]\nname = \"" + service.mName + "\"\n";
    text += "shards = " + std::to_string(service.mShards) + "\n";
    text += "operations = " + service.mOperations + "\n";
    text += "prefer = \"" + service.mPreference + "\"\n";
    text += "least_coverage = " + std::to_string(service.mMinCoverage) + "\n";
    text += "max_wait = \"" + std::to_string(service.mMaxWaitMs) + "ms\"\n";
    text += "connection_cap = " + std::to_string(service.mConnectionCap) + "\n";
    text +=
      "extra_load_percent = " + std::to_string(service.mExtraLoadPercent) +
      "\n";
    const unsigned groups = service.mHoldsAllShards ? 1 : service.mShards;
    for (unsigned shard = 0; shard < groups; ++shard) {
      for (unsigned replica = 0; replica < service.mReplicas; ++replica) {
        const std::string& zone =
          service.mZones[(shard + replica) % service.mZones.size()];
        text += "[[service.target]]\nname = \"" + service.mName + "-" +
                std::to_string(shard) + "-" + std::to_string(replica) + "\"\n";
        text += "address = \"10.0.0." + std::to_string(host) + ":" +
                std::to_string(port) + "\"\n";
        text += "zone = \"" + zone + "\"\n";
        if (!service.mHoldsAllShards) {
          text += "shards = [" + std::to_string(shard) + "]\n";
        }
        constexpr unsigned kMaxPort = 65000;
        if (++port > kMaxPort) {
          port = 1;
          ++host;
        }
      }
    }
  }
  return text;
}

} // namespace wasabispread::testing
