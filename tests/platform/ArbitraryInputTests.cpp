/*
 * Sends a real daemon arbitrary requests, replies, entries and frames, made of
 * pieces of valid ones, and requires that it serves on.
 *
 * WASABISPREAD_INPUT_SEED chooses other input.
 */
#include "ForwarderFleet.h"

#include <tests/processes/RawConnection.h>

#include <cstdlib>
#include <limits>

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

using Json = nlohmann::json;

constexpr unsigned kRounds = 40;
constexpr std::size_t kCallers = 16;
constexpr std::array<const char*, 3> kPaths{ "/one/x", "/once/x", "/search/q" };

std::uint64_t
Seed()
{
  const char* chosen = std::getenv("WASABISPREAD_INPUT_SEED");
  return chosen == nullptr ? 1 : std::stoull(chosen);
}

std::string
ArbitraryRequest(Random& aRandom)
{
  static const std::vector<std::string> pieces{
    "GET /one/x HTTP/1.1\r\n",
    "POST /once/x HTTP/1.1\r\n",
    "HEAD /search/q HTTP/1.0\r\n",
    "TRACE /one/x HTTP/1.1\r\n",
    "CONNECT a:1 HTTP/1.1\r\n",
    "OPTIONS * HTTP/1.1\r\n",
    "GET http://host.example/one/x HTTP/1.1\r\n",
    "Host: host.example\r\n",
    "Wasabispread-Request-Id: arbitrary\r\n",
    "Wasabispread-Request-Id: \xff\xfe\r\n",
    "Wasabispread-Request-Deadline-Ms: 300\r\n",
    "Content-Length: 5\r\n",
    "Content-Length: 18446744073709551615\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Expect: 100-continue\r\n",
    "Connection: close\r\n",
    "Connection: upgrade\r\nUpgrade: h2c\r\n",
    "Trailer: a\r\n",
    "Wasabispread-Expect-Instance: one-a\r\n",
    " folded\r\n",
    ": no name\r\n",
    "\r\n",
    "\r\n",
    "\r\n",
    "5\r\nhello\r\n",
    "0\r\n",
    "ffffffffffffffff\r\n",
    "5;a=\"b\"\r\n",
    "hello",
    "\r",
    "\n",
    std::string("\0", 1),
    std::string(300, 'a'),
    "X-Long: " + std::string(5000, 'b') + "\r\n",
    std::string(20'000, '\n'),
  };
  const bool isValidHead = aRandom.Below(2) == 0;
  std::string text = isValidHead
                       ? "POST /one/x HTTP/1.1\r\nHost: host.example\r\n"
                         "Wasabispread-Request-Id: arbitrary\r\n"
                         "Wasabispread-Request-Deadline-Ms: 300\r\n"
                       : "";
  for (std::uint64_t left = 1 + aRandom.Below(12); left != 0; --left) {
    text += pieces[aRandom.Below(pieces.size())];
  }
  return text;
}

std::string
ArbitraryFields(Random& aRandom)
{
  static const std::vector<std::string> pieces{
    "Wasabispread-Request-Id: other\r\n",
    "Wasabispread-Server-Stamp: \xff\r\n",
    "Wasabispread-Not-Executed: 1\r\n",
    "Server-Limit: 1e308\r\n",
    "Server-Limit: 0\r\n",
    "Server-Limit: 1e-308\r\n",
    "Server-Limit: -1\r\n",
    "Server-Leaving: 1\r\n",
    "Retry-After: 99999999999999999999\r\n",
    "Keep-Alive: timeout=4294967295\r\n",
    "Keep-Alive: timeout=0\r\n",
    "Connection: close\r\n",
    "Connection: upgrade\r\n",
    "Content-Length: 3\r\n",
    "Content-Encoding: gzip\r\n",
    "Transfer-Encoding: chunked\r\n",
    "\r\n",
    "5\r\nhello\r\n",
    "0\r\n\r\n",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 101 Upgrade\r\n\r\n",
    "HTTP/1.1 204 None\r\n\r\n",
    "HTTP/1.1 503 None\r\nContent-Length: 0\r\n\r\n",
    " folded\r\n",
    std::string("\0", 1),
    std::string(9000, 'x'),
  };
  std::string text;
  for (std::uint64_t left = aRandom.Below(5); left != 0; --left) {
    text += pieces[aRandom.Below(pieces.size())];
  }
  return text;
}

/** Replaces one value within aJson, chosen at random. */
void
Disturb(Json& aJson, Random& aRandom)
{
  static const std::vector<Json> values{
    nullptr,
    true,
    0,
    -1,
    1,
    1e308,
    -1e308,
    1e-308,
    std::numeric_limits<std::uint64_t>::max(),
    std::numeric_limits<std::int64_t>::min(),
    4294967296U,
    "",
    "one",
    "/",
    std::string(100'000, 'x'),
    Json::array(),
    Json::object(),
    Json::array({ "one", "one" }),
    Json::parse(std::string(50'000, '[') + std::string(50'000, ']')),
  };
  const bool goesDeeper =
    aJson.is_structured() && !aJson.empty() && aRandom.Below(8) != 0;
  if (!goesDeeper) {
    aJson = values[aRandom.Below(values.size())];
    return;
  }
  auto chosen = aJson.begin();
  std::advance(chosen,
               static_cast<std::ptrdiff_t>(aRandom.Below(aJson.size())));
  if (aRandom.Below(8) == 0) {
    aJson.erase(chosen);
  } else {
    Disturb(*chosen, aRandom);
  }
}

Json
ValidConfiguration(std::uint64_t aVersion)
{
  const auto route = [](const std::string& aName, const std::string& aType) {
    return Json{ { "name", aName },
                 { "host", "host.example" },
                 { "prefix", "/" + aName + "/" },
                 { "routeType", aType },
                 { "timeoutMs", 2000 },
                 { "targetLatencyMs", 300 },
                 { "attempts", 2 },
                 { "priority", 1 } };
  };
  Json one = route("one", "idempotent");
  one["service"] = "one";
  Json once = route("once", "non_idempotent");
  once["trafficSplit"] =
    Json::array({ { { "service", "once" }, { "weight", 1.0 } },
                  { { "service", "one" }, { "weight", 0.5 } } });
  Json search = route("search", "idempotent");
  search["gather"] = { "shard-0", "shard-1", "shard-2", "shard-3" };
  search["topK"] = 5;
  search["minCoverage"] = 0.5;
  Json services = Json::array();
  for (const char* name :
       { "one", "once", "shard-0", "shard-1", "shard-2", "shard-3" }) {
    services.push_back(
      { { "name", name }, { "healthPath", "/health" }, { "maxConns", 40 } });
  }
  return { { "version", aVersion },
           { "routes", { one, once, search } },
           { "services", services },
           { "limits",
             { { "maxHeaderBytes", 8192 },
               { "maxBodyBytes", 100000 },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } } };
}

std::string
ArbitraryText(Random& aRandom)
{
  static const std::vector<std::string> texts{
    "",       "GET",    "/search/q",
    "Host",   "one-a",  "\xff",
    "a\r\nb", ":",      "a b",
    "vm-0",   "zone-a", std::string(1, '\0'),
    "TRACE",  "{}",     std::string(70'000, 'x')
  };
  return texts[aRandom.Below(texts.size())];
}

std::uint64_t
ArbitraryNumber(Random& aRandom)
{
  constexpr std::uint64_t kSmall = 6;
  return aRandom.Below(8) == 0 ? aRandom.Next() : aRandom.Below(kSmall);
}

Duration
ArbitraryDuration(Random& aRandom)
{
  return std::chrono::milliseconds(ArbitraryNumber(aRandom) % 1000);
}

PeerMessage
ArbitraryMessage(Random& aRandom)
{
  constexpr std::uint64_t kKinds = 8;
  const std::uint64_t sequence = ArbitraryNumber(aRandom);
  switch (aRandom.Below(kKinds)) {
    case 0: {
      SubSearch search;
      search.mSequence = sequence;
      search.mRequestId = RequestId(ArbitraryText(aRandom));
      search.mMethod = ArbitraryText(aRandom);
      search.mTarget = ArbitraryText(aRandom);
      search.mFields = { { ArbitraryText(aRandom), ArbitraryText(aRandom) } };
      search.mBody = ArbitraryText(aRandom);
      search.mRoute = ArbitraryNumber(aRandom);
      for (std::uint64_t left = aRandom.Below(6); left != 0; --left) {
        search.mShards.push_back(
          IdFromName<ServiceId>("shard-" + std::to_string(aRandom.Below(5))));
      }
      search.mTopRecords = static_cast<std::uint32_t>(ArbitraryNumber(aRandom));
      search.mMaxTargets = static_cast<std::uint32_t>(ArbitraryNumber(aRandom));
      search.mSoftTimeout = ArbitraryDuration(aRandom);
      search.mCallerTimeout = ArbitraryDuration(aRandom);
      search.mMinShards = static_cast<std::uint32_t>(ArbitraryNumber(aRandom));
      return search;
    }
    case 1: {
      SubSearchReply reply;
      reply.mSequence = sequence;
      reply.mShards = { static_cast<std::uint32_t>(ArbitraryNumber(aRandom)) };
      reply.mSignatures = { ArbitraryText(aRandom) };
      reply.mRecords = ArbitraryText(aRandom);
      reply.mIsLast = aRandom.Below(2) == 0;
      return reply;
    }
    case 2:
      return SubSearchCancel{ sequence, aRandom.Below(2) == 0 };
    case 3:
      return SubSearchConfirm{ sequence };
    case 4:
      return ChangesRequest{ sequence, ArbitraryNumber(aRandom) };
    case 5: {
      ChangesReply reply;
      reply.mSequence = sequence;
      reply.mTexts = { std::make_shared<const CompressedText>(
        CompressedText{ ArbitraryText(aRandom), 16U << 20U }) };
      return reply;
    }
    case 6: {
      RoutingReply reply;
      reply.mText = std::make_shared<const std::string>(ArbitraryText(aRandom));
      RegisteredTarget target;
      target.mInstance = ArbitraryText(aRandom);
      reply.mTargets = { target };
      return reply;
    }
    default:
      return RevisionReport{ ArbitraryNumber(aRandom),
                             ArbitraryDuration(aRandom) };
  }
}

/** A frame, of which some bytes may be changed. */
std::string
ArbitraryFrame(Random& aRandom)
{
  std::string frame = EncodeMessage(ArbitraryMessage(aRandom));
  if (aRandom.Below(3) == 0) {
    for (std::uint64_t left = 1 + aRandom.Below(4); left != 0; --left) {
      frame[kFrameLengthBytes +
            aRandom.Below(frame.size() - kFrameLengthBytes)] =
        static_cast<char>(static_cast<unsigned char>(aRandom.Below(256)));
    }
  }
  return frame;
}

} // namespace

class ArbitraryInputTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ArbitraryInputTests);
  CPPUNIT_TEST(ServesOnAfterArbitraryRequests);
  CPPUNIT_TEST(ServesOnAfterArbitraryReplies);
  CPPUNIT_TEST(ServesOnAfterArbitraryEntries);
  CPPUNIT_TEST(ServesOnAfterArbitraryFrames);
  CPPUNIT_TEST(ServesOnAfterAnInstanceWithALongName);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mFleet = std::make_unique<ForwarderFleet>(); }
  void tearDown() override { mFleet.reset(); }

  void ServesOnAfterArbitraryRequests()
  {
    Random random(Seed());
    for (unsigned round = 0; round < kRounds; ++round) {
      std::vector<std::unique_ptr<RawConnection>> callers;
      for (std::size_t caller = 0; caller < kCallers; ++caller) {
        callers.push_back(
          std::make_unique<RawConnection>(mFleet->CallerEndpoint(0)));
        mSent = ArbitraryRequest(random);
        const std::size_t first = random.Below(mSent.size() + 1);
        callers.back()->Send(mSent.substr(0, first));
        boost::this_fiber::sleep_for(
          std::chrono::milliseconds(random.Below(3)));
        callers.back()->Send(mSent.substr(first));
        End(*callers.back(), random);
      }
      boost::this_fiber::sleep_for(std::chrono::milliseconds(30));
      RequireService(round);
    }
  }

  void ServesOnAfterArbitraryReplies()
  {
    Random random(Seed());
    for (unsigned round = 0; round < kRounds; ++round) {
      for (const char* instance : { "one-a", "once-a", "shard-0-a" }) {
        mFleet->Target(instance).mAddedFields = ArbitraryFields(random);
      }
      SendToAll();
      CPPUNIT_ASSERT(!mFleet->Daemon(0).HasEnded());
    }
    for (const char* instance : { "one-a", "once-a", "shard-0-a" }) {
      mFleet->Target(instance).mAddedFields.clear();
    }
    SendToAll();
    boost::this_fiber::sleep_for(std::chrono::milliseconds(300));
    RequireService(kRounds);
  }

  void ServesOnAfterArbitraryEntries()
  {
    Random random(Seed());
    std::uint64_t version = 1'000'000'000;
    for (unsigned round = 0; round < kRounds; ++round) {
      Json entry = ValidConfiguration(version++);
      for (std::uint64_t left = 1 + random.Below(4); left != 0; --left) {
        Disturb(entry, random);
      }
      mFleet->Store().Put("op/config", entry.dump());
      Json target{ { "service", "one" },
                   { "address", ToText(mFleet->CallerEndpoint(0)) },
                   { "zone", "zone-a" },
                   { "slots", 2 },
                   { "state", "ready" },
                   { "warmupLeftMs", 0 },
                   { "seq", 1'000'000 + round },
                   { "born", 1 } };
      Disturb(target, random);
      mFleet->Store().Put("servers/one-c", target.dump());
      Json member{ { "name", "vm-x" },
                   { "zone", "zone-a" },
                   { "peers", ToText(mFleet->CallerEndpoint(0)) },
                   { "processor", 0.5 } };
      Disturb(member, random);
      mFleet->Store().Put("vms/vm-x", member.dump());
      boost::this_fiber::sleep_for(std::chrono::milliseconds(60));
      SendToAll();
      CPPUNIT_ASSERT_MESSAGE(entry.dump().substr(0, 3000) + "\n" +
                               target.dump().substr(0, 500) + "\n" +
                               member.dump().substr(0, 500),
                             !mFleet->Daemon(0).HasEnded());
    }
  }

  void ServesOnAfterArbitraryFrames()
  {
    Random random(Seed());
    const std::string settings = ReadWholeFile(mFleet->SettingsFile(0));
    const std::string name = "peers = \"127.0.0.1:";
    const auto at = settings.find(name) + name.size();
    const Endpoint peers{
      "127.0.0.1", static_cast<std::uint16_t>(std::stoul(settings.substr(at)))
    };
    for (unsigned round = 0; round < 4 * kRounds; ++round) {
      RawConnection peer(peers);
      PeerHello hello;
      hello.mVm = IdFromName<VmId>("vm-x");
      hello.mPeerAddress = peers;
      hello.mExpectedVm = IdFromName<VmId>("vm-0");
      peer.Send(EncodeHello(hello));
      for (std::uint64_t left = 1 + random.Below(8); left != 0; --left) {
        peer.Send(ArbitraryFrame(random));
      }
      boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
      RequireService(round);
    }
  }

  /** Guards against a daemon that ends for a name that no header field
      holds. */
  void ServesOnAfterAnInstanceWithALongName()
  {
    mFleet->Register(
      mFleet->Target("one-a"), "ready", std::string(70'000, 'i'));
    mFleet->Store().Remove("servers/one-a");
    mFleet->Store().Remove("servers/one-b");
    boost::this_fiber::sleep_for(std::chrono::seconds(3));
    for (unsigned round = 0; round < 4; ++round) {
      SendToAll();
      RequireService(round);
    }
  }

private:
  static void End(const RawConnection& aCaller, Random& aRandom)
  {
    switch (aRandom.Below(4)) {
      case 0:
        aCaller.FinishSending();
        break;
      case 1:
        aCaller.ResetAtEnd();
        break;
      case 2:
        aCaller.SendUrgent('u');
        break;
      default:
        break;
    }
  }

  /** Sends one request for each path, from callers that do not wait long. */
  void SendToAll()
  {
    RunConcurrently(kPaths.size(), [&](std::size_t aPath) {
      ForwarderRequest request;
      request.mPath = kPaths.at(aPath);
      request.mTimeoutMs = "150";
      mFleet->SendRequest(request);
    });
  }

  void RequireService(unsigned aRound)
  {
    const std::string where =
      "round " + std::to_string(aRound) + " after\n" + mSent.substr(0, 2000);
    CPPUNIT_ASSERT_MESSAGE(where, !mFleet->Daemon(0).HasEnded());
    ForwarderRequest request;
    request.mPath = "/once/x";
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      where, 200U, mFleet->SendRequest(request).Status());
  }

  std::unique_ptr<ForwarderFleet> mFleet;
  std::string mSent;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArbitraryInputTests);
