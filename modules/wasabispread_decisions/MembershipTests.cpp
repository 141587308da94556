/*
 * Tests of the conditions that VMs assign to the members: alive, suspect,
 * leaving or dead.
 */
#include <tests/support/FakeFleet.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace wasabispread;
using namespace wasabispread::testing;

class MembershipTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MembershipTests);
  CPPUNIT_TEST(MembershipIsStableUnderLoss);
  CPPUNIT_TEST(DetectsDeathWithoutTheList);
  CPPUNIT_TEST(AcceptsPausedVmAgain);
  CPPUNIT_TEST(LearnsOfStopWithinSeconds);
  CPPUNIT_TEST(LearnsOfLeavingFromTheList);
  CPPUNIT_TEST(MarksNobodyDeadAcrossAPartition);
  CPPUNIT_TEST(AcceptsAStartWhoseClockIsBehind);
  CPPUNIT_TEST(LearnsOfNewVmDuringOutage);
  CPPUNIT_TEST(OrderOfUpdatesDoesNotMatter);
  CPPUNIT_TEST(NeighboursAreFewAndStable);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mFleet = std::make_unique<FakeFleet>(kSeed);
    mVms.clear();
    mFleet->mNetwork.mBetweenZones = std::chrono::milliseconds(5);
    for (unsigned index = 0; index < kVmsPerZone; ++index) {
      for (const char* zone : { "zone-a", "zone-b", "zone-c" }) {
        mVms.push_back(
          mFleet->AddVm(zone + ("-" + std::to_string(index)), zone));
      }
    }
    mFleet->RunFor(std::chrono::seconds(6));
  }

  void MembershipIsStableUnderLoss()
  {
    mFleet->mNetwork.mLoss = 0.05;
    // As long as three retransmissions in a row, so that some probes are not
    // answered in time.
    mFleet->mNetwork.mRetransmission = std::chrono::milliseconds(1400);
    std::vector<std::uint64_t> epochs;
    for (const VmId vm : mVms) {
      epochs.push_back(Members(vm).mEpoch);
    }
    mFleet->RunFor(std::chrono::minutes(10));
    for (std::size_t index = 0; index < mVms.size(); ++index) {
      CPPUNIT_ASSERT_EQUAL(epochs[index], Members(mVms[index]).mEpoch);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Deaths());
  }

  void DetectsDeathWithoutTheList()
  {
    mFleet->mNetwork.mLoss = 0.05;
    const VmId dead = mVms[10];
    mFleet->Kill(dead);
    CPPUNIT_ASSERT(AllAgree(dead, false, std::chrono::seconds(12)));
    mFleet->Restart(dead);
    CPPUNIT_ASSERT(AllAgree(dead, true, std::chrono::seconds(8)));
  }

  void AcceptsPausedVmAgain()
  {
    const VmId paused = mVms[10];
    mFleet->Pause(paused);
    CPPUNIT_ASSERT(AllAgree(paused, false, std::chrono::seconds(20)));
    mFleet->RunFor(std::chrono::minutes(1));
    mFleet->Resume(paused);
    CPPUNIT_ASSERT(AllAgree(paused, true, std::chrono::seconds(20)));
    // The paused VM has not marked others dead.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                         mFleet->State(paused).mCounters.mDeathsDeclared);
  }

  void LearnsOfStopWithinSeconds()
  {
    mFleet->mNetwork.mLoss = 0.05;
    mFleet->mPlatform.mIsUnavailable = true;
    const VmId stopped = mVms[4];
    mFleet->Stop(stopped);
    // It still accepts what other VMs send before they learn of the stop.
    CPPUNIT_ASSERT(!mFleet->State(stopped).IsDrained());
    CPPUNIT_ASSERT(AllAgree(stopped, false, std::chrono::seconds(4)));
    CPPUNIT_ASSERT(mFleet->State(stopped).IsDrained());
  }

  void LearnsOfLeavingFromTheList()
  {
    const VmId leaving = mVms[4];
    VmRecord record = *FindMember(Members(leaving), leaving);
    record.mLeaving = true;
    mFleet->mPlatform.SetVm(record);
    // The bound is the lag of the list, its next read, and the propagation of
    // the update.
    CPPUNIT_ASSERT(AllAgree(leaving, false, std::chrono::seconds(1 + 2 + 3)));
  }

  void MarksNobodyDeadAcrossAPartition()
  {
    mFleet->SetPartitioned("zone-a", "zone-b", true);
    mFleet->SetPartitioned("zone-a", "zone-c", true);
    mFleet->RunFor(std::chrono::minutes(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Deaths());
    for (const VmId vm : mVms) {
      const bool isPartitioned =
        mFleet->State(vm).mSelf.mZone == ZoneName("zone-a");
      CPPUNIT_ASSERT_EQUAL(!isPartitioned,
                           IsZoneReachable(Members(vm), ZoneName("zone-b")));
    }
    mFleet->SetPartitioned("zone-a", "zone-b", false);
    mFleet->SetPartitioned("zone-a", "zone-c", false);
    mFleet->RunFor(std::chrono::seconds(5));
    CPPUNIT_ASSERT(IsZoneReachable(Members(mVms[0]), ZoneName("zone-b")));
  }

  void AcceptsAStartWhoseClockIsBehind()
  {
    const VmId vm = mVms[7];
    mFleet->Kill(vm);
    mFleet->Restart(vm, Incarnation(1000));
    CPPUNIT_ASSERT(AllAgree(vm, true, std::chrono::seconds(12)));
    mFleet->Kill(vm);
    CPPUNIT_ASSERT(AllAgree(vm, false, std::chrono::seconds(12)));
    mFleet->Restart(vm, Incarnation(3));
    CPPUNIT_ASSERT(AllAgree(vm, true, std::chrono::seconds(12)));
  }

  void LearnsOfNewVmDuringOutage()
  {
    mFleet->mPlatform.mIsUnavailable = true;
    mFleet->mSettingsPeers = { *FindMember(Members(mVms[1]), mVms[1]) };
    const VmId started = mFleet->AddVm("started", "zone-a");
    CPPUNIT_ASSERT(AllAgree(started, true, std::chrono::seconds(8)));
    CPPUNIT_ASSERT_EQUAL(mVms.size() + 1, Members(started).mMembers.size());
  }

  void OrderOfUpdatesDoesNotMatter()
  {
    const bool holds = rc::check("the order of updates does not matter", [] {
      using StatedCondition = std::pair<unsigned, unsigned>;
      const auto statements = *rc::gen::container<std::vector<StatedCondition>>(
        rc::gen::pair(rc::gen::inRange(1U, 5U), rc::gen::inRange(0U, 4U)));
      auto shuffled = statements;
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      Random random(seed);
      for (std::size_t index = shuffled.size(); index > 1; --index) {
        std::swap(shuffled[index - 1], shuffled[random.Below(index)]);
      }
      const MemberHealth left = HealthAfter(statements);
      const MemberHealth right = HealthAfter(shuffled);
      RC_ASSERT(left.mVersion == right.mVersion);
      RC_ASSERT(left.mCondition == right.mCondition);
    });
    CPPUNIT_ASSERT(holds);
  }

  void NeighboursAreFewAndStable()
  {
    for (const VmId vm : mVms) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, Members(vm).mNeighbours.size());
    }
    const auto before = Members(mVms[0]).mNeighbours;
    std::size_t changed = 0;
    const VmId dead = mVms[10];
    std::map<VmId, std::set<VmId>> old;
    for (const VmId vm : mVms) {
      old[vm] = NeighboursOf(vm);
    }
    mFleet->Kill(dead);
    mFleet->RunFor(std::chrono::seconds(15));
    for (const VmId vm : mVms) {
      const bool isTouched = old[vm].contains(dead) || vm == dead;
      changed += !isTouched && NeighboursOf(vm) != old[vm] ? 1U : 0U;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, changed);
  }

