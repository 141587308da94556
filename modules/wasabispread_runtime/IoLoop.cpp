/*
 * The fiber scheduling algorithm that runs an Asio context.
 */
#include "AsioSupport.h"
#include "FiberStacks.h"

#include "wasabispread_runtime.h"

#include <utility>

#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/scheduler.hpp>

namespace wasabispread {

namespace {

/** How long fibers may stay ready before I/O is polled. */
constexpr Duration kMaxTimeWithoutPoll = std::chrono::milliseconds(1);

/** Whether no fiber is running or about to suspend. */
bool
IsDispatching()
{
  return boost::fibers::context::active()->is_context(
    boost::fibers::type::dispatcher_context);
}

/** Runs ready fibers in round-robin order, and waits in the Asio context when
    none is ready. */
class IoScheduler : public boost::fibers::algo::algorithm
{
public:
  IoScheduler(std::shared_ptr<boost::asio::io_context> aContext,
              std::shared_ptr<IoProgress> aProgress)
    : mContext(std::move(aContext))
    , mGuard(boost::asio::make_work_guard(*mContext))
    , mProgress(std::move(aProgress))
  {
  }

  void awakened(boost::fibers::context* aFiber) noexcept override
  {
    aFiber->ready_link(mReady);
  }

  // Polls only on the turns of the dispatcher fiber, of which each round of
  // ready fibers has one. A fiber that is about to suspend may still hold the
  // lock of the future that a completed operation would set.
  boost::fibers::context* pick_next() noexcept override
  {
    if (mReady.empty()) {
      return nullptr;
    }
    if (IsDispatching() && std::chrono::steady_clock::now() >= mPollDue) {
      Poll();
    }
    boost::fibers::context* fiber = &mReady.front();
    mReady.pop_front();
    return fiber;
  }

  bool has_ready_fibers() const noexcept override { return !mReady.empty(); }

  void suspend_until(
    const std::chrono::steady_clock::time_point& aUntil) noexcept override
  {
    if (Poll() != 0) {
      return;
    }
    mProgress->mHandled +=
      aUntil == std::chrono::steady_clock::time_point::max()
        ? mContext->run_one()
        : mContext->run_one_until(aUntil);
    mPollDue = std::chrono::steady_clock::now() + kMaxTimeWithoutPoll;
  }

  void notify() noexcept override
  {
    boost::asio::post(*mContext, [] {});
  }

private:
  /** Runs all that is due now; returns how many operations that were. */
  std::size_t Poll() noexcept
  {
    const TimePoint start = std::chrono::steady_clock::now();
    const std::size_t handled = mContext->poll();
    mProgress->mHandled += handled;
    mProgress->mLastPoll = start;
    mPollDue = start + kMaxTimeWithoutPoll;
    return handled;
  }

  std::shared_ptr<boost::asio::io_context> mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mGuard;
  std::shared_ptr<IoProgress> mProgress;
  /** When I/O is polled although fibers are ready. */
  TimePoint mPollDue{};
  boost::fibers::scheduler::ready_queue_type mReady;
};

} // namespace

IoLoop::IoLoop()
  : mContext(std::make_shared<boost::asio::io_context>(1))
  , mProgress(std::make_shared<IoProgress>())
{
  boost::fibers::use_scheduling_algorithm<IoScheduler>(mContext, mProgress);
}

IoLoop::~IoLoop() = default;

boost::asio::io_context&
IoLoop::Context()
{
  return *mContext;
}

std::size_t
IoLoop::HandleArrived()
{
  mProgress->mHandled += mContext->poll();
  return std::exchange(mProgress->mHandled, 0);
}

void
IoLoop::CatchStopSignals()
{
  if (mStopSignals != nullptr) {
    return;
  }
  mStopSignals =
    std::make_shared<boost::asio::signal_set>(*mContext, SIGTERM, SIGINT);
  mStopSignals->async_wait(
    [stop = mStop, progress = mProgress](boost::system::error_code, int) {
      stop->mNotBefore = progress->mLastPoll;
      stop->mCame.Notify();
    });
}

TimePoint
IoLoop::WaitForStopSignal()
{
  CatchStopSignals();
  mStop->mCame.Wait();
  return mStop->mNotBefore;
}

void
IoLoop::OnFurtherStopSignal(std::function<void(int aSignal)> aAction)
{
  StartFiber([signals = mStopSignals, action = std::move(aAction)] {
    while (true) {
      int signal = 0;
      const IoResult waited = Await([&](auto aHandler) {
        signals->async_wait(
          [aHandler, &signal](boost::system::error_code aError,
                              int aSignal) mutable {
            signal = aSignal;
            aHandler(aError);
          });
      });
      if (!waited.mError) {
        action(signal);
      }
    }
  });
}

void
IoLoop::OnReloadSignal(std::function<void()> aAction)
{
  StartFiber([this, action = std::move(aAction)] {
    boost::asio::signal_set signals(*mContext, SIGHUP);
    while (true) {
      const IoResult waited = Await([&signals](auto aHandler) {
        signals.async_wait([aHandler](boost::system::error_code aError,
                                      int) mutable { aHandler(aError); });
      });
      if (!waited.mError) {
        StartFiber(action);
      }
    }
  });
}

void
StartFiber(std::function<void()> aBody)
{
  boost::fibers::fiber(boost::fibers::launch::post,
                       std::allocator_arg,
                       FiberStacks(),
                       std::move(aBody))
    .detach();
}

} // namespace wasabispread
