/*
 * Tests of answers, coverage and execution histories of real processes while
 * processes are killed or frozen and targets fail.
 */
#include "ProcessFleet.h"

#include <set>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

/** Uses three zones, each with a daemon and a process for its targets. Guards
    against missing shards that an answer does not state, results of another
    request or snapshot, actions executed twice, and requests that get no answer
    after a process has failed. */
class DeliveryTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DeliveryTests);
  CPPUNIT_TEST(StatesMissingShardsOfKilledTargets);
  CPPUNIT_TEST(KeepsHistoryValidUnderFaults);
  CPPUNIT_TEST(AnswersAfterATargetOwnerIsKilled);
  CPPUNIT_TEST(AnswersAfterACoordinatorIsKilled);
  CPPUNIT_TEST(AnswersWhileATargetOwnerIsFrozen);
  CPPUNIT_TEST(ExecutesActionsAtMostOnceUnderKillsAndFreezes);
  CPPUNIT_TEST(ExecutesActionsAtMostOnceUnderResets);
  CPPUNIT_TEST(UsesOneSnapshotPerAnswerDuringRollOver);
  CPPUNIT_TEST(CancelsRequestsWhenTheCallerDisconnects);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mFleet = AcquireFleet(); }

  void tearDown() override { mFleet.reset(); }

  void StatesMissingShardsOfKilledTargets()
  {
    TestRequest solo;
    solo.mService = "solo";
    const HistoryCall whole = mFleet->Ask(0, solo);
    CPPUNIT_ASSERT_EQUAL(std::string(), whole.mErrorKind);
    CPPUNIT_ASSERT(whole.mMissing.empty());
    mFleet->Targets(0).Kill();
    const HistoryCall partial = mFleet->Ask(1, solo);
    CPPUNIT_ASSERT_EQUAL(std::string(), partial.mErrorKind);
    const std::vector<unsigned> expected{ 0, 3 };
    CPPUNIT_ASSERT(expected == partial.mMissing);
    // The service "stock" has replicas of every shard in the other two zones.
    const HistoryCall replicated = mFleet->Ask(2, TestRequest{});
    CPPUNIT_ASSERT(replicated.mMissing.empty());
    mFleet->ExpectSoundHistory();
  }

  void KeepsHistoryValidUnderFaults()
  {
    mFleet->ControlAllTargets({ { "stragglers", 0.05 },
                                { "straggler_ms", 300 },
                                { "shed", 0.05 },
                                { "reset", "before-reply" },
                                { "reset_share", 0.02 } });
    RunConcurrently(24, [this](std::size_t aCaller) {
      HttpConnection connection(TestLoop());
      bool isOpen = false;
      for (unsigned round = 0; round < 25; ++round) {
        mFleet->AskOn(
          connection, isOpen, aCaller % 3, MixedRequest(aCaller, round));
      }
    });
    CPPUNIT_ASSERT(CountAnswered() > 400U);
    mFleet->ExpectSoundHistory();
  }

  void AnswersAfterATargetOwnerIsKilled()
  {
    RunConcurrently(13, [this](std::size_t aCaller) {
      if (aCaller == 12) {
        boost::this_fiber::sleep_for(std::chrono::milliseconds(60));
        mFleet->Daemon(2).Kill();
        return;
      }
      for (unsigned round = 0; round < 30; ++round) {
        mFleet->Ask(aCaller % 2, MixedRequest(aCaller, round));
      }
    });
    CPPUNIT_ASSERT(CountAnswered() > 180U);
    mFleet->ExpectSoundHistory();
  }

  void AnswersAfterACoordinatorIsKilled()
  {
    mFleet->ControlAllTargets({ { "service_ms", 20 } });
    RunConcurrently(13, [this](std::size_t aCaller) {
      if (aCaller == 12) {
        boost::this_fiber::sleep_for(std::chrono::milliseconds(60));
        mFleet->Daemon(0).Kill();
        return;
      }
      for (unsigned round = 0; round < 10; ++round) {
        mFleet->Ask(aCaller % 3, MixedRequest(aCaller, round));
      }
    });
    mFleet->RestartDaemon(0);
    // The restarted daemon must not accept replies to requests that it sent
    // before it was killed.
    for (unsigned round = 0; round < 20; ++round) {
      CPPUNIT_ASSERT_EQUAL(std::string(),
                           mFleet->Ask(0, TestRequest{}).mErrorKind);
    }
    mFleet->ExpectSoundHistory();
  }

  void AnswersWhileATargetOwnerIsFrozen()
  {
    TestRequest ask;
    ask.mTimeoutMs = "300";
    mFleet->Daemon(2).Freeze();
    RunConcurrently(6, [&](std::size_t aCaller) {
      const HistoryCall call = mFleet->Ask(aCaller % 2, ask);
      CPPUNIT_ASSERT(call.mErrorKind != "no-response");
    });
    mFleet->Daemon(2).Thaw();
    mFleet->ExpectSoundHistory();
  }

  void ExecutesActionsAtMostOnceUnderKillsAndFreezes()
  {
    mFleet->ControlAllTargets({ { "service_ms", 15 } });
    TestRequest action;
    action.mOperation = "action";
    action.mTimeoutMs = "200";
    RunConcurrently(13, [&](std::size_t aCaller) {
      if (aCaller == 12) {
        FreezeAndKillProcesses();
        return;
      }
      for (unsigned round = 0; round < 25; ++round) {
        TestRequest ask = action;
        ask.mKey = "k" + std::to_string(aCaller * 100 + round);
        mFleet->Ask(aCaller % 3, ask);
      }
    });
    mFleet->ExpectSoundHistory();
  }

  void ExecutesActionsAtMostOnceUnderResets()
  {
    for (const char* point : { "before-execution", "before-reply" }) {
      mFleet->ControlAllTargets({ { "reset", point }, { "reset_share", 0.5 } });
      RunConcurrently(9, [&](std::size_t aCaller) {
        for (unsigned round = 0; round < 10; ++round) {
          TestRequest ask;
          ask.mOperation = "action";
          ask.mKey = point + std::to_string(aCaller * 100 + round);
          mFleet->Ask(aCaller % 3, ask);
        }
      });
    }
    CPPUNIT_ASSERT(CountAnswered() > 20U);
    mFleet->ExpectSoundHistory();
  }

  void UsesOneSnapshotPerAnswerDuringRollOver()
  {
    bool isRolledOver = false;
    RunConcurrently(7, [&](std::size_t aCaller) {
      if (aCaller == 6) {
        boost::this_fiber::sleep_for(std::chrono::milliseconds(30));
        mFleet->ControlAllTargets(
          { { "roll_to", { 1, 2 } }, { "roll_spread_ms", 100 } });
        boost::this_fiber::sleep_for(std::chrono::milliseconds(150));
        mFleet->ControlAllTargets(
          { { "roll_to", { 2 } }, { "roll_spread_ms", 100 } });
        boost::this_fiber::sleep_for(std::chrono::milliseconds(150));
        isRolledOver = true;
        return;
      }
      for (unsigned round = 0; round < 60 || !isRolledOver; ++round) {
        mFleet->Ask(aCaller % 3, TestRequest{});
      }
    });
    mFleet->MarkNotReusable();
    std::set<std::uint64_t> snapshots;
    for (const HistoryCall& call : mFleet->Calls()) {
      snapshots.insert(call.mSnapshot);
    }
    CPPUNIT_ASSERT(snapshots.contains(1) && snapshots.contains(2));
    mFleet->ExpectSoundHistory();
  }

  void CancelsRequestsWhenTheCallerDisconnects()
  {
    mFleet->ControlAllTargets({ { "frozen", true } });
    HttpConnection connection(TestLoop());
    bool isOpen = false;
    RunConcurrently(2, [&](std::size_t aPart) {
      if (aPart == 0) {
        mFleet->AskOn(connection, isOpen, 0, TestRequest{});
        return;
      }
      AwaitCondition([this] { return InFlight(0) != 0; }, "the request runs");
      connection.Close();
      AwaitCondition([this] { return InFlight(0) == 0; },
                     "the request is cancelled");
    });
    mFleet->ControlAllTargets({ { "frozen", false } });
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         mFleet->Ask(0, TestRequest{}).mErrorKind);
    mFleet->ExpectSoundHistory();
  }

