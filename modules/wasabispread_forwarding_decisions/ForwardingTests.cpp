/*
 * Tests of requests to one service: forwarding, retries, hedges, refusals.
 */
#include <tests/support/ForwarderHarness.h>

#include <set>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

namespace {

const Problem*
ProblemOf(const CallerAnswer* aAnswer)
{
  return aAnswer == nullptr ? nullptr : std::get_if<Problem>(aAnswer);
}

constexpr std::chrono::milliseconds kShort{ 30 };

} // namespace

class ForwardingTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ForwardingTests);
  CPPUNIT_TEST(ForwardsAReplyUnchanged);
  CPPUNIT_TEST(RefusesImmediatelyWithoutTargets);
  CPPUNIT_TEST(RefusesBeforeTheFirstConfiguration);
  CPPUNIT_TEST(NeverRetriesAtMostOnceRequestsThatMayHaveRun);
  CPPUNIT_TEST(RetriesAtMostOnceRequestsThatDidNotRun);
  CPPUNIT_TEST(NeverAnswersNotRunForARequestThatRan);
  CPPUNIT_TEST(RetriesAnIdempotentRequestAtAnotherTarget);
  CPPUNIT_TEST(HedgesALateRequest);
  CPPUNIT_TEST(AnswersAtTheRoutesTimeout);
  CPPUNIT_TEST(SendsNothingAfterTheDeadline);
  CPPUNIT_TEST(SendsNothingOnAConnectionThatTheTargetMayBeClosing);
  CPPUNIT_TEST(SendsNothingWhoseTimeIsOverWhenItArrives);
  CPPUNIT_TEST(ReplacesConnectionsThatEndWhileRequestsWait);
  CPPUNIT_TEST(ClosesConnectionsWhenTheCallerDisconnects);
  CPPUNIT_TEST(RetiresATargetWhoseAddressIsReused);
  CPPUNIT_TEST(RunsAtMostOnceUnderRandomFailures);
  CPPUNIT_TEST_SUITE_END();

