/*
 * Suspends and resumes fibers directly through the Boost.Fiber scheduler.
 */
#include "wasabispread_runtime.h"

#include <cassert>

#include <boost/fiber/context.hpp>

namespace wasabispread {

void
FiberEvent::Notify()
{
  mIsSet = true;
  // A waiter whose wait has timed out may already be in the ready queue.
  if (mWaiter != nullptr && !mWaiter->ready_is_linked()) {
    boost::fibers::context::active()->schedule(mWaiter);
  }
}

void
FiberEvent::Wait()
{
  assert(mWaiter == nullptr);
  while (!mIsSet) {
    mWaiter = boost::fibers::context::active();
    mWaiter->suspend();
    mWaiter = nullptr;
  }
  mIsSet = false;
}

void
FiberEvent::WaitUntil(TimePoint aTime)
{
  if (aTime == TimePoint::max()) {
    Wait();
    return;
  }
  assert(mWaiter == nullptr);
  if (!mIsSet) {
    mWaiter = boost::fibers::context::active();
    mWaiter->wait_until(aTime);
    mWaiter = nullptr;
  }
  mIsSet = false;
}

} // namespace wasabispread
