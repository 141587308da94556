/*
 * This VM's lease and entry in the store, the fleet's size, and routing
 * requests to other VMs while the store is unavailable.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** Lifetime of the lease: it outlives two missed renewals. A VM that stopped
    keeps its share of common limits for this long, which costs little, so
    renewals can be rare. */
constexpr Duration kLeaseLifetime = std::chrono::seconds(24);
constexpr Duration kRenewInterval = kLeaseLifetime / 3;
constexpr Duration kLeaseRetry = std::chrono::milliseconds(800);
/** How long a VM that left still counts in the fleet's size: it may be
    restarting, so its share of common limits is kept free for longer than a
    restart takes. */
constexpr Duration kLeftMemberRetention = std::chrono::seconds(15);
/** Minimum fleet size by which limits are divided within kRegistrationTime
    after a start, so that all VMs that start together have had time to
    register. */
constexpr std::size_t kMinFleetSizeAtStart = 8;
/** Fleet size that is assumed before any list of VMs was read. */
constexpr std::size_t kUnknownFleetSize = 16;
/** Interval between routing requests to other VMs while the store is
    unavailable: several fit into the time in which a configuration must be in
    force. */
constexpr Duration kPeerRequestInterval = std::chrono::milliseconds(600);

TargetRecord
ToTargetRecord(const RegisteredTarget& aTarget)
{
  TargetRecord record;
  record.mInstance = InstanceId(aTarget.mInstance);
  record.mBorn = aTarget.mBorn;
  record.mSequence = aTarget.mSequence;
  record.mService = aTarget.mService;
  record.mAddress = aTarget.mAddress;
  record.mZone = aTarget.mZone;
  record.mSlots = aTarget.mSlots;
  return record;
}

/** Remembers when a routing request was sent; returns its sequence. */
std::uint64_t
RememberRoutingRequest(MembershipState& aMembership, TimePoint aNow)
{
  constexpr std::size_t kMaxRemembered = 16;
  auto& requests = aMembership.mRoutingRequests;
  if (requests.size() == kMaxRemembered) {
    requests.erase(requests.begin());
  }
  const std::uint64_t sequence = aMembership.mNextRoutingRequest++;
  requests[sequence] = aNow;
  return sequence;
}

void
ScheduleRenewal(ForwarderState& aState, TimePoint aNow)
{
  aState.mMembership.mRenewAt = aNow + kRenewInterval;
  aState.mTimers.Arm(aState.mMembership.mRenewAt, ForwarderTimer::kLease);
}

void
RetryLease(ForwarderState& aState, TimePoint aNow)
{
  aState.mMembership.mRenewAt = aNow + kLeaseRetry;
  aState.mTimers.Arm(aNow + kLeaseRetry, ForwarderTimer::kLease);
}

} // namespace

std::size_t
FleetSize(const ForwarderState& aState, TimePoint aNow)
{
  if (!aState.mStore.mIsLoaded) {
    return kUnknownFleetSize;
  }
  const auto& members = aState.mMembership.mMembers;
  const auto count = static_cast<std::size_t>(
    std::count_if(members.begin(), members.end(), [aNow](const auto& aMember) {
      return SharesLimits(aMember.second, aNow);
    }));
  return std::max(count, MinFleetSize(aState, aNow));
}

std::size_t
MinFleetSize(const ForwarderState& aState, TimePoint aNow)
{
  return aNow - aState.mStarted < kRegistrationTime ? kMinFleetSizeAtStart : 1;
}

bool
SharesLimits(const Member& aMember, TimePoint aNow)
{
  return aMember.mLeftAt == TimePoint::max() ||
         aNow - aMember.mLeftAt < kLeftMemberRetention;
}

bool
IsInOwnZone(const ForwarderState& aState, const std::string& aVm)
{
  const auto member = aState.mMembership.mMembers.find(aVm);
  return member != aState.mMembership.mMembers.end() &&
         member->second.mRecord.mZone == aState.mPolicy.mZone;
}

