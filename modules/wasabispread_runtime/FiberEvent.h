/*
 * Lets a fiber sleep until another wakes it.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

namespace boost::fibers {
class context;
}

namespace wasabispread {

/** A flag that one fiber at a time waits for. A wake before the wait is not
    lost. Used from one thread; no lock is needed or taken. */
class FiberEvent
{
public:
  /** Lets the waiter, present or next, go on. */
  void Notify();

  /** Waits for a wake and takes it. */
  void Wait();

  /** Waits for a wake, or until a time. */
  void WaitUntil(TimePoint aTime);

private:
  /** The fiber that waits; null while none does. */
  boost::fibers::context* mWaiter = nullptr;
  bool mIsSet = false;
};

} // namespace wasabispread
