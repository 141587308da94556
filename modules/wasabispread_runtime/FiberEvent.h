/*
 * Lets a fiber sleep until another wakes it.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace wasabispread {

/** A flag to wait for. A wake before the wait is not lost. */
class FiberEvent
{
public:
  /** Lets one waiter, present or next, go on. */
  void Notify()
  {
    const std::lock_guard<boost::fibers::mutex> lock(mMutex);
    mIsSet = true;
    mCondition.notify_one();
  }

  /** Waits for a wake and takes it. */
  void Wait()
  {
    std::unique_lock<boost::fibers::mutex> lock(mMutex);
    mCondition.wait(lock, [this] { return mIsSet; });
    mIsSet = false;
  }

  /** Waits for a wake, or until a time. */
  void WaitUntil(TimePoint aTime)
  {
    if (aTime == TimePoint::max()) {
      Wait();
      return;
    }
    std::unique_lock<boost::fibers::mutex> lock(mMutex);
    mCondition.wait_until(lock, aTime, [this] { return mIsSet; });
    mIsSet = false;
  }

private:
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mCondition;
  bool mIsSet = false;
};

} // namespace wasabispread
