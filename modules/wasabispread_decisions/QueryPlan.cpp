/*
 * Replica and owner choice.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <limits>

namespace wasabispread {

namespace {

constexpr std::size_t kMostCandidates = 8;
constexpr double kUnknownLatency = 1e6;

/** How willingly a replica is asked; the lower the better. */
enum class Grade : std::uint8_t
{
  kGood,
  /** Was asked for this shard already. */
  kTried,
  kEjected,
  /** Was seen, some time ago, not to hold the snapshot. */
  kStale,
  /** Has an attempt at this shard in flight, as another replica has. */
  kBusy,
  kUnusable,
};

/** A replica that may be asked. */
struct ReplicaCandidate
{
  std::uint32_t mPosition = 0;
  Grade mGrade = Grade::kGood;
  const Target* mTarget = nullptr;
  TargetObservation* mSeen = nullptr;
};

/** Lower is better. */
double
ReplicaScore(const NodeState& aState, const ReplicaCandidate& aCandidate)
{
  constexpr double kOtherZonePenalty = 4e6;
  constexpr double kLeastSuccess = 0.05;
  constexpr double kUsualConcurrency = 4;
  const double zone =
    aCandidate.mTarget->mZone == aState.mSelf.mZone ? 0 : kOtherZonePenalty;
  if (aCandidate.mSeen == nullptr) {
    return zone + kUnknownLatency;
  }
  const TargetObservation& seen = *aCandidate.mSeen;
  const double latency = seen.mLatency > 0 ? seen.mLatency : kUnknownLatency;
  const double success = std::max(seen.mSuccess, kLeastSuccess);
  const double crowding = 1 + seen.mInFlight / kUsualConcurrency;
  return zone + latency * crowding / (success * success);
}

/** Whether a replica said that it does not hold the snapshot. */
bool
LacksSnapshot(const TargetObservation& aSeen, SnapshotVersion aSnapshot)
{
  const auto& held = aSeen.mHeldSnapshots;
  return aSnapshot.Value() != 0 && !held.empty() &&
         std::find(held.begin(), held.end(), aSnapshot) == held.end();
}

/** Whether an attempt at a target was made for the shard. */
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
IsInFlight(const EntryState& aEntry,
           const ShardProgress& aShard,
           TargetId aTarget)
{
  const auto end = aShard.mTried.begin() + aShard.mAttempts;
  return std::any_of(
    aShard.mTried.begin(), end, [&](const ShardAttempt& aAttempt) {
      return aAttempt.mTarget == aTarget &&
             aEntry.mAttempts.contains(aAttempt.mSequence);
    });
}

/** Whether attempts at more than one target were made for the shard. */
bool
WereSeveralTried(const ShardProgress& aShard)
{
  const auto end = aShard.mTried.begin() + aShard.mAttempts;
  return std::any_of(
    aShard.mTried.begin(), end, [&](const ShardAttempt& aAttempt) {
      return aAttempt.mTarget != aShard.mTried.front().mTarget;
    });
}

/** The grade of a replica that was asked for the shard already. */
Grade
GradeOfTried(const NodeState& aState,
             const ShardProgress& aShard,
             TargetId aTarget)
{
  if (!IsInFlight(aState.mEntry, aShard, aTarget)) {
    return Grade::kTried;
  }
  return WereSeveralTried(aShard) ? Grade::kBusy : Grade::kUnusable;
}

Grade
GradeOf(const NodeState& aState,
        const Query& aQuery,
        const ShardProgress& aShard,
        const ReplicaCandidate& aCandidate,
        TimePoint aNow)
{
  constexpr Duration kSnapshotsStaleAfter = std::chrono::milliseconds(200);
  const TargetObservation* seen = aCandidate.mSeen;
  const TargetId target = aCandidate.mTarget->mId;
  if (seen == nullptr) {
    return Grade::kGood;
  }
  if (seen->mStanding == TargetStanding::kDraining) {
    return Grade::kUnusable;
  }
  // A hedge must be likely to help; what is left may do for a retry.
  const bool isHedge = aShard.mAttemptsInFlight != 0;
  if (LacksSnapshot(*seen, aQuery.mSnapshot)) {
    const bool isFresh = aNow - seen->mSnapshotsSeen < kSnapshotsStaleAfter;
    return isFresh || isHedge ? Grade::kUnusable : Grade::kStale;
  }
  if (WasTried(aShard, target)) {
    return GradeOfTried(aState, aShard, target);
  }
  if (seen->mStanding == TargetStanding::kEjected) {
    return isHedge ? Grade::kUnusable : Grade::kEjected;
  }
  return Grade::kGood;
}

