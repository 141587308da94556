/*
 * Tests of searches whose shards other VMs of the zone query.
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

std::vector<OwnerCandidate>
Candidates(std::size_t aCount)
{
  std::vector<OwnerCandidate> vms;
  for (std::size_t vm = 0; vm < aCount; ++vm) {
    vms.push_back({ "vm-" + std::to_string(vm), vm % 3 == 0 ? 0.5 : 0.12 });
  }
  return vms;
}

/** The sub-searches that a VM sent. */
std::vector<std::pair<VmId, SubSearch>>
Sent(const ForwarderHarness& aForwarder)
{
  std::vector<std::pair<VmId, SubSearch>> sent;
  for (const SendPeerMessage& told : aForwarder.mTold) {
    if (const auto* search = std::get_if<SubSearch>(&told.mMessage)) {
      sent.emplace_back(told.mVm, *search);
    }
  }
  return sent;
}

std::vector<SubSearchReply>
Replies(const ForwarderHarness& aForwarder)
{
  std::vector<SubSearchReply> replies;
  for (const SendPeerMessage& told : aForwarder.mTold) {
    if (const auto* reply = std::get_if<SubSearchReply>(&told.mMessage)) {
      replies.push_back(*reply);
    }
  }
  return replies;
}

std::size_t
Cancels(const ForwarderHarness& aForwarder, bool aIsCallerGone)
{
  return static_cast<std::size_t>(std::count_if(
    aForwarder.mTold.begin(), aForwarder.mTold.end(), [&](const auto& aTold) {
      const auto* cancel = std::get_if<SubSearchCancel>(&aTold.mMessage);
      return cancel != nullptr &&
             cancel->mIsCallerDisconnected == aIsCallerGone;
    }));
}

/** A record of one letter. */
std::string
Record(char aLetter)
{
  return std::string(kRecordBytes, aLetter);
}

} // namespace

class DelegationTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DelegationTests);
  CPPUNIT_TEST(ChoosesTheLargestVms);
  CPPUNIT_TEST(MovesOnlyTheShardsOfOwnersThatLeft);
  CPPUNIT_TEST(HandsEachShardToItsOwner);
  CPPUNIT_TEST(MergesWhatOwnersFound);
  CPPUNIT_TEST(AnswersInPartAtTheAim);
  CPPUNIT_TEST(QueriesShardsOfSilentOwnersItself);
  CPPUNIT_TEST(BearsWithOwnersWhenItWasHeldUpItself);
  CPPUNIT_TEST(QueriesShardsOfLostOwnersItself);
  CPPUNIT_TEST(KeepsToTheMostTargetsOfAShard);
  CPPUNIT_TEST(HedgesOnlyOnceConfirmed);
  CPPUNIT_TEST(IgnoresRepliesToWhatItTookBack);
  CPPUNIT_TEST(TellsOwnersThatTheCallerLeft);
  CPPUNIT_TEST(IsCutOffWhenAnOwnerIs);
  CPPUNIT_TEST(ReportsAtTheAimAndAtTheEnd);
  CPPUNIT_TEST(StopsTargetsForACallerThatLeft);
  CPPUNIT_TEST(RefusesWhileStopping);
  CPPUNIT_TEST(KnowsPausesFromAllSearchesOfTheZone);
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
    mForwarder->mTold.clear();
  }

  /** Replies in full, and with one record, to what an owner was sent. */
  void ReplyFor(const SubSearch& aSearch, char aLetter, bool aIsLast = true)
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

  void Begin(const SubSearch& aSearch)
  {
    SubSearchReply reply;
    reply.mSequence = aSearch.mSequence;
    mForwarder->Deliver(
      SubSearchReplied{ VmId(1), Endpoint{ "vm", 1 }, reply });
  }

  void ChoosesTheLargestVms()
  {
    CPPUNIT_ASSERT(ChooseOwners(Candidates(3)).empty());
    const auto owners = ChooseOwners(Candidates(18));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, owners.size());
    const std::set<std::string> large{ "vm-0", "vm-3",  "vm-6",
                                       "vm-9", "vm-12", "vm-15" };
    for (const std::string& owner : owners) {
      CPPUNIT_ASSERT(large.contains(owner));
    }
  }

  void MovesOnlyTheShardsOfOwnersThatLeft()
  {
    rc::check("the others keep their shards", [](std::uint8_t aGone) {
      auto owners = ChooseOwners(Candidates(40));
      const std::size_t gone = aGone % owners.size();
      auto left = owners;
      left.erase(left.begin() + static_cast<std::ptrdiff_t>(gone));
      for (std::size_t shard = 0; shard < kShards; ++shard) {
        const auto id = IdFromName<ServiceId>(std::to_string(shard));
        const std::string& before = owners[ChooseOwner(owners, id)];
        RC_ASSERT(before == owners[gone] ||
                  before == left[ChooseOwner(left, id)]);
      }
    });
  }

  void HandsEachShardToItsOwner()
  {
    mForwarder->Ask("/search/q");
    std::map<ServiceId, int> times;
    for (const auto& [vm, search] : Sent(*mForwarder)) {
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
    // A VM that owns nothing keeps no connections to the shards.
    CPPUNIT_ASSERT(mForwarder->mState.mConnections.empty());
  }

  void MergesWhatOwnersFound()
  {
    const CallerToken caller = mForwarder->Ask("/search/q");
    char letter = 'a';
    for (const auto& [vm, search] : Sent(*mForwarder)) {
      CPPUNIT_ASSERT(mForwarder->AnswerTo(caller) == nullptr);
      ReplyFor(search, letter++);
    }
    const auto* answer =
      std::get_if<SearchAnswer>(mForwarder->AnswerTo(caller));
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT_EQUAL(kShards, answer->mSignatures.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, answer->mMissingShards);
    CPPUNIT_ASSERT_EQUAL(Record('d') + Record('c') + Record('b'),
                         answer->mRecords);
  }

  void AnswersInPartAtTheAim()
  {
    const CallerToken caller = mForwarder->Ask("/search/q");
    const auto sent = Sent(*mForwarder);
    for (const auto& [vm, search] : sent) {
      Begin(search);
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
    CPPUNIT_ASSERT_EQUAL(sent.size(), Cancels(*mForwarder, false));
  }

  /** Plays an owner that is cut off: its shards are still in the answer. */
  void QueriesShardsOfSilentOwnersItself()
  {
    const CallerToken caller = mForwarder->Ask("/search/q");
    const auto sent = Sent(*mForwarder);
    for (std::size_t index = 1; index < sent.size(); ++index) {
      ReplyFor(sent[index].second, 'a');
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
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Cancels(*mForwarder, true));
    // The next search leaves that owner out.
    mForwarder->mTold.clear();
    mForwarder->Ask("/search/q");
    for (const auto& [vm, search] : Sent(*mForwarder)) {
      CPPUNIT_ASSERT(vm != sent.front().first);
    }
  }

  void BearsWithOwnersWhenItWasHeldUpItself()
  {
    mForwarder->Ask("/search/q");
    const auto sent = Sent(*mForwarder);
    mForwarder->mNow += std::chrono::milliseconds(60);
    mForwarder->Deliver(ForwarderTick{});
    CPPUNIT_ASSERT(mForwarder->Received().empty());
    for (const auto& [vm, search] : sent) {
      Begin(search);
    }
    mForwarder->RunFor(std::chrono::milliseconds(20));
    CPPUNIT_ASSERT(mForwarder->Received().empty());
  }

  void QueriesShardsOfLostOwnersItself()
  {
    mForwarder->Ask("/search/q");
    const auto sent = Sent(*mForwarder);
    mForwarder->Deliver(VmLost{ sent.front().first });
    CPPUNIT_ASSERT_EQUAL(sent.front().second.mShards.size(),
                         mForwarder->Received().size());
  }

  /** An owner that began may have sent a shard to as many targets as may run
      it; journal dd7bc15d shows three of two. */
  void KeepsToTheMostTargetsOfAShard()
  {
    mForwarder->Configure({ SearchRoute(kShards, 0.1) }, 2);
    mForwarder->Ask("/search/q");
    const auto sent = Sent(*mForwarder);
    Begin(sent.front().second);
    mForwarder->Deliver(VmLost{ sent.front().first });
    CPPUNIT_ASSERT(mForwarder->Received().empty());
    // Unconfirmed: one target there, one here, and no hedge beside it.
    mForwarder->Deliver(VmLost{ sent.back().first });
    const std::size_t own = sent.back().second.mShards.size();
    CPPUNIT_ASSERT_EQUAL(own, mForwarder->Received().size());
    for (const auto& [vm, search] : sent) {
      Begin(search);
    }
    mForwarder->RunFor(std::chrono::milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(own, mForwarder->Received().size());
  }

  void HedgesOnlyOnceConfirmed()
  {
    // Alone in its zone it owns every shard.
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

  /** Its records would count twice. */
  void IgnoresRepliesToWhatItTookBack()
  {
    const CallerToken caller = mForwarder->Ask("/search/q");
    const auto sent = Sent(*mForwarder);
    mForwarder->Deliver(VmLost{ sent.front().first });
    ReplyFor(sent.front().second, 'z');
    for (std::size_t index = 1; index < sent.size(); ++index) {
      ReplyFor(sent[index].second, 'a');
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

  void TellsOwnersThatTheCallerLeft()
  {
    const CallerToken caller = mForwarder->Ask("/search/q");
    mForwarder->Deliver(ForwarderCallerDisconnected{ caller });
    CPPUNIT_ASSERT_EQUAL(Sent(*mForwarder).size(), Cancels(*mForwarder, true));
    CPPUNIT_ASSERT(mForwarder->mState.mSubSearches.empty());
  }

  void IsCutOffWhenAnOwnerIs()
  {
    mForwarder->Ask("/search/q");
    CPPUNIT_ASSERT(mForwarder->mState.IsReady(mForwarder->mNow));
    SubSearchReply reply;
    reply.mSequence = Sent(*mForwarder).front().second.mSequence;
    reply.mIsIsolated = true;
    mForwarder->Deliver(
      SubSearchReplied{ VmId(1), Endpoint{ "vm", 1 }, reply });
    CPPUNIT_ASSERT(!mForwarder->mState.IsReady(mForwarder->mNow));
    mForwarder->RunFor(std::chrono::seconds(3));
    CPPUNIT_ASSERT(mForwarder->mState.IsReady(mForwarder->mNow));
  }

  /** Has this VM work for another one. */
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

  void ReportsAtTheAimAndAtTheEnd()
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
    const auto atAim = Replies(*mForwarder);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, atAim.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, atAim[1].mShards.size());
    CPPUNIT_ASSERT_EQUAL(Record('c') + Record('b'), atAim[1].mRecords);
    CPPUNIT_ASSERT(!atAim[1].mIsLast);
    mForwarder->Reply(received[2].mInstance, ReplyKind::kSuccess, Record('d'));
    const auto atEnd = Replies(*mForwarder);
    CPPUNIT_ASSERT(atEnd.back().mIsLast);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, atEnd.back().mShards.size());
    CPPUNIT_ASSERT_EQUAL(Record('d'), atEnd.back().mRecords);
    CPPUNIT_ASSERT(mForwarder->mState.mSearchesForVms.empty());
  }

  void StopsTargetsForACallerThatLeft()
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

  void RefusesWhileStopping()
  {
    mForwarder->Deliver(ForwarderStopRequested{});
    Receive(73, 3);
    CPPUNIT_ASSERT(Replies(*mForwarder).back().mIsRefused);
    CPPUNIT_ASSERT(mForwarder->Received().empty());
  }

  /** Plays a pause of one target under the searches of a whole zone: only the
      first of them meets it, the others go to its sibling. */
  void KnowsPausesFromAllSearchesOfTheZone()
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
    std::size_t met = 1;
    for (unsigned search = 0; search < 8; ++search) {
      mForwarder->RunFor(std::chrono::milliseconds(45));
      Receive(++sequence, 1);
      met += mForwarder->Received().back().mInstance == paused ? 1 : 0;
      mForwarder->RunFor(std::chrono::milliseconds(10));
      const auto received = mForwarder->Received();
      for (const ReceivedRequest& request : received) {
        if (request.mInstance != paused) {
          mForwarder->Reply(
            request.mInstance, ReplyKind::kSuccess, Record('a'));
        }
      }
    }
    CPPUNIT_ASSERT(met <= 2);
  }

private:
  std::unique_ptr<ForwarderHarness> mForwarder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DelegationTests);
