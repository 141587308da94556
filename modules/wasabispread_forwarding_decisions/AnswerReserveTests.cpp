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
constexpr TimePoint kNow{ std::chrono::seconds(1000) };

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
  CPPUNIT_TEST(ForgetsDelaysThatAreLongAgo);
  CPPUNIT_TEST(EstimatesMoreForSmallerProcessorShares);
  CPPUNIT_TEST(AnswersEarlierWhenAnswersAreWrittenLate);
  CPPUNIT_TEST(KeepsMostOfTheSoftTimeoutForTheShards);
  CPPUNIT_TEST(IgnoresAnswersThatWaitedForTheMinimumCoverage);
  CPPUNIT_TEST(LeavesTimeForTheTargetsAfterAHoldUp);
  CPPUNIT_TEST(LeavesTimeForTheTargetsWhenAnswersAreWrittenVeryLate);
  CPPUNIT_TEST_SUITE_END();

public:
  void CoversNineOfTenDelays()
  {
    DelayWindow window = MakeDelayWindow(Duration::zero());
    for (int delay = 1; delay <= 32; ++delay) {
      AddDelay(window, Milliseconds(delay), kNow);
    }
    const Duration covered = HighDelay(window, kNow);
    CPPUNIT_ASSERT(covered >= Milliseconds(27));
    CPPUNIT_ASSERT(covered <= Milliseconds(30));
  }

  void ForgetsOldDelays()
  {
    DelayWindow window = MakeDelayWindow(Milliseconds(100));
    for (int sample = 0; sample < 40; ++sample) {
      AddDelay(window, Milliseconds(2), kNow);
    }
    CPPUNIT_ASSERT(HighDelay(window, kNow) == Milliseconds(2));
  }

  // Guards against delays that count for good where nothing is measured after
  // them.
  void ForgetsDelaysThatAreLongAgo()
  {
    DelayWindow window = MakeDelayWindow(Milliseconds(3));
    for (int sample = 0; sample < 40; ++sample) {
      AddDelay(window, Milliseconds(100), kNow);
    }
    CPPUNIT_ASSERT(HighDelay(window, kNow) == Milliseconds(100));
    CPPUNIT_ASSERT(HighDelay(window, kNow + std::chrono::minutes(1)) ==
                   Milliseconds(3));
  }

  void EstimatesMoreForSmallerProcessorShares()
  {
    const AnswerReserve large = MakeAnswerReserve(1);
    const AnswerReserve small = MakeAnswerReserve(0.12);
    CPPUNIT_ASSERT(ReserveForAnswer(small, 180, kNow) >
                   ReserveForAnswer(large, 180, kNow));
    CPPUNIT_ASSERT(ReserveForAnswer(small, 180, kNow) >
                   ReserveForAnswer(small, 20, kNow));
    CPPUNIT_ASSERT(ReserveForReport(small, true, kNow) >
                   ReserveForReport(large, true, kNow));
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
    const DelayWindow& delays = forwarder.mState.mAnswerReserve.mAnswerPerUnit;
    const Duration before = HighDelay(delays, forwarder.mNow);
    for (int search = 0; search < 32; ++search) {
      const CallerToken token = forwarder.Ask("/search/x");
      forwarder.RunFor(Milliseconds(300));
      CPPUNIT_ASSERT(forwarder.AnswerTo(token) == nullptr);
      ReplyToAllButTheLast(forwarder);
      CPPUNIT_ASSERT(forwarder.AnswerTo(token) != nullptr);
      forwarder.Deliver(AnswerWritten{ token });
      forwarder.RunFor(Milliseconds(800));
    }
    CPPUNIT_ASSERT(HighDelay(delays, forwarder.mNow) <= before);
  }

  // Guards against a hold-up of the process that is measured as if answers took
  // that long to write: the reserve then took the whole time of each search, no
  // target was asked and nothing more was measured.
  void LeavesTimeForTheTargetsAfterAHoldUp()
  {
    ForwarderHarness forwarder;
    Start(forwarder);
    std::vector<CallerToken> tokens;
    for (int search = 0; search < 8; ++search) {
      tokens.push_back(forwarder.Ask("/search/x", std::chrono::seconds(1)));
      ReplyToAllButTheLast(forwarder);
      forwarder.RunFor(Milliseconds(5));
    }
    forwarder.mNow += Milliseconds(1500);
    forwarder.RunFor(Duration::zero());
    for (const CallerToken token : tokens) {
      CPPUNIT_ASSERT(forwarder.AnswerTo(token) != nullptr);
      forwarder.Deliver(AnswerWritten{ token });
    }
    forwarder.RunFor(Milliseconds(3000));
    CPPUNIT_ASSERT(ReserveForAnswer(forwarder.mState.mAnswerReserve,
                                    kShards,
                                    forwarder.mNow) < Milliseconds(20));
    CPPUNIT_ASSERT(IsServed(forwarder));
  }

  // Guards against a reserve that takes all of a caller's time, whatever was
  // measured.
  void LeavesTimeForTheTargetsWhenAnswersAreWrittenVeryLate()
  {
    ForwarderHarness forwarder;
    Start(forwarder);
    AnswerReserve& reserve = forwarder.mState.mAnswerReserve;
    for (int sample = 0; sample < 32; ++sample) {
      AddDelay(reserve.mAnswerPerUnit, Milliseconds(500), forwarder.mNow);
    }
    CPPUNIT_ASSERT(IsServed(forwarder));
  }

private:
  /** Whether a search reaches the targets and is answered with what they
      reply. */
  static bool IsServed(ForwarderHarness& aForwarder)
  {
    const CallerToken token =
      aForwarder.Ask("/search/x", std::chrono::seconds(1));
    if (aForwarder.AnswerTo(token) == nullptr) {
      ReplyToAllButTheLast(aForwarder);
      aForwarder.RunFor(Milliseconds(900));
    }
    const CallerAnswer* answer = aForwarder.AnswerTo(token);
    return answer != nullptr && !std::holds_alternative<Problem>(*answer);
  }

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
