/*
 * Tests of what a forwarder believes: targets, the store, configurations.
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
  CPPUNIT_TEST(IgnoresOlderNewsOfATarget);
  CPPUNIT_TEST(TakesANewStartUnderTheSameName);
  CPPUNIT_TEST(KeepsLapsedTargetsForAWhile);
  CPPUNIT_TEST(RemovesTargetsThatAListLacks);
  CPPUNIT_TEST(ListsAgainWhenHistoryIsLost);
  CPPUNIT_TEST(NeverGoesBackToAnOlderConfiguration);
  CPPUNIT_TEST(BacksOffFromATargetThatResetsConnections);
  CPPUNIT_TEST(AsksOtherVmsWhileTheStoreIsAway);
  CPPUNIT_TEST(TakesTargetsFromOtherVmsWhileTheStoreIsAway);
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
    mForwarder->Deliver(CallerLeft{ caller });
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

  /** An entry written late must not bring a draining target back. */
  void IgnoresOlderNewsOfATarget()
  {
    mForwarder->AddTarget("t", "s", 5, true);
    mForwarder->AddTarget("t", "s", 4);
    CPPUNIT_ASSERT(!IsServed());
    mForwarder->RemoveTarget("t");
    mForwarder->AddTarget("t", "s", 4);
    CPPUNIT_ASSERT(!IsServed());
  }

  void TakesANewStartUnderTheSameName()
  {
    mForwarder->AddTarget("t", "s", 9, true, 1);
    mForwarder->AddTarget("t", "s", 0, false, 2);
    CPPUNIT_ASSERT(IsServed());
  }

  void KeepsLapsedTargetsForAWhile()
  {
    mForwarder->AddTarget("back", "s", 1);
    mForwarder->AddTarget("gone", "s", 1);
    mForwarder->Deliver(
      AreaWatched{ StoreArea::kTargets, tl::unexpected<Error>(StoreError()) });
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

  void RemovesTargetsThatAListLacks()
  {
    mForwarder->AddTarget("t", "s");
    mForwarder->Deliver(
      AreaListed{ StoreArea::kTargets, AreaContent{ {}, StoreRevision(99) } });
    CPPUNIT_ASSERT(!IsServed());
  }

  void ListsAgainWhenHistoryIsLost()
  {
    mForwarder->mLists.clear();
    AreaChanges lost;
    lost.mIsHistoryLost = true;
    mForwarder->Deliver(AreaWatched{ StoreArea::kTargets, lost });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mForwarder->mLists.size());
    CPPUNIT_ASSERT(mForwarder->mLists.front().mArea == StoreArea::kTargets);
  }

  /** Whatever order versions come in, from whom, the one in force only
      rises. */
  void NeverGoesBackToAnOlderConfiguration()
  {
    rc::check("versions rise", [] {
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
    });
  }

  /** A target over its limit accepts and resets: 2.5 million connections were
      opened in three seconds before. */
  void BacksOffFromATargetThatResetsConnections()
  {
    mForwarder->mResetting.push_back("t");
    mForwarder->AddTarget("t", "s");
    mForwarder->RunFor(std::chrono::seconds(10));
    CPPUNIT_ASSERT(mForwarder->mOpened >= 2);
    CPPUNIT_ASSERT(mForwarder->mOpened <= 15);
  }

  void AsksOtherVmsWhileTheStoreIsAway()
  {
    mForwarder->Change(StoreArea::kMembers,
                       MemberChange{ MemberRecord{
                         "vm-b", ZoneName("b"), Endpoint{ "10.0.0.2", 7 } } });
    mForwarder->Deliver(AreaWatched{ StoreArea::kConfiguration,
                                     tl::unexpected<Error>(StoreError()) });
    mForwarder->RunFor(std::chrono::seconds(1));
    CPPUNIT_ASSERT(!mForwarder->mPeersAsked.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("vm-b"),
                         mForwarder->mPeersAsked.front().mPeer);
    const std::size_t asked = mForwarder->mPeersAsked.size();
    mForwarder->Deliver(
      AreaWatched{ StoreArea::kConfiguration, AreaChanges{} });
    mForwarder->RunFor(std::chrono::seconds(3));
    CPPUNIT_ASSERT(mForwarder->mPeersAsked.size() <= asked + 1);
  }

  /** A configuration that names new services without their targets refused
      every search on VMs cut from the store. */
  void TakesTargetsFromOtherVmsWhileTheStoreIsAway()
  {
    ForwarderHarness other;
    other.Configure({ SingleRoute("s", Repeatability::kIdempotent) });
    other.AddTarget("new", "s", 3);
    const RoutingReply told = TellRouting(other.mState, 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, told.mTargets.size());
    mForwarder->AddTarget("old", "s", 7);
    PeerRouting routing;
    routing.mTargets = told.mTargets;
    mForwarder->Deliver(routing);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mForwarder->mState.mTargets.size());
    mForwarder->Deliver(
      AreaWatched{ StoreArea::kTargets, tl::unexpected<Error>(StoreError()) });
    mForwarder->Deliver(routing);
    mForwarder->Ask("/s/1");
    CPPUNIT_ASSERT(mForwarder->Has("new"));
    CPPUNIT_ASSERT(!mForwarder->Has("old"));
    // A VM to which the store does not answer either tells no targets.
    CPPUNIT_ASSERT(TellRouting(mForwarder->mState, 0).mTargets.empty());
  }

private:
  std::unique_ptr<ForwarderHarness> mForwarder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistryTests);
