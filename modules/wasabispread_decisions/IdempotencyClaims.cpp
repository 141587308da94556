/*
 * The steps of a claim, from the first write to the store to the outcome.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

/** A claim may take the request's timeout divided by this. */
constexpr int kClaimTimeDivisor = 2;
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(5);
/** After more failed reads than this, a claim whose caller has been answered is
    dropped. */
constexpr std::uint32_t kMaxReadsAfterRefusal = 3;

std::string
StoreKey(const CallerRequest& aRequest)
{
  return "wasabispread/claims/" + aRequest.mService + "/" +
         aRequest.mIdempotencyKey;
}

/** A text that identifies the claim's holder among all VMs and their
    restarts. */
std::string
HolderName(const VmIdentity& aSelf, ClaimToken aToken)
{
  return aSelf.mName + "/" + std::to_string(aSelf.mIncarnation.Value()) + "/" +
         std::to_string(aToken.Value());
}

/** Counts and logs the decision on a claim. */
void
RecordDecision(VmState& aState,
               const CallerRequest& aRequest,
               ClaimDecision aDecision,
               Effects& aEffects)
{
  Counters& counters = aState.mCounters;
  switch (aDecision) {
    case ClaimDecision::kMade:
      ++counters.mClaimsMade;
      break;
    case ClaimDecision::kDuplicate:
      ++counters.mClaimsDuplicate;
      break;
    case ClaimDecision::kFailed:
      ++counters.mClaimsFailed;
      break;
    case ClaimDecision::kReleased:
      ++counters.mClaimsReleased;
      break;
  }
  aEffects.push_back(LogDecision{
    ClaimDecided{ aRequest.mRequestId, aRequest.mService, aDecision } });
}

void
SendSwap(VmState& aState,
         ClaimToken aToken,
         const std::string& aKey,
         std::uint64_t aExpected,
         const ClaimRecord& aRecord,
         Effects& aEffects)
{
  ++aState.mCounters.mPlatformCalls;
  aEffects.push_back(
    SwapClaim{ aToken, aKey, aExpected, aRecord, kClaimLifetime });
}

void
SendRead(VmState& aState,
         ClaimToken aToken,
         const PendingClaim& aClaim,
         Effects& aEffects)
{
  ++aState.mCounters.mPlatformCalls;
  aEffects.push_back(ReadClaim{ aToken, aClaim.mKey });
}

/** Writes to the store how the request of a claim ended. */
void
WriteOutcome(VmState& aState,
             const HeldClaim& aClaim,
             ClaimStatus aStatus,
             Effects& aEffects)
{
  const ClaimToken token(aState.mClaims.mNextToken++);
  aState.mClaims.mOutcomeWrites.insert(token);
  ClaimRecord record = aClaim.mRecord;
  record.mStatus = aStatus;
  SendSwap(aState, token, aClaim.mKey, aClaim.mVersion, record, aEffects);
}

/** Releases a claim that was made but whose request is not run, so that a
    repeated request can take it over. */
void
ReleaseClaim(VmState& aState,
             const PendingClaim& aClaim,
             std::uint64_t aVersion,
             Effects& aEffects)
{
  RecordDecision(aState, aClaim.mRequest, ClaimDecision::kReleased, aEffects);
  WriteOutcome(aState,
               HeldClaim{ aClaim.mKey, aClaim.mRecord, aVersion },
               ClaimStatus::kNotRun,
               aEffects);
}

/** Answers the caller with an error. The claim itself is kept until its call to
    the store ends. */
void
RefusePendingClaim(VmState& aState,
                   PendingClaim& aClaim,
                   Error aError,
                   Effects& aEffects)
{
  aClaim.mIsAbandoned = true;
  aState.mClaims.mTokenOfCaller.erase(aClaim.mRequest.mToken);
  RefuseRequest(aState, aClaim.mRequest, std::move(aError), aEffects);
}

