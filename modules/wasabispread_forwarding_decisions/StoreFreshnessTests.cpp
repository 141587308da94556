/*
 * Tests of the age of what a VM knows of the store.
 */
#include <tests/support/ForwarderHarness.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

MemberChange
JoinedVm(const std::string& aName, const std::string& aZone)
{
  return { MemberRecord{ aName, ZoneName(aZone), Endpoint{ aName, 1 }, 0.25 } };
}

std::size_t
CountReportsTo(const ForwarderHarness& aForwarder, const std::string& aVm)
{
  std::size_t count = 0;
  for (const SendPeerMessage& message : aForwarder.mPeerMessages) {
    count += message.mVm == IdFromName<VmId>(aVm) &&
                 std::holds_alternative<RevisionReport>(message.mMessage)
               ? 1
               : 0;
  }
  return count;
}

} // namespace

class StoreFreshnessTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreFreshnessTests);
  CPPUNIT_TEST(ReplacesAWatchWhoseAnswerWasLost);
  CPPUNIT_TEST(ReplacesAWatchThatIsBehindAnotherVmsReport);
  CPPUNIT_TEST(KeepsAWatchWhileNothingChanges);
  CPPUNIT_TEST(KeepsAWatchThatDeliversLateFromASlowStore);
  CPPUNIT_TEST(ListsAgainWhenACheckIsNotAnswered);
  CPPUNIT_TEST(KeepsAWatchThatIsNewerThanAFailedCheck);
  CPPUNIT_TEST(LeavesTheCheckToAVmThatReports);
  CPPUNIT_TEST(ChecksItselfWhenNoReportArrives);
  CPPUNIT_TEST(ReportsOnlyToVmsThatWatch);
  CPPUNIT_TEST(DoesNotTakeAnOldListForNewsOfTheStore);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mForwarder = std::make_unique<ForwarderHarness>(); }

  /** Guards against a VM that waits on a connection whose answer was lost. */
  void ReplacesAWatchWhoseAnswerWasLost()
  {
    const std::size_t watches = mForwarder->mWatches.size();
    const std::size_t checks = mForwarder->mStoreChecks;
    mForwarder->AnswerStoreChecksWith(Next());
    mForwarder->RunFor(2 * kSecond);
    CPPUNIT_ASSERT(mForwarder->mAbandonedWatches >= 1);
    CPPUNIT_ASSERT(mForwarder->mStoreChecks <= checks + 3);
    CPPUNIT_ASSERT(mForwarder->mWatches.size() > watches);
    CPPUNIT_ASSERT_EQUAL(mForwarder->mState.mStore.mRevision.Value(),
                         mForwarder->mWatches.back().mAfter.Value());
  }

  void ReplacesAWatchThatIsBehindAnotherVmsReport()
  {
    mForwarder->Deliver(RevisionReported{ Next(), {} });
    mForwarder->RunFor(kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mForwarder->mAbandonedWatches);
  }

  /** Guards against calls for a store in which nothing changes. */
  void KeepsAWatchWhileNothingChanges()
  {
    const std::size_t watches = mForwarder->mWatches.size();
    mForwarder->AnswerStoreChecksWith(mForwarder->mState.mStore.mRevision);
    mForwarder->RunFor(20 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mForwarder->mAbandonedWatches);
    CPPUNIT_ASSERT_EQUAL(watches, mForwarder->mWatches.size());
    CPPUNIT_ASSERT(KnowledgeAge(mForwarder->mState, mForwarder->mNow) <=
                   kSecond);
  }

  void KeepsAWatchThatDeliversLateFromASlowStore()
  {
    const Duration latency = std::chrono::milliseconds(400);
    mForwarder->Deliver(RevisionReported{ Next(), latency });
    mForwarder->RunFor(latency);
    mForwarder->Change(JoinedVm("vm-b", "b"));
    mForwarder->RunFor(2 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mForwarder->mAbandonedWatches);
  }

  /** Guards against a watch that outlives an outage of the store unnoticed. */
  void ListsAgainWhenACheckIsNotAnswered()
  {
    mForwarder->RunFor(kSecond);
    CPPUNIT_ASSERT(mForwarder->mStoreChecks >= 1);
    const std::size_t lists = mForwarder->mLists.size();
    FailCheck();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mForwarder->mAbandonedWatches);
    CPPUNIT_ASSERT(mForwarder->mState.mStore.IsUnavailable());
    mForwarder->RunFor(kSecond);
    CPPUNIT_ASSERT(mForwarder->mLists.size() > lists);
  }

  void KeepsAWatchThatIsNewerThanAFailedCheck()
  {
    mForwarder->RunFor(kSecond);
    mForwarder->Change(JoinedVm("vm-b", "b"));
    mForwarder->RunFor(2 * kSecond);
    FailCheck();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mForwarder->mAbandonedWatches);
    CPPUNIT_ASSERT(!mForwarder->mState.mStore.IsUnavailable());
  }

  /** Guards against calls to the store that grow with the fleet. */
  void LeavesTheCheckToAVmThatReports()
  {
    JoinOtherZones();
    mForwarder->AnswerStoreChecksWith(mForwarder->mState.mStore.mRevision);
    const std::size_t checks = mForwarder->mStoreChecks;
    for (int report = 0; report < 20; ++report) {
      mForwarder->Deliver(
        RevisionReported{ mForwarder->mState.mStore.mRevision, {} });
      mForwarder->RunFor(kSecond / 2);
    }
    CPPUNIT_ASSERT_EQUAL(checks, mForwarder->mStoreChecks);
  }

  void ChecksItselfWhenNoReportArrives()
  {
    JoinOtherZones();
    mForwarder->AnswerStoreChecksWith(mForwarder->mState.mStore.mRevision);
    const std::size_t checks = mForwarder->mStoreChecks;
    mForwarder->RunFor(10 * kSecond);
    CPPUNIT_ASSERT(mForwarder->mStoreChecks >= checks + 5);
    CPPUNIT_ASSERT(KnowledgeAge(mForwarder->mState, mForwarder->mNow) <=
                   2 * kSecond);
  }

  void ReportsOnlyToVmsThatWatch()
  {
    JoinOtherZones();
    mForwarder->AnswerStoreChecksWith(mForwarder->mState.mStore.mRevision);
    mForwarder->RunFor(3 * kSecond);
    CPPUNIT_ASSERT(CountReportsTo(*mForwarder, "vm-b") >= 1);
    std::size_t reportedInLargeZone = 0;
    for (const char* name : { "vm-c1", "vm-c2", "vm-c3", "vm-c4" }) {
      reportedInLargeZone += CountReportsTo(*mForwarder, name) > 0 ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, reportedInLargeZone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, CountReportsTo(*mForwarder, "vm-a"));
  }

  void DoesNotTakeAnOldListForNewsOfTheStore()
  {
    mForwarder->RunFor(kSecond);
    FailCheck();
    mForwarder->RunFor(kSecond);
    CPPUNIT_ASSERT(mForwarder->mLists.back().mMayBeOld);
    mForwarder->Deliver(
      EntriesListed{ StoreContent{ {}, mForwarder->mState.mStore.mRevision } });
    CPPUNIT_ASSERT(KnowledgeAge(mForwarder->mState, mForwarder->mNow) >=
                   kSecond);
  }

private:
  StoreRevision Next() const
  {
    return StoreRevision(mForwarder->mState.mStore.mRevision.Value() + 1);
  }

  void FailCheck()
  {
    mForwarder->Deliver(StoreChecked{ tl::unexpected<Error>(
      Error{ ErrorKind::kPlatformUnavailable, "silent", "wait" }) });
  }

  /** Adds a VM in a zone of its own and four that share a watch. */
  void JoinOtherZones()
  {
    for (const auto& [name, zone] : { std::pair("vm-a", "a"),
                                      std::pair("vm-b", "b"),
                                      std::pair("vm-c1", "c"),
                                      std::pair("vm-c2", "c"),
                                      std::pair("vm-c3", "c"),
                                      std::pair("vm-c4", "c") }) {
      mForwarder->Change(JoinedVm(name, zone));
    }
    mForwarder->RunFor(kSecond);
  }

  std::unique_ptr<ForwarderHarness> mForwarder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFreshnessTests);
