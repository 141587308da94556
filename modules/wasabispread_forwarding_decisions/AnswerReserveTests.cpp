/*
 * Tests of the time that a VM keeps in reserve before an answer is due.
 */
#include <tests/support/ForwarderHarness.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

namespace {

constexpr std::size_t kShards = 10;

Duration
Milliseconds(std::int64_t aCount)
{
  return std::chrono::milliseconds(aCount);
}

} // namespace

class AnswerReserveTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AnswerReserveTests);
  CPPUNIT_TEST(CoversNineOfTenDelays);
  CPPUNIT_TEST(ForgetsOldDelays);
  CPPUNIT_TEST(EstimatesMoreForSmallerProcessorShares);
  CPPUNIT_TEST(AnswersEarlierWhenAnswersAreWrittenLate);
  CPPUNIT_TEST(KeepsMostOfTheSoftTimeoutForTheShards);
  CPPUNIT_TEST(IgnoresAnswersThatWaitedForTheMinimumCoverage);
  CPPUNIT_TEST_SUITE_END();

public:
  void CoversNineOfTenDelays()
  {
    DelayWindow window = MakeDelayWindow(Duration::zero());
    for (int delay = 1; delay <= 32; ++delay) {
      AddDelay(window, Milliseconds(delay));
    }
    const Duration covered = HighDelay(window);
    CPPUNIT_ASSERT(covered >= Milliseconds(27));
    CPPUNIT_ASSERT(covered <= Milliseconds(30));
  }

  void ForgetsOldDelays()
  {
    DelayWindow window = MakeDelayWindow(Milliseconds(100));
    for (int sample = 0; sample < 40; ++sample) {
      AddDelay(window, Milliseconds(2));
    }
    CPPUNIT_ASSERT(HighDelay(window) == Milliseconds(2));
  }

  void EstimatesMoreForSmallerProcessorShares()
  {
    const AnswerReserve large = MakeAnswerReserve(1);
    const AnswerReserve small = MakeAnswerReserve(0.12);
    CPPUNIT_ASSERT(ReserveForAnswer(small, 180) > ReserveForAnswer(large, 180));
    CPPUNIT_ASSERT(ReserveForAnswer(small, 180) > ReserveForAnswer(small, 20));
    CPPUNIT_ASSERT(ReserveForReport(small, true) >
                   ReserveForReport(large, true));
  }

  void AnswersEarlierWhenAnswersAreWrittenLate()
  {
    ForwarderHarness forwarder;
    Start(forwarder);
    const Duration before = TimeOfPartialAnswer(forwarder, Milliseconds(20));
    Duration after = before;
    for (int search = 0; search < 32; ++search) {
      after = TimeOfPartialAnswer(forwarder, Milliseconds(20));
    }
    CPPUNIT_ASSERT(before - after >= Milliseconds(12));
  }

  void KeepsMostOfTheSoftTimeoutForTheShards()
  {
    ForwarderHarness forwarder;
    Start(forwarder);
    Duration taken{};
    for (int search = 0; search < 40; ++search) {
      taken = TimeOfPartialAnswer(forwarder, Milliseconds(500));
    }
    CPPUNIT_ASSERT(taken >= Milliseconds(120 * 3 / 4 - 20));
  }

  void IgnoresAnswersThatWaitedForTheMinimumCoverage()
  {
    ForwarderHarness forwarder;
    Start(forwarder);
    const Duration before =
      HighDelay(forwarder.mState.mAnswerReserve.mAnswerPerUnit);
    for (int search = 0; search < 32; ++search) {
      const CallerToken token = forwarder.Ask("/search/x");
      forwarder.RunFor(Milliseconds(300));
      CPPUNIT_ASSERT(forwarder.AnswerTo(token) == nullptr);
      ReplyToAllButTheLast(forwarder);
      CPPUNIT_ASSERT(forwarder.AnswerTo(token) != nullptr);
      forwarder.Deliver(AnswerWritten{ token });
      forwarder.RunFor(Milliseconds(800));
    }
    CPPUNIT_ASSERT(HighDelay(forwarder.mState.mAnswerReserve.mAnswerPerUnit) <=
                   before);
  }

private:
  static void Start(ForwarderHarness& aForwarder)
  {
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      const std::string name = "shard-" + std::to_string(shard);
      aForwarder.AddTarget(name, name);
    }
    aForwarder.Configure({ SearchRoute(kShards, 0.9) });
    aForwarder.RunFor(std::chrono::seconds(2));
  }

  static void ReplyToAllButTheLast(ForwarderHarness& aForwarder)
  {
    for (std::size_t shard = 0; shard + 1 < kShards; ++shard) {
      aForwarder.Reply("shard-" + std::to_string(shard), ReplyKind::kSuccess);
    }
  }

  /** Runs a search of which one shard does not reply, and writes its answer
      aWriteDelay after it was decided; returns how long the decision took. */
  static Duration TimeOfPartialAnswer(ForwarderHarness& aForwarder,
                                      Duration aWriteDelay)
  {
    const TimePoint asked = aForwarder.mNow;
    const CallerToken token = aForwarder.Ask("/search/x");
    ReplyToAllButTheLast(aForwarder);
    while (aForwarder.AnswerTo(token) == nullptr) {
      aForwarder.RunFor(std::chrono::microseconds(500));
    }
    const Duration taken = aForwarder.mNow - asked;
    aForwarder.RunFor(aWriteDelay);
    aForwarder.Deliver(AnswerWritten{ token });
    aForwarder.RunFor(std::chrono::seconds(1));
    return taken;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerReserveTests);
