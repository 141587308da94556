/*
 * Tests with replies that are late, out of order, duplicated, or sent by the
 * wrong owner or for another incarnation, against a model of the results that
 * each answer may hold.
 */
#include <tests/support/DeploymentText.h>
#include <wasabispread_decisions/wasabispread_decisions.h>

#include <map>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

/** An attempt that the coordinator sent. */
struct SentItem
{
  VmId mTargetOwner;
  RequestId mRequestId;
  SnapshotVersion mAsked;
  BatchItem mItem;
  bool mIsEnded = false;
};

/** One coordinator whose target owners are simulated by the test. */
class SimulatedOwners
{
public:
  explicit SimulatedOwners(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mState(MakeVmState(Identity(), aSeed))
  {
    std::vector<VmRecord> vms;
    for (const char* name : { "vm-a", "vm-b", "vm-c" }) {
      VmRecord vm;
      vm.mId = IdFromName<VmId>(name);
      vm.mName = name;
      vm.mZone = ZoneName(std::string("zone-") + name[3]);
      vm.mPeerAddress = Endpoint{ name, 1 };
      vms.push_back(vm);
    }
    Apply(VmListReceived{ vms });
    ServiceText service;
    service.mZones = { "zone-b", "zone-c" };
    ConfigurationRecord record;
    record.mRevision = Revision(1);
    record.mText = DeploymentText({ service });
    Apply(StoreWatched{ StoredConfiguration{ 1, record } });
  }

  void Step()
  {
    switch (mRandom.Below(12)) {
      case 0:
      case 1:
      case 2:
        Ask();
        break;
      case 3:
        Advance();
        break;
      case 4:
        Apply(CallerDisconnected{ CallerToken(mRandom.Below(mNextToken)) });
        break;
      case 5:
        Apply(PeerLost{ IdFromName<VmId>("vm-b") });
        break;
      default:
        Reply();
        break;
    }
  }

  void Finish()
  {
    mNow += std::chrono::minutes(1);
    Apply(Tick{});
    RC_ASSERT(mState.mCoordinator.mQueries.empty());
    RC_ASSERT(mState.mCoordinator.mAttempts.empty());
  }

private:
  static VmIdentity Identity()
  {
    VmIdentity identity;
    identity.mId = IdFromName<VmId>("vm-a");
    identity.mName = "vm-a";
    identity.mZone = ZoneName("zone-a");
    identity.mIncarnation = Incarnation(7);
    identity.mPeerAddress = Endpoint{ "vm-a", 1 };
    return identity;
  }

  void Ask()
  {
    CallerRequest request;
    request.mToken = CallerToken(mNextToken++);
    request.mRequestId = RequestId("r" + std::to_string(mNextToken));
    request.mService = "catalogue";
    request.mKey = "key";
    request.mOperation = static_cast<Operation>(mRandom.Below(3));
    request.mBody = std::make_shared<const std::string>();
    request.mTimeout = std::chrono::milliseconds(100);
    Apply(request);
  }

  void Advance()
  {
    mNow += std::chrono::milliseconds(mRandom.Below(40));
    Apply(Tick{});
  }

  /** Sends replies to up to four attempts, old or new, in any order. */
  void Reply()
  {
    if (mSent.empty()) {
      return;
    }
    BatchReply batch;
    const std::uint64_t anchor = mRandom.Below(mSent.size());
    const VmId owner = mRandom.Below(5) == 0 ? IdFromName<VmId>("vm-a")
                                             : mSent[anchor].mTargetOwner;
    batch.mIncarnation = Incarnation(mRandom.Below(6) == 0 ? 6 : 7);
    for (std::uint64_t count = 1 + mRandom.Below(4); count != 0; --count) {
      SentItem& sent = mSent[mRandom.Below(mSent.size())];
      batch.mItems.push_back(MakeReply(sent));
      const bool isValid =
        owner == sent.mTargetOwner && batch.mIncarnation == Incarnation(7);
      if (isValid && !sent.mIsEnded) {
        sent.mIsEnded = true;
        mDelivered[*batch.mItems.back().mBody] = sent.mRequestId;
      }
    }
    Apply(PeerMessageReceived{ owner, Endpoint{ "vm", 1 }, batch });
  }

  /** Makes a reply with a body that no other reply has, so that an answer shows
      which replies it used. */
  ItemReply MakeReply(const SentItem& aSent)
  {
    ItemReply reply;
    reply.mSequence = aSent.mItem.mSequence;
    reply.mOutcome = mRandom.Below(4) != 0
                       ? AttemptOutcome::kAnswered
                       : static_cast<AttemptOutcome>(mRandom.Below(3));
    reply.mReason = MissingReason::kShed;
    const bool isOther = aSent.mAsked.Value() == 0 || mRandom.Below(6) == 0;
    reply.mSnapshot =
      isOther ? SnapshotVersion(1 + mRandom.Below(3)) : aSent.mAsked;
    reply.mHeldSnapshots = { reply.mSnapshot };
    const std::string shard = std::to_string(aSent.mItem.mShard.Value());
    const std::string version = std::to_string(reply.mSnapshot.Value());
    reply.mBody = std::make_shared<const std::string>(
      std::to_string(mNextBody++) + ":" + shard + "@" + version);
    return reply;
  }

  void Apply(const Event& aEvent)
  {
    for (const Effect& effect : Reduce(mState, aEvent, mNow)) {
      if (const auto* send = std::get_if<SendToPeer>(&effect)) {
        RecordSent(*send);
      } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
        Check(*answer);
      }
    }
  }

