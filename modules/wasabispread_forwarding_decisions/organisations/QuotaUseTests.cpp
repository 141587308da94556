/*
 * Tests of quota at one VM: claims, grants, requests that wait, and failures of
 * the VMs that are asked.
 */
#include <tests/support/ForwarderHarness.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <random>

using namespace wasabispread;
using namespace wasabispread::forwarding;
using namespace wasabispread::testing;

namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);

ForwarderPolicy
PolicyOf(const std::string& aVm)
{
  ForwarderPolicy policy = TestPolicy();
  policy.mName = aVm;
  policy.mQuotaRule = QuotaRule{ std::chrono::seconds(5), 0.1, 20 };
  return policy;
}

const OrganisationId kId = IdFromName<OrganisationId>("acme");
constexpr OrganisationLimit kLimit{ 10, 5 };

OrganisationDirectory
Organisations(const OrganisationLimit& aLimit = kLimit)
{
  OrganisationDirectory directory;
  Organisation acme;
  acme.mName = "acme";
  acme.mId = kId;
  acme.mLimit = aLimit;
  CPPUNIT_ASSERT(directory.Add(acme, { "key" }));
  return directory;
}

/** A VM with one route and one target. */
std::unique_ptr<ForwarderHarness>
MakeVm(const std::string& aName = "vm-a")
{
  auto vm = std::make_unique<ForwarderHarness>(PolicyOf(aName));
  vm->Configure(
    { SingleRoute("s", Repeatability::kIdempotent) }, Organisations(), 1);
  vm->AddTarget("t", "s");
  vm->mKey = { KeyForm::kPresent, "key" };
  return vm;
}

void
Join(ForwarderHarness& aVm,
     const std::string& aName,
     const std::string& aZone,
     double aShare = 1)
{
  aVm.Change(MemberChange{
    MemberRecord{ aName, ZoneName(aZone), Endpoint{ aName, 1 }, aShare } });
}

/** Another VM has claimed all partitions. */
void
ClaimBy(ForwarderHarness& aVm, const std::string& aName, std::uint64_t aTerm)
{
  for (std::uint32_t number = 0; number < kQuotaPartitions; ++number) {
    aVm.Change(QuotaClaimChange{
      number, aName, Endpoint{ aName, 1 }, StoreRevision(aTerm) });
  }
}

/** The last unanswered question for quota to a VM; null when there is none. */
const QuotaRequest*
QuestionTo(const ForwarderHarness& aVm, const std::string& aName)
{
  for (auto message = aVm.mPeerMessages.rbegin();
       message != aVm.mPeerMessages.rend();
       ++message) {
    const auto* question = std::get_if<QuotaRequest>(&message->mMessage);
    if (question != nullptr && message->mVm == IdFromName<VmId>(aName)) {
      return question;
    }
  }
  return nullptr;
}

/** Answers the last question to a granting VM with as much as it asks for. */
void
Grant(ForwarderHarness& aVm, const std::string& aName, std::uint64_t aTerm)
{
  const QuotaRequest question = *QuestionTo(aVm, aName);
  QuotaReply reply;
  reply.mSequence = question.mSequence;
  reply.mValid = std::chrono::seconds(3);
  for (const QuotaNeed& need : question.mNeeds) {
    reply.mGrants.push_back({ need.mOrganisation,
                              aTerm,
                              need.mReceived + need.mWaiting + need.mWanted,
                              {},
                              {} });
  }
  aVm.Deliver(QuotaReplied{ IdFromName<VmId>(aName), reply });
}

ProblemKind
KindOf(const ForwarderHarness& aVm, CallerToken aToken)
{
  return std::get<Problem>(*aVm.AnswerTo(aToken)).mKind;
}

/** The VM claims all partitions. */
void
Claim(ForwarderHarness& aVm)
{
  aVm.Deliver(LeaseGranted{ LeaseId(1) });
  aVm.Deliver(MemberWritten{ std::monostate{} });
  aVm.RunFor(2 * kSecond);
  CPPUNIT_ASSERT(aVm.mLeaseGrants.back().mPurpose == LeasePurpose::kQuota);
  aVm.Deliver(LeaseGranted{ LeaseId(2), LeasePurpose::kQuota });
  CPPUNIT_ASSERT_EQUAL(std::size_t{ kQuotaPartitions },
                       aVm.mClaims.back().mClaims.size());
  aVm.Deliver(QuotaClaimed{ std::optional(StoreRevision(50)) });
}

