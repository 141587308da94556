/*
 * Tests that a real daemon ends only after it has written the answers to the
 * requests that are in progress at the end of its stop.
 */
#include "ForwarderFleet.h"

#include <tests/processes/RawConnection.h>

#include <fstream>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

constexpr std::size_t kCallers = 400;
/** More than the buffers of a connection hold. */
constexpr std::size_t kLargeBytes = std::size_t{ 12 } << 20U;
/** The stop's grace in the settings of the fleet's daemons. */
constexpr Duration kGrace = std::chrono::seconds(4);
/** Late enough that the requests' deadlines lie after the end of the process,
    and early enough that they are accepted. */
constexpr Duration kSentAfter = std::chrono::milliseconds(1800);

/** How the callers' requests ended. */
struct StopOutcome
{
  std::size_t mAnswered = 0;
  /** Those of mAnswered whose answer came late in the grace. */
  std::size_t mAnsweredLate = 0;
  std::size_t mWithoutAnswer = 0;
  int mExitCode = -1;
};

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

class StopEndTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StopEndTests);
  CPPUNIT_TEST(AnswersWhatIsInProgressBeforeItEnds);
  CPPUNIT_TEST(AnswersWhatIsInProgressWithAQuarterOfTheProcessor);
  CPPUNIT_TEST(AnswersWhatIsInProgressAfterAHoldUpBeforeTheEnd);
  CPPUNIT_TEST(AnswersWhatIsInProgressWhileItsSettingsChange);
  CPPUNIT_TEST(AnswersWhatIsInProgressWhenTheSignalIsHandledLate);
  CPPUNIT_TEST(AnswersWhatIsInProgressDuringSeriesOfHoldUps);
  CPPUNIT_TEST(WritesLargeAnswersToCallersThatReadLate);
  CPPUNIT_TEST(LeavesAnswersToCallersThatReadAfterItsEnd);
  CPPUNIT_TEST(EndsInTimeForCallersThatReadNothing);
  CPPUNIT_TEST(AnswersWhatCallersKeepSendingToOverloadedTargets);
  CPPUNIT_TEST_SUITE_END();

