/*
 * Claims partitions and keeps the lease of the claims.
 */
#include "../wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <tuple>

namespace wasabispread::forwarding {

namespace {

/** Lifetime of the lease. A shorter one lets another VM take over sooner, a
    longer one outlives longer outages of the store. The platform's store
    applies it as asked. */
constexpr Duration kClaimLifetime = std::chrono::seconds(4);
constexpr Duration kRenewInterval = kClaimLifetime / 3;
constexpr Duration kRetry = std::chrono::milliseconds(400);
/** How much later than the candidate before it each VM claims a partition: a
    claim has been written and is known by then. */
constexpr Duration kTurn = std::chrono::milliseconds(1500);
/** VMs per VM that grants quota. Each VM with callers asks several times a
    second. */
constexpr std::size_t kVmsPerGranter = 30;
/** The number of VMs in turn to claim a partition; the rest follow last. */
constexpr std::size_t kMaxTurns = 6;
constexpr std::uint64_t kPartitionSalt = 0x71756f7461;

bool
HasLimits(const ForwarderState& aState)
{
  return aState.mConfiguration != nullptr &&
         aState.mConfiguration->mOrganisations &&
         aState.mConfiguration->mOrganisations->HasLimits();
}

/** The VMs that are present, those with the largest processor share first. */
std::vector<std::string>
RankedVms(const ForwarderState& aState)
{
  std::vector<const Member*> members;
  for (const auto& [name, member] : aState.mMembership.mMembers) {
    if (member.mLeftAt == TimePoint::max()) {
      members.push_back(&member);
    }
  }
  const auto rank = [](const Member* aMember) {
    return std::tuple(-aMember->mRecord.mProcessorShare,
                      StableHash(aMember->mRecord.mName, kPartitionSalt));
  };
  std::sort(members.begin(),
            members.end(),
            [&](const Member* aLeft, const Member* aRight) {
              return rank(aLeft) < rank(aRight);
            });
  std::vector<std::string> names;
  names.reserve(members.size());
  for (const Member* member : members) {
    names.push_back(member->mRecord.mName);
  }
  return names;
}

/** How many VMs claim the partition before this one. */
std::size_t
TurnOf(const ForwarderState& aState,
       const std::vector<std::string>& aRankedVms,
       std::uint32_t aPartition)
{
  const std::size_t granters = std::clamp<std::size_t>(
    aRankedVms.size() / kVmsPerGranter, 1, kQuotaPartitions);
  std::vector<std::string> candidates(
    aRankedVms.begin(),
    aRankedVms.begin() +
      static_cast<std::ptrdiff_t>(std::min(granters, aRankedVms.size())));
  std::sort(candidates.begin(),
            candidates.end(),
            [&](const std::string& aLeft, const std::string& aRight) {
              return StableHash(aLeft, aPartition) <
                     StableHash(aRight, aPartition);
            });
  for (std::size_t position = candidates.size(); position < aRankedVms.size();
       ++position) {
    candidates.push_back(aRankedVms[position]);
  }
  // The VM whose claim ended is likely lost.
  const auto last =
    std::find(candidates.begin(),
              candidates.end(),
              aState.mQuota.mClaims.mPartitions[aPartition].mLastHolder);
  if (last != candidates.end()) {
    std::rotate(last, last + 1, candidates.end());
  }
  const auto self =
    std::find(candidates.begin(), candidates.end(), aState.mPolicy.mName);
  return std::min(kMaxTurns,
                  static_cast<std::size_t>(self - candidates.begin()));
}

bool
MayClaim(const ForwarderState& aState)
{
  return HasLimits(aState) && aState.mStore.mIsLoaded &&
         !aState.mStore.IsUnavailable() && !aState.IsStopping();
}

/** Whether this VM may claim what nobody has claimed. VMs that start together
    know one another first, so that few of them try. */
bool
MayClaimVacant(const ForwarderState& aState, TimePoint aNow)
{
  return aState.mMembership.mLeaseStatus == LeaseStatus::kHeld &&
         aNow >= aState.mStarted + kStartupSettleTime;
}

/** The claims to be written now, and in aNext when others may have to be. */
std::vector<QuotaClaim>
DueClaims(const ForwarderState& aState, TimePoint aNow, TimePoint& aNext)
{
  std::vector<QuotaClaim> due;
  std::vector<std::string> ranked;
  const auto& partitions = aState.mQuota.mClaims.mPartitions;
  for (std::uint32_t number = 0; number < kQuotaPartitions; ++number) {
    const QuotaPartition& partition = partitions[number];
    if (partition.mClaim) {
      // The claim of an earlier process of this VM, which grants no more.
      if (partition.mClaim->mVm == aState.mPolicy.mName &&
          partition.mOwnTerm != partition.mClaim->mTerm) {
        due.push_back({ number, partition.mClaim->mRevision });
      }
      continue;
    }
    if (!MayClaimVacant(aState, aNow)) {
      aNext = std::min(
        aNext, std::max(aNow, aState.mStarted + kStartupSettleTime) + kRetry);
      continue;
    }
    if (ranked.empty()) {
      ranked = RankedVms(aState);
    }
    const TimePoint since =
      std::max(partition.mVacantSince, aState.mStarted + kStartupSettleTime);
    const TimePoint turn =
      since + kTurn * static_cast<int>(TurnOf(aState, ranked, number));
    if (aNow >= turn) {
      due.push_back({ number, StoreRevision{} });
    } else {
      aNext = std::min(aNext, turn);
    }
  }
  return due;
}

bool
HasOwnClaim(const QuotaClaims& aClaims)
{
  return std::any_of(
    aClaims.mPartitions.begin(),
    aClaims.mPartitions.end(),
    [](const QuotaPartition& aPartition) { return aPartition.mOwnTerm != 0; });
}

void
EndOwnTerm(QuotaPartition& aPartition)
{
  aPartition.mOwnTerm = 0;
  aPartition.mLedgers.clear();
}

void
RenewIfDue(ForwarderState& aState, TimePoint aNow, ForwarderEffects& aEffects)
{
  QuotaLease& lease = aState.mQuota.mClaims.mLease;
  if (!lease.mLease || lease.mAsked || aNow < lease.mRenewAt) {
    return;
  }
  if (!HasOwnClaim(aState.mQuota.mClaims) &&
      aState.mQuota.mClaims.mPending.empty()) {
    // A lease that is not needed ends by itself.
    return;
  }
  lease.mAsked = aNow;
  ++aState.mCounters.mStoreCalls;
  aEffects.push_back(RenewLease{ *lease.mLease, LeasePurpose::kQuota });
}

/** Arms the timer for the next step. */
void
ArmReview(ForwarderState& aState, TimePoint aWhen)
{
  if (aWhen != TimePoint::max()) {
    aState.mTimers.Arm(aWhen, ForwarderTimer::kQuotaClaims);
  }
}

/** Begins to grant the quota of a partition that this VM has just claimed. */
void
BeginOwnTerm(ForwarderState& aState,
             std::uint32_t aNumber,
             StoreRevision aRevision,
             TimePoint aNow,
             ForwarderEffects& aEffects)
{
  const std::uint64_t term = TermOf(aState.mEra.mEra, aRevision);
  QuotaPartition& partition = aState.mQuota.mClaims.mPartitions[aNumber];
  const QuotaRule& rule = aState.mPolicy.mQuotaRule;
  const TimePoint lastClaim =
    std::max(partition.mLastClaim, aState.mQuota.mClaims.mCompleteSince);
  partition.mMayGrantAtOnce = aNow - lastClaim >= rule.mWindow;
  partition.mOwnTerm = term;
  // A VM whose claim was lost with an era may not know it before its lease
  // would have ended.
  partition.mOwnSince = aState.mEra.mBegan == TimePoint{}
                          ? aNow
                          : std::max(aNow, aState.mEra.mBegan + kClaimLifetime);
  partition.mLedgers.clear();
  partition.mClaim = KnownClaim{
    aState.mPolicy.mName, aState.mPolicy.mPeerAddress, aRevision, term
  };
  partition.mLastHolder = aState.mPolicy.mName;
  partition.mLastClaim = aNow;
  partition.mVacantSince = TimePoint::max();
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kState,
      "quota-claimed",
      {},
      { { "partition", static_cast<std::int64_t>(aNumber) },
        { "term", static_cast<std::int64_t>(term) } } } });
}

} // namespace

