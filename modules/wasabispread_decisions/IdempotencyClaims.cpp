/*
 * The steps of a claim.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

/** The share of a request's time that its claim may take. */
constexpr int kClaimTimeDivisor = 2;
constexpr Duration kLeastRetryDelay = std::chrono::milliseconds(5);
constexpr std::uint32_t kMostReadsAfterRefusal = 3;

std::string
StoreKey(const CallerRequest& aRequest)
{
  return "wasabispread/claims/" + aRequest.mService + "/" +
         aRequest.mIdempotencyKey;
}

std::string
HolderText(const VmIdentity& aSelf, ClaimToken aToken)
{
  return aSelf.mName + "/" + std::to_string(aSelf.mIncarnation.Value()) + "/" +
         std::to_string(aToken.Value());
}

void
Note(VmState& aState,
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

/** Writes how a claimed request ended. */
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

void
ReleaseMadeClaim(VmState& aState,
                 const PendingClaim& aClaim,
                 std::uint64_t aVersion,
                 Effects& aEffects)
{
  Note(aState, aClaim.mRequest, ClaimDecision::kReleased, aEffects);
  WriteOutcome(aState,
               HeldClaim{ aClaim.mKey, aClaim.mRecord, aVersion },
               ClaimStatus::kNotRun,
               aEffects);
}

/** Answers the caller; the claim stays until its call to the store ends. */
void
RefuseClaimed(VmState& aState,
              PendingClaim& aClaim,
              Error aError,
              Effects& aEffects)
{
  aClaim.mIsAbandoned = true;
  aState.mClaims.mTokenOfCaller.erase(aClaim.mRequest.mToken);
  RefuseRequest(aState, aClaim.mRequest, std::move(aError), aEffects);
}

Error
StoreTooSlow()
{
  return Error{ ErrorKind::kPlatformUnavailable,
                "the idempotency key could not be claimed in time",
                "ask again with the same key, with more patience if this lasts",
                Execution::kNotRun };
}

Error
DuplicateError(const ClaimRecord& aFirst)
{
  const std::string status(ToText(aFirst.mStatus));
  const std::string remedy =
    aFirst.mStatus == ClaimStatus::kDone
      ? "take the first request's answer; use a new key for a new action"
      : "look up whether the first request ran before using a new key";
  return Error{ ErrorKind::kDuplicateRequest,
                "request '" + aFirst.mRequestId.Value() +
                  "' used this idempotency key first; its outcome: " + status,
                remedy,
                Execution::kNotRun,
                { { "first_request_id", aFirst.mRequestId.Value() },
                  { "first_outcome", status } } };
}

/** VMs that may make claims at present, at least this one. */
double
LiveVms(const MembershipState& aMembership)
{
  std::size_t live = 0;
  for (const auto& [zone, vms] : aMembership.mLiveByZone) {
    live += vms.size();
  }
  return static_cast<double>(std::max<std::size_t>(live, 1));
}

/** Takes one claim's writes from this VM's part of the store's rate. */
bool
TakeAllowance(VmState& aState, TimePoint aNow)
{
  constexpr double kWritesPerClaim = 2;
  constexpr double kBurstSeconds = 2;
  constexpr double kLeastBurst = 4;
  const double rate =
    kClaimWritesPerSecond / kWritesPerClaim / LiveVms(aState.mMembership);
  ClaimAllowance& allowance = aState.mClaims.mAllowance;
  const double elapsed =
    std::chrono::duration<double>(aNow - allowance.mUpdated).count();
  const double burst = std::max(kLeastBurst, rate * kBurstSeconds);
  allowance.mAvailable = std::min(burst, allowance.mAvailable + elapsed * rate);
  allowance.mUpdated = aNow;
  if (allowance.mAvailable < 1) {
    return false;
  }
  allowance.mAvailable -= 1;
  return true;
}

/** Runs a request whose claim was made; the time spent on it is gone. */
void
RunClaimed(VmState& aState,
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
      RefuseClaimed(aState, claim, StoreTooSlow(), aEffects);
    }
    ReleaseMadeClaim(aState, claim, aVersion, aEffects);
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
                         "the service changed while the key was claimed",
                         "read the deployment and ask again" },
                  aEffects);
    ReleaseMadeClaim(aState, claim, aVersion, aEffects);
    return;
  }
  Note(aState, claim.mRequest, ClaimDecision::kMade, aEffects);
  aState.mClaims.mHeld[claim.mRequest.mToken] =
    HeldClaim{ claim.mKey, claim.mRecord, aVersion };
  CallerRequest request = claim.mRequest;
  request.mTimeout =
    std::min(request.mTimeout, service->mMaximumWait) - (aNow - claim.mStarted);
  StartQuery(aState, request, *service, aNow, aEffects);
}

