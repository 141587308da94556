/*
 * Passes bytes between the clients and the server of a link: one fiber for each
 * direction of a connection.
 */
#include "LinkRelay.h"

#include <tests/processes/FreePorts.h>

#include <wasabispread_runtime/AsioSupport.h>

#include <algorithm>
#include <array>
#include <set>
#include <stdexcept>

#include <boost/fiber/operations.hpp>
#include <sys/socket.h>

namespace wasabispread::testing {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using std::chrono::milliseconds;
using error_code = boost::system::error_code;

constexpr Duration kPollInterval = milliseconds(2);
constexpr std::size_t kPieceBytes = 16U << 10U;
constexpr int kBufferBytes = 64 << 10;
constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

/** A client's connection and the one to the server. */
struct Pair
{
  explicit Pair(asio::io_context& aContext)
    : mClient(aContext)
    , mServer(aContext)
  {
  }

  void Harm(const char* aHow)
  {
    if (mRecord->mHarmed == TimePoint::max()) {
      mRecord->mHarmed = Now();
      mRecord->mHarm = aHow;
    }
  }

  void Close(bool aIsReset)
  {
    mIsClosed = true;
    for (Tcp::socket* socket : { &mClient, &mServer }) {
      error_code ignored;
      if (aIsReset) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
      }
      socket->close(ignored);
    }
  }

  Tcp::socket mClient;
  Tcp::socket mServer;
  std::shared_ptr<LinkRecord> mRecord = std::make_shared<LinkRecord>();
  /** Whether the bytes of each direction are lost. */
  std::array<bool, 2> mIsSilent{};
  bool mIsClosed = false;
  /** The bytes of replies after which the connection is closed. */
  std::size_t mReplyBytesLeft = kNoLimit;
  /** The directions in which nothing passes any more. */
  unsigned mEnded = 0;
};

} // namespace

