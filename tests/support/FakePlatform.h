/*
 * The platform's store and VM list as tests see them.
 */
#pragma once

#include "Timeline.h"

#include <wasabispread_decisions/wasabispread_decisions.h>

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace wasabispread::testing {

/** One platform for all nodes of a test. */
class FakePlatform
{
public:
  explicit FakePlatform(Timeline& aTimeline)
    : mTimeline(aTimeline)
  {
  }

  /** Every call fails after a short while. */
  bool mIsOut = false;
  /** How long a call takes. */
  Duration mDelay = std::chrono::milliseconds(3);
  /** How late the VM list shows a change. */
  Duration mListLag = std::chrono::seconds(1);

  /** Watches answer with what was stored before the newest change. */
  bool mIsStale = false;

  /** Puts another content under the newest revision, as no operator can. */
  void Falsify(const std::string& aText);

  /** Changes the VM list on its way to each reader, when set. */
  std::function<void(std::vector<VmRecord>&)> mChangeList;

  /** Puts a deployment file's text in force as the next revision. */
  Revision Apply(const std::string& aText);

  /** Adds or changes a VM. */
  void SetVm(const VmRecord& aVm);

  /** Takes a VM off the list. */
  void RemoveVm(VmId aVm);

  /** Calls aDone once there is a version above the one given, or the wait is
      over. */
  void Watch(const WatchConfiguration& aWatch,
             std::function<void(Result<StoredConfiguration>)> aDone);

  /** Calls aDone with the list as shown at present. */
  void ReadVms(std::function<void(Result<std::vector<VmRecord>>)> aDone);

  /** Writes a claim; aDone learns how that ended. */
  void Swap(const SwapClaim& aSwap,
            std::function<void(Result<std::uint64_t>)> aDone);

  /** Reads a claim. */
  void Read(const ReadClaim& aRead,
            std::function<void(Result<StoredClaim>)> aDone);

  /** The share of writes, 0 to 1, whose reply is lost after the effect, and of
      those lost on their way. A caller of either learns of it after
      mLossNoticed. */
  double mLoseReplies = 0;
  double mLoseWrites = 0;
  Duration mLossNoticed = std::chrono::milliseconds(40);
  /** Writes tried so far. */
  std::uint64_t mSwaps = 0;
  Random mRandom;

  /** Calls taken, failed ones included. */
  std::uint64_t Calls() const { return mCalls; }

private:
  using WatchDone = std::function<void(Result<StoredConfiguration>)>;

  struct Watcher
  {
    std::uint64_t mAfterVersion = 0;
    WatchDone mDone;
  };

  void EndWatch(std::uint64_t aWatcher);
  /** The newest edition is built when it is first needed, so that many
      changes at one time cost one list. */
  void AddEdition();
  void BuildNewestEdition();
  std::vector<VmRecord> ShownVms();
  const StoredConfiguration& Shown() const
  {
    return mIsStale ? mBefore : mStored;
  }

  Timeline& mTimeline;
  StoredConfiguration mStored;
  StoredConfiguration mBefore;
  std::map<VmId, VmRecord> mVms;
  std::vector<std::pair<TimePoint, std::vector<VmRecord>>> mEditions;
  bool mIsNewestEditionBuilt = false;
  std::map<std::uint64_t, Watcher> mWatchers;
  std::uint64_t mNextWatcher = 0;
  std::uint64_t mCalls = 0;
  std::map<std::string, StoredClaim> mClaims;
};

} // namespace wasabispread::testing