/** The store's part in claims: leases that end, and claims bound to them. */
class ClaimStore
{
public:
  LeaseId GrantAt(TimePoint aNow)
  {
    mEnds[++mNextLease] = aNow + std::chrono::seconds(4);
    return LeaseId(mNextLease);
  }

  bool RenewAt(LeaseId aLease, TimePoint aNow)
  {
    End(aNow);
    const auto lease = mEnds.find(aLease.Value());
    if (lease == mEnds.end()) {
      return false;
    }
    lease->second = aNow + std::chrono::seconds(4);
    return true;
  }

  std::optional<StoreRevision> ClaimAt(const ClaimQuota& aClaims,
                                       TimePoint aNow)
  {
    End(aNow);
    if (!mEnds.contains(aClaims.mLease.Value())) {
      return std::nullopt;
    }
    for (const QuotaClaim& claim : aClaims.mClaims) {
      const auto known = mClaims.find(claim.mPartition);
      const std::uint64_t revision =
        known == mClaims.end() ? 0 : known->second.first;
      if (revision != claim.mKnown.Value()) {
        return std::nullopt;
      }
    }
    ++mRevision;
    for (const QuotaClaim& claim : aClaims.mClaims) {
      mClaims[claim.mPartition] = { mRevision, aClaims.mLease.Value() };
    }
    return StoreRevision(mRevision);
  }

  void EndLease(LeaseId aLease) { mEnds.erase(aLease.Value()); }

  /** Removes what has ended. */
  void End(TimePoint aNow)
  {
    std::erase_if(mEnds,
                  [&](const auto& aLease) { return aLease.second <= aNow; });
    std::erase_if(mClaims, [&](const auto& aClaim) {
      return !mEnds.contains(aClaim.second.second);
    });
  }

  /** The revision and the lease of each partition's claim. */
  std::map<std::uint32_t, std::pair<std::uint64_t, std::uint64_t>> mClaims;

private:
  std::map<std::uint64_t, TimePoint> mEnds;
  std::uint64_t mNextLease = 10;
  std::uint64_t mRevision = 100;
};

} // namespace

class QuotaUseTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuotaUseTests);
  CPPUNIT_TEST(ServesTheAllowanceAndRefusesTheRest);
  CPPUNIT_TEST(StopsGrantingBeforeItsLeaseEnds);
  CPPUNIT_TEST(TakesItsOwnClaimsBackAfterARestart);
  CPPUNIT_TEST(LetsRequestsWaitForAGrant);
  CPPUNIT_TEST(RefusesWhenTheGranterDoesNotAnswer);
  CPPUNIT_TEST(RefusesWhatArrivedAfterAQuestionThatIsNotAnswered);
  CPPUNIT_TEST(RefusesWhenTheClaimGoes);
  CPPUNIT_TEST(CountsOnWhenALimitIsLiftedAndSetAgain);
  CPPUNIT_TEST(GivesBackGrantsThatEndedInAStandstill);
  CPPUNIT_TEST(GivesToItsZoneForAsLongAsItMayUseIt);
  CPPUNIT_TEST(IgnoresLateGrants);
  CPPUNIT_TEST(TakesBackQuotaOfRequestsThatDidNotRun);
  CPPUNIT_TEST(TakesBackQuotaThatItsZoneGave);
  CPPUNIT_TEST(AsksAVmOfItsZone);
  CPPUNIT_TEST(GivesQuotaToVmsOfItsZone);
  CPPUNIT_TEST(TakesAnotherWayWhenAVmOfItsZoneIsSilent);
  CPPUNIT_TEST(RefusesWaitingRequestsInAStop);
  CPPUNIT_TEST(ForgetsCallersThatLeave);
  CPPUNIT_TEST(GrantsAtOneVmAtATime);
  CPPUNIT_TEST_SUITE_END();

