/*
 * Tests of connection shares, of the ranking of candidates, and of the failure
 * and replacement of target owners.
 */
#include <tests/support/DeploymentText.h>
#include <tests/support/FakeFleet.h>

#include <algorithm>
#include <map>
#include <set>

#include <rapidcheck.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
const Duration kHoldDelay = PlacementState{}.mHoldDelay;

VmRecord
ListedVm(int aNumber)
{
  VmRecord vm;
  vm.mName = "vm-" + std::to_string(aNumber);
  vm.mId = IdFromName<VmId>(vm.mName);
  vm.mZone = ZoneName("zone-a");
  vm.mPeerAddress = Endpoint{ vm.mName, 1 };
  return vm;
}

/** A VM of zone-a that has started, with a deployment of one target in
    force. */
VmState
MakeVm(int aNumber,
       std::uint32_t aCap,
       std::uint32_t aOwners,
       TimePoint aNow = kStart)
{
  const VmRecord self = ListedVm(aNumber);
  VmIdentity identity;
  identity.mId = self.mId;
  identity.mName = self.mName;
  identity.mZone = self.mZone;
  identity.mIncarnation = Incarnation(1);
  identity.mPeerAddress = self.mPeerAddress;
  VmState state = MakeVmState(std::move(identity), 1);
  state.mPlacement.mPolicy.mOwners = aOwners;
  Reduce(state, Started{}, aNow);
  ServiceText service;
  service.mZones = { "zone-a" };
  service.mShards = 1;
  service.mReplicas = 1;
  service.mConnectionCap = aCap;
  StoredConfiguration stored;
  stored.mStoreVersion = 1;
  stored.mRecord = ConfigurationRecord{};
  stored.mRecord->mRevision = Revision(1);
  stored.mRecord->mChangeId = "c1";
  stored.mRecord->mText = DeploymentText({ service });
  Reduce(state, StoreWatched{ stored }, aNow);
  return state;
}

/** Delivers the VM list to a VM at aPresent, which does not count as a
    pause. */
void
ShowList(VmState& aState, const std::set<int>& aListed, TimePoint aPresent)
{
  std::vector<VmRecord> list;
  list.reserve(aListed.size());
  for (const int vm : aListed) {
    list.push_back(ListedVm(vm));
  }
  aState.mPause.mLastSeen = aPresent;
  Reduce(aState, VmListReceived{ list }, aPresent);
}

/** The numbers of the bits set in a mask; the lowest bit has number aFirst. */
std::set<int>
VmsOf(unsigned aMask, int aFirst = 0)
{
  std::set<int> vms;
  for (int bit = 0; aMask >> static_cast<unsigned>(bit) != 0; ++bit) {
    if ((aMask >> static_cast<unsigned>(bit)) % 2 == 1) {
      vms.insert(aFirst + bit);
    }
  }
  return vms;
}

std::uint32_t
ShareOf(VmState& aState, std::uint32_t aCap, TimePoint aNow)
{
  return OwnConnectionShare(aState, 0, aCap, aNow);
}

} // namespace

class PlacementTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlacementTests);
  CPPUNIT_TEST(EvenSharesAddUpAndNeverGrow);
  CPPUNIT_TEST(SharesStayWithinTheCapWhileViewsDiffer);
  CPPUNIT_TEST(SharesStayWithinTheCapWhileTheListChanges);
  CPPUNIT_TEST(SharesCanExceedTheCapWhenALiveVmIsUnlistedForLong);
  CPPUNIT_TEST(UpdatedRankingEqualsFullRanking);
  CPPUNIT_TEST(RemovedVmMovesOnlyItsOwnGroups);
  CPPUNIT_TEST(StandbyTakesOverAtOnce);
  CPPUNIT_TEST(SurvivorsShareGrowsWithinTheStatedTime);
  CPPUNIT_TEST(NextZoneTakesOverForAZoneWithoutOwner);
  CPPUNIT_TEST(NoConnectIsRefusedWhileListsChange);
  CPPUNIT_TEST_SUITE_END();

