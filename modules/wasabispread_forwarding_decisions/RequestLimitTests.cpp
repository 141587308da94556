/*
 * Tests of the limits that targets name: how VMs share them, and what is
 * refused because of them.
 */
#include <tests/support/ForwarderHarness.h>

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kWindow = 4 * kSecond;

MemberRecord
VmOf(std::size_t aNumber, std::size_t aZones)
{
  return { "vm-" + std::to_string(aNumber),
           ZoneName("zone-" + std::to_string(aNumber % aZones)),
           Endpoint{ "vm", 1 },
           0.25 };
}

Reply
ReplyNaming(std::optional<double> aLimit)
{
  Reply reply;
  reply.mKind = ReplyKind::kSuccess;
  reply.mRequestLimit = aLimit;
  return reply;
}

/** VMs that know each other and one target, and all want to send to it all the
    time. */
class EagerVms
{
public:
  EagerVms(std::size_t aVms, std::size_t aZones, double aLimit)
  {
    for (std::size_t vm = 0; vm < aVms; ++vm) {
      ForwarderPolicy policy;
      policy.mName = VmOf(vm, aZones).mName;
      policy.mZone = VmOf(vm, aZones).mZone;
      ForwarderState state = MakeForwarderState(std::move(policy), vm + 1);
      state.mStore.mIsLoaded = true;
      for (std::size_t other = 0; other < aVms; ++other) {
        ApplyMember(state.mMembership, VmOf(other, aZones));
      }
      mStates.push_back(std::move(state));
      mTargets.emplace_back();
      mTargets.back().mRecord.mInstance = InstanceId("i");
      ForwarderEffects effects;
      RecordLimit(
        mStates[vm], mTargets[vm], ReplyNaming(aLimit), mNow, effects);
    }
  }

  void RunFor(Duration aDuration)
  {
    constexpr Duration kStep = std::chrono::milliseconds(10);
    for (const TimePoint end = mNow + aDuration; mNow < end; mNow += kStep) {
      for (TargetState& target : mTargets) {
        if (WaitForAllowance(target.mLimit, mNow) == Duration::zero()) {
          TakeAllowance(target.mLimit, mNow);
          mSent.push_back(mNow);
        }
      }
    }
  }

  std::size_t MostInAWindow() const
  {
    std::size_t most = 0;
    auto end = mSent.begin();
    for (auto first = mSent.begin(); first != mSent.end(); ++first) {
      while (end != mSent.end() && *end < *first + kWindow) {
        ++end;
      }
      most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
  }

  std::vector<ForwarderState> mStates;
  std::vector<TargetState> mTargets;
  std::vector<TimePoint> mSent;
  TimePoint mNow{ std::chrono::seconds(1000) };
};

} // namespace

class RequestLimitTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestLimitTests);
  CPPUNIT_TEST(NeverExceedsALimitTogether);
  CPPUNIT_TEST(UsesMostOfALimit);
  CPPUNIT_TEST(LearnsThatALimitEnded);
  CPPUNIT_TEST(KeepsALimitAfterAnInvalidReply);
  CPPUNIT_TEST(PrefersATargetWithoutALimit);
  CPPUNIT_TEST(RefusesARequestThatNoLimitLeavesRoomFor);
  CPPUNIT_TEST(RefusesASearchBeforeItUsesUpWhatIsLeft);
  CPPUNIT_TEST(LeavesWhatAMoreUrgentSearchNeeds);
  CPPUNIT_TEST(RefusesASubSearchThatLimitsLeaveTooLittleFor);
  CPPUNIT_TEST(StatesNotRunWhenAnOwnerRefusedForLimits);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Guards against VMs whose parts add up to more than the limit. */
  void NeverExceedsALimitTogether()
  {
    CPPUNIT_ASSERT(rc::check("at most 1.5 times the limit in 4 s, plus 5", [] {
      const auto vms = *rc::gen::inRange<std::size_t>(1, 60);
      const auto zones = *rc::gen::inRange<std::size_t>(1, 7);
      const double limit = *rc::gen::inRange(0, 400) / 10.0;
      EagerVms eager(vms, zones, limit);
      eager.RunFor(12 * kSecond);
      RC_ASSERT(static_cast<double>(eager.MostInAWindow()) <=
                1.5 * limit * 4 + 5);
    }));
  }

  void UsesMostOfALimit()
  {
    for (const std::size_t vms : { 1U, 7U, 60U }) {
      EagerVms eager(vms, 3, 10);
      eager.RunFor(12 * kSecond);
      CPPUNIT_ASSERT(eager.mSent.size() >= 100);
    }
  }

  void LearnsThatALimitEnded()
  {
    EagerVms eager(60, 3, 10);
    const auto isBlocked = [&](const TargetState& aTarget) {
      return WaitForAllowance(aTarget.mLimit, eager.mNow) > Duration::zero();
    };
    // Each VM, also one without a part of the limit, sends now and then.
    eager.RunFor(30 * kSecond);
    std::vector<bool> hasSent(eager.mTargets.size());
    for (int step = 0; step < 3000; ++step) {
      eager.mNow += std::chrono::milliseconds(10);
      for (std::size_t vm = 0; vm < eager.mTargets.size(); ++vm) {
        if (!isBlocked(eager.mTargets[vm])) {
          TakeAllowance(eager.mTargets[vm].mLimit, eager.mNow);
          hasSent[vm] = true;
        }
      }
    }
    CPPUNIT_ASSERT(std::count(hasSent.begin(), hasSent.end(), true) == 60);
    ForwarderEffects effects;
    RecordLimit(eager.mStates[0],
                eager.mTargets[0],
                ReplyNaming(std::nullopt),
                eager.mNow,
                effects);
    TakeAllowance(eager.mTargets[0].mLimit, eager.mNow);
    CPPUNIT_ASSERT(!isBlocked(eager.mTargets[0]));
  }

  void KeepsALimitAfterAnInvalidReply()
  {
    EagerVms eager(1, 1, 10);
    Reply invalid;
    invalid.mKind = ReplyKind::kInvalid;
    ForwarderEffects effects;
    RecordLimit(
      eager.mStates[0], eager.mTargets[0], invalid, eager.mNow, effects);
    CPPUNIT_ASSERT(eager.mTargets[0].mLimit.mPerSecond.has_value());
    CPPUNIT_ASSERT(effects.empty());
  }

  void PrefersATargetWithoutALimit()
  {
    ForwarderHarness forwarder;
    forwarder.Configure({ SingleRoute("s", Repeatability::kIdempotent) });
    forwarder.AddTarget("limited", "s");
    NameLimits(forwarder, { "limited" }, "/s/x");
    forwarder.AddTarget("free", "s");
    for (int request = 0; request < 20; ++request) {
      forwarder.Ask("/s/x");
    }
    CPPUNIT_ASSERT(!forwarder.Has("limited"));
    CPPUNIT_ASSERT(forwarder.Has("free"));
  }

  void RefusesARequestThatNoLimitLeavesRoomFor()
  {
    ForwarderHarness forwarder;
    forwarder.Configure({ SingleRoute("s", Repeatability::kAtMostOnce) });
    forwarder.AddTarget("limited", "s");
    NameLimits(forwarder, { "limited" }, "/s/x");
    ExpectRefusedForLimits(forwarder, forwarder.Ask("/s/x"));
  }

  /** Guards against searches that use up limits without enough shards. */
  void RefusesASearchBeforeItUsesUpWhatIsLeft()
  {
    ForwarderHarness forwarder;
    MakeSearchable(forwarder, { SearchRoute(4, 1) });
    NameLimits(forwarder, { "t-0", "t-1" }, "/search/x");
    ExpectRefusedForLimits(forwarder, forwarder.Ask("/search/x"));
    CPPUNIT_ASSERT(forwarder.Received().empty());
  }

  void LeavesWhatAMoreUrgentSearchNeeds()
  {
    ForwarderHarness forwarder;
    Route urgent = SearchRoute(4, 1);
    Route other = SearchRoute(4, 0.5);
    other.mName = "other";
    other.mId = IdFromName<RouteId>(other.mName);
    other.mPrefix = "/other/";
    other.mPriority = urgent.mPriority + 1;
    MakeSearchable(forwarder, { urgent, other });
    NameLimits(forwarder, { "t-0" }, "/search/x");
    ExpectRefusedForLimits(forwarder, forwarder.Ask("/other/x"));
  }

  void RefusesASubSearchThatLimitsLeaveTooLittleFor()
  {
    ForwarderHarness forwarder;
    MakeSearchable(forwarder, { SearchRoute(4, 1) });
    NameLimits(forwarder, { "t-0" }, "/search/x");
    for (const std::uint32_t minShards : { 4U, 3U }) {
      forwarder.mPeerMessages.clear();
      SubSearch search;
      search.mSequence = minShards;
      search.mRequestId = RequestId("r");
      search.mShards = SearchRoute(4, 1).mShards;
      search.mMinShards = minShards;
      search.mSoftTimeout = kSecond;
      search.mCallerTimeout = kSecond;
      forwarder.Deliver(
        SubSearchArrived{ VmId(7),
                          Endpoint{ "vm-b", 1 },
                          search,
                          std::make_shared<const ForwardedRequest>() });
      const auto& reply =
        std::get<SubSearchReply>(forwarder.mPeerMessages.front().mMessage);
      CPPUNIT_ASSERT_EQUAL(minShards == 4, reply.mIsRefused);
      CPPUNIT_ASSERT_EQUAL(minShards == 4, reply.mRetryAfter > Duration{});
    }
  }

  /** Guards against a failure that may have run, where nothing ran. */
  void StatesNotRunWhenAnOwnerRefusedForLimits()
  {
    ForwarderHarness forwarder;
    // The shards have targets in the zone of vm-b alone, which queries them.
    forwarder.Change(MemberChange{
      MemberRecord{ "vm-a", ZoneName("a"), Endpoint{ "vm-a", 1 }, 0.25 } });
    forwarder.Change(MemberChange{
      MemberRecord{ "vm-b", ZoneName("b"), Endpoint{ "vm-b", 1 }, 0.25 } });
    for (int shard = 0; shard < 4; ++shard) {
      forwarder.AddTarget("t-" + std::to_string(shard),
                          "shard-" + std::to_string(shard),
                          1,
                          false,
                          1,
                          "b");
    }
    forwarder.Configure({ SearchRoute(4, 1) });
    forwarder.RunFor(2 * kSecond);
    forwarder.mPeerMessages.clear();
    const CallerToken token = forwarder.Ask("/search/x");
    const auto& sent =
      std::get<SubSearch>(forwarder.mPeerMessages.front().mMessage);
    CPPUNIT_ASSERT_EQUAL(4U, sent.mMinShards);
    SubSearchReply reply;
    reply.mSequence = sent.mSequence;
    reply.mIsRefused = true;
    reply.mRetryAfter = kSecond / 4;
    forwarder.Deliver(SubSearchReplied{
      IdFromName<VmId>("vm-b"), Endpoint{ "vm-b", 1 }, reply });
    const auto& problem = std::get<Problem>(*forwarder.AnswerTo(token));
    CPPUNIT_ASSERT(problem.mKind == ProblemKind::kNotRun);
    CPPUNIT_ASSERT(problem.mRetryAfter == kSecond / 4);
    CPPUNIT_ASSERT(forwarder.Received().empty());
  }

