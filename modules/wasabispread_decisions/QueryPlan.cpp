/*
 * Choice of replicas and of target owners.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <limits>

namespace wasabispread {

namespace {

constexpr std::size_t kMaxReplicaCandidates = 8;
constexpr double kUnknownLatencyNs = 1e6;

/** The order in which replicas are preferred; only those of the lowest grade
    present are considered. */
enum class Grade : std::uint8_t
{
  kGood,
  /** Was already asked for this shard. */
  kTried,
  kEjected,
  /** Reported, some time ago, snapshots that do not include the query's. */
  kStale,
  /** Has an attempt at this shard in flight, as another replica has. */
  kBusy,
  kUnusable,
};

/** A replica of a shard, with its grade and what was observed of it. */
struct ReplicaCandidate
{
  std::uint32_t mPosition = 0;
  Grade mGrade = Grade::kGood;
  const Target* mTarget = nullptr;
  TargetObservation* mObservation = nullptr;
};

/** The cost expected of asking a replica, in nanoseconds; lower is better. */
double
ReplicaScore(const VmState& aState, const ReplicaCandidate& aCandidate)
{
  constexpr double kOtherZonePenaltyNs = 4e6;
  constexpr double kMinSuccess = 0.05;
  constexpr double kUsualConcurrency = 4;
  constexpr double kFailurePenaltyNs = 2e7;
  const double zone =
    aCandidate.mTarget->mZone == aState.mSelf.mZone ? 0 : kOtherZonePenaltyNs;
  if (aCandidate.mObservation == nullptr) {
    return zone + kUnknownLatencyNs;
  }
  const TargetObservation& seen = *aCandidate.mObservation;
  const double latency = seen.mLatency > 0 ? seen.mLatency : kUnknownLatencyNs;
  const double success = std::max(seen.mSuccess, kMinSuccess);
  const double loadFactor = 1 + seen.mInFlight / kUsualConcurrency;
  const double failures = kFailurePenaltyNs * seen.mFailures;
  return zone + failures + latency * loadFactor / (success * success);
}

/** Whether the snapshots that a replica reported do not include this one. */
bool
LacksSnapshot(const TargetObservation& aSeen, SnapshotVersion aSnapshot)
{
  const auto& held = aSeen.mHeldSnapshots;
  return aSnapshot.Value() != 0 && !held.empty() &&
         std::find(held.begin(), held.end(), aSnapshot) == held.end();
}

/** Whether the shard has an attempt at the target, in flight or ended. */
bool
WasTried(const ShardProgress& aShard, TargetId aTarget)
{
  const auto end = aShard.mTried.begin() + aShard.mAttempts;
  return std::any_of(
    aShard.mTried.begin(), end, [aTarget](const ShardAttempt& aAttempt) {
      return aAttempt.mTarget == aTarget;
    });
}

bool
IsInFlight(const CoordinatorState& aCoordinator,
           const ShardProgress& aShard,
           TargetId aTarget)
{
  const auto end = aShard.mTried.begin() + aShard.mAttempts;
  return std::any_of(
    aShard.mTried.begin(), end, [&](const ShardAttempt& aAttempt) {
      return aAttempt.mTarget == aTarget &&
             aCoordinator.mAttempts.contains(aAttempt.mSequence);
    });
}

/** Whether the shard has attempts at more than one target. */
bool
WereSeveralTried(const ShardProgress& aShard)
{
  const auto end = aShard.mTried.begin() + aShard.mAttempts;
  return std::any_of(
    aShard.mTried.begin(), end, [&](const ShardAttempt& aAttempt) {
      return aAttempt.mTarget != aShard.mTried.front().mTarget;
    });
}

/** The grade of a replica that was already asked for the shard. */
Grade
GradeOfTriedReplica(const VmState& aState,
                    const ShardProgress& aShard,
                    TargetId aTarget,
                    const TargetObservation& aSeen)
{
  constexpr std::uint32_t kMaxFailures = 1;
  if (!IsInFlight(aState.mCoordinator, aShard, aTarget)) {
    const bool isLikelyToAnswer =
      aSeen.mAvailability == TargetAvailability::kInUse &&
      aSeen.mFailures <= kMaxFailures;
    return isLikelyToAnswer ? Grade::kTried : Grade::kUnusable;
  }
  return WereSeveralTried(aShard) ? Grade::kBusy : Grade::kUnusable;
}

