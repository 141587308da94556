/*
 * Assigns targets to VMs by zone and by the VM's rank.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** This VM's rank among all VMs, in an order that differs per service. */
std::size_t
RankOf(const std::vector<std::string>& aVms,
       const std::string& aSelf,
       ServiceId aService)
{
  const std::uint64_t own = StableHash(aSelf, aService.Value());
  return static_cast<std::size_t>(
    std::count_if(aVms.begin(), aVms.end(), [&](const std::string& aVm) {
      return StableHash(aVm, aService.Value()) < own;
    }));
}

std::vector<std::string>
MemberNames(const ForwarderState& aState)
{
  std::vector<std::string> names;
  for (const auto& [name, member] : aState.mMembership.mMembers) {
    if (member.mLeftAt == TimePoint::max()) {
      names.push_back(name);
    }
  }
  if (names.empty()) {
    names.push_back(aState.mPolicy.mName);
  }
  return names;
}

std::size_t
MaxVms(const ForwarderState& aState, ServiceId aService)
{
  const auto& services = aState.mConfiguration->mServices;
  const auto service = services.find(aService);
  const double maxConnections =
    service == services.end()
      ? 1
      : static_cast<double>(service->second.mMaxConnections);
  return std::max<std::size_t>(
    1, static_cast<std::size_t>(kUsableConnectionShare * maxConnections));
}

/** Closes the idle connections to a target that other VMs use from now on. */
void
CloseIdleConnections(ForwarderState& aState,
                     TargetState& aTarget,
                     ForwarderEffects& aEffects)
{
  const std::vector<ConnectionId> idle = aTarget.mIdle;
  for (const ConnectionId id : idle) {
    CloseTargetConnection(aState, id, aEffects);
  }
}

} // namespace

std::vector<bool>
AssignTargets(const std::vector<AssignableTarget>& aTargets,
              const std::vector<std::string>& aVms,
              const std::string& aSelf,
              const ZoneName& aSelfZone,
              const ServiceId& aService,
              std::size_t aMaxVms)
{
  const std::size_t vms = std::max<std::size_t>(1, aVms.size());
  const std::size_t wanted =
    std::max<std::size_t>(1, aTargets.size() * aMaxVms / vms);
  if (wanted >= aTargets.size()) {
    return std::vector<bool>(aTargets.size(), true);
  }
  std::vector<std::size_t> order(aTargets.size());
  for (std::size_t position = 0; position < order.size(); ++position) {
    order[position] = position;
  }
  std::sort(order.begin(), order.end(), [&](auto aLeft, auto aRight) {
    return aTargets[aLeft].mInstance < aTargets[aRight].mInstance;
  });
  const std::size_t rank = RankOf(aVms, aSelf, aService) % order.size();
  std::rotate(order.begin(),
              order.begin() + static_cast<std::ptrdiff_t>(rank),
              order.end());
  std::stable_partition(order.begin(), order.end(), [&](std::size_t aTarget) {
    return aTargets[aTarget].mZone == aSelfZone;
  });
  std::vector<bool> assigned(aTargets.size(), false);
  for (std::size_t count = 0; count < wanted; ++count) {
    assigned[order[count]] = true;
  }
  return assigned;
}

void
RefreshAssignments(ForwarderState& aState,
                   TimePoint aNow,
                   ForwarderEffects& aEffects)
{
  if (aState.mConfiguration == nullptr) {
    return;
  }
  ReviewQuotaClaims(aState, aNow, aEffects);
  RefreshShardOwnership(aState, aNow);
  for (auto& [key, target] : aState.mTargets) {
    RefreshLimit(aState, target, aNow);
    RefreshColdLimit(aState, target, aNow, aEffects);
  }
  ConnectToOwners(aState, aNow, aEffects);
  const std::vector<std::string> vms = MemberNames(aState);
  for (const auto& [service, keys] : aState.mTargetsOfService) {
    std::vector<AssignableTarget> targets;
    for (const TargetKey key : keys) {
      const TargetRecord& record = aState.mTargets.at(key).mRecord;
      targets.push_back({ record.mInstance, record.mZone });
    }
    const std::vector<bool> assigned =
      aState.mShardOwnership.HasOwner(service)
        ? std::vector<bool>(targets.size(), IsOwnShard(aState, service))
        : AssignTargets(targets,
                        vms,
                        aState.mPolicy.mName,
                        aState.mPolicy.mZone,
                        service,
                        MaxVms(aState, service));
    for (std::size_t position = 0; position < keys.size(); ++position) {
      TargetState& target = aState.mTargets.at(keys[position]);
      if (target.mIsAssigned && !assigned[position]) {
        CloseIdleConnections(aState, target, aEffects);
      }
      target.mIsAssigned = assigned[position];
      EnsureConnection(aState, target, aNow, aEffects);
    }
  }
}

} // namespace wasabispread::forwarding
