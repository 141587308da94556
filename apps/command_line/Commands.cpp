/*
 * The operators' commands that check a file, show a status or send a request.
 */
#include "Commands.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include <nlohmann/json.hpp>

namespace wasabispread {

namespace {

using Json = nlohmann::ordered_json;

/** The timeout of a call to a daemon; for a request to a service, it is added
    to the request's own timeout. */
constexpr Duration kCallTimeout = std::chrono::seconds(5);

std::optional<std::string>
ReadFile(const std::string& aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

void
PrintFaults(const Faults& aFaults, bool aJson)
{
  Json list = Json::array();
  for (const Fault& fault : aFaults) {
    if (!aJson) {
      std::cerr << ToText(fault) << "\n";
    }
    list.push_back({ { "file", fault.mFile },
                     { "line", fault.mLine },
                     { "column", fault.mColumn },
                     { "message", fault.mMessage },
                     { "remedy", fault.mRemedy } });
  }
  if (aJson) {
    std::cout << Json{ { "faults", list } }.dump() << "\n";
  }
}

ExitCode
ExitFor(const Error& aError)
{
  if (aError.mKind == ErrorKind::kConflict) {
    return ExitCode::kConflict;
  }
  return aError.mExecution == Execution::kUnknown ? ExitCode::kUnknown
                                                  : ExitCode::kFailure;
}

ExitCode
PrintResponse(const Result<HttpResponse>& aResponse, bool aJson)
{
  if (!aResponse) {
    PrintError(aResponse.error(), aJson);
    return ExitFor(aResponse.error());
  }
  const Json json = Json::parse(aResponse->mBody, nullptr, false);
  constexpr int kIndent = 2;
  std::cout << (json.is_discarded() ? aResponse->mBody
                : aJson             ? json.dump()
                                    : json.dump(kIndent))
            << "\n";
  constexpr unsigned kFirstErrorStatus = 400;
  return aResponse->mStatus < kFirstErrorStatus ? ExitCode::kSuccess
                                                : ExitCode::kFailure;
}

} // namespace

void
PrintError(const Error& aError, bool aJson)
{
  if (!aJson) {
    std::cerr << ToText(aError) << "\n";
    return;
  }
  const Json json{ { "kind", ToText(aError.mKind) },
                   { "message", aError.mMessage },
                   { "remedy", aError.mRemedy },
                   { "ran", ToText(aError.mExecution) } };
  std::cout << json.dump() << "\n";
}

std::optional<std::string>
ReadCheckedFile(const CommandOptions& aOptions)
{
  auto text = ReadFile(aOptions.mFile);
  if (!text) {
    PrintError(Error{ ErrorKind::kUsage,
                      "the file '" + aOptions.mFile + "' cannot be read",
                      "check its name" },
               aOptions.mJson);
    return std::nullopt;
  }
  const auto deployment = ParseDeployment(*text, aOptions.mFile);
  if (!deployment) {
    PrintFaults(deployment.error(), aOptions.mJson);
    return std::nullopt;
  }
  return text;
}

ExitCode
RunCheck(const CommandOptions& aOptions)
{
  if (!ReadCheckedFile(aOptions)) {
    return ExitCode::kUsage;
  }
  std::cout << (aOptions.mJson ? R"({"faults":[]})"
                               : aOptions.mFile + ": no fault found")
            << "\n";
  return ExitCode::kSuccess;
}

ExitCode
RunStatus(IoLoop& aLoop, const CommandOptions& aOptions)
{
  HttpRequest request;
  request.mTarget = "/v1/status";
  return PrintResponse(
    ExchangeOnce(aLoop, aOptions.mDaemon, request, kCallTimeout),
    aOptions.mJson);
}

ExitCode
RunQuery(IoLoop& aLoop, const CommandOptions& aOptions)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/v1/services/" + PercentEncode(aOptions.mService) + "/" +
                    PercentEncode(aOptions.mOperation);
  if (!aOptions.mKey.empty()) {
    request.mTarget += "?key=" + PercentEncode(aOptions.mKey);
  }
  request.mHeaders = { { std::string(kCallerTimeoutHeader),
                         std::to_string(aOptions.mTimeoutMs) } };
  request.mBody = aOptions.mBody;
  const Duration timeout = std::chrono::milliseconds(aOptions.mTimeoutMs);
  return PrintResponse(
    ExchangeOnce(aLoop, aOptions.mDaemon, request, timeout + kCallTimeout),
    aOptions.mJson);
}

} // namespace wasabispread