public:
  void EvenSharesAddUpAndNeverGrow()
  {
    const bool holds = rc::check([] {
      const auto cap = *rc::gen::inRange<std::uint32_t>(1, 200);
      const auto parts = *rc::gen::inRange<std::size_t>(1, 12);
      std::uint32_t sum = 0;
      for (std::size_t part = 0; part < parts; ++part) {
        sum += EvenShare(cap, part, parts);
        RC_ASSERT(EvenShare(cap, part + 1, parts) <=
                  EvenShare(cap, part, parts));
        RC_ASSERT(EvenShare(cap, part, parts + 1) <=
                  EvenShare(cap, part, parts));
      }
      RC_ASSERT(sum == cap);
    });
    CPPUNIT_ASSERT(holds);
  }

  /** Each VM's list contains every VM that holds connections, and any others:
      VMs long gone, VMs just started, dead VMs. */
  void SharesStayWithinTheCapWhileViewsDiffer()
  {
    const bool holds = rc::check([] {
      const auto cap = *rc::gen::element<std::uint32_t>(1, 2, 3, 4, 25, 100);
      const auto owners = *rc::gen::inRange<std::uint32_t>(1, 4);
      const auto holders = *rc::gen::inRange(1, 7);
      std::uint32_t sum = 0;
      for (int vm = 0; vm < holders; ++vm) {
        VmState state = MakeVm(vm, cap, owners);
        std::set<int> listed = VmsOf(*rc::gen::inRange(0U, 256U), holders);
        for (int holder = 0; holder < holders; ++holder) {
          listed.insert(holder);
        }
        ShowList(state, listed, kStart);
        // The VM's view of which members are alive must not matter.
        state.mMembership.mLiveByZone.clear();
        ++state.mMembership.mEpoch;
        sum += ShareOf(state, cap, kStart + kHoldDelay);
      }
      RC_ASSERT(sum <= cap);
    });
    CPPUNIT_ASSERT(holds);
  }

  /** The list changes several times. Each VM reads the current list every two
      seconds from its start on. VMs start some time after they are first listed
      and die no later than they are removed from the list. */
  void SharesStayWithinTheCapWhileTheListChanges()
  {
    const bool holds = rc::check([] {
      const auto cap = *rc::gen::element<std::uint32_t>(1, 2, 3, 25);
      const auto owners = *rc::gen::inRange<std::uint32_t>(1, 4);
      constexpr int kEditions = 5;
      constexpr auto kStep = std::chrono::milliseconds(100);
      constexpr int kStepsPerReading = 20;
      std::map<int, VmState> states;
      std::map<int, int> startSteps;
      int step = 0;
      for (int number = 0; number < kEditions; ++number) {
        const std::set<int> edition = VmsOf(*rc::gen::inRange(0U, 64U));
        const auto unlisted = [&edition](const auto& aListed) {
          return !edition.contains(aListed.first);
        };
        std::erase_if(states, unlisted);
        std::erase_if(startSteps, unlisted);
        for (const int vm : edition) {
          startSteps.try_emplace(vm, step + *rc::gen::inRange(0, 30));
        }
        const int next = step + *rc::gen::inRange(0, 80);
        for (; step < next; ++step) {
          const TimePoint now = kStart + kStep * step;
          for (const auto& [vm, start] : startSteps) {
            if (step == start) {
              states.try_emplace(vm, MakeVm(vm, cap, owners, now));
            }
            if (step >= start && (step - start) % kStepsPerReading == 0) {
              ShowList(states.at(vm), edition, now);
            }
          }
          RC_ASSERT(SumOfShares(states, cap, now) <= cap);
        }
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  /** The limit of the guarantee: in this case only the target's own refusal
      enforces the cap. */
  void SharesCanExceedTheCapWhenALiveVmIsUnlistedForLong()
  {
    VmState first = MakeVm(1, 25, 2);
    VmState second = MakeVm(2, 25, 2);
    ShowList(first, { 1, 2 }, kStart);
    ShowList(second, { 1, 2 }, kStart);
    // One list without a VM does not remove it; the second one does.
    ShowList(second, { 2 }, kStart + std::chrono::seconds(5));
    ShowList(second, { 2 }, kStart + std::chrono::seconds(7));
    const TimePoint soon = kStart + std::chrono::seconds(7);
    CPPUNIT_ASSERT_EQUAL(25U,
                         ShareOf(first, 25, soon) + ShareOf(second, 25, soon));
    const TimePoint late = kStart + std::chrono::seconds(7) + kHoldDelay;
    second.mPause.mLastSeen = late;
    Reduce(second, Tick{}, late);
    CPPUNIT_ASSERT_EQUAL(25U, ShareOf(second, 25, late));
    CPPUNIT_ASSERT(ShareOf(first, 25, late) > 0);
  }

  void UpdatedRankingEqualsFullRanking()
  {
    const bool holds = rc::check([] {
      VmState state = MakeVm(0, 25, 2);
      TimePoint now = kStart;
      for (int number = 0; number < 12; ++number) {
        const std::set<int> listed = VmsOf(*rc::gen::inRange(0U, 1U << 20U));
        now += std::chrono::seconds(3);
        ShowList(state, listed, now);
        const bool isUsed = *rc::gen::arbitrary<bool>();
        if (!isUsed) {
          continue;
        }
        const auto kept = RankedCandidates(state, 0);
        state.mPlacement.mRankings[0] = GroupRanking{};
        const auto& anew = RankedCandidates(state, 0);
        const std::size_t owners = std::min<std::size_t>(2, anew.size());
        RC_ASSERT(kept.size() >= owners);
        for (std::size_t rank = 0; rank < owners; ++rank) {
          RC_ASSERT(kept[rank].mVm == anew[rank].mVm);
        }
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  void RemovedVmMovesOnlyItsOwnGroups()
  {
    VmState state = MakeVm(0, 25, 2);
    state.mConfiguration.mGroups.clear();
    for (std::uint64_t group = 0; group < 500; ++group) {
      state.mConfiguration.mGroups.push_back(
        TargetGroup{ StableHash(std::to_string(group)),
                     ZoneName("zone-a"),
                     25,
                     ServiceId(1) });
    }
    ResetRankings(state);
    std::set<int> listed;
    for (int vm = 0; vm < 40; ++vm) {
      listed.insert(vm);
    }
    ShowList(state, listed, kStart);
    const auto before = Owners(state);
    listed.erase(7);
    ShowList(state, listed, kStart + std::chrono::seconds(2));
    ShowList(state, listed, kStart + std::chrono::seconds(5));
    const auto after = Owners(state);
    const VmId removed = ListedVm(7).mId;
    std::size_t moved = 0;
    for (std::size_t group = 0; group < before.size(); ++group) {
      const auto found =
        std::find(before[group].begin(), before[group].end(), removed);
      if (found == before[group].end()) {
        CPPUNIT_ASSERT(before[group] == after[group]);
      } else {
        ++moved;
      }
    }
    // Of 500 groups with two owners each, spread over 40 VMs, 25 are expected
    // to move.
    CPPUNIT_ASSERT(moved > 5 && moved < 60);
  }

  void StandbyTakesOverAtOnce()
  {
    StartFleet();
    const VmId owner = FirstOwner();
    const VmId coordinator = owner == mVms[0] ? mVms[1] : mVms[0];
    mFleet->Kill(owner);
    mFleet->RunFor(std::chrono::milliseconds(10));
    for (int round = 0; round < 20; ++round) {
      const Answer* answer =
        mFleet->AskAndWait(coordinator, Search()).AnswerOrNull();
      CPPUNIT_ASSERT(answer != nullptr && answer->IsComplete());
    }
    CPPUNIT_ASSERT(
      std::any_of(mFleet->Records().begin(),
                  mFleet->Records().end(),
                  [owner](const DecisionRecord& aRecord) {
                    const auto* avoided = std::get_if<OwnerAvoided>(&aRecord);
                    return avoided != nullptr && avoided->mTargetOwner == owner;
                  }));
  }

  void SurvivorsShareGrowsWithinTheStatedTime()
  {
    StartFleet();
    const VmId owner = FirstOwner();
    const VmId standby = owner == mVms[0] ? mVms[1] : mVms[0];
    const auto share = [&] {
      return OwnConnectionShare(
        mFleet->State(standby), 0, 25, mFleet->mTimeline.Now());
    };
    CPPUNIT_ASSERT(share() >= 12 && share() <= 13);
    mFleet->Kill(owner);
    mFleet->mPlatform.RemoveVm(owner);
    mFleet->RunFor(std::chrono::seconds(1));
    CPPUNIT_ASSERT(share() <= 13);
    // The bound is the lag of the list, one interval between reads, and the
    // hold delay.
    mFleet->RunFor(std::chrono::milliseconds(2100) + kHoldDelay);
    CPPUNIT_ASSERT_EQUAL(25U, share());
  }

  void NextZoneTakesOverForAZoneWithoutOwner()
  {
    StartFleet();
    for (const VmId vm : { mVms[0], mVms[1] }) {
      mFleet->Kill(vm);
      mFleet->mPlatform.RemoveVm(vm);
    }
    mFleet->RunFor(std::chrono::seconds(7));
    const Answer* answer = mFleet->AskAndWait(mVms[2], Search()).AnswerOrNull();
    CPPUNIT_ASSERT(answer != nullptr && answer->IsComplete());
  }

  /** The VMs' lists differ all the time, and still no target has to refuse a
      connection beyond its cap. */
  void NoConnectIsRefusedWhileListsChange()
  {
    StartFleet();
    Random random(kSeed);
    mFleet->mPlatform.mChangeList = [&random](std::vector<VmRecord>& aList) {
      aList.erase(aList.begin() +
                  static_cast<std::ptrdiff_t>(random.Below(aList.size())));
    };
    for (int round = 0; round < 3000; ++round) {
      mFleet->Ask(mVms[random.Below(mVms.size())], Search());
      mFleet->RunFor(std::chrono::milliseconds(5));
    }
    for (const auto& [id, target] : mFleet->Targets()) {
      CPPUNIT_ASSERT(target->PeakConnections() <= 25);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, target->RefusedConnections());
    }
  }

private:
  static constexpr std::uint64_t kSeed = 11;

  static std::uint32_t SumOfShares(std::map<int, VmState>& aNodes,
                                   std::uint32_t aCap,
                                   TimePoint aNow)
  {
    std::uint32_t sum = 0;
    for (auto& [vm, state] : aNodes) {
      state.mPause.mLastSeen = aNow;
      Reduce(state, Tick{}, aNow);
      sum += ShareOf(state, aCap, aNow);
    }
    return sum;
  }

  static std::vector<std::vector<VmId>> Owners(VmState& aState)
  {
    std::vector<std::vector<VmId>> owners;
    for (std::uint32_t group = 0; group < aState.mConfiguration.mGroups.size();
         ++group) {
      const auto& ranked = RankedCandidates(aState, group);
      owners.push_back({ ranked[0].mVm, ranked[1].mVm });
    }
    return owners;
  }

  /** Two VMs in zone-a, where all targets are, and one in zone-b. */
  void StartFleet()
  {
    mFleet = std::make_unique<FakeFleet>(kSeed);
    mVms = { mFleet->AddVm("vm-1", "zone-a"),
             mFleet->AddVm("vm-2", "zone-a"),
             mFleet->AddVm("vm-3", "zone-b") };
    ServiceText service;
    service.mZones = { "zone-a" };
    mFleet->Apply(DeploymentText({ service }));
    mFleet->RunFor(std::chrono::seconds(6));
  }

  VmId FirstOwner()
  {
    return RankedCandidates(mFleet->State(mVms[0]), 0).front().mVm;
  }

  static AskOptions Search()
  {
    AskOptions options;
    options.mService = "catalogue";
    return options;
  }

  std::unique_ptr<FakeFleet> mFleet;
  std::vector<VmId> mVms;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTests);
