/*
 * Runs daemons under load with keys while keys are withdrawn and given back,
 * quotas are lowered and a zone is evacuated, and while signals, restarts and
 * faults of the store overlap.
 *
 * WASABISPREAD_SOAK_SEEDS ("FIRST:COUNT") and WASABISPREAD_SOAK_VMS choose
 * other runs than the short one of the test suite.
 */
#include "ForwarderFleet.h"

#include <wasabispread_organisations/wasabispread_organisations.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

constexpr Duration kFaultTime = std::chrono::seconds(14);
constexpr Duration kInterval = std::chrono::milliseconds(25);
constexpr const char* kSettings =
  "[keys]\nstrict = true\nwithdrawal_milliseconds = 3000\n"
  "[quota]\nwindow_seconds = 3\noverage = 0.2\nslack = 4\n";
constexpr Duration kWithdrawalTime = std::chrono::seconds(3);
constexpr QuotaRule kQuota{ std::chrono::seconds(3), 0.2, 4 };
/** How long after the store is available again an evacuation must be in
    effect. */
constexpr Duration kEvacuationTime = std::chrono::seconds(3);

constexpr const char* kLimitedKey = "k-limited";
constexpr const char* kWithdrawnKey = "k-withdrawn";
constexpr const char* kOtherKey = "k-other";
constexpr const char* kOddKey = "k-odd";
constexpr std::array kKeys{ kLimitedKey, kWithdrawnKey, kOtherKey };
/** The organisation of the first key, and that of the others: quota, which ends
    in a long outage, must not hide a withdrawn key that is served. */
constexpr const char* kLimited = "limited";
constexpr const char* kOther = "other";
constexpr OrganisationLimit kLimit{ 8, 4 };

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

struct KeyedRequest
{
  std::string mKey;
  TimePoint mSent{};
  unsigned mStatus = 0;
};

/** One run with a seed. */
class OrganisationSoakRun
{
public:
  OrganisationSoakRun(std::uint64_t aSeed, std::size_t aVms)
    : mRandom(aSeed)
    , mFleet(aVms, 1, FleetLinks::kDirect, kSettings)
    , mVms(aVms)
  {
    for (const char* target : { "one-b", "once-b", "shard-0-b" }) {
      mFleet.mZones[target] = "zone-b";
      mFleet.Register(mFleet.Target(target));
    }
    Configure(false);
    // Before it is in force, keys have no meaning.
    for (std::size_t vm = 0; vm < mVms; ++vm) {
      AwaitCondition([&] { return SendOne(vm, "k-unknown") == 401; },
                     "the organisations are in force");
    }
    mRequests.clear();
  }

  void Run()
  {
    const TimePoint end = Now() + kFaultTime;
    SendUntil(end, [&] {
      WithdrawDuringOutage();
      while (Now() < end - std::chrono::seconds(1)) {
        InjectFault();
        boost::this_fiber::sleep_for(
          std::chrono::milliseconds(100 + Pick(600)));
      }
    });
    EndFaults();
    mFleet.Store().Put("op/evacuate/zone-b", "1");
    const TimePoint evacuated = Now() + kEvacuationTime;
    SendUntil(evacuated + std::chrono::seconds(2), [] {});
    for (std::size_t vm = 0; vm < mVms; ++vm) {
      AwaitServes(vm);
    }
    CheckKeys();
    CheckQuota();
    CheckEvacuation(evacuated);
  }

private:
  std::size_t Pick(std::size_t aCount)
  {
    return std::min(aCount - 1,
                    static_cast<std::size_t>(mRandom.Fraction() *
                                             static_cast<double>(aCount)));
  }

  void SendUntil(TimePoint aEnd, const std::function<void()>& aDisturb)
  {
    RunConcurrently(mVms * kKeys.size() + 1, [&](std::size_t aFiber) {
      if (aFiber == mVms * kKeys.size()) {
        aDisturb();
        return;
      }
      TimePoint next = Now();
      while (Now() < aEnd) {
        SendOne(aFiber % mVms, kKeys.at(aFiber / mVms));
        next = std::max(next + kInterval, Now());
        boost::this_fiber::sleep_until(next);
      }
    });
  }

  unsigned SendOne(std::size_t aVm, const std::string& aKey)
  {
    ForwarderRequest request;
    request.mPath = mRandom.Fraction() < 0.5 ? "/one/x" : "/once/x";
    request.mTimeoutMs = "1000";
    request.mHeaders.push_back({ "Authorization", "Bearer " + aKey });
    const TimePoint sent = Now();
    const ForwarderReply reply = mFleet.SendRequest(request, aVm);
    if (!reply.mRequestId.empty()) {
      mRequests[reply.mRequestId] = { aKey, sent, reply.Status() };
    }
    return reply.Status();
  }

