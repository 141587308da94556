/*
 * Computes this VM's part of a target's limit and counts its requests.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <cmath>

namespace wasabispread::forwarding {

namespace {

/** The senders that a limit has room for, whatever it is, and how many more for
    each request per second. */
constexpr double kMinSenders = 4;
constexpr double kSendersPerRate = 0.5;
/** The part of the limit that all VMs together use to learn whether it still
    holds, if they are not senders, and the least such rate. */
constexpr double kProbeShare = 0.25;
constexpr double kMinProbedRate = 1;
constexpr std::uint64_t kSenderSalt = 0x6c696d6974;
/** The longest wait that is stated for a limit of nearly nothing. */
constexpr double kMaxWaitSeconds = 60;

using VmsOfZone = std::map<ZoneName, std::vector<ShardOwnerCandidate>>;

/** The VMs that share limits, this one included, by zone. */
VmsOfZone
SharingVms(const ForwarderState& aState, TimePoint aNow)
{
  VmsOfZone vms;
  bool hasSelf = false;
  for (const auto& [name, member] : aState.mMembership.mMembers) {
    if (SharesLimits(member, aNow)) {
      vms[member.mRecord.mZone].push_back(
        { name, member.mRecord.mProcessorShare });
      hasSelf = hasSelf || name == aState.mPolicy.mName;
    }
  }
  if (!hasSelf) {
    vms[aState.mPolicy.mZone].push_back(
      { aState.mPolicy.mName, aState.mPolicy.mProcessorShare });
  }
  return vms;
}

/** The search route with the most shards among those that query the service;
    null when none does. */
const Route*
SearchRouteOf(const ForwarderState& aState, ServiceId aService)
{
  const Route* widest = nullptr;
  if (aState.mConfiguration == nullptr) {
    return nullptr;
  }
  for (const Route& route : aState.mConfiguration->mRoutes) {
    const bool queries =
      std::find(route.mShards.begin(), route.mShards.end(), aService) !=
      route.mShards.end();
    if (queries &&
        (widest == nullptr || route.mShards.size() > widest->mShards.size())) {
      widest = &route;
    }
  }
  return widest;
}

bool
HasTargetIn(const ForwarderState& aState,
            ServiceId aService,
            const ZoneName& aZone)
{
  const auto targets = aState.mTargetsOfService.find(aService);
  return targets != aState.mTargetsOfService.end() &&
         std::any_of(
           targets->second.begin(), targets->second.end(), [&](TargetKey aKey) {
             return aState.mTargets.at(aKey).mRecord.mZone == aZone;
           });
}

/** The VMs that query a service: of a shard, its owners or else the VMs in the
    zones of its targets; of any other service, all VMs. */
std::vector<std::string>
QueryingVms(const ForwarderState& aState, ServiceId aService, TimePoint aNow)
{
  const Route* search = SearchRouteOf(aState, aService);
  std::vector<std::string> all;
  std::vector<std::string> ofShard;
  for (const auto& [zone, vms] : SharingVms(aState, aNow)) {
    for (const ShardOwnerCandidate& vm : vms) {
      all.push_back(vm.mName);
    }
    if (search == nullptr || !HasTargetIn(aState, aService, zone)) {
      continue;
    }
    const std::vector<std::string> owners =
      UsesShardOwners(search->mShards.size()) ? ChooseShardOwners(vms)
                                              : std::vector<std::string>{};
    if (!owners.empty()) {
      ofShard.push_back(owners[ChooseShardOwner(owners, aService)]);
      continue;
    }
    for (const ShardOwnerCandidate& vm : vms) {
      ofShard.push_back(vm.mName);
    }
  }
  return ofShard.empty() ? all : ofShard;
}

/** The rate that a cold target of the service takes; 0 when none is named. */
double
ColdRateOf(const ForwarderState& aState, ServiceId aService)
{
  if (aState.mConfiguration == nullptr) {
    return 0;
  }
  const auto& services = aState.mConfiguration->mServices;
  const auto service = services.find(aService);
  return service == services.end() ? 0 : service->second.mColdRate;
}

double
AllowanceAt(const RequestLimit& aLimit, TimePoint aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - aLimit.mAllowanceTime).count();
  return std::min(aLimit.mCapacity,
                  aLimit.mAllowance + aLimit.mRate * std::max(0.0, seconds));
}

} // namespace

namespace {

/** The VMs that share a target's limit. */
struct LimitShare
{
  bool mIsSender = false;
  /** Into how many parts the limit is divided. */
  double mParts = 1;
};

/** Chooses as many of the VMs that query the target as the limit has room
    for. */
LimitShare
ShareLimit(const ForwarderState& aState,
           const TargetRecord& aTarget,
           double aRoom,
           TimePoint aNow)
{
  std::vector<std::string> senders =
    QueryingVms(aState, aTarget.mService, aNow);
  const auto most = static_cast<std::size_t>(
    std::min(aRoom, static_cast<double>(senders.size())));
  const std::uint64_t salt = StableHash(aTarget.mInstance.Value(), kSenderSalt);
  std::sort(senders.begin(),
            senders.end(),
            [&](const std::string& aLeft, const std::string& aRight) {
              return StableHash(aLeft, salt) < StableHash(aRight, salt);
            });
  senders.resize(most);
  LimitShare share;
  share.mIsSender =
    std::find(senders.begin(), senders.end(), aState.mPolicy.mName) !=
    senders.end();
  share.mParts =
    static_cast<double>(std::max(senders.size(), MinFleetSize(aState, aNow)));
  return share;
}

} // namespace

