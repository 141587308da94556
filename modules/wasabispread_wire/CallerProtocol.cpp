/*
 * Parsing of callers' HTTP requests and formatting of their JSON answers.
 */
#include "wasabispread_wire.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace wasabispread {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::size_t kMaxKeyBytes = 1024;
constexpr std::size_t kMaxIdempotencyKeyBytes = 128;

std::string
Dump(const Json& aJson)
{
  // A target's body may hold any bytes. Those that are not valid UTF-8 are
  // replaced; by default dump() would throw.
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

tl::unexpected<Error>
MalformedRequest(std::string aMessage, std::string aRemedy)
{
  return Fail(
    ErrorKind::kMalformedRequest, std::move(aMessage), std::move(aRemedy));
}

std::optional<Operation>
FindOperation(std::string_view aName)
{
  for (const Operation operation :
       { Operation::kSearch, Operation::kLookup, Operation::kAction }) {
    if (aName == ToText(operation)) {
      return operation;
    }
  }
  return std::nullopt;
}

Result<Duration>
ParseCallerTimeout(std::string_view aText)
{
  std::int64_t milliseconds = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, milliseconds);
  constexpr std::int64_t kMaxMilliseconds = 600'000;
  const bool isValid = !aText.empty() && error == std::errc{} && stop == end &&
                       milliseconds > 0 && milliseconds <= kMaxMilliseconds;
  if (!isValid) {
    return Fail(ErrorKind::kInvalidTimeout,
                "the header " + std::string(kCallerTimeoutHeader) +
                  " must be a whole number from 1 to 600000",
                "state the caller's timeout in milliseconds");
  }
  return std::chrono::milliseconds(milliseconds);
}

Result<std::string>
ParseKey(const HttpPath& aPath, Operation aOperation)
{
  const std::string key(FindHeader(aPath.mParameters, "key"));
  if (aOperation == Operation::kSearch) {
    return key;
  }
  if (key.empty() || key.size() > kMaxKeyBytes) {
    return MalformedRequest(
      "a lookup or an action needs a key of 1 to 1024 bytes",
      "add ?key=KEY to the path");
  }
  return key;
}

Result<std::string>
ParseIdempotencyKey(const std::vector<HttpHeader>& aHeaders,
                    Operation aOperation)
{
  std::string key(FindHeader(aHeaders, kIdempotencyKeyHeader));
  if (key.size() > kMaxIdempotencyKeyBytes) {
    return MalformedRequest("the idempotency key is longer than 128 bytes",
                            "send a shorter one");
  }
  if (!key.empty() && aOperation != Operation::kAction) {
    return MalformedRequest(
      "only an action takes an idempotency key",
      "omit the header; this operation can be sent again without "
      "it");
  }
  return key;
}

Json
FormatAnswer(const RequestId& aRequestId,
             const Answer& aAnswer,
             const Deployment& aDeployment)
{
  Json json;
  json["request_id"] = aRequestId.Value();
  const Service* service = aDeployment.FindService(aAnswer.mService);
  json["service"] = service == nullptr ? "" : service->mName;
  json["revision"] = aAnswer.mRevision.Value();
  json["snapshot"] = aAnswer.mSnapshot.Value();
  json["outcome"] = aAnswer.IsComplete() ? "complete" : "partial";
  Json coverage;
  coverage["shards"] = aAnswer.mShardsAsked;
  coverage["answered"] = aAnswer.mResults.size();
  coverage["missing"] = Json::array();
  for (const MissingShard& missing : aAnswer.mMissing) {
    coverage["missing"].push_back({ { "shard", missing.mShard.Value() },
                                    { "reason", ToText(missing.mReason) } });
  }
  json["coverage"] = std::move(coverage);
  Json::array_t results;
  results.reserve(aAnswer.mResults.size());
  for (const ShardResult& result : aAnswer.mResults) {
    const Target* target = aDeployment.FindTarget(result.mTarget);
    Json& line = results.emplace_back(Json::object());
    line["shard"] = result.mShard.Value();
    line["target"] = target == nullptr ? std::string() : target->mName;
    line["body"] = *result.mBody;
  }
  json["results"] = std::move(results);
  return json;
}

} // namespace