public:
  void ServesTheAllowanceAndRefusesTheRest()
  {
    auto vm = MakeVm();
    Claim(*vm);
    vm->RunFor(10 * kSecond);
    // Keeps the lease.
    vm->mState.mQuota.mClaims.mLease.mEnds = vm->mNow + 60 * kSecond;
    std::size_t served = 0;
    std::size_t refused = 0;
    for (int count = 0; count < 500; ++count) {
      const CallerToken token = vm->Ask("/s/");
      if (vm->AnswerTo(token) == nullptr) {
        ++served;
        vm->Reply("t", ReplyKind::kSuccess);
      } else {
        ++refused;
        const auto& problem = std::get<Problem>(*vm->AnswerTo(token));
        CPPUNIT_ASSERT(problem.mKind == ProblemKind::kOverQuota);
        CPPUNIT_ASSERT(*problem.mRetryAfter > Duration::zero());
      }
      vm->RunFor(10 * kMillisecond);
    }
    const double most = MaxInWindow(kLimit, vm->mState.mPolicy.mQuotaRule);
    const double owed = kLimit.mRatePerSecond * 5 + kLimit.mBurst;
    CPPUNIT_ASSERT(static_cast<double>(served) <= most);
    CPPUNIT_ASSERT(static_cast<double>(served) >= owed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ refused },
                         vm->mState.mCounters.mOverQuota);
  }

  /** Guards against two VMs that grant the same quota: the store may let
      another one begin when the lease has ended. */
  void StopsGrantingBeforeItsLeaseEnds()
  {
    auto vm = MakeVm();
    Claim(*vm);
    const auto& partition =
      vm->mState.mQuota.mClaims.mPartitions[PartitionOf(kId)];
    CPPUNIT_ASSERT(IsGranting(vm->mState, partition, vm->mNow));
    // Its renewals are not answered.
    vm->RunFor(4 * kSecond);
    CPPUNIT_ASSERT(!vm->mLeaseRenewals.empty());
    CPPUNIT_ASSERT(!IsGranting(vm->mState, partition, vm->mNow));
    CPPUNIT_ASSERT(KindOf(*vm, vm->Ask("/s/")) == ProblemKind::kNotRun);
    vm->Deliver(LeaseRenewed{ true, LeasePurpose::kQuota });
  }

  void TakesItsOwnClaimsBackAfterARestart()
  {
    auto vm = MakeVm();
    ClaimBy(*vm, "vm-a", 40);
    CPPUNIT_ASSERT(vm->mLeaseGrants.back().mPurpose == LeasePurpose::kQuota);
    vm->Deliver(LeaseGranted{ LeaseId(2), LeasePurpose::kQuota });
    const ClaimQuota& claims = vm->mClaims.back();
    CPPUNIT_ASSERT(claims.mClaims.front().mKnown == StoreRevision(40));
    vm->Deliver(QuotaClaimed{ std::optional(StoreRevision(60)) });
    const auto& partition =
      vm->mState.mQuota.mClaims.mPartitions[claims.mClaims.front().mPartition];
    CPPUNIT_ASSERT(IsGranting(vm->mState, partition, vm->mNow));
    CPPUNIT_ASSERT(!partition.mMayGrantAtOnce);
  }

  void LetsRequestsWaitForAGrant()
  {
    auto vm = MakeVm();
    Join(*vm, "vm-g", "b");
    ClaimBy(*vm, "vm-g", 40);
    const CallerToken token = vm->Ask("/s/");
    CPPUNIT_ASSERT(vm->AnswerTo(token) == nullptr);
    CPPUNIT_ASSERT(vm->Received().empty());
    CPPUNIT_ASSERT_EQUAL(1U, QuestionTo(*vm, "vm-g")->mNeeds[0].mWaiting);
    vm->RunFor(8 * kMillisecond);
    Grant(*vm, "vm-g", 40);
    CPPUNIT_ASSERT(vm->Has("t"));
    // What was granted in advance serves the next one without a question.
    const std::size_t messages = vm->mPeerMessages.size();
    vm->Ask("/s/");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, vm->Received().size());
    CPPUNIT_ASSERT_EQUAL(messages, vm->mPeerMessages.size());
  }

  void RefusesWhenTheGranterDoesNotAnswer()
  {
    auto vm = MakeVm();
    Join(*vm, "vm-g", "b");
    ClaimBy(*vm, "vm-g", 40);
    const CallerToken token = vm->Ask("/s/");
    vm->RunFor(249 * kMillisecond);
    CPPUNIT_ASSERT(vm->AnswerTo(token) == nullptr);
    vm->RunFor(2 * kMillisecond);
    CPPUNIT_ASSERT(KindOf(*vm, token) == ProblemKind::kNotRun);
    // The next one does not wait for nothing.
    CPPUNIT_ASSERT(KindOf(*vm, vm->Ask("/s/")) == ProblemKind::kNotRun);
    vm->RunFor(kSecond);
    CPPUNIT_ASSERT(vm->AnswerTo(vm->Ask("/s/")) == nullptr);
    vm->Deliver(VmLost{ IdFromName<VmId>("vm-g") });
    CPPUNIT_ASSERT(vm->mState.mQuota.mWaitingFor.empty());
    CPPUNIT_ASSERT(vm->Received().empty());
  }

  void IgnoresLateGrants()
  {
    auto vm = MakeVm();
    Join(*vm, "vm-g", "b");
    ClaimBy(*vm, "vm-g", 40);
    vm->Ask("/s/");
    const QuotaRequest first = *QuestionTo(*vm, "vm-g");
    vm->RunFor(2 * kSecond);
    QuotaReply late;
    late.mSequence = first.mSequence;
    late.mValid = 3 * kSecond;
    late.mGrants.push_back({ kId, 40, 100, {}, {} });
    vm->Deliver(QuotaReplied{ IdFromName<VmId>("vm-g"), late });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                         vm->mState.mQuota.mOrganisations.at(kId).mHeld.Held());
  }

  void TakesBackQuotaOfRequestsThatDidNotRun()
  {
    auto vm = MakeVm();
    Join(*vm, "vm-g", "b");
    ClaimBy(*vm, "vm-g", 40);
    vm->RemoveTarget("t");
    const CallerToken token = vm->Ask("/s/");
    Grant(*vm, "vm-g", 40);
    CPPUNIT_ASSERT(KindOf(*vm, token) == ProblemKind::kNotRun);
    const HeldQuota& held = vm->mState.mQuota.mOrganisations.at(kId).mHeld;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, held.mUsed);
  }

  // Guards against quota that is lost with requests that do not run, whether
  // they waited for it or not.
  void TakesBackQuotaThatItsZoneGave()
  {
    constexpr std::uint64_t kGiven = 3;
    auto vm = MakeVm();
    JoinZone(*vm);
    vm->RemoveTarget("t");
    const CallerToken waited = vm->Ask("/s/");
    QuotaReply reply;
    reply.mSequence = QuestionTo(*vm, "vm-z")->mSequence;
    reply.mValid = kSecond;
    reply.mGrants.push_back({ kId, 1, kGiven, {}, {} });
    vm->Deliver(QuotaReplied{ IdFromName<VmId>("vm-z"), reply });
    CPPUNIT_ASSERT(KindOf(*vm, waited) == ProblemKind::kNotRun);
    const SpareQuota& spare = vm->mState.mQuota.mOrganisations.at(kId).mSpare;
    CPPUNIT_ASSERT_EQUAL(kGiven, spare.mCount);
    vm->RunFor(kMillisecond);
    CPPUNIT_ASSERT(KindOf(*vm, vm->Ask("/s/")) == ProblemKind::kNotRun);
    CPPUNIT_ASSERT_EQUAL(kGiven, spare.mCount);
  }

  /** The load: callers that reach another VM with each request. */
  void AsksAVmOfItsZone()
  {
    auto vm = MakeVm();
    JoinZone(*vm);
    const CallerToken token = vm->Ask("/s/");
    const QuotaRequest* question = QuestionTo(*vm, "vm-z");
    CPPUNIT_ASSERT(question != nullptr && question->mIsForZone);
    CPPUNIT_ASSERT(QuestionTo(*vm, "vm-g") == nullptr);
    QuotaReply reply;
    reply.mSequence = question->mSequence;
    reply.mValid = kSecond;
    reply.mGrants.push_back({ kId, 1, 1, {}, {} });
    vm->Deliver(QuotaReplied{ IdFromName<VmId>("vm-z"), reply });
    CPPUNIT_ASSERT(vm->Has("t"));
    CPPUNIT_ASSERT(vm->AnswerTo(token) == nullptr);
    // A denial is passed on with its time.
    const CallerToken denied = vm->Ask("/s/");
    reply.mSequence = QuestionTo(*vm, "vm-z")->mSequence;
    reply.mGrants = { { kId, 1, 0, 90 * kMillisecond, 700 * kMillisecond } };
    vm->Deliver(QuotaReplied{ IdFromName<VmId>("vm-z"), reply });
    CPPUNIT_ASSERT(KindOf(*vm, denied) == ProblemKind::kOverQuota);
    CPPUNIT_ASSERT(*std::get<Problem>(*vm->AnswerTo(denied)).mRetryAfter ==
                   700 * kMillisecond);
  }

  void GivesQuotaToVmsOfItsZone()
  {
    auto vm = MakeVm("vm-z");
    JoinZone(*vm);
    QuotaRequest question;
    question.mSequence = 7;
    question.mIsForZone = true;
    question.mNeeds.push_back({ kId, 0, 0, 0, 0, 1, 0 });
    const auto ask = [&] {
      ++question.mSequence;
      vm->Deliver(QuotaRequested{ VmId(99), Endpoint{ "vm-b", 1 }, question });
    };
    const auto answers = [&] {
      return std::count_if(vm->mPeerMessages.begin(),
                           vm->mPeerMessages.end(),
                           [](const SendPeerMessage& aMessage) {
                             return aMessage.mVm == VmId(99);
                           });
    };
    ask();
    CPPUNIT_ASSERT(answers() == 0);
    Grant(*vm, "vm-g", 40);
    CPPUNIT_ASSERT(answers() == 1);
    ask();
    CPPUNIT_ASSERT(answers() == 2);
    const auto& reply = std::get<QuotaReply>(vm->mPeerMessages.back().mMessage);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, reply.mGrants.front().mGranted);
    CPPUNIT_ASSERT(reply.mValid > Duration::zero());
  }

  // Guards against grants that ended while the process stood still, and that
  // the first answer after it makes valid again: input comes before due timers.
  void GivesBackGrantsThatEndedInAStandstill()
  {
    auto vm = MakeVm();
    Join(*vm, "vm-g", "b");
    ClaimBy(*vm, "vm-g", 40);
    vm->Ask("/s/");
    Grant(*vm, "vm-g", 40);
    Grant(*vm, "vm-g", 40);
    const HeldQuota& held = vm->mState.mQuota.mOrganisations.at(kId).mHeld;
    CPPUNIT_ASSERT(held.Held() != 0);
    const std::uint64_t received = held.mReceived;
    vm->mNow += std::chrono::milliseconds(3400);
    vm->Ask("/s/");
    const QuotaNeed need = QuestionTo(*vm, "vm-g")->mNeeds.front();
    CPPUNIT_ASSERT_EQUAL(need.mReceived, need.mUsed + need.mReturned);
    Grant(*vm, "vm-g", 40);
    CPPUNIT_ASSERT(held.Held() <= held.mReceived - received);
  }

  // Guards against quota for a VM of the zone that is stated to be valid for as
  // long as what was granted after it.
  void GivesToItsZoneForAsLongAsItMayUseIt()
  {
    auto vm = MakeVm("vm-z");
    JoinZone(*vm);
    vm->Ask("/s/");
    Grant(*vm, "vm-g", 40);
    Grant(*vm, "vm-g", 40);
    HeldQuota& held = vm->mState.mQuota.mOrganisations.at(kId).mHeld;
    while (held.Held() > 1) {
      CPPUNIT_ASSERT(UseQuota(held, vm->mNow));
    }
    const TimePoint ends = held.mValidUntil;
    vm->RunFor(200 * kMillisecond);
    QuotaRequest question;
    question.mSequence = 7;
    question.mIsForZone = true;
    question.mNeeds.push_back({ kId, 0, 0, 0, 0, 2, 0 });
    vm->Deliver(QuotaRequested{ VmId(99), Endpoint{ "vm-b", 1 }, question });
    Grant(*vm, "vm-g", 40);
    CPPUNIT_ASSERT(held.mValidUntil > ends);
    const auto reply = std::find_if(
      vm->mPeerMessages.begin(),
      vm->mPeerMessages.end(),
      [](const SendPeerMessage& aMessage) { return aMessage.mVm == VmId(99); });
    CPPUNIT_ASSERT(reply != vm->mPeerMessages.end());
    const auto& given = std::get<QuotaReply>(reply->mMessage);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, given.mGrants.front().mGranted);
    CPPUNIT_ASSERT(vm->mNow + given.mValid <= ends);
  }

  // Guards against requests that wait for more than a second until the next
  // question to a granting VM that does not answer.
  void RefusesWhatArrivedAfterAQuestionThatIsNotAnswered()
  {
    auto vm = MakeVmOfTwo();
    Join(*vm, "vm-g", "b");
    ClaimBy(*vm, "vm-g", 40);
    const CallerToken first = vm->Ask("/s/");
    vm->RunFor(100 * kMillisecond);
    vm->mKey = { KeyForm::kPresent, "other key" };
    const CallerToken second = vm->Ask("/s/");
    vm->RunFor(200 * kMillisecond);
    CPPUNIT_ASSERT(KindOf(*vm, first) == ProblemKind::kNotRun);
    CPPUNIT_ASSERT(vm->AnswerTo(second) != nullptr);
    CPPUNIT_ASSERT(KindOf(*vm, second) == ProblemKind::kNotRun);
  }

  // Guards against requests that wait until somebody claims to grant quota.
  void RefusesWhenTheClaimGoes()
  {
    auto vm = MakeVmOfTwo();
    Join(*vm, "vm-g", "b");
    ClaimBy(*vm, "vm-g", 40);
    vm->Ask("/s/");
    vm->mKey = { KeyForm::kPresent, "other key" };
    const CallerToken second = vm->Ask("/s/");
    for (std::uint32_t number = 0; number < kQuotaPartitions; ++number) {
      vm->Change(QuotaClaimRemoval{ number });
    }
    vm->RunFor(300 * kMillisecond);
    CPPUNIT_ASSERT(vm->AnswerTo(second) != nullptr);
    CPPUNIT_ASSERT(KindOf(*vm, second) == ProblemKind::kNotRun);
  }

  // Guards against counts that begin again at 0 under the same session and
  // term: a granting VM that did not learn that the limit was lifted then
  // answers with all that it granted, and it is used a second time.
  void CountsOnWhenALimitIsLiftedAndSetAgain()
  {
    auto vm = MakeVm();
    Join(*vm, "vm-g", "b");
    ClaimBy(*vm, "vm-g", 40);
    vm->Ask("/s/");
    Grant(*vm, "vm-g", 40);
    Grant(*vm, "vm-g", 40);
    const std::vector<Route> routes{ SingleRoute("s",
                                                 Repeatability::kIdempotent) };
    vm->Configure(routes, Organisations({}), 2);
    const HeldQuota& held = vm->mState.mQuota.mOrganisations.at(kId).mHeld;
    const std::uint64_t received = held.mReceived;
    CPPUNIT_ASSERT(received != 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, held.Held());
    vm->Configure(routes, Organisations(), 3);
    vm->Ask("/s/");
    vm->RunFor(kSecond);
    const QuotaNeed need = QuestionTo(*vm, "vm-g")->mNeeds.front();
    CPPUNIT_ASSERT(need.mReceived >= received);
    CPPUNIT_ASSERT_EQUAL(need.mReceived, need.mUsed + need.mReturned);
  }

  void TakesAnotherWayWhenAVmOfItsZoneIsSilent()
  {
    auto vm = MakeVm();
    JoinZone(*vm);
    const CallerToken token = vm->Ask("/s/");
    vm->RunFor(125 * kMillisecond);
    CPPUNIT_ASSERT(vm->AnswerTo(token) == nullptr);
    // The next VM of the zone, or the granting one.
    const auto& message = vm->mPeerMessages.back();
    CPPUNIT_ASSERT(std::holds_alternative<QuotaRequest>(message.mMessage));
    CPPUNIT_ASSERT(message.mVm != IdFromName<VmId>("vm-z"));
  }

  void RefusesWaitingRequestsInAStop()
  {
    auto vm = MakeVm();
    Join(*vm, "vm-g", "b");
    ClaimBy(*vm, "vm-g", 40);
    const CallerToken token = vm->Ask("/s/");
    vm->Deliver(ForwarderStopRequested{});
    CPPUNIT_ASSERT(KindOf(*vm, token) == ProblemKind::kNotRun);
  }

  void ForgetsCallersThatLeave()
  {
    auto vm = MakeVm();
    Join(*vm, "vm-g", "b");
    ClaimBy(*vm, "vm-g", 40);
    const CallerToken token = vm->Ask("/s/");
    vm->Deliver(ForwarderCallerDisconnected{ token });
    Grant(*vm, "vm-g", 40);
    CPPUNIT_ASSERT(vm->Received().empty());
    CPPUNIT_ASSERT(vm->mState.mQuota.mWaitingFor.empty());
  }

  /** Guards against two VMs that grant the same quota, whatever they know of
      one another: calls to the store are late or lost, VMs start anew or are
      suspended. */
  void GrantsAtOneVmAtATime()
  {
    CPPUNIT_ASSERT(rc::check("one VM grants a partition's quota", [] {
      std::mt19937 random(
        static_cast<std::uint32_t>(*rc::gen::inRange(0, 1 << 30)));
      PlayClaims(random);
    }));
  }