struct LinkRelay::Implementation
  : std::enable_shared_from_this<LinkRelay::Implementation>
{
  Implementation(asio::io_context& aContext, Endpoint aServer)
    : mContext(aContext)
    , mServer(std::move(aServer))
    , mAcceptor(aContext)
  {
  }

  void Listen(int aBacklog)
  {
    // On a listening socket this changes the backlog.
    ::listen(mAcceptor.native_handle(), aBacklog);
  }

  void Accept()
  {
    while (mIsOpen) {
      Tcp::socket socket(mContext);
      const IoResult accepted =
        Await([&](auto aHandler) { mAcceptor.async_accept(socket, aHandler); });
      while (mIsOpen && mIsCut) {
        boost::this_fiber::sleep_for(kPollInterval);
      }
      if (!accepted.mError && mIsOpen) {
        StartFiber([self = shared_from_this(),
                    client = std::make_shared<Tcp::socket>(std::move(socket))] {
          self->Open(std::move(*client));
        });
      }
    }
  }

  void Open(Tcp::socket aClient)
  {
    error_code ignored;
    const auto pair = std::make_shared<Pair>(mContext);
    pair->mRecord->mClientPort = aClient.remote_endpoint(ignored).port();
    pair->mRecord->mAccepted = Now();
    pair->mClient = std::move(aClient);
    mRecords.push_back(pair->mRecord);
    mPairs.insert(pair);
    if (AwaitConnect(pair->mServer, mServer).mError || pair->mIsClosed) {
      pair->mRecord->mServerEnd = Now();
      pair->Close(true);
      mPairs.erase(pair);
      return;
    }
    pair->mRecord->mOnwardPort = pair->mServer.local_endpoint(ignored).port();
    for (Tcp::socket* socket : { &pair->mClient, &pair->mServer }) {
      socket->set_option(Tcp::no_delay(true), ignored);
      socket->set_option(asio::socket_base::receive_buffer_size(kBufferBytes),
                         ignored);
    }
    for (const auto direction :
         { LinkDirection::kToServer, LinkDirection::kToClient }) {
      StartFiber([self = shared_from_this(), pair, direction] {
        self->Pass(*pair, direction);
        if (++pair->mEnded == 2) {
          pair->Close(false);
          self->mPairs.erase(pair);
        }
      });
    }
  }

  /** Passes the bytes of one direction on until it ends. */
  void Pass(Pair& aPair, LinkDirection aDirection) const
  {
    const bool isToServer = aDirection == LinkDirection::kToServer;
    Tcp::socket& from = isToServer ? aPair.mClient : aPair.mServer;
    Tcp::socket& to = isToServer ? aPair.mServer : aPair.mClient;
    std::array<char, kPieceBytes> bytes{};
    while (true) {
      const std::size_t most = std::min(bytes.size(), RatePiece());
      const IoResult read = Await([&](auto aHandler) {
        from.async_read_some(asio::buffer(bytes.data(), most), aHandler);
      });
      if (!isToServer && read.mError && !aPair.mIsClosed) {
        aPair.mRecord->mServerEnd = Now();
      }
      AwaitPassage(aPair, aDirection);
      if (aPair.mIsClosed) {
        return;
      }
      if (read.mError) {
        End(aPair, to, read.mError);
        return;
      }
      const bool isSilent = aPair.mIsSilent.at(std::size_t(aDirection));
      if (!isSilent && !Write(aPair, isToServer, to, bytes, read)) {
        return;
      }
    }
  }

  /** Writes a piece; false when the connection has ended. */
  bool Write(Pair& aPair,
             bool aIsToServer,
             Tcp::socket& aTo,
             const std::array<char, kPieceBytes>& aBytes,
             const IoResult& aRead) const
  {
    const std::size_t size = aIsToServer
                               ? aRead.mBytes
                               : std::min(aRead.mBytes, aPair.mReplyBytesLeft);
    const IoResult written = Await([&](auto aHandler) {
      asio::async_write(aTo, asio::buffer(aBytes.data(), size), aHandler);
    });
    LinkRecord& record = *aPair.mRecord;
    (aIsToServer ? record.mBytesToServer : record.mBytesToClient) +=
      written.mBytes;
    if (aIsToServer) {
      record.mLastToServer = Now();
    } else if (aPair.mReplyBytesLeft != kNoLimit) {
      aPair.mReplyBytesLeft -= size;
      if (aPair.mReplyBytesLeft == 0) {
        aPair.Harm("reply cut");
        aPair.Close(false);
      }
    }
    if (written.mError) {
      // The other direction sees how the connection ended.
      return aIsToServer && !aPair.mIsClosed && Drain(aPair);
    }
    if (mBytesPerSecond != kNoLimit) {
      boost::this_fiber::sleep_for(
        std::chrono::microseconds(1'000'000 * size / mBytesPerSecond));
    }
    return !aPair.mIsClosed;
  }

  /** Ends a connection whose server no longer reads, once the rest of the
      reply has passed; always false. */
  static bool Drain(Pair& aPair)
  {
    while (!aPair.mIsClosed && aPair.mEnded == 0) {
      boost::this_fiber::sleep_for(kPollInterval);
    }
    aPair.Close(true);
    return false;
  }

  /** Passes the end of a direction on. */
  static void End(Pair& aPair, Tcp::socket& aTo, error_code aError)
  {
    if (aPair.mIsSilent[0] || aPair.mIsSilent[1]) {
      return;
    }
    if (aError == asio::error::eof) {
      error_code ignored;
      aTo.shutdown(Tcp::socket::shutdown_send, ignored);
    } else {
      aPair.Close(true);
    }
  }

  /** Waits until the link lets bytes pass. */
  void AwaitPassage(const Pair& aPair, LinkDirection aDirection) const
  {
    const TimePoint& heldUntil = mHeldUntil.at(std::size_t(aDirection));
    while (!aPair.mIsClosed && !aPair.mIsSilent.at(std::size_t(aDirection)) &&
           (mIsCut || Now() < heldUntil)) {
      boost::this_fiber::sleep_for(kPollInterval);
    }
  }

  /** The bytes that pass in about 20 ms. */
  std::size_t RatePiece() const
  {
    constexpr std::size_t kPieces = 50;
    return std::max<std::size_t>(1, mBytesPerSecond / kPieces);
  }

  asio::io_context& mContext;
  Endpoint mServer;
  Endpoint mAddress;
  Tcp::acceptor mAcceptor;
  std::set<std::shared_ptr<Pair>> mPairs;
  std::vector<std::shared_ptr<LinkRecord>> mRecords;
  std::vector<LinkSpan> mCuts;
  std::array<TimePoint, 2> mHeldUntil{};
  std::size_t mBytesPerSecond = kNoLimit;
  bool mIsCut = false;
  bool mIsOpen = true;
};

LinkRelay::LinkRelay(IoLoop& aLoop, const Endpoint& aServer)
  : mImplementation(std::make_shared<Implementation>(aLoop.Context(), aServer))
{
  mImplementation->mAddress = Endpoint{ "127.0.0.1", NextFreePort() };
  auto acceptor = Listen(aLoop.Context(), mImplementation->mAddress);
  if (!acceptor) {
    throw std::runtime_error(acceptor.error().mMessage);
  }
  mImplementation->mAcceptor = std::move(*acceptor);
  StartFiber([link = mImplementation] { link->Accept(); });
}