  void AwaitServes(std::size_t aVm)
  {
    AwaitCondition([&] { return SendOne(aVm, kOtherKey) == 200; },
                   "a VM serves a key");
  }

  /** Writes the next version; aMayBeOdd tells whether it may have a part that
      cannot be read, which must not keep the rest out of force. */
  void Configure(bool aMayBeOdd = true)
  {
    using Json = nlohmann::json;
    Json keys{ kOtherKey };
    if (!mIsWithdrawn) {
      keys.push_back(kWithdrawnKey);
    }
    ConfigurationChoice choice;
    choice.mOrganisations = { { { "name", kLimited },
                                { "apiKeys", Json::array({ kLimitedKey }) },
                                { "ratePerS",
                                  mIsLowered ? 2 : kLimit.mRatePerSecond },
                                { "burst", kLimit.mBurst } },
                              { { "name", kOther }, { "apiKeys", keys } } };
    const std::array odd{ Json{ { "name", " odd" } },
                          Json{ { "name", "odd" }, { "ratePerS", "1" } },
                          Json{ { "apiKeys", Json::array({ kOddKey }) } },
                          Json("odd") };
    if (aMayBeOdd && mRandom.Fraction() < 0.5) {
      choice.mOrganisations.push_back(odd.at(Pick(odd.size())));
    }
    mFleet.Configure(choice);
  }

  void ToggleKey()
  {
    if (mIsWithdrawn) {
      mWithdrawals.back().second = Now();
    }
    mIsWithdrawn = !mIsWithdrawn;
    Configure();
    if (mIsWithdrawn) {
      mWithdrawals.emplace_back(Now(), TimePoint::max());
    }
  }

  /** No VM can learn of this withdrawal in time. */
  void WithdrawDuringOutage()
  {
    constexpr std::array kStates{ VmPortState::kNeverReplies,
                                  VmPortState::kLosesReplies,
                                  VmPortState::kClosesConnection,
                                  VmPortState::kRefuses,
                                  VmPortState::kLimits };
    boost::this_fiber::sleep_for(std::chrono::milliseconds(Pick(1000)));
    mFleet.Store().SetAllVmPortStates(kStates.at(Pick(kStates.size())));
    boost::this_fiber::sleep_for(std::chrono::milliseconds(Pick(500)));
    ToggleKey();
    boost::this_fiber::sleep_for(kWithdrawalTime +
                                 std::chrono::milliseconds(Pick(1500)));
    mFleet.Store().SetAllVmPortStates(VmPortState::kServes);
  }

  void InjectFault()
  {
    constexpr std::size_t kKinds = 10;
    constexpr std::array kStates{
      VmPortState::kServes,           VmPortState::kServes,
      VmPortState::kNeverReplies,     VmPortState::kLosesReplies,
      VmPortState::kClosesConnection, VmPortState::kRefuses
    };
    const std::size_t vm = Pick(mVms);
    StandInStore& store = mFleet.Store();
    switch (Pick(kKinds)) {
      case 0:
      case 1:
        ToggleKey();
        break;
      case 2:
        mIsLowered = !mIsLowered;
        Configure();
        break;
      case 3:
        store.Put("op/evacuate/zone-b", "1");
        break;
      case 4:
        store.Remove("op/evacuate/zone-b");
        break;
      case 5:
      case 6:
        store.SetVmPortState(vm, kStates.at(Pick(kStates.size())));
        break;
      case 7:
        store.SetAllVmPortStates(kStates.at(Pick(kStates.size())));
        break;
      case 8:
        mFleet.Daemon(vm).Freeze();
        boost::this_fiber::sleep_for(
          std::chrono::milliseconds(100 + Pick(3000)));
        mFleet.Daemon(vm).Thaw();
        break;
      default:
        mFleet.Daemon(vm).Kill();
        mFleet.StartDaemon(vm);
        break;
    }
  }

  void EndFaults()
  {
    mFleet.Store().SetAllVmPortStates(VmPortState::kServes);
    if (mIsWithdrawn) {
      ToggleKey();
    }
  }

  const KeyedRequest* FindRequest(const std::string& aId) const
  {
    const auto request = mRequests.find(aId);
    return request == mRequests.end() ? nullptr : &request->second;
  }

