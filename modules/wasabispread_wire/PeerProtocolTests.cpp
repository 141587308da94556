/*
 * Tests of messages between VMs in their frames.
 */
#include <wasabispread_wire/wasabispread_wire.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;

class PeerProtocolTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerProtocolTests);
  CPPUNIT_TEST(KeepsTheAgeOfARevision);
  CPPUNIT_TEST(KeepsHeartbeats);
  CPPUNIT_TEST(KnowsWhichFramesAnOlderReleaseReads);
  CPPUNIT_TEST(KeepsQuotaMessages);
  CPPUNIT_TEST(KeepsWhoseSearchItIs);
  CPPUNIT_TEST(TellsAnUnknownAgeFromNone);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Guards against an age that is read in another unit than it was written. */
  void KeepsTheAgeOfARevision()
  {
    const std::string frame =
      EncodeMessage(RevisionReport{ 412, std::chrono::microseconds(8123) });
    const std::vector<std::uint8_t> bytes(frame.begin() + kFrameLengthBytes,
                                          frame.end());
    const auto read = DecodeFrame(bytes);
    CPPUNIT_ASSERT(read.has_value());
    const auto& report = std::get<RevisionReport>(std::get<PeerMessage>(*read));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 412 }, report.mRevision);
    CPPUNIT_ASSERT(report.mAge == std::chrono::microseconds(8123));
  }

  template<class Message>
  static Message SentOver(const Message& aMessage)
  {
    const std::string frame = EncodeMessage(aMessage);
    const std::vector<std::uint8_t> bytes(frame.begin() + kFrameLengthBytes,
                                          frame.end());
    const auto read = DecodeFrame(bytes);
    CPPUNIT_ASSERT(read.has_value());
    return std::get<Message>(std::get<PeerMessage>(*read));
  }

  void KeepsQuotaMessages()
  {
    QuotaRequest request;
    request.mSequence = 4;
    request.mSession = 5;
    request.mIsForZone = true;
    request.mNeeds.push_back({ OrganisationId(6), 7, 8, 9, 10, 11, 12 });
    const QuotaRequest asked = SentOver(request);
    CPPUNIT_ASSERT(asked.mSequence == 4 && asked.mSession == 5);
    CPPUNIT_ASSERT(asked.mIsForZone);
    const QuotaNeed& need = asked.mNeeds.front();
    CPPUNIT_ASSERT(need.mOrganisation == OrganisationId(6));
    CPPUNIT_ASSERT(need.mTerm == 7 && need.mReceived == 8 && need.mUsed == 9);
    CPPUNIT_ASSERT(need.mReturned == 10 && need.mWaiting == 11);
    CPPUNIT_ASSERT_EQUAL(12U, need.mWanted);
    QuotaReply reply;
    reply.mSequence = 4;
    reply.mValid = std::chrono::milliseconds(1234);
    reply.mGrants.push_back({ OrganisationId(6),
                              7,
                              20,
                              std::chrono::milliseconds(3),
                              std::chrono::milliseconds(44),
                              5 });
    reply.mGrants.emplace_back();
    const QuotaReply answered = SentOver(reply);
    CPPUNIT_ASSERT(answered.mValid == std::chrono::milliseconds(1234));
    const QuotaGrant& grant = answered.mGrants.front();
    CPPUNIT_ASSERT(grant.mTerm == 7 && grant.mGranted == 20);
    CPPUNIT_ASSERT(grant.mNextGrant == std::chrono::milliseconds(3));
    CPPUNIT_ASSERT(grant.mRetryAfter == std::chrono::milliseconds(44));
    CPPUNIT_ASSERT(grant.mHeld == std::uint64_t{ 5 });
    CPPUNIT_ASSERT(!answered.mGrants.back().mHeld);
    CPPUNIT_ASSERT_EQUAL(3U, FrameVersionOf(QuotaRequest{}));
  }

  void KeepsWhoseSearchItIs()
  {
    SubSearch search;
    search.mOrganisation = "acme";
    search.mRank = 2;
    search.mRouteRank = 5;
    search.mRegions = { "north", "south" };
    const SubSearch read = SentOver(search);
    CPPUNIT_ASSERT_EQUAL(std::string("acme"), read.mOrganisation);
    CPPUNIT_ASSERT(read.mRank == 2 && read.mRouteRank == 5);
    CPPUNIT_ASSERT(read.mRegions == search.mRegions);
  }

  /** Guards against an answer of an older release, which states no age, that is
      taken for one of age zero. */
  void TellsAnUnknownAgeFromNone()
  {
    CPPUNIT_ASSERT(!SentOver(ChangesReply{}).mSoundAge);
    ChangesReply reply;
    reply.mSoundAge = std::chrono::milliseconds(7);
    CPPUNIT_ASSERT(*SentOver(reply).mSoundAge == std::chrono::milliseconds(7));
    RoutingReply routing;
    routing.mText = std::make_shared<const std::string>();
    CPPUNIT_ASSERT(!SentOver(routing).mAge);
    routing.mAge = Duration::zero();
    routing.mSequence = 9;
    routing.mEvacuatedZones = { ZoneName("a") };
    CPPUNIT_ASSERT(*SentOver(routing).mAge == Duration::zero());
    CPPUNIT_ASSERT(SentOver(routing).mSequence == 9);
    CPPUNIT_ASSERT(SentOver(routing).mEvacuatedZones ==
                   routing.mEvacuatedZones);
  }

  // Guards against heartbeats that are taken for answers, and against ones that
  // cost more than the messages that they follow.
  void KeepsHeartbeats()
  {
    constexpr std::size_t kMaxBytes = 48;
    for (const bool isReply : { false, true }) {
      const std::string frame = EncodeHeartbeat(PeerHeartbeat{ isReply });
      CPPUNIT_ASSERT(frame.size() <= kMaxBytes);
      const std::vector<std::uint8_t> bytes(frame.begin() + kFrameLengthBytes,
                                            frame.end());
      const auto read = DecodeFrame(bytes);
      CPPUNIT_ASSERT(read.has_value());
      CPPUNIT_ASSERT_EQUAL(isReply, std::get<PeerHeartbeat>(*read).mIsReply);
    }
  }

  /** Guards against a message that ends the connections of older releases. */
  void KnowsWhichFramesAnOlderReleaseReads()
  {
    CPPUNIT_ASSERT_EQUAL(2U, FrameVersionOf(RevisionReport{}));
    CPPUNIT_ASSERT_EQUAL(1U, FrameVersionOf(ChangesReply{}));
    PeerHello older;
    older.mNewestVersion = 1;
    CPPUNIT_ASSERT_EQUAL(1U, *NegotiateFrameVersion(older));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerProtocolTests);