void
ApplyMember(MembershipState& aMembership, const MemberRecord& aRecord)
{
  Member member;
  member.mRecord = aRecord;
  aMembership.mMembers[aRecord.mName] = std::move(member);
}

void
RemoveMember(MembershipState& aMembership,
             const std::string& aName,
             TimePoint aNow)
{
  const auto found = aMembership.mMembers.find(aName);
  if (found != aMembership.mMembers.end() &&
      found->second.mLeftAt == TimePoint::max()) {
    found->second.mLeftAt = aNow;
  }
}

void
AcquireOrRenewLease(ForwarderState& aState,
                    TimePoint aNow,
                    ForwarderEffects& aEffects)
{
  if (aState.IsStopping()) {
    return;
  }
  MembershipState& membership = aState.mMembership;
  if (membership.mLeaseStatus == LeaseStatus::kHeld) {
    // A timer that was set before the renewal was moved has no effect.
    if (aNow < membership.mRenewAt) {
      return;
    }
    membership.mRenewAt = TimePoint::max();
    ++aState.mCounters.mStoreCalls;
    aEffects.push_back(RenewLease{ aState.mMembership.mLease });
    return;
  }
  ++aState.mCounters.mStoreCalls;
  membership.mLeaseStatus = LeaseStatus::kPending;
  aEffects.push_back(GrantLease{ kLeaseLifetime });
}

void
HandleLeaseGranted(ForwarderState& aState,
                   const LeaseGranted& aEvent,
                   TimePoint aNow,
                   ForwarderEffects& aEffects)
{
  if (aEvent.mPurpose == LeasePurpose::kQuota) {
    HandleQuotaLeaseGranted(aState, aEvent.mResult, aNow, aEffects);
    return;
  }
  if (!aEvent.mResult) {
    ++aState.mCounters.mStoreFailures;
    RetryLease(aState, aNow);
    return;
  }
  aState.mMembership.mLease = *aEvent.mResult;
  ++aState.mCounters.mStoreCalls;
  aEffects.push_back(WriteMember{ aState.mMembership.mLease });
}

void
HandleMemberWritten(ForwarderState& aState,
                    const MemberWritten& aEvent,
                    TimePoint aNow,
                    ForwarderEffects& aEffects)
{
  if (!aEvent.mResult) {
    ++aState.mCounters.mStoreFailures;
    aState.mMembership.mLeaseStatus = LeaseStatus::kNone;
    RetryLease(aState, aNow);
    return;
  }
  aState.mMembership.mLeaseStatus = LeaseStatus::kHeld;
  ScheduleRenewal(aState, aNow);
  aEffects.push_back(
    WriteDecisionRecord{ { RecordClass::kState,
                           "vm-registered",
                           {},
                           { { "vm", aState.mPolicy.mName } } } });
}

void
HandleLeaseRenewed(ForwarderState& aState,
                   const LeaseRenewed& aEvent,
                   TimePoint aNow,
                   ForwarderEffects& aEffects)
{
  if (aEvent.mPurpose == LeasePurpose::kQuota) {
    HandleQuotaLeaseRenewed(aState, aEvent.mResult, aNow, aEffects);
    return;
  }
  if (!aEvent.mResult) {
    ++aState.mCounters.mStoreFailures;
    RetryLease(aState, aNow);
    return;
  }
  if (!*aEvent.mResult) {
    aState.mMembership.mLeaseStatus = LeaseStatus::kNone;
    aEffects.push_back(
      WriteDecisionRecord{ { RecordClass::kState,
                             "lease-ended",
                             {},
                             { { "vm", aState.mPolicy.mName } } } });
    AcquireOrRenewLease(aState, aNow, aEffects);
    return;
  }
  ScheduleRenewal(aState, aNow);
}

