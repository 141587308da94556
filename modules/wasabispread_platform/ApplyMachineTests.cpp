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
struct Race
{
  explicit Race(std::function<StoreFault()> aNextFault)
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
    FakeOperator one(mTimeline, mStore, 1);
    one.Apply(aRequest);
    mTimeline.RunUntil([&one] { return one.Report().has_value(); },
                       mTimeline.Now() + std::chrono::minutes(5));
    CPPUNIT_ASSERT(one.Report().has_value());
    ApplyReport report = *one.Report();
    // Pending calls of the timeline refer to the operator, so it must live on.
    mOperators.push_back(std::make_unique<FakeOperator>(one));
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
  std::size_t WritesOf(const std::string& aChangeId) const
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
    Race race(NoFault);
    const ApplyRequest first = race.Request("first", Revision(0));
    CheckAccepted(race.ApplyAlone(first), 1);
    CheckAccepted(race.ApplyAlone(first), 1);
    ApplyRequest sameText = first;
    sameText.mChangeId = "another";
    const ApplyReport report = race.ApplyAlone(sameText);
    CheckAccepted(report, 1);
    CPPUNIT_ASSERT(report.mWasInForce);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, race.History().size());
  }

  void ReportsTheWinningChangeOnConflict()
  {
    Race race(NoFault);
    CheckAccepted(race.ApplyAlone(race.Request("first", Revision(0))), 1);
    CheckAccepted(race.ApplyAlone(race.Request("winner", Revision(1))), 2);
    const ApplyReport report =
      race.ApplyAlone(race.Request("loser", Revision(1)));
    CPPUNIT_ASSERT(report.mOutcome == ApplyOutcome::kRefused);
    CPPUNIT_ASSERT(report.mError->mKind == ErrorKind::kConflict);
    CPPUNIT_ASSERT(report.mWinner.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("winner"), report.mWinner->mAuthor);
    CPPUNIT_ASSERT(report.mWinner->mRevision == Revision(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, race.WritesOf("loser"));
  }

  void RollbackCreatesNewRevision()
  {
    Race race(NoFault);
    CheckAccepted(race.ApplyAlone(race.Request("first", Revision(0))), 1);
    CheckAccepted(race.ApplyAlone(race.Request("second", Revision(1))), 2);
    ApplyRequest rollback = race.Request("first", Revision(2));
    rollback.mChangeId = "rollback";
    CheckAccepted(race.ApplyAlone(rollback), 3);
    CPPUNIT_ASSERT_EQUAL(race.History()[0].mText, race.History()[2].mText);
  }

  void RecoversFromEachFaultAtEachStep()
  {
    for (unsigned kind = 0; kind < kStoreFaults; ++kind) {
      for (unsigned at = 0; at < 4; ++at) {
        unsigned call = 0;
        Race race([&call, kind, at] {
          return call++ == at ? static_cast<StoreFault>(kind)
                              : StoreFault::kNone;
        });
        CheckAccepted(race.ApplyAlone(race.Request("only", Revision(0))), 1);
        race.mTimeline.RunUntil(race.mTimeline.Now() + std::chrono::minutes(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, race.WritesOf("only"));
      }
    }
  }

  void FindsItsChangeAmongEarlierChanges()
  {
    // The reply to the write is lost, and other changes are applied before the
    // first operator reads the store again.
    unsigned call = 0;
    Race race([&call] {
      return call++ == 1 ? StoreFault::kLostReply : StoreFault::kNone;
    });
    FakeOperator first(race.mTimeline, race.mStore, 1);
    first.Apply(race.Request("first", Revision(0)));
    race.mTimeline.RunUntil(race.mTimeline.Now() + std::chrono::seconds(1));
    for (unsigned later = 1; later <= 10; ++later) {
      const std::string name = "later-" + std::to_string(later);
      CheckAccepted(race.ApplyAlone(race.Request(name, Revision(later))),
                    later + 1);
    }
    race.mTimeline.RunUntil(race.mTimeline.Now() + std::chrono::minutes(1));
    CPPUNIT_ASSERT(first.Report().has_value());
    CheckAccepted(*first.Report(), 1);
  }

  void ReportsUnknownAfterTooManyLaterChanges()
  {
    unsigned call = 0;
    Race race([&call] {
      return call++ == 1 ? StoreFault::kLostReply : StoreFault::kNone;
    });
    FakeOperator first(race.mTimeline, race.mStore, 1);
    first.Apply(race.Request("first", Revision(0)));
    race.mTimeline.RunUntil(race.mTimeline.Now() +
                            std::chrono::milliseconds(100));
    for (unsigned later = 1; later <= kMaxEarlierChanges + 1; ++later) {
      const std::string name = "later-" + std::to_string(later);
      race.ApplyAlone(race.Request(name, Revision(later)));
    }
    race.mTimeline.RunUntil(race.mTimeline.Now() + std::chrono::minutes(1));
    CPPUNIT_ASSERT(first.Report()->mOutcome == ApplyOutcome::kUnknown);
  }

  void RepeatResolvesUnknownOutcome()
  {
    for (const StoreFault lost :
         { StoreFault::kLostReply, StoreFault::kLostRequest }) {
      unsigned call = 0;
      bool isStoreUnavailable = true;
      Race race([&call, &isStoreUnavailable, lost] {
        ++call;
        const StoreFault later =
          isStoreUnavailable ? StoreFault::kOutage : StoreFault::kNone;
        return call == 1 ? StoreFault::kNone : call == 2 ? lost : later;
      });
      const ApplyRequest request = race.Request("only", Revision(0));
      const TimePoint begin = race.mTimeline.Now();
      const ApplyReport report = race.ApplyAlone(request);
      CPPUNIT_ASSERT(report.mOutcome == ApplyOutcome::kUnknown);
      CPPUNIT_ASSERT(report.mError->mExecution == Execution::kUnknown);
      CPPUNIT_ASSERT(race.mTimeline.Now() - begin <=
                     request.mTimeout + std::chrono::seconds(5));
      isStoreUnavailable = false;
      CheckAccepted(race.ApplyAlone(request), 1);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, race.WritesOf("only"));
    }
  }

  void RefusesDuringStoreOutage()
  {
    Race race([] { return StoreFault::kOutage; });
    const ApplyReport report =
      race.ApplyAlone(race.Request("only", Revision(0)));
    CPPUNIT_ASSERT(report.mOutcome == ApplyOutcome::kRefused);
    CPPUNIT_ASSERT(report.mError->mExecution == Execution::kNotRun);
    CPPUNIT_ASSERT(race.History().empty());
  }

  void RefusesValuesTooLarge()
  {
    Race race(NoFault);
    ApplyRequest request = race.Request("large", Revision(0));
    Random random(1);
    for (std::size_t index = 0; index < kMaxValueBytes / 8; ++index) {
      request.mText += std::to_string(random.Next());
    }
    const ApplyReport report = race.ApplyAlone(request);
    CPPUNIT_ASSERT(report.mOutcome == ApplyOutcome::kRefused);
    CPPUNIT_ASSERT(report.mError->mKind == ErrorKind::kValueTooLarge);
    CPPUNIT_ASSERT(race.History().empty());
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
      CheckRace(operators, seed, faultPercent);
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
  static void CheckRace(unsigned aOperators,
                        std::uint64_t aSeed,
                        unsigned aFaultPercent)
  {
    Random random(aSeed);
    bool isFaulty = true;
    Race race([&random, &isFaulty, aFaultPercent] {
      const bool fails = isFaulty && random.Below(100) < aFaultPercent;
      return fails ? static_cast<StoreFault>(random.Below(kStoreFaults))
                   : StoreFault::kNone;
    });
    std::vector<std::unique_ptr<FakeOperator>> operators;
    std::map<std::string, Revision> bases;
    for (unsigned round = 0; round < 3; ++round) {
      for (unsigned index = 0; index < aOperators; ++index) {
        operators.push_back(std::make_unique<FakeOperator>(
          race.mTimeline, race.mStore, random.Next()));
        const std::string name =
          std::to_string(round) + "-" + std::to_string(index);
        const Revision base(race.mStore.Values().size());
        bases[name] = base;
        FakeOperator* one = operators.back().get();
        race.mTimeline.After(
          std::chrono::milliseconds(random.Below(50)),
          [one, request = race.Request(name, base)] { one->Apply(request); });
      }
      race.mTimeline.RunUntil(race.mTimeline.Now() +
                              std::chrono::milliseconds(random.Below(60'000)));
    }
    race.mTimeline.RunUntil(race.mTimeline.Now() + std::chrono::minutes(5));
    isFaulty = false;
    CheckHistory(race, operators, bases);
    // An operator whose outcome is unknown repeats the change without faults
    // and then learns the outcome.
    for (const auto& one : operators) {
      if (one->Report()->mOutcome == ApplyOutcome::kUnknown) {
        one->Apply(one->Request());
        race.mTimeline.RunUntil(race.mTimeline.Now() + std::chrono::minutes(1));
      }
    }
    CheckHistory(race, operators, bases);
  }

  /** Checks that the stored revisions are consecutive, that each change was
      stored at most once and on top of its base revision, and that the reports
      agree with the stored changes. */
  static void CheckHistory(
    const Race& aRace,
    const std::vector<std::unique_ptr<FakeOperator>>& aOperators,
    const std::map<std::string, Revision>& aBases)
  {
    std::map<std::string, Revision> written;
    Revision previous;
    for (const ConfigurationRecord& record : aRace.History()) {
      RC_ASSERT(record.mRevision.Value() == previous.Value() + 1);
      RC_ASSERT(aBases.at(record.mChangeId) == previous);
      RC_ASSERT(written.emplace(record.mChangeId, record.mRevision).second);
      previous = record.mRevision;
    }
    for (const auto& one : aOperators) {
      RC_ASSERT(one->Report().has_value());
      const auto found = written.find(one->Request().mChangeId);
      const bool isWritten = found != written.end();
      if (one->Report()->mOutcome == ApplyOutcome::kAccepted) {
        RC_ASSERT(isWritten);
        RC_ASSERT(found->second == one->Report()->mRevision);
      } else if (one->Report()->mOutcome == ApplyOutcome::kRefused) {
        RC_ASSERT(!isWritten);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApplyMachineTests);
