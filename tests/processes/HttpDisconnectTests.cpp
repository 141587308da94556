/*
 * Tests that the HTTP server tells callers that have left from callers that
 * wait for their answer.
 */
#include "RawConnection.h"
#include "TestLoop.h"

#include <tests/processes/FreePorts.h>

#include <ctime>
#include <iostream>

#include <boost/asio.hpp>
#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

constexpr const char* kRequest = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::size_t kCallers = 20;
/** How long a request lasts whose caller does not leave. */
constexpr Duration kWork = std::chrono::milliseconds(800);
/** Work for a caller that has left may go on this long. */
constexpr Duration kMaxWorkForNobody = std::chrono::milliseconds(500);
constexpr Duration kPause = std::chrono::milliseconds(50);

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

class HttpDisconnectTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpDisconnectTests);
  CPPUNIT_TEST(EndsTheWorkForACallerThatLeft);
  CPPUNIT_TEST(EndsTheWorkForACallerThatSentMoreAndLeft);
  CPPUNIT_TEST(EndsTheWorkForACallerThatFinishedSendingAndLeft);
  CPPUNIT_TEST(AnswersACallerThatHasFinishedSending);
  CPPUNIT_TEST(AnswersPipelinedRequestsAfterACallerHasFinishedSending);
  CPPUNIT_TEST(EndsTheWorkForACallerThatSentMuchAndReset);
  CPPUNIT_TEST(KeepsInputThatArrivesBesideARequest);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mStarted = 0;
    mFinished = 0;
    mLeft.clear();
    mAddress = Endpoint{ "127.0.0.1", NextFreePort() };
    auto server = HttpServer::Start(
      TestLoop(),
      mAddress,
      HttpServerLimits{},
      WatchingHttpHandler(
        [this](const HttpRequest&, const DisconnectWatch& aWatch) {
          return Handle(aWatch);
        }));
    CPPUNIT_ASSERT(server);
    mServer = std::move(*server);
  }

  void tearDown() override { mServer.reset(); }

  /** Works until the caller leaves, for at most kWork. */
  HttpResponse Handle(const DisconnectWatch& aWatch)
  {
    ++mStarted;
    const TimePoint end = Now() + kWork;
    const auto hasLeft = std::make_shared<bool>(false);
    aWatch([this, hasLeft] {
      *hasLeft = true;
      mLeft.push_back(Now());
    });
    while (!*hasLeft && Now() < end) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
    }
    ++mFinished;
    HttpResponse response;
    response.mStatus = *hasLeft ? 502 : 200;
    return response;
  }

  /** Sends a request and then each text from each of kCallers callers, and
      closes their connections; work for them must end. */
  void ExpectWorkToEnd(const std::vector<std::string>& aTexts, bool aFinishes)
  {
    {
      std::vector<std::unique_ptr<RawConnection>> callers;
      for (std::size_t caller = 0; caller < kCallers; ++caller) {
        callers.push_back(std::make_unique<RawConnection>(mAddress));
        callers.back()->Send(kRequest);
      }
      AwaitCondition([&] { return mStarted == kCallers; }, "requests run");
      for (const std::string& text : aTexts) {
        for (const auto& caller : callers) {
          caller->Send(text);
        }
        boost::this_fiber::sleep_for(kPause);
      }
      for (const auto& caller : callers) {
        if (aFinishes) {
          caller->FinishSending();
        }
      }
      boost::this_fiber::sleep_for(kPause);
    }
    const TimePoint left = Now();
    AwaitCondition([&] { return mServer->ConnectionCount() == 0; },
                   "all work ends");
    const auto ended =
      std::count_if(mLeft.begin(), mLeft.end(), [&](TimePoint aTime) {
        return aTime < left + kMaxWorkForNobody;
      });
    std::cout << "work ended for " << ended << " of " << kCallers
              << " callers that left" << std::endl;
    CPPUNIT_ASSERT_EQUAL(kCallers, static_cast<std::size_t>(ended));
    CPPUNIT_ASSERT_EQUAL(kCallers, mStarted);
  }

  void EndsTheWorkForACallerThatLeft() { ExpectWorkToEnd({}, false); }

  /** Guards against work for a caller whose last input hides its close. */
  void EndsTheWorkForACallerThatSentMoreAndLeft()
  {
    ExpectWorkToEnd({ "\r\n", kRequest }, false);
  }

  void EndsTheWorkForACallerThatFinishedSendingAndLeft()
  {
    ExpectWorkToEnd({}, true);
  }

  /** Guards against 502 for a caller that shuts down its sending side and
      waits. */
  void AnswersACallerThatHasFinishedSending()
  {
    std::size_t answered = 0;
    std::vector<std::unique_ptr<RawConnection>> callers;
    for (std::size_t caller = 0; caller < kCallers; ++caller) {
      callers.push_back(std::make_unique<RawConnection>(mAddress));
      callers.back()->Send(kRequest);
      callers.back()->FinishSending();
    }
    AwaitCondition([&] { return mFinished == kCallers; }, "requests run");
    boost::this_fiber::sleep_for(kPause);
    for (const auto& caller : callers) {
      const std::string text = caller->ReceiveArrived();
      answered += text.find("HTTP/1.1 200") != std::string::npos ? 1 : 0;
    }
    std::cout << answered << " of " << kCallers
              << " callers that had finished sending got their answer"
              << std::endl;
    CPPUNIT_ASSERT_EQUAL(kCallers, answered);
  }

  void AnswersPipelinedRequestsAfterACallerHasFinishedSending()
  {
    RawConnection caller(mAddress);
    caller.Send(std::string(kRequest) + kRequest);
    caller.FinishSending();
    AwaitCondition([&] { return mStarted != 0; }, "a request runs");
    AwaitCondition([&] { return mServer->ConnectionCount() == 0; },
                   "both requests end");
    const std::string text = caller.ReceiveAll();
    const auto first = text.find("HTTP/1.1 200");
    CPPUNIT_ASSERT(first != std::string::npos);
    CPPUNIT_ASSERT(text.find("HTTP/1.1 200", first + 1) != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, mFinished);
  }

  /** Guards against a watch that spins when it reads no more. */
  void EndsTheWorkForACallerThatSentMuchAndReset()
  {
    constexpr std::size_t kBytes = 40'000;
    using boost::asio::ip::tcp;
    tcp::socket caller(TestLoop().Context());
    caller.connect(
      { boost::asio::ip::make_address(mAddress.mHost), mAddress.mPort });
    const std::string text = kRequest + std::string(kBytes, 'x');
    boost::asio::write(caller, boost::asio::buffer(text));
    AwaitCondition([&] { return mStarted == 1; }, "a request runs");
    boost::this_fiber::sleep_for(kPause);
    caller.set_option(boost::asio::socket_base::linger(true, 0));
    caller.close();
    const TimePoint left = Now();
    const std::clock_t used = std::clock();
    AwaitCondition([&] { return mServer->ConnectionCount() == 0; },
                   "the work ends");
    std::cout << "work went on for "
              << std::chrono::duration<double>(Now() - left).count()
              << " s and used the processor for "
              << static_cast<double>(std::clock() - used) / CLOCKS_PER_SEC
              << " s" << std::endl;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mLeft.size());
    CPPUNIT_ASSERT(mLeft.front() < left + kMaxWorkForNobody);
  }

  /** Guards against a watch that drops the requests that it reads. */
  void KeepsInputThatArrivesBesideARequest()
  {
    const std::string body(200'000, 'x');
    RawConnection caller(mAddress);
    caller.Send(kRequest);
    AwaitCondition([&] { return mStarted == 1; }, "a request runs");
    caller.Send("PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    boost::this_fiber::sleep_for(kPause);
    caller.Send(kRequest);
    AwaitCondition([&] { return mFinished == 3; }, "all requests end");
    CPPUNIT_ASSERT(mLeft.empty());
  }

private:
  Endpoint mAddress;
  std::unique_ptr<HttpServer> mServer;
  std::size_t mStarted = 0;
  std::size_t mFinished = 0;
  /** When callers were found to have left. */
  std::vector<TimePoint> mLeft;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpDisconnectTests);
