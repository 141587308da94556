/*
 * Tests that real daemons pass on the replies of targets when these arrive in
 * unusual ways: while the daemon is held up, after interim replies, from VMs
 * that stop, and while the configuration and the targets change.
 */
#include "ForwarderFleet.h"

#include <algorithm>
#include <iostream>
#include <map>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

constexpr std::size_t kCallers = 10;

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

/** From when until when, after the requests were sent, a daemon is held up. */
struct HoldUp
{
  Duration mFrom{};
  Duration mUntil{};
};

constexpr Duration kHoldUp = std::chrono::milliseconds(60);
constexpr Duration kLateHoldUp = std::chrono::milliseconds(300);
constexpr Duration kLongHoldUp = std::chrono::milliseconds(3600);

/** How many requests got each status; 0 stands for no answer. */
using Statuses = std::map<unsigned, std::size_t>;

std::string
ToText(const Statuses& aStatuses)
{
  std::string text;
  for (const auto& [status, count] : aStatuses) {
    text += " " + std::to_string(status) + ": " + std::to_string(count);
  }
  return text;
}

} // namespace

class TargetSideLossTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetSideLossTests);
  CPPUNIT_TEST(PassesOnTheReplyThatFollowsInterimReplies);
  CPPUNIT_TEST(AnswersSearchesWhoseStampsAreLongTogether);
  CPPUNIT_TEST(PassesOnRepliesThatArriveWhileHeldUpBeyondTheDeadline);
  CPPUNIT_TEST(PassesOnRepliesToManyCallersThatArriveWhileHeldUp);
  CPPUNIT_TEST(SendsNothingTwiceWhenRepliesArriveWhileHeldUp);
  CPPUNIT_TEST(AnswersWhileTheConfigurationAndTargetsChange);
  CPPUNIT_TEST(AnswersWhileTwoOwnersStop);
  CPPUNIT_TEST_SUITE_END();

