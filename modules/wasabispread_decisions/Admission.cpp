/*
 * Checks of callers' requests, and their refusal under overload.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <cmath>

namespace wasabispread {

namespace {

constexpr Duration kMaxCallerTimeout = std::chrono::minutes(10);

/** Halves the counts once for every half-life since their last update. */
void
DecayCounts(AdmissionState& aAdmission, TimePoint aNow)
{
  constexpr double kHalfLifeMs = 250;
  const double elapsed = ToMilliseconds(aNow - aAdmission.mUpdated);
  const double factor = std::exp2(-elapsed / kHalfLifeMs);
  aAdmission.mOffered *= factor;
  aAdmission.mAdmitted *= factor;
  aAdmission.mAccepted *= factor;
  aAdmission.mUpdated = aNow;
}

/** The share of requests to refuse, so that slightly more are admitted than the
    targets accept. When the targets accept nearly all that is admitted, twice
    as many are admitted, so that service recovers soon after a fault. */
double
RefusalShare(const AdmissionState& aAdmission)
{
  constexpr double kMinOffered = 20;
  constexpr double kProbingMultiple = 1.1;
  constexpr double kRecoveringMultiple = 2;
  constexpr double kRecoveredShare = 0.95;
  constexpr double kMaxRefusalShare = 0.9;
  if (aAdmission.mOffered < kMinOffered) {
    return 0;
  }
  const bool isRecovering =
    aAdmission.mAccepted >= kRecoveredShare * aAdmission.mAdmitted;
  const double multiple = isRecovering ? kRecoveringMultiple : kProbingMultiple;
  const double wanted =
    1 - multiple * aAdmission.mAccepted / aAdmission.mOffered;
  return std::clamp(wanted, 0.0, kMaxRefusalShare);
}

/** Whether the budget is shorter than the service's fastest replies take. Every
    kTrialInterval one such request is admitted nevertheless. */
bool
IsBudgetTooShort(ServiceObservation& aService, Duration aBudget, TimePoint aNow)
{
  constexpr double kFastestShare = 0.1;
  constexpr Duration kTrialInterval = std::chrono::milliseconds(100);
  if (aBudget >= aService.mLatency.Quantile(kFastestShare)) {
    return false;
  }
  if (aNow < aService.mAdmission.mNextTrial) {
    return true;
  }
  aService.mAdmission.mNextTrial = aNow + kTrialInterval;
  return false;
}

} // namespace

Result<const Service*>
CheckRequest(const VmState& aState,
             const CallerRequest& aRequest,
             TimePoint aNow)
{
  if (aNow >= aState.mRefusingFrom) {
    return Fail(ErrorKind::kNotReady,
                "this VM is stopping",
                "ask another VM of the deployment");
  }
  if (aState.mConfiguration.mDeployment == nullptr) {
    return Fail(ErrorKind::kNotReady,
                "this VM has no configuration yet",
                "ask another VM, or apply a deployment file");
  }
  const Service* service = aState.mConfiguration.mDeployment->FindService(
    IdFromName<ServiceId>(aRequest.mService));
  if (service == nullptr) {
    return Fail(ErrorKind::kUnknownService,
                "no service '" + aRequest.mService + "' is declared",
                "correct the name, or declare it in the deployment file");
  }
  if (!service->Offers(aRequest.mOperation)) {
    return Fail(ErrorKind::kOperationNotOffered,
                "the service does not offer '" +
                  std::string(ToText(aRequest.mOperation)) + "'",
                "use one of its declared operations");
  }
  if (aRequest.mTimeout <= Duration::zero() ||
      aRequest.mTimeout > kMaxCallerTimeout) {
    return Fail(ErrorKind::kInvalidTimeout,
                "the caller's timeout must be above 0 and at most 10 min",
                "send a timeout within that range");
  }
  return service;
}

Duration
AnswerMargin(Duration aBudget)
{
  constexpr Duration kMaxMargin = std::chrono::milliseconds(10);
  constexpr std::int64_t kBudgetDivisor = 20;
  return std::min(kMaxMargin, aBudget / kBudgetDivisor);
}

std::optional<Error>
CheckAdmission(VmState& aState,
               const Service& aService,
               const CallerRequest& aRequest,
               TimePoint aNow)
{
  ServiceObservation& service = ObservedService(aState, aService);
  if (!aState.mCoordinator.mPolicy.mIsAdmissionChecked) {
    return std::nullopt;
  }
  DecayCounts(service.mAdmission, aNow);
  const double refusalShare = RefusalShare(service.mAdmission);
  if (refusalShare > 0 && aState.mRandom.Fraction() < refusalShare) {
    ++aState.mCounters.mRefusedOverloaded;
    service.mAdmission.mOffered += 1;
    return Error{ ErrorKind::kOverloaded,
                  "the service's targets refuse work under load",
                  "wait a second and ask again, or add targets" };
  }
  const Duration budget = std::min(aRequest.mTimeout, aService.mMaximumWait);
  if (IsBudgetTooShort(service, budget - AnswerMargin(budget), aNow)) {
    ++aState.mCounters.mRefusedBudget;
    return Error{
      ErrorKind::kTimeout,
      "the time allowed is shorter than the service's fastest replies",
      "ask with a longer timeout, or raise max_wait"
    };
  }
  return std::nullopt;
}

void
RecordAccepted(VmState& aState,
               ServiceId aService,
               double aShare,
               TimePoint aNow)
{
  const auto found = aState.mCoordinator.mServices.find(aService);
  if (found == aState.mCoordinator.mServices.end()) {
    return;
  }
  AdmissionState& admission = found->second.mAdmission;
  DecayCounts(admission, aNow);
  admission.mOffered += 1;
  admission.mAdmitted += 1;
  admission.mAccepted += aShare;
}

} // namespace wasabispread
