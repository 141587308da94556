/*
 * Tests of requests with keys: what runs, what targets and other VMs get, and
 * in which order.
 */
#include <tests/support/ForwarderHarness.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

namespace {

ForwarderPolicy
StrictPolicy()
{
  ForwarderPolicy policy = TestPolicy();
  policy.mKnowledgeRule = KnowledgeRule{ true, std::chrono::seconds(5) };
  return policy;
}

OrganisationDirectory
Organisations()
{
  OrganisationDirectory directory;
  Organisation urgent;
  urgent.mName = "urgent";
  urgent.mId = IdFromName<OrganisationId>(urgent.mName);
  urgent.mRank = 0;
  Organisation patient;
  patient.mName = "patient";
  patient.mId = IdFromName<OrganisationId>(patient.mName);
  patient.mRank = 3;
  CPPUNIT_ASSERT(directory.Add(urgent, { "key-u" }));
  CPPUNIT_ASSERT(directory.Add(patient, { "key-p" }));
  return directory;
}

CallerKey
Present(const std::string& aText)
{
  return { KeyForm::kPresent, aText };
}

} // namespace

class KeyAdmissionTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(KeyAdmissionTests);
  CPPUNIT_TEST(RunsOnlyRequestsWithAKey);
  CPPUNIT_TEST(StatesTheOrganisationOnly);
  CPPUNIT_TEST(ForwardsCredentialsWithoutOrganisations);
  CPPUNIT_TEST(ServesPublicRoutesWithoutKey);
  CPPUNIT_TEST(WithdrawsKeysWithTheConfiguration);
  CPPUNIT_TEST(RefusesWhatCannotBeReadAsNotRun);
  CPPUNIT_TEST(RefusesKeysWhenOutOfTouch);
  CPPUNIT_TEST(RefusesKeysAfterASuspension);
  CPPUNIT_TEST(SendsByRankOfTheOrganisationFirst);
  CPPUNIT_TEST(KeepsTheKeyFromOtherVms);
  CPPUNIT_TEST(RanksSubSearchesByTheirOrganisation);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mForwarder = std::make_unique<ForwarderHarness>(StrictPolicy());
    mForwarder->Configure(
      { SingleRoute("s", Repeatability::kIdempotent) }, Organisations(), 1);
    mForwarder->AddTarget("t", "s");
    StayInTouch();
  }

  /** The store answers a check now. */
  void StayInTouch()
  {
    mForwarder->mState.mFreshness.mSoundUntil = mForwarder->mNow;
  }

  const Problem& ProblemOf(CallerToken aToken)
  {
    return std::get<Problem>(*mForwarder->AnswerTo(aToken));
  }

  void RunsOnlyRequestsWithAKey()
  {
    for (const CallerKey& key : { CallerKey{},
                                  CallerKey{ KeyForm::kMalformed, {} },
                                  CallerKey{ KeyForm::kRepeated, {} },
                                  Present("none") }) {
      mForwarder->mKey = key;
      const Problem& problem = ProblemOf(mForwarder->Ask("/s/"));
      CPPUNIT_ASSERT(problem.mKind == ProblemKind::kUnauthorised);
      CPPUNIT_ASSERT(problem.mMessage.find("none") == std::string::npos);
    }
    CPPUNIT_ASSERT(mForwarder->Received().empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 },
                         mForwarder->mState.mCounters.mUnauthorised);
    mForwarder->mKey = Present("key-u");
    mForwarder->Ask("/s/");
    CPPUNIT_ASSERT(mForwarder->Has("t"));
  }

  /** Guards against a key that reaches a target or a log line. */
  void StatesTheOrganisationOnly()
  {
    mForwarder->mKey = Present("key-u");
    mForwarder->Ask("/s/");
    CPPUNIT_ASSERT_EQUAL(std::string("urgent"),
                         mForwarder->At("t").mOrganisation);
    CPPUNIT_ASSERT(!mForwarder->At("t").mHasCredentials);
    mForwarder->Reply("t", ReplyKind::kSuccess);
    mForwarder->mKey = Present("key-unknown");
    mForwarder->Ask("/s/");
    for (const auto& record : mForwarder->mDecisionRecords) {
      for (const auto& field : record.mFields) {
        if (const auto* text = std::get_if<std::string>(&field.mValue)) {
          CPPUNIT_ASSERT(text->find("key-u") == std::string::npos);
        }
      }
    }
  }

  void ForwardsCredentialsWithoutOrganisations()
  {
    mForwarder->Configure({ SingleRoute("s", Repeatability::kIdempotent) }, 2);
    mForwarder->mKey = Present("anything");
    mForwarder->Ask("/s/");
    CPPUNIT_ASSERT(mForwarder->At("t").mHasCredentials);
    CPPUNIT_ASSERT(mForwarder->At("t").mOrganisation.empty());
  }

  void ServesPublicRoutesWithoutKey()
  {
    Route open = SingleRoute("s", Repeatability::kIdempotent);
    open.mIsPublic = true;
    mForwarder->Configure({ open }, Organisations(), 2);
    mForwarder->RunFor(std::chrono::seconds(30));
    for (const CallerKey& key : { CallerKey{}, Present("none") }) {
      mForwarder->mKey = key;
      mForwarder->Ask("/s/");
      CPPUNIT_ASSERT(mForwarder->At("t").mOrganisation.empty());
      CPPUNIT_ASSERT(!mForwarder->At("t").mHasCredentials);
      mForwarder->Reply("t", ReplyKind::kSuccess);
    }
  }

  void WithdrawsKeysWithTheConfiguration()
  {
    OrganisationDirectory fewer;
    Organisation patient;
    patient.mName = "patient";
    patient.mId = IdFromName<OrganisationId>(patient.mName);
    CPPUNIT_ASSERT(fewer.Add(patient, { "key-p" }));
    mForwarder->Configure(
      { SingleRoute("s", Repeatability::kIdempotent) }, fewer, 2);
    StayInTouch();
    mForwarder->mKey = Present("key-u");
    CPPUNIT_ASSERT(ProblemOf(mForwarder->Ask("/s/")).mKind ==
                   ProblemKind::kUnauthorised);
    mForwarder->mKey = Present("key-p");
    mForwarder->Ask("/s/");
    CPPUNIT_ASSERT(mForwarder->Has("t"));
  }

  /** Guards against a request of a part that cannot be read which runs as
      another part says, or is rejected as if the part were not there. */
  void RefusesWhatCannotBeReadAsNotRun()
  {
    Route odd = SingleRoute("s", Repeatability::kIdempotent);
    odd.mName = "odd";
    odd.mPrefix = "/s/odd/";
    odd.mParts.clear();
    odd.mIsUnreadable = true;
    OrganisationDirectory organisations = Organisations();
    organisations.PutAside({ "key-p" });
    mForwarder->Configure(
      { SingleRoute("s", Repeatability::kIdempotent), odd }, organisations, 2);
    StayInTouch();
    const auto ask = [&](const char* aKey, const char* aPath) {
      mForwarder->mKey = Present(aKey);
      return ProblemOf(mForwarder->Ask(aPath));
    };
    for (const auto& [key, path] :
         { std::pair("key-p", "/s/x"), std::pair("key-u", "/s/odd/x") }) {
      const Problem problem = ask(key, path);
      CPPUNIT_ASSERT(problem.mKind == ProblemKind::kNotRun);
      CPPUNIT_ASSERT(problem.mRetryAfter.has_value());
    }
    CPPUNIT_ASSERT(ask("key-u", "/none/").mKind == ProblemKind::kNoRoute);
    auto unplaced = *mForwarder->mState.mConfiguration;
    unplaced.mHasUnplacedRoutes = true;
    mForwarder->mState.mConfiguration =
      std::make_shared<const RoutingConfiguration>(std::move(unplaced));
    CPPUNIT_ASSERT(ask("key-u", "/none/").mKind == ProblemKind::kNotRun);
    CPPUNIT_ASSERT(mForwarder->Received().empty());
    mForwarder->Ask("/s/x");
    CPPUNIT_ASSERT(mForwarder->Has("t"));
  }

  /** Guards against keys that a VM serves although it would not have learned of
      their withdrawal. The knowledge gets old where nothing answers. */
  void RefusesKeysWhenOutOfTouch()
  {
    CPPUNIT_ASSERT(mForwarder->mState.IsReady(mForwarder->mNow));
    mForwarder->mKey = Present("key-u");
    mForwarder->RunFor(std::chrono::milliseconds(4300));
    const Problem& problem = ProblemOf(mForwarder->Ask("/s/"));
    CPPUNIT_ASSERT(problem.mKind == ProblemKind::kNotRun);
    CPPUNIT_ASSERT(problem.mRetryAfter.has_value());
    CPPUNIT_ASSERT(problem.mClosesConnection);
    CPPUNIT_ASSERT(!mForwarder->mState.IsReady(mForwarder->mNow));
    CPPUNIT_ASSERT(mForwarder->Received().empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 },
                         mForwarder->mState.mCounters.mKnowledgeTooOld);
    StayInTouch();
    mForwarder->Ask("/s/");
    CPPUNIT_ASSERT(mForwarder->Has("t"));
  }

  void RefusesKeysAfterASuspension()
  {
    mForwarder->mKey = Present("key-u");
    mForwarder->Deliver(MachineSuspended{ std::chrono::seconds(6) });
    CPPUNIT_ASSERT(ProblemOf(mForwarder->Ask("/s/")).mKind ==
                   ProblemKind::kNotRun);
  }

  /** The load: a target whose connections are all busy. */
  void SendsByRankOfTheOrganisationFirst()
  {
    Route first = SingleRoute("s", Repeatability::kIdempotent);
    first.mPriority = 0;
    Route second = first;
    second.mName = "less urgent";
    second.mPrefix = "/second/";
    second.mPriority = 5;
    mForwarder->Configure({ first, second }, Organisations(), 2);
    StayInTouch();
    mForwarder->mKey = Present("key-p");
    std::vector<CallerToken> busy;
    busy.reserve(40);
    // More than a target's connections.
    for (int count = 0; count < 40; ++count) {
      busy.push_back(mForwarder->Ask("/s/"));
    }
    const std::size_t sent = mForwarder->Received().size();
    CPPUNIT_ASSERT(sent < busy.size());
    mForwarder->mKey = Present("key-u");
    const CallerToken urgent = mForwarder->Ask("/second/");
    CPPUNIT_ASSERT_EQUAL(sent, mForwarder->Received().size());
    mForwarder->Reply("t", ReplyKind::kSuccess);
    CPPUNIT_ASSERT_EQUAL("r-" + std::to_string(urgent.Value()),
                         mForwarder->Received().back().mId.Value());
  }

  /** They get the name and the rank of the organisation instead. */
  void KeepsTheKeyFromOtherVms()
  {
    AddOwners();
    mForwarder->mKey = Present("key-p");
    mForwarder->Ask("/search/");
    std::size_t subSearches = 0;
    for (const SendPeerMessage& message : mForwarder->mPeerMessages) {
      const auto* search = std::get_if<SubSearch>(&message.mMessage);
      if (search == nullptr || search->mShards.empty()) {
        continue;
      }
      ++subSearches;
      CPPUNIT_ASSERT_EQUAL(std::string("patient"), search->mOrganisation);
      CPPUNIT_ASSERT_EQUAL(3U, search->mRank);
      for (const RelayedField& field : search->mFields) {
        CPPUNIT_ASSERT(field.mValue.find("key-p") == std::string::npos);
      }
    }
    CPPUNIT_ASSERT(subSearches > 0);
  }

  /** Guards against a search that another VM takes for the most urgent one. */
  void RanksSubSearchesByTheirOrganisation()
  {
    mForwarder->AddTarget("shard", "shard-0");
    SubSearch search;
    search.mSequence = 1;
    search.mShards = { IdFromName<ServiceId>("shard-0") };
    search.mOrganisation = "patient";
    search.mRank = 3;
    search.mRouteRank = 1;
    search.mCallerTimeout = search.mSoftTimeout = std::chrono::seconds(1);
    mForwarder->Deliver(
      SubSearchArrived{ VmId(7),
                        Endpoint{ "vm-b", 1 },
                        search,
                        std::make_shared<const ForwardedRequest>() });
    CPPUNIT_ASSERT_EQUAL(std::string("patient"),
                         mForwarder->At("shard").mOrganisation);
    const RequestState& request = mForwarder->mState.mRequests.begin()->second;
    CPPUNIT_ASSERT(request.mOwner.mRank == (RequestRank{ 3, 1 }));
  }

private:
  /** More VMs of the zone, some of which own shards, and a search route. */
  void AddOwners()
  {
    mForwarder->Configure({ SearchRoute(40, 0.5) }, Organisations(), 2);
    for (const char* name : { "vm-b", "vm-c", "vm-d", "vm-e" }) {
      mForwarder->Change(MemberChange{
        MemberRecord{ name, ZoneName("a"), Endpoint{ name, 1 }, 1 } });
    }
    for (int shard = 0; shard < 40; ++shard) {
      mForwarder->AddTarget("t-" + std::to_string(shard),
                            "shard-" + std::to_string(shard));
    }
    StayInTouch();
  }

  std::unique_ptr<ForwarderHarness> mForwarder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyAdmissionTests);