public:
  void tearDown() override { mFleet.reset(); }

  static ForwarderRequest RequestOf(const std::string& aPath,
                                    const std::string& aTimeoutMs = "2000")
  {
    ForwarderRequest request;
    request.mPath = aPath;
    request.mTimeoutMs = aTimeoutMs;
    return request;
  }

  /** Guards against 502 for requests that a target answers after 100 or
      103. */
  void PassesOnTheReplyThatFollowsInterimReplies()
  {
    mFleet = std::make_unique<ForwarderFleet>();
    for (const char* service :
         { "one", "once", "shard-0", "shard-1", "shard-2", "shard-3" }) {
      mFleet->SetFault(service, TargetFault::kSendsInterimReplies);
    }
    for (const char* path : { "/one/x", "/once/x", "/search/q" }) {
      Statuses statuses;
      for (std::size_t count = 0; count < kCallers; ++count) {
        const ForwarderReply reply = mFleet->SendRequest(RequestOf(path));
        ++statuses[reply.Status()];
        if (reply.mResponse) {
          CPPUNIT_ASSERT(reply.mResponse->mBody.find("HTTP/1.1") ==
                         std::string::npos);
        }
      }
      std::cout << path << ToText(statuses) << std::endl;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, kCallers, statuses[200]);
    }
  }

  /** Guards against a daemon that ends because a header field is too long. */
  void AnswersSearchesWhoseStampsAreLongTogether()
  {
    constexpr std::size_t kShards = 12;
    constexpr std::size_t kStampBytes = 7000;
    mFleet = std::make_unique<ForwarderFleet>(1, kShards);
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      for (const char* end : { "-a", "-b" }) {
        mFleet->Target("shard-" + std::to_string(shard) + end).mAddedFields =
          "Wasabispread-Server-Stamp: " + std::string(kStampBytes, 's') +
          "\r\n";
      }
    }
    Statuses statuses;
    for (const char* path : { "/search/q", "/one/x" }) {
      ++statuses[mFleet->SendRequest(RequestOf(path)).Status()];
    }
    std::cout << "long stamps" << ToText(statuses) << std::endl;
    CPPUNIT_ASSERT(!mFleet->Daemon(0).HasEnded());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, statuses[0]);
  }

  /** Sends requests from all callers at once and holds the daemon up meanwhile,
      while their replies arrive. */
  Statuses SendWhileHeldUp(const ForwarderRequest& aRequest,
                           const HoldUp& aHoldUp,
                           std::size_t aCallers = kCallers)
  {
    Statuses statuses;
    mRuns.clear();
    mRanWithoutReply = 0;
    const TimePoint start = Now();
    RunConcurrently(aCallers + 1, [&](std::size_t aFiber) {
      if (aFiber == aCallers) {
        boost::this_fiber::sleep_until(start + aHoldUp.mFrom);
        mFleet->Daemon(0).Freeze();
        boost::this_fiber::sleep_until(start + aHoldUp.mUntil);
        mFleet->Daemon(0).Thaw();
        return;
      }
      const ForwarderReply reply = mFleet->SendRequest(aRequest);
      ++statuses[reply.Status()];
      const bool hasRun = mFleet->CountRuns(reply.mRequestId) != 0;
      mRanWithoutReply += hasRun && reply.Status() != 200 ? 1 : 0;
      mRuns[std::min<std::size_t>(mFleet->CountRuns(reply.mRequestId), 9)]++;
    });
    std::cout << aRequest.mPath << ToText(statuses) << ", runs" << ToText(mRuns)
              << ", ran without a reply " << mRanWithoutReply << std::endl;
    return statuses;
  }

  /** Starts a daemon whose targets take 100 ms and any number of requests at
      once. */
  void StartWithSlowTargets()
  {
    mFleet = std::make_unique<ForwarderFleet>();
    for (const char* instance : { "one-a", "one-b", "once-a", "once-b" }) {
      mFleet->Target(instance).mSlots = 2 * kCallers;
      mFleet->Target(instance).mServiceTime = std::chrono::milliseconds(100);
    }
    // Opens the connections that all callers need.
    for (const char* path : { "/one/x", "/once/x" }) {
      for (unsigned count = 0; count < 5; ++count) {
        RunConcurrently(
          kCallers, [&](std::size_t) { mFleet->SendRequest(RequestOf(path)); });
      }
    }
  }

  /** Guards against 504 for requests whose replies wait unread when a timer is
      late. */
  void PassesOnRepliesThatArriveWhileHeldUpBeyondTheDeadline()
  {
    StartWithSlowTargets();
    for (const unsigned until : { 600U, 3000U }) {
      for (const char* path : { "/once/x", "/one/x" }) {
        Statuses statuses =
          SendWhileHeldUp(RequestOf(path, "400"),
                          HoldUp{ kHoldUp, std::chrono::milliseconds(until) });
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          path + ToText(statuses), std::size_t{ 0 }, mRanWithoutReply);
        CPPUNIT_ASSERT_MESSAGE(path + ToText(statuses), statuses[200] > 0);
      }
    }
  }

  /** As above, with more connections than one poll of the kernel reports, and
      timers of all of them that are due when the daemon goes on. */
  void PassesOnRepliesToManyCallersThatArriveWhileHeldUp()
  {
    constexpr std::size_t kTargets = 20;
    constexpr std::size_t kManyCallers = 300;
    // The daemon sets the timer of a connection for the first exchange, and
    // moves it when it is due: that is early in the hold-up.
    constexpr Duration kTimersDue = std::chrono::milliseconds(3980);
    constexpr Duration kBeforeTimers = std::chrono::milliseconds(380);
    mFleet = std::make_unique<ForwarderFleet>();
    for (std::size_t target = 0; target < kTargets; ++target) {
      auto& added = mFleet->AddTarget("once", "once-" + std::to_string(target));
      added.mSlots = 2 * kCallers;
      added.mServiceTime = std::chrono::milliseconds(600);
      mFleet->Register(added);
    }
    // The daemon has its full share of connections once it knows that it is
    // alone.
    boost::this_fiber::sleep_for(std::chrono::seconds(6));
    const auto ask = [&] {
      RunConcurrently(kManyCallers, [&](std::size_t) {
        mFleet->SendRequest(RequestOf("/once/x"));
      });
    };
    // Opens the connections, and lets their timers pass.
    ask();
    ask();
    boost::this_fiber::sleep_for(std::chrono::seconds(5));
    const TimePoint armed = Now();
    ask();
    boost::this_fiber::sleep_until(armed + kTimersDue - kBeforeTimers);
    Statuses statuses = SendWhileHeldUp(RequestOf("/once/x", "900"),
                                        HoldUp{ kLateHoldUp, kLongHoldUp },
                                        kManyCallers);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      ToText(statuses), std::size_t{ 0 }, mRanWithoutReply);
    CPPUNIT_ASSERT_MESSAGE(ToText(statuses), statuses[200] > kManyCallers / 3);
  }

  /** Guards against hedges of requests whose replies wait unread. */
  void SendsNothingTwiceWhenRepliesArriveWhileHeldUp()
  {
    constexpr Duration kUntil = std::chrono::milliseconds(500);
    StartWithSlowTargets();
    for (const char* path : { "/once/x", "/one/x" }) {
      Statuses statuses =
        SendWhileHeldUp(RequestOf(path), HoldUp{ kHoldUp, kUntil });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        path + ToText(statuses), kCallers, statuses[200]);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path + ToText(mRuns), kCallers, mRuns[1]);
    }
  }

  /** Sends requests of each path from several callers for a while, to the
      daemons from aFirst on, and calls aDisturb meanwhile. */
  std::map<std::string, Statuses> Load(std::size_t aFirst,
                                       std::size_t aDaemons,
                                       const std::vector<std::string>& aPaths,
                                       Duration aTime,
                                       const std::function<void()>& aDisturb)
  {
    const TimePoint end = Now() + aTime;
    std::map<std::string, Statuses> statuses;
    RunConcurrently(kCallers + 1, [&](std::size_t aFiber) {
      if (aFiber == kCallers) {
        aDisturb();
        return;
      }
      const std::string& path = aPaths[aFiber % aPaths.size()];
      const std::size_t daemon = aFirst + aFiber % (aDaemons - aFirst);
      HttpConnection connection(TestLoop());
      CPPUNIT_ASSERT(connection.Connect(mFleet->CallerEndpoint(daemon),
                                        std::chrono::seconds(1)));
      while (Now() < end) {
        const ForwarderReply reply =
          mFleet->SendRequestOn(connection, RequestOf(path));
        ++statuses[path][reply.Status()];
        if (!reply.mResponse) {
          return;
        }
        boost::this_fiber::sleep_for(std::chrono::milliseconds(10));
      }
    });
    for (const auto& [path, counts] : statuses) {
      std::cout << path << ToText(counts) << std::endl;
    }
    return statuses;
  }

  /** Guards against requests that end without an answer, or with 502 or 504,
      because their target or service goes. */
  void AnswersWhileTheConfigurationAndTargetsChange()
  {
    mFleet = std::make_unique<ForwarderFleet>();
    for (const char* instance : { "one-a", "one-b", "once-a", "once-b" }) {
      mFleet->Target(instance).mSlots = kCallers;
      mFleet->Target(instance).mServiceTime = std::chrono::milliseconds(20);
    }
    auto statuses =
      Load(0,
           1,
           { "/one/x", "/once/x", "/search/q" },
           std::chrono::seconds(10),
           [&] {
             const TimePoint end = Now() + std::chrono::seconds(10);
             for (unsigned round = 0; Now() < end; ++round) {
               mFleet->Configure(round % 3 == 0 ? "shard-0" : "one");
               const std::string suffix = round % 2 == 0 ? "-a" : "-b";
               for (const char* service : { "one", "once", "shard-1" }) {
                 StandInTarget& target = mFleet->Target(service + suffix);
                 if (round % 4 < 2) {
                   mFleet->Register(target, "draining");
                 } else {
                   mFleet->Store().Remove("servers/" + target.Instance());
                 }
               }
               mFleet->Store().Put("servers/other", "{\"service\":7}");
               boost::this_fiber::sleep_for(std::chrono::milliseconds(60));
               for (const char* service : { "one", "once", "shard-1" }) {
                 mFleet->Register(mFleet->Target(service + suffix));
               }
               boost::this_fiber::sleep_for(std::chrono::milliseconds(60));
             }
           });
    for (auto& [path, counts] : statuses) {
      for (const unsigned status : { 0U, 502U, 504U }) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          path + ToText(counts), std::size_t{ 0 }, counts[status]);
      }
      CPPUNIT_ASSERT_MESSAGE(path + ToText(counts), counts[200] > 100);
    }
  }

  /** Guards against searches at other VMs that fail because the VMs that own
      their shards stop, also with a second SIGTERM, and start again. */
  void AnswersWhileTwoOwnersStop()
  {
    constexpr std::size_t kDaemons = 5;
    constexpr std::size_t kShards = 44;
    mFleet = std::make_unique<ForwarderFleet>(kDaemons, kShards);
    AwaitCondition(
      [&] { return mFleet->Store().CountWithPrefix("vms/") == kDaemons; },
      "the VMs are registered");
    boost::this_fiber::sleep_for(std::chrono::seconds(3));
    auto statuses =
      Load(2, kDaemons, { "/search/q" }, std::chrono::seconds(14), [&] {
        for (unsigned round = 0; round < 2; ++round) {
          boost::this_fiber::sleep_for(std::chrono::seconds(1));
          mFleet->Daemon(0).Terminate();
          mFleet->Daemon(1).Terminate();
          boost::this_fiber::sleep_for(std::chrono::milliseconds(300));
          mFleet->Daemon(0).Terminate();
          for (const std::size_t daemon : { 0U, 1U }) {
            AwaitCondition([&] { return mFleet->Daemon(daemon).HasEnded(); },
                           "the daemon ends");
            mFleet->StartDaemon(daemon);
          }
        }
      });
    for (const std::size_t daemon : { 0U, 1U }) {
      CPPUNIT_ASSERT(mFleet->HasLogged(daemon, "sub-search-answered"));
    }
    auto& counts = statuses["/search/q"];
    const std::size_t served = counts[200];
    CPPUNIT_ASSERT_MESSAGE(ToText(counts), served > 100);
    counts.erase(200);
    CPPUNIT_ASSERT_MESSAGE(ToText(counts), counts.empty());
  }

private:
  std::unique_ptr<ForwarderFleet> mFleet;
  /** How many requests ran each number of times. */
  Statuses mRuns;
  /** How many requests ran and got no reply of a target. */
  std::size_t mRanWithoutReply = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetSideLossTests);