Grade
GradeOf(const VmState& aState,
        const Query& aQuery,
        const ShardProgress& aShard,
        const ReplicaCandidate& aCandidate,
        TimePoint aNow)
{
  constexpr Duration kSnapshotsStaleAfter = std::chrono::milliseconds(200);
  const TargetObservation* seen = aCandidate.mObservation;
  const TargetId target = aCandidate.mTarget->mId;
  if (seen == nullptr) {
    return Grade::kGood;
  }
  if (seen->mAvailability == TargetAvailability::kDraining) {
    return Grade::kUnusable;
  }
  // Extra attempts go only to replicas that are likely to answer; a first
  // attempt takes any replica left.
  const bool isHedge = aShard.mAttemptsInFlight != 0;
  const bool isExtra = aShard.mAttempts != 0;
  if (LacksSnapshot(*seen, aQuery.mSnapshot)) {
    const bool isFresh = aNow - seen->mSnapshotsSeen < kSnapshotsStaleAfter;
    return isFresh || isHedge ? Grade::kUnusable : Grade::kStale;
  }
  if (WasTried(aShard, target)) {
    return GradeOfTriedReplica(aState, aShard, target, *seen);
  }
  if (seen->mAvailability == TargetAvailability::kEjected) {
    return isExtra ? Grade::kUnusable : Grade::kEjected;
  }
  return Grade::kGood;
}

/** Whether a shard's next attempt may serve as a probe: it is the first one,
    its work is idempotent, and the budget can pay for another attempt if it
    fails. */
bool
MayProbe(const CoordinatorState& aCoordinator,
         const Query& aQuery,
         const ShardProgress& aShard)
{
  constexpr double kMinTokens = 2;
  return aShard.mAttempts == 0 && IsIdempotent(aQuery.mRequest.mOperation) &&
         aCoordinator.mServices.at(aQuery.mService).mBudget.mTokens >=
           kMinTokens;
}

/** Whether a replica that is ejected or draining is due for a probe. */
bool
IsProbeDue(const CoordinatorState& aCoordinator,
           const Query& aQuery,
           const ShardProgress& aShard,
           const TargetObservation* aSeen,
           TimePoint aNow)
{
  return aSeen != nullptr &&
         aSeen->mAvailability != TargetAvailability::kInUse &&
         aNow >= aSeen->mNextProbe && MayProbe(aCoordinator, aQuery, aShard);
}

/** Whether the slower of two replicas should be asked, to learn whether it is
    still slow. */
bool
IsSlowReplicaDue(VmState& aState,
                 const Query& aQuery,
                 const ShardProgress& aShard,
                 const ReplicaCandidate& aSlower,
                 TimePoint aNow)
{
  constexpr Duration kInterval = std::chrono::seconds(1);
  constexpr std::uint64_t kProbabilityDivisor = 8;
  return aSlower.mObservation != nullptr && aSlower.mGrade == Grade::kGood &&
         aSlower.mObservation->mLastAsked + kInterval < aNow &&
         MayProbe(aState.mCoordinator, aQuery, aShard) &&
         aState.mRandom.Below(kProbabilityDivisor) == 0;
}

/** Draws two of the candidates at random and returns the position of the better
    one. */
std::uint32_t
ChooseCandidate(VmState& aState,
                const Query& aQuery,
                const ShardProgress& aShard,
                const ReplicaCandidate* aCandidates,
                std::size_t aCount,
                TimePoint aNow)
{
  const std::size_t first = aState.mRandom.Below(aCount);
  if (aCount == 1) {
    return aCandidates[0].mPosition;
  }
  const std::size_t second =
    (first + 1 + aState.mRandom.Below(aCount - 1)) % aCount;
  const ReplicaCandidate* better = &aCandidates[first];
  const ReplicaCandidate* other = &aCandidates[second];
  if (ReplicaScore(aState, *other) < ReplicaScore(aState, *better)) {
    std::swap(better, other);
  }
  return IsSlowReplicaDue(aState, aQuery, aShard, *other, aNow)
           ? other->mPosition
           : better->mPosition;
}

