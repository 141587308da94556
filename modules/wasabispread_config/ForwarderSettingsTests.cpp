/*
 * Tests of the forwarder's settings file.
 */
#include "wasabispread_config.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;

namespace {

constexpr std::size_t kMegabyte = std::size_t{ 1 } << 20U;

tl::expected<ForwarderSettings, Faults>
Parse(const std::string& aLine)
{
  return ParseForwarderSettings(
    aLine + "\nname = \"vm-1\"\nzone = \"zone-a\"\nstore = \"10.0.0.1:1\"\n"
            "[listen]\ncallers = \"10.0.0.2:1\"\nreadiness = \"10.0.0.2:2\"\n"
            "peers = \"10.0.0.2:3\"\n",
    "node.toml");
}

} // namespace

class ForwarderSettingsTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ForwarderSettingsTests);
  CPPUNIT_TEST(ReadsTheMemory);
  CPPUNIT_TEST(RejectsImpossibleMemory);
  CPPUNIT_TEST(ReadsLimitsOfOrganisationsAndZones);
  CPPUNIT_TEST(AddsExtraSettings);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReadsTheMemory()
  {
    CPPUNIT_ASSERT_EQUAL(128 * kMegabyte, Parse("")->mMemoryBytes);
    CPPUNIT_ASSERT_EQUAL(16 * kMegabyte,
                         Parse("memory_megabytes = 16")->mMemoryBytes);
    CPPUNIT_ASSERT_EQUAL(160 * kMegabyte,
                         Parse("memory_megabytes = 160.0")->mMemoryBytes);
  }

  static tl::expected<ForwarderSettings, Faults> ParseExtra(
    const std::string& aExtra)
  {
    return ParseForwarderSettings(
      "memory_megabytes = 64\nname = \"vm-1\"\nzone = \"zone-a\"\n"
      "store = \"10.0.0.1:1\"\n[listen]\ncallers = \"10.0.0.2:1\"\n"
      "readiness = \"10.0.0.2:2\"\npeers = \"10.0.0.2:3\"\n",
      "node.toml",
      aExtra);
  }

  void ReadsLimitsOfOrganisationsAndZones()
  {
    const auto settings =
      ParseExtra("[keys]\nstrict = true\nwithdrawal_milliseconds = 4000\n"
                 "[configuration]\napply_milliseconds = 3000\n"
                 "[targets]\nheartbeat_milliseconds = 900\n"
                 "[quota]\nwindow_seconds = 10\noverage = 0.2\nslack = 7\n"
                 "[cold_targets]\noverage = 1.5\nslack = 5\n"
                 "[regions]\n\"zone-a\" = \"north\"\n");
    CPPUNIT_ASSERT(settings.has_value());
    CPPUNIT_ASSERT(settings->mIsStrictOnKeys);
    CPPUNIT_ASSERT(settings->mKeyWithdrawalTime == std::chrono::seconds(4));
    CPPUNIT_ASSERT(settings->mConfigurationTime == std::chrono::seconds(3));
    CPPUNIT_ASSERT(settings->mTargetHeartbeat ==
                   std::chrono::milliseconds(900));
    CPPUNIT_ASSERT(settings->mQuotaWindow == std::chrono::seconds(10));
    CPPUNIT_ASSERT_EQUAL(0.2, settings->mQuotaOverage);
    CPPUNIT_ASSERT_EQUAL(7.0, settings->mQuotaSlack);
    CPPUNIT_ASSERT_EQUAL(1.5, settings->mColdOverage);
    CPPUNIT_ASSERT_EQUAL(std::string("north"),
                         settings->mRegionOfZone.at(ZoneName("zone-a")));
    for (const char* extra : { "[keys]\nstrict = 1\n",
                               "[keys]\nwithdrawal_milliseconds = 0\n",
                               "[configuration]\napply_milliseconds = 0\n",
                               "[targets]\nheartbeat_milliseconds = \"1\"\n",
                               "[quota]\nwindow_seconds = 0\n",
                               "[quota]\noverage = -0.1\n",
                               "[quota]\nslack = \"many\"\n",
                               "[cold_targets]\noverage = 0.5\n",
                               "[regions]\n\"zone-a\" = 3\n",
                               "[other]\n" }) {
      CPPUNIT_ASSERT_MESSAGE(extra, !ParseExtra(extra).has_value());
    }
  }

  /** Guards against a key that silently wins over the same one elsewhere. */
  void AddsExtraSettings()
  {
    CPPUNIT_ASSERT_EQUAL(64 * kMegabyte, ParseExtra("")->mMemoryBytes);
    const auto twice = ParseExtra("memory_megabytes = 32\n");
    CPPUNIT_ASSERT(!twice.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(kExtraSettingsVariable),
                         twice.error().front().mFile);
    CPPUNIT_ASSERT(!ParseExtra("[quota").has_value());
  }

  void RejectsImpossibleMemory()
  {
    for (const char* memory : { "15", "0", "-1", "1e9", "\"160\"", "nan" }) {
      const auto settings = Parse("memory_megabytes = " + std::string(memory));
      CPPUNIT_ASSERT_MESSAGE(memory, !settings.has_value());
      CPPUNIT_ASSERT_EQUAL(1U, settings.error().front().mLine);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwarderSettingsTests);
