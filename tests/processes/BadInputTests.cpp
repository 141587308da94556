/*
 * Invalid HTTP, frames and settings are rejected with a typed error and change
 * nothing.
 */
#include "ProcessFleet.h"
#include "RawConnection.h"

#include <algorithm>
#include <fstream>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

/** Guards against daemons that crash, hang, execute something or answer without
    a typed error after invalid input. The tests of a running daemon send the
    input, then check that nothing was executed and that a valid search is
    answered by all shards. */
class BadInputTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BadInputTests);
  CPPUNIT_TEST(RejectsMalformedHttp);
  CPPUNIT_TEST(RejectsInvalidRequests);
  CPPUNIT_TEST(RejectsInvalidFrames);
  CPPUNIT_TEST(AcceptsOnlyPeersWithACommonVersion);
  CPPUNIT_TEST(RejectsInvalidSettings);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mFleet = AcquireFleet(); }

  void tearDown() override { mFleet.reset(); }

  void RejectsMalformedHttp()
  {
    const std::string path = "POST /v1/services/stock/search HTTP/1.1\r\n";
    const std::string validPrefix = path + "X-Patience-Ms: 500\r\n";
    ExpectProblem("nonsense\r\n\r\n", "400", "malformed-request");
    ExpectProblem("POST / HTTP/9.9\r\n\r\n", "400", "malformed-request");
    ExpectProblem(
      validPrefix + "Content-Length: pear\r\n\r\n", "400", "malformed-request");
    ExpectProblem(validPrefix + "Content-Length: 70000\r\n\r\n" +
                    std::string(70000, 'x'),
                  "413",
                  "request-too-large");
    ExpectProblem(validPrefix +
                    "Content-Length: 99999999999999999999999\r\n\r\n",
                  "400",
                  "");
    ExpectProblem(validPrefix + "X-Long: " + std::string(20000, 'x') +
                    "\r\n\r\n",
                  "413",
                  "request-too-large");
    // A caller that ends its side of the connection within the body gets no
    // answer.
    RawConnection truncated(mFleet->CallerAddress(0));
    truncated.Send(validPrefix + "Host: a\r\nContent-Length: 10\r\n\r\nabc");
    truncated.FinishSending();
    CPPUNIT_ASSERT_EQUAL(std::string(), truncated.ReceiveAll());
    ExpectNothingExecutedAndStillServing();
  }

  void RejectsInvalidRequests()
  {
    for (const char* timeout :
         { "0", "-5", "600001", "99999999999999999999", "1e3", "12ms", "" }) {
      TestRequest ask;
      ask.mTimeoutMs = timeout;
      ExpectKind("invalid-patience", ask);
    }
    TestRequest unknownService;
    unknownService.mService = "nothing";
    ExpectKind("unknown-service", unknownService);
    TestRequest withoutKey;
    withoutKey.mOperation = "lookup";
    ExpectKind("malformed-request", withoutKey);
    TestRequest unknownOperation;
    unknownOperation.mOperation = "destroy";
    ExpectKind("malformed-request", unknownOperation);
    ExpectNothingExecutedAndStillServing();
  }

  void RejectsInvalidFrames()
  {
    const std::string hello = EncodeHello(MakeHello(1, 1));
    const std::string cancel = EncodeMessage(BatchCancel{
      Incarnation(1), { AttemptSequence(1), AttemptSequence(2) } });
    std::string invalid = cancel;
    invalid[kFrameLengthBytes] = '\x7f';
    const std::vector<std::string> inputs{
      "GET / HTTP/1.1\r\n\r\n",
      std::string("\0\0\0\0", 4),
      std::string("\xff\xff\xff\xff", 4),
      std::string("\x08\0\0\0", 4) + "garbage!",
      cancel,
      hello + hello,
      hello + invalid,
      hello + std::string(64, '\xee'),
    };
    for (const std::string& input : inputs) {
      RawConnection peer(mFleet->PeerAddress(0));
      peer.Send(input);
      peer.FinishSending();
      peer.ReceiveAll();
    }
    // A peer that closes its connection within a frame, after each possible
    // number of bytes.
    for (std::size_t size = 1; size < cancel.size(); ++size) {
      RawConnection peer(mFleet->PeerAddress(0));
      peer.Send(hello + cancel.substr(0, size));
    }
    ExpectNothingExecutedAndStillServing();
    ExpectLogged("invalid-frame");
  }

  void AcceptsOnlyPeersWithACommonVersion()
  {
    constexpr std::uint32_t kNext = kNewestFrameVersion + 1;
    RawConnection oldestRelease(mFleet->PeerAddress(0));
    oldestRelease.Send(
      EncodeHello(MakeHello(kOldestFrameVersion, kOldestFrameVersion)));
    CPPUNIT_ASSERT(!oldestRelease.Receive(kFrameLengthBytes).empty());
    // The next release still speaks the newest version of this one.
    RawConnection nextRelease(mFleet->PeerAddress(0));
    nextRelease.Send(EncodeHello(MakeHello(kNewestFrameVersion, kNext)));
    CPPUNIT_ASSERT(!nextRelease.Receive(kFrameLengthBytes).empty());
    // The release after that does not, and its connection is closed.
    RawConnection laterRelease(mFleet->PeerAddress(0));
    laterRelease.Send(EncodeHello(MakeHello(kNext, kNext + 1)));
    CPPUNIT_ASSERT_EQUAL(std::string(), laterRelease.ReceiveAll());
    ExpectLogged("incompatible-release");
    ExpectNothingExecutedAndStillServing();
  }

  void RejectsInvalidSettings()
  {
    const std::string validPrefix =
      "name = \"x\"\nzone = \"z\"\nplatform = \"127.0.0.1:1\"\n[listen]\n"
      "callers = \"127.0.0.1:2\"\noperators = \"127.0.0.1:3\"\n"
      "peers = \"127.0.0.1:4\"\n";
    ExpectSettingsError(validPrefix + "[limits]\nstop_wait = \"5 parsecs\"\n",
                        ":9:13: ");
    ExpectSettingsError(validPrefix + "[limits]\nbody_bytes = \"many\"\n",
                        ":9:14: ");
    ExpectSettingsError(validPrefix + "[limits]\nbody_bytes = 1\n", ":9:14: ");
    ExpectSettingsError(validPrefix + "[limits]\nbody_byte = 4096\n", ":9:");
    ExpectSettingsError(validPrefix + "[log]\nlevel = \"loud\"\n", ":9:9: ");
    ExpectSettingsError("name = \n", ":1:");
    ExpectSettingsError(validPrefix + "color = \"red\"\n", ":8:");
    std::string duplicatePort = validPrefix;
    duplicatePort.replace(duplicatePort.find(":3\""), 3, ":2\"");
    ExpectSettingsError(duplicatePort, ":6:13: ");
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

  void ExpectNothingExecutedAndStillServing()
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
      "the log contains " + aText);
  }

  /** The daemon ends with exit code 2 and prints one line that starts with the
      file and position of the error and contains a remedy after "; ". */
  void ExpectSettingsError(const std::string& aSettings,
                           const std::string& aPosition)
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
    CPPUNIT_ASSERT_MESSAGE(run.mOutput,
                           run.mOutput.find(file + aPosition) == 0);
    CPPUNIT_ASSERT_MESSAGE(run.mOutput,
                           run.mOutput.find("; ") != std::string::npos);
  }

  std::shared_ptr<ProcessFleet> mFleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BadInputTests);
