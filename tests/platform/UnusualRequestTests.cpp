/*
 * Tests that a real daemon goes on serving after requests that its HTTP library
 * rejects.
 */
#include "ForwarderFleet.h"

#include <tests/processes/RawConnection.h>

#include <iostream>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

/** Guards against a daemon that one request ends, and with it all requests in
    progress. */
class UnusualRequestTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UnusualRequestTests);
  CPPUNIT_TEST(ServesAfterATraceWithABody);
  CPPUNIT_TEST(ServesAfterATrailerThatIsTooLarge);
  CPPUNIT_TEST(AnswersASearchWhoseSignaturesAreLong);
  CPPUNIT_TEST(ServesBesideATargetWhoseNameIsTooLong);
  CPPUNIT_TEST_SUITE_END();

public:
  void ServesAfterATraceWithABody()
  {
    ForwarderFleet fleet;
    // The test's own client cannot send TRACE with a body.
    RawConnection caller(fleet.CallerEndpoint(0));
    caller.Send("TRACE /one/x HTTP/1.1\r\nHost: host.example\r\n"
                "Wasabispread-Request-Id: trace\r\n"
                "Wasabispread-Request-Deadline-Ms: 1000\r\n"
                "Content-Length: 1\r\n\r\nx");
    boost::this_fiber::sleep_for(std::chrono::milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(200U, fleet.SendRequest({}).Status());
  }

  void AnswersASearchWhoseSignaturesAreLong()
  {
    constexpr std::size_t kShards = 24;
    constexpr std::size_t kSignatureBytes = 4000;
    ForwarderFleet fleet(1, kShards);
    ForwarderRequest search;
    search.mPath = "/search/q";
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      for (const char* suffix : { "-a", "-b" }) {
        const std::string target = "shard-" + std::to_string(shard) + suffix;
        fleet.Target(target).mExtraSignatureBytes = kSignatureBytes;
      }
    }
    const unsigned status = fleet.SendRequest(search).Status();
    std::cout << "search " << status << std::endl;
    CPPUNIT_ASSERT_EQUAL(200U, fleet.SendRequest({}).Status());
    CPPUNIT_ASSERT_EQUAL(504U, status);
  }

  void ServesBesideATargetWhoseNameIsTooLong()
  {
    constexpr std::size_t kNameBytes = 70'000;
    constexpr std::size_t kRequests = 30;
    ForwarderFleet fleet;
    StandInTarget& target = fleet.AddTarget("once", "once-c");
    fleet.Store().Remove("servers/once-c");
    fleet.Register(target, "ready", std::string(kNameBytes, 'n'));
    boost::this_fiber::sleep_for(std::chrono::seconds(3));
    std::size_t served = 0;
    RunConcurrently(kRequests, [&](std::size_t) {
      ForwarderRequest request;
      request.mPath = "/once/x";
      served += fleet.SendRequest(request).Status() == 200 ? 1 : 0;
    });
    CPPUNIT_ASSERT_EQUAL(kRequests, served);
  }

  void ServesAfterATrailerThatIsTooLarge()
  {
    ForwarderFleet fleet;
    RawConnection caller(fleet.CallerEndpoint(0));
    const std::string part(50000, 'x');
    caller.Send("POST /one/x HTTP/1.1\r\nHost: a\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: " +
                part);
    boost::this_fiber::sleep_for(std::chrono::milliseconds(200));
    caller.Send(part + "\r\n\r\n");
    boost::this_fiber::sleep_for(std::chrono::milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(200U, fleet.SendRequest({}).Status());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnusualRequestTests);
