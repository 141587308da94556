/*
 * Accepts a target's connections, runs the requests on them and injects
 * faults into the replies.
 */
#include "StandInTarget.h"

#include <wasabispread_forwarding_decisions/wasabispread_forwarding_decisions.h>

#include <optional>
#include <set>
#include <stdexcept>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace wasabispread::testing {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

/** The delay after an early reply until the rest of the body is read. */
constexpr Duration kLateRead = std::chrono::milliseconds(30);
constexpr std::size_t kRecords = 12;
constexpr std::size_t kRecordBytes = 16;
/** The bytes that one write of an endless reply has about. */
constexpr std::size_t kBlock = 32'768;

std::string
Field(const http::request<http::string_body>& aRequest, const char* aName)
{
  return std::string(aRequest[aName]);
}

std::string
FormatReply(unsigned aStatus,
            const std::string& aFields,
            const std::string& aBody,
            bool aHasLength = true)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " R\r\n" + aFields;
  if (aHasLength) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

} // namespace

std::string
RecordsOf(const std::string& aService, const std::string& aRequestId)
{
  std::string records;
  std::uint64_t next = StableHash(aService + aRequestId, 0);
  while (records.size() < kRecords * kRecordBytes) {
    next = StableHash(aService + aRequestId, next);
    for (unsigned byte = 0; byte < sizeof next; ++byte) {
      records.push_back(static_cast<char>(next >> (8U * byte)));
    }
  }
  // The last bytes are too few for a record.
  return records + "rest";
}

std::string
ReplyBodyOf(const std::string& aInstance, const std::string& aRequestId)
{
  return "reply of " + aInstance + " to " + aRequestId;
}

struct StandInTarget::Server
{
  Server(StandInTarget& aTarget, asio::io_context& aContext, RunLog& aRuns)
    : mTarget(aTarget)
    , mAcceptor(aContext)
    , mRuns(aRuns)
  {
  }

  StandInTarget& mTarget;
  tcp::acceptor mAcceptor;
  RunLog& mRuns;
  std::set<std::shared_ptr<Session>> mSessions;
  std::deque<std::shared_ptr<Session>> mWaiting;
  std::size_t mBusy = 0;
  std::size_t mMaxConnections = 0;
  std::uint64_t mSignatures = 0;
  std::vector<TargetArrival> mArrivals;
  bool mIsCrashed = false;
};

/** One connection. Its asynchronous operations keep the session and the server
    alive. */
struct StandInTarget::Session : std::enable_shared_from_this<Session>
{
  Session(std::shared_ptr<Server> aServer, tcp::socket aSocket)
    : mServer(std::move(aServer))
    , mSocket(std::move(aSocket))
    , mTimer(mSocket.get_executor())
  {
  }

  std::shared_ptr<Server> mServer;
  tcp::socket mSocket;
  asio::steady_timer mTimer;
  beast::flat_buffer mBuffer;
  std::optional<http::request_parser<http::string_body>> mParser;
  std::string mOut;
  /** What is written again and again. */
  std::string mBlock;
  std::optional<std::size_t> mRun;
  bool mIsInSlot = false;

  StandInTarget& Target() const { return mServer->mTarget; }
  const http::request<http::string_body>& Request() const
  {
    return mParser->get();
  }

