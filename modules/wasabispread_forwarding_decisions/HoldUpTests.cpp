/*
 * Tests that a VM whose process stood still serves again afterwards, whatever
 * it measured meanwhile.
 */
#include <tests/support/ForwarderHarness.h>
#include <tests/support/SeededCheck.h>

#include <algorithm>
#include <set>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kShards = 8;
constexpr std::size_t kTargets = 3;
constexpr Duration kWork = milliseconds(15);
constexpr int kSlowFactor = 12;
constexpr Duration kCallerTimeout = milliseconds(1000);
constexpr Duration kSearchInterval = milliseconds(20);
/** Within this time after a disruption, service is back. */
constexpr Duration kStable = milliseconds(4000);

/** A request that a target works on. */
struct Work
{
  ConnectionId mConnection;
  std::string mInstance;
  TimePoint mDone{};
};

/** Searches at a steady rate over targets that take a fixed time. */
class SearchLoad
{
public:
  explicit SearchLoad(bool aEndsConnections)
  {
    mForwarder.mEndsConnections = aEndsConnections;
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      const std::string service = "shard-" + std::to_string(shard);
      for (std::size_t target = 0; target < kTargets; ++target) {
        mForwarder.AddTarget(service + "-" + std::to_string(target), service);
      }
    }
    Route single = SingleRoute("shard-0", Repeatability::kIdempotent);
    mForwarder.Configure({ SearchRoute(kShards, 0.75), single });
    mForwarder.RunFor(std::chrono::seconds(2));
    mNextSearch = mForwarder.mNow;
  }

  /** Runs for a time in which nothing stands still. */
  void RunFor(Duration aDuration)
  {
    const TimePoint until = mForwarder.mNow + aDuration;
    while (mForwarder.mNow < until) {
      mForwarder.RunFor(milliseconds(1));
      HandleInput();
    }
  }

  /** The process stands still; what arrived is handled before due timers. */
  void HoldUp(Duration aDuration)
  {
    mForwarder.mNow += aDuration;
    HandleInput();
    mForwarder.RunFor(Duration::zero());
    WriteAnswers();
  }

  /** The targets of the first aCount shards turn slow; the others are fast. */
  void SlowDown(std::size_t aCount) { mSlowShards = aCount; }

  /** The share of the requests of the next second that are served. */
  double ServedShare()
  {
    const std::size_t first = mTokens.size();
    RunFor(std::chrono::seconds(1));
    const std::size_t last = mTokens.size();
    RunFor(kCallerTimeout);
    const auto served = std::count_if(
      mTokens.begin() + static_cast<std::ptrdiff_t>(first),
      mTokens.begin() + static_cast<std::ptrdiff_t>(last),
      [&](CallerToken aToken) {
        const CallerAnswer* answer = mForwarder.AnswerTo(aToken);
        return answer != nullptr && !std::holds_alternative<Problem>(*answer);
      });
    return static_cast<double>(served) / static_cast<double>(last - first);
  }

