/*
 * Tests of routes, splits, extra-attempt budgets, target assignment and the
 * merging of records.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <map>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;

namespace {

Route
MakeRoute(const std::string& aHost, const std::string& aPrefix)
{
  Route route;
  route.mName = aHost + aPrefix;
  route.mHost = aHost;
  route.mPrefix = aPrefix;
  route.mParts.push_back(SplitPart{ IdFromName<ServiceId>("s"), 1 });
  return route;
}

std::string
NaiveGreatest(const std::vector<std::string>& aParts, std::size_t aMaxCount)
{
  std::vector<std::string> records;
  for (const std::string& part : aParts) {
    for (std::size_t at = 0; at + kRecordBytes <= part.size();
         at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  std::sort(records.rbegin(), records.rend());
  std::string merged;
  for (std::size_t at = 0; at < std::min(aMaxCount, records.size()); ++at) {
    merged += records[at];
  }
  return merged;
}

} // namespace

class RoutingTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoutingTests);
  CPPUNIT_TEST(SelectsTheLongestPrefix);
  CPPUNIT_TEST(SplitsRequestsByWeight);
  CPPUNIT_TEST(MergesLikeSortingAllRecords);
  CPPUNIT_TEST(KeepsTheExtraAttemptRuleInEveryWindow);
  CPPUNIT_TEST(AssignsWithinConnectionLimits);
  CPPUNIT_TEST_SUITE_END();

public:
  void SelectsTheLongestPrefix()
  {
    RoutingConfiguration configuration;
    configuration.mRoutes = { MakeRoute("a.example", "/x/"),
                              MakeRoute("a.example", "/x/y/"),
                              MakeRoute("b.example", "/x/") };
    IndexRoutes(configuration);
    const auto name = [&](const char* aHost, const char* aTarget) {
      const Route* route = FindRoute(configuration, aHost, aTarget);
      return route == nullptr ? std::string() : route->mName;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("a.example/x/y/"),
                         name("a.example", "/x/y/z?q=/x/"));
    CPPUNIT_ASSERT_EQUAL(std::string("a.example/x/"),
                         name("A.Example:80", "/x/yy"));
    CPPUNIT_ASSERT_EQUAL(std::string("b.example/x/"),
                         name("b.example", "/x/y/"));
    CPPUNIT_ASSERT_EQUAL(std::string(), name("b.example", "/x"));
    CPPUNIT_ASSERT_EQUAL(std::string(), name("c.example", "/x/"));
    CPPUNIT_ASSERT_EQUAL(std::string(), name("b.example", "/?p=/x/"));
  }

  void SplitsRequestsByWeight()
  {
    const std::vector<SplitPart> parts{ { IdFromName<ServiceId>("a"), 3 },
                                        { IdFromName<ServiceId>("b"), 1 } };
    SplitState split;
    std::map<std::uint64_t, int> counts;
    for (int request = 0; request < 40; ++request) {
      ++counts[NextPart(split, parts).Value()];
    }
    CPPUNIT_ASSERT_EQUAL(30, counts[parts[0].mService.Value()]);
    CPPUNIT_ASSERT_EQUAL(10, counts[parts[1].mService.Value()]);
  }

  void MergesLikeSortingAllRecords()
  {
    CPPUNIT_ASSERT(rc::check("equal to sorting all records", [] {
      const auto parts = *rc::gen::container<std::vector<std::string>>(
        rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'c')));
      const auto maxCount = *rc::gen::inRange<std::size_t>(0, 20);
      const std::vector<std::string_view> views(parts.begin(), parts.end());
      RC_ASSERT(GreatestRecords(views, maxCount) ==
                NaiveGreatest(parts, maxCount));
      std::vector<std::string> reduced;
      reduced.reserve(parts.size());
      for (const std::string& part : parts) {
        reduced.push_back(GreatestRecords({ part }, maxCount));
      }
      RC_ASSERT(NaiveGreatest(reduced, maxCount) ==
                NaiveGreatest(parts, maxCount));
    }));
  }

  /** VMs that send as many extra attempts as they may, with uneven traffic: no
      window of the rule's length holds more than the rule allows. */
  void KeepsTheExtraAttemptRuleInEveryWindow()
  {
    CPPUNIT_ASSERT(rc::check("sum over all VMs within the rule", [] {
      const ExtraAttemptRule rule{ 0.2, 54, std::chrono::seconds(10) };
      const auto vms = *rc::gen::inRange<std::size_t>(1, 12);
      std::vector<WindowedExtraAttemptBudget> budgets(vms);
      std::vector<TimePoint> requests;
      std::vector<TimePoint> extraAttempts;
      Random random(*rc::gen::arbitrary<std::uint64_t>());
      TimePoint now{ std::chrono::seconds(1000) };
      for (int step = 0; step < 3000; ++step) {
        now += std::chrono::milliseconds(random.Below(20));
        WindowedExtraAttemptBudget& budget =
          budgets[random.Below(1 + random.Below(vms))];
        if (random.Below(3) == 0) {
          CountRequest(budget, rule, now);
          requests.push_back(now);
        }
        if (MayStartExtraAttempt(budget, rule, vms, 0, now)) {
          CountExtraAttempt(budget, rule, now);
          extraAttempts.push_back(now);
        }
      }
      for (const TimePoint end : extraAttempts) {
        const auto within = [&](const std::vector<TimePoint>& aTimes,
                                TimePoint aFrom) {
          return static_cast<double>(
            std::count_if(aTimes.begin(), aTimes.end(), [&](TimePoint aTime) {
              return aTime > aFrom && aTime <= aFrom + rule.mWindow;
            }));
        };
        const TimePoint from = end - rule.mWindow;
        const double counted =
          std::max({ within(requests, from),
                     within(requests, from - rule.mWindow),
                     within(requests, from - rule.mWindow / 2) });
        RC_ASSERT(within(extraAttempts, from) <=
                  rule.mShare * counted + rule.mFixed);
      }
    }));
  }

  /** With more VMs than a target accepts connections, every VM gets a target,
      and no target gets more VMs than it accepts. */
  void AssignsWithinConnectionLimits()
  {
    for (const std::size_t vms : { 7U, 30U, 66U, 70U, 100U }) {
      std::vector<std::string> names;
      for (std::size_t vm = 0; vm < vms; ++vm) {
        names.push_back("vm-" + std::to_string(vm));
      }
      const std::vector<AssignableTarget> targets{
        { InstanceId("t-1"), ZoneName("a") },
        { InstanceId("t-2"), ZoneName("b") },
        { InstanceId("t-3"), ZoneName("c") }
      };
      constexpr std::size_t kLimit = 57;
      const auto maxVms =
        static_cast<std::size_t>(kUsableConnectionShare * double{ kLimit });
      std::vector<std::size_t> load(targets.size());
      for (std::size_t vm = 0; vm < vms; ++vm) {
        const ZoneName zone(std::string(1, static_cast<char>('a' + vm % 4)));
        const auto assigned = AssignTargets(
          targets, names, names[vm], zone, IdFromName<ServiceId>("s"), maxVms);
        std::size_t count = 0;
        for (std::size_t target = 0; target < targets.size(); ++target) {
          load[target] += assigned[target] ? 1 : 0;
          count += assigned[target] ? 1 : 0;
          const bool isOwnZone = targets[target].mZone == zone;
          CPPUNIT_ASSERT(!isOwnZone || assigned[target]);
        }
        CPPUNIT_ASSERT(count >= 1);
      }
      for (const std::size_t count : load) {
        CPPUNIT_ASSERT(count <= kLimit);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTests);
