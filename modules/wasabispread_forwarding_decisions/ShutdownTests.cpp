/*
 * Tests of which requests a stopping VM accepts and how it ends the others.
 */
#include <tests/support/ForwarderHarness.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

namespace {

constexpr Duration kGrace = std::chrono::seconds(6);
constexpr Duration kLongTimeout = std::chrono::seconds(4);

const Problem&
ProblemOf(const ForwarderHarness& aForwarder, CallerToken aToken)
{
  const CallerAnswer* answer = aForwarder.AnswerTo(aToken);
  CPPUNIT_ASSERT(answer != nullptr);
  CPPUNIT_ASSERT(std::holds_alternative<Problem>(*answer));
  return std::get<Problem>(*answer);
}

} // namespace

class ShutdownTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ShutdownTests);
  CPPUNIT_TEST(RefusesLateInTheGraceWhatMayOutliveTheProcess);
  CPPUNIT_TEST(AnswersEveryRequestBeforeTheProcessEnds);
  CPPUNIT_TEST(StatesNotRunOnlyForRequestsThatWereNotSent);
  CPPUNIT_TEST(AnswersSearchesInPartBeforeTheProcessEnds);
  CPPUNIT_TEST(KeepsItsStepsInOrderForAnyGrace);
  CPPUNIT_TEST(LeavesTimeToWriteTheLastAnswers);
  CPPUNIT_TEST(CountsTheGraceFromBeforeTheSignal);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mForwarder = std::make_unique<ForwarderHarness>();
    Route order = SingleRoute("orders", Repeatability::kAtMostOnce);
    order.mTimeout = kLongTimeout;
    Route read = SingleRoute("reads", Repeatability::kIdempotent);
    read.mTimeout = std::chrono::milliseconds(500);
    mForwarder->Configure({ order, read, SearchRoute(2, 0.5) });
    mForwarder->AddTarget("o", "orders");
    mForwarder->AddTarget("r", "reads");
    mForwarder->AddTarget("s0", "shard-0");
    mForwarder->AddTarget("s1", "shard-1");
  }

  void Stop() { mForwarder->Deliver(ForwarderStopRequested{ kGrace }); }

  /** Guards against an order that is passed on and then cut off when the
      process ends. */
  void RefusesLateInTheGraceWhatMayOutliveTheProcess()
  {
    Stop();
    mForwarder->RunFor(kGrace / 2 - std::chrono::milliseconds(1));
    CPPUNIT_ASSERT(mForwarder->AnswerTo(mForwarder->Ask("/orders/a")) ==
                   nullptr);
    mForwarder->RunFor(std::chrono::milliseconds(1));
    const std::size_t sent = mForwarder->Received().size();
    const Problem& refusal =
      ProblemOf(*mForwarder, mForwarder->Ask("/orders/b"));
    CPPUNIT_ASSERT(refusal.mKind == ProblemKind::kNotRun);
    CPPUNIT_ASSERT(refusal.mRetryAfter.has_value());
    CPPUNIT_ASSERT(refusal.mClosesConnection);
    CPPUNIT_ASSERT_EQUAL(sent, mForwarder->Received().size());
    // What ends in time is accepted until the last answers are due.
    CPPUNIT_ASSERT(mForwarder->AnswerTo(mForwarder->Ask("/reads/c")) ==
                   nullptr);
    mForwarder->RunFor(std::chrono::milliseconds(2300));
    const CallerToken late = mForwarder->Ask("/reads/d");
    CPPUNIT_ASSERT(ProblemOf(*mForwarder, late).mKind == ProblemKind::kNotRun);
  }

  /** Guards against connections that close without an answer. */
  void AnswersEveryRequestBeforeTheProcessEnds()
  {
    const CallerToken before = mForwarder->Ask("/orders/a", kLongTimeout * 2);
    Stop();
    mForwarder->RunFor(std::chrono::milliseconds(2900));
    const CallerToken after = mForwarder->Ask("/orders/b");
    mForwarder->RunFor(kGrace - std::chrono::milliseconds(2900) -
                       std::chrono::milliseconds(400));
    for (const CallerToken token : { before, after }) {
      CPPUNIT_ASSERT(ProblemOf(*mForwarder, token).mKind ==
                     ProblemKind::kTimedOut);
    }
    CPPUNIT_ASSERT(mForwarder->mState.mRequests.empty());
  }

  /** Guards against a promise that an order has not run although a target has
      it. */
  void StatesNotRunOnlyForRequestsThatWereNotSent()
  {
    mForwarder->mRefusesAllConnections = true;
    mForwarder->Configure({ SingleRoute("other", Repeatability::kAtMostOnce) },
                          2);
    mForwarder->AddTarget("x", "other");
    const CallerToken unsent = mForwarder->Ask("/other/a");
    Stop();
    mForwarder->RunFor(kGrace);
    CPPUNIT_ASSERT(ProblemOf(*mForwarder, unsent).mKind ==
                   ProblemKind::kNotRun);
  }

  void AnswersSearchesInPartBeforeTheProcessEnds()
  {
    Stop();
    mForwarder->RunFor(kGrace / 2 + std::chrono::milliseconds(1400));
    const CallerToken token = mForwarder->Ask("/search/q");
    mForwarder->Reply("s0", ReplyKind::kSuccess, std::string(16, 'a'));
    mForwarder->RunFor(std::chrono::milliseconds(1200));
    const CallerAnswer* answer = mForwarder->AnswerTo(token);
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         std::get<SearchAnswer>(*answer).mMissingShards);
  }

  void KeepsItsStepsInOrderForAnyGrace()
  {
    const TimePoint now{ std::chrono::seconds(5) };
    for (const auto grace : { 1, 100, 500, 1000, 4000, 6000, 3600000 }) {
      const StopPlan plan = PlanStop(std::chrono::milliseconds(grace), now);
      CPPUNIT_ASSERT(now < plan.mAcceptAllUntil);
      CPPUNIT_ASSERT(plan.mAcceptAllUntil <= plan.mLastAnswer);
      CPPUNIT_ASSERT(plan.mLastAnswer < plan.mExit);
      CPPUNIT_ASSERT(plan.mExit < now + std::chrono::milliseconds(grace));
    }
  }

  /** Guards against answers that are cut off although there was time to write
      them. */
  void LeavesTimeToWriteTheLastAnswers()
  {
    const TimePoint now{ std::chrono::seconds(5) };
    for (const auto grace : { 16, 100, 500, 1000, 4000, 6000, 3600000 }) {
      const TimePoint end = now + std::chrono::milliseconds(grace);
      const StopPlan plan = PlanStop(std::chrono::milliseconds(grace), now);
      CPPUNIT_ASSERT(plan.mExit - plan.mLastAnswer > 2 * (end - plan.mExit));
    }
  }

  /** Guards against a process that is killed before its own plan ends. */
  void CountsTheGraceFromBeforeTheSignal()
  {
    const TimePoint now{ std::chrono::seconds(50) };
    const Duration second = std::chrono::seconds(1);
    CPPUNIT_ASSERT(GraceLeft(kGrace, now, now) == kGrace);
    for (const Duration ago : { Duration(std::chrono::milliseconds(1)),
                                Duration(std::chrono::milliseconds(400)),
                                2 * second }) {
      CPPUNIT_ASSERT(GraceLeft(kGrace, now - ago, now) == kGrace - ago);
    }
    const Duration least = GraceLeft(kGrace, now - 2 * kGrace, now);
    CPPUNIT_ASSERT(least > Duration::zero());
    CPPUNIT_ASSERT(least <= kGrace / 4);
  }

private:
  std::unique_ptr<ForwarderHarness> mForwarder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownTests);
