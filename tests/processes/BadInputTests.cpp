/*
 * Wrong HTTP and wrong frames: a typed error, and nothing changes.
 */
#include "ProcessFleet.h"
#include "RawConnection.h"

#include <algorithm>
#include <fstream>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

/** Each test sends what is wrong, then asks something right. */
class BadInputTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BadInputTests);
  CPPUNIT_TEST(RejectsWrongHttp);
  CPPUNIT_TEST(RejectsWrongRequests);
  CPPUNIT_TEST(RejectsWrongFrames);
  CPPUNIT_TEST(GreetsTheNextRelease);
  CPPUNIT_TEST(RejectsWrongSettings);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mFleet = AcquireFleet(); }

  void tearDown() override { mFleet.reset(); }

  void RejectsWrongHttp()
  {
    const std::string path = "POST /v1/services/stock/search HTTP/1.1\r\n";
    const std::string good = path + "X-Patience-Ms: 500\r\n";
    ExpectProblem("nonsense\r\n\r\n", "400", "malformed-request");
    ExpectProblem("POST / HTTP/9.9\r\n\r\n", "400", "malformed-request");
    ExpectProblem(
      good + "Content-Length: pear\r\n\r\n", "400", "malformed-request");
    ExpectProblem(good + "Content-Length: 70000\r\n\r\n" +
                    std::string(70000, 'x'),
                  "413",
                  "request-too-large");
    ExpectProblem(
      good + "Content-Length: 99999999999999999999999\r\n\r\n", "400", "");
    ExpectProblem(good + "X-Long: " + std::string(20000, 'x') + "\r\n\r\n",
                  "413",
                  "request-too-large");
    // A request that ends midway deserves no answer.
    RawConnection half(mFleet->CallerAddress(0));
    half.Send(good + "Content-Length: 10\r\n\r\nabc");
    half.FinishSending();
    CPPUNIT_ASSERT_EQUAL(std::string(), half.ReceiveAll());
    ExpectUnharmed();
  }

  void RejectsWrongRequests()
  {
    for (const char* patience :
         { "0", "-5", "600001", "99999999999999999999", "1e3", "12ms", "" }) {
      TestRequest ask;
      ask.mTimeoutMs = patience;
      ExpectKind("invalid-patience", ask);
    }
    TestRequest unknown;
    unknown.mService = "nothing";
    ExpectKind("unknown-service", unknown);
    TestRequest keyless;
    keyless.mOperation = "lookup";
    ExpectKind("malformed-request", keyless);
    TestRequest strange;
    strange.mOperation = "destroy";
    ExpectKind("malformed-request", strange);
    ExpectUnharmed();
  }

  void RejectsWrongFrames()
  {
    const std::string hello = EncodeHello(MakeHello(1, 1));
    const std::string cancel = EncodeMessage(BatchCancel{
      Incarnation(1), { AttemptSequence(1), AttemptSequence(2) } });
    std::string broken = cancel;
    broken[kFrameLengthBytes] = '\x7f';
    const std::vector<std::string> inputs{
      "GET / HTTP/1.1\r\n\r\n",
      std::string("\0\0\0\0", 4),
      std::string("\xff\xff\xff\xff", 4),
      std::string("\x08\0\0\0", 4) + "garbage!",
      cancel,
      hello + hello,
      hello + broken,
      hello + std::string(64, '\xee'),
    };
    for (const std::string& input : inputs) {
      RawConnection peer(mFleet->PeerAddress(0));
      peer.Send(input);
      peer.FinishSending();
      peer.ReceiveAll();
    }
    // A peer that dies within a frame, at each of its bytes.
    for (std::size_t size = 1; size < cancel.size(); ++size) {
      RawConnection peer(mFleet->PeerAddress(0));
      peer.Send(hello + cancel.substr(0, size));
    }
    ExpectUnharmed();
    ExpectLogged("invalid-frame");
  }

  void GreetsTheNextRelease()
  {
    // The next release still speaks this one's version.
    const std::string own = EncodeHello(MakeHello(1, 1));
    RawConnection next(mFleet->PeerAddress(0));
    next.Send(EncodeHello(MakeHello(1, 2)));
    CPPUNIT_ASSERT(!next.Receive(kFrameLengthBytes).empty());
    // The one after that does not.
    RawConnection future(mFleet->PeerAddress(0));
    future.Send(EncodeHello(MakeHello(2, 3)));
    CPPUNIT_ASSERT_EQUAL(std::string(), future.ReceiveAll());
    ExpectLogged("incompatible-release");
    ExpectUnharmed();
  }

  void RejectsWrongSettings()
  {
    const std::string good =
      "name = \"x\"\nzone = \"z\"\nplatform = \"127.0.0.1:1\"\n[listen]\n"
      "callers = \"127.0.0.1:2\"\noperators = \"127.0.0.1:3\"\n"
      "peers = \"127.0.0.1:4\"\n";
    ExpectFault(good + "[limits]\nstop_wait = \"5 parsecs\"\n", ":9:13: ");
    ExpectFault(good + "[limits]\nbody_bytes = \"many\"\n", ":9:14: ");
    ExpectFault(good + "[limits]\nbody_bytes = 1\n", ":9:14: ");
    ExpectFault(good + "[limits]\nbody_byte = 4096\n", ":9:");
    ExpectFault(good + "[log]\nlevel = \"loud\"\n", ":9:9: ");
    ExpectFault("name = \n", ":1:");
    ExpectFault(good + "color = \"red\"\n", ":8:");
    std::string sameTwice = good;
    sameTwice.replace(sameTwice.find(":3\""), 3, ":2\"");
    ExpectFault(sameTwice, ":6:13: ");
  }