  void ReadHead()
  {
    mParser.emplace();
    mParser->body_limit(std::uint64_t{ 64 } << 20U);
    http::async_read_header(
      mSocket,
      mBuffer,
      *mParser,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        if (aError) {
          self->Close();
        } else if (self->Target().mFault == TargetFault::kRepliesEarly) {
          self->ReplyEarly();
        } else {
          self->ReadBody([self] { self->Queue(); });
        }
      });
  }

  template<class Next>
  void ReadBody(Next aNext)
  {
    http::async_read(mSocket,
                     mBuffer,
                     *mParser,
                     [self = shared_from_this(),
                      aNext](beast::error_code aError, std::size_t) {
                       if (aError) {
                         self->Close();
                       } else {
                         aNext();
                       }
                     });
  }

  void ReplyEarly()
  {
    Begin();
    mServer->mRuns[*mRun].mFinished = mServer->mRuns[*mRun].mStarted;
    mOut = FormatReply(200, Fields(true), Body());
    asio::async_write(
      mSocket,
      asio::buffer(mOut),
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        if (aError) {
          self->Close();
          return;
        }
        self->mTimer.expires_after(kLateRead);
        self->mTimer.async_wait([self](beast::error_code) {
          self->ReadBody([self] { self->ReadHead(); });
        });
      });
  }

  /** Runs the request, or queues it until a slot is free. */
  void Queue()
  {
    StandInTarget& target = Target();
    const std::string expected =
      Field(Request(), "Wasabispread-Expect-Instance");
    if (!expected.empty() && expected != target.mInstance) {
      mOut =
        FormatReply(421, "Wasabispread-Not-Executed: 1\r\n" + IdField(), "");
      Write(false);
      return;
    }
    mServer->mArrivals.push_back({ Field(Request(), "Wasabispread-Request-Id"),
                                   std::chrono::steady_clock::now() });
    const bool isShed = target.mFault == TargetFault::kSheds ||
                        mServer->mWaiting.size() >= target.mQueue;
    if (isShed) {
      const std::string pause =
        target.mPause.empty() ? "" : "Retry-After: " + target.mPause + "\r\n";
      mOut = FormatReply(503,
                         "Wasabispread-Not-Executed: 1\r\n" +
                           (target.mNamesRefused ? IdField() : LeavingField()) +
                           pause,
                         "");
      Write(false);
      return;
    }
    if (target.mFault == TargetFault::kClosesBeforeRun) {
      Close();
      return;
    }
    WatchCaller();
    if (target.mFault == TargetFault::kNeverReplies) {
      return;
    }
    if (mServer->mBusy < target.mSlots) {
      Run();
    } else {
      mServer->mWaiting.push_back(shared_from_this());
    }
  }

  /** Cancels the run when the caller closes the connection before the reply. */
  void WatchCaller()
  {
    mSocket.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](beast::error_code aError) {
                         char byte = 0;
                         beast::error_code error;
                         if (!aError && self->mSocket.is_open()) {
                           self->mSocket.non_blocking(true, error);
                           self->mSocket.receive(asio::buffer(&byte, 1),
                                                 tcp::socket::message_peek,
                                                 error);
                         }
                         if (error && error != asio::error::would_block) {
                           if (self->mRun) {
                             self->mServer->mRuns[*self->mRun].mIsCancelled =
                               true;
                           }
                           self->Close();
                         }
                       });
  }

  void Begin()
  {
    TargetRun run;
    run.mRequestId = Field(Request(), "Wasabispread-Request-Id");
    run.mInstance = Target().mInstance;
    run.mService = Target().mService;
    run.mMethod = std::string(Request().method_string());
    run.mTarget = std::string(Request().target());
    run.mBody = Request().body();
    for (const auto& field : Request()) {
      run.mHeaders.push_back(
        { std::string(field.name_string()), std::string(field.value()) });
    }
    run.mStarted = std::chrono::steady_clock::now();
    mRun = mServer->mRuns.size();
    mServer->mRuns.push_back(std::move(run));
  }

  void Run()
  {
    mIsInSlot = true;
    ++mServer->mBusy;
    Begin();
    const TimePoint now = std::chrono::steady_clock::now();
    mTimer.expires_at(std::max(now, Target().mPausedUntil) +
                      Target().mServiceTime);
    mTimer.async_wait([self = shared_from_this()](beast::error_code aError) {
      if (aError || !self->mIsInSlot) {
        return;
      }
      if (std::chrono::steady_clock::now() < self->Target().mPausedUntil) {
        self->LeaveSlot();
        self->Run();
        return;
      }
      self->LeaveSlot();
      self->Reply();
    });
  }

  void LeaveSlot()
  {
    if (!mIsInSlot) {
      return;
    }
    mIsInSlot = false;
    --mServer->mBusy;
    while (!mServer->mWaiting.empty()) {
      const auto next = mServer->mWaiting.front();
      mServer->mWaiting.pop_front();
      if (next->mSocket.is_open()) {
        next->Run();
        return;
      }
    }
  }

  /** The fields of every reply. */
  std::string IdField() const
  {
    return "Wasabispread-Request-Id: " +
           Field(Request(), "Wasabispread-Request-Id") + "\r\n" +
           LeavingField();
  }

  std::string LeavingField() const
  {
    return Target().mIsLeaving ? "Server-Leaving: 1\r\n" : "";
  }

  std::string Fields(bool aHasSignature)
  {
    std::string fields = IdField() + Target().mAddedFields;
    if (Target().mRequestLimit != 0) {
      fields +=
        "Server-Limit: " + std::to_string(Target().mRequestLimit) + "\r\n";
    }
    if (aHasSignature) {
      fields += "Wasabispread-Server-Stamp: " + Target().mInstance + "/" +
                Field(Request(), "Wasabispread-Request-Id") + "/" +
                std::to_string(++mServer->mSignatures) +
                std::string(Target().mExtraSignatureBytes, 's') + "\r\n";
    }
    return fields;
  }

  std::string Body() const
  {
    const std::string id = Field(Request(), "Wasabispread-Request-Id");
    if (Target().mService.starts_with("shard")) {
      std::string records = RecordsOf(Target().mService, id);
      if (Request().target().ends_with(kLargeReply)) {
        // The records that this adds are the smallest ones.
        records.resize(std::max(records.size(), Target().mLargeReply), '\0');
      }
      return records;
    }
    std::string body = ReplyBodyOf(Target().mInstance, id) +
                       std::string(Target().mExtraBodyBytes, 'x');
    if (Request().target().ends_with(kLargeReply)) {
      body.resize(std::max(body.size(), Target().mLargeReply), '.');
    }
    return body;
  }

  void Reply()
  {
    mServer->mRuns[*mRun].mFinished = std::chrono::steady_clock::now();
    const std::string body = Body();
    const std::string other =
      FormatReply(200,
                  "Wasabispread-Request-Id: someone-else\r\n"
                  "Wasabispread-Server-Stamp: stale/someone-else/0\r\n",
                  "reply to someone else");
    switch (Target().mFault) {
      case TargetFault::kFails:
        mOut = FormatReply(500, Fields(true), "failed");
        Write(false);
        return;
      case TargetFault::kLosesReply:
        Close();
        return;
      case TargetFault::kTruncates:
        mOut = FormatReply(200, Fields(true), body);
        mOut.resize(mOut.size() - body.size() / 2);
        Write(true);
        return;
      case TargetFault::kCutsReply:
      case TargetFault::kCutsAndResets:
        mOut = FormatReply(200, Fields(true), body);
        mOut.resize(std::min(mOut.size(), Target().mCutAt));
        if (Target().mFault == TargetFault::kCutsAndResets) {
          mSocket.set_option(asio::socket_base::linger(true, 0));
        }
        Write(true);
        return;
      case TargetFault::kSendsInvalidHttp:
        mOut = "\x01\x02 this is no reply\r\n\r\n";
        Write(true);
        return;
      case TargetFault::kSendsOtherReplyAfter:
        mOut = FormatReply(200, Fields(true), body) + other;
        Write(false);
        return;
      case TargetFault::kSendsOtherReplyFirst:
        mOut = other + FormatReply(200, Fields(true), body);
        Write(false);
        return;
      case TargetFault::kSendsInterimReplies:
        mOut = "HTTP/1.1 100 Continue\r\n\r\n"
               "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n" +
               FormatReply(200, Fields(true), body);
        Write(false);
        return;
      case TargetFault::kSaysClose:
        mOut = FormatReply(200, Fields(true) + "Connection: close\r\n", body);
        Write(true);
        return;
      case TargetFault::kSendsNoLength:
      case TargetFault::kResetsNoLength:
        mOut = FormatReply(200, Fields(true), body, false);
        if (Target().mFault == TargetFault::kResetsNoLength) {
          mOut.resize(mOut.size() - body.size() / 2);
          mSocket.set_option(asio::socket_base::linger(true, 0));
        }
        Write(true);
        return;
      case TargetFault::kSendsNoSignature:
        mOut = FormatReply(200, Fields(false), body);
        Write(false);
        return;
      case TargetFault::kSendsOtherCoding:
        mOut = FormatReply(
          200, Fields(true) + "Transfer-Encoding: own\r\n", body, false);
        Write(true);
        return;
      case TargetFault::kSendsContentEncoding:
        mOut =
          FormatReply(200, Fields(true) + "Content-Encoding: gzip\r\n", body);
        Write(false);
        return;
      case TargetFault::kSendsEndlessHead:
        WriteEndlessly("HTTP/1.1 200 R\r\nX-Long: ", std::string(kBlock, 'x'));
        return;
      case TargetFault::kSendsEndlessBody:
        WriteEndlessly(FormatReply(200, Fields(true), "", false),
                       std::string(kBlock, 'x'));
        return;
      case TargetFault::kSendsEndlessChunks:
        WriteEndlessly(ChunkedHead(),
                       "8000\r\n" + std::string(0x8000, 'x') + "\r\n");
        return;
      case TargetFault::kSendsEndlessSmallChunks:
        WriteEndlessly(ChunkedHead(), Repeat("1\r\nx\r\n"));
        return;
      case TargetFault::kSendsEndlessChunkHead:
        WriteEndlessly(ChunkedHead() + "1;", std::string(kBlock, 'x'));
        return;
      case TargetFault::kSendsEndlessInterimReplies:
        WriteEndlessly("", Repeat("HTTP/1.1 102 R\r\n\r\n"));
        return;
      case TargetFault::kSendsEndlessOtherReplies:
        WriteEndlessly("", Repeat(other));
        return;
      default:
        mOut = FormatReply(200, Fields(true), body);
        Write(false);
        return;
    }
  }

  std::string ChunkedHead()
  {
    return FormatReply(
      200, Fields(true) + "Transfer-Encoding: chunked\r\n", "", false);
  }

  /** A block of about kBlock bytes that repeats a text. */
  static std::string Repeat(const std::string& aText)
  {
    std::string block;
    while (block.size() < kBlock) {
      block += aText;
    }
    return block;
  }

  /** Writes aStart once and then aBlock until the caller closes. */
  void WriteEndlessly(std::string aStart, std::string aBlock)
  {
    mSocket.cancel();
    mOut = std::move(aStart);
    mBlock = std::move(aBlock);
    if (mOut.empty()) {
      mOut = mBlock;
    }
    asio::async_write(
      mSocket,
      asio::buffer(mOut),
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        if (aError) {
          self->mRun.reset();
          self->Close();
        } else {
          self->WriteEndlessly(self->mBlock, self->mBlock);
        }
      });
  }

  void Write(bool aCloses)
  {
    mSocket.cancel();
    asio::async_write(mSocket,
                      asio::buffer(mOut),
                      [self = shared_from_this(),
                       aCloses](beast::error_code aError, std::size_t) {
                        self->mRun.reset();
                        if (aError || aCloses) {
                          self->Close();
                        } else {
                          self->ReadHead();
                        }
                      });
  }

  void Close()
  {
    LeaveSlot();
    mTimer.cancel();
    beast::error_code ignored;
    mSocket.close(ignored);
    mServer->mSessions.erase(shared_from_this());
  }
};

