/*
 * Idempotency keys through real processes and the platform's store.
 */
#include "ProcessFleet.h"

#include <map>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

/** Actions with keys, repeated through other VMs while things fail. */
class IdempotencyTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(IdempotencyTests);
  CPPUNIT_TEST(RefusesARepeatThroughAnotherVm);
  CPPUNIT_TEST(ReadsBackALostReply);
  CPPUNIT_TEST(RefusesDuringAnOutage);
  CPPUNIT_TEST(RunsConcurrentRepeatsOnce);
  CPPUNIT_TEST(RefusesARepeatAfterTheEntryIsKilled);
  CPPUNIT_TEST(RejectsWrongKeys);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    static unsigned tests = 0;
    mFleet = AcquireFleet();
    mTest = ++tests;
  }

  void tearDown() override { mFleet.reset(); }

  void RefusesARepeatThroughAnotherVm()
  {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         mFleet->Ask(0, Action("key")).mErrorKind);
    const HistoryCall repeat = mFleet->Ask(1, Action("key"));
    CPPUNIT_ASSERT_EQUAL(std::string("duplicate-request"), repeat.mErrorKind);
    CPPUNIT_ASSERT_EQUAL(std::string("no"), repeat.mRan);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         mFleet->Ask(1, Action("other")).mErrorKind);
    mFleet->ExpectSoundHistory();
  }

  void ReadsBackALostReply()
  {
    mFleet->ControlPlatform({ { "lose_write_replies", 1 } });
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         mFleet->Ask(0, Action("key")).mErrorKind);
    mFleet->ExpectSoundHistory();
  }

  void RefusesDuringAnOutage()
  {
    mFleet->ControlPlatform({ { "outage", true } });
    const HistoryCall refused = mFleet->Ask(0, Action("key"));
    CPPUNIT_ASSERT_EQUAL(std::string("platform-unavailable"),
                         refused.mErrorKind);
    CPPUNIT_ASSERT_EQUAL(std::string("no"), refused.mRan);
    // Without a key nothing depends on the store.
    CPPUNIT_ASSERT_EQUAL(std::string(), mFleet->Ask(0, Action("")).mErrorKind);
    mFleet->ControlPlatform({ { "outage", false } });
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         mFleet->Ask(1, Action("key")).mErrorKind);
    mFleet->ExpectSoundHistory();
  }

  void RunsConcurrentRepeatsOnce()
  {
    constexpr unsigned kKeys = 10;
    mFleet->ControlPlatform({ { "lose_share", 0.2 }, { "jitter_ms", 5 } });
    RunConcurrently(3, [this](std::size_t aZone) {
      for (unsigned key = 0; key < kKeys; ++key) {
        mFleet->Ask(aZone, Action("key" + std::to_string(key)));
      }
    });
    std::map<std::string, unsigned> answered;
    for (const HistoryCall& call : mFleet->Calls()) {
      answered[call.mIdempotencyKey] += call.mErrorKind.empty() ? 1 : 0;
    }
    for (const auto& [key, count] : answered) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(key, 1U, count);
    }
    mFleet->ExpectSoundHistory();
  }

  void RefusesARepeatAfterTheEntryIsKilled()
  {
    mFleet->ControlAllTargets({ { "service_ms", 300 } });
    RunConcurrently(2, [this](std::size_t aPart) {
      if (aPart == 0) {
        mFleet->Ask(0, Action("key"));
        return;
      }
      AwaitCondition([this] { return mFleet->HasExecuted(); },
                     "the action runs");
      mFleet->Daemon(0).Kill();
    });
    CPPUNIT_ASSERT_EQUAL(std::string("duplicate-request"),
                         mFleet->Ask(1, Action("key")).mErrorKind);
    mFleet->RestartDaemon(0);
    CPPUNIT_ASSERT_EQUAL(std::string("duplicate-request"),
                         mFleet->Ask(0, Action("key")).mErrorKind);
    mFleet->ExpectSoundHistory();
  }

  void RejectsWrongKeys()
  {
    CPPUNIT_ASSERT_EQUAL(
      std::string("malformed-request"),
      mFleet->Ask(0, Action(std::string(129, 'k'))).mErrorKind);
    TestRequest search;
    search.mIdempotencyKey = "key";
    CPPUNIT_ASSERT_EQUAL(std::string("malformed-request"),
                         mFleet->Ask(0, search).mErrorKind);
    CPPUNIT_ASSERT(!mFleet->HasExecuted());
  }

private:
  TestRequest Action(const std::string& aIdempotencyKey) const
  {
    TestRequest ask;
    ask.mOperation = "action";
    ask.mKey = "order-1";
    ask.mIdempotencyKey = aIdempotencyKey;
    if (!aIdempotencyKey.empty()) {
      ask.mIdempotencyKey += "-" + std::to_string(mTest);
    }
    return ask;
  }

  std::shared_ptr<ProcessFleet> mFleet;
  /** Part of each key, since tests may share a store. */
  unsigned mTest = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdempotencyTests);
