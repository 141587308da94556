/*
 * The state machine that puts a deployment file in force: one compare-and-swap
 * in the store, and reads that determine its effect if its reply is lost. It
 * does no I/O: the caller performs each step and passes in the result.
 */
#pragma once

#include "PlatformProtocol.h"

#include <optional>
#include <string>
#include <variant>

namespace wasabispread {

/** A deployment file that an operator wants to put in force. */
struct ApplyRequest
{
  /** The checked text of the file. */
  std::string mText;
  /** The unique id of this change. An operator who repeats the change to learn
      its outcome uses the same id. */
  std::string mChangeId;
  std::string mAuthor;
  /** The time of the change, for display only. */
  std::string mTime;
  /** The revision that the file is based on; 0 for none. */
  Revision mBase;
  /** How long requests to a store that does not respond are retried. */
  Duration mTimeout = std::chrono::seconds(20);
};

/** The outcome of an apply. */
enum class ApplyOutcome
{
  kAccepted,
  /** The file is not in force and will not be. */
  kRefused,
  /** The file may be in force now or may come into force shortly. */
  kUnknown,
};

/** The name of an outcome, used in output. */
std::string_view
ToText(ApplyOutcome aOutcome);

/** The result of an apply, for the operator. */
struct ApplyReport
{
  ApplyOutcome mOutcome = ApplyOutcome::kRefused;
  /** The revision under which the file is in force, when accepted. */
  Revision mRevision;
  /** Whether the same text was already in force. */
  bool mWasInForce = false;
  /** The configuration in force with which this change conflicts, if there is
      one. */
  std::optional<ConfigurationRecord> mWinner;
  /** Why the file was not accepted; set unless the outcome is kAccepted. */
  std::optional<Error> mError;
};

/** A step: read the configuration and pass it to HandleStoreRead(). */
struct ReadStore
{};

/** A step: write the configuration if the store's version is mExpected, and
    pass the result to HandleStoreSwapped(). */
struct SwapStore
{
  std::uint64_t mExpected = 0;
  std::string mValue;
};

/** A step: wait until mTime, then call HandleWaited(). */
struct WaitUntil
{
  TimePoint mTime;
};

/** What the caller does next. A report ends the apply. */
using ApplyStep = std::variant<ReadStore, SwapStore, WaitUntil, ApplyReport>;

/** The state of an apply. Invariant: once mIsWriteTried is set, every write has
    the same mExpected and mValue, so at most one of them takes effect. */
struct ApplyState
{
  ApplyRequest mRequest;
  TimePoint mDeadline;
  Random mRandom{ 0 };
  /** The number of failed steps, which determines the delay of the next
      retry. */
  std::uint32_t mFailures = 0;
  /** Whether a write was tried. Its effect is then determined by reading. */
  bool mIsWriteTried = false;
  /** Whether a write failed because the store had another version than
      expected. */
  bool mHasConflicted = false;
  /** Whether a write may have taken effect although it was not confirmed. */
  bool mMayBeWritten = false;
  /** The write, which every repetition sends unchanged. */
  SwapStore mSwap;
  /** The revision that mSwap writes. */
  Revision mSwapRevision;
};

/** Initializes aState and returns the first step. aSeed seeds the random part
    of the retry delays. */
ApplyStep
BeginApply(ApplyState& aState,
           ApplyRequest aRequest,
           std::uint64_t aSeed,
           TimePoint aNow);

/** Returns the next step after a read. */
ApplyStep
HandleStoreRead(ApplyState& aState,
                const Result<StoredConfiguration>& aStored,
                TimePoint aNow);

/** Returns the next step after a write. aWritten is the version written, or
    kConflict when the store had another version than expected. */
ApplyStep
HandleStoreSwapped(ApplyState& aState,
                   const Result<std::uint64_t>& aWritten,
                   TimePoint aNow);

/** Returns the next step after a wait. */
ApplyStep
HandleWaited();

} // namespace wasabispread
