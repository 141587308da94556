/*
 * Tests of requests from the caller to the targets and back.
 */
#include <tests/support/DeploymentText.h>
#include <tests/support/FakeFleet.h>

#include <set>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

/** One VM in each of three zones, and one service. */
class QueryTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QueryTests);
  CPPUNIT_TEST(AnswersEveryShard);
  CPPUNIT_TEST(ReportsShardsOfDeadTargetsAsMissing);
  CPPUNIT_TEST(RetriesOnAnotherReplica);
  CPPUNIT_TEST(AnswersWithinTimeout);
  CPPUNIT_TEST(RunsActionsOnce);
  CPPUNIT_TEST(RefusesBadRequests);
  CPPUNIT_TEST(NeverMixesSnapshots);
  CPPUNIT_TEST(KeepsConnectionCaps);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mFleet = std::make_unique<FakeFleet>(kSeed);
    mVm = mFleet->AddVm("vm-a", "zone-a");
    mFleet->AddVm("vm-b", "zone-b");
    mFleet->AddVm("vm-c", "zone-c");
    mFleet->Apply(DeploymentText({ ServiceText{} }));
    mFleet->RunFor(std::chrono::seconds(8));
  }

  void AnswersEveryShard()
  {
    const Exchange& exchange = mFleet->AskAndWait(mVm, Search());
    const Answer* answer = exchange.AnswerOrNull();
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT(answer->IsComplete());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, answer->mResults.size());
    for (const ShardResult& result : answer->mResults) {
      CPPUNIT_ASSERT_EQUAL("r0/" + std::to_string(result.mShard.Value()) + "@1",
                           *result.mBody);
    }
  }

  void ReportsShardsOfDeadTargetsAsMissing()
  {
    mFleet->TargetNamed("catalogue-2-0").mBehaviour.mIsAlive = false;
    mFleet->TargetNamed("catalogue-2-1").mBehaviour.mIsAlive = false;
    const Answer* answer = mFleet->AskAndWait(mVm, Search()).AnswerOrNull();
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, answer->mResults.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, answer->mMissing.size());
    CPPUNIT_ASSERT_EQUAL(2U, answer->mMissing.front().mShard.Value());
  }

  void RetriesOnAnotherReplica()
  {
    for (const char* name : { "catalogue-0-0", "catalogue-1-0" }) {
      mFleet->TargetNamed(name).mBehaviour.mIsDraining = true;
    }
    for (int round = 0; round < 5; ++round) {
      const Answer* answer = mFleet->AskAndWait(mVm, Search()).AnswerOrNull();
      CPPUNIT_ASSERT(answer != nullptr && answer->IsComplete());
    }
  }

  void AnswersWithinTimeout()
  {
    mFleet->TargetNamed("catalogue-1-0").mBehaviour.mIsFrozen = true;
    mFleet->TargetNamed("catalogue-1-1").mBehaviour.mIsFrozen = true;
    AskOptions options = Search();
    options.mTimeout = std::chrono::milliseconds(100);
    const Exchange& exchange = mFleet->AskAndWait(mVm, options);
    CPPUNIT_ASSERT(exchange.AnswerOrNull() != nullptr);
    CPPUNIT_ASSERT(exchange.mAnswered - exchange.mAsked <= options.mTimeout);
    CPPUNIT_ASSERT(exchange.AnswerOrNull()->mMissing.front().mReason ==
                   MissingReason::kTimeout);
  }

  void RunsActionsOnce()
  {
    for (const auto& [id, target] : mFleet->Targets()) {
      target->mBehaviour.mReset = ResetPoint::kBeforeReply;
    }
    AskOptions options = Search();
    options.mOperation = Operation::kAction;
    options.mKey = "order-1";
    const Exchange& exchange = mFleet->AskAndWait(mVm, options);
    CPPUNIT_ASSERT(exchange.ErrorOrNull() != nullptr);
    CPPUNIT_ASSERT(exchange.ErrorOrNull()->mExecution == Execution::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mFleet->Executions().size());
  }

  void RefusesBadRequests()
  {
    AskOptions unknown = Search();
    unknown.mService = "nothing";
    CPPUNIT_ASSERT(KindOf(unknown) == ErrorKind::kUnknownService);
    AskOptions withoutTimeout = Search();
    withoutTimeout.mTimeout = Duration::zero();
    CPPUNIT_ASSERT(KindOf(withoutTimeout) == ErrorKind::kInvalidTimeout);
    CPPUNIT_ASSERT(mFleet->Executions().empty());
  }

  void NeverMixesSnapshots()
  {
    for (unsigned shard = 0; shard < 4; ++shard) {
      const std::string name = "catalogue-" + std::to_string(shard);
      mFleet->TargetNamed(name + "-0").mBehaviour.mSnapshots = {
        SnapshotVersion(1)
      };
      mFleet->TargetNamed(name + "-1").mBehaviour.mSnapshots = {
        SnapshotVersion(2)
      };
    }
    for (int round = 0; round < 20; ++round) {
      const Answer* answer = mFleet->AskAndWait(mVm, Search()).AnswerOrNull();
      CPPUNIT_ASSERT(answer != nullptr);
      const std::string suffix =
        "@" + std::to_string(answer->mSnapshot.Value());
      for (const ShardResult& result : answer->mResults) {
        CPPUNIT_ASSERT(result.mBody->ends_with(suffix));
      }
    }
  }

  void KeepsConnectionCaps()
  {
    for (int round = 0; round < 200; ++round) {
      mFleet->Ask(mVm, Search());
    }
    mFleet->RunFor(std::chrono::seconds(2));
    for (const auto& [id, target] : mFleet->Targets()) {
      CPPUNIT_ASSERT(target->PeakConnections() <= 25U);
      CPPUNIT_ASSERT(target->PeakConnections() > 0U);
    }
  }

private:
  static constexpr std::uint64_t kSeed = 7;

  static AskOptions Search()
  {
    AskOptions options;
    options.mService = "catalogue";
    return options;
  }

  ErrorKind KindOf(const AskOptions& aOptions)
  {
    const Error* error = mFleet->AskAndWait(mVm, aOptions).ErrorOrNull();
    CPPUNIT_ASSERT(error != nullptr);
    return error->mKind;
  }

  std::unique_ptr<FakeFleet> mFleet;
  VmId mVm;
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueryTests);
