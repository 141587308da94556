/*
 * Planned stops of each process under load cut off no request in flight.
 */
#include "ProcessFleet.h"

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

/** Callers ask without pause, as through a balancer, while a process stops. */
class StopTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StopTests);
  CPPUNIT_TEST(StopsADaemon);
  CPPUNIT_TEST(StopsATargetProcess);
  CPPUNIT_TEST(GoesOnWithoutThePlatform);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mFleet = AcquireFleet();
    mFleet->ControlAllTargets({ { "service_ms", 10 } });
  }

  void tearDown() override { mFleet.reset(); }

  void StopsADaemon()
  {
    AskWhile([this] {
      mFleet->ShowVms({ 2 });
      mFleet->Daemon(2).Terminate();
      AwaitCondition([this] { return mFleet->Daemon(2).HasEnded(); },
                     "the daemon ends");
    });
    CPPUNIT_ASSERT_EQUAL(0, mFleet->Daemon(2).WaitForExit());
    ExpectNothingCutOff();
  }

  void StopsATargetProcess()
  {
    AskWhile([this] {
      mFleet->Targets(0).Terminate();
      AwaitCondition([this] { return mFleet->Targets(0).HasEnded(); },
                     "the target process ends");
    });
    ExpectNothingCutOff();
  }

  void GoesOnWithoutThePlatform()
  {
    AskWhile([this] {
      mFleet->Platform().Terminate();
      AwaitCondition([this] { return mFleet->Platform().HasEnded(); },
                     "the platform ends");
    });
    ExpectNothingCutOff();
  }

private:
  /** Runs a stop with callers all the while, and for a little longer. */
  void AskWhile(const std::function<void()>& aStop)
  {
    constexpr std::size_t kCallers = 9;
    constexpr Duration kStep = std::chrono::milliseconds(200);
    bool isOver = false;
    RunConcurrently(kCallers + 1, [&](std::size_t aCaller) {
      if (aCaller == kCallers) {
        boost::this_fiber::sleep_for(kStep);
        aStop();
        boost::this_fiber::sleep_for(kStep);
        isOver = true;
        return;
      }
      AskUntil(isOver, aCaller);
    });
  }

  /** Asks one VM as long as it takes requests, then the next. */
  void AskUntil(const bool& aIsOver, std::size_t aCaller)
  {
    std::size_t zone = aCaller % kZones.size();
    auto connection = std::make_unique<HttpConnection>(TestLoop());
    bool isOpen = false;
    for (unsigned round = 0; !aIsOver; ++round) {
      ProcessAsk ask;
      ask.mOperation = round % 3 == 0 ? "action" : "search";
      ask.mKey = ask.mOperation == "action"
                   ? "k" + std::to_string(aCaller) + "-" + std::to_string(round)
                   : "";
      const HistoryCall call = mFleet->AskOn(*connection, isOpen, zone, ask);
      const bool isRefused =
        call.mErrorKind == "no-response" || call.mErrorKind == "not-ready";
      if (isRefused && call.mRan == "no") {
        zone = (zone + 1) % kZones.size();
        ++mRefused;
      }
      if (!isOpen) {
        connection = std::make_unique<HttpConnection>(TestLoop());
      }
    }
  }

  /** Each request was answered in full, or refused as not run. */
  void ExpectNothingCutOff()
  {
    std::size_t answered = 0;
    for (const HistoryCall& call : mFleet->Calls()) {
      const std::string what = call.mRequestId + " " + call.mOperation + " " +
                               call.mErrorKind + " ran " + call.mRan + ": " +
                               call.mErrorMessage + call.mMissingReasons;
      const bool isRefused =
        call.mRan == "no" &&
        (call.mErrorKind == "no-response" || call.mErrorKind == "not-ready");
      if (isRefused) {
        continue;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string(), call.mErrorKind);
      CPPUNIT_ASSERT_MESSAGE(what, call.mMissing.empty());
      ++answered;
    }
    CPPUNIT_ASSERT(answered > 100U);
    // One refusal for each caller that had to move, at most a few in all.
    CPPUNIT_ASSERT(mRefused < 30U);
    mFleet->ExpectSoundHistory();
  }

  std::shared_ptr<ProcessFleet> mFleet;
  std::size_t mRefused = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopTests);
