/*
 * The ports that tests choose for their servers.
 */
#include "FreePorts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sys/wait.h>
#include <unistd.h>

using namespace wasabispread::testing;

namespace {

/** More than there are candidates, so that each one is tried. */
constexpr unsigned kAllCandidates = 30'000;

/** Whether a port is handed out in another process. */
bool
IsHandedOutElsewhere(std::uint16_t aPort)
{
  const pid_t other = fork();
  if (other == 0) {
    for (unsigned tries = 0; tries < kAllCandidates; ++tries) {
      if (NextFreePort() == aPort) {
        _exit(1);
      }
    }
    _exit(0);
  }
  int status = 0;
  waitpid(other, &status, 0);
  return !WIFEXITED(status) || WEXITSTATUS(status) != 0;
}

} // namespace

class FreePortsTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FreePortsTests);
  CPPUNIT_TEST(PortOfARestartingServerIsNotTakenByAnotherProgram);
  CPPUNIT_TEST_SUITE_END();

public:
  void PortOfARestartingServerIsNotTakenByAnotherProgram()
  {
    unsigned taken = 0;
    for (unsigned servers = 0; servers < 10; ++servers) {
      taken += IsHandedOutElsewhere(NextFreePort()) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(0U, taken);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FreePortsTests);