namespace {

/** Accepts connections until the acceptor closes. */
template<class Server, class Session>
void
AcceptNext(const std::shared_ptr<Server>& aServer)
{
  aServer->mAcceptor.async_accept(
    [aServer](beast::error_code aError, tcp::socket aSocket) {
      if (aError || aServer->mIsCrashed) {
        return;
      }
      if (aServer->mSessions.size() >= aServer->mTarget.mConnectionLimit) {
        beast::error_code ignored;
        aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
      } else {
        auto session = std::make_shared<Session>(aServer, std::move(aSocket));
        aServer->mSessions.insert(session);
        aServer->mMaxConnections =
          std::max(aServer->mMaxConnections, aServer->mSessions.size());
        session->ReadHead();
      }
      AcceptNext<Server, Session>(aServer);
    });
}

} // namespace

StandInTarget::StandInTarget(IoLoop& aLoop,
                             RunLog& aRuns,
                             std::string aService,
                             std::string aInstance,
                             std::uint16_t aPort)
  : mService(std::move(aService))
  , mInstance(std::move(aInstance))
  , mPort(aPort)
  , mServer(std::make_shared<Server>(*this, aLoop.Context(), aRuns))
{
  const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), aPort);
  mServer->mAcceptor.open(endpoint.protocol());
  mServer->mAcceptor.set_option(asio::socket_base::reuse_address(true));
  mServer->mAcceptor.bind(endpoint);
  mServer->mAcceptor.listen();
  AcceptNext<Server, Session>(mServer);
}

StandInTarget::~StandInTarget()
{
  Crash();
}

std::size_t
StandInTarget::Connections() const
{
  return mServer->mSessions.size();
}

const std::vector<TargetArrival>&
StandInTarget::Arrivals() const
{
  return mServer->mArrivals;
}

std::size_t
StandInTarget::MaxConnections() const
{
  return mServer->mMaxConnections;
}

void
StandInTarget::Crash()
{
  mServer->mIsCrashed = true;
  beast::error_code ignored;
  mServer->mAcceptor.close(ignored);
  mServer->mWaiting.clear();
  const auto sessions = mServer->mSessions;
  for (const auto& session : sessions) {
    session->Close();
  }
}

} // namespace wasabispread::testing