  void RecordSent(const SendToPeer& aSend)
  {
    const auto* request = std::get_if<BatchRequest>(&aSend.mMessage);
    if (request == nullptr) {
      return;
    }
    for (const BatchItem& item : request->mItems) {
      RC_ASSERT(request->mBudget > Duration::zero());
      mSent.push_back(
        SentItem{ aSend.mPeer, request->mRequestId, request->mSnapshot, item });
    }
  }

  void Check(const AnswerCaller& aAnswer)
  {
    RC_ASSERT(mAnswered.insert(aAnswer.mToken).second);
    const auto* answer = std::get_if<Answer>(&aAnswer.mOutcome);
    if (answer == nullptr) {
      return;
    }
    for (const ShardResult& result : answer->mResults) {
      // A result must be the first reply to its attempt, sent by the attempt's
      // own owner to this incarnation.
      const auto delivered = mDelivered.find(*result.mBody);
      RC_ASSERT(delivered != mDelivered.end());
      RC_ASSERT(delivered->second == aAnswer.mRequestId);
      RC_ASSERT(result.mBody->ends_with(
        ":" + std::to_string(result.mShard.Value()) + "@" +
        std::to_string(answer->mSnapshot.Value())));
    }
  }

  Random mRandom;
  VmState mState;
  TimePoint mNow{ std::chrono::hours(1) };
  std::uint64_t mNextToken = 1;
  std::uint64_t mNextBody = 1;
  std::vector<SentItem> mSent;
  std::map<std::string, RequestId> mDelivered;
  std::set<CallerToken> mAnswered;
};

} // namespace

class CorrelationTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CorrelationTests);
  CPPUNIT_TEST(AnswersHoldOnlyTheirOwnReplies);
  CPPUNIT_TEST_SUITE_END();

public:
  void AnswersHoldOnlyTheirOwnReplies()
  {
    const bool held = rc::check("replies reach their own request, once",
                                [](std::uint64_t aSeed) {
                                  SimulatedOwners owners(aSeed);
                                  const auto steps = *rc::gen::inRange(1, 400);
                                  for (int step = 0; step < steps; ++step) {
                                    owners.Step();
                                  }
                                  owners.Finish();
                                });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CorrelationTests);
