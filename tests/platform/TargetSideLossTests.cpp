/*
 * Tests that real daemons pass on the replies of targets when these arrive in
 * unusual ways.
 */
#include "ForwarderFleet.h"

#include <iostream>
#include <map>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

constexpr std::size_t kCallers = 10;

/** How many requests got each status; 0 stands for no answer. */
using Statuses = std::map<unsigned, std::size_t>;

std::string
ToText(const Statuses& aStatuses)
{
  std::string text;
  for (const auto& [status, count] : aStatuses) {
    text += " " + std::to_string(status) + ": " + std::to_string(count);
  }
  return text;
}

} // namespace

class TargetSideLossTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetSideLossTests);
  CPPUNIT_TEST(PassesOnTheReplyThatFollowsInterimReplies);
  CPPUNIT_TEST_SUITE_END();

public:
  void tearDown() override { mFleet.reset(); }

  static ForwarderRequest RequestOf(const std::string& aPath,
                                    const std::string& aTimeoutMs = "2000")
  {
    ForwarderRequest request;
    request.mPath = aPath;
    request.mTimeoutMs = aTimeoutMs;
    return request;
  }

  /** Guards against 502 for requests that a target answers after 100 or
      103. */
  void PassesOnTheReplyThatFollowsInterimReplies()
  {
    mFleet = std::make_unique<ForwarderFleet>();
    for (const char* service :
         { "one", "once", "shard-0", "shard-1", "shard-2", "shard-3" }) {
      mFleet->SetFault(service, TargetFault::kSendsInterimReplies);
    }
    for (const char* path : { "/one/x", "/once/x", "/search/q" }) {
      Statuses statuses;
      for (std::size_t count = 0; count < kCallers; ++count) {
        const ForwarderReply reply = mFleet->SendRequest(RequestOf(path));
        ++statuses[reply.Status()];
        if (reply.mResponse) {
          CPPUNIT_ASSERT(reply.mResponse->mBody.find("HTTP/1.1") ==
                         std::string::npos);
        }
      }
      std::cout << path << ToText(statuses) << std::endl;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, kCallers, statuses[200]);
    }
  }

private:
  std::unique_ptr<ForwarderFleet> mFleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetSideLossTests);
