/*
 * Tests that a real daemon answers what it reads and ends in its grace,
 * whenever the signal comes and whatever callers send until the end.
 */
#include "ForwarderFleet.h"

#include <tests/processes/RawConnection.h>

#include <algorithm>
#include <iostream>
#include <sstream>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

/** The stop's grace in the settings of the fleet's daemons. */
constexpr Duration kGrace = std::chrono::seconds(4);

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

std::string
HeadOf(const std::string& aMethod, const std::string& aId)
{
  return aMethod +
         " /one/x HTTP/1.1\r\nHost: host.example\r\n"
         "Wasabispread-Request-Id: " +
         aId + "\r\nWasabispread-Request-Deadline-Ms: 1000\r\n";
}

std::size_t
CountAnswers(const std::string& aReceived)
{
  std::size_t count = 0;
  for (std::size_t at = aReceived.find("HTTP/1.1 "); at != std::string::npos;
       at = aReceived.find("HTTP/1.1 ", at + 1)) {
    ++count;
  }
  return count;
}

/** A caller that sends requests or the bytes of one, without reading first. */
struct SteadyCaller
{
  explicit SteadyCaller(const Endpoint& aAddress)
    : mConnection(aAddress)
  {
  }

  bool Read()
  {
    mReceived += mConnection.ReceiveArrived();
    return !mConnection.HasEnded();
  }

  RawConnection mConnection;
  std::string mReceived;
  std::vector<std::string> mIds;
};

} // namespace

class StopMomentTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StopMomentTests);
  CPPUNIT_TEST(EndsInItsGraceWhenTheSignalIsHandledLate);
  CPPUNIT_TEST(EndsInItsGraceWithAQuotaOfTheProcessor);
  CPPUNIT_TEST(AnswersPipelinedRequestsUntilItEnds);
  CPPUNIT_TEST(AnswersSlowBodiesUntilItEnds);
  CPPUNIT_TEST(AnswersWhenSignalledAtAnyMomentOfItsStart);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Guards against a plan that is longer than the grace that is left after a
      short hold-up. */
  void EndsInItsGraceWhenTheSignalIsHandledLate()
  {
    Duration worst{};
    for (const unsigned heldUp : { 240U, 400U, 490U }) {
      ForwarderFleet fleet(kDaemons);
      const auto unfinished = BeginRequests(fleet);
      boost::this_fiber::sleep_for(std::chrono::milliseconds(heldUp));
      ForEach(fleet, [](ChildProcess& aDaemon) { aDaemon.Freeze(); });
      const TimePoint sent = Now();
      ForEach(fleet, [](ChildProcess& aDaemon) { aDaemon.Terminate(); });
      boost::this_fiber::sleep_until(sent + std::chrono::milliseconds(heldUp));
      ForEach(fleet, [](ChildProcess& aDaemon) { aDaemon.Thaw(); });
      const Duration last = AwaitEnds(fleet, sent);
      Print("held up for " + std::to_string(heldUp) + " ms", last);
      worst = std::max(worst, last);
      for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
        CPPUNIT_ASSERT(LoggedGrace(fleet, daemon) <=
                       kGrace - std::chrono::milliseconds(heldUp));
      }
    }
    CPPUNIT_ASSERT(worst < kGrace);
  }

  void EndsInItsGraceWithAQuotaOfTheProcessor()
  {
    ForwarderFleet fleet(kDaemons);
    const auto unfinished = BeginRequests(fleet);
    bool isOver = false;
    Duration last{};
    RunConcurrently(2, [&](std::size_t aFiber) {
      if (aFiber == 0) {
        boost::this_fiber::sleep_for(std::chrono::milliseconds(480));
        const TimePoint sent = Now();
        ForEach(fleet, [](ChildProcess& aDaemon) { aDaemon.Terminate(); });
        last = AwaitEnds(fleet, sent);
        isOver = true;
        return;
      }
      while (!isOver) {
        ForEach(fleet, [](ChildProcess& aDaemon) { aDaemon.Freeze(); });
        boost::this_fiber::sleep_for(std::chrono::milliseconds(75));
        ForEach(fleet, [](ChildProcess& aDaemon) { aDaemon.Thaw(); });
        boost::this_fiber::sleep_for(std::chrono::milliseconds(25));
      }
    });
    Print("with a quota", last);
    CPPUNIT_ASSERT(last < kGrace);
  }

  void AnswersPipelinedRequestsUntilItEnds()
  {
    constexpr std::size_t kBatch = 4;
    ForwarderFleet fleet;
    auto callers = MakeCallers(fleet, 20);
    const TimePoint stop = Now();
    fleet.Daemon(0).Terminate();
    RunConcurrently(callers.size(), [&](std::size_t aFiber) {
      SteadyCaller& caller = *callers[aFiber];
      while (caller.Read()) {
        std::string batch;
        for (std::size_t request = 0; request < kBatch; ++request) {
          caller.mIds.push_back("p" + std::to_string(aFiber) + "-" +
                                std::to_string(caller.mIds.size()));
          batch += HeadOf("GET", caller.mIds.back()) + "\r\n";
        }
        caller.mConnection.Send(batch);
        boost::this_fiber::sleep_for(std::chrono::milliseconds(3));
      }
    });
    Print("pipelined requests", Now() - stop);
    ExpectAnswersToWhatRan(fleet, callers);
    CPPUNIT_ASSERT_EQUAL(0, fleet.Daemon(0).WaitForExit());
  }

  /** Each caller's body ends at another moment of the stop. */
  void AnswersSlowBodiesUntilItEnds()
  {
    constexpr std::size_t kCallers = 200;
    constexpr Duration kStep = std::chrono::milliseconds(20);
    constexpr Duration kSlack = std::chrono::milliseconds(200);
    ForwarderFleet fleet;
    auto callers = MakeCallers(fleet, kCallers);
    std::vector<TimePoint> sent(kCallers, TimePoint::max());
    const TimePoint stop = Now();
    fleet.Daemon(0).Terminate();
    std::size_t late = 0;
    std::size_t complete = 0;
    RunConcurrently(kCallers, [&](std::size_t aFiber) {
      SteadyCaller& caller = *callers[aFiber];
      const std::size_t steps = aFiber + 1;
      caller.mIds.push_back("b" + std::to_string(aFiber));
      caller.mConnection.Send(HeadOf("POST", caller.mIds.back()) +
                              "Content-Length: " + std::to_string(steps) +
                              "\r\n\r\n");
      for (std::size_t step = 0; step < steps && caller.Read(); ++step) {
        boost::this_fiber::sleep_until(stop + kStep * step);
        caller.mConnection.Send("x");
        sent[aFiber] = step + 1 == steps ? Now() : TimePoint::max();
      }
      while (caller.Read()) {
        boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
      }
      const bool isWhole = sent[aFiber] != TimePoint::max();
      complete += isWhole ? 1 : 0;
      late +=
        isWhole && caller.mReceived.empty() && Now() > sent[aFiber] + kSlack
          ? 1
          : 0;
    });
    std::cout << complete << " bodies were sent whole, " << late
              << " of these without an answer" << std::endl;
    CPPUNIT_ASSERT(complete > kCallers / 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, late);
    ExpectAnswersToWhatRan(fleet, callers);
    CPPUNIT_ASSERT_EQUAL(0, fleet.Daemon(0).WaitForExit());
  }

  void AnswersWhenSignalledAtAnyMomentOfItsStart()
  {
    constexpr unsigned kStarts = 60;
    ForwarderFleet fleet;
    std::size_t asked = 0;
    std::size_t answered = 0;
    for (unsigned start = 0; start < kStarts; ++start) {
      fleet.Daemon(0).Kill();
      const TimePoint begin = Now();
      fleet.StartDaemon(0);
      bool isSignalled = false;
      std::unique_ptr<RawConnection> caller;
      while (caller == nullptr && !fleet.Daemon(0).HasEnded()) {
        if (!isSignalled && Now() > begin + std::chrono::milliseconds(start)) {
          isSignalled = true;
          fleet.Daemon(0).Terminate();
          fleet.Daemon(0).Terminate();
          fleet.Daemon(0).Interrupt();
          fleet.Daemon(0).Reload();
        }
        try {
          caller = std::make_unique<RawConnection>(fleet.CallerEndpoint(0));
        } catch (const std::runtime_error&) {
          // The port is not open yet.
        }
      }
      if (caller == nullptr) {
        continue;
      }
      ++asked;
      caller->Send(HeadOf("GET", "s" + std::to_string(start)) + "\r\n");
      fleet.Daemon(0).Terminate();
      fleet.Daemon(0).Reload();
      const TimePoint until = Now() + kGrace;
      std::string received;
      while (received.empty() && Now() < until && !caller->HasEnded()) {
        boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
        received = caller->ReceiveArrived();
      }
      answered += received.empty() ? 0 : 1;
    }
    std::cout << answered << " of " << asked << " requests answered"
              << std::endl;
    CPPUNIT_ASSERT(asked > kStarts / 4);
    CPPUNIT_ASSERT_EQUAL(asked, answered);
  }

