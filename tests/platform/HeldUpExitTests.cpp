/*
 * Tests that a daemon that gets no processor around the end of its stop answers
 * the requests in progress before it ends.
 */
#include "ForwarderFleet.h"

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

class HeldUpExitTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HeldUpExitTests);
  CPPUNIT_TEST(AnswersRequestsInProgressBeforeItEnds);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Guards against a process that ends on time while replies wait in its
      sockets. */
  void AnswersRequestsInProgressBeforeItEnds()
  {
    constexpr std::size_t kCallers = 8;
    // With a grace of 4 s, the last answers are due 3.5 s after SIGTERM, and
    // the process ends after 3.85 s.
    constexpr Duration kSentAt = std::chrono::milliseconds(1980);
    constexpr Duration kHeldUpFrom = std::chrono::milliseconds(3150);
    constexpr Duration kHeldUpUntil = std::chrono::milliseconds(3920);
    ForwarderFleet fleet;
    for (const char* target : { "once-a", "once-b" }) {
      fleet.Target(target).mServiceTime = std::chrono::milliseconds(1300);
      fleet.Target(target).mSlots = kCallers;
    }
    std::vector<std::unique_ptr<HttpConnection>> connections;
    for (std::size_t caller = 0; caller < kCallers; ++caller) {
      connections.push_back(std::make_unique<HttpConnection>(TestLoop()));
      CPPUNIT_ASSERT(connections.back()->Connect(fleet.CallerEndpoint(0),
                                                 std::chrono::seconds(1)));
      CPPUNIT_ASSERT_EQUAL(
        200U, fleet.SendRequestOn(*connections.back(), {}).Status());
    }
    ForwarderRequest request;
    request.mPath = "/once/x";
    request.mTimeoutMs = "3000";
    const TimePoint stop = std::chrono::steady_clock::now();
    fleet.Daemon(0).Terminate();
    std::size_t ranWithoutAnswer = 0;
    RunConcurrently(kCallers + 1, [&](std::size_t aFiber) {
      if (aFiber == kCallers) {
        boost::this_fiber::sleep_until(stop + kHeldUpFrom);
        fleet.Daemon(0).Freeze();
        boost::this_fiber::sleep_until(stop + kHeldUpUntil);
        fleet.Daemon(0).Thaw();
        return;
      }
      boost::this_fiber::sleep_until(stop + kSentAt);
      const ForwarderReply reply =
        fleet.SendRequestOn(*connections[aFiber], request);
      const bool hasRun = fleet.CountRuns(reply.mRequestId) != 0;
      ranWithoutAnswer += hasRun && !reply.mResponse ? 1 : 0;
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, ranWithoutAnswer);
    CPPUNIT_ASSERT_EQUAL(0, fleet.Daemon(0).WaitForExit());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldUpExitTests);