private:
  static constexpr std::uint64_t kSeed = 23;
  static constexpr unsigned kVmsPerZone = 40;

  const MembershipState& Members(VmId aVm) const
  {
    return mFleet->State(aVm).mMembership;
  }

  std::set<VmId> NeighboursOf(VmId aVm) const
  {
    std::set<VmId> vms;
    for (const ProbedNeighbour& neighbour : Members(aVm).mNeighbours) {
      vms.insert(neighbour.mVm);
    }
    return vms;
  }

  static MemberHealth HealthAfter(
    const std::vector<std::pair<unsigned, unsigned>>& aStatements)
  {
    VmIdentity identity;
    identity.mId = VmId(1);
    VmState state = MakeVmState(identity, kSeed);
    MemberUpdate first;
    first.mVm = VmId(2);
    ApplyUpdate(state, first, Propagate::kNo);
    for (const auto& [version, condition] : aStatements) {
      MemberUpdate update = first;
      update.mVersion = MemberVersion(version);
      update.mCondition = static_cast<MemberCondition>(condition);
      ApplyUpdate(state, update, Propagate::kYes);
    }
    return state.mMembership.mHealth.at(VmId(2));
  }

  std::size_t Deaths() const
  {
    std::size_t deaths = 0;
    for (const DecisionRecord& record : mFleet->Records()) {
      const auto* change = std::get_if<MemberConditionChanged>(&record);
      const bool isDeath =
        change != nullptr && change->mCondition == MemberCondition::kDead;
      deaths += isDeath ? 1U : 0U;
    }
    return deaths;
  }

  /** Whether a VM has another one among the live members. */
  bool SeesAsLive(VmId aVm, VmId aOther) const
  {
    const ZoneName& zone = mFleet->State(aOther).mSelf.mZone;
    const auto live = Members(aVm).mLiveByZone.find(zone);
    return live != Members(aVm).mLiveByZone.end() &&
           std::binary_search(live->second.begin(), live->second.end(), aOther);
  }

  /** Whether all other VMs agree on a VM within a span, and still do 3 s
      later. */
  bool AllAgree(VmId aOther, bool aIsLive, Duration aSpan)
  {
    const auto agree = [this, aOther, aIsLive] {
      return std::all_of(
        mVms.begin(), mVms.end(), [this, aOther, aIsLive](VmId aVm) {
          return aVm == aOther || !mFleet->IsAlive(aVm) ||
                 mFleet->IsPaused(aVm) || SeesAsLive(aVm, aOther) == aIsLive;
        });
    };
    const bool isReached =
      mFleet->mTimeline.RunUntil(agree, mFleet->mTimeline.Now() + aSpan);
    mFleet->RunFor(std::chrono::seconds(3));
    return isReached && agree();
  }

  std::unique_ptr<FakeFleet> mFleet;
  std::vector<VmId> mVms;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTests);