private:
  static constexpr std::size_t kDaemons = 8;
  using Callers = std::vector<std::unique_ptr<SteadyCaller>>;

  static Callers MakeCallers(const ForwarderFleet& aFleet, std::size_t aCount)
  {
    Callers callers;
    while (callers.size() < aCount) {
      callers.push_back(
        std::make_unique<SteadyCaller>(aFleet.CallerEndpoint(0)));
    }
    return callers;
  }

  /** A request to each daemon whose body never ends. */
  static Callers BeginRequests(const ForwarderFleet& aFleet)
  {
    Callers callers;
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      callers.push_back(
        std::make_unique<SteadyCaller>(aFleet.CallerEndpoint(daemon)));
      callers.back()->mConnection.Send(HeadOf("POST", "u") +
                                       "Content-Length: 10\r\n\r\nx");
    }
    return callers;
  }

  static void ForEach(ForwarderFleet& aFleet,
                      const std::function<void(ChildProcess&)>& aAction)
  {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      aAction(aFleet.Daemon(daemon));
    }
  }

  /** Waits for the ends of all daemons, and returns how long after aSince the
      last one was. */
  static Duration AwaitEnds(ForwarderFleet& aFleet, TimePoint aSince)
  {
    AwaitCondition(
      [&] {
        bool haveEnded = true;
        ForEach(aFleet, [&](ChildProcess& aDaemon) {
          haveEnded = aDaemon.HasEnded() && haveEnded;
        });
        return haveEnded;
      },
      "the daemons end");
    return Now() - aSince;
  }

  /** The grace that was left when the daemon handled the signal. */
  static std::chrono::duration<double, std::milli> LoggedGrace(
    const ForwarderFleet& aFleet,
    std::size_t aDaemon)
  {
    for (const auto& record : aFleet.LogRecords(aDaemon)) {
      if (record.value("event", "") == "stopping") {
        return std::chrono::duration<double, std::milli>(
          record.at("grace_ms").get<double>());
      }
    }
    throw std::runtime_error("the daemon logged no stop");
  }

  static void Print(const std::string& aWhat, Duration aTime)
  {
    std::cout
      << aWhat << ": ended "
      << std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count()
      << " ms after SIGTERM" << std::endl;
  }

  static void ExpectAnswersToWhatRan(const ForwarderFleet& aFleet,
                                     const Callers& aCallers)
  {
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t ranWithoutAnswer = 0;
    for (const auto& caller : aCallers) {
      const std::size_t answers = CountAnswers(caller->mReceived);
      sent += caller->mIds.size();
      answered += answers;
      for (std::size_t index = answers; index < caller->mIds.size(); ++index) {
        ranWithoutAnswer += aFleet.CountRuns(caller->mIds[index]) != 0 ? 1 : 0;
      }
    }
    std::cout << sent << " requests, " << answered << " answers, "
              << ranWithoutAnswer << " ran without an answer" << std::endl;
    CPPUNIT_ASSERT(answered > aCallers.size() / 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, ranWithoutAnswer);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopMomentTests);
