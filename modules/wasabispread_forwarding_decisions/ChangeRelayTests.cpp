/*
 * Tests of changes of the store that one VM of a zone passes on to the others.
 */
#include <tests/support/ForwarderHarness.h>

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

namespace {

Duration
Milliseconds(std::int64_t aCount)
{
  return std::chrono::milliseconds(aCount);
}

template<class Message>
std::vector<Message>
SentTo(const ForwarderHarness& aForwarder, const std::string& aVm)
{
  std::vector<Message> sent;
  for (const SendPeerMessage& message : aForwarder.mPeerMessages) {
    const auto* wanted = std::get_if<Message>(&message.mMessage);
    if (wanted != nullptr && message.mVm == IdFromName<VmId>(aVm)) {
      sent.push_back(*wanted);
    }
  }
  return sent;
}

MemberRecord
MemberOf(const std::string& aName, double aProcessorShare)
{
  return { aName, ZoneName("a"), Endpoint{ aName, 1 }, aProcessorShare };
}

TargetChange
NewTarget(const std::string& aInstance)
{
  TargetRecord record;
  record.mInstance = InstanceId(aInstance);
  record.mBorn = 1;
  record.mSequence = 1;
  record.mService = IdFromName<ServiceId>("s");
  record.mAddress = Endpoint{ aInstance, 1 };
  record.mZone = ZoneName("a");
  record.mSlots = 1;
  return { record };
}

} // namespace

class ChangeRelayTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ChangeRelayTests);
  CPPUNIT_TEST(AsksTheVmWithTheLargestProcessorShare);
  CPPUNIT_TEST(FollowsTheStoreItselfInASmallZone);
  CPPUNIT_TEST(AppliesChangesAndAsksAgain);
  CPPUNIT_TEST(FollowsTheStoreItselfWithoutAnAnswer);
  CPPUNIT_TEST(FollowsTheStoreItselfWhenTheRelayDoesNotHearFromIt);
  CPPUNIT_TEST(AsksAgainSoonAfterARefusal);
  CPPUNIT_TEST(KeepsTheIntervalOfReadsWhenRefusedAgain);
  CPPUNIT_TEST(AsksAnotherVmWhileOneIsUnavailable);
  CPPUNIT_TEST(IgnoresALateAnswer);
  CPPUNIT_TEST(PassesChangesOnToVmsThatAsk);
  CPPUNIT_TEST(AnswersWithoutChangesAfterAShortWait);
  CPPUNIT_TEST(RefusesVmsWhoseChangesItNoLongerHas);
  CPPUNIT_TEST(RefusesWhileTheStoreIsUnavailable);
  CPPUNIT_TEST(RefusesWhileStopping);
  CPPUNIT_TEST(ReplacesAWatchWithALostAnswerWhileAsked);
  CPPUNIT_TEST(ReplacesAWatchWithALostAnswerFromBeforeItWasAsked);
  CPPUNIT_TEST(DoesNotTakeARenewedLeaseForNewsOfTheStore);
  CPPUNIT_TEST(TriesTheStoreOftenEnoughForAConfiguration);
  CPPUNIT_TEST(TriesTheStoreWhenTheRelayReachesIt);
  CPPUNIT_TEST(TellsItsZoneThatTheStoreIsBack);
  CPPUNIT_TEST(IsNotReadyBeforeItCaughtUpWithItsFirstList);
  CPPUNIT_TEST(KeepsWhatIsNewerThanAListFromTheStore);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mForwarder = std::make_unique<ForwarderHarness>(); }

  void AsksTheVmWithTheLargestProcessorShare()
  {
    JoinZone();
    CPPUNIT_ASSERT(!SentTo<ChangesRequest>(*mForwarder, "vm-3").empty());
    CPPUNIT_ASSERT(SentTo<ChangesRequest>(*mForwarder, "vm-1").empty());
  }

  void FollowsTheStoreItselfInASmallZone()
  {
    mForwarder->Change(MemberChange{ MemberOf("vm-a", 0.1) });
    mForwarder->Change(MemberChange{ MemberOf("vm-1", 0.5) });
    mForwarder->mWatches.clear();
    mForwarder->RunFor(std::chrono::seconds(2));
    CPPUNIT_ASSERT(!mForwarder->mWatches.empty());
    CPPUNIT_ASSERT(mForwarder->mPeerMessages.empty());
  }

  void AppliesChangesAndAsksAgain()
  {
    JoinZone();
    const std::size_t asked = Requests().size();
    StoreChanges changes;
    changes.mChanges.push_back(NewTarget("t"));
    changes.mRevision =
      StoreRevision(mForwarder->mState.mStore.mRevision.Value() + 1);
    AnswerWith({ changes });
    CPPUNIT_ASSERT(
      mForwarder->mState.mTargetOfInstance.contains(InstanceId("t")));
    CPPUNIT_ASSERT_EQUAL(asked + 1, Requests().size());
    CPPUNIT_ASSERT_EQUAL(changes.mRevision.Value(), Requests().back().mAfter);
    CPPUNIT_ASSERT(mForwarder->mWatches.empty());
  }

  void FollowsTheStoreItselfWithoutAnAnswer()
  {
    JoinZone();
    mForwarder->RunFor(Milliseconds(1000));
    CPPUNIT_ASSERT(mForwarder->mWatches.empty());
    mForwarder->RunFor(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mForwarder->mWatches.size());
  }

  void FollowsTheStoreItselfWhenTheRelayDoesNotHearFromIt()
  {
    JoinZone();
    PeerChanges answer;
    answer.mSequence = Requests().back().mSequence;
    answer.mAge = std::chrono::seconds(2);
    mForwarder->Deliver(answer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mForwarder->mWatches.size());
  }

  void AsksAgainSoonAfterARefusal()
  {
    JoinZone();
    PeerChanges answer;
    answer.mSequence = Requests().back().mSequence;
    answer.mIsRefused = true;
    mForwarder->Deliver(answer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mForwarder->mWatches.size());
    CPPUNIT_ASSERT(mForwarder->mWatches.back().mWait <= Milliseconds(1000));
    const std::size_t asked = Requests().size();
    mForwarder->Deliver(ChangesWatched{
      StoreChanges{ {}, mForwarder->mState.mStore.mRevision, {}, {}, false } });
    CPPUNIT_ASSERT_EQUAL(asked + 1, Requests().size());
  }

  /** Guards against calls without end while the store changes all the time and
      the relay keeps refusing. */
  void KeepsTheIntervalOfReadsWhenRefusedAgain()
  {
    JoinZone();
    const TimePoint until = mForwarder->mNow + std::chrono::seconds(10);
    std::uint64_t revision = 1000;
    while (mForwarder->mNow < until) {
      mForwarder->RunFor(Milliseconds(20));
      PeerChanges refusal;
      refusal.mSequence = Requests().back().mSequence;
      refusal.mIsRefused = true;
      mForwarder->Deliver(refusal);
      if (mForwarder->mWatches.size() > mAnsweredWatches) {
        mAnsweredWatches = mForwarder->mWatches.size();
        StoreChanges changes;
        changes.mChanges.push_back(NewTarget("t" + std::to_string(revision)));
        changes.mRevision = StoreRevision(++revision);
        mForwarder->Deliver(ChangesWatched{ changes });
      }
    }
    CPPUNIT_ASSERT(mForwarder->mWatches.size() >= 5);
    CPPUNIT_ASSERT(mForwarder->mWatches.size() <= 14);
  }

  void AsksAnotherVmWhileOneIsUnavailable()
  {
    JoinZone();
    PeerChanges refusal;
    refusal.mSequence = Requests().back().mSequence;
    refusal.mIsRefused = true;
    refusal.mIsUnavailable = true;
    mForwarder->Deliver(refusal);
    mForwarder->RunFor(Milliseconds(900));
    mForwarder->Deliver(ChangesWatched{
      StoreChanges{ {}, mForwarder->mState.mStore.mRevision, {}, {}, false } });
    CPPUNIT_ASSERT(!SentTo<ChangesRequest>(*mForwarder, "vm-1").empty() ||
                   !SentTo<ChangesRequest>(*mForwarder, "vm-2").empty());
  }

  void IgnoresALateAnswer()
  {
    JoinZone();
    const std::uint64_t late = Requests().back().mSequence;
    mForwarder->RunFor(Milliseconds(1500));
    PeerChanges answer;
    answer.mSequence = late;
    StoreChanges changes;
    changes.mChanges.push_back(NewTarget("t"));
    changes.mRevision = StoreRevision(1000);
    answer.mChanges = { changes };
    mForwarder->Deliver(answer);
    CPPUNIT_ASSERT(
      !mForwarder->mState.mTargetOfInstance.contains(InstanceId("t")));
  }

  void PassesChangesOnToVmsThatAsk()
  {
    const StoreRevision before = mForwarder->mState.mStore.mRevision;
    Ask("vm-1", before);
    CPPUNIT_ASSERT(SentTo<ChangesReply>(*mForwarder, "vm-1").empty());
    WatchedText("first");
    const auto replies = SentTo<ChangesReply>(*mForwarder, "vm-1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, replies.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, replies.front().mTexts.size());
    const auto& text = *replies.front().mTexts.front();
    CPPUNIT_ASSERT_EQUAL(std::string("first"),
                         *Decompress(text.mCompressed, text.mSize));
    // A VM that lags behind gets all that it misses, in order.
    WatchedText("second");
    Ask("vm-2", before);
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 2 },
      SentTo<ChangesReply>(*mForwarder, "vm-2").back().mTexts.size());
  }

  void AnswersWithoutChangesAfterAShortWait()
  {
    Ask("vm-1", mForwarder->mState.mStore.mRevision);
    mForwarder->RunFor(Milliseconds(700));
    const auto replies = SentTo<ChangesReply>(*mForwarder, "vm-1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, replies.size());
    CPPUNIT_ASSERT(!replies.front().mIsRefused);
    CPPUNIT_ASSERT(replies.front().mTexts.empty());
    CPPUNIT_ASSERT(replies.front().mAge > Milliseconds(500));
  }

  void RefusesVmsWhoseChangesItNoLongerHas()
  {
    Ask("vm-1", StoreRevision(0));
    CPPUNIT_ASSERT(SentTo<ChangesReply>(*mForwarder, "vm-1").back().mIsRefused);
  }

  void RefusesWhileTheStoreIsUnavailable()
  {
    Ask("vm-1", mForwarder->mState.mStore.mRevision);
    mForwarder->Deliver(ChangesWatched{ tl::unexpected<Error>(
      Error{ ErrorKind::kPlatformUnavailable, "down", "wait" }) });
    CPPUNIT_ASSERT(SentTo<ChangesReply>(*mForwarder, "vm-1").back().mIsRefused);
    Ask("vm-2", mForwarder->mState.mStore.mRevision);
    CPPUNIT_ASSERT(SentTo<ChangesReply>(*mForwarder, "vm-2").back().mIsRefused);
  }

  void RefusesWhileStopping()
  {
    Ask("vm-1", mForwarder->mState.mStore.mRevision);
    mForwarder->Deliver(ForwarderStopRequested{});
    CPPUNIT_ASSERT(SentTo<ChangesReply>(*mForwarder, "vm-1").back().mIsRefused);
  }

  /** Guards against a zone without changes because one answer was lost. */
  void ReplacesAWatchWithALostAnswerWhileAsked()
  {
    Ask("vm-1", mForwarder->mState.mStore.mRevision);
    WatchedText("text");
    Ask("vm-1", mForwarder->mState.mStore.mRevision);
    mForwarder->RunFor(std::chrono::seconds(1));
    ExpectLostAnswerToBeNoticed();
  }

  /** Guards against a long watch that began before the other VMs asked this
     one, and whose answer is lost. */
  void ReplacesAWatchWithALostAnswerFromBeforeItWasAsked()
  {
    for (const char* name : { "vm-1", "vm-2", "vm-3" }) {
      mForwarder->Change(MemberChange{ MemberOf(name, 0.1) });
    }
    mForwarder->mWatches.clear();
    mForwarder->Change(MemberChange{ MemberOf("vm-a", 0.5) });
    mForwarder->RunFor(std::chrono::seconds(1));
    CPPUNIT_ASSERT(SentTo<ChangesRequest>(*mForwarder, "vm-1").empty());
    ExpectLostAnswerToBeNoticed();
  }

  /** Guards against a relay that counts as fresh while its watch is silent. */
  void DoesNotTakeARenewedLeaseForNewsOfTheStore()
  {
    mForwarder->RunFor(std::chrono::seconds(5));
    mForwarder->Deliver(LeaseRenewed{ true });
    Ask("vm-1", mForwarder->mState.mStore.mRevision);
    mForwarder->RunFor(Milliseconds(700));
    CPPUNIT_ASSERT(SentTo<ChangesReply>(*mForwarder, "vm-1").back().mAge >=
                   std::chrono::seconds(5));
  }

  /** Guards against a VM that acts by an old configuration long after the store
      is available again. The load: an outage in which no other VM is heard. */
  void TriesTheStoreOftenEnoughForAConfiguration()
  {
    constexpr Duration kConfigurationTime = std::chrono::seconds(5);
    JoinZone();
    TimePoint last = mForwarder->mNow;
    FailStore();
    for (int failure = 0; failure < 200; ++failure) {
      while (!IsStoreCalled()) {
        mForwarder->RunFor(Milliseconds(10));
        CPPUNIT_ASSERT(mForwarder->mNow - last < kConfigurationTime * 2 / 3);
      }
      last = mForwarder->mNow;
      FailStore();
    }
  }

  /** Guards against the same where the VM that watches for the zone reaches the
      store again. */
  void TriesTheStoreWhenTheRelayReachesIt()
  {
    JoinZone();
    for (int failure = 0; failure < 6; ++failure) {
      FailStore();
      while (!IsStoreCalled()) {
        mForwarder->RunFor(Milliseconds(10));
      }
    }
    FailStore();
    const std::size_t lists = mForwarder->mLists.size();
    mForwarder->Deliver(RevisionReported{ StoreRevision(9), {} });
    mForwarder->RunFor(Milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(lists, mForwarder->mLists.size());
    mForwarder->RunFor(Milliseconds(800));
    CPPUNIT_ASSERT_EQUAL(lists + 1, mForwarder->mLists.size());
  }

  void TellsItsZoneThatTheStoreIsBack()
  {
    mForwarder->Change(MemberChange{ MemberOf("vm-a", 0.5) });
    for (const char* name : { "vm-1", "vm-2", "vm-3" }) {
      mForwarder->Change(MemberChange{ MemberOf(name, 0.1) });
    }
    MemberRecord other = MemberOf("vm-4", 0.1);
    other.mZone = ZoneName("b");
    mForwarder->Change(MemberChange{ other });
    FailStore();
    mForwarder->RunFor(std::chrono::seconds(2));
    mForwarder->mPeerMessages.clear();
    // The leases of the other VMs ended in the outage.
    mForwarder->Deliver(EntriesListed{
      StoreContent{ {}, mForwarder->mState.mStore.mRevision, {} } });
    for (const char* name : { "vm-1", "vm-2", "vm-3" }) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                           SentTo<RevisionReport>(*mForwarder, name).size());
    }
    CPPUNIT_ASSERT(SentTo<RevisionReport>(*mForwarder, "vm-4").empty());
    mForwarder->Deliver(EntriesListed{
      StoreContent{ {}, mForwarder->mState.mStore.mRevision, {} } });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         SentTo<RevisionReport>(*mForwarder, "vm-1").size());
  }

  /** Guards against a restarted VM that uses a target which left while the list
      that it reads first was already old. */
  void IsNotReadyBeforeItCaughtUpWithItsFirstList()
  {
    ForwarderState state = MakeForwarderState(ForwarderPolicy{}, 1);
    const TimePoint now(std::chrono::seconds(1));
    Reduce(state, ForwarderStarted{}, now);
    StoreContent old{ { NewTarget("left"),
                        ConfigurationChange{
                          std::make_shared<const RoutingConfiguration>(),
                          std::make_shared<const std::string>("text") } },
                      StoreRevision(5) };
    const auto effects = Reduce(state, EntriesListed{ old }, now);
    CPPUNIT_ASSERT(!state.IsReady(now));
    CPPUNIT_ASSERT(std::any_of(
      effects.begin(), effects.end(), [](const ForwarderEffect& aEffect) {
        return std::holds_alternative<WatchStore>(aEffect);
      }));
    StoreChanges since;
    since.mChanges.push_back(TargetRemoval{ InstanceId("left") });
    since.mRevision = StoreRevision(9);
    Reduce(state, ChangesWatched{ since }, now);
    CPPUNIT_ASSERT(state.mTargetOfInstance.empty());
    CPPUNIT_ASSERT(state.mStore.mIsLoaded);
  }

  void KeepsWhatIsNewerThanAListFromTheStore()
  {
    mForwarder->Change(NewTarget("t"));
    mForwarder->Deliver(ChangesWatched{ tl::unexpected<Error>(
      Error{ ErrorKind::kPlatformUnavailable, "down", "wait" }) });
    mForwarder->RunFor(std::chrono::seconds(2));
    CPPUNIT_ASSERT(mForwarder->mLists.back().mMayBeOld);
    mForwarder->Deliver(EntriesListed{ StoreContent{ {}, StoreRevision(1) } });
    CPPUNIT_ASSERT(
      mForwarder->mState.mTargetOfInstance.contains(InstanceId("t")));
    CPPUNIT_ASSERT(!mForwarder->mLists.back().mMayBeOld);
  }

