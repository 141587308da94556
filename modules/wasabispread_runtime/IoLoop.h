/*
 * Integrates Boost.Fiber with Boost.Asio on one thread.
 */
#pragma once

#include "FiberEvent.h"

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace wasabispread {

/** What a loop has done so far. */
struct IoProgress
{
  /** When the last poll began that has handled all that was due then. */
  TimePoint mLastPoll = std::chrono::steady_clock::now();
  /** The operations that were handled since this number was last taken. */
  std::size_t mHandled = 0;
};

/** Makes the calling thread run its fibers together with an Asio context: while
    no fiber is ready, the thread waits for I/O or a timer; while fibers stay
    ready, it handles I/O between their rounds. One instance per thread, which
    must exist as long as the thread uses fibers. */
class IoLoop
{
public:
  IoLoop();
  ~IoLoop();

  IoLoop(const IoLoop&) = delete;
  IoLoop& operator=(const IoLoop&) = delete;

  /** The context that runs the I/O of all sockets and timers. */
  boost::asio::io_context& Context();

  /** Handles the I/O that is due now. Returns how many operations were handled
      since the last call of this function, also those that the loop handled by
      itself. */
  std::size_t HandleArrived();

  /** From now on SIGTERM and SIGINT no longer end the process, but
      WaitForStopSignal() returns, also for one that comes before its call. */
  void CatchStopSignals();

  /** Blocks the calling fiber until the process receives SIGTERM or SIGINT, and
      returns a time at which none had been sent: the last at which the loop
      looked and saw none. A process that gets no processor handles it later
      than it was sent. Further ones are ignored, so that they do not cut the
      stop short. */
  TimePoint WaitForStopSignal();

  /** Calls aAction with the number of each further SIGTERM and SIGINT. To be
      called once, after WaitForStopSignal(). */
  void OnFurtherStopSignal(std::function<void(int aSignal)> aAction);

  /** Calls aAction in a new fiber for each SIGHUP, which then no longer
      terminates the process. */
  void OnReloadSignal(std::function<void()> aAction);

private:
  /** The first stop signal. */
  struct StopSignal
  {
    FiberEvent mCame;
    TimePoint mNotBefore{};
  };

  std::shared_ptr<boost::asio::io_context> mContext;
  std::shared_ptr<IoProgress> mProgress;
  std::shared_ptr<StopSignal> mStop = std::make_shared<StopSignal>();
  /** None before CatchStopSignals(). */
  std::shared_ptr<boost::asio::signal_set> mStopSignals;
};

/** Starts a detached fiber that runs aBody. */
void
StartFiber(std::function<void()> aBody);

} // namespace wasabispread