Error
ClaimTimeoutError()
{
  return Error{ ErrorKind::kPlatformUnavailable,
                "the idempotency key could not be claimed in time",
                "ask again with the same key, with a longer timeout if this "
                "continues",
                Execution::kNotRun };
}

Error
DuplicateError(const ClaimRecord& aFirst)
{
  const std::string status(ToText(aFirst.mStatus));
  const std::string remedy =
    aFirst.mStatus == ClaimStatus::kDone
      ? "take the first request's answer; use a new key for a new action"
      : "check whether the first request ran before using a new key";
  return Error{ ErrorKind::kDuplicateRequest,
                "request '" + aFirst.mRequestId.Value() +
                  "' used this idempotency key first; its outcome: " + status,
                remedy,
                Execution::kNotRun,
                { { "first_request_id", aFirst.mRequestId.Value() },
                  { "first_outcome", status } } };
}

/** The number of VMs that may make claims at present; at least 1. */
double
LiveVms(const MembershipState& aMembership)
{
  std::size_t live = 0;
  for (const auto& [zone, vms] : aMembership.mLiveByZone) {
    live += vms.size();
  }
  return static_cast<double>(std::max<std::size_t>(live, 1));
}

/** Takes the writes of one claim from this VM's share of the store's rate of
    writes. Returns false when the share is used up. */
bool
TakeClaimAllowance(VmState& aState, TimePoint aNow)
{
  constexpr double kWritesPerClaim = 2;
  constexpr double kBurstSeconds = 2;
  constexpr double kMinBurst = 4;
  const double rate =
    kClaimWritesPerSecond / kWritesPerClaim / LiveVms(aState.mMembership);
  ClaimAllowance& allowance = aState.mClaims.mAllowance;
  const double elapsed =
    std::chrono::duration<double>(aNow - allowance.mUpdated).count();
  const double burst = std::max(kMinBurst, rate * kBurstSeconds);
  allowance.mAvailable = std::min(burst, allowance.mAvailable + elapsed * rate);
  allowance.mUpdated = aNow;
  if (allowance.mAvailable < 1) {
    return false;
  }
  allowance.mAvailable -= 1;
  return true;
}

/** Runs a request whose claim was made, with the time that is left of its
    timeout. Refuses it and releases the claim when it is too late or the
    service changed. */
void
RunClaimedRequest(VmState& aState,
                  ClaimToken aToken,
                  std::uint64_t aVersion,
                  TimePoint aNow,
                  Effects& aEffects)
{
  auto node = aState.mClaims.mPending.extract(aToken);
  PendingClaim& claim = node.mapped();
  const bool isLate = claim.mIsAbandoned || claim.mDeadline <= aNow;
  if (isLate) {
    if (!claim.mIsAbandoned) {
      RefusePendingClaim(aState, claim, ClaimTimeoutError(), aEffects);
    }
    ReleaseClaim(aState, claim, aVersion, aEffects);
    return;
  }
  aState.mClaims.mTokenOfCaller.erase(claim.mRequest.mToken);
  const Service* service = aState.mConfiguration.mDeployment->FindService(
    IdFromName<ServiceId>(claim.mRequest.mService));
  const bool isOffered =
    service != nullptr && service->Offers(claim.mRequest.mOperation);
  if (!isOffered) {
    RefuseRequest(aState,
                  claim.mRequest,
                  Error{ ErrorKind::kOperationNotOffered,
                         "the service no longer offers this operation",
                         "read the deployment and ask again" },
                  aEffects);
    ReleaseClaim(aState, claim, aVersion, aEffects);
    return;
  }
  RecordDecision(aState, claim.mRequest, ClaimDecision::kMade, aEffects);
  aState.mClaims.mHeld[claim.mRequest.mToken] =
    HeldClaim{ claim.mKey, claim.mRecord, aVersion };
  CallerRequest request = claim.mRequest;
  request.mTimeout =
    std::min(request.mTimeout, service->mMaximumWait) - (aNow - claim.mStarted);
  StartQuery(aState, request, *service, aNow, aEffects);
}

/** Handles a key that another request has claimed: takes the claim over if that
    request did not run, else refuses this one. */