/** Why no replica of a shard can be asked. */
MissingReason
ReasonForNone(
  const std::array<ReplicaCandidate, kMaxReplicaCandidates>& aCandidates,
  std::size_t aCount)
{
  const auto end = aCandidates.begin() + static_cast<std::ptrdiff_t>(aCount);
  const bool areAllDraining = std::all_of(
    aCandidates.begin(), end, [](const ReplicaCandidate& aCandidate) {
      return aCandidate.mObservation != nullptr &&
             aCandidate.mObservation->mAvailability ==
               TargetAvailability::kDraining;
    });
  return areAllDraining ? MissingReason::kDraining
                        : MissingReason::kSnapshotUnavailable;
}

} // namespace

std::vector<ShardIndex>
ShardsOf(const Service& aService, Operation aOperation, const std::string& aKey)
{
  std::vector<ShardIndex> shards;
  if (aOperation != Operation::kSearch) {
    shards.emplace_back(
      static_cast<std::uint32_t>(StableHash(aKey) % aService.mShardCount));
    return shards;
  }
  shards.reserve(aService.mShardCount);
  for (std::uint32_t shard = 0; shard < aService.mShardCount; ++shard) {
    shards.emplace_back(shard);
  }
  return shards;
}

tl::expected<std::uint32_t, MissingReason>
ChooseReplica(VmState& aState,
              const Query& aQuery,
              const ShardProgress& aShard,
              TimePoint aNow)
{
  const auto& replicas =
    aQuery.mServiceRecord->mReplicas[aShard.mShard.Value()];
  assert(!replicas.empty());
  std::array<ReplicaCandidate, kMaxReplicaCandidates> candidates;
  std::size_t count = 0;
  Grade best = Grade::kUnusable;
  for (const std::uint32_t position : replicas) {
    if (count == kMaxReplicaCandidates) {
      break;
    }
    ReplicaCandidate& candidate = candidates[count++];
    candidate.mPosition = position;
    candidate.mTarget = &aQuery.mDeployment->mTargets[position];
    const auto seen = aState.mCoordinator.mTargets.find(candidate.mTarget->mId);
    candidate.mObservation =
      seen == aState.mCoordinator.mTargets.end() ? nullptr : &seen->second;
    if (IsProbeDue(
          aState.mCoordinator, aQuery, aShard, candidate.mObservation, aNow)) {
      candidate.mObservation->mNextProbe =
        aNow + candidate.mObservation->mProbeInterval;
      ++aState.mCounters.mProbes;
      return position;
    }
    candidate.mGrade = GradeOf(aState, aQuery, aShard, candidate, aNow);
    best = std::min(best, candidate.mGrade);
  }
  if (best == Grade::kUnusable) {
    return tl::unexpected(ReasonForNone(candidates, count));
  }
  std::size_t kept = 0;
  for (std::size_t index = 0; index < count; ++index) {
    if (candidates[index].mGrade == best) {
      candidates[kept++] = candidates[index];
    }
  }
  return ChooseCandidate(aState, aQuery, aShard, candidates.data(), kept, aNow);
}

tl::expected<VmId, MissingReason>
ChooseOwnerForAttempt(VmState& aState,
                      const Query& aQuery,
                      const ShardProgress& aShard,
                      std::uint32_t aTargetPosition,
                      TimePoint aNow)
{
  const ConfigurationState& configuration = aState.mConfiguration;
  std::uint32_t position = aTargetPosition;
  if (aQuery.mDeployment != configuration.mDeployment) {
    const auto& index = configuration.mDeployment->mTargetIndex;
    const auto found =
      index.find(aQuery.mDeployment->mTargets[aTargetPosition].mId);
    if (found == index.end()) {
      return tl::unexpected(MissingReason::kUnknownTarget);
    }
    position = found->second;
  }
  const std::uint64_t spread = aQuery.mRequest.mToken.Value();
  const auto preferred = ChooseOwner(aState, position, spread, aNow);
  if (!preferred) {
    return tl::unexpected(MissingReason::kNoOwner);
  }
  const auto wasAsked = [&](VmId aOwner) {
    const auto end = aShard.mTried.begin() + aShard.mAttempts;
    return std::any_of(
      aShard.mTried.begin(), end, [aOwner](const ShardAttempt& aAttempt) {
        return aAttempt.mTargetOwner == aOwner;
      });
  };
  if (!wasAsked(*preferred)) {
    return *preferred;
  }
  const std::uint32_t group = configuration.mGroupOfTarget[position];
  const auto owners = UsableOwners(aState, group, aNow);
  const auto other = std::find_if_not(owners.begin(), owners.end(), wasAsked);
  return other == owners.end() ? *preferred : *other;
}

} // namespace wasabispread