void
RequestRoutingFromNextPeer(ForwarderState& aState,
                           TimePoint aNow,
                           ForwarderEffects& aEffects)
{
  if (!aState.mStore.IsUnavailable() || aState.IsStopping()) {
    aState.mMembership.mIsAskingPeers = false;
    return;
  }
  aState.mMembership.mIsAskingPeers = true;
  aState.mTimers.Arm(aNow + kPeerRequestInterval,
                     ForwarderTimer::kRequestPeerRouting);
  const ConfigurationVersion known = aState.mConfiguration == nullptr
                                       ? ConfigurationVersion{}
                                       : aState.mConfiguration->mVersion;
  // Members are asked in turn by name, so that each one is asked once per
  // round.
  const auto& members = aState.mMembership.mMembers;
  auto next = members.upper_bound(aState.mMembership.mLastAskedPeer);
  for (std::size_t step = 0; step < members.size(); ++step, ++next) {
    if (next == members.end()) {
      next = members.begin();
    }
    if (next->first != aState.mPolicy.mName) {
      aState.mMembership.mLastAskedPeer = next->first;
      const std::uint64_t sequence =
        RememberRoutingRequest(aState.mMembership, aNow);
      aEffects.push_back(RequestPeerRouting{
        next->first, next->second.mRecord.mAddress, known, sequence });
      return;
    }
  }
}

void
HandlePeerRouting(ForwarderState& aState,
                  const PeerRouting& aEvent,
                  TimePoint aNow,
                  ForwarderEffects& aEffects)
{
  if (!aState.mStore.IsUnavailable()) {
    return;
  }
  // Targets are applied before the configuration, which may name services whose
  // targets have just started.
  std::vector<StoreChange> entries;
  for (const RegisteredTarget& target : aEvent.mTargets) {
    const TargetChange change{ ToTargetRecord(target) };
    ApplyTarget(aState, change, aNow, aEffects);
    entries.push_back(change);
  }
  if (!entries.empty()) {
    RemoveTargetsMissingFrom(aState, entries, aNow, aEffects);
    RefreshAssignments(aState, aNow, aEffects);
    RetryStoreSooner(aState, aNow, aEffects);
  }
  if (aEvent.mAge) {
    SetEvacuations(aState, aEvent.mEvacuatedZones, aNow, aEffects);
  }
  const bool isReadable = !aEvent.mConfiguration || *aEvent.mConfiguration;
  if (aEvent.mConfiguration && isReadable) {
    AdoptConfiguration(
      aState, **aEvent.mConfiguration, "vm " + aEvent.mPeer, aNow, aEffects);
  }
  if (isReadable) {
    const auto asked =
      aState.mMembership.mRoutingRequests.find(aEvent.mSequence);
    if (aEvent.mAge && asked != aState.mMembership.mRoutingRequests.end()) {
      // The age was stated after the request was sent.
      RecordSound(aState, asked->second - *aEvent.mAge);
    }
    return;
  }
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kNotable,
      "peer-configuration-unreadable",
      {},
      { { "vm", aEvent.mPeer },
        { "error", aEvent.mConfiguration->error().mMessage } } } });
}

RoutingReply
MakeRoutingReply(const ForwarderState& aState,
                 const RoutingRequest& aRequest,
                 TimePoint aNow)
{
  RoutingReply reply;
  reply.mSequence = aRequest.mSequence;
  const bool isNewer =
    aState.mConfiguration != nullptr &&
    aState.mConfiguration->mVersion.Value() > aRequest.mKnownVersion;
  reply.mText =
    isNewer ? aState.mConfigurationText : std::make_shared<const std::string>();
  if (aState.mStore.IsUnavailable()) {
    return reply;
  }
  if (aState.mStore.mIsLoaded) {
    reply.mAge = SoundAge(aState, aNow);
  }
  for (const auto& [zone, since] : aState.mEvacuations) {
    reply.mEvacuatedZones.push_back(zone);
  }
  for (const auto& [key, target] : aState.mTargets) {
    if (!target.mIsRetired && target.mEntryMissingSince == TimePoint::max()) {
      const TargetRecord& record = target.mRecord;
      reply.mTargets.push_back(RegisteredTarget{ record.mInstance.Value(),
                                                 record.mBorn,
                                                 record.mSequence,
                                                 record.mService,
                                                 record.mAddress,
                                                 record.mZone,
                                                 record.mSlots });
    }
  }
  return reply;
}

} // namespace wasabispread::forwarding
