/*
 * One thread's input and output, shared by all of its fibers.
 */
#pragma once

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace wasabispread {

/** Makes the calling thread run fibers over an Asio context: while no fiber
    is ready, the thread waits for input, output or a timer. One per thread,
    for as long as the thread uses fibers. */
class IoLoop
{
public:
  IoLoop();
  ~IoLoop();

  IoLoop(const IoLoop&) = delete;
  IoLoop& operator=(const IoLoop&) = delete;

  /** The context that sockets belong to. */
  boost::asio::io_context& Context();

  /** Blocks the calling fiber until SIGTERM or SIGINT. */
  void WaitForStopSignal();

  /** Calls aAction in a fiber of its own at each SIGHUP, which from now on
      does not end the process. */
  void OnReloadSignal(std::function<void()> aAction);

private:
  std::shared_ptr<boost::asio::io_context> mContext;
};

/** Starts a fiber that runs on its own until aBody returns. */
void
StartFiber(std::function<void()> aBody);

} // namespace wasabispread