private:
  /** A search, a lookup or an action, in turn. */
  static TestRequest MixedRequest(std::size_t aCaller, unsigned aRound)
  {
    static const char* const kOperations[] = { "search", "lookup", "action" };
    TestRequest ask;
    ask.mOperation = kOperations[(aCaller + aRound) % 3];
    if (ask.mOperation != "search") {
      ask.mKey = "k" + std::to_string(aCaller) + "-" + std::to_string(aRound);
    }
    return ask;
  }

  std::size_t CountAnswered() const
  {
    std::size_t answered = 0;
    for (const HistoryCall& call : mFleet->Calls()) {
      answered += call.mErrorKind.empty() ? 1 : 0;
    }
    return answered;
  }

  std::uint64_t InFlight(std::size_t aZone)
  {
    const auto status = mFleet->GetOperator(aZone, "/v1/status");
    CPPUNIT_ASSERT(status.has_value());
    return nlohmann::json::parse(status->mBody).at("in_flight");
  }

  /** Freezes a daemon and then a target process for longer than the callers'
      timeout of 200 ms, then kills a target process and a daemon. */
  void FreezeAndKillProcesses()
  {
    constexpr Duration kStepInterval = std::chrono::milliseconds(100);
    constexpr Duration kFreezeTime = std::chrono::milliseconds(260);
    boost::this_fiber::sleep_for(kStepInterval);
    for (ChildProcess* process : { &mFleet->Daemon(1), &mFleet->Targets(2) }) {
      process->Freeze();
      boost::this_fiber::sleep_for(kFreezeTime);
      process->Thaw();
      boost::this_fiber::sleep_for(kStepInterval);
    }
    mFleet->Targets(0).Kill();
    boost::this_fiber::sleep_for(kStepInterval);
    mFleet->Daemon(2).Kill();
  }

  std::shared_ptr<ProcessFleet> mFleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeliveryTests);
