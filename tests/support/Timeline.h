/*
 * A queue of scheduled actions with simulated time, for tests that don't wait
 * in real time.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace wasabispread::testing {

/** Runs scheduled actions by time; those due at the same time run in the order
    in which they were scheduled. */
class Timeline
{
public:
  using Action = std::function<void()>;

  /** The current simulated time. */
  TimePoint Now() const { return mNow; }

  /** Schedules an action after a delay. */
  void After(Duration aDelay, Action aAction)
  {
    At(mNow + aDelay, std::move(aAction));
  }

  /** Schedules an action at a time. If that time has passed, the action runs
      next, without moving the time back. */
  void At(TimePoint aTime, Action aAction)
  {
    mQueue.push(Entry{ aTime, mNextOrder++, std::move(aAction) });
  }

  /** Runs every action that is due up to aUntil and moves the time to aUntil.
   */
  void RunUntil(TimePoint aUntil)
  {
    while (!mQueue.empty() && mQueue.top().mDue <= aUntil) {
      RunNext();
    }
    mNow = std::max(mNow, aUntil);
  }

  /** Runs actions until aDone holds or none is left that is due up to aUntil.
      Returns whether aDone holds; if not, the time moves to aUntil. */
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

  // Later than the epoch, so that a default-constructed TimePoint is in the
  // past.
  TimePoint mNow{ std::chrono::hours(1) };
  std::uint64_t mNextOrder = 0;
  std::priority_queue<Entry> mQueue;
};

} // namespace wasabispread::testing
