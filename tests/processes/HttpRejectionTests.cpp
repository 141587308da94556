/*
 * Tests that callers get the whole of a rejection: while they send a long body,
 * before they send it, and when too many connections are open.
 */
#include "RawConnection.h"
#include "TestLoop.h"

#include <tests/processes/FreePorts.h>

#include <iostream>

#include <boost/asio.hpp>
#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

using boost::asio::ip::tcp;

constexpr const char* kRequest = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr const char* kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr Duration kPause = std::chrono::milliseconds(100);

/** A caller that sends a body in steps, over small buffers, and reads only
    when it has sent all of it. */
class SteadyCaller
{
public:
  explicit SteadyCaller(const Endpoint& aAddress)
    : mSocket(TestLoop().Context())
  {
    constexpr int kBufferBytes = 4096;
    mSocket.open(tcp::v4());
    mSocket.set_option(
      boost::asio::socket_base::receive_buffer_size(kBufferBytes));
    mSocket.set_option(
      boost::asio::socket_base::send_buffer_size(kBufferBytes));
    mSocket.connect(
      { boost::asio::ip::make_address(aAddress.mHost), aAddress.mPort });
    mSocket.non_blocking(true);
  }

  /** Sends the text; false when the connection no longer takes it. */
  bool Send(std::string_view aText)
  {
    boost::system::error_code error;
    while (!aText.empty()) {
      const std::size_t sent =
        mSocket.write_some(boost::asio::buffer(aText), error);
      aText.remove_prefix(sent);
      if (error && error != boost::asio::error::would_block) {
        return false;
      }
      if (error) {
        boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
      }
    }
    return true;
  }

  std::string ReceiveArrived()
  {
    std::string text(4096, '\0');
    boost::system::error_code ignored;
    text.resize(mSocket.read_some(boost::asio::buffer(text), ignored));
    return text;
  }

private:
  tcp::socket mSocket;
};

} // namespace

class HttpRejectionTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpRejectionTests);
  CPPUNIT_TEST(AsksForTheBodyOfACallerThatWaits);
  CPPUNIT_TEST(AsksForTheBodyOfACallerThatWaitsDuringAStop);
  CPPUNIT_TEST(AsksForNoBodyThatItRejects);
  CPPUNIT_TEST(AsksForNoBodyThatArrivedOrThatIsSentUnasked);
  CPPUNIT_TEST(LetsCallersFinishABodyThatItRejects);
  CPPUNIT_TEST(RunsNoRequestAfterOneThatItRejects);
  CPPUNIT_TEST(RejectsWhatExceedsItsConnections);
  CPPUNIT_TEST(ServesNewCallersOnceConnectionsEnd);
  CPPUNIT_TEST(BoundsTheConnectionsThatItRejects);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mHandled = 0;
    mExpectations = 0;
  }

  void tearDown() override { mServer.reset(); }

  void Start(HttpServerLimits aLimits = {})
  {
    mAddress = Endpoint{ "127.0.0.1", NextFreePort() };
    auto server = HttpServer::Start(
      TestLoop(), mAddress, aLimits, [this](const HttpRequest& aRequest) {
        ++mHandled;
        mExpectations += FindHeaders(aRequest.mHeaders, "Expect").size();
        HttpResponse response;
        response.mBody = aRequest.mBody;
        return response;
      });
    CPPUNIT_ASSERT(server);
    mServer = std::move(*server);
  }

  static std::string RequestThatWaits(std::size_t aBytes,
                                      const std::string& aHost = "Host: a\r\n")
  {
    return "PUT /x HTTP/1.1\r\n" + aHost +
           "Expect: 100-Continue\r\nContent-Length: " + std::to_string(aBytes) +
           "\r\n\r\n";
  }

  /** Sends the header and, once it is asked for it, the body. */
  void ExpectExchangeThatWaits()
  {
    RawConnection caller(mAddress);
    caller.Send(RequestThatWaits(5));
    boost::this_fiber::sleep_for(kPause);
    CPPUNIT_ASSERT_EQUAL(std::string(kContinue), caller.ReceiveArrived());
    caller.Send("hello");
    boost::this_fiber::sleep_for(kPause);
    const std::string answer = caller.ReceiveArrived();
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), answer.substr(0, 12));
    CPPUNIT_ASSERT(answer.ends_with("hello"));
  }

  /** Guards against a caller that waits in vain until it gets 408. */
  void AsksForTheBodyOfACallerThatWaits()
  {
    Start();
    ExpectExchangeThatWaits();
    // The server has met the expectation; nobody else is to meet it again.
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mExpectations);
  }

  void AsksForTheBodyOfACallerThatWaitsDuringAStop()
  {
    Start();
    mServer->AnnounceStop();
    ExpectExchangeThatWaits();
    RawConnection caller(mAddress);
    boost::this_fiber::sleep_for(kPause);
    bool isStopped = false;
    StartFiber([&] {
      mServer->Stop(std::chrono::steady_clock::now() + std::chrono::seconds(3));
      isStopped = true;
    });
    boost::this_fiber::sleep_for(kPause);
    caller.Send(RequestThatWaits(5));
    boost::this_fiber::sleep_for(kPause);
    CPPUNIT_ASSERT_EQUAL(std::string(kContinue), caller.ReceiveArrived());
    caller.Send("hello");
    boost::this_fiber::sleep_for(kPause);
    CPPUNIT_ASSERT(caller.ReceiveArrived().ends_with("hello"));
    caller.FinishSending();
    AwaitCondition([&] { return isStopped; }, "the server has stopped");
  }

  void AsksForNoBodyThatItRejects()
  {
    HttpServerLimits limits;
    limits.mMaxBodyBytes = 1000;
    Start(limits);
    for (const auto& [request, status] :
         { std::pair{ RequestThatWaits(1001), "HTTP/1.1 413" },
           std::pair{ RequestThatWaits(5, ""), "HTTP/1.1 400" } }) {
      RawConnection caller(mAddress);
      caller.Send(request);
      boost::this_fiber::sleep_for(kPause);
      const std::string answer = caller.ReceiveArrived();
      CPPUNIT_ASSERT_EQUAL(std::string(status), answer.substr(0, 12));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mHandled);
  }

  void AsksForNoBodyThatArrivedOrThatIsSentUnasked()
  {
    Start();
    for (const std::string& request :
         { RequestThatWaits(5) + "hello",
           RequestThatWaits(0),
           std::string("PUT /x HTTP/1.0\r\nExpect: 100-continue\r\n"
                       "Content-Length: 5\r\n\r\nhello") }) {
      RawConnection caller(mAddress);
      caller.Send(request);
      boost::this_fiber::sleep_for(kPause);
      const std::string answer = caller.ReceiveArrived();
      CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), answer.substr(0, 12));
    }
  }

  /** Guards against a reset while a caller still sends: many callers then never
      read the rejection. */
  void LetsCallersFinishABodyThatItRejects()
  {
    constexpr std::size_t kCallers = 10;
    constexpr std::size_t kSteps = 40;
    HttpServerLimits limits;
    limits.mMaxBodyBytes = 1000;
    Start(limits);
    std::size_t whole = 0;
    std::size_t rejected = 0;
    RunConcurrently(kCallers, [&](std::size_t) {
      SteadyCaller caller(mAddress);
      const std::string part(50'000, 'x');
      bool isTaken = caller.Send("PUT /x HTTP/1.1\r\nHost: a\r\n"
                                 "Content-Length: 2000000\r\n\r\n");
      for (std::size_t step = 0; isTaken && step < kSteps; ++step) {
        boost::this_fiber::sleep_for(kPause);
        isTaken = caller.Send(part);
      }
      boost::this_fiber::sleep_for(kPause);
      whole += isTaken ? 1 : 0;
      rejected += caller.ReceiveArrived().starts_with("HTTP/1.1 413") ? 1 : 0;
    });
    std::cout << whole << " of " << kCallers
              << " callers could send all of their body, " << rejected
              << " read the rejection" << std::endl;
    CPPUNIT_ASSERT_EQUAL(kCallers, whole);
    CPPUNIT_ASSERT_EQUAL(kCallers, rejected);
  }

  void RunsNoRequestAfterOneThatItRejects()
  {
    Start();
    RawConnection caller(mAddress);
    caller.Send(std::string("GET /x HTTP/1.1\r\n\r\n") + kRequest);
    boost::this_fiber::sleep_for(kPause);
    const std::string answer = caller.ReceiveArrived();
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 400"), answer.substr(0, 12));
    CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mHandled);
  }

  /** Opens connections on each of which one request is answered. */
  std::vector<std::unique_ptr<RawConnection>> OpenUsedConnections(
    std::size_t aCount)
  {
    std::vector<std::unique_ptr<RawConnection>> callers;
    for (std::size_t caller = 0; caller < aCount; ++caller) {
      callers.push_back(std::make_unique<RawConnection>(mAddress));
      callers.back()->Send(kRequest);
    }
    AwaitCondition([&] { return mHandled == aCount; }, "requests are handled");
    return callers;
  }

  /** Guards against connections that end without an answer because too many
      are open. */
  void RejectsWhatExceedsItsConnections()
  {
    constexpr std::size_t kConnections = 4;
    constexpr std::size_t kSurplus = 20;
    HttpServerLimits limits;
    limits.mMaxConnections = kConnections;
    Start(limits);
    const auto callers = OpenUsedConnections(kConnections);
    std::size_t rejected = 0;
    for (std::size_t caller = 0; caller < kSurplus; ++caller) {
      RawConnection connection(mAddress);
      connection.Send(kRequest);
      boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
      const std::string answer = connection.ReceiveArrived();
      rejected += answer.starts_with("HTTP/1.1 503") &&
                      answer.find("Retry-After: ") != std::string::npos &&
                      answer.find("Connection: close") != std::string::npos
                    ? 1
                    : 0;
    }
    std::cout << rejected << " of " << kSurplus
              << " callers beyond the limit got a rejection" << std::endl;
    CPPUNIT_ASSERT_EQUAL(kSurplus, rejected);
    CPPUNIT_ASSERT_EQUAL(kConnections, mHandled);
  }

  void ServesNewCallersOnceConnectionsEnd()
  {
    HttpServerLimits limits;
    limits.mMaxConnections = 4;
    Start(limits);
    auto callers = OpenUsedConnections(4);
    RawConnection waiting(mAddress);
    boost::this_fiber::sleep_for(kPause);
    callers.clear();
    boost::this_fiber::sleep_for(kPause);
    waiting.Send(kRequest);
    boost::this_fiber::sleep_for(kPause);
    const std::string answer = waiting.ReceiveArrived();
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), answer.substr(0, 12));
    CPPUNIT_ASSERT(answer.find("Connection: close") == std::string::npos);
  }

  /** Guards against descriptors without a bound; callers that wait to be
      rejected are rejected. */
  void BoundsTheConnectionsThatItRejects()
  {
    constexpr std::size_t kSilent = 200;
    constexpr std::size_t kMaxOpen = 100;
    HttpServerLimits limits;
    limits.mMaxConnections = 4;
    Start(limits);
    const auto callers = OpenUsedConnections(4);
    std::vector<std::unique_ptr<RawConnection>> silent;
    for (std::size_t caller = 0; caller < kSilent; ++caller) {
      silent.push_back(std::make_unique<RawConnection>(mAddress));
    }
    RawConnection last(mAddress);
    last.Send(kRequest);
    std::string answer;
    AwaitCondition(
      [&] {
        answer += last.ReceiveArrived();
        return !answer.empty() || last.HasEnded();
      },
      "the last caller is rejected",
      std::chrono::seconds(6));
    std::cout << "at most " << mServer->PeakConnectionCount()
              << " connections were open" << std::endl;
    CPPUNIT_ASSERT(mServer->PeakConnectionCount() <= kMaxOpen);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), answer.substr(0, 12));
  }

private:
  Endpoint mAddress;
  std::unique_ptr<HttpServer> mServer;
  std::size_t mHandled = 0;
  /** The Expect fields that the handler was passed. */
  std::size_t mExpectations = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpRejectionTests);