void
RefreshLimit(ForwarderState& aState, TargetState& aTarget, TimePoint aNow)
{
  RequestLimit& limit = aTarget.mLimit;
  if (!limit.mPerSecond) {
    return;
  }
  limit.mAllowance = AllowanceAt(limit, aNow);
  limit.mAllowanceTime = aNow;
  const double perSecond = *limit.mPerSecond;
  const double room = std::floor(kSendersPerRate * perSecond) + kMinSenders;
  const LimitShare share = ShareLimit(aState, aTarget.mRecord, room, aNow);
  const double probeRate = kProbeShare * std::max(perSecond, kMinProbedRate) /
                           static_cast<double>(FleetSize(aState, aNow));
  limit.mRate =
    share.mIsSender ? std::max(perSecond / share.mParts, probeRate) : probeRate;
  limit.mCapacity = share.mIsSender ? std::max(1.0, room / share.mParts) : 1;
  limit.mAllowance = std::min(limit.mAllowance, limit.mCapacity);
}

void
RefreshColdLimit(ForwarderState& aState,
                 TargetState& aTarget,
                 TimePoint aNow,
                 ForwarderEffects& aEffects)
{
  RequestLimit& limit = aTarget.mColdLimit;
  const double rate = ColdRateOf(aState, aTarget.mRecord.mService);
  if (rate == 0 || aNow >= aTarget.mWarmUntil) {
    limit = RequestLimit{};
    return;
  }
  const ColdRule& rule = aState.mPolicy.mColdRule;
  const double most = rate * rule.mOverage + rule.mSlack;
  // Each sender may send one request at once, and all together the rate.
  const double room = std::max(1.0, std::floor(most - rate));
  const LimitShare share = ShareLimit(aState, aTarget.mRecord, room, aNow);
  const bool begins = !limit.mPerSecond;
  limit.mAllowance = begins ? 1 : AllowanceAt(limit, aNow);
  limit.mAllowanceTime = aNow;
  limit.mPerSecond = rate;
  limit.mCapacity = std::max(1.0, room / share.mParts);
  // The first requests count too where the rule leaves no room for them.
  limit.mRate = share.mIsSender
                  ? std::max(0.0, std::min(rate, most - room)) / share.mParts
                  : 0;
  limit.mAllowance =
    share.mIsSender ? std::min(limit.mAllowance, limit.mCapacity) : 0;
  if (begins) {
    aEffects.push_back(WriteDecisionRecord{
      { RecordClass::kNotable,
        "target-cold",
        {},
        { { "target", aTarget.mRecord.mInstance.Value() },
          { "service", NameOf(aState, aTarget.mRecord.mService) },
          { "for_ms", ToMilliseconds(aTarget.mWarmUntil - aNow) },
          { "requests_per_second", rate },
          { "own_requests_per_second", limit.mRate } } } });
  }
}

std::size_t
CountCold(const ForwarderState& aState, TimePoint aNow)
{
  return static_cast<std::size_t>(std::count_if(
    aState.mTargets.begin(), aState.mTargets.end(), [&](const auto& aEntry) {
      const TargetState& target = aEntry.second;
      return target.mColdLimit.mPerSecond && aNow < target.mWarmUntil;
    }));
}

void
RecordLimit(ForwarderState& aState,
            TargetState& aTarget,
            const Reply& aReply,
            TimePoint aNow,
            ForwarderEffects& aEffects)
{
  const bool isComplete = aReply.mKind == ReplyKind::kSuccess ||
                          aReply.mKind == ReplyKind::kFailure ||
                          aReply.mKind == ReplyKind::kNotRun;
  RequestLimit& limit = aTarget.mLimit;
  if (!isComplete || aReply.mRequestLimit == limit.mPerSecond) {
    return;
  }
  const bool isFirst = !limit.mPerSecond;
  limit.mPerSecond = aReply.mRequestLimit;
  if (isFirst) {
    // The VMs learn of the limit at about the same time. Different starts keep
    // those that send rarely from sending at the same time later.
    limit.mAllowance = -aState.mRandom.Fraction();
    limit.mAllowanceTime = aNow;
    limit.mRate = 0;
  }
  RefreshLimit(aState, aTarget, aNow);
  DecisionRecord record{
    RecordClass::kNotable,
    limit.mPerSecond ? "target-limit-named" : "target-limit-ended",
    {},
    { { "target", aTarget.mRecord.mInstance.Value() },
      { "service", NameOf(aState, aTarget.mRecord.mService) } }
  };
  if (limit.mPerSecond) {
    record.mFields.push_back({ "requests_per_second", *limit.mPerSecond });
    record.mFields.push_back({ "own_requests_per_second", limit.mRate });
  }
  aEffects.push_back(WriteDecisionRecord{ std::move(record) });
}

Duration
WaitForAllowance(const RequestLimit& aLimit, TimePoint aNow)
{
  if (!aLimit.mPerSecond) {
    return Duration::zero();
  }
  const double missing = 1 - AllowanceAt(aLimit, aNow);
  if (missing <= 0) {
    return Duration::zero();
  }
  const double seconds =
    std::min(kMaxWaitSeconds,
             aLimit.mRate > 0 ? missing / aLimit.mRate : kMaxWaitSeconds);
  return std::max(Duration(1),
                  std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(seconds)));
}

Duration
WaitForColdLimit(const TargetState& aTarget, TimePoint aNow)
{
  return aNow < aTarget.mWarmUntil ? WaitForAllowance(aTarget.mColdLimit, aNow)
                                   : Duration::zero();
}

void
TakeAllowance(RequestLimit& aLimit, TimePoint aNow)
{
  if (aLimit.mPerSecond) {
    aLimit.mAllowance = AllowanceAt(aLimit, aNow) - 1;
    aLimit.mAllowanceTime = aNow;
  }
}

} // namespace wasabispread::forwarding
