/*
 * An event that one fiber waits for and another one sets.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

namespace boost::fibers {
class context;
}

namespace wasabispread {

/** An auto-reset event that at most one fiber waits for at a time. A
    notification that precedes the wait is kept. For fibers of a single thread;
    there is no locking. */
class FiberEvent
{
public:
  /** Sets the event, which resumes the waiting fiber or lets the next wait
      return at once. */
  void Notify();

  /** Blocks the calling fiber until the event is set, then resets it. */
  void Wait();

  /** As Wait(), but returns at aTime at the latest. */
  void WaitUntil(TimePoint aTime);

private:
  /** The waiting fiber; null when there is none. */
  boost::fibers::context* mWaiter = nullptr;
  bool mIsSet = false;
};

} // namespace wasabispread
