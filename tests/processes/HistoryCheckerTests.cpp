/*
 * Tests that the history checker reports each kind of violation.
 */
#include "HistoryChecker.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread::testing;

/** Each test changes a valid history in one way and counts the violations. */
class HistoryCheckerTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HistoryCheckerTests);
  CPPUNIT_TEST(AcceptsAValidHistory);
  CPPUNIT_TEST(FindsForeignResults);
  CPPUNIT_TEST(FindsMixedSnapshots);
  CPPUNIT_TEST(FindsWrongCoverage);
  CPPUNIT_TEST(FindsExecutionsReportedAsNotRun);
  CPPUNIT_TEST(FindsActionsRunTwice);
  CPPUNIT_TEST(FindsKeysRunTwice);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    HistoryCall search;
    search.mRequestId = "r1";
    search.mOperation = "search";
    search.mSnapshot = 1;
    search.mShardsAsked = 2;
    search.mMissing = { 1 };
    search.mResults = { { 0, "t0", "r1 at shard 0 of t0 at snapshot 1" } };
    mCalls = { search };
    mExecutions = { { "r1", "t0", 0, 1 } };
  }

  void AcceptsAValidHistory() { ExpectViolations(0); }

  void FindsForeignResults()
  {
    mCalls[0].mResults[0].mBody = "r2 at shard 0 of t0 at snapshot 1";
    ExpectViolations(1);
  }

  void FindsMixedSnapshots()
  {
    mCalls[0].mResults[0].mBody = "r1 at shard 0 of t0 at snapshot 2";
    ExpectViolations(1);
  }

  void FindsWrongCoverage()
  {
    mCalls[0].mMissing.clear();
    ExpectViolations(1);
    mExecutions.clear();
    ExpectViolations(2);
  }

  void FindsExecutionsReportedAsNotRun()
  {
    mCalls.push_back(Refused("r3"));
    ExpectViolations(0);
    mExecutions.push_back({ "r3", "t0", 0, 1 });
    ExpectViolations(1);
  }

  void FindsActionsRunTwice()
  {
    HistoryCall action = Refused("r4");
    action.mOperation = "action";
    action.mRan = "unknown";
    mCalls.push_back(action);
    mExecutions.push_back({ "r4", "t0", 0, 1 });
    ExpectViolations(0);
    mExecutions.push_back({ "r4", "t1", 0, 1 });
    ExpectViolations(1);
  }

  void FindsKeysRunTwice()
  {
    for (const char* id : { "r5", "r6" }) {
      HistoryCall action = Refused(id);
      action.mOperation = "action";
      action.mRan = "unknown";
      action.mIdempotencyKey = "key";
      mCalls.push_back(action);
      mExecutions.push_back({ id, "t0", 0, 1 });
    }
    ExpectViolations(1);
  }

private:
  static HistoryCall Refused(const std::string& aRequestId)
  {
    HistoryCall call;
    call.mRequestId = aRequestId;
    call.mOperation = "search";
    call.mErrorKind = "overloaded";
    call.mRan = "no";
    return call;
  }

  void ExpectViolations(std::size_t aCount)
  {
    CPPUNIT_ASSERT_EQUAL(aCount, CheckHistory(mCalls, mExecutions).size());
  }

  std::vector<HistoryCall> mCalls;
  std::vector<HistoryExecution> mExecutions;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryCheckerTests);
