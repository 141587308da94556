/*
 * Serves the platform's calls and the control requests that set faults.
 */
#include "Platform.h"

#include <boost/fiber/operations.hpp>

namespace wasabispread {

namespace {

using Json = nlohmann::ordered_json;

constexpr Duration kWatchPoll = std::chrono::milliseconds(5);
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kUnavailable = 503;

std::uint64_t
NumberOf(const std::vector<HttpHeader>& aParameters, std::string_view aName)
{
  const std::string text(FindHeader(aParameters, aName));
  return std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

HttpResponse
Platform::Handle(const HttpRequest& aRequest)
{
  const HttpPath path = ParsePath(aRequest.mTarget);
  if (path.mSegments.size() < 2) {
    return JsonResponse(kNotFound, "{}");
  }
  if (path.mSegments[0] == "control") {
    return HandleControl(path, aRequest);
  }
  ++mCalls[path.mSegments[1] + "-" + aRequest.mMethod];
  const auto jitter =
    std::chrono::duration_cast<Duration>(mFaults.mJitter * mRandom.Fraction());
  boost::this_fiber::sleep_for(mFaults.mDelay + jitter);
  if (mFaults.mOutage) {
    return JsonResponse(kUnavailable, "{}");
  }
  if (path.mSegments[1] == "vms") {
    return JsonResponse(kOk, Json{ { "vms", VisibleVms() } }.dump());
  }
  if (path.mSegments.size() < 3) {
    return JsonResponse(kNotFound, "{}");
  }
  return aRequest.mMethod == "PUT" ? Swap(path, aRequest)
                                   : Watch(path.mSegments[2], path.mParameters);
}

HttpResponse
Platform::Watch(const std::string& aKey,
                const std::vector<HttpHeader>& aParameters)
{
  const std::uint64_t after = NumberOf(aParameters, "after");
  const TimePoint until = VmRunner::Now() + std::chrono::milliseconds(
                                              NumberOf(aParameters, "wait_ms"));
  while (mStore.Read(aKey, VmRunner::Now()).mVersion <= after &&
         VmRunner::Now() < until) {
    boost::this_fiber::sleep_for(kWatchPoll);
    if (mFaults.mOutage) {
      return JsonResponse(kUnavailable, "{}");
    }
  }
  const StoredValue& value = mStore.Read(aKey, VmRunner::Now());
  if (!value.mValue) {
    return JsonResponse(kNotFound, "{}");
  }
  const Json json{ { "version", value.mVersion }, { "value", *value.mValue } };
  return JsonResponse(kOk, json.dump());
}

bool
Platform::LosesReply()
{
  if (mFaults.mLoseWriteReplies > 0) {
    --mFaults.mLoseWriteReplies;
    return true;
  }
  return mRandom.Fraction() < mFaults.mLoseShare;
}

HttpResponse
Platform::Swap(const HttpPath& aPath, const HttpRequest& aRequest)
{
  if (aRequest.mBody.size() > kMaxValueBytes) {
    return JsonResponse(kTooLarge, "{}");
  }
  const TimePoint now = VmRunner::Now();
  const std::string& key = aPath.mSegments[2];
  const std::uint64_t lifetime = NumberOf(aPath.mParameters, "ttl_ms");
  const TimePoint expires = lifetime == 0
                              ? TimePoint::max()
                              : now + std::chrono::milliseconds(lifetime);
  const bool isWritten = mStore.Swap(
    key, NumberOf(aPath.mParameters, "expected"), aRequest.mBody, expires, now);
  const Json json{ { "version", mStore.Read(key, now).mVersion } };
  if (!isWritten) {
    return JsonResponse(kConflict, json.dump());
  }
  HttpResponse response = JsonResponse(kOk, json.dump());
  if (LosesReply()) {
    response.mStatus = kNoResponse;
  }
  return response;
}

Json
Platform::VisibleVms() const
{
  Json shown = Json::array();
  for (const VmListVersion& version : mVmLists) {
    if (version.mVisibleFrom <= VmRunner::Now()) {
      shown = version.mVms;
    }
  }
  return shown;
}

void
Platform::ChangeFaults(const Json& aChange)
{
  mFaults.mOutage = aChange.value("outage", mFaults.mOutage);
  mFaults.mLoseWriteReplies =
    aChange.value("lose_write_replies", mFaults.mLoseWriteReplies);
  mFaults.mLoseShare = aChange.value("lose_share", mFaults.mLoseShare);
  if (aChange.contains("delay_ms")) {
    mFaults.mDelay = std::chrono::milliseconds(aChange["delay_ms"].get<int>());
  }
  if (aChange.contains("jitter_ms")) {
    mFaults.mJitter =
      std::chrono::milliseconds(aChange["jitter_ms"].get<int>());
  }
}

HttpResponse
Platform::HandleControl(const HttpPath& aPath, const HttpRequest& aRequest)
{
  if (aPath.mSegments[1] == "calls") {
    return JsonResponse(kOk, Json(mCalls).dump());
  }
  const Json body = Json::parse(aRequest.mBody, nullptr, false);
  if (!body.is_object()) {
    return JsonResponse(kNotFound, R"({"error":"send a JSON object"})");
  }
  if (aPath.mSegments[1] == "vms") {
    const auto lag = std::chrono::milliseconds(body.value("lag_ms", 0));
    mVmLists.push_back({ VmRunner::Now() + lag, body.at("vms") });
  } else {
    ChangeFaults(body);
  }
  return JsonResponse(kOk, "{}");
}

} // namespace wasabispread
