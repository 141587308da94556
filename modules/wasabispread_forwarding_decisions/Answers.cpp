/*
 * Builds, logs and sends the answer to a caller.
 */
#include "RequestSteps.h"

#include "SubSearches.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** Retry delay after refusals by busy targets: one that refuses under load has
    a free slot again after about this time. */
constexpr Duration kBusyRetry = std::chrono::milliseconds(60);

std::size_t
CountAttempts(const RequestState& aRequest)
{
  std::size_t count = 0;
  for (const SubRequest& subRequest : aRequest.mSubRequests) {
    count += subRequest.mAttempts;
  }
  return count;
}

bool
HasRun(const RequestState& aRequest)
{
  // A sub-search that another VM has begun may have run.
  return std::any_of(aRequest.mSentSubSearches.begin(),
                     aRequest.mSentSubSearches.end(),
                     [](const SentSubSearch& aSubSearch) {
                       return !aSubSearch.mHasNotRun;
                     }) ||
         std::any_of(aRequest.mSubRequests.begin(),
                     aRequest.mSubRequests.end(),
                     [](const SubRequest& aSubRequest) {
                       return aSubRequest.mPossibleRuns > 0;
                     });
}

/** When a request that did not run is worth another try. */
Duration
RetryAfter(const ForwarderState& aState,
           const RequestState& aRequest,
           TimePoint aNow)
{
  if (aRequest.mRetryAfter) {
    return *aRequest.mRetryAfter;
  }
  const Route& route = *aRequest.mRoute;
  const Duration wait =
    route.IsSearch()
      ? WaitForRoom(aState, route, aNow).value_or(RoomWait{}).mTime
      : WaitForRoom(aState, aRequest.mSubRequests.front().mService, aNow).mTime;
  return wait > Duration::zero() ? wait : kBusyRetry;
}

CallerAnswer
ProblemAnswer(const ForwarderState& aState,
              const RequestState& aRequest,
              TimePoint aNow)
{
  if (!HasRun(aRequest)) {
    return NotRunProblem("no target could accept the request",
                         RetryAfter(aState, aRequest, aNow));
  }
  if (aNow >= aRequest.mDeadline) {
    return Problem{ ProblemKind::kTimedOut,
                    "the request timed out",
                    "allow a longer timeout, or retry it if it is idempotent",
                    std::nullopt };
  }
  return Problem{ ProblemKind::kFailed,
                  "no target sent a usable reply",
                  "retry the request if it is idempotent",
                  std::nullopt };
}

/** Whether a caller would read this HTTP status as a statement that the request
    did not run. */
bool
StatesNotRun(unsigned aStatus)
{
  constexpr unsigned kRequestTimeout = 408;
  constexpr unsigned kMisdirectedRequest = 421;
  constexpr unsigned kTooManyRequests = 429;
  constexpr unsigned kServiceUnavailable = 503;
  return aStatus == kRequestTimeout || aStatus == kMisdirectedRequest ||
         aStatus == kTooManyRequests || aStatus == kServiceUnavailable;
}

CallerAnswer
SingleAnswer(const ForwarderState& aState,
             const RequestState& aRequest,
             TimePoint aNow)
{
  const SubRequest& subRequest = aRequest.mSubRequests.front();
  const bool isReplied = subRequest.mReply != nullptr;
  const bool isForwarded =
    isReplied && (subRequest.mStatus == SubRequestStatus::kAnswered ||
                  !StatesNotRun(subRequest.mReply->mMessage.mStatus));
  if (isForwarded) {
    return ForwardedReply{ subRequest.mReply->mMessage };
  }
  return ProblemAnswer(aState, aRequest, aNow);
}

CallerAnswer
MergedAnswer(const ForwarderState& aState,
             const RequestState& aRequest,
             TimePoint aNow)
{
  if (!HasMinCoverage(aRequest)) {
    return ProblemAnswer(aState, aRequest, aNow);
  }
  SearchAnswer answer;
  std::vector<std::string_view> parts;
  for (const SubRequest& subRequest : aRequest.mSubRequests) {
    if (subRequest.mStatus == SubRequestStatus::kAnswered) {
      answer.mSignatures.push_back(subRequest.mReply->mSignature);
      // Empty for a shard that a shard owner queried: its records are in
      // mSubSearchRecords.
      parts.push_back(subRequest.mReply->mMessage.mBody);
    }
  }
  answer.mMissingShards =
    aRequest.mSubRequests.size() - answer.mSignatures.size();
  parts.insert(parts.end(),
               aRequest.mSubSearchRecords.begin(),
               aRequest.mSubSearchRecords.end());
  answer.mRecords = GreatestRecords(parts, aRequest.mRoute->mTopRecords);
  return answer;
}

