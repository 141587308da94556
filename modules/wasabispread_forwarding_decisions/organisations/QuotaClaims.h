/*
 * Decides which VM grants the quota of which organisations.
 *
 * Organisations are divided into partitions. A VM grants the quota of a
 * partition while it holds the partition's claim in the store. The claim is
 * bound to a lease, so it ends when the VM is lost, and the store lets one VM
 * at a time have it: two VMs never grant the same quota, whatever they know of
 * each other. A VM counts its lease from when it asked for it, so it stops
 * before the store lets another one begin.
 *
 * No VM is elected. All VMs compute the same few candidates from the
 * membership; others follow when these do not act.
 */
#pragma once

#include "../ForwarderEffect.h"

#include <array>
#include <map>
#include <optional>

namespace wasabispread::forwarding {

struct ForwarderState;

/** Claims of this number fit into one transaction of the store. */
inline constexpr std::uint32_t kQuotaPartitions = 16;

/** The claim of a VM to grant a partition's quota. */
struct KnownClaim
{
  std::string mVm;
  Endpoint mAddress;
  /** The revision of the claim, and its term, which rises with each claim. */
  StoreRevision mRevision;
  std::uint64_t mTerm = 0;
};

/** A partition as this VM knows it. */
struct QuotaPartition
{
  std::optional<KnownClaim> mClaim;
  /** When this VM last learned of a claim, and whose it was. */
  TimePoint mLastClaim{};
  std::string mLastHolder;
  /** Since when there is no claim; TimePoint::max() while there is one. */
  TimePoint mVacantSince{};
  /** The term under which this VM grants the quota; 0 when it does not. */
  std::uint64_t mOwnTerm = 0;
  /** When this VM may begin to, and whether it may grant some quota at once. */
  TimePoint mOwnSince{};
  bool mMayGrantAtOnce = false;
  /** The balances of the organisations, while this VM grants the quota. */
  std::map<OrganisationId, QuotaLedger> mLedgers;
};

/** The lease to which this VM's claims are bound. */
struct QuotaLease
{
  std::optional<LeaseId> mLease;
  /** When the call under way was made; none when there is none. */
  std::optional<TimePoint> mAsked;
  /** Until when the lease lasts at least. */
  TimePoint mEnds{};
  TimePoint mRenewAt{};
};

/** The claims of all VMs. */
struct QuotaClaims
{
  std::array<QuotaPartition, kQuotaPartitions> mPartitions;
  QuotaLease mLease;
  /** The claims that are being written. */
  std::vector<QuotaClaim> mPending;
  /** Not before this time are claims written again. */
  TimePoint mClaimAfter{};
  /** Since when this VM knows of every claim. */
  TimePoint mCompleteSince{};
};

/** The partition of an organisation. */
std::uint32_t
PartitionOf(OrganisationId aOrganisation);

/** Whether this VM may grant the partition's quota now. */
bool
IsGranting(const ForwarderState& aState,
           const QuotaPartition& aPartition,
           TimePoint aNow);

/** The number of partitions whose quota this VM grants. */
std::size_t
CountGranted(const ForwarderState& aState, TimePoint aNow);

void
ApplyClaim(ForwarderState& aState,
           const QuotaClaimChange& aChange,
           TimePoint aNow);

void
RemoveClaim(ForwarderState& aState, std::uint32_t aPartition, TimePoint aNow);

/** Removes the claims that a list of the store's entries lacks. */
void
RemoveClaimsMissingFrom(ForwarderState& aState,
                        const std::vector<StoreChange>& aEntries,
                        TimePoint aNow);

/** Forgets all claims: the store came back from a copy and lost them. */
void
ForgetClaims(ForwarderState& aState, TimePoint aNow);

/** Claims partitions without a claim, if it is this VM's turn, and renews the
    lease. Called when the configuration or the membership changed and whenever
    the kQuotaClaims timer fires. */
void
ReviewQuotaClaims(ForwarderState& aState,
                  TimePoint aNow,
                  ForwarderEffects& aEffects);

void
HandleQuotaLeaseGranted(ForwarderState& aState,
                        const Result<LeaseId>& aResult,
                        TimePoint aNow,
                        ForwarderEffects& aEffects);

void
HandleQuotaLeaseRenewed(ForwarderState& aState,
                        const Result<bool>& aResult,
                        TimePoint aNow,
                        ForwarderEffects& aEffects);

void
HandleQuotaClaimed(ForwarderState& aState,
                   const Result<std::optional<StoreRevision>>& aResult,
                   TimePoint aNow,
                   ForwarderEffects& aEffects);

/** Gives up the claims because the process stops. */
void
ReleaseQuotaClaims(ForwarderState& aState, ForwarderEffects& aEffects);

} // namespace wasabispread::forwarding
