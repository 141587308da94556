/*
 * Tests of the state that a forwarder takes from the store and from other VMs:
 * targets, members and configurations.
 */
#include <tests/support/ForwarderHarness.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

class RegistryTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RegistryTests);
  CPPUNIT_TEST(StopsUsingADrainingTarget);
  CPPUNIT_TEST(IgnoresOlderEntriesOfATarget);
  CPPUNIT_TEST(AcceptsANewStartUnderTheSameName);
  CPPUNIT_TEST(AcceptsANewStartWithAnEarlierTime);
  CPPUNIT_TEST(UsesATargetAgainAfterEntriesOfAnotherWriter);
  CPPUNIT_TEST(IgnoresWritesThatAreExecutedLate);
  CPPUNIT_TEST(ForgetsAnOvertakenEntryWhenItsStartDrains);
  CPPUNIT_TEST(KeepsTargetsWithMissingEntriesForTheGracePeriod);
  CPPUNIT_TEST(RemovesTargetsMissingFromAList);
  CPPUNIT_TEST(ListsAgainWhenHistoryIsLost);
  CPPUNIT_TEST(NeverAdoptsAnOlderConfiguration);
  CPPUNIT_TEST(ReadsChangesLessOftenInLargerFleets);
  CPPUNIT_TEST(ListsAllEntriesOnceTheStoreIsAvailable);
  CPPUNIT_TEST(ReadsAgainImmediatelyAfterManyChanges);
  CPPUNIT_TEST(DelaysReconnectsToATargetThatResetsConnections);
  CPPUNIT_TEST(RequestsRoutingFromOtherVmsWhileTheStoreIsUnavailable);
  CPPUNIT_TEST(AppliesTargetsFromOtherVmsWhileTheStoreIsUnavailable);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mForwarder = std::make_unique<ForwarderHarness>();
    mForwarder->Configure({ SingleRoute("s", Repeatability::kIdempotent) });
  }

  bool IsServed()
  {
    const CallerToken caller = mForwarder->Ask("/s/1");
    if (mForwarder->AnswerTo(caller) != nullptr) {
      return false;
    }
    mForwarder->Deliver(ForwarderCallerDisconnected{ caller });
    mForwarder->RunFor(std::chrono::milliseconds(1));
    return true;
  }

  Error StoreError() const
  {
    return Error{ ErrorKind::kPlatformUnavailable, "no answer", "wait" };
  }

  void StopsUsingADrainingTarget()
  {
    mForwarder->AddTarget("t", "s", 1);
    CPPUNIT_ASSERT(IsServed());
    mForwarder->AddTarget("t", "s", 2, true);
    CPPUNIT_ASSERT(!IsServed());
  }

  /** Guards against a draining target that is used again because an older entry
      reached the store late. */
  void IgnoresOlderEntriesOfATarget()
  {
    mForwarder->AddTarget("t", "s", 5, true);
    mForwarder->AddTarget("t", "s", 4);
    CPPUNIT_ASSERT(!IsServed());
    mForwarder->RemoveTarget("t");
    mForwarder->AddTarget("t", "s", 4);
    CPPUNIT_ASSERT(!IsServed());
  }

  void AcceptsANewStartUnderTheSameName()
  {
    mForwarder->AddTarget("t", "s", 9, true, 1);
    mForwarder->AddTarget("t", "s", 0, false, 2);
    CPPUNIT_ASSERT(IsServed());
  }

  /** An entry as the store has it at a revision. */
  void Register(std::uint64_t aRevision,
                std::uint64_t aBorn,
                std::uint64_t aSequence,
                bool aIsDraining = false,
                const std::string& aService = "s")
  {
    TargetRecord record;
    record.mInstance = InstanceId("t");
    record.mBorn = aBorn;
    record.mSequence = aSequence;
    record.mService = IdFromName<ServiceId>(aService);
    record.mAddress = Endpoint{ "t", 1 };
    record.mZone = ZoneName("a");
    record.mSlots = 2;
    record.mIsDraining = aIsDraining;
    mForwarder->Change(TargetChange{ record, StoreRevision(aRevision) });
  }

  /** Guards against a draining target that is used because it started again
      after its clock was set back. */
  void AcceptsANewStartWithAnEarlierTime()
  {
    Register(50, 2000, 7);
    CPPUNIT_ASSERT(IsServed());
    Register(51, 1500, 1);
    CPPUNIT_ASSERT(IsServed());
    // A page that is older than that.
    Register(50, 2000, 7);
    Register(52, 1500, 2, true);
    CPPUNIT_ASSERT(!IsServed());
    Register(53, 1400, 1);
    CPPUNIT_ASSERT(IsServed());
    // The revisions of another era are not compared with these.
    mForwarder->mEra = 1;
    mForwarder->Change(EvacuationChange{ ZoneName("z"), false });
    mForwarder->mEra = 2;
    mForwarder->Change(EvacuationChange{ ZoneName("z"), false });
    mForwarder->RunFor(std::chrono::seconds(1));
    mForwarder->Deliver(EntriesListed{
      StoreContent{ {}, StoreRevision(1), StoreRevision(1), 2 } });
    Register(2, 1400, 2, true);
    CPPUNIT_ASSERT(!IsServed());
  }

  /** Guards against a target that is never used again after an entry of another
      writer under its id, which looked like a later one. */
  void UsesATargetAgainAfterEntriesOfAnotherWriter()
  {
    std::uint64_t revision = 50;
    std::uint64_t sequence = 1;
    Register(revision, 100, sequence);
    CPPUNIT_ASSERT(IsServed());
    // A later start of no known service, and a far count of the same start.
    for (const std::uint64_t born : { 9000, 100 }) {
      Register(++revision, born, 1'000'000, born == 100, "other");
      CPPUNIT_ASSERT(!IsServed());
      for (int heartbeat = 0; heartbeat < 6; ++heartbeat) {
        Register(++revision, 100, ++sequence);
        mForwarder->RunFor(std::chrono::milliseconds(1200));
      }
      CPPUNIT_ASSERT(IsServed());
      // It is known as the present one from now on.
      Register(++revision, 100, ++sequence, true);
      CPPUNIT_ASSERT(!IsServed());
      Register(++revision, 100, ++sequence);
      CPPUNIT_ASSERT(IsServed());
    }
  }

  /** Guards against a start that was replaced, or drains, and is used because
      one of its writes was executed late. */
  void IgnoresWritesThatAreExecutedLate()
  {
    Register(50, 100, 5);
    Register(51, 200, 1, true);
    Register(52, 100, 6);
    mForwarder->RunFor(std::chrono::milliseconds(1200));
    CPPUNIT_ASSERT(!IsServed());
    Register(53, 200, 2, true);
    Register(54, 200, 1);
    mForwarder->RunFor(std::chrono::milliseconds(1200));
    CPPUNIT_ASSERT(!IsServed());
    Register(55, 200, 3, true);
    mForwarder->RunFor(std::chrono::seconds(10));
    CPPUNIT_ASSERT(!IsServed());
    // A late word that it drains is true all the same.
    Register(56, 300, 5);
    CPPUNIT_ASSERT(IsServed());
    Register(57, 300, 4, true);
    CPPUNIT_ASSERT(!IsServed());
    // Nothing is confirmed by a store that is not heard, nor once it is gone.
    Register(58, 300, 2);
    mForwarder->RunFor(std::chrono::seconds(20));
    CPPUNIT_ASSERT(!IsServed());
    mForwarder->RemoveTarget("t");
    mForwarder->RunFor(std::chrono::seconds(20));
    mForwarder->Change(EvacuationChange{ ZoneName("z"), false });
    mForwarder->RunFor(std::chrono::seconds(2));
    CPPUNIT_ASSERT(!IsServed());
  }

  /** Guards against a draining target that is used again because an entry from
      before its word was kept. */
  void ForgetsAnOvertakenEntryWhenItsStartDrains()
  {
    Register(50, 100, 1'000'000);
    Register(51, 100, 6);
    Register(52, 100, 7, true);
    CPPUNIT_ASSERT(!IsServed());
    for (int second = 0; second < 10; ++second) {
      mForwarder->Change(EvacuationChange{ ZoneName("z"), false });
      mForwarder->RunFor(std::chrono::seconds(1));
      CPPUNIT_ASSERT(!IsServed());
    }
  }

  void KeepsTargetsWithMissingEntriesForTheGracePeriod()
  {
    mForwarder->AddTarget("back", "s", 1);
    mForwarder->AddTarget("gone", "s", 1);
    mForwarder->Deliver(ChangesWatched{ tl::unexpected<Error>(StoreError()) });
    mForwarder->RunFor(std::chrono::seconds(4));
    mForwarder->RemoveTarget("back");
    mForwarder->RemoveTarget("gone");
    CPPUNIT_ASSERT(IsServed());
    mForwarder->RunFor(std::chrono::milliseconds(1500));
    mForwarder->AddTarget("back", "s", 2);
    mForwarder->RunFor(std::chrono::milliseconds(600));
    CPPUNIT_ASSERT(IsServed());
    mForwarder->Ask("/s/1");
    CPPUNIT_ASSERT(mForwarder->Has("back"));
    CPPUNIT_ASSERT(!mForwarder->Has("gone"));
    mForwarder->RemoveTarget("back");
    CPPUNIT_ASSERT(!IsServed());
  }

  void RemovesTargetsMissingFromAList()
  {
    mForwarder->AddTarget("t", "s");
    mForwarder->Deliver(EntriesListed{ StoreContent{ {}, StoreRevision(99) } });
    CPPUNIT_ASSERT(!IsServed());
  }

  void ListsAgainWhenHistoryIsLost()
  {
    mForwarder->mLists.clear();
    StoreChanges lost;
    lost.mIsHistoryLost = true;
    mForwarder->Deliver(ChangesWatched{ lost });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mForwarder->mLists.size());
  }

  /** Simulates a fleet whose targets change all the time: the more VMs follow
      the store, the fewer calls each makes, so that all together stay within
      the store's limit. Here each zone has too few VMs to share one watch. */
  void ReadsChangesLessOftenInLargerFleets()
  {
    constexpr unsigned kSeconds = 20;
    const auto callsWith = [&](unsigned aVms) {
      ForwarderHarness forwarder;
      for (unsigned vm = 1; vm < aVms; ++vm) {
        forwarder.Change(MemberChange{
          MemberRecord{ "vm-" + std::to_string(vm),
                        ZoneName("zone-" + std::to_string(vm / 3)),
                        {} } });
      }
      forwarder.RunFor(std::chrono::seconds(2));
      forwarder.mWatches.clear();
      forwarder.AddTarget("t", "s", 0);
      unsigned calls = 0;
      for (unsigned tenth = 0; tenth < 10 * kSeconds; ++tenth) {
        forwarder.RunFor(std::chrono::milliseconds(100));
        if (!forwarder.mWatches.empty()) {
          forwarder.mWatches.clear();
          ++calls;
          forwarder.AddTarget("t", "s", 1 + tenth);
        }
      }
      return calls;
    };
    const unsigned few = callsWith(9);
    const unsigned many = callsWith(70);
    CPPUNIT_ASSERT(few <= kSeconds * 10 / 8 && few >= kSeconds);
    CPPUNIT_ASSERT(many <= kSeconds * 10 / 16 && many >= kSeconds / 2);
  }

  /** Guards against continuing an old watch after an outage: it would return
      the missed changes in many small answers, too late for the newest
      configuration. */
  void ListsAllEntriesOnceTheStoreIsAvailable()
  {
    mForwarder->RunFor(std::chrono::seconds(2));
    mForwarder->Deliver(ChangesWatched{ tl::unexpected<Error>(StoreError()) });
    mForwarder->mLists.clear();
    mForwarder->mWatches.clear();
    mForwarder->RunFor(std::chrono::seconds(1));
    CPPUNIT_ASSERT(mForwarder->mWatches.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mForwarder->mLists.size());
  }

  void ReadsAgainImmediatelyAfterManyChanges()
  {
    constexpr std::size_t kChanges = 200;
    mForwarder->mWatches.clear();
    StoreChanges changes;
    changes.mRevision = StoreRevision(500);
    for (std::size_t count = 0; count < kChanges; ++count) {
      changes.mChanges.push_back(
        TargetRemoval{ InstanceId("t" + std::to_string(count)) });
    }
    mForwarder->Deliver(ChangesWatched{ changes });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mForwarder->mWatches.size());
    CPPUNIT_ASSERT(mForwarder->mWatches.front().mAfter == StoreRevision(500));
  }

  /** In whatever order versions arrive, and from whichever source, the one in
      force only rises. */
  void NeverAdoptsAnOlderConfiguration()
  {
    CPPUNIT_ASSERT(rc::check("the version in force only rises", [] {
      ForwarderHarness forwarder;
      const auto versions = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(1, 50));
      std::uint64_t newest = 0;
      for (const std::uint64_t version : versions) {
        forwarder.Configure({ SingleRoute("s", Repeatability::kIdempotent) },
                            version);
        newest = std::max(newest, version);
        RC_ASSERT(forwarder.mState.mConfiguration->mVersion.Value() == newest);
      }
    }));
  }

  /** Guards against reconnecting without delay to a target over its connection
      limit, which accepts connections and resets them: 2.5 million connections
      were opened in three seconds. */
  void DelaysReconnectsToATargetThatResetsConnections()
  {
    mForwarder->mResetting.push_back("t");
    mForwarder->AddTarget("t", "s");
    mForwarder->RunFor(std::chrono::seconds(10));
    CPPUNIT_ASSERT(mForwarder->mOpenedConnections >= 2);
    CPPUNIT_ASSERT(mForwarder->mOpenedConnections <= 15);
  }

  void RequestsRoutingFromOtherVmsWhileTheStoreIsUnavailable()
  {
    mForwarder->Change(MemberChange{
      MemberRecord{ "vm-b", ZoneName("b"), Endpoint{ "10.0.0.2", 7 } } });
    mForwarder->Deliver(ChangesWatched{ tl::unexpected<Error>(StoreError()) });
    mForwarder->RunFor(std::chrono::seconds(1));
    CPPUNIT_ASSERT(!mForwarder->mPeerRoutingRequests.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("vm-b"),
                         mForwarder->mPeerRoutingRequests.front().mPeer);
    const std::size_t asked = mForwarder->mPeerRoutingRequests.size();
    mForwarder->Deliver(ChangesWatched{ StoreChanges{} });
    mForwarder->RunFor(std::chrono::seconds(3));
    CPPUNIT_ASSERT(mForwarder->mPeerRoutingRequests.size() <= asked + 1);
  }

  /** Guards against adopting a configuration from another VM without the
      targets of its new services: VMs that could not reach the store then
      refused every search. */
  void AppliesTargetsFromOtherVmsWhileTheStoreIsUnavailable()
  {
    ForwarderHarness other;
    other.Configure({ SingleRoute("s", Repeatability::kIdempotent) });
    other.AddTarget("new", "s", 3);
    const RoutingReply sent = MakeRoutingReply(other.mState, {}, other.mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, sent.mTargets.size());
    mForwarder->AddTarget("old", "s", 7);
    PeerRouting routing;
    routing.mTargets = sent.mTargets;
    mForwarder->Deliver(routing);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mForwarder->mState.mTargets.size());
    mForwarder->Deliver(ChangesWatched{ tl::unexpected<Error>(StoreError()) });
    mForwarder->Deliver(routing);
    mForwarder->Ask("/s/1");
    CPPUNIT_ASSERT(mForwarder->Has("new"));
    CPPUNIT_ASSERT(!mForwarder->Has("old"));
    // A VM to which the store is unavailable too sends no targets.
    CPPUNIT_ASSERT(MakeRoutingReply(mForwarder->mState, {}, mForwarder->mNow)
                     .mTargets.empty());
  }

private:
  std::unique_ptr<ForwarderHarness> mForwarder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistryTests);
