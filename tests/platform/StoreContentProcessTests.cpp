/*
 * Tests real daemons against entries and pages of the store that other writers,
 * or replicas of different ages, make odd.
 */
#include "ForwarderFleet.h"

#include <algorithm>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

class StoreContentProcessTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreContentProcessTests);
  CPPUNIT_TEST(SurvivesEntriesOfOtherWriters);
  CPPUNIT_TEST(FollowsVersionsWithOddOrganisations);
  CPPUNIT_TEST(RefusesKeysWithoutAReadableConfiguration);
  CPPUNIT_TEST(LearnsOfDrainingTargetsThoughPagesAreOld);
  CPPUNIT_TEST(LearnsOfAllTargetsThoughPagesAreOld);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Guards against an entry that ends every daemon that reads it, or that
      keeps it from following the store. */
  void SurvivesEntriesOfOtherWriters()
  {
    constexpr std::size_t kDaemons = 2;
    constexpr std::size_t kDepth = 200'000;
    ForwarderFleet fleet(kDaemons);
    const auto target = [](const std::string& aAddress,
                           const std::string& aSlots,
                           const std::string& aState) {
      return R"({"service":"one","address":")" + aAddress +
             R"(","zone":"zone-a","version":"1","slots":)" + aSlots +
             R"(,"state":)" + aState + R"(,"warmupLeftMs":0,"seq":1,"born":1})";
    };
    const auto member = [](const std::string& aName,
                           const std::string& aAddress) {
      return R"({"name":")" + aName + R"(","zone":"zone-a","peers":")" +
             aAddress + R"(","processor":64})";
    };
    const std::string ready = "\"ready\"";
    const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
    const std::vector<std::pair<std::string, std::string>> entries{
      { "servers/short", target("127.0.0:9", "2", ready) },
      { "servers/long", target("127.0.0.1.1:9", "2", ready) },
      { "servers/large", target("127.0.0.256:9", "2", ready) },
      { "servers/port", target("127.0.0.1:70000", "2", ready) },
      { "servers/zero", target("127.0.0.1:9", "4294967296", ready) },
      { "servers/overflow", target("127.0.0.1:9", "1e999", ready) },
      { "servers/nested", target("127.0.0.1:9", "2", nested) },
      { "servers/open", std::string(kDepth, '[') },
      { "servers/bytes", "\"\xff\xfe" },
      { "servers/a b", target("127.0.0.1:9", "2", ready) },
      { "servers/", target("127.0.0.1:9", "2", ready) },
      { "vms/odd", member("odd", "127.0.0:9") },
      { "vms/other", member("vm-0", "127.0.0.1:70000") },
      { "vms/nested", nested },
      { "vms/bytes", "{\"name\":\"\xff\"}" },
    };
    for (const auto& [key, value] : entries) {
      fleet.Store().Put(key, value);
    }
    // One daemon reads the entries as changes, the other one in a list.
    fleet.Daemon(1).Kill();
    fleet.StartDaemon(1);
    AwaitCondition([&] { return fleet.IsReady(1); }, "the daemon is ready");
    // Connections are opened once a daemon knows the VMs beside it.
    boost::this_fiber::sleep_for(std::chrono::seconds(3));
    fleet.Configure("once");
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      AwaitCondition(
        [&] {
          const ForwarderReply reply = fleet.SendRequest({}, daemon);
          return reply.mResponse &&
                 reply.mResponse->mBody.starts_with("reply of once");
        },
        "the next version is in force");
      CPPUNIT_ASSERT(!fleet.Daemon(daemon).HasEnded());
      CPPUNIT_ASSERT(fleet.HasLogged(daemon, "entry-unreadable"));
    }
  }

  /** Guards against a version that is not in force, so that withdrawn keys and
      dropped routes stay in use, because of one organisation in it. */
  void FollowsVersionsWithOddOrganisations()
  {
    using Json = nlohmann::json;
    ForwarderFleet fleet;
    const std::string namedKey = "key-\xc3\xa9";
    const auto configure = [&](const Json& aName, const std::string& aFirst) {
      ConfigurationChoice choice;
      choice.mOrganisations = {
        { { "name", "first" }, { "apiKeys", Json::array({ aFirst }) } },
        { { "name", aName }, { "apiKeys", Json::array({ namedKey }) } }
      };
      return fleet.Configure(choice);
    };
    const auto statusOf = [&](const std::string& aPath,
                              const std::string& aKey) {
      ForwarderRequest request;
      request.mPath = aPath;
      request.mHeaders.push_back({ "Authorization", "Bearer " + aKey });
      return fleet.SendRequest(request).Status();
    };
    configure("second", "key-1");
    AwaitCondition([&] { return statusOf("/one/x", "key-1") == 200; },
                   "keys are in force");
    unsigned key = 1;
    for (const Json& name : { Json("Two Words"),
                              Json("\xc3\xa9t\xc3\xa9"),
                              Json(" x"),
                              Json("x\r\nX-Other: 1"),
                              Json(nullptr) }) {
      const std::string withdrawn = "key-" + std::to_string(key);
      const std::string added = "key-" + std::to_string(++key);
      const std::uint64_t version = configure(name, added);
      const std::string path = VersionPrefix(version) + "x";
      AwaitCondition([&] { return statusOf(path, added) == 200; },
                     "the version with " + name.dump() + " is in force");
      CPPUNIT_ASSERT_EQUAL(401U, statusOf(path, withdrawn));
      const std::size_t runs = fleet.Runs().size();
      const bool isServed = key < 4;
      CPPUNIT_ASSERT_EQUAL(isServed ? 200U : 503U, statusOf(path, namedKey));
      CPPUNIT_ASSERT_EQUAL(runs + (isServed ? 1U : 0U), fleet.Runs().size());
      if (isServed) {
        CPPUNIT_ASSERT_EQUAL(
          name.get<std::string>(),
          std::string(
            FindHeader(fleet.Runs().back().mHeaders, "Wasabispread-Tenant")));
      }
    }
    CPPUNIT_ASSERT(fleet.HasLogged(0, "configuration-part-unreadable"));
  }

  /** Guards against keys that are served longer than the bound on withdrawals
      after a text that may withdraw them and cannot be read. */
  void RefusesKeysWithoutAReadableConfiguration()
  {
    constexpr Duration kWithdrawalTime = std::chrono::seconds(3);
    ForwarderFleet fleet(1,
                         1,
                         FleetLinks::kDirect,
                         "[keys]\nstrict = true\n"
                         "withdrawal_milliseconds = 3000\n");
    ConfigurationChoice choice;
    choice.mOrganisations = {
      { { "name", "first" }, { "apiKeys", nlohmann::json::array({ "k" }) } }
    };
    const auto configure = [&] { fleet.Configure(choice); };
    const auto status = [&] {
      ForwarderRequest request;
      request.mHeaders.push_back({ "Authorization", "Bearer k" });
      return fleet.SendRequest(request).Status();
    };
    const std::function<void()> odd[] = {
      [&] { fleet.Store().Put("op/config", "{\"version\":"); },
      [&] { fleet.Store().Put("op/config", "{\"routes\":[]}"); },
      [&] { fleet.Store().Remove("op/config"); }
    };
    for (const auto& write : odd) {
      configure();
      AwaitCondition([&] { return status() == 200; }, "the key is served");
      write();
      boost::this_fiber::sleep_for(kWithdrawalTime);
      for (int count = 0; count < 10; ++count) {
        CPPUNIT_ASSERT_EQUAL(503U, status());
        boost::this_fiber::sleep_for(std::chrono::milliseconds(100));
      }
    }
    CPPUNIT_ASSERT(fleet.HasLogged(0, "configuration-unreadable"));
  }

  /** Guards against a restarted daemon that uses a draining target, because the
      list's later pages were older than the first one. */
  void LearnsOfDrainingTargetsThoughPagesAreOld()
  {
    ForwarderFleet fleet(1, kShards);
    ServeSmallOldPages(fleet);
    boost::this_fiber::sleep_for(2 * kLag);
    const std::string draining = "shard-9-a";
    fleet.Register(fleet.Target(draining), "draining");
    boost::this_fiber::sleep_for(std::chrono::milliseconds(300));
    fleet.Daemon(0).Kill();
    fleet.StartDaemon(0);
    AwaitCondition([&] { return fleet.IsReady(0); }, "the daemon is ready");
    const std::size_t before = fleet.Runs().size();
    for (unsigned count = 0; count < 20; ++count) {
      CPPUNIT_ASSERT_EQUAL(200U, fleet.SendRequest(Search()).Status());
      boost::this_fiber::sleep_for(std::chrono::milliseconds(100));
    }
    const auto& runs = fleet.Runs();
    CPPUNIT_ASSERT(std::none_of(
      runs.begin() + static_cast<std::ptrdiff_t>(before),
      runs.end(),
      [&](const TargetRun& aRun) { return aRun.mInstance == draining; }));
  }

  /** Guards against a daemon that never learns of targets which registered just
      before its start, because the later pages of its list are from before. */
  void LearnsOfAllTargetsThoughPagesAreOld()
  {
    ForwarderFleet fleet(1, kShards);
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      const std::string name = "shard-" + std::to_string(shard);
      fleet.Store().Remove("servers/" + name + "-a");
      fleet.Store().Remove("servers/" + name + "-b");
    }
    boost::this_fiber::sleep_for(2 * kLag);
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      const std::string name = "shard-" + std::to_string(shard);
      fleet.Register(fleet.Target(name + "-a"));
      fleet.Register(fleet.Target(name + "-b"));
    }
    ServeSmallOldPages(fleet);
    fleet.Daemon(0).Kill();
    fleet.StartDaemon(0);
    AwaitCondition([&] { return fleet.IsReady(0); }, "the daemon is ready");
    AwaitCondition(
      [&] {
        const ForwarderReply reply = fleet.SendRequest(Search());
        return reply.Status() == 200 &&
               FindHeader(reply.mResponse->mHeaders,
                          "Wasabispread-Missing-Parts") == "0";
      },
      "a search has all shards",
      std::chrono::seconds(4));
  }

private:
  static constexpr std::size_t kShards = 30;
  static constexpr Duration kLag = std::chrono::milliseconds(1500);

  /** Divides the store's content into pages of which the first one is the
      newest. */
  static void ServeSmallOldPages(ForwarderFleet& aFleet)
  {
    constexpr std::size_t kPageSize = 25;
    aFleet.Store().mPageSize = kPageSize;
    aFleet.Store().ServeFromReplicas(
      { Duration::zero(), kLag, kLag - std::chrono::milliseconds(300) });
  }

  static ForwarderRequest Search()
  {
    ForwarderRequest request;
    request.mPath = "/search/q";
    return request;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreContentProcessTests);
