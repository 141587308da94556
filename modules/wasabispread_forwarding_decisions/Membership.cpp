/*
 * Entering the fleet and asking its members.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** A lease outlives two missed renewals. A VM that is gone keeps its part of
    shared limits for this long, which is no loss, so renewals may be rare. */
constexpr Duration kLeaseLifetime = std::chrono::seconds(24);
constexpr Duration kRenewInterval = kLeaseLifetime / 3;
constexpr Duration kLeaseRetry = std::chrono::milliseconds(800);
/** A VM that left may be restarting; its part of shared limits is kept free
    for longer than a restart takes. */
constexpr Duration kMemoryOfLeft = std::chrono::seconds(15);
/** Until every VM has had time to enter, after a start of all at once, limits
    are divided by this many at least. */
constexpr std::size_t kLeastAtStart = 8;
constexpr Duration kEntryTime = std::chrono::seconds(5);
/** With no list of VMs at all. */
constexpr std::size_t kUnknownFleet = 16;
/** Between questions to other VMs while the store does not answer: several
    fit into the time in which a configuration must be in force. */
constexpr Duration kAskInterval = std::chrono::milliseconds(600);

TargetRecord
RecordOf(const RegisteredTarget& aTarget)
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

void
RetryLease(ForwarderState& aState, TimePoint aNow)
{
  aState.mTimers.Arm(aNow + kLeaseRetry, ForwarderTimer::kLease);
}

} // namespace

std::size_t
FleetSize(const ForwarderState& aState, TimePoint aNow)
{
  if (!aState.mStore.mIsLoaded) {
    return kUnknownFleet;
  }
  const auto& members = aState.mFleet.mMembers;
  const auto count = static_cast<std::size_t>(
    std::count_if(members.begin(), members.end(), [aNow](const auto& aEntry) {
      const TimePoint left = aEntry.second.mLeft;
      return left == TimePoint::max() || aNow - left < kMemoryOfLeft;
    }));
  const bool isStarting = aNow - aState.mStarted < kEntryTime;
  return std::max(count, isStarting ? kLeastAtStart : 1);
}

void
ApplyMember(FleetState& aFleet, const MemberRecord& aRecord)
{
  Member member;
  member.mRecord = aRecord;
  aFleet.mMembers[aRecord.mName] = std::move(member);
}

void
RemoveMember(FleetState& aFleet, const std::string& aName, TimePoint aNow)
{
  const auto place = aFleet.mMembers.find(aName);
  if (place != aFleet.mMembers.end() &&
      place->second.mLeft == TimePoint::max()) {
    place->second.mLeft = aNow;
  }
}

void
PursueLease(ForwarderState& aState, TimePoint aNow, ForwarderEffects& aEffects)
{
  if (aState.mIsStopping) {
    return;
  }
  ++aState.mCounters.mStoreCalls;
  if (aState.mFleet.mLeaseStatus == LeaseStatus::kHeld) {
    aEffects.push_back(RenewLease{ aState.mFleet.mLease });
    return;
  }
  aState.mFleet.mLeaseStatus = LeaseStatus::kPending;
  aEffects.push_back(GrantLease{ kLeaseLifetime });
  static_cast<void>(aNow);
}

void
HandleLeaseGranted(ForwarderState& aState,
                   const LeaseGranted& aEvent,
                   TimePoint aNow,
                   ForwarderEffects& aEffects)
{
  if (!aEvent.mResult) {
    ++aState.mCounters.mStoreFailures;
    RetryLease(aState, aNow);
    return;
  }
  aState.mFleet.mLease = *aEvent.mResult;
  ++aState.mCounters.mStoreCalls;
  aEffects.push_back(WriteMember{ aState.mFleet.mLease });
}

void
HandleMemberWritten(ForwarderState& aState,
                    const MemberWritten& aEvent,
                    TimePoint aNow,
                    ForwarderEffects& aEffects)
{
  if (!aEvent.mResult) {
    ++aState.mCounters.mStoreFailures;
    aState.mFleet.mLeaseStatus = LeaseStatus::kNone;
    RetryLease(aState, aNow);
    return;
  }
  aState.mFleet.mLeaseStatus = LeaseStatus::kHeld;
  aState.mTimers.Arm(aNow + kRenewInterval, ForwarderTimer::kLease);
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
  if (!aEvent.mResult) {
    ++aState.mCounters.mStoreFailures;
    RetryLease(aState, aNow);
    return;
  }
  if (!*aEvent.mResult) {
    aState.mFleet.mLeaseStatus = LeaseStatus::kNone;
    aEffects.push_back(
      WriteDecisionRecord{ { RecordClass::kState,
                             "lease-ended",
                             {},
                             { { "vm", aState.mPolicy.mName } } } });
    PursueLease(aState, aNow, aEffects);
    return;
  }
  aState.mTimers.Arm(aNow + kRenewInterval, ForwarderTimer::kLease);
}

void
AskNextPeer(ForwarderState& aState, TimePoint aNow, ForwarderEffects& aEffects)
{
  if (!aState.mStore.IsUnavailable() || aState.mIsStopping) {
    aState.mFleet.mIsAsking = false;
    return;
  }
  aState.mFleet.mIsAsking = true;
  aState.mTimers.Arm(aNow + kAskInterval, ForwarderTimer::kAskPeer);
  const ConfigurationVersion known = aState.mConfiguration == nullptr
                                       ? ConfigurationVersion{}
                                       : aState.mConfiguration->mVersion;
  // In turn by name, so that each VM is asked within a round.
  const auto& members = aState.mFleet.mMembers;
  auto next = members.upper_bound(aState.mFleet.mLastAsked);
  for (std::size_t step = 0; step < members.size(); ++step, ++next) {
    if (next == members.end()) {
      next = members.begin();
    }
    if (next->first != aState.mPolicy.mName) {
      aState.mFleet.mLastAsked = next->first;
      aEffects.push_back(RequestPeerRouting{
        next->first, next->second.mRecord.mAddress, known });
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
  // Targets first: a configuration may name services that have just started.
  std::vector<StoreChange> entries;
  for (const RegisteredTarget& target : aEvent.mTargets) {
    ApplyTarget(aState, RecordOf(target), aNow, aEffects);
    entries.push_back(TargetChange{ RecordOf(target) });
  }
  if (!entries.empty()) {
    RemoveTargetsMissingFrom(aState, entries, aNow, aEffects);
    RefreshAssignments(aState, aNow, aEffects);
  }
  if (!aEvent.mConfiguration) {
    return;
  }
  if (*aEvent.mConfiguration) {
    AdoptConfiguration(
      aState, **aEvent.mConfiguration, "vm " + aEvent.mPeer, aNow, aEffects);
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
MakeRoutingReply(const ForwarderState& aState, std::uint64_t aKnownVersion)
{
  RoutingReply reply;
  const bool isNewer = aState.mConfiguration != nullptr &&
                       aState.mConfiguration->mVersion.Value() > aKnownVersion;
  reply.mText =
    isNewer ? aState.mConfigurationText : std::make_shared<const std::string>();
  if (aState.mStore.IsUnavailable()) {
    return reply;
  }
  for (const auto& [key, target] : aState.mTargets) {
    if (!target.mIsRetired && target.mMissingSince == TimePoint::max()) {
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
