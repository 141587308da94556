/*
 * A fake of the platform's store and VM list, with simulated time and faults.
 */
#pragma once

#include "Timeline.h"

#include <wasabispread_decisions/wasabispread_decisions.h>

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace wasabispread::testing {

/** The one platform that all VMs of a test use. */
class FakePlatform
{
public:
  explicit FakePlatform(Timeline& aTimeline)
    : mTimeline(aTimeline)
  {
  }

  /** Whether the platform is unavailable: every call fails after mDelay. */
  bool mIsUnavailable = false;
  /** How long a call takes. */
  Duration mDelay = std::chrono::milliseconds(3);
  /** The delay after which the VM list shows a change. */
  Duration mListLag = std::chrono::seconds(1);

  /** If set, changes each copy of the VM list before its reader receives it. */
  std::function<void(std::vector<VmRecord>&)> mChangeList;
  /** Whether watches answer with the configuration before the newest change. */
  bool mIsStale = false;

  /** Replaces the text of the newest revision without a new revision number,
     which no operator can do. */
  void ReplaceNewestText(const std::string& aText);

  /** Stores a deployment file's text as the next revision and returns that. */
  Revision Apply(const std::string& aText);

  /** Adds or changes a VM. */
  void SetVm(const VmRecord& aVm);

  /** Removes a VM from the list. */
  void RemoveVm(VmId aVm);

  /** Calls aDone with the stored configuration once its version is above the
     one given in aWatch, or when the wait in aWatch has passed. */
  void Watch(const WatchConfiguration& aWatch,
             std::function<void(Result<StoredConfiguration>)> aDone);

  /** Calls aDone with the VM list as it is shown at the current time. */
  void ReadVms(std::function<void(Result<std::vector<VmRecord>>)> aDone);

  /** Writes a claim and calls aDone with its new version or an error. */
  void Swap(const SwapClaim& aSwap,
            std::function<void(Result<std::uint64_t>)> aDone);

  /** Reads a claim and calls aDone with it. */
  void Read(const ReadClaim& aRead,
            std::function<void(Result<StoredClaim>)> aDone);

  /** The fractions of writes, 0 to 1, that take effect but lose their reply,
     and that are lost before they take effect. The caller of either gets an
     error after mLossReportDelay. */
  double mLoseReplies = 0;
  double mLoseWrites = 0;
  Duration mLossReportDelay = std::chrono::milliseconds(40);
  /** The number of attempted writes. */
  std::uint64_t mSwaps = 0;
  Random mRandom;

  /** The number of calls, including failed ones. */
  std::uint64_t Calls() const { return mCalls; }

private:
  using WatchDone = std::function<void(Result<StoredConfiguration>)>;

  struct Watcher
  {
    std::uint64_t mAfterVersion = 0;
    WatchDone mDone;
  };

  void EndWatch(std::uint64_t aWatcher);
  /** Adds a version of the VM list. Its content is built only when it is
     needed, so that many changes at the same time build one list. */
  void AddEdition();
  void BuildNewestEdition();
  std::vector<VmRecord> ShownVms();
  const StoredConfiguration& Shown() const
  {
    return mIsStale ? mPrevious : mStored;
  }

  Timeline& mTimeline;
  StoredConfiguration mStored;
  StoredConfiguration mPrevious;
  std::map<VmId, VmRecord> mVms;
  std::vector<std::pair<TimePoint, std::vector<VmRecord>>> mEditions;
  bool mIsNewestEditionBuilt = false;
  std::map<std::uint64_t, Watcher> mWatchers;
  std::uint64_t mNextWatcher = 0;
  std::uint64_t mCalls = 0;
  std::map<std::string, StoredClaim> mClaims;
};

} // namespace wasabispread::testing