std::uint32_t
PartitionOf(OrganisationId aOrganisation)
{
  return static_cast<std::uint32_t>(aOrganisation.Value() % kQuotaPartitions);
}

bool
IsGranting(const ForwarderState& aState,
           const QuotaPartition& aPartition,
           TimePoint aNow)
{
  return aPartition.mOwnTerm != 0 && !aState.IsStopping() &&
         aNow >= aPartition.mOwnSince &&
         aNow < aState.mQuota.mClaims.mLease.mEnds;
}

std::size_t
CountGranted(const ForwarderState& aState, TimePoint aNow)
{
  const auto& partitions = aState.mQuota.mClaims.mPartitions;
  return static_cast<std::size_t>(std::count_if(
    partitions.begin(), partitions.end(), [&](const auto& aPartition) {
      return IsGranting(aState, aPartition, aNow);
    }));
}

void
ApplyClaim(ForwarderState& aState,
           const QuotaClaimChange& aChange,
           TimePoint aNow)
{
  QuotaPartition& partition =
    aState.mQuota.mClaims.mPartitions.at(aChange.mPartition);
  const std::uint64_t term = TermOf(aState.mEra.mEra, aChange.mTerm);
  // Entries may be old.
  if (partition.mClaim && term <= partition.mClaim->mTerm) {
    return;
  }
  partition.mClaim =
    KnownClaim{ aChange.mVm, aChange.mAddress, aChange.mTerm, term };
  partition.mLastHolder = aChange.mVm;
  partition.mLastClaim = aNow;
  partition.mVacantSince = TimePoint::max();
  if (partition.mOwnTerm != term) {
    EndOwnTerm(partition);
  }
}

