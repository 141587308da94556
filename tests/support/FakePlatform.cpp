/*
 * Implements the fake platform's store, watches and VM list.
 */
#include "FakePlatform.h"

namespace wasabispread::testing {

namespace {

tl::unexpected<Error>
Outage()
{
  return Fail(ErrorKind::kPlatformUnavailable, "outage", "wait");
}

} // namespace

Revision
FakePlatform::Apply(const std::string& aText)
{
  ConfigurationRecord record;
  mPrevious = mStored;
  ++mStored.mStoreVersion;
  record.mRevision = Revision(mStored.mStoreVersion);
  record.mChangeId = "change-" + std::to_string(mStored.mStoreVersion);
  record.mText = aText;
  mStored.mRecord = record;
  const auto watchers = mWatchers;
  for (const auto& [id, watcher] : watchers) {
    EndWatch(id);
  }
  return record.mRevision;
}

void
FakePlatform::ReplaceNewestText(const std::string& aText)
{
  mStored.mRecord->mText = aText;
}

void
FakePlatform::SetVm(const VmRecord& aVm)
{
  AddEdition();
  mVms[aVm.mId] = aVm;
}

void
FakePlatform::RemoveVm(VmId aVm)
{
  AddEdition();
  mVms.erase(aVm);
}

void
FakePlatform::Watch(const WatchConfiguration& aWatch, WatchDone aDone)
{
  ++mCalls;
  const std::uint64_t id = mNextWatcher++;
  mWatchers[id] = Watcher{ aWatch.mAfterVersion, std::move(aDone) };
  const bool isDue =
    mIsUnavailable || Shown().mStoreVersion > aWatch.mAfterVersion;
  mTimeline.After(isDue ? mDelay : aWatch.mWait, [this, id] { EndWatch(id); });
}

void
FakePlatform::EndWatch(std::uint64_t aWatcher)
{
  const auto watcher = mWatchers.extract(aWatcher);
  if (watcher.empty()) {
    return;
  }
  Result<StoredConfiguration> result = Shown();
  if (mIsUnavailable) {
    result = Outage();
  }
  mTimeline.After(mDelay,
                  [done = watcher.mapped().mDone, result] { done(result); });
}

void
FakePlatform::AddEdition()
{
  const TimePoint shownFrom = mTimeline.Now() + mListLag;
  if (mEditions.empty() || mEditions.back().first != shownFrom) {
    BuildNewestEdition();
    mEditions.emplace_back(shownFrom, std::vector<VmRecord>{});
  }
  mIsNewestEditionBuilt = false;
}

void
FakePlatform::BuildNewestEdition()
{
  if (mIsNewestEditionBuilt || mEditions.empty()) {
    return;
  }
  std::vector<VmRecord>& edition = mEditions.back().second;
  edition.clear();
  for (const auto& [id, vm] : mVms) {
    edition.push_back(vm);
  }
  mIsNewestEditionBuilt = true;
}

std::vector<VmRecord>
FakePlatform::ShownVms()
{
  BuildNewestEdition();
  while (mEditions.size() > 1 && mEditions[1].first <= mTimeline.Now()) {
    mEditions.erase(mEditions.begin());
  }
  const bool isShown =
    !mEditions.empty() && mEditions.front().first <= mTimeline.Now();
  return isShown ? mEditions.front().second : std::vector<VmRecord>{};
}

void
FakePlatform::ReadVms(std::function<void(Result<std::vector<VmRecord>>)> aDone)
{
  ++mCalls;
  mTimeline.After(mDelay, [this, done = std::move(aDone)] {
    Result<std::vector<VmRecord>> result = ShownVms();
    if (mIsUnavailable) {
      result = Outage();
    } else if (mChangeList) {
      mChangeList(*result);
    }
    done(result);
  });
}

void
FakePlatform::Swap(const SwapClaim& aSwap,
                   std::function<void(Result<std::uint64_t>)> aDone)
{
  ++mCalls;
  ++mSwaps;
  const Result<std::uint64_t> lost =
    Fail(ErrorKind::kPlatformUnavailable, "lost", "ask", Execution::kUnknown);
  if (mRandom.Fraction() < mLoseWrites) {
    mTimeline.After(mLossReportDelay,
                    [done = std::move(aDone), lost] { done(lost); });
    return;
  }
  mTimeline.After(mDelay, [this, swap = aSwap, done = std::move(aDone), lost] {
    if (mIsUnavailable) {
      done(Outage());
      return;
    }
    StoredClaim& stored = mClaims[swap.mKey];
    if (stored.mVersion != swap.mExpected) {
      done(Fail(ErrorKind::kConflict, "conflict", "read"));
      return;
    }
    stored = StoredClaim{ stored.mVersion + 1, swap.mRecord };
    if (mRandom.Fraction() < mLoseReplies) {
      mTimeline.After(mLossReportDelay, [done, lost] { done(lost); });
      return;
    }
    done(stored.mVersion);
  });
}

void
FakePlatform::Read(const ReadClaim& aRead,
                   std::function<void(Result<StoredClaim>)> aDone)
{
  ++mCalls;
  mTimeline.After(mDelay, [this, key = aRead.mKey, done = std::move(aDone)] {
    if (mIsUnavailable) {
      done(Outage());
      return;
    }
    done(mClaims[key]);
  });
}

} // namespace wasabispread::testing
