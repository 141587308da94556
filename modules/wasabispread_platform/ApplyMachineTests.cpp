/*
 * Tests of applies under outages, lost replies and concurrent applies.
 */
#include <tests/support/DeploymentText.h>
#include <tests/support/FakeStore.h>

#include <map>
#include <memory>
#include <set>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

/** A store to which several operators apply changes concurrently. */
struct StoreFixture
{
  explicit StoreFixture(std::function<StoreFault()> aNextFault)
    : mStore(mTimeline, std::move(aNextFault))
  {
  }

  ApplyRequest Request(const std::string& aName, Revision aBase) const
  {
    ApplyRequest request;
    request.mText = "text of " + aName;
    request.mChangeId = aName;
    request.mAuthor = aName;
    request.mBase = aBase;
    return request;
  }

  /** Runs the apply of a single operator until it reports. */
  ApplyReport ApplyAlone(const ApplyRequest& aRequest)
  {
    FakeOperator fakeOperator(mTimeline, mStore, 1);
    fakeOperator.Apply(aRequest);
    mTimeline.RunUntil(
      [&fakeOperator] { return fakeOperator.Report().has_value(); },
      mTimeline.Now() + std::chrono::minutes(5));
    CPPUNIT_ASSERT(fakeOperator.Report().has_value());
    ApplyReport report = *fakeOperator.Report();
    // Pending calls of the timeline refer to the operator, so it must live on.
    mOperators.push_back(std::make_unique<FakeOperator>(fakeOperator));
    return report;
  }

  /** The stored records, oldest first. */
  std::vector<ConfigurationRecord> History() const
  {
    std::vector<ConfigurationRecord> records;
    for (const std::string& value : mStore.Values()) {
      records.push_back(*DecodeConfiguration(value));
    }
    return records;
  }

  /** The number of stored records of a change. */
  std::size_t WriteCount(const std::string& aChangeId) const
  {
    std::size_t writes = 0;
    for (const ConfigurationRecord& record : History()) {
      writes += record.mChangeId == aChangeId ? 1U : 0U;
    }
    return writes;
  }

  Timeline mTimeline;
  FakeStore mStore;
  /** Operators whose applies have ended. */
  std::vector<std::unique_ptr<FakeOperator>> mOperators;
};

StoreFault
NoFault()
{
  return StoreFault::kNone;
}

} // namespace

class ApplyMachineTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ApplyMachineTests);
  CPPUNIT_TEST(RepeatedApplyHasNoEffect);
  CPPUNIT_TEST(ReportsTheWinningChangeOnConflict);
  CPPUNIT_TEST(RollbackCreatesNewRevision);
  CPPUNIT_TEST(RecoversFromEachFaultAtEachStep);
  CPPUNIT_TEST(FindsItsChangeAmongEarlierChanges);
  CPPUNIT_TEST(ReportsUnknownAfterTooManyLaterChanges);
  CPPUNIT_TEST(RepeatResolvesUnknownOutcome);
  CPPUNIT_TEST(RefusesDuringStoreOutage);
  CPPUNIT_TEST(RefusesValuesTooLarge);
  CPPUNIT_TEST(StoresThirteenThousandTargets);
  CPPUNIT_TEST(LimitsStoredRefusedApplies);
  CPPUNIT_TEST(ConcurrentAppliesAreLinearizable);
  CPPUNIT_TEST_SUITE_END();