void
HandleOtherClaim(VmState& aState,
                 ClaimToken aToken,
                 const StoredClaim& aStored,
                 Effects& aEffects)
{
  PendingClaim& claim = aState.mClaims.mPending.at(aToken);
  if (claim.mIsAbandoned) {
    aState.mClaims.mPending.erase(aToken);
    return;
  }
  if (aStored.mRecord->mStatus == ClaimStatus::kNotRun) {
    claim.mExpected = aStored.mVersion;
    SendSwap(
      aState, aToken, claim.mKey, claim.mExpected, claim.mRecord, aEffects);
    return;
  }
  RecordDecision(aState, claim.mRequest, ClaimDecision::kDuplicate, aEffects);
  RefusePendingClaim(aState, claim, DuplicateError(*aStored.mRecord), aEffects);
  aState.mClaims.mPending.erase(aToken);
}

/** Schedules another read after a failed one; drops a claim whose caller has
    been answered after too many failures. */
void
RetryRead(VmState& aState,
          ClaimToken aToken,
          PendingClaim& aClaim,
          TimePoint aNow)
{
  ++aState.mCounters.mPlatformFailures;
  ++aClaim.mFailures;
  if (aClaim.mIsAbandoned && aClaim.mFailures > kMaxReadsAfterRefusal) {
    aState.mClaims.mPending.erase(aToken);
    return;
  }
  const Duration delay =
    std::max(kMinRetryDelay,
             aClaim.mIsAbandoned ? RetryDelay(aClaim.mFailures, aState.mRandom)
                                 : (aClaim.mDeadline - aNow) / 4);
  aState.mTimers.Arm(aNow + delay, TimerKind::kClaimRetry, aToken.Value());
}

/** The status that an outcome gives to its claim. */
ClaimStatus
StatusFor(const Outcome& aOutcome)
{
  const Error* error = std::get_if<Error>(&aOutcome);
  if (error == nullptr) {
    return ClaimStatus::kDone;
  }
  return error->mExecution == Execution::kNotRun ? ClaimStatus::kNotRun
                                                 : ClaimStatus::kUnknown;
}

} // namespace

std::string_view
ToText(ClaimStatus aStatus)
{
  switch (aStatus) {
    case ClaimStatus::kPending:
      return "pending";
    case ClaimStatus::kDone:
      return "done";
    case ClaimStatus::kUnknown:
      return "unknown";
    case ClaimStatus::kNotRun:
      return "not-run";
  }
  return "unknown";
}

std::string_view
ToText(ClaimDecision aDecision)
{
  switch (aDecision) {
    case ClaimDecision::kMade:
      return "made";
    case ClaimDecision::kDuplicate:
      return "duplicate";
    case ClaimDecision::kFailed:
      return "failed";
    case ClaimDecision::kReleased:
      return "released";
  }
  return "unknown";
}

bool
NeedsClaim(const CallerRequest& aRequest)
{
  return aRequest.mOperation == Operation::kAction &&
         !aRequest.mIdempotencyKey.empty();
}

void
BeginClaim(VmState& aState,
           const CallerRequest& aRequest,
           const Service& aService,
           TimePoint aNow,
           Effects& aEffects)
{
  if (!TakeClaimAllowance(aState, aNow)) {
    RecordDecision(aState, aRequest, ClaimDecision::kFailed, aEffects);
    RefuseRequest(
      aState,
      aRequest,
      Error{ ErrorKind::kOverloaded,
             "this VM has used up its share of the store's write rate",
             "ask again later or at another VM, with the same key" },
      aEffects);
    return;
  }
  const ClaimToken token(aState.mClaims.mNextToken++);
  PendingClaim claim;
  claim.mRequest = aRequest;
  claim.mKey = StoreKey(aRequest);
  claim.mRecord.mHolder = HolderName(aState.mSelf, token);
  claim.mRecord.mRequestId = aRequest.mRequestId;
  claim.mStarted = aNow;
  claim.mDeadline = aNow + std::min(aRequest.mTimeout, aService.mMaximumWait) /
                             kClaimTimeDivisor;
  aState.mClaims.mTokenOfCaller[aRequest.mToken] = token;
  aState.mTimers.Arm(claim.mDeadline, TimerKind::kClaimDeadline, token.Value());
  SendSwap(aState, token, claim.mKey, claim.mExpected, claim.mRecord, aEffects);
  aState.mClaims.mPending.emplace(token, std::move(claim));
}

