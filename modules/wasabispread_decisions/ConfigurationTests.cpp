/*
 * Tests that configurations reach every VM and that revisions never fall.
 */
#include <tests/support/DeploymentText.h>
#include <tests/support/FakeFleet.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

const std::vector<std::string> kZones{ "zone-a", "zone-b", "zone-c" };

/** A deployment file with two services. The variant changes only the second. */
std::string
FileText(unsigned aVariant)
{
  ServiceText first;
  first.mShards = 2;
  ServiceText second;
  second.mName = "orders";
  second.mShards = 2;
  second.mMaxWaitMs = 100 + aVariant;
  return DeploymentText({ first, second });
}

/** A fleet and its VMs. */
struct ConfiguredFleet
{
  explicit ConfiguredFleet(std::uint64_t aSeed, unsigned aVmsPerZone)
    : mFleet(aSeed)
  {
    for (unsigned index = 0; index < aVmsPerZone; ++index) {
      for (const std::string& zone : kZones) {
        const std::string name = zone + "-" + std::to_string(index);
        mVms.push_back(mFleet.AddVm(name, zone));
      }
    }
  }

  Revision RevisionOf(VmId aVm) const
  {
    return mFleet.State(aVm).mConfiguration.mRevision;
  }

  /** Whether every running VM has a revision in force, all with the same
      content. */
  bool IsEverywhere(Revision aRevision) const
  {
    std::set<std::uint64_t> contents;
    for (const VmId vm : mVms) {
      if (!mFleet.IsAlive(vm) || mFleet.IsPaused(vm)) {
        continue;
      }
      if (RevisionOf(vm) != aRevision) {
        return false;
      }
      contents.insert(mFleet.State(vm).mConfiguration.mContentHash);
    }
    return contents.size() == 1;
  }

  bool ReachesAllWithin(Revision aRevision, Duration aSpan)
  {
    return mFleet.mTimeline.RunUntil(
      [this, aRevision] { return IsEverywhere(aRevision); },
      mFleet.mTimeline.Now() + aSpan);
  }

  FakeFleet mFleet;
  std::vector<VmId> mVms;
};

constexpr Duration kBound = std::chrono::seconds(8);
constexpr Duration kStart = std::chrono::seconds(6);

} // namespace

class ConfigurationTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationTests);
  CPPUNIT_TEST(ReachesAllInTimeUnderLoss);
  CPPUNIT_TEST(ReachesAllWhenWatchersAreFrozen);
  CPPUNIT_TEST(ReachesZonePartitionedFromPlatform);
  CPPUNIT_TEST(PartitionedZoneServesOnAndCatchesUp);
  CPPUNIT_TEST(StartsFromPeersDuringOutage);
  CPPUNIT_TEST(RestartOfAllDuringOutageIsReportedAndBounded);
  CPPUNIT_TEST(FollowsStoreWhenContentsDiffer);
  CPPUNIT_TEST(RejectsOlderRevisionOfStore);
  CPPUNIT_TEST(ParsesOnlyChangedSections);
  CPPUNIT_TEST(ParsesInSlices);
  CPPUNIT_TEST(ConfirmationNamesVmsThatDoNotConfirm);
  CPPUNIT_TEST(FewVmsCallThePlatform);
  CPPUNIT_TEST(NeverReverts);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReachesAllInTimeUnderLoss()
  {
    ConfiguredFleet fleet(kSeed, 40);
    fleet.mFleet.mNetwork.mLoss = 0.05;
    fleet.mFleet.RunFor(kStart);
    for (unsigned change = 1; change <= 5; ++change) {
      const Revision revision = fleet.mFleet.Apply(FileText(change));
      CPPUNIT_ASSERT(fleet.ReachesAllWithin(revision, kBound));
    }
  }

  void ReachesAllWhenWatchersAreFrozen()
  {
    ConfiguredFleet fleet(kSeed, 10);
    fleet.mFleet.Apply(FileText(1));
    fleet.mFleet.RunFor(kStart);
    std::vector<VmId> frozen;
    for (const VmId vm : fleet.mVms) {
      const bool isInZone =
        fleet.mFleet.State(vm).mSelf.mZone == ZoneName("zone-a");
      if (isInZone && IsStoreWatcher(fleet.mFleet.State(vm))) {
        frozen.push_back(vm);
        fleet.mFleet.Pause(vm);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, frozen.size());
    fleet.mFleet.Apply(FileText(2));
    const Revision newest = fleet.mFleet.Apply(FileText(3));
    CPPUNIT_ASSERT(fleet.ReachesAllWithin(newest, kBound));
    fleet.mFleet.RunFor(std::chrono::minutes(2));
    for (const VmId vm : frozen) {
      fleet.mFleet.Resume(vm);
    }
    CPPUNIT_ASSERT(fleet.ReachesAllWithin(newest, kBound));
  }

  void ReachesZonePartitionedFromPlatform()
  {
    ConfiguredFleet fleet(kSeed, 10);
    fleet.mFleet.Apply(FileText(1));
    fleet.mFleet.RunFor(kStart);
    fleet.mFleet.SetPlatformPartitioned("zone-b", true);
    fleet.mFleet.RunFor(std::chrono::minutes(1));
    const Revision newest = fleet.mFleet.Apply(FileText(2));
    CPPUNIT_ASSERT(fleet.ReachesAllWithin(newest, kBound));
  }

  void PartitionedZoneServesOnAndCatchesUp()
  {
    ConfiguredFleet fleet(kSeed, 6);
    const Revision old = fleet.mFleet.Apply(FileText(1));
    fleet.mFleet.RunFor(kStart);
    SetZonePartitioned(fleet.mFleet, true);
    fleet.mFleet.Apply(FileText(2));
    const Revision newest = fleet.mFleet.Apply(FileText(3));
    fleet.mFleet.RunFor(std::chrono::minutes(30));
    const VmId partitioned = fleet.mVms.front();
    CPPUNIT_ASSERT(fleet.RevisionOf(partitioned) == old);
    CPPUNIT_ASSERT(fleet.mFleet.State(partitioned).IsReady());
    const Duration age =
      fleet.mFleet.mTimeline.Now() -
      fleet.mFleet.State(partitioned).mConfiguration.mStoreLastAnswered;
    CPPUNIT_ASSERT(age > std::chrono::minutes(29));
    SetZonePartitioned(fleet.mFleet, false);
    // A broken watch is tried again after at most 10 s. Digests from other
    // zones arrive earlier.
    CPPUNIT_ASSERT(fleet.ReachesAllWithin(newest, kBound));
  }

  void StartsFromPeersDuringOutage()
  {
    ConfiguredFleet fleet(kSeed, 3);
    const Revision revision = fleet.mFleet.Apply(FileText(1));
    fleet.mFleet.RunFor(kStart);
    fleet.mFleet.mPlatform.mIsUnavailable = true;
    fleet.mFleet.RunFor(std::chrono::seconds(30));
    VmRecord peer;
    peer.mName = "zone-b-0";
    peer.mId = IdFromName<VmId>(peer.mName);
    peer.mPeerAddress = Endpoint{ peer.mName, 1 };
    const VmId alone = fleet.mFleet.AddVm("alone", "zone-a");
    fleet.mFleet.mSettingsPeers = { peer };
    const VmId started = fleet.mFleet.AddVm("started", "zone-a");
    fleet.mFleet.RunFor(std::chrono::seconds(2));
    CPPUNIT_ASSERT(fleet.RevisionOf(started) == revision);
    CPPUNIT_ASSERT(fleet.mFleet.State(started).IsReady());
    CPPUNIT_ASSERT(!fleet.mFleet.State(alone).IsReady() ||
                   fleet.RevisionOf(alone) == revision);
    fleet.mFleet.RunFor(std::chrono::seconds(5));
    CPPUNIT_ASSERT(FindMember(fleet.mFleet.State(fleet.mVms[2]).mMembership,
                              started) != nullptr);
  }

  void RestartOfAllDuringOutageIsReportedAndBounded()
  {
    ConfiguredFleet fleet(kSeed, 100);
    const Revision revision = fleet.mFleet.Apply(FileText(1));
    fleet.mFleet.RunFor(kStart);
    fleet.mFleet.mPlatform.mIsUnavailable = true;
    for (const VmId vm : fleet.mVms) {
      fleet.mFleet.Kill(vm);
    }
    for (const VmId vm : fleet.mVms) {
      fleet.mFleet.Restart(vm);
    }
    std::uint64_t calls = fleet.mFleet.mPlatform.Calls();
    for (int second = 0; second < 120; ++second) {
      fleet.mFleet.RunFor(std::chrono::seconds(1));
      // The limit of 2,000 calls per second for 3,000 VMs is 200 for 300 VMs.
      CPPUNIT_ASSERT(fleet.mFleet.mPlatform.Calls() - calls <= 200);
      calls = fleet.mFleet.mPlatform.Calls();
    }
    const VmId vm = fleet.mVms.front();
    CPPUNIT_ASSERT(!fleet.mFleet.State(vm).IsReady());
    AskOptions ask;
    ask.mService = "catalogue";
    const Error* error = fleet.mFleet.AskAndWait(vm, ask).ErrorOrNull();
    CPPUNIT_ASSERT(error != nullptr);
    CPPUNIT_ASSERT(error->mKind == ErrorKind::kNotReady);
    CPPUNIT_ASSERT(error->mExecution == Execution::kNotRun);
    fleet.mFleet.mPlatform.mIsUnavailable = false;
    CPPUNIT_ASSERT(fleet.ReachesAllWithin(revision, std::chrono::seconds(15)));
  }

  void FollowsStoreWhenContentsDiffer()
  {
    ConfiguredFleet fleet(kSeed, 5);
    fleet.mFleet.Apply(FileText(1));
    fleet.mFleet.RunFor(kStart);
    // One VM restarts after the stored content has changed while its revision
    // has not.
    fleet.mFleet.mPlatform.ReplaceNewestText(FileText(2));
    const VmId vm = fleet.mVms.front();
    fleet.mFleet.Kill(vm);
    fleet.mFleet.RunFor(std::chrono::seconds(10));
    fleet.mFleet.Restart(vm);
    fleet.mFleet.RunFor(std::chrono::seconds(60));
    ConfigurationRecord record;
    record.mText = FileText(2);
    std::vector<std::uint64_t> hashes;
    for (const DeploymentSection& section : SplitIntoSections(record.mText)) {
      hashes.push_back(section.mHash);
    }
    const bool differed = std::any_of(
      fleet.mFleet.Records().begin(),
      fleet.mFleet.Records().end(),
      [](const DecisionRecord& aRecord) {
        return std::holds_alternative<ConfigurationRejected>(aRecord);
      });
    CPPUNIT_ASSERT(fleet.IsEverywhere(Revision(1)));
    if (differed) {
      CPPUNIT_ASSERT(fleet.mFleet.State(vm).mConfiguration.mContentHash ==
                     ContentHash(hashes));
    }
  }

  void RejectsOlderRevisionOfStore()
  {
    ConfiguredFleet fleet(kSeed, 2);
    fleet.mFleet.Apply(FileText(1));
    const Revision newest = fleet.mFleet.Apply(FileText(2));
    fleet.mFleet.RunFor(kStart);
    const VmId vm = fleet.mVms.front();
    StoredConfiguration older;
    older.mStoreVersion = 100;
    older.mRecord = ConfigurationRecord{};
    older.mRecord->mRevision = Revision(1);
    older.mRecord->mText = FileText(1);
    fleet.mFleet.Deliver(vm, StoreWatched{ older });
    CheckStays(fleet, vm, newest);
    ConfigurationOffer replayed;
    replayed.mMetadata.mRevision = Revision(1);
    for (const DeploymentSection& section :
         SplitIntoSections(older.mRecord->mText)) {
      replayed.mSectionHashes.push_back(section.mHash);
      replayed.mSections.push_back(section);
    }
    fleet.mFleet.Deliver(
      vm, PeerMessageReceived{ fleet.mVms[1], Endpoint{}, replayed });
    CheckStays(fleet, vm, newest);
    const auto* rejected =
      FindRecord<ConfigurationRejected>(fleet.mFleet.Records());
    CPPUNIT_ASSERT(rejected != nullptr);
    CPPUNIT_ASSERT(rejected->mRevision == Revision(1));
  }

  void ParsesOnlyChangedSections()
  {
    ConfiguredFleet fleet(kSeed, 2);
    fleet.mFleet.Apply(FileText(1));
    fleet.mFleet.RunFor(kStart);
    const VmId vm = fleet.mVms.back();
    const auto before = fleet.mFleet.State(vm).mConfiguration.mParts;
    const Revision newest = fleet.mFleet.Apply(FileText(2));
    CPPUNIT_ASSERT(fleet.ReachesAllWithin(newest, kBound));
    const auto& after = fleet.mFleet.State(vm).mConfiguration.mParts;
    std::size_t kept = 0;
    for (const auto& [key, part] : after) {
      const auto old = before.find(key);
      kept += old != before.end() && old->second == part ? 1U : 0U;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, after.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, kept);
  }

  void ParsesInSlices()
  {
    std::vector<ServiceText> services(20);
    for (std::size_t index = 0; index < services.size(); ++index) {
      services[index].mName = "service-" + std::to_string(index);
      services[index].mShards = 20;
    }
    VmState state = MakeVmState(VmIdentity{}, kSeed);
    TimePoint now{ std::chrono::hours(1) };
    Reduce(state, Started{}, now);
    StoredConfiguration stored;
    stored.mStoreVersion = 1;
    stored.mRecord = ConfigurationRecord{};
    stored.mRecord->mRevision = Revision(1);
    stored.mRecord->mText = DeploymentText(services);
    Reduce(state, StoreWatched{ stored }, now);
    std::size_t slices = 0;
    while (state.mConfiguration.mStaged && slices < 100) {
      const std::size_t before = state.mConfiguration.mStaged->mParts.size();
      CPPUNIT_ASSERT(before < services.size() || slices > 0);
      now += std::chrono::milliseconds(1);
      Reduce(state, Tick{}, now);
      ++slices;
    }
    CPPUNIT_ASSERT(slices > 2);
    CPPUNIT_ASSERT(state.mConfiguration.mRevision == Revision(1));
    const auto whole = ParseDeployment(stored.mRecord->mText, "whole");
    CPPUNIT_ASSERT_EQUAL(whole->mTargets.size(),
                         state.mConfiguration.mDeployment->mTargets.size());
  }

  void ConfirmationNamesVmsThatDoNotConfirm()
  {
    ConfiguredFleet fleet(kSeed, 30);
    const Revision first = fleet.mFleet.Apply(FileText(1));
    fleet.mFleet.RunFor(kStart);
    ConfirmationReport report = Confirm(fleet, first);
    CPPUNIT_ASSERT_EQUAL(90U, report.mConfirmed);
    CPPUNIT_ASSERT_EQUAL(0U, report.mUnconfirmed);
    const VmId paused = fleet.mVms.back();
    fleet.mFleet.Pause(paused);
    report = Confirm(fleet, first);
    CPPUNIT_ASSERT(report.mUnconfirmed >= 1);
    const bool isNamed =
      std::any_of(report.mListed.begin(),
                  report.mListed.end(),
                  [paused](const UnconfirmedVm& aVm) {
                    return aVm.mVm == paused &&
                           aVm.mReason == UnconfirmedReason::kUnreachable;
                  });
    CPPUNIT_ASSERT(isNamed);
    CPPUNIT_ASSERT_EQUAL(90U, report.mConfirmed + report.mUnconfirmed);
    fleet.mFleet.Resume(paused);
    fleet.mFleet.RunFor(kBound);
    report = Confirm(fleet, Revision(first.Value() + 1));
    CPPUNIT_ASSERT_EQUAL(90U, report.mUnconfirmed);
    CPPUNIT_ASSERT(report.mListed.front().mReason ==
                   UnconfirmedReason::kBehind);
    // This release cannot read a file of this format.
    fleet.mFleet.mPlatform.Apply("format = 2\n[[service]]\n");
    fleet.mFleet.RunFor(kBound);
    report = Confirm(fleet, Revision(first.Value() + 1));
    CPPUNIT_ASSERT(report.mListed.front().mReason ==
                   UnconfirmedReason::kRejected);
  }

  void FewVmsCallThePlatform()
  {
    ConfiguredFleet fleet(kSeed, 50);
    fleet.mFleet.Apply(FileText(1));
    fleet.mFleet.RunFor(std::chrono::minutes(2));
    const std::uint64_t before = fleet.mFleet.mPlatform.Calls();
    fleet.mFleet.RunFor(std::chrono::minutes(1));
    const std::uint64_t calls = fleet.mFleet.mPlatform.Calls() - before;
    // Six watchers read the VM list every 2 s and watch the store again every
    // 20 s. The other VMs together read the list at most 5 to 10 times a
    // second.
    constexpr std::uint64_t kSeconds = 60;
    CPPUNIT_ASSERT(calls < kSeconds * (3 + 1 + 10));
  }

  void NeverReverts()
  {
    const bool holds = rc::check("a revision never falls", [] {
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      const auto steps =
        *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 11U));
      CheckHistory(seed, steps);
    });
    CPPUNIT_ASSERT(holds);
  }

