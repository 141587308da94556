/*
 * Tests of following the store when its answers are lost.
 */
#include <tests/support/ForwarderHarness.h>

#include <algorithm>
#include <set>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

class StoreFollowerTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreFollowerTests);
  CPPUNIT_TEST(ReportsTheCallThatIsNotAnswered);
  CPPUNIT_TEST(TellsOfConfigurationsThatAreNotNewer);
  CPPUNIT_TEST(BeginsTheWatchAtTheOldestPage);
  CPPUNIT_TEST(MissesNoChangeForAnyAgesOfPages);
  CPPUNIT_TEST(RejectsPagesThatLeadBack);
  CPPUNIT_TEST(ServesNothingUntilItCaughtUpWithItsNewestPage);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Guards against a VM whose logs do not tell what it waits for. */
  void ReportsTheCallThatIsNotAnswered()
  {
    ForwarderHarness forwarder;
    forwarder.RunFor(std::chrono::seconds(10));
    const auto& records = forwarder.mDecisionRecords;
    const auto record =
      std::find_if(records.rbegin(),
                   records.rend(),
                   [](const forwarding::DecisionRecord& aRecord) {
                     return std::string(aRecord.mEvent) == "store-not-heard";
                   });
    CPPUNIT_ASSERT(record != records.rend());
    const auto call = std::find_if(record->mFields.begin(),
                                   record->mFields.end(),
                                   [](const RecordField& aField) {
                                     return std::string(aField.mName) == "call";
                                   });
    CPPUNIT_ASSERT(call != record->mFields.end());
    CPPUNIT_ASSERT_EQUAL(std::string("watch"),
                         std::get<std::string>(call->mValue));
  }

  /** Guards against an operator who does not see why a version that the store
      accepted is not in force. */
  void TellsOfConfigurationsThatAreNotNewer()
  {
    ForwarderHarness forwarder;
    const auto recordsAfter = [&](std::uint64_t aVersion) {
      forwarder.Configure({ SingleRoute("s", Repeatability::kIdempotent) },
                          aVersion);
      const auto& records = forwarder.mDecisionRecords;
      return std::count_if(records.begin(),
                           records.end(),
                           [](const forwarding::DecisionRecord& aRecord) {
                             return std::string(aRecord.mEvent) ==
                                    "configuration-not-newer";
                           });
    };
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 0 }, recordsAfter(5));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 0 }, recordsAfter(5));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 1 }, recordsAfter(3));
    // Each list has it again.
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 1 }, recordsAfter(3));
    CPPUNIT_ASSERT(forwarder.mState.mConfiguration->mVersion.Value() == 5);
    CPPUNIT_ASSERT(forwarder.mState.mStore.mConfigurationVersion.Value() == 3);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 1 }, recordsAfter(6));
    CPPUNIT_ASSERT(forwarder.mState.mStore.mConfigurationVersion.Value() == 6);
  }

  /** Guards against a change that is in no page and before the watch. */
  void BeginsTheWatchAtTheOldestPage()
  {
    StoreListing listing;
    CPPUNIT_ASSERT(AddPage(listing, PageOf({}, 9, "b")));
    CPPUNIT_ASSERT(AddPage(listing, PageOf({}, 5, "d")));
    CPPUNIT_ASSERT(AddPage(listing, PageOf({}, 7, "")));
    CPPUNIT_ASSERT(listing.mContent.mRevision == StoreRevision(5));
    CPPUNIT_ASSERT(listing.mContent.mNewestRevision == StoreRevision(9));
  }

  /** Lists and watches a store of some targets from replicas of drawn ages, and
      compares what is in use with the store. */
  void MissesNoChangeForAnyAgesOfPages()
  {
    CPPUNIT_ASSERT(rc::check("the targets in use are those of the store", [] {
      constexpr std::uint64_t kRevisions = 24;
      constexpr int kTargets = 6;
      // The state of each target after each revision: absent, ready, draining.
      std::vector<std::vector<int>> states(1, std::vector<int>(kTargets, 0));
      std::vector<StoreChange> changes;
      std::vector<std::uint64_t> sequences(kTargets, 0);
      const auto entryOf =
        [&](int aTarget, int aState, std::uint64_t aSequence) -> StoreChange {
        const InstanceId instance("t" + std::to_string(aTarget));
        if (aState == 0) {
          return TargetRemoval{ instance };
        }
        TargetRecord record;
        record.mInstance = instance;
        record.mService = IdFromName<ServiceId>("one");
        record.mAddress = Endpoint{ "10.0.0.1", 1 };
        record.mZone = ZoneName("a");
        record.mSequence = aSequence;
        record.mIsDraining = aState == 2;
        return TargetChange{ record };
      };
      std::vector<std::vector<std::uint64_t>> sequencesAt{ sequences };
      for (std::uint64_t revision = 1; revision <= kRevisions; ++revision) {
        const int target = *rc::gen::inRange(0, kTargets);
        const int state = *rc::gen::inRange(0, 3);
        states.push_back(states.back());
        states.back()[target] = state;
        ++sequences[target];
        sequencesAt.push_back(sequences);
        changes.push_back(entryOf(target, state, sequences[target]));
      }
      StoreListing listing;
      for (int first = 0; first < kTargets; first += 2) {
        const auto age = *rc::gen::inRange<std::uint64_t>(0, kRevisions + 1);
        StorePage page;
        page.mRevision = StoreRevision(age);
        for (int target = first; target < first + 2; ++target) {
          if (states[age][target] != 0) {
            page.mEntries.push_back(
              entryOf(target, states[age][target], sequencesAt[age][target]));
          }
        }
        page.mContinueAfter =
          first + 2 < kTargets ? "t" + std::to_string(first + 1) : "";
        RC_ASSERT(AddPage(listing, std::move(page)).has_value());
      }
      ForwarderState state = MakeForwarderState({}, 1);
      TimePoint now{ std::chrono::seconds(1000) };
      Reduce(state, ForwarderStarted{}, now);
      Reduce(state, EntriesListed{ listing.mContent }, now);
      while (!state.mStore.mIsLoaded) {
        // Each answer to the watch has a few of the changes since.
        const std::uint64_t after = state.mStore.mRevision.Value();
        const auto until =
          std::min(kRevisions, after + *rc::gen::inRange<std::uint64_t>(1, 9));
        StoreChanges watched;
        for (std::uint64_t revision = after + 1; revision <= until;
             ++revision) {
          watched.mChanges.push_back(changes[revision - 1]);
        }
        watched.mRevision = StoreRevision(std::max(after, until));
        Reduce(state, ChangesWatched{ std::move(watched) }, now);
      }
      const std::uint64_t known = state.mStore.mRevision.Value();
      RC_ASSERT(known >= listing.mContent.mNewestRevision.Value());
      std::set<std::string> used;
      for (const auto& [key, target] : state.mTargets) {
        if (!target.mIsRetired) {
          used.insert(target.mRecord.mInstance.Value());
        }
      }
      std::set<std::string> expected;
      for (int target = 0; target < kTargets; ++target) {
        if (states[known][target] == 1) {
          expected.insert("t" + std::to_string(target));
        }
      }
      RC_ASSERT(used == expected);
    }));
  }

  /** Guards against a list without end. */
  void RejectsPagesThatLeadBack()
  {
    StoreListing listing;
    CPPUNIT_ASSERT(AddPage(listing, PageOf({}, 9, "b")));
    CPPUNIT_ASSERT(!AddPage(listing, PageOf({}, 9, "b")));
    // The order of keys is the store's.
    CPPUNIT_ASSERT(AddPage(listing, PageOf({}, 9, "a")));
    CPPUNIT_ASSERT(!AddPage(listing, PageOf({}, 9, "b")));
    CPPUNIT_ASSERT(!AddPage(listing, PageOf({}, 9, "a")));
  }

  /** Guards against a target that is used between the list and the change that
      retires it. */
  void ServesNothingUntilItCaughtUpWithItsNewestPage()
  {
    ForwarderState state = MakeForwarderState({}, 1);
    const TimePoint now{ std::chrono::seconds(1000) };
    Reduce(state, ForwarderStarted{}, now);
    Reduce(
      state,
      EntriesListed{ StoreContent{ {}, StoreRevision(5), StoreRevision(9) } },
      now);
    for (const std::uint64_t revision : { 7, 8 }) {
      StoreChanges changes;
      changes.mRevision = StoreRevision(revision);
      Reduce(state, ChangesWatched{ std::move(changes) }, now);
      CPPUNIT_ASSERT(!state.mStore.mIsLoaded);
    }
    StoreChanges changes;
    changes.mRevision = StoreRevision(9);
    Reduce(state, ChangesWatched{ std::move(changes) }, now);
    CPPUNIT_ASSERT(state.mStore.mIsLoaded);
  }

private:
  static StorePage PageOf(std::vector<StoreChange> aEntries,
                          std::uint64_t aRevision,
                          std::string aContinueAfter)
  {
    return StorePage{ std::move(aEntries),
                      StoreRevision(aRevision),
                      std::move(aContinueAfter) };
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFollowerTests);