/** Whether a replica out of use is due for a probe. */
bool
IsProbeDue(const Query& aQuery,
           const ShardProgress& aShard,
           const TargetObservation* aSeen,
           TimePoint aNow)
{
  return aSeen != nullptr && aSeen->mStanding != TargetStanding::kInUse &&
         aNow >= aSeen->mNextProbe && aShard.mAttempts == 0 &&
         IsIdempotent(aQuery.mRequest.mOperation);
}

/** Whether the slower of two replicas should be asked to learn whether it is
    still slow. */
bool
IsSlowReplicaDue(NodeState& aState,
                 const Query& aQuery,
                 const ShardProgress& aShard,
                 const ReplicaCandidate& aSlower,
                 TimePoint aNow)
{
  constexpr Duration kInterval = std::chrono::seconds(1);
  constexpr std::uint64_t kOneIn = 8;
  return aSlower.mSeen != nullptr && aShard.mAttempts == 0 &&
         aSlower.mGrade == Grade::kGood &&
         aSlower.mSeen->mLastAsked + kInterval < aNow &&
         IsIdempotent(aQuery.mRequest.mOperation) &&
         aState.mRandom.Below(kOneIn) == 0;
}

/** Of the candidates of the best grade, the better of two. */
std::uint32_t
PickCandidate(NodeState& aState,
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

/** Why no replica of a shard is worth asking. */
MissingReason
ReasonForNone(const std::array<ReplicaCandidate, kMostCandidates>& aCandidates,
              std::size_t aCount)
{
  const auto end = aCandidates.begin() + static_cast<std::ptrdiff_t>(aCount);
  const bool allDrain = std::all_of(
    aCandidates.begin(), end, [](const ReplicaCandidate& aCandidate) {
      return aCandidate.mSeen != nullptr &&
             aCandidate.mSeen->mStanding == TargetStanding::kDraining;
    });
  return allDrain ? MissingReason::kDraining
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
ChooseReplica(NodeState& aState,
              const Query& aQuery,
              const ShardProgress& aShard,
              TimePoint aNow)
{
  const auto& replicas =
    aQuery.mServiceRecord->mReplicas[aShard.mShard.Value()];
  assert(!replicas.empty());
  std::array<ReplicaCandidate, kMostCandidates> candidates;
  std::size_t count = 0;
  Grade best = Grade::kUnusable;
  for (const std::uint32_t position : replicas) {
    if (count == kMostCandidates) {
      break;
    }
    ReplicaCandidate& candidate = candidates[count++];
    candidate.mPosition = position;
    candidate.mTarget = &aQuery.mDeployment->mTargets[position];
    const auto seen = aState.mEntry.mTargets.find(candidate.mTarget->mId);
    candidate.mSeen =
      seen == aState.mEntry.mTargets.end() ? nullptr : &seen->second;
    if (IsProbeDue(aQuery, aShard, candidate.mSeen, aNow)) {
      candidate.mSeen->mNextProbe = aNow + candidate.mSeen->mProbeInterval;
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
  return PickCandidate(aState, aQuery, aShard, candidates.data(), kept, aNow);
}

tl::expected<VmId, MissingReason>
PickOwner(NodeState& aState,
          const Query& aQuery,
          const ShardProgress& aShard,
          std::uint32_t aTargetPosition,
          TimePoint aNow)
{
  const ConfigurationState& configuration = aState.mConfiguration;
  std::uint32_t position = aTargetPosition;
  if (aQuery.mDeployment != configuration.mDeployment) {
    const auto& index = configuration.mDeployment->mTargetIndex;
    const auto place =
      index.find(aQuery.mDeployment->mTargets[aTargetPosition].mId);
    if (place == index.end()) {
      return tl::unexpected(MissingReason::kUnknownTarget);
    }
    position = place->second;
  }
  const std::uint64_t spread = aQuery.mRequest.mToken.Value();
  const auto preferred = ChooseOwner(aState, position, spread, aNow);
  if (!preferred) {
    return tl::unexpected(MissingReason::kNoOwner);
  }
  const auto isBusy = [&](VmId aOwner) {
    const auto end = aShard.mTried.begin() + aShard.mAttempts;
    return std::any_of(
      aShard.mTried.begin(), end, [aOwner](const ShardAttempt& aAttempt) {
        return aAttempt.mOwner == aOwner;
      });
  };
  const auto costOf = [&](VmId aOwner) {
    constexpr int kSuspectedCost = 2;
    return (IsOwnerSuspected(aState.mEntry, aOwner, aNow) ? kSuspectedCost
                                                          : 0) +
           (isBusy(aOwner) ? 1 : 0);
  };
  VmId best = *preferred;
  int bestCost = costOf(best);
  if (bestCost == 0) {
    return best;
  }
  const std::uint32_t group = configuration.mGroupOfTarget[position];
  for (const VmId owner : UsableOwners(aState, group, aNow)) {
    const int cost = costOf(owner);
    if (cost < bestCost) {
      best = owner;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace wasabispread