void
HandleClaimSwapped(VmState& aState,
                   const ClaimSwapped& aEvent,
                   TimePoint aNow,
                   Effects& aEffects)
{
  if (aState.mClaims.mOutcomeWrites.erase(aEvent.mToken) != 0) {
    return;
  }
  const auto found = aState.mClaims.mPending.find(aEvent.mToken);
  if (found == aState.mClaims.mPending.end()) {
    return;
  }
  if (aEvent.mVersion) {
    RunClaimedRequest(aState, aEvent.mToken, *aEvent.mVersion, aNow, aEffects);
    return;
  }
  // The write was refused, or its reply was lost: only the store knows which.
  SendRead(aState, aEvent.mToken, found->second, aEffects);
}

void
HandleClaimRead(VmState& aState,
                const ClaimRead& aEvent,
                TimePoint aNow,
                Effects& aEffects)
{
  const auto found = aState.mClaims.mPending.find(aEvent.mToken);
  if (found == aState.mClaims.mPending.end()) {
    return;
  }
  PendingClaim& claim = found->second;
  if (!aEvent.mStored) {
    RetryRead(aState, aEvent.mToken, claim, aNow);
    return;
  }
  const StoredClaim& stored = *aEvent.mStored;
  if (!stored.mRecord) {
    if (claim.mIsAbandoned) {
      aState.mClaims.mPending.erase(found);
      return;
    }
    claim.mExpected = 0;
    SendSwap(aState,
             aEvent.mToken,
             claim.mKey,
             claim.mExpected,
             claim.mRecord,
             aEffects);
    return;
  }
  if (stored.mRecord->mHolder == claim.mRecord.mHolder) {
    RunClaimedRequest(aState, aEvent.mToken, stored.mVersion, aNow, aEffects);
    return;
  }
  HandleOtherClaim(aState, aEvent.mToken, stored, aEffects);
}

void
HandleClaimDeadline(VmState& aState, ClaimToken aToken, Effects& aEffects)
{
  const auto found = aState.mClaims.mPending.find(aToken);
  if (found == aState.mClaims.mPending.end() || found->second.mIsAbandoned) {
    return;
  }
  RecordDecision(
    aState, found->second.mRequest, ClaimDecision::kFailed, aEffects);
  RefusePendingClaim(aState, found->second, ClaimTimeoutError(), aEffects);
}

void
HandleClaimRetry(VmState& aState, ClaimToken aToken, Effects& aEffects)
{
  const auto found = aState.mClaims.mPending.find(aToken);
  if (found != aState.mClaims.mPending.end()) {
    SendRead(aState, aToken, found->second, aEffects);
  }
}

void
CompleteClaim(VmState& aState,
              CallerToken aToken,
              const Outcome& aOutcome,
              Effects& aEffects)
{
  const auto held = aState.mClaims.mHeld.extract(aToken);
  if (!held.empty()) {
    WriteOutcome(aState, held.mapped(), StatusFor(aOutcome), aEffects);
  }
}

void
AbandonClaim(VmState& aState, CallerToken aToken, Effects& aEffects)
{
  const auto token = aState.mClaims.mTokenOfCaller.extract(aToken);
  if (!token.empty()) {
    aState.mClaims.mPending.at(token.mapped()).mIsAbandoned = true;
  }
  const auto held = aState.mClaims.mHeld.extract(aToken);
  if (!held.empty()) {
    WriteOutcome(aState, held.mapped(), ClaimStatus::kUnknown, aEffects);
  }
}

} // namespace wasabispread
