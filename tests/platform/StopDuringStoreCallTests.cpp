/*
 * Tests that a daemon that is stopped while a call to the store is in progress
 * answers its requests.
 */
#include "ForwarderFleet.h"

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

class StopDuringStoreCallTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StopDuringStoreCallTests);
  CPPUNIT_TEST(AnswersRequestsWhenTheLeaseIsBeingRenewed);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Guards against a process that aborts because the end of the lease meets
      its renewal on one connection. */
  void AnswersRequestsWhenTheLeaseIsBeingRenewed()
  {
    constexpr std::size_t kCallers = 20;
    ForwarderFleet fleet;
    for (const char* target : { "one-a", "one-b" }) {
      fleet.Target(target).mServiceTime = std::chrono::milliseconds(500);
      fleet.Target(target).mSlots = kCallers;
    }
    fleet.Store().SetVmPortState(0, VmPortState::kNeverReplies);
    AwaitCondition([&] { return fleet.Store().mRenewals != 0; },
                   "the daemon renews its lease");
    std::size_t answered = 0;
    RunConcurrently(kCallers + 1, [&](std::size_t aFiber) {
      if (aFiber == kCallers) {
        boost::this_fiber::sleep_for(std::chrono::milliseconds(100));
        fleet.Daemon(0).Terminate();
        return;
      }
      answered += fleet.SendRequest({}).Status() == 200 ? 1 : 0;
    });
    CPPUNIT_ASSERT_EQUAL(kCallers, answered);
    CPPUNIT_ASSERT_EQUAL(0, fleet.Daemon(0).WaitForExit());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopDuringStoreCallTests);