/** Whether all targets of a sub-request's service are in a pause. */
bool
IsInPause(const ForwarderState& aState,
          const SubRequest& aSubRequest,
          TimePoint aNow)
{
  const RoomWait wait = WaitForRoom(aState, aSubRequest.mService, aNow);
  return wait.mTime > Duration::zero() && wait.mCause == RoomCause::kPause;
}

/** The services of the sub-requests without an answer, each with the reason. */
std::string
MissingText(const ForwarderState& aState,
            const RequestState& aRequest,
            TimePoint aNow)
{
  constexpr std::size_t kMaxNamed = 8;
  std::string text;
  std::size_t named = 0;
  for (const SubRequest& subRequest : aRequest.mSubRequests) {
    if (subRequest.mStatus == SubRequestStatus::kAnswered) {
      continue;
    }
    if (named == kMaxNamed) {
      return text + " ...";
    }
    ++named;
    text += text.empty() ? "" : " ";
    text += NameOf(aState, subRequest.mService) + ":";
    if (subRequest.mIsAtShardOwner) {
      text += "at-shard-owner";
    } else if (subRequest.mAwaitedTarget != TargetKey{}) {
      text += "waiting";
    } else if (!subRequest.mInFlight.empty()) {
      text += "no-reply";
    } else if (IsInPause(aState, subRequest, aNow)) {
      text += "paused";
    } else if (subRequest.mAttempts == 0) {
      text += "no-target";
    } else {
      text += ToText(subRequest.mLastFailure);
    }
  }
  return text;
}

struct AnswerSummary
{
  const char* mOutcome = "failed";
  RecordClass mClass = RecordClass::kFailure;
};

AnswerSummary
Summarize(ForwarderState& aState,
          const RequestState& aRequest,
          const CallerAnswer& aAnswer)
{
  if (const auto* problem = std::get_if<Problem>(&aAnswer)) {
    ++(problem->mKind == ProblemKind::kNotRun ? aState.mCounters.mRefused
                                              : aState.mCounters.mFailed);
    return { ToText(problem->mKind).data(), RecordClass::kFailure };
  }
  if (aRequest.mAnswered < aRequest.mSubRequests.size()) {
    const bool isForwardedFailure = !aRequest.mRoute->IsSearch();
    ++(isForwardedFailure ? aState.mCounters.mFailed
                          : aState.mCounters.mAnsweredInPart);
    return { isForwardedFailure ? "failure-forwarded" : "partial",
             RecordClass::kFailure };
  }
  ++aState.mCounters.mAnsweredInFull;
  return { "complete", RecordClass::kRoutine };
}

void
LogAnswer(const ForwarderState& aState,
          const RequestState& aRequest,
          const AnswerSummary& aSummary,
          TimePoint aNow,
          ForwarderEffects& aEffects)
{
  std::vector<RecordField> fields{
    { "outcome", std::string(aSummary.mOutcome) },
    { "route", aRequest.mRoute->mName },
    { "organisation", aRequest.mOwner.mName },
    { "version",
      static_cast<std::int64_t>(aRequest.mConfiguration->mVersion.Value()) },
    { "took_ms", ToMilliseconds(aNow - aRequest.mArrived) },
    { "allowed_ms", ToMilliseconds(aRequest.mDeadline - aRequest.mArrived) },
    { "reserve_ms",
      ToMilliseconds(ReserveForAnswer(
        aState.mAnswerReserve, aRequest.mSubRequests.size(), aNow)) },
    { "answered", static_cast<std::int64_t>(aRequest.mAnswered) },
    { "sub_requests", static_cast<std::int64_t>(aRequest.mSubRequests.size()) },
    { "attempts", static_cast<std::int64_t>(CountAttempts(aRequest)) },
    { "hedges", static_cast<std::int64_t>(aRequest.mHedges) },
    { "retries", static_cast<std::int64_t>(aRequest.mRetries) }
  };
  if (aSummary.mClass != RecordClass::kRoutine) {
    fields.push_back({ "missing", MissingText(aState, aRequest, aNow) });
    fields.push_back({ "store_reply_age_ms",
                       ToMilliseconds(aNow - aState.mStore.mLastReply) });
  }
  aEffects.push_back(WriteDecisionRecord{ { aSummary.mClass,
                                            "request-answered",
                                            aRequest.mRequest->mId,
                                            std::move(fields) } });
}

} // namespace

