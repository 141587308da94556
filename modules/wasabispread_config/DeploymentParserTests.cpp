/*
 * Tests of the deployment parser's checks.
 */
#include "wasabispread_config.h"

#include <tests/support/DeploymentText.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using wasabispread::testing::DeploymentText;
using wasabispread::testing::ServiceText;

class DeploymentParserTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DeploymentParserTests);
  CPPUNIT_TEST(AcceptsValidFile);
  CPPUNIT_TEST(ReportsEveryFault);
  CPPUNIT_TEST(RejectsSyntaxErrors);
  CPPUNIT_TEST_SUITE_END();

public:
  void AcceptsValidFile()
  {
    const auto deployment =
      ParseDeployment(DeploymentText({ ServiceText{} }), "good.toml");
    CPPUNIT_ASSERT(deployment.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, deployment->mServices.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 }, deployment->mTargets.size());
  }

  void ReportsEveryFault()
  {
    std::string text = DeploymentText({ ServiceText{} });
    text += "[[service.target]]\nname = \"catalogue-0-0\"\n"
            "address = \"10.0.0.1:1\"\nzone = \"zone-a\"\nshards = [9]\n"
            "colour = \"red\"\n";
    const auto deployment = ParseDeployment(text, "bad.toml");
    CPPUNIT_ASSERT(!deployment.has_value());
    // The faults are the repeated name, the repeated address, the shard that
    // does not exist and the unknown key.
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, deployment.error().size());
    for (const Fault& fault : deployment.error()) {
      CPPUNIT_ASSERT(fault.mLine > 0 && fault.mColumn > 0);
      CPPUNIT_ASSERT(!fault.mRemedy.empty());
    }
  }

  void RejectsSyntaxErrors()
  {
    const auto deployment = ParseDeployment("format = ", "bad.toml");
    CPPUNIT_ASSERT(!deployment.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, deployment.error().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeploymentParserTests);
