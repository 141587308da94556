/*
 * A stand-in for the platform: a key-value store with compare-and-swap and
 * watches, and a VM list with lag. Each call is counted; faults are switched
 * by HTTP under /control.
 */
#include <wasabispread_runtime/wasabispread_runtime.h>

#include <iostream>
#include <map>

#include <boost/fiber/operations.hpp>
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

namespace wasabispread {

namespace {

using Json = nlohmann::ordered_json;

constexpr Duration kWatchPoll = std::chrono::milliseconds(5);
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kUnavailable = 503;

/** Faults in force. */
struct PlatformFaults
{
  /** Every call is refused. */
  bool mOutage = false;
  /** Each call takes this much longer. */
  Duration mDelay{};
  /** This many coming writes take effect, but their reply is lost. */
  std::uint64_t mLoseWriteReplies = 0;
};

/** A value and the number of writes that led to it. */
struct StoredValue
{
  std::uint64_t mVersion = 0;
  std::string mValue;
};

/** A VM list as it was set at some time. */
struct VmListEdition
{
  TimePoint mShownFrom;
  Json mVms = Json::array();
};

class Platform
{
public:
  HttpResponse Handle(const HttpRequest& aRequest)
  {
    const HttpPath path = ParsePath(aRequest.mTarget);
    if (path.mSegments.size() < 2) {
      return JsonResponse(kNotFound, "{}");
    }
    if (path.mSegments[0] == "control") {
      return HandleControl(path, aRequest);
    }
    ++mCalls[path.mSegments[1] + "-" + aRequest.mMethod];
    boost::this_fiber::sleep_for(mFaults.mDelay);
    if (mFaults.mOutage) {
      return JsonResponse(kUnavailable, "{}");
    }
    if (path.mSegments[1] == "vms") {
      return JsonResponse(kOk, Json{ { "vms", ShownVms() } }.dump());
    }
    if (path.mSegments.size() < 3) {
      return JsonResponse(kNotFound, "{}");
    }
    return aRequest.mMethod == "PUT"
             ? Swap(path, aRequest)
             : Watch(path.mSegments[2], path.mParameters);
  }

private:
  static std::uint64_t NumberOf(const std::vector<HttpHeader>& aParameters,
                                std::string_view aName)
  {
    const std::string text(FindHeader(aParameters, aName));
    return std::strtoull(text.c_str(), nullptr, 10);
  }

  HttpResponse Watch(const std::string& aKey,
                     const std::vector<HttpHeader>& aParameters)
  {
    const std::uint64_t after = NumberOf(aParameters, "after");
    const TimePoint until =
      NodeRunner::Now() +
      std::chrono::milliseconds(NumberOf(aParameters, "wait_ms"));
    while (mValues[aKey].mVersion <= after && NodeRunner::Now() < until) {
      boost::this_fiber::sleep_for(kWatchPoll);
      if (mFaults.mOutage) {
        return JsonResponse(kUnavailable, "{}");
      }
    }
    const StoredValue& value = mValues[aKey];
    if (value.mVersion == 0) {
      return JsonResponse(kNotFound, "{}");
    }
    const Json json{ { "version", value.mVersion }, { "value", value.mValue } };
    return JsonResponse(kOk, json.dump());
  }

  HttpResponse Swap(const HttpPath& aPath, const HttpRequest& aRequest)
  {
    StoredValue& value = mValues[aPath.mSegments[2]];
    if (aRequest.mBody.size() > kMostValueBytes) {
      return JsonResponse(kTooLarge, "{}");
    }
    if (value.mVersion != NumberOf(aPath.mParameters, "expected")) {
      return JsonResponse(kConflict,
                          Json{ { "version", value.mVersion } }.dump());
    }
    ++value.mVersion;
    value.mValue = aRequest.mBody;
    if (mFaults.mLoseWriteReplies > 0) {
      --mFaults.mLoseWriteReplies;
      HttpResponse lost = JsonResponse(kUnavailable, "{}");
      lost.mKeepAlive = false;
      return lost;
    }
    return JsonResponse(kOk, Json{ { "version", value.mVersion } }.dump());
  }

  Json ShownVms() const
  {
    Json shown = Json::array();
    for (const VmListEdition& edition : mVmLists) {
      if (edition.mShownFrom <= NodeRunner::Now()) {
        shown = edition.mVms;
      }
    }
    return shown;
  }

  HttpResponse HandleControl(const HttpPath& aPath, const HttpRequest& aRequest)
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
      mVmLists.push_back({ NodeRunner::Now() + lag, body.at("vms") });
    } else {
      mFaults.mOutage = body.value("outage", mFaults.mOutage);
      mFaults.mLoseWriteReplies =
        body.value("lose_write_replies", mFaults.mLoseWriteReplies);
      if (body.contains("delay_ms")) {
        mFaults.mDelay = std::chrono::milliseconds(body["delay_ms"].get<int>());
      }
    }
    return JsonResponse(kOk, "{}");
  }

  PlatformFaults mFaults;
  std::map<std::string, StoredValue> mValues;
  std::map<std::string, std::uint64_t> mCalls;
  std::vector<VmListEdition> mVmLists;
};

int
Run(const Endpoint& aAddress)
{
  IoLoop loop;
  Platform platform;
  HttpServerLimits limits;
  limits.mMostBodyBytes = 2 * kMostValueBytes;
  auto server = HttpServer::Start(
    loop, aAddress, limits, [&platform](const HttpRequest& aRequest) {
      return platform.Handle(aRequest);
    });
  if (!server) {
    std::cerr << ToText(server.error()) << "\n";
    return 1;
  }
  loop.WaitForStopSignal();
  std::quick_exit(EXIT_SUCCESS);
}

} // namespace

} // namespace wasabispread

int
main(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  wasabispread::Endpoint address{ "127.0.0.1", 0 };
  options::options_description description("Options");
  description.add_options()(
    "port", options::value<std::uint16_t>(&address.mPort)->required(), "port");
  options::variables_map values;
  options::store(options::parse_command_line(aCount, aArguments, description),
                 values);
  options::notify(values);
  return wasabispread::Run(address);
}