public:
  void RepeatedApplyHasNoEffect()
  {
    StoreFixture fixture(NoFault);
    const ApplyRequest first = fixture.Request("first", Revision(0));
    CheckAccepted(fixture.ApplyAlone(first), 1);
    CheckAccepted(fixture.ApplyAlone(first), 1);
    ApplyRequest sameText = first;
    sameText.mChangeId = "another";
    const ApplyReport report = fixture.ApplyAlone(sameText);
    CheckAccepted(report, 1);
    CPPUNIT_ASSERT(report.mWasInForce);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.History().size());
  }

  void ReportsTheWinningChangeOnConflict()
  {
    StoreFixture fixture(NoFault);
    CheckAccepted(fixture.ApplyAlone(fixture.Request("first", Revision(0))), 1);
    CheckAccepted(fixture.ApplyAlone(fixture.Request("winner", Revision(1))),
                  2);
    const ApplyReport report =
      fixture.ApplyAlone(fixture.Request("loser", Revision(1)));
    CPPUNIT_ASSERT(report.mOutcome == ApplyOutcome::kRefused);
    CPPUNIT_ASSERT(report.mError->mKind == ErrorKind::kConflict);
    CPPUNIT_ASSERT(report.mWinner.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("winner"), report.mWinner->mAuthor);
    CPPUNIT_ASSERT(report.mWinner->mRevision == Revision(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.WriteCount("loser"));
  }

  void RollbackCreatesNewRevision()
  {
    StoreFixture fixture(NoFault);
    CheckAccepted(fixture.ApplyAlone(fixture.Request("first", Revision(0))), 1);
    CheckAccepted(fixture.ApplyAlone(fixture.Request("second", Revision(1))),
                  2);
    ApplyRequest rollback = fixture.Request("first", Revision(2));
    rollback.mChangeId = "rollback";
    CheckAccepted(fixture.ApplyAlone(rollback), 3);
    CPPUNIT_ASSERT_EQUAL(fixture.History()[0].mText,
                         fixture.History()[2].mText);
  }

  void RecoversFromEachFaultAtEachStep()
  {
    for (unsigned kind = 0; kind < kStoreFaults; ++kind) {
      for (unsigned at = 0; at < 4; ++at) {
        unsigned call = 0;
        StoreFixture fixture([&call, kind, at] {
          return call++ == at ? static_cast<StoreFault>(kind)
                              : StoreFault::kNone;
        });
        CheckAccepted(fixture.ApplyAlone(fixture.Request("only", Revision(0))),
                      1);
        fixture.mTimeline.RunUntil(fixture.mTimeline.Now() +
                                   std::chrono::minutes(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.WriteCount("only"));
      }
    }
  }

  void FindsItsChangeAmongEarlierChanges()
  {
    // The reply to the write is lost, and other changes are applied before the
    // first operator reads the store again.
    unsigned call = 0;
    StoreFixture fixture([&call] {
      return call++ == 1 ? StoreFault::kLostReply : StoreFault::kNone;
    });
    FakeOperator first(fixture.mTimeline, fixture.mStore, 1);
    first.Apply(fixture.Request("first", Revision(0)));
    fixture.mTimeline.RunUntil(fixture.mTimeline.Now() +
                               std::chrono::seconds(1));
    for (unsigned later = 1; later <= 10; ++later) {
      const std::string name = "later-" + std::to_string(later);
      CheckAccepted(fixture.ApplyAlone(fixture.Request(name, Revision(later))),
                    later + 1);
    }
    fixture.mTimeline.RunUntil(fixture.mTimeline.Now() +
                               std::chrono::minutes(1));
    CPPUNIT_ASSERT(first.Report().has_value());
    CheckAccepted(*first.Report(), 1);
  }

  void ReportsUnknownAfterTooManyLaterChanges()
  {
    unsigned call = 0;
    StoreFixture fixture([&call] {
      return call++ == 1 ? StoreFault::kLostReply : StoreFault::kNone;
    });
    FakeOperator first(fixture.mTimeline, fixture.mStore, 1);
    first.Apply(fixture.Request("first", Revision(0)));
    fixture.mTimeline.RunUntil(fixture.mTimeline.Now() +
                               std::chrono::milliseconds(100));
    for (unsigned later = 1; later <= kMaxEarlierChanges + 1; ++later) {
      const std::string name = "later-" + std::to_string(later);
      fixture.ApplyAlone(fixture.Request(name, Revision(later)));
    }
    fixture.mTimeline.RunUntil(fixture.mTimeline.Now() +
                               std::chrono::minutes(1));
    CPPUNIT_ASSERT(first.Report()->mOutcome == ApplyOutcome::kUnknown);
  }

  void RepeatResolvesUnknownOutcome()
  {
    for (const StoreFault lost :
         { StoreFault::kLostReply, StoreFault::kLostRequest }) {
      unsigned call = 0;
      bool isStoreUnavailable = true;
      StoreFixture fixture([&call, &isStoreUnavailable, lost] {
        ++call;
        const StoreFault later =
          isStoreUnavailable ? StoreFault::kOutage : StoreFault::kNone;
        return call == 1 ? StoreFault::kNone : call == 2 ? lost : later;
      });
      const ApplyRequest request = fixture.Request("only", Revision(0));
      const TimePoint begin = fixture.mTimeline.Now();
      const ApplyReport report = fixture.ApplyAlone(request);
      CPPUNIT_ASSERT(report.mOutcome == ApplyOutcome::kUnknown);
      CPPUNIT_ASSERT(report.mError->mExecution == Execution::kUnknown);
      CPPUNIT_ASSERT(fixture.mTimeline.Now() - begin <=
                     request.mTimeout + std::chrono::seconds(5));
      isStoreUnavailable = false;
      CheckAccepted(fixture.ApplyAlone(request), 1);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.WriteCount("only"));
    }
  }

  void RefusesDuringStoreOutage()
  {
    StoreFixture fixture([] { return StoreFault::kOutage; });
    const ApplyReport report =
      fixture.ApplyAlone(fixture.Request("only", Revision(0)));
    CPPUNIT_ASSERT(report.mOutcome == ApplyOutcome::kRefused);
    CPPUNIT_ASSERT(report.mError->mExecution == Execution::kNotRun);
    CPPUNIT_ASSERT(fixture.History().empty());
  }

  void RefusesValuesTooLarge()
  {
    StoreFixture fixture(NoFault);
    ApplyRequest request = fixture.Request("large", Revision(0));
    Random random(1);
    for (std::size_t index = 0; index < kMaxValueBytes / 8; ++index) {
      request.mText += std::to_string(random.Next());
    }
    const ApplyReport report = fixture.ApplyAlone(request);
    CPPUNIT_ASSERT(report.mOutcome == ApplyOutcome::kRefused);
    CPPUNIT_ASSERT(report.mError->mKind == ErrorKind::kValueTooLarge);
    CPPUNIT_ASSERT(fixture.History().empty());
  }

  void StoresThirteenThousandTargets()
  {
    std::vector<ServiceText> services(27);
    for (std::size_t index = 0; index < services.size(); ++index) {
      services[index].mName = "service-" + std::to_string(index);
      services[index].mShards = 245;
    }
    ConfigurationRecord record;
    record.mText = DeploymentText(services);
    const std::string value = EncodeConfiguration(record);
    CPPUNIT_ASSERT(record.mText.size() > kMaxValueBytes);
    CPPUNIT_ASSERT(value.size() < kMaxValueBytes / 2);
    CPPUNIT_ASSERT_EQUAL(record.mText, DecodeConfiguration(value)->mText);
  }

  void LimitsStoredRefusedApplies()
  {
    std::vector<RefusedApply> attempts;
    for (std::uint64_t index = 0; index < 3 * kMaxRefusedApplies; ++index) {
      RefusedApply attempt;
      attempt.mChangeId = std::to_string(index);
      AddRefusedApply(attempts, attempt);
      AddRefusedApply(attempts, attempt);
    }
    CPPUNIT_ASSERT_EQUAL(kMaxRefusedApplies, attempts.size());
    const auto read = DecodeRefusedApplies(EncodeRefusedApplies(attempts));
    CPPUNIT_ASSERT_EQUAL(kMaxRefusedApplies, read.size());
    CPPUNIT_ASSERT_EQUAL(std::to_string(3 * kMaxRefusedApplies - 1),
                         read.front().mChangeId);
    CPPUNIT_ASSERT(DecodeRefusedApplies("{").empty());
  }

  void ConcurrentAppliesAreLinearizable()
  {
    const bool holds = rc::check("applies are linearizable", [] {
      const auto operators = *rc::gen::inRange(2U, 11U);
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      const auto faultPercent = *rc::gen::element(0U, 10U, 40U, 80U);
      CheckConcurrentApplies(operators, seed, faultPercent);
    });
    CPPUNIT_ASSERT(holds);
  }

private:
  static void CheckAccepted(const ApplyReport& aReport, std::uint64_t aRevision)
  {
    CPPUNIT_ASSERT_EQUAL(std::string(ToText(ApplyOutcome::kAccepted)),
                         std::string(ToText(aReport.mOutcome)));
    CPPUNIT_ASSERT_EQUAL(aRevision, aReport.mRevision.Value());
  }

  /** In each of three rounds, operators apply changes at random times under
      random faults. Checks that the stored history and the reports agree. */
  static void CheckConcurrentApplies(unsigned aOperators,
                                     std::uint64_t aSeed,
                                     unsigned aFaultPercent)
  {
    Random random(aSeed);
    bool isFaulty = true;
    StoreFixture fixture([&random, &isFaulty, aFaultPercent] {
      const bool fails = isFaulty && random.Below(100) < aFaultPercent;
      return fails ? static_cast<StoreFault>(random.Below(kStoreFaults))
                   : StoreFault::kNone;
    });
    std::vector<std::unique_ptr<FakeOperator>> operators;
    std::map<std::string, Revision> bases;
    for (unsigned round = 0; round < 3; ++round) {
      for (unsigned index = 0; index < aOperators; ++index) {
        operators.push_back(std::make_unique<FakeOperator>(
          fixture.mTimeline, fixture.mStore, random.Next()));
        const std::string name =
          std::to_string(round) + "-" + std::to_string(index);
        const Revision base(fixture.mStore.Values().size());
        bases[name] = base;
        FakeOperator* fakeOperator = operators.back().get();
        fixture.mTimeline.After(
          std::chrono::milliseconds(random.Below(50)),
          [fakeOperator, request = fixture.Request(name, base)] {
            fakeOperator->Apply(request);
          });
      }
      fixture.mTimeline.RunUntil(
        fixture.mTimeline.Now() +
        std::chrono::milliseconds(random.Below(60'000)));
    }
    fixture.mTimeline.RunUntil(fixture.mTimeline.Now() +
                               std::chrono::minutes(5));
    isFaulty = false;
    CheckHistory(fixture, operators, bases);
    // An operator whose outcome is unknown repeats the change without faults
    // and then learns the outcome.
    for (const auto& fakeOperator : operators) {
      if (fakeOperator->Report()->mOutcome == ApplyOutcome::kUnknown) {
        fakeOperator->Apply(fakeOperator->Request());
        fixture.mTimeline.RunUntil(fixture.mTimeline.Now() +
                                   std::chrono::minutes(1));
      }
    }
    CheckHistory(fixture, operators, bases);
  }

  /** Checks that the stored revisions are consecutive, that each change was
      stored at most once and on top of its base revision, and that the reports
      agree with the stored changes. */
  static void CheckHistory(
    const StoreFixture& aFixture,
    const std::vector<std::unique_ptr<FakeOperator>>& aOperators,
    const std::map<std::string, Revision>& aBases)
  {
    std::map<std::string, Revision> written;
    Revision previous;
    for (const ConfigurationRecord& record : aFixture.History()) {
      RC_ASSERT(record.mRevision.Value() == previous.Value() + 1);
      RC_ASSERT(aBases.at(record.mChangeId) == previous);
      RC_ASSERT(written.emplace(record.mChangeId, record.mRevision).second);
      previous = record.mRevision;
    }
    for (const auto& fakeOperator : aOperators) {
      RC_ASSERT(fakeOperator->Report().has_value());
      const auto found = written.find(fakeOperator->Request().mChangeId);
      const bool isWritten = found != written.end();
      if (fakeOperator->Report()->mOutcome == ApplyOutcome::kAccepted) {
        RC_ASSERT(isWritten);
        RC_ASSERT(found->second == fakeOperator->Report()->mRevision);
      } else if (fakeOperator->Report()->mOutcome == ApplyOutcome::kRefused) {
        RC_ASSERT(!isWritten);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApplyMachineTests);
