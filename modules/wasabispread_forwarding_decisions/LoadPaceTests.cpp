/*
 * Tests of the bound on a target's rate.
 */
#include <wasabispread_forwarding_decisions/wasabispread_forwarding_decisions.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;

class LoadPaceTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LoadPaceTests);
  CPPUNIT_TEST(MeasuresTheRate);
  CPPUNIT_TEST(StaysBelowTheBoundAtAnyDemand);
  CPPUNIT_TEST(EndsByItself);
  CPPUNIT_TEST(SlowsDownAfterRefusals);
  CPPUNIT_TEST_SUITE_END();

public:
  static constexpr TimePoint kStart{ std::chrono::seconds(100) };

  /** Sends whenever the bound allows it, at most every aInterval; returns the
      number of requests. */
  static unsigned SendFor(LoadPace& aPace,
                          SendRate& aRate,
                          TimePoint aFrom,
                          Duration aTime,
                          Duration aInterval)
  {
    unsigned sent = 0;
    for (TimePoint now = aFrom; now < aFrom + aTime; now += aInterval) {
      if (WaitForPace(aPace, now) == Duration::zero()) {
        CountSent(aRate, aPace, now);
        ++sent;
      }
    }
    return sent;
  }

  void MeasuresTheRate()
  {
    SendRate rate;
    LoadPace none;
    TimePoint now = kStart;
    for (const Duration time : { Duration(std::chrono::seconds(1)),
                                 Duration(std::chrono::seconds(9)) }) {
      SendFor(none, rate, now, time, std::chrono::milliseconds(20));
      now += time;
      const double measured = RateAt(rate, now);
      CPPUNIT_ASSERT(measured > 45 && measured < 55);
    }
    CPPUNIT_ASSERT(RateAt(rate, now + std::chrono::seconds(10)) < 1);
  }

  /** Guards against a bound that bursts, or low rates, get past. */
  void StaysBelowTheBoundAtAnyDemand()
  {
    CPPUNIT_ASSERT(
      rc::check("the load of one second is at most what the bound allows", [] {
        const double usual = *rc::gen::inRange(0, 400) / 2.0;
        const auto interval =
          std::chrono::milliseconds(*rc::gen::inRange(1, 300));
        const auto after =
          std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
        LoadPace pace;
        SendRate rate;
        BeginTakeover(pace, usual, kStart);
        SendFor(pace, rate, kStart, after, interval);
        const unsigned sent = SendFor(
          pace, rate, kStart + after, std::chrono::seconds(1), interval);
        const double seconds = std::chrono::duration<double>(after).count();
        const double bound =
          std::max(2.0, usual) * (1.25 + 0.5 * (seconds + 1));
        RC_ASSERT(sent <= bound * 1.2 + 3);
        // What the bound allows is sent when there is demand for it.
        const double demand = 1000.0 / static_cast<double>(interval.count());
        RC_ASSERT(sent + 2 >= std::min(demand, std::max(2.0, usual)) * 0.8);
      }));
  }

  void EndsByItself()
  {
    LoadPace pace;
    SendRate rate;
    BeginReturn(pace, 10, kStart);
    const TimePoint later = kStart + std::chrono::seconds(8);
    CPPUNIT_ASSERT_EQUAL(1000U,
                         SendFor(pace,
                                 rate,
                                 later,
                                 std::chrono::seconds(1),
                                 std::chrono::milliseconds(1)));
  }

  void SlowsDownAfterRefusals()
  {
    LoadPace pace;
    SendRate rate;
    BeginTakeover(pace, 100, kStart);
    const TimePoint later = kStart + std::chrono::seconds(1);
    for (unsigned count = 0; count < 3; ++count) {
      RecordRefusal(pace, later);
    }
    const unsigned sent = SendFor(
      pace, rate, later, std::chrono::seconds(1), std::chrono::milliseconds(1));
    CPPUNIT_ASSERT(sent < 140);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPaceTests);
