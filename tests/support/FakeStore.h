/*
 * A fake of one key of the platform's store, where each call can have a fault,
 * and a fake of the operator's tool that writes it.
 */
#pragma once

#include "Timeline.h"

#include <wasabispread_platform/wasabispread_platform.h>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace wasabispread::testing {

/** The fault of one call. */
enum class StoreFault
{
  kNone,
  /** The store refuses the connection. */
  kOutage,
  /** The request is lost. */
  kLostRequest,
  /** The request takes effect and its reply is lost. */
  kLostReply,
  /** The reply is lost, and the request takes effect after the caller's
      timeout. */
  kLateEffect,
  /** The call takes effect late, but within the caller's timeout. */
  kSlow,
  /** A read returns the value from before the last write. */
  kStale,
};

/** The number of values of StoreFault. */
inline constexpr unsigned kStoreFaults = 7;

/** The fake store of one key. Each call takes its fault from mNextFault. */
class FakeStore
{
public:
  FakeStore(Timeline& aTimeline, std::function<StoreFault()> aNextFault)
    : mNextFault(std::move(aNextFault))
    , mTimeline(aTimeline)
  {
  }

  using ReadDone = std::function<void(Result<StoredConfiguration>)>;
  using SwapDone = std::function<void(Result<std::uint64_t>)>;

  std::function<StoreFault()> mNextFault;

  void Read(const ReadDone& aDone)
  {
    const StoreFault fault = mNextFault();
    if (fault == StoreFault::kOutage || fault == StoreFault::kLostRequest ||
        fault == StoreFault::kLostReply || fault == StoreFault::kLateEffect) {
      mTimeline.After(kTimeout, [aDone] { aDone(Lost(Execution::kUnknown)); });
      return;
    }
    mTimeline.After(DelayOf(fault), [this, fault, aDone] {
      const bool isStale = fault == StoreFault::kStale && mValues.size() > 1;
      const std::size_t version = mValues.size() - (isStale ? 1 : 0);
      StoredConfiguration stored;
      stored.mStoreVersion = version;
      if (version > 0) {
        stored.mRecord = *DecodeConfiguration(mValues[version - 1]);
      }
      mTimeline.After(kDelay, [aDone, stored] { aDone(stored); });
    });
  }

  void Swap(const SwapStore& aSwap, const SwapDone& aDone)
  {
    const StoreFault fault = mNextFault();
    if (fault == StoreFault::kOutage) {
      mTimeline.After(kDelay, [aDone] { aDone(Lost(Execution::kNotRun)); });
      return;
    }
    const bool isLost = fault == StoreFault::kLostRequest ||
                        fault == StoreFault::kLostReply ||
                        fault == StoreFault::kLateEffect;
    if (isLost) {
      mTimeline.After(kTimeout, [aDone] { aDone(Lost(Execution::kUnknown)); });
    }
    if (fault == StoreFault::kLostRequest) {
      return;
    }
    mTimeline.After(DelayOf(fault), [this, aSwap, aDone, isLost] {
      const Result<std::uint64_t> result = TakeEffect(aSwap);
      if (!isLost) {
        mTimeline.After(kDelay, [aDone, result] { aDone(result); });
      }
    });
  }

  /** Every value that was ever written, oldest first. */
  const std::vector<std::string>& Values() const { return mValues; }

private:
  static constexpr Duration kDelay = std::chrono::milliseconds(3);
  static constexpr Duration kTimeout = std::chrono::seconds(5);

  static tl::unexpected<Error> Lost(Execution aExecution)
  {
    return Fail(
      ErrorKind::kPlatformUnavailable, "no reply", "wait", aExecution);
  }

  static Duration DelayOf(StoreFault aFault)
  {
    switch (aFault) {
      case StoreFault::kSlow:
        return std::chrono::seconds(4);
      case StoreFault::kLateEffect:
        return std::chrono::seconds(9);
      default:
        return kDelay;
    }
  }

  Result<std::uint64_t> TakeEffect(const SwapStore& aSwap)
  {
    if (aSwap.mExpected != mValues.size()) {
      return Fail(ErrorKind::kConflict, "another write came first", "read");
    }
    mValues.push_back(aSwap.mValue);
    return mValues.size();
  }

  Timeline& mTimeline;
  std::vector<std::string> mValues;
};

/** A fake of the operator's tool. It carries out one apply at a time. */
class FakeOperator
{
public:
  FakeOperator(Timeline& aTimeline, FakeStore& aStore, std::uint64_t aSeed)
    : mTimeline(aTimeline)
    , mStore(aStore)
    , mSeed(aSeed)
  {
  }

  /** Starts an apply; Report() has a value once it has ended. */
  void Apply(const ApplyRequest& aRequest)
  {
    mReport.reset();
    Perform(BeginApply(mState, aRequest, mSeed, mTimeline.Now()));
  }

  const std::optional<ApplyReport>& Report() const { return mReport; }
  const ApplyRequest& Request() const { return mState.mRequest; }

private:
  void Perform(const ApplyStep& aStep)
  {
    if (const auto* swap = std::get_if<SwapStore>(&aStep)) {
      mStore.Swap(*swap, [this](const Result<std::uint64_t>& aWritten) {
        Perform(HandleStoreSwapped(mState, aWritten, mTimeline.Now()));
      });
    } else if (const auto* wait = std::get_if<WaitUntil>(&aStep)) {
      mTimeline.At(wait->mTime, [this] { Perform(HandleWaited()); });
    } else if (const auto* report = std::get_if<ApplyReport>(&aStep)) {
      mReport = *report;
    } else {
      mStore.Read([this](const Result<StoredConfiguration>& aStored) {
        Perform(HandleStoreRead(mState, aStored, mTimeline.Now()));
      });
    }
  }

  Timeline& mTimeline;
  FakeStore& mStore;
  std::uint64_t mSeed;
  ApplyState mState;
  std::optional<ApplyReport> mReport;
};

} // namespace wasabispread::testing
