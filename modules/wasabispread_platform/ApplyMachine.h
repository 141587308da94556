/*
 * Putting a file in force: one compare-and-swap, and the reads that settle
 * what became of it. Pure: the caller performs each step and tells its result.
 */
#pragma once

#include "PlatformProtocol.h"

#include <optional>
#include <string>
#include <variant>

namespace wasabispread {

/** What an operator wants in force. */
struct ApplyRequest
{
  /** The checked text of the file. */
  std::string mText;
  /** Unique to this change; the same when it is repeated to settle it. */
  std::string mChangeId;
  std::string mAuthor;
  /** For display only. */
  std::string mTime;
  /** The revision that the file was built on; 0 for none. */
  Revision mBase;
  /** How long a store that does not answer is asked again. */
  Duration mTimeout = std::chrono::seconds(20);
};

/** How an apply ended. */
enum class ApplyOutcome
{
  kAccepted,
  /** Nothing of the file is in force or will be. */
  kRefused,
  /** It may be in force, now or a little later. */
  kUnknown,
};

/** The name used in output. */
std::string_view
ToText(ApplyOutcome aOutcome);

/** What an operator is told. */
struct ApplyReport
{
  ApplyOutcome mOutcome = ApplyOutcome::kRefused;
  /** The revision accepted. */
  Revision mRevision;
  /** The same text was in force before. */
  bool mWasInForce = false;
  /** The change that stood in the way, when one did. */
  std::optional<ConfigurationRecord> mWinner;
  /** Unless accepted. */
  std::optional<Error> mError;
};

/** Read the configuration; answered by HandleStoreRead(). */
struct ReadStore
{};

/** Write it, if the store's version is as expected; answered by
    HandleStoreSwapped(). */
struct SwapStore
{
  std::uint64_t mExpected = 0;
  std::string mValue;
};

/** Wait; answered by HandleWaited(). */
struct WaitUntil
{
  TimePoint mTime;
};

/** What the caller is to do next; a report is the end. */
using ApplyStep = std::variant<ReadStore, SwapStore, WaitUntil, ApplyReport>;

/** An apply under way. Invariant: once mIsWriteTried, every write has the
    same mExpected and mValue, so at most one of them takes effect. */
struct ApplyState
{
  ApplyRequest mRequest;
  TimePoint mDeadline;
  Random mRandom{ 0 };
  std::uint32_t mFailures = 0;
  /** A write was tried; what became of it is settled by reading. */
  bool mIsWriteTried = false;
  /** A write found another version than expected. */
  bool mHasConflicted = false;
  /** The effect of a write is not known. */
  bool mMayBeWritten = false;
  SwapStore mSwap;
  Revision mSwapRevision;
};

/** Begins. */
ApplyStep
BeginApply(ApplyState& aState,
           ApplyRequest aRequest,
           std::uint64_t aSeed,
           TimePoint aNow);

/** Decides by what the store holds. */
ApplyStep
HandleStoreRead(ApplyState& aState,
                const Result<StoredConfiguration>& aStored,
                TimePoint aNow);

/** Decides by what became of the write. */
ApplyStep
HandleStoreSwapped(ApplyState& aState,
                   const Result<std::uint64_t>& aWritten,
                   TimePoint aNow);

/** Goes on after a wait. */
ApplyStep
HandleWaited();

} // namespace wasabispread
