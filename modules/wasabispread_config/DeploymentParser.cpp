/*
 * Parses deployment files, format version 1.
 */
#include "TableReader.h"

#include <algorithm>

namespace wasabispread {

namespace {

constexpr std::int64_t kFormatVersion = 1;
constexpr std::int64_t kMaxShards = 100'000;
constexpr std::int64_t kMaxConnections = 100'000;
constexpr double kMaxExtraAttemptPercent = 100.0;
constexpr double kDefaultExtraAttemptPercent = 5.0;
constexpr double kDefaultHedgeQuantile = 0.95;
constexpr double kPercent = 100.0;
constexpr DurationRange kWaitRange{ std::chrono::milliseconds(1),
                                    std::chrono::minutes(10) };
constexpr DurationRange kConnectRange{ Duration::zero(),
                                       std::chrono::seconds(10) };

/** Builds a deployment from a parsed file and collects all faults. */
class DeploymentBuilder
{
public:
  DeploymentBuilder(std::string aFile, Faults& aFaults)
    : mFile(std::move(aFile))
    , mFaults(aFaults)
  {
  }

  Deployment Build(const toml::table& aRoot);

private:
  void ReadService(const toml::table& aTable);
  void ReadPolicies(TableReader& aReader, Service& aService);
  void ReadOperations(TableReader& aReader, Service& aService);
  void ReadTarget(const toml::table& aTable, Service& aService);
  std::vector<ShardIndex> ReadShards(TableReader& aReader,
                                     const Service& aService);
  void AddShard(TableReader& aReader,
                const toml::node& aNode,
                const Service& aService,
                std::vector<ShardIndex>& aShards);
  void CheckCoverage(TableReader& aReader, const Service& aService);

