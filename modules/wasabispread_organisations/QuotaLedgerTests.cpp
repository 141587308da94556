/*
 * Tests of the bound on an organisation's requests: of the balance of the
 * granting VM and of what other VMs hold of it, over arbitrary orders of
 * events.
 */
#include "wasabispread_organisations.h"

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <random>
#include <utility>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace wasabispread;

namespace {

constexpr TimePoint kStart{ std::chrono::seconds(100) };
constexpr Duration kStep = std::chrono::milliseconds(50);
constexpr std::size_t kVms = 5;

/** The most requests in any window of a length. */
std::size_t
MostInWindow(const std::vector<TimePoint>& aTimes, Duration aWindow)
{
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < aTimes.size(); ++last) {
    while (aTimes[last] - aTimes[first] >= aWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

/** A message under way. */
template<class Content>
struct UnderWay
{
  TimePoint mArrives{};
  std::size_t mVm = 0;
  std::uint64_t mSequence = 0;
  std::uint64_t mSession = 0;
  TimePoint mAsked{};
  Content mContent;
};

struct GrantContent
{
  QuotaNeed mNeed;
  QuotaGrant mGrant;
  Duration mValid{};
};

/** VMs that hold quota, and the VM that grants it, which changes. Messages are
    delayed and lost, VMs start anew, and the granting VM stops or is lost. */
class QuotaModel
{
public:
  QuotaModel(const OrganisationLimit& aLimit, const QuotaRule& aRule)
    : mLimit(aLimit)
    , mRule(aRule)
    , mVms(kVms)
  {
    TakeOver(false);
  }

  /** Runs for one step, in which the messages sent take aDelay. */
  void Step(Duration aDelay)
  {
    mNow += kStep;
    DeliverNeeds(aDelay);
    DeliverGrants();
  }

  /** Requests arrive at a VM. Its question is lost if aLost or if it is cut
      off. */
  void Request(std::size_t aVm,
               std::size_t aRequests,
               Duration aDelay,
               bool aLost)
  {
    Vm& vm = mVms[aVm];
    vm.mArrived += aRequests;
    if (mNow < vm.mStandsUntil) {
      return;
    }
    aRequests = std::exchange(vm.mArrived, 0);
    std::size_t waiting = 0;
    for (std::size_t count = 0; count < aRequests; ++count) {
      CountNeed(vm.mHeld, mNow);
      if (UseQuota(vm.mHeld, mNow)) {
        mRun.push_back(mNow);
      } else {
        ++waiting;
      }
    }
    if (mNow >= vm.mTimerDue) {
      ReturnUnusable(vm.mHeld, mNow);
    }
    if (!vm.mAsked || mNow - *vm.mAsked > std::chrono::milliseconds(250)) {
      Ask(aVm, waiting, aDelay, aLost || vm.mIsCutOff);
    }
  }

  /** The granting VM is lost or stops, and another one begins. A lost one is
      followed when its lease has ended. */
  void TakeOver(bool aIsLost)
  {
    if (aIsLost) {
      mNow += std::max(Duration::zero(), mLeaseEnds - mNow);
    }
    const bool mayGrantAtOnce =
      !mLastTakeover || mNow - *mLastTakeover >= mRule.mWindow;
    mLastTakeover = mNow;
    mLedger =
      BeginLedger(DivideQuota(mLimit, mRule), mRule, mayGrantAtOnce, mNow);
    ++mTerm;
    RenewLease();
  }

  void RenewLease() { mLeaseEnds = mNow + std::chrono::seconds(4); }

  void Restart(std::size_t aVm)
  {
    const std::uint64_t session = mVms[aVm].mSession + 1;
    mVms[aVm] = Vm{};
    mVms[aVm].mSession = session;
  }

  void CutOff(std::size_t aVm, bool aIsCutOff)
  {
    mVms[aVm].mIsCutOff = aIsCutOff;
  }

  /** A VM's process stands still. When it goes on, what arrived meanwhile is
      handled before its timers. */
  void StandStill(std::size_t aVm, Duration aTime)
  {
    mVms[aVm].mStandsUntil = mNow + aTime;
    constexpr Duration kInputTime = std::chrono::milliseconds(200);
    mVms[aVm].mTimerDue = mVms[aVm].mStandsUntil + kInputTime;
  }

  void ChangeLimit(const OrganisationLimit& aLimit) { mLimit = aLimit; }

  std::vector<TimePoint> mRun;
  TimePoint mNow = kStart;

private:
  struct Vm
  {
    HeldQuota mHeld;
    std::uint64_t mSession = 1;
    std::uint64_t mSequence = 0;
    std::optional<TimePoint> mAsked;
    bool mIsCutOff = false;
    TimePoint mStandsUntil{};
    /** Before this time no timer runs. */
    TimePoint mTimerDue{};
    /** The requests that wait in the socket's buffer. */
    std::size_t mArrived = 0;
    std::deque<UnderWay<GrantContent>> mGrantsArrived;
  };

  void Ask(std::size_t aVm, std::size_t aWaiting, Duration aDelay, bool aLost)
  {
    Vm& vm = mVms[aVm];
    vm.mAsked = mNow;
    ++vm.mSequence;
    const QuotaNeed need = NeedOf(
      vm.mHeld, OrganisationId(1), static_cast<std::uint32_t>(aWaiting), mNow);
    if (!aLost) {
      mNeeds.push_back(
        { mNow + aDelay, aVm, vm.mSequence, vm.mSession, mNow, need });
    }
  }

  void DeliverNeeds(Duration aDelay)
  {
    while (!mNeeds.empty() && mNeeds.front().mArrives <= mNow) {
      const auto message = mNeeds.front();
      mNeeds.pop_front();
      if (mNow >= mLeaseEnds) {
        continue;
      }
      GrantContent answer{ message.mContent, {}, {} };
      answer.mGrant.mTerm = mTerm;
      if (message.mContent.mTerm == mTerm) {
        answer.mGrant = Settle(mLedger,
                               DivideQuota(mLimit, mRule),
                               VmId(message.mVm),
                               message.mSession,
                               message.mContent,
                               mLeaseEnds,
                               mNow);
      }
      answer.mValid = mLeaseEnds - mNow;
      if (!mVms[message.mVm].mIsCutOff) {
        mGrants.push_back({ mNow + aDelay,
                            message.mVm,
                            message.mSequence,
                            message.mSession,
                            message.mAsked,
                            answer });
      }
    }
  }

  void DeliverGrants()
  {
    while (!mGrants.empty() && mGrants.front().mArrives <= mNow) {
      mVms[mGrants.front().mVm].mGrantsArrived.push_back(mGrants.front());
      mGrants.pop_front();
    }
    for (Vm& vm : mVms) {
      if (mNow >= vm.mStandsUntil) {
        HandleGrants(vm);
      }
    }
  }

  void HandleGrants(Vm& aVm) const
  {
    for (; !aVm.mGrantsArrived.empty(); aVm.mGrantsArrived.pop_front()) {
      const auto& message = aVm.mGrantsArrived.front();
      Vm& vm = aVm;
      if (message.mSequence != vm.mSequence ||
          message.mSession != vm.mSession) {
        continue;
      }
      vm.mAsked.reset();
      const GrantContent& answer = message.mContent;
      if (answer.mGrant.mTerm != answer.mNeed.mTerm) {
        ForgetGrants(vm.mHeld, answer.mGrant.mTerm);
        continue;
      }
      AcceptGrant(vm.mHeld,
                  answer.mNeed,
                  answer.mGrant,
                  message.mAsked,
                  answer.mValid,
                  mNow);
    }
  }

  OrganisationLimit mLimit;
  QuotaRule mRule;
  std::vector<Vm> mVms;
  QuotaLedger mLedger;
  std::uint64_t mTerm = 0;
  TimePoint mLeaseEnds{};
  std::optional<TimePoint> mLastTakeover;
  std::deque<UnderWay<QuotaNeed>> mNeeds;
  std::deque<UnderWay<GrantContent>> mGrants;
};

constexpr QuotaRule kRule{ std::chrono::seconds(5), 0.1, 20 };

} // namespace

class QuotaLedgerTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuotaLedgerTests);
  CPPUNIT_TEST(DividesTheBound);
  CPPUNIT_TEST(KeepsTheBoundOverAnyEvents);
  CPPUNIT_TEST(LeavesRoomForGrantsOfTheVmBefore);
  CPPUNIT_TEST(KeepsTheBoundOverStandstills);
  CPPUNIT_TEST(KeepsALoweredBoundAfterAWindow);
  CPPUNIT_TEST(HoldsNoMoreThanTheGrantingVmCounts);
  CPPUNIT_TEST(ServesAHotOrganisationAtFewVms);
  CPPUNIT_TEST(CountsWhatALostVmHeldAsUsed);
  CPPUNIT_TEST(SpreadsTheReturnsOfDeniedRequests);
  CPPUNIT_TEST_SUITE_END();

public:
  void DividesTheBound()
  {
    CPPUNIT_ASSERT(rc::check("the parts stay within the bound", [] {
      const OrganisationLimit limit{ *rc::gen::inRange(1, 20'000) / 10.0,
                                     *rc::gen::inRange(0, 20'000) / 10.0 };
      const QuotaRule rule{ std::chrono::seconds(*rc::gen::inRange(1, 30)),
                            *rc::gen::inRange(0, 100) / 100.0,
                            *rc::gen::inRange(0, 50) * 1.0 };
      const QuotaParts parts = DivideQuota(limit, rule);
      const double window = std::chrono::duration<double>(rule.mWindow).count();
      const double most = MaxInWindow(limit, rule);
      RC_ASSERT(parts.mCapacity + parts.mRate * window + parts.mTakeover <=
                most + 1e-6);
      // The whole limit can be used: its rate for long, its burst at once.
      RC_ASSERT(parts.mCapacity + 1e-6 >= std::min(limit.mBurst, most));
      RC_ASSERT(parts.mCapacity + parts.mRate * window + parts.mTakeover + 1 >=
                limit.mRatePerSecond * window + limit.mBurst);
    }));
  }

  /** The load of a phase: no requests, few, or as many as there can be. */
  static std::size_t RequestsOf(unsigned aLoad, std::mt19937& aRandom)
  {
    constexpr std::size_t kMany = 30;
    return aLoad == 0 ? 0 : aLoad == 1 ? (aRandom() % 8 == 0 ? 1 : 0) : kMany;
  }

  /** Runs phases of one or a few seconds with different loads, in which VMs are
      cut off and start anew and the granting VM changes. */
  static void Play(QuotaModel& aModel,
                   std::mt19937& aRandom,
                   unsigned aPhases,
                   bool aMayTakeOver)
  {
    constexpr std::array<int, 4> kDelays{ 1, 8, 60, 400 };
    for (unsigned phase = 0; phase < aPhases; ++phase) {
      const unsigned load = aRandom() % 3;
      const unsigned event = aRandom() % 8;
      const std::size_t chosen = aRandom() % kVms;
      if (event < 2 && aMayTakeOver) {
        aModel.TakeOver(event == 0);
      } else if (event == 2) {
        aModel.Restart(chosen);
      } else if (event < 6) {
        aModel.CutOff(chosen, event < 5);
      }
      const std::chrono::milliseconds delay(kDelays[aRandom() % 4]);
      const unsigned steps = 10 + aRandom() % 90;
      for (unsigned step = 0; step < steps; ++step) {
        aModel.RenewLease();
        aModel.Step(delay);
        for (std::size_t vm = 0; vm < kVms; ++vm) {
          aModel.Request(
            vm, RequestsOf(load, aRandom), delay, aRandom() % 20 == 0);
        }
      }
    }
  }

  /** Guards against more requests than allowed while messages are late or lost,
      VMs are cut off and start anew, and the granting VM changes. */
  void KeepsTheBoundOverAnyEvents()
  {
    CPPUNIT_ASSERT(rc::check("no window has more than the bound", [] {
      const OrganisationLimit limit{ *rc::gen::element(0.3, 3.0, 15.0, 60.0),
                                     *rc::gen::element(0.0, 3.0, 30.0) };
      for (unsigned run = 0; run < 4; ++run) {
        std::mt19937 random(*rc::gen::inRange(0, 1 << 30));
        QuotaModel model(limit, kRule);
        Play(model, random, 30, true);
        RC_ASSERT(static_cast<double>(MostInWindow(
                    model.mRun, kRule.mWindow)) <= MaxInWindow(limit, kRule));
      }
    }));
  }

  /** Guards against a VM that takes over and saves up a full balance while the
      grants of the one before may still be used. */
  void LeavesRoomForGrantsOfTheVmBefore()
  {
    const OrganisationLimit limit{ 3, 30 };
    constexpr Duration kWay = std::chrono::milliseconds(4);
    constexpr std::size_t kMany = 30;
    constexpr int kWarmSteps = 400;
    constexpr int kQuietSteps = 70;
    QuotaModel model(limit, kRule);
    const auto run = [&](int aSteps, const auto& aRequest) {
      for (int step = 0; step < aSteps; ++step) {
        model.RenewLease();
        model.Step(kWay);
        aRequest(step);
      }
    };
    // All but one VM hold quota in advance, and do not learn of the takeover.
    run(kWarmSteps, [&](int aStep) {
      for (std::size_t vm = 0; vm + 1 < kVms; ++vm) {
        model.Request(vm, aStep % 40 == 0 ? 1 : 0, kWay, false);
      }
    });
    for (std::size_t vm = 0; vm + 1 < kVms; ++vm) {
      model.CutOff(vm, true);
    }
    model.TakeOver(false);
    run(kQuietSteps, [&](int) { model.Request(kVms - 1, 0, kWay, false); });
    run(2 * kQuietSteps, [&](int) {
      for (std::size_t vm = 0; vm < kVms; ++vm) {
        model.Request(vm, kMany, kWay, false);
      }
    });
    CPPUNIT_ASSERT(static_cast<double>(MostInWindow(
                     model.mRun, kRule.mWindow)) <= MaxInWindow(limit, kRule));
  }

  /** Guards against grants that end while a VM stands still, and that the
      first answer after it makes valid again. */
  void KeepsTheBoundOverStandstills()
  {
    CPPUNIT_ASSERT(rc::check("no window has more than the bound", [] {
      constexpr std::size_t kPerStep = 2;
      constexpr Duration kWay = std::chrono::milliseconds(4);
      const OrganisationLimit limit{ *rc::gen::element(3.0, 8.0, 30.0),
                                     *rc::gen::element(3.0, 8.0, 30.0) };
      std::mt19937 random(*rc::gen::inRange(0, 1 << 30));
      QuotaModel model(limit, kRule);
      for (unsigned phase = 0; phase < 20; ++phase) {
        const std::size_t chosen = random() % kVms;
        const bool isHot = random() % 2 == 0;
        for (unsigned step = 0; step < 200; ++step) {
          if (step == 100) {
            model.StandStill(chosen,
                             std::chrono::milliseconds(50 + random() % 4950));
          }
          model.RenewLease();
          model.Step(kWay);
          for (std::size_t vm = 0; vm < kVms; ++vm) {
            const bool isMany = isHot && step > 100;
            model.Request(vm,
                          isMany ? kPerStep : (random() % 10 == 0 ? 1 : 0),
                          kWay,
                          false);
          }
        }
      }
      RC_ASSERT(static_cast<double>(MostInWindow(model.mRun, kRule.mWindow)) <=
                MaxInWindow(limit, kRule));
    }));
  }

  void KeepsALoweredBoundAfterAWindow()
  {
    CPPUNIT_ASSERT(rc::check("a lower limit binds after one window", [] {
      const OrganisationLimit lower{ 3, 3 };
      std::mt19937 random(*rc::gen::inRange(0, 1 << 30));
      QuotaModel model({ 60, 60 }, kRule);
      Play(model, random, 8, false);
      model.ChangeLimit(lower);
      const TimePoint binds = model.mNow + kRule.mWindow;
      Play(model, random, 12, false);
      std::vector<TimePoint> after;
      std::copy_if(model.mRun.begin(),
                   model.mRun.end(),
                   std::back_inserter(after),
                   [&](TimePoint aTime) { return aTime >= binds; });
      RC_ASSERT(static_cast<double>(MostInWindow(after, kRule.mWindow)) <=
                MaxInWindow(lower, kRule));
    }));
  }

  /** Guards against grants that were used and are taken for new ones by a VM
      that counts anew under the same session and term. */
  void HoldsNoMoreThanTheGrantingVmCounts()
  {
    const OrganisationLimit limit{ 30, 30 };
    const QuotaParts parts = DivideQuota(limit, kRule);
    QuotaLedger ledger = BeginLedger(parts, kRule, true, kStart);
    const TimePoint warm = kStart + std::chrono::seconds(20);
    const Duration valid = std::chrono::seconds(4);
    HeldQuota held;
    const auto settle = [&](std::uint32_t aWaiting) {
      CountNeed(held, warm);
      const QuotaNeed need = NeedOf(held, OrganisationId(1), aWaiting, warm);
      const QuotaGrant grant =
        Settle(ledger, parts, VmId(1), 1, need, warm + valid, warm);
      AcceptGrant(held, need, grant, warm, valid, warm);
    };
    settle(20);
    while (UseQuota(held, warm)) {
    }
    settle(0);
    held = HeldQuota{};
    settle(1);
    CPPUNIT_ASSERT(held.Held() >= 1);
    CPPUNIT_ASSERT(held.Held() <= ledger.mHoldings.at(VmId(1)).Held());
    // The other way round: the granting VM counts anew.
    ledger = BeginLedger(parts, kRule, true, kStart);
    settle(1);
    CPPUNIT_ASSERT(held.Held() >= 1);
    CPPUNIT_ASSERT(held.Held() <= ledger.mHoldings.at(VmId(1)).Held());
  }

  /** The load: one organisation sends 7.5 times its limit, all of it through
      two of 79 VMs. Rivals: equal parts for all VMs, which is what membership
      alone allows, and this one. Callers need the whole allowance. */
  void ServesAHotOrganisationAtFewVms()
  {
    const OrganisationLimit limit{ 20, 20 };
    constexpr double kFleet = 79;
    constexpr double kSeconds = 20;
    const double allowance = limit.mRatePerSecond * kSeconds + limit.mBurst;
    // Two VMs with a part each, whatever the others do not use.
    const double equalParts =
      MaxInWindow(limit, kRule) / kFleet * 2 * (kSeconds / 5);
    CPPUNIT_ASSERT(equalParts < 0.05 * allowance);
    QuotaModel model(limit, kRule);
    constexpr Duration kWay = std::chrono::milliseconds(4);
    for (int step = 0; step < 200; ++step) {
      model.RenewLease();
      model.Step(kWay);
    }
    model.mRun.clear();
    for (int step = 0; step < 400; ++step) {
      model.RenewLease();
      model.Step(kWay);
      model.Request(0, 4, kWay, false);
      model.Request(1, 3 + static_cast<std::size_t>(step % 2), kWay, false);
    }
    CPPUNIT_ASSERT(static_cast<double>(model.mRun.size()) >= 0.95 * allowance);
    CPPUNIT_ASSERT(static_cast<double>(MostInWindow(
                     model.mRun, kRule.mWindow)) <= MaxInWindow(limit, kRule));
  }

  /** Guards against a VM that is killed again and again and each time gets
      quota as if nothing had run. */
  void CountsWhatALostVmHeldAsUsed()
  {
    const OrganisationLimit limit{ 0.5, 0 };
    const QuotaParts parts = DivideQuota(limit, kRule);
    QuotaLedger ledger = BeginLedger(parts, kRule, true, kStart);
    const TimePoint warm = kStart + std::chrono::seconds(20);
    std::uint64_t granted = 0;
    for (std::uint64_t session = 1; session <= 50; ++session) {
      QuotaNeed need;
      need.mWaiting = 1;
      granted += Settle(ledger,
                        parts,
                        VmId(1),
                        session,
                        need,
                        warm + std::chrono::seconds(4),
                        warm)
                   .mGranted;
    }
    CPPUNIT_ASSERT(static_cast<double>(granted) <= parts.mCapacity);
  }

  /** Guards against denied callers that all come back at the same time. */
  void SpreadsTheReturnsOfDeniedRequests()
  {
    const OrganisationLimit limit{ 10, 0 };
    const QuotaParts parts = DivideQuota(limit, kRule);
    QuotaLedger ledger = BeginLedger(parts, kRule, false, kStart);
    std::vector<Duration> returns;
    for (std::uint64_t vm = 1; vm <= 10; ++vm) {
      QuotaNeed need;
      need.mWaiting = 1;
      const QuotaGrant grant = Settle(ledger,
                                      parts,
                                      VmId(vm),
                                      1,
                                      need,
                                      kStart + std::chrono::seconds(4),
                                      kStart);
      CPPUNIT_ASSERT(grant.mNextGrant > Duration::zero());
      returns.push_back(grant.mRetryAfter);
    }
    for (std::size_t position = 1; position < returns.size(); ++position) {
      const Duration between = returns[position] - returns[position - 1];
      CPPUNIT_ASSERT(between > std::chrono::milliseconds(50));
      CPPUNIT_ASSERT(between < std::chrono::milliseconds(200));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaLedgerTests);
