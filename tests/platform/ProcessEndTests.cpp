/*
 * Tests that real daemons go on serving, and end only by their stop, whatever
 * callers and targets send and whatever happens to their output, descriptors
 * and signals.
 */
#include "ForwarderFleet.h"

#include <tests/processes/RawConnection.h>

#include <algorithm>
#include <csignal>

#include <boost/asio.hpp>
#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <tests/processes/FreePorts.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

namespace asio = boost::asio;

/** A target that replies to each request with given bytes, in which "$ID" is
    replaced by the request's id. */
class RawTarget : public std::enable_shared_from_this<RawTarget>
{
public:
  RawTarget(std::uint16_t aPort, std::string aReply)
    : mAcceptor(TestLoop().Context(),
                { asio::ip::address_v4::loopback(), aPort })
    , mReply(std::move(aReply))
  {
  }

  void Accept()
  {
    mAcceptor.async_accept(
      [self = shared_from_this()](boost::system::error_code aError,
                                  asio::ip::tcp::socket aSocket) {
        if (!aError) {
          self->Read(std::make_shared<Session>(std::move(aSocket)));
          self->Accept();
        }
      });
  }

  /** Accepts no more connections. */
  void Close() { mAcceptor.close(); }

  std::size_t mReplies = 0;

private:
  struct Session
  {
    explicit Session(asio::ip::tcp::socket aSocket)
      : mSocket(std::move(aSocket))
    {
    }

    asio::ip::tcp::socket mSocket;
    std::string mInput;
    std::string mOutput;
  };

  void Read(const std::shared_ptr<Session>& aSession)
  {
    asio::async_read_until(
      aSession->mSocket,
      asio::dynamic_buffer(aSession->mInput),
      "\r\n\r\n",
      [self = shared_from_this(), aSession](boost::system::error_code aError,
                                            std::size_t aBytes) {
        if (!aError) {
          self->Reply(aSession, aSession->mInput.substr(0, aBytes));
        }
      });
  }

  void Reply(const std::shared_ptr<Session>& aSession, const std::string& aHead)
  {
    constexpr std::string_view kField = "Wasabispread-Request-Id: ";
    const auto at = aHead.find(kField);
    const auto begin = at == std::string::npos ? 0 : at + kField.size();
    const std::string id = aHead.substr(begin, aHead.find('\r', begin) - begin);
    ++mReplies;
    aSession->mInput.clear();
    aSession->mOutput = mReply;
    for (auto place = aSession->mOutput.find("$ID"); place != std::string::npos;
         place = aSession->mOutput.find("$ID")) {
      aSession->mOutput.replace(place, 3, id);
    }
    asio::async_write(aSession->mSocket,
                      asio::buffer(aSession->mOutput),
                      [self = shared_from_this(), aSession](
                        boost::system::error_code aError, std::size_t) {
                        if (!aError) {
                          self->Read(aSession);
                        }
                      });
  }

  asio::ip::tcp::acceptor mAcceptor;
  std::string mReply;
};

std::string
Repeat(std::size_t aCount, char aCharacter)
{
  return std::string(aCount, aCharacter);
}

/** A valid reply of a RawTarget, apart from what is given. */
std::string
FormatReply(const std::string& aStatus,
            const std::string& aFields,
            const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus +
         " R\r\nWasabispread-Request-Id: $ID\r\n"
         "Wasabispread-Server-Stamp: s/$ID/1\r\n" +
         aFields + "\r\n" + aBody;
}

std::string
ContentLength(const std::string& aBody)
{
  return "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
}

/** A chunked body with a trailer field whose value has this size. */
std::string
BodyWithTrailer(std::size_t aSize)
{
  return "1\r\nx\r\n0\r\nX: " + Repeat(aSize, 'v') + "\r\n\r\n";
}

std::string
Join(const std::string& aFirst, const std::string& aSecond)
{
  return aFirst + " " + aSecond;
}

/** The fields that a caller's request must have. */
std::string
CallerFields(const std::string& aId)
{
  return "Host: host.example\r\nWasabispread-Request-Id: " + aId +
         "\r\nWasabispread-Request-Deadline-Ms: 1000\r\n";
}

} // namespace

class ProcessEndTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ProcessEndTests);
  CPPUNIT_TEST(AnswersATraceRequestWithABody);
  CPPUNIT_TEST(AnswersWhateverCallersSend);
  CPPUNIT_TEST(AnswersWhateverStatusTargetsSend);
  CPPUNIT_TEST(AnswersWhateverFieldsTargetsSend);
  CPPUNIT_TEST(AnswersWhenATargetSendsALongTrailer);
  CPPUNIT_TEST(AnswersWhenACallerSendsALongTrailer);
  CPPUNIT_TEST(AnswersWhatLargeLimitsOfTheOperatorsAllow);
  CPPUNIT_TEST(ServesWithoutAReaderOfItsOutput);
  CPPUNIT_TEST(StopsWhileNobodyReadsItsOutput);
  CPPUNIT_TEST(ServesWhenItsLogFileReachesItsLargestSize);
  CPPUNIT_TEST(AnswersRequestsWhenStoppedWhileItStarts);
  CPPUNIT_TEST(LogsFurtherStopSignals);
  CPPUNIT_TEST(AnswersMoreCallersThanTheSoftLimitOfDescriptors);
  CPPUNIT_TEST(AnswersWithFewDescriptors);
  CPPUNIT_TEST(AnswersWaitingCallersWhenStoppedWithFewDescriptors);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mFleet = std::make_unique<ForwarderFleet>(); }
  void tearDown() override { mFleet.reset(); }

  void AnswersATraceRequestWithABody()
  {
    CPPUNIT_ASSERT_MESSAGE(
      "no answer",
      !Exchange("TRACE /one/x HTTP/1.1\r\nContent-Length: 5\r\n", "hello")
         .empty());
    AssertServes("after it");
  }

  /** Each of these has a complete head; so each gets some answer. */
  void AnswersWhateverCallersSend()
  {
    const std::vector<std::pair<std::string, std::string>> requests{
      { "TRACE /one/x HTTP/1.1\r\n", "" },
      { "CONNECT host.example:80 HTTP/1.1\r\n", "" },
      { "CONNECT /one/x HTTP/1.1\r\nContent-Length: 3\r\n", "abc" },
      { "OPTIONS * HTTP/1.1\r\n", "" },
      { "OPTIONS /one/x HTTP/1.1\r\nContent-Length: 3\r\n", "abc" },
      { "HEAD /one/x HTTP/1.1\r\n", "" },
      { "HEAD /one/x HTTP/1.1\r\nContent-Length: 3\r\n", "abc" },
      { "GET /one/\x80\xff\xfe HTTP/1.1\r\n", "" },
      { "GET /one/%00%ff%zz HTTP/1.1\r\n", "" },
      { "GET /one/" + Repeat(7000, 'x') + " HTTP/1.1\r\n", "" },
      { "GET " + Repeat(70'000, '/') + " HTTP/1.1\r\n", "" },
      { "GET http://host.example/one/x HTTP/1.1\r\n", "" },
      { "GET ?/one/x HTTP/1.1\r\n", "" },
      { "get /one/x HTTP/1.1\r\n", "" },
      { Repeat(3000, 'M') + " /one/x HTTP/1.1\r\n", "" },
      { "GET /one/x HTTP/1.0\r\n", "" },
      { "GET /one/x HTTP/1.1\r\nX: \x80\xff\r\n", "" },
      { "GET /one/x HTTP/1.1\r\nConnection: ,,  ,x, ,close,\r\n", "" },
      { "GET /one/x HTTP/1.1\r\nUpgrade: h2c\r\nConnection: upgrade\r\n", "" },
      { "GET /one/x HTTP/1.1\r\nX: " + Repeat(7500, 'v') + "\r\n", "" },
      { "GET /one/x HTTP/1.1\r\nX: " + Repeat(70'000, 'v') + "\r\n", "" },
      { "GET /one/x HTTP/1.1\r\nX: a\r\n b\r\n\tc\r\n", "" },
      { "POST /one/x HTTP/1.1\r\nContent-Length: 18446744073709551615\r\n",
        "x" },
      { "POST /one/x HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n",
        "x" },
      { "POST /one/x HTTP/1.1\r\nContent-Length: -1\r\n", "x" },
      { "POST /one/x HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 0\r\n",
        "" },
      { "POST /one/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n",
        "ffffffffffffffff\r\nx" },
      { "POST /one/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n",
        "fffffffffffffffff\r\nx" },
      { "POST /one/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n",
        "1\r\nx\r\n0\r\nX: y\r\n\r\n" },
      { "POST /one/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n",
        "1\r\nx\r\n0\r\nX: " + Repeat(9000, 'v') + "\r\n\r\n" },
      { "POST /one/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n",
        "0;" + Repeat(60'000, 'e') + "\r\n\r\n" },
      { "GET /one/x HTTP/1.1\r\nExpect: nothing\r\n", "" },
    };
    for (std::size_t index = 0; index < requests.size(); ++index) {
      const auto& [head, body] = requests[index];
      const std::string what = "request " + std::to_string(index);
      CPPUNIT_ASSERT_MESSAGE(what, !Exchange(head, body).empty());
      AssertServes(what);
    }
  }

  void AnswersWhateverStatusTargetsSend()
  {
    UseRawTargets();
    for (const std::string status : { "000",
                                      "001",
                                      "099",
                                      "100",
                                      "101",
                                      "103",
                                      "199",
                                      "200",
                                      "204",
                                      "205",
                                      "299",
                                      "304",
                                      "399",
                                      "407",
                                      "408",
                                      "426",
                                      "599",
                                      "600",
                                      "999" }) {
      for (const std::string body : { "", "x" }) {
        const std::string what = Join("status", Join(status, body));
        const std::string answer =
          AnswerTo(FormatReply(status, ContentLength(body), body), what);
        // An interim answer (1xx) would leave the caller waiting.
        CPPUNIT_ASSERT_MESSAGE(what + ": " + answer.substr(0, 20),
                               answer.starts_with("HTTP/1.1 ") &&
                                 answer[9] >= '2' && answer[9] <= '9');
        AssertServes(what);
      }
    }
  }

  void AnswersWhateverFieldsTargetsSend()
  {
    UseRawTargets();
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::vector<std::pair<std::string, std::string>> replies{
      { "Keep-Alive: timeout=4294967295\r\n", "" },
      { "Keep-Alive: timeout=99999999999999999999\r\n", "" },
      { "Keep-Alive: timeout=-1\r\n", "" },
      { "Keep-Alive: timeout=0\r\n", "" },
      { "Retry-After: 1e308\r\n", "" },
      { "Retry-After: nan\r\n", "" },
      { "Retry-After: -5\r\n", "" },
      { "Server-Limit: 1e308\r\n", "" },
      { "Server-Limit: 0\r\n", "" },
      { "Server-Limit: 1e-308\r\n", "" },
      { "Server-Limit: inf\r\n", "" },
      { "X: " + Repeat(7000, 'v') + "\r\n", "" },
      { "X: " + Repeat(9000, 'v') + "\r\n", "" },
      { "X: " + Repeat(70'000, 'v') + "\r\n", "" },
      { "X: \x80\xff\x01\r\n", "" },
      { "Content-Length: 18446744073709551615\r\n", "x" },
      { "Content-Length: 60000000\r\n", "x" },
      { chunked, "ffffffffffffffff\r\nx" },
    };
    for (std::size_t index = 0; index < replies.size(); ++index) {
      const auto& [fields, body] = replies[index];
      for (const std::string status : { "200", "503", "500" }) {
        const std::string what = Join("reply " + std::to_string(index), status);
        AnswerTo(
          FormatReply(
            status, body.empty() ? fields + ContentLength(body) : fields, body),
          what);
        AssertServes(what);
      }
    }
  }

  void AnswersWhenATargetSendsALongTrailer()
  {
    UseRawTargets();
    for (const std::size_t size :
         { 9000U, 65'000U, 65'520U, 65'540U, 66'500U, 68'000U, 69'000U }) {
      const std::string what = "trailer of " + std::to_string(size);
      AnswerTo(FormatReply("200",
                           "Transfer-Encoding: chunked\r\n",
                           BodyWithTrailer(size)),
               what);
      AssertServes(what);
    }
  }

  void AnswersWhenACallerSendsALongTrailer()
  {
    for (const std::size_t size :
         { 7000U, 65'540U, 70'000U, 100'000U, 200'000U }) {
      const std::string what = "trailer of " + std::to_string(size);
      CPPUNIT_ASSERT_MESSAGE(
        what,
        !Exchange("POST /one/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n",
                  BodyWithTrailer(size))
           .empty());
      AssertServes(what);
    }
  }

  void AnswersWhatLargeLimitsOfTheOperatorsAllow()
  {
    const nlohmann::json route{
      { "name", "one" },     { "host", "host.example" },
      { "prefix", "/one/" }, { "routeType", "idempotent" },
      { "timeoutMs", 2000 }, { "service", "one" }
    };
    const nlohmann::json service{ { "name", "one" }, { "maxConns", 26 } };
    const nlohmann::json limits{ { "maxHeaderBytes", 131'072 },
                                 { "maxBodyBytes", std::int64_t{ 1 } << 62U } };
    mFleet->Store().Put("op/config",
                        nlohmann::json{ { "version", 1000 },
                                        { "routes", { route } },
                                        { "services", { service } },
                                        { "limits", limits } }
                          .dump());
    boost::this_fiber::sleep_for(std::chrono::seconds(1));
    CPPUNIT_ASSERT(
      !Exchange("GET /one/x HTTP/1.1\r\nX: " + Repeat(70'000, 'v') + "\r\n", "")
         .empty());
    CPPUNIT_ASSERT(
      !Exchange(
         "POST /one/x HTTP/1.1\r\nContent-Length: 4000000000000000000\r\n", "x")
         .empty());
    AssertServes("afterwards");
  }

  void ServesWithoutAReaderOfItsOutput()
  {
    const int reader = RestartWithPipe();
    AssertServes("with a reader");
    close(reader);
    for (unsigned count = 0; count < 5; ++count) {
      AssertServes("without a reader");
    }
    mFleet->Daemon(0).Terminate();
    CPPUNIT_ASSERT_EQUAL(0, mFleet->Daemon(0).WaitForExit());
  }

  void StopsWhileNobodyReadsItsOutput()
  {
    const int reader = RestartWithPipe();
    for (unsigned count = 0; count < 2000; ++count) {
      AssertServes("while nobody reads");
    }
    mFleet->Daemon(0).Terminate();
    AssertServes("while it stops");
    const TimePoint stop = std::chrono::steady_clock::now();
    AwaitCondition([&] { return mFleet->Daemon(0).HasEnded(); },
                   "the daemon ends",
                   std::chrono::seconds(6));
    CPPUNIT_ASSERT_EQUAL(0, mFleet->Daemon(0).WaitForExit());
    // The grace is 4 s.
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - stop <
                   std::chrono::seconds(4));
    close(reader);
  }

  void ServesWhenItsLogFileReachesItsLargestSize()
  {
    const rlimit limit{ 8192, 8192 };
    CPPUNIT_ASSERT_EQUAL(
      0, prlimit(mFleet->Daemon(0).Pid(), RLIMIT_FSIZE, &limit, nullptr));
    for (unsigned count = 0; count < 200; ++count) {
      AssertServes("request " + std::to_string(count));
    }
    mFleet->Daemon(0).Terminate();
    CPPUNIT_ASSERT_EQUAL(0, mFleet->Daemon(0).WaitForExit());
  }

  void AnswersRequestsWhenStoppedWhileItStarts()
  {
    constexpr unsigned kStarts = 40;
    const std::string request = "GET /one/x HTTP/1.1\r\n" + CallerFields("s") +
                                "Connection: close\r\n\r\n";
    for (unsigned start = 0; start < kStarts; ++start) {
      mFleet->Daemon(0).Kill();
      mFleet->StartDaemon(0);
      std::unique_ptr<RawConnection> connection;
      while (connection == nullptr) {
        try {
          connection =
            std::make_unique<RawConnection>(mFleet->CallerEndpoint(0));
        } catch (const std::runtime_error&) {
          // The port is not open yet.
        }
      }
      connection->Send(request);
      mFleet->Daemon(0).Terminate();
      CPPUNIT_ASSERT_MESSAGE("start " + std::to_string(start),
                             !ReceiveAll(*connection).empty());
    }
  }

  void LogsFurtherStopSignals()
  {
    const pid_t pid = mFleet->Daemon(0).Pid();
    mFleet->Daemon(0).Terminate();
    for (unsigned count = 0; count < 40; ++count) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
      kill(pid, count % 2 == 0 ? SIGTERM : SIGINT);
    }
    AssertServes("while it stops");
    CPPUNIT_ASSERT_EQUAL(0, mFleet->Daemon(0).WaitForExit());
    std::size_t logged = 0;
    std::int64_t last = 0;
    for (const auto& record : mFleet->LogRecords(0)) {
      if (record.value("event", "") == "stop-signal-ignored") {
        ++logged;
        CPPUNIT_ASSERT(record.at("signal") == SIGTERM ||
                       record.at("signal") == SIGINT);
        CPPUNIT_ASSERT(record.at("after_ms").get<std::int64_t>() > last);
        last = record.at("after_ms").get<std::int64_t>();
      }
    }
    CPPUNIT_ASSERT(logged >= 2 && logged <= 20);
  }

  void AnswersMoreCallersThanTheSoftLimitOfDescriptors()
  {
    constexpr rlim_t kDescriptors = 256;
    constexpr std::size_t kCallers = 300;
    rlimit own{};
    CPPUNIT_ASSERT_EQUAL(0, getrlimit(RLIMIT_NOFILE, &own));
    const rlimit lower{ kDescriptors, own.rlim_max };
    mFleet->Daemon(0).Kill();
    CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &lower));
    mFleet->StartDaemon(0);
    CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &own));
    AwaitCondition([&] { return mFleet->IsReady(0); }, "the daemon is ready");
    const Connections kept = Connect(kCallers);
    SendOnEach(kept, "");
    boost::this_fiber::sleep_for(std::chrono::milliseconds(500));
    mFleet->Daemon(0).Terminate();
    CPPUNIT_ASSERT_EQUAL(kCallers, CountAnswered(kept));
    CPPUNIT_ASSERT_EQUAL(0, mFleet->Daemon(0).WaitForExit());
  }

  void AnswersWithFewDescriptors()
  {
    const auto idle = ConnectBeyondTheDescriptors();
    const double before = ProcessorSeconds();
    mFleet->Daemon(0).Reload();
    boost::this_fiber::sleep_for(std::chrono::seconds(1));
    const double used = ProcessorSeconds() - before;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(used) + " s", used < 0.3);
    // Those beyond the limit wait until others are closed.
    SendOnEach(idle, "Connection: close\r\n");
    CPPUNIT_ASSERT_EQUAL(idle.size(), CountAnswered(idle));
    AwaitCondition([&] { return mFleet->SendRequest({}).Status() == 200; },
                   "it serves as before");
    mFleet->Daemon(0).Terminate();
    CPPUNIT_ASSERT_EQUAL(0, mFleet->Daemon(0).WaitForExit());
  }

  void AnswersWaitingCallersWhenStoppedWithFewDescriptors()
  {
    const auto idle = ConnectBeyondTheDescriptors();
    SendOnEach(idle, "");
    boost::this_fiber::sleep_for(std::chrono::milliseconds(500));
    mFleet->Daemon(0).Terminate();
    CPPUNIT_ASSERT_EQUAL(idle.size(), CountAnswered(idle));
    CPPUNIT_ASSERT_EQUAL(0, mFleet->Daemon(0).WaitForExit());
  }

private:
  /** Sends a request with the fields that a caller must send and returns what
      arrives until the daemon closes the connection. */
  std::string Exchange(const std::string& aHead, const std::string& aBody)
  {
    const RawConnection connection(mFleet->CallerEndpoint(0));
    connection.Send(aHead + CallerFields("x" + std::to_string(mSent++)) +
                    "Connection: close\r\n\r\n" + aBody);
    return ReceiveAll(connection);
  }

  /** Reads until the connection ends, for at most 8 s, while the stand-ins in
      this process run. */
  static std::string ReceiveAll(const RawConnection& aConnection)
  {
    std::string received;
    const TimePoint until =
      std::chrono::steady_clock::now() + std::chrono::seconds(8);
    while (std::chrono::steady_clock::now() < until) {
      const std::string arrived = aConnection.ReceiveArrived();
      received += arrived;
      if (received.find("\r\n\r\n") != std::string::npos ||
          aConnection.HasEnded()) {
        break;
      }
      boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
    }
    return received;
  }

  void AssertServes(const std::string& aWhat)
  {
    CPPUNIT_ASSERT_MESSAGE(aWhat + ": the daemon ended",
                           !mFleet->Daemon(0).HasEnded());
    const ForwarderReply reply = mFleet->SendRequest({ .mPath = mServedPath });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aWhat, 200U, reply.Status());
  }

  /** Directs the route "/one/" to a service of RawTargets. */
  void UseRawTargets()
  {
    mServedPath = VersionPrefix(mFleet->Configure("raw")) + "x";
    AwaitCondition(
      [&] {
        return mFleet->SendRequest({ .mPath = mServedPath }).Status() == 200;
      },
      "the configuration is in force");
  }

  /** The answer to a request to which a new target, the only one of its
      service, replies with the given bytes. */
  std::string AnswerTo(const std::string& aReply, const std::string& aWhat)
  {
    const std::uint16_t port = NextFreePort();
    const auto target = std::make_shared<RawTarget>(port, aReply);
    target->Accept();
    const std::string key = "servers/raw-" + std::to_string(port);
    mFleet->Store().Put(
      key,
      nlohmann::json{ { "service", "raw" },
                      { "address", "127.0.0.1:" + std::to_string(port) },
                      { "zone", "zone-a" },
                      { "version", "1" },
                      { "slots", 2 },
                      { "state", "ready" },
                      { "warmupLeftMs", 0 },
                      { "seq", 1 },
                      { "born", 1 } }
        .dump());
    std::string answer;
    AwaitCondition(
      [&] {
        answer = Exchange("GET /one/x HTTP/1.1\r\n", "");
        CPPUNIT_ASSERT_MESSAGE(aWhat + ": no answer", !answer.empty());
        return target->mReplies != 0;
      },
      aWhat + " is sent");
    mFleet->Store().Remove(key);
    target->Close();
    return answer;
  }

  /** Restarts the daemon with a pipe as its output, and returns the pipe's
      reading end. */
  int RestartWithPipe()
  {
    const std::string pipe = mFleet->LogFile(0);
    mFleet->Daemon(0).Kill();
    std::remove(pipe.c_str());
    CPPUNIT_ASSERT_EQUAL(0, mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR));
    const int reader = open(pipe.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
    mFleet->StartDaemon(0);
    AwaitCondition([&] { return mFleet->IsReady(0); }, "the daemon is ready");
    return reader;
  }

  using Connections = std::vector<std::unique_ptr<RawConnection>>;

  Connections Connect(std::size_t aCount) const
  {
    Connections connections;
    for (std::size_t caller = 0; caller < aCount; ++caller) {
      connections.push_back(
        std::make_unique<RawConnection>(mFleet->CallerEndpoint(0)));
    }
    return connections;
  }

  /** Leaves the daemon 64 descriptors and opens 100 connections to it. */
  Connections ConnectBeyondTheDescriptors()
  {
    constexpr rlim_t kDescriptors = 64;
    constexpr std::size_t kCallers = 100;
    const rlimit limit{ kDescriptors, kDescriptors };
    CPPUNIT_ASSERT_EQUAL(
      0, prlimit(mFleet->Daemon(0).Pid(), RLIMIT_NOFILE, &limit, nullptr));
    Connections connections = Connect(kCallers);
    boost::this_fiber::sleep_for(std::chrono::milliseconds(300));
    return connections;
  }

  static void SendOnEach(const Connections& aConnections,
                         const std::string& aFields)
  {
    for (std::size_t caller = 0; caller < aConnections.size(); ++caller) {
      aConnections[caller]->Send("GET /one/x HTTP/1.1\r\n" +
                                 CallerFields("d" + std::to_string(caller)) +
                                 aFields + "\r\n");
    }
  }

  static std::size_t CountAnswered(const Connections& aConnections)
  {
    return static_cast<std::size_t>(std::count_if(
      aConnections.begin(), aConnections.end(), [](const auto& aConnection) {
        return ReceiveAll(*aConnection).starts_with("HTTP/1.1 ");
      }));
  }

  double ProcessorSeconds()
  {
    std::istringstream text(ReadWholeFile(
      "/proc/" + std::to_string(mFleet->Daemon(0).Pid()) + "/stat"));
    std::string word;
    double ticks = 0;
    for (unsigned field = 1; text >> word; ++field) {
      ticks += field == 14 || field == 15 ? std::stod(word) : 0;
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  }

  std::unique_ptr<ForwarderFleet> mFleet;
  std::string mServedPath = "/one/x";
  unsigned mSent = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessEndTests);