  /** No withdrawn key is served, no valid one is rejected, and no target learns
      a key. */
  void CheckKeys() const
  {
    for (const auto& [id, request] : mRequests) {
      CPPUNIT_ASSERT_MESSAGE(
        id, request.mStatus != 401 || request.mKey == kWithdrawnKey);
      if (request.mKey != kWithdrawnKey) {
        continue;
      }
      for (const auto& [since, until] : mWithdrawals) {
        CPPUNIT_ASSERT_MESSAGE(id + " after its key was withdrawn",
                               request.mSent < since + kWithdrawalTime ||
                                 request.mSent >= until ||
                                 mFleet.CountRuns(id) == 0);
      }
    }
    for (std::size_t vm = 0; vm < mVms; ++vm) {
      const std::string log = ReadWholeFile(mFleet.LogFile(vm));
      for (const char* key : kKeys) {
        CPPUNIT_ASSERT_MESSAGE("a key in a log",
                               log.find(key) == std::string::npos);
      }
    }
    for (const TargetRun& run : mFleet.Runs()) {
      const KeyedRequest* request = FindRequest(run.mRequestId);
      if (request == nullptr) {
        continue;
      }
      CPPUNIT_ASSERT(FindHeader(run.mHeaders, "Authorization").empty());
      CPPUNIT_ASSERT_EQUAL(
        std::string(request->mKey == kLimitedKey ? kLimited : kOther),
        std::string(FindHeader(run.mHeaders, "Wasabispread-Tenant")));
    }
  }

  /** No window contains more requests than the quota allows, whatever the VMs
      knew; those that were on their way when it began come on top. */
  void CheckQuota() const
  {
    std::map<std::string, TimePoint> firstRuns;
    for (const TargetRun& run : mFleet.Runs()) {
      const KeyedRequest* request = FindRequest(run.mRequestId);
      if (request != nullptr && request->mKey == kLimitedKey) {
        firstRuns.emplace(run.mRequestId, run.mStarted);
      }
    }
    std::vector<TimePoint> starts;
    starts.reserve(firstRuns.size());
    for (const auto& [id, start] : firstRuns) {
      starts.push_back(start);
    }
    std::sort(starts.begin(), starts.end());
    const auto onTheWay = static_cast<double>(mVms);
    const double most = MaxInWindow(kLimit, kQuota) + onTheWay;
    std::size_t oldest = 0;
    for (std::size_t newest = 0; newest < starts.size(); ++newest) {
      while (starts[newest] - starts[oldest] > kQuota.mWindow) {
        ++oldest;
      }
      CPPUNIT_ASSERT_MESSAGE("requests in a window",
                             static_cast<double>(newest - oldest + 1) <= most);
    }
  }

  void CheckEvacuation(TimePoint aSince) const
  {
    std::size_t served = 0;
    for (const TargetRun& run : mFleet.Runs()) {
      const KeyedRequest* request = FindRequest(run.mRequestId);
      if (request == nullptr || request->mSent < aSince) {
        continue;
      }
      ++served;
      CPPUNIT_ASSERT_MESSAGE(run.mRequestId + " at " + run.mInstance,
                             !mFleet.mZones.contains(run.mInstance));
    }
    CPPUNIT_ASSERT(served > 0);
  }

  Random mRandom;
  ForwarderFleet mFleet;
  std::size_t mVms;
  bool mIsWithdrawn = false;
  bool mIsLowered = false;
  std::map<std::string, KeyedRequest> mRequests;
  /** When the key was withdrawn, and when it was given back. */
  std::vector<std::pair<TimePoint, TimePoint>> mWithdrawals;
};

} // namespace

class OrganisationSoakTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OrganisationSoakTests);
  CPPUNIT_TEST(KeepsToKeysQuotasAndEvacuationsDespiteOverlappingFaults);
  CPPUNIT_TEST_SUITE_END();

public:
  void KeepsToKeysQuotasAndEvacuationsDespiteOverlappingFaults()
  {
    const char* seeds = std::getenv("WASABISPREAD_SOAK_SEEDS");
    const char* vms = std::getenv("WASABISPREAD_SOAK_VMS");
    const std::string range = seeds == nullptr ? "1:2" : seeds;
    const std::size_t first = std::stoul(range);
    const std::size_t count = std::stoul(range.substr(range.find(':') + 1));
    for (std::size_t seed = first; seed < first + count; ++seed) {
      std::cout << "organisation soak seed " << seed << std::endl;
      OrganisationSoakRun(seed, vms == nullptr ? 3 : std::stoul(vms)).Run();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrganisationSoakTests);
