/*
 * The log sink: Boost.Log with a bounded asynchronous queue.
 */
#include <utility>

#include "wasabispread_telemetry.h"

#include <atomic>
#include <csignal>
#include <fstream>
#include <future>
#include <iostream>
#include <thread>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

namespace wasabispread {

namespace {

/** The capacity of the queue, in lines. */
constexpr std::size_t kMaxQueuedLines = 8192;

std::atomic<std::uint64_t>&
DroppedLineCount()
{
  static std::atomic<std::uint64_t> count{ 0 };
  return count;
}

/** Overflow policy of the queue: drops a record that does not fit and counts
    it, where the policies of Boost.Log block or do not count. */
class CountingDrop
{
public:
  template<class Lock>
  static bool on_overflow(const boost::log::record_view&, Lock&)
  {
    DroppedLineCount().fetch_add(1, std::memory_order_relaxed);
    return false;
  }

  static void on_queue_space_available() {}

  static void interrupt() {}
};

using Backend = boost::log::sinks::text_ostream_backend;
using Sink = boost::log::sinks::asynchronous_sink<
  Backend,
  boost::log::sinks::bounded_fifo_queue<kMaxQueuedLines, CountingDrop>>;

boost::shared_ptr<std::ostream>
OpenStream(const std::string& aFile)
{
  if (aFile.empty()) {
    return { &std::clog, boost::null_deleter() };
  }
  if (aFile == kStandardOutput) {
    return { &std::cout, boost::null_deleter() };
  }
  return boost::make_shared<std::ofstream>(aFile, std::ios::app);
}

/** Keeps SIGTERM, SIGINT and SIGHUP away from the threads that are started
    during its life: the first thread then handles them before anything else
    when the process resumes. */
class SignalsForFirstThread
{
public:
  SignalsForFirstThread()
  {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : { SIGTERM, SIGINT, SIGHUP }) {
      sigaddset(&signals, signal);
    }
    pthread_sigmask(SIG_BLOCK, &signals, &mBefore);
  }

  ~SignalsForFirstThread() { pthread_sigmask(SIG_SETMASK, &mBefore, nullptr); }

  SignalsForFirstThread(const SignalsForFirstThread&) = delete;
  SignalsForFirstThread& operator=(const SignalsForFirstThread&) = delete;

private:
  sigset_t mBefore{};
};

} // namespace

struct LogWriter::Implementation
{
  boost::shared_ptr<Sink> mSink;
  boost::log::sources::logger mLogger;
};

LogWriter::LogWriter(const std::string& aFile, LogLevel aMinLevel)
  : mMinLevel(aMinLevel)
  , mImplementation(std::make_unique<Implementation>())
{
  const auto backend = boost::make_shared<Backend>();
  backend->add_stream(OpenStream(aFile));
  backend->auto_flush(true);
  const SignalsForFirstThread signals;
  mImplementation->mSink = boost::make_shared<Sink>(backend);
  mImplementation->mSink->set_formatter(boost::log::expressions::stream
                                        << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(mImplementation->mSink);
}

LogWriter::~LogWriter()
{
  boost::log::core::get()->remove_sink(mImplementation->mSink);
  mImplementation->mSink->stop();
  mImplementation->mSink->flush();
}

void
LogWriter::Write(const std::string& aLine)
{
  BOOST_LOG(mImplementation->mLogger) << aLine;
}

bool
LogWriter::Flush(Duration aLimit)
{
  const auto written = std::make_shared<std::promise<void>>();
  std::thread([sink = mImplementation->mSink, written] {
    sink->flush();
    written->set_value();
  }).detach();
  return written->get_future().wait_for(aLimit) == std::future_status::ready;
}

std::uint64_t
LogWriter::DroppedLines()
{
  return DroppedLineCount().load(std::memory_order_relaxed);
}

} // namespace wasabispread
