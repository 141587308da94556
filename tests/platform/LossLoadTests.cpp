/*
 * When the clients of the loss soak give up.
 */
#include "LossLoad.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;
using std::chrono::seconds;

class LossLoadTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LossLoadTests);
  CPPUNIT_TEST(GivesUpOnTimeIfTheTestRan);
  CPPUNIT_TEST(WaitsOnIfTheTestWasHeldUp);
  CPPUNIT_TEST_SUITE_END();

public:
  void GivesUpOnTimeIfTheTestRan()
  {
    CPPUNIT_ASSERT(GiveUpTime(mExpiry, mExpiry, TimePoint{}) == mExpiry);
    CPPUNIT_ASSERT(GiveUpTime(mExpiry, mExpiry, mExpiry - seconds(5)) ==
                   mExpiry);
  }

  /** Guards against requests that count as silent though their answers wait. */
  void WaitsOnIfTheTestWasHeldUp()
  {
    const TimePoint late = mExpiry + seconds(4);
    CPPUNIT_ASSERT(GiveUpTime(mExpiry, late, TimePoint{}) == late + seconds(5));
    CPPUNIT_ASSERT(GiveUpTime(mExpiry, mExpiry, mExpiry - seconds(1)) ==
                   mExpiry + seconds(4));
  }

private:
  TimePoint mExpiry{ seconds(1000) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(LossLoadTests);