/** Meets a claim that another request holds or held. */
void
MeetOtherClaim(VmState& aState,
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
  Note(aState, claim.mRequest, ClaimDecision::kDuplicate, aEffects);
  RefuseClaimed(aState, claim, DuplicateError(*aStored.mRecord), aEffects);
  aState.mClaims.mPending.erase(aToken);
}

/** Reads again a little later; in vain no more than a few times once the
    caller is answered. */
void
RetryRead(VmState& aState,
          ClaimToken aToken,
          PendingClaim& aClaim,
          TimePoint aNow)
{
  ++aState.mCounters.mPlatformFailures;
  ++aClaim.mFailures;
  if (aClaim.mIsAbandoned && aClaim.mFailures > kMostReadsAfterRefusal) {
    aState.mClaims.mPending.erase(aToken);
    return;
  }
  const Duration delay =
    std::max(kLeastRetryDelay,
             aClaim.mIsAbandoned ? RetryDelay(aClaim.mFailures, aState.mRandom)
                                 : (aClaim.mDeadline - aNow) / 4);
  aState.mTimers.Arm(aNow + delay, TimerKind::kClaimRetry, aToken.Value());
}

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
  if (!TakeAllowance(aState, aNow)) {
    Note(aState, aRequest, ClaimDecision::kFailed, aEffects);
    RefuseRequest(
      aState,
      aRequest,
      Error{ ErrorKind::kOverloaded,
             "this VM has spent its share of the store's writes",
             "ask again later or at another VM, with the same key" },
      aEffects);
    return;
  }
  const ClaimToken token(aState.mClaims.mNextToken++);
  PendingClaim claim;
  claim.mRequest = aRequest;
  claim.mKey = StoreKey(aRequest);
  claim.mRecord.mHolder = HolderText(aState.mSelf, token);
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
  const auto place = aState.mClaims.mPending.find(aEvent.mToken);
  if (place == aState.mClaims.mPending.end()) {
    return;
  }
  if (aEvent.mVersion) {
    RunClaimed(aState, aEvent.mToken, *aEvent.mVersion, aNow, aEffects);
    return;
  }
  // Refused or lost, the store knows better.
  SendRead(aState, aEvent.mToken, place->second, aEffects);
}

void
HandleClaimRead(VmState& aState,
                const ClaimRead& aEvent,
                TimePoint aNow,
                Effects& aEffects)
{
  const auto place = aState.mClaims.mPending.find(aEvent.mToken);
  if (place == aState.mClaims.mPending.end()) {
    return;
  }
  PendingClaim& claim = place->second;
  if (!aEvent.mStored) {
    RetryRead(aState, aEvent.mToken, claim, aNow);
    return;
  }
  const StoredClaim& stored = *aEvent.mStored;
  if (!stored.mRecord) {
    if (claim.mIsAbandoned) {
      aState.mClaims.mPending.erase(place);
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
    RunClaimed(aState, aEvent.mToken, stored.mVersion, aNow, aEffects);
    return;
  }
  MeetOtherClaim(aState, aEvent.mToken, stored, aEffects);
}

void
HandleClaimDeadline(VmState& aState, ClaimToken aToken, Effects& aEffects)
{
  const auto place = aState.mClaims.mPending.find(aToken);
  if (place == aState.mClaims.mPending.end() || place->second.mIsAbandoned) {
    return;
  }
  Note(aState, place->second.mRequest, ClaimDecision::kFailed, aEffects);
  RefuseClaimed(aState, place->second, StoreTooSlow(), aEffects);
}

void
HandleClaimRetry(VmState& aState, ClaimToken aToken, Effects& aEffects)
{
  const auto place = aState.mClaims.mPending.find(aToken);
  if (place != aState.mClaims.mPending.end()) {
    SendRead(aState, aToken, place->second, aEffects);
  }
}

void
EndClaim(VmState& aState,
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
LeaveClaim(VmState& aState, CallerToken aToken, Effects& aEffects)
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
