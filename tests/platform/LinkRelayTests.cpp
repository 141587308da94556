/*
 * The link of the network that tests disturb.
 */
#include "LinkRelay.h"

#include <tests/processes/FreePorts.h>
#include <tests/processes/TestLoop.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;
using std::chrono::milliseconds;

namespace {

constexpr Duration kPatience = milliseconds(400);
constexpr std::size_t kReplyBytes = 50'000;

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

class LinkRelayTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LinkRelayTests);
  CPPUNIT_TEST(PassesRequestsAndReplies);
  CPPUNIT_TEST(HoldsBytes);
  CPPUNIT_TEST(SilencesOpenConnectionsOnly);
  CPPUNIT_TEST(ResetsOpenConnections);
  CPPUNIT_TEST(LetsNothingPassUntilItHeals);
  CPPUNIT_TEST(CutsAReply);
  CPPUNIT_TEST(LimitsTheRate);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    const Endpoint address{ "127.0.0.1", NextFreePort() };
    auto server = HttpServer::Start(TestLoop(),
                                    address,
                                    HttpServerLimits{},
                                    HttpHandler([](const HttpRequest&) {
                                      HttpResponse response;
                                      response.mBody.assign(kReplyBytes, 'x');
                                      return response;
                                    }));
    CPPUNIT_ASSERT(server.has_value());
    mServer = std::move(*server);
    mLink = std::make_unique<LinkRelay>(TestLoop(), address);
    mConnection = std::make_unique<HttpConnection>(TestLoop());
    CPPUNIT_ASSERT(
      mConnection->Connect(mLink->Address(), kPatience).has_value());
    CPPUNIT_ASSERT(IsAnswered());
  }

  void tearDown() override
  {
    mConnection.reset();
    mLink.reset();
    mServer->Stop(Now());
    mServer.reset();
  }

  void PassesRequestsAndReplies() { CPPUNIT_ASSERT(IsAnswered()); }

  void HoldsBytes()
  {
    for (const auto direction :
         { LinkDirection::kToServer, LinkDirection::kToClient }) {
      const TimePoint until = Now() + milliseconds(150);
      mLink->Hold(direction, until);
      CPPUNIT_ASSERT(IsAnswered());
      CPPUNIT_ASSERT(Now() >= until);
    }
  }

  void SilencesOpenConnectionsOnly()
  {
    mLink->SilenceOpen();
    CPPUNIT_ASSERT(!IsAnswered());
    CPPUNIT_ASSERT(IsAnsweredAnew());
  }

  void ResetsOpenConnections()
  {
    mLink->ResetOpen();
    const TimePoint start = Now();
    CPPUNIT_ASSERT(!IsAnswered());
    CPPUNIT_ASSERT(Now() < start + kPatience);
    CPPUNIT_ASSERT(IsAnsweredAnew());
  }

  void LetsNothingPassUntilItHeals()
  {
    mLink->Cut();
    CPPUNIT_ASSERT(!IsAnswered());
    CPPUNIT_ASSERT(!IsAnsweredAnew());
    mLink->Heal();
    CPPUNIT_ASSERT(IsAnsweredAnew());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mLink->Cuts().size());
  }

  void CutsAReply()
  {
    mLink->CutNextReplies(kReplyBytes / 2);
    CPPUNIT_ASSERT(!IsAnswered());
    CPPUNIT_ASSERT(IsAnsweredAnew());
  }

  void LimitsTheRate()
  {
    mLink->LimitRate(5 * kReplyBytes);
    const TimePoint start = Now();
    CPPUNIT_ASSERT(IsAnswered());
    CPPUNIT_ASSERT(Now() > start + milliseconds(150));
  }

private:
  bool IsAnswered()
  {
    const auto reply = mConnection->Exchange(HttpRequest{}, kPatience);
    return reply && reply->mBody.size() == kReplyBytes;
  }

  bool IsAnsweredAnew()
  {
    const auto reply =
      ExchangeOnce(TestLoop(), mLink->Address(), HttpRequest{}, kPatience);
    return reply && reply->mBody.size() == kReplyBytes;
  }

  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<LinkRelay> mLink;
  std::unique_ptr<HttpConnection> mConnection;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkRelayTests);
