/*
 * The commands that change and show the configuration.
 */
#include "ConfigurationCommands.h"

#include <iostream>

#include <boost/fiber/operations.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <nlohmann/json.hpp>

namespace wasabispread {

namespace {

using Json = nlohmann::ordered_json;

constexpr Duration kCallTimeout = std::chrono::seconds(5);
constexpr Duration kPollInterval = std::chrono::milliseconds(500);
/** How often the recording of a refused apply is tried while others write the
    same key. */
constexpr int kMaxSwapAttempts = 5;

Result<StoredConfiguration>
ReadConfiguration(IoLoop& aLoop, const Endpoint& aPlatform)
{
  return ExchangeOnce(
           aLoop, aPlatform, FormatStoreRead(kConfigurationKey), kCallTimeout)
    .and_then(ParseStoredConfiguration);
}

/** Performs one step of an apply and returns the next one. */
ApplyStep
Perform(IoLoop& aLoop,
        const Endpoint& aPlatform,
        ApplyState& aState,
        const ApplyStep& aStep)
{
  if (const auto* swap = std::get_if<SwapStore>(&aStep)) {
    const auto written =
      ExchangeOnce(
        aLoop,
        aPlatform,
        FormatStoreSwap(kConfigurationKey, swap->mExpected, swap->mValue),
        kCallTimeout)
        .and_then(ParseStoreSwap);
    return HandleStoreSwapped(aState, written, VmRunner::Now());
  }
  if (const auto* wait = std::get_if<WaitUntil>(&aStep)) {
    boost::this_fiber::sleep_until(wait->mTime);
    return HandleWaited();
  }
  const auto stored = ReadConfiguration(aLoop, aPlatform);
  return HandleStoreRead(aState, stored, VmRunner::Now());
}

ApplyRequest
RequestFrom(const CommandOptions& aOptions, std::string aText)
{
  ApplyRequest request;
  request.mText = std::move(aText);
  request.mChangeId = aOptions.mChangeId;
  if (request.mChangeId.empty()) {
    request.mChangeId =
      boost::uuids::to_string(boost::uuids::random_generator()());
  }
  const char* author = std::getenv("USER");
  request.mAuthor = author == nullptr ? "unknown" : author;
  request.mTime = WallClockText();
  request.mBase = Revision(aOptions.mBaseRevision);
  request.mTimeout = std::chrono::milliseconds(aOptions.mWaitMs);
  return request;
}

/** Adds a refused apply to the history in the store. Failures are ignored:
    the record is informational, and the operator sees the refusal anyway. */
void
RecordRefusedApply(IoLoop& aLoop,
                   const Endpoint& aPlatform,
                   const RefusedApply& aApply)
{
  for (int tries = 0; tries < kMaxSwapAttempts; ++tries) {
    const auto stored =
      ExchangeOnce(
        aLoop, aPlatform, FormatStoreRead(kRefusedAppliesKey), kCallTimeout)
        .and_then(ParseStoreValue);
    if (!stored) {
      return;
    }
    auto applies = DecodeRefusedApplies(stored->mValue.value_or("[]"));
    AddRefusedApply(applies, aApply);
    const auto written =
      ExchangeOnce(aLoop,
                   aPlatform,
                   FormatStoreSwap(kRefusedAppliesKey,
                                   stored->mVersion,
                                   EncodeRefusedApplies(applies)),
                   kCallTimeout)
        .and_then(ParseStoreSwap);
    const bool isConflict =
      !written && written.error().mKind == ErrorKind::kConflict;
    if (!isConflict) {
      return;
    }
  }
}

std::vector<std::string>
DifferencesFrom(const std::string& aOld, const std::string& aNew)
{
  const auto older = ParseDeployment(aOld, "stored");
  const auto newer = ParseDeployment(aNew, "file");
  if (!older || !newer) {
    return { "the stored configuration cannot be compared" };
  }
  return DescribeDifferences(*older, *newer);
}

/** The command that finds out the outcome of an apply when it is unknown: the
    same apply with the same change id. */
std::string
ResolvingCommand(const CommandOptions& aOptions, const ApplyRequest& aRequest)
{
  return "wasabispread apply " + aOptions.mFile + " --platform " +
         ToText(aOptions.mPlatform) + " --base-revision " +
         std::to_string(aRequest.mBase.Value()) + " --change-id " +
         aRequest.mChangeId;
}

Json
ReportJson(const ApplyReport& aReport,
           const ApplyRequest& aRequest,
           const std::vector<std::string>& aDifferences,
           const std::string& aResolvingCommand)
{
  Json json{ { "outcome", ToText(aReport.mOutcome) },
             { "change_id", aRequest.mChangeId },
             { "base_revision", aRequest.mBase.Value() } };
  if (aReport.mOutcome == ApplyOutcome::kAccepted) {
    json["revision"] = aReport.mRevision.Value();
    json["was_in_force"] = aReport.mWasInForce;
  }
  if (aReport.mError) {
    json["kind"] = ToText(aReport.mError->mKind);
    json["message"] = aReport.mError->mMessage;
    json["remedy"] = aReport.mError->mRemedy;
  }
  if (aReport.mWinner) {
    json["winner"] = { { "revision", aReport.mWinner->mRevision.Value() },
                       { "author", aReport.mWinner->mAuthor },
                       { "time", aReport.mWinner->mTime },
                       { "change_id", aReport.mWinner->mChangeId } };
    json["differences"] = aDifferences;
  }
  if (aReport.mOutcome == ApplyOutcome::kUnknown) {
    json["settle"] = aResolvingCommand;
  }
  return json;
}

void
PrintReport(const ApplyReport& aReport,
            const std::vector<std::string>& aDifferences,
            const std::string& aResolvingCommand)
{
  if (aReport.mOutcome == ApplyOutcome::kAccepted) {
    std::cout << (aReport.mWasInForce ? "already in force" : "accepted")
              << " as revision " << aReport.mRevision.Value() << "\n";
    return;
  }
  std::cerr << ToText(aReport.mOutcome) << ": " << ToText(*aReport.mError)
            << "\n";
  if (aReport.mOutcome == ApplyOutcome::kUnknown) {
    std::cerr << "to find out the outcome: " << aResolvingCommand << "\n";
  }
  if (aReport.mWinner) {
    std::cerr << "how your file differs from revision "
              << aReport.mWinner->mRevision.Value() << ":\n";
    for (const std::string& line : aDifferences) {
      std::cerr << "  " << line << "\n";
    }
  }
}

ExitCode
ExitFor(const ApplyReport& aReport)
{
  switch (aReport.mOutcome) {
    case ApplyOutcome::kAccepted:
      return ExitCode::kSuccess;
    case ApplyOutcome::kUnknown:
      return ExitCode::kUnknown;
    case ApplyOutcome::kRefused:
      break;
  }
  return aReport.mWinner ? ExitCode::kConflict : ExitCode::kFailure;
}

void
PrintConfirmation(const Json& aReport, bool aJson)
{
  if (aJson) {
    std::cout << aReport.dump() << "\n";
    return;
  }
  std::cout << aReport.value("confirmed", 0) << " VMs confirmed, "
            << aReport.value("unconfirmed", 0) << " have not\n";
  for (const Json& vm : aReport.value("vms", Json::array())) {
    std::cout << "  " << vm.value("vm", "") << " (" << vm.value("zone", "")
              << "): " << vm.value("reason", "") << ", revision "
              << vm.value("revision", 0) << "\n";
  }
}

} // namespace

ExitCode
RunApply(IoLoop& aLoop, const CommandOptions& aOptions)
{
  auto text = ReadCheckedFile(aOptions);
  if (!text) {
    return ExitCode::kUsage;
  }
  const ApplyRequest request = RequestFrom(aOptions, std::move(*text));
  ApplyState state;
  const std::uint64_t seed = StableHash(request.mChangeId);
  ApplyStep step = BeginApply(state, request, seed, VmRunner::Now());
  while (!std::holds_alternative<ApplyReport>(step)) {
    step = Perform(aLoop, aOptions.mPlatform, state, step);
  }
  const ApplyReport& report = std::get<ApplyReport>(step);
  std::vector<std::string> differences;
  if (report.mWinner) {
    differences = DifferencesFrom(report.mWinner->mText, request.mText);
    RecordRefusedApply(aLoop,
                       aOptions.mPlatform,
                       RefusedApply{ request.mChangeId,
                                     request.mAuthor,
                                     request.mTime,
                                     request.mBase,
                                     report.mWinner->mRevision });
  }
  const std::string resolvingCommand = ResolvingCommand(aOptions, request);
  if (aOptions.mJson) {
    std::cout
      << ReportJson(report, request, differences, resolvingCommand).dump()
      << "\n";
  } else {
    PrintReport(report, differences, resolvingCommand);
  }
  return ExitFor(report);
}

ExitCode
RunDiff(IoLoop& aLoop, const CommandOptions& aOptions)
{
  const auto text = ReadCheckedFile(aOptions);
  if (!text) {
    return ExitCode::kUsage;
  }
  const auto stored = ReadConfiguration(aLoop, aOptions.mPlatform);
  if (!stored) {
    PrintError(stored.error(), aOptions.mJson);
    return ExitCode::kFailure;
  }
  const std::uint64_t revision =
    stored->mRecord ? stored->mRecord->mRevision.Value() : 0;
  const auto lines = stored->mRecord
                       ? DifferencesFrom(stored->mRecord->mText, *text)
                       : std::vector<std::string>{ "nothing is in force yet" };
  if (aOptions.mJson) {
    const Json json{ { "revision", revision }, { "differences", lines } };
    std::cout << json.dump() << "\n";
    return ExitCode::kSuccess;
  }
  for (const std::string& line : lines) {
    std::cout << line << "\n";
  }
  std::cout << "to apply the file on this revision: wasabispread apply "
            << aOptions.mFile << " --platform " << ToText(aOptions.mPlatform)
            << " --base-revision " << revision << "\n";
  return ExitCode::kSuccess;
}

ExitCode
RunHistory(IoLoop& aLoop, const CommandOptions& aOptions)
{
  const auto stored = ReadConfiguration(aLoop, aOptions.mPlatform);
  const auto storedApplies = ExchangeOnce(aLoop,
                                          aOptions.mPlatform,
                                          FormatStoreRead(kRefusedAppliesKey),
                                          kCallTimeout)
                               .and_then(ParseStoreValue);
  if (!stored || !storedApplies) {
    PrintError(stored ? storedApplies.error() : stored.error(), aOptions.mJson);
    return ExitCode::kFailure;
  }
  std::vector<ChangeRecord> changes;
  if (stored->mRecord) {
    const ConfigurationRecord& head = *stored->mRecord;
    changes = head.mEarlier;
    changes.insert(
      changes.begin(),
      { head.mChangeId, head.mRevision, head.mAuthor, head.mTime });
  }
  const auto applies =
    DecodeRefusedApplies(storedApplies->mValue.value_or("[]"));
  Json json{ { "accepted", Json::array() }, { "refused", Json::array() } };
  for (const ChangeRecord& change : changes) {
    json["accepted"].push_back({ { "revision", change.mRevision.Value() },
                                 { "author", change.mAuthor },
                                 { "time", change.mTime },
                                 { "change_id", change.mChangeId } });
    if (!aOptions.mJson) {
      std::cout << "accepted  revision " << change.mRevision.Value() << " by "
                << change.mAuthor << " at " << change.mTime << ", change "
                << change.mChangeId << "\n";
    }
  }
  for (const RefusedApply& apply : applies) {
    json["refused"].push_back({ { "base", apply.mBase.Value() },
                                { "winner", apply.mWinner.Value() },
                                { "author", apply.mAuthor },
                                { "time", apply.mTime },
                                { "change_id", apply.mChangeId } });
    if (!aOptions.mJson) {
      std::cout << "refused   based on " << apply.mBase.Value()
                << ", superseded by revision " << apply.mWinner.Value()
                << ", by " << apply.mAuthor << " at " << apply.mTime
                << ", change " << apply.mChangeId << "\n";
    }
  }
  if (aOptions.mJson) {
    std::cout << json.dump() << "\n";
  }
  return ExitCode::kSuccess;
}

ExitCode
RunWait(IoLoop& aLoop, const CommandOptions& aOptions)
{
  HttpRequest request;
  request.mTarget =
    "/v1/confirmation?revision=" + std::to_string(aOptions.mRevision);
  const TimePoint deadline =
    VmRunner::Now() + std::chrono::milliseconds(aOptions.mWaitMs);
  while (true) {
    const auto response =
      ExchangeOnce(aLoop, aOptions.mDaemon, request, kCallTimeout);
    constexpr unsigned kOk = 200;
    const bool isLastPoll = VmRunner::Now() + kPollInterval >= deadline;
    if (!response && isLastPoll) {
      PrintError(response.error(), aOptions.mJson);
      return ExitCode::kFailure;
    }
    const Json report = response && response->mStatus == kOk
                          ? Json::parse(response->mBody, nullptr, false)
                          : Json(Json::value_t::discarded);
    const bool isFullyConfirmed =
      report.is_object() && report["unconfirmed"] == 0;
    if (report.is_object() && (isFullyConfirmed || isLastPoll)) {
      PrintConfirmation(report, aOptions.mJson);
      return isFullyConfirmed ? ExitCode::kSuccess : ExitCode::kFailure;
    }
    if (isLastPoll) {
      std::cerr << "the daemon did not return a confirmation report\n";
      return ExitCode::kFailure;
    }
    boost::this_fiber::sleep_for(kPollInterval);
  }
}

} // namespace wasabispread