public:
  void AnswersWhatIsInProgressBeforeItEnds()
  {
    ForwarderFleet fleet;
    ExpectAnswers(StopWithRequests(fleet, [](TimePoint) {}));
  }

  void AnswersWhatIsInProgressWithAQuarterOfTheProcessor()
  {
    ForwarderFleet fleet;
    ExpectAnswers(StopWithRequests(fleet, [&](TimePoint aStop) {
      while (Now() < aStop + kGrace && !fleet.Daemon(0).HasEnded()) {
        fleet.Daemon(0).Freeze();
        boost::this_fiber::sleep_for(std::chrono::milliseconds(75));
        fleet.Daemon(0).Thaw();
        boost::this_fiber::sleep_for(std::chrono::milliseconds(25));
      }
    }));
  }

  /** Guards against a process that ends at its time although its last answers
      are due. */
  void AnswersWhatIsInProgressAfterAHoldUpBeforeTheEnd()
  {
    ForwarderFleet fleet;
    ExpectAnswers(StopWithRequests(fleet, [&](TimePoint aStop) {
      boost::this_fiber::sleep_until(aStop + kGrace -
                                     std::chrono::milliseconds(540));
      fleet.Daemon(0).Freeze();
      boost::this_fiber::sleep_for(std::chrono::milliseconds(200));
      fleet.Daemon(0).Thaw();
    }));
  }

  void AnswersWhatIsInProgressWhileItsSettingsChange()
  {
    ForwarderFleet fleet;
    const std::string file = fleet.SettingsFile(0);
    const std::string text = ReadWholeFile(file);
    std::size_t round = 0;
    ExpectAnswers(StopWithRequests(fleet, [&](TimePoint aStop) {
      while (Now() < aStop + kGrace && !fleet.Daemon(0).HasEnded()) {
        std::string next = text;
        const std::array<std::string, 3> graces{ "= 1", "= 4", "= 9" };
        const std::size_t grace = next.find("= 4\n");
        next.replace(grace, 3, graces.at(round % graces.size()));
        if (round % 2 == 1) {
          next.resize(round * 37 % next.size());
        }
        std::ofstream(file, std::ios::trunc) << next;
        fleet.Daemon(0).Reload();
        boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
        ++round;
      }
    }));
    CPPUNIT_ASSERT(round > 100);
  }

  /** Guards against a plan that is longer than the grace that is left. */
  void AnswersWhatIsInProgressWhenTheSignalIsHandledLate()
  {
    ForwarderFleet fleet;
    fleet.Daemon(0).Freeze();
    ExpectAnswers(StopWithRequests(
      fleet,
      [&](TimePoint aStop) {
        boost::this_fiber::sleep_until(aStop + std::chrono::milliseconds(1500));
        fleet.Daemon(0).Thaw();
        boost::this_fiber::sleep_until(aStop + kGrace);
        if (!fleet.Daemon(0).HasEnded()) {
          fleet.Daemon(0).Kill();
        }
      },
      std::chrono::milliseconds(2300)));
  }

  /** The daemon gets no processor when SIGTERM comes, then 25 of each 100 ms,
      and is killed at the end of its grace, as by the platform. */
  void AnswersWhatIsInProgressDuringSeriesOfHoldUps()
  {
    for (const unsigned heldUp : { 240U, 490U }) {
      ForwarderFleet fleet;
      fleet.Daemon(0).Freeze();
      ExpectAnswers(StopWithRequests(fleet, [&](TimePoint aStop) {
        boost::this_fiber::sleep_until(aStop +
                                       std::chrono::milliseconds(heldUp));
        while (Now() < aStop + kGrace && !fleet.Daemon(0).HasEnded()) {
          fleet.Daemon(0).Thaw();
          boost::this_fiber::sleep_for(std::chrono::milliseconds(25));
          fleet.Daemon(0).Freeze();
          boost::this_fiber::sleep_for(std::chrono::milliseconds(75));
        }
        if (!fleet.Daemon(0).HasEnded()) {
          fleet.Daemon(0).Kill();
        }
      }));
    }
  }

  /** Guards against answers that are cut off although there was time to write
      them. */
  void WritesLargeAnswersToCallersThatReadLate()
  {
    ForwarderFleet fleet;
    const auto callers = AskForLargeAnswers(fleet);
    const TimePoint stop = Now();
    fleet.Daemon(0).Terminate();
    boost::this_fiber::sleep_until(stop + kGrace -
                                   std::chrono::milliseconds(290));
    std::size_t complete = 0;
    for (const auto& caller : callers) {
      complete += caller->Receive(kLargeBytes).size() == kLargeBytes ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(callers.size(), complete);
    CPPUNIT_ASSERT_EQUAL(0, fleet.Daemon(0).WaitForExit());
  }

  /** Guards against a reset at the end of the process, which destroys answers
      that the kernel still sends. */
  void LeavesAnswersToCallersThatReadAfterItsEnd()
  {
    constexpr std::size_t kBytes = 200'000;
    ForwarderFleet fleet;
    const auto callers = AskForAnswers(fleet, kBytes);
    for (std::size_t caller = 0; caller < callers.size(); ++caller) {
      callers[caller]->Send("GET /one/x HTTP/1.1\r\nHost: host.example\r\n"
                            "Wasabispread-Request-Id: second-" +
                            std::to_string(caller) + "\r\n\r\n");
    }
    fleet.Daemon(0).Terminate();
    AwaitCondition([&] { return fleet.Daemon(0).HasEnded(); }, "it ends");
    CPPUNIT_ASSERT_EQUAL(0, fleet.Daemon(0).WaitForExit());
    std::size_t complete = 0;
    for (const auto& caller : callers) {
      complete += caller->Receive(2 * kBytes).size() == 2 * kBytes ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(callers.size(), complete);
  }

  void EndsInTimeForCallersThatReadNothing()
  {
    ForwarderFleet fleet;
    const auto callers = AskForLargeAnswers(fleet);
    fleet.Daemon(0).Terminate();
    CPPUNIT_ASSERT_EQUAL(0, fleet.Daemon(0).WaitForExit());
    for (const auto& record : fleet.LogRecords(0)) {
      if (record.value("event", "") == "stopped") {
        CPPUNIT_ASSERT_EQUAL(callers.size(),
                             record.value("connections", std::size_t{ 0 }));
        const std::chrono::duration<double, std::milli> took(
          record.value("took_ms", 0.0));
        CPPUNIT_ASSERT(took < kGrace);
        return;
      }
    }
    CPPUNIT_FAIL("the daemon logged no stop");
  }

  void AnswersWhatCallersKeepSendingToOverloadedTargets()
  {
    constexpr std::size_t kSenders = 300;
    constexpr Duration kSlack = std::chrono::milliseconds(200);
    ForwarderFleet fleet;
    for (const char* name : { "one-a", "one-b", "once-a", "once-b" }) {
      fleet.Target(name).mSlots = 1;
      fleet.Target(name).mServiceTime = std::chrono::milliseconds(40);
      fleet.Register(fleet.Target(name));
    }
    std::size_t answered = 0;
    std::size_t crossed = 0;
    std::size_t ranWithoutAnswer = 0;
    std::size_t lateWithoutAnswer = 0;
    std::size_t connections = 0;
    TimePoint stop = TimePoint::max();
    RunConcurrently(kSenders + 1, [&](std::size_t aFiber) {
      if (aFiber == kSenders) {
        boost::this_fiber::sleep_for(std::chrono::seconds(1));
        stop = Now();
        fleet.Daemon(0).Terminate();
        return;
      }
      bool isOpen = true;
      while (isOpen) {
        HttpConnection connection(TestLoop());
        isOpen =
          connection.Connect(fleet.CallerEndpoint(0), std::chrono::seconds(1))
            .has_value();
        connections += isOpen ? 1 : 0;
        bool isKept = isOpen;
        while (isKept) {
          ForwarderRequest request;
          request.mPath = aFiber % 3 == 0 ? "/once/x" : "/one/x";
          request.mTimeoutMs = aFiber % 2 == 0 ? "300" : "1500";
          const TimePoint sent = Now();
          const ForwarderReply reply = fleet.SendRequestOn(connection, request);
          isKept = reply.mResponse && reply.mResponse->mKeepAlive;
          const bool hasRun = fleet.CountRuns(reply.mRequestId) != 0;
          const bool isLate = Now() > sent + kSlack;
          answered += reply.mResponse ? 1 : 0;
          crossed += reply.mResponse ? 0 : 1;
          ranWithoutAnswer += !reply.mResponse && hasRun ? 1 : 0;
          lateWithoutAnswer += !reply.mResponse && isLate ? 1 : 0;
          boost::this_fiber::sleep_for(std::chrono::milliseconds(aFiber % 50));
        }
      }
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, ranWithoutAnswer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, lateWithoutAnswer);
    CPPUNIT_ASSERT(answered > 10 * kSenders);
    CPPUNIT_ASSERT_EQUAL(0, fleet.Daemon(0).WaitForExit());
  }

private:
  static std::vector<std::unique_ptr<RawConnection>> AskForLargeAnswers(
    ForwarderFleet& aFleet)
  {
    return AskForAnswers(aFleet, kLargeBytes);
  }

  /** Sends requests whose answers have more than aBytes, and reads nothing. */
  static std::vector<std::unique_ptr<RawConnection>> AskForAnswers(
    ForwarderFleet& aFleet,
    std::size_t aBytes)
  {
    constexpr std::size_t kLargeCallers = 4;
    for (const char* name : { "one-a", "one-b" }) {
      aFleet.Target(name).mExtraBodyBytes = aBytes;
    }
    std::vector<std::unique_ptr<RawConnection>> callers;
    for (std::size_t caller = 0; caller < kLargeCallers; ++caller) {
      callers.push_back(
        std::make_unique<RawConnection>(aFleet.CallerEndpoint(0)));
      callers.back()->Send("GET /one/x HTTP/1.1\r\nHost: host.example\r\n"
                           "Wasabispread-Request-Id: large-" +
                           std::to_string(caller) + "\r\n\r\n");
      boost::this_fiber::sleep_for(std::chrono::milliseconds(300));
    }
    return callers;
  }

  /** Stops a daemon that has requests in progress at targets that do not reply;
      calls aDisturb meanwhile with the time of the stop. */
  static StopOutcome StopWithRequests(
    ForwarderFleet& aFleet,
    const std::function<void(TimePoint)>& aDisturb,
    Duration aSentAfter = kSentAfter)
  {
    aFleet.SetFault("one", TargetFault::kNeverReplies);
    for (std::size_t shard = 0; shard < 4; ++shard) {
      aFleet.SetFault("shard-" + std::to_string(shard),
                      TargetFault::kNeverReplies);
    }
    std::vector<std::unique_ptr<HttpConnection>> connections;
    for (std::size_t caller = 0; caller < kCallers; ++caller) {
      connections.push_back(std::make_unique<HttpConnection>(TestLoop()));
      CPPUNIT_ASSERT(connections.back()->Connect(aFleet.CallerEndpoint(0),
                                                 std::chrono::seconds(1)));
    }
    const TimePoint stop = Now();
    aFleet.Daemon(0).Terminate();
    StopOutcome outcome;
    RunConcurrently(kCallers + 1, [&](std::size_t aFiber) {
      if (aFiber == kCallers) {
        aDisturb(stop);
        return;
      }
      boost::this_fiber::sleep_until(stop + aSentAfter);
      ForwarderRequest request;
      request.mPath = aFiber % 2 == 0 ? "/one/x" : "/search/x";
      const ForwarderReply reply =
        aFleet.SendRequestOn(*connections[aFiber], request);
      const bool isLate = Now() > stop + kGrace * 3 / 4;
      outcome.mAnswered += reply.mResponse ? 1 : 0;
      outcome.mAnsweredLate += reply.mResponse && isLate ? 1 : 0;
      outcome.mWithoutAnswer += reply.mResponse ? 0 : 1;
    });
    outcome.mExitCode = aFleet.Daemon(0).WaitForExit();
    return outcome;
  }

  static void ExpectAnswers(const StopOutcome& aOutcome)
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, aOutcome.mWithoutAnswer);
    CPPUNIT_ASSERT(aOutcome.mAnsweredLate > kCallers / 2);
    CPPUNIT_ASSERT_EQUAL(0, aOutcome.mExitCode);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopEndTests);