private:
  static void MakeSearchable(ForwarderHarness& aForwarder,
                             std::vector<Route> aRoutes)
  {
    for (int shard = 0; shard < 4; ++shard) {
      aForwarder.AddTarget("t-" + std::to_string(shard),
                           "shard-" + std::to_string(shard));
    }
    aForwarder.Configure(std::move(aRoutes));
  }

  /** Lets targets name a limit in their replies to one request. */
  static void NameLimits(ForwarderHarness& aForwarder,
                         const std::vector<std::string>& aInstances,
                         const std::string& aPath)
  {
    for (const std::string& instance : aInstances) {
      aForwarder.mRequestLimits[instance] = 1;
    }
    aForwarder.Ask(aPath);
    while (!aForwarder.Received().empty()) {
      const std::string instance = aForwarder.Received().front().mInstance;
      aForwarder.Reply(instance, ReplyKind::kSuccess);
    }
  }

  static void ExpectRefusedForLimits(const ForwarderHarness& aForwarder,
                                     CallerToken aToken)
  {
    const CallerAnswer* answer = aForwarder.AnswerTo(aToken);
    CPPUNIT_ASSERT(answer != nullptr);
    const auto& problem = std::get<Problem>(*answer);
    CPPUNIT_ASSERT(problem.mKind == ProblemKind::kNotRun);
    CPPUNIT_ASSERT(problem.mRetryAfter.value() > Duration::zero());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestLimitTests);
