/*
 * A real forwarding daemon before targets that misbehave, callers that send
 * bad input, a store that fails, and signals.
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

/** The greatest records of several bodies, found by sorting them all. */
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
  // Text compares its bytes as unsigned numbers.
  std::sort(records.begin(), records.end(), std::greater<>());
  std::string text;
  for (std::size_t index = 0; index < std::min(aCount, records.size());
       ++index) {
    text += records[index];
  }
  return text;
}

std::string
Header(const ForwarderAnswer& aAnswer, const char* aName)
{
  return std::string(FindHeader(aAnswer.mResponse->mHeaders, aName));
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
  CPPUNIT_TEST(HandsRequestsAndRepliesOnUnchanged);
  CPPUNIT_TEST(MergesTheGreatestRecordsOfAllShards);
  CPPUNIT_TEST(StatesWhichShardsAreMissing);
  CPPUNIT_TEST(NeverPassesABadReplyOn);
  CPPUNIT_TEST(NeverRunsAnActionTwice);
  CPPUNIT_TEST(SendsTheNextRequestWholeAfterAnEarlyReply);
  CPPUNIT_TEST(RejectsBadInputBeforeAnyTarget);
  CPPUNIT_TEST(StopsTheWorkOfCallersThatLeft);
  CPPUNIT_TEST(KeepsToTheLimitOfConnections);
  CPPUNIT_TEST(LeavesAnAddressThatAnotherInstanceHas);
  CPPUNIT_TEST(LeavesDrainingTargets);
  CPPUNIT_TEST(ServesOnWhileTheStoreIsAway);
  CPPUNIT_TEST(StartsDuringAnOutage);
  CPPUNIT_TEST(FollowsCompactionCutsAndForgedEntries);
  CPPUNIT_TEST(EntersTheFleetDespiteLostAndLateWrites);
  CPPUNIT_TEST(LearnsANewVersionFromOtherVms);
  CPPUNIT_TEST(FinishesRequestsAtAStop);
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
    const ForwarderAnswer answer = mFleet->Ask({}, aDaemon);
    CPPUNIT_ASSERT_MESSAGE(answer.mResponse ? ""
                                            : answer.mResponse.error().mMessage,
                           answer.mResponse.has_value());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      answer.mResponse->mBody, 200U, answer.Status());
    ExpectOwnReply(answer);
  }

  void ExpectOwnReply(const ForwarderAnswer& aAnswer)
  {
    const std::string& body = aAnswer.mResponse->mBody;
    CPPUNIT_ASSERT_MESSAGE(body,
                           body == ReplyBodyOf("one-a", aAnswer.mRequestId) ||
                             body == ReplyBodyOf("one-b", aAnswer.mRequestId));
    CPPUNIT_ASSERT(Header(aAnswer, "Wasabispread-Server-Stamp")
                     .find("/" + aAnswer.mRequestId + "/") !=
                   std::string::npos);
  }

  void HandsRequestsAndRepliesOnUnchanged()
  {
    ForwarderAsk ask;
    ask.mMethod = "PUT";
    ask.mPath = "/one/a%20b/../c?d=%2F&e";
    ask.mBody = std::string(50'000, 'x') + std::string("\0\r\n\r\n", 5);
    ask.mHeaders = { { "X-Own", "1" }, { "X-Own", "2" } };
    const ForwarderAnswer answer = mFleet->Ask(ask);
    CPPUNIT_ASSERT_EQUAL(200U, answer.Status());
    ExpectOwnReply(answer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mFleet->Runs().size());
    const TargetRun& run = mFleet->Runs().front();
    CPPUNIT_ASSERT_EQUAL(ask.mMethod, run.mMethod);
    CPPUNIT_ASSERT_EQUAL(ask.mPath, run.mTarget);
    CPPUNIT_ASSERT(ask.mBody == run.mBody);
    CPPUNIT_ASSERT_EQUAL(
      std::ptrdiff_t{ 2 },
      std::count_if(run.mHeaders.begin(), run.mHeaders.end(), [](auto& aField) {
        return aField.mName == "X-Own";
      }));
    const int patience = std::stoi(std::string(
      FindHeader(run.mHeaders, "Wasabispread-Request-Deadline-Ms")));
    CPPUNIT_ASSERT(patience > 1000 && patience <= 2000);
  }

  void MergesTheGreatestRecordsOfAllShards()
  {
    ForwarderAsk ask;
    ask.mPath = "/search/q";
    const ForwarderAnswer answer = mFleet->Ask(ask);
    CPPUNIT_ASSERT_EQUAL(200U, answer.Status());
    CPPUNIT_ASSERT_EQUAL(std::string("0"),
                         Header(answer, "Wasabispread-Missing-Parts"));
    std::vector<std::string> bodies;
    for (const char* shard : { "shard-0", "shard-1", "shard-2", "shard-3" }) {
      bodies.push_back(RecordsOf(shard, answer.mRequestId));
    }
    CPPUNIT_ASSERT(GreatestOf(bodies, 5) == answer.mResponse->mBody);
  }

  void StatesWhichShardsAreMissing()
  {
    mFleet->Misbehave("shard-2", Misbehaviour::kFails);
    ForwarderAsk ask;
    ask.mPath = "/search/q";
    const ForwarderAnswer answer = mFleet->Ask(ask);
    CPPUNIT_ASSERT_EQUAL(200U, answer.Status());
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         Header(answer, "Wasabispread-Missing-Parts"));
    const std::string proofs = Header(answer, "Wasabispread-Part-Stamps");
    CPPUNIT_ASSERT(proofs.find("shard-2") == std::string::npos);
    for (const char* shard : { "shard-0", "shard-1", "shard-3" }) {
      CPPUNIT_ASSERT(proofs.find(shard) != std::string::npos);
      mFleet->Misbehave(shard, Misbehaviour::kFails);
    }
    // Below the least coverage nothing may look like a success.
    CPPUNIT_ASSERT(mFleet->Ask(ask).Status() >= 500);
  }

  void NeverPassesABadReplyOn()
  {
    const std::vector<Misbehaviour> all{
      Misbehaviour::kSheds,         Misbehaviour::kBreaks,
      Misbehaviour::kLosesReply,    Misbehaviour::kTruncates,
      Misbehaviour::kGarbles,       Misbehaviour::kAddsReply,
      Misbehaviour::kRepliesLate,   Misbehaviour::kRepliesEarly,
      Misbehaviour::kSendsNoLength, Misbehaviour::kResetsNoLength,
      Misbehaviour::kSendsNoProof,  Misbehaviour::kEncodes,
      Misbehaviour::kFails,         Misbehaviour::kSendsOtherCoding,
      Misbehaviour::kIsSilent
    };
    for (const Misbehaviour misbehaviour : all) {
      mFleet->Target("one-a").mMisbehaviour = misbehaviour;
      HttpConnection connection(TestLoop());
      CPPUNIT_ASSERT(
        connection.Connect(mFleet->Callers(0), std::chrono::seconds(1)));
      // Many on one connection: what is left over from one must not reach
      // the next.
      for (unsigned count = 0; count < 12; ++count) {
        const ForwarderAnswer answer = mFleet->AskOn(connection, {});
        const std::string what =
          "misbehaviour " + std::to_string(static_cast<int>(misbehaviour)) +
          " request " + answer.mRequestId;
        CPPUNIT_ASSERT_MESSAGE(what, answer.mResponse.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          what + answer.mResponse->mBody, 200U, answer.Status());
        ExpectOwnReply(answer);
      }
    }
  }

  void NeverRunsAnActionTwice()
  {
    const std::vector<Misbehaviour> all{
      Misbehaviour::kBreaks,   Misbehaviour::kLosesReply,
      Misbehaviour::kGarbles,  Misbehaviour::kTruncates,
      Misbehaviour::kFails,    Misbehaviour::kSheds,
      Misbehaviour::kNone,     Misbehaviour::kIsSilent,
      Misbehaviour::kAddsReply
    };
    for (const Misbehaviour misbehaviour : all) {
      mFleet->Misbehave("once", misbehaviour);
      for (unsigned count = 0; count < 6; ++count) {
        ForwarderAsk ask;
        ask.mMethod = "POST";
        ask.mPath = "/once/act";
        ask.mBody = "act";
        ask.mPatienceMs = "400";
        const ForwarderAnswer answer = mFleet->Ask(ask);
        const std::string what =
          "misbehaviour " + std::to_string(static_cast<int>(misbehaviour)) +
          " status " + std::to_string(answer.Status());
        const std::size_t runs = mFleet->RunsOf(answer.mRequestId);
        CPPUNIT_ASSERT_MESSAGE(what, runs <= 1);
        const bool isRefused = answer.Status() == 503 || answer.Status() == 429;
        CPPUNIT_ASSERT_MESSAGE(what, !isRefused || runs == 0);
        if (misbehaviour == Misbehaviour::kSheds) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 503U, answer.Status());
          CPPUNIT_ASSERT(!Header(answer, "Retry-After").empty());
        }
      }
    }
  }

  void SendsTheNextRequestWholeAfterAnEarlyReply()
  {
    mFleet->Misbehave("one", Misbehaviour::kRepliesEarly);
    for (unsigned count = 0; count < 10; ++count) {
      ForwarderAsk ask;
      ask.mMethod = "POST";
      ask.mBody = std::string(90'000, static_cast<char>('a' + count));
      const ForwarderAnswer answer = mFleet->Ask(ask);
      CPPUNIT_ASSERT_EQUAL(200U, answer.Status());
      ExpectOwnReply(answer);
    }
    mFleet->Misbehave("one", Misbehaviour::kNone);
    for (unsigned count = 0; count < 10; ++count) {
      ExpectServed();
    }
    for (const TargetRun& run : mFleet->Runs()) {
      CPPUNIT_ASSERT(run.mMethod == "POST" || run.mMethod == "GET");
      CPPUNIT_ASSERT_EQUAL(std::string("/one/x"), run.mTarget);
    }
  }

  /** Sends raw bytes to the daemon; what comes back within a moment. */
  std::string SendRaw(const std::string& aBytes)
  {
    RawConnection connection(mFleet->Callers(0));
    connection.Send(aBytes);
    connection.FinishSending();
    return connection.ReceiveAll();
  }

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
    };
    for (const std::string& bytes : bad) {
      const std::string answer = SendRaw(bytes);
      CPPUNIT_ASSERT_MESSAGE(bytes.substr(0, 200) + "\n-> " + answer,
                             answer.empty() ||
                               answer.starts_with("HTTP/1.1 4"));
    }
    SleepFor(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mFleet->Runs().size());
    ForwarderAsk unknown;
    unknown.mPath = "/nowhere/";
    CPPUNIT_ASSERT_EQUAL(404U, mFleet->Ask(unknown).Status());
    ExpectServed();
  }

  void StopsTheWorkOfCallersThatLeft()
  {
    mFleet->Target("one-a").mWork = std::chrono::seconds(3);
    mFleet->Target("one-b").mWork = std::chrono::seconds(3);
    {
      RawConnection caller(mFleet->Callers(0));
      caller.Send("GET /one/x HTTP/1.1\r\nHost: host.example\r\n"
                  "Wasabispread-Request-Id: left\r\n\r\n");
      AwaitCondition([&] { return mFleet->RunsOf("left") == 1; },
                     "the target works");
    }
    const TimePoint since = std::chrono::steady_clock::now();
    AwaitCondition(
      [&] {
        return std::all_of(mFleet->Runs().begin(),
                           mFleet->Runs().end(),
                           [](const auto& aRun) { return aRun.mIsDropped; });
      },
      "the target drops the work");
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - since <
                   std::chrono::milliseconds(500));
  }

  void KeepsToTheLimitOfConnections()
  {
    mFleet->Target("one-a").mWork = std::chrono::milliseconds(30);
    mFleet->Target("one-b").mWork = std::chrono::milliseconds(30);
    RunConcurrently(60, [&](std::size_t) { mFleet->Ask({}); });
    for (const char* instance : { "one-a", "one-b" }) {
      CPPUNIT_ASSERT(mFleet->Target(instance).MostConnections() < 26);
    }
  }

  void LeavesAnAddressThatAnotherInstanceHas()
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

  void LeavesDrainingTargets()
  {
    mFleet->Register(mFleet->Target("one-a"), "draining");
    mFleet->Store().Remove("servers/one-b");
    mFleet->AddTarget("one", "one-c");
    // The store's news are taken at least this often.
    SleepFor(std::chrono::milliseconds(2000));
    const std::size_t before = mFleet->Runs().size();
    for (unsigned count = 0; count < 10; ++count) {
      CPPUNIT_ASSERT_EQUAL(200U, mFleet->Ask({}).Status());
    }
    for (std::size_t run = before; run < mFleet->Runs().size(); ++run) {
      CPPUNIT_ASSERT_EQUAL(std::string("one-c"), mFleet->Runs()[run].mInstance);
    }
  }

  void ServesOnWhileTheStoreIsAway()
  {
    for (const DoorState state : { DoorState::kCloses,
                                   DoorState::kRefuses,
                                   DoorState::kLimits,
                                   DoorState::kIsSilent }) {
      mFleet->Store().SetAllDoors(state);
      SleepFor(std::chrono::milliseconds(600));
      CPPUNIT_ASSERT(mFleet->IsReady(0));
      ExpectServed();
      mFleet->Store().SetAllDoors(DoorState::kServes);
    }
    mFleet->Configure("once");
    AwaitCondition(
      [&] {
        const ForwarderAnswer answer = mFleet->Ask({});
        return answer.mResponse->mBody.starts_with("reply of once");
      },
      "the newest version is in force");
  }

  void StartsDuringAnOutage()
  {
    mFleet->Store().SetAllDoors(DoorState::kCloses);
    mFleet->Daemon(0).Kill();
    mFleet->StartDaemon(0);
    SleepFor(std::chrono::milliseconds(500));
    CPPUNIT_ASSERT(!mFleet->IsReady(0));
    // A VM without a configuration must not claim that a route is unknown.
    CPPUNIT_ASSERT_EQUAL(503U, mFleet->Ask({}).Status());
    mFleet->Store().SetAllDoors(DoorState::kServes);
    AwaitCondition([&] { return mFleet->IsReady(0); }, "the daemon is ready");
    ExpectServed();
  }

  void FollowsCompactionCutsAndForgedEntries()
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
    mFleet->Store().CutWatches();
    SleepFor(std::chrono::milliseconds(300));
    mFleet->Store().Put("unrelated", "x");
    mFleet->Store().Compact();
    mFleet->Store().CutWatches();
    mFleet->Configure("once");
    AwaitCondition(
      [&] {
        const ForwarderAnswer answer = mFleet->Ask({});
        return answer.mResponse->mBody.starts_with("reply of once");
      },
      "the newest version is in force");
    mFleet->Configure("one");
    AwaitCondition(
      [&] {
        const ForwarderAnswer answer = mFleet->Ask({});
        return answer.mResponse->mBody.starts_with("reply of one-");
      },
      "and the next");
  }

  void EntersTheFleetDespiteLostAndLateWrites()
  {
    const auto isListed = [&] {
      return mFleet->Store().CountWithPrefix("vms/") == 1;
    };
    AwaitCondition(isListed, "the VM is listed");
    for (const WriteFault fault :
         { WriteFault::kLost, WriteFault::kAnswerLost, WriteFault::kLate }) {
      mFleet->Store().mWriteFault = fault;
      mFleet->Daemon(0).Kill();
      mFleet->Store().Remove("vms/vm-0");
      mFleet->StartDaemon(0);
      AwaitCondition([&] { return mFleet->IsReady(0); }, "ready without lease");
      ExpectServed();
      mFleet->Store().mWriteFault = WriteFault::kNone;
      AwaitCondition(isListed, "the VM is listed again");
    }
  }

  void LearnsANewVersionFromOtherVms()
  {
    Start(2);
    // Each knows the other once the store's news were read.
    SleepFor(std::chrono::milliseconds(2500));
    mFleet->Store().SetDoor(0, DoorState::kRefuses);
    mFleet->Configure("once");
    const TimePoint since = std::chrono::steady_clock::now();
    AwaitCondition(
      [&] {
        const ForwarderAnswer answer = mFleet->Ask({});
        return answer.mResponse->mBody.starts_with("reply of once");
      },
      "the turned away VM has the newest version");
    // Within the time in which a version must be in force everywhere.
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - since <
                   std::chrono::seconds(3));
  }

  void FinishesRequestsAtAStop()
  {
    mFleet->Target("one-a").mWork = std::chrono::milliseconds(800);
    mFleet->Target("one-b").mWork = std::chrono::milliseconds(800);
    std::size_t served = 0;
    RunConcurrently(8, [&](std::size_t aFiber) {
      if (aFiber == 0) {
        SleepFor(std::chrono::milliseconds(300));
        mFleet->Daemon(0).Terminate();
        SleepFor(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(!mFleet->IsReady(0));
        return;
      }
      const ForwarderAnswer answer = mFleet->Ask({});
      served += answer.Status() == 200 ? 1 : 0;
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 7 }, served);
    CPPUNIT_ASSERT_EQUAL(0, mFleet->Daemon(0).WaitForExit());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         mFleet->Store().CountWithPrefix("vms/"));
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
    AwaitCondition(
      [&] {
        const ForwarderAnswer answer = mFleet->Ask({});
        return answer.mResponse->mBody.starts_with("reply of once");
      },
      "the newest version is in force after a freeze");
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
