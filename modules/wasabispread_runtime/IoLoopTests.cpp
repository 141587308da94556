/*
 * Tests that I/O, timers and signals are handled while fibers are always ready.
 */
#include "wasabispread_runtime.h"

#include <array>
#include <csignal>

#include <boost/asio.hpp>
#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

using namespace wasabispread;

namespace {

constexpr Duration kLimit = std::chrono::seconds(2);

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

/** The loop of this program, which may have only one. */
IoLoop&
Loop()
{
  static IoLoop loop;
  return loop;
}

/** Runs fibers that are always ready until aIsDone holds, for at most kLimit,
    and returns how long that took. */
Duration
KeepFibersReady(const std::function<bool()>& aIsDone)
{
  constexpr unsigned kFibers = 3;
  const TimePoint start = Now();
  unsigned running = kFibers;
  for (unsigned fiber = 0; fiber < kFibers; ++fiber) {
    StartFiber([&] {
      while (!aIsDone() && Now() < start + kLimit) {
        boost::this_fiber::yield();
      }
      --running;
    });
  }
  while (running != 0) {
    boost::this_fiber::yield();
  }
  return Now() - start;
}

} // namespace

class IoLoopTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(IoLoopTests);
  CPPUNIT_TEST(ReadsInputWhileFibersStayReady);
  CPPUNIT_TEST(RunsTimersWhileFibersStayReady);
  CPPUNIT_TEST(HandlesStopSignalsWhileFibersStayReady);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReadsInputWhileFibersStayReady()
  {
    std::array<int, 2> ends{};
    CPPUNIT_ASSERT_EQUAL(0, pipe(ends.data()));
    boost::asio::posix::stream_descriptor reader(Loop().Context(), ends[0]);
    std::array<char, 1> byte{};
    bool isRead = false;
    reader.async_read_some(
      boost::asio::buffer(byte),
      [&](boost::system::error_code, std::size_t) { isRead = true; });
    boost::this_fiber::sleep_for(std::chrono::milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(ssize_t{ 1 }, write(ends[1], "x", 1));
    CPPUNIT_ASSERT(KeepFibersReady([&] { return isRead; }) < kLimit / 10);
    CPPUNIT_ASSERT(isRead);
    close(ends[1]);
  }

  void RunsTimersWhileFibersStayReady()
  {
    bool isDue = false;
    boost::asio::steady_timer timer(Loop().Context());
    timer.expires_after(std::chrono::milliseconds(20));
    timer.async_wait([&](boost::system::error_code) { isDue = true; });
    CPPUNIT_ASSERT(KeepFibersReady([&] { return isDue; }) < kLimit / 10);
    CPPUNIT_ASSERT(isDue);
  }

  /** Also guards against a stop whose grace is counted from the handling of its
      signal. */
  void HandlesStopSignalsWhileFibersStayReady()
  {
    Loop().CatchStopSignals();
    bool isStopped = false;
    TimePoint notBefore = TimePoint::max();
    StartFiber([&] {
      notBefore = Loop().WaitForStopSignal();
      isStopped = true;
    });
    boost::this_fiber::sleep_for(std::chrono::milliseconds(10));
    const TimePoint sent = Now();
    CPPUNIT_ASSERT_EQUAL(0, raise(SIGTERM));
    CPPUNIT_ASSERT(KeepFibersReady([&] { return isStopped; }) < kLimit / 10);
    CPPUNIT_ASSERT(notBefore <= sent);
    CPPUNIT_ASSERT(notBefore > sent - std::chrono::milliseconds(100));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IoLoopTests);