private:
  /** As MakeVm(), with a second organisation. */
  static std::unique_ptr<ForwarderHarness> MakeVmOfTwo()
  {
    auto vm = MakeVm();
    OrganisationDirectory directory = Organisations();
    Organisation other;
    other.mName = "other";
    other.mId = IdFromName<OrganisationId>(other.mName);
    other.mLimit = kLimit;
    CPPUNIT_ASSERT(directory.Add(other, { "other key" }));
    vm->Configure(
      { SingleRoute("s", Repeatability::kIdempotent) }, directory, 2);
    return vm;
  }

  static void JoinZone(ForwarderHarness& aVm)
  {
    for (const char* name : { "vm-a", "vm-b", "vm-c", "vm-d" }) {
      Join(aVm, name, "a", 0.1);
    }
    Join(aVm, "vm-z", "a", 1);
    Join(aVm, "vm-g", "b", 1);
    ClaimBy(aVm, "vm-g", 40);
  }

  /** A VM of the claims' play and what it waits for. */
  struct Player
  {
    std::unique_ptr<ForwarderHarness> mVm;
    std::size_t mGrants = 0;
    std::size_t mRenewals = 0;
    std::size_t mClaims = 0;
    std::vector<std::pair<TimePoint, ForwarderEvent>> mAnswers;
    /** Until when it does not reach the store, or gets no answers. */
    TimePoint mCutOffUntil{};
  };

  static Player NewPlayer(const std::string& aName, TimePoint aNow)
  {
    Player player;
    player.mVm = MakeVm(aName);
    player.mVm->mNow = std::max(player.mVm->mNow, aNow);
    player.mVm->Deliver(LeaseGranted{ LeaseId(1) });
    player.mVm->Deliver(MemberWritten{ std::monostate{} });
    player.mGrants = player.mVm->mLeaseGrants.size();
    return player;
  }

  /** The store handles a VM's calls; answers take time or are lost. A call may
      also reach the store late. */
  static void ServeCalls(Player& aPlayer,
                         ClaimStore& aStore,
                         std::mt19937& aRandom)
  {
    ForwarderHarness& vm = *aPlayer.mVm;
    const auto answer = [&](ForwarderEvent aEvent) {
      const std::chrono::milliseconds time(aRandom() % 4 == 0 ? aRandom() % 1500
                                                              : aRandom() % 20);
      aPlayer.mAnswers.emplace_back(vm.mNow + time, std::move(aEvent));
    };
    const auto failure = [] {
      return Fail(ErrorKind::kPlatformUnavailable, "no answer", "wait");
    };
    const bool isCutOff = vm.mNow < aPlayer.mCutOffUntil;
    const bool isLost = isCutOff || aRandom() % 6 == 0;
    for (; aPlayer.mGrants < vm.mLeaseGrants.size(); ++aPlayer.mGrants) {
      const LeasePurpose purpose = vm.mLeaseGrants[aPlayer.mGrants].mPurpose;
      const LeaseId lease = aStore.GrantAt(vm.mNow);
      if (purpose == LeasePurpose::kQuota) {
        answer(isLost ? LeaseGranted{ failure(), purpose }
                      : LeaseGranted{ lease, purpose });
      }
    }
    for (; aPlayer.mRenewals < vm.mLeaseRenewals.size(); ++aPlayer.mRenewals) {
      const RenewLease& renewal = vm.mLeaseRenewals[aPlayer.mRenewals];
      if (renewal.mPurpose != LeasePurpose::kQuota) {
        continue;
      }
      const bool isHeld = !isCutOff && aStore.RenewAt(renewal.mLease, vm.mNow);
      answer(isLost ? LeaseRenewed{ failure(), renewal.mPurpose }
                    : LeaseRenewed{ isHeld, renewal.mPurpose });
    }
    for (; aPlayer.mClaims < vm.mClaims.size(); ++aPlayer.mClaims) {
      const auto claimed = aStore.ClaimAt(vm.mClaims[aPlayer.mClaims], vm.mNow);
      answer(isLost ? QuotaClaimed{ failure() } : QuotaClaimed{ claimed });
    }
  }

  static void PlayClaims(std::mt19937& aRandom)
  {
    ClaimStore store;
    std::vector<Player> players;
    for (const char* name : { "vm-a", "vm-b", "vm-c" }) {
      players.push_back(NewPlayer(name, TimePoint{}));
    }
    for (int step = 0; step < 800; ++step) {
      const Duration time = std::chrono::milliseconds(1 + aRandom() % 60);
      for (Player& player : players) {
        player.mVm->RunFor(time);
        ServeCalls(player, store, aRandom);
        DeliverDue(player);
        if (aRandom() % 20 == 0 && player.mVm->mNow >= player.mCutOffUntil) {
          TellClaims(player, store);
        }
        if (aRandom() % 300 == 0) {
          player.mCutOffUntil = player.mVm->mNow + 7 * kSecond;
        }
      }
      if (aRandom() % 150 == 0) {
        Player& player = players[aRandom() % players.size()];
        const TimePoint now = player.mVm->mNow;
        player = NewPlayer(player.mVm->mState.mPolicy.mName, now);
      }
      RC_ASSERT(MostGranters(players) <= 1U);
    }
  }

  static void DeliverDue(Player& aPlayer)
  {
    for (std::size_t position = 0; position < aPlayer.mAnswers.size();) {
      if (aPlayer.mAnswers[position].first > aPlayer.mVm->mNow) {
        ++position;
        continue;
      }
      const ForwarderEvent event = aPlayer.mAnswers[position].second;
      aPlayer.mAnswers.erase(aPlayer.mAnswers.begin() +
                             static_cast<std::ptrdiff_t>(position));
      aPlayer.mVm->Deliver(event);
    }
  }

  /** The VM's watch tells it the present claims. */
  static void TellClaims(Player& aPlayer, ClaimStore& aStore)
  {
    ForwarderHarness& vm = *aPlayer.mVm;
    aStore.End(vm.mNow);
    for (std::uint32_t number = 0; number < kQuotaPartitions; ++number) {
      const auto claim = aStore.mClaims.find(number);
      const auto& known = vm.mState.mQuota.mClaims.mPartitions[number].mClaim;
      if (claim == aStore.mClaims.end()) {
        if (known) {
          vm.Change(QuotaClaimRemoval{ number });
        }
      } else if (!known || known->mTerm < claim->second.first) {
        vm.Change(QuotaClaimChange{ number,
                                    "another vm",
                                    Endpoint{ "other", 1 },
                                    StoreRevision(claim->second.first) });
      }
    }
  }

  static std::size_t MostGranters(const std::vector<Player>& aPlayers)
  {
    std::size_t most = 0;
    for (std::uint32_t number = 0; number < kQuotaPartitions; ++number) {
      std::size_t granters = 0;
      for (const Player& player : aPlayers) {
        const ForwarderState& state = player.mVm->mState;
        granters += IsGranting(state,
                               state.mQuota.mClaims.mPartitions[number],
                               player.mVm->mNow)
                      ? 1
                      : 0;
      }
      most = std::max(most, granters);
    }
    return most;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaUseTests);
