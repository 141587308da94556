/*
 * Tests of real daemons whose store comes back from a copy.
 */
#include "ForwarderFleet.h"

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

class StoreCopyProcessTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreCopyProcessTests);
  CPPUNIT_TEST(FollowsACopyBelowTheKnownRevision);
  CPPUNIT_TEST(FollowsACopyPastTheKnownRevision);
  CPPUNIT_TEST(FollowsCopiesInARow);
  CPPUNIT_TEST_SUITE_END();

public:
  static constexpr std::uint64_t kMaxCallsOfOneVm = 40;

  void setUp() override
  {
    mFleet = std::make_unique<ForwarderFleet>(1, 4);
    mFleet->Store().mEra = 1;
    Write(30);
    boost::this_fiber::sleep_for(std::chrono::milliseconds(1500));
    Write(30);
    boost::this_fiber::sleep_for(std::chrono::milliseconds(1500));
  }

  void tearDown() override { mFleet.reset(); }

  /** Guards against calls without a pause, and a configuration that never comes
      into force. */
  void FollowsACopyBelowTheKnownRevision()
  {
    ComeBack(std::chrono::milliseconds(2500));
    AssertFollows(0);
  }

  /** Guards against changes that are missed because revisions are given out
      again. */
  void FollowsACopyPastTheKnownRevision()
  {
    ComeBack(std::chrono::milliseconds(2500));
    AssertFollows(200);
  }

  void FollowsCopiesInARow()
  {
    ComeBack(std::chrono::milliseconds(2500));
    boost::this_fiber::sleep_for(std::chrono::milliseconds(300));
    ComeBack(std::chrono::milliseconds(100));
    AssertFollows(5);
  }

private:
  /** Writes changes that concern nobody. */
  void Write(unsigned aCount)
  {
    for (unsigned count = 0; count < aCount; ++count) {
      mFleet->Store().Put("op/other", std::to_string(count));
    }
  }

  void ComeBack(Duration aAge)
  {
    StandInStore& store = mFleet->Store();
    store.SetAllVmPortStates(VmPortState::kClosesConnection);
    boost::this_fiber::sleep_for(std::chrono::milliseconds(300));
    store.ComeBackFromCopy(aAge);
    store.SetAllVmPortStates(VmPortState::kServes);
  }

  /** The others write again, and a new version is in force soon; no request is
      refused meanwhile. */
  void AssertFollows(unsigned aWrites)
  {
    StandInStore& store = mFleet->Store();
    const std::uint64_t before = store.mCalls;
    const TimePoint end =
      std::chrono::steady_clock::now() + std::chrono::seconds(8);
    Write(aWrites);
    boost::this_fiber::sleep_for(std::chrono::milliseconds(500));
    for (const char* target : { "one-a", "one-b", "once-a", "once-b" }) {
      mFleet->Register(mFleet->Target(target));
    }
    const std::string path = VersionPrefix(mFleet->Configure()) + "x";
    AwaitCondition(
      [&] {
        CPPUNIT_ASSERT_EQUAL(
          200U, mFleet->SendRequest({ .mPath = "/one/x" }).Status());
        return mFleet->SendRequest({ .mPath = path }).Status() == 200;
      },
      "the new version is in force",
      std::chrono::seconds(4));
    while (std::chrono::steady_clock::now() < end) {
      CPPUNIT_ASSERT_EQUAL(
        200U, mFleet->SendRequest({ .mPath = "/once/x" }).Status());
      boost::this_fiber::sleep_for(std::chrono::milliseconds(50));
    }
    const std::uint64_t calls = store.mCalls - before;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(calls) + " calls",
                           calls <= kMaxCallsOfOneVm);
    CPPUNIT_ASSERT(mFleet->HasLogged(0, "store-era"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, store.CountWithPrefix("vms/"));
  }

  std::unique_ptr<ForwarderFleet> mFleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreCopyProcessTests);