private:
  void HandleInput()
  {
    for (; mNextSearch <= mForwarder.mNow; mNextSearch += kSearchInterval) {
      for (const char* path : { "/search/x", "/shard-0/x" }) {
        mTokens.push_back(mForwarder.Ask(path, kCallerTimeout));
        mUnwritten.insert(mTokens.back().Value());
      }
      TakeWork();
    }
    std::vector<Work> done;
    std::erase_if(mWork, [&](const Work& aWork) {
      const bool isDone = aWork.mDone <= mForwarder.mNow;
      if (isDone) {
        done.push_back(aWork);
      }
      return isDone;
    });
    for (const Work& work : done) {
      const auto& received = mForwarder.Received();
      const bool isAwaited = std::any_of(
        received.begin(), received.end(), [&](const ReceivedRequest& aRequest) {
          return aRequest.mConnection == work.mConnection;
        });
      if (isAwaited) {
        mForwarder.ReplyOn(
          work.mConnection, work.mInstance, ReplyKind::kSuccess);
      }
      mWorking.erase(work.mConnection.Value());
    }
    TakeWork();
    WriteAnswers();
  }

  /** The targets begin with what they received. */
  void TakeWork()
  {
    for (const ReceivedRequest& request : mForwarder.Received()) {
      if (!mWorking.insert(request.mConnection.Value()).second) {
        continue;
      }
      const std::size_t shard = std::stoul(request.mInstance.substr(6));
      const bool isSlow = shard < mSlowShards;
      mWork.push_back(
        Work{ request.mConnection,
              request.mInstance,
              mForwarder.mNow + (isSlow ? kSlowFactor : 1) * kWork });
    }
  }

  void WriteAnswers()
  {
    std::vector<std::uint64_t> written;
    for (const std::uint64_t token : mUnwritten) {
      if (mForwarder.AnswerTo(CallerToken(token)) != nullptr) {
        written.push_back(token);
      }
    }
    for (const std::uint64_t token : written) {
      mUnwritten.erase(token);
      mForwarder.Deliver(AnswerWritten{ CallerToken(token) });
    }
  }

  ForwarderHarness mForwarder;
  TimePoint mNextSearch{};
  std::vector<CallerToken> mTokens;
  std::set<std::uint64_t> mUnwritten;
  std::vector<Work> mWork;
  std::set<std::uint64_t> mWorking;
  std::size_t mSlowShards = 0;
};

} // namespace

class HoldUpTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HoldUpTests);
  CPPUNIT_TEST(ServesAgainAfterHoldUps);
  CPPUNIT_TEST(SendsNoHedgesIntoTheBacklogOfAHoldUp);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against estimates that a hold-up of the process drives to where
  // nothing is sent any more, so that nothing corrects them.
  void ServesAgainAfterHoldUps()
  {
    constexpr std::uint64_t kSeed = 20261207;
    constexpr int kCases = 40;
    CPPUNIT_ASSERT(
      SeededCheck("serves again after hold-ups", kSeed, kCases, [] {
        SearchLoad load(*rc::gen::arbitrary<bool>());
        load.RunFor(std::chrono::seconds(2));
        const int holdUps = *rc::gen::inRange(1, 4);
        for (int index = 0; index < holdUps; ++index) {
          load.SlowDown(*rc::gen::inRange<std::size_t>(0, 3));
          load.RunFor(milliseconds(*rc::gen::inRange(0, 2000)));
          load.HoldUp(milliseconds(*rc::gen::inRange(50, 5000)));
        }
        load.SlowDown(0);
        load.RunFor(kStable);
        RC_ASSERT(load.ServedShare() > 0.95);
      }));
  }

  // Guards against requests that run twice because all that arrived in a
  // hold-up reaches the targets at once and is answered late.
  void SendsNoHedgesIntoTheBacklogOfAHoldUp()
  {
    CPPUNIT_ASSERT(HedgesWithin(milliseconds(100), Duration::zero()) == 1);
    const Duration holdUp = std::chrono::seconds(3);
    CPPUNIT_ASSERT(HedgesWithin(milliseconds(100), holdUp) == 0);
    CPPUNIT_ASSERT(HedgesWithin(milliseconds(400), holdUp) == 1);
  }

private:
  /** The hedges within a time after a request that arrives after a hold-up and
      gets no reply. */
  static std::uint64_t HedgesWithin(Duration aTime, Duration aHoldUp)
  {
    ForwarderHarness forwarder;
    for (const char* target : { "t-0", "t-1" }) {
      forwarder.AddTarget(target, "s");
    }
    forwarder.Configure({ SingleRoute("s", Repeatability::kIdempotent) });
    for (int request = 0; request < 20; ++request) {
      forwarder.Ask("/s/x");
      const std::string target = forwarder.Received().front().mInstance;
      forwarder.RunFor(milliseconds(5));
      forwarder.Reply(target, ReplyKind::kSuccess);
    }
    forwarder.mNow += aHoldUp;
    forwarder.Ask("/s/x");
    forwarder.RunFor(aTime);
    return forwarder.mState.mCounters.mHedges;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HoldUpTests);
