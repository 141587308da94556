/*
 * Tests that callers who hold most of a daemon's descriptors keep it neither
 * from its targets nor from other callers.
 */
#include "ForwarderFleet.h"

#include <tests/processes/RawConnection.h>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>

using namespace wasabispread;
using namespace wasabispread::testing;

class DescriptorTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DescriptorTests);
  CPPUNIT_TEST(ReachesANewTargetWhileCallersHoldTheDescriptors);
  CPPUNIT_TEST(AnswersNewCallersWhileIdleOnesHoldTheDescriptors);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mFleet = std::make_unique<ForwarderFleet>(); }
  void tearDown() override { mFleet.reset(); }

  /** Guards against requests that are refused because no connection to their
      target could be opened. */
  void ReachesANewTargetWhileCallersHoldTheDescriptors()
  {
    const Connections idle = HoldDescriptors();
    mFleet->AddTarget("late", "late-a");
    mFleet->Configure("late");
    AwaitCondition(
      [&] {
        return AnswerOn(*idle.front()).starts_with("HTTP/1.1 200") &&
               mFleet->Runs().back().mInstance == "late-a";
      },
      "the new target answers; last answer: " + mLastAnswer,
      std::chrono::seconds(6));
  }

  /** Guards against callers that wait in the port's queue until the idle limit
      of other callers' connections. */
  void AnswersNewCallersWhileIdleOnesHoldTheDescriptors()
  {
    constexpr std::size_t kNewCallers = 20;
    const Connections idle = HoldDescriptors();
    std::size_t answered = 0;
    for (std::size_t caller = 0; caller < kNewCallers; ++caller) {
      const RawConnection& connection = *idle[idle.size() - 1 - caller];
      answered += AnswerOn(connection).starts_with("HTTP/1.1 200") ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(kNewCallers, answered);
  }

private:
  using Connections = std::vector<std::unique_ptr<RawConnection>>;

  /** Opens more connections than the daemon may have descriptors. */
  Connections HoldDescriptors()
  {
    constexpr rlim_t kDescriptors = 128;
    constexpr std::size_t kCallers = 180;
    const rlimit limit{ kDescriptors, kDescriptors };
    CPPUNIT_ASSERT_EQUAL(
      0, prlimit(mFleet->Daemon(0).Pid(), RLIMIT_NOFILE, &limit, nullptr));
    Connections connections;
    for (std::size_t caller = 0; caller < kCallers; ++caller) {
      connections.push_back(
        std::make_unique<RawConnection>(mFleet->CallerEndpoint(0)));
    }
    boost::this_fiber::sleep_for(std::chrono::milliseconds(300));
    return connections;
  }

  /** Sends a request that the first targets answer too, and returns the answer;
      empty when there is none within 6 s. */
  std::string AnswerOn(const RawConnection& aConnection)
  {
    aConnection.Send("GET /one/x HTTP/1.1\r\nHost: host.example\r\n"
                     "Wasabispread-Request-Id: d" +
                     std::to_string(mSent++) +
                     "\r\nWasabispread-Request-Deadline-Ms: 1000\r\n\r\n");
    const TimePoint until =
      std::chrono::steady_clock::now() + std::chrono::seconds(6);
    mLastAnswer.clear();
    while (mLastAnswer.empty() && !aConnection.HasEnded() &&
           std::chrono::steady_clock::now() < until) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
      mLastAnswer = aConnection.ReceiveArrived();
    }
    return mLastAnswer;
  }

  std::unique_ptr<ForwarderFleet> mFleet;
  std::string mLastAnswer;
  unsigned mSent = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DescriptorTests);