void
LogSubRequest(const ForwarderState& aState,
              const RequestState& aRequest,
              const SubRequest& aSubRequest,
              const char* aEvent,
              TargetKey aTarget,
              TimePoint aNow,
              ForwarderEffects& aEffects)
{
  std::vector<RecordField> fields{
    { "service", NameOf(aState, aSubRequest.mService) },
    { "age_ms", ToMilliseconds(aNow - aRequest.mArrived) },
    { "attempts", static_cast<std::int64_t>(aSubRequest.mAttempts) },
    { "last_failure", std::string(ToText(aSubRequest.mLastFailure)) }
  };
  const auto target = aState.mTargets.find(aTarget);
  if (target != aState.mTargets.end()) {
    fields.push_back({ "target", target->second.mRecord.mInstance.Value() });
    fields.push_back(
      { "overdue_ms",
        ToMilliseconds(OverdueBy(aState, target->second, aNow)) });
    fields.push_back({ "failure_share", FailureShare(target->second, aNow) });
    fields.push_back(
      { "takes_well",
        static_cast<std::int64_t>(GoodConcurrency(
          target->second.mCapacity, target->second.mRecord.mSlots, aNow)) });
  }
  aEffects.push_back(WriteDecisionRecord{ { RecordClass::kNotable,
                                            aEvent,
                                            aRequest.mRequest->mId,
                                            std::move(fields) } });
}

namespace {

/** Starts to measure how long after the soft deadline an answer in part is
    written. */
void
MeasurePartialAnswer(ForwarderState& aState, const RequestState& aRequest)
{
  const bool isInPart =
    aRequest.mPending > 0 && aRequest.mMinCoverageAt != TimePoint::max();
  if (aRequest.mRoute->IsSearch() && isInPart) {
    StartAnswerMeasurement(
      aState.mAnswerReserve,
      aRequest.mRequest->mToken,
      aRequest.mSubRequests.size(),
      std::max(aRequest.mSoftDeadline, aRequest.mMinCoverageAt));
  }
}

} // namespace

void
AnswerIfDue(ForwarderState& aState,
            RequestState& aRequest,
            TimePoint aNow,
            ForwarderEffects& aEffects)
{
  if (aRequest.mOrigin) {
    ReportIfDue(aState, aRequest, aNow, aEffects);
    return;
  }
  if (!IsAnswerDue(aRequest, aNow)) {
    return;
  }
  CallerAnswer answer = aRequest.mRoute->IsSearch()
                          ? MergedAnswer(aState, aRequest, aNow)
                          : SingleAnswer(aState, aRequest, aNow);
  const AnswerSummary summary = Summarize(aState, aRequest, answer);
  LogAnswer(aState, aRequest, summary, aNow, aEffects);
  if (const auto* problem = std::get_if<Problem>(&answer);
      problem != nullptr && problem->mKind == ProblemKind::kNotRun) {
    TakeBackQuota(aState,
                  aRequest.mOwner.mId,
                  aRequest.mQuotaSource,
                  aRequest.mQuotaTaken,
                  aNow);
  }
  const CallerToken token = aRequest.mRequest->mToken;
  MeasurePartialAnswer(aState, aRequest);
  aEffects.push_back(
    AnswerRequest{ token, aRequest.mRequest->mId, std::move(answer) });
  CancelSentSubSearches(aState, aRequest, false, aNow, aEffects);
  AbandonAttempts(aState, aRequest, aNow);
  aState.mRequestOfCaller.erase(token);
  aState.mRequests.erase(aRequest.mKey);
}

} // namespace wasabispread::forwarding