public:
  void StartWithTwoTargets(Repeatability aRepeatability)
  {
    mForwarder = std::make_unique<ForwarderHarness>();
    mForwarder->Configure({ SingleRoute("s", aRepeatability) });
    mForwarder->AddTarget("t-1", "s");
    mForwarder->AddTarget("t-2", "s");
    mForwarder->RunFor(std::chrono::seconds(1));
  }

  /** The target that holds the only request. */
  std::string Holder() const
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mForwarder->Received().size());
    return mForwarder->Received().front().mInstance;
  }

  void ForwardsAReplyUnchanged()
  {
    StartWithTwoTargets(Repeatability::kAtMostOnce);
    const CallerToken caller = mForwarder->Ask("/s/1");
    mForwarder->Reply(Holder(), ReplyKind::kSuccess, "body", 201);
    const auto* answer =
      std::get_if<ForwardedReply>(mForwarder->AnswerTo(caller));
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT_EQUAL(201U, answer->mMessage.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), answer->mMessage.mBody);
  }

  void RefusesImmediatelyWithoutTargets()
  {
    mForwarder = std::make_unique<ForwarderHarness>();
    mForwarder->Configure({ SingleRoute("s", Repeatability::kAtMostOnce) });
    const auto* problem =
      ProblemOf(mForwarder->AnswerTo(mForwarder->Ask("/s/1")));
    CPPUNIT_ASSERT(problem != nullptr);
    CPPUNIT_ASSERT(problem->mKind == ProblemKind::kNotRun);
    CPPUNIT_ASSERT(problem->mRetryAfter.has_value());
  }

  void RefusesBeforeTheFirstConfiguration()
  {
    mForwarder = std::make_unique<ForwarderHarness>();
    const auto* problem =
      ProblemOf(mForwarder->AnswerTo(mForwarder->Ask("/s/1")));
    CPPUNIT_ASSERT(problem != nullptr);
    CPPUNIT_ASSERT(problem->mKind == ProblemKind::kNotRun);
    CPPUNIT_ASSERT(!mForwarder->mState.IsReady(mForwarder->mNow));
  }

  void NeverRetriesAtMostOnceRequestsThatMayHaveRun()
  {
    StartWithTwoTargets(Repeatability::kAtMostOnce);
    const CallerToken caller = mForwarder->Ask("/s/1");
    mForwarder->Break(Holder());
    mForwarder->RunFor(std::chrono::seconds(3));
    CPPUNIT_ASSERT(mForwarder->Received().empty());
    const auto* problem = ProblemOf(mForwarder->AnswerTo(caller));
    CPPUNIT_ASSERT(problem != nullptr);
    CPPUNIT_ASSERT(problem->mKind == ProblemKind::kFailed);
  }

  void RetriesAtMostOnceRequestsThatDidNotRun()
  {
    for (const bool isRefused : { true, false }) {
      StartWithTwoTargets(Repeatability::kAtMostOnce);
      const CallerToken caller = mForwarder->Ask("/s/1");
      const std::string first = Holder();
      if (isRefused) {
        mForwarder->Reply(first, ReplyKind::kNotRun, "", 503);
      } else {
        mForwarder->Break(first, false);
      }
      mForwarder->Reply(Holder(), ReplyKind::kSuccess, "done");
      CPPUNIT_ASSERT(
        std::holds_alternative<ForwardedReply>(*mForwarder->AnswerTo(caller)));
    }
  }

  /** Guards against answering "not run" for a request that ran: the target
      itself replied with a status such as 503 without stating that it did not
      run the request. */
  void NeverAnswersNotRunForARequestThatRan()
  {
    for (const unsigned status : { 408U, 421U, 429U, 503U }) {
      StartWithTwoTargets(Repeatability::kAtMostOnce);
      const CallerToken caller = mForwarder->Ask("/s/1");
      mForwarder->Reply(Holder(), ReplyKind::kFailure, "", status);
      const auto* problem = ProblemOf(mForwarder->AnswerTo(caller));
      CPPUNIT_ASSERT(problem != nullptr);
      CPPUNIT_ASSERT(problem->mKind == ProblemKind::kFailed);
    }
  }

  void RetriesAnIdempotentRequestAtAnotherTarget()
  {
    StartWithTwoTargets(Repeatability::kIdempotent);
    const CallerToken caller = mForwarder->Ask("/s/1");
    const std::string first = Holder();
    mForwarder->Break(first);
    CPPUNIT_ASSERT(Holder() != first);
    mForwarder->Reply(Holder(), ReplyKind::kSuccess);
    CPPUNIT_ASSERT(
      std::holds_alternative<ForwardedReply>(*mForwarder->AnswerTo(caller)));
  }

  void HedgesALateRequest()
  {
    StartWithTwoTargets(Repeatability::kIdempotent);
    mForwarder->Ask("/s/1");
    const std::string first = Holder();
    mForwarder->RunFor(std::chrono::milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, mForwarder->Received().size());
    CPPUNIT_ASSERT(mForwarder->Received().back().mInstance != first);
  }

  void AnswersAtTheRoutesTimeout()
  {
    StartWithTwoTargets(Repeatability::kAtMostOnce);
    const CallerToken caller = mForwarder->Ask("/s/1");
    mForwarder->RunFor(std::chrono::milliseconds(2001));
    const auto* problem = ProblemOf(mForwarder->AnswerTo(caller));
    CPPUNIT_ASSERT(problem != nullptr);
    CPPUNIT_ASSERT(problem->mKind == ProblemKind::kTimedOut);
  }

  /** Guards against runs whose reply comes too late for the answer, when a
      connection becomes free before the timer of the deadline has acted. */
  void SendsNothingAfterTheDeadline()
  {
    constexpr std::chrono::milliseconds kTimeout{ 500 };
    constexpr std::size_t kMaxAsked = 100;
    mForwarder = std::make_unique<ForwarderHarness>();
    mForwarder->Configure({ SingleRoute("s", Repeatability::kAtMostOnce) });
    mForwarder->AddTarget("t-1", "s");
    mForwarder->RunFor(std::chrono::seconds(1));
    CallerToken waiting;
    std::size_t asked = 0;
    while (mForwarder->Received().size() == asked && asked < kMaxAsked) {
      waiting = mForwarder->Ask("/s/1", kTimeout);
      ++asked;
    }
    CPPUNIT_ASSERT_EQUAL(asked - 1, mForwarder->Received().size());
    CPPUNIT_ASSERT(mForwarder->AnswerTo(waiting) == nullptr);
    mForwarder->mNow += 2 * kTimeout;
    mForwarder->Reply("t-1", ReplyKind::kSuccess, "late");
    CPPUNIT_ASSERT_EQUAL(asked - 2, mForwarder->Received().size());
    const auto* problem = ProblemOf(mForwarder->AnswerTo(waiting));
    CPPUNIT_ASSERT(problem != nullptr);
    CPPUNIT_ASSERT(problem->mKind == ProblemKind::kNotRun);
  }

  /** Guards against orders that are lost because the target closes the idle
      connection, when a request comes before a late timer. */
  void SendsNothingOnAConnectionThatTheTargetMayBeClosing()
  {
    constexpr std::chrono::seconds kKeepAlive{ 10 };
    mForwarder = std::make_unique<ForwarderHarness>();
    mForwarder->Configure({ SingleRoute("s", Repeatability::kAtMostOnce) });
    mForwarder->AddTarget("t-1", "s");
    mForwarder->RunFor(std::chrono::seconds(1));
    mForwarder->Ask("/s/1");
    const ConnectionId used = mForwarder->At("t-1").mConnection;
    Reply reply;
    reply.mKind = ReplyKind::kSuccess;
    reply.mIsReusable = true;
    reply.mKeepAlive = kKeepAlive;
    mForwarder->Deliver(ReplyArrived{ used, std::move(reply) });
    mForwarder->mNow += kKeepAlive - std::chrono::milliseconds(1);
    mForwarder->Ask("/s/2");
    CPPUNIT_ASSERT(mForwarder->At("t-1").mConnection != used);
    CPPUNIT_ASSERT(mForwarder->mClosed == std::vector<ConnectionId>{ used });
  }

  void SendsNothingWhoseTimeIsOverWhenItArrives()
  {
    constexpr std::chrono::milliseconds kTimeout{ 2 };
    StartWithTwoTargets(Repeatability::kAtMostOnce);
    const auto* problem =
      ProblemOf(mForwarder->AnswerTo(mForwarder->Ask("/s/1", kTimeout)));
    CPPUNIT_ASSERT(problem != nullptr);
    CPPUNIT_ASSERT(mForwarder->Received().empty());
    CPPUNIT_ASSERT(problem->mKind == ProblemKind::kNotRun);
  }

  /** Guards against requests that wait in turn for one connection, after a
      target has ended all others with its replies. */
  void ReplacesConnectionsThatEndWhileRequestsWait()
  {
    constexpr std::size_t kAsked = 40;
    constexpr std::chrono::milliseconds kServiceTime{ 10 };
    mForwarder = std::make_unique<ForwarderHarness>();
    mForwarder->mEndsConnections = true;
    mForwarder->Configure({ SingleRoute("s", Repeatability::kAtMostOnce) });
    mForwarder->AddTarget("t-1", "s");
    mForwarder->RunFor(std::chrono::seconds(1));
    for (std::size_t asked = 0; asked < kAsked; ++asked) {
      mForwarder->Ask("/s/1");
    }
    std::vector<std::size_t> rounds;
    while (mForwarder->Has("t-1")) {
      mForwarder->RunFor(kServiceTime);
      const std::size_t inFlight = mForwarder->Received().size();
      rounds.push_back(inFlight);
      for (std::size_t reply = 0; reply < inFlight; ++reply) {
        mForwarder->Reply("t-1", ReplyKind::kSuccess);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, rounds.size());
    CPPUNIT_ASSERT_EQUAL(kAsked, rounds[0] + rounds[1]);
  }

  void ClosesConnectionsWhenTheCallerDisconnects()
  {
    StartWithTwoTargets(Repeatability::kIdempotent);
    const CallerToken caller = mForwarder->Ask("/s/1");
    const ConnectionId connection = mForwarder->At(Holder()).mConnection;
    mForwarder->Deliver(ForwarderCallerDisconnected{ caller });
    CPPUNIT_ASSERT(std::find(mForwarder->mClosed.begin(),
                             mForwarder->mClosed.end(),
                             connection) != mForwarder->mClosed.end());
    mForwarder->RunFor(std::chrono::seconds(3));
    CPPUNIT_ASSERT(mForwarder->Received().empty());
  }

  void RetiresATargetWhoseAddressIsReused()
  {
    StartWithTwoTargets(Repeatability::kAtMostOnce);
    mForwarder->Ask("/s/1");
    const std::string first = Holder();
    mForwarder->Reply(first, ReplyKind::kMisdirected, "", 421);
    mForwarder->Reply(Holder(), ReplyKind::kSuccess);
    for (int request = 0; request < 10; ++request) {
      mForwarder->Ask("/s/1");
      CPPUNIT_ASSERT(!mForwarder->Has(first));
      mForwarder->Reply(Holder(), ReplyKind::kSuccess);
    }
  }

  /** Under random failures of targets, an at-most-once request is sent to a
      second target only after the first one stated that it did not run it, and
      no request that ran is answered as not run. */
  void RunsAtMostOnceUnderRandomFailures()
  {
    CPPUNIT_ASSERT(
      rc::check("at most one run, and refused requests never ran", [this] {
        StartWithTwoTargets(Repeatability::kAtMostOnce);
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        std::set<RequestId> mayHaveRun;
        std::vector<std::pair<CallerToken, RequestId>> asked;
        for (int step = 0; step < 60; ++step) {
          if (random.Below(3) == 0) {
            const CallerToken caller = mForwarder->Ask("/s/1");
            asked.emplace_back(
              caller, RequestId("r-" + std::to_string(caller.Value())));
          }
          mForwarder->RunFor(kShort * random.Below(10));
          if (mForwarder->Received().empty()) {
            continue;
          }
          const auto received = mForwarder->Received().back();
          RC_ASSERT(!mayHaveRun.contains(received.mId));
          const auto choice = random.Below(5);
          if (choice == 0) {
            mForwarder->Reply(received.mInstance, ReplyKind::kNotRun, "", 503);
            continue;
          }
          if (choice == 1) {
            mForwarder->Break(received.mInstance, false);
            continue;
          }
          mayHaveRun.insert(received.mId);
          if (choice == 2) {
            mForwarder->Break(received.mInstance, true);
          } else if (choice == 3) {
            mForwarder->Reply(received.mInstance, ReplyKind::kFailure, "", 503);
          } else {
            mForwarder->Reply(received.mInstance, ReplyKind::kSuccess);
          }
        }
        for (const auto& [caller, id] : asked) {
          const auto* problem = ProblemOf(mForwarder->AnswerTo(caller));
          const bool isRefused =
            problem != nullptr && problem->mKind == ProblemKind::kNotRun;
          RC_ASSERT(!isRefused || !mayHaveRun.contains(id));
        }
      }));
  }

private:
  std::unique_ptr<ForwarderHarness> mForwarder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingTests);