Result<CallerRequest>
ParseCallerRequest(const HttpRequest& aRequest,
                   CallerToken aToken,
                   std::string aGeneratedId)
{
  const HttpPath path = ParsePath(aRequest.mTarget);
  constexpr std::size_t kSegments = 4;
  const bool isKnownPath = path.mSegments.size() == kSegments &&
                           path.mSegments[0] == "v1" &&
                           path.mSegments[1] == "services";
  const auto operation =
    isKnownPath ? FindOperation(path.mSegments[3]) : std::nullopt;
  if (!operation) {
    return MalformedRequest("no such path",
                            "use /v1/services/NAME/search, /lookup or /action");
  }
  if (aRequest.mMethod != "POST") {
    return MalformedRequest("the method must be POST", "send a POST request");
  }
  const auto timeout =
    ParseCallerTimeout(FindHeader(aRequest.mHeaders, kCallerTimeoutHeader));
  if (!timeout) {
    return tl::unexpected<Error>(timeout.error());
  }
  const auto key = ParseKey(path, *operation);
  if (!key) {
    return tl::unexpected<Error>(key.error());
  }
  const auto idempotencyKey =
    ParseIdempotencyKey(aRequest.mHeaders, *operation);
  if (!idempotencyKey) {
    return tl::unexpected<Error>(idempotencyKey.error());
  }
  std::string requestId(FindHeader(aRequest.mHeaders, kRequestIdHeader));
  if (requestId.size() > kMaxRequestIdBytes) {
    return MalformedRequest("the request id is longer than 128 bytes",
                            "send a shorter one");
  }
  CallerRequest request;
  request.mToken = aToken;
  request.mRequestId =
    RequestId(requestId.empty() ? std::move(aGeneratedId) : requestId);
  request.mService = path.mSegments[2];
  request.mOperation = *operation;
  request.mKey = *key;
  request.mBody = std::make_shared<const std::string>(aRequest.mBody);
  request.mTimeout = *timeout;
  request.mIdempotencyKey = *idempotencyKey;
  return request;
}

HttpResponse
FormatOutcome(const RequestId& aRequestId,
              const Outcome& aOutcome,
              const Deployment* aDeployment)
{
  if (const Error* error = std::get_if<Error>(&aOutcome)) {
    return FormatProblem(*error, aRequestId.Value());
  }
  constexpr unsigned kOk = 200;
  HttpResponse response = JsonResponse(
    kOk,
    Dump(FormatAnswer(aRequestId, std::get<Answer>(aOutcome), *aDeployment)));
  response.mHeaders.push_back(
    { std::string(kRequestIdHeader), aRequestId.Value() });
  return response;
}

HttpResponse
FormatProblem(const Error& aError, const std::string& aRequestId)
{
  const std::string kind(ToText(aError.mKind));
  Json json;
  json["type"] = "urn:wasabispread:problem:" + kind;
  json["title"] = aError.mMessage;
  json["status"] = StatusOf(aError.mKind);
  json["kind"] = kind;
  json["ran"] = ToText(aError.mExecution);
  json["remedy"] = aError.mRemedy;
  json["request_id"] = aRequestId;
  for (const ErrorDetail& detail : aError.mDetails) {
    json[detail.mName] = detail.mValue;
  }
  HttpResponse response;
  response.mStatus = StatusOf(aError.mKind);
  response.mHeaders.push_back({ "Content-Type", "application/problem+json" });
  if (!aRequestId.empty()) {
    response.mHeaders.push_back({ std::string(kRequestIdHeader), aRequestId });
  }
  response.mBody = Dump(json);
  return response;
}

unsigned
StatusOf(ErrorKind aKind)
{
  constexpr unsigned kBadRequest = 400;
  constexpr unsigned kNotFound = 404;
  constexpr unsigned kNotAllowed = 405;
  constexpr unsigned kRequestTimeout = 408;
  constexpr unsigned kConflict = 409;
  constexpr unsigned kTooLarge = 413;
  constexpr unsigned kServerError = 500;
  constexpr unsigned kUnavailable = 503;
  constexpr unsigned kGatewayTimeout = 504;
  switch (aKind) {
    case ErrorKind::kMalformedRequest:
    case ErrorKind::kInvalidTimeout:
    case ErrorKind::kUsage:
    case ErrorKind::kInvalidFile:
    case ErrorKind::kInvalidSettings:
    case ErrorKind::kInvalidFrame:
      return kBadRequest;
    case ErrorKind::kUnknownService:
      return kNotFound;
    case ErrorKind::kOperationNotOffered:
      return kNotAllowed;
    case ErrorKind::kConflict:
    case ErrorKind::kDuplicateRequest:
      return kConflict;
    case ErrorKind::kRequestIncomplete:
      return kRequestTimeout;
    case ErrorKind::kRequestTooLarge:
    case ErrorKind::kValueTooLarge:
      return kTooLarge;
    case ErrorKind::kNotReady:
    case ErrorKind::kOverloaded:
    case ErrorKind::kTargetUnavailable:
    case ErrorKind::kConnectionFailed:
    case ErrorKind::kPlatformUnavailable:
    case ErrorKind::kIncompatibleRelease:
      return kUnavailable;
    case ErrorKind::kTimeout:
    case ErrorKind::kOutcomeUnknown:
      return kGatewayTimeout;
  }
  return kServerError;
}

} // namespace wasabispread