private:
  static constexpr std::uint64_t kSeed = 11;

  template<class Record>
  static const Record* FindRecord(const std::vector<DecisionRecord>& aRecords)
  {
    for (const DecisionRecord& record : aRecords) {
      if (const auto* found = std::get_if<Record>(&record)) {
        return found;
      }
    }
    return nullptr;
  }

  /** Checks each millisecond of one second that a VM's revision stays the
      same. */
  static void CheckStays(ConfiguredFleet& aFleet, VmId aVm, Revision aRevision)
  {
    for (int step = 0; step < 1000; ++step) {
      CPPUNIT_ASSERT(aFleet.RevisionOf(aVm) == aRevision);
      aFleet.mFleet.RunFor(std::chrono::milliseconds(1));
    }
  }

  static void SetZonePartitioned(FakeFleet& aFleet, bool aIsPartitioned)
  {
    aFleet.SetPartitioned("zone-a", "zone-b", aIsPartitioned);
    aFleet.SetPartitioned("zone-a", "zone-c", aIsPartitioned);
    aFleet.SetPlatformPartitioned("zone-a", aIsPartitioned);
  }

  static ConfirmationReport Confirm(ConfiguredFleet& aFleet, Revision aRevision)
  {
    const std::size_t before = aFleet.mFleet.Reports().size();
    aFleet.mFleet.Deliver(
      aFleet.mVms.front(),
      OperatorConfirmationRequest{ CallerToken(1), aRevision });
    aFleet.mFleet.RunFor(std::chrono::seconds(3));
    CPPUNIT_ASSERT_EQUAL(before + 1, aFleet.mFleet.Reports().size());
    return aFleet.mFleet.Reports().back();
  }

  /** Runs faults and changes in the generated order and checks that no revision
      falls. */
  static void CheckHistory(std::uint64_t aSeed,
                           const std::vector<unsigned>& aSteps)
  {
    ConfiguredFleet fleet(aSeed, 3);
    Random random(aSeed);
    Revision newest = fleet.mFleet.Apply(FileText(0));
    std::map<VmId, std::pair<Incarnation, Revision>> seen;
    unsigned variant = 1;
    for (const unsigned step : aSteps) {
      const VmId vm = fleet.mVms[random.Below(fleet.mVms.size())];
      TakeStep(fleet, step, vm, variant, newest);
      for (int slice = 0; slice < 15; ++slice) {
        fleet.mFleet.RunFor(std::chrono::milliseconds(100));
        CheckNoneFell(fleet, seen);
      }
    }
    Heal(fleet);
    fleet.mFleet.RunFor(std::chrono::seconds(30));
    CheckNoneFell(fleet, seen);
    RC_ASSERT(fleet.IsEverywhere(newest));
  }

  static void TakeStep(ConfiguredFleet& aFleet,
                       unsigned aStep,
                       VmId aVm,
                       unsigned& aVariant,
                       Revision& aNewest)
  {
    FakeFleet& fleet = aFleet.mFleet;
    switch (aStep) {
      case 0:
      case 1:
      case 2:
        aNewest = fleet.Apply(FileText(aVariant++));
        break;
      case 3:
        fleet.mPlatform.mIsUnavailable = !fleet.mPlatform.mIsUnavailable;
        break;
      case 4:
        fleet.mPlatform.mIsStale = !fleet.mPlatform.mIsStale;
        break;
      case 5:
      case 6:
        if (fleet.IsAlive(aVm)) {
          fleet.Kill(aVm);
        } else {
          fleet.Restart(aVm);
        }
        break;
      case 7:
        if (fleet.IsPaused(aVm)) {
          fleet.Resume(aVm);
        } else {
          fleet.Pause(aVm);
        }
        break;
      case 8:
        SetZonePartitioned(fleet, true);
        break;
      case 9:
        SetZonePartitioned(fleet, false);
        break;
      default:
        fleet.mNetwork.mLoss = 0.05;
        break;
    }
  }

  static void Heal(ConfiguredFleet& aFleet)
  {
    SetZonePartitioned(aFleet.mFleet, false);
    aFleet.mFleet.mPlatform.mIsUnavailable = false;
    aFleet.mFleet.mPlatform.mIsStale = false;
    for (const VmId vm : aFleet.mVms) {
      if (aFleet.mFleet.IsPaused(vm)) {
        aFleet.mFleet.Resume(vm);
      }
      if (!aFleet.mFleet.IsAlive(vm)) {
        aFleet.mFleet.Restart(vm);
      }
    }
  }

  static void CheckNoneFell(
    ConfiguredFleet& aFleet,
    std::map<VmId, std::pair<Incarnation, Revision>>& aSeen)
  {
    for (const VmId vm : aFleet.mVms) {
      const Incarnation incarnation =
        aFleet.mFleet.State(vm).mSelf.mIncarnation;
      const Revision revision = aFleet.RevisionOf(vm);
      auto& [lastIncarnation, lastRevision] = aSeen[vm];
      if (incarnation == lastIncarnation) {
        RC_ASSERT(revision >= lastRevision);
      }
      lastIncarnation = incarnation;
      lastRevision = revision;
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTests);
