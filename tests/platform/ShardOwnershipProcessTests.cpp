/*
 * Tests that real daemons of one zone, which query shards for each other, keep
 * answering searches while one of them is killed, frozen or stopped, or
 * connections between them went silent.
 */
#include "ForwarderFleet.h"

#include <algorithm>
#include <set>
#include <sstream>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

class ShardOwnershipProcessTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ShardOwnershipProcessTests);
  CPPUNIT_TEST(QueriesShardsForEachOther);
  CPPUNIT_TEST(AnswersWhileAnOwnerIsKilled);
  CPPUNIT_TEST(AnswersWhileAnOwnerIsFrozen);
  CPPUNIT_TEST(AnswersWhileAnOwnerStops);
  CPPUNIT_TEST(AnswersAfterConnectionsOfPeersWentSilent);
  CPPUNIT_TEST_SUITE_END();

public:
  static constexpr std::size_t kDaemons = 5;
  static constexpr std::size_t kShards = 44;

  void setUp() override { StartFleet(FleetLinks::kDirect); }

  void StartFleet(FleetLinks aLinks)
  {
    mFleet.reset();
    mFleet = std::make_unique<ForwarderFleet>(kDaemons, kShards, aLinks);
    AwaitCondition(
      [&] {
        return mFleet->Store().CountWithPrefix("vms/") == kDaemons &&
               WasSplitAmongVms(mFleet->SendRequest(Search(), 0).mRequestId);
      },
      "the VMs query shards for each other");
  }

  void tearDown() override { mFleet.reset(); }

  static ForwarderRequest Search()
  {
    ForwarderRequest request;
    request.mPath = "/search/q";
    return request;
  }

  /** Whether more than one VM answered a sub-search of a request. */
  bool WasSplitAmongVms(const std::string& aRequestId)
  {
    std::size_t vms = 0;
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      const auto lines = mFleet->LogRecords(daemon);
      vms += static_cast<std::size_t>(
        std::count_if(lines.begin(), lines.end(), [&](const auto& aLine) {
          return aLine.value("event", "") == "sub-search-answered" &&
                 aLine.value("request_id", "") == aRequestId;
        }));
    }
    return vms > 1;
  }

  /** Checks a reply to a search: each signature is of this request and of a
      different shard, the signed and the missing shards add up to all shards,
      and the request ran for no shard more often than the route allows. */
  void ExpectValidReply(const ForwarderReply& aReply, std::size_t aMaxMissing)
  {
    CPPUNIT_ASSERT(aReply.mResponse.has_value());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      aReply.mResponse->mBody, 200U, aReply.Status());
    const auto& headers = aReply.mResponse->mHeaders;
    std::string signatures(FindHeader(headers, "Wasabispread-Part-Stamps"));
    std::replace(signatures.begin(), signatures.end(), ',', ' ');
    std::istringstream text(signatures);
    std::set<std::string> shards;
    for (std::string signature; text >> signature;) {
      CPPUNIT_ASSERT(signature.find("/" + aReply.mRequestId + "/") !=
                     std::string::npos);
      CPPUNIT_ASSERT(
        shards.insert(signature.substr(0, signature.rfind('-'))).second);
    }
    const std::size_t missing = std::stoul(
      std::string(FindHeader(headers, "Wasabispread-Missing-Parts")));
    CPPUNIT_ASSERT_EQUAL(kShards, shards.size() + missing);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(missing), missing <= aMaxMissing);
    constexpr std::size_t kMaxTargets = 2;
    std::map<std::string, std::size_t> runs;
    for (const TargetRun& run : mFleet->Runs()) {
      if (run.mRequestId == aReply.mRequestId) {
        CPPUNIT_ASSERT(++runs[run.mService] <= kMaxTargets);
      }
    }
  }

  void QueriesShardsForEachOther()
  {
    for (std::size_t count = 0; count < 20; ++count) {
      ExpectValidReply(mFleet->SendRequest(Search(), count % kDaemons), 0);
    }
  }

  /** Sends searches for 4 s to the daemons that have not failed; at the end
      their replies must be complete. */
  void QueryOtherDaemons(std::size_t aFailedDaemon)
  {
    const TimePoint until =
      std::chrono::steady_clock::now() + std::chrono::seconds(4);
    while (std::chrono::steady_clock::now() < until) {
      for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
        if (daemon != aFailedDaemon) {
          // Searches that run while the daemon fails may lack the shards that
          // it owns.
          ExpectValidReply(mFleet->SendRequest(Search(), daemon), kShards / 2);
        }
      }
      boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
    }
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      if (daemon != aFailedDaemon) {
        ExpectValidReply(mFleet->SendRequest(Search(), daemon), 0);
      }
    }
  }

  void AnswersWhileAnOwnerIsKilled()
  {
    mFleet->Daemon(1).Kill();
    QueryOtherDaemons(1);
  }

  void AnswersWhileAnOwnerIsFrozen()
  {
    mFleet->Daemon(2).Freeze();
    QueryOtherDaemons(2);
    mFleet->Daemon(2).Thaw();
    AwaitCondition([&] { return mFleet->IsReady(2); },
                   "the continued daemon is ready again");
    ExpectValidReply(mFleet->SendRequest(Search(), 2), 0);
  }

  void AnswersWhileAnOwnerStops()
  {
    mFleet->Daemon(3).Terminate();
    QueryOtherDaemons(3);
  }

  void AnswersAfterConnectionsOfPeersWentSilent()
  {
    StartFleet(FleetLinks::kRelayed);
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      mFleet->PeerLink(daemon).SilenceOpen();
    }
    QueryOtherDaemons(kDaemons);
    CPPUNIT_ASSERT(mFleet->HasLogged(0, "sub-search-reclaimed"));
  }

private:
  std::unique_ptr<ForwarderFleet> mFleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShardOwnershipProcessTests);
