/*
 * Tests of the age of the knowledge of keys, over arbitrary orders of answers
 * that are late, old or lost.
 */
#include <tests/support/ForwarderHarness.h>

#include <deque>
#include <random>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

namespace {

/** A store whose configuration changes, and a VM that learns of it by answers
    that take any time, or never come. */
class KnowledgeModel
{
public:
  explicit KnowledgeModel(std::uint32_t aSeed)
    : mRandom(aSeed)
    , mVm(StrictPolicy())
  {
    mWrites.push_back({ RealNow(), 1, 1 });
    for (const char* name : { "vm-b", "vm-c" }) {
      mVm.Change(MemberChange{
        MemberRecord{ name, ZoneName("b"), Endpoint{ name, 1 }, 1 } });
    }
    // The harness's own answers count from its clock.
    mVm.mState.mFreshness.mSoundUntil = TimePoint{};
    mRevision = mVm.mState.mStore.mRevision.Value();
  }

  void Step()
  {
    mVm.RunFor(std::chrono::milliseconds(1 + mRandom() % 120));
    if (mRandom() % 10 == 0) {
      ++mRevision;
      mWrites.push_back(
        { RealNow(), mRevision, ++mVersion, mRandom() % 6 != 0 });
    }
    if (mRandom() % 200 == 0) {
      const std::chrono::milliseconds time(100 + mRandom() % 5000);
      mVm.Deliver(MachineSuspended{ time });
      mSuspended += time;
    }
    AnswerNewQuestions();
    DeliverDue();
  }

  /** Whether the VM's knowledge is as new as it says: each configuration that
      was acknowledged before is in force. The VM's clock does not count
      suspensions. */
  bool IsHonest() const
  {
    const TimePoint soundUntil = mVm.mState.mFreshness.mSoundUntil + mSuspended;
    std::uint64_t needed = 0;
    for (const Write& write : mWrites) {
      if (write.mTime <= soundUntil) {
        needed = write.mVersion;
      }
    }
    const auto& configuration = mVm.mState.mConfiguration;
    return needed <= 1 || (configuration != nullptr &&
                           configuration->mVersion.Value() >= needed);
  }

private:
  struct Write
  {
    /** By a clock that counts suspensions. */
    TimePoint mTime{};
    std::uint64_t mRevision = 0;
    std::uint64_t mVersion = 0;
    bool mIsReadable = true;
  };

  struct Answer
  {
    TimePoint mArrives{};
    ForwarderEvent mEvent;
    /** The number of watches and lists when it was given: it is not read after
        another one was begun. */
    std::size_t mQuestions = 0;
  };

  static ForwarderPolicy StrictPolicy()
  {
    ForwarderPolicy policy = TestPolicy();
    policy.mKnowledgeRule = KnowledgeRule{ true, std::chrono::seconds(5) };
    return policy;
  }

  TimePoint RealNow() const { return mVm.mNow + mSuspended; }

  static StoreChange ChangeOf(const Write& aWrite)
  {
    return aWrite.mIsReadable
             ? StoreChange(ConfigurationOf(aWrite.mVersion))
             : StoreChange(UnreadableConfiguration{ "no JSON text" });
  }

  static ConfigurationChange ConfigurationOf(std::uint64_t aVersion)
  {
    RoutingConfiguration configuration;
    configuration.mVersion = ConfigurationVersion(aVersion);
    configuration.mOrganisations.emplace();
    return { std::make_shared<const RoutingConfiguration>(
               std::move(configuration)),
             std::make_shared<const std::string>("text") };
  }

  /** The changes after a revision, as the store had them a while ago. */
  StoreChanges ChangesAfter(std::uint64_t aAfter, std::size_t aMissing) const
  {
    StoreChanges changes;
    const std::size_t known =
      mWrites.size() - std::min(aMissing, mWrites.size());
    std::uint64_t revision = aAfter;
    for (std::size_t position = 0; position < known; ++position) {
      if (mWrites[position].mRevision > aAfter) {
        changes.mChanges.push_back(ChangeOf(mWrites[position]));
        revision = std::max(revision, mWrites[position].mRevision);
      }
    }
    changes.mRevision = StoreRevision(revision);
    return changes;
  }

  void Send(ForwarderEvent aEvent)
  {
    if (mRandom() % 5 != 0) {
      const std::chrono::milliseconds time(mRandom() % 4 == 0 ? mRandom() % 6000
                                                              : mRandom() % 40);
      mAnswers.push_back({ mVm.mNow + time, std::move(aEvent), Questions() });
    }
  }

  std::size_t Questions() const
  {
    return mVm.mWatches.size() + mVm.mLists.size() + mVm.mAbandonedWatches;
  }

