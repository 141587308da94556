/*
 * Tests of requests to one service: sending, repeating, refusing.
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
  CPPUNIT_TEST(PassesAReplyOn);
  CPPUNIT_TEST(RefusesAtOnceWithoutTargets);
  CPPUNIT_TEST(RefusesBeforeAConfiguration);
  CPPUNIT_TEST(NeverSendsAnActionAgainThatMayHaveRun);
  CPPUNIT_TEST(SendsAnActionAgainThatDidNotRun);
  CPPUNIT_TEST(NeverClaimsNotRunForAnActionThatRan);
  CPPUNIT_TEST(RetriesAnIdempotentRequestElsewhere);
  CPPUNIT_TEST(HedgesALateRequest);
  CPPUNIT_TEST(AnswersAtTheRoutesTimeout);
  CPPUNIT_TEST(ClosesConnectionsOfACallerThatLeft);
  CPPUNIT_TEST(RetiresATargetWhoseAddressIsReused);
  CPPUNIT_TEST(KeepsActionsToOneRunUnderRandomFailures);
  CPPUNIT_TEST_SUITE_END();

public:
  void Serve(Repeatability aRepeatability)
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

  void PassesAReplyOn()
  {
    Serve(Repeatability::kAtMostOnce);
    const CallerToken caller = mForwarder->Ask("/s/1");
    mForwarder->Reply(Holder(), ReplyKind::kSuccess, "body", 201);
    const auto* answer =
      std::get_if<ForwardedReply>(mForwarder->AnswerTo(caller));
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT_EQUAL(201U, answer->mMessage.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), answer->mMessage.mBody);
  }

  void RefusesAtOnceWithoutTargets()
  {
    mForwarder = std::make_unique<ForwarderHarness>();
    mForwarder->Configure({ SingleRoute("s", Repeatability::kAtMostOnce) });
    const auto* problem =
      ProblemOf(mForwarder->AnswerTo(mForwarder->Ask("/s/1")));
    CPPUNIT_ASSERT(problem != nullptr);
    CPPUNIT_ASSERT(problem->mKind == ProblemKind::kNotRun);
    CPPUNIT_ASSERT(problem->mRetryAfter.has_value());
  }

  void RefusesBeforeAConfiguration()
  {
    mForwarder = std::make_unique<ForwarderHarness>();
    const auto* problem =
      ProblemOf(mForwarder->AnswerTo(mForwarder->Ask("/s/1")));
    CPPUNIT_ASSERT(problem != nullptr);
    CPPUNIT_ASSERT(problem->mKind == ProblemKind::kNotRun);
    CPPUNIT_ASSERT(!mForwarder->mState.IsReady(mForwarder->mNow));
  }

  void NeverSendsAnActionAgainThatMayHaveRun()
  {
    Serve(Repeatability::kAtMostOnce);
    const CallerToken caller = mForwarder->Ask("/s/1");
    mForwarder->Break(Holder());
    mForwarder->RunFor(std::chrono::seconds(3));
    CPPUNIT_ASSERT(mForwarder->Received().empty());
    const auto* problem = ProblemOf(mForwarder->AnswerTo(caller));
    CPPUNIT_ASSERT(problem != nullptr);
    CPPUNIT_ASSERT(problem->mKind == ProblemKind::kFailed);
  }

  void SendsAnActionAgainThatDidNotRun()
  {
    for (const bool isRefused : { true, false }) {
      Serve(Repeatability::kAtMostOnce);
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

  /** A target's own 503 without the statement that it did not run. */
  void NeverClaimsNotRunForAnActionThatRan()
  {
    for (const unsigned status : { 408U, 421U, 429U, 503U }) {
      Serve(Repeatability::kAtMostOnce);
      const CallerToken caller = mForwarder->Ask("/s/1");
      mForwarder->Reply(Holder(), ReplyKind::kFailure, "", status);
      const auto* problem = ProblemOf(mForwarder->AnswerTo(caller));
      CPPUNIT_ASSERT(problem != nullptr);
      CPPUNIT_ASSERT(problem->mKind == ProblemKind::kFailed);
    }
  }

  void RetriesAnIdempotentRequestElsewhere()
  {
    Serve(Repeatability::kIdempotent);
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
    Serve(Repeatability::kIdempotent);
    mForwarder->Ask("/s/1");
    const std::string first = Holder();
    mForwarder->RunFor(std::chrono::milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, mForwarder->Received().size());
    CPPUNIT_ASSERT(mForwarder->Received().back().mInstance != first);
  }

  void AnswersAtTheRoutesTimeout()
  {
    Serve(Repeatability::kAtMostOnce);
    const CallerToken caller = mForwarder->Ask("/s/1");
    mForwarder->RunFor(std::chrono::milliseconds(2001));
    const auto* problem = ProblemOf(mForwarder->AnswerTo(caller));
    CPPUNIT_ASSERT(problem != nullptr);
    CPPUNIT_ASSERT(problem->mKind == ProblemKind::kTimedOut);
  }

  void ClosesConnectionsOfACallerThatLeft()
  {
    Serve(Repeatability::kIdempotent);
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
    Serve(Repeatability::kAtMostOnce);
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

  /** Whatever targets do, an action is handed to a second target only after
      the first one stated that it did not run it, and no action that ran is
      answered as one that did not. */
  void KeepsActionsToOneRunUnderRandomFailures()
  {
    rc::check("one run, true refusals", [this] {
      Serve(Repeatability::kAtMostOnce);
      Random random(*rc::gen::arbitrary<std::uint64_t>());
      std::set<RequestId> mayHaveRun;
      std::vector<std::pair<CallerToken, RequestId>> asked;
      for (int step = 0; step < 60; ++step) {
        if (random.Below(3) == 0) {
          const CallerToken caller = mForwarder->Ask("/s/1");
          asked.emplace_back(caller,
                             RequestId("r-" + std::to_string(caller.Value())));
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
    });
  }

private:
  std::unique_ptr<ForwarderHarness> mForwarder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingTests);
