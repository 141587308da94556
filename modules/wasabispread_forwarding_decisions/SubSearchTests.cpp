/*
 * Tests of searches whose shards are queried by shard owners on other VMs, and
 * of the owners themselves.
 */
#include <tests/support/ForwarderHarness.h>

#include <algorithm>
#include <map>
#include <set>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

namespace {

constexpr std::size_t kShards = 48;

std::vector<ShardOwnerCandidate>
Candidates(std::size_t aCount)
{
  std::vector<ShardOwnerCandidate> vms;
  for (std::size_t vm = 0; vm < aCount; ++vm) {
    vms.push_back({ "vm-" + std::to_string(vm), vm % 3 == 0 ? 0.5 : 0.12 });
  }
  return vms;
}

/** The sub-searches that a VM sent. */
std::vector<std::pair<VmId, SubSearch>>
SentSubSearches(const ForwarderHarness& aForwarder)
{
  std::vector<std::pair<VmId, SubSearch>> sent;
  for (const SendPeerMessage& message : aForwarder.mPeerMessages) {
    if (const auto* search = std::get_if<SubSearch>(&message.mMessage)) {
      sent.emplace_back(message.mVm, *search);
    }
  }
  return sent;
}

std::vector<SubSearchReply>
Replies(const ForwarderHarness& aForwarder)
{
  std::vector<SubSearchReply> replies;
  for (const SendPeerMessage& message : aForwarder.mPeerMessages) {
    if (const auto* reply = std::get_if<SubSearchReply>(&message.mMessage)) {
      replies.push_back(*reply);
    }
  }
  return replies;
}

std::size_t
CountCancels(const ForwarderHarness& aForwarder, bool aIsCallerDisconnected)
{
  return static_cast<std::size_t>(std::count_if(
    aForwarder.mPeerMessages.begin(),
    aForwarder.mPeerMessages.end(),
    [&](const auto& aMessage) {
      const auto* cancel = std::get_if<SubSearchCancel>(&aMessage.mMessage);
      return cancel != nullptr &&
             cancel->mIsCallerDisconnected == aIsCallerDisconnected;
    }));
}

/** A record that consists of one letter. */
std::string
Record(char aLetter)
{
  return std::string(kRecordBytes, aLetter);
}

} // namespace

class SubSearchTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SubSearchTests);
  CPPUNIT_TEST(ChoosesVmsWithTheLargestProcessorShare);
  CPPUNIT_TEST(MovesOnlyShardsOfOwnersThatLeft);
  CPPUNIT_TEST(SendsEachShardToItsOwner);
  CPPUNIT_TEST(MergesResultsOfOwners);
  CPPUNIT_TEST(AnswersInPartAtTheSoftDeadline);
  CPPUNIT_TEST(QueriesShardsOfOwnersThatDoNotReply);
  CPPUNIT_TEST(WaitsForOwnersAfterItsOwnDelay);
  CPPUNIT_TEST(QueriesShardsOfOwnersWithBrokenConnections);
  CPPUNIT_TEST(RunsAShardAtNoMoreThanMaxTargets);
  CPPUNIT_TEST(HedgesSubSearchesOnlyOnceConfirmed);
  CPPUNIT_TEST(IgnoresRepliesToReclaimedSubSearches);
  CPPUNIT_TEST(CancelsSubSearchesWhenTheCallerDisconnects);
  CPPUNIT_TEST(IsNotReadyWhileAnOwnerIsIsolated);
  CPPUNIT_TEST(ReportsAtTheSoftDeadlineAndAtTheEnd);
  CPPUNIT_TEST(ClosesTargetConnectionsOfCancelledSubSearches);
  CPPUNIT_TEST(RefusesSubSearchesWhileStopping);
  CPPUNIT_TEST(AvoidsPausedTargetsForAllSearchesOfTheZone);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mForwarder = std::make_unique<ForwarderHarness>();
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      const std::string name = "shard-" + std::to_string(shard);
      mForwarder->AddTarget(name + "-a", name);
      mForwarder->AddTarget(name + "-b", name);
    }
    mForwarder->Change(MemberChange{ { "vm-a", ZoneName("a"), {}, 0.12 } });
    for (unsigned vm = 0; vm < 7; ++vm) {
      mForwarder->Change(MemberChange{ { "vm-" + std::to_string(vm),
                                         ZoneName("a"),
                                         Endpoint{ "vm", 1 },
                                         0.5 } });
    }
    mForwarder->Configure({ SearchRoute(kShards, 0.9) });
    mForwarder->RunFor(std::chrono::seconds(2));
    mForwarder->mPeerMessages.clear();
  }

  /** Replies to a sub-search as its owner would: with all of its shards, and
      one record. */
  void ReplyAsOwner(const SubSearch& aSearch, char aLetter, bool aIsLast = true)
  {
    SubSearchReply reply;
    reply.mSequence = aSearch.mSequence;
    for (std::uint32_t shard = 0; shard < aSearch.mShards.size(); ++shard) {
      reply.mShards.push_back(shard);
      reply.mSignatures.push_back("p" + std::to_string(aSearch.mSequence) +
                                  "." + std::to_string(shard));
    }
    reply.mRecords = Record(aLetter);
    reply.mIsLast = aIsLast;
    mForwarder->Deliver(
      SubSearchReplied{ VmId(1), Endpoint{ "vm", 1 }, reply });
  }

  void Acknowledge(const SubSearch& aSearch)
  {
    SubSearchReply reply;
    reply.mSequence = aSearch.mSequence;
    mForwarder->Deliver(
      SubSearchReplied{ VmId(1), Endpoint{ "vm", 1 }, reply });
  }

  void ChoosesVmsWithTheLargestProcessorShare()
  {
    CPPUNIT_ASSERT(ChooseShardOwners(Candidates(3)).empty());
    const auto owners = ChooseShardOwners(Candidates(18));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, owners.size());
    const std::set<std::string> large{ "vm-0", "vm-3",  "vm-6",
                                       "vm-9", "vm-12", "vm-15" };
    for (const std::string& owner : owners) {
      CPPUNIT_ASSERT(large.contains(owner));
    }
  }

  void MovesOnlyShardsOfOwnersThatLeft()
  {
    CPPUNIT_ASSERT(
      rc::check("the other owners keep their shards", [](std::uint8_t aGone) {
        auto owners = ChooseShardOwners(Candidates(40));
        const std::size_t gone = aGone % owners.size();
        auto left = owners;
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(gone));
        for (std::size_t shard = 0; shard < kShards; ++shard) {
          const auto id = IdFromName<ServiceId>(std::to_string(shard));
          const std::string& before = owners[ChooseShardOwner(owners, id)];
          RC_ASSERT(before == owners[gone] ||
                    before == left[ChooseShardOwner(left, id)]);
        }
      }));
  }

  void SendsEachShardToItsOwner()
  {
    mForwarder->Ask("/search/q");
    std::map<ServiceId, int> times;
    for (const auto& [vm, search] : SentSubSearches(*mForwarder)) {
      for (const ServiceId shard : search.mShards) {
        ++times[shard];
        CPPUNIT_ASSERT(
          IdFromName<VmId>(mForwarder->mState.mShardOwnership.OwnerOf(shard)) ==
          vm);
      }
      CPPUNIT_ASSERT(search.mSoftTimeout < std::chrono::milliseconds(120));
      CPPUNIT_ASSERT(search.mCallerTimeout <= std::chrono::seconds(1));
    }
    CPPUNIT_ASSERT_EQUAL(kShards, times.size());
    CPPUNIT_ASSERT(mForwarder->Received().empty());
    // A VM that owns no shards keeps no connections to their targets.
    CPPUNIT_ASSERT(mForwarder->mState.mConnections.empty());
  }

  void MergesResultsOfOwners()
  {
    const CallerToken caller = mForwarder->Ask("/search/q");
    char letter = 'a';
    for (const auto& [vm, search] : SentSubSearches(*mForwarder)) {
      CPPUNIT_ASSERT(mForwarder->AnswerTo(caller) == nullptr);
      ReplyAsOwner(search, letter++);
    }
    const auto* answer =
      std::get_if<SearchAnswer>(mForwarder->AnswerTo(caller));
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT_EQUAL(kShards, answer->mSignatures.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, answer->mMissingShards);
    CPPUNIT_ASSERT_EQUAL(Record('d') + Record('c') + Record('b'),
                         answer->mRecords);
  }

  void AnswersInPartAtTheSoftDeadline()
  {
    const CallerToken caller = mForwarder->Ask("/search/q");
    const auto sent = SentSubSearches(*mForwarder);
    for (const auto& [vm, search] : sent) {
      Acknowledge(search);
    }
    for (std::size_t index = 0; index < sent.size(); ++index) {
      SubSearchReply reply;
      reply.mSequence = sent[index].second.mSequence;
      const std::size_t count =
        sent[index].second.mShards.size() - (index == 0 ? 1 : 0);
      for (std::uint32_t shard = 0; shard < count; ++shard) {
        reply.mShards.push_back(shard);
        reply.mSignatures.push_back(std::to_string(index) + "." +
                                    std::to_string(shard));
      }
      mForwarder->Deliver(
        SubSearchReplied{ VmId(1), Endpoint{ "vm", 1 }, reply });
    }
    CPPUNIT_ASSERT(mForwarder->AnswerTo(caller) == nullptr);
    mForwarder->RunFor(std::chrono::milliseconds(120));
    const auto* answer =
      std::get_if<SearchAnswer>(mForwarder->AnswerTo(caller));
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, answer->mMissingShards);
    CPPUNIT_ASSERT_EQUAL(sent.size(), CountCancels(*mForwarder, false));
  }

  /** Simulates an isolated shard owner: its shards are queried here and are
      still in the answer. */
  void QueriesShardsOfOwnersThatDoNotReply()
  {
    const CallerToken caller = mForwarder->Ask("/search/q");
    const auto sent = SentSubSearches(*mForwarder);
    for (std::size_t index = 1; index < sent.size(); ++index) {
      ReplyAsOwner(sent[index].second, 'a');
    }
    mForwarder->RunFor(std::chrono::milliseconds(32));
    CPPUNIT_ASSERT_EQUAL(sent.front().second.mShards.size(),
                         mForwarder->Received().size());
    const auto received = mForwarder->Received();
    for (const ReceivedRequest& request : received) {
      mForwarder->Reply(request.mInstance, ReplyKind::kSuccess, Record('z'));
    }
    const auto* answer =
      std::get_if<SearchAnswer>(mForwarder->AnswerTo(caller));
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT_EQUAL(kShards, answer->mSignatures.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, CountCancels(*mForwarder, true));
    // The next search avoids that owner.
    mForwarder->mPeerMessages.clear();
    mForwarder->Ask("/search/q");
    for (const auto& [vm, search] : SentSubSearches(*mForwarder)) {
      CPPUNIT_ASSERT(vm != sent.front().first);
    }
  }

  void WaitsForOwnersAfterItsOwnDelay()
  {
    mForwarder->Ask("/search/q");
    const auto sent = SentSubSearches(*mForwarder);
    mForwarder->mNow += std::chrono::milliseconds(60);
    mForwarder->Deliver(ForwarderTick{});
    CPPUNIT_ASSERT(mForwarder->Received().empty());
    for (const auto& [vm, search] : sent) {
      Acknowledge(search);
    }
    mForwarder->RunFor(std::chrono::milliseconds(20));
    CPPUNIT_ASSERT(mForwarder->Received().empty());
  }

  void QueriesShardsOfOwnersWithBrokenConnections()
  {
    mForwarder->Ask("/search/q");
    const auto sent = SentSubSearches(*mForwarder);
    mForwarder->Deliver(VmLost{ sent.front().first });
    CPPUNIT_ASSERT_EQUAL(sent.front().second.mShards.size(),
                         mForwarder->Received().size());
  }

  /** Guards against a shard that runs at more targets than allowed: an owner
      that acknowledged may have sent it to as many targets as may run it
      (journal dd7bc15d: it ran at three where two were allowed). */
  void RunsAShardAtNoMoreThanMaxTargets()
  {
    mForwarder->Configure({ SearchRoute(kShards, 0.1) }, 2);
    mForwarder->Ask("/search/q");
    const auto sent = SentSubSearches(*mForwarder);
    Acknowledge(sent.front().second);
    mForwarder->Deliver(VmLost{ sent.front().first });
    CPPUNIT_ASSERT(mForwarder->Received().empty());
    // Without an acknowledgement, one target there and one here may run it, and
    // no hedge beside them.
    mForwarder->Deliver(VmLost{ sent.back().first });
    const std::size_t own = sent.back().second.mShards.size();
    CPPUNIT_ASSERT_EQUAL(own, mForwarder->Received().size());
    for (const auto& [vm, search] : sent) {
      Acknowledge(search);
    }
    mForwarder->RunFor(std::chrono::milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(own, mForwarder->Received().size());
  }

  void HedgesSubSearchesOnlyOnceConfirmed()
  {
    // A VM that is alone in its zone owns every shard.
    for (unsigned vm = 0; vm < 7; ++vm) {
      mForwarder->Change(MemberRemoval{ "vm-" + std::to_string(vm) });
    }
    mForwarder->RunFor(std::chrono::seconds(2));
    Receive(90, 2);
    mForwarder->RunFor(std::chrono::milliseconds(80));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, mForwarder->Received().size());
    mForwarder->Deliver(SubSearchConfirmed{ VmId(7), SubSearchConfirm{ 90 } });
    mForwarder->RunFor(std::chrono::milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, mForwarder->Received().size());
  }

  /** Guards against counting the records of a reclaimed sub-search twice. */
  void IgnoresRepliesToReclaimedSubSearches()
  {
    const CallerToken caller = mForwarder->Ask("/search/q");
    const auto sent = SentSubSearches(*mForwarder);
    mForwarder->Deliver(VmLost{ sent.front().first });
    ReplyAsOwner(sent.front().second, 'z');
    for (std::size_t index = 1; index < sent.size(); ++index) {
      ReplyAsOwner(sent[index].second, 'a');
    }
    const auto received = mForwarder->Received();
    for (const ReceivedRequest& request : received) {
      mForwarder->Reply(request.mInstance, ReplyKind::kSuccess, Record('b'));
    }
    const auto* answer =
      std::get_if<SearchAnswer>(mForwarder->AnswerTo(caller));
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT_EQUAL(Record('b') + Record('b') + Record('b'),
                         answer->mRecords);
  }

  void CancelsSubSearchesWhenTheCallerDisconnects()
  {
    const CallerToken caller = mForwarder->Ask("/search/q");
    mForwarder->Deliver(ForwarderCallerDisconnected{ caller });
    CPPUNIT_ASSERT_EQUAL(SentSubSearches(*mForwarder).size(),
                         CountCancels(*mForwarder, true));
    CPPUNIT_ASSERT(mForwarder->mState.mSubSearches.empty());
  }

  void IsNotReadyWhileAnOwnerIsIsolated()
  {
    mForwarder->Ask("/search/q");
    CPPUNIT_ASSERT(mForwarder->mState.IsReady(mForwarder->mNow));
    SubSearchReply reply;
    reply.mSequence = SentSubSearches(*mForwarder).front().second.mSequence;
    reply.mIsIsolated = true;
    mForwarder->Deliver(
      SubSearchReplied{ VmId(1), Endpoint{ "vm", 1 }, reply });
    CPPUNIT_ASSERT(!mForwarder->mState.IsReady(mForwarder->mNow));
    mForwarder->RunFor(std::chrono::seconds(3));
    CPPUNIT_ASSERT(mForwarder->mState.IsReady(mForwarder->mNow));
  }

  /** Sends this VM a sub-search from another VM. */
  SubSearch Receive(std::uint64_t aSequence, std::size_t aShards)
  {
    SubSearch search;
    search.mSequence = aSequence;
    search.mRequestId = RequestId("r-" + std::to_string(aSequence));
    search.mRoute = IdFromName<RouteId>("search").Value();
    for (std::size_t shard = 0; shard < aShards; ++shard) {
      search.mShards.push_back(
        IdFromName<ServiceId>("shard-" + std::to_string(shard)));
    }
    search.mTopRecords = 2;
    search.mMaxTargets = 2;
    search.mSoftTimeout = std::chrono::milliseconds(100);
    search.mCallerTimeout = std::chrono::milliseconds(900);
    ForwardedRequest request;
    request.mId = search.mRequestId;
    mForwarder->Deliver(
      SubSearchArrived{ VmId(7),
                        Endpoint{ "vm", 7 },
                        search,
                        std::make_shared<const ForwardedRequest>(request) });
    return search;
  }

  void ReportsAtTheSoftDeadlineAndAtTheEnd()
  {
    Receive(70, 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Replies(*mForwarder).size());
    const auto received = mForwarder->Received();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, received.size());
    mForwarder->Reply(
      received[0].mInstance, ReplyKind::kSuccess, Record('a') + Record('c'));
    mForwarder->Reply(received[1].mInstance, ReplyKind::kSuccess, Record('b'));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Replies(*mForwarder).size());
    mForwarder->RunFor(std::chrono::milliseconds(101));
    const auto atSoftDeadline = Replies(*mForwarder);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, atSoftDeadline.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, atSoftDeadline[1].mShards.size());
    CPPUNIT_ASSERT_EQUAL(Record('c') + Record('b'), atSoftDeadline[1].mRecords);
    CPPUNIT_ASSERT(!atSoftDeadline[1].mIsLast);
    mForwarder->Reply(received[2].mInstance, ReplyKind::kSuccess, Record('d'));
    const auto atEnd = Replies(*mForwarder);
    CPPUNIT_ASSERT(atEnd.back().mIsLast);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, atEnd.back().mShards.size());
    CPPUNIT_ASSERT_EQUAL(Record('d'), atEnd.back().mRecords);
    CPPUNIT_ASSERT(mForwarder->mState.mReceivedSubSearches.empty());
  }

  void ClosesTargetConnectionsOfCancelledSubSearches()
  {
    Receive(71, 3);
    const std::size_t closed = mForwarder->mClosed.size();
    mForwarder->Deliver(
      SubSearchCancelled{ VmId(7), SubSearchCancel{ 71, true } });
    CPPUNIT_ASSERT_EQUAL(closed + 3, mForwarder->mClosed.size());
    Receive(72, 3);
    mForwarder->Deliver(VmLost{ VmId(7) });
    CPPUNIT_ASSERT_EQUAL(closed + 6, mForwarder->mClosed.size());
    CPPUNIT_ASSERT(mForwarder->mState.mRequests.empty());
  }

  void RefusesSubSearchesWhileStopping()
  {
    mForwarder->Deliver(ForwarderStopRequested{});
    Receive(73, 3);
    CPPUNIT_ASSERT(Replies(*mForwarder).back().mIsRefused);
    CPPUNIT_ASSERT(mForwarder->Received().empty());
  }

  /** Simulates a pause of one target under the searches of a whole zone: only
      the first of them is sent to it, the others to the other target of the
      shard. */
  void AvoidsPausedTargetsForAllSearchesOfTheZone()
  {
    const auto answerAll = [&] {
      const auto received = mForwarder->Received();
      for (const ReceivedRequest& request : received) {
        mForwarder->Reply(request.mInstance, ReplyKind::kSuccess, Record('a'));
      }
    };
    std::uint64_t sequence = 100;
    for (unsigned search = 0; search < 40; ++search) {
      Receive(++sequence, 1);
      mForwarder->RunFor(std::chrono::milliseconds(10));
      answerAll();
    }
    Receive(++sequence, 1);
    const std::string paused = mForwarder->Received().front().mInstance;
    std::size_t timesSelected = 1;
    for (unsigned search = 0; search < 8; ++search) {
      mForwarder->RunFor(std::chrono::milliseconds(45));
      Receive(++sequence, 1);
      timesSelected +=
        mForwarder->Received().back().mInstance == paused ? 1 : 0;
      mForwarder->RunFor(std::chrono::milliseconds(10));
      const auto received = mForwarder->Received();
      for (const ReceivedRequest& request : received) {
        if (request.mInstance != paused) {
          mForwarder->Reply(
            request.mInstance, ReplyKind::kSuccess, Record('a'));
        }
      }
    }
    CPPUNIT_ASSERT(timesSelected <= 2);
  }

private:
  std::unique_ptr<ForwarderHarness> mForwarder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SubSearchTests);
