/*
 * Tests the HTTP client connection against servers that reply before they have
 * read a long request, and then close or reset the connection.
 */
#include "TestLoop.h"

#include "FreePorts.h"

#include <iostream>

#include <boost/asio.hpp>
#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kRuns = 40;
constexpr std::size_t kRequestBytes = 8U << 20U;
constexpr std::size_t kReplyBytes = 10'000;

/** Accepts connections, reads the header of a request and sends a reply. */
class HastyServer
{
public:
  enum class End
  {
    kKeepsOpen,
    kCloses,
    kResets,
  };

  HastyServer(IoLoop& aLoop, std::uint16_t aPort, std::string aReply, End aEnd)
    : mAcceptor(aLoop.Context(),
                tcp::endpoint(boost::asio::ip::address_v4::loopback(), aPort))
    , mSocket(aLoop.Context())
    , mReply(std::move(aReply))
    , mEnd(aEnd)
  {
    mAcceptor.async_accept(mSocket, [this](auto aError) {
      if (!aError) {
        ReadHeader();
      }
    });
  }

private:
  void ReadHeader()
  {
    mSocket.async_read_some(boost::asio::buffer(mIn),
                            [this](auto aError, std::size_t) {
                              if (!aError) {
                                SendReply();
                              }
                            });
  }

  void SendReply()
  {
    boost::asio::async_write(
      mSocket, boost::asio::buffer(mReply), [this](auto, std::size_t) {
        if (mEnd == End::kResets) {
          mSocket.set_option(boost::asio::socket_base::linger(true, 0));
        }
        if (mEnd != End::kKeepsOpen) {
          mSocket.close();
        }
      });
  }

  tcp::acceptor mAcceptor;
  tcp::socket mSocket;
  std::array<char, 1024> mIn{};
  std::string mReply;
  End mEnd;
};

} // namespace

class EarlyReplyTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EarlyReplyTests);
  CPPUNIT_TEST(ReadsAWholeReplyThatPrecedesTheEndOfTheRequest);
  CPPUNIT_TEST(TakesNoReplyThatIsResetForAWholeOne);
  CPPUNIT_TEST_SUITE_END();

public:
  std::size_t CountReplies(const std::string& aReply, HastyServer::End aEnd)
  {
    std::size_t whole = 0;
    mReusable = 0;
    for (std::size_t run = 0; run < kRuns; ++run) {
      const Endpoint address{ "127.0.0.1", NextFreePort() };
      HastyServer server(TestLoop(), address.mPort, aReply, aEnd);
      HttpConnection connection(TestLoop());
      CPPUNIT_ASSERT(connection.Connect(address, std::chrono::seconds(1)));
      HttpRequest request;
      request.mMethod = "PUT";
      request.mBody = std::string(kRequestBytes, 'x');
      const auto response =
        connection.Exchange(request, std::chrono::seconds(1));
      if (response) {
        ++whole;
        CPPUNIT_ASSERT_EQUAL(kReplyBytes, response->mBody.size());
        mReusable += response->mKeepAlive ? 1 : 0;
      }
    }
    return whole;
  }

  void ReadsAWholeReplyThatPrecedesTheEndOfTheRequest()
  {
    const std::string reply =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kReplyBytes) +
      "\r\n\r\n" + std::string(kReplyBytes, 'y');
    using End = HastyServer::End;
    for (const auto& [end, name] : { std::pair{ End::kKeepsOpen, "keeps" },
                                     std::pair{ End::kCloses, "closes" },
                                     std::pair{ End::kResets, "resets" } }) {
      const std::size_t whole = CountReplies(reply, end);
      std::cout << "server " << name << " its connection: " << whole << " of "
                << kRuns << " replies read, " << mReusable
                << " connections taken for reusable" << std::endl;
      CPPUNIT_ASSERT_EQUAL(kRuns, whole);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mReusable);
    }
  }

  /** Guards against a body without a length whose reset is seen by the writing
      of the request only. */
  void TakesNoReplyThatIsResetForAWholeOne()
  {
    const std::string reply =
      "HTTP/1.1 200 OK\r\n\r\n" + std::string(kReplyBytes, 'y');
    for (const auto end :
         { HastyServer::End::kCloses, HastyServer::End::kResets }) {
      const std::size_t taken = CountReplies(reply, end);
      std::cout << taken << " of " << kRuns << " reset replies taken"
                << std::endl;
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, taken);
    }
  }

private:
  std::size_t mReusable = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyReplyTests);
