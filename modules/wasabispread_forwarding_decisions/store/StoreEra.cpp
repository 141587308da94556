/*
 * Begins eras and keeps what is not confirmed yet.
 */
#include "../wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** The time over which the VMs spread their first lists of an era, and the
    renewals of their leases. */
constexpr Duration kSpread = std::chrono::milliseconds(600);
/** The pause after an answer that cannot be used. */
constexpr Duration kUnusablePause = std::chrono::milliseconds(800);
/** The time in which operators, targets and VMs write again. */
constexpr Duration kSettleTime = std::chrono::seconds(5);

Duration
RandomPart(ForwarderState& aState, Duration aTime)
{
  return Duration(static_cast<std::int64_t>(
    aState.mRandom.Fraction() * static_cast<double>(aTime.count())));
}

} // namespace

EraVerdict
JudgeEra(EraState& aEra, StoreEra aSeen)
{
  if (aEra.mEra == 0) {
    aEra.mEra = aSeen;
    return EraVerdict::kPresent;
  }
  if (aSeen == aEra.mEra) {
    return EraVerdict::kPresent;
  }
  return aSeen > aEra.mEra ? EraVerdict::kNew : EraVerdict::kUnusable;
}

void
BeginEra(ForwarderState& aState,
         StoreEra aEra,
         TimePoint aNow,
         ForwarderEffects& aEffects)
{
  EraState& era = aState.mEra;
  StoreState& store = aState.mStore;
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kState,
      "store-era",
      {},
      { { "era", static_cast<std::int64_t>(aEra) },
        { "previous", static_cast<std::int64_t>(era.mEra) },
        { "revision",
          static_cast<std::int64_t>(store.mRevision.Value()) } } } });
  era.mEra = aEra;
  era.mBegan = aNow;
  era.mIsFirstList = true;
  era.mEvacuations.clear();
  // Nothing of the earlier era is comparable any more.
  store.mRevision = StoreRevision{};
  store.mNewestListed = StoreRevision{};
  aState.mFreshness.mNewestSeen = StoreRevision{};
  aState.mOvertakenEntries.clear();
  for (auto& [instance, history] : aState.mEntryHistories) {
    history.mRevision = StoreRevision{};
  }
  store.mNeedsList = true;
  store.mNeedsFreshList = true;
  ForgetChanges(aState.mRelay, StoreRevision{});
  RefuseWaitingVms(aState, aNow, aEffects);
  aState.mRelay.mAwaited.reset();
  ForgetClaims(aState, aNow);
  if (store.mPendingCall &&
      store.mPendingCall->mKind == PendingStoreCall::Kind::kWatch) {
    aEffects.push_back(AbandonWatch{});
  }
  store.mPendingCall.reset();
  aState.mTimers.Arm(aNow + RandomPart(aState, kSpread),
                     ForwarderTimer::kFollowStore);
  aState.mTimers.Arm(aNow + kSettleTime, ForwarderTimer::kEraSettled);
  // The lease is gone with the entry under it.
  MembershipState& membership = aState.mMembership;
  if (membership.mLeaseStatus == LeaseStatus::kHeld) {
    membership.mLeaseStatus = LeaseStatus::kNone;
    membership.mRenewAt = aNow + RandomPart(aState, kSpread);
    aState.mTimers.Arm(membership.mRenewAt, ForwarderTimer::kLease);
  }
}

void
HandleUnusableEra(ForwarderState& aState,
                  StoreEra aSeen,
                  TimePoint aNow,
                  ForwarderEffects& aEffects)
{
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kNotable,
      "store-answer-of-earlier-era",
      {},
      { { "era", static_cast<std::int64_t>(aSeen) },
        { "known", static_cast<std::int64_t>(aState.mEra.mEra) } } } });
  aState.mStore.mPendingCall.reset();
  aState.mTimers.Arm(aNow + kUnusablePause, ForwarderTimer::kFollowStore);
}

void
KeepUnconfirmed(ForwarderState& aState,
                const std::vector<StoreChange>& aEntries,
                TimePoint aNow)
{
  // Targets that are missing are in use until the time for their registration
  // after an outage is over.
  aState.mStore.mAvailableAgainSince = aNow;
  std::set<std::string> listed;
  for (const StoreChange& entry : aEntries) {
    if (const auto* member = std::get_if<MemberChange>(&entry)) {
      listed.insert(member->mRecord.mName);
    }
  }
  for (auto& [name, member] : aState.mMembership.mMembers) {
    member.mIsUnconfirmed = !listed.contains(name);
  }
  aState.mEra.mEvacuations = EvacuatedZones(aEntries);
}

void
HandleEraSettled(ForwarderState& aState,
                 TimePoint aNow,
                 ForwarderEffects& aEffects)
{
  if (aNow < aState.mEra.mBegan + kSettleTime || aState.mEra.mIsFirstList) {
    return;
  }
  std::vector<std::string> gone;
  for (const auto& [name, member] : aState.mMembership.mMembers) {
    if (member.mIsUnconfirmed) {
      gone.push_back(name);
    }
  }
  for (const std::string& name : gone) {
    RemoveMember(aState.mMembership, name, aNow);
  }
  const std::vector<ZoneName> evacuated = aState.mEra.mEvacuations;
  SetEvacuations(aState, evacuated, aNow, aEffects);
  RefreshAssignments(aState, aNow, aEffects);
}

std::uint64_t
TermOf(StoreEra aEra, StoreRevision aRevision)
{
  constexpr unsigned kRevisionBits = 44;
  return (aEra << kRevisionBits) + aRevision.Value();
}

} // namespace wasabispread::forwarding
