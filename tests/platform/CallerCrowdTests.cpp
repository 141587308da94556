/*
 * Tests that a real daemon outlives crowds of callers that nobody controls.
 * They check only what does not depend on the machine's speed: that the process
 * lives, that its memory and its descriptors stay under a bound, and that one
 * ordinary request is answered afterwards. Each crowd is small, and the VM's
 * memory is set low for it.
 */
#include "ForwarderFleet.h"

#include <tests/processes/RawConnection.h>

#include <filesystem>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

class CallerCrowdTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerCrowdTests);
  CPPUNIT_TEST(OutlivesBodiesInLargeChunks);
  CPPUNIT_TEST(OutlivesBodiesInChunksOfOneByte);
  CPPUNIT_TEST(OutlivesWholeBodiesOfStatedLength);
  CPPUNIT_TEST(OutlivesBodiesPieceByPiece);
  CPPUNIT_TEST(OutlivesSlowReaders);
  CPPUNIT_TEST(OutlivesAllOfThemAtOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  static constexpr std::size_t kMemoryMegabytes = 64;
  /** Nine tenths of the VM's memory. */
  static constexpr std::size_t kMaxMemoryBytes =
    (kMemoryMegabytes << 20U) / 10 * 9;
  static constexpr std::size_t kBodyBytes = std::size_t{ 256 } << 10U;
  static constexpr std::size_t kChunkBytes = std::size_t{ 64 } << 10U;
  static constexpr unsigned kCrowd = 400;
  static constexpr unsigned kReaders = 60;
  static constexpr std::size_t kReplyBytes = std::size_t{ 4 } << 20U;
  /** The crowd, the targets, the store and the daemon's own. */
  static constexpr std::size_t kMaxDescriptors = std::size_t{ 6 } * kCrowd;

  void setUp() override
  {
    mFleet = std::make_unique<ForwarderFleet>(1, 4);
    for (const char* target : { "one-a", "one-b" }) {
      mFleet->Target(target).mSlots = 64;
      mFleet->Target(target).mLargeReply = kReplyBytes;
    }
    mFleet->mMemoryMegabytes = kMemoryMegabytes;
    mFleet->Daemon(0).Kill();
    mFleet->StartDaemon(0);
    AwaitCondition([&] { return mFleet->IsReady(0); }, "the daemon is ready");
    ConfigurationChoice choice;
    choice.mBodyBytes = kBodyBytes;
    choice.mTimeout = std::chrono::seconds(8);
    const std::string path = VersionPrefix(mFleet->Configure(choice)) + "x";
    AwaitCondition(
      [&] { return mFleet->SendRequest({ .mPath = path }).Status() == 200; },
      "the configuration is in force");
  }

  void tearDown() override
  {
    mCrowd.clear();
    mFleet.reset();
  }

  void OutlivesBodiesInLargeChunks()
  {
    SendLargeChunks();
    AssertAlive();
  }

  void OutlivesBodiesInChunksOfOneByte()
  {
    SendSmallChunks();
    AssertAlive();
  }

  void OutlivesWholeBodiesOfStatedLength()
  {
    SendWhole();
    AssertAlive();
  }

  void OutlivesBodiesPieceByPiece()
  {
    SendPieces();
    AssertAlive();
  }

  void OutlivesSlowReaders()
  {
    ReadSlowly();
    AssertAlive();
  }

  void OutlivesAllOfThemAtOnce()
  {
    ReadSlowly();
    SendLargeChunks();
    SendSmallChunks();
    SendWhole();
    SendPieces();
    AssertAlive();
  }

private:
  RawConnection& Connect()
  {
    mCrowd.push_back(
      std::make_unique<RawConnection>(mFleet->CallerEndpoint(0)));
    return *mCrowd.back();
  }

  std::string Head(const std::string& aMethod, const std::string& aPath)
  {
    return aMethod + " " + aPath +
           " HTTP/1.1\r\nHost: host.example\r\nWasabispread-Request-Id: c" +
           std::to_string(mCrowd.size()) +
           "\r\nWasabispread-Request-Deadline-Ms: 5000\r\n";
  }

  static std::string Chunk(std::size_t aBytes)
  {
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", aBytes);
    return size + std::string(aBytes, 'x') + "\r\n";
  }

  /** Chunked bodies of nearly the largest size, without their end. */
  void SendLargeChunks()
  {
    std::string body;
    for (unsigned count = 0; count < 3; ++count) {
      body += Chunk(kChunkBytes);
    }
    body += Chunk(kChunkBytes - 2);
    for (unsigned caller = 0; caller < kCrowd; ++caller) {
      RawConnection& connection = Connect();
      connection.Send(Head("POST", "/one/x") +
                      "Transfer-Encoding: chunked\r\n\r\n" + body);
      Breathe(caller);
    }
  }

  /** As above, in chunks of one byte; six bytes are sent for each. */
  void SendSmallChunks()
  {
    std::string body;
    for (std::size_t count = 0; count < kChunkBytes; ++count) {
      body += "1\r\nx\r\n";
    }
    for (unsigned caller = 0; caller < kCrowd; ++caller) {
      RawConnection& connection = Connect();
      connection.Send(Head("POST", "/one/x") +
                      "Transfer-Encoding: chunked\r\n\r\n" + body);
      Breathe(caller);
    }
  }

  void SendWhole()
  {
    const std::string body(kBodyBytes - 1, 'x');
    for (unsigned caller = 0; caller < kCrowd; ++caller) {
      RawConnection& connection = Connect();
      connection.Send(Head("POST", "/one/x") + StatedLength() + body);
      Breathe(caller);
    }
  }

  void SendPieces()
  {
    constexpr std::size_t kPieces = 8;
    const std::size_t first = mCrowd.size();
    for (unsigned caller = 0; caller < kCrowd; ++caller) {
      RawConnection& connection = Connect();
      connection.Send(Head("POST", "/one/x") + StatedLength());
      Breathe(caller);
    }
    const std::string piece(kBodyBytes / kPieces - 1, 'x');
    for (std::size_t count = 0; count < kPieces; ++count) {
      for (std::size_t caller = first; caller < mCrowd.size(); ++caller) {
        mCrowd[caller]->Send(piece);
        Breathe(static_cast<unsigned>(caller));
      }
    }
  }

  /** Long answers that nobody reads. */
  void ReadSlowly()
  {
    for (unsigned caller = 0; caller < kReaders; ++caller) {
      RawConnection& connection = Connect();
      connection.Send(Head("GET", std::string("/one/x") + kLargeReply) +
                      "\r\n");
      boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
    }
  }

  static std::string StatedLength()
  {
    return "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n";
  }

  /** Lets the targets and the store of the test run. */
  static void Breathe(unsigned aCaller)
  {
    if (aCaller % 20 == 0) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(2));
    }
  }

  std::size_t DescriptorsOfDaemon()
  {
    const std::filesystem::path folder =
      "/proc/" + std::to_string(mFleet->Daemon(0).Pid()) + "/fd";
    return static_cast<std::size_t>(
      std::distance(std::filesystem::directory_iterator(folder),
                    std::filesystem::directory_iterator()));
  }

  void AssertAlive()
  {
    CPPUNIT_ASSERT(!mFleet->Daemon(0).HasEnded());
    const std::size_t descriptors = DescriptorsOfDaemon();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(descriptors),
                           descriptors < kMaxDescriptors);
    AwaitCondition(
      [&] {
        return mFleet->SendRequest({ .mPath = "/once/x" }).Status() == 200;
      },
      "an ordinary request is answered",
      std::chrono::seconds(30));
    const std::size_t peak = mFleet->Daemon(0).PeakMemoryBytes();
    CPPUNIT_ASSERT_MESSAGE("a peak of " + std::to_string(peak >> 10U) + " KiB",
                           peak < kMaxMemoryBytes);
  }

  std::unique_ptr<ForwarderFleet> mFleet;
  std::vector<std::unique_ptr<RawConnection>> mCrowd;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerCrowdTests);
