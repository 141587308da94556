/*
 * Tests that real daemons keep the connections of callers apart from those of
 * targets, and end work only for callers that have left.
 */
#include "ForwarderFleet.h"

#include <tests/processes/RawConnection.h>

#include <algorithm>
#include <iostream>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

constexpr std::size_t kCallers = 10;
constexpr std::array<const char*, 3> kPaths{ "/one/x", "/once/x", "/search/q" };

/** Whether a response has a header line of its own. */
bool
HasField(const HttpResponse& aResponse, std::string_view aName)
{
  return !FindHeaders(aResponse.mHeaders, aName).empty();
}

} // namespace

class CallerConnectionTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerConnectionTests);
  CPPUNIT_TEST(KeepsCallersConnectionsWhenTargetsCloseTheirs);
  CPPUNIT_TEST(PassesOnNoFieldsOfAnotherConnection);
  CPPUNIT_TEST(AnswersCallersThatHaveFinishedSending);
  CPPUNIT_TEST(EndsTheWorkForCallersThatLeft);
  CPPUNIT_TEST(PassesOnABodyThatACallerHoldsBack);
  CPPUNIT_TEST(RoutesATargetInAbsoluteForm);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mFleet = std::make_unique<ForwarderFleet>(); }
  void tearDown() override { mFleet.reset(); }

  static ForwarderRequest RequestOf(const std::string& aPath)
  {
    ForwarderRequest request;
    request.mPath = aPath;
    return request;
  }

  /** Guards against callers that lose their connection, and a request that is
      on its way, because of a target's. */
  void KeepsCallersConnectionsWhenTargetsCloseTheirs()
  {
    for (const char* service :
         { "one", "once", "shard-0", "shard-1", "shard-2", "shard-3" }) {
      mFleet->SetFault(service, TargetFault::kSaysClose);
    }
    for (const char* path : kPaths) {
      HttpConnection connection(TestLoop());
      CPPUNIT_ASSERT(
        connection.Connect(mFleet->CallerEndpoint(0), std::chrono::seconds(1)));
      std::size_t kept = 0;
      for (std::size_t count = 0; count < kCallers; ++count) {
        const ForwarderReply reply =
          mFleet->SendRequestOn(connection, RequestOf(path));
        kept += reply.Status() == 200 && reply.mResponse->mKeepAlive ? 1 : 0;
      }
      std::cout << path << ": " << kept << " of " << kCallers
                << " answers on one connection" << std::endl;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, kCallers, kept);
    }
  }

  void PassesOnNoFieldsOfAnotherConnection()
  {
    const std::vector<HttpHeader> fields{ { "Connection", "X-Hop, TE" },
                                          { "X-Hop", "1" },
                                          { "TE", "trailers" },
                                          { "Keep-Alive", "timeout=9" },
                                          { "Proxy-Connection", "x-own" },
                                          { "Upgrade", "other" },
                                          { "X-End", "1" } };
    std::string lines;
    for (const HttpHeader& field : fields) {
      lines += field.mName + ": " + field.mValue + "\r\n";
    }
    mFleet->Target("one-a").mAddedFields = lines;
    mFleet->Target("one-b").mAddedFields = lines;
    ForwarderRequest request = RequestOf("/one/x");
    request.mHeaders = fields;
    const ForwarderReply reply = mFleet->SendRequest(request);
    CPPUNIT_ASSERT_EQUAL(200U, reply.Status());
    CPPUNIT_ASSERT(reply.mResponse->mKeepAlive);
    const auto run = std::find_if(
      mFleet->Runs().begin(), mFleet->Runs().end(), [&](const auto& aRun) {
        return aRun.mRequestId == reply.mRequestId;
      });
    CPPUNIT_ASSERT(run != mFleet->Runs().end());
    for (const HttpHeader& field : fields) {
      const bool isOfBoth = field.mName == "X-End";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        field.mName, isOfBoth, HasField(*reply.mResponse, field.mName));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        field.mName,
        isOfBoth,
        !FindHeaders(run->mHeaders, field.mName).empty());
    }
  }

  static std::string TextOf(const std::string& aPath,
                            const std::string& aId,
                            const std::string& aFields = "")
  {
    return "POST " + aPath +
           " HTTP/1.1\r\nHost: host.example\r\n"
           "Wasabispread-Request-Deadline-Ms: 4000\r\n"
           "Wasabispread-Request-Id: " +
           aId + "\r\n" + aFields + "\r\n";
  }

  /** Guards against 502 for callers that shut down their sending side. */
  void AnswersCallersThatHaveFinishedSending()
  {
    for (const char* path : kPaths) {
      std::vector<std::unique_ptr<RawConnection>> callers;
      for (std::size_t caller = 0; caller < kCallers; ++caller) {
        callers.push_back(
          std::make_unique<RawConnection>(mFleet->CallerEndpoint(0)));
        callers.back()->Send(TextOf(path, "f" + std::to_string(caller)));
        callers.back()->FinishSending();
        boost::this_fiber::sleep_for(std::chrono::milliseconds(30));
      }
      boost::this_fiber::sleep_for(std::chrono::milliseconds(300));
      std::size_t answered = 0;
      for (const auto& caller : callers) {
        const std::string text = caller->ReceiveArrived();
        answered += text.find("HTTP/1.1 200") != std::string::npos ? 1 : 0;
      }
      std::cout << path << ": " << answered << " of " << kCallers
                << " answered after they finished sending" << std::endl;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, kCallers, answered);
    }
  }

  /** Guards against work for nobody: half a second after a caller closes, with
      or without further input, targets no longer work for it. */
  void EndsTheWorkForCallersThatLeft()
  {
    for (const char* instance : { "one-a", "one-b" }) {
      mFleet->Target(instance).mSlots = kCallers;
      mFleet->Target(instance).mServiceTime = std::chrono::seconds(2);
    }
    for (const std::string added : { "", "\r\n", "GET /" }) {
      const std::size_t runs = mFleet->Runs().size();
      {
        std::vector<std::unique_ptr<RawConnection>> callers;
        for (std::size_t caller = 0; caller < kCallers; ++caller) {
          callers.push_back(
            std::make_unique<RawConnection>(mFleet->CallerEndpoint(0)));
          callers.back()->Send(
            TextOf("/one/x", "g" + std::to_string(runs + caller)));
        }
        boost::this_fiber::sleep_for(std::chrono::milliseconds(200));
        for (const auto& caller : callers) {
          caller->Send(added);
        }
        boost::this_fiber::sleep_for(std::chrono::milliseconds(50));
      }
      boost::this_fiber::sleep_for(std::chrono::milliseconds(400));
      const auto begin =
        mFleet->Runs().begin() + static_cast<std::ptrdiff_t>(runs);
      const auto started = mFleet->Runs().end() - begin;
      const auto ended =
        std::count_if(begin, mFleet->Runs().end(), [](const auto& aRun) {
          return aRun.mIsCancelled;
        });
      std::cout << "after \"" << added.size() << "\" more bytes, " << ended
                << " of " << started << " runs ended" << std::endl;
      CPPUNIT_ASSERT(started >= 3);
      CPPUNIT_ASSERT_EQUAL(started, ended);
    }
  }

  void PassesOnABodyThatACallerHoldsBack()
  {
    RawConnection caller(mFleet->CallerEndpoint(0));
    caller.Send(TextOf(
      "/once/x", "held-back", "Expect: 100-continue\r\nContent-Length: 5\r\n"));
    boost::this_fiber::sleep_for(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 100"),
                         caller.ReceiveArrived().substr(0, 12));
    caller.Send("hello");
    boost::this_fiber::sleep_for(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"),
                         caller.ReceiveArrived().substr(0, 12));
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), mFleet->Runs().back().mBody);
  }

  /** Guards against 404 for a target that every server must accept (RFC 9112
      3.2.2). */
  void RoutesATargetInAbsoluteForm()
  {
    for (const auto& [target, path] :
         { std::pair{ "http://host.example/one/x?y=z", "/one/x?y=z" },
           std::pair{ "HTTP://host.example/one/", "/one/" } }) {
      RawConnection caller(mFleet->CallerEndpoint(0));
      caller.Send("GET " + std::string(target) +
                  " HTTP/1.1\r\nHost: other.example\r\n"
                  "Wasabispread-Request-Id: absolute\r\n"
                  "Wasabispread-Request-Deadline-Ms: 1000\r\n\r\n");
      boost::this_fiber::sleep_for(std::chrono::milliseconds(200));
      const std::string answer = caller.ReceiveArrived().substr(0, 12);
      std::cout << target << ": " << answer << std::endl;
      CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), answer);
      CPPUNIT_ASSERT_EQUAL(std::string(path), mFleet->Runs().back().mTarget);
    }
  }

private:
  std::unique_ptr<ForwarderFleet> mFleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerConnectionTests);
