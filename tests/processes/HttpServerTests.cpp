/*
 * Tests that the HTTP server answers what it has received: when it closes idle
 * connections, while the thread is held up, and to slow clients.
 */
#include "RawConnection.h"
#include "TestLoop.h"

#include <tests/processes/FreePorts.h>

#include <algorithm>
#include <thread>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

constexpr const char* kRequest = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::size_t kClients = 20;

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

std::size_t
CountResponses(const std::string& aText)
{
  constexpr std::string_view kStatus = "HTTP/1.1 200";
  std::size_t count = 0;
  for (auto at = aText.find(kStatus); at != std::string::npos;
       at = aText.find(kStatus, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

class HttpServerTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpServerTests);
  CPPUNIT_TEST(AnswersRequestsThatArriveAsAStopClosesIdleConnections);
  CPPUNIT_TEST(AnswersRequestsThatArriveAsTheIdleLimitEnds);
  CPPUNIT_TEST(KeepsIdleConnectionsForAnIdleLimitThatGrew);
  CPPUNIT_TEST(AnswersPipelinedRequestsBeforeItCloses);
  CPPUNIT_TEST(SkipsEmptyLinesBetweenRequests);
  CPPUNIT_TEST(SendsAnAnswerWholeToAClientThatReadsSlowly);
  CPPUNIT_TEST(SendsAnAnswerWholeAlthoughItIsHeldUpForItsLimit);
  CPPUNIT_TEST(ClosesAConnectionWhoseClientDoesNotRead);
  CPPUNIT_TEST(ReadsABodyThatArrivesSlowly);
  CPPUNIT_TEST(EndsTransfersThatWouldNeverEnd);
  CPPUNIT_TEST(StatesThatARequestThatIsNotCompletedHasNotRun);
  CPPUNIT_TEST(BoundsTheMemoryOfARequestWithoutEnd);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mHandled = 0;
    mBody = "answer";
  }

  void tearDown() override
  {
    mConnections.clear();
    mServer.reset();
  }

  void Start(HttpServerLimits aLimits = {})
  {
    mAddress = Endpoint{ "127.0.0.1", NextFreePort() };
    auto server = HttpServer::Start(
      TestLoop(), mAddress, aLimits, [this](const HttpRequest&) {
        ++mHandled;
        HttpResponse response;
        response.mBody = mBody;
        return response;
      });
    CPPUNIT_ASSERT(server);
    mServer = std::move(*server);
  }

  /** Opens connections on each of which one request is answered. */
  void OpenUsedConnections(std::size_t aCount)
  {
    for (std::size_t client = 0; client < aCount; ++client) {
      mConnections.push_back(std::make_unique<RawConnection>(mAddress));
      mConnections.back()->Send(kRequest);
    }
    AwaitCondition([&] { return mHandled == aCount; }, "requests are handled");
  }

  /** Sends a request on each connection while the server's thread does nothing,
      until aUntil. */
  void SendWhileHeldUp(TimePoint aUntil)
  {
    for (const auto& connection : mConnections) {
      connection->Send(kRequest);
    }
    std::this_thread::sleep_until(aUntil);
  }

  /** Two responses on each connection. */
  void ExpectBothAnswers()
  {
    boost::this_fiber::sleep_for(std::chrono::milliseconds(100));
    std::size_t answers = 0;
    for (const auto& connection : mConnections) {
      connection->FinishSending();
      boost::this_fiber::sleep_for(std::chrono::milliseconds(2));
      answers += CountResponses(connection->ReceiveAll());
    }
    CPPUNIT_ASSERT_EQUAL(2 * mConnections.size(), answers);
    CPPUNIT_ASSERT_EQUAL(answers, mHandled);
  }

  void AnswersRequestsThatArriveAsAStopClosesIdleConnections()
  {
    Start();
    OpenUsedConnections(kClients);
    const TimePoint stop = Now();
    bool isStopped = false;
    StartFiber([&] {
      mServer->Stop(stop + std::chrono::seconds(2));
      isStopped = true;
    });
    // Idle connections are closed 200 ms after the stop began.
    boost::this_fiber::sleep_until(stop + std::chrono::milliseconds(150));
    SendWhileHeldUp(stop + std::chrono::milliseconds(250));
    AwaitCondition([&] { return isStopped; }, "the server has stopped");
    ExpectBothAnswers();
  }

  void AnswersRequestsThatArriveAsTheIdleLimitEnds()
  {
    HttpServerLimits limits;
    limits.mIdleLimit = std::chrono::milliseconds(300);
    Start(limits);
    OpenUsedConnections(kClients);
    const TimePoint idle = Now();
    boost::this_fiber::sleep_until(idle + std::chrono::milliseconds(200));
    SendWhileHeldUp(idle + std::chrono::milliseconds(400));
    ExpectBothAnswers();
  }

  void KeepsIdleConnectionsForAnIdleLimitThatGrew()
  {
    HttpServerLimits limits;
    limits.mIdleLimit = std::chrono::milliseconds(300);
    Start(limits);
    OpenUsedConnections(2);
    limits.mIdleLimit = std::chrono::seconds(5);
    mServer->ChangeLimits(limits);
    boost::this_fiber::sleep_for(std::chrono::milliseconds(600));
    SendWhileHeldUp(Now());
    ExpectBothAnswers();
  }

  void AnswersPipelinedRequestsBeforeItCloses()
  {
    Start();
    RawConnection client(mAddress);
    mServer->AnnounceStop();
    client.Send(std::string(kRequest) + kRequest + kRequest);
    AwaitCondition([&] { return mHandled != 0; }, "a request is handled");
    AwaitCondition([&] { return mServer->ConnectionCount() == 0; },
                   "the server closes the connection");
    const std::string text = client.ReceiveAll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, CountResponses(text));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, mHandled);
    CPPUNIT_ASSERT(text.rfind("Connection: close") > text.rfind("HTTP/1.1"));
  }

  void SkipsEmptyLinesBetweenRequests()
  {
    Start();
    RawConnection client(mAddress);
    const std::string request = kRequest;
    client.Send("\r\n" + request + "\r\n");
    AwaitCondition([&] { return mHandled == 1; }, "a request is handled");
    boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
    client.Send("\r\n" + request);
    AwaitCondition([&] { return mHandled == 2; }, "a request is handled");
    boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
    const std::string text = client.ReceiveArrived();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, CountResponses(text));
    CPPUNIT_ASSERT(text.find("HTTP/1.1 400") == std::string::npos);
  }

  void SendsAnAnswerWholeToAClientThatReadsSlowly()
  {
    constexpr std::size_t kBytes = 32U << 20U;
    HttpServerLimits limits;
    limits.mTransferLimit = std::chrono::milliseconds(500);
    Start(limits);
    mBody = std::string(kBytes, 'x');
    RawConnection client(mAddress);
    client.Send(kRequest);
    AwaitCondition([&] { return mHandled == 1; }, "the request is handled");
    CPPUNIT_ASSERT(ReceiveSlowly(client) > kBytes);
  }

  /** Reads all that the server sends, in steps, and returns its size. */
  static std::size_t ReceiveSlowly(const RawConnection& aClient)
  {
    std::size_t received = 0;
    std::string part = "x";
    while (!part.empty()) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(50));
      part = aClient.ReceiveArrived();
      received += part.size();
    }
    return received;
  }

  void SendsAnAnswerWholeAlthoughItIsHeldUpForItsLimit()
  {
    HttpServerLimits limits;
    limits.mTransferLimit = std::chrono::milliseconds(300);
    Start(limits);
    mBody = std::string(32U << 20U, 'x');
    RawConnection client(mAddress);
    client.Send(kRequest);
    AwaitCondition([&] { return mHandled == 1; }, "the request is handled");
    boost::this_fiber::sleep_for(std::chrono::milliseconds(100));
    std::size_t received = 0;
    for (unsigned step = 0; step < 20; ++step) {
      received += client.ReceiveArrived().size();
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    received += ReceiveSlowly(client);
    CPPUNIT_ASSERT(received > mBody.size());
  }

  void ClosesAConnectionWhoseClientDoesNotRead()
  {
    HttpServerLimits limits;
    limits.mTransferLimit = std::chrono::milliseconds(200);
    Start(limits);
    mBody = std::string(32U << 20U, 'x');
    RawConnection client(mAddress);
    client.Send(kRequest);
    AwaitCondition([&] { return mServer->Counters().mResponsesNotSent == 1; },
                   "the server gives up",
                   std::chrono::seconds(3));
  }

  void ReadsABodyThatArrivesSlowly()
  {
    HttpServerLimits limits;
    limits.mTransferLimit = std::chrono::milliseconds(200);
    Start(limits);
    RawConnection client(mAddress);
    client.Send("PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n");
    for (unsigned byte = 0; byte < 10; ++byte) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(60));
      client.Send("x");
    }
    AwaitCondition([&] { return mHandled == 1; },
                   "the request is handled",
                   std::chrono::seconds(1));
  }

  void EndsTransfersThatWouldNeverEnd()
  {
    HttpServerLimits limits;
    limits.mTransferLimit = std::chrono::milliseconds(50);
    Start(limits);
    mBody = std::string(64U << 20U, 'x');
    RawConnection sender(mAddress);
    RawConnection reader(mAddress);
    sender.Send("PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n");
    reader.Send(kRequest);
    for (unsigned step = 0; step < 60; ++step) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
      sender.Send("x");
      reader.Receive(1U << 17U);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 408"), sender.Receive(12));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 },
                         mServer->Counters().mResponsesNotSent);
  }

  void StatesThatARequestThatIsNotCompletedHasNotRun()
  {
    HttpServerLimits limits;
    limits.mHeaderLimit = std::chrono::milliseconds(200);
    limits.mTransferLimit = std::chrono::milliseconds(200);
    Start(limits);
    for (const char* part :
         { "GET /x HTTP/1.1\r\nHost: a\r\n",
           "PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nx" }) {
      RawConnection client(mAddress);
      client.Send(part);
      boost::this_fiber::sleep_for(std::chrono::milliseconds(400));
      const std::string text = client.Receive(12);
      CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 408"), text);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mHandled);
  }

  void BoundsTheMemoryOfARequestWithoutEnd()
  {
    Start();
    RawConnection client(mAddress);
    client.Send("PUT /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                "\r\n1;");
    const std::string part(64U << 10U, 'x');
    for (unsigned count = 0; count < 32; ++count) {
      client.Send(part);
      boost::this_fiber::sleep_for(std::chrono::milliseconds(2));
    }
    const std::string text = client.Receive(12);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 413"), text);
  }

private:
  Endpoint mAddress;
  std::unique_ptr<HttpServer> mServer;
  std::vector<std::unique_ptr<RawConnection>> mConnections;
  std::size_t mHandled = 0;
  std::string mBody;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTests);
