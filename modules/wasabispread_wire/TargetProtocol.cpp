/*
 * Formatting of targets' HTTP requests and parsing of their responses.
 */
#include "wasabispread_wire.h"

#include <charconv>

namespace wasabispread {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;
constexpr unsigned kGone = 410;
constexpr unsigned kUnavailable = 503;
/** The maximum number of snapshot versions that are read from a reply; further
    ones are ignored. */
constexpr std::size_t kMaxHeldSnapshots = 16;

/** Parses a snapshot version; 0 when the text does not begin with a number. */
std::uint64_t
ParseVersion(std::string_view aText)
{
  std::uint64_t value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return value;
}

/** Parses snapshot versions that are separated by commas. */
std::vector<SnapshotVersion>
ParseVersions(std::string_view aText)
{
  std::vector<SnapshotVersion> versions;
  while (!aText.empty() && versions.size() < kMaxHeldSnapshots) {
    const std::size_t comma = aText.find(',');
    versions.emplace_back(ParseVersion(aText.substr(0, comma)));
    aText.remove_prefix(comma == std::string_view::npos ? aText.size()
                                                        : comma + 1);
  }
  return versions;
}

TargetStatus
StatusFor(unsigned aHttpStatus)
{
  switch (aHttpStatus) {
    case kOk:
      return TargetStatus::kAnswered;
    case kUnavailable:
      return TargetStatus::kShed;
    case kGone:
      return TargetStatus::kDraining;
    case kConflict:
      return TargetStatus::kSnapshotUnavailable;
    default:
      return TargetStatus::kFailed;
  }
}

TargetHealth
ParseHealth(std::string_view aText)
{
  if (aText == "leaving") {
    return TargetHealth::kLeaving;
  }
  return aText == "good" ? TargetHealth::kGood : TargetHealth::kUnknown;
}

} // namespace

HttpRequest
FormatTargetRequest(const TargetRequest& aRequest)
{
  const auto left =
    std::chrono::duration_cast<std::chrono::milliseconds>(aRequest.mBudget);
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/v1/shards/" + std::to_string(aRequest.mShard.Value()) +
                    "/" + std::string(ToText(aRequest.mOperation));
  if (!aRequest.mKey.empty()) {
    request.mTarget += "?key=" + PercentEncode(aRequest.mKey);
  }
  request.mHeaders = {
    { "X-Request-Id", aRequest.mRequestId.Value() },
    { "X-Attempt-Id", ToText(aRequest.mAttempt) },
    { "X-Deadline-Ms", std::to_string(left.count()) },
    { "X-Snapshot", std::to_string(aRequest.mSnapshot.Value()) },
  };
  request.mBody = *aRequest.mBody;
  return request;
}

HttpRequest
FormatTargetCancel(const AttemptId& aAttempt)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget =
    "/v1/attempts/" + PercentEncode(ToText(aAttempt)) + "/cancel";
  return request;
}

TargetReply
ParseTargetReply(const HttpResponse& aResponse)
{
  TargetReply reply;
  reply.mStatus = StatusFor(aResponse.mStatus);
  reply.mAttempt = FindHeader(aResponse.mHeaders, "X-Attempt-Id");
  reply.mSnapshot =
    SnapshotVersion(ParseVersion(FindHeader(aResponse.mHeaders, "X-Snapshot")));
  reply.mHeldSnapshots =
    ParseVersions(FindHeader(aResponse.mHeaders, "X-Snapshots"));
  reply.mBody = std::make_shared<const std::string>(aResponse.mBody);
  reply.mHealth = ParseHealth(FindHeader(aResponse.mHeaders, "X-Health"));
  return reply;
}

} // namespace wasabispread
