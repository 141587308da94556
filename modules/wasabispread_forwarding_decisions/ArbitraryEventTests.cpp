/*
 * Tests that each request gets one answer in time, and that nothing is sent
 * that must not be, whatever events arrive in whatever order.
 */
#include <tests/support/ForwarderSimulation.h>
#include <tests/support/SeededCheck.h>

#include <cstdlib>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

/** A number from the environment, for longer runs by hand. */
std::uint64_t
NumberFrom(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::stoull(text);
}

} // namespace

class ArbitraryEventTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ArbitraryEventTests);
  CPPUNIT_TEST(AnswersEachRequestOnceAndInTime);
  CPPUNIT_TEST_SUITE_END();

public:
  void AnswersEachRequestOnceAndInTime()
  {
    constexpr std::uint64_t kSeed = 20261206;
    constexpr std::uint64_t kCases = 150;
    constexpr std::size_t kSteps = 1500;
    SimulationCounts all;
    const bool holds = SeededCheck(
      "each request is answered once and in time",
      NumberFrom("WASABISPREAD_EVENT_SEED", kSeed),
      static_cast<int>(NumberFrom("WASABISPREAD_EVENT_CASES", kCases)),
      [&all] {
        ForwarderSimulation simulation(*rc::gen::noShrink(rc::gen::resize(
          rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>())));
        simulation.Run(kSteps);
        all.Add(simulation.Counts());
      });
    std::cerr << all.Text() << std::endl;
    CPPUNIT_ASSERT(holds);
    // The runs reach the cases that the checks are for.
    CPPUNIT_ASSERT(all.mReplied > kCases && all.mNotRun > kCases);
    CPPUNIT_ASSERT(all.mTimedOut > kCases && all.mLateTicks > kCases);
    CPPUNIT_ASSERT(all.mSubSearches > kCases && all.mFailed > kCases);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArbitraryEventTests);