LinkRelay::~LinkRelay()
{
  mImplementation->mIsOpen = false;
  error_code ignored;
  mImplementation->mAcceptor.close(ignored);
  const auto pairs = mImplementation->mPairs;
  for (const auto& pair : pairs) {
    pair->Close(true);
  }
}

const Endpoint&
LinkRelay::Address() const
{
  return mImplementation->mAddress;
}

void
LinkRelay::Hold(LinkDirection aDirection, TimePoint aUntil)
{
  mImplementation->mHeldUntil.at(std::size_t(aDirection)) = aUntil;
}

void
LinkRelay::Cut()
{
  if (!mImplementation->mIsCut) {
    mImplementation->mIsCut = true;
    mImplementation->mCuts.push_back({ Now() });
    mImplementation->Listen(0);
  }
}

void
LinkRelay::LimitRate(std::size_t aBytesPerSecond)
{
  mImplementation->mBytesPerSecond = aBytesPerSecond;
}

void
LinkRelay::Heal()
{
  mImplementation->mBytesPerSecond = kNoLimit;
  mImplementation->mHeldUntil.fill({});
  if (mImplementation->mIsCut) {
    mImplementation->mIsCut = false;
    mImplementation->mCuts.back().mUntil = Now();
    mImplementation->Listen(asio::socket_base::max_listen_connections);
  }
}

void
LinkRelay::SilenceOpen()
{
  SilenceOpen(LinkDirection::kToServer);
  SilenceOpen(LinkDirection::kToClient);
}

void
LinkRelay::SilenceOpen(LinkDirection aDirection)
{
  for (const auto& pair : mImplementation->mPairs) {
    pair->Harm("silenced");
    pair->mIsSilent.at(std::size_t(aDirection)) = true;
  }
}

void
LinkRelay::ResetOpen()
{
  const auto pairs = mImplementation->mPairs;
  for (const auto& pair : pairs) {
    pair->Harm("reset");
    pair->Close(true);
  }
}

void
LinkRelay::CutNextReplies(std::size_t aBytes)
{
  for (const auto& pair : mImplementation->mPairs) {
    pair->mReplyBytesLeft = aBytes;
  }
}

std::shared_ptr<const LinkRecord>
LinkRelay::Find(std::uint16_t aClientPort, TimePoint aTime) const
{
  const auto& records = mImplementation->mRecords;
  const auto found =
    std::find_if(records.rbegin(), records.rend(), [&](const auto& aRecord) {
      return aRecord->mClientPort == aClientPort && aRecord->mAccepted <= aTime;
    });
  return found == records.rend() ? nullptr : *found;
}

std::shared_ptr<const LinkRecord>
LinkRelay::Last() const
{
  const auto& records = mImplementation->mRecords;
  return records.empty() ? nullptr : records.back();
}

const std::vector<LinkSpan>&
LinkRelay::Cuts() const
{
  return mImplementation->mCuts;
}

void
DisturbLink(LinkRelay& aLink, Random& aRandom, TimePoint aEnd)
{
  constexpr std::size_t kShortReply = 400;
  const auto sleep = [&](Duration aTime) {
    boost::this_fiber::sleep_until(std::min(aEnd, Now() + aTime));
  };
  const Duration time = milliseconds(200 + aRandom.Below(1500));
  switch (aRandom.Below(8)) {
    case 0:
      aLink.SilenceOpen();
      break;
    case 1:
      aLink.ResetOpen();
      break;
    case 2:
      aLink.CutNextReplies(1 + aRandom.Below(kShortReply));
      break;
    case 3:
      aLink.Cut();
      sleep(time);
      break;
    case 4:
      aLink.LimitRate(400'000 + aRandom.Below(2'000'000));
      sleep(2 * time);
      break;
    case 5:
      aLink.Hold(LinkDirection::kToServer, Now() + time);
      sleep(time);
      break;
    case 6:
      aLink.Hold(LinkDirection::kToClient, Now() + time);
      sleep(time);
      break;
    default:
      // Packets that are lost again and again.
      for (std::size_t losses = 3 + aRandom.Below(8); losses != 0; --losses) {
        const Duration hold = milliseconds(200 + aRandom.Below(200));
        aLink.Hold(LinkDirection::kToServer, Now() + hold);
        aLink.Hold(LinkDirection::kToClient, Now() + hold);
        sleep(hold + milliseconds(aRandom.Below(200)));
      }
      break;
  }
  aLink.Heal();
}

} // namespace wasabispread::testing
