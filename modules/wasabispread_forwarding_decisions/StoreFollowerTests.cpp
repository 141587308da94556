/*
 * Tests of following the store when its answers are lost.
 */
#include <tests/support/ForwarderHarness.h>

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

class StoreFollowerTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreFollowerTests);
  CPPUNIT_TEST(ReportsTheCallThatIsNotAnswered);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Guards against a VM whose logs do not tell what it waits for. */
  void ReportsTheCallThatIsNotAnswered()
  {
    ForwarderHarness forwarder;
    forwarder.RunFor(std::chrono::seconds(10));
    const auto& records = forwarder.mDecisionRecords;
    const auto record =
      std::find_if(records.rbegin(),
                   records.rend(),
                   [](const forwarding::DecisionRecord& aRecord) {
                     return std::string(aRecord.mEvent) == "store-not-heard";
                   });
    CPPUNIT_ASSERT(record != records.rend());
    const auto call = std::find_if(record->mFields.begin(),
                                   record->mFields.end(),
                                   [](const RecordField& aField) {
                                     return std::string(aField.mName) == "call";
                                   });
    CPPUNIT_ASSERT(call != record->mFields.end());
    CPPUNIT_ASSERT_EQUAL(std::string("watch"),
                         std::get<std::string>(call->mValue));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFollowerTests);
