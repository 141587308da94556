/*
 * Health, readiness, metrics, status and confirmation for operators.
 */
#include "wasabispread_runtime.h"

#include <nlohmann/json.hpp>

namespace wasabispread {

namespace {

using Json = nlohmann::ordered_json;

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;

std::string
ReasonNotReady(const VmState& aState)
{
  if (aState.mStopping) {
    return "stopping";
  }
  if (aState.mConfiguration.mDeployment != nullptr) {
    return "";
  }
  if (aState.mConfiguration.mStaged) {
    return "the configuration is being fetched or parsed";
  }
  if (aState.mConfiguration.mRejected.mRevision != Revision{}) {
    return "no configuration: this release cannot use the stored one; see "
           "the log";
  }
  const bool isPlatformUnavailable =
    aState.mMembership.mFailures + aState.mConfiguration.mFailures > 0;
  return isPlatformUnavailable
           ? "no configuration: the platform does not answer, nor did "
             "another VM offer one"
           : "no configuration: none is stored, or it is on its way";
}

std::int64_t
MillisecondsSince(TimePoint aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(VmRunner::Now() -
                                                               aTime)
    .count();
}

HttpResponse
FormatReadiness(const VmState& aState)
{
  Json json;
  json["ready"] = aState.IsReady();
  json["reason"] = ReasonNotReady(aState);
  return JsonResponse(aState.IsReady() ? kOk : kUnavailable, json.dump());
}

/** The number of requests that this VM coordinates, plus the number of attempts
    that it holds as target owner, that are not finished. */
std::size_t
InFlight(const VmState& aState)
{
  return aState.mCoordinator.mQueries.size() +
         aState.mTargetOwner.mItems.size();
}

HttpResponse
FormatStatus(const VmState& aState)
{
  Json json;
  json["vm"] = aState.mSelf.mName;
  json["zone"] = aState.mSelf.mZone.Value();
  json["revision"] = aState.mConfiguration.mRevision.Value();
  json["change_id"] = aState.mConfiguration.mChangeId;
  json["author"] = aState.mConfiguration.mMetadata.mAuthor;
  json["time"] = aState.mConfiguration.mMetadata.mTime;
  json["store_silence_ms"] =
    MillisecondsSince(aState.mConfiguration.mStoreLastAnswered);
  json["ready"] = aState.IsReady();
  json["draining"] = aState.mStopping;
  json["in_flight"] = InFlight(aState);
  json["dropped_log_lines"] = LogWriter::DroppedLines();
  json["members"] = Json::array();
  for (const auto& [id, member] : aState.mMembership.mMembers) {
    json["members"].push_back(
      { { "vm", member.mName },
        { "zone", member.mZone.Value() },
        { "state", ToText(aState.mMembership.mHealth.at(id).mCondition) } });
  }
  json["holds_connections"] =
    VmRunner::Now() >= aState.mPlacement.mMayConnectFrom;
  return JsonResponse(kOk, json.dump());
}

HttpResponse
FormatConfirmation(VmRunner& aRunner, const HttpPath& aPath)
{
  const std::string text(FindHeader(aPath.mParameters, "revision"));
  const Revision revision(std::strtoull(text.c_str(), nullptr, 10));
  if (revision == Revision{}) {
    return FormatProblem(Error{ ErrorKind::kMalformedRequest,
                                "no revision is named",
                                "add ?revision=NUMBER" },
                         "");
  }
  const ConfirmationReport report = aRunner.ConfirmRevision(revision);
  const MembershipState& membership = aRunner.State().mMembership;
  Json json;
  json["revision"] = revision.Value();
  json["confirmed"] = report.mConfirmed;
  json["unconfirmed"] = report.mUnconfirmed;
  json["vms"] = Json::array();
  for (const UnconfirmedVm& vm : report.mListed) {
    const VmRecord* member = FindMember(membership, vm.mVm);
    json["vms"].push_back(
      { { "vm", member == nullptr ? "" : member->mName },
        { "zone", member == nullptr ? "" : member->mZone.Value() },
        { "reason", ToText(vm.mReason) },
        { "revision", vm.mRevision.Value() } });
  }
  return JsonResponse(kOk, json.dump());
}

} // namespace

bool
IsDrainRequest(const HttpRequest& aRequest)
{
  return aRequest.mMethod == "POST" && aRequest.mTarget == "/v1/drain";
}

HttpResponse
FormatDrainState(const VmRunner& aRunner)
{
  const VmState& state = aRunner.State();
  const bool isRefusing = VmRunner::Now() >= state.mRefusingFrom;
  Json json;
  json["vm"] = state.mSelf.mName;
  json["draining"] = state.mStopping;
  json["drained"] = isRefusing && state.IsDrained();
  json["in_flight"] = InFlight(state);
  return JsonResponse(kOk, json.dump());
}

HttpResponse
HandleOperatorRequest(VmRunner& aRunner, const HttpRequest& aRequest)
{
  const VmState& state = aRunner.State();
  const HttpPath path = ParsePath(aRequest.mTarget);
  const std::string name =
    path.mSegments.empty() ? std::string() : path.mSegments.back();
  if (aRequest.mMethod != "GET") {
    return FormatProblem(Error{ ErrorKind::kMalformedRequest,
                                "the method must be GET",
                                "send GET, or POST to /v1/drain" },
                         "");
  }
  if (name == "healthz") {
    return JsonResponse(kOk, R"({"healthy":true})");
  }
  if (name == "readyz") {
    return FormatReadiness(state);
  }
  if (name == "status") {
    return FormatStatus(state);
  }
  if (name == "confirmation") {
    return FormatConfirmation(aRunner, path);
  }
  if (name == "metrics") {
    HttpResponse response;
    response.mHeaders.push_back(
      { "Content-Type", "text/plain; version=0.0.4" });
    response.mBody = FormatMetrics(state, VmRunner::Now());
    return response;
  }
  return FormatProblem(Error{ ErrorKind::kMalformedRequest,
                              "no such path",
                              "use /healthz, /readyz, /metrics or /v1/status" },
                       "");
}

} // namespace wasabispread
