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
  CPPUNIT_TEST(KnowsWhichFramesAnOlderReleaseReads);
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