private:
  static PeerHello MakeHello(std::uint32_t aOldest, std::uint32_t aNewest)
  {
    PeerHello hello;
    hello.mOldestVersion = aOldest;
    hello.mNewestVersion = aNewest;
    hello.mVm = IdFromName<VmId>("stranger");
    hello.mIncarnation = Incarnation(1);
    hello.mPeerAddress = Endpoint{ "127.0.0.1", 9 };
    hello.mExpectedVm = IdFromName<VmId>("vm-0");
    return hello;
  }

  void ExpectProblem(const std::string& aBytes,
                     const std::string& aStatus,
                     const std::string& aKind)
  {
    RawConnection caller(mFleet->CallerAddress(0));
    caller.Send(aBytes);
    const std::string response = caller.ReceiveAll();
    CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + aStatus, response.substr(0, 12));
    CPPUNIT_ASSERT(response.find("application/problem+json") !=
                   std::string::npos);
    CPPUNIT_ASSERT(response.find("\"kind\":\"" + aKind) != std::string::npos);
    CPPUNIT_ASSERT(response.find("\"ran\":\"no\"") != std::string::npos);
  }

  void ExpectKind(const std::string& aKind, const TestRequest& aRequest)
  {
    const HistoryCall call = mFleet->Ask(0, aRequest);
    CPPUNIT_ASSERT_EQUAL(aKind, call.mErrorKind);
    CPPUNIT_ASSERT_EQUAL(std::string("no"), call.mRan);
  }

  void ExpectUnharmed()
  {
    CPPUNIT_ASSERT(!mFleet->HasExecuted());
    const HistoryCall call = mFleet->Ask(0, TestRequest{});
    CPPUNIT_ASSERT_EQUAL(std::string(), call.mErrorKind);
    CPPUNIT_ASSERT(call.mMissing.empty());
    mFleet->ExpectSoundHistory();
  }

  void ExpectLogged(const std::string& aText)
  {
    AwaitCondition(
      [&] {
        return ReadWholeFile(mFleet->Folder() + "/vm-0.jsonl").find(aText) !=
               std::string::npos;
      },
      "the log says " + aText);
  }

  /** The daemon ends with 2, and one line names the place and a remedy. */
  void ExpectFault(const std::string& aSettings, const std::string& aPlace)
  {
    const std::string file = mFleet->Folder() + "/wrong.toml";
    std::ofstream(file) << aSettings;
    const FinishedProcess run = RunToEnd(
      "wasabispreadd", { "--settings", file }, mFleet->Folder() + "/wrong.log");
    CPPUNIT_ASSERT_EQUAL(2, run.mExitCode);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      run.mOutput,
      std::ptrdiff_t{ 1 },
      std::count(run.mOutput.begin(), run.mOutput.end(), '\n'));
    CPPUNIT_ASSERT_MESSAGE(run.mOutput, run.mOutput.find(file + aPlace) == 0);
    CPPUNIT_ASSERT_MESSAGE(run.mOutput,
                           run.mOutput.find("; ") != std::string::npos);
  }

  std::shared_ptr<ProcessFleet> mFleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BadInputTests);
