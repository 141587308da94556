/*
 * The steps of the apply state machine.
 */
#include "wasabispread_platform.h"

namespace wasabispread {

namespace {

ApplyReport
MakeAcceptedReport(Revision aRevision, bool aWasInForce)
{
  ApplyReport report;
  report.mOutcome = ApplyOutcome::kAccepted;
  report.mRevision = aRevision;
  report.mWasInForce = aWasInForce;
  return report;
}

ApplyReport
MakeFailedReport(ApplyOutcome aOutcome,
                 ErrorKind aKind,
                 std::string aMessage,
                 std::string aRemedy)
{
  ApplyReport report;
  report.mOutcome = aOutcome;
  report.mError =
    Error{ aKind,
           std::move(aMessage),
           std::move(aRemedy),
           aOutcome == ApplyOutcome::kUnknown ? Execution::kUnknown
                                              : Execution::kNotRun };
  return report;
}

/** Waits before a retry, or ends the apply when the retry would come after the
    deadline. */
ApplyStep
ScheduleRetry(ApplyState& aState, const std::string& aReason, TimePoint aNow)
{
  ++aState.mFailures;
  const TimePoint next = aNow + RetryDelay(aState.mFailures, aState.mRandom);
  if (next <= aState.mDeadline) {
    return WaitUntil{ next };
  }
  if (aState.mMayBeWritten) {
    return MakeFailedReport(
      ApplyOutcome::kUnknown,
      ErrorKind::kPlatformUnavailable,
      aReason + "; the change may have taken effect",
      "repeat it with the same change id to learn whether it did");
  }
  return MakeFailedReport(ApplyOutcome::kRefused,
                          ErrorKind::kPlatformUnavailable,
                          aReason + "; nothing was written",
                          "apply the file again when the platform answers");
}

/** The revision under which a change was accepted; std::nullopt when the record
    does not list the change. */
std::optional<Revision>
FindChange(const ConfigurationRecord& aRecord, const std::string& aChangeId)
{
  if (aRecord.mChangeId == aChangeId) {
    return aRecord.mRevision;
  }
  for (const ChangeRecord& change : aRecord.mEarlier) {
    if (change.mChangeId == aChangeId) {
      return change.mRevision;
    }
  }
  return std::nullopt;
}

ApplyReport
MakeConflictReport(const ConfigurationRecord& aWinner, Revision aBase)
{
  const std::string base = std::to_string(aBase.Value());
  const std::string winner = std::to_string(aWinner.mRevision.Value());
  ApplyReport report = MakeFailedReport(
    ApplyOutcome::kRefused,
    ErrorKind::kConflict,
    "the file is based on revision " + base + ", but revision " + winner +
      " by " + aWinner.mAuthor + " of " + aWinner.mTime + " is in force",
    "look at the differences, merge, and apply with --base-revision " + winner);
  report.mWinner = aWinner;
  return report;
}

/** Returns the next step when an earlier write of this apply may have taken
    effect and the store does not list this change. */
ApplyStep
ResolveWrite(ApplyState& aState,
             const StoredConfiguration& aStored,
             TimePoint aNow)
{
  if (aStored.mStoreVersion <= aState.mSwap.mExpected) {
    // The write has not arrived, or the store returned an old value. Writing
    // again is safe: only one of the writes can find the expected version.
    return aState.mSwap;
  }
  if (!aStored.mRecord) {
    return ScheduleRetry(aState, "the store shows no configuration", aNow);
  }
  const ConfigurationRecord& winner = *aStored.mRecord;
  const std::uint64_t changesSince =
    winner.mRevision.Value() - aState.mSwapRevision.Value();
  if (changesSince > winner.mEarlier.size()) {
    return MakeFailedReport(ApplyOutcome::kUnknown,
                            ErrorKind::kOutcomeUnknown,
                            "more changes followed than the store lists",
                            "look at the differences with 'wasabispread diff'");
  }
  return MakeConflictReport(winner, aState.mRequest.mBase);
}

/** The record of the next revision. It lists the change in force and the
    changes before it as earlier changes. */
ConfigurationRecord
NextRecord(const ApplyRequest& aRequest,
           const std::optional<ConfigurationRecord>& aCurrent)
{
  ConfigurationRecord record;
  record.mRevision = Revision(1);
  record.mChangeId = aRequest.mChangeId;
  record.mAuthor = aRequest.mAuthor;
  record.mTime = aRequest.mTime;
  record.mText = aRequest.mText;
  if (aCurrent) {
    record.mRevision = Revision(aCurrent->mRevision.Value() + 1);
    record.mEarlier = aCurrent->mEarlier;
    record.mEarlier.insert(record.mEarlier.begin(),
                           ChangeRecord{ aCurrent->mChangeId,
                                         aCurrent->mRevision,
                                         aCurrent->mAuthor,
                                         aCurrent->mTime });
    if (record.mEarlier.size() > kMaxEarlierChanges) {
      record.mEarlier.resize(kMaxEarlierChanges);
    }
  }
  return record;
}

/** Returns the first write of an apply. */
ApplyStep
StartWrite(ApplyState& aState, const StoredConfiguration& aStored)
{
  const ConfigurationRecord record =
    NextRecord(aState.mRequest, aStored.mRecord);
  aState.mSwap =
    SwapStore{ aStored.mStoreVersion, EncodeConfiguration(record) };
  aState.mSwapRevision = record.mRevision;
  aState.mIsWriteTried = true;
  if (aState.mSwap.mValue.size() > kMaxValueBytes) {
    return MakeFailedReport(ApplyOutcome::kRefused,
                            ErrorKind::kValueTooLarge,
                            "the file takes " +
                              std::to_string(aState.mSwap.mValue.size()) +
                              " bytes in the store, which accepts " +
                              std::to_string(kMaxValueBytes) + " at most",
                            "declare fewer targets in one deployment");
  }
  return aState.mSwap;
}

} // namespace

std::string_view
ToText(ApplyOutcome aOutcome)
{
  switch (aOutcome) {
    case ApplyOutcome::kAccepted:
      return "accepted";
    case ApplyOutcome::kRefused:
      return "refused";
    case ApplyOutcome::kUnknown:
      return "unknown";
  }
  return "";
}

ApplyStep
BeginApply(ApplyState& aState,
           ApplyRequest aRequest,
           std::uint64_t aSeed,
           TimePoint aNow)
{
  aState = ApplyState{};
  aState.mDeadline = aNow + aRequest.mTimeout;
  aState.mRequest = std::move(aRequest);
  aState.mRandom = Random(aSeed);
  return ReadStore{};
}

ApplyStep
HandleStoreRead(ApplyState& aState,
                const Result<StoredConfiguration>& aStored,
                TimePoint aNow)
{
  if (!aStored && aStored.error().mKind == ErrorKind::kInvalidFile) {
    return MakeFailedReport(aState.mMayBeWritten ? ApplyOutcome::kUnknown
                                                 : ApplyOutcome::kRefused,
                            ErrorKind::kInvalidFile,
                            aStored.error().mMessage,
                            aStored.error().mRemedy);
  }
  if (!aStored) {
    return ScheduleRetry(aState, aStored.error().mMessage, aNow);
  }
  const auto& current = aStored->mRecord;
  if (current) {
    const auto revision = FindChange(*current, aState.mRequest.mChangeId);
    if (revision) {
      return MakeAcceptedReport(*revision, false);
    }
  }
  if (aState.mIsWriteTried) {
    return ResolveWrite(aState, *aStored, aNow);
  }
  if (current && current->mText == aState.mRequest.mText) {
    return MakeAcceptedReport(current->mRevision, true);
  }
  const Revision revision = current ? current->mRevision : Revision{};
  if (revision < aState.mRequest.mBase) {
    return ScheduleRetry(aState,
                         "the store shows revision " +
                           std::to_string(revision.Value()) +
                           ", older than the base revision",
                         aNow);
  }
  if (revision > aState.mRequest.mBase) {
    return MakeConflictReport(*current, aState.mRequest.mBase);
  }
  return StartWrite(aState, *aStored);
}

ApplyStep
HandleStoreSwapped(ApplyState& aState,
                   const Result<std::uint64_t>& aWritten,
                   TimePoint aNow)
{
  if (aWritten) {
    return MakeAcceptedReport(aState.mSwapRevision, false);
  }
  const Error& error = aWritten.error();
  if (error.mKind == ErrorKind::kConflict) {
    // Either another change was written first, or an earlier write of this
    // change took effect and its reply was lost.
    const bool isFirst = !aState.mHasConflicted;
    aState.mHasConflicted = true;
    return isFirst ? ApplyStep(ReadStore{})
                   : ScheduleRetry(aState, error.mMessage, aNow);
  }
  if (error.mKind == ErrorKind::kValueTooLarge) {
    return MakeFailedReport(ApplyOutcome::kRefused,
                            ErrorKind::kValueTooLarge,
                            error.mMessage,
                            error.mRemedy);
  }
  const bool mayBeWritten = error.mExecution == Execution::kUnknown;
  aState.mMayBeWritten = aState.mMayBeWritten || mayBeWritten;
  return ScheduleRetry(aState, error.mMessage, aNow);
}

ApplyStep
HandleWaited()
{
  return ReadStore{};
}

} // namespace wasabispread
