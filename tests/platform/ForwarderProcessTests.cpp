/*
 * Tests a real forwarding daemon against faulty targets, callers that send
 * invalid input, a store that fails, and signals.
 */
#include "ForwarderFleet.h"

#include <tests/processes/RawConnection.h>

#include <algorithm>
#include <fstream>
#include <functional>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

/** The greatest aCount records of several bodies, found by sorting all
    records. */
std::string
GreatestOf(const std::vector<std::string>& aBodies, std::size_t aCount)
{
  constexpr std::size_t kBytes = 16;
  std::vector<std::string> records;
  for (const std::string& body : aBodies) {
    for (std::size_t at = 0; at + kBytes <= body.size(); at += kBytes) {
      records.push_back(body.substr(at, kBytes));
    }
  }
  // std::string compares its bytes as unsigned numbers.
  std::sort(records.begin(), records.end(), std::greater<>());
  std::string text;
  for (std::size_t index = 0; index < std::min(aCount, records.size());
       ++index) {
    text += records[index];
  }
  return text;
}

std::string
Header(const ForwarderReply& aReply, const char* aName)
{
  return std::string(FindHeader(aReply.mResponse->mHeaders, aName));
}

void
SleepFor(Duration aDuration)
{
  boost::this_fiber::sleep_for(aDuration);
}

} // namespace

class ForwarderProcessTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ForwarderProcessTests);
  CPPUNIT_TEST(ForwardsRequestsAndRepliesUnchanged);
  CPPUNIT_TEST(MergesTheGreatestRecordsOfAllShards);
  CPPUNIT_TEST(StatesWhichShardsAreMissing);
  CPPUNIT_TEST(NeverForwardsABadReply);
  CPPUNIT_TEST(NeverForwardsAReplyThatWasCutOff);
  CPPUNIT_TEST(NeverRunsAnActionTwice);
  CPPUNIT_TEST(SendsTheNextRequestWholeAfterAnEarlyReply);
  CPPUNIT_TEST(RejectsBadInputBeforeAnyTarget);
  CPPUNIT_TEST(CancelsTheWorkOfDisconnectedCallers);
  CPPUNIT_TEST(KeepsToTheConnectionLimit);
  CPPUNIT_TEST(StopsUsingAnAddressOfAnotherInstance);
  CPPUNIT_TEST(StopsUsingDrainingTargets);
  CPPUNIT_TEST(ServesWhileTheStoreIsUnavailable);
  CPPUNIT_TEST(StartsDuringAStoreOutage);
  CPPUNIT_TEST(AppliesVersionsDespiteCompactionAbortsAndInvalidEntries);
  CPPUNIT_TEST(AppliesAVersionAfterAReplyOfTheStoreWasLost);
  CPPUNIT_TEST(RegistersDespiteLostAndLateWrites);
  CPPUNIT_TEST(KeepsToTheRequestLimitOfATarget);
  CPPUNIT_TEST(LearnsANewVersionFromOtherVms);
  CPPUNIT_TEST(FinishesRequestsBeforeStopping);
  CPPUNIT_TEST(AnswersOrRefusesWhatArrivesInTheGraceOfAStop);
  CPPUNIT_TEST(SurvivesSignalsInSeries);
  CPPUNIT_TEST(KeepsItsSettingsWhenAReloadIsFaulty);
  CPPUNIT_TEST(ServesAgainAfterAFreezeAndAKill);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { Start(1); }
  void tearDown() override { mFleet.reset(); }

  void Start(std::size_t aDaemons)
  {
    mFleet.reset();
    mFleet = std::make_unique<ForwarderFleet>(aDaemons);
  }

  void ExpectServed(std::size_t aDaemon = 0)
  {
    const ForwarderReply reply = mFleet->SendRequest({}, aDaemon);
    CPPUNIT_ASSERT_MESSAGE(reply.mResponse ? ""
                                           : reply.mResponse.error().mMessage,
                           reply.mResponse.has_value());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.mResponse->mBody, 200U, reply.Status());
    ExpectOwnReply(reply);
  }

  void ExpectOwnReply(const ForwarderReply& aReply)
  {
    const std::string& body = aReply.mResponse->mBody;
    CPPUNIT_ASSERT_MESSAGE(body,
                           body == ReplyBodyOf("one-a", aReply.mRequestId) ||
                             body == ReplyBodyOf("one-b", aReply.mRequestId));
    CPPUNIT_ASSERT(Header(aReply, "Wasabispread-Server-Stamp")
                     .find("/" + aReply.mRequestId + "/") != std::string::npos);
  }

  /** Waits until the route "/one/" leads to a service whose replies begin like
      this. */
  void AwaitReply(const std::string& aBegin,
                  const std::string& aWhat,
                  Duration aTimeout = std::chrono::seconds(20))
  {
    AwaitCondition(
      [&] {
        const ForwarderReply reply = mFleet->SendRequest({});
        return reply.mResponse && reply.mResponse->mBody.starts_with(aBegin);
      },
      aWhat,
      aTimeout);
  }

  void ForwardsRequestsAndRepliesUnchanged()
  {
    ForwarderRequest request;
    request.mMethod = "PUT";
    request.mPath = "/one/a%20b/../c?d=%2F&e";
    request.mBody = std::string(50'000, 'x') + std::string("\0\r\n\r\n", 5);
    request.mHeaders = { { "X-Own", "1" }, { "X-Own", "2" } };
    const ForwarderReply reply = mFleet->SendRequest(request);
    CPPUNIT_ASSERT_EQUAL(200U, reply.Status());
    ExpectOwnReply(reply);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mFleet->Runs().size());
    const TargetRun& run = mFleet->Runs().front();
    CPPUNIT_ASSERT_EQUAL(request.mMethod, run.mMethod);
    CPPUNIT_ASSERT_EQUAL(request.mPath, run.mTarget);
    CPPUNIT_ASSERT(request.mBody == run.mBody);
    CPPUNIT_ASSERT_EQUAL(
      std::ptrdiff_t{ 2 },
      std::count_if(run.mHeaders.begin(), run.mHeaders.end(), [](auto& aField) {
        return aField.mName == "X-Own";
      }));
    const int timeoutMs = std::stoi(std::string(
      FindHeader(run.mHeaders, "Wasabispread-Request-Deadline-Ms")));
    CPPUNIT_ASSERT(timeoutMs > 1000 && timeoutMs <= 2000);
  }

  void MergesTheGreatestRecordsOfAllShards()
  {
    ForwarderRequest request;
    request.mPath = "/search/q";
    const ForwarderReply reply = mFleet->SendRequest(request);
    CPPUNIT_ASSERT_EQUAL(200U, reply.Status());
    CPPUNIT_ASSERT_EQUAL(std::string("0"),
                         Header(reply, "Wasabispread-Missing-Parts"));
    std::vector<std::string> bodies;
    for (const char* shard : { "shard-0", "shard-1", "shard-2", "shard-3" }) {
      bodies.push_back(RecordsOf(shard, reply.mRequestId));
    }
    CPPUNIT_ASSERT(GreatestOf(bodies, 5) == reply.mResponse->mBody);
  }

  void StatesWhichShardsAreMissing()
  {
    mFleet->SetFault("shard-2", TargetFault::kFails);
    ForwarderRequest request;
    request.mPath = "/search/q";
    const ForwarderReply reply = mFleet->SendRequest(request);
    CPPUNIT_ASSERT_EQUAL(200U, reply.Status());
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         Header(reply, "Wasabispread-Missing-Parts"));
    const std::string signatures = Header(reply, "Wasabispread-Part-Stamps");
    CPPUNIT_ASSERT(signatures.find("shard-2") == std::string::npos);
    for (const char* shard : { "shard-0", "shard-1", "shard-3" }) {
      CPPUNIT_ASSERT(signatures.find(shard) != std::string::npos);
      mFleet->SetFault(shard, TargetFault::kFails);
    }
    // Below the minimum coverage no reply may look like a success.
    CPPUNIT_ASSERT(mFleet->SendRequest(request).Status() >= 500);
  }

  /** Guards against a reply that is incomplete, unsigned or meant for another
      request reaching a caller when one of two targets is faulty. */
  void NeverForwardsABadReply()
  {
    const std::vector<TargetFault> all{ TargetFault::kSheds,
                                        TargetFault::kClosesBeforeRun,
                                        TargetFault::kLosesReply,
                                        TargetFault::kTruncates,
                                        TargetFault::kSendsInvalidHttp,
                                        TargetFault::kSendsOtherReplyAfter,
                                        TargetFault::kSendsOtherReplyFirst,
                                        TargetFault::kRepliesEarly,
                                        TargetFault::kSendsNoLength,
                                        TargetFault::kResetsNoLength,
                                        TargetFault::kSendsNoSignature,
                                        TargetFault::kSendsContentEncoding,
                                        TargetFault::kFails,
                                        TargetFault::kSendsOtherCoding,
                                        TargetFault::kNeverReplies };
    for (const TargetFault fault : all) {
      mFleet->Target("one-a").mFault = fault;
      HttpConnection connection(TestLoop());
      CPPUNIT_ASSERT(
        connection.Connect(mFleet->CallerEndpoint(0), std::chrono::seconds(1)));
      // Sends many requests on one connection: bytes left over from one reply
      // must not reach the next.
      for (unsigned count = 0; count < 12; ++count) {
        const ForwarderReply reply = mFleet->SendRequestOn(connection, {});
        const std::string what = "target fault " +
                                 std::to_string(static_cast<int>(fault)) +
                                 " request " + reply.mRequestId;
        CPPUNIT_ASSERT_MESSAGE(what, reply.mResponse.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          what + reply.mResponse->mBody, 200U, reply.Status());
        ExpectOwnReply(reply);
      }
    }
  }

  /** Guards against a success with an empty or short body, because a target
      ended within its reply's head or body. */
  void NeverForwardsAReplyThatWasCutOff()
  {
    // Within the status line, a field's name, its value, a line's end and the
    // body, of which the last bytes are missing.
    for (const std::size_t cut : { 5, 20, 45, 60, 80, 95, 108, 112, 120 }) {
      for (const TargetFault fault :
           { TargetFault::kCutsReply, TargetFault::kCutsAndResets }) {
        for (const char* service : { "one", "once" }) {
          for (const char* suffix : { "-a", "-b" }) {
            StandInTarget& target =
              mFleet->Target(service + std::string(suffix));
            target.mFault = fault;
            target.mCutAt = cut;
          }
          ExpectNoSuccess("/" + std::string(service) + "/x",
                          "fault " + std::to_string(static_cast<int>(fault)) +
                            " cut at " + std::to_string(cut));
        }
      }
    }
  }

  /** Sends requests until one has reached a target, and checks all answers. */
  void ExpectNoSuccess(const std::string& aPath, const std::string& aWhat)
  {
    ForwarderRequest request;
    request.mPath = aPath;
    AwaitCondition(
      [&] {
        const ForwarderReply reply = mFleet->SendRequest(request);
        const std::size_t runs = mFleet->CountRuns(reply.mRequestId);
        CPPUNIT_ASSERT_MESSAGE(aWhat, reply.mResponse.has_value());
        CPPUNIT_ASSERT_MESSAGE(aWhat + reply.mResponse->mBody,
                               reply.Status() != 200);
        CPPUNIT_ASSERT_MESSAGE(aWhat, reply.Status() != 503 || runs == 0);
        return runs > 0;
      },
      aWhat + " reaches a target");
  }

  /** Guards against a retry of a non-idempotent request that may have run, and
      against a refusal (503 or 429) of a request that ran. */
  void NeverRunsAnActionTwice()
  {
    const std::vector<TargetFault> all{ TargetFault::kClosesBeforeRun,
                                        TargetFault::kLosesReply,
                                        TargetFault::kSendsInvalidHttp,
                                        TargetFault::kTruncates,
                                        TargetFault::kFails,
                                        TargetFault::kSheds,
                                        TargetFault::kNone,
                                        TargetFault::kNeverReplies,
                                        TargetFault::kSendsOtherReplyAfter };
    for (const TargetFault fault : all) {
      mFleet->SetFault("once", fault);
      for (unsigned count = 0; count < 6; ++count) {
        ForwarderRequest request;
        request.mMethod = "POST";
        request.mPath = "/once/act";
        request.mBody = "act";
        request.mTimeoutMs = "400";
        const ForwarderReply reply = mFleet->SendRequest(request);
        const std::string what = "target fault " +
                                 std::to_string(static_cast<int>(fault)) +
                                 " status " + std::to_string(reply.Status());
        const std::size_t runs = mFleet->CountRuns(reply.mRequestId);
        CPPUNIT_ASSERT_MESSAGE(what, runs <= 1);
        const bool isRefused = reply.Status() == 503 || reply.Status() == 429;
        CPPUNIT_ASSERT_MESSAGE(what, !isRefused || runs == 0);
        if (fault == TargetFault::kSheds) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 503U, reply.Status());
          CPPUNIT_ASSERT(!Header(reply, "Retry-After").empty());
        }
      }
    }
  }

  /** Guards against the rest of a request body being read as the next request:
      a target that replies before it has read the body reads the rest later. */
  void SendsTheNextRequestWholeAfterAnEarlyReply()
  {
    mFleet->SetFault("one", TargetFault::kRepliesEarly);
    for (unsigned count = 0; count < 10; ++count) {
      ForwarderRequest request;
      request.mMethod = "POST";
      request.mBody = std::string(90'000, static_cast<char>('a' + count));
      const ForwarderReply reply = mFleet->SendRequest(request);
      CPPUNIT_ASSERT_EQUAL(200U, reply.Status());
      ExpectOwnReply(reply);
    }
    mFleet->SetFault("one", TargetFault::kNone);
    for (unsigned count = 0; count < 10; ++count) {
      ExpectServed();
    }
    for (const TargetRun& run : mFleet->Runs()) {
      CPPUNIT_ASSERT(run.mMethod == "POST" || run.mMethod == "GET");
      CPPUNIT_ASSERT_EQUAL(std::string("/one/x"), run.mTarget);
    }
  }

  /** Sends raw bytes to the daemon and returns all bytes that it replies. */
  std::string SendRaw(const std::string& aBytes)
  {
    RawConnection connection(mFleet->CallerEndpoint(0));
    connection.Send(aBytes);
    connection.FinishSending();
    return connection.ReceiveAll();
  }

  /** Guards against request smuggling: a request with contradictory or invalid
      framing may hide a second request, and none may reach a target. */
  void RejectsBadInputBeforeAnyTarget()
  {
    const std::string head = "POST /one/x HTTP/1.1\r\nHost: host.example\r\n";
    const std::string id = "Wasabispread-Request-Id: smuggler\r\n";
    const std::string hidden = "GET /one/hidden HTTP/1.1\r\nHost: host.example"
                               "\r\nWasabispread-Request-Id: hidden\r\n\r\n";
    const std::vector<std::string> bad{
      head + id + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n" +
        "0\r\n\r\n" + hidden,
      head + id + "Content-Length: 3\r\nContent-Length: 60\r\n\r\n" + hidden,
      head + id + "Content-Length: -1\r\n\r\n" + hidden,
      head + id + "Transfer-Encoding: xchunked\r\n\r\n" + hidden,
      head + "Content-Length: 0\r\n\r\n",
      head + id + "Wasabispread-Request-Deadline-Ms: 0\r\n" +
        "Content-Length: 0\r\n\r\n",
      head + id + "Wasabispread-Request-Deadline-Ms: -5\r\n" +
        "Content-Length: 0\r\n\r\n",
      head + id + "X-Large: " + std::string(20'000, 'x') + "\r\n\r\n",
      head + id + "Content-Length: 5000000\r\n\r\n",
      "not http at all\r\n\r\n",
      head + id + "X-Bad\x01: y\r\n\r\n",
      "GET /one/x HTTP/1.1\r\n" + id + "\r\n",
      head + "Host: other.example\r\n" + id + "Content-Length: 0\r\n\r\n",
    };
    for (const std::string& bytes : bad) {
      const std::string reply = SendRaw(bytes);
      CPPUNIT_ASSERT_MESSAGE(bytes.substr(0, 200) + "\n-> " + reply,
                             reply.empty() || reply.starts_with("HTTP/1.1 4"));
    }
    SleepFor(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mFleet->Runs().size());
    ForwarderRequest unknown;
    unknown.mPath = "/nowhere/";
    CPPUNIT_ASSERT_EQUAL(404U, mFleet->SendRequest(unknown).Status());
    ExpectServed();
  }

  /** Guards against targets that keep working on a request whose caller has
      closed its connection. */
  void CancelsTheWorkOfDisconnectedCallers()
  {
    mFleet->Target("one-a").mServiceTime = std::chrono::seconds(3);
    mFleet->Target("one-b").mServiceTime = std::chrono::seconds(3);
    {
      RawConnection caller(mFleet->CallerEndpoint(0));
      caller.Send("GET /one/x HTTP/1.1\r\nHost: host.example\r\n"
                  "Wasabispread-Request-Id: left\r\n\r\n");
      AwaitCondition([&] { return mFleet->CountRuns("left") == 1; },
                     "the target runs the request");
    }
    const TimePoint since = std::chrono::steady_clock::now();
    AwaitCondition(
      [&] {
        return std::all_of(mFleet->Runs().begin(),
                           mFleet->Runs().end(),
                           [](const auto& aRun) { return aRun.mIsCancelled; });
      },
      "the target cancels the request");
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - since <
                   std::chrono::milliseconds(500));
  }

  void KeepsToTheConnectionLimit()
  {
    mFleet->Target("one-a").mServiceTime = std::chrono::milliseconds(30);
    mFleet->Target("one-b").mServiceTime = std::chrono::milliseconds(30);
    RunConcurrently(60, [&](std::size_t) { mFleet->SendRequest({}); });
    for (const char* instance : { "one-a", "one-b" }) {
      CPPUNIT_ASSERT(mFleet->Target(instance).MaxConnections() < 26);
    }
  }

  /** Guards against sending requests to a new instance that listens on the
      address of a crashed one: it must not run them. */
  void StopsUsingAnAddressOfAnotherInstance()
  {
    ExpectServed();
    const std::uint16_t port = mFleet->Target("one-a").Port();
    mFleet->Target("one-a").Crash();
    StandInTarget other(TestLoop(), mRuns, "elsewhere", "other", port);
    for (unsigned count = 0; count < 10; ++count) {
      ExpectServed();
    }
    CPPUNIT_ASSERT(mRuns.empty());
  }

  void StopsUsingDrainingTargets()
  {
    mFleet->Register(mFleet->Target("one-a"), "draining");
    mFleet->Store().Remove("servers/one-b");
    mFleet->AddTarget("one", "one-c");
    // The daemon reads the store's changes at least this often.
    SleepFor(std::chrono::milliseconds(2000));
    const std::size_t before = mFleet->Runs().size();
    for (unsigned count = 0; count < 10; ++count) {
      CPPUNIT_ASSERT_EQUAL(200U, mFleet->SendRequest({}).Status());
    }
    for (std::size_t run = before; run < mFleet->Runs().size(); ++run) {
      CPPUNIT_ASSERT_EQUAL(std::string("one-c"), mFleet->Runs()[run].mInstance);
    }
  }

  void ServesWhileTheStoreIsUnavailable()
  {
    for (const VmPortState state : { VmPortState::kClosesConnection,
                                     VmPortState::kRefuses,
                                     VmPortState::kLimits,
                                     VmPortState::kNeverReplies }) {
      mFleet->Store().SetAllVmPortStates(state);
      SleepFor(std::chrono::milliseconds(600));
      CPPUNIT_ASSERT(mFleet->IsReady(0));
      ExpectServed();
      mFleet->Store().SetAllVmPortStates(VmPortState::kServes);
    }
    mFleet->Configure("once");
    AwaitReply("reply of once", "the newest version is in force");
  }

  void StartsDuringAStoreOutage()
  {
    mFleet->Store().SetAllVmPortStates(VmPortState::kClosesConnection);
    mFleet->Daemon(0).Kill();
    mFleet->StartDaemon(0);
    SleepFor(std::chrono::milliseconds(500));
    CPPUNIT_ASSERT(!mFleet->IsReady(0));
    // A VM without a configuration can't know which routes exist, so it must
    // not reply with 404.
    CPPUNIT_ASSERT_EQUAL(503U, mFleet->SendRequest({}).Status());
    mFleet->Store().SetAllVmPortStates(VmPortState::kServes);
    AwaitCondition([&] { return mFleet->IsReady(0); }, "the daemon is ready");
    ExpectServed();
  }

  void AppliesVersionsDespiteCompactionAbortsAndInvalidEntries()
  {
    for (const char* forged : { "",
                                "{}",
                                "[1]",
                                "\x01\x02",
                                R"({"service":3})",
                                R"({"service":"one","address":"127.0.0.1:1",
                                "zone":"z","slots":"2","state":"ready","seq":1,
                                "warmupLeftMs":0})" }) {
      mFleet->Store().Put("servers/forged", forged);
      mFleet->Store().Put("op/other", forged);
    }
    mFleet->Store().AbortWatches();
    SleepFor(std::chrono::milliseconds(300));
    mFleet->Store().Put("unrelated", "x");
    mFleet->Store().Compact();
    mFleet->Store().AbortWatches();
    mFleet->Configure("once");
    AwaitReply("reply of once", "the newest version is in force");
    mFleet->Configure("one");
    AwaitReply("reply of one-", "the version after it is in force");
  }

  /** Guards against a VM that waits on a connection whose answer was lost. */
  void AppliesAVersionAfterAReplyOfTheStoreWasLost()
  {
    constexpr Duration kInForceAfterOutage = std::chrono::seconds(4);
    SleepFor(std::chrono::seconds(1));
    mFleet->Store().SetAllVmPortStates(VmPortState::kLosesReplies);
    mFleet->Store().Put("unrelated", "x");
    SleepFor(std::chrono::milliseconds(300));
    mFleet->Store().SetAllVmPortStates(VmPortState::kServes);
    mFleet->Configure("once");
    AwaitReply(
      "reply of once", "the newest version is in force", kInForceAfterOutage);
  }

  /** Guards against a VM that stays unlisted when its first writes to the
      store are lost, done without an answer or done late. */
  void RegistersDespiteLostAndLateWrites()
  {
    const auto isListed = [&] {
      return mFleet->Store().CountWithPrefix("vms/") == 1;
    };
    AwaitCondition(isListed, "the VM is listed");
    for (const WriteFault fault :
         { WriteFault::kLost, WriteFault::kReplyLost, WriteFault::kLate }) {
      mFleet->Store().mWriteFault = fault;
      mFleet->Daemon(0).Kill();
      mFleet->Store().Remove("vms/vm-0");
      mFleet->StartDaemon(0);
      AwaitCondition([&] { return mFleet->IsReady(0); },
                     "the daemon is ready without a lease");
      ExpectServed();
      mFleet->Store().mWriteFault = WriteFault::kNone;
      AwaitCondition(isListed, "the VM is listed again");
    }
  }

  /** Guards against VMs that each use the whole limit, or none. */
  void KeepsToTheRequestLimitOfATarget()
  {
    constexpr std::size_t kDaemons = 3;
    constexpr unsigned kLimit = 5;
    constexpr Duration kWindow = std::chrono::seconds(4);
    constexpr std::size_t kMaxInWindow = 35; // 1.5 * kLimit * 4 s + 5
    Start(kDaemons);
    SleepFor(std::chrono::seconds(2));
    mFleet->Target("one-a").mRequestLimit = kLimit;
    const TimePoint named = std::chrono::steady_clock::now();
    const TimePoint end = named + 3 * kWindow;
    RunConcurrently(3 * kDaemons, [&](std::size_t aFiber) {
      while (std::chrono::steady_clock::now() < end) {
        ExpectServed(aFiber % kDaemons);
        SleepFor(std::chrono::milliseconds(20));
      }
    });
    std::vector<TimePoint> runs;
    for (const TargetRun& run : mFleet->Runs()) {
      if (run.mInstance == "one-a" && run.mStarted >= named + kWindow) {
        runs.push_back(run.mStarted);
      }
    }
    std::size_t most = 0;
    for (const TimePoint first : runs) {
      most = std::max<std::size_t>(
        most, std::count_if(runs.begin(), runs.end(), [&](TimePoint aRun) {
          return aRun >= first && aRun < first + kWindow;
        }));
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " requests in 4 s",
                           most <= kMaxInWindow);
    // What the limit allows is used.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(runs.size()) + " requests in 8 s",
                           runs.size() >= std::size_t{ 2 } * kLimit);
  }

  void LearnsANewVersionFromOtherVms()
  {
    Start(2);
    // Each daemon knows the other after it has read the store's changes.
    SleepFor(std::chrono::milliseconds(2500));
    mFleet->Store().SetVmPortState(0, VmPortState::kRefuses);
    mFleet->Configure("once");
    const TimePoint since = std::chrono::steady_clock::now();
    AwaitReply("reply of once",
               "the VM that the store refuses has the newest version");
    // A version must be in force on all VMs within this time.
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - since <
                   std::chrono::seconds(3));
  }

  void FinishesRequestsBeforeStopping()
  {
    mFleet->Target("one-a").mServiceTime = std::chrono::milliseconds(800);
    mFleet->Target("one-b").mServiceTime = std::chrono::milliseconds(800);
    std::size_t served = 0;
    RunConcurrently(8, [&](std::size_t aFiber) {
      if (aFiber == 0) {
        SleepFor(std::chrono::milliseconds(300));
        mFleet->Daemon(0).Terminate();
        SleepFor(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(!mFleet->IsReady(0));
        return;
      }
      const ForwarderReply reply = mFleet->SendRequest({});
      served += reply.Status() == 200 ? 1 : 0;
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 7 }, served);
    CPPUNIT_ASSERT_EQUAL(0, mFleet->Daemon(0).WaitForExit());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         mFleet->Store().CountWithPrefix("vms/"));
  }

  /** Guards against orders that a stopping daemon passes on and cuts off when
      it ends, and against a refusal of an order that runs. */
  void AnswersOrRefusesWhatArrivesInTheGraceOfAStop()
  {
    constexpr Duration kGrace = std::chrono::seconds(4);
    constexpr Duration kServiceTime = std::chrono::milliseconds(1500);
    constexpr std::size_t kCallers = 26;
    // Until this time the daemon keeps connections free for VMs that started
    // with it.
    SleepFor(std::chrono::seconds(5));
    std::vector<std::unique_ptr<HttpConnection>> connections;
    ForwarderRequest order;
    order.mMethod = "POST";
    order.mPath = "/once/x";
    for (std::size_t caller = 0; caller < kCallers; ++caller) {
      connections.push_back(std::make_unique<HttpConnection>(TestLoop()));
      CPPUNIT_ASSERT(connections.back()->Connect(mFleet->CallerEndpoint(0),
                                                 std::chrono::seconds(1)));
      CPPUNIT_ASSERT_EQUAL(
        200U, mFleet->SendRequestOn(*connections.back(), order).Status());
    }
    for (const char* instance : { "once-a", "once-b" }) {
      mFleet->Target(instance).mServiceTime = kServiceTime;
      mFleet->Target(instance).mSlots = kCallers;
    }
    const TimePoint stop = std::chrono::steady_clock::now();
    mFleet->Daemon(0).Terminate();
    std::size_t served = 0;
    std::size_t refused = 0;
    RunConcurrently(kCallers, [&](std::size_t aCaller) {
      const Duration offset =
        kGrace * static_cast<int>(aCaller) / static_cast<int>(kCallers);
      boost::this_fiber::sleep_until(stop + offset);
      const ForwarderReply reply =
        mFleet->SendRequestOn(*connections[aCaller], order);
      boost::this_fiber::sleep_until(stop + kGrace + kServiceTime);
      const std::size_t runs = mFleet->CountRuns(reply.mRequestId);
      const std::string what =
        "sent " +
        std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(offset)
            .count()) +
        " ms after SIGTERM, status " + std::to_string(reply.Status());
      const bool isNotRun = reply.Status() == 0 || reply.Status() == 503;
      CPPUNIT_ASSERT_MESSAGE(what, runs <= 1);
      CPPUNIT_ASSERT_MESSAGE(what, !isNotRun || runs == 0);
      CPPUNIT_ASSERT_MESSAGE(what,
                             offset >= kGrace / 2 || reply.Status() == 200);
      served += reply.Status() == 200 ? 1 : 0;
      refused += reply.Status() == 503 ? 1 : 0;
    });
    CPPUNIT_ASSERT(served > 0);
    CPPUNIT_ASSERT(refused > 0);
    CPPUNIT_ASSERT_EQUAL(0, mFleet->Daemon(0).WaitForExit());
  }

  /** Guards against a stop that a second SIGTERM cuts short, and against a
      daemon that a SIGHUP ends because it has just started. */
  void SurvivesSignalsInSeries()
  {
    mFleet->Daemon(0).Kill();
    mFleet->StartDaemon(0);
    for (unsigned count = 0; count < 20; ++count) {
      // Before about this time the program is not loaded.
      SleepFor(std::chrono::milliseconds(count == 0 ? 50 : 2));
      mFleet->Daemon(0).Reload();
    }
    AwaitCondition([&] { return mFleet->IsReady(0); }, "the daemon is ready");
    mFleet->Target("one-a").mServiceTime = std::chrono::milliseconds(800);
    mFleet->Target("one-b").mServiceTime = std::chrono::milliseconds(800);
    std::size_t served = 0;
    RunConcurrently(3, [&](std::size_t aFiber) {
      if (aFiber != 0) {
        served += mFleet->SendRequest({}).Status() == 200 ? 1 : 0;
        return;
      }
      for (unsigned count = 0; count < 4; ++count) {
        SleepFor(std::chrono::milliseconds(100));
        mFleet->Daemon(0).Terminate();
        mFleet->Daemon(0).Reload();
      }
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, served);
    CPPUNIT_ASSERT_EQUAL(0, mFleet->Daemon(0).WaitForExit());
  }

  void KeepsItsSettingsWhenAReloadIsFaulty()
  {
    const std::string good = ReadWholeFile(mFleet->SettingsFile(0));
    std::ofstream(mFleet->SettingsFile(0)) << good << "share = \"many\"\n";
    mFleet->Daemon(0).Reload();
    AwaitCondition([&] { return mFleet->HasLogged(0, "settings-rejected"); },
                   "the faulty file is reported");
    ExpectServed();
    CPPUNIT_ASSERT(mFleet->IsReady(0));
  }

  void ServesAgainAfterAFreezeAndAKill()
  {
    mFleet->Daemon(0).Freeze();
    mFleet->Configure("once");
    SleepFor(std::chrono::milliseconds(1500));
    mFleet->Daemon(0).Thaw();
    AwaitReply("reply of once",
               "the newest version is in force after the freeze");
    mFleet->Configure("one");
    mFleet->Daemon(0).Kill();
    mFleet->StartDaemon(0);
    AwaitCondition([&] { return mFleet->IsReady(0); }, "the daemon is ready");
    ExpectServed();
  }

private:
  std::unique_ptr<ForwarderFleet> mFleet;
  RunLog mRuns;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwarderProcessTests);
