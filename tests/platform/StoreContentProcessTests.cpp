/*
 * Tests real daemons against entries and pages of the store that other writers,
 * or replicas of different ages, make odd.
 */
#include "ForwarderFleet.h"

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

class StoreContentProcessTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreContentProcessTests);
  CPPUNIT_TEST(SurvivesEntriesOfOtherWriters);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreContentProcessTests);
