/*
 * A queue of things that happen at set times, for tests without real time.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace wasabispread::testing {

/** Runs scheduled actions in order of time, then of scheduling. */
class Timeline
{
public:
  using Action = std::function<void()>;

  /** The present. */
  TimePoint Now() const { return mNow; }

  /** Runs an action after a delay. */
  void After(Duration aDelay, Action aAction)
  {
    At(mNow + aDelay, std::move(aAction));
  }

  /** Runs an action at a time, or at once when it has passed. */
  void At(TimePoint aTime, Action aAction)
  {
    mQueue.push(Entry{ aTime, mNextOrder++, std::move(aAction) });
  }

  /** Runs everything due up to a time and sets the present to it. */
  void RunUntil(TimePoint aUntil)
  {
    while (!mQueue.empty() && mQueue.top().mDue <= aUntil) {
      RunNext();
    }
    mNow = std::max(mNow, aUntil);
  }

  /** Runs until aDone holds, or up to a time; whether aDone holds. */
  bool RunUntil(const std::function<bool()>& aDone, TimePoint aUntil)
  {
    while (!aDone() && !mQueue.empty() && mQueue.top().mDue <= aUntil) {
      RunNext();
    }
    if (!aDone()) {
      mNow = std::max(mNow, aUntil);
    }
    return aDone();
  }

private:
  struct Entry
  {
    TimePoint mDue;
    std::uint64_t mOrder = 0;
    Action mAction;

    bool operator<(const Entry& aOther) const
    {
      return mDue != aOther.mDue ? mDue > aOther.mDue : mOrder > aOther.mOrder;
    }
  };

  void RunNext()
  {
    const Entry entry = mQueue.top();
    mQueue.pop();
    mNow = std::max(mNow, entry.mDue);
    entry.mAction();
  }

  // Not the epoch, so that a default TimePoint lies in the past.
  TimePoint mNow{ std::chrono::hours(1) };
  std::uint64_t mNextOrder = 0;
  std::priority_queue<Entry> mQueue;
};

} // namespace wasabispread::testing
