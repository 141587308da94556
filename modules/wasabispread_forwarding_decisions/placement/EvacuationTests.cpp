/*
 * Tests of evacuated zones, cold targets and regions.
 */
#include <tests/support/ForwarderHarness.h>

#include <numeric>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);

ForwarderPolicy
PolicyWithRegions()
{
  ForwarderPolicy policy = TestPolicy();
  policy.mRegionOfZone = { { ZoneName("a"), RegionName("north") },
                           { ZoneName("b"), RegionName("south") } };
  policy.mColdRule = ColdRule{ 1.5, 5 };
  return policy;
}

} // namespace

class EvacuationTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EvacuationTests);
  CPPUNIT_TEST(SendsNothingToAnEvacuatedZone);
  CPPUNIT_TEST(OpensNoConnectionToAnEvacuatedZone);
  CPPUNIT_TEST(MovesWaitingRequestsAway);
  CPPUNIT_TEST(RefusesAtOnceWhatNoOtherZoneServes);
  CPPUNIT_TEST(TakesTheZoneBackStepByStep);
  CPPUNIT_TEST(EndsEvacuationsMissingFromAList);
  CPPUNIT_TEST(LearnsOfEvacuationsFromOtherVms);
  CPPUNIT_TEST(LogsZonesThatDoNotExist);
  CPPUNIT_TEST(KeepsTheRateOfColdTargets);
  CPPUNIT_TEST(KeepsTheRateOfColdTargetsAfterSilence);
  CPPUNIT_TEST(KeepsTheRateOfColdTargetsWhenVmsAreLost);
  CPPUNIT_TEST(SendsOnlyToAllowedRegions);
  CPPUNIT_TEST(KeepsBodiesFromVmsInOtherRegions);
  CPPUNIT_TEST(RefusesWhenRouteAndOrganisationShareNoRegion);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mForwarder = std::make_unique<ForwarderHarness>(PolicyWithRegions());
  }

  void ConfigureOneService()
  {
    mForwarder->Configure({ SingleRoute("s", Repeatability::kIdempotent) });
    mForwarder->AddTarget("near", "s", 1, false, 1, "a");
    mForwarder->AddTarget("far", "s", 1, false, 1, "b");
  }

  void Evacuate(const char* aZone, bool aIsEvacuated = true)
  {
    mForwarder->Change(EvacuationChange{ ZoneName(aZone), aIsEvacuated });
  }

  std::size_t CountRecords(const std::string& aEvent) const
  {
    std::size_t count = 0;
    for (const auto& record : mForwarder->mDecisionRecords) {
      count += record.mEvent == aEvent ? 1U : 0U;
    }
    return count;
  }

  /** Guards against first and second sends, and new connections, to targets of
      the zone. */
  void SendsNothingToAnEvacuatedZone()
  {
    ConfigureOneService();
    mForwarder->Ask("/s/");
    CPPUNIT_ASSERT(mForwarder->Has("near"));
    mForwarder->Reply("near", ReplyKind::kSuccess);
    Evacuate("a");
    int served = 0;
    for (int count = 0; count < 10; ++count) {
      mForwarder->Ask("/s/");
      mForwarder->RunFor(100 * kMillisecond);
      CPPUNIT_ASSERT(!mForwarder->Has("near"));
      // The other target takes over step by step.
      if (mForwarder->Has("far")) {
        ++served;
        mForwarder->Reply("far", ReplyKind::kSuccess);
      }
    }
    CPPUNIT_ASSERT(served >= 3);
    mForwarder->RunFor(kSecond);
    mForwarder->Ask("/s/");
    // A retry, too, goes nowhere.
    mForwarder->Reply("far", ReplyKind::kNotRun);
    mForwarder->RunFor(kSecond);
    CPPUNIT_ASSERT(!mForwarder->Has("near"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, CountRecords("zone-evacuated"));
  }

  void OpensNoConnectionToAnEvacuatedZone()
  {
    Evacuate("b");
    mForwarder->Configure({ SingleRoute("s", Repeatability::kIdempotent) });
    mForwarder->AddTarget("far", "s", 1, false, 1, "b");
    mForwarder->RunFor(20 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mForwarder->mOpenedConnections);
    Evacuate("b", false);
    mForwarder->RunFor(20 * kSecond);
    CPPUNIT_ASSERT(mForwarder->mOpenedConnections > 0);
  }

  void MovesWaitingRequestsAway()
  {
    ConfigureOneService();
    std::vector<CallerToken> tokens;
    tokens.reserve(60);
    for (int count = 0; count < 60; ++count) {
      tokens.push_back(mForwarder->Ask("/s/"));
    }
    const auto& near = mForwarder->mState.mTargets.at(
      mForwarder->mState.mTargetOfInstance.at(InstanceId("near")));
    CPPUNIT_ASSERT(!near.mWaiting.empty());
    Evacuate("a");
    CPPUNIT_ASSERT(near.mWaiting.empty());
    const std::size_t atNear = static_cast<std::size_t>(
      std::count_if(mForwarder->Received().begin(),
                    mForwarder->Received().end(),
                    [](const ReceivedRequest& aRequest) {
                      return aRequest.mInstance == "near";
                    }));
    mForwarder->Reply("near", ReplyKind::kSuccess);
    mForwarder->RunFor(50 * kMillisecond);
    const std::size_t left = static_cast<std::size_t>(
      std::count_if(mForwarder->Received().begin(),
                    mForwarder->Received().end(),
                    [](const ReceivedRequest& aRequest) {
                      return aRequest.mInstance == "near";
                    }));
    CPPUNIT_ASSERT_EQUAL(atNear - 1, left);
  }

  void RefusesAtOnceWhatNoOtherZoneServes()
  {
    mForwarder->Configure({ SingleRoute("s", Repeatability::kIdempotent) });
    mForwarder->AddTarget("near", "s", 1, false, 1, "a");
    Evacuate("a");
    const CallerToken token = mForwarder->Ask("/s/");
    const auto& problem = std::get<Problem>(*mForwarder->AnswerTo(token));
    CPPUNIT_ASSERT(problem.mKind == ProblemKind::kNotRun);
    CPPUNIT_ASSERT(problem.mRetryAfter.has_value());
  }

  /** The load: 100 requests a second that prefer the zone. */
  void TakesTheZoneBackStepByStep()
  {
    ConfigureOneService();
    RunLoad(3 * kSecond);
    Evacuate("a");
    RunLoad(3 * kSecond);
    Evacuate("a", false);
    const unsigned first = RunLoad(300 * kMillisecond);
    CPPUNIT_ASSERT(first > 0 && first < 25);
    RunLoad(8 * kSecond);
    CPPUNIT_ASSERT(RunLoad(kSecond) > 90);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, CountRecords("zone-taken-back"));
  }

  void EndsEvacuationsMissingFromAList()
  {
    ConfigureOneService();
    Evacuate("a");
    Evacuate("b");
    SetEvacuations(mForwarder->mState,
                   EvacuatedZones({ EvacuationChange{ ZoneName("b") } }),
                   mForwarder->mNow,
                   mEffects);
    CPPUNIT_ASSERT(!IsEvacuated(mForwarder->mState, ZoneName("a")));
    CPPUNIT_ASSERT(IsEvacuated(mForwarder->mState, ZoneName("b")));
  }

  void LearnsOfEvacuationsFromOtherVms()
  {
    ConfigureOneService();
    mForwarder->Deliver(ChangesWatched{
      Fail(ErrorKind::kPlatformUnavailable, "no answer", "wait") });
    PeerRouting routing;
    routing.mAge = kSecond;
    routing.mEvacuatedZones = { ZoneName("b") };
    mForwarder->Deliver(routing);
    CPPUNIT_ASSERT(IsEvacuated(mForwarder->mState, ZoneName("b")));
    // A VM that cannot tell changes nothing.
    mForwarder->Deliver(PeerRouting{});
    CPPUNIT_ASSERT(IsEvacuated(mForwarder->mState, ZoneName("b")));
  }

  void LogsZonesThatDoNotExist()
  {
    ConfigureOneService();
    Evacuate("nowhere");
    const auto& record = mForwarder->mDecisionRecords.back();
    CPPUNIT_ASSERT_EQUAL(std::string("zone-evacuated"),
                         std::string(record.mEvent));
    CPPUNIT_ASSERT_EQUAL(std::string("no"),
                         std::get<std::string>(record.mFields[1].mValue));
    mForwarder->Ask("/s/");
    CPPUNIT_ASSERT(mForwarder->Has("near"));
  }

  /** The load: as many requests as can be sent, from several VMs. All together
      send no more than the configuration allows in any second. */
  static constexpr double kColdRate = 10;
  /** What the rule of PolicyWithRegions() allows in any second. */
  static constexpr double kMostOfColdTarget = kColdRate * 1.5 + 5;
  static constexpr std::size_t kSenders = 8;

  static MemberChange MemberNamed(std::size_t aNumber)
  {
    const std::string name = "vm-" + std::to_string(aNumber);
    return { MemberRecord{ name, ZoneName("a"), Endpoint{ name, 1 }, 1 } };
  }

  /** VMs that all send as much as they may to one target that is cold. */
  static std::vector<std::unique_ptr<ForwarderHarness>> SendersToAColdTarget()
  {
    std::vector<std::unique_ptr<ForwarderHarness>> vms;
    for (std::size_t number = 0; number < kSenders; ++number) {
      ForwarderPolicy policy = PolicyWithRegions();
      policy.mName = "vm-" + std::to_string(number);
      vms.push_back(std::make_unique<ForwarderHarness>(policy));
      ForwarderHarness& vm = *vms.back();
      vm.mColdRate = kColdRate;
      vm.Configure({ SingleRoute("s", Repeatability::kIdempotent) });
      for (std::size_t other = 0; other < kSenders; ++other) {
        vm.Change(MemberNamed(other));
      }
      TargetRecord record;
      record.mInstance = InstanceId("cold");
      record.mService = IdFromName<ServiceId>("s");
      record.mZone = ZoneName("a");
      record.mSlots = 2;
      record.mWarmUp = 4 * kSecond;
      record.mAddress = Endpoint{ "cold", 1 };
      vm.Change(TargetChange{ record });
    }
    return vms;
  }

  /** Lets each VM try once; returns how many requests they sent. */
  static double SendOnce(
    const std::vector<std::unique_ptr<ForwarderHarness>>& aVms)
  {
    double sent = 0;
    for (const auto& vm : aVms) {
      const CallerToken token = vm->Ask("/s/");
      if (vm->AnswerTo(token) == nullptr) {
        ++sent;
        vm->Reply("cold", ReplyKind::kSuccess);
      }
      vm->RunFor(10 * kMillisecond);
    }
    return sent;
  }

  /** Those sent in the 100 steps, a second, from aFirst on. */
  static double SentIn(const std::vector<double>& aSentPerStep,
                       std::size_t aFirst)
  {
    const auto first =
      aSentPerStep.begin() + static_cast<std::ptrdiff_t>(aFirst);
    return std::accumulate(first, first + 100, 0.0);
  }

  void KeepsTheRateOfColdTargets()
  {
    constexpr std::size_t kSteps = 600;
    const auto vms = SendersToAColdTarget();
    std::vector<double> sent;
    sent.reserve(kSteps);
    for (std::size_t step = 0; step < kSteps; ++step) {
      sent.push_back(SendOnce(vms));
    }
    for (std::size_t first = 0; first + 100 <= 400; ++first) {
      CPPUNIT_ASSERT(SentIn(sent, first) <= kMostOfColdTarget);
    }
    CPPUNIT_ASSERT(SentIn(sent, 200) >= 0.6 * kColdRate);
    // Warm again.
    CPPUNIT_ASSERT(SentIn(sent, 450) > 5 * kMostOfColdTarget);
    std::size_t logged = 0;
    for (const auto& record : vms.front()->mDecisionRecords) {
      logged += record.mEvent == "target-cold" ? 1U : 0U;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, logged);
  }

  /** Guards against VMs that save up what they did not send. */
  void KeepsTheRateOfColdTargetsAfterSilence()
  {
    constexpr std::size_t kSteps = 140;
    const auto vms = SendersToAColdTarget();
    for (const auto& vm : vms) {
      vm->RunFor(std::chrono::milliseconds(2500));
    }
    std::vector<double> sent;
    sent.reserve(kSteps);
    for (std::size_t step = 0; step < kSteps; ++step) {
      sent.push_back(SendOnce(vms));
    }
    for (std::size_t first = 0; first + 100 <= kSteps; ++first) {
      CPPUNIT_ASSERT(SentIn(sent, first) <= kMostOfColdTarget);
    }
  }

  /** Guards against parts that grow while some VMs still count on the former
      ones: they learn of a loss one after the other. */
  void KeepsTheRateOfColdTargetsWhenVmsAreLost()
  {
    constexpr std::size_t kSteps = 390;
    auto vms = SendersToAColdTarget();
    std::vector<double> sent;
    sent.reserve(kSteps);
    for (std::size_t step = 0; step < kSteps; ++step) {
      if (step == 100) {
        vms.resize(kSenders / 2);
      }
      if (step > 100 && step <= 100 + vms.size()) {
        for (std::size_t lost = kSenders / 2; lost < kSenders; ++lost) {
          vms[step - 101]->Change(
            MemberRemoval{ MemberNamed(lost).mRecord.mName });
        }
      }
      sent.push_back(SendOnce(vms));
    }
    for (std::size_t first = 0; first + 100 <= sent.size(); ++first) {
      CPPUNIT_ASSERT(SentIn(sent, first) <= kMostOfColdTarget);
    }
  }

  void SendsOnlyToAllowedRegions()
  {
    Route route = SingleRoute("s", Repeatability::kIdempotent);
    route.mRegions = { RegionName("south") };
    mForwarder->Configure({ route });
    mForwarder->AddTarget("near", "s", 1, false, 1, "a");
    mForwarder->AddTarget("far", "s", 1, false, 1, "b");
    mForwarder->AddTarget("lost", "s", 1, false, 1, "no region");
    mForwarder->Ask("/s/");
    CPPUNIT_ASSERT(mForwarder->Has("far"));
    mForwarder->Reply("far", ReplyKind::kNotRun);
    mForwarder->RunFor(kSecond);
    CPPUNIT_ASSERT(!mForwarder->Has("near") && !mForwarder->Has("lost"));
  }

  void KeepsBodiesFromVmsInOtherRegions()
  {
    Route route = SearchRoute(40, 0.5);
    route.mRegions = { RegionName("south") };
    mForwarder->Configure({ route });
    for (const char* name : { "vm-b", "vm-c", "vm-d", "vm-e" }) {
      mForwarder->Change(MemberChange{
        MemberRecord{ name, ZoneName("a"), Endpoint{ name, 1 }, 1 } });
    }
    for (int shard = 0; shard < 40; ++shard) {
      mForwarder->AddTarget("t-" + std::to_string(shard),
                            "shard-" + std::to_string(shard),
                            1,
                            false,
                            1,
                            shard % 2 == 0 ? "a" : "b");
    }
    mForwarder->Ask("/search/");
    for (const SendPeerMessage& message : mForwarder->mPeerMessages) {
      const auto* search = std::get_if<SubSearch>(&message.mMessage);
      CPPUNIT_ASSERT(search == nullptr || search->mShards.empty());
    }
    CPPUNIT_ASSERT(!mForwarder->Received().empty());
    for (const ReceivedRequest& request : mForwarder->Received()) {
      CPPUNIT_ASSERT(std::stoi(request.mInstance.substr(2)) % 2 == 1);
    }
  }

  void RefusesWhenRouteAndOrganisationShareNoRegion()
  {
    OrganisationDirectory directory;
    Organisation acme;
    acme.mName = "acme";
    acme.mId = IdFromName<OrganisationId>(acme.mName);
    acme.mRegions = { RegionName("north") };
    CPPUNIT_ASSERT(directory.Add(acme, { "key" }));
    Route route = SingleRoute("s", Repeatability::kIdempotent);
    route.mRegions = { RegionName("south") };
    mForwarder->Configure({ route }, directory, 1);
    mForwarder->AddTarget("near", "s", 1, false, 1, "a");
    mForwarder->AddTarget("far", "s", 1, false, 1, "b");
    mForwarder->mKey = { KeyForm::kPresent, "key" };
    const CallerToken token = mForwarder->Ask("/s/");
    CPPUNIT_ASSERT(
      std::get<Problem>(*mForwarder->AnswerTo(token)).mMessage.find("region") !=
      std::string::npos);
    CPPUNIT_ASSERT(mForwarder->Received().empty());
  }

private:
  /** Sends a request every 10 ms, each answered at once; returns how many went
      to the near target. */
  unsigned RunLoad(Duration aTime)
  {
    unsigned near = 0;
    for (Duration time{}; time < aTime; time += 10 * kMillisecond) {
      mForwarder->Ask("/s/");
      while (!mForwarder->Received().empty()) {
        const std::string instance = mForwarder->Received().back().mInstance;
        near += instance == "near" ? 1U : 0U;
        mForwarder->Reply(instance, ReplyKind::kSuccess);
      }
      mForwarder->RunFor(10 * kMillisecond);
    }
    return near;
  }

  std::unique_ptr<ForwarderHarness> mForwarder;
  ForwarderEffects mEffects;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTests);
