/*
 * Tests that real daemons answer each request that they received, while they
 * are stopped and held up.
 */
#include "ForwarderFleet.h"

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

class LostRequestTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LostRequestTests);
  CPPUNIT_TEST(AnswersRequestsThatArriveWhileAStoppingDaemonIsHeldUp);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Guards against requests that are passed on although the stop has closed
      their connection. */
  void AnswersRequestsThatArriveWhileAStoppingDaemonIsHeldUp()
  {
    constexpr std::size_t kCallers = 20;
    // With a grace of 4 s, idle connections are closed 2.6 s after SIGTERM.
    constexpr Duration kHeldUpFrom = std::chrono::milliseconds(2450);
    constexpr Duration kHeldUpUntil = std::chrono::milliseconds(2800);
    ForwarderFleet fleet;
    std::vector<std::unique_ptr<HttpConnection>> connections;
    for (std::size_t caller = 0; caller < kCallers; ++caller) {
      connections.push_back(std::make_unique<HttpConnection>(TestLoop()));
      CPPUNIT_ASSERT(connections.back()->Connect(fleet.CallerEndpoint(0),
                                                 std::chrono::seconds(1)));
      CPPUNIT_ASSERT_EQUAL(
        200U, fleet.SendRequestOn(*connections.back(), {}).Status());
    }
    const TimePoint stop = std::chrono::steady_clock::now();
    fleet.Daemon(0).Terminate();
    std::size_t answered = 0;
    std::size_t ranWithoutAnswer = 0;
    RunConcurrently(kCallers + 1, [&](std::size_t aFiber) {
      boost::this_fiber::sleep_until(stop + kHeldUpFrom);
      if (aFiber == kCallers) {
        fleet.Daemon(0).Freeze();
        boost::this_fiber::sleep_until(stop + kHeldUpUntil);
        fleet.Daemon(0).Thaw();
        return;
      }
      boost::this_fiber::sleep_for(std::chrono::milliseconds(50));
      const ForwarderReply reply =
        fleet.SendRequestOn(*connections[aFiber], {});
      const bool hasRun = fleet.CountRuns(reply.mRequestId) != 0;
      answered += reply.mResponse ? 1 : 0;
      ranWithoutAnswer += hasRun && !reply.mResponse ? 1 : 0;
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, ranWithoutAnswer);
    CPPUNIT_ASSERT_EQUAL(kCallers, answered);
    CPPUNIT_ASSERT_EQUAL(0, fleet.Daemon(0).WaitForExit());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostRequestTests);
