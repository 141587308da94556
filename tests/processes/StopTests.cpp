/*
 * Tests that a planned stop of each process under load interrupts no request in
 * flight.
 */
#include "ProcessFleet.h"

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

/** Callers send requests continuously, and move to another VM as a load
   balancer would, while a process stops. */
class StopTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StopTests);
  CPPUNIT_TEST(StopsADaemon);
  CPPUNIT_TEST(StopsATargetProcess);
  CPPUNIT_TEST(ContinuesWithoutThePlatform);
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
      mFleet->SetVmList({ 2 });
      mFleet->Daemon(2).Terminate();
      AwaitCondition([this] { return mFleet->Daemon(2).HasEnded(); },
                     "the daemon ends");
    });
    CPPUNIT_ASSERT_EQUAL(0, mFleet->Daemon(2).WaitForExit());
    ExpectNoInterruptedRequest();
  }

  void StopsATargetProcess()
  {
    AskWhile([this] {
      mFleet->Targets(0).Terminate();
      AwaitCondition([this] { return mFleet->Targets(0).HasEnded(); },
                     "the target process ends");
    });
    ExpectNoInterruptedRequest();
  }

  void ContinuesWithoutThePlatform()
  {
    AskWhile([this] {
      mFleet->Platform().Terminate();
      AwaitCondition([this] { return mFleet->Platform().HasEnded(); },
                     "the platform ends");
    });
    ExpectNoInterruptedRequest();
  }

private:
  /** Runs callers from 200 ms before the stop until 200 ms after it. */
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

  /** Sends requests to one zone's VM until it refuses one, then to the next
      zone's. */
  void AskUntil(const bool& aIsOver, std::size_t aCaller)
  {
    std::size_t zone = aCaller % kZones.size();
    auto connection = std::make_unique<HttpConnection>(TestLoop());
    bool isOpen = false;
    for (unsigned round = 0; !aIsOver; ++round) {
      TestRequest ask;
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

  /** Expects that each request was answered completely or refused as not run.
   */
  void ExpectNoInterruptedRequest()
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
    // Each caller that has to move is refused once: only a few refusals in all.
    CPPUNIT_ASSERT(mRefused < 30U);
    mFleet->ExpectSoundHistory();
  }

  std::shared_ptr<ProcessFleet> mFleet;
  std::size_t mRefused = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopTests);