  /** The store and the other VMs answer at once; the answers take time. */
  void AnswerNewQuestions()
  {
    for (; mWatches < mVm.mWatches.size(); ++mWatches) {
      // A watch that is abandoned gets no answer.
      mPendingWatch = mVm.mWatches[mWatches].mAfter;
    }
    if (mPendingWatch && mRandom() % 3 == 0 && mVm.mState.mStore.mPendingCall) {
      mAnswers.push_back(
        { mVm.mNow + std::chrono::milliseconds(
                       mRandom() % 3 == 0 ? mRandom() % 4000 : mRandom() % 30),
          ChangesWatched{ ChangesAfter(mPendingWatch->Value(), 0) },
          Questions() });
      mPendingWatch.reset();
    }
    for (; mChecks < mVm.mStoreChecks; ++mChecks) {
      mAnswers.push_back(
        { mVm.mNow + std::chrono::milliseconds(mRandom() % 1500),
          StoreChecked{ StoreRevision(mRevision) },
          Questions() });
    }
    for (; mLists < mVm.mLists.size(); ++mLists) {
      const bool mayBeOld = mVm.mLists[mLists].mMayBeOld;
      StoreContent content;
      const StoreChanges all = ChangesAfter(0, mayBeOld ? mRandom() % 3 : 0);
      content.mEntries = all.mChanges;
      content.mRevision = content.mNewestRevision = all.mRevision;
      mAnswers.push_back(
        { mVm.mNow + std::chrono::milliseconds(mRandom() % 800),
          EntriesListed{ std::move(content) },
          Questions() });
    }
    for (; mRoutings < mVm.mPeerRoutingRequests.size(); ++mRoutings) {
      AnswerRouting(mVm.mPeerRoutingRequests[mRoutings]);
    }
  }

  /** Another VM whose knowledge is some time old. */
  void AnswerRouting(const RequestPeerRouting& aRequest)
  {
    Duration age = std::chrono::milliseconds(mRandom() % 3000);
    // It states an age from before a text that it cannot read.
    for (auto write = mWrites.rbegin(); write != mWrites.rend(); ++write) {
      if (write->mTime > RealNow() - age) {
        continue;
      }
      if (write->mIsReadable) {
        break;
      }
      age = RealNow() - write->mTime + std::chrono::milliseconds(1);
    }
    PeerRouting routing;
    routing.mSequence = aRequest.mSequence;
    routing.mAge = age;
    routing.mTargets.push_back({ "t", 1, 1, ServiceId(1), { "t", 1 }, {}, 1 });
    for (const Write& write : mWrites) {
      if (write.mTime <= RealNow() - age && write.mIsReadable) {
        routing.mConfiguration = ConfigurationOf(write.mVersion);
      }
    }
    Send(std::move(routing));
  }

  void DeliverDue()
  {
    for (std::size_t position = 0; position < mAnswers.size();) {
      if (mAnswers[position].mArrives > mVm.mNow) {
        ++position;
        continue;
      }
      Answer answer = std::move(mAnswers[position]);
      mAnswers.erase(mAnswers.begin() + static_cast<std::ptrdiff_t>(position));
      Deliver(std::move(answer));
    }
  }

  /** Delivers an answer unless its question was given up. */
  void Deliver(Answer aAnswer)
  {
    const bool isRead =
      std::holds_alternative<StoreChecked>(aAnswer.mEvent) ||
      std::holds_alternative<PeerRouting>(aAnswer.mEvent) ||
      (aAnswer.mQuestions == Questions() && mVm.mState.mStore.mPendingCall);
    if (isRead) {
      mVm.Deliver(std::move(aAnswer.mEvent));
    }
  }

  std::mt19937 mRandom;
  ForwarderHarness mVm;
  std::vector<Write> mWrites;
  std::uint64_t mRevision = 1;
  std::uint64_t mVersion = 1;
  Duration mSuspended{};
  std::deque<Answer> mAnswers;
  std::optional<StoreRevision> mPendingWatch;
  std::size_t mWatches = 0;
  std::size_t mChecks = 0;
  std::size_t mLists = 0;
  std::size_t mRoutings = 0;
};

} // namespace

class KnowledgeTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(KnowledgeTests);
  CPPUNIT_TEST(NeverClaimsToKnowMoreThanItDoes);
  CPPUNIT_TEST(CountsFromTheQuestionToARelay);
  CPPUNIT_TEST(CountsFromTheQuestionToAnotherVm);
  CPPUNIT_TEST(AsksTheStoreItselfWhenItMustBeStrict);
  CPPUNIT_TEST(ProvesNothingByAConfigurationThatCannotBeRead);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Guards against a key that is served after its withdrawal because an answer
      that took long was taken for news. */
  void NeverClaimsToKnowMoreThanItDoes()
  {
    CPPUNIT_ASSERT(rc::check("what was acknowledged is in force", [] {
      KnowledgeModel model(
        static_cast<std::uint32_t>(*rc::gen::inRange(0, 1 << 30)));
      for (int step = 0; step < 300; ++step) {
        model.Step();
        RC_ASSERT(model.IsHonest());
      }
    }));
  }

  /** An answer of another VM that was under way for long is as old as its
      question. */
  void CountsFromTheQuestionToARelay()
  {
    ForwarderHarness vm;
    for (const char* name : { "vm-b", "vm-c", "vm-d", "vm-e" }) {
      vm.Change(MemberChange{
        MemberRecord{ name, ZoneName("a"), Endpoint{ name, 1 }, 1 } });
    }
    CPPUNIT_ASSERT(vm.mState.mRelay.mAwaited.has_value());
    const std::uint64_t sequence = vm.mState.mRelay.mAwaited->mSequence;
    const TimePoint asked = vm.mState.mStore.mPendingCall->mSince;
    vm.mNow += std::chrono::milliseconds(900);
    PeerChanges changes;
    changes.mSequence = sequence;
    changes.mSoundAge = std::chrono::milliseconds(200);
    vm.Deliver(changes);
    CPPUNIT_ASSERT(vm.mState.mFreshness.mSoundUntil ==
                   asked - std::chrono::milliseconds(200));
  }

  void CountsFromTheQuestionToAnotherVm()
  {
    ForwarderHarness vm;
    vm.Change(MemberChange{
      MemberRecord{ "vm-b", ZoneName("b"), Endpoint{ "vm-b", 1 }, 1 } });
    vm.mState.mFreshness.mSoundUntil = TimePoint{};
    vm.Deliver(ChangesWatched{
      Fail(ErrorKind::kPlatformUnavailable, "no answer", "wait") });
    const TimePoint asked = vm.mNow;
    PeerRouting routing;
    routing.mSequence = vm.mPeerRoutingRequests.back().mSequence;
    routing.mAge = std::chrono::milliseconds(200);
    vm.mNow += std::chrono::milliseconds(900);
    PeerRouting unasked = routing;
    unasked.mSequence += 100;
    vm.Deliver(unasked);
    CPPUNIT_ASSERT(vm.mState.mFreshness.mSoundUntil == TimePoint{});
    vm.Deliver(routing);
    CPPUNIT_ASSERT(vm.mState.mFreshness.mSoundUntil ==
                   asked - std::chrono::milliseconds(200));
  }

  /** What another VM reports unasked is no proof: its way may have taken any
      time. */
  void AsksTheStoreItselfWhenItMustBeStrict()
  {
    ForwarderPolicy policy = TestPolicy();
    policy.mKnowledgeRule = KnowledgeRule{ true, std::chrono::seconds(5) };
    ForwarderHarness vm(policy);
    vm.Configure({ SingleRoute("s", Repeatability::kIdempotent) },
                 OrganisationDirectory{},
                 1);
    vm.RunFor(std::chrono::seconds(2));
    const std::size_t before = vm.mStoreChecks;
    vm.AnswerStoreChecksWith(vm.mState.mStore.mRevision);
    for (int second = 0; second < 20; ++second) {
      vm.Deliver(RevisionReported{ vm.mState.mStore.mRevision, {} });
      vm.RunFor(std::chrono::milliseconds(500));
      CPPUNIT_ASSERT(SoundAge(vm.mState, vm.mNow) <
                     UsableAge(policy.mKnowledgeRule));
    }
    CPPUNIT_ASSERT(vm.mStoreChecks - before <= 12);
  }

  /** Guards against a key that is served for good after its withdrawal by a
      text that a VM cannot read, because the VM heard the store. */
  void ProvesNothingByAConfigurationThatCannotBeRead()
  {
    ForwarderPolicy policy = TestPolicy();
    policy.mKnowledgeRule = KnowledgeRule{ true, std::chrono::seconds(5) };
    ForwarderHarness vm(policy);
    const auto configure = [&](std::uint64_t aVersion) {
      vm.Configure({ SingleRoute("s", Repeatability::kIdempotent) },
                   OrganisationDirectory{},
                   aVersion);
    };
    const auto kindOf = [&](const char* aTarget) {
      return std::get<Problem>(*vm.AnswerTo(vm.Ask(aTarget))).mKind;
    };
    const auto stayInTouch = [&](int aSteps) {
      for (int step = 0; step < aSteps; ++step) {
        vm.AnswerStoreChecksWith(vm.mState.mStore.mRevision);
        vm.RunFor(std::chrono::milliseconds(500));
      }
    };
    configure(1);
    CPPUNIT_ASSERT(kindOf("/added/") == ProblemKind::kNoRoute);
    vm.Change(UnreadableConfiguration{ "no JSON text" });
    const TimePoint soundUntil = vm.mState.mFreshness.mSoundUntil;
    stayInTouch(10);
    CPPUNIT_ASSERT(vm.mState.mFreshness.mSoundUntil == soundUntil);
    CPPUNIT_ASSERT(RefusesKeys(vm.mState, vm.mNow));
    // Other VMs are told no younger age.
    CPPUNIT_ASSERT(*MakeRoutingReply(vm.mState, {}, vm.mNow).mAge ==
                   vm.mNow - soundUntil);
    CPPUNIT_ASSERT(kindOf("/added/") == ProblemKind::kNotRun);
    CPPUNIT_ASSERT(vm.mState.mConfiguration->mVersion.Value() == 1);
    configure(2);
    stayInTouch(4);
    CPPUNIT_ASSERT(!RefusesKeys(vm.mState, vm.mNow));
    CPPUNIT_ASSERT(kindOf("/added/") == ProblemKind::kNoRoute);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KnowledgeTests);
