/*
 * Tests of a store that comes back from a copy.
 */
#include <tests/support/ForwarderHarness.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kMillisecond = std::chrono::milliseconds(1);

ConfigurationChange
ConfigurationOf(std::uint64_t aVersion)
{
  RoutingConfiguration configuration;
  configuration.mVersion = ConfigurationVersion(aVersion);
  configuration.mRoutes = { SingleRoute("s", Repeatability::kIdempotent) };
  IndexRoutes(configuration);
  return { std::make_shared<const RoutingConfiguration>(
             std::move(configuration)),
           std::make_shared<const std::string>("text") };
}

} // namespace

class StoreEraTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreEraTests);
  CPPUNIT_TEST(JudgesEras);
  CPPUNIT_TEST(ListsAgainWithoutALoop);
  CPPUNIT_TEST(AdoptsANewConfigurationBelowTheKnownRevision);
  CPPUNIT_TEST(DoesNotMissChangesOfRevisionsGivenOutAgain);
  CPPUNIT_TEST(IgnoresAnswersOfAnEarlierEra);
  CPPUNIT_TEST(KeepsWhatTheCopyLacksForAWhile);
  CPPUNIT_TEST(DoesNotTakeATargetBackThatDrains);
  CPPUNIT_TEST(RegistersAgain);
  CPPUNIT_TEST(EndsClaimsWithTheirEra);
  CPPUNIT_TEST(LearnsOfAnEraFromOtherVms);
  CPPUNIT_TEST(RefusesChangesOfAnotherEra);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mVm = std::make_unique<ForwarderHarness>();
    mVm->Configure({ SingleRoute("s", Repeatability::kIdempotent) }, 5);
    mVm->AddTarget("t", "s", 7);
    // The store names its era from here on.
    mVm->mEra = mVm->mState.mEra.mEra = 3;
    mVm->mState.mStore.mRevision = StoreRevision(565);
  }

  std::size_t Calls() const
  {
    return mVm->mLists.size() + mVm->mWatches.size();
  }

  void Watch(StoreChanges aChanges)
  {
    mVm->Deliver(ChangesWatched{ std::move(aChanges) });
  }

  static StoreChanges Changes(StoreEra aEra,
                              std::uint64_t aRevision,
                              std::vector<StoreChange> aChanges = {})
  {
    StoreChanges changes;
    changes.mChanges = std::move(aChanges);
    changes.mRevision = StoreRevision(aRevision);
    changes.mEra = aEra;
    return changes;
  }

  static StoreContent Content(StoreEra aEra,
                              std::uint64_t aRevision,
                              std::vector<StoreChange> aEntries = {})
  {
    return { std::move(aEntries),
             StoreRevision(aRevision),
             StoreRevision(aRevision),
             aEra };
  }

  void JudgesEras()
  {
    EraState era;
    CPPUNIT_ASSERT(JudgeEra(era, 0) == EraVerdict::kPresent);
    CPPUNIT_ASSERT(JudgeEra(era, 4) == EraVerdict::kPresent);
    CPPUNIT_ASSERT(JudgeEra(era, 4) == EraVerdict::kPresent);
    CPPUNIT_ASSERT(JudgeEra(era, 3) == EraVerdict::kUnusable);
    // Once named, an answer without it says nothing.
    CPPUNIT_ASSERT(JudgeEra(era, 0) == EraVerdict::kUnusable);
    CPPUNIT_ASSERT(JudgeEra(era, 9) == EraVerdict::kNew);
    CPPUNIT_ASSERT(TermOf(1, StoreRevision(500)) < TermOf(2, StoreRevision(3)));
  }

  /** Guards against calls without a pause to a store that answers at once: with
      older entries, with another era, or without the history that was asked
      for. */
  void ListsAgainWithoutALoop()
  {
    for (const int kind : { 0, 1, 2 }) {
      setUp();
      mVm->Deliver(ChangesWatched{
        Fail(ErrorKind::kPlatformUnavailable, "no answer", "wait") });
      const std::size_t before = Calls();
      for (int step = 0; step < 800; ++step) {
        // Answers each call at once, however many there are.
        for (int answer = 0; answer < 100 && mVm->mState.mStore.mPendingCall;
             ++answer) {
          Answer(kind);
        }
        mVm->RunFor(10 * kMillisecond);
      }
      CPPUNIT_ASSERT_MESSAGE(std::to_string(kind) + ": " +
                               std::to_string(Calls() - before),
                             Calls() - before <= 40);
    }
  }

  void AdoptsANewConfigurationBelowTheKnownRevision()
  {
    Watch(Changes(4, 508));
    CPPUNIT_ASSERT(!mVm->mState.mStore.mPendingCall);
    mVm->RunFor(kSecond);
    CPPUNIT_ASSERT(!mVm->mLists.back().mMayBeOld);
    mVm->Deliver(EntriesListed{ Content(4, 508, { ConfigurationOf(4) }) });
    // The copy's older version changes nothing; the newest one stays.
    CPPUNIT_ASSERT(mVm->mState.mConfiguration->mVersion ==
                   ConfigurationVersion(5));
    Watch(Changes(4, 509, { ConfigurationOf(6) }));
    CPPUNIT_ASSERT(mVm->mState.mConfiguration->mVersion ==
                   ConfigurationVersion(6));
  }

  /** A watch from a known revision in a new era looks complete. */
  void DoesNotMissChangesOfRevisionsGivenOutAgain()
  {
    // In the new era, 560 holds a configuration that this VM does not know.
    Watch(Changes(4, 600, {}));
    CPPUNIT_ASSERT(mVm->mState.mStore.mNeedsList);
    mVm->RunFor(kSecond);
    mVm->Deliver(EntriesListed{ Content(4, 600, { ConfigurationOf(8) }) });
    CPPUNIT_ASSERT(mVm->mState.mConfiguration->mVersion ==
                   ConfigurationVersion(8));
  }

  void IgnoresAnswersOfAnEarlierEra()
  {
    Watch(Changes(2, 700, { ConfigurationOf(9) }));
    CPPUNIT_ASSERT(mVm->mState.mConfiguration->mVersion ==
                   ConfigurationVersion(5));
    CPPUNIT_ASSERT(mVm->mState.mStore.mRevision == StoreRevision(565));
    mVm->RunFor(kSecond);
    CPPUNIT_ASSERT(mVm->mState.mStore.mPendingCall.has_value());
  }

  /** Guards against shard owners, budgets and targets that are computed from a
      fleet that seems to be gone. */
  void KeepsWhatTheCopyLacksForAWhile()
  {
    mVm->Change(MemberChange{
      MemberRecord{ "vm-b", ZoneName("b"), Endpoint{ "vm-b", 1 }, 1 } });
    mVm->Change(EvacuationChange{ ZoneName("z"), true });
    mVm->mState.mStore.mRevision = StoreRevision(565);
    Watch(Changes(4, 508));
    mVm->RunFor(kSecond);
    mVm->Deliver(EntriesListed{ Content(4, 508) });
    Watch(Changes(4, 508));
    const auto& member = mVm->mState.mMembership.mMembers.at("vm-b");
    CPPUNIT_ASSERT(member.mLeftAt == TimePoint::max());
    CPPUNIT_ASSERT(IsEvacuated(mVm->mState, ZoneName("z")));
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      mVm->mState.mTargetsOfService.at(IdFromName<ServiceId>("s")).size());
    mVm->RunFor(6 * kSecond);
    CPPUNIT_ASSERT(member.mLeftAt != TimePoint::max());
    CPPUNIT_ASSERT(!IsEvacuated(mVm->mState, ZoneName("z")));
    CPPUNIT_ASSERT(
      mVm->mState.mTargetsOfService.at(IdFromName<ServiceId>("s")).empty());
  }

  void DoesNotTakeATargetBackThatDrains()
  {
    mVm->AddTarget("t", "s", 9, true);
    mVm->mState.mStore.mRevision = StoreRevision(565);
    Watch(Changes(4, 508));
    mVm->RunFor(kSecond);
    TargetRecord old;
    old.mInstance = InstanceId("t");
    old.mBorn = 1;
    old.mSequence = 7;
    old.mService = IdFromName<ServiceId>("s");
    old.mAddress = Endpoint{ "t", 1 };
    mVm->Deliver(EntriesListed{ Content(4, 508, { TargetChange{ old } }) });
    CPPUNIT_ASSERT(
      mVm->mState.mTargetsOfService.at(IdFromName<ServiceId>("s")).empty());
  }

  void RegistersAgain()
  {
    mVm->Deliver(LeaseGranted{ LeaseId(1) });
    mVm->Deliver(MemberWritten{ std::monostate{} });
    const std::size_t before = mVm->mLeaseGrants.size();
    Watch(Changes(4, 508));
    mVm->RunFor(kSecond);
    CPPUNIT_ASSERT_EQUAL(before + 1, mVm->mLeaseGrants.size());
  }

  /** Guards against two VMs that grant the same quota: the one whose claim was
      lost may not know it yet. */
  void EndsClaimsWithTheirEra()
  {
    QuotaPartition& partition = mVm->mState.mQuota.mClaims.mPartitions.front();
    partition.mOwnTerm = 9;
    mVm->mState.mQuota.mClaims.mLease.mEnds = mVm->mNow + 4 * kSecond;
    CPPUNIT_ASSERT(IsGranting(mVm->mState, partition, mVm->mNow));
    Watch(Changes(4, 508));
    CPPUNIT_ASSERT(!IsGranting(mVm->mState, partition, mVm->mNow));
    mVm->mState.mQuota.mClaims.mPending = { { 0, StoreRevision{} } };
    mVm->Deliver(QuotaClaimed{ std::optional(StoreRevision(520)) });
    mVm->mState.mQuota.mClaims.mLease.mEnds = mVm->mNow + 60 * kSecond;
    CPPUNIT_ASSERT(!IsGranting(mVm->mState, partition, mVm->mNow));
    mVm->mNow += 4 * kSecond;
    CPPUNIT_ASSERT(IsGranting(mVm->mState, partition, mVm->mNow));
  }

  void LearnsOfAnEraFromOtherVms()
  {
    mVm->Deliver(RevisionReported{ StoreRevision(508), {}, 4 });
    CPPUNIT_ASSERT_EQUAL(StoreEra{ 4 }, mVm->mState.mEra.mEra);
    mVm->RunFor(kSecond);
    CPPUNIT_ASSERT(!mVm->mLists.back().mMayBeOld);
    // An older report changes nothing.
    mVm->Deliver(RevisionReported{ StoreRevision(900), {}, 3 });
    CPPUNIT_ASSERT(mVm->mState.mFreshness.mNewestSeen < StoreRevision(900));
  }

  void RefusesChangesOfAnotherEra()
  {
    mVm->Deliver(ChangesRequested{
      VmId(9), Endpoint{ "vm-b", 1 }, ChangesRequest{ 1, 565, 2 } });
    const auto& reply =
      std::get<ChangesReply>(mVm->mPeerMessages.back().mMessage);
    CPPUNIT_ASSERT(reply.mIsRefused);
    CPPUNIT_ASSERT_EQUAL(StoreEra{ 3 }, reply.mEra);
  }

private:
  void Answer(int aKind)
  {
    const bool isList =
      mVm->mState.mStore.mPendingCall->mKind == PendingStoreCall::Kind::kList;
    if (aKind == 0) {
      // The store went back without saying so.
      isList ? mVm->Deliver(EntriesListed{ Content(3, 501) })
             : Watch(Changes(3, 501));
    } else if (aKind == 1) {
      isList ? mVm->Deliver(EntriesListed{ Content(2, 700) })
             : Watch(Changes(2, 700));
    } else if (isList) {
      mVm->Deliver(EntriesListed{ Content(3, 700) });
    } else {
      StoreChanges lost = Changes(3, 0);
      lost.mIsHistoryLost = true;
      Watch(lost);
    }
  }

  std::unique_ptr<ForwarderHarness> mVm;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreEraTests);
