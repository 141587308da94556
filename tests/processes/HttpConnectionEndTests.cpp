/*
 * Tests how the HTTP server ends responses and connections: at the end of a
 * stop, beside further input, and for unusual methods; and that unusual
 * messages end no more than their own exchange.
 */
#include "RawConnection.h"
#include "TestLoop.h"

#include <tests/processes/FreePorts.h>

#include <thread>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

constexpr const char* kRequest = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

class HttpConnectionEndTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpConnectionEndTests);
  CPPUNIT_TEST(WritesDueAnswersBeforeAStopEndsThatIsHeldUp);
  CPPUNIT_TEST(SendsTheLastAnswerWholeAlthoughMoreInputFollows);
  CPPUNIT_TEST(SendsNoBodyInAResponseToHead);
  CPPUNIT_TEST(SendsNoRequestThatTheLibraryRejects);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mBody = "answer";
    mAnswerAt = TimePoint{};
    mHandled = 0;
  }

  void tearDown() override { mServer.reset(); }

  void Start()
  {
    mAddress = Endpoint{ "127.0.0.1", NextFreePort() };
    auto server = HttpServer::Start(
      TestLoop(), mAddress, HttpServerLimits{}, [this](const HttpRequest&) {
        ++mHandled;
        boost::this_fiber::sleep_until(mAnswerAt);
        HttpResponse response;
        response.mBody = mBody;
        return response;
      });
    CPPUNIT_ASSERT(server);
    mServer = std::move(*server);
  }

  void WritesDueAnswersBeforeAStopEndsThatIsHeldUp()
  {
    Start();
    const TimePoint until = Now() + std::chrono::milliseconds(600);
    mAnswerAt = until - std::chrono::milliseconds(150);
    RawConnection client(mAddress);
    client.Send(kRequest);
    AwaitCondition([&] { return mHandled == 1; }, "the request is handled");
    std::string answer;
    bool isStopped = false;
    StartFiber([&] {
      mServer->Stop(until);
      answer = client.ReceiveArrived();
      isStopped = true;
    });
    boost::this_fiber::sleep_until(mAnswerAt - std::chrono::milliseconds(50));
    std::this_thread::sleep_until(until + std::chrono::milliseconds(50));
    AwaitCondition([&] { return isStopped; }, "the server has stopped");
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), answer.substr(0, 12));
  }

  void SendsTheLastAnswerWholeAlthoughMoreInputFollows()
  {
    Start();
    mBody = std::string(32U << 20U, 'x');
    RawConnection client(mAddress);
    client.Send("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    AwaitCondition([&] { return mHandled == 1; }, "the request is handled");
    client.Send("\r\n");
    std::size_t received = 0;
    std::string part = "x";
    while (!part.empty()) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
      part = client.ReceiveArrived();
      received += part.size();
    }
    CPPUNIT_ASSERT(received > mBody.size());
  }

  /** Guards against a body that a client reads as the next response. */
  void SendsNoBodyInAResponseToHead()
  {
    Start();
    RawConnection client(mAddress);
    client.Send("HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n");
    AwaitCondition([&] { return mHandled == 1; }, "the request is handled");
    client.FinishSending();
    boost::this_fiber::sleep_for(std::chrono::milliseconds(50));
    const std::string text = client.ReceiveAll();
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), text.substr(0, 12));
    CPPUNIT_ASSERT_EQUAL(text.size(), text.find("\r\n\r\n") + 4);
  }

  /** Guards against an exception that ends the process: callers choose the
      method and the body that are passed on. */
  void SendsNoRequestThatTheLibraryRejects()
  {
    Start();
    HttpConnection connection(TestLoop());
    CPPUNIT_ASSERT(connection.Connect(mAddress, std::chrono::seconds(1)));
    HttpRequest request;
    request.mMethod = "TRACE";
    request.mBody = "x";
    CPPUNIT_ASSERT_NO_THROW(
      static_cast<void>(connection.Exchange(request, std::chrono::seconds(1))));
  }

private:
  Endpoint mAddress;
  std::unique_ptr<HttpServer> mServer;
  std::string mBody;
  TimePoint mAnswerAt{};
  std::size_t mHandled = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpConnectionEndTests);
