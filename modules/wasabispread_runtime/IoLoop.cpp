/*
 * The fiber scheduling algorithm that runs an Asio context.
 */
#include "AsioSupport.h"

#include "wasabispread_runtime.h"

#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/scheduler.hpp>

namespace wasabispread {

namespace {

/** Runs ready fibers in round-robin order, and waits in the Asio context when
    none is ready. */
class IoScheduler : public boost::fibers::algo::algorithm
{
public:
  explicit IoScheduler(std::shared_ptr<boost::asio::io_context> aContext)
    : mContext(std::move(aContext))
    , mGuard(boost::asio::make_work_guard(*mContext))
  {
  }

  void awakened(boost::fibers::context* aFiber) noexcept override
  {
    aFiber->ready_link(mReady);
  }

  boost::fibers::context* pick_next() noexcept override
  {
    if (mReady.empty()) {
      return nullptr;
    }
    boost::fibers::context* fiber = &mReady.front();
    mReady.pop_front();
    return fiber;
  }

  // The dispatcher fiber calls this function on each of its turns, so polling
  // here keeps I/O going while fibers are always ready. Polling in pick_next()
  // could complete an operation while its fiber still holds the lock of its
  // future.
  bool has_ready_fibers() const noexcept override
  {
    mContext->poll();
    return !mReady.empty();
  }

  void suspend_until(
    const std::chrono::steady_clock::time_point& aUntil) noexcept override
  {
    if (mContext->poll() != 0) {
      return;
    }
    if (aUntil == std::chrono::steady_clock::time_point::max()) {
      mContext->run_one();
    } else {
      mContext->run_one_until(aUntil);
    }
  }

  void notify() noexcept override
  {
    boost::asio::post(*mContext, [] {});
  }

private:
  std::shared_ptr<boost::asio::io_context> mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mGuard;
  boost::fibers::scheduler::ready_queue_type mReady;
};

} // namespace

IoLoop::IoLoop()
  : mContext(std::make_shared<boost::asio::io_context>(1))
{
  boost::fibers::use_scheduling_algorithm<IoScheduler>(mContext);
}

IoLoop::~IoLoop() = default;

boost::asio::io_context&
IoLoop::Context()
{
  return *mContext;
}

void
IoLoop::CatchStopSignals()
{
  if (mStopSignals == nullptr) {
    mStopSignals =
      std::make_shared<boost::asio::signal_set>(*mContext, SIGTERM, SIGINT);
  }
}

void
IoLoop::WaitForStopSignal()
{
  CatchStopSignals();
  Await([this](auto aHandler) {
    mStopSignals->async_wait([aHandler](boost::system::error_code aError,
                                        int) mutable { aHandler(aError); });
  });
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
  boost::fibers::fiber(boost::fibers::launch::post, std::move(aBody)).detach();
}

} // namespace wasabispread
