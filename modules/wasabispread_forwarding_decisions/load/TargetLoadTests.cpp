/*
 * Tests of what a VM makes of the load that it measures at targets, and that
 * they state, when it chooses among them.
 */
#include <tests/support/ForwarderHarness.h>

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

class TargetLoadTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetLoadTests);
  CPPUNIT_TEST(SendsEachTargetWhatItTakesWell);
  CPPUNIT_TEST(FollowsATargetThatBecomesSlowUnderLoad);
  CPPUNIT_TEST(AvoidsATargetThatStatesLoad);
  CPPUNIT_TEST_SUITE_END();

public:
  static constexpr Duration kShort = std::chrono::milliseconds(10);
  static constexpr Duration kLong = std::chrono::milliseconds(40);
  static constexpr unsigned kRounds = 40;
  static constexpr unsigned kSlots = 4;
  static constexpr unsigned kAtATime = 4;

  void setUp() override
  {
    mForwarder = std::make_unique<ForwarderHarness>();
    // Without second sends, which would be counted too.
    mForwarder->Configure({ SingleRoute("s", Repeatability::kAtMostOnce) });
    for (const char* target : { "a", "b" }) {
      TargetRecord record;
      record.mInstance = InstanceId(target);
      record.mService = IdFromName<ServiceId>("s");
      record.mAddress = Endpoint{ target, 1 };
      record.mZone = ZoneName("a");
      record.mSlots = kSlots;
      mForwarder->Change(TargetChange{ record });
    }
    OpenAllConnections();
  }

  void tearDown() override { mForwarder.reset(); }

  /** With one request at "a" and three at "b", all take the shortest time that
      there is. */
  void SendsEachTargetWhatItTakesWell()
  {
    mTakesWell = { { "a", 1 }, { "b", 3 } };
    CountFastRounds(kRounds);
    CPPUNIT_ASSERT(CountFastRounds(kRounds) >= kRounds * 8 / 10);
  }

  /** Within two seconds: 40 rounds of 40 ms. */
  void FollowsATargetThatBecomesSlowUnderLoad()
  {
    mTakesWell = { { "a", 1 }, { "b", 3 } };
    CountFastRounds(kRounds);
    mTakesWell = { { "a", 3 }, { "b", 1 } };
    CountFastRounds(kRounds);
    CPPUNIT_ASSERT(CountFastRounds(kRounds) >= kRounds * 8 / 10);
  }

  void AvoidsATargetThatStatesLoad()
  {
    for (const char* loaded : { "a", "b" }) {
      mForwarder->mStatedLoads = {
        { loaded, StatedLoad{ .mRunning = 2, .mWaiting = 8, .mSlots = 2 } }
      };
      unsigned toLoaded = 0;
      for (unsigned round = 0; round < kRounds; ++round) {
        mForwarder->Ask("/s/");
        const bool isAtLoaded = mForwarder->Has(loaded);
        toLoaded += isAtLoaded ? 1U : 0U;
        mForwarder->RunFor(kShort);
        mForwarder->Reply(mForwarder->Received().front().mInstance,
                          ReplyKind::kSuccess);
      }
      CPPUNIT_ASSERT(toLoaded <= kRounds / 5);
    }
  }

private:
  /** So that only the expected times decide, not which connections are open. */
  void OpenAllConnections()
  {
    for (unsigned request = 0; request < 2 * kSlots; ++request) {
      mForwarder->Ask("/s/");
    }
    mForwarder->RunFor(kShort);
    ReplyToAll("a");
    ReplyToAll("b");
  }

  /** Sends kAtATime requests at a time; returns how often all of them took the
      short time. */
  unsigned CountFastRounds(unsigned aRounds)
  {
    unsigned fast = 0;
    for (unsigned round = 0; round < aRounds; ++round) {
      for (unsigned request = 0; request < kAtATime; ++request) {
        mForwarder->Ask("/s/");
      }
      std::map<std::string, unsigned> sent;
      for (const ReceivedRequest& request : mForwarder->Received()) {
        ++sent[request.mInstance];
      }
      const auto isFast = [&](const auto& aEntry) {
        return aEntry.second <= mTakesWell.at(aEntry.first);
      };
      fast += std::all_of(sent.begin(), sent.end(), isFast) ? 1U : 0U;
      mForwarder->RunFor(kShort);
      for (const auto& entry : sent) {
        if (isFast(entry)) {
          ReplyToAll(entry.first);
        }
      }
      mForwarder->RunFor(kLong - kShort);
      for (const auto& [instance, count] : sent) {
        ReplyToAll(instance);
      }
    }
    return fast;
  }

  void ReplyToAll(const std::string& aInstance)
  {
    while (mForwarder->Has(aInstance)) {
      mForwarder->Reply(aInstance, ReplyKind::kSuccess);
    }
  }

  std::unique_ptr<ForwarderHarness> mForwarder;
  /** With how many requests at a time a target needs only the short time. */
  std::map<std::string, unsigned> mTakesWell;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLoadTests);