void
RemoveClaim(ForwarderState& aState, std::uint32_t aPartition, TimePoint aNow)
{
  QuotaPartition& partition = aState.mQuota.mClaims.mPartitions.at(aPartition);
  partition.mClaim.reset();
  EndOwnTerm(partition);
  if (partition.mVacantSince == TimePoint::max()) {
    partition.mVacantSince = aNow;
  }
}

void
RemoveClaimsMissingFrom(ForwarderState& aState,
                        const std::vector<StoreChange>& aEntries,
                        TimePoint aNow)
{
  std::array<bool, kQuotaPartitions> isListed{};
  for (const StoreChange& entry : aEntries) {
    if (const auto* claim = std::get_if<QuotaClaimChange>(&entry)) {
      isListed.at(claim->mPartition) = true;
    }
  }
  aState.mQuota.mClaims.mCompleteSince = aNow;
  for (std::uint32_t number = 0; number < kQuotaPartitions; ++number) {
    if (!isListed[number]) {
      RemoveClaim(aState, number, aNow);
    }
  }
}

void
ForgetClaims(ForwarderState& aState, TimePoint aNow)
{
  for (std::uint32_t number = 0; number < kQuotaPartitions; ++number) {
    RemoveClaim(aState, number, aNow);
  }
  aState.mQuota.mClaims.mLease = QuotaLease{};
  aState.mQuota.mClaims.mPending.clear();
}

void
ReviewQuotaClaims(ForwarderState& aState,
                  TimePoint aNow,
                  ForwarderEffects& aEffects)
{
  QuotaClaims& claims = aState.mQuota.mClaims;
  RenewIfDue(aState, aNow, aEffects);
  if (!MayClaim(aState) || !claims.mPending.empty()) {
    return;
  }
  TimePoint next = TimePoint::max();
  std::vector<QuotaClaim> due = DueClaims(aState, aNow, next);
  if (due.empty()) {
    ArmReview(aState, next);
    return;
  }
  if (aNow < claims.mClaimAfter) {
    ArmReview(aState, claims.mClaimAfter);
    return;
  }
  QuotaLease& lease = claims.mLease;
  if (lease.mAsked) {
    return;
  }
  ++aState.mCounters.mStoreCalls;
  if (!lease.mLease || aNow >= lease.mEnds) {
    lease = QuotaLease{};
    lease.mAsked = aNow;
    aEffects.push_back(GrantLease{ kClaimLifetime, LeasePurpose::kQuota });
    return;
  }
  claims.mPending = due;
  aEffects.push_back(ClaimQuota{ *lease.mLease, std::move(due) });
}