private:
  /** Lets the store change without an answer to the watch under way, and
      expects the watch to be replaced within three seconds. */
  void ExpectLostAnswerToBeNoticed()
  {
    CPPUNIT_ASSERT(!mForwarder->mWatches.empty());
    const std::size_t watches = mForwarder->mWatches.size();
    mForwarder->AnswerStoreChecksWith(
      StoreRevision(mForwarder->mState.mStore.mRevision.Value() + 1));
    mForwarder->RunFor(std::chrono::seconds(3));
    CPPUNIT_ASSERT(mForwarder->mAbandonedWatches >= 1);
    CPPUNIT_ASSERT(mForwarder->mWatches.size() > watches);
  }

  /** Lets the call to the store under way fail. */
  void FailStore()
  {
    const Error error{ ErrorKind::kPlatformUnavailable, "down", "wait" };
    if (mForwarder->mState.mStore.mNeedsList) {
      mForwarder->Deliver(EntriesListed{ tl::unexpected<Error>(error) });
    } else {
      mForwarder->Deliver(ChangesWatched{ tl::unexpected<Error>(error) });
    }
  }

  bool IsStoreCalled() const
  {
    const auto& call = mForwarder->mState.mStore.mPendingCall;
    return call && call->mKind != PendingStoreCall::Kind::kRelay;
  }

  /** Adds three VMs to the zone, of which vm-3 is the largest. */
  void JoinZone()
  {
    mForwarder->Change(MemberChange{ MemberOf("vm-a", 0.1) });
    mForwarder->Change(MemberChange{ MemberOf("vm-1", 0.2) });
    mForwarder->Change(MemberChange{ MemberOf("vm-2", 0.2) });
    mForwarder->mWatches.clear();
    mForwarder->Change(MemberChange{ MemberOf("vm-3", 0.5) });
    CPPUNIT_ASSERT(mForwarder->mWatches.empty());
  }

  std::vector<ChangesRequest> Requests() const
  {
    return SentTo<ChangesRequest>(*mForwarder, "vm-3");
  }

  void AnswerWith(std::vector<StoreChanges> aChanges)
  {
    PeerChanges answer;
    answer.mSequence = Requests().back().mSequence;
    answer.mChanges = std::move(aChanges);
    mForwarder->Deliver(answer);
  }

  void Ask(const std::string& aVm, StoreRevision aAfter)
  {
    mForwarder->Deliver(
      ChangesRequested{ IdFromName<VmId>(aVm),
                        Endpoint{ aVm, 1 },
                        ChangesRequest{ 7, aAfter.Value() } });
  }

  /** Delivers an answer of the store with one change. */
  void WatchedText(const std::string& aText)
  {
    StoreChanges changes;
    changes.mChanges.push_back(NewTarget(aText));
    changes.mRevision =
      StoreRevision(mForwarder->mState.mStore.mRevision.Value() + 1);
    changes.mText = std::make_shared<const std::string>(aText);
    mForwarder->Deliver(ChangesWatched{ std::move(changes) });
  }

  std::unique_ptr<ForwarderHarness> mForwarder;
  std::size_t mAnsweredWatches = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeRelayTests);
