/*
 * The platform's HTTP and JSON formats.
 */
#include "wasabispread_platform.h"

#include <nlohmann/json.hpp>

namespace wasabispread {

namespace {

using Json = nlohmann::ordered_json;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kTooLarge = 413;

tl::unexpected<Error>
Unavailable(std::string aMessage)
{
  return Fail(ErrorKind::kPlatformUnavailable,
              std::move(aMessage),
              "retry later",
              Execution::kUnknown);
}

std::string
KeyPath(std::string_view aKey)
{
  return "/v1/kv/" + PercentEncode(aKey);
}

/** Parses a JSON object; a discarded value when the body is anything else. */
Json
ParseObject(const std::string& aBody)
{
  Json json = Json::parse(aBody, nullptr, false);
  return json.is_object() ? json : Json(Json::value_t::discarded);
}

std::optional<std::string>
StringAt(const Json& aJson, const char* aKey)
{
  const auto found = aJson.find(aKey);
  if (found == aJson.end() || !found->is_string()) {
    return std::nullopt;
  }
  return found->get<std::string>();
}

std::optional<std::uint64_t>
NumberAt(const Json& aJson, const char* aKey)
{
  const auto found = aJson.find(aKey);
  if (found == aJson.end() || !found->is_number_unsigned()) {
    return std::nullopt;
  }
  return found->get<std::uint64_t>();
}

std::optional<VmRecord>
ParseVm(const Json& aJson)
{
  if (!aJson.is_object()) {
    return std::nullopt;
  }
  const auto name = StringAt(aJson, "name");
  const auto zone = StringAt(aJson, "zone");
  const auto host = StringAt(aJson, "host");
  const auto port = NumberAt(aJson, "port");
  const auto state = StringAt(aJson, "state");
  constexpr std::uint64_t kMaxPort = 65535;
  if (!name || !zone || !host || !port || *port > kMaxPort || !state) {
    return std::nullopt;
  }
  VmRecord vm;
  vm.mId = IdFromName<VmId>(*name);
  vm.mName = *name;
  vm.mZone = ZoneName(*zone);
  vm.mPeerAddress = Endpoint{ *host, static_cast<std::uint16_t>(*port) };
  vm.mLeaving = *state == "leaving";
  return vm;
}

} // namespace

HttpRequest
FormatStoreRead(std::string_view aKey)
{
  HttpRequest request;
  request.mTarget = KeyPath(aKey);
  return request;
}

HttpRequest
FormatStoreWatch(std::string_view aKey,
                 std::uint64_t aAfterVersion,
                 Duration aWait)
{
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(aWait);
  HttpRequest request;
  request.mTarget = KeyPath(aKey) + "?after=" + std::to_string(aAfterVersion) +
                    "&wait_ms=" + std::to_string(wait.count());
  return request;
}

HttpRequest
FormatStoreSwap(std::string_view aKey,
                std::uint64_t aExpected,
                std::string aValue)
{
  HttpRequest request;
  request.mMethod = "PUT";
  request.mTarget = KeyPath(aKey) + "?expected=" + std::to_string(aExpected);
  request.mBody = std::move(aValue);
  return request;
}

Result<StoreValue>
ParseStoreValue(const HttpResponse& aResponse)
{
  if (aResponse.mStatus == kNotFound) {
    return StoreValue{};
  }
  if (aResponse.mStatus != kOk) {
    return Unavailable("the store answered with status " +
                       std::to_string(aResponse.mStatus));
  }
  const Json json = ParseObject(aResponse.mBody);
  if (json.is_discarded()) {
    return Unavailable("the store's answer is not JSON");
  }
  const auto version = NumberAt(json, "version");
  if (!version) {
    return Unavailable("the store's answer lacks a version");
  }
  return StoreValue{ *version, StringAt(json, "value") };
}

Result<std::uint64_t>
ParseStoreSwap(const HttpResponse& aResponse)
{
  if (aResponse.mStatus == kConflict) {
    return Fail(ErrorKind::kConflict,
                "the key was written by another request first",
                "read the value again and retry the change on it");
  }
  if (aResponse.mStatus == kTooLarge) {
    return Fail(ErrorKind::kValueTooLarge,
                "the value is larger than the store accepts",
                "make the deployment file smaller");
  }
  const auto value = ParseStoreValue(aResponse);
  if (!value || value->mVersion == 0) {
    return Unavailable("the store did not confirm the write");
  }
  return value->mVersion;
}

HttpRequest
FormatVmListRead()
{
  HttpRequest request;
  request.mTarget = "/v1/vms";
  return request;
}

Result<std::vector<VmRecord>>
ParseVmList(const HttpResponse& aResponse)
{
  const Json json = aResponse.mStatus == kOk ? ParseObject(aResponse.mBody)
                                             : Json(Json::value_t::discarded);
  if (json.is_discarded() || !json.contains("vms") || !json["vms"].is_array()) {
    return Unavailable("the platform gave no VM list");
  }
  std::vector<VmRecord> vms;
  for (const Json& element : json["vms"]) {
    auto vm = ParseVm(element);
    if (!vm) {
      return Unavailable("the VM list has an element that cannot be read");
    }
    vms.push_back(std::move(*vm));
  }
  return vms;
}

Result<StoredConfiguration>
ParseStoredConfiguration(const HttpResponse& aResponse)
{
  const auto value = ParseStoreValue(aResponse);
  if (!value) {
    return tl::unexpected<Error>(value.error());
  }
  StoredConfiguration stored;
  stored.mStoreVersion = value->mVersion;
  if (value->mValue) {
    auto record = DecodeConfiguration(*value->mValue);
    if (!record) {
      return tl::unexpected<Error>(record.error());
    }
    stored.mRecord = std::move(*record);
  }
  return stored;
}

HttpRequest
FormatClaimSwap(const SwapClaim& aSwap)
{
  const auto lifetime =
    std::chrono::duration_cast<std::chrono::milliseconds>(aSwap.mLifetime);
  HttpRequest request =
    FormatStoreSwap(aSwap.mKey, aSwap.mExpected, EncodeClaim(aSwap.mRecord));
  request.mTarget += "&ttl_ms=" + std::to_string(lifetime.count());
  return request;
}

std::string
EncodeClaim(const ClaimRecord& aRecord)
{
  const Json json{ { "holder", aRecord.mHolder },
                   { "request_id", aRecord.mRequestId.Value() },
                   { "status", ToText(aRecord.mStatus) } };
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ClaimRecord>
DecodeClaim(const std::string& aValue)
{
  const Json json = ParseObject(aValue);
  const auto holder =
    json.is_discarded() ? std::nullopt : StringAt(json, "holder");
  if (!holder) {
    return Fail(ErrorKind::kPlatformUnavailable,
                "the stored claim cannot be read",
                "use another idempotency key");
  }
  ClaimRecord record;
  record.mHolder = *holder;
  record.mRequestId = RequestId(StringAt(json, "request_id").value_or(""));
  const std::string status = StringAt(json, "status").value_or("");
  // A status that this release does not know must not let the action be
  // executed a second time.
  record.mStatus = ClaimStatus::kUnknown;
  for (const ClaimStatus known :
       { ClaimStatus::kPending, ClaimStatus::kDone, ClaimStatus::kNotRun }) {
    if (status == ToText(known)) {
      record.mStatus = known;
    }
  }
  return record;
}

Result<StoredClaim>
ParseStoredClaim(const HttpResponse& aResponse)
{
  const auto value = ParseStoreValue(aResponse);
  if (!value) {
    return tl::unexpected<Error>(value.error());
  }
  StoredClaim stored;
  stored.mVersion = value->mVersion;
  if (value->mValue) {
    auto record = DecodeClaim(*value->mValue);
    if (!record) {
      return tl::unexpected<Error>(record.error());
    }
    stored.mRecord = std::move(*record);
  }
  return stored;
}

} // namespace wasabispread
