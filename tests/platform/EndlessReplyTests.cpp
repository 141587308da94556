/*
 * Tests a real daemon against targets that send bytes without end: its memory
 * stays within that of the smallest VM, and other requests are served.
 */
#include "ForwarderFleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

class EndlessReplyTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EndlessReplyTests);
  CPPUNIT_TEST(StaysWithinItsMemoryWhenAllShardsNeverEnd);
  CPPUNIT_TEST(AsksTheOtherTargetWhenOneNeverEnds);
  CPPUNIT_TEST_SUITE_END();

public:
  static constexpr std::size_t kShards = 90;
  /** The memory of the smallest VM. */
  static constexpr std::size_t kMaxMemoryBytes = std::size_t{ 160 } << 20U;

  const std::vector<TargetFault> mFaults{
    TargetFault::kSendsEndlessHead,
    TargetFault::kSendsEndlessBody,
    TargetFault::kSendsEndlessChunks,
    TargetFault::kSendsEndlessSmallChunks,
    TargetFault::kSendsEndlessChunkHead,
    TargetFault::kSendsEndlessInterimReplies,
    TargetFault::kSendsEndlessOtherReplies,
  };

  void tearDown() override { mFleet.reset(); }

  void StaysWithinItsMemoryWhenAllShardsNeverEnd()
  {
    mFleet = std::make_unique<ForwarderFleet>(1, kShards);
    for (const TargetFault fault : mFaults) {
      // Every shard is reached again, so that all of them take part.
      SetFaultOfShards(TargetFault::kNone);
      AwaitCondition(
        [&] { return mFleet->SendRequest(Search()).Status() == 200; },
        "searches are served");
      SetFaultOfShards(fault);
      const std::string what =
        "fault " + std::to_string(static_cast<int>(fault));
      const TimePoint started = std::chrono::steady_clock::now();
      RunConcurrently(4, [&](std::size_t aCaller) {
        const ForwarderReply reply =
          mFleet->SendRequest(aCaller < 3 ? Search() : ForwarderRequest{});
        CPPUNIT_ASSERT_MESSAGE(what, reply.mResponse.has_value());
        CPPUNIT_ASSERT_MESSAGE(what, (aCaller < 3) == (reply.Status() != 200));
      });
      CPPUNIT_ASSERT_MESSAGE(what,
                             std::chrono::steady_clock::now() - started <
                               std::chrono::seconds(3));
      CPPUNIT_ASSERT_MESSAGE(
        what + ", peak " + std::to_string(mFleet->Daemon(0).PeakMemoryBytes()),
        mFleet->Daemon(0).PeakMemoryBytes() < kMaxMemoryBytes);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        what, 200U, mFleet->SendRequest({}).Status());
    }
  }

  void AsksTheOtherTargetWhenOneNeverEnds()
  {
    mFleet = std::make_unique<ForwarderFleet>();
    for (const TargetFault fault : mFaults) {
      mFleet->Target("one-a").mFault = fault;
      for (unsigned count = 0; count < 6; ++count) {
        const ForwarderReply reply = mFleet->SendRequest({});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("fault " +
                                       std::to_string(static_cast<int>(fault)),
                                     200U,
                                     reply.Status());
        CPPUNIT_ASSERT_EQUAL(ReplyBodyOf("one-b", reply.mRequestId),
                             reply.mResponse->mBody);
      }
    }
  }

private:
  static ForwarderRequest Search()
  {
    ForwarderRequest request;
    request.mPath = "/search/q";
    return request;
  }

  void SetFaultOfShards(TargetFault aFault)
  {
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      mFleet->SetFault("shard-" + std::to_string(shard), aFault);
    }
  }

  std::unique_ptr<ForwarderFleet> mFleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessReplyTests);