  std::string mFile;
  Faults& mFaults;
  Deployment mDeployment;
  /** The addresses of the targets read so far. */
  std::set<Endpoint> mAddresses;
};

Deployment
DeploymentBuilder::Build(const toml::table& aRoot)
{
  TableReader reader(aRoot, mFile, "the file", mFaults);
  reader.RequiredInteger("format", { kFormatVersion, kFormatVersion });
  mDeployment.mName = reader.RequiredString("deployment").value_or("");
  const auto services = reader.Tables("service");
  if (services.empty()) {
    reader.AddTableFault("the file declares no service",
                         "add at least one [[service]]");
  }
  reader.RejectUnknownKeys();
  for (const toml::table* service : services) {
    ReadService(*service);
  }
  return std::move(mDeployment);
}

void
DeploymentBuilder::ReadService(const toml::table& aTable)
{
  TableReader reader(aTable, mFile, "[[service]]", mFaults);
  Service service;
  service.mName = reader.RequiredString("name").value_or("");
  service.mId = IdFromName<ServiceId>(service.mName);
  service.mShardCount = static_cast<std::uint32_t>(
    reader.RequiredInteger("shards", { 1, kMaxShards }).value_or(0));
  service.mConnectionCap = static_cast<std::uint32_t>(
    reader.RequiredInteger("connection_cap", { 1, kMaxConnections })
      .value_or(0));
  service.mMaximumWait =
    reader.RequiredDuration("max_wait", kWaitRange).value_or(Duration::zero());
  service.mConnectTime = reader.OptionalDuration("connect_time", kConnectRange)
                           .value_or(Duration::zero());
  ReadOperations(reader, service);
  ReadPolicies(reader, service);
  const auto targets = reader.Tables("target");
  reader.RejectUnknownKeys();
  service.mReplicas.resize(service.mShardCount);
  for (const toml::table* target : targets) {
    ReadTarget(*target, service);
  }
  CheckCoverage(reader, service);
  const auto position =
    static_cast<std::uint32_t>(mDeployment.mServices.size());
  if (!mDeployment.mServiceIndex.emplace(service.mId, position).second) {
    reader.AddTableFault("the service '" + service.mName +
                           "' is declared twice",
                         "rename or remove one of them");
  }
  mDeployment.mServices.push_back(std::move(service));
}

void
DeploymentBuilder::ReadOperations(TableReader& aReader, Service& aService)
{
  const toml::array* names = aReader.RequiredArray("operations");
  if (names == nullptr) {
    return;
  }
  for (const toml::node& node : *names) {
    const std::string name = node.value_exact<std::string>().value_or("");
    bool known = false;
    for (const Operation operation :
         { Operation::kSearch, Operation::kLookup, Operation::kAction }) {
      if (name == ToText(operation)) {
        aService.mOperations.push_back(operation);
        known = true;
      }
    }
    if (!known) {
      aReader.AddFault(
        node, "unknown operation", R"(use "search", "lookup" or "action")");
    }
  }
  auto& operations = aService.mOperations;
  std::sort(operations.begin(), operations.end());
  operations.erase(std::unique(operations.begin(), operations.end()),
                   operations.end());
  if (names->empty()) {
    aReader.AddFault(
      *names, "a service must offer an operation", "name at least one");
  }
}

void
DeploymentBuilder::ReadPolicies(TableReader& aReader, Service& aService)
{
  const std::string preference =
    aReader.OptionalString("prefer").value_or("coverage");
  if (preference == "latency") {
    aService.mPreference = Preference::kLatency;
  } else if (preference != "coverage") {
    aReader.AddTableFault("'prefer' is '" + preference + "'",
                          R"(use "latency" or "coverage")");
  }
  aService.mMinCoverage =
    aReader.OptionalNumber("least_coverage", 0.0, 1.0).value_or(1.0);
  aService.mExtraAttemptShare =
    aReader.OptionalNumber("extra_load_percent", 0.0, kMaxExtraAttemptPercent)
      .value_or(kDefaultExtraAttemptPercent) /
    kPercent;
  aService.mHedgeQuantile = aReader.OptionalNumber("hedge_quantile", 0.0, 1.0)
                              .value_or(kDefaultHedgeQuantile);
}

void
DeploymentBuilder::ReadTarget(const toml::table& aTable, Service& aService)
{
  TableReader reader(aTable, mFile, "[[service.target]]", mFaults);
  Target target;
  target.mName = reader.RequiredString("name").value_or("");
  target.mId = IdFromName<TargetId>(target.mName);
  target.mService = aService.mId;
  target.mAddress = reader.RequiredEndpoint("address").value_or(Endpoint{});
  target.mZone = ZoneName(reader.RequiredString("zone").value_or(""));
  target.mShards = ReadShards(reader, aService);
  reader.RejectUnknownKeys();
  const auto position = static_cast<std::uint32_t>(mDeployment.mTargets.size());
  const bool hasName = !target.mName.empty();
  if (!mDeployment.mTargetIndex.emplace(target.mId, position).second &&
      hasName) {
    reader.AddTableFault("the target '" + target.mName + "' is listed twice",
                         "rename or remove one of them");
  }
  const bool hasAddress = !target.mAddress.mHost.empty();
  if (hasAddress && !mAddresses.insert(target.mAddress).second) {
    reader.AddTableFault("the address " + ToText(target.mAddress) +
                           " belongs to another target already",
                         "give each target an address of its own");
  }
  for (const ShardIndex shard : target.mShards) {
    aService.mReplicas[shard.Value()].push_back(position);
  }
  aService.mTargets.push_back(position);
  mDeployment.mTargets.push_back(std::move(target));
}

std::vector<ShardIndex>
DeploymentBuilder::ReadShards(TableReader& aReader, const Service& aService)
{
  std::vector<ShardIndex> shards;
  const toml::array* values = aReader.OptionalArray("shards");
  if (values == nullptr) {
    for (std::uint32_t shard = 0; shard < aService.mShardCount; ++shard) {
      shards.emplace_back(shard);
    }
    return shards;
  }
  for (const toml::node& node : *values) {
    AddShard(aReader, node, aService, shards);
  }
  std::sort(shards.begin(), shards.end());
  return shards;
}

void
DeploymentBuilder::AddShard(TableReader& aReader,
                            const toml::node& aNode,
                            const Service& aService,
                            std::vector<ShardIndex>& aShards)
{
  const auto value = aNode.value_exact<std::int64_t>();
  if (!value || *value < 0 || *value >= aService.mShardCount) {
    aReader.AddFault(aNode,
                     "no shard of '" + aService.mName + "' has this number",
                     "use whole numbers from 0 to one less than 'shards'");
    return;
  }
  const ShardIndex shard(static_cast<std::uint32_t>(*value));
  if (std::find(aShards.begin(), aShards.end(), shard) != aShards.end()) {
    aReader.AddFault(aNode,
                     "shard " + std::to_string(*value) +
                       " is listed twice for one target",
                     "list it once");
    return;
  }
  aShards.push_back(shard);
}

void
DeploymentBuilder::CheckCoverage(TableReader& aReader, const Service& aService)
{
  for (std::size_t shard = 0; shard < aService.mReplicas.size(); ++shard) {
    if (aService.mReplicas[shard].empty()) {
      aReader.AddTableFault("no target serves shard " + std::to_string(shard) +
                              " of '" + aService.mName + "'",
                            "give it a [[service.target]]");
    }
  }
}

} // namespace

tl::expected<Deployment, Faults>
ParseDeployment(std::string_view aText, const std::string& aFile)
{
  const auto root = ParseToml(aText, aFile);
  if (!root) {
    return tl::unexpected<Faults>(root.error());
  }
  Faults faults;
  DeploymentBuilder builder(aFile, faults);
  Deployment deployment = builder.Build(*root);
  if (!faults.empty()) {
    const auto before = [](const Fault& aLeft, const Fault& aRight) {
      return std::pair(aLeft.mLine, aLeft.mColumn) <
             std::pair(aRight.mLine, aRight.mColumn);
    };
    std::stable_sort(faults.begin(), faults.end(), before);
    return tl::unexpected<Faults>(std::move(faults));
  }
  return deployment;
}

} // namespace wasabispread
