/*
 * Tests that a daemon that gets no processor around the end of its stop answers
 * the requests in progress before it ends.
 */
#include "ForwarderFleet.h"

#include <iostream>
#include <map>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

class HeldUpExitTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HeldUpExitTests);
  CPPUNIT_TEST(AnswersRequestsInProgressBeforeItEnds);
  CPPUNIT_TEST(AnswersHundredsOfRequestsInProgressBeforeItEnds);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Guards against a process that ends on time while replies wait in its
      sockets. */
  void AnswersRequestsInProgressBeforeItEnds()
  {
    ForwarderFleet fleet;
    HoldUpExit(fleet, { "once-a", "once-b" }, 8);
  }

  /** Guards against a process that ends while it still reads replies. */
  void AnswersHundredsOfRequestsInProgressBeforeItEnds()
  {
    constexpr std::size_t kTargets = 20;
    ForwarderFleet fleet;
    std::vector<std::string> targets{ "once-a", "once-b" };
    while (targets.size() < kTargets) {
      targets.push_back("once-" + std::to_string(targets.size()));
      fleet.AddTarget("once", targets.back());
    }
    HoldUpExit(fleet, targets, 300);
  }

private:
  /** Holds a daemon up past the end of its stop while the replies to the
      requests of aCallers arrive, and expects that each that ran is
      answered. */
  static void HoldUpExit(ForwarderFleet& aFleet,
                         const std::vector<std::string>& aTargets,
                         std::size_t aCallers)
  {
    // With a grace of 4 s, the last answers are due 3.5 s after SIGTERM, and
    // the process ends after 3.85 s.
    constexpr std::size_t kReplyBytes = 50'000;
    constexpr Duration kSentAt = std::chrono::milliseconds(1980);
    constexpr Duration kHeldUpFrom = std::chrono::milliseconds(3150);
    constexpr Duration kHeldUpUntil = std::chrono::milliseconds(3920);
    for (const std::string& target : aTargets) {
      aFleet.Target(target).mServiceTime = std::chrono::milliseconds(100);
      aFleet.Target(target).mSlots = 26;
      aFleet.Register(aFleet.Target(target));
    }
    std::vector<std::unique_ptr<HttpConnection>> connections;
    for (std::size_t caller = 0; caller < aCallers; ++caller) {
      connections.push_back(std::make_unique<HttpConnection>(TestLoop()));
      CPPUNIT_ASSERT(connections.back()->Connect(aFleet.CallerEndpoint(0),
                                                 std::chrono::seconds(1)));
      CPPUNIT_ASSERT_EQUAL(
        200U, aFleet.SendRequestOn(*connections.back(), {}).Status());
    }
    ForwarderRequest request;
    request.mPath = "/once/x";
    request.mTimeoutMs = "3000";
    // Lets the daemon find out how many requests the targets take.
    for (unsigned round = 0; round < 20; ++round) {
      RunConcurrently(aCallers, [&](std::size_t aFiber) {
        aFleet.SendRequestOn(*connections[aFiber], request);
      });
    }
    for (const std::string& target : aTargets) {
      aFleet.Target(target).mServiceTime = std::chrono::milliseconds(1300);
      aFleet.Target(target).mExtraBodyBytes = kReplyBytes;
    }
    const TimePoint stop = std::chrono::steady_clock::now();
    aFleet.Daemon(0).Terminate();
    std::size_t ran = 0;
    std::size_t ranWithoutAnswer = 0;
    std::map<unsigned, std::size_t> statuses;
    RunConcurrently(aCallers + 1, [&](std::size_t aFiber) {
      if (aFiber == aCallers) {
        boost::this_fiber::sleep_until(stop + kHeldUpFrom);
        aFleet.Daemon(0).Freeze();
        boost::this_fiber::sleep_until(stop + kHeldUpUntil);
        aFleet.Daemon(0).Thaw();
        return;
      }
      boost::this_fiber::sleep_until(stop + kSentAt);
      const ForwarderReply reply =
        aFleet.SendRequestOn(*connections[aFiber], request);
      const bool hasRun = aFleet.CountRuns(reply.mRequestId) != 0;
      ran += hasRun ? 1 : 0;
      ranWithoutAnswer += hasRun && !reply.mResponse ? 1 : 0;
      ++statuses[reply.Status()];
    });
    std::cout << ran << " of " << aCallers << " requests ran, "
              << ranWithoutAnswer << " of these without an answer;";
    for (const auto& [status, count] : statuses) {
      std::cout << " " << status << ": " << count;
    }
    std::cout << std::endl;
    CPPUNIT_ASSERT(ran > aCallers / 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, ranWithoutAnswer);
    CPPUNIT_ASSERT_EQUAL(0, aFleet.Daemon(0).WaitForExit());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldUpExitTests);
