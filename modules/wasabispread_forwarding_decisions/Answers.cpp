/*
 * What a caller is told in the end.
 */
#include "RequestSteps.h"

#include "SubSearches.h"

#include <algorithm>

namespace wasabispread::forwarding {

namespace {

/** A target that refuses under load has room again about this soon. */
constexpr Duration kBusyRetry = std::chrono::milliseconds(60);

std::size_t
SendingsOf(const RequestState& aRequest)
{
  std::size_t count = 0;
  for (const Leg& leg : aRequest.mLegs) {
    count += leg.mAttempts;
  }
  return count;
}

bool
HasRun(const RequestState& aRequest)
{
  // What another VM began may have run.
  return !aRequest.mDelegates.empty() ||
         std::any_of(aRequest.mLegs.begin(),
                     aRequest.mLegs.end(),
                     [](const Leg& aLeg) { return aLeg.mRuns > 0; });
}

CallerAnswer
UnservedAnswer(const RequestState& aRequest, TimePoint aNow)
{
  if (!HasRun(aRequest)) {
    return NotRunProblem("no target could take the request", kBusyRetry);
  }
  if (aNow >= aRequest.mDeadline) {
    return Problem{ ProblemKind::kTimedOut,
                    "the time for the request is over",
                    "allow more time, or repeat it if it is idempotent",
                    std::nullopt };
  }
  return Problem{ ProblemKind::kFailed,
                  "no usable reply came from the targets",
                  "repeat the request if it is idempotent",
                  std::nullopt };
}

/** Whether a status, sent to a caller, says that the request did not run. */
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
SingleAnswer(const RequestState& aRequest, TimePoint aNow)
{
  const Leg& leg = aRequest.mLegs.front();
  const bool isReplied = leg.mReply != nullptr;
  const bool isPassed =
    isReplied && (leg.mStatus == LegStatus::kAnswered ||
                  !StatesNotRun(leg.mReply->mMessage.mStatus));
  if (isPassed) {
    return ForwardedReply{ leg.mReply->mMessage };
  }
  return UnservedAnswer(aRequest, aNow);
}

CallerAnswer
MergedAnswer(const RequestState& aRequest, TimePoint aNow)
{
  if (!HasLeastCoverage(aRequest)) {
    return UnservedAnswer(aRequest, aNow);
  }
  SearchAnswer answer;
  std::vector<std::string_view> parts;
  for (const Leg& leg : aRequest.mLegs) {
    if (leg.mStatus == LegStatus::kAnswered) {
      answer.mSignatures.push_back(leg.mReply->mSignature);
      // Empty for a delegated leg, whose records are among those merged.
      parts.push_back(leg.mReply->mMessage.mBody);
    }
  }
  answer.mMissingShards = aRequest.mLegs.size() - answer.mSignatures.size();
  parts.insert(parts.end(),
               aRequest.mDelegatedRecords.begin(),
               aRequest.mDelegatedRecords.end());
  answer.mRecords = GreatestRecords(parts, aRequest.mRoute->mTopRecords);
  return answer;
}

/** The services of the legs without an answer, with why. */
std::string
MissingText(const ForwarderState& aState, const RequestState& aRequest)
{
  constexpr std::size_t kMostNamed = 8;
  std::string text;
  std::size_t named = 0;
  for (const Leg& leg : aRequest.mLegs) {
    if (leg.mStatus == LegStatus::kAnswered) {
      continue;
    }
    if (named == kMostNamed) {
      return text + " ...";
    }
    ++named;
    text += text.empty() ? "" : " ";
    text += NameOf(aState, leg.mService) + ":";
    if (leg.mIsDelegated) {
      text += "at-shard-owner";
    } else if (leg.mWaitingAt != TargetKey{}) {
      text += "waiting";
    } else if (!leg.mInFlight.empty()) {
      text += "no-reply";
    } else if (leg.mAttempts == 0) {
      text += "no-target";
    } else {
      text += ToText(leg.mLastFailure);
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
  if (aRequest.mAnswered < aRequest.mLegs.size()) {
    const bool isPassedFailure = !aRequest.mRoute->IsSearch();
    ++(isPassedFailure ? aState.mCounters.mFailed
                       : aState.mCounters.mAnsweredInPart);
    return { isPassedFailure ? "failure-forwarded" : "partial",
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
    { "version",
      static_cast<std::int64_t>(aRequest.mConfiguration->mVersion.Value()) },
    { "took_ms", ToMilliseconds(aNow - aRequest.mArrived) },
    { "allowed_ms", ToMilliseconds(aRequest.mDeadline - aRequest.mArrived) },
    { "answered", static_cast<std::int64_t>(aRequest.mAnswered) },
    { "sub_requests", static_cast<std::int64_t>(aRequest.mLegs.size()) },
    { "attempts", static_cast<std::int64_t>(SendingsOf(aRequest)) },
    { "hedges", static_cast<std::int64_t>(aRequest.mHedges) },
    { "retries", static_cast<std::int64_t>(aRequest.mRetries) }
  };
  if (aSummary.mClass != RecordClass::kRoutine) {
    fields.push_back({ "missing", MissingText(aState, aRequest) });
    fields.push_back(
      { "store_reply_age_ms", ToMilliseconds(aNow - aState.mStore.mHeard) });
  }
  aEffects.push_back(WriteDecisionRecord{ { aSummary.mClass,
                                            "request-answered",
                                            aRequest.mRequest->mId,
                                            std::move(fields) } });
}

} // namespace

void
LogLeg(const ForwarderState& aState,
       const RequestState& aRequest,
       const Leg& aLeg,
       const char* aEvent,
       TargetKey aTarget,
       TimePoint aNow,
       ForwarderEffects& aEffects)
{
  std::vector<RecordField> fields{
    { "service", NameOf(aState, aLeg.mService) },
    { "age_ms", ToMilliseconds(aNow - aRequest.mArrived) },
    { "attempts", static_cast<std::int64_t>(aLeg.mAttempts) },
    { "last_failure", std::string(ToText(aLeg.mLastFailure)) }
  };
  const auto target = aState.mTargets.find(aTarget);
  if (target != aState.mTargets.end()) {
    fields.push_back({ "target", target->second.mRecord.mInstance.Value() });
    fields.push_back(
      { "overdue_ms",
        ToMilliseconds(OverdueBy(aState, target->second, aNow)) });
    fields.push_back({ "failure_share", FailureShare(target->second, aNow) });
  }
  aEffects.push_back(WriteDecisionRecord{ { RecordClass::kNotable,
                                            aEvent,
                                            aRequest.mRequest->mId,
                                            std::move(fields) } });
}

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
                          ? MergedAnswer(aRequest, aNow)
                          : SingleAnswer(aRequest, aNow);
  const AnswerSummary summary = Summarize(aState, aRequest, answer);
  LogAnswer(aState, aRequest, summary, aNow, aEffects);
  const CallerToken token = aRequest.mRequest->mToken;
  aEffects.push_back(
    AnswerRequest{ token, aRequest.mRequest->mId, std::move(answer) });
  CancelDelegates(aState, aRequest, false, aEffects);
  AbandonSendings(aState, aRequest, aNow);
  aState.mRequestOfCaller.erase(token);
  aState.mRequests.erase(aRequest.mKey);
}

} // namespace wasabispread::forwarding
