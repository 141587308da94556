/*
 * Tests of idempotency keys with real processes and the platform's store.
 */
#include "ProcessFleet.h"

#include <map>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

/** Sends actions with the same idempotency key through several VMs, also during
    faults of the platform and after a VM was killed. Guards against an action
    that is executed twice because a VM does not see the claim of its key. */
class IdempotencyTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(IdempotencyTests);
  CPPUNIT_TEST(RefusesADuplicateThroughAnotherVm);
  CPPUNIT_TEST(ReadsTheClaimAfterALostReply);
  CPPUNIT_TEST(RefusesKeysDuringAPlatformOutage);
  CPPUNIT_TEST(ExecutesConcurrentDuplicatesOnce);
  CPPUNIT_TEST(RefusesADuplicateAfterTheCoordinatorIsKilled);
  CPPUNIT_TEST(RejectsInvalidKeys);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    static unsigned tests = 0;
    mFleet = AcquireFleet();
    mTest = ++tests;
  }

  void tearDown() override { mFleet.reset(); }

  void RefusesADuplicateThroughAnotherVm()
  {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         mFleet->Ask(0, Action("key")).mErrorKind);
    const HistoryCall duplicate = mFleet->Ask(1, Action("key"));
    CPPUNIT_ASSERT_EQUAL(std::string("duplicate-request"),
                         duplicate.mErrorKind);
    CPPUNIT_ASSERT_EQUAL(std::string("no"), duplicate.mRan);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         mFleet->Ask(1, Action("other")).mErrorKind);
    mFleet->ExpectSoundHistory();
  }

  void ReadsTheClaimAfterALostReply()
  {
    mFleet->ControlPlatform({ { "lose_write_replies", 1 } });
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         mFleet->Ask(0, Action("key")).mErrorKind);
    mFleet->ExpectSoundHistory();
  }

  void RefusesKeysDuringAPlatformOutage()
  {
    mFleet->ControlPlatform({ { "outage", true } });
    const HistoryCall refused = mFleet->Ask(0, Action("key"));
    CPPUNIT_ASSERT_EQUAL(std::string("platform-unavailable"),
                         refused.mErrorKind);
    CPPUNIT_ASSERT_EQUAL(std::string("no"), refused.mRan);
    // An action without a key needs no claim and so does not need the store.
    CPPUNIT_ASSERT_EQUAL(std::string(), mFleet->Ask(0, Action("")).mErrorKind);
    mFleet->ControlPlatform({ { "outage", false } });
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         mFleet->Ask(1, Action("key")).mErrorKind);
    mFleet->ExpectSoundHistory();
  }

  void ExecutesConcurrentDuplicatesOnce()
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

  void RefusesADuplicateAfterTheCoordinatorIsKilled()
  {
    mFleet->ControlAllTargets({ { "service_ms", 300 } });
    RunConcurrently(2, [this](std::size_t aPart) {
      if (aPart == 0) {
        mFleet->Ask(0, Action("key"));
        return;
      }
      AwaitCondition([this] { return mFleet->HasExecuted(); },
                     "the action is executed");
      mFleet->Daemon(0).Kill();
    });
    CPPUNIT_ASSERT_EQUAL(std::string("duplicate-request"),
                         mFleet->Ask(1, Action("key")).mErrorKind);
    mFleet->RestartDaemon(0);
    CPPUNIT_ASSERT_EQUAL(std::string("duplicate-request"),
                         mFleet->Ask(0, Action("key")).mErrorKind);
    mFleet->ExpectSoundHistory();
  }

  void RejectsInvalidKeys()
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
  /** Number of the test. It is part of each key, since tests that share a fleet
      share its store. */
  unsigned mTest = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdempotencyTests);
