/*
 * Real daemons of one zone that query shards for each other, while some of
 * them are killed, frozen or stopped.
 */
#include "ForwarderFleet.h"

#include <algorithm>
#include <set>
#include <sstream>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

class DelegationProcessTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DelegationProcessTests);
  CPPUNIT_TEST(QueriesShardsForEachOther);
  CPPUNIT_TEST(AnswersWhileAnOwnerIsKilled);
  CPPUNIT_TEST(AnswersWhileAnOwnerIsFrozen);
  CPPUNIT_TEST(AnswersWhileAnOwnerStops);
  CPPUNIT_TEST_SUITE_END();

public:
  static constexpr std::size_t kDaemons = 5;
  static constexpr std::size_t kShards = 44;

  void setUp() override
  {
    mFleet = std::make_unique<ForwarderFleet>(kDaemons, kShards);
    AwaitCondition(
      [&] {
        return mFleet->Store().CountWithPrefix("vms/") == kDaemons &&
               HasDelegated(mFleet->Ask(Search(), 0).mRequestId);
      },
      "VMs know each other");
  }

  void tearDown() override { mFleet.reset(); }

  static ForwarderAsk Search()
  {
    ForwarderAsk ask;
    ask.mPath = "/search/q";
    return ask;
  }

  /** Whether more than one VM queried shards of a request. */
  bool HasDelegated(const std::string& aRequestId)
  {
    std::size_t vms = 0;
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      const auto lines = mFleet->Lines(daemon);
      vms += static_cast<std::size_t>(
        std::count_if(lines.begin(), lines.end(), [&](const auto& aLine) {
          return aLine.value("event", "") == "sub-search-answered" &&
                 aLine.value("request_id", "") == aRequestId;
        }));
    }
    return vms > 1;
  }

  /** Every proof is of this request and of another shard, their number and
      that of the missing shards make up all, and no target ran it for a shard
      more often than the route allows. */
  void ExpectSound(const ForwarderAnswer& aAnswer, std::size_t aMostMissing)
  {
    CPPUNIT_ASSERT(aAnswer.mResponse.has_value());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      aAnswer.mResponse->mBody, 200U, aAnswer.Status());
    const auto& headers = aAnswer.mResponse->mHeaders;
    std::string proofs(FindHeader(headers, "Wasabispread-Part-Stamps"));
    std::replace(proofs.begin(), proofs.end(), ',', ' ');
    std::istringstream text(proofs);
    std::set<std::string> shards;
    for (std::string proof; text >> proof;) {
      CPPUNIT_ASSERT(proof.find("/" + aAnswer.mRequestId + "/") !=
                     std::string::npos);
      CPPUNIT_ASSERT(shards.insert(proof.substr(0, proof.rfind('-'))).second);
    }
    const std::size_t missing = std::stoul(
      std::string(FindHeader(headers, "Wasabispread-Missing-Parts")));
    CPPUNIT_ASSERT_EQUAL(kShards, shards.size() + missing);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(missing), missing <= aMostMissing);
    constexpr std::size_t kMostTargets = 2;
    std::map<std::string, std::size_t> runs;
    for (const TargetRun& run : mFleet->Runs()) {
      if (run.mRequestId == aAnswer.mRequestId) {
        CPPUNIT_ASSERT(++runs[run.mService] <= kMostTargets);
      }
    }
  }

  void QueriesShardsForEachOther()
  {
    for (std::size_t count = 0; count < 20; ++count) {
      ExpectSound(mFleet->Ask(Search(), count % kDaemons), 0);
    }
  }

  /** Asks at the daemons that are not harmed, from the harm on. */
  void AskOthers(std::size_t aHarmed)
  {
    const TimePoint until =
      std::chrono::steady_clock::now() + std::chrono::seconds(4);
    while (std::chrono::steady_clock::now() < until) {
      for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
        if (daemon != aHarmed) {
          // Those under way at the harm may lack an owner's shards.
          ExpectSound(mFleet->Ask(Search(), daemon), kShards / 2);
        }
      }
      boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
    }
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      if (daemon != aHarmed) {
        ExpectSound(mFleet->Ask(Search(), daemon), 0);
      }
    }
  }

  void AnswersWhileAnOwnerIsKilled()
  {
    mFleet->Daemon(1).Kill();
    AskOthers(1);
  }

  void AnswersWhileAnOwnerIsFrozen()
  {
    mFleet->Daemon(2).Freeze();
    AskOthers(2);
    mFleet->Daemon(2).Thaw();
    AwaitCondition([&] { return mFleet->IsReady(2); }, "it is ready again");
    ExpectSound(mFleet->Ask(Search(), 2), 0);
  }

  void AnswersWhileAnOwnerStops()
  {
    mFleet->Daemon(3).Terminate();
    AskOthers(3);
  }

private:
  std::unique_ptr<ForwarderFleet> mFleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DelegationProcessTests);