void
HandleQuotaLeaseGranted(ForwarderState& aState,
                        const Result<LeaseId>& aResult,
                        TimePoint aNow,
                        ForwarderEffects& aEffects)
{
  QuotaLease& lease = aState.mQuota.mClaims.mLease;
  const TimePoint asked =
    std::exchange(lease.mAsked, std::nullopt).value_or(aNow);
  if (!aResult) {
    ++aState.mCounters.mStoreFailures;
    aState.mQuota.mClaims.mClaimAfter = aNow + kRetry;
    ArmReview(aState, aNow + kRetry);
    return;
  }
  lease.mLease = *aResult;
  lease.mEnds = asked + kClaimLifetime;
  lease.mRenewAt = asked + kRenewInterval;
  ArmReview(aState, lease.mRenewAt);
  ReviewQuotaClaims(aState, aNow, aEffects);
}

void
HandleQuotaLeaseRenewed(ForwarderState& aState,
                        const Result<bool>& aResult,
                        TimePoint aNow,
                        ForwarderEffects& aEffects)
{
  QuotaClaims& claims = aState.mQuota.mClaims;
  const auto asked = std::exchange(claims.mLease.mAsked, std::nullopt);
  if (!aResult) {
    ++aState.mCounters.mStoreFailures;
    claims.mLease.mRenewAt = aNow + kRetry;
    ArmReview(aState, claims.mLease.mRenewAt);
    return;
  }
  if (*aResult) {
    claims.mLease.mEnds = asked.value_or(aNow) + kClaimLifetime;
    claims.mLease.mRenewAt = asked.value_or(aNow) + kRenewInterval;
    ArmReview(aState, claims.mLease.mRenewAt);
    return;
  }
  claims.mLease = QuotaLease{};
  for (QuotaPartition& partition : claims.mPartitions) {
    EndOwnTerm(partition);
  }
  aEffects.push_back(WriteDecisionRecord{
    { RecordClass::kState, "quota-lease-ended", {}, {} } });
  ReviewQuotaClaims(aState, aNow, aEffects);
}

void
HandleQuotaClaimed(ForwarderState& aState,
                   const Result<std::optional<StoreRevision>>& aResult,
                   TimePoint aNow,
                   ForwarderEffects& aEffects)
{
  QuotaClaims& claims = aState.mQuota.mClaims;
  const std::vector<QuotaClaim> claimed = std::exchange(claims.mPending, {});
  if (!aResult) {
    // It may have been written: the watch tells. A claim of this VM that it
    // does not know as its own is written again.
    ++aState.mCounters.mStoreFailures;
    claims.mClaimAfter = aNow + kRetry;
    ArmReview(aState, claims.mClaimAfter);
    return;
  }
  if (!*aResult) {
    // Another VM was faster; its claim arrives by the watch.
    claims.mClaimAfter = aNow + kTurn;
    ArmReview(aState, claims.mClaimAfter);
    return;
  }
  ArmReview(aState, std::max(aNow, claims.mLease.mRenewAt));
  for (const QuotaClaim& claim : claimed) {
    const auto& known = claims.mPartitions[claim.mPartition].mClaim;
    if (!known || known->mRevision <= **aResult) {
      BeginOwnTerm(aState, claim.mPartition, **aResult, aNow, aEffects);
    }
  }
}

void
ReleaseQuotaClaims(ForwarderState& aState, ForwarderEffects& aEffects)
{
  QuotaClaims& claims = aState.mQuota.mClaims;
  if (claims.mLease.mLease && HasOwnClaim(claims)) {
    aEffects.push_back(EndLease{ *claims.mLease.mLease });
  }
}

} // namespace wasabispread::forwarding
