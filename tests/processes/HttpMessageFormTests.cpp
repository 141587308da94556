/*
 * Tests that each form of a request gets one answer, and that the connection
 * then takes another request or is said to close.
 */
#include "RawConnection.h"
#include "TestLoop.h"

#include <tests/processes/FreePorts.h>

#include <algorithm>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

constexpr Duration kPause = std::chrono::milliseconds(40);

/** A request and what is expected of its answer. */
struct Form
{
  std::string mRequest;
  unsigned mStatus = 200;
  bool mIsKept = true;
  /** A line that the answer's header must have; empty for none. */
  std::string mLine{};
};

std::size_t
CountAnswers(const std::string& aText)
{
  constexpr std::string_view kStatus = "HTTP/1.1 ";
  std::size_t count = 0;
  for (auto at = aText.find(kStatus); at != std::string::npos;
       at = aText.find(kStatus, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

class HttpMessageFormTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpMessageFormTests);
  CPPUNIT_TEST(AnswersEachFormOfARequest);
  CPPUNIT_TEST(KeepsConnectionsOfHttp10ThatAskForIt);
  CPPUNIT_TEST(StatesNoLengthWhereThereIsNoBody);
  CPPUNIT_TEST(RunsNothingAfterARequestThatSaysClose);
  CPPUNIT_TEST(SaysCloseDuringAStopAlthoughAnEmptyLineFollows);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mHandled = 0;
    mStatus = 200;
    mBody = "answer";
    mAddress = Endpoint{ "127.0.0.1", NextFreePort() };
    auto server = HttpServer::Start(
      TestLoop(), mAddress, HttpServerLimits{}, [this](const HttpRequest&) {
        ++mHandled;
        HttpResponse response;
        response.mStatus = mStatus;
        response.mBody = mBody;
        return response;
      });
    CPPUNIT_ASSERT(server);
    mServer = std::move(*server);
  }

  void tearDown() override { mServer.reset(); }

  /** Sends a request and expects one answer of its form, and then that a
      further request is answered or that the connection ends. */
  void Expect(const Form& aForm)
  {
    RawConnection caller(mAddress);
    caller.Send(aForm.mRequest);
    boost::this_fiber::sleep_for(kPause);
    const std::string answer = caller.ReceiveArrived();
    const std::string trace = aForm.mRequest + "\n" + answer;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      trace, "HTTP/1.1 " + std::to_string(aForm.mStatus), answer.substr(0, 12));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(trace, std::size_t{ 1 }, CountAnswers(answer));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(trace,
                                 !aForm.mIsKept,
                                 answer.find("Connection: close\r\n") !=
                                   std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(trace,
                           answer.find(aForm.mLine) != std::string::npos);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(trace, !aForm.mIsKept, caller.HasEnded());
    if (aForm.mIsKept) {
      caller.Send("GET /y HTTP/1.1\r\nHost: a\r\n\r\n");
      boost::this_fiber::sleep_for(kPause);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        trace, std::size_t{ 1 }, CountAnswers(caller.ReceiveArrived()));
    }
  }

  void AnswersEachFormOfARequest()
  {
    const std::string get = "GET /x HTTP/1.1\r\nHost: a\r\n";
    const std::string put = "PUT /x HTTP/1.1\r\nHost: a\r\n";
    const std::string chunked = put + "Transfer-Encoding: chunked\r\n\r\n";
    for (const Form& form : std::vector<Form>{
           { get + "\r\n" },
           { "\r\n\r\n" + get + "\r\n" },
           { "GET http://a/x HTTP/1.1\r\nHost: a\r\n\r\n" },
           { "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n" },
           { "HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n" },
           { "DELETE /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n" },
           { "OWN /x HTTP/1.1\r\nhOsT: a\r\n\r\n" },
           { get + "X-Folded: a\r\n  b\r\n\tc\r\n\r\n" },
           { get + "X-Empty:\r\n\r\n" },
           { get + "Connection: keep-alive\r\n\r\n" },
           { get + "Connection: x-own, Keep-Alive\r\n\r\n" },
           { get + "Connection: upgrade\r\nUpgrade: other\r\n\r\n" },
           { get + "connection: CLOSE\r\n\r\n", 200, false },
           { get + "Connection: x-own , Close\r\n\r\n", 200, false },
           { get + "Connection: x-own\r\nConnection: close\r\n\r\n",
             200,
             false },
           { "GET /x HTTP/1.0\r\n\r\n", 200, false },
           { "GET /x HTTP/1.0\r\nHost: a\r\n\r\n", 200, false },
           { put + "Content-Length: 5\r\n\r\nhello" },
           { put + "Content-Length: 5\r\n\r\nhello\r\n" },
           { chunked + "5\r\nhello\r\n0\r\n\r\n" },
           { chunked + "5;x=y\r\nhello\r\n0\r\n\r\n" },
           { chunked + "0\r\nX-Trailer: 1\r\nX-Other: 2\r\n\r\n" },
           { chunked + "0\r\nHost: b\r\n\r\n", 400, false },
           { put + "Expect: something-else\r\nContent-Length: 0\r\n\r\n" },
           { "GET /x HTTP/1.1\r\n\r\n", 400, false },
           { get + "Host: b\r\n\r\n", 400, false },
           { "GET  /x HTTP/1.1\r\nHost: a\r\n\r\n", 400, false },
           { "GET /x\r\n\r\n", 400, false },
           { "GET /x HTTP/3.0\r\nHost: a\r\n\r\n", 400, false },
           { get + "No colon\r\n\r\n", 400, false },
           { put + "Content-Length: x\r\n\r\n", 400, false },
           { put + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
             400,
             false },
           { put + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
             400,
             false },
           { put + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
             400,
             false },
           { chunked + "x\r\n\r\n", 400, false },
           { "GET /" + std::string(20'000, 'x') + " HTTP/1.1\r\n", 413, false },
           { put + "Content-Length: 99999999\r\n\r\n", 413, false },
         }) {
      Expect(form);
    }
  }

  /** Guards against callers that wait for a close that does not come, or open a
      connection for each request. */
  void KeepsConnectionsOfHttp10ThatAskForIt()
  {
    Expect({ "GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
             200,
             true,
             "Connection: keep-alive\r\n" });
    mServer->AnnounceStop();
    Expect({ "GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", 200, false });
  }

  /** Guards against a length that is not that of the body that GET would
      give (RFC 9110 8.6). */
  void StatesNoLengthWhereThereIsNoBody()
  {
    for (const unsigned status : { 200U, 204U, 304U }) {
      mStatus = status;
      mBody = status == 200 ? "answer" : "";
      RawConnection caller(mAddress);
      caller.Send(std::string(status == 200 ? "HEAD" : "GET") +
                  " /x HTTP/1.1\r\nHost: a\r\n\r\n");
      boost::this_fiber::sleep_for(kPause);
      const std::string answer = caller.ReceiveArrived();
      CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + std::to_string(status),
                           answer.substr(0, 12));
      CPPUNIT_ASSERT_MESSAGE(
        answer, answer.find("Content-Length: 0") == std::string::npos);
      CPPUNIT_ASSERT(answer.ends_with("\r\n\r\n"));
      caller.Send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
      boost::this_fiber::sleep_for(kPause);
      CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + std::to_string(status),
                           caller.ReceiveArrived().substr(0, 12));
    }
  }

  void RunsNothingAfterARequestThatSaysClose()
  {
    RawConnection caller(mAddress);
    caller.Send("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                "GET /y HTTP/1.1\r\nHost: a\r\n\r\n");
    boost::this_fiber::sleep_for(kPause);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         CountAnswers(caller.ReceiveArrived()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mHandled);
  }

  /** Guards against a connection that a stop closes unannounced. */
  void SaysCloseDuringAStopAlthoughAnEmptyLineFollows()
  {
    mServer->AnnounceStop();
    Expect({ "GET /x HTTP/1.1\r\nHost: a\r\n\r\n\r\n", 200, false });
    Expect({ "PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello\r\n",
             200,
             false });
  }

private:
  Endpoint mAddress;
  std::unique_ptr<HttpServer> mServer;
  std::size_t mHandled = 0;
  unsigned mStatus = 200;
  std::string mBody;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpMessageFormTests);
